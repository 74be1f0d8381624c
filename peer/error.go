package peer

import (
	"errors"
	"fmt"
)

// Code says what became of a call.
type Code string

// Codes of failed calls.
const (
	// CodeNotSent means that the call did not leave.
	CodeNotSent Code = "NotSent"
	// CodeUnknown means that the call may have been carried out.
	CodeUnknown Code = "Unknown"
	// CodeFailed means that the peer answered with an error.
	CodeFailed Code = "Failed"
)

// Error is the failure of one call.
type Error struct {
	// Method is the name of the function called.
	Method string
	// Address is the peer's IP:port.
	Address string
	// Code says what became of the call.
	Code Code
	// Reason is for people.
	Reason string
}

// Error names the method, the peer and the reason.
func (e *Error) Error() string {
	return fmt.Sprintf("peer: %s at %s: %s: %s", e.Method, e.Address, e.Code, e.Reason)
}

// CodeOf is the code of an error of this package; CodeUnknown for others and
// empty for nil.
func CodeOf(err error) Code {
	if err == nil {
		return ""
	}
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}

	return CodeUnknown
}
