package hop_test

import (
	"bufio"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"papayastair.dev/papayastair/hop"
)

// startResettingServer starts a backend server that resets a connection when a
// request arrives after it was idle for longer than after.
func startResettingServer(t *testing.T, after time.Duration) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			nc, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = nc.Close() }()
				br := bufio.NewReader(nc)
				answered := time.Now()
				for {
					if _, err := br.Peek(1); err != nil {
						return
					}
					if time.Since(answered) > after {
						// Closing with linger 0 resets the connection.
						_ = nc.(*net.TCPConn).SetLinger(0)

						return
					}
					for {
						line, err := br.ReadString('\n')
						if err != nil {
							return
						}
						if line == "\r\n" {
							break
						}
					}
					_, _ = nc.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
					answered = time.Now()
				}
			}()
		}
	}()

	return listener.Addr().String()
}

// TestIdleConnectionsReset sends requests at intervals after which the three
// backend servers of a service reset idle connections. One request is lost; the
// idle limit that its reset sets keeps all others off such connections.
func TestIdleConnectionsReset(t *testing.T) {
	const (
		resetAfter = 100 * time.Millisecond
		interval   = 150 * time.Millisecond
		rounds     = 6
		servers    = 3
	)
	idleLimit := &hop.IdleLimit{}
	pools := make([]*hop.Pool, 0, servers)
	for range servers {
		p := hop.NewPool(startResettingServer(t, resetAfter), func() {}, idleLimit)
		defer p.Close()
		pools = append(pools, p)
	}
	lost := 0
	for range rounds {
		for _, p := range pools {
			if !roundTrip(p) {
				lost++
			}
		}
		time.Sleep(interval)
	}
	if lost != 1 {
		t.Errorf("%d of %d requests were lost, want 1", lost, rounds*len(pools))
	}
}

// roundTrip sends a request and reports whether its response was received.
func roundTrip(p *hop.Pool) bool {
	c, err := p.Get(time.Second)
	if err != nil {
		return false
	}
	head := &hop.Head{
		Method: "GET",
		Target: "/",
	}
	if err := c.Send(head, nil, nil, false); err != nil {
		c.Close()

		return false
	}
	if _, err := c.ReadHead("GET"); err != nil {
		c.Close()

		return false
	}
	if _, err := c.ReadAll(100, nil); err != nil {
		c.Close()

		return false
	}
	c.Release(true)

	return true
}

// TestCloseResetsUnanswered checks that closing a connection resets it if its
// request has no complete response, so that undelivered bytes are discarded,
// for example during a network partition. Otherwise it is closed normally.
func TestCloseResetsUnanswered(t *testing.T) {
	for _, answered := range []bool{false, true} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = listener.Close() }()
		p := hop.NewPool(listener.Addr().String(), func() {}, &hop.IdleLimit{})
		defer p.Close()
		c, err := p.Get(time.Second)
		if err != nil {
			t.Fatal(err)
		}
		head := &hop.Head{
			Method: "POST",
			Target: "/once",
		}
		if err := c.Send(head, nil, []byte("body"), true); err != nil {
			t.Fatal(err)
		}
		nc, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = nc.Close() }()
		if answered {
			if _, err := nc.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")); err != nil {
				t.Fatal(err)
			}
			if _, err := c.ReadHead("POST"); err != nil {
				t.Fatal(err)
			}
			if _, err := c.ReadAll(10, nil); err != nil {
				t.Fatal(err)
			}
			c.Release(true)
			p.Close()
		} else {
			c.Close()
		}
		_, err = io.Copy(io.Discard, nc)
		if reset := errors.Is(err, syscall.ECONNRESET); reset == answered {
			t.Errorf("answered %t: server read error %v", answered, err)
		}
	}
}
