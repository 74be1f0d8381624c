package event

import "go.uber.org/zap/zapcore"

// Events of locate requests and of graceful leaving: 4300 to 4399.
var (
	Located       = declare(4300, "Located", zapcore.InfoLevel, "A caller was directed to an instance, for the given reason, out of the given candidates.")
	NotLocated    = declare(4301, "NotLocated", zapcore.ErrorLevel, "No instance was available for a caller.")
	DrainBegun    = declare(4302, "DrainBegun", zapcore.InfoLevel, "This instance announced that it is leaving; it accepts new requests until the last locate answer that names it has expired.")
	DrainRefusing = declare(4303, "DrainRefusing", zapcore.InfoLevel, "All locate answers that name this instance have expired; it refuses new requests and finishes the running ones.")
	DrainDone     = declare(4304, "DrainDone", zapcore.InfoLevel, "The last request on this leaving instance has ended.")
)
