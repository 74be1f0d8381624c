package connection

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"papayastair.dev/papayastair/timer"
)

const (
	// _maxUnused is the longest time between two calls on one connection of a Pool. A
	// connection that was not used for longer may have gone silent without a reset.
	_maxUnused = 500 * time.Millisecond
	// _latencyFactor is how many times the latest latency a Pool waits for an answer
	// before it sends a call again.
	_latencyFactor = 2
)

// Pool makes HTTP calls to one address. It keeps connections for calls in quick
// succession only, and repeats a call whose connection seems to have gone silent if the
// call may be sent twice. Use NewPool.
type Pool struct {
	cfg PoolConfig
	// latency is that of the latest answer, or of a repeated call without one.
	latency atomic.Int64

	mu     sync.Mutex
	closed bool
	// idle holds the connections without a call, in the order of their last use.
	idle []*pooledConn
	open map[*pooledConn]struct{}
	trim *time.Timer
}

// PoolConfig configures a Pool.
type PoolConfig struct {
	// Address is the IP address and port of the server.
	Address string
	// MaxBodyBytes bounds the body of an answer. It must be positive.
	MaxBodyBytes int
}

// Call is one call of a Pool.
type Call struct {
	Request  *fasthttp.Request
	Response *fasthttp.Response
	// Timeout bounds the whole call.
	Timeout time.Duration
	// Hold is how long the server may wait before it answers, beside its latency.
	Hold time.Duration
	// Patience is the time without an answer, beside Hold, after which the call is sent
	// again on a new connection; it is longer while the server is slow. A call with
	// Patience 0 is never sent twice.
	Patience time.Duration
	// Repeated is called before the call is sent again; nil for nothing.
	Repeated func(failure *CallError)
}

// CallError is the failure of a call that may have been sent.
type CallError struct {
	Err error
	// Reused reports whether the connection had been used before.
	Reused bool
	// Age is the time from the connection's establishment to the call, and Unused that
	// from its last use.
	Age    time.Duration
	Unused time.Duration
	// Waited is the time from the call to the failure.
	Waited time.Duration
	// answered is set once a byte of the answer has arrived.
	answered bool
}

// Error describes the failure and the connection.
func (e *CallError) Error() string {
	return fmt.Sprintf("after %s on a connection %s old, unused for %s: %s", e.Waited, e.Age, e.Unused, e.Err)
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Err }

// pooledConn is a connection of a Pool. Its times are by timer.Elapsed.
type pooledConn struct {
	net.Conn

	openedAt time.Duration
	usedAt   time.Duration
	reused   bool
}

// NewPool returns a Pool without connections.
func NewPool(cfg PoolConfig) *Pool {
	return &Pool{
		cfg:  cfg,
		open: map[*pooledConn]struct{}{},
	}
}

// Close closes all connections, also those in use, and those opened later.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.idle = nil
	if p.trim != nil {
		p.trim.Stop()
	}
	for c := range p.open {
		// A call on it fails.
		_ = c.Close()
	}
}

// Do makes a call. An error for which NotSent is false is a *CallError, and the call may
// have been run.
func (p *Pool) Do(call Call) error {
	deadline := time.Now().Add(call.Timeout)
	conn, err := p.get(deadline)
	if err != nil {
		return err
	}
	answerBy := deadline
	if by := time.Now().Add(call.Hold + p.patience(call)); call.Patience > 0 && by.Before(deadline) {
		answerBy = by
	}
	failure := p.exchange(conn, call, answerBy, deadline)
	if failure == nil {
		return nil
	}
	timedOut := !time.Now().Before(answerBy)
	if call.Patience <= 0 || failure.answered || !timedOut && !failure.Reused || !time.Now().Before(deadline) {
		return failure
	}
	if call.Repeated != nil {
		call.Repeated(failure)
	}
	conn, err = p.dial(deadline)
	if err != nil {
		// The first copy may have arrived.
		return errors.Join(failure, err)
	}
	again := p.exchange(conn, call, deadline, deadline)
	if again == nil {
		return nil
	}
	if !again.answered {
		p.observe(again.Waited - call.Hold)
	}

	return again
}

// patience returns the time without an answer after which a call is sent again.
func (p *Pool) patience(call Call) time.Duration {
	return max(call.Patience, _latencyFactor*time.Duration(p.latency.Load()))
}

// observe records the latency of an answer.
func (p *Pool) observe(latency time.Duration) {
	p.latency.Store(int64(max(latency, 0)))
}

// exchange sends a call and reads the answer, of which the first byte must arrive until
// answerBy, no later than deadline. It returns nil if the answer is complete.
func (p *Pool) exchange(conn *pooledConn, call Call, answerBy, deadline time.Time) *CallError {
	began, at := time.Now(), timer.Elapsed()
	answered, err := p.transfer(conn, call, answerBy, deadline)
	if err == nil {
		return nil
	}
	p.drop(conn)
	if !answered {
		p.dropUnusedSince(at)
	}

	return &CallError{
		Err:      err,
		Reused:   conn.reused,
		Age:      at - conn.openedAt,
		Unused:   at - conn.usedAt,
		Waited:   time.Since(began),
		answered: answered,
	}
}

// transfer sends a call and reads the answer. It reports whether a byte of the answer has
// arrived, and keeps the connection if it can be used again.
func (p *Pool) transfer(conn *pooledConn, call Call, answerBy, deadline time.Time) (answered bool, err error) {
	if err := conn.SetDeadline(deadline); err != nil {
		return false, err
	}
	w := bufio.NewWriter(conn)
	if err := call.Request.Write(w); err != nil {
		return false, err
	}
	if err := w.Flush(); err != nil {
		return false, err
	}
	sent := time.Now()
	if err := conn.SetReadDeadline(answerBy); err != nil {
		return false, err
	}
	r := acquireReader(conn)
	defer releaseReader(r)
	if _, err := r.Peek(1); err != nil {
		return false, err
	}
	p.observe(time.Since(sent) - call.Hold)
	if err := conn.SetReadDeadline(deadline); err != nil {
		return true, err
	}
	call.Response.Reset()
	if err := call.Response.ReadLimitBody(r, p.cfg.MaxBodyBytes); err != nil {
		return true, err
	}
	if call.Response.ConnectionClose() || r.Buffered() > 0 || isBodiless(call.Response.StatusCode()) {
		p.drop(conn)

		return true, nil
	}
	p.put(conn)

	return true, nil
}

// _readers holds buffered readers that are not in use.
var _readers = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, _maxHeaderBytes) }}

func acquireReader(conn net.Conn) *bufio.Reader {
	r, ok := _readers.Get().(*bufio.Reader)
	if !ok {
		return bufio.NewReaderSize(conn, _maxHeaderBytes)
	}
	r.Reset(conn)

	return r
}

func releaseReader(r *bufio.Reader) {
	r.Reset(nil)
	_readers.Put(r)
}

// get returns the connection that was used last, or a new one.
func (p *Pool) get(deadline time.Time) (*pooledConn, error) {
	p.mu.Lock()
	p.dropUnused()
	if n := len(p.idle); n > 0 {
		conn := p.idle[n-1]
		p.idle = p.idle[:n-1]
		conn.reused = true
		p.mu.Unlock()

		return conn, nil
	}
	p.mu.Unlock()

	return p.dial(deadline)
}

// dial opens a connection.
func (p *Pool) dial(deadline time.Time) (*pooledConn, error) {
	dialer := net.Dialer{
		Deadline: deadline,
		Timeout:  _dialTimeout,
	}
	nc, err := dialer.Dial("tcp", p.cfg.Address)
	if err != nil {
		return nil, err
	}
	now := timer.Elapsed()
	conn := &pooledConn{
		Conn:     &statusConn{Conn: nc},
		openedAt: now,
		usedAt:   now,
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, &net.OpError{
			Op:  "dial",
			Net: "tcp",
			Err: errors.Join(net.ErrClosed, nc.Close()),
		}
	}
	p.open[conn] = struct{}{}

	return conn, nil
}

// put keeps a connection for the next call.
func (p *Pool) put(conn *pooledConn) {
	conn.usedAt = timer.Elapsed()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return
	}
	p.idle = append(p.idle, conn)
	if len(p.idle) == 1 {
		p.startTrim()
	}
}

// startTrim closes the connections that are unused after _maxUnused. p.mu must be held.
func (p *Pool) startTrim() {
	if p.trim != nil {
		p.trim.Stop()
	}
	p.trim = time.AfterFunc(_maxUnused, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.dropUnused()
		if len(p.idle) > 0 {
			p.startTrim()
		}
	})
}

// dropUnused closes the connections that were not used for _maxUnused. p.mu must be held.
func (p *Pool) dropUnused() {
	p.dropIdle(timer.Elapsed() - _maxUnused)
}

// dropUnusedSince closes the idle connections that were last used before a call without an
// answer. They may have gone silent with its connection.
func (p *Pool) dropUnusedSince(at time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.dropIdle(at)
}

// dropIdle closes the idle connections last used before a time. p.mu must be held.
func (p *Pool) dropIdle(before time.Duration) {
	n := 0
	for n < len(p.idle) && p.idle[n].usedAt < before {
		p.forget(p.idle[n])
		n++
	}
	p.idle = p.idle[n:]
}

func (p *Pool) drop(conn *pooledConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.forget(conn)
}

// forget closes a connection. p.mu must be held.
func (p *Pool) forget(conn *pooledConn) {
	delete(p.open, conn)
	// Nothing that was sent on it is awaited any more.
	_ = conn.Close()
}
