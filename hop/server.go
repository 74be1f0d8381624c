package hop

import (
	"bufio"
	"errors"
	"io"
	"math/rand/v2"
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
	_callerBufferBytes = 4 << 10
	// _writeTimeout is how long a caller may read none of its response before its
	// connection is closed.
	_writeTimeout = 10 * time.Second
	// _lingerTimeout limits how long a closing connection is still read. Unread
	// bytes would make the kernel reset the connection, and the caller could lose
	// the response.
	_lingerTimeout = time.Second
	_lingerBytes   = 256 << 10
	// _retryAfterSeconds is the Retry-After value for a request that arrived after
	// the server stopped accepting them. The retry should reach another instance.
	_retryAfterSeconds = "0.050"
	// _minMemoryRetry and _memoryRetrySpread determine the random Retry-After of a
	// request whose body finds no memory.
	_minMemoryRetry    = 300 * time.Millisecond
	_memoryRetrySpread = 700 * time.Millisecond
)

// _pastDeadline is a deadline in the past, which makes pending reads fail at once.
var _pastDeadline = time.Unix(1, 0)

// ServerConfig configures a Server.
type ServerConfig struct {
	// Listener accepts the connections.
	Listener net.Listener
	// Limits returns the limits in force. It is called again for each request.
	Limits func() site.Limits
	// Handle responds to a request, in a goroutine of its own. If it returns
	// without a complete response, the connection is closed. It must not panic.
	Handle func(r *Request)
	// Refused is called for each request that could not be read, because it was
	// invalid, too large or too slow, or for want of memory, with the status of the
	// response. It may be nil.
	Refused func(status int, err error)
	// Memory limits the bodies of the requests that are being read or handled. If it
	// is nil, there is no limit.
	Memory *MemoryLimit
}

// Server reads requests from callers. Use Serve.
type Server struct {
	cfg ServerConfig
	// writeTimeout is how long a caller may read none of its response.
	writeTimeout time.Duration
	draining     atomic.Bool
	// closed is set when no more requests are read.
	closed atomic.Bool
	mu     sync.Mutex
	conns  map[*callerConn]struct{}
	// busy is the number of requests being handled. refusing is set when no more
	// requests are handled.
	busy     int
	refusing bool
	wg       conc.WaitGroup
}

// Serve starts a server, which accepts connections until Close.
func Serve(cfg ServerConfig) *Server {
	return serve(cfg, _writeTimeout)
}

func serve(cfg ServerConfig, writeTimeout time.Duration) *Server {
	s := &Server{
		cfg:          cfg,
		writeTimeout: writeTimeout,
		conns:        map[*callerConn]struct{}{},
	}
	s.wg.Go(s.accept)

	return s
}

// Busy returns the number of requests being handled.
func (s *Server) Busy() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.busy
}

// RefuseIfIdle stops the handling of new requests if none is being handled, and
// reports whether new requests are now refused. A refused request has not run.
func (s *Server) RefuseIfIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusing = s.refusing || s.busy == 0

	return s.refusing
}

// Refuse stops the handling of new requests, even if some are being handled.
func (s *Server) Refuse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusing = true
}

// beginRequest counts a request of c as being handled. It returns false if
// requests are refused.
func (s *Server) beginRequest(c *callerConn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refusing {
		return false
	}
	s.busy++
	c.busy = true

	return true
}

func (s *Server) endRequest(c *callerConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy--
	c.busy = false
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return len(s.conns)
}

// Drain makes every response from now on close its connection. New connections
// are still served.
func (s *Server) Drain() {
	s.draining.Store(true)
}

// Close closes all connections and waits for their goroutines. The connections of
// requests being handled are closed even if their responses are incomplete; a
// request that was read but not handled is still refused with a response.
func (s *Server) Close() {
	_ = s.cfg.Listener.Close()
	s.mu.Lock()
	s.refusing = true
	s.closed.Store(true)
	for c := range s.conns {
		if c.busy {
			_ = c.nc.Close()
		} else {
			_ = c.nc.SetReadDeadline(_pastDeadline)
		}
	}
	s.mu.Unlock()
	s.wg.Wait()
}

func (s *Server) accept() {
	const retryInterval = 20 * time.Millisecond
	for {
		nc, err := s.cfg.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			// The process is out of file descriptors, or the peer has aborted the
			// connection already.
			time.Sleep(retryInterval)

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

// callerConn is the connection of a caller. One goroutine reads from it and
// another handles each request, so that a disconnect is detected at once.
type callerConn struct {
	server *Server
	nc     net.Conn
	br     *bufio.Reader
	// idleSince is the time at which the last response was complete.
	idleSince time.Time
	// requests is the number of requests read so far.
	requests int
	// busy is set while a request is being handled. It is guarded by server.mu.
	busy bool
}

// setReadDeadline sets the read deadline. Once the server is closed, the deadline
// is always in the past.
func (c *callerConn) setReadDeadline(t time.Time) {
	_ = c.nc.SetReadDeadline(t)
	if c.server.closed.Load() {
		_ = c.nc.SetReadDeadline(_pastDeadline)
	}
}

func (c *callerConn) serve() {
	defer func() {
		_ = c.nc.Close()
		c.server.mu.Lock()
		delete(c.server.conns, c)
		c.server.mu.Unlock()
	}()
	_ = setPeerTimeouts(c.nc, c.server.writeTimeout)
	c.br = bufio.NewReaderSize(c.nc, _callerBufferBytes)
	c.idleSince = time.Now()
	for c.serveOne() {
	}
}

// serveOne serves one request and reports whether the connection can carry
// another.
func (c *callerConn) serveOne() bool {
	if c.br.Buffered() == 0 && !c.awaitRequest() {
		return false
	}
	r, err := c.read(c.server.cfg.Limits())
	if err != nil {
		c.refuse(err)

		return false
	}
	if !c.server.beginRequest(c) {
		r.memory.Release()
		r.refuseUnavailable()
		c.linger()

		return false
	}
	c.setReadDeadline(time.Time{})
	go func() {
		defer r.finish()
		c.server.cfg.Handle(r)
	}()
	if !c.awaitNext(r) || r.aborted {
		return false
	}
	if r.closeAfter {
		c.linger()

		return false
	}

	return true
}

// awaitRequest waits for the first byte of a request. It returns false if the
// connection has ended or has exceeded the idle timeout in force.
func (c *callerConn) awaitRequest() bool {
	for {
		until := c.idleSince.Add(c.server.cfg.Limits().IdleTimeout)
		c.setReadDeadline(until)
		_, err := c.br.Peek(1)
		if !errors.Is(err, os.ErrDeadlineExceeded) || c.server.closed.Load() {
			return err == nil
		}
		// A read past its deadline fails even if bytes have arrived.
		if hasPendingData(c.nc) {
			c.setReadDeadline(time.Time{})
			_, err := c.br.Peek(1)

			return err == nil
		}
		if !until.Before(c.idleSince.Add(c.server.cfg.Limits().IdleTimeout)) {
			return false
		}
	}
}

// awaitNext waits until the response is complete and either bytes of the next
// request have arrived or the read deadline has passed. It returns false if the
// connection has ended.
func (c *callerConn) awaitNext(r *Request) bool {
	for {
		// Bytes that arrive early belong to the next request. Until the response
		// is complete, keep reading to detect a disconnect.
		if c.br.Buffered() > 0 && r.doneOrRequestWake() {
			return true
		}
		_, err := c.br.Peek(c.br.Buffered() + 1)
		switch {
		case err == nil:
		case errors.Is(err, bufio.ErrBufferFull), errors.Is(err, os.ErrDeadlineExceeded):
			<-r.done

			return true
		default:
			r.markDisconnected(err)
			<-r.done

			return false
		}
	}
}

// linger closes the write side and reads for a limited time, so that the caller
// receives the response before the connection closes.
func (c *callerConn) linger() {
	c.lingerFor(_lingerTimeout, _lingerBytes)
}

func (c *callerConn) lingerFor(timeout time.Duration, bytes int) {
	if half, ok := c.nc.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	c.setReadDeadline(time.Now().Add(timeout))
	_, _ = io.CopyN(io.Discard, c.br, int64(bytes))
}

// read reads a request, including its body.
func (c *callerConn) read(limits site.Limits) (*Request, error) {
	c.setReadDeadline(time.Now().Add(limits.HeaderTimeout))
	text, err := readHeadText(c.br, limits.HeaderBytes)
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
	memory := Reservation{Limit: c.server.cfg.Memory}
	content, err := b.readDeclared(limits.BodyBytes, &memory)
	if err != nil {
		memory.Release()

		return nil, err
	}
	c.requests++

	return &Request{
		Head:         head,
		Body:         content,
		Framed:       f.chunked || f.length >= 0,
		Arrived:      arrived,
		Ordinal:      c.requests,
		memory:       memory,
		conn:         c,
		disconnected: make(chan struct{}),
		done:         make(chan struct{}),
	}, nil
}

// refuse responds to a request that could not be read. Nothing of the request was
// forwarded.
func (c *callerConn) refuse(err error) {
	status := StatusOf(err)
	if status == 0 {
		return
	}
	r := &Request{
		Head:         &Head{},
		conn:         c,
		closeAfter:   true,
		disconnected: make(chan struct{}),
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.server.closed.Load() {
		r.refuseUnavailable()
		c.linger()

		return
	}
	if c.server.cfg.Refused != nil {
		c.server.cfg.Refused(status, err)
	}
	if errors.Is(err, ErrNoMemory) {
		retry := _minMemoryRetry + rand.N(_memoryRetrySpread)
		r.Answer(status, []Field{{
			Name:  "Retry-After",
			Value: strconv.FormatFloat(retry.Seconds(), 'f', 3, 64),
		}}, nil)
		// The caller may read the response only after it has sent the whole body.
		limits := c.server.cfg.Limits()
		c.lingerFor(limits.IdleTimeout, limits.BodyBytes)

		return
	}
	r.Answer(status, nil, nil)
	c.linger()
}

// StatusOf returns the status code for a request whose reading failed with err,
// or 0 if the caller has disconnected.
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
	case errors.Is(err, ErrNoMemory):
		return 503
	case errors.Is(err, os.ErrDeadlineExceeded):
		return 408
	default:
		return 0
	}
}

// Request is a request of a caller, including its body.
type Request struct {
	// Head is the head of the request, as received.
	Head *Head
	// Body is the whole body.
	Body []byte
	// Framed is set if the request declared a body, even an empty one.
	Framed bool
	// Arrived is the time at which the head had been read.
	Arrived time.Time
	// Ordinal is the number of the request on its connection, starting at 1.
	Ordinal int

	// memory is that of the body.
	memory       Reservation
	conn         *callerConn
	disconnected chan struct{}
	done         chan struct{}
	mu           sync.Mutex
	notified     bool
	cause        error
	finished     bool
	// wakeReader is set if the reader already holds bytes of the next request and
	// must be woken when the response is complete.
	wakeReader   bool
	onDisconnect func()
	out          []byte
	answered     bool
	stream       bool
	ended        bool
	closeAfter   bool
	aborted      bool
}

// Disconnected returns a channel that is closed when the caller's connection has ended.
func (r *Request) Disconnected() <-chan struct{} {
	return r.disconnected
}

// OnDisconnect sets the function that is called once when the caller disconnects. If
// the caller has already disconnected, fn is called at once. A nil fn removes the
// function, which is then not called any more. fn must not call methods of r.
func (r *Request) OnDisconnect(fn func()) {
	r.mu.Lock()
	gone := r.notified
	r.onDisconnect = fn
	r.mu.Unlock()
	if gone && fn != nil {
		fn()
	}
}

// DisconnectCause returns the error that ended the caller's connection while the
// request was being handled: io.EOF or a reset by the caller, net.ErrClosed after
// Close, or a timeout from the kernel if the caller stopped responding. It
// returns nil if there was none.
func (r *Request) DisconnectCause() error {
	r.mu.Lock()
	defer r.mu.Unlock()

	return r.cause
}

// markDisconnected records that the caller's connection ended with cause.
func (r *Request) markDisconnected(cause error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cause == nil {
		r.cause = cause
	}
	if r.notified {
		return
	}
	r.notified = true
	close(r.disconnected)
	if r.onDisconnect != nil {
		r.onDisconnect()
	}
}

// IsDisconnected reports whether the caller has closed its connection. It checks the
// socket itself with a system call.
func (r *Request) IsDisconnected() bool {
	select {
	case <-r.disconnected:
		return true
	default:
		return isPeerClosed(r.conn.nc)
	}
}

// Answer sends a complete response.
func (r *Request) Answer(status int, fields []Field, body []byte) {
	r.answered = true
	r.ended = true
	r.appendHead(status, "", fields)
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

// refuseUnavailable refuses a request that arrived after the server stopped
// accepting them, so that the caller retries at another instance.
func (r *Request) refuseUnavailable() {
	r.CloseAfter()
	r.Answer(http.StatusServiceUnavailable, []Field{{
		Name:  "Retry-After",
		Value: _retryAfterSeconds,
	}}, nil)
}

// Begin starts a chunked response. Its head is sent with the first chunk.
func (r *Request) Begin(status int, reason string, fields []Field) {
	r.answered = true
	r.stream = true
	r.appendHead(status, reason, fields)
	r.out = append(r.out, "Transfer-Encoding: chunked\r\n\r\n"...)
}

// WriteChunk sends p as a chunk of the body. It returns false if the connection has
// failed.
func (r *Request) WriteChunk(p []byte) bool {
	if len(p) > 0 {
		r.out = strconv.AppendInt(r.out, int64(len(p)), 16)
		r.out = append(r.out, "\r\n"...)
		r.out = append(r.out, p...)
		r.out = append(r.out, "\r\n"...)
	}

	return r.flush()
}

// End sends the last bytes of the body, if any, and completes the response.
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

// Begun reports whether Answer or Begin has been called.
func (r *Request) Begun() bool {
	return r.answered
}

// Abort closes the connection, so that the caller detects that the response is
// incomplete or missing.
func (r *Request) Abort() {
	r.ended = true
	r.aborted = true
	_ = r.conn.nc.Close()
}

// CloseAfter makes the connection close after the response.
func (r *Request) CloseAfter() {
	r.closeAfter = true
}

// appendHead starts the response in r.out with its status line and fields.
func (r *Request) appendHead(status int, reason string, fields []Field) {
	if r.conn.server.draining.Load() {
		r.closeAfter = true
	}
	if reason == "" {
		reason = reasonPhrase(status)
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
	if r.closeAfter {
		r.out = append(r.out, "Connection: close\r\n"...)
	}
}

func (r *Request) flush() bool {
	if len(r.out) == 0 || r.aborted {
		return !r.aborted
	}
	err := r.conn.write(r.out)
	r.out = r.out[:0]
	if err != nil {
		r.mu.Lock()
		if r.cause == nil {
			r.cause = err
		}
		r.mu.Unlock()
		r.Abort()
	}

	return err == nil
}

// write writes all of p. It renews the write deadline after every partial write,
// so that a caller that reads slowly isn't disconnected.
func (c *callerConn) write(p []byte) error {
	for {
		_ = c.nc.SetWriteDeadline(time.Now().Add(c.server.writeTimeout))
		n, err := c.nc.Write(p)
		if n == 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		p = p[n:]
	}
}

// doneOrRequestWake reports whether the response is complete. If it isn't, finish
// will wake the reader when it is.
func (r *Request) doneOrRequestWake() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.wakeReader = !r.finished

	return r.finished
}

// finish closes the connection if the response is incomplete, and sets the read
// deadline that ends awaitNext: at once if bytes of the next request are buffered
// or the connection is to close, otherwise after the idle timeout. The deadline is
// set under the lock, so that it is never set after the reader has continued.
func (r *Request) finish() {
	r.conn.server.endRequest(r.conn)
	if !r.ended {
		r.Abort()
	}
	r.memory.Release()
	r.mu.Lock()
	defer r.mu.Unlock()
	next := time.Now()
	r.conn.idleSince = next
	if !r.wakeReader && !r.closeAfter {
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
