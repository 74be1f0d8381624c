package standin3

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

	"golang.org/x/sys/unix"

	"papayastair.dev/papayastair/objectstore"
)

const (
	_heartbeat    = 1200 * time.Millisecond
	_adapterLoad  = 10 * time.Millisecond
	_modelLoad    = 600 * time.Millisecond
	_events       = 5
	_eventPause   = 15 * time.Millisecond
	_slots        = 16
	_queued       = 4
	_weightsMB    = 100.0
	_loraSlots    = 3
	_modelMB      = 40.0
	_adapterMB    = 1.0
	_loadsPerS    = 5.0
	_headerID     = "X-Request-Id"
	_headerExpect = "X-Expect-Instance"
	_statusOK     = "200 OK"
	_statusMoved  = "421 Misdirected Request"
)

// engineConfig describes a stand-in of a worker. A plain one answers with a body of known
// length and takes no orders. Begun is called when a request begins to run, before the first
// byte of its answer; if it returns true, the worker crashes. It may be nil.
type engineConfig struct {
	ID      string
	Service string
	Zone    string
	Models  []string
	Plain   bool
	Store   objectstore.Store
	Record  *record
	Begun   func(e *engine, r *http.Request) bool
	// Dark is how long a worker that crashes is silent before its connections are reset; 0 if
	// they are at once.
	Dark time.Duration
}

// order is an order as it arrived at a worker.
type order struct {
	At      time.Time
	Server  string
	Op      string
	Model   string
	Adapter string
	Expect  *int
	Holder  string
	Fence   int
	Status  int
}

// engine is a worker: it registers in the store, takes orders one after the other and
// answers requests, a model worker by streams of events.
type engine struct {
	cfg      engineConfig
	listener net.Listener
	born     int64
	stop     chan struct{}
	once     sync.Once
	wg       sync.WaitGroup

	mu       sync.Mutex
	adapters map[string][]string
	inUse    map[string]int
	running  int
	seq      int
	beats    int
	busy     bool
	overload bool
	dark     bool
	orders   []order
	conns    map[net.Conn]bool
}

func newEngine(cfg engineConfig) (*engine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{
		cfg:      cfg,
		listener: listener,
		born:     time.Now().UnixMilli(),
		stop:     make(chan struct{}),
		adapters: map[string][]string{},
		inUse:    map[string]int{},
		conns:    map[net.Conn]bool{},
	}
	for _, m := range cfg.Models {
		e.adapters[m] = nil
	}
	if err := e.register(); err != nil {
		return nil, err
	}
	e.wg.Add(2)
	go e.accept()
	go e.beat()

	return e, nil
}

// Close ends all connections and waits.
func (e *engine) Close() {
	e.once.Do(func() { close(e.stop) })
	_ = e.listener.Close()
	e.mu.Lock()
	for c := range e.conns {
		_ = c.Close()
	}
	e.mu.Unlock()
	e.wg.Wait()
}

// crash ends the worker: its connections are reset, and nothing listens any more.
func (e *engine) crash() {
	e.once.Do(func() { close(e.stop) })
	_ = e.listener.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			// Without it the close is no reset, which a crash may be, too.
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// goDark makes the worker silent, as a machine that has lost power: it answers nothing, not
// even new connections, and its heartbeats end.
func (e *engine) goDark() {
	e.once.Do(func() { close(e.stop) })
	e.mu.Lock()
	e.dark = true
	e.mu.Unlock()
	if tcp, ok := e.listener.(*net.TCPListener); ok {
		if raw, err := tcp.SyscallConn(); err == nil {
			// With a full queue of new connections the kernel answers no others.
			_ = raw.Control(func(fd uintptr) { _ = unix.Listen(int(fd), 0) })
		}
	}
	for range _queued {
		go func() {
			c, err := net.DialTimeout("tcp", e.listener.Addr().String(), e.cfg.Dark)
			if err == nil {
				time.Sleep(e.cfg.Dark)
				_ = c.Close()
			}
		}()
	}
	time.Sleep(e.cfg.Dark)
}

// isDark reports whether the worker is silent.
func (e *engine) isDark() bool {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.dark
}

// beat writes the entry at each heartbeat.
func (e *engine) beat() {
	defer e.wg.Done()
	ticker := time.NewTicker(_heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-e.stop:
			return
		case <-ticker.C:
			// While the store is away the next heartbeat tries again.
			_ = e.register()
		}
	}
}

// register writes the entry of the worker.
func (e *engine) register() error {
	e.mu.Lock()
	e.beats++
	value, err := json.Marshal(map[string]any{
		"service":      e.cfg.Service,
		"addr":         e.listener.Addr().String(),
		"zone":         e.cfg.Zone,
		"version":      "v1",
		"slots":        _slots,
		"state":        "ready",
		"cold_left_ms": 0,
		"stage":        "both",
		"born":         e.born,
		"models":       e.models(),
		"seq":          e.beats,
	})
	e.mu.Unlock()
	if err != nil {
		return err
	}
	ctx := context.Background()
	version := 0
	if o, err := e.cfg.Store.Get(ctx, "servers", e.cfg.ID); err == nil {
		version = o.Version
	}
	_, err = e.cfg.Store.Put(ctx, "servers", e.cfg.ID, string(value), version)

	return err
}

// models returns what the worker holds. e.mu must be held.
func (e *engine) models() []map[string]any {
	out := make([]map[string]any, 0, len(e.adapters))
	for m, adapters := range e.adapters {
		out = append(out, map[string]any{
			"name":     m,
			"version":  1,
			"adapters": append([]string{}, adapters...),
		})
	}

	return out
}

func (e *engine) accept() {
	defer e.wg.Done()
	for {
		c, err := e.listener.Accept()
		if err != nil {
			return
		}
		e.mu.Lock()
		e.conns[c] = true
		dark := e.dark
		e.mu.Unlock()
		if dark {
			return
		}
		e.wg.Add(1)
		go func() {
			defer e.wg.Done()
			e.serve(c)
			_ = c.Close()
			e.mu.Lock()
			delete(e.conns, c)
			e.mu.Unlock()
		}()
	}
}

func (e *engine) serve(c net.Conn) {
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil || !e.answer(c, r, body) {
			return
		}
	}
}

// reply sends an answer with a body of known length, and reports whether it was sent.
func reply(c net.Conn, status, fields, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, fields, len(body), body)

	return err == nil
}

func (e *engine) answer(c net.Conn, r *http.Request, body []byte) bool {
	if e.isDark() {
		time.Sleep(e.cfg.Dark)

		return false
	}
	id := r.Header.Get(_headerID)
	echo := ""
	if id != "" {
		echo = _headerID + ": " + id + "\r\n"
	}
	if expect := r.Header.Get(_headerExpect); expect != "" && expect != e.cfg.ID {
		return reply(c, _statusMoved, echo+"X-Instance-Id: "+e.cfg.ID+"\r\n", "")
	}
	switch r.URL.Path {
	case "/api/report":
		return e.report(c)
	case "/api/order":
		return e.takeOrder(c, body)
	case "/healthz":
		return reply(c, _statusOK, "X-Instance-Id: "+e.cfg.ID+"\r\n", "")
	}
	model, adapter, _ := strings.Cut(r.Header.Get("X-Model"), "/")
	if !e.begin(model, adapter) {
		return reply(c, _statusMoved, echo+"X-Instance-Id: "+e.cfg.ID+"\r\n", "")
	}
	defer e.end(model, adapter)
	if e.cfg.Begun != nil && e.cfg.Begun(e, r) {
		if e.cfg.Dark > 0 {
			e.goDark()
		}
		e.crash()

		return false
	}
	if e.cfg.Plain {
		return reply(c, _statusOK, echo+"X-Server-Seal: "+e.cfg.ID+"\r\n", e.cfg.Service)
	}

	return e.stream(c, r, echo)
}

// begin reports whether the worker holds the target, and counts the run.
func (e *engine) begin(model, adapter string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	adapters, ok := e.adapters[model]
	if !e.cfg.Plain && (!ok || adapter != "" && !slices.Contains(adapters, adapter)) {
		return false
	}
	e.running++
	e.inUse[model+"/"+adapter]++

	return true
}

func (e *engine) end(model, adapter string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	e.inUse[model+"/"+adapter]--
}

// stream answers by events, from the one after Last-Event-Id on.
func (e *engine) stream(c net.Conn, r *http.Request, echo string) bool {
	// Without the field the stream begins with the first event.
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	_, err := fmt.Fprintf(c, "HTTP/1.1 %s\r\n%sX-Server-Seal: %s\r\nX-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		_statusOK, echo, e.cfg.ID)
	for i := from + 1; err == nil && i <= _events; i++ {
		time.Sleep(_eventPause)
		text := fmt.Sprintf("id: %d\ndata: event %d\n\n", i, i)
		_, err = fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text)
	}
	if err == nil {
		_, err = io.WriteString(c, "0\r\n\r\n")
	}

	return err == nil
}

func (e *engine) report(c net.Conn) bool {
	e.mu.Lock()
	body, err := json.Marshal(map[string]any{
		"stage":    "both",
		"born":     e.born,
		"models":   e.models(),
		"busy":     e.busy,
		"seq":      e.seq,
		"queued":   0,
		"running":  e.running,
		"kv_used":  0,
		"kv_total": 100000,
		"handles":  0,
		"coming":   []string{},
	})
	e.mu.Unlock()
	if err != nil {
		return false
	}

	return reply(c, _statusOK, "Content-Type: application/json\r\n", string(body))
}

// takeOrder notes and carries out an order.
func (e *engine) takeOrder(c net.Conn, body []byte) bool {
	o := order{
		At:     time.Now(),
		Server: e.cfg.ID,
	}
	if err := json.Unmarshal(body, &o); err != nil {
		return reply(c, "400 Bad Request", "", "")
	}
	e.mu.Lock()
	o.Status = e.carryOut(o)
	e.orders = append(e.orders, o)
	e.mu.Unlock()
	expect := "-"
	if o.Expect != nil {
		expect = strconv.Itoa(*o.Expect)
	}
	e.cfg.Record.write("order at %s (zone %s) from %s fence %d: %s %s %s expect %s: %d", o.Server, e.cfg.Zone, o.Holder, o.Fence, o.Op, o.Model, o.Adapter, expect, o.Status)

	return reply(c, fmt.Sprintf("%d %s", o.Status, http.StatusText(o.Status)), "", "")
}

// carryOut carries out an order and returns the status of the answer. e.mu must be held.
func (e *engine) carryOut(o order) int {
	adapters, held := e.adapters[o.Model]
	switch {
	case o.Holder == "" || o.Fence == 0:
		return http.StatusBadRequest
	case o.Expect != nil && *o.Expect != e.seq:
		return http.StatusConflict
	case o.Adapter != "" && !held:
		return http.StatusConflict
	case o.Adapter != "" && o.Op == "load":
		return e.loadAdapter(o, adapters)
	case o.Adapter != "":
		return e.unloadAdapter(o, adapters)
	case e.busy:
		return http.StatusConflict
	case (o.Op == "load") == held:
		return http.StatusOK
	}
	e.seq++
	e.busy = true
	if o.Op == "unload" {
		delete(e.adapters, o.Model)
	} else if float64(len(e.adapters)+1)*_modelMB+_loraSlots*_adapterMB > _weightsMB {
		e.overload = true
	}
	time.AfterFunc(_modelLoad, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.busy = false
		if o.Op == "load" {
			e.adapters[o.Model] = nil
		}
	})

	return http.StatusAccepted
}

// loadAdapter loads an adapter. e.mu must be held.
func (e *engine) loadAdapter(o order, adapters []string) int {
	if slices.Contains(adapters, o.Adapter) {
		return http.StatusOK
	}
	n := 0
	for _, a := range e.adapters {
		n += len(a)
	}
	e.overload = e.overload || n >= _loraSlots
	e.seq++
	time.AfterFunc(_adapterLoad, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.adapters[o.Model] = append(e.adapters[o.Model], o.Adapter)
	})

	return http.StatusAccepted
}

// unloadAdapter unloads an adapter that no request uses. e.mu must be held.
func (e *engine) unloadAdapter(o order, adapters []string) int {
	i := slices.Index(adapters, o.Adapter)
	switch {
	case i < 0:
		return http.StatusOK
	case e.inUse[o.Model+"/"+o.Adapter] > 0:
		return http.StatusConflict
	}
	e.adapters[o.Model] = slices.Delete(slices.Clone(adapters), i, i+1)
	e.seq++

	return http.StatusOK
}

// taken returns the orders that arrived.
func (e *engine) taken() []order {
	e.mu.Lock()
	defer e.mu.Unlock()

	return slices.Clone(e.orders)
}
