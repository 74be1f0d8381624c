package placement

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"papayastair.dev/papayastair/event"
	"papayastair.dev/papayastair/timer"
	"papayastair.dev/papayastair/wire"
)

const (
	_plannerKey   = "placement"
	_planInterval = time.Second
	// _standbyInterval is the interval at which an instance on standby
	// observes the demand and the catalog.
	_standbyInterval = 5 * time.Second
	_watchInterval   = time.Second
	// _startupDelay is the time after its first step during which an instance
	// only observes, because its view of the fleet may be incomplete.
	_startupDelay = 10 * time.Second
	// _maxWatchesPerSecond limits the rate of watches started by all instances
	// together.
	_maxWatchesPerSecond = 100
)

// Manager plans on one instance and writes the steps to the catalog. Set the
// fields, then call Start and Close; tests may call Step instead.
type Manager struct {
	// Name is the name of the instance.
	Name    string
	Catalog *Catalog
	Planner *Planner
	// Members returns the live instances, including this one.
	Members func() []wire.Member
	// Fleet returns the current settings.
	Fleet func() Fleet
	// Presence returns this instance's view of the backend servers.
	Presence func() map[string]Presence
	// Demand returns the demand of the whole fleet in tokens per second, keyed
	// by model.
	Demand func() map[string]float64
	Timer  *timer.Service
	Log    *event.Log
	// Metrics is the registry of the metrics under Placement; nil means the
	// default registry.
	Metrics metrics.Registry

	started      time.Time
	lastObserved time.Time
	mu           sync.Mutex
	unplaced     []Unplaced
	tick         chan time.Time
	cancel       context.CancelFunc
	subscription *timer.Subscription
	wg           conc.WaitGroup
}

// Start watches the catalog and plans in the background until Close.
func (m *Manager) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.tick = make(chan time.Time, 1)
	m.subscription = m.Timer.Every(_planInterval, func(now time.Time) {
		select {
		case m.tick <- now:
		default:
		}
	})
	m.wg.Go(func() { m.watchCatalog(ctx) })
	m.wg.Go(func() { m.planLoop(ctx) })
}

// Close stops the background goroutines and waits for them to return.
func (m *Manager) Close() {
	m.subscription.Stop()
	m.cancel()
	m.wg.Wait()
}

// IsPlanner reports whether this instance is the one selected to plan.
func (m *Manager) IsPlanner() bool {
	return Preferred(_plannerKey, m.Members()) == m.Name
}

// Step plans once and writes the steps to the catalog if this instance is the
// selected planner; otherwise it only observes. The next call plans failed steps
// again.
func (m *Manager) Step(ctx context.Context, now time.Time) {
	if !m.Catalog.Loaded() {
		return
	}
	if m.started.IsZero() {
		m.started = now
	}
	standby := now.Sub(m.started) < _startupDelay || Preferred(_plannerKey, m.Members()) != m.Name
	if standby && now.Sub(m.lastObserved) < _standbyInterval {
		return
	}
	m.lastObserved = now
	fleet := m.Fleet()
	if len(fleet.Models) == 0 || len(fleet.Servers) == 0 {
		// The settings have not been read yet.
		return
	}
	in := Input{
		Fleet:    fleet,
		Presence: m.Presence(),
		Copies:   m.Catalog.All(),
		Demand:   m.Demand(),
		Now:      now,
	}
	if standby {
		m.Planner.Observe(in)

		return
	}
	for _, step := range m.Planner.Plan(in) {
		if !m.execute(ctx, step, in) {
			// Later steps may depend on this one.
			break
		}
	}
	m.logUnplaced()
}

// Preferred returns the name of the member that rendezvous hashing selects for
// key. Instances with the same view of the members agree without coordination.
func Preferred(key string, members []wire.Member) string {
	return RendezvousHash(members).Lookup(key)
}

// RendezvousHash returns the rendezvous hash of the members, for looking up several
// keys. Preferred builds it for a single key.
func RendezvousHash(members []wire.Member) *rendezvous.Rendezvous {
	names := make([]string, 0, len(members))
	for _, m := range members {
		names = append(names, m.Name)
	}

	return rendezvous.New(names, xxhash.Sum64String)
}

// execute writes a step to the catalog and reports whether it was written. The
// precondition of a drop is checked against the object that the update replaces.
func (m *Manager) execute(ctx context.Context, step Step, in Input) bool {
	written, err := m.Catalog.Update(ctx, step.Model, func(copies []wire.Copy) ([]wire.Copy, bool) {
		return step.apply(copies, in.Presence, m.Planner.options.BreakBeforeMake)
	})
	fields := []zap.Field{
		zap.String("Action", string(step.Action)),
		zap.String("Reason", string(step.Reason)),
		zap.String("Model", step.Model),
		zap.String("Version", step.Copy.Version),
		zap.String("BackendServer", step.Copy.Server),
		zap.String("Accelerator", step.Copy.Accelerator),
		zap.Float64("DemandTokensPerSecond", step.Demand),
		zap.Float64("AttainedTokensPerSecond", step.Attained),
		zap.Int("Candidates", step.Candidates),
		zap.Int("FreeBytes", step.FreeBytes),
	}
	switch {
	case err != nil:
		m.Log.Write(event.PlacementFailed, append(fields, zap.Error(err))...)
	case !written:
		m.Log.Write(event.PlacementOvertaken, fields...)
	default:
		m.Log.Write(event.PlacementDecided, fields...)
		metrics.GetOrRegisterCounter("Placement.Steps."+string(step.Action)+"."+string(step.Reason), m.Metrics).Inc(1)
	}

	return written
}

// apply applies the step to the copies of its model. It returns false if the
// copies no longer meet the precondition of the step. Unless breakBeforeMake is
// set, a drop requires another serving copy; a copy that timed out is exempt.
func (s Step) apply(copies []wire.Copy, presence map[string]Presence, breakBeforeMake bool) ([]wire.Copy, bool) {
	i := slices.IndexFunc(copies, func(c wire.Copy) bool {
		return compareCopies(c, s.Copy) == 0
	})
	if s.Action == ActionLoad {
		return append(copies, s.Copy), i < 0
	}
	if i < 0 || copies[i].State != s.Copy.State {
		return nil, false
	}
	switch s.Action {
	case ActionForget:
		return slices.Delete(copies, i, i+1), true
	case ActionEvict:
		copies[i].State = wire.CopyStateEvicting

		return copies, true
	default:
	}
	otherServing := slices.ContainsFunc(copies, func(c wire.Copy) bool {
		return compareCopies(c, s.Copy) != 0 && c.State == wire.CopyStateServing && presence[c.Server].Live
	})
	copies[i].State = wire.CopyStateDropping

	return copies, otherServing || breakBeforeMake || s.Reason == ReasonLoadTimeout
}

func (m *Manager) logUnplaced() {
	for _, u := range m.Planner.Unplaced() {
		if !slices.Contains(m.unplaced, u) {
			m.Log.Write(event.PlacementNoRoom, zap.String("Model", u.Model), zap.String("Reason", string(u.Reason)))
		}
	}
	metrics.GetOrRegisterGauge("Placement.Unplaced", m.Metrics).Update(int64(len(m.Planner.Unplaced())))
	m.mu.Lock()
	defer m.mu.Unlock()
	m.unplaced = m.Planner.Unplaced()
}

func (m *Manager) planLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-m.tick:
			m.Step(ctx, now)
		}
	}
}

// watchCatalog keeps the catalog up to date. The interval between two watches
// grows with the number of instances, which limits their calls to the store when
// the catalog changes often.
func (m *Manager) watchCatalog(ctx context.Context) {
	for ctx.Err() == nil {
		if err := m.Catalog.Watch(ctx); err != nil && ctx.Err() == nil {
			m.Log.Write(event.PlacementNotFollowed, zap.Error(err))
		}
		interval := max(_watchInterval, time.Duration(len(m.Members()))*time.Second/_maxWatchesPerSecond)
		done := make(chan struct{})
		sub := m.Timer.After(interval, func(time.Time) { close(done) })
		select {
		case <-done:
		case <-ctx.Done():
			sub.Stop()
		}
	}
}
