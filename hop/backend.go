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

	"github.com/rotisserie/eris"
)

const (
	_backendBufferBytes = 4 << 10
	// _maxResponseHeadBytes limits the head of a response together with the
	// interim responses before it.
	_maxResponseHeadBytes = 32 << 10
	// _maxCopiedBytes is the size up to which a body is sent in one write with its
	// head.
	_maxCopiedBytes = 16 << 10
	// _idleTimeoutMargin is subtracted from the backend server's keep-alive
	// timeout, so that a connection isn't used just as the backend server closes
	// it.
	_idleTimeoutMargin = 300 * time.Millisecond
	// _defaultIdleTimeout applies if the backend server sends no keep-alive
	// timeout.
	_defaultIdleTimeout = 4 * time.Second
	// After a connection was reset on reuse, connections may be reused only up to
	// _idleLimitFactor times the time for which it had been idle, but at least
	// _minIdleLimit. The limit expires _idleLimitTTL after the last reset.
	_idleLimitFactor = 0.5
	_minIdleLimit    = 50 * time.Millisecond
	_idleLimitTTL    = 30 * time.Second
)

// IdleLimit limits how long connections to the backend servers of one service may be
// idle before reuse. Some backend servers drop idle connections before their
// announced timeout without closing them and reset the connection on the next
// request, which can't always be retried.
type IdleLimit struct {
	mu      sync.Mutex
	limit   time.Duration
	resetAt time.Time
}

// allows reports whether a connection that was idle for idleFor may be reused.
func (r *IdleLimit) allows(idleFor time.Duration, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.limit == 0 || now.Sub(r.resetAt) > _idleLimitTTL || idleFor <= r.limit
}

// recordReset lowers the limit after a connection that was idle for idleFor was
// reset.
func (r *IdleLimit) recordReset(idleFor time.Duration, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	limit := max(time.Duration(float64(idleFor)*_idleLimitFactor), _minIdleLimit)
	if r.limit == 0 || now.Sub(r.resetAt) > _idleLimitTTL || limit < r.limit {
		r.limit = limit
	}
	r.resetAt = now
}

// DialError wraps the error of a connection that could not be established. No byte
// of the request was sent.
type DialError struct {
	Err error
}

// Error includes the address if the dial was attempted.
func (e *DialError) Error() string {
	return "dial backend server: " + e.Err.Error()
}

// Unwrap returns the error of the dial.
func (e *DialError) Unwrap() error {
	return e.Err
}

// Pool holds the connections to one backend server. It must not be reused for a
// different backend server at the same address.
type Pool struct {
	address   string
	mu        sync.Mutex
	idle      []*Conn
	open      int
	closed    bool
	dialed    func()
	idleLimit *IdleLimit
}

// NewPool returns an empty pool for the backend server at address. It calls dialed
// before each dial. The pools of a service share idleLimit.
func NewPool(address string, dialed func(), idleLimit *IdleLimit) *Pool {
	return &Pool{
		address:   address,
		dialed:    dialed,
		idleLimit: idleLimit,
	}
}

// Open returns the number of open connections, in use or idle.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.open
}

// Get returns an idle connection that can be reused, or dials a new one.
func (p *Pool) Get(timeout time.Duration) (*Conn, error) {
	for {
		c := p.pop()
		if c == nil {
			return p.dial(timeout)
		}
		now := time.Now()
		c.idleFor = now.Sub(c.idleSince)
		if now.Before(c.idleUntil) && p.idleLimit.allows(c.idleFor, now) && isReusable(c.nc) {
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
		return nil, &DialError{Err: errors.New("timeout expired before dialing")}
	}
	p.dialed()
	nc, err := net.DialTimeout("tcp", p.address, timeout)
	if err != nil {
		return nil, &DialError{Err: err}
	}
	// On failure the connection still works; a peer that has disappeared is only
	// detected later.
	_ = setPeerTimeouts(nc, _backendUserTimeout)
	c := &Conn{
		pool: p,
		nc:   nc,
		br:   bufio.NewReaderSize(nc, _backendBufferBytes),
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.open++

	return c, nil
}

// put returns a connection to the pool, or closes it if the pool is closed.
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

// Trim closes the connections whose idle timeout has expired.
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

// Close closes the idle connections. Connections in use are closed when they are
// released.
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

// Conn is a connection to a backend server. It carries one request at a time.
type Conn struct {
	// Reused is set if the connection has carried a request before.
	Reused bool

	pool      *Pool
	nc        net.Conn
	br        *bufio.Reader
	out       []byte
	head      *Head
	body      *body
	idleSince time.Time
	idleUntil time.Time
	// idleFor is how long the connection was idle before the current request.
	idleFor time.Duration
	once    sync.Once
	// pending is set while a request may have been sent and its response is
	// incomplete.
	pending atomic.Bool
	sent    bool
}

// Close closes the connection. It may be called while another goroutine is
// blocked in a method of c. If the response is incomplete, Close resets the
// connection: that discards bytes of the request that are not yet delivered,
// for example during a network partition, so that the backend server doesn't run
// a request that nobody waits for any more.
func (c *Conn) Close() {
	c.once.Do(func() {
		if tcp, ok := c.nc.(*net.TCPConn); ok && c.pending.Load() {
			// If this fails, undelivered bytes may still be delivered late.
			_ = tcp.SetLinger(0)
		}
		_ = c.nc.Close()
		c.pool.mu.Lock()
		c.pool.open--
		c.pool.mu.Unlock()
	})
}

// SetDeadline sets the read and write deadline of the connection.
func (c *Conn) SetDeadline(t time.Time) {
	_ = c.nc.SetDeadline(t)
}

// Send writes a request with the method and target of head, the given fields and
// the body. If framed is set, it adds a Content-Length field. After an error the
// request may still have arrived.
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
	c.pending.Store(true)
	var err error
	if len(body) > _maxCopiedBytes {
		parts := net.Buffers{out, body}
		_, err = parts.WriteTo(c.nc)
	} else {
		out = append(out, body...)
		_, err = c.nc.Write(out)
	}
	c.sent = err == nil
	c.recordIfReset(err)
	if cap(out) <= _maxResponseHeadBytes {
		c.out = out
	}

	return err
}

// recordIfReset lowers the pool's idle limit if err is a reset of a reused
// connection.
func (c *Conn) recordIfReset(err error) {
	if c.Reused && (errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)) {
		c.pool.idleLimit.recordReset(c.idleFor, time.Now())
	}
}

// EndsWithConnection reports whether the response whose head was read last has no
// other end than that of the connection. It may be incomplete without a sign of it.
func (c *Conn) EndsWithConnection() bool {
	return c.body.untilClose
}

// ReadHead reads the head of the response to a request with the given method. It
// skips interim responses.
func (c *Conn) ReadHead(method string) (*Head, error) {
	for remaining := _maxResponseHeadBytes; ; {
		text, err := readHeadText(c.br, remaining)
		if err != nil {
			c.recordIfReset(err)

			return nil, err
		}
		remaining -= len(text)
		h, err := parseResponse(text)
		if err != nil {
			return nil, err
		}
		if h.Status == 101 {
			// No request asks for another protocol, and no answer follows.
			return nil, eris.Wrapf(ErrMalformed, "status 101")
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
			c.body.untilClose = true
		}

		return h, nil
	}
}

// ReadBody reads bytes of the response body into p. It returns io.EOF at the end of a
// complete body.
func (c *Conn) ReadBody(p []byte) (int, error) {
	n, err := c.body.read(p)
	if n > 0 && errors.Is(err, io.EOF) {
		err = nil
	}

	return n, err
}

// ReadAll reads the whole body of at most limit bytes and reserves memory for it
// from share, which may be nil.
func (c *Conn) ReadAll(limit int, share *Reservation) ([]byte, error) {
	return c.body.readAll(limit, share)
}

// Discard reads and discards the rest of a body of at most limit bytes.
func (c *Conn) Discard(limit int) error {
	return c.body.discard(limit)
}

// Length returns the number of unread bytes of the body, which before the first
// read is its declared length. It returns -1 if the body is chunked or extends to
// the end of the connection.
func (c *Conn) Length() int {
	if c.body.chunked || c.body.untilClose {
		return -1
	}

	return c.body.remaining
}

// announcesBody reports whether the head of a response that ends with it announces a
// body nonetheless, which may arrive later. Content-Length may be that of what 304
// stands for.
func (c *Conn) announcesBody() bool {
	switch c.head.Status {
	case 204:
		return c.Length() != 0
	case 304:
		return c.body.chunked
	default:
		return false
	}
}

// Release returns the connection to the pool if the request was sent completely,
// the response is complete and no further bytes have arrived or are announced;
// otherwise it closes the connection. verified reports that the response is known to belong to the
// request.
func (c *Conn) Release(verified bool) {
	if !verified || c.head == nil || !c.body.done || c.body.untilClose || !c.sent || c.br.Buffered() > 0 ||
		c.announcesBody() || HasToken(c.head.Value("Connection"), "close") {
		c.Close()

		return
	}
	idleTimeout := _defaultIdleTimeout
	if value, ok := strings.CutPrefix(c.head.Value("Keep-Alive"), "timeout="); ok {
		value, _, _ = strings.Cut(value, ",")
		if seconds, err := strconv.Atoi(strings.TrimSpace(value)); err == nil {
			idleTimeout = time.Duration(seconds)*time.Second - _idleTimeoutMargin
		}
	}
	c.pending.Store(false)
	c.idleSince = time.Now()
	c.idleUntil = c.idleSince.Add(idleTimeout)
	c.head = nil
	c.body = nil
	c.sent = false
	c.SetDeadline(time.Time{})
	c.pool.put(c)
}
