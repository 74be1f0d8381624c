package entry

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"papayastair.dev/papayastair/event"
	"papayastair.dev/papayastair/site"
	"papayastair.dev/papayastair/timer"
	"papayastair.dev/papayastair/wire"
)

// _memberRetention is how long an instance that isn't heard still counts as one that
// sends requests to a backend server with a limit: it may have sent some lately, and
// may still do so.
const _memberRetention = 4 * time.Second

// advise applies what a backend server asks of its callers in an answer.
func (e *Entry) advise(server string, answer Answer) {
	if e.balancer.Advise(server, answer.Advice, answer.Signed, time.Now()) {
		e.logAdvice(server, answer.Advice, true, 0)
	}
}

// observeLoad applies the load that a backend server gives in an answer. A server that
// has taken over the address of another one gives its own.
func (e *Entry) observeLoad(server string, answer Answer) {
	if answer.LoadUnreadable {
		metrics.GetOrRegisterCounter("Entry.LoadHeaders.Unreadable", e.cfg.Registry).Inc(1)
	}
	if answer.Load == nil || answer.Moved {
		return
	}
	metrics.GetOrRegisterCounter("Entry.LoadHeaders.Read", e.cfg.Registry).Inc(1)
	load := *answer.Load
	if answer.NotRun || answer.NotHeld {
		// The server doesn't count the refused request; the balancer does until its end.
		load.Running++
	}
	e.balancer.ObserveLoad(server, load, time.Now())
}

// shareAdvice returns what backend servers ask of all instances, for a bulletin, and
// updates which instances share their limits and cold times.
func (e *Entry) shareAdvice(forward bool, now time.Time) []wire.ServerAdvice {
	e.updateCold()
	if e.balancer.HasLimits() {
		others := []string{}
		for _, i := range e.hub.Instances() {
			if i.Alive || i.Silent >= 0 && i.Silent < _memberRetention {
				others = append(others, i.Name)
			}
		}
		e.balancer.SetMembers(e.cfg.Settings.Name, others)
	}

	return e.balancer.Advice(forward, now)
}

// receiveAdvice applies what backend servers ask according to another instance.
func (e *Entry) receiveAdvice(received []wire.ServerAdvice, now time.Time) {
	for _, a := range e.balancer.ReceiveAdvice(received, now) {
		e.logAdvice(a.Server, site.Advice{
			Leaving:   a.Leaving,
			Limited:   a.Limited,
			PerSecond: a.PerSecond,
		}, false, time.Duration(a.AgeMS)*time.Millisecond)
	}
}

func (e *Entry) logAdvice(server string, a site.Advice, own bool, age time.Duration) {
	e.cfg.Log.Write(event.ServerAdvised, zap.String("Server", server), zap.Bool("Leaving", a.Leaving), zap.Bool("Limited", a.Limited),
		zap.Float64("PerSecond", a.PerSecond), zap.Duration("Pause", a.Pause), zap.String("Unreadable", a.Unreadable),
		zap.Bool("Own", own), zap.Duration("Age", age), zap.Duration("Up", timer.Elapsed()-e.startedAt))
}
