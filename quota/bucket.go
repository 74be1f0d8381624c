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
	// _fullReturnFraction is the fraction of a loan from which the whole loan is
	// returned.
	_fullReturnFraction = 0.99
	// _epsilon keeps divisors above 0, in tokens.
	_epsilon = 1e-9
	// _maxFreeMinimums bounds the history kept for refunds.
	_maxFreeMinimums = 32
	// _demandWindow is the time constant of the demand average.
	_demandWindow = time.Second
	// _minDemandWindow is the minimum time over which the first calls are
	// averaged.
	_minDemandWindow = 100 * time.Millisecond
	// _headroom is the factor by which the rate that an instance reserves exceeds
	// its demand.
	_headroom = 1.25
	// _largestDecay is applied to the largest request at each request.
	_largestDecay = 0.98
)

// Limit is the rate limit of a workspace over all instances together.
type Limit struct {
	// Workspace is the name of the workspace.
	Workspace string
	// RateTokensPerSecond is the refill rate.
	RateTokensPerSecond float64
	// BurstTokens is the size of the bucket, and the largest request.
	BurstTokens float64
}

// bucket is the token bucket of a workspace at one instance. Its size and
// refill rate are the base share, minus what is lent, plus what is borrowed.
// Times are in nanoseconds of the ledger's clock.
type bucket struct {
	mu    sync.Mutex
	limit Limit
	// fraction is this instance's fraction of the limit according to the table.
	// It counts until baseExpiresAt, within one term of unbroken evidence.
	fraction      float64
	baseExpiresAt int64
	term          int64
	lent          []loanRecord
	borrowed      []loanRecord
	// nextLoanExpiry is the earliest expiry of a loan, lent or borrowed.
	nextLoanExpiry int64
	// level includes the refill up to updatedAt. rate is in tokens per nanosecond.
	level     float64
	size      float64
	rate      float64
	updatedAt int64
	// freeMinimums is the history that refund uses.
	freeMinimums []freeMinimum
	sequence     uint64
	demand       average
	// largestRequest is a decaying maximum of the tokens of requests.
	largestRequest float64
	waiters        []*waiter
	closed         bool
	// startFull fills the bucket when a base share begins. Tests set it to show
	// why a bucket begins empty.
	startFull bool
	lendingState
}

// loanRecord is a loan in the books of its lender or its borrower.
type loanRecord struct {
	id        int
	peer      string
	rate      float64
	size      float64
	expiresAt int64
	// declined reports whether the lender refused to extend the loan.
	declined bool
}

// freeMinimum is the smallest free capacity of the bucket since the event before
// sequence.
type freeMinimum struct {
	sequence uint64
	free     float64
}

// evidence describes until when, and in which term, base shares are in force.
type evidence struct {
	expiresAt int64
	term      int64
}

// advance refills the bucket up to now, and expires the loans and the base share
// that end by then, each at its own time.
func (b *bucket) advance(now int64, ev evidence) {
	if b.term == ev.term {
		b.baseExpiresAt = max(b.baseExpiresAt, ev.expiresAt)
	}
	for {
		next := min(b.nextLoanExpiry, b.baseExpiresAt)
		if next > now {
			break
		}
		b.refill(next)
		if b.baseExpiresAt <= next {
			b.baseExpiresAt = _never
			b.term = -1
		}
		b.dropExpiredLoans(next)
		b.resize()
	}
	b.refill(now)
	if b.term != ev.term && ev.expiresAt > now {
		b.term, b.baseExpiresAt = ev.term, ev.expiresAt
		b.resize()
		if b.startFull {
			b.level = b.size
		}
	}
}

// validUntil returns the time until which the present size and refill rate hold.
func (b *bucket) validUntil() int64 {
	return min(b.nextLoanExpiry, b.baseExpiresAt)
}

func (b *bucket) refill(now int64) {
	if now <= b.updatedAt {
		return
	}
	b.level = max(b.level, min(b.size, b.level+b.rate*float64(now-b.updatedAt)))
	b.updatedAt = now
}

func (b *bucket) dropExpiredLoans(now int64) {
	b.lent = filterLoans(b.lent, func(s loanRecord) bool { return s.expiresAt > now })
	b.borrowed = filterLoans(b.borrowed, func(s loanRecord) bool { return s.expiresAt > now })
	b.updateNextLoanExpiry()
}

func (b *bucket) updateNextLoanExpiry() {
	b.nextLoanExpiry = _never
	for _, s := range b.lent {
		b.nextLoanExpiry = min(b.nextLoanExpiry, s.expiresAt)
	}
	for _, s := range b.borrowed {
		b.nextLoanExpiry = min(b.nextLoanExpiry, s.expiresAt)
	}
}

// base returns the size and rate of the base share in force.
func (b *bucket) base() (size, rate float64) {
	if b.term < 0 {
		return 0, 0
	}

	return b.fraction * b.limit.BurstTokens, b.fraction * b.limit.RateTokensPerSecond / float64(time.Second)
}

// unlentBase returns the size and rate of the base share that are not lent.
func (b *bucket) unlentBase() (size, rate float64) {
	size, rate = b.base()
	for _, s := range b.lent {
		size -= s.size
		rate -= s.rate
	}

	return max(0, size), max(0, rate)
}

// resize recomputes size and rate, and drops tokens that exceed the size.
func (b *bucket) resize() {
	b.recordFree()
	size, rate := b.unlentBase()
	for _, s := range b.borrowed {
		size += s.size
		rate += s.rate
	}
	b.size, b.rate = size, rate
	b.level = min(b.level, size)
	b.recordFree()
}

// deduct removes tokens from the bucket. It reports false, and removes none, if
// the level is too low.
func (b *bucket) deduct(tokens float64) bool {
	if tokens > b.level {
		return false
	}
	b.recordFree()
	b.level -= tokens

	return true
}

// lend moves a fraction of the unlent base share, and the same fraction of the
// tokens, into a loan, which it merges with an existing loan to the borrower.
func (b *bucket) lend(fraction float64, loan loanRecord) (lent loanRecord, tokens float64) {
	size, rate := b.unlentBase()
	loan.size, loan.rate = fraction*size, fraction*rate
	tokens = min(loan.size, fraction*max(0, b.level))
	b.recordFree()
	b.level -= tokens
	if i := b.loanIndex(loan.peer); i >= 0 {
		b.lent[i].size += loan.size
		b.lent[i].rate += loan.rate
		b.lent[i].expiresAt = max(b.lent[i].expiresAt, loan.expiresAt)
		loan.id = b.lent[i].id
	} else {
		b.lent = append(b.lent, loan)
	}
	b.updateNextLoanExpiry()
	b.resize()

	return loan, tokens
}

// loanIndex returns the index of the loan to a borrower, or -1.
func (b *bucket) loanIndex(borrower string) int {
	return slices.IndexFunc(b.lent, func(s loanRecord) bool { return s.peer == borrower })
}

// borrow adds a loan to the bucket, or extends the one that it already has. It
// drops an addition to an unknown loan, as the lender may already have that
// loan back.
func (b *bucket) borrow(loan loanRecord, isNew bool, tokens float64) {
	i := slices.IndexFunc(b.borrowed, func(s loanRecord) bool { return s.id == loan.id && s.peer == loan.peer })
	switch {
	case i >= 0:
		b.borrowed[i].size += loan.size
		b.borrowed[i].rate += loan.rate
		b.borrowed[i].expiresAt = max(b.borrowed[i].expiresAt, loan.expiresAt)
	case isNew:
		b.borrowed = append(b.borrowed, loan)
	default:
		return
	}
	b.updateNextLoanExpiry()
	b.resize()
	b.level += min(tokens, loan.size)
}

// returnLoans removes the fraction that fractionOf returns for each loan from
// the bucket, with the same fraction of its tokens, and passes it to add, to be
// returned to the lender.
func (b *bucket) returnLoans(fractionOf func(s loanRecord) float64, add func(lender string, ref wire.QuotaLoanRef)) {
	b.recordFree()
	tokens := 0.0
	perSize := max(0, b.level) / max(b.size, _epsilon)
	kept := b.borrowed[:0]
	for _, s := range b.borrowed {
		fraction := fractionOf(s)
		if fraction > 0 {
			add(s.peer, wire.QuotaLoanRef{
				Workspace:           b.workspace,
				ID:                  s.id,
				Whole:               fraction >= _fullReturnFraction,
				Tokens:              fraction * s.size * perSize,
				RateTokensPerSecond: fraction * s.rate * float64(time.Second),
				BurstTokens:         fraction * s.size,
			})
			tokens += fraction * s.size * perSize
			s.size -= fraction * s.size
			s.rate -= fraction * s.rate
		}
		if fraction < _fullReturnFraction {
			kept = append(kept, s)
		}
	}
	b.borrowed = kept
	b.level -= tokens
	b.updateNextLoanExpiry()
	b.resize()
}

// acceptReturn adds what a borrower returns to the bucket. The return of an
// expired loan has no effect.
func (b *bucket) acceptReturn(ref wire.QuotaLoanRef, borrower string) {
	i := b.loanIndex(borrower)
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
	b.updateNextLoanExpiry()
	b.resize()
	b.level = max(b.level, min(b.size, b.level+min(ref.Tokens, size)))
}

// mark returns the present sequence number, which identifies a charge for a later
// refund.
func (b *bucket) mark() uint64 {
	return b.sequence
}

// recordFree records the free capacity of the bucket. Call it before each event
// that increases the free capacity and after each that reduces it.
func (b *bucket) recordFree() {
	b.sequence++
	room := b.size - b.level
	for len(b.freeMinimums) > 0 && b.freeMinimums[len(b.freeMinimums)-1].free >= room {
		b.freeMinimums = b.freeMinimums[:len(b.freeMinimums)-1]
	}
	b.freeMinimums = append(b.freeMinimums, freeMinimum{
		sequence: b.sequence,
		free:     room,
	})
	if len(b.freeMinimums) > _maxFreeMinimums {
		// The smaller value replaces both, so that a refund can only get smaller.
		b.freeMinimums[1].free = b.freeMinimums[0].free
		b.freeMinimums = append(b.freeMinimums[:0], b.freeMinimums[1:]...)
	}
}

// refund puts back unused tokens that were charged at mark. It puts back only as
// many as would still be there if they had never been charged: a bucket that has
// been full since then would have lost them. A window that begins after the
// charge therefore gains nothing from the refund.
func (b *bucket) refund(mark uint64, tokens float64) {
	room := b.size - b.level
	first := len(b.freeMinimums)
	for first > 0 && b.freeMinimums[first-1].sequence > mark {
		first--
	}
	if first < len(b.freeMinimums) {
		room = min(room, b.freeMinimums[first].free)
	}
	tokens = min(tokens, room)
	if tokens <= 0 {
		return
	}
	b.level += tokens
	for i := first; i < len(b.freeMinimums); i++ {
		b.freeMinimums[i].free -= tokens
	}
	// Keep the values increasing: a larger one before a smaller one has no
	// effect any more.
	if first < len(b.freeMinimums) {
		keep := first
		for keep > 0 && b.freeMinimums[keep-1].free >= b.freeMinimums[first].free {
			keep--
		}
		b.freeMinimums = append(b.freeMinimums[:keep], b.freeMinimums[first:]...)
	}
}

// requiredRate returns the refill rate that the calls at this instance need,
// with headroom, in tokens per nanosecond.
func (b *bucket) requiredRate(now int64) float64 {
	return b.demand.perNanosecond(now) * _headroom
}

// recordDemand counts a request in the demand average.
func (b *bucket) recordDemand(now int64, tokens float64) {
	b.demand.add(now, tokens)
	b.largestRequest = max(b.largestRequest*_largestDecay, tokens)
}

// average is an exponentially decaying average of a flow, taken over the time
// since the flow began if that is shorter than the window.
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
	seen := float64(now-a.since) + float64(_minDemandWindow)

	return a.sum / float64(_demandWindow) / (1 - math.Exp(-seen/float64(_demandWindow)))
}

func filterLoans(all []loanRecord, keep func(s loanRecord) bool) []loanRecord {
	kept := all[:0]
	for _, s := range all {
		if keep(s) {
			kept = append(kept, s)
		}
	}

	return kept
}
