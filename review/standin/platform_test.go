package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	_firstRevision  = 100
	_kindServers    = "servers"
	_heartbeat      = 1200 * time.Millisecond
	_silentBeats    = 3
	_storeDelay     = 4 * time.Millisecond
	_storeEraHeader = "Store-Era"
)

// metadata and object are an object of the platform's store on the wire.
type metadata struct {
	Name       string `json:"name"`
	Rev        int    `json:"rev"`
	CreatedRev int    `json:"created_rev"`
}

type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
}

// change is an entry of the store's history.
type change struct {
	Removed bool   `json:"removed"`
	Object  object `json:"object"`

	kind string
}

// platform is the platform's store. Use startPlatform.
type platform struct {
	address string
	server  *http.Server

	mu       sync.Mutex
	revision int
	objects  map[string]map[string]object
	history  []change
	changed  chan struct{}
	// beatAt is when each worker last wrote its entry.
	beatAt map[string]time.Time
}

func startPlatform() (*platform, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &platform{
		address:  listener.Addr().String(),
		revision: _firstRevision,
		objects:  map[string]map[string]object{},
		changed:  make(chan struct{}),
		beatAt:   map[string]time.Time{},
	}
	p.server = &http.Server{
		Handler:           p,
		ReadHeaderTimeout: time.Minute,
	}
	go func() { _ = p.server.Serve(listener) }()
	go p.expire()

	return p, nil
}

func (p *platform) close() {
	_ = p.server.Close()
}

// expire removes the entries of workers that have been silent for three heartbeats.
func (p *platform) expire() {
	for range time.Tick(_heartbeat / 4) {
		p.mu.Lock()
		for name := range p.objects[_kindServers] {
			if time.Since(p.beatAt[name]) > _silentBeats*_heartbeat {
				p.record(_kindServers, p.objects[_kindServers][name], true)
			}
		}
		p.mu.Unlock()
	}
}

// record makes a change. p.mu must be held.
func (p *platform) record(kind string, o object, removed bool) object {
	p.revision++
	o.Metadata.Rev = p.revision
	if p.objects[kind] == nil {
		p.objects[kind] = map[string]object{}
	}
	if removed {
		delete(p.objects[kind], o.Metadata.Name)
	} else {
		p.objects[kind][o.Metadata.Name] = o
	}
	p.history = append(p.history, change{
		Removed: removed,
		Object:  o,
		kind:    kind,
	})
	close(p.changed)
	p.changed = make(chan struct{})

	return o
}

// put writes an object without a condition, as the operator does.
func (p *platform) put(kind, name string, value any) error {
	spec, err := json.Marshal(value)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.objects[kind][name]
	o.Metadata.Name = name
	o.Spec = spec
	p.record(kind, o, false)

	return nil
}

// ServeHTTP answers one call.
func (p *platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(_storeDelay)
	w.Header().Set(_storeEraHeader, "1")
	rest, ok := strings.CutPrefix(r.URL.EscapedPath(), "/api/objects/")
	kind, name, named := strings.Cut(rest, "/")
	kind, errKind := url.PathUnescape(kind)
	name, errName := url.PathUnescape(name)
	switch {
	case !ok || errKind != nil || errName != nil:
		answer(w, http.StatusBadRequest, nil)
	case r.Method == http.MethodGet && named:
		p.mu.Lock()
		o, exists := p.objects[kind][name]
		p.mu.Unlock()
		if !exists {
			answer(w, http.StatusNotFound, nil)

			return
		}
		answer(w, http.StatusOK, o)
	case r.Method == http.MethodGet && r.URL.Query().Has("watch"):
		p.watch(w, r, kind)
	case r.Method == http.MethodGet:
		p.list(w, r, kind)
	case r.Method == http.MethodPost, r.Method == http.MethodPut, r.Method == http.MethodDelete:
		status, o := p.write(r, kind, name)
		answer(w, status, o)
	default:
		answer(w, http.StatusBadRequest, nil)
	}
}

func answer(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if value != nil {
		// A client that has left needs no answer.
		_ = json.NewEncoder(w).Encode(value)
	}
}

func (p *platform) list(w http.ResponseWriter, r *http.Request, kind string) {
	after := r.URL.Query().Get("after")
	p.mu.Lock()
	items := make([]object, 0, len(p.objects[kind]))
	for name, o := range p.objects[kind] {
		if name > after {
			items = append(items, o)
		}
	}
	revision := p.revision
	p.mu.Unlock()
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	answer(w, http.StatusOK, map[string]any{
		"items":    items,
		"has_more": false,
		"as_of":    revision,
	})
}

func (p *platform) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, errAfter := strconv.Atoi(r.URL.Query().Get("watch"))
	wait, errWait := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if errAfter != nil || errWait != nil {
		answer(w, http.StatusBadRequest, nil)

		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	for {
		p.mu.Lock()
		events := []change{}
		for _, c := range p.history {
			if c.kind == kind && c.Object.Metadata.Rev > after {
				events = append(events, c)
			}
		}
		revision, changed := p.revision, p.changed
		p.mu.Unlock()
		if len(events) > 0 || ctx.Err() != nil {
			answer(w, http.StatusOK, map[string]any{
				"events": events,
				"as_of":  revision,
			})

			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// write carries out a create, a replacement or a removal.
func (p *platform) write(r *http.Request, kind, name string) (int, any) {
	var o object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			return http.StatusBadRequest, nil
		}
	}
	rev := o.Metadata.Rev
	if query := r.URL.Query().Get("rev"); query != "" {
		n, err := strconv.Atoi(query)
		if err != nil {
			return http.StatusBadRequest, nil
		}
		rev = n
	}
	if name == "" {
		name = o.Metadata.Name
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	current, exists := p.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists:
		return http.StatusConflict, current
	case r.Method != http.MethodPost && !exists:
		return http.StatusNotFound, nil
	case r.Method != http.MethodPost && rev != 0 && rev != current.Metadata.Rev:
		return http.StatusConflict, current
	case r.Method == http.MethodDelete:
		return http.StatusOK, p.record(kind, current, true)
	}
	if kind == _kindServers {
		p.beatAt[name] = time.Now()
	}
	if exists && bytes.Equal(current.Spec, o.Spec) {
		return http.StatusOK, current
	}
	o.Metadata = current.Metadata
	o.Metadata.Name = name
	if !exists {
		o.Metadata.CreatedRev = p.revision + 1
	}

	return http.StatusOK, p.record(kind, o, false)
}
