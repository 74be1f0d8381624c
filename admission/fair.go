package admission

import (
	"math"
	"slices"
	"time"
)

// _drainLife is the time over which the rate of dispatch is averaged.
const _drainLife = 2 * time.Second

// lane holds the waiting requests of one model.
type lane struct {
	model   string
	waiting int
	flows   [_classes]map[string]*flow
	// order lists the flows of each class that may have requests, so that the
	// choice doesn't depend on the order of a map.
	order  [_classes][]*flow
	tokens [_classes]int
	drain  rate
	// earliest is no later than any deadline in the lane; zero for none.
	earliest time.Time
	// blocked is set during one dispatch for the classes that found no room.
	blocked [_classes]bool
}

// flow holds the requests of one workspace at one priority in one lane, the
// first to come at the head.
type flow struct {
	account  *account
	requests []*Request
	first    int
	tokens   int
	listed   bool
}

// class is one priority.
type class struct {
	accounts map[string]*account
	// virtual is the account of the workspace served last.
	virtual float64
	served  rate
	waiting int
}

// account counts the tokens served to one workspace at one priority for each
// unit of its weight, over all instances.
type account struct {
	weight  float64
	virtual float64
	waiting int
}

func (q *Queue) lane(model string) *lane {
	l := q.lanes[model]
	if l == nil {
		l = &lane{
			model: model,
		}
		for i := range l.flows {
			l.flows[i] = map[string]*flow{}
		}
		q.lanes[model] = l
	}

	return l
}

// account returns the account of a workspace. One that begins to wait starts
// no further back than those that are served, and not too far ahead.
func (q *Queue) account(workspace string, weight, number int) *account {
	c := &q.classes[number]
	a := c.accounts[workspace]
	if a == nil {
		a = &account{
			virtual: c.virtual,
		}
		c.accounts[workspace] = a
	}
	a.weight = float64(weight)
	if a.waiting == 0 {
		a.virtual = min(max(a.virtual, c.virtual), c.virtual+_maxLead)
	}

	return a
}

func (q *Queue) push(l *lane, r *Request) {
	a := q.account(r.Workspace, r.Weight, r.class)
	f := l.flows[r.class][r.Workspace]
	if f == nil {
		f = &flow{
			account: a,
		}
		l.flows[r.class][r.Workspace] = f
	}
	if !f.listed {
		f.listed = true
		l.order[r.class] = append(l.order[r.class], f)
	}
	f.requests = append(f.requests, r)
	f.tokens += r.Tokens
	l.noteDeadline(r)
	a.waiting++
	l.waiting++
	l.tokens[r.class] += r.Tokens
	q.classes[r.class].waiting++
	q.waiting++
}

// forget takes a request that left its flow out of the sums.
func (q *Queue) forget(l *lane, f *flow, r *Request) {
	f.tokens -= r.Tokens
	f.account.waiting--
	l.waiting--
	l.tokens[r.class] -= r.Tokens
	q.classes[r.class].waiting--
	q.waiting--
}

// dispatch places requests of the lanes, the first in order first, until none
// of them finds room.
func (q *Queue) dispatch(lanes []*lane, now time.Time) {
	for _, l := range lanes {
		l.blocked = [_classes]bool{}
	}
	for {
		l, f, floor := q.next(lanes, now)
		if l == nil {
			return
		}
		r := f.head()
		r.Floor = floor
		r.WithinShare = !q.demand.over[r.Workspace]
		placement := TooLate
		if !r.isExpired(now) {
			placement = q.cfg.Place(r)
		}
		if placement == NoRoom {
			l.blocked[r.class] = true

			continue
		}
		f.pop()
		q.forget(l, f, r)
		q.settle(l, f, r, placement, now)
	}
}

// settle ends the wait of a request by what Place said.
func (q *Queue) settle(l *lane, f *flow, r *Request, placement Placement, now time.Time) {
	switch placement {
	case TooLate:
		q.refuse(r, ReasonLate, q.expectedWait(l, r, now), now)

		return
	case Unserved:
		q.refuse(r, ReasonUnserved, 0, now)

		return
	default:
	}
	c := &q.classes[r.class]
	c.virtual = max(c.virtual, f.account.virtual)
	f.account.virtual += float64(r.Tokens) / f.account.weight
	c.served.add(now, float64(r.Tokens))
	l.drain.add(now, float64(r.Tokens))
	q.demand.serve(r)
	r.state = _left
	q.outcomes = append(q.outcomes, delivery{
		request: r,
		outcome: Outcome{
			Kind:   Dispatched,
			Waited: now.Sub(r.since),
		},
	})
}

// next is the lane and the flow whose head goes first, and whether it goes by
// the floor of the lowest priority. A floor owed comes before all.
func (q *Queue) next(lanes []*lane, now time.Time) (*lane, *flow, bool) {
	const lowest = _classes - 1
	if q.owesFloor(now) {
		if l, f := q.nextOf(lanes, lowest); l != nil {
			return l, f, true
		}
	}
	for number := range _classes {
		if l, f := q.nextOf(lanes, number); l != nil {
			return l, f, false
		}
	}

	return nil, nil, false
}

// nextOf is the waiting workspace of one priority with the lowest account.
func (q *Queue) nextOf(lanes []*lane, number int) (*lane, *flow) {
	var bestLane *lane
	var best *flow
	for _, l := range lanes {
		if l.blocked[number] {
			continue
		}
		l.compact(number)
		for _, f := range l.order[number] {
			if best == nil || q.goesBefore(f, best) {
				bestLane = l
				best = f
			}
		}
	}

	return bestLane, best
}

func (q *Queue) goesBefore(f, than *flow) bool {
	if !q.cfg.PlainOrder && f.account.virtual != than.account.virtual {
		return f.account.virtual < than.account.virtual
	}

	return f.head().since.Before(than.head().since)
}

func (q *Queue) owesFloor(now time.Time) bool {
	lowest := &q.classes[_classes-1]
	if lowest.waiting == 0 {
		return false
	}
	total := 0.0
	for i := range q.classes {
		total += q.classes[i].served.perSecond(now)
	}

	return lowest.served.perSecond(now) < q.cfg.Floor*total
}

// expectedWait estimates how long a request would wait: until all before it
// in its lane are served, or until its workspace's own are at its fair share,
// whichever comes first.
func (q *Queue) expectedWait(l *lane, r *Request, now time.Time) time.Duration {
	perSecond := l.drain.perSecond(now)
	if l.waiting == 0 || perSecond <= 0 {
		return 0
	}
	before := 0
	for number := range r.class + 1 {
		before += l.tokens[number]
	}
	seconds := float64(before) / perSecond
	own := 0
	if f := l.flows[r.class][r.Workspace]; f != nil {
		own = f.tokens
	}
	above := before - l.tokens[r.class]
	fair := float64(above)/perSecond + float64(own)/(perSecond*l.shareOf(r))

	return time.Duration(min(seconds, fair) * float64(time.Second))
}

// shareOf is the part of the lane's class that a workspace gets while all who
// wait now go on waiting.
func (l *lane) shareOf(r *Request) float64 {
	weights := float64(r.Weight)
	for _, f := range l.order[r.class] {
		if f.len() > 0 && f != l.flows[r.class][r.Workspace] {
			weights += f.account.weight
		}
	}

	return float64(r.Weight) / weights
}

// makeRoom keeps the bounds. A full queue gives up the newest request of the
// longest flow of the same or a lower priority, so that one workspace can't
// fill it; it reports false if the request itself would be that one.
func (q *Queue) makeRoom(l *lane, r *Request, now time.Time) bool {
	if f := l.flows[r.class][r.Workspace]; f != nil && f.account.waiting >= q.cfg.MaxWorkspaceWaiting {
		return false
	}
	if q.waiting < q.cfg.MaxWaiting {
		return true
	}
	victimLane, victim := q.longest(r.class)
	if victim == nil || victim == l.flows[r.class][r.Workspace] {
		return false
	}
	out := victim.requests[len(victim.requests)-1]
	victim.remove(out)
	q.forget(victimLane, victim, out)
	q.refuse(out, ReasonFull, q.expectedWait(victimLane, out, now), now)

	return true
}

// longest is the flow with the most requests at the lowest priority that has
// any, not above number.
func (q *Queue) longest(number int) (*lane, *flow) {
	for c := _classes - 1; c >= number; c-- {
		var longestLane *lane
		var longest *flow
		for _, l := range q.lanes {
			for _, f := range l.order[c] {
				if f.len() > 0 && (longest == nil || f.len() > longest.len() || f.len() == longest.len() && l.model < longestLane.model) {
					longestLane = l
					longest = f
				}
			}
		}
		if longest != nil {
			return longestLane, longest
		}
	}

	return nil, nil
}

func (l *lane) noteDeadline(r *Request) {
	if !r.Deadline.IsZero() && (l.earliest.IsZero() || r.Deadline.Before(l.earliest)) {
		l.earliest = r.Deadline
	}
}

// compact drops the flows without requests from the order.
func (l *lane) compact(number int) {
	l.order[number] = slices.DeleteFunc(l.order[number], func(f *flow) bool {
		if f.len() > 0 {
			return false
		}
		f.listed = false

		return true
	})
}

func (f *flow) len() int {
	return len(f.requests) - f.first
}

func (f *flow) head() *Request {
	return f.requests[f.first]
}

func (f *flow) pop() *Request {
	r := f.requests[f.first]
	f.requests[f.first] = nil
	f.first++
	// Moving the rest once for each half keeps the slice bounded.
	if 2*f.first >= len(f.requests) {
		f.requests = slices.Delete(f.requests, 0, f.first)
		f.first = 0
	}

	return r
}

// take removes the requests for which out holds and returns them in order.
func (f *flow) take(out func(*Request) bool) []*Request {
	var taken []*Request
	f.requests = slices.DeleteFunc(f.requests[f.first:], func(r *Request) bool {
		if out(r) {
			taken = append(taken, r)

			return true
		}

		return false
	})
	f.first = 0

	return taken
}

func (f *flow) remove(r *Request) {
	i := slices.Index(f.requests, r)
	f.requests = slices.Delete(f.requests, i, i+1)
	if f.first == len(f.requests) {
		f.requests = f.requests[:0]
		f.first = 0
	}
}

// rate is an exponentially weighted average of amounts for each second.
type rate struct {
	value float64
	at    time.Time
}

func (r *rate) add(now time.Time, amount float64) {
	r.decay(now)
	r.value += amount / _drainLife.Seconds()
}

func (r *rate) perSecond(now time.Time) float64 {
	r.decay(now)

	return r.value
}

func (r *rate) decay(now time.Time) {
	if !r.at.IsZero() {
		r.value *= math.Exp(-now.Sub(r.at).Seconds() / _drainLife.Seconds())
	}
	r.at = now
}
