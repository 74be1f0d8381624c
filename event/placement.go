package event

import "go.uber.org/zap/zapcore"

// Placement events: 5000 to 5199.
var (
	PlacementDecided     = declare(5000, "PlacementDecided", zapcore.InfoLevel, "A copy of a model is to be loaded, dropped, evicted or forgotten, with the reason and the figures.")
	PlacementOvertaken   = declare(5001, "PlacementOvertaken", zapcore.InfoLevel, "A planned step was not carried out because the model's copies changed in the meantime.")
	PlacementFailed      = declare(5002, "PlacementFailed", zapcore.WarnLevel, "A planned step could not be written to the store; it is planned again.")
	PlacementNoRoom      = declare(5003, "PlacementNoRoom", zapcore.WarnLevel, "A model needs a copy for which there is not enough memory.")
	PlacementNotFollowed = declare(5004, "PlacementNotFollowed", zapcore.WarnLevel, "The catalog of placements could not be read; the last version read stays in effect.")
)
