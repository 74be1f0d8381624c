package hop_test

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"papayastair.dev/papayastair/hop"
)

// endless is a backend server whose bytes have no end: begin once, then again
// and again the same until the other side closes.
type endless struct {
	begin string
	again string
	// pushed is how many bytes were taken from it. The connection holds none.
	pushed atomic.Int64
}

// connect returns a connection to it.
func (e *endless) connect(t *testing.T) *hop.Conn {
	t.Helper()
	ours, theirs := net.Pipe()
	c := hop.ConnForTest(ours)
	ended := make(chan struct{})
	t.Cleanup(func() {
		c.Close()
		<-ended
	})
	go func() {
		defer close(ended)
		n, err := theirs.Write([]byte(e.begin))
		for e.pushed.Add(int64(n)); err == nil; e.pushed.Add(int64(n)) {
			n, err = theirs.Write([]byte(e.again))
		}
	}()

	return c
}

const (
	_limitForTest = 1 << 20
	_stopForTest  = 64 << 20
	// _eventBound is the longest line that Go's bufio.Scanner takes by default.
	_eventBound = bufio.MaxScanTokenSize
)

// TestEndlessAnswers guards against reading on in bytes that are no answer: each
// shape must end in an error by the bound on heads or bodies, long before what
// the backend server would send.
func TestEndlessAnswers(t *testing.T) {
	const (
		head    = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
		chunked = head + "Transfer-Encoding: chunked\r\n\r\n"
		// headBound is the bound on heads and the buffer behind it.
		headBound = 32<<10 + 8<<10
	)
	tests := []struct {
		name  string
		begin string
		again string
		bound int64
		want  error
	}{
		{
			name:  "line without end",
			again: strings.Repeat("x", 100),
			bound: headBound,
			want:  hop.ErrHeadTooLarge,
		},
		{
			name:  "status line without end",
			begin: "HTTP/1.1 200 ",
			again: strings.Repeat("O", 100),
			bound: headBound,
			want:  hop.ErrHeadTooLarge,
		},
		{
			name:  "fields without end",
			begin: head,
			again: "X-Field: value\r\n",
			bound: headBound,
			want:  hop.ErrHeadTooLarge,
		},
		{
			name:  "empty lines without end",
			again: "\r\n",
			bound: headBound,
			want:  hop.ErrMalformed,
		},
		{
			name:  "interim answers without end",
			again: "HTTP/1.1 100 Continue\r\n\r\n",
			bound: headBound,
			want:  hop.ErrHeadTooLarge,
		},
		{
			name:  "interim answers with fields without end",
			again: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
			bound: headBound,
			want:  hop.ErrHeadTooLarge,
		},
		{
			name:  "length above the limit",
			begin: head + "Content-Length: 99999999999\r\n\r\n",
			again: strings.Repeat("x", 100),
			bound: headBound,
			want:  hop.ErrBodyTooLarge,
		},
		{
			name:  "body that ends with the connection",
			begin: head + "\r\n",
			again: strings.Repeat("x", 100),
			bound: _limitForTest + headBound,
			want:  hop.ErrBodyTooLarge,
		},
		{
			name:  "chunks without end",
			begin: chunked,
			again: "64\r\n" + strings.Repeat("x", 100) + "\r\n",
			// Six bytes frame a hundred.
			bound: _limitForTest*106/100 + headBound,
			want:  hop.ErrBodyTooLarge,
		},
		{
			name:  "chunks of one byte",
			begin: chunked,
			again: "1\r\nx\r\n",
			bound: _limitForTest*6 + headBound,
			want:  hop.ErrBodyTooLarge,
		},
		{
			name:  "chunks of one byte with extensions",
			begin: chunked,
			again: "1;" + strings.Repeat("e", 200) + "\r\nx\r\n",
			bound: _limitForTest + headBound,
			want:  hop.ErrMalformed,
		},
		{
			name:  "chunk extension without end",
			begin: chunked + "1;",
			again: strings.Repeat("e", 100),
			bound: headBound,
			want:  hop.ErrMalformed,
		},
		{
			name:  "chunk size without end",
			begin: chunked,
			again: "0",
			bound: headBound,
			want:  hop.ErrMalformed,
		},
		{
			name:  "trailer without end",
			begin: chunked + "0\r\n",
			again: "X-Field: value\r\n",
			bound: headBound,
			want:  hop.ErrMalformed,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := &endless{
				begin: tt.begin,
				again: tt.again,
			}
			c := server.connect(t)
			err := readBounded(c, server)
			if !errors.Is(err, tt.want) {
				t.Errorf("err = %v, want %v", err, tt.want)
			}
			if got := server.pushed.Load(); got > tt.bound {
				t.Errorf("read %d bytes, want at most %d", got, tt.bound)
			}
		})
	}
}

// readBounded reads one answer; one that isn't given up is ended after what no
// bound allows.
func readBounded(c *hop.Conn, server *endless) error {
	done := make(chan struct{})
	defer close(done)
	go func() {
		for server.pushed.Load() < _stopForTest {
			select {
			case <-done:
				return
			case <-time.After(time.Millisecond):
			}
		}
		c.SetDeadline(time.Now())
	}()
	if _, err := c.ReadHead("GET"); err != nil {
		return err
	}
	_, err := c.ReadAll(_limitForTest, nil)

	return err
}

// TestEndlessEvent guards against an event without end that is kept: it must end
// in an error by the bound on one event.
func TestEndlessEvent(t *testing.T) {
	for _, piece := range []string{"data: x\n", strings.Repeat("x", 4<<10)} {
		var e hop.Events
		var err error
		fed := 0
		for err == nil && fed < 2*_eventBound {
			_, err = e.Feed([]byte(piece))
			fed += len(piece)
		}
		if !errors.Is(err, hop.ErrMalformed) || fed > _eventBound+len(piece) {
			t.Errorf("pieces of %d bytes: err = %v after %d bytes, want %v by %d", len(piece), err, fed, hop.ErrMalformed, _eventBound)
		}
	}
}

// TestEventInSmallPieces guards against work that grows with the square of an
// event's length: what is copied must stay within a few times what came.
func TestEventInSmallPieces(t *testing.T) {
	const (
		length = 32 << 10
		factor = 8
	)
	var e hop.Events
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	for range length {
		if _, err := e.Feed([]byte{'x'}); err != nil {
			t.Fatal(err)
		}
	}
	runtime.ReadMemStats(&after)
	if got := after.TotalAlloc - before.TotalAlloc; got > factor*length {
		t.Errorf("an event of %d bytes in pieces of one took %d bytes of memory, want at most %d", length, got, factor*length)
	}
}

// BenchmarkEventInSmallPieces shows the work for one event.
func BenchmarkEventInSmallPieces(b *testing.B) {
	for b.Loop() {
		var e hop.Events
		for range 32 << 10 {
			if _, err := e.Feed([]byte{'x'}); err != nil {
				b.Fatal(err)
			}
		}
	}
}

// TestMemoryOfAnswers guards against memory that answers take together beyond
// their part, that isn't given back, or that large answers keep from small ones.
func TestMemoryOfAnswers(t *testing.T) {
	const (
		small = 10 << 10
		large = 500 << 10
		all   = 1 << 20
	)
	memory := hop.NewMemory(all)
	read := func(share *hop.Share, length int) error {
		server := &endless{
			begin: fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", length),
			again: strings.Repeat("x", 100),
		}
		c := server.connect(t)
		if _, err := c.ReadHead("GET"); err != nil {
			return err
		}
		_, err := c.ReadAll(_limitForTest, share)

		return err
	}
	for range 3 {
		shares := make([]*hop.Share, 4)
		got := make([]error, 0, len(shares))
		for i := range shares {
			shares[i] = &hop.Share{Memory: memory}
			length := large
			if i == len(shares)-1 {
				length = small
			}
			got = append(got, read(shares[i], length))
		}
		want := []error{nil, nil, hop.ErrNoMemory, nil}
		for i, err := range got {
			if !errors.Is(err, want[i]) {
				t.Errorf("answer %d: err = %v, want %v", i, err, want[i])
			}
		}
		for _, s := range shares {
			s.Free()
		}
	}
}
