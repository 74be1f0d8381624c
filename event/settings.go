package event

import "go.uber.org/zap/zapcore"

// Settings events: 1200 to 1299.
var (
	SettingsRefused = declare(1200, "SettingsRefused", zapcore.ErrorLevel, "Settings were refused; with file, path and reason, one line for each problem.")
)
