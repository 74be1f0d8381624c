package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
)

// _latePause is the time before the late part of an answer is sent.
const _latePause = 20 * time.Millisecond

// BadStatus is the beginning of an answer that has no valid final status.
type BadStatus struct {
	// Name describes the fault.
	Name string
	// Lines are the status lines. Header fields follow them.
	Lines string
}

// BadStatuses returns the beginnings that each reader of answers must reject.
func BadStatuses() []BadStatus {
	lines := []BadStatus{
		{
			Name:  "two status lines",
			Lines: "HTTP/1.1 200 OK\r\nHTTP/1.1 200 OK\r\n",
		},
		{
			Name:  "two status lines, the second with a colon",
			Lines: "HTTP/1.1 200 OK\r\nHTTP/1.1 503 Busy: x\r\n",
		},
		{
			Name:  "no status",
			Lines: "HTTP/1.1\r\n",
		},
		{
			Name:  "101 as the final answer",
			Lines: "HTTP/1.1 101 Switching Protocols\r\n",
		},
		{
			Name:  "101 after 100",
			Lines: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 101 Switching Protocols\r\n",
		},
		{
			Name:  "000 after 100",
			Lines: "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 OK\r\n",
		},
		{
			Name:  "000 after 100 without CR",
			Lines: "HTTP/1.1 100 Continue\n\nHTTP/1.1 000 OK\r\n",
		},
		{
			Name:  "000 after two spaces",
			Lines: "HTTP/1.1  000 OK\r\n",
		},
	}
	statuses := []string{"000", "20", "0200", "+20", "99", "099", "600", "999", "", "-20", "-200"}
	bad := append(make([]BadStatus, 0, len(lines)+len(statuses)), lines...)
	for _, status := range statuses {
		bad = append(bad, BadStatus{
			Name:  "status " + status,
			Lines: "HTTP/1.1 " + status + " OK\r\n",
		})
	}

	return bad
}

// RawAnswer is what a RawServer sends for a request.
type RawAnswer struct {
	// Text is sent as it is, and Late some time after it.
	Text string
	Late string
	// Last means that no other request may come on the connection, which is left open.
	Last bool
}

// RawServer sends any bytes as answers to HTTP requests. Use NewRawServer.
type RawServer struct {
	// Address is its IP address and port.
	Address string

	answer   func(r *http.Request) RawAnswer
	listener net.Listener
	accept   conc.WaitGroup
	wg       conc.WaitGroup
	reused   atomic.Int64

	mu    sync.Mutex
	conns []net.Conn
}

// NewRawServer starts a server. answer is called in one goroutine for each connection.
func NewRawServer(answer func(r *http.Request) RawAnswer) (*RawServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &RawServer{
		Address:  listener.Addr().String(),
		answer:   answer,
		listener: listener,
	}
	s.accept.Go(func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns = append(s.conns, conn)
			s.mu.Unlock()
			s.wg.Go(func() { s.serve(conn) })
		}
	})

	return s, nil
}

// Reused returns the number of requests that came on a connection after its last answer.
func (s *RawServer) Reused() int {
	return int(s.reused.Load())
}

// Close stops the server, closes its connections and waits for their goroutines.
func (s *RawServer) Close() {
	_ = s.listener.Close()
	s.accept.Wait()
	for _, conn := range s.conns {
		_ = conn.Close()
	}
	s.wg.Wait()
}

func (s *RawServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	last := false
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		if last {
			s.reused.Add(1)
		}
		a := s.answer(r)
		last = last || a.Last
		if _, err := io.WriteString(conn, a.Text); err != nil {
			return
		}
		if a.Late != "" {
			time.Sleep(_latePause)
			if _, err := io.WriteString(conn, a.Late); err != nil {
				return
			}
		}
	}
}
