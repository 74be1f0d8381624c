package event

import "go.uber.org/zap/zapcore"

// Kinds of routing: 2300 to 2399.
var (
	BackendServerChosen     = declare(2300, "BackendServerChosen", zapcore.InfoLevel, "A backend server was chosen for a request, with the reason and the candidates' figures.")
	BackendServerNotChosen  = declare(2301, "BackendServerNotChosen", zapcore.InfoLevel, "No backend server could take a request now, with the reason.")
	BackendServerEjected    = declare(2302, "BackendServerEjected", zapcore.WarnLevel, "A backend server gets no requests but probes, because of errors, slowness or a lost connection.")
	BackendServerReadmitted = declare(2303, "BackendServerReadmitted", zapcore.InfoLevel, "A backend server passed its probes and gets requests again.")
	BackendServerLeaving    = declare(2304, "BackendServerLeaving", zapcore.InfoLevel, "A backend server takes no new work any more.")
	EjectionLimited         = declare(2305, "EjectionLimited", zapcore.WarnLevel, "A backend server would be ejected, but too many are out or it is the last of a model.")
	RequestSuspected        = declare(2310, "RequestSuspected", zapcore.WarnLevel, "A request was running on a backend server when that died; it may run again only alone.")
	RequestHeld             = declare(2311, "RequestHeld", zapcore.ErrorLevel, "A request was part of as many deaths of backend servers as are allowed; it isn't run again while the hold lasts.")
	RequestCleared          = declare(2312, "RequestCleared", zapcore.InfoLevel, "A suspect request ran to its end and is free again.")
	HomeUnreachable         = declare(2313, "HomeUnreachable", zapcore.WarnLevel, "The home instance of a fingerprint didn't answer, and another was asked or the request waits.")
)
