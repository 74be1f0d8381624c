package harness

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// run is a request that a worker has run.
type run struct {
	id     string
	tenant string
	began  time.Duration
}

// worker is a stand-in of a backend server.
type worker struct {
	id      string
	service string
	zone    string
	models  []string
	// work answers a request that has run. It may be replaced before the start.
	work  func(w http.ResponseWriter, r *http.Request)
	slots int

	address string
	born    int64
	store   *store
	rec     *record
	server  *http.Server

	mu     sync.Mutex
	runs   []run
	orders atomic.Int64
}

// start listens and registers.
func (w *worker) start(ip string) error {
	listener, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return err
	}
	w.address = listener.Addr().String()
	w.born = time.Now().UnixMilli()
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve)}
	go func() { _ = w.server.Serve(listener) }()
	w.register("ready")

	return nil
}

// close ends all connections.
func (w *worker) close() {
	_ = w.server.Close()
}

func (w *worker) heldModels() []map[string]any {
	out := make([]map[string]any, 0, len(w.models))
	for _, m := range w.models {
		out = append(out, map[string]any{
			"name":     m,
			"version":  1,
			"adapters": []string{},
		})
	}

	return out
}

// register writes the worker's entry.
func (w *worker) register(state string) {
	w.store.put("servers", w.id, map[string]any{
		"service":      w.service,
		"addr":         w.address,
		"zone":         w.zone,
		"version":      "v1",
		"slots":        w.slots,
		"state":        state,
		"cold_left_ms": 0,
		"born":         w.born,
		"models":       w.heldModels(),
		"seq":          w.orders.Load(),
	})
}

// all returns the runs so far.
func (w *worker) all() []run {
	w.mu.Lock()
	defer w.mu.Unlock()

	return append([]run{}, w.runs...)
}

func (w *worker) serve(out http.ResponseWriter, r *http.Request) {
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		out.Header().Set("X-Instance-Id", w.id)
		out.WriteHeader(http.StatusMisdirectedRequest)

		return
	}
	id := r.Header.Get("X-Request-Id")
	out.Header().Set("X-Request-Id", id)
	switch {
	case r.URL.Path == "/api/report":
		out.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(out).Encode(map[string]any{
			"stage":  "both",
			"born":   w.born,
			"models": w.heldModels(),
			"busy":   false,
			"seq":    w.orders.Load(),
			"queued": 0,
		})
	case strings.HasPrefix(r.URL.Path, "/api/"):
		// The models of these cases never change.
		out.WriteHeader(http.StatusConflict)
	default:
		out.Header().Set("X-Server-Seal", "seal-"+w.id)
		w.work(out, r)
	}
}

// begin notes that a request runs.
func (w *worker) begin(r *http.Request) {
	began := w.rec.since()
	w.mu.Lock()
	w.runs = append(w.runs, run{
		id:     r.Header.Get("X-Request-Id"),
		tenant: r.Header.Get("X-Tenant"),
		began:  began,
	})
	w.mu.Unlock()
	w.rec.note("%s runs %s for %s", w.id, r.Header.Get("X-Request-Id"), r.Header.Get("X-Tenant"))
}

// answerPlain runs a request and answers it after a time.
func (w *worker) answerPlain(after time.Duration) func(out http.ResponseWriter, r *http.Request) {
	return func(out http.ResponseWriter, r *http.Request) {
		w.begin(r)
		time.Sleep(after)
		body := "done " + r.Header.Get("X-Request-Id")
		out.Header().Set("Content-Length", strconv.Itoa(len(body)))
		_, _ = out.Write([]byte(body))
	}
}
