package hop_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"papayastair.dev/papayastair/hop"
	"papayastair.dev/papayastair/site"
)

// countingListener counts the bytes that the server reads from each connection,
// keyed by the caller's address.
type countingListener struct {
	net.Listener

	read sync.Map
}

func (l *countingListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &countingConn{Conn: nc}
	l.read.Store(nc.RemoteAddr().String(), &c.n)

	return c, nil
}

// bytesRead returns the number of bytes the server has read from the caller at
// address.
func (l *countingListener) bytesRead(address string) int {
	n, ok := l.read.Load(address)
	if !ok {
		return 0
	}

	return int(n.(*atomic.Int64).Load())
}

type countingConn struct {
	net.Conn

	n atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.n.Add(int64(n))

	return n, err
}

func (c *countingConn) CloseWrite() error {
	return c.Conn.(*net.TCPConn).CloseWrite()
}

// TestCloseAnswersReadRequests guards against Close ending a connection on which
// a complete request was read but not answered.
func TestCloseAnswersReadRequests(t *testing.T) {
	const (
		rounds  = 50
		callers = 32
		request = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n"
	)
	for round := range rounds {
		inner, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listener := &countingListener{Listener: inner}
		s := hop.Serve(hop.ServerConfig{
			Listener: listener,
			Limits:   func() site.Limits { return testLimits },
			Handle:   echo,
		})
		// Ended connections are recorded and checked once the server is closed.
		type endedConn struct {
			address string
			answers int
		}
		var (
			wg     sync.WaitGroup
			served = make(chan struct{}, callers)
			all    = make([][]endedConn, callers)
		)
		for i := range callers {
			wg.Go(func() {
				for {
					c, err := net.Dial("tcp", inner.Addr().String())
					if err != nil {
						return
					}
					n := 0
					br := bufio.NewReader(c)
					for {
						if _, err := io.WriteString(c, request); err != nil {
							break
						}
						resp, err := http.ReadResponse(br, nil)
						if err != nil {
							break
						}
						if _, err := io.ReadAll(resp.Body); err != nil {
							break
						}
						n++
						if n == 1 {
							select {
							case served <- struct{}{}:
							default:
							}
						}
						if resp.Close {
							break
						}
					}
					all[i] = append(all[i], endedConn{
						address: c.LocalAddr().String(),
						answers: n,
					})
					_ = c.Close()
				}
			})
		}
		for range callers {
			<-served
		}
		s.Refuse()
		for s.Busy() > 0 {
			time.Sleep(time.Millisecond)
		}
		s.Close()
		wg.Wait()
		for _, conns := range all {
			for _, e := range conns {
				if read := listener.bytesRead(e.address) / len(request); read > e.answers {
					t.Errorf("round %d: %s: %d requests read, %d answered", round, e.address, read, e.answers)
				}
			}
		}
	}
}

// TestCloseRefusesPartialRequests guards against Close waiting for the rest of a
// partially received request.
func TestCloseRefusesPartialRequests(t *testing.T) {
	tests := []struct {
		name string
		give string
		want []string
	}{
		{
			name: "nothing",
		},
		{
			name: "part of the head",
			give: "GET /a HTTP/1.1\r\nHo",
			want: []string{"503"},
		},
		{
			name: "head and part of the body",
			give: "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\na",
			want: []string{"503"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			inner, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			listener := &countingListener{Listener: inner}
			s := hop.Serve(hop.ServerConfig{
				Listener: listener,
				Limits:   func() site.Limits { return testLimits },
				Handle:   echo,
			})
			c, err := net.Dial("tcp", inner.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			if _, err := io.WriteString(c, tt.give); err != nil {
				t.Fatal(err)
			}
			for s.Connections() == 0 || listener.bytesRead(c.LocalAddr().String()) < len(tt.give) {
				time.Sleep(time.Millisecond)
			}
			s.Close()
			br := bufio.NewReader(c)
			var got []string
			for {
				resp, err := http.ReadResponse(br, nil)
				if err != nil {
					break
				}
				got = append(got, strconv.Itoa(resp.StatusCode))
				_ = resp.Body.Close()
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("statuses (-want +got):\n%s", diff)
			}
		})
	}
}
