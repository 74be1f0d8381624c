package event

import "go.uber.org/zap/zapcore"

// Events of orders to model engines: 5200 to 5299.
var (
	OrderSent          = declare(5200, "OrderSent", zapcore.InfoLevel, "An order was sent to a backend server; with its fencing number, the reason, the memory charged and the result.")
	OrderUnconfirmed   = declare(5201, "OrderUnconfirmed", zapcore.WarnLevel, "An order was sent and its result is unknown; its memory stays charged until a report read after the order's latest possible arrival.")
	OrderTooLate       = declare(5202, "OrderTooLate", zapcore.WarnLevel, "An order was not sent because its send deadline had passed when its record was written.")
	OrderHeld          = declare(5203, "OrderHeld", zapcore.InfoLevel, "An order waits; with the reason: memory is still charged, or no other copy is confirmed to serve.")
	OrderLeaseTaken    = declare(5204, "OrderLeaseTaken", zapcore.InfoLevel, "The instance sends the orders of a backend server from now on.")
	OrderLeaseReleased = declare(5205, "OrderLeaseReleased", zapcore.InfoLevel, "The instance hands over the orders of a backend server.")
	OrderLeaseLost     = declare(5206, "OrderLeaseLost", zapcore.WarnLevel, "Another instance sends the orders of a backend server.")
	OrderStoreFailed   = declare(5207, "OrderStoreFailed", zapcore.WarnLevel, "The record of orders could not be read or written; no order is sent.")
	OrderReportFailed  = declare(5208, "OrderReportFailed", zapcore.WarnLevel, "A backend server's report could not be read; no order is sent to the server.")
	CopyObserved       = declare(5209, "CopyObserved", zapcore.InfoLevel, "A copy was found to serve, to be gone, or to exist without being planned.")
)
