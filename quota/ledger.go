package quota

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"papayastair.dev/papayastair/event"
	"papayastair.dev/papayastair/objectstore"
	"papayastair.dev/papayastair/timer"
	"papayastair.dev/papayastair/wire"
)

const (
	_defaultEvidenceTTL = 5 * time.Second
	_callTimeout        = time.Second
	// _loanWaitTimeout bounds how long a request waits for loans.
	_loanWaitTimeout = 100 * time.Millisecond
	// _lendInterval is the interval of maintainLoans.
	_lendInterval = 20 * time.Millisecond
	// _maxWaiters bounds the requests of a workspace that wait for loans.
	_maxWaiters = 64
	// _maxInFlight bounds the concurrent calls to peers. Calls beyond it aren't
	// sent, and fail as if they were lost.
	_maxInFlight = 256
	// _loanBits is the number of bits of a loan's ID below the incarnation.
	_loanBits = 20
	// _maxChargeDuration bounds the time between the two clock readings of a
	// charge.
	_maxChargeDuration = 5 * time.Millisecond
	_minRetryAfter     = 50 * time.Millisecond
	_maxRetryAfter     = time.Minute
)

// Status is the result of a Reserve.
type Status int

// Statuses of an Outcome.
const (
	// Admitted means that the tokens are charged; call Settle.
	Admitted Status = iota
	// Refused means that the workspace is short of tokens. Nothing was charged,
	// and RetryAfter is the time after which to retry.
	Refused
	// TooLarge means that the request is larger than the workspace's burst
	// and can never be admitted.
	TooLarge
	// UnknownWorkspace means that no limit is set for the workspace, so its
	// requests aren't served.
	UnknownWorkspace
)

// bucketSet holds the buckets of all workspaces. It is immutable, and replaced
// as a whole.
type bucketSet struct {
	byName map[string]*bucket
	all    []*bucket
}

// Reservation is a charge to be ended by Settle.
type Reservation struct {
	Workspace string
	RequestID string
	// Charged is the number of tokens charged. It is less than requested if the
	// same RequestID was charged before.
	Charged int64
	// At is the time of admission by the ledger's timer service.
	At      time.Time
	mark    uint64
	tracked bool
}

// Outcome is the result of a Reserve with its details.
type Outcome struct {
	Status Status
	// RetryAfter is set with Refused.
	RetryAfter time.Duration
	// Available is the number of tokens at this instance, set with Refused.
	Available float64
	// Reservation is set with Admitted.
	Reservation Reservation
}

// Config configures a Ledger. All fields but EvidenceTTL and Log are required.
type Config struct {
	// Self identifies this run of this instance.
	Self wire.QuotaMember
	// Timer is the clock.
	Timer *timer.Service
	// Ask calls HandleAsk of another instance. It must send each request at most
	// once.
	Ask func(ctx context.Context, peer string, ask wire.QuotaAsk) (wire.QuotaAnswer, error)
	// Store holds the table of shares.
	Store objectstore.Store
	// EvidenceTTL is the time for which evidence that the table is current
	// counts, and thus the time after which a partitioned instance stops using
	// its base shares. It must be the same on all instances. 0 means 5 s.
	EvidenceTTL time.Duration
	// Log may be nil.
	Log *event.Log
}

// Ledger holds the token buckets of all workspaces at this instance. Create one
// with New.
type Ledger struct {
	cfg      Config
	started  time.Time
	buckets  atomic.Pointer[bucketSet]
	current  atomic.Pointer[evidence]
	requests requests

	// mu guards the table and the state of its evidence and changes. It is locked
	// before a bucket's lock.
	mu    sync.Mutex
	table wire.QuotaTable
	// evidenceAt is the time of the latest evidence that the table is current.
	// expiredTerm is the last term whose expiry was logged.
	evidenceAt  int64
	expiredTerm int64
	live        []wire.QuotaMember
	change      changeState
	store       storeState
	quorum      quorumRound
	exchanges   uint64
	// loans is the last loan ID. IDs start at the incarnation, so that a later
	// run doesn't accept those of an earlier one.
	loans atomic.Int64

	// closing guards closed, so that no work starts after Close has begun to
	// wait.
	closing       sync.RWMutex
	closed        bool
	wg            conc.WaitGroup
	inFlight      atomic.Int64
	subscriptions []*timer.Subscription

	// run starts work that may block; send calls a peer and passes its answer on.
	// Tests replace them to stay in virtual time.
	run  func(work func())
	send func(peer string, ask wire.QuotaAsk, done func(answer wire.QuotaAnswer, err error))
	// disabled turns safeguards off, for tests that show the need for each.
	disabled guards
}

// guards selects the safeguards that a test disables.
type guards struct {
	clockRecheck     bool
	debitBeforeReply bool
	emptyStart       bool
	evidence         bool
	quorumEvidence   bool
	incarnation      bool
	// beforeClockRecheck runs between a charge and the second reading of the
	// clock.
	beforeClockRecheck func()
}

// New returns a ledger that holds no tokens until it has limits, members and the
// table of shares.
func New(cfg Config) *Ledger {
	l := newLedger(cfg)
	l.subscribe()

	return l
}

func newLedger(cfg Config) *Ledger {
	if cfg.EvidenceTTL <= 0 {
		cfg.EvidenceTTL = _defaultEvidenceTTL
	}
	l := &Ledger{
		cfg:        cfg,
		started:    cfg.Timer.Now(),
		evidenceAt: _noEvidence,
	}
	l.loans.Store(int64(cfg.Self.Incarnation) << _loanBits)
	l.buckets.Store(&bucketSet{})
	l.current.Store(&evidence{})
	l.run = func(work func()) { l.wg.Go(work) }
	l.send = l.call

	return l
}

func (l *Ledger) subscribe() {
	l.subscriptions = []*timer.Subscription{
		l.cfg.Timer.Every(_lendInterval, func(time.Time) { l.maintainLoans() }),
		l.cfg.Timer.Every(l.exchangeInterval()/4, func(time.Time) { l.renewEvidence() }),
	}
}

// SetLimits replaces the limits of all workspaces.
func (l *Ledger) SetLimits(limits []Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now, ev := l.now(), *l.current.Load()
	old := l.buckets.Load()
	buckets := bucketSet{
		byName: make(map[string]*bucket, len(limits)),
		all:    make([]*bucket, 0, len(limits)),
	}
	for _, limit := range limits {
		b := old.byName[limit.Workspace]
		if b == nil {
			b = l.newBucket(limit.Workspace, now)
		}
		b.mu.Lock()
		b.advance(now, ev)
		b.limit = limit
		b.resize()
		b.mu.Unlock()
		buckets.byName[limit.Workspace] = b
		buckets.all = append(buckets.all, b)
	}
	for _, b := range old.all {
		if buckets.byName[b.workspace] == nil {
			b.close()
		}
	}
	l.buckets.Store(&buckets)
}

// SetMembers sets the live instances, including this one. The ledger proposes a
// new table of shares when they differ from the table's members.
func (l *Ledger) SetMembers(members []wire.QuotaMember) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.live = slices.Clone(members)
}

// Reserve charges a request with the most tokens that it can use, input and
// output. When the tokens at this instance don't suffice, it asks peers once and
// waits a few milliseconds, at most 100. A repeated RequestID is charged only for
// what exceeds the earlier attempts. It is safe for concurrent use.
func (l *Ledger) Reserve(ctx context.Context, workspace, requestID string, tokens int64) Outcome {
	outcome := l.reserve(ctx, workspace, requestID, tokens)
	if outcome.Status != Admitted {
		l.cfg.Log.Write(event.QuotaRefused, zap.String("Workspace", workspace), zap.String("RequestID", requestID),
			zap.Int64("Tokens", tokens), zap.Float64("AtHand", outcome.Available), zap.Duration("RetryAfter", outcome.RetryAfter))
	}

	return outcome
}

func (l *Ledger) reserve(ctx context.Context, workspace, requestID string, tokens int64) Outcome {
	outcome, b, key := l.tryReserve(workspace, requestID, tokens)
	if outcome.Status != Refused {
		return outcome
	}
	done := make(chan Outcome, 1)
	w := l.enqueueWaiter(b, key, tokens, func(o Outcome) { done <- o })
	if w == nil {
		return outcome
	}
	select {
	case outcome = <-done:
	case <-ctx.Done():
		if l.removeWaiter(b, w) {
			return outcome
		}
		// The request was answered concurrently.
		outcome = <-done
	}

	return outcome
}

// Settle ends a reservation with the tokens that were used, 0 if the request
// never ran. It refunds the rest of the charge as far as the bucket would still
// hold those tokens. Call it once for each admitted reservation.
func (l *Ledger) Settle(res Reservation, used int64) {
	refund, mark := l.requests.settle(res, used)
	b := l.buckets.Load().byName[res.Workspace]
	if b == nil || refund <= 0 {
		return
	}
	b.mu.Lock()
	b.advance(l.now(), *l.current.Load())
	b.refund(mark, float64(refund))
	b.demand.add(b.updatedAt, -float64(refund))
	served := l.serveWaiters(b)
	b.mu.Unlock()
	notifyWaiters(served)
}

// Close returns borrowed loans, stops all work and waits for it to end.
func (l *Ledger) Close() {
	for _, s := range l.subscriptions {
		s.Stop()
	}
	l.returnAll()
	for _, b := range l.buckets.Load().all {
		b.close()
	}
	l.closing.Lock()
	l.closed = true
	l.closing.Unlock()
	l.wg.Wait()
}

// start runs work that may block. It reports false if the ledger is closed.
func (l *Ledger) start(work func()) bool {
	l.closing.RLock()
	defer l.closing.RUnlock()
	if l.closed {
		return false
	}
	l.run(work)

	return true
}

// tryReserve charges a request from the tokens at this instance, without
// waiting.
func (l *Ledger) tryReserve(workspace, requestID string, tokens int64) (Outcome, *bucket, requestKey) {
	key := requestKey{
		workspace: workspace,
		id:        requestID,
	}
	b := l.buckets.Load().byName[workspace]
	if b == nil {
		return Outcome{Status: UnknownWorkspace}, nil, key
	}
	b.mu.Lock()
	if float64(tokens) > b.limit.BurstTokens {
		b.mu.Unlock()

		return Outcome{Status: TooLarge}, nil, key
	}
	outcome := l.charge(b, key, tokens)
	b.recordDemand(b.updatedAt, float64(tokens))
	b.mu.Unlock()

	return outcome, b, key
}

// charge deducts the tokens of a request and then reads the clock again: if the
// process was paused in between, the deducted tokens may have expired, or been
// refilled for another request at the same moment. It then puts them back and
// retries. The bucket's lock is held.
func (l *Ledger) charge(b *bucket, key requestKey, tokens int64) Outcome {
	charge, tracked := l.requests.chargeFor(key, tokens)
	for {
		at := l.cfg.Timer.Now()
		b.advance(int64(at.Sub(l.started)), *l.current.Load())
		if !b.deduct(float64(charge)) {
			return l.refusedOutcome(b, float64(charge))
		}
		if l.disabled.beforeClockRecheck != nil {
			l.disabled.beforeClockRecheck()
		}
		after := l.cfg.Timer.Now()
		inTime := int64(after.Sub(l.started)) < b.validUntil() && after.Sub(at) < _maxChargeDuration
		if inTime || l.disabled.clockRecheck {
			mark := b.mark()
			if tracked {
				l.requests.recordCharge(key, charge, mark)
			}

			return Outcome{
				Status: Admitted,
				Reservation: Reservation{
					Workspace: key.workspace,
					RequestID: key.id,
					Charged:   charge,
					At:        at,
					mark:      mark,
					tracked:   tracked,
				},
			}
		}
		b.level += float64(charge)
	}
}

// refusedOutcome returns a refusal whose RetryAfter is the time until the bucket
// has enough tokens, at the workspace's rate and without other requests. The
// bucket's lock is held.
func (l *Ledger) refusedOutcome(b *bucket, tokens float64) Outcome {
	short := tokens - max(0, b.level)
	after := _maxRetryAfter
	if b.limit.RateTokensPerSecond > 0 {
		after = time.Duration(min(short/b.limit.RateTokensPerSecond, after.Seconds()) * float64(time.Second))
	}

	return Outcome{
		Status:     Refused,
		RetryAfter: max(_minRetryAfter, after),
		Available:  b.level,
	}
}

// waiter is a request that waits for loans.
type waiter struct {
	key      requestKey
	tokens   int64
	charge   int64
	deadline int64
	done     func(o Outcome)
}

// enqueueWaiter queues a request that lacks tokens, and asks peers. It returns
// nil if too many requests wait already.
func (l *Ledger) enqueueWaiter(b *bucket, key requestKey, tokens int64, done func(o Outcome)) *waiter {
	now := l.now()
	charge, _ := l.requests.chargeFor(key, tokens)
	w := &waiter{
		key:      key,
		tokens:   tokens,
		charge:   charge,
		deadline: now + int64(_loanWaitTimeout),
		done:     done,
	}
	b.mu.Lock()
	if len(b.waiters) >= _maxWaiters || b.closed {
		b.mu.Unlock()

		return nil
	}
	b.waiters = append(b.waiters, w)
	asks := newAskBatch(l)
	b.planAsks(now, asks)
	b.mu.Unlock()
	asks.send()

	return w
}

// removeWaiter removes a request from the queue. It reports false if the request
// was answered already.
func (l *Ledger) removeWaiter(b *bucket, w *waiter) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := slices.Index(b.waiters, w)
	if i < 0 {
		return false
	}
	b.waiters = slices.Delete(b.waiters, i, i+1)

	return true
}

// waiterResult is a waiter and its outcome, to be delivered without the lock.
type waiterResult struct {
	waiter  *waiter
	outcome Outcome
}

// serveWaiters removes and returns the waiters that can be admitted or whose
// deadline has passed. The bucket's lock is held.
func (l *Ledger) serveWaiters(b *bucket) []waiterResult {
	if len(b.waiters) == 0 {
		return nil
	}
	var answered []waiterResult
	now := l.now()
	kept := b.waiters[:0]
	for _, w := range b.waiters {
		short := float64(w.charge) > b.level
		if short && now < w.deadline {
			kept = append(kept, w)

			continue
		}
		outcome := l.refusedOutcome(b, float64(w.charge))
		if !short {
			outcome = l.charge(b, w.key, w.tokens)
		}
		if outcome.Status == Refused && now < w.deadline {
			kept = append(kept, w)

			continue
		}
		answered = append(answered, waiterResult{
			waiter:  w,
			outcome: outcome,
		})
	}
	clear(b.waiters[len(kept):])
	b.waiters = kept

	return answered
}

func notifyWaiters(answered []waiterResult) {
	for _, s := range answered {
		s.waiter.done(s.outcome)
	}
}

// close refuses all waiting requests, and stops the bucket from queueing more.
func (b *bucket) close() {
	b.mu.Lock()
	waiters := b.waiters
	b.waiters, b.closed = nil, true
	b.mu.Unlock()
	for _, w := range waiters {
		w.done(Outcome{
			Status:     Refused,
			RetryAfter: _minRetryAfter,
		})
	}
}

// newBucket returns an empty bucket with this instance's share. l.mu is held.
func (l *Ledger) newBucket(workspace string, now int64) *bucket {
	b := &bucket{
		updatedAt:      now,
		term:           -1,
		baseExpiresAt:  _never,
		nextLoanExpiry: _never,
	}
	b.unmet = map[string]int64{}
	l.setShares(b, workspace)

	return b
}

// now returns the time of the ledger's clock in nanoseconds.
func (l *Ledger) now() int64 {
	return int64(l.cfg.Timer.Now().Sub(l.started))
}
