package instance

import (
	"context"
	"time"

	"papayastair.dev/papayastair/gateway"
	"papayastair.dev/papayastair/locate"
	"papayastair.dev/papayastair/wire"
)

// newLocate makes the parts that name instances to callers and that take this
// one out of service.
func (i *Instance) newLocate() {
	ttl := time.Duration(i.cfg.LocateTTLSeconds) * time.Second
	i.chooser = &locate.Chooser{
		Random: newRandom(),
		TTL:    ttl,
		Log:    i.log,
	}
	i.drained = make(chan struct{})
	i.drain = &locate.Drain{
		Timer: i.timer,
		TTL:   ttl,
		Announce: func() {
			i.members.Leave()
			i.gateway.Drain()
		},
		Running: i.gateway.Running,
		OnDone:  func() { close(i.drained) },
		Log:     i.log,
	}
}

// locate answers which instance a caller should use.
func (i *Instance) locate(query gateway.LocateQuery) (wire.LocateAnswer, bool) {
	answer, ok := i.chooser.Choose(i.members.Members(), locate.Caller{
		Region:        query.Region,
		FailureDomain: query.FailureDomain,
	})

	return wire.LocateAnswer{
		Name:            answer.Name,
		Address:         answer.Address,
		TTLMilliseconds: int(answer.TTL.Milliseconds()),
		Scope:           string(answer.Scope),
	}, ok
}

// Shutdown ends the instance gracefully: it tells callers to go elsewhere,
// serves for as long as answers that name it may be kept, then finishes what
// runs. What still runs when ctx ends is cut off.
func (i *Instance) Shutdown(ctx context.Context) {
	i.drain.Begin()
	select {
	case <-i.drained:
	case <-ctx.Done():
	}
	i.Close()
}
