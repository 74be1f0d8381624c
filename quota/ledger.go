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
	_defaultEvidenceLife = 5 * time.Second
	_callTimeout         = time.Second
	// _askWait bounds how long a request waits for loans.
	_askWait = 100 * time.Millisecond
	// _lendTick is the period in which buckets look ahead.
	_lendTick = 20 * time.Millisecond
	// _maxWaiters bounds the requests of a workspace that wait for loans.
	_maxWaiters = 64
	// _maxInFlight bounds the calls to peers that are under way; one more
	// is dropped as if it were lost.
	_maxInFlight = 256
	// _loanBits are the bits of a loan's ID below the incarnation.
	_loanBits = 20
	// _maxChargeTime bounds the time between the two looks at the clock.
	_maxChargeTime = 5 * time.Millisecond
	_minRetryAfter = 50 * time.Millisecond
	_maxRetryAfter = time.Minute
)

// Status is what became of a Reserve.
type Status int

// Statuses of an Outcome.
const (
	// Admitted means that the tokens are charged; call Settle.
	Admitted Status = iota
	// Refused means that the workspace is short of tokens; nothing was
	// charged, and RetryAfter says when to come back.
	Refused
	// TooLarge means that the request is larger than the workspace's burst
	// and can never be admitted.
	TooLarge
	// UnknownWorkspace means that no limit is set for the workspace; it isn't
	// served.
	UnknownWorkspace
)

// bucketSet holds the buckets of all workspaces; it is replaced, not changed.
type bucketSet struct {
	byName map[string]*bucket
	all    []*bucket
}

// Reservation is a charge that Settle ends.
type Reservation struct {
	Workspace string
	RequestID string
	// Charged is what was charged in tokens; less than asked for when the
	// same RequestID had been charged before.
	Charged int64
	// At is the time of the admission by the ledger's timer service.
	At      time.Time
	mark    uint64
	tracked bool
}

// Outcome answers a Reserve.
type Outcome struct {
	Status Status
	// RetryAfter is set with Refused.
	RetryAfter time.Duration
	// AtHand is what this instance held, in tokens, with Refused.
	AtHand float64
	// Reservation is set with Admitted.
	Reservation Reservation
}

// Config is what a Ledger needs. All fields but EvidenceLife and Log must be
// set.
type Config struct {
	// Self is this run of this instance.
	Self wire.QuotaMember
	// Timer is the clock.
	Timer *timer.Service
	// Ask calls HandleAsk of another instance. It must never send twice.
	Ask func(ctx context.Context, peer string, ask wire.QuotaAsk) (wire.QuotaAnswer, error)
	// Store holds the table of shares.
	Store objectstore.Store
	// EvidenceLife is how long evidence that the table is current counts,
	// and so how soon an instance that is cut off stops; the same on all
	// instances. 0 means 5 s.
	EvidenceLife time.Duration
	// Log may be nil.
	Log *event.Log
}

// Ledger keeps the tokens of all workspaces at this instance. Use New.
type Ledger struct {
	cfg     Config
	started time.Time
	buckets atomic.Pointer[bucketSet]
	current atomic.Pointer[evidence]
	records requests

	// mu guards the table and what is known of it; it is taken before the
	// lock of a bucket.
	mu    sync.Mutex
	table wire.QuotaTable
	// proof is the time of the evidence that the table is current, and
	// lapsedTerm the last term whose end was logged.
	proof      int64
	lapsedTerm int64
	live       []wire.QuotaMember
	change     changeDuty
	store      storeDuty
	vouch      vouchDuty
	turn       uint64
	// loans is the last ID of a loan. IDs begin at the incarnation, so that
	// those of an earlier run mean nothing to a later one.
	loans atomic.Int64

	// closing guards closed, so that no work starts after Close has begun
	// to wait.
	closing       sync.RWMutex
	closed        bool
	wg            conc.WaitGroup
	inFlight      atomic.Int64
	subscriptions []*timer.Subscription

	// run starts work that may wait; send calls a peer and hands on what
	// comes back. Tests replace them to stay in virtual time.
	run  func(work func())
	send func(peer string, ask wire.QuotaAsk, done func(answer wire.QuotaAnswer, err error))
	// off switches guards off, for tests that show what each is good for.
	off guards
}

// guards are the protections that a test may switch off.
type guards struct {
	clockAfterWork bool
	debitFirst     bool
	emptyStart     bool
	evidence       bool
	vouching       bool
	incarnation    bool
	// betweenTakeAndCheck runs between a charge and the look at the clock.
	betweenTakeAndCheck func()
}

// New returns a ledger that holds no tokens until it learns limits, members
// and the table of shares.
func New(cfg Config) *Ledger {
	l := newLedger(cfg)
	l.subscribe()

	return l
}

func newLedger(cfg Config) *Ledger {
	if cfg.EvidenceLife <= 0 {
		cfg.EvidenceLife = _defaultEvidenceLife
	}
	l := &Ledger{
		cfg:     cfg,
		started: cfg.Timer.Now(),
		proof:   _noProof,
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
		l.cfg.Timer.Every(_lendTick, func(time.Time) { l.lookAhead() }),
		l.cfg.Timer.Every(l.period()/4, func(time.Time) { l.keepEvidence() }),
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

// SetMembers tells the ledger which instances are live, itself included. It
// proposes a new table of shares when they differ from the table's.
func (l *Ledger) SetMembers(members []wire.QuotaMember) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.live = slices.Clone(members)
}

// Reserve charges a request with the most tokens that it can use, input and
// output. When the tokens at hand are short it asks peers once and waits a
// few milliseconds. A repeat of a RequestID is charged only for what it needs
// more than the tries before it. It is safe for concurrent use.
func (l *Ledger) Reserve(ctx context.Context, workspace, requestID string, tokens int64) Outcome {
	outcome := l.reserve(ctx, workspace, requestID, tokens)
	if outcome.Status != Admitted {
		l.cfg.Log.Write(event.QuotaRefused, zap.String("Workspace", workspace), zap.String("RequestID", requestID),
			zap.Int64("Tokens", tokens), zap.Float64("AtHand", outcome.AtHand), zap.Duration("RetryAfter", outcome.RetryAfter))
	}

	return outcome
}

func (l *Ledger) reserve(ctx context.Context, workspace, requestID string, tokens int64) Outcome {
	outcome, b, key := l.try(workspace, requestID, tokens)
	if outcome.Status != Refused {
		return outcome
	}
	done := make(chan Outcome, 1)
	w := l.wait(b, key, tokens, func(o Outcome) { done <- o })
	if w == nil {
		return outcome
	}
	select {
	case outcome = <-done:
	case <-ctx.Done():
		if l.leave(b, w) {
			return outcome
		}
		// It was answered at the same moment.
		outcome = <-done
	}

	return outcome
}

// Settle ends a reservation with the tokens that were used, 0 if the request
// never ran. What was charged over that is put back as far as the bucket
// would still hold it. Call it once for each admitted reservation.
func (l *Ledger) Settle(res Reservation, used int64) {
	refund, mark := l.records.settle(res, used)
	b := l.buckets.Load().byName[res.Workspace]
	if b == nil || refund <= 0 {
		return
	}
	b.mu.Lock()
	b.advance(l.now(), *l.current.Load())
	b.refund(mark, float64(refund))
	b.demand.add(b.at, -float64(refund))
	served := l.serve(b)
	b.mu.Unlock()
	finish(served)
}

// Close gives borrowed loans back, stops all work and waits for it.
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

// start runs work that may wait, unless the ledger is closed.
func (l *Ledger) start(work func()) bool {
	l.closing.RLock()
	defer l.closing.RUnlock()
	if l.closed {
		return false
	}
	l.run(work)

	return true
}

// try charges a request from the tokens at hand.
func (l *Ledger) try(workspace, requestID string, tokens int64) (Outcome, *bucket, requestKey) {
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
	b.wanted(b.at, float64(tokens))
	b.mu.Unlock()

	return outcome, b, key
}

// charge takes the tokens of a request, and looks at the clock after that:
// had the process been paused in between, what it took may have lapsed, or be
// there again for another request in the same moment. It then takes them anew.
// The bucket's lock is held.
func (l *Ledger) charge(b *bucket, key requestKey, tokens int64) Outcome {
	charge, tracked := l.records.price(key, tokens)
	for {
		at := l.cfg.Timer.Now()
		b.advance(int64(at.Sub(l.started)), *l.current.Load())
		if !b.take(float64(charge)) {
			return l.refused(b, float64(charge))
		}
		if l.off.betweenTakeAndCheck != nil {
			l.off.betweenTakeAndCheck()
		}
		after := l.cfg.Timer.Now()
		inTime := int64(after.Sub(l.started)) < b.validUntil() && after.Sub(at) < _maxChargeTime
		if inTime || l.off.clockAfterWork {
			mark := b.mark()
			if tracked {
				l.records.admit(key, charge, mark)
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

// refused says when enough tokens will be there if nobody else takes them.
// The bucket's lock is held.
func (l *Ledger) refused(b *bucket, tokens float64) Outcome {
	short := tokens - max(0, b.level)
	after := _maxRetryAfter
	if b.limit.RateTokensPerSecond > 0 {
		after = time.Duration(min(short/b.limit.RateTokensPerSecond, after.Seconds()) * float64(time.Second))
	}

	return Outcome{
		Status:     Refused,
		RetryAfter: max(_minRetryAfter, after),
		AtHand:     b.level,
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

// wait queues a request that was short, and asks peers. It returns nil when
// too many wait already.
func (l *Ledger) wait(b *bucket, key requestKey, tokens int64, done func(o Outcome)) *waiter {
	now := l.now()
	charge, _ := l.records.price(key, tokens)
	w := &waiter{
		key:      key,
		tokens:   tokens,
		charge:   charge,
		deadline: now + int64(_askWait),
		done:     done,
	}
	b.mu.Lock()
	if len(b.waiters) >= _maxWaiters || b.closed {
		b.mu.Unlock()

		return nil
	}
	b.waiters = append(b.waiters, w)
	asks := newAskBatch(l)
	b.plan(now, asks)
	b.mu.Unlock()
	asks.send()

	return w
}

// leave takes a request out of the queue; false if it was answered already.
func (l *Ledger) leave(b *bucket, w *waiter) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	i := slices.Index(b.waiters, w)
	if i < 0 {
		return false
	}
	b.waiters = slices.Delete(b.waiters, i, i+1)

	return true
}

// served is a waiter with its outcome, to be told without the lock.
type served struct {
	waiter  *waiter
	outcome Outcome
}

// serve answers the waiters that can be admitted or whose time is over. The
// bucket's lock is held.
func (l *Ledger) serve(b *bucket) []served {
	if len(b.waiters) == 0 {
		return nil
	}
	var answered []served
	now := l.now()
	kept := b.waiters[:0]
	for _, w := range b.waiters {
		short := float64(w.charge) > b.level
		if short && now < w.deadline {
			kept = append(kept, w)

			continue
		}
		outcome := l.refused(b, float64(w.charge))
		if !short {
			outcome = l.charge(b, w.key, w.tokens)
		}
		if outcome.Status == Refused && now < w.deadline {
			kept = append(kept, w)

			continue
		}
		answered = append(answered, served{
			waiter:  w,
			outcome: outcome,
		})
	}
	clear(b.waiters[len(kept):])
	b.waiters = kept

	return answered
}

func finish(answered []served) {
	for _, s := range answered {
		s.waiter.done(s.outcome)
	}
}

// close refuses all that wait, now and later.
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
		at:        now,
		term:      -1,
		baseUntil: _never,
		nextEnd:   _never,
	}
	b.unmet = map[string]int64{}
	l.setShares(b, workspace)

	return b
}

// now is the ledger's clock in nanoseconds.
func (l *Ledger) now() int64 {
	return int64(l.cfg.Timer.Now().Sub(l.started))
}
