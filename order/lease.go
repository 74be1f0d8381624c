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

// server is one backend server as its holder sees it.
type server struct {
	*Manager
	settings wire.BackendServer
	// wanted says that this instance is the preferred holder.
	wanted bool
	// held says that this instance is the holder as far as it knows; holds
	// is the same for other goroutines.
	held  bool
	holds atomic.Bool
	// version is the store's version of the lease object; 0 with unread set
	// when it must be read first.
	version int
	unread  bool
	// fence is the fencing number: the version at which the lease was taken.
	fence    int
	sequence int
	// stored is how many intents the object holds, written when.
	stored  int
	written time.Time
	// uncertain says that a write that took the lease got no reply.
	uncertain bool
	// foreign is since when another live instance has been seen to hold it.
	foreign time.Time
	// checked is when the object was last known to name this instance.
	checked    time.Time
	ledger     *Ledger
	urgent     atomic.Bool
	status     atomic.Pointer[Status]
	nextTry    time.Time
	nextReport time.Time
	// changes is the catalog's count of changes at the last step.
	changes  int
	unwanted time.Time
	note     string
}

// turn is what one step goes by.
type turn struct {
	fleet     placement.Fleet
	members   []wire.Member
	preferred bool
	now       time.Time
}

func (s *server) step(ctx context.Context, t turn) {
	if !s.held && (t.preferred || s.uncertain) && !t.now.Before(s.nextTry) {
		s.take(ctx, t)
	}
	if !s.held {
		return
	}
	if t.preferred {
		s.unwanted = time.Time{}
	} else if s.unwanted.IsZero() {
		s.unwanted = t.now
	}
	if !t.preferred && t.now.Sub(s.unwanted) >= s.Options.RebalanceAfter && len(s.ledger.entries) == 0 {
		s.release(ctx)

		return
	}
	if t.now.Sub(s.checked) >= s.Options.RecheckPeriod && !s.reread(ctx) && !s.held {
		return
	}
	if s.urgent.Swap(false) || s.hasNewWork() || !t.now.Before(s.nextReport) {
		s.reconcile(ctx, t)
	}
}

// hasNewWork reports whether the catalog has changed and asks for something of
// this server.
func (s *server) hasNewWork() bool {
	changes := s.Catalog.Changes()
	if changes == s.changes {
		return false
	}
	s.changes = changes

	return slices.ContainsFunc(s.Catalog.On(s.settings.Name), unfinished)
}

// take takes the lease unless another live instance holds it. One that doesn't
// hand it over in good time loses it all the same: taking it is safe at any
// time.
func (s *server) take(ctx context.Context, t turn) {
	s.nextTry = t.now.Add(_retryPeriod)
	lease, version, err := s.read(ctx)
	if err != nil {
		s.Log.Write(event.OrderStoreFailed, zap.String("BackendServer", s.settings.Name), zap.Error(err))

		return
	}
	own := lease.Holder == s.Name && lease.HolderIncarnation == s.Incarnation
	s.uncertain = s.uncertain && own
	if !own && !t.preferred {
		return
	}
	if lease.Holder != s.Name && holderLives(lease, t.members) {
		s.nextTry = t.now.Add(s.Options.RecheckPeriod)
		if s.foreign.IsZero() {
			s.foreign = t.now
		}
		if t.now.Sub(s.foreign) < 2*s.Options.RebalanceAfter {
			return
		}
	}
	s.foreign = time.Time{}
	lease.Holder = s.Name
	lease.HolderIncarnation = s.Incarnation
	s.version = version
	if !s.put(ctx, lease) {
		s.uncertain = s.unread

		return
	}
	s.uncertain = false
	s.setHeld(true)
	s.fence = s.version
	s.ledger = NewLedger(s.Guards)
	s.nextReport = t.now
	latest := s.Timer.Now().Add(s.Options.SendWindow + s.Options.ArrivalBound)
	for _, intent := range lease.Intents {
		if !s.Guards.IntentsForgotten {
			s.ledger.Inherit(orderOf(intent), latest)
		}
	}
	s.Log.Write(event.OrderLeaseTaken, zap.String("BackendServer", s.settings.Name),
		zap.Int("Fence", s.fence), zap.Int("OrdersInDoubt", len(lease.Intents)))
}

// holderLives reports whether the holder is a member. One that has started
// again since it took the lease knows nothing of it.
func holderLives(lease wire.OrderLease, members []wire.Member) bool {
	return slices.ContainsFunc(members, func(m wire.Member) bool {
		return m.Name == lease.Holder && m.Incarnation <= lease.HolderIncarnation
	})
}

// release hands the lease over to whoever takes it first. Without a reply the
// instance stays the holder until it has read the object again.
func (s *server) release(ctx context.Context) {
	if s.unread && !s.reread(ctx) {
		return
	}
	if !s.put(ctx, wire.OrderLease{Intents: s.ledger.intents()}) {
		return
	}
	s.Log.Write(event.OrderLeaseReleased, zap.String("BackendServer", s.settings.Name))
	s.setHeld(false)
	s.nextTry = s.Timer.Now().Add(s.Options.RecheckPeriod)
}

// record writes the orders that may arrive into the lease object. Only after
// it reported true may they be sent.
func (s *server) record(ctx context.Context) bool {
	if s.unread && !s.reread(ctx) {
		return false
	}

	return s.put(ctx, wire.OrderLease{
		Holder:            s.Name,
		HolderIncarnation: s.Incarnation,
		Intents:           s.ledger.intents(),
	})
}

// reread finds out after a lost reply whether this instance is still the
// holder.
func (s *server) reread(ctx context.Context) bool {
	lease, version, err := s.read(ctx)
	if err != nil {
		s.Log.Write(event.OrderStoreFailed, zap.String("BackendServer", s.settings.Name), zap.Error(err))

		return false
	}
	if lease.Holder != s.Name || lease.HolderIncarnation != s.Incarnation {
		s.lose(lease.Holder)

		return false
	}
	s.version = version
	s.unread = false
	s.checked = s.Timer.Now()

	return true
}

func (s *server) read(ctx context.Context) (wire.OrderLease, int, error) {
	var lease wire.OrderLease
	object, err := s.Store.Get(ctx, _kind, s.settings.Name)
	if objectstore.CodeOf(err) == objectstore.CodeNotFound {
		return lease, 0, nil
	}
	if err != nil {
		return lease, 0, err
	}
	if err := json.Unmarshal([]byte(object.Value), &lease); err != nil {
		// It may name orders that can still arrive, so it isn't replaced.
		return lease, 0, eris.Wrapf(err, "order: decode the lease of %s", s.settings.Name)
	}

	return lease, object.Version, nil
}

// put writes the lease object conditionally and reports whether it did so for
// certain.
func (s *server) put(ctx context.Context, lease wire.OrderLease) bool {
	s.sequence++
	lease.WriterID = s.id()
	lease.WriterSequence = s.sequence
	lease.Server = s.settings.Name
	value, err := json.Marshal(lease)
	if err != nil {
		panic("order: encode a lease: " + err.Error())
	}
	version, err := s.Store.Put(ctx, _kind, s.settings.Name, string(value), s.version)
	switch objectstore.CodeOf(err) {
	case "":
		s.version = version
		s.unread = false
		s.stored = len(lease.Intents)
		s.written = s.Timer.Now()
		s.checked = s.written

		return true
	case objectstore.CodeConflict:
		s.unread = true
		if s.held {
			s.reread(ctx)
		}
	case objectstore.CodeUnknown:
		s.unread = true
		s.Log.Write(event.OrderStoreFailed, zap.String("BackendServer", s.settings.Name), zap.Error(err))
	default:
		s.Log.Write(event.OrderStoreFailed, zap.String("BackendServer", s.settings.Name), zap.Error(err))
	}

	return false
}

func (s *server) lose(holder string) {
	s.count("LeasesLost")
	s.setHeld(false)
	s.nextTry = s.Timer.Now().Add(s.Options.RecheckPeriod)
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
	s.holds.Store(held)
}
