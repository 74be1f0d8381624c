package event

import (
	"io"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// _streamBuffer bounds the bytes of lines that wait to be written; a line
	// more is dropped and counted. It holds some hundred requests.
	_streamBuffer = 256 << 10
	// _streamFlush is how late a line may be.
	_streamFlush = 250 * time.Millisecond
)

// OpenStream returns a log that writes JSON lines to w, from a goroutine of its
// own: a line costs its caller no call of the system and never waits for w.
// Lines that find the buffer full are dropped; LogDropped tells how many.
func OpenStream(w io.Writer, instance string) *Log {
	cfg := zap.NewProductionEncoderConfig()
	cfg.TimeKey = "Time"
	cfg.LevelKey = "Level"
	cfg.MessageKey = "Event"
	cfg.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	cfg.EncodeDuration = zapcore.MillisDurationEncoder
	s := &stream{
		w:    w,
		done: make(chan struct{}),
	}
	core := zapcore.NewCore(zapcore.NewJSONEncoder(cfg), s, zapcore.InfoLevel)
	log := &Log{
		zap:   zap.New(core).With(zap.String("Instance", instance)),
		stop:  s.close,
		brief: true,
	}
	s.wg.Go(func() { s.run(log) })

	return log
}

// stream is the buffer between those who log and the writer.
type stream struct {
	w       io.Writer
	mu      sync.Mutex
	waiting []byte
	spare   []byte
	dropped int
	done    chan struct{}
	once    sync.Once
	wg      conc.WaitGroup
}

// Write takes a line, or drops it.
func (s *stream) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting)+len(line) > _streamBuffer {
		s.dropped++
	} else {
		s.waiting = append(s.waiting, line...)
	}

	return len(line), nil
}

// Sync does nothing: the lines are written soon, and at the end.
func (s *stream) Sync() error {
	return nil
}

func (s *stream) run(log *Log) {
	ticker := time.NewTicker(_streamFlush)
	defer ticker.Stop()
	for {
		select {
		case <-s.done:
			s.flush(log)
			// The line that tells what the first one dropped.
			s.flush(log)

			return
		case <-ticker.C:
			s.flush(log)
		}
	}
}

func (s *stream) flush(log *Log) {
	s.mu.Lock()
	out, dropped := s.waiting, s.dropped
	s.waiting = s.spare[:0]
	s.dropped = 0
	s.mu.Unlock()
	if len(out) > 0 {
		// Nobody is left to tell that the log can't be written.
		_, _ = s.w.Write(out)
	}
	s.spare = out
	if dropped > 0 {
		log.Write(LogDropped, zap.Int("Lines", dropped))
	}
}

// close writes what waits and ends.
func (s *stream) close() error {
	s.once.Do(func() { close(s.done) })
	s.wg.Wait()

	return nil
}
