package attempt

import (
	"slices"
	"time"

	"papayastair.dev/papayastair/wire"
)

// operationKind is what an operation wants.
type operationKind = wire.AttemptRequestOperation

const (
	// operationBegin creates a record, or finds the one that is there.
	operationBegin = wire.AttemptRequestOperationBegin
	// operationFinish adds the answer to a record.
	operationFinish = wire.AttemptRequestOperationFinish
	// operationRelease removes the record of a call that never left.
	operationRelease = wire.AttemptRequestOperationRelease
)

// operation is one wish to change a shard.
type operation struct {
	kind operationKind
	// record is the record to create, or its Key, Attempt and Answer.
	record wire.AttemptRecord
	// arrived is when the operation came, deadline is when it is refused.
	arrived  time.Time
	deadline time.Time
	result   *result
}

// draft is a shard's next value in the making, from the stored one and the
// operations that wait.
type draft struct {
	value wire.AttemptShard
	// stored is how many of the records are in the store already.
	stored int
	// positions are the indexes of the records by key.
	positions map[string]int
	// batch are the operations that the draft carries out.
	batch []*operation
	// dropped are segments that the value doesn't name any more.
	dropped []wire.AttemptSegmentRef
	bytes   int
}

// newDraft copies a stored value without what has expired by now, in
// milliseconds.
func newDraft(stored wire.AttemptShard, now int) *draft {
	d := &draft{positions: make(map[string]int, len(stored.Records))}
	for i := range stored.Records {
		if stored.Records[i].ExpiresUnixMilliseconds > now {
			d.add(stored.Records[i])
		}
	}
	d.stored = len(d.value.Records)
	for _, ref := range stored.Segments {
		if ref.ExpiresUnixMilliseconds > now {
			d.value.Segments = append(d.value.Segments, ref)
		} else {
			d.dropped = append(d.dropped, ref)
		}
	}

	return d
}

func (d *draft) add(record wire.AttemptRecord) {
	d.positions[record.Key] = len(d.value.Records)
	d.value.Records = append(d.value.Records, record)
	d.bytes += recordBytes(record)
}

// find returns the record of a key, and whether it is in the store already.
func (d *draft) find(key string) (record *wire.AttemptRecord, stored bool) {
	i, ok := d.positions[key]
	if !ok {
		return nil, false
	}

	return &d.value.Records[i], i < d.stored
}

// own returns the record of an operation's own attempt, or nil.
func (d *draft) own(o *operation) *wire.AttemptRecord {
	record, _ := d.find(o.record.Key)
	if record == nil || record.Attempt != o.record.Attempt {
		return nil
	}

	return record
}

// remove takes records out by key.
func (d *draft) remove(keys map[string]bool) {
	before := d.value.Records
	stored := d.stored
	d.value.Records = nil
	d.positions = make(map[string]int, len(before))
	d.bytes = 0
	for i := range before {
		if !keys[before[i].Key] {
			d.add(before[i])
		} else if i < stored {
			d.stored--
		}
	}
}

// spill replaces records by the segment that holds them. It reports false,
// and changes nothing, unless all of them are there as in the segment.
func (d *draft) spill(s *spill) bool {
	keys := make(map[string]bool, len(s.records))
	for i := range s.records {
		record, _ := d.find(s.records[i].Key)
		if record == nil || record.Attempt != s.records[i].Attempt || record.Answer.Status != s.records[i].Answer.Status {
			return false
		}
		keys[record.Key] = true
	}
	d.remove(keys)
	d.value.Segments = append(d.value.Segments, s.ref)

	return true
}

// names says whether the value names a segment.
func (d *draft) names(segment string) bool {
	return slices.ContainsFunc(d.value.Segments, func(ref wire.AttemptSegmentRef) bool { return ref.Name == segment })
}

// spill is a segment on its way into a shard. Its ref has no version until
// the segment is stored.
type spill struct {
	ref     wire.AttemptSegmentRef
	records []wire.AttemptRecord
}

// chooseSpill takes the oldest records that will not change any more, up to
// limit bytes. Those without an answer stay until they are older than any
// answer can be late.
func chooseSpill(value wire.AttemptShard, limit, expiresBefore int) *spill {
	s := &spill{}
	bytes := 0
	for _, record := range value.Records {
		if record.Answer.Status == 0 && record.ExpiresUnixMilliseconds > expiresBefore {
			continue
		}
		bytes += recordBytes(record)
		if bytes > limit && len(s.records) > 0 {
			break
		}
		s.records = append(s.records, record)
		s.ref.ExpiresUnixMilliseconds = max(s.ref.ExpiresUnixMilliseconds, record.ExpiresUnixMilliseconds)
	}
	if len(s.records) == 0 {
		return nil
	}

	return s
}

// recordBytes estimates the size of a record in JSON.
func recordBytes(record wire.AttemptRecord) int {
	const fixed = 240
	n := fixed + len(record.Attempt) + len(record.Answer.Body)
	for _, header := range record.Answer.Headers {
		n += len(header.Name) + len(header.Value) + len(`{"Name":"","Value":""},`)
	}

	return n
}

func valueBytes(value wire.AttemptShard) int {
	n := 0
	for i := range value.Records {
		n += recordBytes(value.Records[i])
	}

	return n
}
