package quota

import (
	"context"
	"encoding/json"
	"time"

	"go.uber.org/zap"

	"papayastair.dev/papayastair/event"
	"papayastair.dev/papayastair/objectstore"
	"papayastair.dev/papayastair/wire"
)

// A change of the table takes two steps, each a conditional update of one
// object. First the change is pending: every instance that has adopted it uses
// the smaller of its shares before and after. It is committed when every old
// member has acknowledged it and its loans fit its shares, or when more than
// half have acknowledged it and EvidenceTTL has passed since, so that the base
// shares of the others have expired. Any instance may take the next step of a
// change that another began: a change is never withdrawn, so concurrent writers
// write the same.

const (
	_tableKind = "QuotaTable"
	_tableName = "Shares"
	// _commitMargin is added to EvidenceTTL before a commit by majority.
	_commitMargin = 100 * time.Millisecond
	// _tolerance absorbs rounding, in tokens.
	_tolerance = 1e-6
)

// changeState is this instance's view of a change of the table.
type changeState struct {
	// since is the time at which the table reached this state.
	since int64
	// differsSince is the time since which the live members have differed from
	// those of the table.
	differsSince int64
	// acknowledged has the members that have adopted the pending change, or were
	// replaced by a later run. fitting has those whose loans also fit.
	acknowledged map[string]bool
	fitting      map[string]bool
	quorumAt     int64
	sentAt       int64
	warnedAt     int64
}

// storeState is the cached object of the table, and the backoff of its updates.
type storeState struct {
	busy    bool
	version int
	object  wire.QuotaTable
	retryAt int64
	backoff time.Duration
}

// changeDue reports whether this instance should write the next step of a
// change. l.mu is held.
func (l *Ledger) changeDue(now int64) bool {
	if !contains(l.live, l.cfg.Self) {
		return false
	}
	if l.table.Pending {
		return l.committable(now)
	}
	if sameMembers(l.live, l.table.Members) {
		l.change.differsSince = 0

		return false
	}
	if l.change.differsSince == 0 {
		l.change.differsSince = now
	}

	return now-l.change.differsSince >= int64(l.exchangeInterval())*int64(1+l.selfRank())
}

// committable reports whether no instance can still use more than its share of
// the pending table. l.mu is held.
func (l *Ledger) committable(now int64) bool {
	acknowledged := func(m wire.QuotaMember) bool { return l.change.acknowledged[m.Instance] }
	fitting := 0
	for _, m := range l.table.Members {
		if l.change.fitting[m.Instance] {
			fitting++
		}
	}
	if fitting > 0 && fitting == len(l.table.Members) {
		return true
	}
	if !majority(l.table.Members, acknowledged) {
		return false
	}
	if l.change.quorumAt == 0 {
		l.change.quorumAt = now
	}
	ttl := l.cfg.EvidenceTTL

	return now-l.change.quorumAt > int64(ttl+ttl/_clockDriftDivisor+_commitMargin)
}

// advanceChange sends a pending change to its members and collects their
// acknowledgements.
func (l *Ledger) advanceChange() {
	l.mu.Lock()
	now := l.now()
	mine := now-l.change.since >= int64(l.exchangeInterval())*int64(l.selfRank())
	if !l.table.Pending || !mine || now-l.change.sentAt < int64(l.exchangeInterval())/2 || !contains(l.live, l.cfg.Self) {
		l.mu.Unlock()

		return
	}
	l.change.sentAt = now
	if l.change.acknowledged == nil {
		l.change.acknowledged, l.change.fitting = map[string]bool{}, map[string]bool{}
	}
	table, peers := l.table, l.tablePeers()
	for _, m := range table.Members {
		if sameRun(m, l.cfg.Self) {
			l.change.acknowledged[m.Instance] = true
			l.change.fitting[m.Instance] = l.fits()
		} else if m.Instance == l.cfg.Self.Instance && m.Incarnation < l.cfg.Self.Incarnation {
			l.change.acknowledged[m.Instance] = true
		}
	}
	l.logDelayedChange(now)
	l.mu.Unlock()
	for _, peer := range peers {
		l.ask(peer.Instance, wire.QuotaAsk{Table: table}, func(answer wire.QuotaAnswer, err error) {
			if err == nil {
				l.recordAcknowledgement(stateOf(table), answer)
			}
		})
	}
}

// recordAcknowledgement counts a member that has adopted the pending change. A
// later run of the same instance acknowledges for the earlier one, which has
// ended.
func (l *Ledger) recordAcknowledgement(state int, answer wire.QuotaAnswer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if stateOf(l.table) != state || l.change.acknowledged == nil {
		return
	}
	for _, m := range l.table.Members {
		if m.Instance != answer.From {
			continue
		}
		if answer.Incarnation > m.Incarnation {
			l.change.acknowledged[m.Instance] = true
		}
		if answer.Incarnation == m.Incarnation && answer.State >= state {
			l.change.acknowledged[m.Instance] = true
			l.change.fitting[m.Instance] = answer.Fits
		}
	}
}

// logDelayedChange logs periodically that a change still lacks
// acknowledgements. l.mu is held.
func (l *Ledger) logDelayedChange(now int64) {
	often := 2 * int64(l.cfg.EvidenceTTL)
	if l.change.quorumAt > 0 || now-max(l.change.since, l.change.warnedAt) < often {
		return
	}
	l.change.warnedAt = now
	l.cfg.Log.Write(event.QuotaTableWaits, zap.Int("Epoch", l.table.Epoch), zap.Int("Members", len(l.table.Members)),
		zap.Int("Acknowledged", len(l.change.acknowledged)))
}

// updateStore updates the table's object: with the next step of a change if one
// is due, otherwise by incrementing its touch counter. At most one update runs at
// a time.
func (l *Ledger) updateStore() {
	l.mu.Lock()
	now := l.now()
	if l.store.busy || now < l.store.retryAt {
		l.mu.Unlock()

		return
	}
	l.store.busy = true
	l.mu.Unlock()
	l.start(func() {
		ctx, cancel := context.WithTimeout(context.Background(), _callTimeout)
		defer cancel()
		ok := l.writeTable(ctx)
		l.mu.Lock()
		defer l.mu.Unlock()
		l.store.busy = false
		l.store.retryAt = 0
		if ok {
			l.store.backoff = 0

			return
		}
		if l.disabled.quorumEvidence {
			l.recordEvidence(now)
		}
		l.store.version = 0
		l.store.backoff = min(max(l.exchangeInterval()/2, 2*l.store.backoff), 4*l.exchangeInterval())
		l.store.retryAt = l.now() + int64(l.store.backoff)
	})
}

// writeTable reads the object if it isn't cached, and updates it. A successful
// write is evidence as of the time before it. A read may be stale, and a write
// whose reply is lost is read again by the next update; neither is evidence.
func (l *Ledger) writeTable(ctx context.Context) bool {
	l.mu.Lock()
	version, table := l.store.version, l.store.object
	l.mu.Unlock()
	if version == 0 {
		object, err := l.cfg.Store.Get(ctx, _tableKind, _tableName)
		if err != nil && objectstore.CodeOf(err) != objectstore.CodeNotFound {
			return false
		}
		// Decode into a new table: decoding into the old one would overwrite slices
		// that it shares with the table in force.
		table = wire.QuotaTable{}
		if err == nil && json.Unmarshal([]byte(object.Value), &table) != nil {
			return false
		}
		version = object.Version
		l.adopt(table, "store")
	}
	l.mu.Lock()
	start := l.now()
	unfit := version > 0 && stateOf(table) < stateOf(l.table) || version == 0 && !contains(l.live, l.cfg.Self)
	next, kind := l.nextTable(version, table, start)
	l.mu.Unlock()
	value, err := json.Marshal(next)
	if unfit || err != nil {
		return false
	}
	version, err = l.cfg.Store.Put(ctx, _tableKind, _tableName, string(value), version)
	if err != nil {
		return false
	}
	if kind != nil {
		l.cfg.Log.Write(kind, zap.Int("Epoch", next.Epoch), zap.Int("Members", len(next.Members)), zap.Int("Next", len(next.Next)))
	}
	l.adopt(next, "store")
	l.mu.Lock()
	defer l.mu.Unlock()
	l.store.version, l.store.object = version, next
	l.recordEvidence(start)

	return true
}

// nextTable returns the table to write in place of the stored one. The first
// table begins as a change from no members, so that base shares under a deleted
// table expire before it is committed. l.mu is held.
func (l *Ledger) nextTable(version int, table wire.QuotaTable, now int64) (wire.QuotaTable, *event.Kind) {
	switch {
	case version == 0:
		return wire.QuotaTable{
			Epoch:   max(int(l.cfg.Timer.Now().UnixMilli()), l.table.Epoch+1),
			Pending: true,
			Next:    l.live,
		}, event.QuotaTableProposed
	case stateOf(table) == stateOf(l.table) && l.changeDue(now) && table.Pending:
		return committed(table), event.QuotaTableCommitted
	case stateOf(table) == stateOf(l.table) && l.changeDue(now):
		table.Pending = true
		table.Next = l.live

		return table, event.QuotaTableProposed
	default:
		table.Touches++

		return table, nil
	}
}
