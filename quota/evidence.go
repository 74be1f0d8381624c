package quota

import (
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	"papayastair.dev/papayastair/event"
	"papayastair.dev/papayastair/wire"
)

// Evidence is a time at which nothing newer than this instance's table was in
// force. A base share counts for EvidenceLife after it. It comes from a write
// to the table's object that succeeded, or, when the store is down, from the
// direct word of more than half of the table's members that they know nothing
// newer; a committed change has been acknowledged by more than half, who
// never again vouch for the table before it. Instances pass evidence on with
// its age, counted by the receiver from the moment of asking.

const (
	// _periods is the number of exchange periods in the life of evidence.
	_periods = 5
	// _relays is the number of members that renew evidence first, and
	// _membersPerRelay adds more in a large fleet.
	_relays          = 3
	_membersPerRelay = 60
	_noProof         = math.MinInt64 / 4
	// _tableSubject ranks the members by their turn in work on the table.
	_tableSubject = "QuotaTable"
)

// vouchDuty is a round of asking the members for their word.
type vouchDuty struct {
	startedAt int64
	round     int
	words     map[run]bool
}

// run is one run of an instance.
type run struct {
	instance    string
	incarnation int
}

func runOf(m wire.QuotaMember) run {
	return run{
		instance:    m.Instance,
		incarnation: m.Incarnation,
	}
}

// period is the time between two exchanges of an instance.
func (l *Ledger) period() time.Duration {
	return l.cfg.EvidenceLife / _periods
}

// keepEvidence renews evidence by peers, store or vouching, and drives
// changes of the table.
func (l *Ledger) keepEvidence() {
	l.mu.Lock()
	now := l.now()
	l.noteLapse(now)
	age := now - l.proof
	place := l.place()
	exchange := age >= int64(l.period())*3/4
	visit := age >= l.patience(1, place) || l.changeDue(now)
	vouch := age >= l.patience(2, place) && now-l.vouch.startedAt >= int64(l.period())
	l.mu.Unlock()
	if exchange {
		l.exchange()
	}
	if visit {
		l.visitStore()
	}
	if vouch {
		l.collectVouches()
	}
	l.driveChange()
}

// place is this instance's turn in work on the table, from 0. l.mu is held.
func (l *Ledger) place() int {
	members := l.live
	if len(members) == 0 {
		members = l.table.Members
	}
	ranked := rank(members, _tableSubject)
	i := slices.IndexFunc(ranked, func(m wire.QuotaMember) bool { return sameRun(m, l.cfg.Self) })
	if i < 0 {
		return len(ranked)
	}

	return i
}

// patience is the age of evidence at which the instance of a place does its
// part: the first after some periods, each relay a half later, all others
// shortly before the end, spread over a period.
func (l *Ledger) patience(periods float64, place int) int64 {
	if place < l.relays() {
		periods += float64(min(place, _relays)) / 2
	} else {
		periods = _periods - 2 + float64(place%10)/10
	}

	return int64(periods * float64(l.period()))
}

func (l *Ledger) relays() int {
	return _relays + len(l.live)/_membersPerRelay
}

// exchange asks one peer for its table and its evidence: in turn a relay and
// any other.
func (l *Ledger) exchange() {
	l.mu.Lock()
	l.turn++
	peers := slices.DeleteFunc(rank(l.live, _tableSubject), func(m wire.QuotaMember) bool { return m.Instance == l.cfg.Self.Instance })
	if len(peers) == 0 {
		l.mu.Unlock()

		return
	}
	choice := l.turn*7919 + uint64(l.cfg.Self.Incarnation) + uint64(l.place())
	if l.turn%2 == 0 {
		peers = peers[:min(l.relays(), len(peers))]
	}
	peer := peers[choice/2%uint64(len(peers))].Instance
	l.mu.Unlock()
	l.ask(peer, wire.QuotaAsk{}, nil)
}

// collectVouches asks all members for their word. More than half of them,
// this instance included, make evidence as of the start of the round.
func (l *Ledger) collectVouches() {
	l.mu.Lock()
	if l.table.Epoch == 0 {
		l.mu.Unlock()

		return
	}
	l.vouch.round++
	l.vouch.startedAt = l.now()
	l.vouch.words = map[run]bool{}
	round := l.vouch.round
	l.vouch.words[runOf(l.cfg.Self)] = true
	peers := l.involved()
	l.countVouches()
	l.mu.Unlock()
	for _, peer := range peers {
		l.ask(peer.Instance, wire.QuotaAsk{}, func(answer wire.QuotaAnswer, err error) {
			if err == nil {
				l.hearVouch(round, peer, answer)
			}
		})
	}
}

// involved returns the members of the table and of the pending one, without
// this instance. l.mu is held.
func (l *Ledger) involved() []wire.QuotaMember {
	var members []wire.QuotaMember
	for _, m := range slices.Concat(l.table.Members, l.table.Next) {
		if m.Instance != l.cfg.Self.Instance && !contains(members, m) {
			members = append(members, m)
		}
	}

	return members
}

// hearVouch counts a member's word: the very run in the table must say that
// it knows nothing newer than this instance.
func (l *Ledger) hearVouch(round int, member wire.QuotaMember, answer wire.QuotaAnswer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if round != l.vouch.round || answer.Incarnation != member.Incarnation || answer.State > stateOf(l.table) {
		return
	}
	l.vouch.words[runOf(member)] = true
	l.countVouches()
}

// countVouches makes evidence when more than half of the members, and of
// those of a pending change, have given their word. l.mu is held.
func (l *Ledger) countVouches() {
	vouched := func(m wire.QuotaMember) bool { return l.vouch.words[runOf(m)] }
	if len(l.table.Members) == 0 || !majority(l.table.Members, vouched) {
		return
	}
	if l.table.Pending && !majority(l.table.Next, vouched) {
		return
	}
	l.prove(l.vouch.startedAt)
}

// prove takes in evidence as of a time. l.mu is held.
func (l *Ledger) prove(at int64) {
	if at <= l.proof {
		return
	}
	l.proof = at
	now, old := l.now(), *l.current.Load()
	next := evidence{
		until: at + int64(l.cfg.EvidenceLife),
		term:  old.term,
	}
	if next.until <= now {
		return
	}
	if old.until <= now {
		next.term++
		l.cfg.Log.Write(event.QuotaShareRestored, zap.Int("State", stateOf(l.table)), zap.Duration("Age", time.Duration(now-at)))
	}
	l.current.Store(&next)
}

// noteLapse logs, once, that evidence has ended. l.mu is held.
func (l *Ledger) noteLapse(now int64) {
	ev := l.current.Load()
	if ev.term == l.lapsedTerm || ev.until > now {
		return
	}
	l.lapsedTerm = ev.term
	l.cfg.Log.Write(event.QuotaShareLapsed, zap.Int("State", stateOf(l.table)))
}

// learn takes in the table and the evidence of an answer to an ask that left
// at askedAt.
func (l *Ledger) learn(askedAt int64, answer wire.QuotaAnswer) {
	l.adopt(answer.Table, answer.From)
	if !answer.HasEvidence {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if answer.State <= stateOf(l.table) {
		l.prove(askedAt - int64(answer.EvidenceAgeNanoseconds))
	}
}

// stand returns the part of an answer that tells of the table.
func (l *Ledger) stand(ask wire.QuotaAsk) wire.QuotaAnswer {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	answer := wire.QuotaAnswer{
		From:                   l.cfg.Self.Instance,
		Incarnation:            l.cfg.Self.Incarnation,
		State:                  stateOf(l.table),
		HasEvidence:            l.proof > _noProof,
		ExtendedForNanoseconds: int(l.loanLife(now)),
	}
	if answer.HasEvidence {
		answer.EvidenceAgeNanoseconds = int(now - l.proof)
	}
	if answer.State > ask.State {
		answer.Table = l.table
	}
	if l.table.Pending {
		answer.Fits = l.fits()
	}

	return answer
}

// fits reports whether all that is lent is within the present shares, so that
// this instance and its borrowers use no more. l.mu is held.
func (l *Ledger) fits() bool {
	ev := *l.current.Load()
	for _, b := range l.buckets.Load().all {
		b.mu.Lock()
		b.advance(l.now(), ev)
		size, rate := b.fraction*b.limit.BurstTokens, b.fraction*b.limit.RateTokensPerSecond/float64(time.Second)
		for _, s := range b.lent {
			size -= s.size
			rate -= s.rate
		}
		b.mu.Unlock()
		if size < -_tolerance || rate < -_tolerance/float64(time.Second) {
			return false
		}
	}

	return true
}

// adopt follows a later table. Shares shrink before it returns, so whoever
// is told of the new state may rely on it.
func (l *Ledger) adopt(table wire.QuotaTable, source string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if table.Epoch == 0 || stateOf(table) <= stateOf(l.table) {
		return
	}
	l.table = table
	l.change = changeDuty{since: l.now()}
	if l.off.evidence {
		l.current.Store(&evidence{
			until: _never,
			term:  1,
		})
	}
	now, ev := l.now(), *l.current.Load()
	for _, b := range l.buckets.Load().all {
		b.mu.Lock()
		b.advance(now, ev)
		l.setShares(b, b.workspace)
		b.resize()
		if b.fullStart {
			b.level = b.size
		}
		b.mu.Unlock()
	}
	l.cfg.Log.Write(event.QuotaTableAdopted, zap.Int("Epoch", table.Epoch), zap.Bool("Pending", table.Pending),
		zap.Int("Members", len(table.Members)), zap.Int("Next", len(table.Next)), zap.String("Source", source))
}

// setShares gives a bucket its part by the table, the smaller of both parts
// while a change is pending. l.mu is held.
func (l *Ledger) setShares(b *bucket, workspace string) {
	b.workspace = workspace
	b.fullStart = l.off.emptyStart
	homes := Homes(l.table.Members, workspace)
	b.fraction = l.partOf(homes)
	if l.table.Pending {
		b.fraction = min(b.fraction, l.partOf(Homes(l.table.Next, workspace)))
	}
	b.homes = nil
	for _, share := range homes {
		if share.Member.Instance != l.cfg.Self.Instance {
			b.homes = append(b.homes, &lender{instance: share.Member.Instance})
		}
	}
	b.maxDry = _maxDry * time.Duration(1+len(l.table.Members)/_membersPerDry)
}

// partOf is the part of this run of the instance.
func (l *Ledger) partOf(homes []Share) float64 {
	for _, share := range homes {
		if sameRun(share.Member, l.cfg.Self) || l.off.incarnation && share.Member.Instance == l.cfg.Self.Instance {
			return share.Fraction
		}
	}

	return 0
}
