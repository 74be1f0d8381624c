package harness

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// _host is the host of all routes.
const _host = "desk.example"

// request is a request of a client.
type request struct {
	id       string
	method   string
	path     string
	fields   []string
	body     string
	deadline time.Duration
}

// answer is what a client got.
type answer struct {
	status int
	seal   string
	retry  string
	limit  string
	body   string
	err    error
}

// send sends a request on a new connection and reads the answer.
func send(to string, r request) answer {
	c, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(r.deadline + time.Second))
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", r.method, r.path, _host, r.id, r.deadline.Milliseconds())
	for _, f := range r.fields {
		b.WriteString(f + "\r\n")
	}
	if r.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	b.WriteString("\r\n" + r.body)
	if _, err := c.Write(b.Bytes()); err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: r.method})
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)

	return answer{
		status: resp.StatusCode,
		seal:   resp.Header.Get("X-Server-Seal"),
		retry:  resp.Header.Get("Retry-After"),
		limit:  resp.Header.Get("Server-Limit"),
		body:   string(body),
		err:    err,
	}
}

// String describes the answer.
func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("status %d, then %v", a.status, a.err)
	}

	return fmt.Sprintf("status %d, seal %q, limit %q, retry after %q, body %.60q", a.status, a.seal, a.limit, a.retry, a.body)
}

// modelRequest returns a request to a model.
func modelRequest(id, path, model, key string) request {
	return request{
		id:     id,
		method: http.MethodPost,
		path:   path,
		fields: []string{
			"X-Key: " + key, "X-Model: " + model, "X-Token-Count: 500,40", "X-Prompt-Prefix: a1:100," + fmt.Sprintf("%x", len(id)) + ":400",
		},
		body:     "prompt of " + id,
		deadline: 12 * time.Second,
	}
}
