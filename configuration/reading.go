package configuration

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"papayastair.dev/papayastair/event"
	"papayastair.dev/papayastair/wire"
)

// readIfDue reads the head from the store. Relays do so every period; the
// others only while they get no evidence through peers. After failures the
// readings of all instances spread out.
func (f *Follower) readIfDue(now time.Time) {
	r := &f.reading
	needed := f.relay || r.asked || f.inForce.Version == 0 || now.Sub(f.evidence.servedAsOf) > _ownReadAfter
	if r.busy || !needed || now.Before(r.next) {
		return
	}
	r.busy = true
	f.ReadHead(func(object wire.Object, err error) {
		f.mu.Lock()
		f.reading.busy = false
		f.onReading(object, err, now)
		f.mu.Unlock()
		f.notify()
	})
}

func (f *Follower) onReading(object wire.Object, err error, began time.Time) {
	head, err := decodeHead(object, err)
	if err != nil {
		f.onReadFailure(err)

		return
	}
	if f.reading.failing {
		f.Log.Write(event.StoreReadable)
	}
	f.reading.failing = false
	f.reading.backoff = 0
	f.evidence.hear(began)
	if head.Version < f.newest() {
		f.Log.Write(event.ConfigurationStaleRead, zap.Int("Version", head.Version), zap.Int("Known", f.newest()))
		if !f.Unguarded.Monotone {
			return
		}
	}
	f.evidence.read(head.Version, began)
	f.evidence.serve(f.inForce.Version)
	if head.Version == 0 {
		return
	}
	f.confirm(head, object.Version, began)
	f.offer(head, "")
	f.adoptIfReady()
}

// onReadFailure waits for a random part of a growing time before the next
// reading, so that many instances don't ask a weak store together.
func (f *Follower) onReadFailure(err error) {
	r := &f.reading
	if !r.failing {
		f.Log.Write(event.StoreUnreadable, zap.Error(err))
	}
	r.failing = true
	r.backoff = min(max(2*r.backoff, _period), _maxReadBackoff)
	wait := r.backoff/2 + time.Duration(f.Random.Int64N(int64(r.backoff)))
	r.next = f.Timer.Now().Add(wait)
}

// confirm proves a head to be the newest, when this instance starts or a
// starting peer has asked. A reading may be old, but a reading that shows
// this instance's own mark, written conditionally after it began to try, is
// not older than the mark. The outcome of the write itself isn't needed.
func (f *Follower) confirm(head wire.Head, version int, began time.Time) {
	r := &f.reading
	if head.Confirmer.ID == f.confirmerID() && head.Confirmer.Sequence == r.sequence && r.sequence > 0 {
		f.evidence.confirm(head.Version, r.confirmed)
	}
	// A starting relay confirms at once; others give it time to do so.
	starting := f.inForce.Version == 0 && (f.relay || began.Sub(f.started) >= _confirmDelay)
	settled := f.evidence.confirmedSince(began.Add(-_confirmPeriod), head.Version)
	r.asked = r.asked && !settled
	if settled || !starting && !r.asked {
		return
	}
	r.sequence++
	r.confirmed = f.Timer.Now()
	head.Confirmer = wire.Writer{
		ID:       f.confirmerID(),
		Sequence: r.sequence,
	}
	f.WriteHead(encode(head), version, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.readIfDue(f.Timer.Now())
	})
}

// confirmerID is unique for each start of the instance, as far as its clock
// goes.
func (f *Follower) confirmerID() string {
	return fmt.Sprintf("%s@%d", f.Name, f.started.UnixNano())
}
