// Package admission decides which request goes to a backend server next.
//
// Each instance has one Queue. Requests wait in it by model, priority and
// workspace. Urgent goes before Live before Batch, with a floor for the
// lowest; inside a priority the workspace that was served the fewest tokens
// for its weight goes first. The counters of all instances are exchanged, so
// that a workspace has one weight in the fleet however many instances its
// requests come to. A request that can't begin in time is refused at once,
// truthfully as not run, with a time to come back.
//
//	outcome := queue.Wait(ctx, &admission.Request{...})
//	if outcome.Kind != admission.Dispatched {
//		// outcome.Reason and outcome.RetryAfter go to the caller.
//	}
//
// The place at a backend server comes from Config.Place, which reserves it;
// call Wake when places become free.
package admission

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"papayastair.dev/papayastair/event"
	"papayastair.dev/papayastair/timer"
	"papayastair.dev/papayastair/wire"
)

const (
	_classes = 3
	// _tick is the time between looks at the deadlines.
	_tick = 10 * time.Millisecond
	// _dispatchPeriod is the time between tries of all that wait.
	_dispatchPeriod = 100 * time.Millisecond
	// _maxLead bounds, in tokens for each unit of weight, how far a workspace's
	// account runs ahead of the others', so that what it got while nobody else
	// asked doesn't keep it waiting for long.
	_maxLead = 20000
	// _shortestRetry and _longestRetry bound the times to come back.
	_shortestRetry = 100 * time.Millisecond
	_longestRetry  = 30 * time.Second
)

// Kind is what became of a request.
type Kind int

// The kinds of outcomes.
const (
	// NotRun says that the request was not sent anywhere.
	NotRun Kind = iota
	// Dispatched says that Place reserved a place for it.
	Dispatched
)

// Reason says why a request was not run.
type Reason string

// The reasons of refusals.
const (
	// ReasonFull is a queue at its bound.
	ReasonFull Reason = "QueueFull"
	// ReasonLate is a deadline that can't be met.
	ReasonLate Reason = "DeadlineUnreachable"
	// ReasonExpired is a deadline that passed in the queue.
	ReasonExpired Reason = "DeadlinePassed"
	// ReasonLeft is a caller that left.
	ReasonLeft Reason = "CallerLeft"
	// ReasonUnserved is a model that no backend server serves.
	ReasonUnserved Reason = "NoBackendServer"
	// ReasonClosed is an instance that ends.
	ReasonClosed Reason = "Closed"
)

// Outcome is the end of a request's wait.
type Outcome struct {
	// Kind is what became of it.
	Kind Kind
	// Reason is why it was not run.
	Reason Reason
	// RetryAfter is when to come back; 0 if there is no telling.
	RetryAfter time.Duration
	// Waited is the time in the queue.
	Waited time.Duration
}

// Request is one request in the queue. Its fields must not change while it
// waits.
type Request struct {
	// Workspace is whose request it is, and Weight its share, at least 1.
	Workspace string
	Weight    int
	// Model is what it calls; requests of one model wait in one lane.
	Model string
	// Priority is the request's.
	Priority wire.Priority
	// Tokens is the prompt's length and the expected length of the answer.
	Tokens int
	// Deadline is the latest time to leave the queue; zero for none.
	Deadline time.Time
	// Floor is set by the queue when the request goes by the floor of its
	// priority, so that Place may use the room of higher ones.
	Floor bool
	// WithinShare is set by the queue when the workspace asks, over all
	// instances, for no more than its fair part of what the fleet serves.
	WithinShare bool
	// Data belongs to the caller.
	Data any

	class   int
	demand  *ownDemand
	since   time.Time
	deliver func(Outcome)
	state   requestState
}

type requestState int

const (
	_waits requestState = iota
	_left
)

// Placement is the answer of Config.Place.
type Placement int

// The answers of Config.Place.
const (
	// Placed says that a place was reserved.
	Placed Placement = iota
	// NoRoom says that none is free now.
	NoRoom
	// TooLate says that none can begin in time.
	TooLate
	// Unserved says that no backend server serves the model.
	Unserved
)

// Config tunes a Queue. Zero values take the defaults that their comments name.
type Config struct {
	// Instance is the name of this instance.
	Instance string
	// Start differs for each start of the process.
	Start int
	// Clock gives the time.
	Clock *timer.Service
	// Log gets the refusals; nil for none.
	Log *event.Log
	// Place reserves a place for a request, or says why there is none. It is
	// called with the queue locked and must not call the queue.
	Place func(r *Request) Placement
	// MaxWaiting bounds the requests that wait; 0 means 4096.
	MaxWaiting int
	// MaxWorkspaceWaiting bounds those of one workspace at one priority; 0
	// means 1024.
	MaxWorkspaceWaiting int
	// Floor is the part of the tokens that goes to Batch while it waits; 0
	// means 0.05.
	Floor float64
	// PlainOrder removes the weights and priorities, for tests.
	PlainOrder bool
	// IgnorePeers leaves the other instances' counters out, for tests.
	IgnorePeers bool
	// LateRefusal keeps requests that can't meet their deadline until it has
	// passed, for tests.
	LateRefusal bool
}

// Queue holds the requests of one instance. It is safe for concurrent use.
// Use New, and Close at the end.
type Queue struct {
	cfg   Config
	ticks *timer.Subscription

	mu      sync.Mutex
	closed  bool
	waiting int
	// dispatched is when all that wait were last tried.
	dispatched time.Time
	lanes      map[string]*lane
	classes    [_classes]class
	demand     demandTable
	// outcomes are delivered when mu is released.
	outcomes []delivery
}

type delivery struct {
	request *Request
	outcome Outcome
}

// New returns an empty queue.
func New(cfg Config) *Queue {
	if cfg.MaxWaiting == 0 {
		cfg.MaxWaiting = 4096
	}
	if cfg.MaxWorkspaceWaiting == 0 {
		cfg.MaxWorkspaceWaiting = 1024
	}
	if cfg.Floor == 0 {
		cfg.Floor = 0.05
	}
	q := &Queue{
		cfg:    cfg,
		lanes:  map[string]*lane{},
		demand: newDemandTable(),
	}
	for i := range q.classes {
		q.classes[i].accounts = map[string]*account{}
	}
	q.ticks = cfg.Clock.Every(_tick, func(time.Time) { q.expire() })

	return q
}

// Wait submits a request and waits until it may go or is refused. A caller
// that leaves, by ctx, frees its place in the queue. Dispatched may still come
// after ctx has ended; the reserved place must then be given back.
func (q *Queue) Wait(ctx context.Context, r *Request) Outcome {
	done := make(chan Outcome, 1)
	q.Submit(r, func(o Outcome) { done <- o })
	select {
	case o := <-done:
		return o
	case <-ctx.Done():
	}
	q.Leave(r)

	// A request that was dispatched in this moment stays so.
	return <-done
}

// Submit takes a request in. Deliver is called once with the outcome, possibly
// before Submit returns, and without locks held.
func (q *Queue) Submit(r *Request, deliver func(Outcome)) {
	now := q.cfg.Clock.Now()
	q.mu.Lock()
	defer q.unlockAndDeliver()
	r.class = classOf(r.Priority)
	if q.cfg.PlainOrder {
		r.class = 1
	}
	r.since = now
	r.deliver = deliver
	r.state = _waits
	r.Weight = max(r.Weight, 1)
	r.Tokens = max(r.Tokens, 1)
	q.demand.want(r, now)
	if q.closed {
		q.refuse(r, ReasonClosed, 0, now)

		return
	}
	l := q.lane(r.Model)
	if wait := q.expectedWait(l, r, now); !q.cfg.LateRefusal && !r.Deadline.IsZero() && now.Add(wait).After(r.Deadline) {
		q.refuse(r, ReasonLate, wait, now)

		return
	}
	if !q.makeRoom(l, r, now) {
		q.refuse(r, ReasonFull, q.expectedWait(l, r, now), now)

		return
	}
	q.push(l, r)
	q.dispatch([]*lane{l}, now)
}

// Leave takes a waiting request out. One that has left already is not changed.
func (q *Queue) Leave(r *Request) {
	now := q.cfg.Clock.Now()
	q.mu.Lock()
	defer q.unlockAndDeliver()
	if r.state != _waits {
		return
	}
	l := q.lanes[r.Model]
	f := l.flows[r.class][r.Workspace]
	f.remove(r)
	q.forget(l, f, r)
	q.refuse(r, ReasonLeft, 0, now)
}

// Wake dispatches what it can of the models, after places became free.
func (q *Queue) Wake(models []string) {
	now := q.cfg.Clock.Now()
	q.mu.Lock()
	defer q.unlockAndDeliver()
	var lanes []*lane
	for _, model := range models {
		if l := q.lanes[model]; l != nil && l.waiting > 0 {
			lanes = append(lanes, l)
		}
	}
	q.dispatch(lanes, now)
}

// Len is the number of requests that wait.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()

	return q.waiting
}

// Close refuses all that wait and all that come later.
func (q *Queue) Close() {
	q.ticks.Stop()
	now := q.cfg.Clock.Now()
	q.mu.Lock()
	defer q.unlockAndDeliver()
	q.closed = true
	for _, l := range q.lanes {
		q.drain(l, func(*Request) bool { return true }, ReasonClosed, now)
	}
}

// expire refuses the requests whose deadline has passed, and now and then
// tries all that wait: places may become free without a Wake.
func (q *Queue) expire() {
	now := q.cfg.Clock.Now()
	q.mu.Lock()
	defer q.unlockAndDeliver()
	if q.waiting == 0 {
		return
	}
	for _, l := range q.lanes {
		if l.waiting == 0 || l.earliest.IsZero() || !now.After(l.earliest) {
			continue
		}
		q.drain(l, func(r *Request) bool { return r.isExpired(now) }, ReasonExpired, now)
	}
	if now.Sub(q.dispatched) >= _dispatchPeriod {
		q.dispatched = now
		q.dispatch(q.waitingLanes(), now)
	}
}

// waitingLanes are the lanes with requests, in the order of their models.
func (q *Queue) waitingLanes() []*lane {
	var lanes []*lane
	for _, l := range q.lanes {
		if l.waiting > 0 {
			lanes = append(lanes, l)
		}
	}
	slices.SortFunc(lanes, func(a, b *lane) int { return strings.Compare(a.model, b.model) })

	return lanes
}

// drain refuses the requests of a lane for which out holds.
func (q *Queue) drain(l *lane, out func(*Request) bool, reason Reason, now time.Time) {
	l.earliest = time.Time{}
	for class := range l.flows {
		for _, f := range l.order[class] {
			for _, r := range f.take(out) {
				q.forget(l, f, r)
				q.refuse(r, reason, q.expectedWait(l, r, now), now)
			}
			for _, r := range f.requests[f.first:] {
				l.noteDeadline(r)
			}
		}
		l.compact(class)
	}
}

func (r *Request) isExpired(now time.Time) bool {
	return !r.Deadline.IsZero() && now.After(r.Deadline)
}

func (q *Queue) refuse(r *Request, reason Reason, wait time.Duration, now time.Time) {
	r.state = _left
	retryAfter := time.Duration(0)
	if wait > 0 {
		retryAfter = min(max(wait, _shortestRetry), _longestRetry)
	}
	q.outcomes = append(q.outcomes, delivery{
		request: r,
		outcome: Outcome{
			Kind:       NotRun,
			Reason:     reason,
			RetryAfter: retryAfter,
			Waited:     now.Sub(r.since),
		},
	})
}

func (q *Queue) unlockAndDeliver() {
	outcomes := q.outcomes
	q.outcomes = nil
	q.mu.Unlock()
	for _, d := range outcomes {
		if d.outcome.Kind == NotRun {
			q.logRefusal(d.request, &d.outcome)
		}
		d.request.deliver(d.outcome)
	}
}

func (q *Queue) logRefusal(r *Request, o *Outcome) {
	q.cfg.Log.Write(event.RequestNotRun,
		zap.String("Workspace", r.Workspace),
		zap.String("Model", r.Model),
		zap.String("Priority", string(r.Priority)),
		zap.String("Reason", string(o.Reason)),
		zap.Duration("Waited", o.Waited),
		zap.Duration("RetryAfter", o.RetryAfter),
	)
}

func classOf(priority wire.Priority) int {
	switch priority {
	case wire.PriorityUrgent:
		return 0
	case wire.PriorityBatch:
		return _classes - 1
	default:
		return 1
	}
}
