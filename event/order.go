package event

import "go.uber.org/zap/zapcore"

// Kinds of orders to engines: 5200 to 5299.
var (
	OrderSent          = declare(5200, "OrderSent", zapcore.InfoLevel, "An order was sent to a backend server, with its fencing number, the reason, the memory charged and the result.")
	OrderUnconfirmed   = declare(5201, "OrderUnconfirmed", zapcore.WarnLevel, "An order was sent without a result; it stays charged until a report read after its latest arrival.")
	OrderTooLate       = declare(5202, "OrderTooLate", zapcore.WarnLevel, "An order was not sent because the time to send it had passed when its record was written.")
	OrderHeld          = declare(5203, "OrderHeld", zapcore.InfoLevel, "An order waits, with the reason: memory still charged, or no other copy confirmed to serve.")
	OrderLeaseTaken    = declare(5204, "OrderLeaseTaken", zapcore.InfoLevel, "The instance gives the orders of a backend server from now on.")
	OrderLeaseReleased = declare(5205, "OrderLeaseReleased", zapcore.InfoLevel, "The instance hands the orders of a backend server over.")
	OrderLeaseLost     = declare(5206, "OrderLeaseLost", zapcore.WarnLevel, "Another instance gives the orders of a backend server.")
	OrderStoreFailed   = declare(5207, "OrderStoreFailed", zapcore.WarnLevel, "The record of orders could not be read or written; no order is sent.")
	OrderReportFailed  = declare(5208, "OrderReportFailed", zapcore.WarnLevel, "A backend server gave no report; no order is sent to it.")
	CopyObserved       = declare(5209, "CopyObserved", zapcore.InfoLevel, "A copy was found to serve, to be gone, or to stand where none was planned.")
)
