package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"papayastair.dev/papayastair/gateway"
	"papayastair.dev/papayastair/timer"
	"papayastair.dev/papayastair/wire"
)

// TestCloseAnswers guards against a Close that gives up requests that wait for
// a place or for a plain service, without an answer.
func TestCloseAnswers(t *testing.T) {
	tests := []struct {
		name   string
		path   string
		status int
	}{
		{
			name:   "waits for a place",
			path:   "/v1/completions",
			status: http.StatusServiceUnavailable,
		},
		{
			name:   "waits for a plain service",
			path:   "/services/s",
			status: http.StatusBadGateway,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var b bench
			parts := b.parts()
			b.valid.Store(true)
			parts.Acquire = func(ctx context.Context, _ gateway.Work) (gateway.Slot, *gateway.Refusal) {
				<-ctx.Done()

				return gateway.Slot{}, &gateway.Refusal{Reason: "the wait ended"}
			}
			parts.Route = func(string) (wire.Route, bool) {
				return wire.Route{
					Open:                true,
					TimeoutMilliseconds: int(time.Hour.Milliseconds()),
				}, true
			}
			parts.CallService = func(ctx context.Context, _ gateway.ServiceCall) gateway.ServiceAnswer {
				<-ctx.Done()

				return gateway.ServiceAnswer{Outcome: gateway.OutcomeUnknown}
			}
			clock := timer.New()
			defer clock.Close()
			g, err := gateway.New(gateway.Config{
				Instance:       "i",
				Address:        "127.0.0.1:0",
				BodyLimitBytes: _bodyLimit,
				MaxStreams:     16,
				Timer:          clock,
				Registry:       metrics.NewRegistry(),
				Parts:          parts,
			})
			if err != nil {
				t.Fatal(err)
			}
			g.Serve()
			got := make(chan string, 1)
			go func() { got <- ask(g.Address(), tt.path) }()
			for g.Running() == 0 {
				time.Sleep(time.Millisecond)
			}
			g.Close()
			if n := g.Running(); n != 0 {
				t.Fatalf("%d requests without an answer after Close", n)
			}
			if want, got := fmt.Sprint(tt.status), <-got; got != want {
				t.Errorf("status %s, want %s", got, want)
			}
		})
	}
}

// ask sends a request and returns the answer's status, or the error.
func ask(address, path string) string {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+path, strings.NewReader(`{"model":"model","max_tokens":2}`))
	if err != nil {
		return err.Error()
	}
	req.Header.Set("Authorization", "Bearer "+_key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err.Error()
	}
	_ = resp.Body.Close()

	return fmt.Sprint(resp.StatusCode)
}
