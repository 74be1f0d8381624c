package hop_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"papayastair.dev/papayastair/hop"
	"papayastair.dev/papayastair/site"
)

var testLimits = site.Limits{
	HeaderBytes:   1024,
	BodyBytes:     64,
	HeaderTimeout: 2 * time.Second,
	IdleTimeout:   2 * time.Second,
}

// serve starts a server with the given handler and returns its address.
func serve(t *testing.T, handle func(r *hop.Request)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := hop.Serve(hop.ServerConfig{
		Listener: listener,
		Limits:   func() site.Limits { return testLimits },
		Handle:   handle,
	})
	t.Cleanup(s.Close)

	return listener.Addr().String()
}

// echo responds with the method, the target and the body of the request.
func echo(r *hop.Request) {
	r.Answer(200, nil, []byte(r.Head.Method+" "+r.Head.Target+" "+string(r.Body)))
}

// sendRaw sends text and returns the statuses and bodies of all responses, and
// whether the server closed the connection after them.
func sendRaw(t *testing.T, address, text string) (responses []string, closed bool) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	br := bufio.NewReader(c)
	for {
		// No more bytes arrive on an open connection. The timeout doesn't affect
		// the result, as a close is detected at once.
		_ = c.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
		if _, err := br.Peek(1); err != nil {
			return responses, err == io.EOF
		}
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatal(err)
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Fatal(err)
		}
		responses = append(responses, strings.TrimSpace(fmt.Sprint(resp.StatusCode, " ", string(body))))
	}
}

// TestBadInput checks the responses to invalid requests, which must not be
// forwarded, next to those to valid ones.
func TestBadInput(t *testing.T) {
	address := serve(t, echo)
	const host = "Host: a.example\r\n"
	tests := []struct {
		name   string
		give   string
		want   []string
		closed bool
	}{
		{
			name: "proper",
			give: "GET /a/ HTTP/1.1\r\n" + host + "\r\n",
			want: []string{"200 GET /a/"},
		},
		{
			name: "path and query unchanged",
			give: "GET //a/%2f/../b?x=%20&y HTTP/1.1\r\n" + host + "\r\n",
			want: []string{"200 GET //a/%2f/../b?x=%20&y"},
		},
		{
			name: "chunked body",
			give: "POST /a HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: v\r\n\r\n",
			want: []string{"200 POST /a abcde"},
		},
		{
			name: "pipelined",
			give: "GET /1 HTTP/1.1\r\n" + host + "\r\nGET /2 HTTP/1.1\r\n" + host + "\r\n",
			want: []string{"200 GET /1", "200 GET /2"},
		},
		{
			name:   "two content lengths",
			give:   "POST /a HTTP/1.1\r\n" + host + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
			want:   []string{"400"},
			closed: true,
		},
		{
			name:   "content length and chunked coding",
			give:   "POST /a HTTP/1.1\r\n" + host + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /smuggled HTTP/1.1\r\n" + host + "\r\n",
			want:   []string{"400"},
			closed: true,
		},
		{
			name:   "signed content length",
			give:   "POST /a HTTP/1.1\r\n" + host + "Content-Length: +3\r\n\r\nabc",
			want:   []string{"400"},
			closed: true,
		},
		{
			name:   "list of content lengths",
			give:   "POST /a HTTP/1.1\r\n" + host + "Content-Length: 3, 3\r\n\r\nabc",
			want:   []string{"400"},
			closed: true,
		},
		{
			name:   "unsupported transfer coding",
			give:   "POST /a HTTP/1.1\r\n" + host + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
			want:   []string{"400"},
			closed: true,
		},
		{
			name:   "signed chunk size",
			give:   "POST /a HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n+3\r\nabc\r\n0\r\n\r\n",
			want:   []string{"400"},
			closed: true,
		},
		{
			name:   "chunk size overflow",
			give:   "POST /a HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n10000000000000003\r\nabc\r\n0\r\n\r\n",
			want:   []string{"400"},
			closed: true,
		},
		{
			name:   "chunk longer than its size",
			give:   "POST /a HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n",
			want:   []string{"400"},
			closed: true,
		},
		{
			name:   "bare CR in a value",
			give:   "GET /a HTTP/1.1\r\n" + host + "X: a\rb\r\n\r\n",
			want:   []string{"400"},
			closed: true,
		},
		{
			name:   "bare LF",
			give:   "GET /a HTTP/1.1\n" + host + "\r\n",
			want:   []string{"400"},
			closed: true,
		},
		{
			name:   "space before the colon",
			give:   "GET /a HTTP/1.1\r\n" + host + "Content-Length : 3\r\n\r\nabc",
			want:   []string{"400"},
			closed: true,
		},
		{
			name:   "folded line",
			give:   "GET /a HTTP/1.1\r\n" + host + "X: a\r\n b\r\n\r\n",
			want:   []string{"400"},
			closed: true,
		},
		{
			name:   "absolute target",
			give:   "GET http://b.example/a HTTP/1.1\r\n" + host + "\r\n",
			want:   []string{"400"},
			closed: true,
		},
		{
			name:   "space in the target",
			give:   "GET /a b HTTP/1.1\r\n" + host + "\r\n",
			want:   []string{"400"},
			closed: true,
		},
		{
			name:   "several Host fields",
			give:   "GET /a HTTP/1.1\r\n" + host + "Host: b.example\r\n\r\n",
			want:   []string{"400"},
			closed: true,
		},
		{
			name:   "no Host field",
			give:   "GET /a HTTP/1.1\r\n\r\n",
			want:   []string{"400"},
			closed: true,
		},
		{
			name:   "unsupported version",
			give:   "GET /a HTTP/1.0\r\n" + host + "\r\n",
			want:   []string{"505"},
			closed: true,
		},
		{
			name:   "head over the limit",
			give:   "GET /a HTTP/1.1\r\n" + host + "X: " + strings.Repeat("a", 1024) + "\r\n\r\n",
			want:   []string{"431"},
			closed: true,
		},
		{
			name:   "body over the limit",
			give:   "POST /a HTTP/1.1\r\n" + host + "Content-Length: 65\r\n\r\n" + strings.Repeat("a", 65),
			want:   []string{"413"},
			closed: true,
		},
		{
			name:   "chunked body over the limit",
			give:   "POST /a HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n41\r\n" + strings.Repeat("a", 65) + "\r\n0\r\n\r\n",
			want:   []string{"413"},
			closed: true,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, closed := sendRaw(t, address, tt.give)
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("responses (-want +got):\n%s", diff)
			}
			if closed != tt.closed {
				t.Errorf("closed = %v, want %v", closed, tt.closed)
			}
		})
	}
}

// TestNextRequestWhileAnswering guards against a race between the reader and the
// handler of a connection: a request that arrives just as the previous response
// is sent must be read at once and not be lost.
func TestNextRequestWhileAnswering(t *testing.T) {
	address := serve(t, echo)
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	const requests = 3000
	for i := range requests {
		text := fmt.Sprintf("GET /%d HTTP/1.1\r\nHost: a\r\n\r\n", i)
		if _, err := io.WriteString(c, text); err != nil {
			t.Fatal(err)
		}
		resp, err := http.ReadResponse(br, nil)
		if err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(fmt.Sprintf("GET /%d ", i), string(body)); diff != "" {
			t.Fatalf("request %d (-want +got):\n%s", i, diff)
		}
	}
}

// TestCallerDisconnects checks that a disconnect of the caller is detected while
// its request is being handled.
func TestCallerDisconnects(t *testing.T) {
	detected := make(chan struct{})
	address := serve(t, func(r *hop.Request) {
		<-r.Disconnected()
		close(detected)
	})
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(c, "GET /a HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	<-detected
}

// TestDisconnectCause checks that a close by the caller and a close by the
// server are reported as different causes.
func TestDisconnectCause(t *testing.T) {
	tests := []struct {
		name string
		end  func(caller net.Conn, s *hop.Server)
		want error
	}{
		{
			name: "caller closes",
			end:  func(caller net.Conn, _ *hop.Server) { _ = caller.Close() },
			want: io.EOF,
		},
		{
			name: "server closes",
			end:  func(_ net.Conn, s *hop.Server) { s.Close() },
			want: net.ErrClosed,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			entered, cause := make(chan struct{}), make(chan error, 1)
			s := hop.Serve(hop.ServerConfig{
				Listener: listener,
				Limits:   func() site.Limits { return testLimits },
				Handle: func(r *hop.Request) {
					close(entered)
					<-r.Disconnected()
					cause <- r.DisconnectCause()
				},
			})
			defer s.Close()
			c, err := net.Dial("tcp", listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			if _, err := io.WriteString(c, "GET /a HTTP/1.1\r\nHost: a\r\n\r\n"); err != nil {
				t.Fatal(err)
			}
			<-entered
			tt.end(c, s)
			if got := <-cause; !errors.Is(got, tt.want) {
				t.Errorf("cause %v, want %v", got, tt.want)
			}
		})
	}
}

// TestIncompleteResponse checks that the caller sees a truncated response if the
// handler returns without a response or in the middle of a stream.
func TestIncompleteResponse(t *testing.T) {
	tests := []struct {
		name   string
		handle func(r *hop.Request)
	}{
		{
			name:   "no response",
			handle: func(*hop.Request) {},
		},
		{
			name: "stream without an end",
			handle: func(r *hop.Request) {
				r.Begin(200, "", nil)
				r.WriteChunk([]byte("part"))
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			resp, err := http.Get("http://" + serve(t, tt.handle) + "/a")
			if err != nil {
				return
			}
			defer func() { _ = resp.Body.Close() }()
			if body, err := io.ReadAll(resp.Body); err == nil {
				t.Errorf("complete response %q, want a truncated one", body)
			}
		})
	}
}

// FuzzRequest parses arbitrary bytes as a request. The parser must neither panic
// nor accept a target or a field that two parsers could interpret differently.
func FuzzRequest(f *testing.F) {
	f.Add("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	f.Add("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		head, err := hop.ParseRequestForTest(text)
		if err != nil {
			return
		}
		if strings.ContainsAny(head.Target, " \r\n\t") || head.Target[0] != '/' {
			t.Errorf("target %q", head.Target)
		}
		for _, field := range head.Fields {
			if strings.ContainsAny(field.Name+field.Value, "\r\n\x00") || strings.ContainsAny(field.Name, " :\t") {
				t.Errorf("field %q: %q", field.Name, field.Value)
			}
		}
	})
}

// TestFinish checks that a server refuses new requests only once none is being
// handled, and that a refused request isn't handled.
func TestFinish(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	entered, release := make(chan struct{}), make(chan struct{})
	s := hop.Serve(hop.ServerConfig{
		Listener: listener,
		Limits:   func() site.Limits { return testLimits },
		Handle: func(r *hop.Request) {
			entered <- struct{}{}
			<-release
			r.Answer(200, nil, nil)
		},
	})
	defer s.Close()
	const request = "GET /a HTTP/1.1\r\nHost: a\r\n\r\n"
	first := make(chan []string)
	go func() {
		responses, _ := sendRaw(t, listener.Addr().String(), request)
		first <- responses
	}()
	<-entered
	if s.RefuseIfIdle() {
		t.Error("refuses requests while one is being handled")
	}
	close(release)
	if diff := cmp.Diff([]string{"200"}, <-first); diff != "" {
		t.Errorf("response to the first request (-want +got):\n%s", diff)
	}
	for !s.RefuseIfIdle() {
		time.Sleep(time.Millisecond)
	}
	responses, closed := sendRaw(t, listener.Addr().String(), request)
	if diff := cmp.Diff([]string{"503"}, responses); diff != "" || !closed {
		t.Errorf("response to the late request, closed %v (-want +got):\n%s", closed, diff)
	}
}
