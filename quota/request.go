package quota

import "sync"

const (
	// _maxRequests bounds the requests that are remembered; the oldest goes.
	_maxRequests = 1 << 15
	// _maxRepeats bounds how often one request ID is repeated without a
	// new charge, so that an ID is no way around the limit.
	_maxRepeats = 4
)

// requestKey names a request of a workspace.
type requestKey struct {
	workspace string
	id        string
}

// request is what one ID has been charged for. A cancelled or repeated
// request is charged once, for the largest of its tries.
type request struct {
	// paid is charged now; open tries may still use it up.
	paid int64
	// used is the largest settled try.
	used int64
	open int
	// repeats counts the tries.
	repeats int
	// mark is the time of the earliest charge that isn't settled.
	mark uint64
}

// requests remembers charged requests. The zero value is ready.
type requests struct {
	mu    sync.Mutex
	byKey map[requestKey]request
	order []requestKey
	next  int
}

// price returns the tokens to charge for a try of a request. It reports false
// when the ID has been repeated too often: the try is then charged in full
// and not remembered.
func (r *requests) price(key requestKey, tokens int64) (charge int64, tracked bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.byKey[key]
	if known.repeats > _maxRepeats {
		return tokens, false
	}

	return max(0, tokens-known.paid), true
}

// admit remembers a try whose charge was made at mark. Two tries at one
// moment may both have been charged; the last one settled puts it right.
func (r *requests) admit(key requestKey, charge int64, mark uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byKey == nil {
		r.byKey = map[requestKey]request{}
	}
	known, ok := r.byKey[key]
	if !ok {
		r.makeRoom(key)
	}
	if known.open == 0 || mark < known.mark {
		known.mark = mark
	}
	known.paid += charge
	known.open++
	known.repeats++
	r.byKey[key] = known
}

// settle ends a try that used some tokens and returns what to put back, for
// which charge. Nothing is put back before the last open try ends.
func (r *requests) settle(res Reservation, used int64) (refund int64, mark uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := requestKey{
		workspace: res.Workspace,
		id:        res.RequestID,
	}
	known, ok := r.byKey[key]
	if !res.tracked || !ok {
		return max(0, res.Charged-used), res.mark
	}
	if known.open == 0 {
		return 0, 0
	}
	known.open--
	known.used = max(known.used, used)
	if known.open == 0 {
		refund = max(0, known.paid-known.used)
		known.paid -= refund
	}
	r.byKey[key] = known

	return refund, known.mark
}

// makeRoom forgets the oldest request in favour of key. The lock is held.
func (r *requests) makeRoom(key requestKey) {
	if len(r.order) < _maxRequests {
		r.order = append(r.order, key)

		return
	}
	delete(r.byKey, r.order[r.next])
	r.order[r.next] = key
	r.next = (r.next + 1) % _maxRequests
}
