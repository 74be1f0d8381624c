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

	"github.com/google/go-cmp/cmp"

	"papayastair.dev/papayastair/hop"
)

// endlessServer is a backend server that sends prefix once and then repeats
// pattern until the other side closes the connection.
type endlessServer struct {
	prefix  string
	pattern string
	// sent is the number of bytes that were read from it. The connection has no
	// buffer.
	sent atomic.Int64
}

// connect returns a connection to the server.
func (e *endlessServer) connect(t *testing.T) *hop.Conn {
	t.Helper()
	near, far := net.Pipe()
	c := hop.ConnForTest(near)
	ended := make(chan struct{})
	t.Cleanup(func() {
		c.Close()
		<-ended
	})
	go func() {
		defer close(ended)
		n, err := far.Write([]byte(e.prefix))
		for e.sent.Add(int64(n)); err == nil; e.sent.Add(int64(n)) {
			n, err = far.Write([]byte(e.pattern))
		}
	}()

	return c
}

const (
	_bodyLimitBytes = 1 << 20
	// _abortBytes ends a test whose reader has read more than any limit allows.
	_abortBytes = 64 << 20
	// _maxEventBytes is the longest line that bufio.Scanner accepts by default.
	_maxEventBytes = bufio.MaxScanTokenSize
)

// TestEndlessAnswers guards against reading a response without limit: each kind of
// endless response must fail at the limit on heads or bodies, long before the
// backend server stops sending.
func TestEndlessAnswers(t *testing.T) {
	const (
		head    = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
		chunked = head + "Transfer-Encoding: chunked\r\n\r\n"
		// headLimit is the limit on heads plus the buffer of the connection.
		headLimit = 32<<10 + 8<<10
	)
	tests := []struct {
		name    string
		prefix  string
		pattern string
		limit   int64
		want    error
	}{
		{
			name:    "endless line",
			pattern: strings.Repeat("x", 100),
			limit:   headLimit,
			want:    hop.ErrHeadTooLarge,
		},
		{
			name:    "endless status line",
			prefix:  "HTTP/1.1 200 ",
			pattern: strings.Repeat("O", 100),
			limit:   headLimit,
			want:    hop.ErrHeadTooLarge,
		},
		{
			name:    "endless fields",
			prefix:  head,
			pattern: "X-Field: value\r\n",
			limit:   headLimit,
			want:    hop.ErrHeadTooLarge,
		},
		{
			name:    "endless empty lines",
			pattern: "\r\n",
			limit:   headLimit,
			want:    hop.ErrMalformed,
		},
		{
			name:    "endless interim answers",
			pattern: "HTTP/1.1 100 Continue\r\n\r\n",
			limit:   headLimit,
			want:    hop.ErrHeadTooLarge,
		},
		{
			name:    "endless interim answers with fields",
			pattern: "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
			limit:   headLimit,
			want:    hop.ErrHeadTooLarge,
		},
		{
			name:    "length above the limit",
			prefix:  head + "Content-Length: 99999999999\r\n\r\n",
			pattern: strings.Repeat("x", 100),
			limit:   headLimit,
			want:    hop.ErrBodyTooLarge,
		},
		{
			name:    "body until the connection closes",
			prefix:  head + "\r\n",
			pattern: strings.Repeat("x", 100),
			limit:   _bodyLimitBytes + headLimit,
			want:    hop.ErrBodyTooLarge,
		},
		{
			name:    "endless chunks",
			prefix:  chunked,
			pattern: "64\r\n" + strings.Repeat("x", 100) + "\r\n",
			// Each chunk of 100 bytes has 6 framing bytes.
			limit: _bodyLimitBytes*106/100 + headLimit,
			want:  hop.ErrBodyTooLarge,
		},
		{
			name:    "chunks of one byte",
			prefix:  chunked,
			pattern: "1\r\nx\r\n",
			limit:   _bodyLimitBytes*6 + headLimit,
			want:    hop.ErrBodyTooLarge,
		},
		{
			name:    "chunks of one byte with extensions",
			prefix:  chunked,
			pattern: "1;" + strings.Repeat("e", 200) + "\r\nx\r\n",
			limit:   _bodyLimitBytes + headLimit,
			want:    hop.ErrMalformed,
		},
		{
			name:    "endless chunk extension",
			prefix:  chunked + "1;",
			pattern: strings.Repeat("e", 100),
			limit:   headLimit,
			want:    hop.ErrMalformed,
		},
		{
			name:    "endless chunk size",
			prefix:  chunked,
			pattern: "0",
			limit:   headLimit,
			want:    hop.ErrMalformed,
		},
		{
			name:    "endless trailer",
			prefix:  chunked + "0\r\n",
			pattern: "X-Field: value\r\n",
			limit:   headLimit,
			want:    hop.ErrMalformed,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := &endlessServer{
				prefix:  tt.prefix,
				pattern: tt.pattern,
			}
			c := server.connect(t)
			err := readResponse(c, server)
			if !errors.Is(err, tt.want) {
				t.Errorf("err = %v, want %v", err, tt.want)
			}
			if got := server.sent.Load(); got > tt.limit {
				t.Errorf("read %d bytes, want at most %d", got, tt.limit)
			}
		})
	}
}

// readResponse reads one response. It ends the read with a deadline once the server
// has sent _abortBytes.
func readResponse(c *hop.Conn, server *endlessServer) error {
	done := make(chan struct{})
	defer close(done)
	go func() {
		for server.sent.Load() < _abortBytes {
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
	_, err := c.ReadAll(_bodyLimitBytes, nil)

	return err
}

// TestEventTooLong guards against buffering an endless event: it must fail at the
// limit on one event.
func TestEventTooLong(t *testing.T) {
	for _, piece := range []string{"data: x\n", strings.Repeat("x", 4<<10)} {
		var e hop.Events
		var err error
		fed := 0
		for err == nil && fed < 2*_maxEventBytes {
			_, err = e.Feed([]byte(piece))
			fed += len(piece)
		}
		if !errors.Is(err, hop.ErrMalformed) || fed > _maxEventBytes+len(piece) {
			t.Errorf("pieces of %d bytes: err = %v after %d bytes, want %v by %d", len(piece), err, fed, hop.ErrMalformed, _maxEventBytes)
		}
	}
}

// TestEventsBeforeEndless guards against sound events that are dropped though LastID names
// the last of them, if the incomplete event behind them exceeds a limit (ORDER).
func TestEventsBeforeEndless(t *testing.T) {
	const sound = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	for _, tt := range []struct {
		name        string
		reservation *hop.Reservation
		err         error
	}{
		{
			name: "event too long",
			err:  hop.ErrMalformed,
		},
		{
			name:        "no memory",
			reservation: &hop.Reservation{Limit: hop.NewMemoryLimit(0)},
			err:         hop.ErrNoMemory,
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			e := hop.Events{Reservation: tt.reservation}
			length := _maxEventBytes + 1
			if tt.reservation != nil {
				length = _maxEventBytes / 2
			}
			got, err := e.Feed([]byte(sound + strings.Repeat("x", length)))
			if !errors.Is(err, tt.err) {
				t.Errorf("err = %v, want %v", err, tt.err)
			}
			if diff := cmp.Diff([]string{sound, "2"}, []string{string(got), e.LastID()}); diff != "" {
				t.Errorf("events and last id (-want +got):\n%s", diff)
			}
		})
	}
}

// TestEventInSmallPieces guards against work that grows with the square of an
// event's length: the bytes allocated must stay within a small multiple of it.
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
		t.Errorf("event of %d bytes in pieces of one byte allocated %d bytes, want at most %d", length, got, factor*length)
	}
}

// BenchmarkEventInSmallPieces measures splitting one event fed byte by byte.
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

// TestMemoryLimit guards against responses that together exceed the memory limit,
// memory that isn't released, and large responses that keep small ones out.
func TestMemoryLimit(t *testing.T) {
	const (
		small = 10 << 10
		large = 500 << 10
		limit = 1 << 20
	)
	memory := hop.NewMemoryLimit(limit)
	read := func(share *hop.Reservation, length int) error {
		server := &endlessServer{
			prefix:  fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", length),
			pattern: strings.Repeat("x", 100),
		}
		c := server.connect(t)
		if _, err := c.ReadHead("GET"); err != nil {
			return err
		}
		_, err := c.ReadAll(_bodyLimitBytes, share)

		return err
	}
	for range 3 {
		shares := make([]*hop.Reservation, 4)
		got := make([]error, 0, len(shares))
		for i := range shares {
			shares[i] = &hop.Reservation{Limit: memory}
			length := large
			if i == len(shares)-1 {
				length = small
			}
			got = append(got, read(shares[i], length))
		}
		want := []error{nil, nil, hop.ErrNoMemory, nil}
		for i, err := range got {
			if !errors.Is(err, want[i]) {
				t.Errorf("response %d: err = %v, want %v", i, err, want[i])
			}
		}
		for _, s := range shares {
			s.Release()
		}
	}
}
