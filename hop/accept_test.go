package hop_test

import (
	"errors"
	"io"
	"net"
	"testing"

	"papayastair.dev/papayastair/hop"
	"papayastair.dev/papayastair/site"
)

// lateListener returns a connection from Accept only after Close, like a
// connection that was accepted just before.
type lateListener struct {
	closed chan struct{}
	conns  chan net.Conn
}

func (l *lateListener) Accept() (net.Conn, error) {
	<-l.closed
	select {
	case nc := <-l.conns:
		return nc, nil
	default:
		return nil, net.ErrClosed
	}
}

func (l *lateListener) Close() error {
	close(l.closed)

	return nil
}

func (l *lateListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestAcceptedWhileClosing guards against a Close that waits for the idle timeout
// of a connection accepted just before it: the process would still be running
// when the platform kills it.
func TestAcceptedWhileClosing(t *testing.T) {
	near, far := net.Pipe()
	l := &lateListener{
		closed: make(chan struct{}),
		conns:  make(chan net.Conn, 1),
	}
	l.conns <- near
	limits := testLimits
	// If Close waited for the idle timeout, the test would exceed its own timeout.
	limits.IdleTimeout = 1 << 62
	s := hop.Serve(hop.ServerConfig{
		Listener: l,
		Limits:   func() site.Limits { return limits },
		Handle:   func(r *hop.Request) { r.Answer(200, nil, nil) },
	})
	s.Close()
	if _, err := far.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("connection accepted while closing: %v, want EOF", err)
	}
}
