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

// Options are times of a Manager. The zero value of a field takes the
// default.
type Options struct {
	// SendWindow is how long after the begin of the write that records an
	// order the order may be sent.
	SendWindow time.Duration
	// ArrivalBound is the longest time from the sending of an order to its
	// last arrival at the engine.
	ArrivalBound time.Duration
	// ReportPeriod is the time between reports of a server with work to do.
	ReportPeriod time.Duration
	// IdleReportPeriod is the time between reports of a server without.
	IdleReportPeriod time.Duration
	// RecheckPeriod is how often a lease that another instance holds is read.
	RecheckPeriod time.Duration
	// RebalanceAfter is how long another instance must be the preferred
	// holder until a lease is handed over.
	RebalanceAfter time.Duration
	// Concurrency is how many servers are worked on at once; 1 makes a run
	// repeatable.
	Concurrency int
}

const (
	_kind             = "OrderLease"
	_stepPeriod       = time.Second
	_sendWindow       = 2 * time.Second
	_arrivalBound     = 10 * time.Second
	_reportPeriod     = time.Second
	_idleReportPeriod = 5 * time.Second
	_recheckPeriod    = 30 * time.Second
	_rebalanceAfter   = 5 * time.Minute
	_retryPeriod      = 2 * time.Second
	_clearAfter       = 10 * time.Second
	_concurrency      = 8
	// _takesPerSecond spreads the first reads and writes of all leases when
	// all instances start at once.
	_takesPerSecond = 200
	// _maxUpdates bounds what one server's report changes in the catalog at a
	// time, so that a failure domain that comes back doesn't flood the store.
	_maxUpdates   = 2
	_maxSends     = 3
	_closeTimeout = 2 * time.Second
)

// Manager gives the orders of one instance to the backend servers whose
// leases it holds. Set the fields, then either call Start and Close, or Step
// from a test.
type Manager struct {
	// Name is the instance's name.
	Name string
	// Incarnation rises with each start of the instance, in Unix
	// milliseconds; Members must show it too.
	Incarnation int
	Store       objectstore.Store
	Catalog     *placement.Catalog
	// Send sends an order once. An error means that the outcome is unknown.
	// Send and Report must end within a second or two.
	Send func(ctx context.Context, server string, order wire.Order) (wire.OrderResult, error)
	// Report asks a backend server for its load report.
	Report func(ctx context.Context, server string) (wire.LoadReport, error)
	// Members returns the live instances, this one included.
	Members func() []wire.Member
	// Fleet returns the settings in force.
	Fleet   func() placement.Fleet
	Timer   *timer.Service
	Log     *event.Log
	Options Options
	Guards  Guards
	// Metrics counts orders and leases under Order; nil means the default
	// registry.
	Metrics metrics.Registry

	orders   atomic.Int64
	mu       sync.Mutex
	servers  map[string]*server
	adapters map[string]map[string]time.Time
	kick     chan struct{}
	cancel   context.CancelFunc
	period   *timer.Subscription
	wg       conc.WaitGroup
}

// Start works until Close.
func (m *Manager) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.mu.Lock()
	m.kick = make(chan struct{}, 1)
	m.mu.Unlock()
	m.period = m.Timer.Every(_stepPeriod, func(time.Time) { m.wake() })
	m.wg.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-m.kick:
				m.Step(ctx, m.Timer.Now())
			}
		}
	})
}

// Close stops giving orders, waits for those under way and releases the
// leases, so that other instances take them over at once.
func (m *Manager) Close() {
	m.period.Stop()
	m.cancel()
	m.wg.Wait()
	ctx, cancel := context.WithTimeout(context.Background(), _closeTimeout)
	defer cancel()
	m.Release(ctx)
}

// Step works once on each backend server that this instance holds or should
// hold. It must not be called by two goroutines at once.
func (m *Manager) Step(ctx context.Context, now time.Time) {
	if !m.Catalog.Loaded() {
		return
	}
	m.setDefaults()
	fleet := m.Fleet()
	members := m.Members()
	ranking := placement.Ranking(members)
	work := pool.New().WithMaxGoroutines(m.Options.Concurrency)
	present := map[string]bool{}
	for _, settings := range fleet.Servers {
		if settings.Kind != wire.BackendServerKindEngine {
			continue
		}
		present[settings.Name] = true
		turn := turn{
			fleet:     fleet,
			members:   members,
			preferred: ranking.Lookup(settings.Name) == m.Name,
			now:       now,
		}
		s := m.server(settings, turn)
		switch {
		case s == nil:
		case m.Options.Concurrency == 1:
			s.step(ctx, turn)
		default:
			work.Go(func() { s.step(ctx, turn) })
		}
	}
	work.Wait()
	m.mu.Lock()
	defer m.mu.Unlock()
	maps.DeleteFunc(m.servers, func(name string, s *server) bool {
		return !present[name] || (!s.held && !s.wanted && !s.uncertain)
	})
}

// Release hands all leases over. The records of orders that may still arrive
// stay in the objects.
func (m *Manager) Release(ctx context.Context) {
	m.mu.Lock()
	servers := slices.SortedFunc(maps.Values(m.servers), func(a, b *server) int {
		return cmp.Compare(a.settings.Name, b.settings.Name)
	})
	m.mu.Unlock()
	for _, s := range servers {
		if s.held {
			s.release(ctx)
		}
	}
}

// Holds reports whether this instance gives the orders of a backend server.
func (m *Manager) Holds(server string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.servers[server]

	return s != nil && s.holds.Load()
}

// RequestAdapter asks for an adapter to be loaded beside its model on a
// backend server, and marks it as used; call it when no server has the
// adapter, and each few seconds while it is in use. It reports false when this instance
// doesn't hold the server's lease; ask the instance that
// placement.Preferred names for the server.
func (m *Manager) RequestAdapter(server, adapter string) bool {
	if !m.Holds(server) {
		return false
	}
	m.mu.Lock()
	if m.adapters == nil {
		m.adapters = map[string]map[string]time.Time{}
	}
	if m.adapters[server] == nil {
		m.adapters[server] = map[string]time.Time{}
	}
	m.adapters[server][adapter] = m.Timer.Now()
	if s := m.servers[server]; s != nil {
		s.urgent.Store(true)
	}
	m.mu.Unlock()
	m.wake()

	return true
}

// Status tells operators which servers' orders this instance gives.
type Status struct {
	Server string
	Fence  int
	// InDoubt is how many orders may still arrive.
	InDoubt int
	// Asked is when the server's last report was asked for.
	Asked time.Time
	// Charged is the memory that is or may come to be in use, in bytes, by
	// accelerator.
	Charged map[string]int
}

// Status is this instance's part of the orders, ordered by server, as of the
// last step on each.
func (m *Manager) Status() []Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	var list []Status
	for _, s := range m.servers {
		if status := s.status.Load(); status != nil && s.holds.Load() {
			list = append(list, *status)
		}
	}
	slices.SortFunc(list, func(a, b Status) int { return cmp.Compare(a.Server, b.Server) })

	return list
}

func (m *Manager) count(name string) {
	metrics.GetOrRegisterCounter("Order."+name, m.Metrics).Inc(1)
}

func (m *Manager) wake() {
	m.mu.Lock()
	defer m.mu.Unlock()
	select {
	case m.kick <- struct{}{}:
	default:
	}
}

func (m *Manager) setDefaults() {
	o := &m.Options
	o.SendWindow = cmp.Or(o.SendWindow, _sendWindow)
	o.ArrivalBound = cmp.Or(o.ArrivalBound, _arrivalBound)
	o.ReportPeriod = cmp.Or(o.ReportPeriod, _reportPeriod)
	o.IdleReportPeriod = cmp.Or(o.IdleReportPeriod, _idleReportPeriod)
	o.RecheckPeriod = cmp.Or(o.RecheckPeriod, _recheckPeriod)
	o.RebalanceAfter = cmp.Or(o.RebalanceAfter, _rebalanceAfter)
	o.Concurrency = cmp.Or(o.Concurrency, _concurrency)
}

// server is the state of one backend server; nil if it isn't this instance's
// concern.
func (m *Manager) server(settings wire.BackendServer, t turn) *server {
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
		share := float64(xxhash.Sum64String(settings.Name)) / math.MaxUint64
		spread := float64(len(t.fleet.Servers)) / _takesPerSecond * float64(time.Second)
		s = &server{
			Manager: m,
			nextTry: t.now.Add(time.Duration(share * spread)),
		}
		m.servers[settings.Name] = s
	}
	s.settings = settings
	s.wanted = t.preferred

	return s
}

// requested are the adapters lately asked for on a server, with the last time.
func (m *Manager) requested(server string, now time.Time) map[string]time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	maps.DeleteFunc(m.adapters[server], func(_ string, at time.Time) bool { return now.Sub(at) > _adapterIdle })

	return maps.Clone(m.adapters[server])
}

// id is unique for each start of the instance.
func (m *Manager) id() string {
	return fmt.Sprintf("%s.%d", m.Name, m.Incarnation)
}

func (m *Manager) newOrderID() string {
	return fmt.Sprintf("%s.%d", m.id(), m.orders.Add(1))
}
