package event

import "go.uber.org/zap/zapcore"

// Kinds of the rate and burst of workspaces: 2000 to 2099.
var (
	QuotaRefused        = declare(2000, "QuotaRefused", zapcore.InfoLevel, "A request was refused for its workspace's rate or burst, with the tokens wanted and at hand.")
	QuotaLent           = declare(2001, "QuotaLent", zapcore.DebugLevel, "A part of a workspace's bucket was lent to another instance.")
	QuotaTableProposed  = declare(2010, "QuotaTableProposed", zapcore.InfoLevel, "This instance wrote a change of the members that hold base shares; it is pending until nobody uses more than its share of both epochs.")
	QuotaTableCommitted = declare(2011, "QuotaTableCommitted", zapcore.InfoLevel, "This instance committed a pending change of the members that hold base shares.")
	QuotaTableAdopted   = declare(2012, "QuotaTableAdopted", zapcore.InfoLevel, "This instance follows a later table of shares.")
	QuotaTableWaits     = declare(2013, "QuotaTableWaits", zapcore.WarnLevel, "A pending change waits for acknowledgements of more than half of the members of the old table.")
	QuotaShareLapsed    = declare(2020, "QuotaShareLapsed", zapcore.WarnLevel, "There is no evidence any more that the table of shares is current: this instance uses no base share until there is.")
	QuotaShareRestored  = declare(2021, "QuotaShareRestored", zapcore.InfoLevel, "There is evidence again that the table of shares is current; base shares are in use and start empty.")
)
