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

// _large is more than the buffers of a connection hold.
const _large = 16 << 20

// slowReader is a caller of a server that waits patience for it, and has asked
// for a large answer. The channel brings why the server ended its connection.
func slowReader(t *testing.T, patience time.Duration) (net.Conn, []byte, <-chan error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	body := bytes.Repeat([]byte("0123456789abcdef"), _large/16)
	cause := make(chan error, 1)
	s := hop.ServeForTest(hop.ServerConfig{
		Listener: listener,
		Limits:   func() site.Limits { return testLimits },
		Handle: func(r *hop.Request) {
			r.Answer(200, nil, body)
			cause <- r.LeftCause()
		},
	}, patience)
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

// readAnswer reads a whole answer.
func readAnswer(c io.Reader) ([]byte, error) {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return nil, err
	}

	return io.ReadAll(resp.Body)
}

// slowly reads with a pause after each piece.
type slowly struct {
	io.Reader
	piece int
	pause time.Duration
}

func (s slowly) Read(p []byte) (int, error) {
	time.Sleep(s.pause)

	return s.Reader.Read(p[:min(len(p), s.piece)])
}

// TestSteadyReader guards against an answer that is cut although its caller
// reads on, only more slowly than it is written.
func TestSteadyReader(t *testing.T) {
	t.Parallel()
	c, want, cause := slowReader(t, time.Second)
	if err := c.(*net.TCPConn).SetReadBuffer(64 << 10); err != nil {
		t.Fatal(err)
	}
	got, err := readAnswer(slowly{
		Reader: c,
		piece:  32 << 10,
		pause:  10 * time.Millisecond,
	})
	if err != nil || !bytes.Equal(want, got) {
		t.Errorf("read %d of %d bytes: %v; cause %v", len(got), len(want), err, <-cause)
	}
}

// TestReadsNothing holds that the answer to a caller who reads nothing ends.
func TestReadsNothing(t *testing.T) {
	t.Parallel()
	_, _, cause := slowReader(t, 100*time.Millisecond)
	if diff := cmp.Diff(true, <-cause != nil); diff != "" {
		t.Errorf("ended (-want +got):\n%s", diff)
	}
}

// TestPausingReader guards against a caller that the kernel takes for silent
// because it has read nothing for a while, though it is there.
func TestPausingReader(t *testing.T) {
	t.Parallel()
	c, want, cause := slowReader(t, time.Minute)
	// Over the time after which a silent backend server is given up.
	time.Sleep(hop.SilenceForTest + time.Second)
	got, err := readAnswer(c)
	if err != nil || !bytes.Equal(want, got) {
		t.Errorf("read %d of %d bytes: %v; cause %v", len(got), len(want), err, <-cause)
	}
}

// changing is limits that can be changed while a server runs.
type changing struct {
	idle atomic.Int64
}

func (c *changing) limits() site.Limits {
	limits := testLimits
	limits.IdleTimeout = time.Duration(c.idle.Load())

	return limits
}

// TestIdleLimitRaised guards against a kept connection that is closed by a limit
// that no longer holds.
func TestIdleLimitRaised(t *testing.T) {
	t.Parallel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var limits changing
	limits.idle.Store(int64(time.Second))
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
	ask := func() (string, error) {
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
	if _, err := ask(); err != nil {
		t.Fatal(err)
	}
	limits.idle.Store(int64(time.Hour))
	_ = c.SetReadDeadline(time.Now().Add(1500 * time.Millisecond))
	if _, err := br.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatalf("idle for less than its limit: %v", err)
	}
	_ = c.SetReadDeadline(time.Time{})
	got, err := ask()
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff("GET /a ", got); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
}

// TestArrivedAtTheLimit guards against a request that is closed unread, as the
// idle time ended before the process had the processor to read it.
func TestArrivedAtTheLimit(t *testing.T) {
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
	got, err := readAnswer(c)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff("GET /a ", string(got)); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
}

// TestSilentCaller guards against a caller that is taken for gone because it sends
// nothing while it waits.
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
			// Some probes later.
			select {
			case <-r.Left():
			case <-time.After(2 * hop.SilenceForTest):
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
	got, err := readAnswer(c)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff("GET /a ", string(got)); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
}
