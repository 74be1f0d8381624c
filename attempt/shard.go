package attempt

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"papayastair.dev/papayastair/event"
	"papayastair.dev/papayastair/objectstore"
	"papayastair.dev/papayastair/wire"
)

// Kinds of stored objects.
const (
	_kindShard   = "AttemptShard"
	_kindSegment = "AttemptSegment"
)

const (
	_maxWaiting        = 4096
	_maxDraftBytes     = 512 << 10
	_maxAnsweredBytes  = 896 << 10
	_maxOpenSegments   = 4
	_failuresUntilDown = 3
	_conflictsToWait   = 2
	_replanWait        = 10 * time.Millisecond
)

// stepKind is what a shard wants done next.
type stepKind string

const (
	stepWait   stepKind = "Wait"
	stepGet    stepKind = "Get"
	stepPut    stepKind = "Put"
	stepDelete stepKind = "Delete"
)

// step is one call to the store, or a wait until a time or the next
// operation. A zero until waits for an operation only.
type step struct {
	kind    stepKind
	object  wire.Object
	until   time.Time
	started time.Time
}

// stepResult is what a step's call returned.
type stepResult struct {
	object wire.Object
	err    error
}

// shard decides the calls to the store for one shard: it collects operations,
// carries them out on a copy of the last known value, and writes the copy on
// the condition that nobody else wrote. It calls nothing itself: plan says
// what to do next and done takes the result, one step at a time. It reads no
// clock.
type shard struct {
	cfg  *Config
	name string

	// value is the object at version, as of a read or write begun at readAt.
	value    wire.AttemptShard
	version  int
	readAt   time.Time
	mustRead bool
	// inDoubt says that a write on version may still take effect.
	inDoubt bool

	waiting []*operation
	draft   *draft

	// indexes are the key numbers of the segments' records; open are the
	// segments read last, with their records.
	indexes  map[string]map[uint64]struct{}
	open     []openSegment
	spill    *spill
	merge    *spill
	spills   int
	merges   int
	dropped  []wire.AttemptSegmentRef
	failures int
	conflict int
	retryAt  time.Time
	backoff  *backoff.ExponentialBackOff
}

// openSegment is a segment in memory.
type openSegment struct {
	name    string
	records []wire.AttemptRecord
}

func newShard(cfg *Config, name string) *shard {
	return &shard{
		cfg:      cfg,
		name:     name,
		mustRead: true,
		indexes:  map[string]map[uint64]struct{}{},
		backoff:  cfg.NewBackoff(),
	}
}

// submit takes an operation in.
func (s *shard) submit(o *operation) {
	if s.cfg.unsafe.sendBeforeRecord && o.kind == operationBegin {
		o.result.settle(Outcome{Kind: KindRun})
		o.result = &result{}
	}
	s.waiting = append(s.waiting, o)
}

// plan returns the next step. The caller carries it out and calls done,
// unless it is a wait.
func (s *shard) plan(now time.Time) step {
	s.refuseLate(now)
	if !s.hasWork() {
		return step{kind: stepWait}
	}
	if now.Before(s.retryAt) {
		return s.wait(s.retryAt)
	}
	if s.mustRead {
		return s.get(now, _kindShard, s.name)
	}
	if due := s.due(); !s.inDoubt && now.Before(due) {
		return s.wait(due)
	}
	if next, ok := s.planSpill(now); ok {
		return next
	}
	if next, ok := s.planWrite(now); ok {
		return next
	}
	if s.merge != nil {
		return s.get(now, _kindSegment, s.merge.sources[s.merge.read].Name)
	}
	if len(s.dropped) > 0 {
		return s.call(now, stepDelete, wire.Object{
			Kind:    _kindSegment,
			Name:    s.dropped[0].Name,
			Version: s.dropped[0].Version,
		})
	}

	if len(s.waiting) == 0 {
		return step{kind: stepWait}
	}

	return s.wait(now.Add(_replanWait))
}

func (s *shard) hasWork() bool {
	return len(s.waiting) > 0 || s.inDoubt || s.spill != nil || s.merge != nil || len(s.dropped) > 0
}

// wait waits until a time, or the first deadline before it.
func (s *shard) wait(until time.Time) step {
	for _, o := range s.waiting {
		if o.kind == operationBegin && (until.IsZero() || o.deadline.Before(until)) {
			until = o.deadline
		}
	}

	return step{
		kind:  stepWait,
		until: until,
	}
}

// due is when the operations that wait should be written: zero if none wait.
func (s *shard) due() time.Time {
	var due time.Time
	for _, o := range s.waiting {
		at := o.arrived.Add(s.cfg.BeginWindow)
		if o.kind == operationFinish {
			at = o.arrived.Add(s.cfg.FinishWindow)
		}
		if due.IsZero() || at.Before(due) {
			due = at
		}
	}

	return due
}

func (s *shard) call(now time.Time, kind stepKind, object wire.Object) step {
	return step{
		kind:    kind,
		object:  object,
		started: now,
	}
}

func (s *shard) get(now time.Time, kind, name string) step {
	return s.call(now, stepGet, wire.Object{
		Kind: kind,
		Name: name,
	})
}

// refuseLate ends the begins whose deadline has passed, and all that wait
// while the store is down. A record of theirs that may be stored is released.
func (s *shard) refuseLate(now time.Time) {
	down := s.failures >= _failuresUntilDown && now.Before(s.retryAt)
	for _, o := range s.waiting {
		if o.kind == operationBegin && (down || !now.Before(o.deadline)) {
			s.refuse(o)
		}
		if o.kind == operationBegin && o.result.isSettled() {
			o.kind = operationRelease
		}
	}
}

// refuse ends a begin without a run. What is known of the key goes before
// the statement that this call has not run.
func (s *shard) refuse(o *operation) {
	outcome := s.known(o)
	if o.result.settle(outcome) {
		s.cfg.Log.Write(event.AttemptRefused, zap.String("Shard", s.name), zap.String("Outcome", string(outcome.Kind)))
	}
}

// known is the outcome of a begin by what was read or written before.
func (s *shard) known(o *operation) Outcome {
	for i := range s.value.Records {
		record := &s.value.Records[i]
		if record.Key != o.record.Key || record.Attempt == o.record.Attempt || record.BodyHash != o.record.BodyHash {
			continue
		}
		if record.Answer.Status != 0 {
			return savedOutcome(record.Answer)
		}

		return unknown("an earlier call with the key may have run")
	}
	number := keyNumber(o.record.Key)
	for _, index := range s.indexes {
		if _, ok := index[number]; ok {
			return unknown("an earlier call with the key may have run")
		}
	}

	return notRun("the record could not be stored in time; an earlier call with the key may have run")
}

// planSpill moves older records into a segment when the value has grown, and
// stores the segment.
func (s *shard) planSpill(now time.Time) (step, bool) {
	if bytes := valueBytes(s.value); s.spill == nil && !s.inDoubt && bytes > s.cfg.SpillBytes {
		old := now.Add(s.cfg.Life - s.cfg.AnswerWait)
		s.startSpill(chooseSpill(s.value, bytes/2, int(old.UnixMilli())))
	}
	if s.spill == nil || s.spill.ref.Version != 0 {
		return step{}, false
	}

	return s.call(now, stepPut, wire.Object{
		Kind:  _kindSegment,
		Name:  s.spill.ref.Name,
		Value: encode(wire.AttemptSegment{Records: s.spill.records}),
	}), true
}

// startSpill names a segment to be stored. No two segments have one name.
func (s *shard) startSpill(next *spill) {
	s.spill = next
	if next != nil {
		s.spills++
		next.ref.Name = fmt.Sprintf("%s.%s.%d.%d", s.name, s.cfg.Instance, s.cfg.Incarnation, s.spills)
	}
}

// planWrite drafts the next value and writes it, or reads what the draft
// needs first.
func (s *shard) planWrite(now time.Time) (step, bool) {
	d := newDraft(s.value, s.removalTime(now))
	s.draft = d
	changed := s.draftSpill(d)
	var kept []*operation
	mustRead, segment := false, ""
	for _, o := range s.waiting {
		switch s.apply(d, o, &segment) {
		case applied:
			d.batch = append(d.batch, o)
		case waits:
			kept = append(kept, o)
		case needsRead:
			kept = append(kept, o)
			mustRead = true
		case settled:
		}
	}
	s.waiting = kept
	switch {
	case changed || len(d.batch) > 0 || s.inDoubt:
		return s.call(now, stepPut, wire.Object{
			Kind:    _kindShard,
			Name:    s.name,
			Version: s.version,
			Value:   encode(d.value),
		}), true
	case segment != "":
		return s.get(now, _kindSegment, segment), true
	case mustRead:
		return s.get(now, _kindShard, s.name), true
	default:
		return step{}, false
	}
}

// removalTime is the time, in milliseconds, before which a record must have
// expired to be removed. Clocks of instances differ by at most
// MaxClockDifference.
func (s *shard) removalTime(now time.Time) int {
	if s.cfg.unsafe.removeEarly {
		now = now.Add(s.cfg.Life - time.Second)
	}

	return int(now.Add(-s.cfg.MaxClockDifference).UnixMilli())
}

// draftSpill replaces the records of a stored segment, and gives the segment
// up when another instance was faster.
func (s *shard) draftSpill(d *draft) bool {
	if s.spill == nil {
		return false
	}
	if d.names(s.spill.ref.Name) {
		s.spill = nil

		return false
	}
	if d.spill(s.spill) {
		return true
	}
	s.dropped = append(s.dropped, s.spill.ref)
	s.spill = nil

	return false
}

// verdict says what an operation needs.
type verdict int

const (
	// applied means that the draft carries the operation out.
	applied verdict = iota
	// waits means that it must wait for the next draft.
	waits
	// needsRead means that a newer reading must come first.
	needsRead
	// settled means that it has ended.
	settled
)

// apply carries an operation out on a draft. It names in segment a segment
// that must be read first.
func (s *shard) apply(d *draft, o *operation, segment *string) verdict {
	switch o.kind {
	case operationFinish:
		record := d.own(o)
		if record == nil {
			s.cfg.Log.Write(event.AttemptAnswerLost, zap.String("Shard", s.name), zap.String("Attempt", o.record.Attempt))
			o.result.settle(Outcome{Kind: kindStored})

			return settled
		}
		answered := *record
		answered.Answer = o.record.Answer
		if d.bytes+recordBytes(answered)-recordBytes(*record) > _maxAnsweredBytes {
			return waits
		}
		d.bytes += recordBytes(answered) - recordBytes(*record)
		*record = answered

		return applied
	case operationRelease:
		if record := d.own(o); record != nil && record.Answer.Status == 0 {
			d.remove(map[string]bool{record.Key: true})

			return applied
		}
		if s.inDoubt {
			return applied
		}
		o.result.settle(Outcome{Kind: kindStored})

		return settled
	case operationBegin:
		return s.applyBegin(d, o, segment)
	default:
		panic("attempt: operation of kind " + string(o.kind))
	}
}

func (s *shard) applyBegin(d *draft, o *operation, segment *string) verdict {
	record, stored := d.find(o.record.Key)
	if record == nil {
		var missing string
		record, missing = s.findOld(d, o.record.Key)
		if missing != "" {
			*segment = missing

			return waits
		}
		stored = true
	}
	switch {
	case record == nil && d.bytes > _maxDraftBytes:
		return waits
	case record == nil:
		d.add(o.record)

		return applied
	case record.Attempt == o.record.Attempt:
		if !s.grant(o) {
			return waits
		}

		return settled
	case record.BodyHash == o.record.BodyHash && record.Answer.Status != 0:
		o.result.settle(savedOutcome(record.Answer))

		return settled
	case !stored:
		return waits
	case s.readAt.Before(o.arrived):
		return needsRead
	case record.BodyHash != o.record.BodyHash:
		o.result.settle(Outcome{
			Kind:   KindMismatch,
			Reason: "the key was used with another request",
		})

		return settled
	default:
		o.result.settle(unknown("an earlier call with the key may have run or is running"))

		return settled
	}
}

// findOld looks for a key in the segments. It returns the name of a segment
// that must be read first.
func (s *shard) findOld(d *draft, key string) (record *wire.AttemptRecord, missing string) {
	number := keyNumber(key)
	for _, ref := range d.value.Segments {
		index, ok := s.indexes[ref.Name]
		if !ok {
			return nil, ref.Name
		}
		if _, ok := index[number]; !ok {
			continue
		}
		at := slices.IndexFunc(s.open, func(o openSegment) bool { return o.name == ref.Name })
		if at < 0 {
			return nil, ref.Name
		}
		records := s.open[at].records
		i := slices.IndexFunc(records, func(r wire.AttemptRecord) bool { return r.Key == key })
		if i >= 0 {
			return &records[i], ""
		}
	}

	return nil, ""
}

// grant lets a call run whose record is stored. It reports false if the call
// was refused meanwhile; the operation then releases the record.
func (s *shard) grant(o *operation) bool {
	if o.result.settle(Outcome{Kind: KindRun}) {
		return true
	}
	o.kind = operationRelease

	return false
}

// done takes the result of a step.
func (s *shard) done(st step, r stepResult, now time.Time) {
	code := objectstore.CodeOf(r.err)
	if code == objectstore.CodeUnknown || code == objectstore.CodeNotRun {
		s.failed(st, r.err, now)
	} else if st.kind != stepDelete {
		s.failures = 0
	}
	switch {
	case st.kind == stepDelete:
		s.doneDelete(code)
	case st.kind == stepGet && st.object.Kind == _kindShard:
		s.doneGet(st, r, now)
	case st.kind == stepGet:
		s.doneGetSegment(st, r, now)
	case st.kind == stepPut && st.object.Kind == _kindShard:
		s.donePut(st, r, now)
	case st.kind == stepPut:
		s.donePutSegment(r)
	}
}

// failed sets the time of the next try.
func (s *shard) failed(st step, err error, now time.Time) {
	s.failures++
	s.waitFrom(now)
	s.cfg.Log.Write(event.AttemptStoreFailed, zap.String("Shard", s.name), zap.String("Step", string(st.kind)), zap.Error(err))
}

// waitFrom sets the time of the next try.
func (s *shard) waitFrom(now time.Time) {
	if s.failures+s.conflict <= 1 {
		s.backoff.Reset()
	}
	s.retryAt = now.Add(s.backoff.NextBackOff())
}

// doneGet takes a reading of the shard. One that is older than what is known
// is left out.
func (s *shard) doneGet(st step, r stepResult, now time.Time) {
	code := objectstore.CodeOf(r.err)
	if code != "" && code != objectstore.CodeNotFound {
		return
	}
	if r.object.Version < s.version {
		s.conflict++
		s.waitFrom(now)

		return
	}
	var value wire.AttemptShard
	if r.object.Value != "" && !s.decode(r.object, &value) {
		s.waitFrom(now)

		return
	}
	if r.object.Version > s.version {
		s.inDoubt = false
	}
	s.adopt(value, r.object.Version, st.started)
}

// adopt takes a value as the current one.
func (s *shard) adopt(value wire.AttemptShard, version int, readAt time.Time) {
	s.value = value
	s.version = version
	s.readAt = readAt
	s.mustRead = false
	for name := range s.indexes {
		if !slices.ContainsFunc(value.Segments, func(ref wire.AttemptSegmentRef) bool { return ref.Name == name }) {
			delete(s.indexes, name)
		}
	}
	if s.merge != nil && s.merge.isStale(value) {
		s.merge = nil
	}
}

func (s *shard) doneGetSegment(st step, r stepResult, now time.Time) {
	var segment wire.AttemptSegment
	switch code := objectstore.CodeOf(r.err); {
	case code == objectstore.CodeNotFound:
		s.mustRead = true
		s.merge = nil
		s.waitFrom(now)

		return
	case code != "":
		return
	case !s.decode(r.object, &segment):
		s.merge = nil
		s.waitFrom(now)

		return
	}
	s.index(st.object.Name, segment.Records)
	s.takeSource(st.object.Name, segment.Records, now)
}

// takeSource adds a segment's records to the merge that wants them.
func (s *shard) takeSource(name string, records []wire.AttemptRecord, now time.Time) {
	if s.merge == nil || s.merge.sources[s.merge.read].Name != name {
		return
	}
	s.merge.add(s.removalTime(now), records...)
	s.merge.read++
	if s.merge.read == len(s.merge.sources) {
		s.merges++
		s.startSpill(s.merge)
		s.merge = nil
	}
}

// index notes the keys of a segment and keeps its records at hand.
func (s *shard) index(name string, records []wire.AttemptRecord) {
	index := make(map[uint64]struct{}, len(records))
	for i := range records {
		index[keyNumber(records[i].Key)] = struct{}{}
	}
	s.indexes[name] = index
	if len(s.open) == _maxOpenSegments {
		s.open = slices.Delete(s.open, 0, 1)
	}
	s.open = append(s.open, openSegment{
		name:    name,
		records: records,
	})
}

// donePut takes the result of a conditional write of the shard.
func (s *shard) donePut(st step, r stepResult, now time.Time) {
	d := s.draft
	code := objectstore.CodeOf(r.err)
	if code == objectstore.CodeConflict && s.inDoubt && s.cfg.unsafe.blindRetry {
		code = ""
	}
	if code != "" {
		s.waiting = append(d.batch, s.waiting...)
	}
	switch code {
	case "":
		s.conflict = 0
		s.inDoubt = false
		s.adopt(d.value, r.object.Version, st.started)
		s.dropped = append(s.dropped, d.dropped...)
		s.finishBatch(d.batch, now)
		if s.merge == nil && s.spill == nil {
			s.merge = chooseMerge(s.value, s.cfg.SpillBytes/2)
		}
	case objectstore.CodeUnknown:
		s.inDoubt = true
		s.mustRead = !s.cfg.unsafe.blindRetry
		s.cfg.Log.Write(event.AttemptWriteInDoubt, zap.String("Shard", s.name), zap.Int("Version", s.version), zap.Int("Operations", len(d.batch)))
	case objectstore.CodeNotRun:
	case objectstore.CodeConflict, objectstore.CodeNotFound, objectstore.CodeGone:
		s.mustRead = true
		s.conflict++
		if s.conflict > _conflictsToWait {
			s.waitFrom(now)
		}
	}
}

// finishBatch ends the operations of a draft that is stored.
func (s *shard) finishBatch(batch []*operation, now time.Time) {
	for _, o := range batch {
		if o.kind != operationBegin {
			o.result.settle(Outcome{Kind: kindStored})

			continue
		}
		if !now.Before(o.deadline) {
			s.refuse(o)
		}
		if !s.grant(o) {
			s.waiting = append(s.waiting, o)
		}
	}
}

// donePutSegment takes the result of storing a segment. Under an unknown
// outcome the segment is given up; the next one has another name.
func (s *shard) donePutSegment(r stepResult) {
	if r.err != nil {
		s.spill = nil

		return
	}
	s.spill.ref.Version = r.object.Version
	s.index(s.spill.ref.Name, s.spill.records)
	s.cfg.Log.Write(event.AttemptSegmentStored, zap.String("Segment", s.spill.ref.Name), zap.Int("Records", len(s.spill.records)))
}

func (s *shard) doneDelete(code objectstore.Code) {
	if code == objectstore.CodeUnknown || code == objectstore.CodeNotRun {
		return
	}
	s.cfg.Log.Write(event.AttemptSegmentDropped, zap.String("Segment", s.dropped[0].Name))
	s.dropped = s.dropped[1:]
}

func (s *shard) decode(object wire.Object, value any) bool {
	err := json.Unmarshal([]byte(object.Value), value)
	if err != nil {
		s.cfg.Log.Write(event.AttemptValueUnread, zap.String("Kind", object.Kind), zap.String("Object", object.Name), zap.Error(err))
	}

	return err == nil
}

// encode is the JSON of a generated type, which can't fail.
func encode(value any) string {
	data, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("attempt: encode: %v", err))
	}

	return string(data)
}
