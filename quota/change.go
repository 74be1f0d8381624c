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

// A change of the table has two steps, each a conditional update of one
// object. First it is pending: whoever knows it uses the smaller of its
// shares before and after. It is committed when every old member has
// acknowledged it and its loans fit; or when more than half have, and the
// life of evidence has passed since, so that the others have stopped. Any
// instance may take a step that another has begun: a change is never
// withdrawn, so two at work at once do the same.

const (
	_tableKind = "QuotaTable"
	_tableName = "Shares"
	// _commitMargin is waited beyond the life of evidence.
	_commitMargin = 100 * time.Millisecond
	// _tolerance absorbs rounding, in tokens.
	_tolerance = 1e-6
)

// changeDuty is what this instance knows of the change of the table.
type changeDuty struct {
	// since is when the table came into this state.
	since int64
	// differs is when the live members began to differ from the table's.
	differs int64
	// acknowledged has the members that know the pending change, or have
	// been replaced by a later run; fitting those whose loans fit as well.
	acknowledged map[string]bool
	fitting      map[string]bool
	quorumAt     int64
	pushedAt     int64
	warnedAt     int64
}

// storeDuty is what this instance knows of the table's object.
type storeDuty struct {
	busy    bool
	version int
	object  wire.QuotaTable
	notTill int64
	pause   time.Duration
}

// changeDue reports whether it is this instance's turn to write a step of a
// change. l.mu is held.
func (l *Ledger) changeDue(now int64) bool {
	if !contains(l.live, l.cfg.Self) {
		return false
	}
	if l.table.Pending {
		return l.committable(now)
	}
	if sameMembers(l.live, l.table.Members) {
		l.change.differs = 0

		return false
	}
	if l.change.differs == 0 {
		l.change.differs = now
	}

	return now-l.change.differs >= int64(l.period())*int64(1+l.place())
}

// committable reports whether nobody can use more than its share of the
// pending table any more. l.mu is held.
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
	life := l.cfg.EvidenceLife

	return now-l.change.quorumAt > int64(life+life/_driftParts+_commitMargin)
}

// driveChange tells the members of a pending change and gathers their
// acknowledgements.
func (l *Ledger) driveChange() {
	l.mu.Lock()
	now := l.now()
	mine := now-l.change.since >= int64(l.period())*int64(l.place())
	if !l.table.Pending || !mine || now-l.change.pushedAt < int64(l.period())/2 || !contains(l.live, l.cfg.Self) {
		l.mu.Unlock()

		return
	}
	l.change.pushedAt = now
	if l.change.acknowledged == nil {
		l.change.acknowledged, l.change.fitting = map[string]bool{}, map[string]bool{}
	}
	table, peers := l.table, l.involved()
	for _, m := range table.Members {
		if sameRun(m, l.cfg.Self) {
			l.change.acknowledged[m.Instance] = true
			l.change.fitting[m.Instance] = l.fits()
		} else if m.Instance == l.cfg.Self.Instance && m.Incarnation < l.cfg.Self.Incarnation {
			l.change.acknowledged[m.Instance] = true
		}
	}
	l.warnOfWait(now)
	l.mu.Unlock()
	for _, peer := range peers {
		l.ask(peer.Instance, wire.QuotaAsk{Table: table}, func(answer wire.QuotaAnswer, err error) {
			if err == nil {
				l.hearAcknowledgement(stateOf(table), answer)
			}
		})
	}
}

// hearAcknowledgement counts a member that knows the pending change. A later
// run of the same instance answers for the one before, which has ended.
func (l *Ledger) hearAcknowledgement(state int, answer wire.QuotaAnswer) {
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

// warnOfWait logs now and then that a change lacks acknowledgements. l.mu is
// held.
func (l *Ledger) warnOfWait(now int64) {
	often := 2 * int64(l.cfg.EvidenceLife)
	if l.change.quorumAt > 0 || now-max(l.change.since, l.change.warnedAt) < often {
		return
	}
	l.change.warnedAt = now
	l.cfg.Log.Write(event.QuotaTableWaits, zap.Int("Epoch", l.table.Epoch), zap.Int("Members", len(l.table.Members)),
		zap.Int("Acknowledged", len(l.change.acknowledged)))
}

// visitStore writes to the table's object: a step of a change if one is due,
// else a touch. One visit runs at a time.
func (l *Ledger) visitStore() {
	l.mu.Lock()
	now := l.now()
	if l.store.busy || now < l.store.notTill {
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
		l.store.notTill = 0
		if ok {
			l.store.pause = 0

			return
		}
		if l.off.vouching {
			l.prove(now)
		}
		l.store.version = 0
		l.store.pause = min(max(l.period()/2, 2*l.store.pause), 4*l.period())
		l.store.notTill = l.now() + int64(l.store.pause)
	})
}

// writeTable reads the object if need be and updates it. A successful write
// is evidence as of the time before it. Reads may be old, and a write whose
// reply is lost is read again by the next visit; neither is evidence.
func (l *Ledger) writeTable(ctx context.Context) bool {
	l.mu.Lock()
	version, table := l.store.version, l.store.object
	l.mu.Unlock()
	if version == 0 {
		object, err := l.cfg.Store.Get(ctx, _tableKind, _tableName)
		if err != nil && objectstore.CodeOf(err) != objectstore.CodeNotFound {
			return false
		}
		// A fresh table: decoding into the old one would write into lists that
		// the table in force shares.
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
	l.prove(start)

	return true
}

// nextTable is what to write in place of a table. The first table of all
// begins as a change from no members, so that whatever runs on one that was
// deleted ends first. l.mu is held.
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
