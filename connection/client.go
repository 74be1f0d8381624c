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

// NewClient returns a client that streams response bodies and never repeats
// a request. A zero readTimeout means that reads wait without limit.
func NewClient(readTimeout time.Duration) *fasthttp.Client {
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
		ReadTimeout:         readTimeout,
		StreamResponseBody:  true,
		Dial: func(addr string) (net.Conn, error) {
			return dialer.DialTimeout(addr, _dialTimeout)
		},
	}
}
