package standin

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	_host         = "desk.example"
	_key          = "k1k2k3k4k5k6k7k8k9k0"
	_dialTimeout  = time.Second
	_resolveEvery = time.Second
)

// request is one client attempt.
type request struct {
	id     string
	path   string
	prefix string
	// model is the model or adapter that is asked for; empty for the model.
	model string
	body  []byte
	// upload is the time that the client's link takes for the body.
	upload   time.Duration
	deadline time.Duration
	sentAt   time.Time
	entry    *entryProcess
}

// reply is what the client has got. complete says that the answer was whole by its
// framing, pieces counts the whole events.
type reply struct {
	status   int
	seal     string
	body     string
	complete bool
	pieces   int
	err      error
}

// clients send requests to the entry processes that the directory names.
type clients struct {
	fleet *fleet
	ids   atomic.Int64
	wg    sync.WaitGroup

	mu      sync.Mutex
	fronts  []*entryProcess
	stopped chan struct{}
}

// startClients starts clients, which ask the directory once a second.
func startClients(f *fleet) *clients {
	c := &clients{
		fleet:   f,
		stopped: make(chan struct{}),
	}
	c.resolve()
	go func() {
		tick := time.NewTicker(_resolveEvery)
		defer tick.Stop()
		for {
			select {
			case <-c.stopped:
				return
			case <-tick.C:
				c.resolve()
			}
		}
	}()

	return c
}

// stop waits for the requests under way.
func (c *clients) stop() {
	close(c.stopped)
	c.wg.Wait()
}

// resolve asks up to three directories. Without an answer the last one stays.
func (c *clients) resolve() {
	const tries = 3
	client := &http.Client{Timeout: time.Second}
	for _, i := range rand.Perm(len(c.fleet.entries))[:min(tries, len(c.fleet.entries))] {
		a, err := client.Get("http://" + c.fleet.entries[i].directory + "/api/resolve?name=" + _host + "&region=region-a&zone=" + _zone)
		if err != nil {
			continue
		}
		var list struct {
			Addrs []string `json:"addrs"`
		}
		err = json.NewDecoder(a.Body).Decode(&list)
		_ = a.Body.Close()
		if err != nil || len(list.Addrs) == 0 {
			continue
		}
		var fronts []*entryProcess
		for _, addr := range list.Addrs {
			for _, e := range c.fleet.entries {
				if e.front == addr {
					fronts = append(fronts, e)
				}
			}
		}
		c.mu.Lock()
		c.fronts = fronts
		c.mu.Unlock()

		return
	}
}

// send sends a request on a new connection to one of the fronts, in a goroutine of its own, and
// calls done with the reply.
func (c *clients) send(r request, done func(r request, a reply)) {
	c.mu.Lock()
	if len(c.fronts) > 0 {
		r.entry = c.fronts[rand.IntN(len(c.fronts))]
	}
	c.mu.Unlock()
	if r.id == "" {
		r.id = fmt.Sprintf("%016x", 0x9c41<<32+c.ids.Add(1))
	}
	r.sentAt = time.Now()
	c.wg.Go(func() {
		a := reply{err: errors.New("no address")}
		if r.entry != nil {
			a = r.do()
		}
		name := "none"
		if r.entry != nil {
			name = r.entry.name
		}
		c.fleet.record.writeAt(r.sentAt, "client sends %s path %s prefix %s bytes %d to %s: status %d, whole %t, pieces %d, seal %q, error %v",
			r.id, r.path, r.prefix, len(r.body), name, a.status, a.complete, a.pieces, a.seal, a.err)
		done(r, a)
	})
}

// do sends the request and reads the answer.
func (r request) do() reply {
	nc, err := net.DialTimeout("tcp", r.entry.front, _dialTimeout)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = nc.Close() }()
	_ = nc.SetDeadline(r.sentAt.Add(r.deadline))
	var head bytes.Buffer
	fmt.Fprintf(&head, "POST %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nX-Deadline-Ms: %d\r\nX-Key: %s\r\nContent-Length: %d\r\n",
		r.path, _host, _headerID, r.id, r.deadline.Milliseconds(), _key, len(r.body))
	if r.prefix != "" {
		fmt.Fprintf(&head, "%s: %s\r\n%s: %s\r\nX-Token-Count: 543,47\r\n", _headerPrefix, r.prefix, _headerModel, cmp.Or(r.model, _model))
	}
	head.WriteString("\r\n")
	if err := r.write(nc, head.Bytes()); err != nil {
		return reply{err: err}
	}
	answer, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = answer.Body.Close() }()
	text, err := io.ReadAll(answer.Body)

	return reply{
		status:   answer.StatusCode,
		seal:     answer.Header.Get(_headerSeal),
		body:     string(text),
		complete: err == nil,
		pieces:   strings.Count(string(text), "\n\n"),
		err:      err,
	}
}

// write writes the head and the body, the body over the time that the client's link takes.
func (r request) write(nc net.Conn, head []byte) error {
	const parts = 40
	if _, err := nc.Write(head); err != nil || len(r.body) == 0 {
		return err
	}
	size := len(r.body)/parts + 1
	for part := range slices.Chunk(r.body, size) {
		if _, err := nc.Write(part); err != nil {
			return err
		}
		time.Sleep(r.upload / parts)
	}

	return nil
}

// sendEvery sends requests at a rate until a time.
func (c *clients) sendEvery(interval time.Duration, until time.Time, next func() request, done func(r request, a reply)) {
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for now := range tick.C {
		if !now.Before(until) {
			return
		}
		c.send(next(), done)
	}
}
