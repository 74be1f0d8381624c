package connection

import (
	"errors"
	"net"

	"github.com/valyala/fasthttp"
)

// NotSent reports whether err means that a call failed before any byte of the
// request was sent: no connection was free or none could be established. After
// any other error the request may have arrived.
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
