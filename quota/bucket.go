package quota

import (
	"math"
	"slices"
	"sync"
	"time"

	"papayastair.dev/papayastair/wire"
)

const (
	_never = int64(math.MaxInt64)
	// _wholePart is the part of a loan from which it is given back whole.
	_wholePart = 0.99
	// _smallest keeps divisors above 0, in tokens.
	_smallest = 1e-9
	// _maxLows bounds the history that refunds need.
	_maxLows = 32
	// _demandWindow is the time constant of the demand's average.
	_demandWindow = time.Second
	// _minDemandTime is the time over which the first calls are averaged.
	_minDemandTime = 100 * time.Millisecond
	// _headroom is how much more than the demand an instance keeps.
	_headroom = 1.25
	// _largestDecay is applied to the largest request at each request.
	_largestDecay = 0.98
)

// Limit is what a workspace may use over all instances together.
type Limit struct {
	// Workspace is the workspace.
	Workspace string
	// RateTokensPerSecond is the refill.
	RateTokensPerSecond float64
	// BurstTokens is the size of the bucket, and the largest request.
	BurstTokens float64
}

// bucket holds a workspace's tokens at one instance. Its size and its refill
// are the base share, less what is lent, plus what is borrowed. Times are in
// nanoseconds of the ledger's clock.
type bucket struct {
	mu    sync.Mutex
	limit Limit
	// fraction is this instance's part of the limit by the table; it counts
	// until baseUntil, in one term of unbroken evidence.
	fraction  float64
	baseUntil int64
	term      int64
	lent      []slice
	borrowed  []slice
	// nextEnd is the first end of a loan.
	nextEnd int64
	// level is filled up to time at. rate is in tokens a nanosecond.
	level float64
	size  float64
	rate  float64
	at    int64
	// lows has what refunds need, see refund.
	lows     []low
	sequence uint64
	demand   average
	// largest is a decaying maximum of requests' tokens.
	largest float64
	waiters []*waiter
	closed  bool
	// fullStart fills the bucket when a base share begins; for tests that
	// show why it begins empty.
	fullStart bool
	lending
}

// slice is a loan as its lender or its borrower keeps it.
type slice struct {
	id    int
	peer  string
	rate  float64
	size  float64
	until int64
	// declined says that the lender won't extend it.
	declined bool
}

// low is the least room in the bucket since the event before it.
type low struct {
	sequence uint64
	room     float64
}

// evidence is what a bucket needs to know of the ledger's evidence.
type evidence struct {
	until int64
	term  int64
}

// advance refills up to now, and ends the loans and the base share whose time
// has come, each at its own time.
func (b *bucket) advance(now int64, ev evidence) {
	if b.term == ev.term {
		b.baseUntil = max(b.baseUntil, ev.until)
	}
	for {
		next := min(b.nextEnd, b.baseUntil)
		if next > now {
			break
		}
		b.refill(next)
		if b.baseUntil <= next {
			b.baseUntil = _never
			b.term = -1
		}
		b.dropEnded(next)
		b.resize()
	}
	b.refill(now)
	if b.term != ev.term && ev.until > now {
		b.term, b.baseUntil = ev.term, ev.until
		b.resize()
		if b.fullStart {
			b.level = b.size
		}
	}
}

// validUntil is the time up to which the present size and refill hold.
func (b *bucket) validUntil() int64 {
	return min(b.nextEnd, b.baseUntil)
}

func (b *bucket) refill(now int64) {
	if now <= b.at {
		return
	}
	b.level = max(b.level, min(b.size, b.level+b.rate*float64(now-b.at)))
	b.at = now
}

func (b *bucket) dropEnded(now int64) {
	b.lent = keepSlices(b.lent, func(s slice) bool { return s.until > now })
	b.borrowed = keepSlices(b.borrowed, func(s slice) bool { return s.until > now })
	b.findNextEnd()
}

func (b *bucket) findNextEnd() {
	b.nextEnd = _never
	for _, s := range b.lent {
		b.nextEnd = min(b.nextEnd, s.until)
	}
	for _, s := range b.borrowed {
		b.nextEnd = min(b.nextEnd, s.until)
	}
}

// base is the size and rate of the base share now in force.
func (b *bucket) base() (size, rate float64) {
	if b.term < 0 {
		return 0, 0
	}

	return b.fraction * b.limit.BurstTokens, b.fraction * b.limit.RateTokensPerSecond / float64(time.Second)
}

// own is what is left of the base share after what is lent.
func (b *bucket) own() (size, rate float64) {
	size, rate = b.base()
	for _, s := range b.lent {
		size -= s.size
		rate -= s.rate
	}

	return max(0, size), max(0, rate)
}

// resize computes size and rate anew, and drops tokens over the size.
func (b *bucket) resize() {
	b.noteLow()
	size, rate := b.own()
	for _, s := range b.borrowed {
		size += s.size
		rate += s.rate
	}
	b.size, b.rate = size, rate
	b.level = min(b.level, size)
	b.noteLow()
}

// take charges tokens if they are there.
func (b *bucket) take(tokens float64) bool {
	if tokens > b.level {
		return false
	}
	b.noteLow()
	b.level -= tokens

	return true
}

// lend moves a part of what is left of the base share, and as much of the
// tokens, into a loan, which it adds to the loan that the borrower has.
func (b *bucket) lend(part float64, loan slice) (lent slice, tokens float64) {
	size, rate := b.own()
	loan.size, loan.rate = part*size, part*rate
	tokens = min(loan.size, part*max(0, b.level))
	b.noteLow()
	b.level -= tokens
	if i := b.lentTo(loan.peer); i >= 0 {
		b.lent[i].size += loan.size
		b.lent[i].rate += loan.rate
		b.lent[i].until = max(b.lent[i].until, loan.until)
		loan.id = b.lent[i].id
	} else {
		b.lent = append(b.lent, loan)
	}
	b.findNextEnd()
	b.resize()

	return loan, tokens
}

// lentTo is the index of the loan to a borrower, or -1.
func (b *bucket) lentTo(borrower string) int {
	return slices.IndexFunc(b.lent, func(s slice) bool { return s.peer == borrower })
}

// borrow takes a loan into the bucket, or more of one that it holds. More of
// one that it doesn't hold is dropped: the lender may have it back already.
func (b *bucket) borrow(loan slice, isNew bool, tokens float64) {
	i := slices.IndexFunc(b.borrowed, func(s slice) bool { return s.id == loan.id && s.peer == loan.peer })
	switch {
	case i >= 0:
		b.borrowed[i].size += loan.size
		b.borrowed[i].rate += loan.rate
		b.borrowed[i].until = max(b.borrowed[i].until, loan.until)
	case isNew:
		b.borrowed = append(b.borrowed, loan)
	default:
		return
	}
	b.findNextEnd()
	b.resize()
	b.level += min(tokens, loan.size)
}

// giveBack takes the part that partOf says of each loan out of the bucket,
// with as much of the tokens, and hands it to give for the lender.
func (b *bucket) giveBack(partOf func(s slice) float64, give func(lender string, ref wire.QuotaLoanRef)) {
	b.noteLow()
	tokens := 0.0
	perSize := max(0, b.level) / max(b.size, _smallest)
	kept := b.borrowed[:0]
	for _, s := range b.borrowed {
		part := partOf(s)
		if part > 0 {
			give(s.peer, wire.QuotaLoanRef{
				Workspace:           b.workspace,
				ID:                  s.id,
				Whole:               part >= _wholePart,
				Tokens:              part * s.size * perSize,
				RateTokensPerSecond: part * s.rate * float64(time.Second),
				BurstTokens:         part * s.size,
			})
			tokens += part * s.size * perSize
			s.size -= part * s.size
			s.rate -= part * s.rate
		}
		if part < _wholePart {
			kept = append(kept, s)
		}
	}
	b.borrowed = kept
	b.level -= tokens
	b.findNextEnd()
	b.resize()
}

// takeBack takes in what a borrower gives back. Of a loan that has ended it
// changes nothing.
func (b *bucket) takeBack(ref wire.QuotaLoanRef, borrower string) {
	i := b.lentTo(borrower)
	if i < 0 || b.lent[i].id != ref.ID {
		return
	}
	size := min(ref.BurstTokens, b.lent[i].size)
	if ref.Whole {
		b.lent = slices.Delete(b.lent, i, i+1)
	} else {
		b.lent[i].size -= size
		b.lent[i].rate = max(0, b.lent[i].rate-ref.RateTokensPerSecond/float64(time.Second))
	}
	b.findNextEnd()
	b.resize()
	b.level = max(b.level, min(b.size, b.level+min(ref.Tokens, size)))
}

// mark is the point of time of a charge for a later refund.
func (b *bucket) mark() uint64 {
	return b.sequence
}

// noteLow records the room in the bucket. It stands before each event that
// makes room and after each that takes some.
func (b *bucket) noteLow() {
	b.sequence++
	room := b.size - b.level
	for len(b.lows) > 0 && b.lows[len(b.lows)-1].room >= room {
		b.lows = b.lows[:len(b.lows)-1]
	}
	b.lows = append(b.lows, low{
		sequence: b.sequence,
		room:     room,
	})
	if len(b.lows) > _maxLows {
		// The smaller room stands for both, so a refund may only be smaller.
		b.lows[1].room = b.lows[0].room
		b.lows = append(b.lows[:0], b.lows[1:]...)
	}
}

// refund puts back tokens that were charged at mark and not used. It puts
// back only what would still be there, had they never been charged: a bucket
// that has been full meanwhile would have lost them. So a window of time that
// begins after the charge gains nothing by it.
func (b *bucket) refund(mark uint64, tokens float64) {
	room := b.size - b.level
	first := len(b.lows)
	for first > 0 && b.lows[first-1].sequence > mark {
		first--
	}
	if first < len(b.lows) {
		room = min(room, b.lows[first].room)
	}
	tokens = min(tokens, room)
	if tokens <= 0 {
		return
	}
	b.level += tokens
	for i := first; i < len(b.lows); i++ {
		b.lows[i].room -= tokens
	}
	// Keep the rooms rising: an earlier one that is larger counts no more.
	if first < len(b.lows) {
		keep := first
		for keep > 0 && b.lows[keep-1].room >= b.lows[first].room {
			keep--
		}
		b.lows = append(b.lows[:keep], b.lows[first:]...)
	}
}

// need is the refill that the calls at this instance use, with headroom, in
// tokens a nanosecond.
func (b *bucket) need(now int64) float64 {
	return b.demand.perNanosecond(now) * _headroom
}

// wanted counts a request in the demand.
func (b *bucket) wanted(now int64, tokens float64) {
	b.demand.add(now, tokens)
	b.largest = max(b.largest*_largestDecay, tokens)
}

// average is an exponentially decaying average of a flow, over the time since
// the flow began if that is shorter than the window.
type average struct {
	sum   float64
	at    int64
	since int64
}

func (a *average) add(now int64, amount float64) {
	a.decay(now)
	if a.sum < 1 {
		a.since = now
	}
	a.sum = max(0, a.sum+amount)
}

func (a *average) decay(now int64) {
	if now > a.at {
		a.sum *= math.Exp(-float64(now-a.at) / float64(_demandWindow))
		a.at = now
	}
}

func (a *average) perNanosecond(now int64) float64 {
	a.decay(now)
	if a.sum < 1 {
		return 0
	}
	seen := float64(now-a.since) + float64(_minDemandTime)

	return a.sum / float64(_demandWindow) / (1 - math.Exp(-seen/float64(_demandWindow)))
}

func keepSlices(all []slice, keep func(s slice) bool) []slice {
	kept := all[:0]
	for _, s := range all {
		if keep(s) {
			kept = append(kept, s)
		}
	}

	return kept
}
