// Package admission queues requests and decides which one is dispatched to a
// backend server next.
//
// Each instance has one Queue, in which requests wait by model, priority and
// workspace. Urgent goes before Live, and Live before Batch, with a guaranteed
// minimum for Batch. Within a priority, workspaces share the tokens by weighted
// fair queueing: the workspace that was served the fewest tokens per unit of
// weight goes first. The instances exchange their counters, so that a workspace
// has a single weight in the fleet however many instances receive its requests.
// A request that can't begin in time is refused at once with NotRun, which
// guarantees that it was not sent anywhere, and with the time after which to
// retry.
//
//	outcome := queue.Wait(ctx, &admission.Request{...})
//	if outcome.Kind != admission.Dispatched {
//		// outcome.Reason and outcome.RetryAfter go to the caller.
//	}
//
// Config.Place reserves a slot at a backend server. Call Wake when slots become
// free.
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
	_numClasses = 3
	// _tickInterval is the interval between checks of the deadlines.
	_tickInterval = 10 * time.Millisecond
	// _dispatchInterval is the interval between attempts to dispatch all
	// waiting requests.
	_dispatchInterval = 100 * time.Millisecond
	// _maxVirtualLead bounds how far the virtual time of a workspace's account
	// runs ahead of that of its class, in tokens per unit of weight. Without a
	// bound, a workspace that was served while no other had requests would
	// wait for too long afterwards.
	_maxVirtualLead = 20000
	// _minRetryAfter and _maxRetryAfter bound Outcome.RetryAfter.
	_minRetryAfter = 100 * time.Millisecond
	_maxRetryAfter = 30 * time.Second
)

// Kind classifies an Outcome.
type Kind int

// The kinds of outcomes.
const (
	// NotRun means that the request was not sent anywhere.
	NotRun Kind = iota
	// Dispatched means that Place reserved a slot for the request.
	Dispatched
)

// Reason is the reason why a request was not run.
type Reason string

// The reasons of refusals.
const (
	// ReasonQueueFull means that the queue is full or that the workspace has
	// reached its limit.
	ReasonQueueFull Reason = "QueueFull"
	// ReasonDeadlineUnreachable means that the request can't be dispatched
	// before its deadline.
	ReasonDeadlineUnreachable Reason = "DeadlineUnreachable"
	// ReasonDeadlinePassed means that the deadline passed while the request
	// was waiting.
	ReasonDeadlinePassed Reason = "DeadlinePassed"
	// ReasonCallerLeft means that the caller canceled the request.
	ReasonCallerLeft Reason = "CallerLeft"
	// ReasonNoBackendServer means that no backend server serves the model.
	ReasonNoBackendServer Reason = "NoBackendServer"
	// ReasonClosed means that the queue was closed, because the instance
	// stops.
	ReasonClosed Reason = "Closed"
)

// Outcome is the result of waiting in the queue.
type Outcome struct {
	// Kind reports whether the request was dispatched.
	Kind Kind
	// Reason is set if Kind is NotRun.
	Reason Reason
	// RetryAfter is the time to wait before a retry; 0 if it can't be
	// estimated.
	RetryAfter time.Duration
	// Waited is the time spent in the queue.
	Waited time.Duration
}

// Request is a request for admission. Its fields must not change while it waits.
type Request struct {
	// Workspace owns the request. Weight is its weight in fair queueing,
	// at least 1.
	Workspace string
	Weight    int
	// Model is the requested model. Requests of one model wait in one queue.
	Model string
	// Priority selects the class in which the request waits.
	Priority wire.Priority
	// Tokens is the length of the prompt plus the expected length of the
	// answer.
	Tokens int
	// Deadline is the latest time to be dispatched; zero means none.
	Deadline time.Time
	// Floor is set by the queue if the request is dispatched by the floor of
	// its priority, so that Place may use the room of higher priorities.
	Floor bool
	// WithinShare is set by the queue if the workspace requests, over all
	// instances, no more than its fair share of the tokens that the fleet
	// serves.
	WithinShare bool
	// Data is for use by the caller; the queue ignores it.
	Data any

	class   int
	demand  *localDemand
	since   time.Time
	deliver func(Outcome)
	state   requestState
}

type requestState int

const (
	_stateQueued requestState = iota
	_stateDone
)

// Placement is the result of Config.Place.
type Placement int

// The results of Config.Place.
const (
	// Placed means that a slot was reserved.
	Placed Placement = iota
	// NoRoom means that no slot is free at present.
	NoRoom
	// TooLate means that no backend server can begin before the deadline.
	TooLate
	// NoBackendServer means that no backend server serves the model.
	NoBackendServer
)

// Config configures a Queue.
type Config struct {
	// Instance is the name of this instance.
	Instance string
	// Start differs for each start of the process.
	Start int
	// Clock provides the time and the ticks.
	Clock *timer.Service
	// Log records the refusals; nil disables logging.
	Log *event.Log
	// Place reserves a slot at a backend server for a request, or returns why
	// it can't. It is called with the queue locked and must not call the
	// queue.
	Place func(r *Request) Placement
	// MaxWaiting limits the number of waiting requests. The default is 4096.
	MaxWaiting int
	// MaxWorkspaceWaiting limits the number of waiting requests of one
	// workspace at one priority. The default is 1024.
	MaxWorkspaceWaiting int
	// BatchFloor is the minimum fraction of the dispatched tokens that goes to
	// Batch while it has waiting requests. The default is 0.05.
	BatchFloor float64
	// FIFO disables weights and priorities, for tests.
	FIFO bool
	// IgnorePeers disables the use of the other instances' counters, for
	// tests.
	IgnorePeers bool
	// DisableEarlyRefusal keeps requests that can't meet their deadline in the
	// queue until the deadline has passed, for tests.
	DisableEarlyRefusal bool
}

// Queue holds the waiting requests of one instance. It is safe for concurrent
// use. Create it with New, and call Close when it is no longer needed.
type Queue struct {
	cfg    Config
	ticker *timer.Subscription

	mu      sync.Mutex
	closed  bool
	waiting int
	// lastDispatch is the time of the last attempt to dispatch all waiting
	// requests.
	lastDispatch time.Time
	modelQueues  map[string]*modelQueue
	classes      [_numClasses]class
	demand       demandTable
	// undelivered holds the outcomes to deliver once mu is unlocked.
	undelivered []delivery
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
	if cfg.BatchFloor == 0 {
		cfg.BatchFloor = 0.05
	}
	q := &Queue{
		cfg:         cfg,
		modelQueues: map[string]*modelQueue{},
		demand:      newDemandTable(),
	}
	for i := range q.classes {
		q.classes[i].accounts = map[string]*account{}
	}
	q.ticker = cfg.Clock.Every(_tickInterval, func(time.Time) { q.tick() })

	return q
}

// Wait submits a request and blocks until it is dispatched or refused. If ctx
// ends first, the request is removed from the queue. Wait may still return
// Dispatched after ctx has ended; the caller must then release the reserved
// slot.
func (q *Queue) Wait(ctx context.Context, r *Request) Outcome {
	done := make(chan Outcome, 1)
	q.Submit(r, func(o Outcome) { done <- o })
	select {
	case o := <-done:
		return o
	case <-ctx.Done():
	}
	q.Cancel(r)

	// A request that was dispatched in the meantime stays dispatched.
	return <-done
}

// Submit adds a request to the queue. It calls deliver exactly once with the
// outcome, without holding locks, possibly before Submit returns.
func (q *Queue) Submit(r *Request, deliver func(Outcome)) {
	now := q.cfg.Clock.Now()
	q.mu.Lock()
	defer q.unlockAndDeliver()
	r.class = classOf(r.Priority)
	if q.cfg.FIFO {
		r.class = 1
	}
	r.since = now
	r.deliver = deliver
	r.state = _stateQueued
	r.Weight = max(r.Weight, 1)
	r.Tokens = max(r.Tokens, 1)
	q.demand.recordRequest(r, now)
	if q.closed {
		q.refuse(r, ReasonClosed, 0, now)

		return
	}
	mq := q.modelQueueFor(r.Model)
	if wait := q.expectedWait(mq, r, now); !q.cfg.DisableEarlyRefusal && !r.Deadline.IsZero() && now.Add(wait).After(r.Deadline) {
		q.refuse(r, ReasonDeadlineUnreachable, wait, now)

		return
	}
	if !q.makeRoom(mq, r, now) {
		q.refuse(r, ReasonQueueFull, q.expectedWait(mq, r, now), now)

		return
	}
	q.enqueue(mq, r)
	q.dispatch([]*modelQueue{mq}, now)
}

// Cancel removes a waiting request. It has no effect if the request is no longer
// waiting.
func (q *Queue) Cancel(r *Request) {
	now := q.cfg.Clock.Now()
	q.mu.Lock()
	defer q.unlockAndDeliver()
	if r.state != _stateQueued {
		return
	}
	mq := q.modelQueues[r.Model]
	f := mq.flows[r.class][r.Workspace]
	f.remove(r)
	q.subtractCounts(mq, f, r)
	q.refuse(r, ReasonCallerLeft, 0, now)
}

// Wake dispatches waiting requests of the given models. Call it after slots
// became free.
func (q *Queue) Wake(models []string) {
	now := q.cfg.Clock.Now()
	q.mu.Lock()
	defer q.unlockAndDeliver()
	var queues []*modelQueue
	for _, model := range models {
		if mq := q.modelQueues[model]; mq != nil && mq.waiting > 0 {
			queues = append(queues, mq)
		}
	}
	q.dispatch(queues, now)
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()

	return q.waiting
}

// Close refuses all waiting requests and all later ones.
func (q *Queue) Close() {
	q.ticker.Stop()
	now := q.cfg.Clock.Now()
	q.mu.Lock()
	defer q.unlockAndDeliver()
	q.closed = true
	for _, mq := range q.modelQueues {
		q.refuseMatching(mq, func(*Request) bool { return true }, ReasonClosed, now)
	}
}

// tick refuses the requests whose deadline has passed. Every _dispatchInterval
// it also tries to dispatch all waiting requests, because slots may become free
// without a call to Wake.
func (q *Queue) tick() {
	now := q.cfg.Clock.Now()
	q.mu.Lock()
	defer q.unlockAndDeliver()
	if q.waiting == 0 {
		return
	}
	for _, mq := range q.modelQueues {
		if mq.waiting == 0 || mq.earliestDeadline.IsZero() || !now.After(mq.earliestDeadline) {
			continue
		}
		q.refuseMatching(mq, func(r *Request) bool { return r.isExpired(now) }, ReasonDeadlinePassed, now)
	}
	if now.Sub(q.lastDispatch) >= _dispatchInterval {
		q.lastDispatch = now
		q.dispatch(q.waitingQueues(), now)
	}
}

// waitingQueues returns the queues with waiting requests, ordered by model.
func (q *Queue) waitingQueues() []*modelQueue {
	var queues []*modelQueue
	for _, mq := range q.modelQueues {
		if mq.waiting > 0 {
			queues = append(queues, mq)
		}
	}
	slices.SortFunc(queues, func(a, b *modelQueue) int { return strings.Compare(a.model, b.model) })

	return queues
}

// refuseMatching removes and refuses the requests of a queue for which match
// returns true.
func (q *Queue) refuseMatching(mq *modelQueue, match func(*Request) bool, reason Reason, now time.Time) {
	mq.earliestDeadline = time.Time{}
	for class := range mq.flows {
		for _, f := range mq.active[class] {
			for _, r := range f.removeMatching(match) {
				q.subtractCounts(mq, f, r)
				q.refuse(r, reason, q.expectedWait(mq, r, now), now)
			}
			for _, r := range f.requests[f.headIndex:] {
				mq.updateEarliestDeadline(r)
			}
		}
		mq.compactActive(class)
	}
}

func (r *Request) isExpired(now time.Time) bool {
	return !r.Deadline.IsZero() && now.After(r.Deadline)
}

func (q *Queue) refuse(r *Request, reason Reason, wait time.Duration, now time.Time) {
	r.state = _stateDone
	retryAfter := time.Duration(0)
	if wait > 0 {
		retryAfter = min(max(wait, _minRetryAfter), _maxRetryAfter)
	}
	q.undelivered = append(q.undelivered, delivery{
		request: r,
		outcome: Outcome{
			Kind:       NotRun,
			Reason:     reason,
			RetryAfter: retryAfter,
			Waited:     now.Sub(r.since),
		},
	})
}

// unlockAndDeliver unlocks mu, then logs and delivers the pending outcomes.
func (q *Queue) unlockAndDeliver() {
	outcomes := q.undelivered
	q.undelivered = nil
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
		return _numClasses - 1
	default:
		return 1
	}
}
