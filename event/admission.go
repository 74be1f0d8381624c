package event

import "go.uber.org/zap/zapcore"

// Admission events: 2200 to 2299.
var (
	RequestNotRun = declare(2200, "RequestNotRun", zapcore.InfoLevel, "A request left the queue without running; with the reason and the time after which to retry.")
)
