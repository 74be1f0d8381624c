package connection

import (
	"errors"
	"net"

	"github.com/valyala/fasthttp"
)

// NotSent says that a call failed before any byte of the request left: there
// was no free connection, or none could be made. For all other errors the
// request may have arrived.
func NotSent(err error) bool {
	if errors.Is(err, fasthttp.ErrNoFreeConns) {
		return true
	}
	var dial *fasthttp.ErrDialWithUpstream
	if errors.As(err, &dial) {
		return true
	}
	var op *net.OpError

	return errors.As(err, &op) && op.Op == "dial"
}
