package standin

import (
	"context"
	"encoding/json"
	"errors"
	"net/url"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"papayastair.dev/papayastair/platform"
	"papayastair.dev/papayastair/wire"
)

// PlatformConfig is what a Platform starts with.
type PlatformConfig struct {
	// Address is the IP:port to listen on; port 0 takes a free one.
	Address string
	// Store holds the objects; nil means a new, empty one.
	Store *Store
	// ReadsPerSecond and WritesPerSecond are the rates above which calls are
	// refused; 0 means no limit. A watch counts as one read.
	ReadsPerSecond  float64
	WritesPerSecond float64
}

// Platform serves a Store over HTTP to platform.Client:
//
//	GET    /objects/<kind>/<name>               one object
//	PUT    /objects/<kind>/<name>?version=<n>   conditional write of the body
//	DELETE /objects/<kind>/<name>?version=<n>   conditional delete
//	GET    /objects/<kind>                      all objects of a kind
//	GET    /watch/<kind>?after=<n>&wait=<d>     changes after a revision
//	GET    /calls                               calls so far, by operation, and
//	                                            how many the rates refused
//	GET    /faults, PUT /faults                 StoreFaults in JSON
//
// Failures are 404, 409 with the current version, 410, 413 (a value over
// 1 MB), 429 (over the rates) and 503 (down). A lost reply closes the
// connection after the write took effect.
type Platform struct {
	// Address is the IP:port that it listens on.
	Address string
	// Store holds the objects.
	Store *Store

	server *server
	reads  *rate.Limiter
	writes *rate.Limiter
}

// NewPlatform listens and serves until Close.
func NewPlatform(cfg PlatformConfig) (*Platform, error) {
	p := &Platform{
		Store:  cfg.Store,
		reads:  limiter(cfg.ReadsPerSecond),
		writes: limiter(cfg.WritesPerSecond),
	}
	if p.Store == nil {
		p.Store = NewStore()
	}
	s, err := newServer(cfg.Address, p.handle)
	if err != nil {
		return nil, err
	}
	p.server = s
	p.Address = s.address

	return p, nil
}

// Close ends the watches and waits until all connections are closed.
func (p *Platform) Close() {
	p.server.close()
}

// limiter allows a burst of one second's calls.
func limiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}

	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond)))
}

func (p *Platform) handle(ctx context.Context, r *fasthttp.RequestCtx) {
	parts, ok := splitPath(string(r.URI().PathOriginal()))
	if !ok {
		r.Error("path can't be decoded", fasthttp.StatusBadRequest)

		return
	}
	switch {
	case len(parts) == 1 && parts[0] == "calls":
		reply(r, fasthttp.StatusOK, p.Store.Calls())
	case len(parts) == 1 && parts[0] == "faults":
		p.handleFaults(r)
	case len(parts) == 2 && parts[0] == "objects":
		p.handleList(ctx, r, parts[1])
	case len(parts) == 3 && parts[0] == "objects":
		p.handleObject(ctx, r, parts[1], parts[2])
	case len(parts) == 2 && parts[0] == "watch":
		p.handleWatch(ctx, r, parts[1])
	default:
		r.Error("no such path", fasthttp.StatusBadRequest)
	}
}

// splitPath returns the decoded parts of a path.
func splitPath(path string) ([]string, bool) {
	parts := strings.Split(strings.TrimPrefix(path, "/"), "/")
	for i, part := range parts {
		decoded, err := url.PathUnescape(part)
		if err != nil {
			return nil, false
		}
		parts[i] = decoded
	}

	return parts, true
}

func (p *Platform) handleFaults(r *fasthttp.RequestCtx) {
	if r.IsPut() {
		var faults StoreFaults
		if err := json.Unmarshal(r.PostBody(), &faults); err != nil {
			r.Error(err.Error(), fasthttp.StatusBadRequest)

			return
		}
		p.Store.SetFaults(faults)
	}
	reply(r, fasthttp.StatusOK, p.Store.Faults())
}

func (p *Platform) handleList(ctx context.Context, r *fasthttp.RequestCtx, kind string) {
	if !p.allow(r, p.reads) {
		return
	}
	list, err := p.Store.list(ctx, kind)
	answer(r, list, err)
}

func (p *Platform) handleWatch(ctx context.Context, r *fasthttp.RequestCtx, kind string) {
	if !p.allow(r, p.reads) {
		return
	}
	after, err := r.QueryArgs().GetUint("after")
	if err != nil {
		r.Error("after: "+err.Error(), fasthttp.StatusBadRequest)

		return
	}
	wait, err := time.ParseDuration(string(r.QueryArgs().Peek("wait")))
	if err != nil {
		r.Error("wait: "+err.Error(), fasthttp.StatusBadRequest)

		return
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	list, err := p.Store.watch(ctx, kind, after)
	answer(r, list, err)
}

func (p *Platform) handleObject(ctx context.Context, r *fasthttp.RequestCtx, kind, name string) {
	if r.IsGet() {
		if !p.allow(r, p.reads) {
			return
		}
		object, err := p.Store.get(ctx, kind, name)
		answer(r, object, err)

		return
	}
	if !p.allow(r, p.writes) {
		return
	}
	if len(r.PostBody()) > _maxValueBytes {
		r.Error("value over 1 MB", fasthttp.StatusRequestEntityTooLarge)

		return
	}
	version, err := r.QueryArgs().GetUint("version")
	if err != nil {
		r.Error("version: "+err.Error(), fasthttp.StatusBadRequest)

		return
	}
	object := wire.Object{
		Kind:    kind,
		Name:    name,
		Version: version,
		Value:   string(r.PostBody()),
	}
	op := "put"
	if r.IsDelete() {
		op = "delete"
	}
	object.Version, err = p.Store.write(ctx, op, object)
	object.Value = ""
	answer(r, object, err)
}

// allow counts a call against a rate and refuses it when the rate is used up.
func (p *Platform) allow(r *fasthttp.RequestCtx, limiter *rate.Limiter) bool {
	if limiter.Allow() {
		return true
	}
	p.Store.count("refused")
	r.Error("over the rate", fasthttp.StatusTooManyRequests)

	return false
}

// answer turns an outcome of the store into a status.
func answer(r *fasthttp.RequestCtx, value any, err error) {
	var e *platform.Error
	if err != nil && !errors.As(err, &e) {
		r.Error(err.Error(), fasthttp.StatusInternalServerError)

		return
	}
	switch platform.CodeOf(err) {
	case "":
		reply(r, fasthttp.StatusOK, value)
	case platform.CodeNotFound:
		r.Error(err.Error(), fasthttp.StatusNotFound)
	case platform.CodeConflict:
		reply(r, fasthttp.StatusConflict, wire.Object{
			Kind:    e.Kind,
			Name:    e.Name,
			Version: e.Version,
			Value:   "",
		})
	case platform.CodeGone:
		r.Error(err.Error(), fasthttp.StatusGone)
	case platform.CodeNotRun:
		r.Error(err.Error(), fasthttp.StatusServiceUnavailable)
	case platform.CodeUnknown:
		drop(r)
	}
}
