package harness

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// _maxWait is the longest time that a watch waits.
const _maxWait = 30 * time.Second

// storedMetadata and storedObject are an object as the platform spells it.
type storedMetadata struct {
	Name       string   `json:"name"`
	Rev        int      `json:"rev"`
	CreatedRev int      `json:"created_rev"`
	Finalizers []string `json:"finalizers"`
	Deleting   bool     `json:"deleting"`
}

type storedObject struct {
	Metadata storedMetadata  `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   json.RawMessage `json:"status"`
}

// change is one entry of the store's history.
type change struct {
	Removed bool         `json:"removed"`
	Object  storedObject `json:"object"`
	kind    string
}

// store is a stand-in of the platform's metadata store.
type store struct {
	rec    *record
	server *http.Server
	// address is its IP:port.
	address string

	mu      sync.Mutex
	era     int
	rev     int
	objects map[string]map[string]storedObject
	history []change
	// kept is the revision before the first entry of the history.
	kept    int
	changed chan struct{}
	// down refuses all calls with 503.
	down bool
}

// storeCopy is the state of a store at a time.
type storeCopy struct {
	rev     int
	objects map[string]map[string]storedObject
}

// newStore starts a store at a loopback address.
func newStore(ip string, rec *record) (*store, error) {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s := &store{
		rec:     rec,
		address: listener.Addr().String(),
		era:     1,
		rev:     1,
		objects: map[string]map[string]storedObject{},
		kept:    1,
		changed: make(chan struct{}),
	}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(listener) }()

	return s, nil
}

// close ends all connections.
func (s *store) close() {
	_ = s.server.Close()
}

// setDown begins or ends an outage.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notify()
}

// copy returns the state, for restore.
func (s *store) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := storeCopy{
		rev:     s.rev,
		objects: map[string]map[string]storedObject{},
	}
	for kind, objects := range s.objects {
		out.objects[kind] = maps.Clone(objects)
	}

	return out
}

// restore ends an outage with the state of a copy.
func (s *store) restore(c storeCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.rev = c.rev
	s.objects = c.objects
	s.history = nil
	s.kept = c.rev
	s.down = false
	s.notify()
}

// put writes an object as its owner: the operator or a worker.
func (s *store) put(kind, name string, spec any) {
	text, err := json.Marshal(spec)
	if err != nil {
		panic("harness: encode an object: " + err.Error())
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return
	}
	s.set(kind, name, text)
}

// remove removes an object as its owner.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.objects[kind][name]; ok {
		s.unset(kind, name)
	}
}

// set, unset and notify need the lock.
func (s *store) set(kind, name string, spec json.RawMessage) storedObject {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]storedObject{}
	}
	o := s.objects[kind][name]
	s.rev++
	if o.Metadata.Rev == 0 {
		o.Metadata = storedMetadata{
			Name:       name,
			CreatedRev: s.rev,
			Finalizers: []string{},
		}
	}
	o.Metadata.Rev = s.rev
	o.Spec = spec
	s.objects[kind][name] = o
	s.history = append(s.history, change{
		Object: o,
		kind:   kind,
	})
	s.notify()

	return o
}

func (s *store) unset(kind, name string) {
	o := s.objects[kind][name]
	delete(s.objects[kind], name)
	s.rev++
	o.Metadata.Rev = s.rev
	s.history = append(s.history, change{
		Removed: true,
		Object:  o,
		kind:    kind,
	})
	s.notify()
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP serves the object API.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	w.Header().Set("Content-Type", "application/json")
	down := s.down
	s.mu.Unlock()
	path, ok := strings.CutPrefix(r.URL.Path, "/api/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)

		return
	}
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)

		return
	}
	kind, name, _ := strings.Cut(path, "/")
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Has("watch"):
		s.serveWatch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.serveList(w, kind)
	case r.Method == http.MethodGet:
		s.serveObject(w, kind, name)
	default:
		s.serveWrite(w, r, kind, name)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serveList(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	items := make([]storedObject, 0, len(s.objects[kind]))
	for _, name := range slices.Sorted(maps.Keys(s.objects[kind])) {
		items = append(items, s.objects[kind][name])
	}
	rev := s.rev
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{
		"items":    items,
		"has_more": false,
		"as_of":    rev,
	})
}

func (s *store) serveObject(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.objects[kind][name]
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)

		return
	}
	reply(w, http.StatusOK, o)
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.Atoi(r.URL.Query().Get("watch"))
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.NewTimer(min(time.Duration(ms)*time.Millisecond, _maxWait))
	defer end.Stop()
	for over := false; ; {
		s.mu.Lock()
		events := make([]change, 0, 1)
		for _, c := range s.history {
			if c.kind == kind && c.Object.Metadata.Rev > after {
				events = append(events, c)
			}
		}
		rev, changed, down, gone := s.rev, s.changed, s.down, after < s.kept || after > s.rev
		w.Header().Set("Store-Era", strconv.Itoa(s.era))
		s.mu.Unlock()
		switch {
		case down:
			w.WriteHeader(http.StatusServiceUnavailable)

			return
		case gone:
			w.WriteHeader(http.StatusGone)

			return
		case len(events) > 0 || over:
			reply(w, http.StatusOK, map[string]any{
				"events": events,
				"as_of":  rev,
			})

			return
		}
		select {
		case <-changed:
		case <-end.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

// serveWrite serves the writes of the system.
func (s *store) serveWrite(w http.ResponseWriter, r *http.Request, kind, name string) {
	var body struct {
		Metadata struct {
			Name string `json:"name"`
			Rev  int    `json:"rev"`
		} `json:"metadata"`
		Spec json.RawMessage `json:"spec"`
	}
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			w.WriteHeader(http.StatusBadRequest)

			return
		}
	} else {
		body.Metadata.Rev, _ = strconv.Atoi(r.URL.Query().Get("rev"))
	}
	if r.Method == http.MethodPost {
		name = body.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	o, exists := s.objects[kind][name]
	switch {
	case s.down:
		w.WriteHeader(http.StatusServiceUnavailable)
	case r.Method == http.MethodPost && exists, r.Method != http.MethodPost && exists && body.Metadata.Rev != 0 && body.Metadata.Rev != o.Metadata.Rev:
		reply(w, http.StatusConflict, o)
	case r.Method != http.MethodPost && !exists:
		w.WriteHeader(http.StatusNotFound)
	case r.Method == http.MethodDelete:
		s.unset(kind, name)
		reply(w, http.StatusOK, o)
	default:
		reply(w, http.StatusOK, s.set(kind, name, body.Spec))
	}
}
