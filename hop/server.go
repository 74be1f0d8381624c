package hop

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"

	"papayastair.dev/papayastair/site"
)

const (
	_callerBuffer = 4 << 10
	// _writeTimeout ends an answer of which a caller reads nothing for so long.
	_writeTimeout = 10 * time.Second
	// _lingerTimeout is how long a closing connection is read, so that the
	// answer isn't lost to a reset.
	_lingerTimeout = time.Second
	_lingerBytes   = 256 << 10
	// _finishedRetry is when a caller who came too late should come back, in
	// seconds, to another instance.
	_finishedRetry = "0.050"
)

// _past is a deadline that ends what waits.
var _past = time.Unix(1, 0)

// ServerConfig is what a Server works with.
type ServerConfig struct {
	// Listener brings the connections.
	Listener net.Listener
	// Limits are those in force; read again for each request.
	Limits func() site.Limits
	// Handle answers a request, in a goroutine of its own. One that returns
	// without an answer has its connection closed.
	Handle func(r *Request)
	// Refused is told of each request that was refused as malformed or too
	// large, with the status it got. It may be nil.
	Refused func(status int, err error)
}

// Server reads requests from callers. Use Serve.
type Server struct {
	cfg ServerConfig
	// patience is for how long a caller may read nothing of its answer.
	patience time.Duration
	closing  atomic.Bool
	// closed says that nothing more is read.
	closed atomic.Bool
	mu     sync.Mutex
	conns  map[*callerConn]struct{}
	// busy counts requests that wait for their answers; finished says that no
	// more are begun.
	busy     int
	finished bool
	wg       conc.WaitGroup
}

// Serve accepts connections until Close.
func Serve(cfg ServerConfig) *Server {
	return serve(cfg, _writeTimeout)
}

func serve(cfg ServerConfig, patience time.Duration) *Server {
	s := &Server{
		cfg:      cfg,
		patience: patience,
		conns:    map[*callerConn]struct{}{},
	}
	s.wg.Go(s.accept)

	return s
}

// Busy is how many requests wait for their answers.
func (s *Server) Busy() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.busy
}

// Finish ends the taking of requests, if none waits for its answer; one that
// comes after that is refused, as it has not run. It says whether it did.
func (s *Server) Finish() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finished = s.finished || s.busy == 0

	return s.finished
}

// Refuse ends the taking of requests, though some may wait for their answers.
func (s *Server) Refuse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.finished = true
}

// begin counts a request of c, if any are still taken.
func (s *Server) begin(c *callerConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.finished {
		return false
	}
	s.busy++
	c.busy = true

	return true
}

func (s *Server) end(c *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy--
	c.busy = false
}

// Connections is how many connections are open.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return len(s.conns)
}

// Drain lets each answer from now on close its connection. New connections
// are still served.
func (s *Server) Drain() {
	s.closing.Store(true)
}

// Close ends all connections and waits for them. Requests that wait for their
// answers are cut; one that was read and not begun is still refused.
func (s *Server) Close() {
	_ = s.cfg.Listener.Close()
	s.mu.Lock()
	s.finished = true
	s.closed.Store(true)
	for c := range s.conns {
		if c.busy {
			_ = c.nc.Close()
		} else {
			_ = c.nc.SetReadDeadline(_past)
		}
	}
	s.mu.Unlock()
	s.wg.Wait()
}

func (s *Server) accept() {
	const pause = 20 * time.Millisecond
	for {
		nc, err := s.cfg.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// Out of descriptors, or the peer was gone already.
			time.Sleep(pause)

			continue
		}
		c := &callerConn{
			server: s,
			nc:     nc,
		}
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		s.wg.Go(c.serve)
	}
}

// callerConn is one caller's connection. Its goroutine reads; each request is
// answered by another one, so that a caller's leaving is seen at once.
type callerConn struct {
	server *Server
	nc     net.Conn
	br     *bufio.Reader
	// idleSince is when its last answer was out.
	idleSince time.Time
	// requests is how many have been read on it.
	requests int
	// busy says that a request waits for its answer; kept under the server's
	// lock.
	busy bool
}

// setReadDeadline sets until when the connection is read, which is over once
// the server is closed.
func (c *callerConn) setReadDeadline(t time.Time) {
	_ = c.nc.SetReadDeadline(t)
	if c.server.closed.Load() {
		_ = c.nc.SetReadDeadline(_past)
	}
}

func (c *callerConn) serve() {
	defer func() {
		_ = c.nc.Close()
		c.server.mu.Lock()
		delete(c.server.conns, c)
		c.server.mu.Unlock()
	}()
	_ = guardSilence(c.nc, c.server.patience)
	c.br = bufio.NewReaderSize(c.nc, _callerBuffer)
	c.idleSince = time.Now()
	for c.serveOne() {
	}
}

// serveOne reads and answers one request, and says whether another may come.
func (c *callerConn) serveOne() bool {
	if c.br.Buffered() == 0 && !c.awaitFirst() {
		return false
	}
	r, err := c.read(c.server.cfg.Limits())
	if err != nil {
		c.refuse(err)

		return false
	}
	if !c.server.begin(c) {
		r.refuseFinished()
		c.linger()

		return false
	}
	c.setReadDeadline(time.Time{})
	go func() {
		defer r.finish()
		c.server.cfg.Handle(r)
	}()
	if !c.awaitNext(r) || r.broken {
		return false
	}
	if r.closing {
		c.linger()

		return false
	}

	return true
}

// awaitFirst waits for the first byte of a request, and says false if the
// connection has ended or been idle for as long as the limit in force allows.
func (c *callerConn) awaitFirst() bool {
	for {
		until := c.idleSince.Add(c.server.cfg.Limits().IdleTimeout)
		c.setReadDeadline(until)
		_, err := c.br.Peek(1)
		if !errors.Is(err, os.ErrDeadlineExceeded) || c.server.closed.Load() {
			return err == nil
		}
		// A read whose time is over doesn't look for bytes.
		if hasBytes(c.nc) {
			c.setReadDeadline(time.Time{})
			_, err := c.br.Peek(1)

			return err == nil
		}
		if !until.Before(c.idleSince.Add(c.server.cfg.Limits().IdleTimeout)) {
			return false
		}
	}
}

// awaitNext waits until the answer is out and either the next request has
// begun or the idle time of before is over. It says false if the connection has
// ended.
func (c *callerConn) awaitNext(r *Request) bool {
	for {
		// Bytes that came early are the next request's; until the answer is
		// out, go on watching for the caller's leaving.
		if c.br.Buffered() > 0 && r.isDoneOrWakes() {
			return true
		}
		_, err := c.br.Peek(c.br.Buffered() + 1)
		switch {
		case err == nil:
		case errors.Is(err, bufio.ErrBufferFull), errors.Is(err, os.ErrDeadlineExceeded):
			<-r.done

			return true
		default:
			r.leave(err)
			<-r.done

			return false
		}
	}
}

// linger closes the sending side and reads on for a while.
func (c *callerConn) linger() {
	if half, ok := c.nc.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	c.setReadDeadline(time.Now().Add(_lingerTimeout))
	_, _ = io.CopyN(io.Discard, c.br, _lingerBytes)
}

// read reads a whole request.
func (c *callerConn) read(limits site.Limits) (*Request, error) {
	c.setReadDeadline(time.Now().Add(limits.HeaderTimeout))
	text, err := readHead(c.br, limits.HeaderBytes)
	if err != nil {
		return nil, err
	}
	arrived := time.Now()
	head, err := parseRequest(text)
	if err != nil {
		return nil, err
	}
	f, err := head.framing()
	if err != nil {
		return nil, err
	}
	if f.length > limits.BodyBytes {
		return nil, ErrBodyTooLarge
	}
	b := newBody(c.br, f)
	if !b.done && c.br.Buffered() == 0 && HasToken(head.Value("Expect"), "100-continue") {
		if _, err := c.nc.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return nil, err
		}
	}
	c.setReadDeadline(time.Now().Add(limits.IdleTimeout))
	content, err := b.readAll(limits.BodyBytes, nil)
	if err != nil {
		return nil, err
	}
	c.requests++

	return &Request{
		Head:    head,
		Body:    content,
		Framed:  f.chunked || f.length >= 0,
		Arrived: arrived,
		Ordinal: c.requests,
		conn:    c,
		left:    make(chan struct{}),
		done:    make(chan struct{}),
	}, nil
}

// refuse answers a request that could not be read. Nothing of it was passed on.
func (c *callerConn) refuse(err error) {
	status := StatusOf(err)
	if status == 0 {
		return
	}
	r := &Request{
		Head:    &Head{},
		conn:    c,
		closing: true,
		left:    make(chan struct{}),
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.server.closed.Load() {
		r.refuseFinished()
		c.linger()

		return
	}
	if c.server.cfg.Refused != nil {
		c.server.cfg.Refused(status, err)
	}
	r.Answer(status, nil, nil)
	c.linger()
}

// StatusOf is the answer to a request that failed to be read with err; 0 if
// the caller has gone and there is nobody to answer.
func StatusOf(err error) int {
	switch {
	case errors.Is(err, ErrHeadTooLarge):
		return 431
	case errors.Is(err, ErrBodyTooLarge):
		return 413
	case errors.Is(err, ErrVersion):
		return 505
	case errors.Is(err, ErrMalformed):
		return 400
	case errors.Is(err, os.ErrDeadlineExceeded):
		return 408
	default:
		return 0
	}
}

// Request is one request of a caller, read whole.
type Request struct {
	// Head is the request's head, as it came.
	Head *Head
	// Body is the whole body.
	Body []byte
	// Framed says that the request declared a body, if only an empty one.
	Framed bool
	// Arrived is when the head had been read.
	Arrived time.Time
	// Ordinal is its number among the requests of its connection, from 1.
	Ordinal int

	conn     *callerConn
	left     chan struct{}
	done     chan struct{}
	mu       sync.Mutex
	gone     bool
	cause    error
	finished bool
	// wake says that the reader waits for more bytes behind an early one and
	// must be woken when the answer is out.
	wake     bool
	onLeave  func()
	out      []byte
	answered bool
	stream   bool
	ended    bool
	closing  bool
	broken   bool
}

// Left is closed when the caller has closed its connection.
func (r *Request) Left() <-chan struct{} {
	return r.left
}

// OnLeave sets what is called, once, when the caller leaves; at once if it
// has left. nil takes it back: after that it is not called any more. fn must
// not call the request.
func (r *Request) OnLeave(fn func()) {
	r.mu.Lock()
	gone := r.gone
	r.onLeave = fn
	r.mu.Unlock()
	if gone && fn != nil {
		fn()
	}
}

// LeftCause is the error that ended the caller's connection while the request
// ran: io.EOF or a reset of the caller's, net.ErrClosed if Close ended it,
// a timeout of the kernel if the caller was silent. It is nil if none has.
func (r *Request) LeftCause() error {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.cause
}

func (r *Request) leave(cause error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cause == nil {
		r.cause = cause
	}
	if r.gone {
		return
	}
	r.gone = true
	close(r.left)
	if r.onLeave != nil {
		r.onLeave()
	}
}

// HasLeft says whether the caller has closed its connection. It asks the
// connection itself, by a system call.
func (r *Request) HasLeft() bool {
	select {
	case <-r.left:
		return true
	default:
		return isClosed(r.conn.nc)
	}
}

// Answer sends a whole answer.
func (r *Request) Answer(status int, fields []Field, body []byte) {
	r.answered = true
	r.ended = true
	r.head(status, "", fields)
	if status >= 200 && status != 204 && status != 304 {
		r.out = append(r.out, "Content-Length: "...)
		r.out = strconv.AppendInt(r.out, int64(len(body)), 10)
		r.out = append(r.out, "\r\n"...)
	}
	r.out = append(r.out, "\r\n"...)
	if r.Head.Method != http.MethodHead {
		r.out = append(r.out, body...)
	}
	r.flush()
}

// refuseFinished sends a caller who came too late to another instance.
func (r *Request) refuseFinished() {
	r.CloseAfter()
	r.Answer(http.StatusServiceUnavailable, []Field{{
		Name:  "Retry-After",
		Value: _finishedRetry,
	}}, nil)
}

// Begin starts an answer whose body follows in pieces. It goes out with the
// first of them.
func (r *Request) Begin(status int, reason string, fields []Field) {
	r.answered = true
	r.stream = true
	r.head(status, reason, fields)
	r.out = append(r.out, "Transfer-Encoding: chunked\r\n\r\n"...)
}

// Piece sends a piece of the body and says whether the caller still reads.
func (r *Request) Piece(p []byte) bool {
	if len(p) > 0 {
		r.out = strconv.AppendInt(r.out, int64(len(p)), 16)
		r.out = append(r.out, "\r\n"...)
		r.out = append(r.out, p...)
		r.out = append(r.out, "\r\n"...)
	}

	return r.flush()
}

// End ends the body after its last piece, which may be empty.
func (r *Request) End(last []byte) {
	r.ended = true
	if len(last) > 0 {
		r.out = strconv.AppendInt(r.out, int64(len(last)), 16)
		r.out = append(r.out, "\r\n"...)
		r.out = append(r.out, last...)
		r.out = append(r.out, "\r\n"...)
	}
	r.out = append(r.out, "0\r\n\r\n"...)
	r.flush()
}

// Begun says that the head of an answer is on its way or decided.
func (r *Request) Begun() bool {
	return r.answered
}

// Cut closes the connection, so that the caller sees that the answer is not
// complete, or that there is none.
func (r *Request) Cut() {
	r.ended = true
	r.broken = true
	_ = r.conn.nc.Close()
}

// CloseAfter lets the answer close the connection.
func (r *Request) CloseAfter() {
	r.closing = true
}

func (r *Request) head(status int, reason string, fields []Field) {
	if r.conn.server.closing.Load() {
		r.closing = true
	}
	if reason == "" {
		reason = reasonOf(status)
	}
	r.out = append(r.out[:0], _version...)
	r.out = append(r.out, ' ')
	r.out = strconv.AppendInt(r.out, int64(status), 10)
	r.out = append(r.out, ' ')
	r.out = append(r.out, reason...)
	r.out = append(r.out, "\r\n"...)
	for _, f := range fields {
		r.out = appendField(r.out, f.Name, f.Value)
	}
	if r.closing {
		r.out = append(r.out, "Connection: close\r\n"...)
	}
}

func (r *Request) flush() bool {
	if len(r.out) == 0 || r.broken {
		return !r.broken
	}
	err := r.conn.write(r.out)
	r.out = r.out[:0]
	if err != nil {
		r.mu.Lock()
		if r.cause == nil {
			r.cause = err
		}
		r.mu.Unlock()
		r.Cut()
	}

	return err == nil
}

// write writes all of p to a caller who goes on reading, however slowly.
func (c *callerConn) write(p []byte) error {
	for {
		_ = c.nc.SetWriteDeadline(time.Now().Add(c.server.patience))
		n, err := c.nc.Write(p)
		if n == 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		p = p[n:]
	}
}

// isDoneOrWakes says whether the answer is out; if not, the reader will be
// woken when it is.
func (r *Request) isDoneOrWakes() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wake = !r.finished

	return r.finished
}

// finish closes the connection of a request without a complete answer, and
// lets the reader go on: at once if it must act, else when its idle time is
// over. The read deadline is set under the lock, so that it is never set after
// the reader has gone on.
func (r *Request) finish() {
	r.conn.server.end(r.conn)
	if !r.ended {
		r.Cut()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	next := time.Now()
	r.conn.idleSince = next
	if !r.wake && !r.closing {
		next = next.Add(r.conn.server.cfg.Limits().IdleTimeout)
	}
	r.conn.setReadDeadline(next)
	r.finished = true
	close(r.done)
}

func appendField(out []byte, name, value string) []byte {
	out = append(out, name...)
	out = append(out, ": "...)
	out = append(out, value...)

	return append(out, "\r\n"...)
}
