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
	// _streamBuffer is the maximum size of the buffered lines, in bytes.
	// Further lines are dropped and counted. It holds the lines of some hundred
	// requests.
	_streamBuffer = 256 << 10
	// _streamFlushInterval is the maximum delay of a line.
	_streamFlushInterval = 250 * time.Millisecond
)

// OpenStream returns a log that writes JSON lines to w from a goroutine of its
// own. Logging makes no system call and never waits for w. Lines that don't fit
// in the buffer are dropped, and a LogDropped event reports their number.
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

// stream buffers lines between the callers of the log and the writer.
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

// Write appends a line to the buffer, or drops it if the buffer is full.
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

// Sync does nothing: lines are written at the next flush, or by close.
func (s *stream) Sync() error {
	return nil
}

func (s *stream) run(log *Log) {
	ticker := time.NewTicker(_streamFlushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.done:
			s.flush(log)
			// Write the LogDropped event of the first flush.
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
		// A failed write can't be reported anywhere.
		_, _ = s.w.Write(out)
	}
	s.spare = out
	if dropped > 0 {
		log.Write(LogDropped, zap.Int("Lines", dropped))
	}
}

// close writes the buffered lines and stops the goroutine.
func (s *stream) close() error {
	s.once.Do(func() { close(s.done) })
	s.wg.Wait()

	return nil
}
