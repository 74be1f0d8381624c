package peer

import (
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"

	"papayastair.dev/papayastair/wire"
)

const (
	_maxConnections = 2048
	_maxRunning     = 64
	_acceptPause    = 50 * time.Millisecond
)

// Server answers the calls of other instances. Use NewServer.
type Server struct {
	hello    wire.Hello
	registry metrics.Registry
	rpc      *rpc.Server
	wg       conc.WaitGroup

	mu          sync.Mutex
	closed      bool
	listener    net.Listener
	connections map[net.Conn]struct{}
}

// NewServer returns a server that introduces itself with hello, whose
// Protocol is filled in, and counts its traffic in registry.
func NewServer(hello wire.Hello, registry metrics.Registry) *Server {
	return &Server{
		hello:       hello,
		registry:    registry,
		rpc:         rpc.NewServer(),
		connections: map[net.Conn]struct{}{},
	}
}

// Register makes fn callable under a method name. A and R are wire types. fn
// runs in a goroutine of its own for each call. Register panics if the name
// is taken, and must be called before Serve.
func Register[A, R any](s *Server, method string, fn func(A) (R, error)) {
	if err := s.rpc.RegisterName(method, &function[A, R]{fn: fn}); err != nil {
		panic(fmt.Sprintf("peer: register %s: %v", method, err))
	}
}

// function is a function in the form that net/rpc serves.
type function[A, R any] struct {
	fn func(A) (R, error)
}

// Call is for net/rpc.
func (f *function[A, R]) Call(args *A, reply *R) error {
	r, err := f.fn(*args)
	*reply = r

	return err
}

// Serve answers calls on the connections of a listener until Close.
func (s *Server) Serve(listener net.Listener) {
	if !s.listen(listener) {
		return
	}
	for {
		conn, err := listener.Accept()
		switch {
		case err == nil && s.add(conn):
			s.wg.Go(func() { s.serve(conn) })
		case err == nil:
			_ = conn.Close()
		case s.isClosed():
			return
		default:
			time.Sleep(_acceptPause)
		}
	}
}

// Close ends all connections and waits for the running calls and for Serve's
// goroutines.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	if s.listener != nil {
		_ = s.listener.Close()
	}
	for conn := range s.connections {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.wg.Wait()
}

func (s *Server) listen(listener net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = listener.Close()

		return false
	}
	s.listener = listener

	return true
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.closed
}

// add notes a connection, if there is room for it.
func (s *Server) add(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || len(s.connections) >= _maxConnections {
		return false
	}
	s.connections[conn] = struct{}{}

	return true
}

func (s *Server) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.connections, conn)
	}()
	c := newConnection(conn, s.registry)
	if _, err := c.greet(s.hello); err != nil {
		return
	}
	s.rpc.ServeCodec(&serverCodec{
		connection: c,
		running:    make(chan struct{}, _maxRunning),
	})
}
