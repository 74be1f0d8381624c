package quota

import "sync"

const (
	// _maxRequests bounds the requests on record; the oldest is evicted.
	_maxRequests = 1 << 15
	// _maxRepeats bounds how often a request ID is repeated without a new charge,
	// so that reusing an ID can't circumvent the limit.
	_maxRepeats = 4
)

// requestKey identifies a request of a workspace.
type requestKey struct {
	workspace string
	id        string
}

// request records the charge for one ID. A cancelled or repeated request is
// charged once, for the largest of its attempts.
type request struct {
	// charged is the current charge; open attempts may still use it up.
	charged int64
	// used is the usage of the largest settled attempt.
	used         int64
	openAttempts int
	// attempts counts all attempts.
	attempts int
	// mark is that of the earliest charge that isn't settled.
	mark uint64
}

// requests records charged requests. The zero value is ready to use.
type requests struct {
	mu    sync.Mutex
	byKey map[requestKey]request
	order []requestKey
	next  int
}

// chargeFor returns the tokens to charge for an attempt of a request. It reports
// false if the ID was repeated too often: the attempt is then charged in full
// and not recorded.
func (r *requests) chargeFor(key requestKey, tokens int64) (charge int64, tracked bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	known := r.byKey[key]
	if known.attempts > _maxRepeats {
		return tokens, false
	}

	return max(0, tokens-known.charged), true
}

// recordCharge records an attempt whose charge was made at mark. Two concurrent
// attempts may both have been charged in full; settling the last one refunds the
// excess.
func (r *requests) recordCharge(key requestKey, charge int64, mark uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.byKey == nil {
		r.byKey = map[requestKey]request{}
	}
	known, ok := r.byKey[key]
	if !ok {
		r.evictOldest(key)
	}
	if known.openAttempts == 0 || mark < known.mark {
		known.mark = mark
	}
	known.charged += charge
	known.openAttempts++
	known.attempts++
	r.byKey[key] = known
}

// settle ends an attempt that used some tokens and returns the tokens to refund,
// and the mark of their charge. It refunds nothing until the last open attempt
// ends.
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
	if known.openAttempts == 0 {
		return 0, 0
	}
	known.openAttempts--
	known.used = max(known.used, used)
	if known.openAttempts == 0 {
		refund = max(0, known.charged-known.used)
		known.charged -= refund
	}
	r.byKey[key] = known

	return refund, known.mark
}

// evictOldest makes room for key by evicting the oldest request once there are
// _maxRequests. The lock is held.
func (r *requests) evictOldest(key requestKey) {
	if len(r.order) < _maxRequests {
		r.order = append(r.order, key)

		return
	}
	delete(r.byKey, r.order[r.next])
	r.order[r.next] = key
	r.next = (r.next + 1) % _maxRequests
}
