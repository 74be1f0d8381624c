package order

import (
	"context"
	"encoding/json"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"papayastair.dev/papayastair/event"
	"papayastair.dev/papayastair/objectstore"
	"papayastair.dev/papayastair/placement"
	"papayastair.dev/papayastair/wire"
)

// server is the state that this instance keeps for one backend server.
type server struct {
	*Manager
	settings wire.BackendServer
	// preferred reports whether this instance is the preferred holder.
	preferred bool
	// held reports whether this instance considers itself the holder of the
	// lease; heldAtomic mirrors it for other goroutines.
	held       bool
	heldAtomic atomic.Bool
	// version is the last known version of the lease object, 0 if it doesn't
	// exist. versionStale is set when the object must be read before the next
	// write.
	version      int
	versionStale bool
	// fence is the fencing number: the version at which the lease was acquired.
	fence         int
	writeSequence int
	// storedIntents is the number of intents in the lease object as of the
	// write at storedAt.
	storedIntents int
	storedAt      time.Time
	// acquireUnconfirmed is set after a write to acquire the lease that was
	// not acknowledged, until a read shows whether it was applied.
	acquireUnconfirmed bool
	// otherHolderSince is when another live instance was first seen to hold
	// the lease since the last attempt to acquire it.
	otherHolderSince time.Time
	// verifiedAt is when the lease object was last known to name this instance.
	verifiedAt   time.Time
	ledger       *Ledger
	reconcileNow atomic.Bool
	status       atomic.Pointer[Status]
	nextAcquire  time.Time
	nextReport   time.Time
	// catalogChanges is Catalog.Changes as of the last call of hasNewWork.
	catalogChanges int
	// notPreferredSince is when this instance ceased to be the preferred
	// holder; zero while it is.
	notPreferredSince time.Time
	// lastLogged identifies the last event that logOnce wrote.
	lastLogged string
}

// stepInput is the state of the cluster that one step works with.
type stepInput struct {
	fleet     placement.Fleet
	members   []wire.Member
	preferred bool
	now       time.Time
}

// step acquires the lease if this instance should hold it. As the holder it
// hands the lease over to another preferred holder, verifies the lease, and
// reconciles the backend server when that is due.
func (s *server) step(ctx context.Context, t stepInput) {
	if !s.held && (t.preferred || s.acquireUnconfirmed) && !t.now.Before(s.nextAcquire) {
		s.acquire(ctx, t)
	}
	if !s.held {
		return
	}
	if t.preferred {
		s.notPreferredSince = time.Time{}
	} else if s.notPreferredSince.IsZero() {
		s.notPreferredSince = t.now
	}
	if !t.preferred && t.now.Sub(s.notPreferredSince) >= s.Options.RebalanceDelay && len(s.ledger.entries) == 0 {
		s.releaseLease(ctx)

		return
	}
	if t.now.Sub(s.verifiedAt) >= s.Options.LeaseCheckPeriod && !s.verifyHolder(ctx) && !s.held {
		return
	}
	if s.reconcileNow.Swap(false) || s.hasNewWork() || !t.now.Before(s.nextReport) {
		s.reconcile(ctx, t)
	}
}

// hasNewWork reports whether the catalog has changed since the last call and
// lists a copy on this server that is not in its final state.
func (s *server) hasNewWork() bool {
	changes := s.Catalog.Changes()
	if changes == s.catalogChanges {
		return false
	}
	s.catalogChanges = changes

	return slices.ContainsFunc(s.Catalog.CopiesOn(s.settings.Name), inTransition)
}

// acquire acquires the lease unless another live instance holds it. The
// preferred holder replaces even a live one that has not released the lease
// within twice Options.RebalanceDelay. That is safe at any time: the previous
// holder can no longer record orders, and its recorded ones are charged here.
func (s *server) acquire(ctx context.Context, t stepInput) {
	s.nextAcquire = t.now.Add(_retryPeriod)
	lease, version, err := s.readLease(ctx)
	if err != nil {
		s.Log.Write(event.OrderStoreFailed, zap.String("BackendServer", s.settings.Name), zap.Error(err))

		return
	}
	own := lease.Holder == s.Name && lease.HolderIncarnation == s.Incarnation
	s.acquireUnconfirmed = s.acquireUnconfirmed && own
	if !own && !t.preferred {
		return
	}
	if lease.Holder != s.Name && holderAlive(lease, t.members) {
		s.nextAcquire = t.now.Add(s.Options.LeaseCheckPeriod)
		if s.otherHolderSince.IsZero() {
			s.otherHolderSince = t.now
		}
		if t.now.Sub(s.otherHolderSince) < 2*s.Options.RebalanceDelay {
			return
		}
	}
	s.otherHolderSince = time.Time{}
	lease.Holder = s.Name
	lease.HolderIncarnation = s.Incarnation
	s.version = version
	if !s.putLease(ctx, lease) {
		s.acquireUnconfirmed = s.versionStale

		return
	}
	s.acquireUnconfirmed = false
	s.setHeld(true)
	s.fence = s.version
	s.ledger = NewLedger(s.Unsafe)
	s.nextReport = t.now
	latestArrival := s.Timer.Now().Add(s.Options.SendWindow + s.Options.MaxDeliveryDelay)
	for _, intent := range lease.Intents {
		if !s.Unsafe.IgnoreInheritedIntents {
			s.ledger.AddInherited(orderFromIntent(intent), latestArrival)
		}
	}
	s.Log.Write(event.OrderLeaseTaken, zap.String("BackendServer", s.settings.Name),
		zap.Int("Fence", s.fence), zap.Int("OrdersInDoubt", len(lease.Intents)))
}

// holderAlive reports whether the holder is a member and has not restarted
// since it acquired the lease. A restarted instance has lost its state of the
// lease.
func holderAlive(lease wire.OrderLease, members []wire.Member) bool {
	return slices.ContainsFunc(members, func(m wire.Member) bool {
		return m.Name == lease.Holder && m.Incarnation <= lease.HolderIncarnation
	})
}

// releaseLease clears the holder so that any instance may acquire the lease.
// If the write is not acknowledged, this instance remains the holder until it
// has read the object again.
func (s *server) releaseLease(ctx context.Context) {
	if s.versionStale && !s.verifyHolder(ctx) {
		return
	}
	if !s.putLease(ctx, wire.OrderLease{Intents: s.ledger.intents()}) {
		return
	}
	s.Log.Write(event.OrderLeaseReleased, zap.String("BackendServer", s.settings.Name))
	s.setHeld(false)
	s.nextAcquire = s.Timer.Now().Add(s.Options.LeaseCheckPeriod)
}

// recordIntents writes the orders that may still arrive to the lease object.
// Orders may be sent only after it has returned true.
func (s *server) recordIntents(ctx context.Context) bool {
	if s.versionStale && !s.verifyHolder(ctx) {
		return false
	}

	return s.putLease(ctx, wire.OrderLease{
		Holder:            s.Name,
		HolderIncarnation: s.Incarnation,
		Intents:           s.ledger.intents(),
	})
}

// verifyHolder reads the lease object and reports whether this instance still
// holds the lease. If another holder is found, it gives up the lease.
func (s *server) verifyHolder(ctx context.Context) bool {
	lease, version, err := s.readLease(ctx)
	if err != nil {
		s.Log.Write(event.OrderStoreFailed, zap.String("BackendServer", s.settings.Name), zap.Error(err))

		return false
	}
	if lease.Holder != s.Name || lease.HolderIncarnation != s.Incarnation {
		s.loseLease(lease.Holder)

		return false
	}
	s.version = version
	s.versionStale = false
	s.verifiedAt = s.Timer.Now()

	return true
}

// readLease returns the lease object and its version, or a zero lease and
// version 0 if it does not exist.
func (s *server) readLease(ctx context.Context) (wire.OrderLease, int, error) {
	var lease wire.OrderLease
	object, err := s.Store.Get(ctx, _leaseKind, s.settings.Name)
	if objectstore.CodeOf(err) == objectstore.CodeNotFound {
		return lease, 0, nil
	}
	if err != nil {
		return lease, 0, err
	}
	if err := json.Unmarshal([]byte(object.Value), &lease); err != nil {
		// The object may list orders that can still arrive, so it must not be
		// overwritten.
		return lease, 0, eris.Wrapf(err, "order: decode lease of backend server %s", s.settings.Name)
	}

	return lease, object.Version, nil
}

// putLease writes the lease object with a conditional update on its last known
// version and reports whether the store acknowledged the write.
func (s *server) putLease(ctx context.Context, lease wire.OrderLease) bool {
	s.writeSequence++
	lease.WriterID = s.writerID()
	lease.WriterSequence = s.writeSequence
	lease.Server = s.settings.Name
	value, err := json.Marshal(lease)
	if err != nil {
		panic("order: encode lease: " + err.Error())
	}
	version, err := s.Store.Put(ctx, _leaseKind, s.settings.Name, string(value), s.version)
	switch objectstore.CodeOf(err) {
	case "":
		s.version = version
		s.versionStale = false
		s.storedIntents = len(lease.Intents)
		s.storedAt = s.Timer.Now()
		s.verifiedAt = s.storedAt

		return true
	case objectstore.CodeConflict:
		s.versionStale = true
		if s.held {
			s.verifyHolder(ctx)
		}
	case objectstore.CodeUnknown:
		s.versionStale = true
		s.Log.Write(event.OrderStoreFailed, zap.String("BackendServer", s.settings.Name), zap.Error(err))
	default:
		s.Log.Write(event.OrderStoreFailed, zap.String("BackendServer", s.settings.Name), zap.Error(err))
	}

	return false
}

// loseLease records that another instance holds the lease.
func (s *server) loseLease(holder string) {
	s.incCounter("LeasesLost")
	s.setHeld(false)
	s.nextAcquire = s.Timer.Now().Add(s.Options.LeaseCheckPeriod)
	s.Log.Write(event.OrderLeaseLost, zap.String("BackendServer", s.settings.Name), zap.String("Holder", holder))
}

func (s *server) setHeld(held bool) {
	if held != s.held {
		change := int64(-1)
		if held {
			change = 1
		}
		metrics.GetOrRegisterCounter("Order.Leases", s.Metrics).Inc(change)
	}
	s.held = held
	s.heldAtomic.Store(held)
}
