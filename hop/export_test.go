package hop

import (
	"bufio"
	"io"
	"net"
	"time"
)

// ParseRequestForTest parses a head as the server does.
func ParseRequestForTest(text string) (*Head, error) {
	return parseRequest(text)
}

// ServeForTest serves callers that may read nothing of an answer for so long.
func ServeForTest(cfg ServerConfig, patience time.Duration) *Server {
	return serve(cfg, patience)
}

// SilenceForTest is how long a connection to a silent backend server is kept.
const SilenceForTest = _silence

// ConnForTest is a connection to a backend server over nc.
func ConnForTest(nc net.Conn) *Conn {
	return &Conn{
		pool: NewPool("", func() {}, &Rest{}),
		nc:   nc,
		br:   bufio.NewReaderSize(nc, _backendBuffer),
	}
}

// NewConnForTest is a connection on which an answer comes.
func NewConnForTest(answer io.Reader) *Conn {
	return &Conn{
		pool: &Pool{rest: &Rest{}},
		br:   bufio.NewReaderSize(answer, _backendBuffer),
	}
}
