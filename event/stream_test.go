package event_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/zap"

	"papayastair.dev/papayastair/event"
)

// blockedWriter records its input. Its first Write blocks until release is
// closed.
type blockedWriter struct {
	mu      sync.Mutex
	buf     bytes.Buffer
	release chan struct{}
	entered chan struct{}
	once    sync.Once
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	w.once.Do(func() {
		close(w.entered)
		<-w.release
	})
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.buf.Write(p)
}

// TestStreamBlockedWriter logs while the writer is blocked. No call may block,
// the buffer is bounded, and lines that don't fit are dropped.
func TestStreamBlockedWriter(t *testing.T) {
	w := &blockedWriter{
		release: make(chan struct{}),
		entered: make(chan struct{}),
	}
	log := event.OpenStream(w, "i")
	log.Write(event.EntryStopped)
	<-w.entered
	const lines = 20000
	text := strings.Repeat("x", 100)
	for range lines {
		log.Write(event.EntryStopped, zap.String("Text", text))
	}
	close(w.release)
	log.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	kept := strings.Count(w.buf.String(), `"EntryStopped"`) - 1
	if kept <= 0 || kept >= lines {
		t.Errorf("%d of %d lines kept, want some", kept, lines)
	}
	if w.buf.Len() > 600<<10 {
		t.Errorf("%d bytes were kept, want at most two buffers", w.buf.Len())
	}
	if diff := cmp.Diff(1, strings.Count(w.buf.String(), `"EntryStopped","Instance":"i","Number"`)); diff != "" {
		t.Errorf("first line (-want +got):\n%s", diff)
	}
}
