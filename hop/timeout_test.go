package hop_test

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"papayastair.dev/papayastair/hop"
	"papayastair.dev/papayastair/site"
)

// _largeResponseBytes exceeds the capacity of a connection's buffers.
const _largeResponseBytes = 16 << 20

// requestLarge starts a server with the given write timeout and requests a large
// response. It returns the caller's connection, the response body and a channel
// that receives the cause for which the server ended the connection, or nil.
func requestLarge(t *testing.T, writeTimeout time.Duration) (net.Conn, []byte, <-chan error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	body := bytes.Repeat([]byte("0123456789abcdef"), _largeResponseBytes/16)
	cause := make(chan error, 1)
	s := hop.ServeForTest(hop.ServerConfig{
		Listener: listener,
		Limits:   func() site.Limits { return testLimits },
		Handle: func(r *hop.Request) {
			r.Answer(200, nil, body)
			cause <- r.DisconnectCause()
		},
	}, writeTimeout)
	t.Cleanup(s.Close)
	c, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	if _, err := io.WriteString(c, "GET /a HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		t.Fatal(err)
	}

	return c, body, cause
}

// readBody reads a response and returns its body.
func readBody(c io.Reader) ([]byte, error) {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return nil, err
	}

	return io.ReadAll(resp.Body)
}

// slowReader reads at most size bytes at a time and sleeps for delay before each
// read.
type slowReader struct {
	io.Reader
	size  int
	delay time.Duration
}

func (s slowReader) Read(p []byte) (int, error) {
	time.Sleep(s.delay)

	return s.Reader.Read(p[:min(len(p), s.size)])
}

// TestSlowReader guards against closing the connection of a caller that reads
// continuously but more slowly than the response is written.
func TestSlowReader(t *testing.T) {
	t.Parallel()
	c, want, cause := requestLarge(t, time.Second)
	if err := c.(*net.TCPConn).SetReadBuffer(64 << 10); err != nil {
		t.Fatal(err)
	}
	got, err := readBody(slowReader{
		Reader: c,
		size:   32 << 10,
		delay:  10 * time.Millisecond,
	})
	if err != nil || !bytes.Equal(want, got) {
		t.Errorf("read %d of %d bytes: %v; cause %v", len(got), len(want), err, <-cause)
	}
}

// TestStalledReader checks that a response to a caller that reads nothing times
// out.
func TestStalledReader(t *testing.T) {
	t.Parallel()
	_, _, cause := requestLarge(t, 100*time.Millisecond)
	if diff := cmp.Diff(true, <-cause != nil); diff != "" {
		t.Errorf("has a cause (-want +got):\n%s", diff)
	}
}

// TestPausedReader guards against the kernel closing the connection of a caller
// that is present but has read nothing for a while.
func TestPausedReader(t *testing.T) {
	t.Parallel()
	c, want, cause := requestLarge(t, time.Minute)
	// Sleep for longer than the TCP user timeout of backend connections.
	time.Sleep(hop.BackendUserTimeoutForTest + time.Second)
	got, err := readBody(c)
	if err != nil || !bytes.Equal(want, got) {
		t.Errorf("read %d of %d bytes: %v; cause %v", len(got), len(want), err, <-cause)
	}
}

// changingLimits holds limits that can be changed while a server runs.
type changingLimits struct {
	idleTimeout atomic.Int64
}

func (c *changingLimits) limits() site.Limits {
	limits := testLimits
	limits.IdleTimeout = time.Duration(c.idleTimeout.Load())

	return limits
}

// TestIdleTimeoutRaised guards against closing an idle connection by an idle
// timeout that has since been raised.
func TestIdleTimeoutRaised(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var limits changingLimits
	limits.idleTimeout.Store(int64(time.Second))
	s := hop.Serve(hop.ServerConfig{
		Listener: listener,
		Limits:   limits.limits,
		Handle:   echo,
	})
	t.Cleanup(s.Close)
	c, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	request := func() (string, error) {
		if _, err := io.WriteString(c, "GET /a HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
			return "", err
		}
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			return "", err
		}
		body, err := io.ReadAll(resp.Body)

		return string(body), err
	}
	if _, err := request(); err != nil {
		t.Fatal(err)
	}
	limits.idleTimeout.Store(int64(time.Hour))
	_ = c.SetReadDeadline(time.Now().Add(1500 * time.Millisecond))
	if _, err := br.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("connection idle for less than its timeout: %v", err)
	}
	_ = c.SetReadDeadline(time.Time{})
	got, err := request()
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff("GET /a ", got); diff != "" {
		t.Errorf("body (-want +got):\n%s", diff)
	}
}

// TestRequestAtIdleTimeout guards against closing a connection with an unread
// request because the idle timeout passed before the reader was scheduled.
func TestRequestAtIdleTimeout(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	sent := make(chan struct{})
	s := hop.Serve(hop.ServerConfig{
		Listener: listener,
		Limits: func() site.Limits {
			<-sent
			limits := testLimits
			limits.IdleTimeout = 0

			return limits
		},
		Handle: echo,
	})
	t.Cleanup(s.Close)
	c, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "GET /a HTTP/1.1\r\nHost: a\r\n\r\n")
	close(sent)
	if err != nil {
		t.Fatal(err)
	}
	got, err := readBody(c)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff("GET /a ", string(got)); diff != "" {
		t.Errorf("body (-want +got):\n%s", diff)
	}
}

// TestSilentCaller guards against treating a caller as disconnected because it
// sends nothing while it waits for its response.
func TestSilentCaller(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := hop.ServeForTest(hop.ServerConfig{
		Listener: listener,
		Limits:   func() site.Limits { return testLimits },
		Handle: func(r *hop.Request) {
			// Wait for several keep-alive probes.
			select {
			case <-r.Disconnected():
			case <-time.After(2 * hop.BackendUserTimeoutForTest):
			}
			echo(r)
		},
	}, time.Second)
	t.Cleanup(s.Close)
	c, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, "GET /a HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	got, err := readBody(c)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff("GET /a ", string(got)); diff != "" {
		t.Errorf("body (-want +got):\n%s", diff)
	}
}
