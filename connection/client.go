// Package connection makes the HTTP clients that the other packages use
// towards backend servers and the platform. Its point is what they never do:
// no client made here sends a request twice by itself, so a caller that gets
// an error knows that at most one copy of the request has left.
package connection

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	_maxIdleConnection = 20 * time.Second
	_dialTimeout       = 2 * time.Second
	_maxHeaderBytes    = 64 << 10
	_maxConnections    = 4096
)

// NewClient returns a client that never repeats a request. An answer must be
// complete within readTimeout; 0 means without limit.
func NewClient(readTimeout time.Duration) *fasthttp.Client {
	client := newClient(0)
	client.ReadTimeout = readTimeout

	return client
}

// NewStreamClient returns a client that hands out response bodies as streams
// and never repeats a request. A connection that brings nothing for idle, in
// the middle of an answer, fails; 0 means without limit.
func NewStreamClient(idle time.Duration) *fasthttp.Client {
	client := newClient(idle)
	client.StreamResponseBody = true

	return client
}

func newClient(idle time.Duration) *fasthttp.Client {
	dialer := &fasthttp.TCPDialer{Concurrency: _maxConnections}

	return &fasthttp.Client{
		NoDefaultUserAgentHeader:  true,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr: func(*fasthttp.Request, int, error) (resetTimeout, retry bool) {
			return false, false
		},
		MaxIdleConnDuration: _maxIdleConnection,
		MaxConnsPerHost:     _maxConnections,
		ReadBufferSize:      _maxHeaderBytes,
		Dial: func(addr string) (net.Conn, error) {
			conn, err := dialer.DialTimeout(addr, _dialTimeout)
			if err != nil || idle <= 0 {
				return conn, err
			}

			return &idleConn{
				Conn: conn,
				idle: idle,
			}, nil
		},
	}
}

// idleConn limits the time of each read.
type idleConn struct {
	net.Conn

	idle time.Duration
}

// Read waits at most idle for bytes.
func (c *idleConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.idle)); err != nil {
		return 0, err
	}

	return c.Conn.Read(p)
}
