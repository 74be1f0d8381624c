package standin

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"papayastair.dev/papayastair/objectstore"
)

// WorkerConfig is what a Worker starts with.
type WorkerConfig struct {
	// ID names it, Service is the service that it belongs to.
	ID      string
	Service string
	// Models are the models that it holds at its start; nil for a plain one.
	Models []string
	// AdapterPlaces is how many adapters it can hold.
	AdapterPlaces int
	// Store is where it registers.
	Store objectstore.Store
	// Via gives the address at which it is to be reached instead of its own;
	// nil means its own.
	Via func(address string) string
}

// WorkerRun is one run of a request at a Worker.
type WorkerRun struct {
	// ID is the request's, and Began when the run did.
	ID    string
	Began time.Time
	// Ended is when the whole answer had been sent; zero if it wasn't.
	Ended time.Time
	// Head and Body are as they arrived.
	Head *http.Request
	Body string
}

// WorkerOrder is one order that arrived at a Worker.
type WorkerOrder struct {
	// Holder and Fence are what it bore, and Arrived is when it came.
	Holder  string
	Fence   int
	Arrived time.Time
}

// Worker is a backend server of the users' platform in their published
// protocol. The last part of a request's path says how it answers:
//
//	whole     a body with a length
//	large     a body of LargeAnswer bytes
//	chunks    a body in chunks, with an extension and a trailer
//	interim   a body with a length, after an interim answer
//	closing   a body with a length, and the end of the connection
//	early     a body with a length, sent before the request's body is read
//	events    five events
//	weights   five events in lines that end with CR LF, each in two pieces, the
//	          third with a first line that names the weights' version
//	slow      five events, 40 ms apart
//	beats     five events, with empty lines after each
//	error     a signed failure
//	short     less than the length, then the end
//	long      bytes after a whole answer
//	late      an answer to another request first
//	unframed  a body that ends with the connection
//	cut       events that break off in the middle of the third
//	cutfail   the same, and a signed failure where they are to go on
//	misnumbered  five events in one piece, with a wrong id in the third; where they
//	          are to go on, the rest as it should be
//	unsigned  a body without a signature
//	encoded   a body with a coding
//	garbage   bytes that are no answer
//	full      a refusal, not run
//	hang      nothing
//
// It keeps what it ran, by request id.
type Worker struct {
	// Address is the IP:port that it listens on.
	Address string

	cfg      WorkerConfig
	listener net.Listener
	mu       sync.Mutex
	runs     map[string]int
	log      []WorkerRun
	ordered  []WorkerOrder
	heads    map[string]*http.Request
	bodies   map[string]string
	held     map[string][]string
	orders   int
	conns    map[net.Conn]struct{}
	wg       conc.WaitGroup
}

// LargeAnswer is more than the buffers of a connection hold.
const LargeAnswer = 12 << 20

const (
	_workerBeats  = 5
	_workerPause  = 40 * time.Millisecond
	_workerSlots  = 8
	_workerSeal   = "X-Server-Seal"
	_workerID     = "X-Request-Id"
	_workerNotRun = "X-Not-Run"
)

// NewWorker listens, registers in the store and serves until Close.
func NewWorker(cfg WorkerConfig) (*Worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "standin: listen for a worker")
	}
	w := &Worker{
		Address:  listener.Addr().String(),
		cfg:      cfg,
		listener: listener,
		runs:     map[string]int{},
		heads:    map[string]*http.Request{},
		bodies:   map[string]string{},
		held:     map[string][]string{},
		conns:    map[net.Conn]struct{}{},
	}
	if cfg.Via != nil {
		w.Address = cfg.Via(w.Address)
	}
	for _, m := range cfg.Models {
		w.held[m] = []string{}
	}
	if err := w.Register("ready"); err != nil {
		_ = listener.Close()

		return nil, err
	}
	w.wg.Go(w.accept)

	return w, nil
}

// Close ends all connections and waits.
func (w *Worker) Close() {
	_ = w.listener.Close()
	w.mu.Lock()
	for c := range w.conns {
		_ = c.Close()
	}
	w.mu.Unlock()
	w.wg.Wait()
}

// Runs is how often a request has run.
func (w *Worker) Runs(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.runs[id]
}

// Log lists all runs, and Ordered all orders, as they came.
func (w *Worker) Log() []WorkerRun {
	w.mu.Lock()
	defer w.mu.Unlock()

	return slices.Clone(w.log)
}

// Ordered lists the orders that arrived.
func (w *Worker) Ordered() []WorkerOrder {
	w.mu.Lock()
	defer w.mu.Unlock()

	return slices.Clone(w.ordered)
}

// Seen is the head and the body of a request as they arrived, nil if it didn't.
func (w *Worker) Seen(id string) (*http.Request, string) {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.heads[id], w.bodies[id]
}

// Register writes the worker's entry with a state.
func (w *Worker) Register(state string) error {
	w.mu.Lock()
	entry := map[string]any{
		"service": w.cfg.Service,
		"addr":    w.Address,
		"zone":    "a",
		"slots":   _workerSlots,
		"state":   state,
		"born":    1,
		"models":  w.models(),
	}
	w.mu.Unlock()
	value, err := json.Marshal(entry)
	if err != nil {
		return eris.Wrap(err, "standin: encode a worker's entry")
	}
	version := 0
	if o, err := w.cfg.Store.Get(context.Background(), "servers", w.cfg.ID); err == nil {
		version = o.Version
	}
	_, err = w.cfg.Store.Put(context.Background(), "servers", w.cfg.ID, string(value), version)

	return err
}

func (w *Worker) models() []map[string]any {
	out := make([]map[string]any, 0, len(w.held))
	for m, adapters := range w.held {
		out = append(out, map[string]any{
			"name":     m,
			"version":  1,
			"adapters": adapters,
		})
	}

	return out
}

func (w *Worker) accept() {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[c] = struct{}{}
		w.mu.Unlock()
		w.wg.Go(func() {
			w.serve(c)
			_ = c.Close()
			w.mu.Lock()
			delete(w.conns, c)
			w.mu.Unlock()
		})
	}
}

func (w *Worker) serve(c net.Conn) {
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if modeOf(r) == "early" {
			open := w.answer(c, br, r, "")
			if _, err := io.Copy(io.Discard, r.Body); err != nil || !open {
				return
			}

			continue
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || !w.answer(c, br, r, string(body)) {
			return
		}
	}
}

// modeOf is how a request is to be answered.
func modeOf(r *http.Request) string {
	return r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:]
}

// answer answers one request and says whether the connection stays open.
func (w *Worker) answer(c net.Conn, br *bufio.Reader, r *http.Request, body string) bool {
	switch {
	case r.Header.Get("X-Expect-Instance") != "" && r.Header.Get("X-Expect-Instance") != w.cfg.ID:
		return send(c, "HTTP/1.1 421 Misdirected Request\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", w.cfg.ID)
	case r.URL.Path == "/api/report":
		return w.sendReport(c)
	case r.URL.Path == "/api/order":
		return w.takeOrder(c, body)
	}
	id := r.Header.Get(_workerID)
	model, adapter, _ := strings.Cut(r.Header.Get("X-Model"), "/")
	w.mu.Lock()
	adapters, held := w.held[model]
	w.mu.Unlock()
	if model != "" && (!held || adapter != "" && !contains(adapters, adapter)) {
		return send(c, "HTTP/1.1 421 Misdirected Request\r\n%s: %s\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", _workerID, id, w.cfg.ID)
	}
	mode := modeOf(r)
	w.mu.Lock()
	w.heads[id] = r
	w.bodies[id] = body
	run := -1
	if mode != "full" {
		w.runs[id]++
		run = len(w.log)
		w.log = append(w.log, WorkerRun{
			ID:    id,
			Began: time.Now(),
			Head:  r,
			Body:  body,
		})
	}
	w.mu.Unlock()
	ended, open := w.play(c, br, mode, id, r.Header.Get("Last-Event-Id"))
	if ended && run >= 0 {
		w.mu.Lock()
		w.log[run].Ended = time.Now()
		w.mu.Unlock()
	}

	return open
}

func contains(list []string, s string) bool {
	for _, v := range list {
		if v == s {
			return true
		}
	}

	return false
}

// play answers in one of the ways. It says whether all of a whole answer was
// sent, and whether the connection stays open.
func (w *Worker) play(c net.Conn, br *bufio.Reader, mode, id, last string) (ended, open bool) {
	signed := fmt.Sprintf("%s: %s\r\n%s: seal-%s\r\n", _workerID, id, _workerSeal, w.cfg.ID)
	if mode == "cutfail" {
		mode = "cut"
		if last != "" {
			mode = "error"
		}
	}
	both := func(sent bool) (bool, bool) { return sent, sent }
	const whole = "Content-Length: 5\r\n\r\nwhole"
	switch mode {
	case "misnumbered":
		if last == "" {
			sendMisnumbered(c, signed)

			return false, false
		}

		return both(w.playEvents(c, mode, signed, last))
	case "events", "slow", "beats", "cut", "weights":
		return both(w.playEvents(c, mode, signed, last))
	case "large":
		return both(send(c, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", signed, LargeAnswer, strings.Repeat("large ", LargeAnswer/6)))
	case "chunks":
		return both(send(c, "HTTP/1.1 200 OK\r\n%sTransfer-Encoding: chunked\r\n\r\n2;a=b\r\nwh\r\n3\r\nole\r\n0\r\nX-After: b\r\n\r\n", signed))
	case "interim":
		return both(send(c, "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\n%s%s", signed, whole))
	case "closing":
		return send(c, "HTTP/1.1 200 OK\r\n%sConnection: close\r\n%s", signed, whole), false
	case "error":
		return both(send(c, "HTTP/1.1 500 Failed\r\n%sContent-Length: 4\r\n\r\nfail", signed))
	case "short":
		send(c, "HTTP/1.1 200 OK\r\n%sContent-Length: 10\r\n\r\nhalf", signed)

		return false, false
	case "long":
		return both(send(c, "HTTP/1.1 200 OK\r\n%s%sHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra", signed, whole))
	case "late":
		return both(send(c, "HTTP/1.1 200 OK\r\n%s: other\r\n%s: seal\r\nContent-Length: 5\r\n\r\nother"+
			"HTTP/1.1 200 OK\r\n%s%s", _workerID, _workerSeal, signed, whole))
	case "unframed":
		return send(c, "HTTP/1.1 200 OK\r\n%s\r\nwhole", signed), false
	case "unsigned":
		return false, send(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s", _workerID, id, whole)
	case "encoded":
		return false, send(c, "HTTP/1.1 200 OK\r\n%sContent-Encoding: gzip\r\n%s", signed, whole)
	case "garbage":
		send(c, "\x00\x01garbage\r\n\r\n")

		return false, false
	case "full":
		return false, send(c, "HTTP/1.1 503 Full\r\n%s: %s\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", _workerID, id, _workerNotRun)
	case "hang":
		// Ends when the other side closes.
		_, _ = br.Peek(1)

		return false, false
	default:
		return both(send(c, "HTTP/1.1 200 OK\r\n%s%s", signed, whole))
	}
}

// _eventsHead is the head of a stream, with the fields that sign it.
const _eventsHead = "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

// playEvents sends the events after the one named last, and says whether all
// went out.
func (w *Worker) playEvents(c net.Conn, mode, signed, last string) bool {
	// No last event is the beginning.
	from, _ := strconv.Atoi(last)
	send(c, _eventsHead, signed)
	for i := from + 1; i <= _workerBeats; i++ {
		text := fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i)
		if mode == "weights" {
			if i == 3 {
				text = "x-weight-versions: 2\n" + text
			}
			text = strings.ReplaceAll(text, "\n", "\r\n")
		}
		half := len(text) / 2
		if mode == "cut" && i == 3 && from == 0 {
			send(c, "%x\r\n%s", len(text), text[:half])

			return false
		}
		if mode == "weights" {
			if !send(c, "%x\r\n%s", len(text), text[:half]) {
				return false
			}
			time.Sleep(_workerPause)
			if !send(c, "%s\r\n", text[half:]) {
				return false
			}

			continue
		}
		if !send(c, "%x\r\n%s\r\n", len(text), text) {
			return false
		}
		switch mode {
		case "slow":
			time.Sleep(_workerPause)
		case "beats":
			// Far enough from the event to be read alone.
			time.Sleep(_workerPause)
			if !send(c, "2\r\n\n\n\r\n") {
				return false
			}
		}
	}

	return send(c, "0\r\n\r\n")
}

// sendMisnumbered sends all events together and ends the stream as complete, with a wrong
// id in the third event.
func sendMisnumbered(c net.Conn, signed string) {
	send(c, _eventsHead, signed)
	var b strings.Builder
	for i := 1; i <= _workerBeats; i++ {
		id := i
		if i == 3 {
			id += 90
		}
		_, _ = fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", id, i)
	}
	send(c, "%x\r\n%s\r\n0\r\n\r\n", b.Len(), b.String())
}

func (w *Worker) sendReport(c net.Conn) bool {
	w.mu.Lock()
	body, err := json.Marshal(map[string]any{
		"stage":  "both",
		"born":   1,
		"models": w.models(),
		"seq":    w.orders,
	})
	w.mu.Unlock()
	if err != nil {
		return false
	}

	return send(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// takeOrder carries an order out at once.
func (w *Worker) takeOrder(c net.Conn, body string) bool {
	var o struct {
		Op      string `json:"op"`
		Model   string `json:"model"`
		Adapter string `json:"adapter"`
		Expect  int    `json:"expect"`
		Holder  string `json:"holder"`
		Fence   int    `json:"fence"`
	}
	if err := json.Unmarshal([]byte(body), &o); err != nil {
		return send(c, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ordered = append(w.ordered, WorkerOrder{
		Holder:  o.Holder,
		Fence:   o.Fence,
		Arrived: time.Now(),
	})
	if o.Expect != w.orders {
		return send(c, "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n")
	}
	w.orders++
	switch {
	case o.Op == "load" && o.Adapter == "":
		w.held[o.Model] = []string{}
	case o.Op == "load":
		w.held[o.Model] = append(w.held[o.Model], o.Adapter)
	case o.Adapter == "":
		delete(w.held, o.Model)
	default:
		kept := []string{}
		for _, a := range w.held[o.Model] {
			if a != o.Adapter {
				kept = append(kept, a)
			}
		}
		w.held[o.Model] = kept
	}

	return send(c, "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\n\r\n")
}

func send(c net.Conn, format string, args ...any) bool {
	_, err := fmt.Fprintf(c, format, args...)

	return err == nil
}
