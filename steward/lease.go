package steward

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"papayastair.dev/papayastair/event"
	"papayastair.dev/papayastair/objectstore"
	"papayastair.dev/papayastair/wire"
)

// Kind is the object kind of leases in the store.
const Kind = "papayastair-steward"

const (
	// _renewInterval, _retryInterval and _callTimeout leave time for two failed
	// renewals within _leaseDuration.
	_renewInterval = 800 * time.Millisecond
	_retryInterval = 150 * time.Millisecond
	_callTimeout   = 500 * time.Millisecond
	// _leaseDuration is the time after a renewal is requested during which the
	// holder may send orders.
	_leaseDuration = 2400 * time.Millisecond
	// _orderMargin is the longest time that an order may be in transit. It is
	// subtracted from the lease, so that no order arrives after the lease has
	// expired.
	_orderMargin = 200 * time.Millisecond
	// _holderTimeout is the time without a bulletin from the holder after which
	// other instances check the lease in the store.
	_holderTimeout = 1500 * time.Millisecond
	_checkInterval = 300 * time.Millisecond
	// _firstCheckDelay is the time from start to the first check. By then the
	// instance has received bulletins of a live holder, so that not every new
	// instance reads the store.
	_firstCheckDelay = 500 * time.Millisecond
	// _unrenewedTimeout is the time that the lease of a silent holder must stay
	// at one version before another instance acquires it. A live holder renews
	// more often.
	_unrenewedTimeout = 1200 * time.Millisecond
	_acquireMargin    = 300 * time.Millisecond
	// The first _firstCandidates instances check a lease without a holder one
	// _firstStagger after the other, the others one _otherStagger after the other: one of
	// the first has usually acquired it by then.
	_firstCandidates = 5
	_firstStagger    = 300 * time.Millisecond
	_otherStagger    = 20 * time.Millisecond
	// _unansweredStagger is how much longer than the instance before it one of the others
	// waits after a check without an answer.
	_unansweredStagger = 200 * time.Millisecond
)

// LeaseConfig configures a Lease.
type LeaseConfig struct {
	// Store holds the lease's object, whose name is Object.
	Store  objectstore.Store
	Object string
	// Before returns the number of instances that should rather acquire a lease without
	// a holder than this one, so that not all try at once; it is negative if this one
	// should not.
	Before func() int
	// Name and Start identify this process. The holder is identified by Name
	// alone, so that a restarted instance can resume its lease at once.
	Name  string
	Start int
	// HandoverDelay is the minimum time between the last order of one holder and the
	// first order of the next.
	HandoverDelay time.Duration
	// Elapsed returns the time on a clock that keeps running while the process
	// is suspended.
	Elapsed func() time.Duration
	// Log receives the events.
	Log *event.Log
}

// Lease is the right to send orders to the backend servers of one shard. Step
// acquires and renews it.
type Lease struct {
	cfg LeaseConfig

	mu       sync.Mutex
	held     bool
	fence    int
	version  int
	sequence int
	// epoch is that of the store when the lease was last read.
	epoch      int
	validUntil time.Duration
	// notBefore is the time of the first permitted order.
	notBefore  time.Duration
	reportedAt time.Duration
	// observedVersion is the last version of the lease read while another
	// instance holds it, and observedAt the time at which it was first read.
	observedVersion int
	observedAt      time.Duration
	// reportedVersion is the version that the holder reported last, at
	// reportedAt, and reportedUntil the end of its time to send orders under
	// that version, on this instance's clock.
	reportedVersion int
	reportedUntil   time.Duration
}

// NewLease returns a Lease that this instance doesn't hold yet.
func NewLease(cfg LeaseConfig) *Lease {
	return &Lease{
		cfg:        cfg,
		reportedAt: cfg.Elapsed() - _holderTimeout + _firstCheckDelay,
	}
}

// MayOrder reports whether an order may be sent now, and returns the fencing
// number to send with it. It must be called immediately before each order is
// sent.
func (l *Lease) MayOrder() (fence int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Elapsed()

	return l.fence, l.held && now >= l.notBefore && now < l.validUntil-_orderMargin
}

// MayOrderWithin reports whether the lease is held and orders may be sent after at
// most the given time, if it is renewed until then.
func (l *Lease) MayOrderWithin(wait time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Elapsed()

	return l.held && now+wait >= l.notBefore && now < l.validUntil-_orderMargin
}

// LeaseState is the state of a lease that its holder reports to other instances.
type LeaseState struct {
	// Fence is the fencing number.
	Fence int
	// Version is the version of the lease's object.
	Version int
	// Left is the time during which the holder may still send orders without a
	// renewal.
	Left time.Duration
}

// Held returns the state of the lease and reports whether this instance holds
// it, as of its last call to the store.
func (l *Lease) Held() (LeaseState, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	left := l.validUntil - l.cfg.Elapsed()

	return LeaseState{
		Fence:   l.fence,
		Version: l.version,
		Left:    left,
	}, l.held && left > 0
}

// ObserveHolder records a report of the holder. The holder sent it no later than
// now, so its time to send orders ends at the latest h.Left from now.
func (l *Lease) ObserveHolder(h LeaseState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reportedAt = l.cfg.Elapsed()
	l.reportedVersion = h.Version
	l.reportedUntil = l.reportedAt + h.Left
}

// Step renews the lease, or tries to acquire it if no holder has reported for
// _holderTimeout and the delay of this instance among all. It returns the time to
// wait before the next call.
func (l *Lease) Step(ctx context.Context) time.Duration {
	l.mu.Lock()
	held := l.held
	silence := l.cfg.Elapsed() - l.reportedAt
	l.mu.Unlock()
	if held {
		if !l.renew(ctx) {
			return _retryInterval
		}

		return _renewInterval
	}
	before := l.cfg.Before()
	if before < 0 || silence < _holderTimeout+checkDelay(before) || l.tryAcquire(ctx) {
		return _checkInterval
	}

	return unansweredPause(before)
}

// checkDelay returns how much later than the first instance one checks a lease that
// has the given number of instances before it.
func checkDelay(before int) time.Duration {
	first := min(before, _firstCandidates)

	return time.Duration(first)*_firstStagger + time.Duration(before-first)*_otherStagger
}

// unansweredPause returns the pause after a check that the store did not answer. While
// it is down no instance hears of a holder, and all of a large fleet check.
func unansweredPause(before int) time.Duration {
	return _checkInterval + time.Duration(max(before-_firstCandidates, 0))*_unansweredStagger
}

// Release gives up the lease so that another instance can acquire it without
// waiting for its expiry.
func (l *Lease) Release(ctx context.Context) {
	l.mu.Lock()
	held, version, waiting := l.held, l.version, l.cfg.Elapsed() < l.notBefore
	l.held = false
	l.mu.Unlock()
	if held {
		// If the write fails, the lease expires on its own.
		_, err := l.put(ctx, version, waiting, true)
		l.logLost("Released", err)
	}
}

func (l *Lease) renew(ctx context.Context) bool {
	requestedAt := l.cfg.Elapsed()
	l.mu.Lock()
	version, waiting := l.version, requestedAt < l.notBefore
	l.mu.Unlock()
	next, err := l.put(ctx, version, waiting, false)
	if err == nil {
		l.mu.Lock()
		l.version = next
		l.validUntil = requestedAt + _leaseDuration
		l.mu.Unlock()

		return true
	}
	l.cfg.Log.Write(event.StewardFailed, zap.String("Lease", l.cfg.Object), zap.String("Call", "Renew"), zap.Error(err))
	switch objectstore.CodeOf(err) {
	case objectstore.CodeConflict, objectstore.CodeUnknown, objectstore.CodeNotFound:
		l.reconcile(ctx)
	case objectstore.CodeNotRun, objectstore.CodeGone:
	}

	return false
}

// reconcile reads the lease after a renewal with an unknown outcome. The lease
// may be at a new version, or another process may have acquired it. A store that was
// restored may have forgotten that this process holds it; it does as long as its time to
// send orders lasts, unless another process has acquired the lease since.
func (l *Lease) reconcile(ctx context.Context) {
	object, lease, err := l.get(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err != nil && objectstore.CodeOf(err) != objectstore.CodeNotFound:
		return
	case lease.forgotten && l.cfg.Elapsed() < l.validUntil,
		!lease.forgotten && lease.Holder == l.cfg.Name && lease.Start == l.cfg.Start && !lease.Released:
		l.version = object.Version

		return
	}
	l.held = false
	l.logLost("Taken by "+lease.Holder, nil)
}

// tryAcquire acquires the lease if it doesn't exist, was released, belongs to
// this instance (also to an earlier process of it), or belongs to a silent
// holder that no longer renews it. The first order is permitted Turn and
// _acquireMargin after the last order that the previous holder can have sent. It
// reports whether the store answered.
func (l *Lease) tryAcquire(ctx context.Context) bool {
	object, lease, err := l.get(ctx)
	if err != nil && objectstore.CodeOf(err) != objectstore.CodeNotFound {
		return false
	}
	now := l.cfg.Elapsed()
	notBefore := now
	switch {
	case lease.forgotten:
		// Any process may have held the lease when the store lost its latest writes.
		notBefore = now + _leaseDuration + l.cfg.HandoverDelay + _acquireMargin
	case err != nil:
	case lease.Waiting && (lease.Holder == l.cfg.Name || lease.Released):
		// The last holder was still waiting to send its first order. The holder before it may
		// have sent orders for up to a lease duration after the lease was
		// acquired from it.
		notBefore = now + _leaseDuration + l.cfg.HandoverDelay + _acquireMargin
	case lease.Holder == l.cfg.Name:
	case lease.Released:
		notBefore = now + l.cfg.HandoverDelay + _acquireMargin
	default:
		ends, ok := l.holderExpiry(object.Version, now)
		if !ok {
			return true
		}
		notBefore = ends + l.cfg.HandoverDelay + _acquireMargin
	}
	version, err := l.put(ctx, object.Version, notBefore > now, false)
	if err != nil {
		l.cfg.Log.Write(event.StewardFailed, zap.String("Lease", l.cfg.Object), zap.String("Call", "Take"), zap.Error(err))

		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = true
	l.version = version
	l.fence = version
	l.validUntil = now + _leaseDuration
	l.notBefore = notBefore
	l.cfg.Log.Write(event.StewardTaken, zap.String("Lease", l.cfg.Object), zap.Int("Fence", version), zap.String("Former", lease.Holder),
		zap.Duration("Wait", max(0, notBefore-now)))

	return true
}

// holderExpiry reports whether the lease has stayed at version for
// _unrenewedTimeout, which means that its holder no longer renews it. It
// returns the end of the holder's time to send orders under that version:
// _leaseDuration after the version was first read, or the time that the holder
// reported if that is earlier. The first call with a new version records it and
// reports false.
func (l *Lease) holderExpiry(version int, now time.Duration) (ends time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.observedVersion != version {
		l.observedVersion = version
		l.observedAt = now

		return 0, false
	}
	ends = l.observedAt + _leaseDuration
	if l.reportedVersion == version {
		ends = min(ends, l.reportedUntil)
	}

	return ends, now-l.observedAt >= _unrenewedTimeout
}

// storedLease is a lease as the store has it. forgotten is set if it may be older than
// the latest one that the store has acknowledged, because the store was restored from a
// copy since it was written.
type storedLease struct {
	wire.StewardLease
	forgotten bool
}

func (l *Lease) get(ctx context.Context) (wire.Object, storedLease, error) {
	ctx, cancel := context.WithTimeout(ctx, _callTimeout)
	defer cancel()
	var lease storedLease
	object, err := l.cfg.Store.Get(ctx, Kind, l.cfg.Object)
	if err != nil {
		if objectstore.CodeOf(err) != objectstore.CodeNotFound {
			l.cfg.Log.Write(event.StewardFailed, zap.String("Lease", l.cfg.Object), zap.String("Call", "Read"), zap.Error(err))

			return wire.Object{}, lease, err
		}
		lease.forgotten = l.epochOf(err) > objectstore.FirstEpoch

		return wire.Object{}, lease, err
	}
	if err := json.Unmarshal([]byte(object.Value), &lease.StewardLease); err != nil {
		// Only instances write leases. One that can't be decoded is
		// overwritten.
		l.cfg.Log.Write(event.StewardFailed, zap.String("Lease", l.cfg.Object), zap.String("Call", "Decode"), zap.Error(err))
	}
	epoch := objectstore.Epoch(object.Version)
	l.setEpoch(epoch)
	lease.forgotten = lease.Epoch < epoch

	return object, lease, nil
}

// epochOf records and returns the store's epoch in which the lease doesn't exist.
func (l *Lease) epochOf(err error) int {
	var e *objectstore.Error
	if !errors.As(err, &e) {
		return 0
	}
	epoch := objectstore.Epoch(e.Version)
	l.setEpoch(epoch)

	return epoch
}

func (l *Lease) setEpoch(epoch int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.epoch = epoch
}

func (l *Lease) put(ctx context.Context, version int, waiting, released bool) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, _callTimeout)
	defer cancel()
	l.mu.Lock()
	l.sequence++
	// A write that replaces a version has no effect in a later epoch than its own.
	epoch := l.epoch
	if version != 0 {
		epoch = objectstore.Epoch(version)
	}
	lease := wire.StewardLease{
		Holder:   l.cfg.Name,
		Start:    l.cfg.Start,
		Sequence: l.sequence,
		Epoch:    epoch,
		Waiting:  waiting,
		Released: released,
	}
	l.mu.Unlock()
	value, err := json.Marshal(lease)
	if err != nil {
		return 0, err
	}

	return l.cfg.Store.Put(ctx, Kind, l.cfg.Object, string(value), version)
}

func (l *Lease) logLost(why string, err error) {
	l.cfg.Log.Write(event.StewardLost, zap.String("Lease", l.cfg.Object), zap.String("Why", why), zap.Int("Fence", l.fence), zap.Error(err))
}
