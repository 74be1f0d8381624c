package event

import "go.uber.org/zap/zapcore"

// Events of access to the platform's object API: 3200 to 3299.
var (
	PlatformFollowFailed = declare(3200, "PlatformFollowFailed", zapcore.WarnLevel, "A list or watch of the object API failed; it is retried after a delay.")
	PlatformAnswerOld    = declare(3201, "PlatformAnswerOld", zapcore.WarnLevel, "The object API answered with an older revision than before; the answer was ignored.")
	PlatformCallRepeated = declare(3202, "PlatformCallRepeated", zapcore.WarnLevel, "A read of the object API got no answer; it was sent again on a new connection.")
)
