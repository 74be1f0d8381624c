package order

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"

	"papayastair.dev/papayastair/event"
	"papayastair.dev/papayastair/objectstore"
	"papayastair.dev/papayastair/placement"
	"papayastair.dev/papayastair/timer"
	"papayastair.dev/papayastair/wire"
)

// Options configures the timing and concurrency of a Manager. A zero field
// selects its default.
type Options struct {
	// SendWindow is the time, from the start of the write that records an
	// order, within which the order may be sent.
	SendWindow time.Duration
	// MaxDeliveryDelay is the longest time between sending an order and its
	// last arrival at the engine.
	MaxDeliveryDelay time.Duration
	// ReportPeriod is the interval between load reports of a server with
	// pending work.
	ReportPeriod time.Duration
	// IdleReportPeriod is the interval between load reports of a server
	// without pending work.
	IdleReportPeriod time.Duration
	// LeaseCheckPeriod is the interval at which the holder verifies its lease
	// and the preferred holder reads a lease that another instance holds. It
	// also bounds the backoff between transmissions of an order.
	LeaseCheckPeriod time.Duration
	// RebalanceDelay is how long another instance must be the preferred holder
	// before a lease is handed over. After twice this time the preferred
	// holder acquires the lease without waiting for the handover.
	RebalanceDelay time.Duration
	// Concurrency is the number of servers processed in parallel; 1 makes a
	// run deterministic.
	Concurrency int
}

const (
	_leaseKind         = "OrderLease"
	_stepPeriod        = time.Second
	_sendWindow        = 2 * time.Second
	_maxDeliveryDelay  = 10 * time.Second
	_reportPeriod      = time.Second
	_idleReportPeriod  = 5 * time.Second
	_leaseCheckPeriod  = 30 * time.Second
	_rebalanceDelay    = 5 * time.Minute
	_retryPeriod       = 2 * time.Second
	_clearIntentsDelay = 10 * time.Second
	_concurrency       = 8
	// _acquiresPerSecond is the rate to which the first reads and writes of
	// all leases are spread out when all instances start at once.
	_acquiresPerSecond = 200
	// _maxCatalogUpdates limits the catalog updates per load report of one
	// server, so that the return of a failure domain does not flood the store.
	_maxCatalogUpdates = 2
	_maxSends          = 3
	_closeTimeout      = 2 * time.Second
)

// Manager sends orders to the backend servers whose leases this instance
// holds. Set the exported fields, then either call Start and Close, or drive
// it with Step in tests.
type Manager struct {
	// Name is the name of this instance.
	Name string
	// Incarnation increases with each start of the instance, in Unix
	// milliseconds. Members must return the same value for this instance.
	Incarnation int
	Store       objectstore.Store
	Catalog     *placement.Catalog
	// Send sends an order once. An error means that the outcome is unknown.
	// Send and Report must return within one or two seconds.
	Send func(ctx context.Context, server string, order wire.Order) (wire.OrderResult, error)
	// Report fetches the load report of a backend server.
	Report func(ctx context.Context, server string) (wire.LoadReport, error)
	// Members returns the live instances, including this one.
	Members func() []wire.Member
	// Fleet returns the settings in force.
	Fleet   func() placement.Fleet
	Timer   *timer.Service
	Log     *event.Log
	Options Options
	Unsafe  UnsafeOptions
	// Metrics counts orders and leases under names that start with Order; nil
	// selects the default registry.
	Metrics metrics.Registry

	orderCount      atomic.Int64
	mu              sync.Mutex
	servers         map[string]*server
	adapterRequests map[string]map[string]time.Time
	wakeup          chan struct{}
	cancel          context.CancelFunc
	ticker          *timer.Subscription
	wg              conc.WaitGroup
}

// Start runs Step periodically in the background until Close is called.
func (m *Manager) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.mu.Lock()
	m.wakeup = make(chan struct{}, 1)
	m.mu.Unlock()
	m.ticker = m.Timer.Every(_stepPeriod, func(time.Time) { m.wake() })
	m.wg.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-m.wakeup:
				m.Step(ctx, m.Timer.Now())
			}
		}
	})
}

// Close stops sending orders, waits for the running step and releases the
// leases, so that other instances can acquire them at once.
func (m *Manager) Close() {
	m.ticker.Stop()
	m.cancel()
	m.wg.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), _closeTimeout)
	defer cancel()
	m.Release(ctx)
}

// Step processes once each backend server whose lease this instance holds or
// should hold. It must not be called concurrently.
func (m *Manager) Step(ctx context.Context, now time.Time) {
	if !m.Catalog.Loaded() {
		return
	}
	m.setDefaults()
	fleet := m.Fleet()
	members := m.Members()
	ranking := placement.RendezvousHash(members)
	work := pool.New().WithMaxGoroutines(m.Options.Concurrency)
	present := map[string]bool{}
	for _, settings := range fleet.Servers {
		if settings.Kind != wire.BackendServerKindEngine {
			continue
		}
		present[settings.Name] = true
		in := stepInput{
			fleet:     fleet,
			members:   members,
			preferred: ranking.Lookup(settings.Name) == m.Name,
			now:       now,
		}
		s := m.serverFor(settings, in)
		switch {
		case s == nil:
		case m.Options.Concurrency == 1:
			s.step(ctx, in)
		default:
			work.Go(func() { s.step(ctx, in) })
		}
	}
	work.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	maps.DeleteFunc(m.servers, func(name string, s *server) bool {
		return !present[name] || (!s.held && !s.preferred && !s.acquireUnconfirmed)
	})
}

// Release releases all leases. The lease objects keep the orders that may
// still arrive.
func (m *Manager) Release(ctx context.Context) {
	m.mu.Lock()
	servers := slices.SortedFunc(maps.Values(m.servers), func(a, b *server) int {
		return cmp.Compare(a.settings.Name, b.settings.Name)
	})
	m.mu.Unlock()
	for _, s := range servers {
		if s.held {
			s.releaseLease(ctx)
		}
	}
}

// Holds reports whether this instance holds the lease of a backend server.
func (m *Manager) Holds(server string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.servers[server]

	return s != nil && s.heldAtomic.Load()
}

// RequestAdapter requests that a backend server load an adapter for a model
// that serves there, and marks the adapter as used. Call it when no server has
// the adapter, and every few seconds while it is in use. It returns false if
// this instance doesn't hold the server's lease; in that case send the request
// to the instance that placement.Preferred returns for the server.
func (m *Manager) RequestAdapter(server, adapter string) bool {
	if !m.Holds(server) {
		return false
	}
	m.mu.Lock()
	if m.adapterRequests == nil {
		m.adapterRequests = map[string]map[string]time.Time{}
	}
	if m.adapterRequests[server] == nil {
		m.adapterRequests[server] = map[string]time.Time{}
	}
	m.adapterRequests[server][adapter] = m.Timer.Now()
	if s := m.servers[server]; s != nil {
		s.reconcileNow.Store(true)
	}
	m.mu.Unlock()
	m.wake()

	return true
}

// Status describes a backend server whose lease this instance holds.
type Status struct {
	Server string
	Fence  int
	// OrdersInDoubt is the number of orders that may still arrive.
	OrdersInDoubt int
	// ReportRequestedAt is when the latest load report was requested.
	ReportRequestedAt time.Time
	// ChargedBytes is the memory, by accelerator, that is or may come into
	// use.
	ChargedBytes map[string]int
}

// Status returns the status of each server whose lease this instance holds, as
// of its last reconciliation, sorted by server.
func (m *Manager) Status() []Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []Status
	for _, s := range m.servers {
		if status := s.status.Load(); status != nil && s.heldAtomic.Load() {
			list = append(list, *status)
		}
	}
	slices.SortFunc(list, func(a, b Status) int { return cmp.Compare(a.Server, b.Server) })

	return list
}

func (m *Manager) incCounter(name string) {
	metrics.GetOrRegisterCounter("Order."+name, m.Metrics).Inc(1)
}

func (m *Manager) wake() {
	m.mu.Lock()
	defer m.mu.Unlock()
	select {
	case m.wakeup <- struct{}{}:
	default:
	}
}

func (m *Manager) setDefaults() {
	o := &m.Options
	o.SendWindow = cmp.Or(o.SendWindow, _sendWindow)
	o.MaxDeliveryDelay = cmp.Or(o.MaxDeliveryDelay, _maxDeliveryDelay)
	o.ReportPeriod = cmp.Or(o.ReportPeriod, _reportPeriod)
	o.IdleReportPeriod = cmp.Or(o.IdleReportPeriod, _idleReportPeriod)
	o.LeaseCheckPeriod = cmp.Or(o.LeaseCheckPeriod, _leaseCheckPeriod)
	o.RebalanceDelay = cmp.Or(o.RebalanceDelay, _rebalanceDelay)
	o.Concurrency = cmp.Or(o.Concurrency, _concurrency)
}

// serverFor returns the state of a backend server, or nil if this instance
// neither has state for it nor is its preferred holder. The first attempt to
// acquire a lease is delayed by a hash of the server's name, so that the
// attempts for all servers spread evenly.
func (m *Manager) serverFor(settings wire.BackendServer, t stepInput) *server {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.servers[settings.Name]
	if s == nil {
		if !t.preferred {
			return nil
		}
		if m.servers == nil {
			m.servers = map[string]*server{}
		}
		fraction := float64(xxhash.Sum64String(settings.Name)) / math.MaxUint64
		spread := float64(len(t.fleet.Servers)) / _acquiresPerSecond * float64(time.Second)
		s = &server{
			Manager:     m,
			nextAcquire: t.now.Add(time.Duration(fraction * spread)),
		}
		m.servers[settings.Name] = s
	}
	s.settings = settings
	s.preferred = t.preferred

	return s
}

// requestedAdapters returns the adapters requested on a server within
// _adapterIdleTimeout, with the time of the last request for each.
func (m *Manager) requestedAdapters(server string, now time.Time) map[string]time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	maps.DeleteFunc(m.adapterRequests[server], func(_ string, at time.Time) bool { return now.Sub(at) > _adapterIdleTimeout })

	return maps.Clone(m.adapterRequests[server])
}

// writerID returns an ID that is unique to this start of the instance.
func (m *Manager) writerID() string {
	return fmt.Sprintf("%s.%d", m.Name, m.Incarnation)
}

func (m *Manager) newOrderID() string {
	return fmt.Sprintf("%s.%d", m.writerID(), m.orderCount.Add(1))
}
