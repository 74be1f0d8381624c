// Package connection creates HTTP clients for requests to backend servers, and pools of
// connections to the platform. A request is never sent twice unless its sender allows
// it, so that after any other error at most one copy has been sent.
package connection

import (
	"net"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	_maxIdleTime    = 20 * time.Second
	_dialTimeout    = 2 * time.Second
	_maxHeaderBytes = 64 << 10
	_maxConnections = 4096
)

// NewClient returns a client that never retries a request. A response must be
// complete within readTimeout; 0 means no timeout.
func NewClient(readTimeout time.Duration) *fasthttp.Client {
	client := newClient(0)
	client.ReadTimeout = readTimeout

	return client
}

// NewStreamClient returns a client that streams response bodies and never retries
// a request. A read that receives nothing for readTimeout fails, also in the middle
// of a response; 0 means no timeout.
func NewStreamClient(readTimeout time.Duration) *fasthttp.Client {
	client := newClient(readTimeout)
	client.StreamResponseBody = true

	return client
}

func newClient(readTimeout time.Duration) *fasthttp.Client {
	dialer := &fasthttp.TCPDialer{Concurrency: _maxConnections}

	return &fasthttp.Client{
		NoDefaultUserAgentHeader:  true,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr: func(*fasthttp.Request, int, error) (resetTimeout, retry bool) {
			return false, false
		},
		MaxIdleConnDuration: _maxIdleTime,
		MaxConnsPerHost:     _maxConnections,
		ReadBufferSize:      _maxHeaderBytes,
		Transport:           transport{},
		Dial: func(addr string) (net.Conn, error) {
			conn, err := dialer.DialTimeout(addr, _dialTimeout)
			if err != nil {
				return conn, err
			}
			if readTimeout > 0 {
				conn = &readTimeoutConn{
					Conn:    conn,
					timeout: readTimeout,
				}
			}

			return &statusConn{Conn: conn}, nil
		},
	}
}

// readTimeoutConn is a connection that applies a timeout to each read.
type readTimeoutConn struct {
	net.Conn

	timeout time.Duration
}

// Read reads into p and fails if no bytes arrive within the timeout.
func (c *readTimeoutConn) Read(p []byte) (int, error) {
	if err := c.SetReadDeadline(time.Now().Add(c.timeout)); err != nil {
		return 0, err
	}

	return c.Conn.Read(p)
}
