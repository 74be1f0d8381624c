// Package event writes the log of a process. Each line is an event of the
// catalogue in docs/EVENTS.md. The number of an event never changes, so that
// operators can use it in searches and alerts. Each part of the system has its
// own range of numbers, declared in the file of that part.
package event

import (
	"fmt"
	"os"
	"runtime/debug"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Kind describes a kind of event. All kinds are declared in this package.
type Kind struct {
	// Number identifies the kind. It is never reused.
	Number int
	// Name is the message of the log line, in Pascal case.
	Name string
	// Level is the severity.
	Level zapcore.Level
	// Text describes the event in the catalogue, in one sentence.
	Text string
}

// Log writes events. The zero value writes nothing.
type Log struct {
	zap  *zap.Logger
	stop func() error
	// brief omits the stack traces of errors.
	brief bool
}

// Open returns a log that appends JSON lines to a file, or to standard error if
// the name is empty. Each line includes the instance's name and the process ID.
func Open(file, level, instance string) (*Log, error) {
	lvl, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, eris.Wrapf(err, "event: level %q", level)
	}
	if file == "" {
		file = "stderr"
	}
	cfg := zap.NewProductionConfig()
	cfg.Level = zap.NewAtomicLevelAt(lvl)
	cfg.Sampling = nil
	cfg.DisableStacktrace = true
	cfg.DisableCaller = true
	cfg.OutputPaths = []string{file}
	cfg.ErrorOutputPaths = []string{"stderr"}
	cfg.EncoderConfig.TimeKey = "Time"
	cfg.EncoderConfig.LevelKey = "Level"
	cfg.EncoderConfig.MessageKey = "Event"
	cfg.EncoderConfig.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	logger, err := cfg.Build(zap.Fields(zap.String("Instance", instance), zap.Int("Process", os.Getpid())))
	if err != nil {
		return nil, eris.Wrapf(err, "event: open %s", file)
	}

	return &Log{zap: logger}, nil
}

// Write writes an event with its fields. Field keys are in Pascal case.
func (l *Log) Write(kind *Kind, fields ...zap.Field) {
	if l == nil || l.zap == nil {
		return
	}
	entry := l.zap.Check(kind.Level, kind.Name)
	if entry == nil {
		return
	}
	if l.brief {
		for i, f := range fields {
			if err, ok := f.Interface.(error); ok && f.Type == zapcore.ErrorType {
				fields[i] = zap.String("Error", err.Error())
			}
		}
	}
	entry.Write(append(fields, zap.Int("Number", kind.Number))...)
}

// _maxStackBytes bounds the stack of a panic in the log.
const _maxStackBytes = 4 << 10

// Recover ends a panic of the function that defers it, and logs it with its stack.
// The goroutines that serve a process run for as long as it does: one that ended
// would be missing without a sign, and a process that ended would cut off all of
// its requests for the error of one.
func (l *Log) Recover(duty string, fields ...zap.Field) {
	v := recover()
	if v == nil {
		return
	}
	stack := debug.Stack()
	l.Write(Panicked, append(fields, zap.String("Duty", duty), zap.String("Value", fmt.Sprint(v)),
		zap.ByteString("Stack", stack[:min(len(stack), _maxStackBytes)]))...)
}

// Close flushes the log.
func (l *Log) Close() {
	if l == nil || l.zap == nil {
		return
	}
	// Sync fails on terminals on some systems; the error can be ignored.
	_ = l.zap.Sync()
	if l.stop != nil {
		_ = l.stop()
	}
}

// catalogue holds all kinds in the order of declaration.
var catalogue []*Kind

// declare adds a kind to the catalogue.
func declare(number int, name string, level zapcore.Level, text string) *Kind {
	kind := &Kind{
		Number: number,
		Name:   name,
		Level:  level,
		Text:   text,
	}
	catalogue = append(catalogue, kind)

	return kind
}
