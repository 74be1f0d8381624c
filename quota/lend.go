package quota

import (
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"papayastair.dev/papayastair/event"
	"papayastair.dev/papayastair/wire"
)

const (
	// _askInterval is the minimum time between two rounds of requests for loans of
	// a workspace, and _recallInterval that between two rounds of recalls.
	_askInterval    = 10 * time.Millisecond
	_recallInterval = 50 * time.Millisecond
	// _idleAskInterval replaces _askInterval while no request waits.
	_idleAskInterval = 100 * time.Millisecond
	// _askRoundWindow is the time within which the next round asks more peers.
	_askRoundWindow = 60 * time.Millisecond
	// A peer with nothing to lend isn't asked during a backoff that doubles from
	// _minBackoff to _maxBackoff.
	_minBackoff = 10 * time.Millisecond
	_maxBackoff = 320 * time.Millisecond
	// _minUsefulFraction is the fraction of a want below which a loan counts as
	// none.
	_minUsefulFraction = 0.1
	// _membersPerBackoffStep is the number of members that adds one _maxBackoff to
	// the longest backoff.
	_membersPerBackoffStep = 60
	// _unmetRetention is the time for which a peer that was lent too little counts
	// as unmet.
	_unmetRetention = time.Second
	// _levelTarget is the time of demand that the level should cover. While the
	// level covers less than _rateTarget, the refill rate should cover the demand.
	_levelTarget = 300 * time.Millisecond
	_rateTarget  = time.Second
	// _lenderReserve is the time of demand whose tokens a lender keeps.
	_lenderReserve = 150 * time.Millisecond
	// _minLoanFraction and _minLoanTTL bound the smallest loan.
	_minLoanFraction = 0.002
	_minLoanTTL      = 20 * time.Millisecond
	// _loanTTLPercent is the longest TTL of a loan in percent of EvidenceTTL.
	_loanTTLPercent = 60
	// The clocks of two instances drift by less than 1/_clockDriftDivisor.
	_clockDriftDivisor = 50
	_clockDriftMargin  = time.Millisecond
)

// lendingState is the part of a bucket that deals with loans from and to peers.
type lendingState struct {
	workspace string
	// homes are the peers with base shares.
	homes       []*lender
	askAfter    int64
	recallAfter int64
	// askedAt is the time of the last round of requests, width the number of homes
	// asked in it. turn counts the rounds, and selects the first home to ask.
	askedAt int64
	width   int
	turn    int
	// unmet has the peers that were lent too little, with the time.
	unmet map[string]int64
	// declines alternates the answers to extensions while peers are unmet.
	declines   int
	maxBackoff time.Duration
}

// lender is a peer that may lend.
type lender struct {
	instance string
	retryAt  int64
	backoff  time.Duration
}

// maintainLoans requests the tokens that buckets will soon lack, extends and
// returns loans, and answers the waiters whose deadline has passed.
func (l *Ledger) maintainLoans() {
	asks := newAskBatch(l)
	buckets := l.buckets.Load().all
	answered := make([]waiterResult, 0, len(buckets))
	for _, b := range buckets {
		b.mu.Lock()
		now := l.now()
		b.advance(now, *l.current.Load())
		answered = append(answered, l.serveWaiters(b)...)
		b.planAsks(now, asks)
		b.mu.Unlock()
	}
	notifyWaiters(answered)
	asks.send()
}

// planAsks adds the bucket's requests to peers to asks. The bucket's lock is
// held.
func (b *bucket) planAsks(now int64, asks *askBatch) {
	b.renewLoans(now, asks)
	tokens, rate := b.shortage(now)
	if tokens <= 0 && rate <= 0 || now < b.askAfter {
		return
	}
	urgent := len(b.waiters) > 0
	b.askAfter = now + int64(_askInterval)
	if !urgent {
		b.askAfter = now + int64(_idleAskInterval)
	}
	want := wire.QuotaWant{
		Workspace:           b.workspace,
		Tokens:              max(0, tokens),
		RateTokensPerSecond: max(0, rate) * float64(time.Second),
	}
	b.recall(now, "", want, asks)
	peers := b.selectPeers(now, want)
	for _, home := range peers {
		ask := asks.to(home.instance)
		ask.Wants = append(ask.Wants, scaleWant(want, 1/float64(len(peers))))
	}
}

// selectPeers returns the homes to ask, in rotation: as few as are likely to
// have enough, and twice as many in each round that soon follows another.
func (b *bucket) selectPeers(now int64, want wire.QuotaWant) []*lender {
	able := make([]*lender, 0, len(b.homes))
	for _, home := range b.homes {
		if home.retryAt <= now {
			able = append(able, home)
		}
	}
	if len(able) == 0 {
		return nil
	}
	b.width *= 2
	if now-b.askedAt > int64(_askRoundWindow) {
		share := 1 / float64(len(b.homes)+1) / 2
		b.width = 1 + int(max(want.Tokens/(share*b.limit.BurstTokens+1), want.RateTokensPerSecond/(share*b.limit.RateTokensPerSecond+1)))
	}
	b.askedAt = now
	b.turn++
	width := min(b.width, len(able))
	peers := make([]*lender, 0, width)
	for i := range width {
		peers = append(peers, able[(b.turn+i)%len(able)])
	}
	b.width = width

	return peers
}

func scaleWant(want wire.QuotaWant, fraction float64) wire.QuotaWant {
	want.Tokens *= fraction
	want.RateTokensPerSecond *= fraction

	return want
}

// shortage returns the tokens, and the rate in tokens per nanosecond, that the
// bucket should borrow. They are not positive if it has enough.
func (b *bucket) shortage(now int64) (tokens, rate float64) {
	need := b.requiredRate(now)
	have := b.rate
	for _, s := range b.borrowed {
		if s.declined {
			have -= s.rate
		}
	}
	if need > 0 {
		tokens = max(b.largestRequest, need*float64(_levelTarget)) - b.level
	}
	if b.level < need*float64(_rateTarget) {
		rate = need - have
	}
	if len(b.waiters) > 0 {
		waiting := -b.level
		for _, w := range b.waiters {
			waiting += float64(w.tokens)
		}
		tokens = max(tokens, waiting)
	}

	return min(tokens, b.limit.BurstTokens), rate
}

// renewLoans requests the extension of needed loans that expire soon, and returns
// the others.
func (b *bucket) renewLoans(now int64, asks *askBatch) {
	if len(b.borrowed) == 0 {
		return
	}
	surplus := b.rate - b.requiredRate(now)
	b.returnLoans(func(s loanRecord) float64 {
		left := s.expiresAt - now
		ending := left <= int64(2*_lendInterval)
		if left > int64(asks.loanTTL)/2 || s.declined && !ending {
			return 0
		}
		fraction := surplusFraction(&surplus, s)
		if ending || fraction >= _fullReturnFraction {
			return 1
		}
		if len(b.waiters) > 0 {
			fraction = 0
		}
		ask := asks.to(s.peer)
		ask.Extend = append(ask.Extend, wire.QuotaLoanRef{
			Workspace: b.workspace,
			ID:        s.id,
		})

		return fraction
	}, asks.addReturn)
}

// surplusFraction returns the fraction of a loan that can be returned out of a
// surplus of rate, and reduces the surplus by it.
func surplusFraction(surplus *float64, s loanRecord) float64 {
	if *surplus <= 0 || s.rate <= 0 {
		return 0
	}
	fraction := min(1, *surplus/s.rate)
	*surplus -= fraction * s.rate

	return fraction
}

// recall asks all borrowers but one to return what they can spare of a want.
func (b *bucket) recall(now int64, except string, want wire.QuotaWant, asks *askBatch) {
	if now < b.recallAfter || len(b.lent) == 0 {
		return
	}
	b.recallAfter = now + int64(_recallInterval)
	for _, s := range b.lent {
		if s.peer != except {
			ask := asks.to(s.peer)
			ask.Recall = append(ask.Recall, scaleWant(want, 1/float64(len(b.lent))))
		}
	}
}

// HandleAsk answers a request of a peer. It is safe for concurrent use and doesn't
// wait for other instances.
func (l *Ledger) HandleAsk(ask wire.QuotaAsk) wire.QuotaAnswer {
	l.adopt(ask.Table, "peer "+ask.From)
	answer := l.tableAnswer(ask)
	buckets := l.buckets.Load().byName
	recalls := newAskBatch(l)
	for _, ref := range ask.Returns {
		l.withBucket(buckets[ref.Workspace], func(b *bucket, _ int64) { b.acceptReturn(ref, ask.From) })
	}
	for _, ref := range ask.Extend {
		l.withBucket(buckets[ref.Workspace], func(b *bucket, now int64) {
			if b.extend(ref.ID, ask.From, now, time.Duration(answer.ExtendedForNanoseconds)) {
				answer.Extended = append(answer.Extended, ref)
			}
		})
	}
	for _, want := range ask.Recall {
		l.withBucket(buckets[want.Workspace], func(b *bucket, now int64) {
			b.returnRecalled(ask.From, want, now, func(_ string, ref wire.QuotaLoanRef) { answer.Returns = append(answer.Returns, ref) })
		})
	}
	for _, want := range ask.Wants {
		l.withBucket(buckets[want.Workspace], func(b *bucket, now int64) {
			answer.Loans = append(answer.Loans, l.lend(b, want, ask.From, now, recalls)...)
		})
	}
	recalls.send()

	return answer
}

// withBucket advances a bucket and calls fn with its lock held. It does nothing if
// b is nil.
func (l *Ledger) withBucket(b *bucket, fn func(b *bucket, now int64)) {
	if b == nil {
		return
	}
	b.mu.Lock()
	now := l.now()
	b.advance(now, *l.current.Load())
	fn(b, now)
	answered := l.serveWaiters(b)
	b.mu.Unlock()
	notifyWaiters(answered)
}

// lend debits a loan and returns it, or nil if the bucket has nothing to spare.
func (l *Ledger) lend(b *bucket, want wire.QuotaWant, borrower string, now int64, recalls *askBatch) []wire.QuotaLoan {
	ttl := l.loanTTL(now)
	size, rate := b.unlentBase()
	fair := b.fairFraction(borrower, now)
	fraction := b.spareFraction(scaleWant(want, 1/fair), rate, now) * fair
	if size <= 0 || fraction*b.level < want.Tokens/2 || fraction*rate*float64(time.Second) < want.RateTokensPerSecond/2 {
		b.unmet[borrower] = now
		b.recall(now, borrower, want, recalls)
	} else {
		delete(b.unmet, borrower)
	}
	if fraction < _minLoanFraction || ttl < _minLoanTTL {
		return nil
	}
	known := b.loanIndex(borrower) >= 0
	loan, tokens := b.lend(fraction, loanRecord{
		id:        int(l.loans.Add(1)),
		peer:      borrower,
		expiresAt: now + lenderTTL(ttl),
	})
	if l.disabled.debitBeforeReply {
		b.lent = slices.Delete(b.lent, b.loanIndex(borrower), b.loanIndex(borrower)+1)
		b.resize()
		b.level += tokens
	}
	l.cfg.Log.Write(event.QuotaLent, zap.String("Workspace", b.workspace), zap.String("Borrower", borrower),
		zap.Float64("Part", fraction), zap.Float64("Tokens", tokens), zap.Duration("GoodFor", ttl))

	return []wire.QuotaLoan{{
		ID:                  loan.id,
		New:                 !known,
		Workspace:           b.workspace,
		Tokens:              tokens,
		RateTokensPerSecond: loan.rate * float64(time.Second),
		BurstTokens:         loan.size,
		GoodForNanoseconds:  int(ttl),
	}}
}

// spareFraction returns the fraction of the bucket that satisfies a want, limited
// to what this instance doesn't need for its own calls. A fraction of the bucket
// is the same fraction of its tokens, its size and the given refill rate.
func (b *bucket) spareFraction(want wire.QuotaWant, rate float64, now int64) float64 {
	if len(b.waiters) > 0 || b.size <= 0 {
		return 0
	}
	need := b.requiredRate(now)
	wantedTokens, wantedRate := 0.0, 0.0
	if want.Tokens > 0 && b.level > 1 {
		wantedTokens = want.Tokens / b.level
	}
	if want.RateTokensPerSecond > 0 && rate > 0 {
		wantedRate = want.RateTokensPerSecond / float64(time.Second) / rate
	}
	if need <= 0 {
		return min(1, max(wantedTokens, wantedRate))
	}
	spareTokens := max(0, 1-max(b.largestRequest, need*float64(_lenderReserve))/max(b.level, 1))
	spareRate := max(0, 1-need/max(rate, _epsilon))

	return min(spareTokens, max(wantedTokens, min(wantedRate, spareRate)))
}

// fairFraction returns the fraction to lend to a borrower, an equal share among
// it and the other peers that were recently lent too little.
func (b *bucket) fairFraction(borrower string, now int64) float64 {
	others := 0
	for name, at := range b.unmet {
		if now-at > int64(_unmetRetention) {
			delete(b.unmet, name)

			continue
		}
		if name != borrower {
			others++
		}
	}

	return 1 / float64(1+others)
}

// extend extends a loan to a TTL from now, unless this instance needs it. While
// other peers are unmet it declines every second extension, so that loans move
// between borrowers.
func (b *bucket) extend(id int, borrower string, now int64, ttl time.Duration) bool {
	i := slices.IndexFunc(b.lent, func(s loanRecord) bool { return s.id == id && s.peer == borrower })
	_, rate := b.unlentBase()
	if i < 0 || ttl < _minLoanTTL || len(b.waiters) > 0 || b.requiredRate(now) > rate {
		return false
	}
	if b.fairFraction(borrower, now) < 1 {
		b.declines++
		if b.declines%2 == 1 {
			return false
		}
	}
	b.lent[i].expiresAt = max(b.lent[i].expiresAt, now+lenderTTL(ttl))
	b.updateNextLoanExpiry()

	return true
}

// returnRecalled returns the fraction of a recalled loan that this instance can
// spare, and all of it if no calls arrive here.
func (b *bucket) returnRecalled(lender string, want wire.QuotaWant, now int64, add func(lender string, ref wire.QuotaLoanRef)) {
	fraction := b.spareFraction(want, b.rate, now)
	if b.requiredRate(now) <= 0 && len(b.waiters) == 0 {
		fraction = 1
	}
	if fraction < _minLoanFraction {
		return
	}
	size := b.size
	b.returnLoans(func(s loanRecord) float64 {
		if s.peer != lender {
			return 0
		}

		return min(1, fraction*size/max(s.size, _epsilon))
	}, add)
}

// handleAnswer processes the answer of a peer to a request sent at askedAt.
func (l *Ledger) handleAnswer(peer string, askedAt int64, ask wire.QuotaAsk, answer wire.QuotaAnswer, err error) {
	buckets := l.buckets.Load().byName
	if err != nil {
		for _, want := range ask.Wants {
			l.withBucket(buckets[want.Workspace], func(b *bucket, now int64) { b.startBackoff(peer, now) })
		}

		return
	}
	l.mergeAnswer(askedAt, answer)
	for _, ref := range answer.Returns {
		l.withBucket(buckets[ref.Workspace], func(b *bucket, _ int64) { b.acceptReturn(ref, peer) })
	}
	for _, ref := range ask.Extend {
		l.withBucket(buckets[ref.Workspace], func(b *bucket, _ int64) {
			b.recordExtension(ref.ID, peer, slices.Contains(answer.Extended, ref), askedAt+int64(answer.ExtendedForNanoseconds))
		})
	}
	for _, want := range ask.Wants {
		l.withBucket(buckets[want.Workspace], func(b *bucket, now int64) { l.acceptLoans(b, peer, askedAt, now, want, answer.Loans) })
	}
}

// acceptLoans borrows the loans granted for a workspace. It drops those that have
// expired already, counted from the time of the request.
func (l *Ledger) acceptLoans(b *bucket, peer string, askedAt, now int64, want wire.QuotaWant, loans []wire.QuotaLoan) {
	met := false
	for _, loan := range loans {
		until := askedAt + int64(loan.GoodForNanoseconds)
		if loan.Workspace != b.workspace || until <= now || b.closed {
			continue
		}
		b.borrow(loanRecord{
			id:        loan.ID,
			peer:      peer,
			rate:      loan.RateTokensPerSecond / float64(time.Second),
			size:      loan.BurstTokens,
			expiresAt: until,
		}, loan.New, loan.Tokens)
		met = met || loan.Tokens >= want.Tokens*_minUsefulFraction || loan.RateTokensPerSecond >= want.RateTokensPerSecond*_minUsefulFraction
	}
	if met {
		b.resetBackoff(peer)
	} else {
		b.startBackoff(peer, now)
	}
	if len(b.waiters) > 0 {
		b.askAfter = now
	}
}

func (b *bucket) startBackoff(peer string, now int64) {
	for _, home := range b.homes {
		if home.instance == peer {
			home.backoff = min(max(_minBackoff, 2*home.backoff), b.maxBackoff)
			home.retryAt = now + int64(home.backoff)
		}
	}
}

func (b *bucket) resetBackoff(peer string) {
	for _, home := range b.homes {
		if home.instance == peer {
			home.backoff, home.retryAt = 0, 0
		}
	}
}

// recordExtension records the answer to a requested extension. It has no effect
// on a loan that has expired.
func (b *bucket) recordExtension(id int, peer string, granted bool, until int64) {
	for i := range b.borrowed {
		s := &b.borrowed[i]
		if s.id != id || s.peer != peer {
			continue
		}
		s.declined = !granted
		if granted {
			s.expiresAt = max(s.expiresAt, until)
		}
	}
	b.updateNextLoanExpiry()
}

// returnAll returns all borrowed loans.
func (l *Ledger) returnAll() {
	asks := newAskBatch(l)
	for _, b := range l.buckets.Load().all {
		l.withBucket(b, func(b *bucket, _ int64) {
			b.returnLoans(func(loanRecord) float64 { return 1 }, asks.addReturn)
		})
	}
	asks.send()
}

// loanTTL returns the TTL of a loan made now. The loan expires before this
// instance's base share can.
func (l *Ledger) loanTTL(now int64) time.Duration {
	left := time.Duration(l.current.Load().expiresAt - now)
	left -= left/_clockDriftDivisor + _clockDriftMargin

	return min(l.cfg.EvidenceTTL*_loanTTLPercent/100, left)
}

// lenderTTL returns the time for which a lender counts a loan as lent whose
// borrower counts it for ttl, on a clock that may be slower.
func lenderTTL(ttl time.Duration) int64 {
	return int64(ttl + ttl/_clockDriftDivisor + _clockDriftMargin)
}

// askBatch collects at most one request per peer.
type askBatch struct {
	ledger  *Ledger
	loanTTL time.Duration
	asks    []*wire.QuotaAsk
	peers   []string
}

func newAskBatch(l *Ledger) *askBatch {
	return &askBatch{
		ledger:  l,
		loanTTL: l.cfg.EvidenceTTL * _loanTTLPercent / 100,
	}
}

// to returns the request for a peer, which it creates if needed.
func (a *askBatch) to(peer string) *wire.QuotaAsk {
	if i := slices.Index(a.peers, peer); i >= 0 {
		return a.asks[i]
	}
	a.peers = append(a.peers, peer)
	a.asks = append(a.asks, &wire.QuotaAsk{})

	return a.asks[len(a.asks)-1]
}

// addReturn adds a returned loan to the request for its lender.
func (a *askBatch) addReturn(lender string, ref wire.QuotaLoanRef) {
	ask := a.to(lender)
	ask.Returns = append(ask.Returns, ref)
}

func (a *askBatch) send() {
	for i, ask := range a.asks {
		a.ledger.ask(a.peers[i], *ask, nil)
	}
}

// ask sends a request to a peer and processes the answer, then calls then with it
// unless then is nil.
func (l *Ledger) ask(peer string, ask wire.QuotaAsk, then func(answer wire.QuotaAnswer, err error)) {
	l.mu.Lock()
	ask.From, ask.Incarnation, ask.State = l.cfg.Self.Instance, l.cfg.Self.Incarnation, stateOf(l.table)
	l.mu.Unlock()
	askedAt := l.now()
	l.send(peer, ask, func(answer wire.QuotaAnswer, err error) {
		l.handleAnswer(peer, askedAt, ask, answer, err)
		if then != nil {
			then(answer, err)
		}
	})
}

// call sends a request over the network, in a goroutine of its own.
func (l *Ledger) call(peer string, ask wire.QuotaAsk, done func(answer wire.QuotaAnswer, err error)) {
	if l.inFlight.Add(1) > _maxInFlight {
		l.inFlight.Add(-1)
		done(wire.QuotaAnswer{}, eris.Errorf("quota: ask %s: %d calls in flight", peer, _maxInFlight))

		return
	}
	started := l.start(func() {
		defer l.inFlight.Add(-1)
		ctx, cancel := context.WithTimeout(context.Background(), _callTimeout)
		defer cancel()
		done(l.cfg.Ask(ctx, peer, ask))
	})
	if !started {
		l.inFlight.Add(-1)
	}
}
