package event

import "go.uber.org/zap/zapcore"

// Events of the rate and burst limits of workspaces: 2000 to 2099.
var (
	QuotaRefused        = declare(2000, "QuotaRefused", zapcore.InfoLevel, "A request was refused because of its workspace's rate or burst limit; with the requested and the available tokens.")
	QuotaLent           = declare(2001, "QuotaLent", zapcore.DebugLevel, "A part of a workspace's token bucket was lent to another instance.")
	QuotaTableProposed  = declare(2010, "QuotaTableProposed", zapcore.InfoLevel, "This instance proposed a change of the members that hold base shares; it stays pending until no member uses more than its share of both epochs.")
	QuotaTableCommitted = declare(2011, "QuotaTableCommitted", zapcore.InfoLevel, "This instance committed a pending change of the members that hold base shares.")
	QuotaTableAdopted   = declare(2012, "QuotaTableAdopted", zapcore.InfoLevel, "This instance adopted a newer table of shares.")
	QuotaTableWaits     = declare(2013, "QuotaTableWaits", zapcore.WarnLevel, "A pending change waits for acknowledgements of more than half of the members of the old table.")
	QuotaShareLapsed    = declare(2020, "QuotaShareLapsed", zapcore.WarnLevel, "The table of shares is no longer confirmed as current; this instance uses no base share until it is.")
	QuotaShareRestored  = declare(2021, "QuotaShareRestored", zapcore.InfoLevel, "The table of shares is confirmed as current again; base shares are in use and start empty.")
)
