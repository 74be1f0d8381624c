package hop

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	_backendBuffer = 4 << 10
	// _maxAnswerHead bounds an answer's head together with the interim answers
	// before it.
	_maxAnswerHead = 32 << 10
	// _idleMargin keeps a connection from being used just as the backend
	// server closes it.
	_idleMargin = 300 * time.Millisecond
	// _idleDefault is how long a connection is kept when the backend server
	// doesn't say.
	_idleDefault = 4 * time.Second
	// _restShare is the part of the rest after which a connection was forgotten
	// that others are allowed, _restLeast the least, and _restMemory how long
	// that holds.
	_restShare  = 0.5
	_restLeast  = 50 * time.Millisecond
	_restMemory = 30 * time.Second
)

// Rest is how long idle connections to the backend servers of one service may
// rest. Some forget connections sooner than they say, without closing them, and
// reset what is sent next, which can't always be sent again.
type Rest struct {
	mu   sync.Mutex
	most time.Duration
	at   time.Time
}

// allows says whether a connection that rested so long may be used.
func (r *Rest) allows(rested time.Duration, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.most == 0 || now.Sub(r.at) > _restMemory || rested <= r.most
}

// forgotten notes that a connection that rested so long was reset.
func (r *Rest) forgotten(rested time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	most := max(time.Duration(float64(rested)*_restShare), _restLeast)
	if r.most == 0 || now.Sub(r.at) > _restMemory || most < r.most {
		r.most = most
	}
	r.at = now
}

// ErrDial wraps the error of a connection that could not be made: nothing of
// the request has left.
type ErrDial struct {
	Err error
}

// Error names the address.
func (e *ErrDial) Error() string {
	return "dial backend server: " + e.Err.Error()
}

// Unwrap is the error of the dial.
func (e *ErrDial) Unwrap() error {
	return e.Err
}

// Pool keeps the connections to one backend server. It must not be used for
// another one at the same address.
type Pool struct {
	address string
	mu      sync.Mutex
	idle    []*Conn
	open    int
	closed  bool
	dialed  func()
	rest    *Rest
}

// NewPool returns an empty pool; dialed is called for each new connection, and
// rest is shared by the pools of a service.
func NewPool(address string, dialed func(), rest *Rest) *Pool {
	return &Pool{
		address: address,
		dialed:  dialed,
		rest:    rest,
	}
}

// Open is how many connections are open, used or idle.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.open
}

// Get returns an idle connection that is still quiet, or a new one.
func (p *Pool) Get(timeout time.Duration) (*Conn, error) {
	for {
		c := p.pop()
		if c == nil {
			return p.dial(timeout)
		}
		now := time.Now()
		c.rested = now.Sub(c.idleSince)
		if now.Before(c.idleUntil) && p.rest.allows(c.rested, now) && isQuiet(c.nc) {
			c.Reused = true

			return c, nil
		}
		c.Close()
	}
}

func (p *Pool) pop() *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]

	return c
}

func (p *Pool) dial(timeout time.Duration) (*Conn, error) {
	if timeout <= 0 {
		return nil, &ErrDial{Err: errors.New("no time left")}
	}
	p.dialed()
	nc, err := net.DialTimeout("tcp", p.address, timeout)
	if err != nil {
		return nil, &ErrDial{Err: err}
	}
	// A connection without the guard works; it only ends later when silent.
	_ = guardSilence(nc, _silence)
	c := &Conn{
		pool: p,
		nc:   nc,
		br:   bufio.NewReaderSize(nc, _backendBuffer),
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open++

	return c, nil
}

// put keeps a connection for the next request.
func (p *Pool) put(c *Conn) {
	p.mu.Lock()
	if !p.closed {
		p.idle = append(p.idle, c)
		p.mu.Unlock()

		return
	}
	p.mu.Unlock()
	c.Close()
}

// Trim closes the connections that have been idle for too long.
func (p *Pool) Trim() {
	now := time.Now()
	var old []*Conn
	p.mu.Lock()
	keep := p.idle[:0]
	for _, c := range p.idle {
		if now.Before(c.idleUntil) {
			keep = append(keep, c)
		} else {
			old = append(old, c)
		}
	}
	p.idle = keep
	p.mu.Unlock()
	for _, c := range old {
		c.Close()
	}
}

// Close closes the idle connections; those in use close after their answer.
func (p *Pool) Close() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.closed = true
	p.mu.Unlock()
	for _, c := range idle {
		c.Close()
	}
}

// Conn is one connection to a backend server, used for one request at a time.
type Conn struct {
	// Reused says that it has carried a request before.
	Reused bool

	pool      *Pool
	nc        net.Conn
	br        *bufio.Reader
	out       []byte
	head      *Head
	body      *body
	idleSince time.Time
	idleUntil time.Time
	// rested is how long it was idle before its present request.
	rested time.Duration
	once   sync.Once
	// pending says that a request has left and its answer isn't whole.
	pending atomic.Bool
	sent    bool
}

// Close closes the connection. It may be called while another goroutine
// waits in it. A request that has no whole answer yet is taken back as far as
// can be: a reset lets what is still on its way, behind a cut, be lost, so that
// it doesn't run when nobody waits for it any more.
func (c *Conn) Close() {
	c.once.Do(func() {
		if tcp, ok := c.nc.(*net.TCPConn); ok && c.pending.Load() {
			// Without it, the bytes may arrive late, as they did before.
			_ = tcp.SetLinger(0)
		}
		_ = c.nc.Close()
		c.pool.mu.Lock()
		c.pool.open--
		c.pool.mu.Unlock()
	})
}

// SetDeadline ends all waits in the connection at t.
func (c *Conn) SetDeadline(t time.Time) {
	_ = c.nc.SetDeadline(t)
}

// Send writes a request: the method and target of head, the fields given, and
// the body. After an error the request may have arrived.
func (c *Conn) Send(head *Head, fields []Field, body []byte, framed bool) error {
	out := c.out[:0]
	out = append(out, head.Method...)
	out = append(out, ' ')
	out = append(out, head.Target...)
	out = append(out, " HTTP/1.1\r\n"...)
	for _, f := range fields {
		out = appendField(out, f.Name, f.Value)
	}
	if framed {
		out = append(out, "Content-Length: "...)
		out = strconv.AppendInt(out, int64(len(body)), 10)
		out = append(out, "\r\n"...)
	}
	out = append(out, "\r\n"...)
	out = append(out, body...)
	c.pending.Store(true)
	_, err := c.nc.Write(out)
	c.sent = err == nil
	c.noteForgotten(err)
	if cap(out) <= _maxAnswerHead {
		c.out = out
	}

	return err
}

// noteForgotten notes a reset of a connection that had rested.
func (c *Conn) noteForgotten(err error) {
	if c.Reused && (errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)) {
		c.pool.rest.forgotten(c.rested, time.Now())
	}
}

// ReadHead reads the head of the answer; interim answers are passed over.
func (c *Conn) ReadHead(method string) (*Head, error) {
	for left := _maxAnswerHead; ; {
		text, err := readHead(c.br, left)
		if err != nil {
			c.noteForgotten(err)

			return nil, err
		}
		left -= len(text)
		h, err := parseResponse(text)
		if err != nil {
			return nil, err
		}
		if h.Status < 200 {
			continue
		}
		f, err := h.framing()
		if err != nil {
			return nil, err
		}
		c.head = h
		c.body = newBody(c.br, f)
		switch {
		case method == "HEAD" || h.Status == 204 || h.Status == 304:
			c.body.done = true
		case !f.chunked && f.length < 0:
			c.body.done = false
			c.body.toEnd = true
		}

		return h, nil
	}
}

// Next reads a piece of the answer's body; io.EOF is its proper end.
func (c *Conn) Next(p []byte) (int, error) {
	n, err := c.body.next(p)
	if n > 0 && errors.Is(err, io.EOF) {
		err = nil
	}

	return n, err
}

// ReadAll reads the whole body of at most limit bytes into memory of share,
// which may be nil.
func (c *Conn) ReadAll(limit int, share *Share) ([]byte, error) {
	return c.body.readAll(limit, share)
}

// Discard reads the rest of a body of at most limit bytes and keeps nothing.
func (c *Conn) Discard(limit int) error {
	return c.body.discard(limit)
}

// Length is the declared length of the body, -1 if it comes in chunks or ends
// with the connection.
func (c *Conn) Length() int {
	if c.body.chunked || c.body.toEnd {
		return -1
	}

	return c.body.left
}

// Release keeps the connection for another request if the answer was
// complete, the request went out whole and nothing more has come; else it
// closes it. ours says that the answer was found to be the request's own.
func (c *Conn) Release(ours bool) {
	if !ours || c.head == nil || !c.body.done || c.body.toEnd || !c.sent || c.br.Buffered() > 0 ||
		HasToken(c.head.Value("Connection"), "close") {
		c.Close()

		return
	}
	keep := _idleDefault
	if value, ok := strings.CutPrefix(c.head.Value("Keep-Alive"), "timeout="); ok {
		value, _, _ = strings.Cut(value, ",")
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
			keep = time.Duration(seconds)*time.Second - _idleMargin
		}
	}
	c.pending.Store(false)
	c.idleSince = time.Now()
	c.idleUntil = c.idleSince.Add(keep)
	c.head = nil
	c.body = nil
	c.sent = false
	c.SetDeadline(time.Time{})
	c.pool.put(c)
}
