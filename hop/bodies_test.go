package hop_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/google/go-cmp/cmp"

	"papayastair.dev/papayastair/hop"
	"papayastair.dev/papayastair/site"
)

// TestBodiesAtOnce guards against a process that grows over its memory under bodies of
// which each is allowed: those beyond the limit are refused as not run, small ones never.
func TestBodiesAtOnce(t *testing.T) {
	const (
		room    = 4
		callers = 16
		large   = 1 << 20
		small   = 8 << 10
	)
	limits := testLimits
	limits.BodyBytes = large
	tests := []struct {
		name string
		// request returns a new request's body, with a length or in chunks.
		body func(n int) *http.Request
	}{
		{
			name: "length",
			body: func(n int) *http.Request {
				r, _ := http.NewRequest(http.MethodPost, "", strings.NewReader(strings.Repeat("x", n)))

				return r
			},
		},
		{
			name: "chunks",
			body: func(n int) *http.Request {
				r, _ := http.NewRequest(http.MethodPost, "", struct{ *strings.Reader }{strings.NewReader(strings.Repeat("x", n))})

				return r
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			release := make(chan struct{})
			var held, most atomic.Int64
			handled := make(chan struct{}, callers)
			s := hop.Serve(hop.ServerConfig{
				Listener: listener,
				Limits:   func() site.Limits { return limits },
				Handle: func(r *hop.Request) {
					if len(r.Body) > small {
						n := held.Add(int64(len(r.Body)))
						for old := most.Load(); n > old && !most.CompareAndSwap(old, n); old = most.Load() {
						}
						handled <- struct{}{}
						<-release
						held.Add(-int64(len(r.Body)))
					}
					r.Answer(200, nil, []byte(fmt.Sprint(len(r.Body))))
				},
				Memory: hop.NewMemoryLimit(room * large),
			})
			defer s.Close()
			send := func(n int) (status int, retry bool) {
				r := tt.body(n)
				r.URL.Scheme, r.URL.Host = "http", listener.Addr().String()
				resp, err := http.DefaultClient.Do(r)
				if err != nil {
					t.Error(err)

					return 0, false
				}
				defer func() { _ = resp.Body.Close() }()

				return resp.StatusCode, resp.Header.Get("Retry-After") != ""
			}
			var wg sync.WaitGroup
			var refused atomic.Int64
			done := make(chan struct{}, callers)
			for range callers {
				wg.Go(func() {
					status, retry := send(large)
					if status == 503 && retry {
						refused.Add(1)
					} else if status != 200 {
						t.Errorf("status %d, Retry-After %t, want 200, or 503 with Retry-After", status, retry)
					}
					done <- struct{}{}
				})
			}
			for range callers {
				select {
				case <-handled:
				case <-done:
				}
			}
			if status, _ := send(small); status != 200 {
				t.Errorf("a small body beside large ones: status %d, want 200", status)
			}
			close(release)
			wg.Wait()
			if n := most.Load(); n > room*large {
				t.Errorf("%d bytes of bodies were handled at once, want at most %d", n, room*large)
			}
			if refused.Load() == 0 {
				t.Error("no request was refused")
			}
			status, _ := send(large)
			if diff := cmp.Diff(200, status); diff != "" {
				t.Errorf("status once the memory is free (-want +got):\n%s", diff)
			}
		})
	}
}
