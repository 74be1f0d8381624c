package event

import "go.uber.org/zap/zapcore"

// Kinds of the path of declared routes: 6000 to 6099; of what instances tell
// each other: 6100 to 6199; of the steward: 6200 to 6299.
var (
	EntryStarted       = declare(6000, "EntryStarted", zapcore.InfoLevel, "The process serves; with its addresses and bounds.")
	EntryLeaving       = declare(6001, "EntryLeaving", zapcore.InfoLevel, "The process was told to stop; callers are sent elsewhere, and what runs is finished.")
	EntryStopped       = declare(6002, "EntryStopped", zapcore.InfoLevel, "The process ends; with the requests that are still open, and the time since it was told to stop.")
	SettingsReread     = declare(6003, "SettingsReread", zapcore.InfoLevel, "The settings file was read again at a signal; addresses and bounds hold from the next start.")
	LogDropped         = declare(6004, "LogDropped", zapcore.WarnLevel, "Lines of the log were dropped since the last line, because they could not be written in time; with their number.")
	EntryServed        = declare(6010, "EntryServed", zapcore.InfoLevel, "A request was answered by a backend server; with the choice and its times.")
	EntryRefused       = declare(6011, "EntryRefused", zapcore.InfoLevel, "A request was refused and has not run; with the reason.")
	EntryFailed        = declare(6012, "EntryFailed", zapcore.WarnLevel, "A request ran or may have run and has no complete answer; with the reason.")
	EntryLeft          = declare(6013, "EntryLeft", zapcore.InfoLevel, "A caller left before its answer was complete; with the error that showed it, none if the connection was asked.")
	EntryMalformed     = declare(6014, "EntryMalformed", zapcore.InfoLevel, "Bytes on a caller's connection are no proper request; it was closed.")
	AttemptFailed      = declare(6015, "AttemptFailed", zapcore.InfoLevel, "A backend server did not run a request, or did not answer it whole; with what follows.")
	EntryCut           = declare(6016, "EntryCut", zapcore.WarnLevel, "The process ended the connection of a request that had no complete answer, because it ends itself.")
	DeclarationTaken   = declare(6020, "DeclarationTaken", zapcore.InfoLevel, "A new version of the configuration is in force here.")
	DeclarationRefused = declare(6021, "DeclarationRefused", zapcore.WarnLevel, "A configuration in the store can't be read; the one before stays in force.")
	EvidenceLost       = declare(6022, "EvidenceLost", zapcore.WarnLevel, "The configuration was not shown to be current for too long; requests with keys are refused.")
	EvidenceRegained   = declare(6023, "EvidenceRegained", zapcore.InfoLevel, "The configuration is shown to be current again.")
	ServerRegistered   = declare(6030, "ServerRegistered", zapcore.InfoLevel, "A backend server's entry is new or has changed.")
	ServerGone         = declare(6031, "ServerGone", zapcore.InfoLevel, "A backend server's entry is gone; it gets no new requests.")
	ServerUnreadable   = declare(6032, "ServerUnreadable", zapcore.WarnLevel, "A backend server's entry can't be read and names no server to use.")

	InstanceHeard   = declare(6100, "InstanceHeard", zapcore.InfoLevel, "Another instance is heard, for the first time or again.")
	InstanceSilent  = declare(6101, "InstanceSilent", zapcore.WarnLevel, "Another instance has not been heard for a while.")
	BulletinRefused = declare(6102, "BulletinRefused", zapcore.WarnLevel, "A bulletin could not be sent or read.")
	RecordFailed    = declare(6103, "RecordFailed", zapcore.WarnLevel, "The instance's record could not be written to the store; it is tried again.")

	StewardTaken    = declare(6200, "StewardTaken", zapcore.InfoLevel, "The instance gives the orders from now on.")
	StewardLost     = declare(6201, "StewardLost", zapcore.WarnLevel, "The instance gives no more orders.")
	StewardFailed   = declare(6202, "StewardFailed", zapcore.WarnLevel, "The steward's lease could not be read or written.")
	StewardOrder    = declare(6203, "StewardOrder", zapcore.InfoLevel, "An order was given to a backend server; with its reason and result.")
	StewardReport   = declare(6204, "StewardReport", zapcore.WarnLevel, "A backend server's report could not be read.")
	StewardObserved = declare(6205, "StewardObserved", zapcore.InfoLevel, "A backend server was found to hold other models than was known.")
	StewardLacking  = declare(6207, "StewardLacking", zapcore.InfoLevel, "A model has fewer copies than are wanted and none can be loaded now; at most one line a second for each shard.")
	StewardNoRoom   = declare(6206, "StewardNoRoom", zapcore.InfoLevel, "A target that requests wait for can't be loaded now; with the reason.")
)
