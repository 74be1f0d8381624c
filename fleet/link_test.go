package fleet_test

import (
	"net"
	"sync"
	"testing"

	"github.com/inetaf/tcpproxy"
)

// link is a TCP proxy that can be cut.
type link struct {
	address string
	target  tcpproxy.Target
	mu      sync.Mutex
	cut     bool
	conns   map[net.Conn]bool
}

// newLink proxies to a target address until the test ends.
func newLink(t *testing.T, target string) *link {
	t.Helper()
	l := &link{
		target: &tcpproxy.DialProxy{Addr: target},
		conns:  map[net.Conn]bool{},
	}
	proxy := tcpproxy.Proxy{
		ListenFunc: func(network, address string) (net.Listener, error) {
			listener, err := net.Listen(network, address)
			if err == nil {
				l.address = listener.Addr().String()
			}

			return listener, err
		},
	}
	proxy.AddRoute("127.0.0.1:0", l)
	if err := proxy.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		l.setCut(true)
		_ = proxy.Close()
	})

	return l
}

// HandleConn carries one connection, or closes it when the link is cut.
func (l *link) HandleConn(conn net.Conn) {
	l.mu.Lock()
	if l.cut {
		l.mu.Unlock()
		_ = conn.Close()

		return
	}
	l.conns[conn] = true
	l.mu.Unlock()
	l.target.HandleConn(conn)
	l.mu.Lock()
	delete(l.conns, conn)
	l.mu.Unlock()
}

// setCut cuts the link with its connections, or heals it.
func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	if !cut {
		return
	}
	for conn := range l.conns {
		_ = conn.Close()
	}
}
