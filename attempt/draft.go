package attempt

import (
	"slices"
	"time"

	"papayastair.dev/papayastair/wire"
)

const (
	_mergeFactor     = 8
	_maxSegmentBytes = 768 << 10
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

// spill replaces records, or segments, by the segment that holds them now. It
// reports false, and changes nothing, unless all of them are still there.
func (d *draft) spill(s *spill) bool {
	keys := make(map[string]bool, len(s.records))
	for i := range s.records {
		if s.sources != nil {
			break
		}
		record, _ := d.find(s.records[i].Key)
		if record == nil || record.Attempt != s.records[i].Attempt || record.Answer.Status != s.records[i].Answer.Status {
			return false
		}
		keys[record.Key] = true
	}
	for _, source := range s.sources {
		if !d.names(source.Name) {
			return false
		}
	}
	d.remove(keys)
	d.value.Segments = slices.DeleteFunc(d.value.Segments, func(ref wire.AttemptSegmentRef) bool { return slices.Contains(s.sources, ref) })
	d.value.Segments = append(d.value.Segments, s.ref)
	d.dropped = append(d.dropped, s.sources...)

	return true
}

// names says whether the value names a segment.
func (d *draft) names(segment string) bool {
	return slices.ContainsFunc(d.value.Segments, func(ref wire.AttemptSegmentRef) bool { return ref.Name == segment })
}

// spill is a segment on its way into a shard. Its ref has no version until
// the segment is stored. It replaces its sources, or else the same records in
// the shard itself.
type spill struct {
	ref     wire.AttemptSegmentRef
	records []wire.AttemptRecord
	sources []wire.AttemptSegmentRef
	// read is how many sources have been read.
	read int
}

// add takes records in that have not expired by now, in milliseconds.
func (s *spill) add(now int, records ...wire.AttemptRecord) {
	for _, record := range records {
		if record.ExpiresUnixMilliseconds <= now {
			continue
		}
		s.records = append(s.records, record)
		s.ref.Bytes += recordBytes(record)
		s.ref.ExpiresUnixMilliseconds = max(s.ref.ExpiresUnixMilliseconds, record.ExpiresUnixMilliseconds)
	}
}

// isStale says that a source is no longer named by a value.
func (s *spill) isStale(value wire.AttemptShard) bool {
	return slices.ContainsFunc(s.sources, func(source wire.AttemptSegmentRef) bool { return !slices.Contains(value.Segments, source) })
}

// chooseSpill takes the oldest records that will not change any more, about
// limit bytes of them, or nothing if they are less than half of that. Those without an answer stay
// until they are older than any answer can be late.
func chooseSpill(value wire.AttemptShard, limit, expiresBefore int) *spill {
	s := &spill{}
	for _, record := range value.Records {
		if s.ref.Bytes >= limit {
			break
		}
		if record.Answer.Status != 0 || record.ExpiresUnixMilliseconds <= expiresBefore {
			s.add(0, record)
		}
	}
	if s.ref.Bytes < limit/2 {
		return nil
	}

	return s
}

// chooseMerge takes segments of about one size to be replaced by one, as soon
// as there are enough of them, or nothing. Sizes grow by the same factor, so
// that a record is copied a few times only.
func chooseMerge(value wire.AttemptShard, smallest int) *spill {
	for limit := smallest * _mergeFactor / 2; limit < _maxSegmentBytes; limit *= _mergeFactor {
		s := &spill{}
		bytes := 0
		for _, ref := range value.Segments {
			if ref.Bytes < limit/_mergeFactor || ref.Bytes >= limit {
				continue
			}
			isFull := bytes+ref.Bytes > _maxSegmentBytes
			if !isFull {
				s.sources = append(s.sources, ref)
				bytes += ref.Bytes
			}
			if len(s.sources) == _mergeFactor || isFull && len(s.sources) >= _mergeFactor/2 {
				return s
			}
		}
	}

	return nil
}

// recordBytes estimates the size of a record in JSON.
func recordBytes(record wire.AttemptRecord) int {
	const fixed = 180
	n := fixed + len(record.Key) + len(record.BodyHash) + len(record.Attempt) + len(record.Answer.Body)
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
