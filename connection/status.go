package connection

import (
	"bytes"
	"net"

	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"
)

const (
	_minStatus = 100
	_maxStatus = 599
	// _statusAt is where the status begins in a status line, and _statusLineBytes the
	// length of the shortest one with its first separator.
	_statusAt        = len("HTTP/1.1 ")
	_statusLineBytes = len("HTTP/1.1 200 ")
)

// statusConn is a connection on which an answer without a valid final status fails to be
// read, so that it isn't taken for an answer and the connection is closed. fasthttp takes
// any three digits for a status and 000 for 200, which can't be told apart afterwards.
type statusConn struct {
	net.Conn

	// inHead is set from a request to the final status line of its answer. head holds
	// what was read of the answer since the last interim head.
	inHead bool
	head   []byte
	err    error
}

// Write sends bytes of a request.
func (c *statusConn) Write(p []byte) (int, error) {
	c.inHead = true
	c.head = c.head[:0]

	return c.Conn.Write(p)
}

// Read reads bytes of an answer.
func (c *statusConn) Read(p []byte) (int, error) {
	if c.err != nil {
		return 0, c.err
	}
	n, err := c.Conn.Read(p)
	if n == 0 || !c.inHead {
		return n, err
	}
	text := p[:n]
	if len(c.head) > 0 {
		text = append(c.head, text...)
	}
	text, c.err = c.checkHead(text)
	c.head = append(c.head[:0], text...)
	if c.err == nil {
		return n, err
	}

	// fasthttp takes an error before the first byte for a closed connection, so one
	// byte is returned before this error.
	return 1, nil
}

// checkHead checks the status lines in text, the beginning of an answer, and returns what
// must be checked again with more of it.
func (c *statusConn) checkHead(text []byte) ([]byte, error) {
	for {
		text = bytes.TrimLeft(text, "\r\n")
		if len(text) < _statusLineBytes {
			return text, nil
		}
		status := statusOf(text[:_statusLineBytes])
		if status < _minStatus || status > _maxStatus || status == fasthttp.StatusSwitchingProtocols {
			return nil, eris.Errorf("connection: invalid status line %q", text[:_statusLineBytes])
		}
		if status >= fasthttp.StatusOK {
			c.inHead = false

			return nil, nil
		}
		// fasthttp takes lines without CR, too.
		end := bytes.Index(text, []byte("\n\r\n"))
		if bare := bytes.Index(text, []byte("\n\n")); bare >= 0 && (end < 0 || bare < end) {
			end = bare
		}
		if end < 0 {
			return text, nil
		}
		text = text[end:]
	}
}

// statusOf returns the status in the beginning of a status line, or 0 if there is none.
func statusOf(line []byte) int {
	if !bytes.HasPrefix(line, []byte("HTTP/1.")) || line[_statusAt-1] != ' ' || !bytes.ContainsRune([]byte(" \r\n"), rune(line[_statusLineBytes-1])) {
		return 0
	}
	status := 0
	for _, digit := range line[_statusAt : _statusLineBytes-1] {
		if digit < '0' || digit > '9' {
			return 0
		}
		status = status*10 + int(digit-'0')
	}

	return status
}

// isBodiless reports whether answers with a status end with their heads.
func isBodiless(status int) bool {
	return status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// transport closes the idle connections to a server that announces a body where none may
// be. The body would be taken for the beginning of the next answer.
type transport struct{}

// RoundTrip sends a request and reads the answer.
func (transport) RoundTrip(hc *fasthttp.HostClient, req *fasthttp.Request, resp *fasthttp.Response) (bool, error) {
	retry, err := fasthttp.DefaultTransport.RoundTrip(hc, req, resp)
	if err == nil && isBodiless(resp.StatusCode()) && resp.Header.ContentLength() != 0 {
		hc.CloseIdleConnections()
	}

	return retry, err
}
