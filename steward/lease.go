package steward

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"go.uber.org/zap"

	"papayastair.dev/papayastair/event"
	"papayastair.dev/papayastair/objectstore"
	"papayastair.dev/papayastair/wire"
)

// Kind is the kind of the leases' objects in the store.
const Kind = "papayastair-steward"

const (
	// _renewEvery, _retryEvery and _callTimeout leave room for two failed
	// renewals within _leaseHold.
	_renewEvery  = 800 * time.Millisecond
	_retryEvery  = 150 * time.Millisecond
	_callTimeout = 500 * time.Millisecond
	// _leaseHold is how long after asking for a renewal orders may be given.
	_leaseHold = 2400 * time.Millisecond
	// _orderMargin is how long an order may be on its way.
	_orderMargin = 200 * time.Millisecond
	// _holderSilence is after how long without a word of the holder another
	// instance looks at the lease.
	_holderSilence = 1500 * time.Millisecond
	_lookEvery     = 300 * time.Millisecond
	// _firstLook is how long after its start an instance looks first: it has
	// heard by then who else is there, so that not all look.
	_firstLook = 500 * time.Millisecond
	// _unrenewed is for how long a lease must stay at one version to be taken
	// from a silent holder: one that lives renews it more often.
	_unrenewed  = 1200 * time.Millisecond
	_takeMargin = 300 * time.Millisecond
)

// LeaseConfig is what a Lease works with.
type LeaseConfig struct {
	// Store is the way to the lease's object, and Object its name.
	Store  objectstore.Store
	Object string
	// Delay is how much later than others this instance looks at a lease
	// without a holder, so that not all try at once.
	Delay func() time.Duration
	// Name and Start identify this process. A holder is an instance by name:
	// after a restart it may go on at once.
	Name  string
	Start int
	// Turn is the shortest time between the last order of one holder and the
	// first of the next.
	Turn time.Duration
	// Elapsed is the clock that counts pauses.
	Elapsed func() time.Duration
	// Log takes the events.
	Log *event.Log
}

// Lease says whether this instance is the steward. Step does its work.
type Lease struct {
	cfg LeaseConfig

	mu       sync.Mutex
	held     bool
	fence    int
	version  int
	sequence int
	validTo  time.Duration
	// notBefore is when the first order may be given.
	notBefore time.Duration
	heard     time.Duration
	// seen is the lease's version as another holds it, since when it has not
	// changed.
	seen      int
	seenSince time.Duration
	// toldVersion and toldUntil are the version that its holder told last, and
	// until when orders may be given by it, by this instance's clock.
	toldVersion int
	toldUntil   time.Duration
}

// NewLease returns a lease that is not held.
func NewLease(cfg LeaseConfig) *Lease {
	return &Lease{
		cfg:   cfg,
		heard: cfg.Elapsed() - _holderSilence + _firstLook,
	}
}

// MayOrder says whether an order may leave now, and with which fencing number.
// It is asked just before each order is sent.
func (l *Lease) MayOrder() (fence int, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Elapsed()

	return l.fence, l.held && now >= l.notBefore && now < l.validTo-_orderMargin
}

// Holding is what the holder of a lease tells the others.
type Holding struct {
	// Fence is the fencing number.
	Fence int
	// Version is that of the lease's object.
	Version int
	// Left is for how long orders may be given without a renewal.
	Left time.Duration
}

// Held says whether this instance is the steward, as far as it knows.
func (l *Lease) Held() (Holding, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	left := l.validTo - l.cfg.Elapsed()

	return Holding{
		Fence:   l.fence,
		Version: l.version,
		Left:    left,
	}, l.held && left > 0
}

// HolderHeard notes what another instance says as the steward. It said so no
// later than now, so its time to order ends no later than Left from now.
func (l *Lease) HolderHeard(h Holding) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heard = l.cfg.Elapsed()
	l.toldVersion = h.Version
	l.toldUntil = l.heard + h.Left
}

// Step renews the lease, or takes it if its holder is gone. It returns the
// time until the next step.
func (l *Lease) Step(ctx context.Context) time.Duration {
	l.mu.Lock()
	held := l.held
	silence := l.cfg.Elapsed() - l.heard
	l.mu.Unlock()
	if held {
		if !l.renew(ctx) {
			return _retryEvery
		}

		return _renewEvery
	}
	if silence >= _holderSilence+l.cfg.Delay() {
		l.look(ctx)
	}

	return _lookEvery
}

// Release lets another instance take the lease at once.
func (l *Lease) Release(ctx context.Context) {
	l.mu.Lock()
	held, version, waiting := l.held, l.version, l.cfg.Elapsed() < l.notBefore
	l.held = false
	l.mu.Unlock()
	if held {
		// Not released, the lease runs out by itself.
		_, err := l.put(ctx, version, waiting, true)
		l.logLost("Released", err)
	}
}

func (l *Lease) renew(ctx context.Context) bool {
	asked := l.cfg.Elapsed()
	l.mu.Lock()
	version, waiting := l.version, asked < l.notBefore
	l.mu.Unlock()
	next, err := l.put(ctx, version, waiting, false)
	if err == nil {
		l.mu.Lock()
		l.version = next
		l.validTo = asked + _leaseHold
		l.mu.Unlock()

		return true
	}
	l.cfg.Log.Write(event.StewardFailed, zap.String("Lease", l.cfg.Object), zap.String("Call", "Renew"), zap.Error(err))
	switch objectstore.CodeOf(err) {
	case objectstore.CodeConflict, objectstore.CodeUnknown, objectstore.CodeNotFound:
		l.settle(ctx)
	case objectstore.CodeNotRun, objectstore.CodeGone:
	}

	return false
}

// settle reads the lease after a renewal of unknown outcome: it is still this
// process's, at another version, or another's.
func (l *Lease) settle(ctx context.Context) {
	object, lease, err := l.get(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case objectstore.CodeOf(err) == objectstore.CodeNotFound:
	case err != nil:
		return
	case lease.Holder == l.cfg.Name && lease.Start == l.cfg.Start && !lease.Released:
		l.version = object.Version

		return
	}
	l.held = false
	l.logLost("Taken by "+lease.Holder, nil)
}

// look takes the lease if there is none, if it was released, if a former
// start of this instance holds it, or if its holder is silent and doesn't renew
// it. Orders may be given only a turn after the former holder's last one can
// have been.
func (l *Lease) look(ctx context.Context) {
	object, lease, err := l.get(ctx)
	if err != nil && objectstore.CodeOf(err) != objectstore.CodeNotFound {
		return
	}
	now := l.cfg.Elapsed()
	notBefore := now
	switch {
	case err != nil:
	case lease.Waiting && (lease.Holder == l.cfg.Name || lease.Released):
		// Whoever held it before may have given orders for as long as a lease
		// lasts after it was taken.
		notBefore = now + _leaseHold + l.cfg.Turn + _takeMargin
	case lease.Holder == l.cfg.Name:
	case lease.Released:
		notBefore = now + l.cfg.Turn + _takeMargin
	default:
		ends, ok := l.unrenewed(object.Version, now)
		if !ok {
			return
		}
		notBefore = ends + l.cfg.Turn + _takeMargin
	}
	version, err := l.put(ctx, object.Version, notBefore > now, false)
	if err != nil {
		l.cfg.Log.Write(event.StewardFailed, zap.String("Lease", l.cfg.Object), zap.String("Call", "Take"), zap.Error(err))

		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = true
	l.version = version
	l.fence = version
	l.validTo = now + _leaseHold
	l.notBefore = notBefore
	l.cfg.Log.Write(event.StewardTaken, zap.String("Lease", l.cfg.Object), zap.Int("Fence", version), zap.String("Former", lease.Holder),
		zap.Duration("Wait", max(0, notBefore-now)))
}

// unrenewed says whether the lease has stayed at one version for so long that
// its holder doesn't renew it, and until when the holder may give orders by
// that version: no longer than _leaseHold after it was first seen, nor than
// the holder told.
func (l *Lease) unrenewed(version int, now time.Duration) (ends time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.seen != version {
		l.seen = version
		l.seenSince = now

		return 0, false
	}
	ends = l.seenSince + _leaseHold
	if l.toldVersion == version {
		ends = min(ends, l.toldUntil)
	}

	return ends, now-l.seenSince >= _unrenewed
}

func (l *Lease) get(ctx context.Context) (wire.Object, wire.StewardLease, error) {
	ctx, cancel := context.WithTimeout(ctx, _callTimeout)
	defer cancel()
	var lease wire.StewardLease
	object, err := l.cfg.Store.Get(ctx, Kind, l.cfg.Object)
	if err != nil {
		if objectstore.CodeOf(err) != objectstore.CodeNotFound {
			l.cfg.Log.Write(event.StewardFailed, zap.String("Lease", l.cfg.Object), zap.String("Call", "Read"), zap.Error(err))
		}

		return wire.Object{}, lease, err
	}
	if err := json.Unmarshal([]byte(object.Value), &lease); err != nil {
		// Only instances write it; one that can't be read is replaced.
		l.cfg.Log.Write(event.StewardFailed, zap.String("Lease", l.cfg.Object), zap.String("Call", "Decode"), zap.Error(err))
	}

	return object, lease, nil
}

func (l *Lease) put(ctx context.Context, version int, waiting, released bool) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, _callTimeout)
	defer cancel()
	l.mu.Lock()
	l.sequence++
	lease := wire.StewardLease{
		Holder:   l.cfg.Name,
		Start:    l.cfg.Start,
		Sequence: l.sequence,
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
