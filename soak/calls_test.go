package soak_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

const (
	_callers = 24
	// _pause is between a caller's requests, and _patience its deadline.
	_pause    = 15 * time.Millisecond
	_patience = 2500 * time.Millisecond
	_events   = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\nid: 4\ndata: piece 4\n\nid: 5\ndata: piece 5\n\n"
)

// call is one request as its caller saw it.
type call struct {
	id     string
	kind   string
	key    string
	path   string
	body   string
	sent   time.Time
	ended  time.Time
	status int
	answer string
	seal   string
	// whole says that the answer didn't break off.
	whole bool
	// answerID is the id that the answer bore.
	answerID string
	// proc is the instance that it was sent to, and written when all of it had
	// been; zero if it wasn't.
	proc    string
	written time.Time
	// over says that the caller's own time was over.
	over bool
}

// history is all calls.
type history struct {
	mu    sync.Mutex
	calls []call
}

func (h *history) add(c call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls = append(h.calls, c)
}

// caller sends requests, one after the other, on connections that it keeps as
// long as they last.
type caller struct {
	f       *fleet
	history *history
	rng     *rand.Rand
	name    string
	// kinds are those that it asks for.
	kinds []string
	// at is whom it asks, nil for any, and patience for how long it waits.
	at       *process
	patience time.Duration
	// proc is the instance that conn leads to.
	proc string
	conn net.Conn
	br   *bufio.Reader
}

// _kinds are the kinds of request with keys.
var _kinds = []string{"once", "again", "stream", "resume"}

func (c *caller) run(ctx context.Context) {
	defer c.drop()
	for n := 0; ctx.Err() == nil; n++ {
		c.history.add(c.request(fmt.Sprintf("%s-%d", c.name, n)))
		time.Sleep(time.Duration(c.rng.Int64N(int64(2 * _pause))))
	}
}

func (c *caller) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// request sends one request with an id of its own.
func (c *caller) request(id string) call {
	ways := map[string][]string{
		"once":   {"whole", "whole", "whole", "error", "full", "short"},
		"again":  {"whole", "whole", "whole", "error", "full", "short", "late"},
		"stream": {"events", "events", "slow", "cut", "misnumbered"},
		"resume": {"events", "events", "slow", "cut", "misnumbered"},
		"open":   {"whole", "whole", "error", "full", "short"},
		"free":   {"events", "events", "slow"},
		"long":   {"hang"},
	}
	kind := c.kinds[c.rng.IntN(len(c.kinds))]
	way := ways[kind]
	call := call{
		id:   id,
		kind: kind,
		key:  []string{"k1", "k2", "k3", "k3"}[c.rng.IntN(4)],
		path: "/" + kind + "/a%2fb//" + way[c.rng.IntN(len(way))],
		body: strings.Repeat(id, 1+c.rng.IntN(20)),
		sent: time.Now(),
	}
	key := "X-Key: " + call.key + "\r\n"
	if kind == "open" || kind == "free" || kind == "long" {
		call.key, key = "", ""
	}
	model := ""
	if kind == "stream" || kind == "resume" || kind == "free" {
		model = "X-Model: m\r\n"
		if c.rng.IntN(3) == 0 {
			model = fmt.Sprintf("X-Model: m/a%d\r\n", 1+c.rng.IntN(6))
		}
	}
	if c.conn == nil {
		p := c.at
		if p == nil {
			p = c.f.procs[c.rng.IntN(len(c.f.procs))]
		}
		conn, err := net.DialTimeout("tcp", p.front(), 200*time.Millisecond)
		if err != nil {
			call.ended = time.Now()

			return call
		}
		c.conn = conn
		c.proc = p.name
		c.br = bufio.NewReader(conn)
	}
	call.proc = c.proc
	_ = c.conn.SetDeadline(time.Now().Add(c.patience))
	_, err := fmt.Fprintf(c.conn, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n%s%sContent-Length: %d\r\n\r\n%s",
		call.path, _host, id, c.patience.Milliseconds(), key, model, len(call.body), call.body)
	if err == nil {
		call.written = time.Now()
		err = c.read(&call)
	}
	call.ended = time.Now()
	call.over = errors.Is(err, os.ErrDeadlineExceeded)
	if err != nil {
		c.drop()
	}

	return call
}

func (c *caller) read(call *call) error {
	resp, err := http.ReadResponse(c.br, &http.Request{Method: http.MethodPost})
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	call.status = resp.StatusCode
	call.seal = resp.Header.Get("X-Server-Seal")
	call.answerID = resp.Header.Get("X-Request-Id")
	body, err := io.ReadAll(resp.Body)
	call.answer = string(body)
	call.whole = err == nil
	if resp.Close {
		return io.EOF
	}

	return err
}
