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
	_planKey    = "placement"
	_planPeriod = time.Second
	// _standbyPeriod is the time between two looks of an instance that doesn't
	// plan.
	_standbyPeriod = 5 * time.Second
	_followGap     = time.Second
	// _settleTime is how long a started instance gathers its view before it
	// plans.
	_settleTime = 10 * time.Second
	// _followsPerSecond bounds the watches that all instances together begin.
	_followsPerSecond = 100
)

// Manager carries out the plan of one instance. Set the fields, then either
// call Start and Close, or Step from a test.
type Manager struct {
	// Name is the instance's name.
	Name    string
	Catalog *Catalog
	Planner *Planner
	// Members returns the live instances, this one included.
	Members func() []wire.Member
	// Fleet returns the settings in force.
	Fleet func() Fleet
	// Presence returns this instance's view of the backend servers.
	Presence func() map[string]Presence
	// Demand returns the demand of the whole fleet in tokens a second, by
	// model.
	Demand func() map[string]float64
	Timer  *timer.Service
	Log    *event.Log
	// Metrics counts steps under Placement; nil means the default registry.
	Metrics metrics.Registry

	started  time.Time
	observed time.Time
	mu       sync.Mutex
	unplaced []Unplaced
	tick     chan time.Time
	cancel   context.CancelFunc
	period   *timer.Subscription
	wg       conc.WaitGroup
}

// Start follows the catalog and plans until Close.
func (m *Manager) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	m.tick = make(chan time.Time, 1)
	m.period = m.Timer.Every(_planPeriod, func(now time.Time) {
		select {
		case m.tick <- now:
		default:
		}
	})
	m.wg.Go(func() { m.follow(ctx) })
	m.wg.Go(func() { m.plan(ctx) })
}

// Close ends both duties and waits for them.
func (m *Manager) Close() {
	m.period.Stop()
	m.cancel()
	m.wg.Wait()
}

// IsPlanner reports whether this instance is the one to plan.
func (m *Manager) IsPlanner() bool {
	return Preferred(_planKey, m.Members()) == m.Name
}

// Step plans once if this instance is the one to plan, and carries out the
// steps. A step that fails is planned again.
func (m *Manager) Step(ctx context.Context, now time.Time) {
	if !m.Catalog.Loaded() {
		return
	}
	if m.started.IsZero() {
		m.started = now
	}
	standby := now.Sub(m.started) < _settleTime || Preferred(_planKey, m.Members()) != m.Name
	if standby && now.Sub(m.observed) < _standbyPeriod {
		return
	}
	m.observed = now
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
		if !m.carryOut(ctx, step, in) {
			// The steps that follow may rely on this one.
			break
		}
	}
	m.logUnplaced()
}

// Preferred returns the member that comes first for a key by rendezvous
// hashing, so that all instances with the same view agree without a message.
func Preferred(key string, members []wire.Member) string {
	return Ranking(members).Lookup(key)
}

// Ranking is Preferred for many keys at one time.
func Ranking(members []wire.Member) *rendezvous.Rendezvous {
	names := make([]string, 0, len(members))
	for _, m := range members {
		names = append(names, m.Name)
	}

	return rendezvous.New(names, xxhash.Sum64String)
}

// carryOut writes one step into the catalog. The condition of a drop is
// checked against the object that the update replaces.
func (m *Manager) carryOut(ctx context.Context, step Step, in Input) bool {
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

// apply changes the copies of the step's model, or returns false when they no
// longer allow it.
func (s Step) apply(copies []wire.Copy, presence map[string]Presence, unguarded bool) ([]wire.Copy, bool) {
	at := slices.IndexFunc(copies, func(c wire.Copy) bool {
		return compareCopies(c, s.Copy) == 0
	})
	if s.Action == ActionLoad {
		return append(copies, s.Copy), at < 0
	}
	if at < 0 || copies[at].State != s.Copy.State {
		return nil, false
	}
	switch s.Action {
	case ActionForget:
		return slices.Delete(copies, at, at+1), true
	case ActionEvict:
		copies[at].State = wire.CopyStateEvicting

		return copies, true
	default:
	}
	serves := slices.ContainsFunc(copies, func(c wire.Copy) bool {
		return compareCopies(c, s.Copy) != 0 && c.State == wire.CopyStateServing && presence[c.Server].Live
	})
	copies[at].State = wire.CopyStateDropping

	return copies, serves || unguarded || s.Reason == ReasonTimeout
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

func (m *Manager) plan(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-m.tick:
			m.Step(ctx, now)
		}
	}
}

// follow keeps the catalog up to date. A gap between two watches bounds the
// calls of many instances when the catalog changes often.
func (m *Manager) follow(ctx context.Context) {
	for ctx.Err() == nil {
		if err := m.Catalog.Follow(ctx); err != nil && ctx.Err() == nil {
			m.Log.Write(event.PlacementNotFollowed, zap.Error(err))
		}
		gap := max(_followGap, time.Duration(len(m.Members()))*time.Second/_followsPerSecond)
		done := make(chan struct{})
		sub := m.Timer.After(gap, func(time.Time) { close(done) })
		select {
		case <-done:
		case <-ctx.Done():
			sub.Stop()
		}
	}
}
