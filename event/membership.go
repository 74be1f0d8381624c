package event

import "go.uber.org/zap/zapcore"

// Membership events: 4200 to 4299.
var (
	MemberJoined   = declare(4200, "MemberJoined", zapcore.InfoLevel, "A member joined or was restarted.")
	MemberSuspect  = declare(4201, "MemberSuspect", zapcore.WarnLevel, "A member doesn't respond; it may still refute the suspicion.")
	MemberFailed   = declare(4202, "MemberFailed", zapcore.WarnLevel, "A member is considered failed.")
	MemberAlive    = declare(4203, "MemberAlive", zapcore.InfoLevel, "A member that was suspect or failed is alive.")
	MemberLeaving  = declare(4204, "MemberLeaving", zapcore.InfoLevel, "A member is leaving and accepts no new work.")
	MemberGone     = declare(4205, "MemberGone", zapcore.InfoLevel, "A member was removed: it has failed, and the platform no longer lists it.")
	PauseNoticed   = declare(4206, "PauseNoticed", zapcore.WarnLevel, "This process did not run for a while; its findings about other members from that time are discarded.")
	SelfSuspected  = declare(4207, "SelfSuspected", zapcore.WarnLevel, "Other members suspect this instance; it refutes the suspicion.")
	ListUnreadable = declare(4208, "ListUnreadable", zapcore.WarnLevel, "The platform's list of members could not be read; the findings of peers are still used.")
)
