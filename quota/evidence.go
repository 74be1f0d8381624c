package quota

import (
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	"papayastair.dev/papayastair/event"
	"papayastair.dev/papayastair/wire"
)

// Evidence is a time at which no table newer than this instance's was in force.
// A base share counts for EvidenceTTL after it. Evidence comes from a
// successful write to the table's object or, while the store is down, from the
// confirmation of more than half of the table's members that they have no newer
// table. A committed change has been acknowledged by more than half of the
// members, and these never again confirm the table before it. Instances pass
// evidence on with its age, which the receiver counts from the time of its
// request.

const (
	// _intervalsPerTTL is the number of exchange intervals in EvidenceTTL.
	_intervalsPerTTL = 5
	// _relays is the number of members that renew evidence first. Large fleets
	// have one more per _membersPerRelay members.
	_relays          = 3
	_membersPerRelay = 60
	_noEvidence      = math.MinInt64 / 4
	// _tableSubject is the rendezvous subject that ranks members for work on the
	// table.
	_tableSubject = "QuotaTable"
)

// quorumRound is a round of requests for confirmation by a majority.
type quorumRound struct {
	startedAt int64
	round     int
	confirmed map[run]bool
}

// run identifies one run of an instance.
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

// exchangeInterval returns the time between two exchanges of an instance.
func (l *Ledger) exchangeInterval() time.Duration {
	return l.cfg.EvidenceTTL / _intervalsPerTTL
}

// renewEvidence renews evidence from peers, the store or a majority of members,
// and advances changes of the table.
func (l *Ledger) renewEvidence() {
	l.mu.Lock()
	now := l.now()
	l.logExpiredEvidence(now)
	age := now - l.evidenceAt
	selfRank := l.selfRank()
	exchange := age >= int64(l.exchangeInterval())*3/4
	visit := age >= l.renewalAge(1, selfRank) || l.changeDue(now)
	startRound := age >= l.renewalAge(2, selfRank) && now-l.quorum.startedAt >= int64(l.exchangeInterval())
	l.mu.Unlock()
	if exchange {
		l.exchange()
	}
	if visit {
		l.updateStore()
	}
	if startRound {
		l.startQuorumRound()
	}
	l.advanceChange()
}

// selfRank returns the rank of this instance for work on the table, from 0. l.mu
// is held.
func (l *Ledger) selfRank() int {
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

// renewalAge returns the age of evidence at which the instance of a rank renews
// it: the first after the given number of exchange intervals, each further relay
// half an interval later, and all others shortly before it expires, spread over
// one interval.
func (l *Ledger) renewalAge(intervals float64, selfRank int) int64 {
	if selfRank < l.relays() {
		intervals += float64(min(selfRank, _relays)) / 2
	} else {
		intervals = _intervalsPerTTL - 2 + float64(selfRank%10)/10
	}

	return int64(intervals * float64(l.exchangeInterval()))
}

func (l *Ledger) relays() int {
	return _relays + len(l.live)/_membersPerRelay
}

// exchange asks one peer for its table and evidence, alternating between a relay
// and any member.
func (l *Ledger) exchange() {
	l.mu.Lock()
	l.exchanges++
	peers := slices.DeleteFunc(rank(l.live, _tableSubject), func(m wire.QuotaMember) bool { return m.Instance == l.cfg.Self.Instance })
	if len(peers) == 0 {
		l.mu.Unlock()

		return
	}
	choice := l.exchanges*7919 + uint64(l.cfg.Self.Incarnation) + uint64(l.selfRank())
	if l.exchanges%2 == 0 {
		peers = peers[:min(l.relays(), len(peers))]
	}
	peer := peers[choice/2%uint64(len(peers))].Instance
	l.mu.Unlock()
	l.ask(peer, wire.QuotaAsk{}, nil)
}

// startQuorumRound asks all members to confirm the table. Confirmation by more
// than half of them, this instance included, is evidence as of the start of the
// round.
func (l *Ledger) startQuorumRound() {
	l.mu.Lock()
	if l.table.Epoch == 0 {
		l.mu.Unlock()

		return
	}
	l.quorum.round++
	l.quorum.startedAt = l.now()
	l.quorum.confirmed = map[run]bool{}
	round := l.quorum.round
	l.quorum.confirmed[runOf(l.cfg.Self)] = true
	peers := l.tablePeers()
	l.checkQuorum()
	l.mu.Unlock()
	for _, peer := range peers {
		l.ask(peer.Instance, wire.QuotaAsk{}, func(answer wire.QuotaAnswer, err error) {
			if err == nil {
				l.recordConfirmation(round, peer, answer)
			}
		})
	}
}

// tablePeers returns the members of the table and of the pending one, without
// this instance. l.mu is held.
func (l *Ledger) tablePeers() []wire.QuotaMember {
	var members []wire.QuotaMember
	for _, m := range slices.Concat(l.table.Members, l.table.Next) {
		if m.Instance != l.cfg.Self.Instance && !contains(members, m) {
			members = append(members, m)
		}
	}

	return members
}

// recordConfirmation counts the confirmation of a member. It must come from the
// run of the instance that is in the table, with no newer table than this
// instance's.
func (l *Ledger) recordConfirmation(round int, member wire.QuotaMember, answer wire.QuotaAnswer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if round != l.quorum.round || answer.Incarnation != member.Incarnation || answer.State > stateOf(l.table) {
		return
	}
	l.quorum.confirmed[runOf(member)] = true
	l.checkQuorum()
}

// checkQuorum records evidence once more than half of the members, and of those
// of a pending change, have confirmed the table. l.mu is held.
func (l *Ledger) checkQuorum() {
	confirmed := func(m wire.QuotaMember) bool { return l.quorum.confirmed[runOf(m)] }
	if len(l.table.Members) == 0 || !majority(l.table.Members, confirmed) {
		return
	}
	if l.table.Pending && !majority(l.table.Next, confirmed) {
		return
	}
	l.recordEvidence(l.quorum.startedAt)
}

// recordEvidence records evidence as of a time. l.mu is held.
func (l *Ledger) recordEvidence(at int64) {
	if at <= l.evidenceAt {
		return
	}
	l.evidenceAt = at
	now, old := l.now(), *l.current.Load()
	next := evidence{
		expiresAt: at + int64(l.cfg.EvidenceTTL),
		term:      old.term,
	}
	if next.expiresAt <= now {
		return
	}
	if old.expiresAt <= now {
		next.term++
		l.cfg.Log.Write(event.QuotaShareRestored, zap.Int("State", stateOf(l.table)), zap.Duration("Age", time.Duration(now-at)))
	}
	l.current.Store(&next)
}

// logExpiredEvidence logs once per term that the evidence has expired. l.mu is
// held.
func (l *Ledger) logExpiredEvidence(now int64) {
	ev := l.current.Load()
	if ev.term == l.expiredTerm || ev.expiresAt > now {
		return
	}
	l.expiredTerm = ev.term
	l.cfg.Log.Write(event.QuotaShareLapsed, zap.Int("State", stateOf(l.table)))
}

// mergeAnswer adopts the table and the evidence of an answer to a request sent
// at askedAt.
func (l *Ledger) mergeAnswer(askedAt int64, answer wire.QuotaAnswer) {
	l.adopt(answer.Table, answer.From)
	if !answer.HasEvidence {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if answer.State <= stateOf(l.table) {
		l.recordEvidence(askedAt - int64(answer.EvidenceAgeNanoseconds))
	}
}

// tableAnswer returns an answer with the fields that describe the table and its
// evidence.
func (l *Ledger) tableAnswer(ask wire.QuotaAsk) wire.QuotaAnswer {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	answer := wire.QuotaAnswer{
		From:                   l.cfg.Self.Instance,
		Incarnation:            l.cfg.Self.Incarnation,
		State:                  stateOf(l.table),
		HasEvidence:            l.evidenceAt > _noEvidence,
		ExtendedForNanoseconds: int(l.loanTTL(now)),
	}
	if answer.HasEvidence {
		answer.EvidenceAgeNanoseconds = int(now - l.evidenceAt)
	}
	if answer.State > ask.State {
		answer.Table = l.table
	}
	if l.table.Pending {
		answer.Fits = l.fits()
	}

	return answer
}

// fits reports whether all loans are within the present shares, so that this
// instance and its borrowers together don't exceed them. l.mu is held.
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

// adopt switches to a table if it is newer. Shares shrink before adopt returns,
// so a peer that receives the new state can rely on it.
func (l *Ledger) adopt(table wire.QuotaTable, source string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if table.Epoch == 0 || stateOf(table) <= stateOf(l.table) {
		return
	}
	l.table = table
	l.change = changeState{since: l.now()}
	if l.disabled.evidence {
		l.current.Store(&evidence{
			expiresAt: _never,
			term:      1,
		})
	}
	now, ev := l.now(), *l.current.Load()
	for _, b := range l.buckets.Load().all {
		b.mu.Lock()
		b.advance(now, ev)
		l.setShares(b, b.workspace)
		b.resize()
		if b.startFull {
			b.level = b.size
		}
		b.mu.Unlock()
	}
	l.cfg.Log.Write(event.QuotaTableAdopted, zap.Int("Epoch", table.Epoch), zap.Bool("Pending", table.Pending),
		zap.Int("Members", len(table.Members)), zap.Int("Next", len(table.Next)), zap.String("Source", source))
}

// setShares sets a bucket's fraction and homes from the table. While a change is
// pending the fraction is the smaller one of both tables. l.mu is held.
func (l *Ledger) setShares(b *bucket, workspace string) {
	b.workspace = workspace
	b.startFull = l.disabled.emptyStart
	homes := Homes(l.table.Members, workspace)
	b.fraction = l.selfFraction(homes)
	if l.table.Pending {
		b.fraction = min(b.fraction, l.selfFraction(Homes(l.table.Next, workspace)))
	}
	b.homes = nil
	for _, share := range homes {
		if share.Member.Instance != l.cfg.Self.Instance {
			b.homes = append(b.homes, &lender{instance: share.Member.Instance})
		}
	}
	b.maxBackoff = _maxBackoff * time.Duration(1+len(l.table.Members)/_membersPerBackoffStep)
}

// selfFraction returns the fraction of this run of the instance.
func (l *Ledger) selfFraction(homes []Share) float64 {
	for _, share := range homes {
		if sameRun(share.Member, l.cfg.Self) || l.disabled.incarnation && share.Member.Instance == l.cfg.Self.Instance {
			return share.Fraction
		}
	}

	return 0
}
