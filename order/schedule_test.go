package order

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"papayastair.dev/papayastair/objectstore"
	"papayastair.dev/papayastair/placement"
	"papayastair.dev/papayastair/standin"
	"papayastair.dev/papayastair/timer"
	"papayastair.dev/papayastair/wire"
)

const (
	_tick            = time.Second
	_memberTimeout   = 5 * time.Second
	_presenceTimeout = 3 * time.Second
	// _deathInterval is the time between two server deaths. It leaves about 45
	// seconds after the store outage to reload the copies lost in the first
	// death.
	_deathInterval = 110 * time.Second
)

var errNetwork = errors.New("network")

// scheduleConfig configures the schedules of a test case.
type scheduleConfig struct {
	name string
	// spareCapacity is set if the servers have room for more than two copies of
	// each model, so that a single death must not make a model unreachable.
	spareCapacity bool
	models        int
	minBytes      int
	maxBytes      int
	// overcommit makes the engines start loads that do not fit into memory.
	overcommit bool
	// servers and instances default to 6 and 3.
	servers        int
	instances      int
	checksFencing  func(server int) bool
	duration       time.Duration
	unsafe         UnsafeOptions
	plannerOptions placement.Options
	// deaths kills servers one at a time, with time to recover in between. The
	// first dies before the store outage, or during it with deathInOutage.
	deaths        bool
	deathInOutage bool
	faults        faults
}

// faults are the probabilities of failures, in thousandths.
type faults struct {
	lost, late, doubled, replyLost  int
	pauseInSend, pauseInPut         int
	storeReplyLost, instanceRestart int
}

// stats counts events, as recorded by the engines and by the schedule.
type stats struct {
	Overcommitted int
	Unreachable   int
	AfterLoss     int
	Evicted       int
	Loads         int
	Adapters      int
	PeakLoads     int
	Lost          int
	Late          int
	Doubled       int
	Pauses        int
	Deaths        int
	Restarts      int
	Outages       int
}

// simulation is a cluster in virtual time.
type simulation struct {
	config    scheduleConfig
	rng       *rand.Rand
	timer     *timer.Service
	store     *standin.Store
	weights   *standin.WeightStore
	fleet     placement.Fleet
	engines   []*engine
	instances []*instance
	delayed   []delivery
	demand    map[string]float64
	// serving lists the engines that served each model at the last check;
	// cause is the reason why none does.
	serving map[string][]*engine
	cause   map[string]string
	// lastLoss is when each model last lost a copy because its server died.
	lastLoss    map[string]time.Time
	pauseActive bool
	storeDown   bool
	stats       stats
}

type engine struct {
	name         string
	accelerators *standin.Accelerators
	restartAt    time.Time
	down         bool
	lastUp       time.Time
	restartedAt  time.Time
}

type instance struct {
	sim    *simulation
	index  int
	starts int
	paused bool
	// afterPut is called once after the next write of a lease.
	afterPut func()
	// beforeSend is called once before the next order is sent.
	beforeSend func()
	lastSeen   time.Time
	placement  *placement.Manager
	order      *Manager
}

type delivery struct {
	at     time.Time
	server string
	order  wire.Order
}

func newSimulation(cfg scheduleConfig, seed uint64) *simulation {
	sim := &simulation{
		config:   cfg,
		rng:      rand.New(rand.NewPCG(seed, 5)),
		timer:    timer.NewVirtual(time.Unix(1_000_000, 0)),
		store:    standin.NewStore(),
		weights:  standin.NewWeightStore(),
		demand:   map[string]float64{},
		serving:  map[string][]*engine{},
		cause:    map[string]string{},
		lastLoss: map[string]time.Time{},
	}
	for i := range cmp.Or(cfg.servers, 6) {
		settings := wire.BackendServer{
			Name:            fmt.Sprintf("engine-%d", i),
			Kind:            wire.BackendServerKindEngine,
			FailureDomain:   fmt.Sprintf("domain-%d", i%3),
			TokensPerSecond: 1000 + 500*(i%2),
			ChecksFencing:   cfg.checksFencing(i),
			Accelerators: []wire.Accelerator{
				{
					Name:        "0",
					MemoryBytes: 100,
				},
				{
					Name:        "1",
					MemoryBytes: 120,
				},
			},
		}
		sim.fleet.Servers = append(sim.fleet.Servers, settings)
		e := &engine{
			name:         settings.Name,
			accelerators: standin.NewAccelerators(settings, sim.weights),
		}
		e.accelerators.IgnoresMemory = cfg.overcommit
		sim.engines = append(sim.engines, e)
	}
	for i := range cfg.models {
		name := fmt.Sprintf("model-%02d", i)
		sim.fleet.Models = append(sim.fleet.Models, wire.Model{
			Name:        name,
			Version:     "1",
			MemoryBytes: cfg.minBytes + sim.rng.IntN(cfg.maxBytes-cfg.minBytes+1),
			MinCopies:   1,
			Priority:    []wire.Priority{wire.PriorityUrgent, wire.PriorityLive, wire.PriorityBatch}[i%3],
		})
		sim.demand[name] = 100
		sim.fleet.Adapters = append(sim.fleet.Adapters, wire.Adapter{
			Name:        "adapter-of-" + name,
			Model:       name,
			Version:     "1",
			MemoryBytes: 5 + sim.rng.IntN(10),
		})
	}
	for i := range cmp.Or(cfg.instances, 3) {
		in := &instance{
			sim:   sim,
			index: i,
		}
		in.start()
		sim.instances = append(sim.instances, in)
	}

	return sim
}

// start starts the instance with a new incarnation.
func (in *instance) start() {
	sim := in.sim
	in.starts++
	name := fmt.Sprintf("instance-%d", in.index)
	id := fmt.Sprintf("%s.%d", name, in.starts)
	in.lastSeen = sim.timer.Now()
	store := sim.store.Platform()
	put := store.Put
	store.Put = func(ctx context.Context, kind, name, value string, version int) (int, error) {
		return in.put(ctx, put, kind, name, value, version)
	}
	catalog := placement.NewCatalog(store, id)
	fleet := func() placement.Fleet { return sim.fleet }
	options := sim.config.plannerOptions
	options.LoadsPerSecond = 4
	options.DemandDelay = 2 * time.Second
	options.MinCopyAge = 20 * time.Second
	options.LoadTimeout = time.Minute
	in.placement = &placement.Manager{
		Name:     name,
		Catalog:  catalog,
		Planner:  placement.NewPlanner(options),
		Members:  in.members,
		Fleet:    fleet,
		Presence: sim.presence,
		Demand:   func() map[string]float64 { return sim.demand },
		Timer:    sim.timer,
	}
	in.order = &Manager{
		Name:        name,
		Incarnation: in.starts,
		Store:       store,
		Catalog:     catalog,
		Send:        in.send,
		Report:      sim.report,
		Members:     in.members,
		Fleet:       fleet,
		Timer:       sim.timer,
		Options:     Options{Concurrency: 1},
		Unsafe:      sim.config.unsafe,
	}
}

func (in *instance) members() []wire.Member {
	var members []wire.Member
	for _, other := range in.sim.instances {
		if other == in || in.sim.timer.Now().Sub(other.lastSeen) < _memberTimeout {
			members = append(members, other.member())
		}
	}

	return members
}

func (in *instance) member() wire.Member {
	return wire.Member{
		Name:        in.order.Name,
		Incarnation: in.order.Incarnation,
	}
}

// put writes to the store. The reply may be lost, and the instance may be
// paused after a write of a lease.
func (in *instance) put(ctx context.Context, put func(context.Context, string, string, string, int) (int, error), kind, name, value string, version int) (int, error) {
	sim := in.sim
	sim.store.SetFaults(standin.StoreFaults{
		Down:        sim.storeDown,
		LoseReplies: sim.chance(sim.config.faults.storeReplyLost),
	})
	version, err := put(ctx, kind, name, value, version)
	sim.store.SetFaults(standin.StoreFaults{Down: sim.storeDown})
	if after := in.afterPut; kind == _leaseKind && after != nil {
		in.afterPut = nil
		after()
	}
	if kind == _leaseKind && objectstore.CodeOf(err) == "" && sim.chance(sim.config.faults.pauseInPut) {
		in.pause()
	}

	return version, err
}

// send delivers an order to an engine over a network that loses, delays and
// duplicates messages.
func (in *instance) send(_ context.Context, server string, order wire.Order) (wire.OrderResult, error) {
	sim := in.sim
	if before := in.beforeSend; before != nil {
		in.beforeSend = nil
		before()
	}
	if sim.chance(sim.config.faults.pauseInSend) {
		in.pause()
	}
	now := sim.timer.Now()
	latest := func() time.Time { return now.Add(time.Duration(sim.rng.Int64N(int64(_maxDeliveryDelay)))) }
	if sim.chance(sim.config.faults.lost) {
		sim.stats.Lost++

		return wire.OrderResult{}, errNetwork
	}
	if sim.chance(sim.config.faults.late) {
		sim.stats.Late++
		sim.delayed = append(sim.delayed, delivery{
			at:     latest(),
			server: server,
			order:  order,
		})

		return wire.OrderResult{}, errNetwork
	}
	if sim.chance(sim.config.faults.doubled) {
		sim.stats.Doubled++
		sim.delayed = append(sim.delayed, delivery{
			at:     latest(),
			server: server,
			order:  order,
		})
	}
	e := sim.engine(server)
	if e.down {
		return wire.OrderResult{}, errNetwork
	}
	result := e.accelerators.Apply(order, now)
	if sim.chance(sim.config.faults.replyLost) {
		return wire.OrderResult{}, errNetwork
	}

	return result, nil
}

// pause advances the simulation while this instance is suspended within a
// call.
func (in *instance) pause() {
	sim := in.sim
	if sim.pauseActive {
		return
	}
	sim.pauseActive, in.paused = true, true
	sim.stats.Pauses++
	for range 3 + sim.rng.IntN(40) {
		sim.step()
	}
	sim.pauseActive, in.paused = false, false
}

func (sim *simulation) report(_ context.Context, server string) (wire.LoadReport, error) {
	e := sim.engine(server)
	if e.down {
		return wire.LoadReport{}, errNetwork
	}

	return e.accelerators.Report(sim.timer.Now()), nil
}

func (sim *simulation) engine(server string) *engine {
	return sim.engines[slices.IndexFunc(sim.engines, func(e *engine) bool { return e.name == server })]
}

func (sim *simulation) presence() map[string]placement.Presence {
	view := map[string]placement.Presence{}
	for _, e := range sim.engines {
		view[e.name] = placement.Presence{Live: sim.timer.Now().Sub(e.lastUp) < _presenceTimeout}
	}

	return view
}

func (sim *simulation) chance(thousandths int) bool {
	return sim.rng.IntN(1000) < thousandths
}

// step advances the simulation by one tick.
func (sim *simulation) step() {
	sim.timer.Advance(_tick)
	now := sim.timer.Now()
	sim.updateEngines(now)
	due := slices.Clone(sim.delayed)
	sim.delayed = slices.DeleteFunc(sim.delayed, func(d delivery) bool { return !d.at.After(now) })
	for _, d := range due {
		if e := sim.engine(d.server); !d.at.After(now) && !e.down {
			e.accelerators.Apply(d.order, now)
		}
	}
	for _, in := range sim.instances {
		if in.paused {
			continue
		}
		in.lastSeen = now
		// The catalog remains unchanged on an error.
		_ = in.placement.Catalog.Refresh(context.Background())
		in.placement.Step(context.Background(), now)
		in.order.Step(context.Background(), now)
		now = sim.timer.Now()
		sim.checkServing(now)
	}
}

// updateEngines restarts the engines that are due and updates lastUp.
func (sim *simulation) updateEngines(now time.Time) {
	for _, e := range sim.engines {
		if e.down && !now.Before(e.restartAt) {
			e.down = false
			e.accelerators.Restart()
			e.restartedAt = now
		}
		if !e.down {
			e.lastUp = now
		}
	}
}

// checkServing counts, at each check, the models that served before and have
// no serving copy now. The cause is a loss if the last copies were on servers
// that died, or if one was and an unload of the other, sent before the death,
// could still arrive; it is an eviction if the catalog marks a copy for
// eviction.
func (sim *simulation) checkServing(now time.Time) {
	for _, m := range sim.fleet.Models {
		before := sim.serving[m.Name]
		var serving []*engine
		for _, e := range sim.engines {
			if !e.down && e.accelerators.Serves(m.Name, "", "", now) {
				serving = append(serving, e)
			}
		}
		sim.serving[m.Name] = serving
		switch {
		case len(serving) > 0:
			sim.cause[m.Name] = ""
		case len(before) > 0:
			sim.cause[m.Name] = sim.causeOf(m, before)
		}
		if len(serving) == 0 {
			sim.countOutage(sim.cause[m.Name], len(before) > 0)
		}
	}
}

func (sim *simulation) countOutage(cause string, began bool) {
	switch {
	case cause == "loss":
		sim.stats.AfterLoss++
	case cause == "eviction" && began:
		sim.stats.Evicted++
	case cause == "order" && began:
		sim.stats.Unreachable++
	}
}

// causeOf returns the reason why none of the engines that served the model
// before serves it now.
func (sim *simulation) causeOf(m wire.Model, before []*engine) string {
	now := sim.timer.Now()
	if !slices.ContainsFunc(before, func(e *engine) bool { return !e.down && now.Sub(e.restartedAt) > _tick }) {
		return "loss"
	}
	if now.Sub(sim.lastLoss[m.Name]) <= _sendWindow+_maxDeliveryDelay+_tick {
		return "loss"
	}
	if m.Priority != wire.PriorityUrgent && sim.evicting(m.Name) {
		return "eviction"
	}

	return "order"
}

// evicting reports whether the catalog marks a copy of the model for eviction.
func (sim *simulation) evicting(model string) bool {
	object, err := sim.store.Platform().Get(context.Background(), "ModelPlacement", model)

	return err == nil && strings.Contains(object.Value, string(wire.CopyStateEvicting))
}

// run runs the schedule: changing demand, rollouts, a store outage, server
// deaths and instance restarts.
func (sim *simulation) run() stats {
	end := sim.timer.Now().Add(sim.config.duration)
	outage := sim.timer.Now().Add(70 * time.Second)
	death := sim.timer.Now().Add(55 * time.Second)
	if sim.config.deathInOutage {
		death = outage.Add(10 * time.Second)
	}
	for sim.timer.Now().Before(end) {
		now := sim.timer.Now()
		if sim.rng.IntN(15) == 0 {
			m := sim.fleet.Models[sim.rng.IntN(len(sim.fleet.Models))]
			sim.demand[m.Name] = float64(20 + sim.rng.IntN(1500))
		}
		if sim.rng.IntN(60) == 0 {
			i := sim.rng.IntN(len(sim.fleet.Models))
			sim.fleet.Models = slices.Clone(sim.fleet.Models)
			sim.fleet.Models[i].Version += "1"
		}
		sim.requestAdapter()
		if down := now.After(outage) && now.Before(outage.Add(40*time.Second)); down != sim.storeDown {
			sim.storeDown = down
			sim.store.SetFaults(standin.StoreFaults{Down: down})
			if down {
				sim.stats.Outages++
			}
		}
		if sim.config.deaths && now.After(death) && (!sim.storeDown || sim.config.deathInOutage) {
			sim.kill(now)
			death = now.Add(_deathInterval)
		}
		if in := sim.instances[sim.rng.IntN(len(sim.instances))]; sim.chance(sim.config.faults.instanceRestart) {
			sim.stats.Restarts++
			in.start()
		}
		sim.step()
	}
	for _, e := range sim.engines {
		sim.stats.Overcommitted = max(sim.stats.Overcommitted, e.accelerators.OvercommittedBytes())
		sim.stats.Loads += e.accelerators.Loads()
	}
	sim.stats.PeakLoads = sim.weights.PeakLoads()

	return sim.stats
}

// requestAdapter requests a random adapter from the holder of the lease of a
// random server.
func (sim *simulation) requestAdapter() {
	adapter := sim.fleet.Adapters[sim.rng.IntN(len(sim.fleet.Adapters))]
	server := sim.engines[sim.rng.IntN(len(sim.engines))].name
	for _, in := range sim.instances {
		if in.order.RequestAdapter(server, adapter.Name) {
			sim.stats.Adapters++
		}
	}
}

// kill stops a random engine for 1 to 40 s, after which it restarts without
// residents.
func (sim *simulation) kill(now time.Time) {
	e := sim.engines[sim.rng.IntN(len(sim.engines))]
	if e.down {
		return
	}
	sim.stats.Deaths++
	for name, engines := range sim.serving {
		if slices.Contains(engines, e) {
			sim.lastLoss[name] = now
		}
	}
	e.down = true
	e.restartAt = now.Add(time.Duration(1+sim.rng.IntN(40)) * time.Second)
}

var _faults = faults{
	lost:            80,
	late:            80,
	doubled:         80,
	replyLost:       50,
	pauseInSend:     20,
	pauseInPut:      20,
	storeReplyLost:  20,
	instanceRestart: 8,
}

// TestSchedules runs seeded schedules with failures and checks by the accounts
// of the engines that no memory is overcommitted and that no order makes a
// model unreachable. With spare capacity, a single death must not do so
// either.
func TestSchedules(t *testing.T) {
	spare := scheduleConfig{
		name:          "spare capacity, engines check fencing",
		spareCapacity: true,
		models:        8,
		minBytes:      20,
		maxBytes:      45,
		checksFencing: func(int) bool { return true },
		duration:      240 * time.Second,
		deaths:        true,
		faults:        _faults,
	}
	died := spare
	died.name = "spare capacity, death during store outage"
	died.deathInOutage = true
	mixed := spare
	mixed.name = "tight memory, some engines check fencing"
	mixed.spareCapacity = false
	mixed.models = 14
	mixed.minBytes, mixed.maxBytes = 30, 60
	mixed.overcommit = true
	mixed.checksFencing = func(server int) bool { return server%2 == 0 }
	ignoring := mixed
	ignoring.name = "tight memory, engines ignore fencing"
	ignoring.models = 16
	ignoring.minBytes = 25
	ignoring.checksFencing = func(int) bool { return false }
	for _, cfg := range []scheduleConfig{spare, died, mixed, ignoring} {
		t.Run(cfg.name, func(t *testing.T) {
			t.Parallel()
			var sum stats
			for seed := range uint64(52) {
				got := newSimulation(cfg, seed).run()
				if got.Overcommitted != 0 || got.Unreachable != 0 || (cfg.spareCapacity && got.AfterLoss != 0) {
					t.Errorf("seed %d: %+v", seed, got)
				}
				sum.add(got)
			}
			t.Logf("%+v", sum)
		})
	}
}

func (s *stats) add(o stats) {
	s.Overcommitted = max(s.Overcommitted, o.Overcommitted)
	s.Unreachable += o.Unreachable
	s.AfterLoss += o.AfterLoss
	s.Evicted += o.Evicted
	s.Loads += o.Loads
	s.Adapters += o.Adapters
	s.PeakLoads = max(s.PeakLoads, o.PeakLoads)
	s.Lost += o.Lost
	s.Late += o.Late
	s.Doubled += o.Doubled
	s.Pauses += o.Pauses
	s.Deaths += o.Deaths
	s.Restarts += o.Restarts
	s.Outages += o.Outages
}
