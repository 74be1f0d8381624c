package gateway_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"papayastair.dev/papayastair/engine"
)

// TestForeignChunks gives callers answers from an engine that goes wrong in
// the middle: none of what doesn't belong may reach them, and the answer must
// not look complete.
func TestForeignChunks(t *testing.T) {
	tests := []struct {
		name  string
		chunk string
	}{
		{
			name:  "another request's chunk",
			chunk: `{"id":"other","choices":[{"text":"foreign"}],"tokens":2}`,
		},
		{
			name:  "a gap",
			chunk: `{"id":"%s","choices":[{"text":"foreign"}],"tokens":3}`,
		},
		{
			name:  "a gap at the end",
			chunk: `{"id":"%s","choices":[{"text":"foreign","finish_reason":"length"}],"tokens":3}`,
		},
		{
			name:  "a number twice",
			chunk: `{"id":"%s","choices":[{"text":"foreign"}],"tokens":1}`,
		},
		{
			name:  "a number twice at the end",
			chunk: `{"id":"%s","choices":[{"text":"foreign","finish_reason":"length"}],"tokens":1}`,
		},
		{
			name:  "broken JSON",
			chunk: `{"id":"%s","choices":[{"text":"foreign"`,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				id := r.Header.Get(engine.HeaderRequestID)
				_, _ = fmt.Fprintf(w, "data: {\"id\":%q,\"choices\":[{\"text\":\"own\"}],\"tokens\":1}\n\n", id)
				_, _ = fmt.Fprintf(w, "data: %s\n\ndata: [DONE]\n\n", strings.ReplaceAll(tt.chunk, "%s", id))
			}))
			defer server.Close()
			b := newBench(t, time.Millisecond)
			b.address = server.Listener.Addr().String()
			status, body := b.post(t, _key, "", `{"model":"model","stream":true}`)
			if status != http.StatusOK || strings.Contains(body, "foreign") || strings.Contains(body, "[DONE]") {
				t.Errorf("status %d: %s", status, body)
			}
			if !strings.Contains(body, `"outcome":"Unknown"`) || strings.Count(body, `"own"`) != 1 {
				t.Errorf("answer: %s", body)
			}
			b.waitFree()
		})
	}
}
