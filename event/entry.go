package event

import "go.uber.org/zap/zapcore"

// Events of the entry path of declared routes: 6000 to 6099; of bulletins and
// records of instances: 6100 to 6199; of the steward: 6200 to 6299.
var (
	EntryStarted       = declare(6000, "EntryStarted", zapcore.InfoLevel, "The process serves requests; with its addresses and bounds.")
	EntryLeaving       = declare(6001, "EntryLeaving", zapcore.InfoLevel, "A stop of the process was requested; callers are directed to other instances, and running requests finish.")
	EntryStopped       = declare(6002, "EntryStopped", zapcore.InfoLevel, "The process ends; with the number of open requests and the time since the stop was requested.")
	SettingsReread     = declare(6003, "SettingsReread", zapcore.InfoLevel, "The settings file was read again after a signal; changed addresses and bounds take effect at the next start.")
	LogDropped         = declare(6004, "LogDropped", zapcore.WarnLevel, "Log lines were dropped since the last line because they could not be written in time; with their number.")
	EntryServed        = declare(6010, "EntryServed", zapcore.InfoLevel, "A backend server answered a request; with the reason for its choice and the times.")
	EntryRefused       = declare(6011, "EntryRefused", zapcore.InfoLevel, "A request was refused without running; with the reason.")
	EntryFailed        = declare(6012, "EntryFailed", zapcore.WarnLevel, "A request ran or may have run and has no complete answer; with the reason.")
	EntryLeft          = declare(6013, "EntryLeft", zapcore.InfoLevel, "A caller disconnected before its answer was complete; with the error that showed it, or none if the connection was checked.")
	EntryMalformed     = declare(6014, "EntryMalformed", zapcore.InfoLevel, "A caller sent a malformed request; its connection was closed.")
	EntryNoMemory      = declare(6017, "EntryNoMemory", zapcore.WarnLevel, "The bodies of other requests hold all memory for bodies; a request was refused before its body was read.")
	AttemptFailed      = declare(6015, "AttemptFailed", zapcore.InfoLevel, "A backend server did not run a request or did not answer it completely; with the next action.")
	EntryCut           = declare(6016, "EntryCut", zapcore.WarnLevel, "The process closed the connection of a request without a complete answer, because the process is ending.")
	DeclarationTaken   = declare(6020, "DeclarationTaken", zapcore.InfoLevel, "A new version of the configuration took effect on this instance.")
	DeclarationRefused = declare(6021, "DeclarationRefused", zapcore.WarnLevel, "A configuration in the store can't be read; the previous one stays in effect.")
	DeclarationOlder   = declare(6024, "DeclarationOlder", zapcore.WarnLevel, "The store has an older configuration than the one in effect, which stays; it was restored from a copy.")
	EvidenceLost       = declare(6022, "EvidenceLost", zapcore.WarnLevel, "The configuration was not confirmed as current for too long; requests with API keys are refused.")
	EvidenceRegained   = declare(6023, "EvidenceRegained", zapcore.InfoLevel, "The configuration is confirmed as current again.")
	ServerRegistered   = declare(6030, "ServerRegistered", zapcore.InfoLevel, "A backend server's entry is new or has changed.")
	ServerGone         = declare(6031, "ServerGone", zapcore.InfoLevel, "A backend server's entry was removed; the server gets no new requests.")
	ServerRestored     = declare(6036, "ServerRestored", zapcore.InfoLevel, "A store that was restored from a copy has the entry of a backend server that was gone; the server gets no requests until the entry changes or has had time to lapse.")
	ServerUnreadable   = declare(6032, "ServerUnreadable", zapcore.WarnLevel, "A backend server's entry can't be read and describes no usable server.")
	ServerAdvised      = declare(6035, "ServerAdvised", zapcore.InfoLevel, "A backend server asks something else of its callers than before, by an answer to this instance or to another one: a limit on the requests of all instances, or none any more, no more requests as it leaves, or none from this instance for a while. What can't be read has no effect and is logged once.")
	ServersStale       = declare(6033, "ServersStale", zapcore.WarnLevel, "The backend servers' entries were not confirmed as current for longer than the bound on leaving servers; requests may reach one that leaves.")
	ServersCurrent     = declare(6034, "ServersCurrent", zapcore.InfoLevel, "The backend servers' entries are confirmed as current; with their age.")
	Panicked           = declare(6040, "Panicked", zapcore.ErrorLevel, "A duty panicked; the process goes on without what it was doing.")

	ConfigurationAsked    = declare(6025, "ConfigurationAsked", zapcore.InfoLevel, "A newer version of the configuration is announced and the store doesn't answer this instance; another instance was asked for it.")
	ConfigurationReceived = declare(6026, "ConfigurationReceived", zapcore.InfoLevel, "All parts of a configuration arrived from another instance; with the time since it was asked, and an error if they can't be read.")
	ConfigurationSent     = declare(6027, "ConfigurationSent", zapcore.InfoLevel, "Another instance asked for the configuration; with the number of parts that it was sent, and the reason if there are none.")

	InstanceHeard   = declare(6100, "InstanceHeard", zapcore.InfoLevel, "A message of another instance arrived, the first one or the first after a silence.")
	InstanceSilent  = declare(6101, "InstanceSilent", zapcore.WarnLevel, "No message of another instance has arrived for a while.")
	BulletinRefused = declare(6102, "BulletinRefused", zapcore.WarnLevel, "A bulletin could not be sent or read.")
	BulletinReduced = declare(6104, "BulletinReduced", zapcore.WarnLevel, "A bulletin was too large for a datagram and was sent without the changes of the store; its receivers query the store themselves.")
	RecordFailed    = declare(6103, "RecordFailed", zapcore.WarnLevel, "The instance's record could not be written to the store; the write is retried.")

	StewardTaken    = declare(6200, "StewardTaken", zapcore.InfoLevel, "The instance acquired a steward's lease and sends the orders of its shard from now on.")
	StewardLost     = declare(6201, "StewardLost", zapcore.WarnLevel, "The instance no longer holds a steward's lease and sends no more orders for its shard.")
	StewardFailed   = declare(6202, "StewardFailed", zapcore.WarnLevel, "A steward's lease could not be read or written.")
	StewardOrder    = declare(6203, "StewardOrder", zapcore.InfoLevel, "An order to a backend server was sent, or could not be sent; with its reason and result.")
	StewardReport   = declare(6204, "StewardReport", zapcore.WarnLevel, "A backend server's report could not be read.")
	StewardObserved = declare(6205, "StewardObserved", zapcore.InfoLevel, "A backend server's report was read; with the models and adapters that it serves.")
	StewardLacking  = declare(6207, "StewardLacking", zapcore.InfoLevel, "A model needs another copy and none can be loaded now; at most once per second for each shard.")
	StewardNoRoom   = declare(6206, "StewardNoRoom", zapcore.InfoLevel, "A target that requests wait for can't be loaded now; with the reason.")

	TraitHeld         = declare(6300, "TraitHeld", zapcore.WarnLevel, "What requests on crashed backend servers have in common was found, here or, with 0 crashes, by another instance; requests with it are refused.")
	TraitCleared      = declare(6301, "TraitCleared", zapcore.InfoLevel, "Requests with a held trait are sent again: one was answered whole, or the time is over.")
	TraitProbed       = declare(6302, "TraitProbed", zapcore.InfoLevel, "One request with a held trait is sent, to see whether it still crashes its backend server.")
	TraitProbeCounted = declare(6306, "TraitProbeCounted", zapcore.InfoLevel, "The next probe of a held trait was counted in the store; this instance may send it.")

	HeldTraitsKept     = declare(6303, "HeldTraitsKept", zapcore.InfoLevel, "The held traits were written to the store, so that they outlast the instances.")
	HeldTraitsRestored = declare(6304, "HeldTraitsRestored", zapcore.InfoLevel, "Traits that were held by instances before were read from the store at the start.")
	HeldTraitsFailed   = declare(6305, "HeldTraitsFailed", zapcore.WarnLevel, "The held traits could not be written to the store, or read from it; it is tried again.")
)
