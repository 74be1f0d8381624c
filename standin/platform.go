package standin

import (
	"context"
	"encoding/json"
	"errors"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"papayastair.dev/papayastair/objectstore"
	"papayastair.dev/papayastair/wire"
)

const (
	// _pageItems bounds a page of a list, as the users' platform does.
	_pageItems = 500
	// _maxBodyBytes leaves room for a value of 1 MB that is quoted twice.
	_maxBodyBytes = 4 << 20
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

// Platform serves a Store over HTTP in the protocol that the users' platform
// publishes, which package platform speaks:
//
//	POST   /api/objects/<kind>                       create
//	GET    /api/objects/<kind>/<name>                one object
//	PUT    /api/objects/<kind>/<name>                replace, if metadata.rev holds
//	DELETE /api/objects/<kind>/<name>?rev=<n>        delete, if rev holds
//	GET    /api/objects/<kind>?after=<name>          a page of a kind's objects
//	GET    /api/objects/<kind>?watch=<n>&wait_ms=<n> changes after a revision
//
// and in calls of its own:
//
//	GET      /calls    calls so far, by operation, and how many were refused
//	GET, PUT /faults   StoreFaults in JSON
//
// Failures are 404, 409 with the current object, 410, 413 (a value over
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
	// An error resets the answer's fields.
	defer func() { r.Response.Header.Set("Store-Era", strconv.Itoa(p.Store.Epoch())) }()
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
	case len(parts) == 3 && parts[0] == "api" && parts[1] == "objects":
		p.handleKind(ctx, r, parts[2])
	case len(parts) == 4 && parts[0] == "api" && parts[1] == "objects":
		p.handleObject(ctx, r, parts[2], parts[3])
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

// storedObject is an object as the protocol spells it.
type storedObject struct {
	Metadata storedMetadata  `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
}

type storedMetadata struct {
	Name string `json:"name"`
	Rev  int    `json:"rev"`
}

// spell turns an object of the store into the protocol's. Each value is told
// as a JSON string; a reader takes a string for the value that it holds.
func spell(o wire.Object) storedObject {
	// A string can always be encoded.
	spec, _ := json.Marshal(o.Value)

	return storedObject{
		Metadata: storedMetadata{
			Name: o.Name,
			Rev:  objectstore.Revision(o.Version),
		},
		Spec: spec,
	}
}

func (p *Platform) handleKind(ctx context.Context, r *fasthttp.RequestCtx, kind string) {
	switch {
	case r.IsPost():
		p.write(ctx, r, "put", kind, "")
	case r.QueryArgs().Has("watch"):
		p.handleWatch(ctx, r, kind)
	default:
		p.handleList(ctx, r, kind)
	}
}

func (p *Platform) handleList(ctx context.Context, r *fasthttp.RequestCtx, kind string) {
	if !p.allow(r, p.reads) {
		return
	}
	list, err := p.Store.list(ctx, kind)
	after := string(r.QueryArgs().Peek("after"))
	page := struct {
		Items   []storedObject `json:"items"`
		HasMore bool           `json:"has_more"`
		AsOf    int            `json:"as_of"`
	}{
		Items: []storedObject{},
		AsOf:  objectstore.Revision(list.Version),
	}
	slices.SortFunc(list.Objects, func(a, b wire.Object) int { return strings.Compare(a.Name, b.Name) })
	for _, o := range list.Objects {
		if o.Name <= after {
			continue
		}
		if len(page.Items) == _pageItems {
			page.HasMore = true

			break
		}
		page.Items = append(page.Items, spell(o))
	}
	answer(r, page, err)
}

func (p *Platform) handleWatch(ctx context.Context, r *fasthttp.RequestCtx, kind string) {
	if !p.allow(r, p.reads) {
		return
	}
	after, err := r.QueryArgs().GetUint("watch")
	if err != nil {
		r.Error("watch: "+err.Error(), fasthttp.StatusBadRequest)

		return
	}
	wait, err := r.QueryArgs().GetUint("wait_ms")
	if err != nil {
		r.Error("wait_ms: "+err.Error(), fasthttp.StatusBadRequest)

		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Duration(wait)*time.Millisecond)
	defer cancel()
	list, err := p.Store.watch(ctx, kind, objectstore.Version(p.Store.Epoch(), after))
	type change struct {
		Removed bool         `json:"removed"`
		Object  storedObject `json:"object"`
	}
	changes := struct {
		Events []change `json:"events"`
		AsOf   int      `json:"as_of"`
	}{
		Events: []change{},
		AsOf:   objectstore.Revision(list.Version),
	}
	for _, o := range list.Objects {
		changes.Events = append(changes.Events, change{
			Removed: o.Value == "",
			Object:  spell(o),
		})
	}
	answer(r, changes, err)
}

func (p *Platform) handleObject(ctx context.Context, r *fasthttp.RequestCtx, kind, name string) {
	switch {
	case r.IsPut():
		p.write(ctx, r, "put", kind, name)
	case r.IsDelete():
		p.write(ctx, r, "delete", kind, name)
	default:
		if !p.allow(r, p.reads) {
			return
		}
		object, err := p.Store.get(ctx, kind, name)
		answer(r, spell(object), err)
	}
}

// write carries out a create, replace or delete. An empty name stands in the
// body.
func (p *Platform) write(ctx context.Context, r *fasthttp.RequestCtx, op, kind, name string) {
	if !p.allow(r, p.writes) {
		return
	}
	if len(r.PostBody()) > _maxBodyBytes {
		r.Error("value over 1 MB", fasthttp.StatusRequestEntityTooLarge)

		return
	}
	var body storedObject
	if op == "put" {
		if err := json.Unmarshal(r.PostBody(), &body); err != nil {
			r.Error(err.Error(), fasthttp.StatusBadRequest)

			return
		}
	} else {
		body.Metadata.Rev = r.QueryArgs().GetUintOrZero("rev")
	}
	if name == "" {
		name = body.Metadata.Name
		body.Metadata.Rev = 0
	}
	object := wire.Object{
		Kind:  kind,
		Name:  name,
		Value: string(body.Spec),
	}
	if body.Metadata.Rev > 0 {
		object.Version = objectstore.Version(p.Store.Epoch(), body.Metadata.Rev)
	}
	var text string
	if json.Unmarshal(body.Spec, &text) == nil {
		object.Value = text
	}
	if len(object.Value) > _maxValueBytes {
		r.Error("value over 1 MB", fasthttp.StatusRequestEntityTooLarge)

		return
	}
	var err error
	object.Version, err = p.Store.write(ctx, op, object)
	answer(r, spell(object), err)
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
	var e *objectstore.Error
	if err != nil && !errors.As(err, &e) {
		r.Error(err.Error(), fasthttp.StatusInternalServerError)

		return
	}
	switch objectstore.CodeOf(err) {
	case "":
		reply(r, fasthttp.StatusOK, value)
	case objectstore.CodeNotFound:
		r.Error(err.Error(), fasthttp.StatusNotFound)
	case objectstore.CodeConflict:
		reply(r, fasthttp.StatusConflict, spell(wire.Object{
			Kind:    e.Kind,
			Name:    e.Name,
			Version: e.Version,
			Value:   "",
		}))
	case objectstore.CodeGone:
		r.Error(err.Error(), fasthttp.StatusGone)
	case objectstore.CodeNotRun:
		r.Error(err.Error(), fasthttp.StatusServiceUnavailable)
	case objectstore.CodeUnknown:
		drop(r)
	}
}
