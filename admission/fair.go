package admission

import (
	"math"
	"slices"
	"time"
)

// _rateTimeConstant is the time constant of the exponential decay in rate.
const _rateTimeConstant = 2 * time.Second

// modelQueue holds the waiting requests of one model.
type modelQueue struct {
	model   string
	waiting int
	flows   [_numClasses]map[string]*flow
	// active lists, by class, the flows that may have requests. It makes the
	// choice of a flow independent of the map's iteration order.
	active    [_numClasses][]*flow
	tokens    [_numClasses]int
	drainRate rate
	// earliestDeadline is no later than any deadline in the queue; zero means
	// that there is none.
	earliestDeadline time.Time
	// blocked marks, during one dispatch, the classes for which Place found no
	// room.
	blocked [_numClasses]bool
}

// flow holds the requests of one workspace at one priority for one model, in
// order of arrival.
type flow struct {
	account   *account
	requests  []*Request
	headIndex int
	tokens    int
	// active is set while the flow is in the active list of its modelQueue.
	active bool
}

// class holds the state of one priority over all models.
type class struct {
	accounts map[string]*account
	// virtualTime is the highest virtual time at which an account of this
	// priority was served by this instance. It doesn't decrease.
	virtualTime float64
	servedRate  rate
	waiting     int
}

// account holds the virtual time of one workspace at one priority: the tokens
// served to it by all instances, per unit of its weight.
type account struct {
	weight      float64
	virtualTime float64
	waiting     int
}

func (q *Queue) modelQueueFor(model string) *modelQueue {
	mq := q.modelQueues[model]
	if mq == nil {
		mq = &modelQueue{
			model: model,
		}
		for i := range mq.flows {
			mq.flows[i] = map[string]*flow{}
		}
		q.modelQueues[model] = mq
	}

	return mq
}

// accountFor returns the account of a workspace. When the workspace has no
// waiting requests, accountFor raises its virtual time at least to that of the
// class, so that idle time earns no credit, and caps it at _maxVirtualLead
// above.
func (q *Queue) accountFor(workspace string, weight, class int) *account {
	c := &q.classes[class]
	a := c.accounts[workspace]
	if a == nil {
		a = &account{
			virtualTime: c.virtualTime,
		}
		c.accounts[workspace] = a
	}
	a.weight = float64(weight)
	if a.waiting == 0 {
		a.virtualTime = min(max(a.virtualTime, c.virtualTime), c.virtualTime+_maxVirtualLead)
	}

	return a
}

func (q *Queue) enqueue(mq *modelQueue, r *Request) {
	a := q.accountFor(r.Workspace, r.Weight, r.class)
	f := mq.flows[r.class][r.Workspace]
	if f == nil {
		f = &flow{
			account: a,
		}
		mq.flows[r.class][r.Workspace] = f
	}
	if !f.active {
		f.active = true
		mq.active[r.class] = append(mq.active[r.class], f)
	}
	f.requests = append(f.requests, r)
	f.tokens += r.Tokens
	mq.updateEarliestDeadline(r)
	a.waiting++
	mq.waiting++
	mq.tokens[r.class] += r.Tokens
	q.classes[r.class].waiting++
	q.waiting++
}

// subtractCounts updates the counters after r was removed from its flow.
func (q *Queue) subtractCounts(mq *modelQueue, f *flow, r *Request) {
	f.tokens -= r.Tokens
	f.account.waiting--
	mq.waiting--
	mq.tokens[r.class] -= r.Tokens
	q.classes[r.class].waiting--
	q.waiting--
}

// dispatch places waiting requests of the given queues in order of priority and
// fairness until none of them finds room.
func (q *Queue) dispatch(queues []*modelQueue, now time.Time) {
	for _, mq := range queues {
		mq.blocked = [_numClasses]bool{}
	}
	for {
		mq, f, byFloor := q.nextFlow(queues, now)
		if mq == nil {
			return
		}
		r := f.head()
		r.Floor = byFloor
		r.WithinShare = !q.demand.overShare[r.Workspace]
		placement := TooLate
		if !r.isExpired(now) {
			placement = q.cfg.Place(r)
		}
		if placement == NoRoom {
			mq.blocked[r.class] = true

			continue
		}
		f.pop()
		q.subtractCounts(mq, f, r)
		q.handlePlacement(mq, f, r, placement, now)
	}
}

// handlePlacement dispatches or refuses a request that was removed from its
// flow, depending on the result of Place.
func (q *Queue) handlePlacement(mq *modelQueue, f *flow, r *Request, placement Placement, now time.Time) {
	switch placement {
	case TooLate:
		q.refuse(r, ReasonDeadlineUnreachable, q.expectedWait(mq, r, now), now)

		return
	case NoBackendServer:
		q.refuse(r, ReasonNoBackendServer, 0, now)

		return
	default:
	}
	c := &q.classes[r.class]
	c.virtualTime = max(c.virtualTime, f.account.virtualTime)
	f.account.virtualTime += float64(r.Tokens) / f.account.weight
	c.servedRate.add(now, float64(r.Tokens))
	mq.drainRate.add(now, float64(r.Tokens))
	r.demand.servedTokens += r.Tokens
	r.state = _stateDone
	q.undelivered = append(q.undelivered, delivery{
		request: r,
		outcome: Outcome{
			Kind:   Dispatched,
			Waited: now.Sub(r.since),
		},
	})
}

// nextFlow returns the flow whose first request goes next, with its queue, and
// reports whether it goes by the floor of the lowest priority. While the lowest
// priority is below its floor, it goes before all others.
func (q *Queue) nextFlow(queues []*modelQueue, now time.Time) (*modelQueue, *flow, bool) {
	const lowest = _numClasses - 1
	if q.isBelowFloor(now) {
		if mq, f := q.nextFlowInClass(queues, lowest); mq != nil {
			return mq, f, true
		}
	}
	for class := range _numClasses {
		if mq, f := q.nextFlowInClass(queues, class); mq != nil {
			return mq, f, false
		}
	}

	return nil, nil, false
}

// nextFlowInClass returns the flow that precedes all others of one priority,
// with its queue. It skips blocked queues and returns nil if no flow is left.
func (q *Queue) nextFlowInClass(queues []*modelQueue, class int) (*modelQueue, *flow) {
	var bestQueue *modelQueue
	var best *flow
	for _, mq := range queues {
		if mq.blocked[class] {
			continue
		}
		mq.compactActive(class)
		for _, f := range mq.active[class] {
			if best == nil || q.precedes(f, best) {
				bestQueue = mq
				best = f
			}
		}
	}

	return bestQueue, best
}

// precedes reports whether f is served before other: the one whose account has
// the lower virtual time, then the one whose first request has waited longer.
// With Config.FIFO only the time of arrival counts.
func (q *Queue) precedes(f, other *flow) bool {
	if !q.cfg.FIFO && f.account.virtualTime != other.account.virtualTime {
		return f.account.virtualTime < other.account.virtualTime
	}

	return f.head().since.Before(other.head().since)
}

// isBelowFloor reports whether requests of the lowest priority are waiting while
// that priority gets less than Config.BatchFloor of the tokens dispatched
// recently.
func (q *Queue) isBelowFloor(now time.Time) bool {
	lowest := &q.classes[_numClasses-1]
	if lowest.waiting == 0 {
		return false
	}
	total := 0.0
	for i := range q.classes {
		total += q.classes[i].servedRate.perSecond(now)
	}

	return lowest.servedRate.perSecond(now) < q.cfg.BatchFloor*total
}

// expectedWait estimates how long a request would wait, at the model's recent
// dispatch rate: until all requests ahead of it are served, or until those of
// higher priority and the workspace's own are served at its fair share,
// whichever is sooner. It returns 0 if there is no basis for an estimate.
func (q *Queue) expectedWait(mq *modelQueue, r *Request, now time.Time) time.Duration {
	perSecond := mq.drainRate.perSecond(now)
	if mq.waiting == 0 || perSecond <= 0 {
		return 0
	}
	ahead := 0
	for class := range r.class + 1 {
		ahead += mq.tokens[class]
	}
	seconds := float64(ahead) / perSecond
	own := 0
	if f := mq.flows[r.class][r.Workspace]; f != nil {
		own = f.tokens
	}
	higher := ahead - mq.tokens[r.class]
	fair := float64(higher)/perSecond + float64(own)/(perSecond*mq.workspaceShare(r))

	return time.Duration(min(seconds, fair) * float64(time.Second))
}

// workspaceShare returns the fraction of the class's tokens that the workspace
// of r gets as long as the same workspaces are waiting.
func (mq *modelQueue) workspaceShare(r *Request) float64 {
	totalWeight := float64(r.Weight)
	for _, f := range mq.active[r.class] {
		if f.len() > 0 && f != mq.flows[r.class][r.Workspace] {
			totalWeight += f.account.weight
		}
	}

	return float64(r.Weight) / totalWeight
}

// makeRoom reports whether r may enter the queue. It returns false if the
// workspace of r has reached its limit. If the queue is full, it evicts the
// newest request of the longest flow, so that one workspace can't fill the
// queue. The flow is chosen at the lowest priority with waiting requests, which
// must not be above that of r. If that flow is the one of r itself, or if there
// is none, makeRoom evicts nothing and returns false.
func (q *Queue) makeRoom(mq *modelQueue, r *Request, now time.Time) bool {
	if f := mq.flows[r.class][r.Workspace]; f != nil && f.account.waiting >= q.cfg.MaxWorkspaceWaiting {
		return false
	}
	if q.waiting < q.cfg.MaxWaiting {
		return true
	}
	victimQueue, victim := q.longestFlow(r.class)
	if victim == nil || victim == mq.flows[r.class][r.Workspace] {
		return false
	}
	evicted := victim.requests[len(victim.requests)-1]
	victim.remove(evicted)
	q.subtractCounts(victimQueue, victim, evicted)
	q.refuse(evicted, ReasonQueueFull, q.expectedWait(victimQueue, evicted, now), now)

	return true
}

// longestFlow returns the flow with the most requests, with its queue, at the
// lowest priority that has waiting requests. It returns nil if only priorities
// above class have any.
func (q *Queue) longestFlow(class int) (*modelQueue, *flow) {
	for c := _numClasses - 1; c >= class; c-- {
		var longestInQueue *modelQueue
		var longest *flow
		for _, mq := range q.modelQueues {
			for _, f := range mq.active[c] {
				if f.len() > 0 && (longest == nil || f.len() > longest.len() || f.len() == longest.len() && mq.model < longestInQueue.model) {
					longestInQueue = mq
					longest = f
				}
			}
		}
		if longest != nil {
			return longestInQueue, longest
		}
	}

	return nil, nil
}

func (mq *modelQueue) updateEarliestDeadline(r *Request) {
	if !r.Deadline.IsZero() && (mq.earliestDeadline.IsZero() || r.Deadline.Before(mq.earliestDeadline)) {
		mq.earliestDeadline = r.Deadline
	}
}

// compactActive removes the flows without requests from the active list.
func (mq *modelQueue) compactActive(class int) {
	mq.active[class] = slices.DeleteFunc(mq.active[class], func(f *flow) bool {
		if f.len() > 0 {
			return false
		}
		f.active = false

		return true
	})
}

func (f *flow) len() int {
	return len(f.requests) - f.headIndex
}

func (f *flow) head() *Request {
	return f.requests[f.headIndex]
}

func (f *flow) pop() *Request {
	r := f.requests[f.headIndex]
	f.requests[f.headIndex] = nil
	f.headIndex++
	// Compacting when half of the slice is consumed bounds its size at
	// amortized constant cost.
	if 2*f.headIndex >= len(f.requests) {
		f.requests = slices.Delete(f.requests, 0, f.headIndex)
		f.headIndex = 0
	}

	return r
}

// removeMatching removes the requests for which match returns true and returns
// them in order.
func (f *flow) removeMatching(match func(*Request) bool) []*Request {
	var removed []*Request
	f.requests = slices.DeleteFunc(f.requests[f.headIndex:], func(r *Request) bool {
		if match(r) {
			removed = append(removed, r)

			return true
		}

		return false
	})
	f.headIndex = 0

	return removed
}

func (f *flow) remove(r *Request) {
	i := slices.Index(f.requests, r)
	f.requests = slices.Delete(f.requests, i, i+1)
	if f.headIndex == len(f.requests) {
		f.requests = f.requests[:0]
		f.headIndex = 0
	}
}

// rate is an exponentially decaying average of amounts per second.
type rate struct {
	value     float64
	updatedAt time.Time
}

func (r *rate) add(now time.Time, amount float64) {
	r.decay(now)
	r.value += amount / _rateTimeConstant.Seconds()
}

func (r *rate) perSecond(now time.Time) float64 {
	r.decay(now)

	return r.value
}

func (r *rate) decay(now time.Time) {
	if !r.updatedAt.IsZero() {
		r.value *= math.Exp(-now.Sub(r.updatedAt).Seconds() / _rateTimeConstant.Seconds())
	}
	r.updatedAt = now
}
