package connection

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

const (
	// _lingerTimeout and _lingerBytes bound what is read after an answer that
	// closes its connection.
	_lingerTimeout = 500 * time.Millisecond
	_lingerBytes   = 1 << 20
)

// LingeringListener accepts connections whose Close lets the peer read what was
// written. A socket that is closed with unread bytes is reset, and the reset can
// overtake an answer that was sent before the whole request was read.
type LingeringListener struct {
	net.Listener

	mu   sync.Mutex
	done bool
	wg   conc.WaitGroup
}

// Accept waits for the next connection.
func (l *LingeringListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}

	return &lingeringConn{
		Conn:     c,
		listener: l,
	}, nil
}

// Wait waits until the connections that were closed are released, half a second at
// most. Those that are closed later are released at once.
func (l *LingeringListener) Wait() {
	l.mu.Lock()
	l.done = true
	l.mu.Unlock()
	l.wg.Wait()
}

// linger runs fn in a goroutine that Wait waits for, and reports false after Wait.
func (l *LingeringListener) linger(fn func()) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.done {
		return false
	}
	l.wg.Go(fn)

	return true
}

type lingeringConn struct {
	net.Conn

	listener *LingeringListener
	once     sync.Once
}

// Close ends the write side at once, and the connection when the peer has closed
// it too, or after _lingerTimeout.
func (c *lingeringConn) Close() error {
	c.once.Do(func() {
		half, ok := c.Conn.(interface{ CloseWrite() error })
		if !ok || half.CloseWrite() != nil || !c.listener.linger(c.drain) {
			_ = c.Conn.Close()
		}
	})

	return nil
}

func (c *lingeringConn) drain() {
	defer func() { _ = c.Conn.Close() }()
	if c.SetReadDeadline(time.Now().Add(_lingerTimeout)) == nil {
		_, _ = io.CopyN(io.Discard, c.Conn, _lingerBytes)
	}
}
