package hop

import (
	"bufio"
	"io"
	"net"
	"time"
)

// ParseRequestForTest parses a request head as the server does.
func ParseRequestForTest(text string) (*Head, error) {
	return parseRequest(text)
}

// ServeForTest starts a server with the given write timeout.
func ServeForTest(cfg ServerConfig, writeTimeout time.Duration) *Server {
	return serve(cfg, writeTimeout)
}

// BackendUserTimeoutForTest is the TCP user timeout of connections to backend
// servers.
const BackendUserTimeoutForTest = _backendUserTimeout

// ConnForTest returns a connection to a backend server over nc.
func ConnForTest(nc net.Conn) *Conn {
	return &Conn{
		pool: NewPool("", func() {}, &IdleLimit{}),
		nc:   nc,
		br:   bufio.NewReaderSize(nc, _backendBufferBytes),
	}
}

// NewConnForTest returns a connection that reads its response from response.
func NewConnForTest(response io.Reader) *Conn {
	return &Conn{
		pool: &Pool{idleLimit: &IdleLimit{}},
		br:   bufio.NewReaderSize(response, _backendBufferBytes),
	}
}
