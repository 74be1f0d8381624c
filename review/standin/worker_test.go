package standin

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	_headerID     = "X-Request-Id"
	_headerSeal   = "X-Server-Seal"
	_headerPrefix = "X-Prompt-Prefix"
	_headerModel  = "X-Model"
	_headerTenant = "X-Tenant"
	_model        = "m0"
	_workerSlots  = 32
	// _crashStatus is the exit status of a worker that a request has crashed.
	_crashStatus = 3
)

// workerConfig is what a worker starts with.
type workerConfig struct {
	id      string
	store   string
	service string
	address string
	// events is the length of a stream, first the time to its first event, and gap that
	// between two. With events 0 the worker answers with a body after the time first.
	events int
	first  time.Duration
	gap    time.Duration
	// unframed makes answers end with their connection, without length or chunks.
	unframed bool
	// deadly is the part of a prompt that crashes the worker.
	deadly string
	zone   string
}

// args are the flags for a worker with this configuration.
func (c workerConfig) args() []string {
	return []string{
		"worker", "-id", c.id, "-store", c.store, "-service", c.service, "-address", c.address,
		"-events", strconv.Itoa(c.events), "-first", c.first.String(), "-gap", c.gap.String(),
		"-unframed=" + strconv.FormatBool(c.unframed), "-deadly", c.deadly,
		"-zone", c.zone,
	}
}

// workerEvent is a line that a worker writes to its standard output.
type workerEvent struct {
	// Kind is Listening, Ordered, Arrived, Head, Began, Ended, Broken or Crashed. Head is the time at which
	// the head of an answer has been sent, Began that of the first event or the body.
	Kind    string
	At      time.Time
	Worker  string
	Address string
	ID      string
	Prefix  string
	Tenant  string
	Path    string
	Bytes   int
	// Holder, Fence and Answer are set for an order.
	Holder string
	Fence  int
	Answer int
}

// worker is one start of a worker process.
type worker struct {
	cfg  workerConfig
	born int64
	mu   sync.Mutex
	out  *json.Encoder
	// adapters are those that the worker holds of its model, and seq the number of orders that
	// it has accepted.
	adapters map[string]bool
	seq      int
}

// runWorker serves until the worker is ended, and returns why it can't.
func runWorker(args []string) error {
	var cfg workerConfig
	flags := flag.NewFlagSet("worker", flag.ContinueOnError)
	flags.StringVar(&cfg.id, "id", "", "the id in the store")
	flags.StringVar(&cfg.store, "store", "", "the address of the store")
	flags.StringVar(&cfg.service, "service", "", "the service")
	flags.StringVar(&cfg.address, "address", "127.0.0.1:0", "the address to listen on")
	flags.IntVar(&cfg.events, "events", 0, "the events of a stream")
	flags.DurationVar(&cfg.first, "first", 0, "the time to the first event")
	flags.DurationVar(&cfg.gap, "gap", 0, "the time between two events")
	flags.BoolVar(&cfg.unframed, "unframed", false, "answers end with their connection")
	flags.StringVar(&cfg.zone, "zone", _zone, "the zone")
	flags.StringVar(&cfg.deadly, "deadly", "", "the part that crashes the worker")
	if err := flags.Parse(args); err != nil {
		return err
	}
	listener, err := net.Listen("tcp", cfg.address)
	if err != nil {
		return err
	}
	w := &worker{
		cfg:  cfg,
		born: time.Now().UnixMilli(),
		out:  json.NewEncoder(os.Stdout),

		adapters: map[string]bool{},
	}
	w.cfg.address = listener.Addr().String()
	if err := w.register(); err != nil {
		return err
	}
	w.log(workerEvent{
		Kind:    "Listening",
		Address: w.cfg.address,
	})
	go func() {
		for range time.Tick(_heartbeat) {
			// A heartbeat that fails is made up by the next.
			_ = w.register()
		}
	}()
	for {
		c, err := listener.Accept()
		if err != nil {
			return err
		}
		go w.serve(c)
	}
}

func (w *worker) log(e workerEvent) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e.At = time.Now()
	// The reader may have ended before.
	_ = w.out.Encode(e)
}

// register writes the worker's entry, which is its heartbeat too.
func (w *worker) register() error {
	spec, err := json.Marshal(map[string]any{
		"service":      w.cfg.service,
		"addr":         w.cfg.address,
		"zone":         w.cfg.zone,
		"version":      "v1",
		"slots":        _workerSlots,
		"state":        "ready",
		"cold_left_ms": 0,
		"stage":        "both",
		"models":       w.models(),
		"seq":          w.accepted(),
		"born":         w.born,
	})
	if err != nil {
		return err
	}
	body, err := json.Marshal(object{
		Metadata: metadata{Name: w.cfg.id},
		Spec:     spec,
	})
	if err != nil {
		return err
	}
	base := "http://" + w.cfg.store + "/api/objects/" + _kindServers
	for _, call := range []struct {
		method string
		url    string
	}{
		{
			method: http.MethodPut,
			url:    base + "/" + w.cfg.id,
		},
		{
			method: http.MethodPost,
			url:    base,
		},
	} {
		r, err := http.NewRequest(call.method, call.url, bytes.NewReader(body))
		if err != nil {
			return err
		}
		a, err := http.DefaultClient.Do(r)
		if err != nil {
			return err
		}
		_, _ = io.Copy(io.Discard, a.Body)
		_ = a.Body.Close()
		if a.StatusCode == http.StatusOK {
			return nil
		}
	}

	return errors.New("the store refused the worker's entry")
}

func (w *worker) models() []map[string]any {
	if w.cfg.events == 0 {
		return []map[string]any{}
	}
	w.mu.Lock()
	defer w.mu.Unlock()

	return []map[string]any{{
		"name":     _model,
		"version":  1,
		"adapters": slices.Sorted(maps.Keys(w.adapters)),
	}}
}

func (w *worker) accepted() int {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.seq
}

// holds reports whether the worker has a model or an adapter.
func (w *worker) holds(target string) bool {
	model, adapter, _ := strings.Cut(target, "/")
	w.mu.Lock()
	defer w.mu.Unlock()

	return model == _model && (adapter == "" || w.adapters[adapter])
}

// takeOrder carries out an order about an adapter and returns the status of the answer. The
// model itself stays.
func (w *worker) takeOrder(body []byte) int {
	var o struct {
		Op      string `json:"op"`
		Model   string `json:"model"`
		Adapter string `json:"adapter"`
		Expect  *int   `json:"expect"`
		Holder  string `json:"holder"`
		Fence   int    `json:"fence"`
	}
	status := http.StatusBadRequest
	if json.Unmarshal(body, &o) == nil && o.Holder != "" && o.Fence != 0 {
		status = w.carryOut(o.Op == "load", o.Model, o.Adapter, o.Expect)
	}
	w.log(workerEvent{
		Kind:   "Ordered",
		ID:     o.Op + " " + o.Model + "/" + o.Adapter,
		Holder: o.Holder,
		Fence:  o.Fence,
		Answer: status,
	})

	return status
}

func (w *worker) carryOut(load bool, model, adapter string, expect *int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case expect != nil && *expect != w.seq:
		return http.StatusConflict
	case model != _model || adapter == "":
		return http.StatusBadRequest
	case load && w.adapters[adapter]:
		return http.StatusOK
	case load:
		w.seq++
		w.adapters[adapter] = true

		return http.StatusAccepted
	default:
		w.seq++
		delete(w.adapters, adapter)

		return http.StatusOK
	}
}

func (w *worker) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || !w.answer(c, r, body) {
			return
		}
	}
}

// answer answers a request and reports whether the connection can carry another.
func (w *worker) answer(c net.Conn, r *http.Request, body []byte) bool {
	id := r.Header.Get(_headerID)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.cfg.id {
		return writeAll(c, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nX-Instance-Id: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", _headerID, id, w.cfg.id)
	}
	switch r.URL.Path {
	case "/api/report":
		return w.answerJSON(c, map[string]any{
			"stage":    "both",
			"born":     w.born,
			"models":   w.models(),
			"busy":     false,
			"seq":      w.accepted(),
			"queued":   0,
			"running":  0,
			"kv_used":  0,
			"kv_total": 100000,
			"handles":  0,
		})
	case "/api/order":
		status := w.takeOrder(body)

		return writeAll(c, "HTTP/1.1 %d Order\r\nContent-Length: 0\r\n\r\n", status)
	}
	if w.cfg.events > 0 && !w.holds(r.Header.Get(_headerModel)) {
		return writeAll(c, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", _headerID, id)
	}
	event := workerEvent{
		Kind:   "Arrived",
		ID:     id,
		Prefix: r.Header.Get(_headerPrefix),
		Tenant: r.Header.Get(_headerTenant),
		Path:   r.URL.Path,
		Bytes:  len(body),
	}
	w.log(event)
	if w.cfg.events > 0 {
		return w.stream(c, event)
	}
	time.Sleep(w.cfg.first)
	event.Kind = "Began"
	w.log(event)
	ok := writeAll(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Length: 5\r\n\r\nwhole", _headerID, id, _headerSeal, w.seal(id))
	event.Kind = "Ended"
	w.log(event)

	return ok
}

func (w *worker) seal(id string) string {
	return "seal." + w.cfg.id + "." + id
}

func (w *worker) answerJSON(c net.Conn, value any) bool {
	text, err := json.Marshal(value)

	return err == nil && writeAll(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
}

// stream answers with events. The head is sent at once, the first event after the time
// that the prompt takes.
func (w *worker) stream(c net.Conn, event workerEvent) bool {
	framing := "Transfer-Encoding: chunked\r\n"
	if w.cfg.unframed {
		framing = ""
	}
	ok := writeAll(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\nContent-Type: text/event-stream\r\n%s\r\n", _headerID, event.ID, _headerSeal, w.seal(event.ID), framing)
	event.Kind = "Head"
	w.log(event)
	time.Sleep(w.cfg.first)
	event.Kind = "Began"
	w.log(event)
	for i := 1; ok && i <= w.cfg.events; i++ {
		if i > 1 {
			time.Sleep(w.cfg.gap)
		}
		text := fmt.Sprintf("id: %d\ndata: piece %d of %d\n\n", i, i, w.cfg.events)
		if w.isDeadly(event.Prefix) {
			w.writeEvent(c, text[:len(text)/2])
			event.Kind = "Crashed"
			w.log(event)
			os.Exit(_crashStatus)
		}
		ok = w.writeEvent(c, text)
	}
	if ok && !w.cfg.unframed {
		ok = writeAll(c, "0\r\n\r\n")
	}
	event.Kind = "Ended"
	if !ok {
		event.Kind = "Broken"
	}
	w.log(event)

	return ok && !w.cfg.unframed
}

func (w *worker) writeEvent(c net.Conn, text string) bool {
	if w.cfg.unframed {
		return writeAll(c, "%s", text)
	}

	return writeAll(c, "%x\r\n%s\r\n", len(text), text)
}

// isDeadly reports whether a prompt holds the deadly part, other than as its last.
func (w *worker) isDeadly(prefix string) bool {
	parts := strings.Split(prefix, ",")
	for _, part := range parts[:len(parts)-1] {
		if id, _, _ := strings.Cut(part, ":"); w.cfg.deadly != "" && id == w.cfg.deadly {
			return true
		}
	}

	return false
}

func writeAll(c net.Conn, format string, args ...any) bool {
	_, err := fmt.Fprintf(c, format, args...)

	return err == nil
}
