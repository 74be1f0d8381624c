package event

import "go.uber.org/zap/zapcore"

// Events of the records of non-idempotent calls: 3000 to 3099.
var (
	AttemptStoreFailed    = declare(3000, "AttemptStoreFailed", zapcore.WarnLevel, "A call to the store of records of non-idempotent calls failed; it is retried after a delay.")
	AttemptWriteInDoubt   = declare(3001, "AttemptWriteInDoubt", zapcore.WarnLevel, "A write of records has an unknown outcome; the shard is read again before any of its calls is sent.")
	AttemptRefused        = declare(3002, "AttemptRefused", zapcore.WarnLevel, "A non-idempotent call was refused without running, because its record could not be stored in time.")
	AttemptAnswerLost     = declare(3003, "AttemptAnswerLost", zapcore.WarnLevel, "The answer of a non-idempotent call could not be saved; a repeated call gets the outcome Unknown.")
	AttemptSegmentStored  = declare(3004, "AttemptSegmentStored", zapcore.InfoLevel, "Older records of a shard were moved into a segment.")
	AttemptValueUnread    = declare(3005, "AttemptValueUnread", zapcore.ErrorLevel, "A stored value of records could not be decoded; calls of its shard are refused without running.")
	AttemptSegmentDropped = declare(3006, "AttemptSegmentDropped", zapcore.InfoLevel, "A segment whose records have all expired was deleted.")
)
