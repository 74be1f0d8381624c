package event

import "go.uber.org/zap/zapcore"

// Events of the process and of the caller interface: 1000 to 1199.
var (
	ProcessStarted  = declare(1000, "ProcessStarted", zapcore.InfoLevel, "The instance listens on all of its addresses.")
	ProcessStopping = declare(1001, "ProcessStopping", zapcore.InfoLevel, "A graceful shutdown has begun: the instance answers locate requests with other instances and finishes running requests.")
	ProcessStopped  = declare(1002, "ProcessStopped", zapcore.InfoLevel, "The last request has ended and the instance closes.")
	RequestDone     = declare(1100, "RequestDone", zapcore.InfoLevel, "A caller's request has ended; with its outcome.")
	RequestRefused  = declare(1101, "RequestRefused", zapcore.InfoLevel, "A caller's request was refused before it ran.")
	KeyWithdrawn    = declare(1102, "KeyWithdrawn", zapcore.WarnLevel, "An open request was ended because its key was withdrawn.")
	AnswerDropped   = declare(1103, "AnswerDropped", zapcore.ErrorLevel, "An answer did not belong to its request; it was dropped and its connection closed.")
)
