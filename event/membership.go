package event

import "go.uber.org/zap/zapcore"

// Kinds of membership: 4200 to 4299.
var (
	MemberJoined   = declare(4200, "MemberJoined", zapcore.InfoLevel, "A member is new, or was restarted.")
	MemberSuspect  = declare(4201, "MemberSuspect", zapcore.WarnLevel, "A member doesn't answer; it may still deny it.")
	MemberFailed   = declare(4202, "MemberFailed", zapcore.WarnLevel, "A member is taken for failed.")
	MemberAlive    = declare(4203, "MemberAlive", zapcore.InfoLevel, "A member that was suspect or failed is alive.")
	MemberLeaving  = declare(4204, "MemberLeaving", zapcore.InfoLevel, "A member wants no new work.")
	MemberGone     = declare(4205, "MemberGone", zapcore.InfoLevel, "A member is forgotten: it has failed, and the platform doesn't list it any more.")
	PauseNoticed   = declare(4206, "PauseNoticed", zapcore.WarnLevel, "This process did not run for a while; what it found out about others in that time doesn't count.")
	SelfSuspected  = declare(4207, "SelfSuspected", zapcore.WarnLevel, "Others suspect this instance; it denies it.")
	ListUnreadable = declare(4208, "ListUnreadable", zapcore.WarnLevel, "The platform's list of members could not be read; findings of peers go on.")
)
