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
	// _askPause is the least time between two rounds of asking for a
	// workspace, and between two rounds of recalling.
	_askPause    = 10 * time.Millisecond
	_recallPause = 50 * time.Millisecond
	// _calmPause stands for _askPause while no request waits.
	_calmPause = 100 * time.Millisecond
	// _roundMemory is how long a round of asking widens the next.
	_roundMemory = 60 * time.Millisecond
	// A peer that had nothing to lend is left alone for a while that doubles.
	_minDry = 10 * time.Millisecond
	_maxDry = 320 * time.Millisecond
	// _dryPart is the part of a want below which a peer had nothing.
	_dryPart = 0.1
	// _membersPerDry is the number of members over which _maxDry grows.
	_membersPerDry = 60
	// _unmetMemory is how long an asker that got too little counts.
	_unmetMemory = time.Second
	// _lowWater is the demand that the level should cover, and _rateWater that
	// below which the refill should cover the demand.
	_lowWater  = 300 * time.Millisecond
	_rateWater = time.Second
	// _keepTime is the demand whose tokens a lender keeps.
	_keepTime = 150 * time.Millisecond
	// _minLoanPart and _minLoanLife bound the smallest loan.
	_minLoanPart = 0.002
	_minLoanLife = 20 * time.Millisecond
	// _loanPercent is the life of a loan in percent of that of evidence.
	_loanPercent = 60
	// Clocks of two instances differ by less than one part in _driftParts.
	_driftParts  = 50
	_driftMargin = time.Millisecond
)

// lending is what a bucket knows of its peers.
type lending struct {
	workspace string
	// homes are the peers with base shares.
	homes       []*lender
	askAfter    int64
	recallAfter int64
	// askedAt, width and turn are the time of the last round of asking, the
	// number of homes asked in it, and the first of them.
	askedAt int64
	width   int
	turn    int
	// unmet has the askers that got too little, with the time.
	unmet map[string]int64
	// declines alternates the answers to extensions while some are unmet.
	declines int
	maxDry   time.Duration
}

// lender is a peer that may lend.
type lender struct {
	instance string
	dryUntil int64
	dryFor   time.Duration
}

// lookAhead asks for what buckets will soon be short of, extends and returns
// loans, and answers the requests that waited long enough.
func (l *Ledger) lookAhead() {
	asks := newAskBatch(l)
	buckets := l.buckets.Load().all
	answered := make([]served, 0, len(buckets))
	for _, b := range buckets {
		b.mu.Lock()
		now := l.now()
		b.advance(now, *l.current.Load())
		answered = append(answered, l.serve(b)...)
		b.plan(now, asks)
		b.mu.Unlock()
	}
	finish(answered)
	asks.send()
}

// plan adds to asks what the bucket needs of peers. Its lock is held.
func (b *bucket) plan(now int64, asks *askBatch) {
	b.renew(now, asks)
	tokens, rate := b.shortage(now)
	if tokens <= 0 && rate <= 0 || now < b.askAfter {
		return
	}
	urgent := len(b.waiters) > 0
	b.askAfter = now + int64(_askPause)
	if !urgent {
		b.askAfter = now + int64(_calmPause)
	}
	want := wire.QuotaWant{
		Workspace:           b.workspace,
		Tokens:              max(0, tokens),
		RateTokensPerSecond: max(0, rate) * float64(time.Second),
	}
	b.recall(now, "", want, asks)
	peers := b.choose(now, want)
	for _, home := range peers {
		ask := asks.to(home.instance)
		ask.Wants = append(ask.Wants, partOf(want, 1/float64(len(peers))))
	}
}

// choose returns the homes to ask, in turn: as few as probably have enough,
// and twice as many in each round that soon follows another.
func (b *bucket) choose(now int64, want wire.QuotaWant) []*lender {
	able := make([]*lender, 0, len(b.homes))
	for _, home := range b.homes {
		if home.dryUntil <= now {
			able = append(able, home)
		}
	}
	if len(able) == 0 {
		return nil
	}
	b.width *= 2
	if now-b.askedAt > int64(_roundMemory) {
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

func partOf(want wire.QuotaWant, part float64) wire.QuotaWant {
	want.Tokens *= part
	want.RateTokensPerSecond *= part

	return want
}

// shortage is what the bucket should get of peers, in tokens and in tokens a
// nanosecond; not positive if it has enough.
func (b *bucket) shortage(now int64) (tokens, rate float64) {
	need := b.need(now)
	have := b.rate
	for _, s := range b.borrowed {
		if s.declined {
			have -= s.rate
		}
	}
	if need > 0 {
		tokens = max(b.largest, need*float64(_lowWater)) - b.level
	}
	if b.level < need*float64(_rateWater) {
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

// renew asks for the extension of loans that end soon, as far as they are
// needed, and gives back the rest.
func (b *bucket) renew(now int64, asks *askBatch) {
	if len(b.borrowed) == 0 {
		return
	}
	surplus := b.rate - b.need(now)
	b.giveBack(func(s slice) float64 {
		left := s.until - now
		ending := left <= int64(2*_lendTick)
		if left > int64(asks.loanLife)/2 || s.declined && !ending {
			return 0
		}
		part := surplusPart(&surplus, s)
		if ending || part >= _wholePart {
			return 1
		}
		if len(b.waiters) > 0 {
			part = 0
		}
		ask := asks.to(s.peer)
		ask.Extend = append(ask.Extend, wire.QuotaLoanRef{
			Workspace: b.workspace,
			ID:        s.id,
		})

		return part
	}, asks.giveBack)
}

// surplusPart is the part of a loan that a surplus of rate allows to give
// back; it lowers the surplus by it.
func surplusPart(surplus *float64, s slice) float64 {
	if *surplus <= 0 || s.rate <= 0 {
		return 0
	}
	part := min(1, *surplus/s.rate)
	*surplus -= part * s.rate

	return part
}

// recall asks the borrowers, except one, to return what they can spare of a
// want.
func (b *bucket) recall(now int64, except string, want wire.QuotaWant, asks *askBatch) {
	if now < b.recallAfter || len(b.lent) == 0 {
		return
	}
	b.recallAfter = now + int64(_recallPause)
	for _, s := range b.lent {
		if s.peer != except {
			ask := asks.to(s.peer)
			ask.Recall = append(ask.Recall, partOf(want, 1/float64(len(b.lent))))
		}
	}
}

// HandleAsk answers a peer. It is safe for concurrent use and calls nobody.
func (l *Ledger) HandleAsk(ask wire.QuotaAsk) wire.QuotaAnswer {
	l.adopt(ask.Table, "peer "+ask.From)
	answer := l.stand(ask)
	buckets := l.buckets.Load().byName
	recalls := newAskBatch(l)
	for _, ref := range ask.Returns {
		l.withBucket(buckets[ref.Workspace], func(b *bucket, _ int64) { b.takeBack(ref, ask.From) })
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
			b.yield(ask.From, want, now, func(_ string, ref wire.QuotaLoanRef) { answer.Returns = append(answer.Returns, ref) })
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

// withBucket runs fn on a bucket up to date, if there is one.
func (l *Ledger) withBucket(b *bucket, fn func(b *bucket, now int64)) {
	if b == nil {
		return
	}
	b.mu.Lock()
	now := l.now()
	b.advance(now, *l.current.Load())
	fn(b, now)
	answered := l.serve(b)
	b.mu.Unlock()
	finish(answered)
}

// lend debits a loan and returns it; none if the bucket has nothing to spare.
func (l *Ledger) lend(b *bucket, want wire.QuotaWant, borrower string, now int64, recalls *askBatch) []wire.QuotaLoan {
	life := l.loanLife(now)
	size, rate := b.own()
	fair := b.fairPart(borrower, now)
	part := b.spare(partOf(want, 1/fair), rate, now) * fair
	if size <= 0 || part*b.level < want.Tokens/2 || part*rate*float64(time.Second) < want.RateTokensPerSecond/2 {
		b.unmet[borrower] = now
		b.recall(now, borrower, want, recalls)
	} else {
		delete(b.unmet, borrower)
	}
	if part < _minLoanPart || life < _minLoanLife {
		return nil
	}
	known := b.lentTo(borrower) >= 0
	loan, tokens := b.lend(part, slice{
		id:    int(l.loans.Add(1)),
		peer:  borrower,
		until: now + lenderLife(life),
	})
	if l.off.debitFirst {
		b.lent = slices.Delete(b.lent, b.lentTo(borrower), b.lentTo(borrower)+1)
		b.resize()
		b.level += tokens
	}
	l.cfg.Log.Write(event.QuotaLent, zap.String("Workspace", b.workspace), zap.String("Borrower", borrower),
		zap.Float64("Part", part), zap.Float64("Tokens", tokens), zap.Duration("GoodFor", life))

	return []wire.QuotaLoan{{
		ID:                  loan.id,
		New:                 !known,
		Workspace:           b.workspace,
		Tokens:              tokens,
		RateTokensPerSecond: loan.rate * float64(time.Second),
		BurstTokens:         loan.size,
		GoodForNanoseconds:  int(life),
	}}
}

// spare is the part of the bucket that meets a want, as far as this instance
// doesn't need it for its own calls. A part of the bucket is as much of its
// tokens as of its size, and of a refill of rate.
func (b *bucket) spare(want wire.QuotaWant, rate float64, now int64) float64 {
	if len(b.waiters) > 0 || b.size <= 0 {
		return 0
	}
	need := b.need(now)
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
	spareTokens := max(0, 1-max(b.largest, need*float64(_keepTime))/max(b.level, 1))
	spareRate := max(0, 1-need/max(rate, _smallest))

	return min(spareTokens, max(wantedTokens, min(wantedRate, spareRate)))
}

// fairPart leaves something for the other askers that got too little lately.
func (b *bucket) fairPart(borrower string, now int64) float64 {
	others := 0
	for name, at := range b.unmet {
		if now-at > int64(_unmetMemory) {
			delete(b.unmet, name)

			continue
		}
		if name != borrower {
			others++
		}
	}

	return 1 / float64(1+others)
}

// extend makes a loan good for life from now on, unless this instance needs
// it. While others are unmet every second one is declined, so that loans move.
func (b *bucket) extend(id int, borrower string, now int64, life time.Duration) bool {
	i := slices.IndexFunc(b.lent, func(s slice) bool { return s.id == id && s.peer == borrower })
	_, rate := b.own()
	if i < 0 || life < _minLoanLife || len(b.waiters) > 0 || b.need(now) > rate {
		return false
	}
	if b.fairPart(borrower, now) < 1 {
		b.declines++
		if b.declines%2 == 1 {
			return false
		}
	}
	b.lent[i].until = max(b.lent[i].until, now+lenderLife(life))
	b.findNextEnd()

	return true
}

// yield gives back what a lender wants of its loan and this instance can
// spare; all of it when no calls come here.
func (b *bucket) yield(lender string, want wire.QuotaWant, now int64, give func(lender string, ref wire.QuotaLoanRef)) {
	part := b.spare(want, b.rate, now)
	if b.need(now) <= 0 && len(b.waiters) == 0 {
		part = 1
	}
	if part < _minLoanPart {
		return
	}
	size := b.size
	b.giveBack(func(s slice) float64 {
		if s.peer != lender {
			return 0
		}

		return min(1, part*size/max(s.size, _smallest))
	}, give)
}

// handleAnswer takes in what a peer answered to an ask that left at askedAt.
func (l *Ledger) handleAnswer(peer string, askedAt int64, ask wire.QuotaAsk, answer wire.QuotaAnswer, err error) {
	buckets := l.buckets.Load().byName
	if err != nil {
		for _, want := range ask.Wants {
			l.withBucket(buckets[want.Workspace], func(b *bucket, now int64) { b.markDry(peer, now) })
		}

		return
	}
	l.learn(askedAt, answer)
	for _, ref := range answer.Returns {
		l.withBucket(buckets[ref.Workspace], func(b *bucket, _ int64) { b.takeBack(ref, peer) })
	}
	for _, ref := range ask.Extend {
		l.withBucket(buckets[ref.Workspace], func(b *bucket, _ int64) {
			b.extended(ref.ID, peer, slices.Contains(answer.Extended, ref), askedAt+int64(answer.ExtendedForNanoseconds))
		})
	}
	for _, want := range ask.Wants {
		l.withBucket(buckets[want.Workspace], func(b *bucket, now int64) { l.receive(b, peer, askedAt, now, want, answer.Loans) })
	}
}

// receive takes in the loans of a workspace. One whose time is over already,
// counted from the asking, is dropped.
func (l *Ledger) receive(b *bucket, peer string, askedAt, now int64, want wire.QuotaWant, loans []wire.QuotaLoan) {
	met := false
	for _, loan := range loans {
		until := askedAt + int64(loan.GoodForNanoseconds)
		if loan.Workspace != b.workspace || until <= now || b.closed {
			continue
		}
		b.borrow(slice{
			id:    loan.ID,
			peer:  peer,
			rate:  loan.RateTokensPerSecond / float64(time.Second),
			size:  loan.BurstTokens,
			until: until,
		}, loan.New, loan.Tokens)
		met = met || loan.Tokens >= want.Tokens*_dryPart || loan.RateTokensPerSecond >= want.RateTokensPerSecond*_dryPart
	}
	if met {
		b.markAble(peer)
	} else {
		b.markDry(peer, now)
	}
	if len(b.waiters) > 0 {
		b.askAfter = now
	}
}

func (b *bucket) markDry(peer string, now int64) {
	for _, home := range b.homes {
		if home.instance == peer {
			home.dryFor = min(max(_minDry, 2*home.dryFor), b.maxDry)
			home.dryUntil = now + int64(home.dryFor)
		}
	}
}

func (b *bucket) markAble(peer string) {
	for _, home := range b.homes {
		if home.instance == peer {
			home.dryFor, home.dryUntil = 0, 0
		}
	}
}

// extended notes the answer to an extension. A loan that has ended stays so.
func (b *bucket) extended(id int, peer string, granted bool, until int64) {
	for i := range b.borrowed {
		s := &b.borrowed[i]
		if s.id != id || s.peer != peer {
			continue
		}
		s.declined = !granted
		if granted {
			s.until = max(s.until, until)
		}
	}
	b.findNextEnd()
}

// returnAll gives all borrowed loans back.
func (l *Ledger) returnAll() {
	asks := newAskBatch(l)
	for _, b := range l.buckets.Load().all {
		l.withBucket(b, func(b *bucket, _ int64) {
			b.giveBack(func(slice) float64 { return 1 }, asks.giveBack)
		})
	}
	asks.send()
}

// loanLife is how long a loan made now may last: it ends before this
// instance's right to its base share may.
func (l *Ledger) loanLife(now int64) time.Duration {
	left := time.Duration(l.current.Load().until - now)
	left -= left/_driftParts + _driftMargin

	return min(l.cfg.EvidenceLife*_loanPercent/100, left)
}

// lenderLife is how long a lender counts a loan as lent that its borrower
// counts for life, on a clock that may be slower.
func lenderLife(life time.Duration) int64 {
	return int64(life + life/_driftParts + _driftMargin)
}

// askBatch gathers one ask for each peer.
type askBatch struct {
	ledger   *Ledger
	loanLife time.Duration
	asks     []*wire.QuotaAsk
	peers    []string
}

func newAskBatch(l *Ledger) *askBatch {
	return &askBatch{
		ledger:   l,
		loanLife: l.cfg.EvidenceLife * _loanPercent / 100,
	}
}

// to returns the ask to a peer.
func (a *askBatch) to(peer string) *wire.QuotaAsk {
	if i := slices.Index(a.peers, peer); i >= 0 {
		return a.asks[i]
	}
	a.peers = append(a.peers, peer)
	a.asks = append(a.asks, &wire.QuotaAsk{})

	return a.asks[len(a.asks)-1]
}

// giveBack adds what is given back to the ask to a lender.
func (a *askBatch) giveBack(lender string, ref wire.QuotaLoanRef) {
	ask := a.to(lender)
	ask.Returns = append(ask.Returns, ref)
}

func (a *askBatch) send() {
	for i, ask := range a.asks {
		a.ledger.ask(a.peers[i], *ask, nil)
	}
}

// ask sends an ask; then, if not nil, is called with the answer afterwards.
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

// call sends over the network, in a goroutine of its own.
func (l *Ledger) call(peer string, ask wire.QuotaAsk, done func(answer wire.QuotaAnswer, err error)) {
	if l.inFlight.Add(1) > _maxInFlight {
		l.inFlight.Add(-1)
		done(wire.QuotaAnswer{}, eris.Errorf("quota: ask %s: %d calls under way", peer, _maxInFlight))

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
