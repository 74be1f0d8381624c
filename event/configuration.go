package event

import "go.uber.org/zap/zapcore"

// Configuration events: 4000 to 4099.
var (
	ConfigurationInForce   = declare(4000, "ConfigurationInForce", zapcore.InfoLevel, "A version of the configuration took effect on this instance.")
	ConfigurationUnusable  = declare(4001, "ConfigurationUnusable", zapcore.ErrorLevel, "An accepted version of the configuration can't be applied on this instance, for the given reason; the previous version stays in effect.")
	ConfigurationStaleRead = declare(4002, "ConfigurationStaleRead", zapcore.WarnLevel, "A read from the store returned an older version than the known one, and was ignored.")
	StoreUnreadable        = declare(4003, "StoreUnreadable", zapcore.WarnLevel, "A read of the configuration's head failed after one that succeeded.")
	StoreReadable          = declare(4004, "StoreReadable", zapcore.InfoLevel, "A read of the configuration's head succeeded after one that failed.")
	KeyedRefused           = declare(4005, "KeyedRefused", zapcore.ErrorLevel, "The instance refuses requests with API keys from now on, because it can't tell whether keys were withdrawn.")
	KeyedAllowed           = declare(4006, "KeyedAllowed", zapcore.InfoLevel, "The instance serves requests with API keys from now on.")
)
