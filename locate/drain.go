package locate

import (
	"sync"
	"time"

	"go.uber.org/zap"

	"papayastair.dev/papayastair/event"
	"papayastair.dev/papayastair/timer"
)

const (
	// NewsMargin is the time that all instances take to learn that one
	// leaves; until then they may still name it.
	NewsMargin = 5 * time.Second

	_drainPoll = 100 * time.Millisecond
)

// State is how far an instance is with leaving.
type State int

// States in their order.
const (
	// StateServing is before the drain.
	StateServing State = iota
	// StateLeaving means that the instance has announced that it leaves and
	// still serves new requests.
	StateLeaving
	// StateRefusing means that it refuses new requests and finishes others.
	StateRefusing
	// StateDone means that nothing runs any more.
	StateDone
)

// Drain takes an instance out of service without cutting off a request. Set
// the exported fields, then call Begin once it is to leave.
type Drain struct {
	// Timer is the clock.
	Timer *timer.Service
	// TTL is how long answers of locate live.
	TTL time.Duration
	// Announce tells the other instances.
	Announce func()
	// Running is the number of requests that run.
	Running func() int
	// OnDone is called once, when the last request has ended. It must not
	// wait for the timer.
	OnDone func()
	// Log gets the events.
	Log *event.Log

	mu    sync.Mutex
	state State
	poll  *timer.Subscription
}

// Begin announces that the instance leaves. Later calls do nothing.
func (d *Drain) Begin() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.state != StateServing {
		return
	}
	d.state = StateLeaving
	d.Log.Write(event.DrainBegun, zap.Duration("Serves", d.TTL+NewsMargin), zap.Int("Running", d.Running()))
	d.Announce()
	d.Timer.After(d.TTL+NewsMargin, d.refuse)
}

// State is how far the drain is.
func (d *Drain) State() State {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.state
}

// AcceptsNew reports whether a new request may run.
func (d *Drain) AcceptsNew() bool {
	return d.State() < StateRefusing
}

func (d *Drain) refuse(time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.state = StateRefusing
	d.Log.Write(event.DrainRefusing, zap.Int("Running", d.Running()))
	d.poll = d.Timer.Every(_drainPoll, d.finish)
}

// finish ends the drain when nothing runs. A request that was let in just
// before the refusal counts as running by then: one period has passed.
func (d *Drain) finish(time.Time) {
	if d.Running() > 0 {
		return
	}
	d.mu.Lock()
	d.poll.Stop()
	d.state = StateDone
	d.mu.Unlock()
	d.Log.Write(event.DrainDone)
	d.OnDone()
}
