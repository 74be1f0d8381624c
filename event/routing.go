package event

import "go.uber.org/zap/zapcore"

// Routing events: 2300 to 2399.
var (
	BackendServerChosen     = declare(2300, "BackendServerChosen", zapcore.InfoLevel, "A backend server was selected for a request; with the reason and the candidates' figures.")
	BackendServerNotChosen  = declare(2301, "BackendServerNotChosen", zapcore.InfoLevel, "No backend server could accept a request now; with the reason.")
	BackendServerEjected    = declare(2302, "BackendServerEjected", zapcore.WarnLevel, "A backend server gets only probes, because of errors, slowness or a lost connection.")
	BackendServerReadmitted = declare(2303, "BackendServerReadmitted", zapcore.InfoLevel, "A backend server passed its probes and gets requests again.")
	BackendServerLeaving    = declare(2304, "BackendServerLeaving", zapcore.InfoLevel, "A backend server no longer accepts new work.")
	EjectionLimited         = declare(2305, "EjectionLimited", zapcore.WarnLevel, "A backend server was not ejected because too many are ejected already or it is the last one of a model.")
	RequestSuspected        = declare(2310, "RequestSuspected", zapcore.WarnLevel, "A request was running on a backend server that failed; it may run again only alone.")
	RequestHeld             = declare(2311, "RequestHeld", zapcore.ErrorLevel, "A request was involved in the allowed number of failures of backend servers; it isn't run again while the hold lasts.")
	RequestCleared          = declare(2312, "RequestCleared", zapcore.InfoLevel, "A suspect request completed and is no longer restricted.")
	HomeUnreachable         = declare(2313, "HomeUnreachable", zapcore.WarnLevel, "The home instance of a fingerprint did not answer; another one was asked, or the request waits.")
)
