package event

import "go.uber.org/zap/zapcore"

// Kinds of locate, and of leaving: 4300 to 4399.
var (
	Located       = declare(4300, "Located", zapcore.InfoLevel, "A caller was told which instance to use, for the reason given, out of the candidates given.")
	NotLocated    = declare(4301, "NotLocated", zapcore.ErrorLevel, "No instance could be named to a caller.")
	DrainBegun    = declare(4302, "DrainBegun", zapcore.InfoLevel, "This instance has announced that it leaves; it serves new requests while answers that name it live.")
	DrainRefusing = declare(4303, "DrainRefusing", zapcore.InfoLevel, "No answer that names this instance lives any more; it refuses new requests and finishes those that run.")
	DrainDone     = declare(4304, "DrainDone", zapcore.InfoLevel, "The last request on this leaving instance has ended.")
)
