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
	_tick        = time.Second
	_memberLag   = 5 * time.Second
	_presenceLag = 3 * time.Second
	// _recovery is the time between two deaths. It leaves about 45 s after
	// the store's outage to load what the first death took.
	_recovery = 110 * time.Second
)

var errNetwork = errors.New("network")

// shape is a kind of schedule.
type shape struct {
	name string
	// room says that there is room for two copies of each model and more, so
	// that a single death must not make a model unreachable.
	room     bool
	models   int
	minBytes int
	maxBytes int
	// ignoresMemory makes the engines begin loads that don't fit.
	ignoresMemory bool
	// servers and instances are 6 and 3 unless set.
	servers       int
	instances     int
	checksFencing func(server int) bool
	length        time.Duration
	guards        Guards
	planning      placement.Options
	// deaths of servers come one at a time, with time to recover; the first
	// is before the store's outage, or during it.
	deaths        bool
	deathInOutage bool
	// faults are the chances of failures in thousandths.
	faults faults
}

// faults are chances in thousandths.
type faults struct {
	lost, late, doubled, replyLost  int
	pauseInSend, pauseInPut         int
	storeReplyLost, instanceRestart int
}

// tally counts what happened, by the engines' own accounts and the schedule.
type tally struct {
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

// world is a fleet in virtual time.
type world struct {
	shape     shape
	rng       *rand.Rand
	timer     *timer.Service
	store     *standin.Store
	weights   *standin.WeightStore
	fleet     placement.Fleet
	engines   []*engine
	instances []*instance
	late      []delivery
	demand    map[string]float64
	// serving are the engines that served each model at the last check, cause
	// is why none does.
	serving map[string][]*engine
	cause   map[string]string
	// lost is when each model last lost a copy with its server.
	lost      map[string]time.Time
	pausing   bool
	storeDown bool
	tally     tally
}

type engine struct {
	name  string
	at    *standin.Accelerators
	alive time.Time
	down  bool
	// seen is when the engine was last up.
	seen      time.Time
	restarted time.Time
}

type instance struct {
	world  *world
	index  int
	starts int
	paused bool
	// afterPut is called once after the next write of a lease.
	afterPut func()
	// beforeSend is called once before the next order leaves.
	beforeSend func()
	seen       time.Time
	placement  *placement.Manager
	order      *Manager
}

type delivery struct {
	at     time.Time
	server string
	order  wire.Order
}

func newWorld(sh shape, seed uint64) *world {
	w := &world{
		shape:   sh,
		rng:     rand.New(rand.NewPCG(seed, 5)),
		timer:   timer.NewVirtual(time.Unix(1_000_000, 0)),
		store:   standin.NewStore(),
		weights: standin.NewWeightStore(),
		demand:  map[string]float64{},
		serving: map[string][]*engine{},
		cause:   map[string]string{},
		lost:    map[string]time.Time{},
	}
	for i := range cmp.Or(sh.servers, 6) {
		settings := wire.BackendServer{
			Name:            fmt.Sprintf("engine-%d", i),
			Kind:            wire.BackendServerKindEngine,
			FailureDomain:   fmt.Sprintf("domain-%d", i%3),
			TokensPerSecond: 1000 + 500*(i%2),
			ChecksFencing:   sh.checksFencing(i),
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
		w.fleet.Servers = append(w.fleet.Servers, settings)
		e := &engine{
			name: settings.Name,
			at:   standin.NewAccelerators(settings, w.weights),
		}
		e.at.IgnoresMemory = sh.ignoresMemory
		w.engines = append(w.engines, e)
	}
	for i := range sh.models {
		name := fmt.Sprintf("model-%02d", i)
		w.fleet.Models = append(w.fleet.Models, wire.Model{
			Name:        name,
			Version:     "1",
			MemoryBytes: sh.minBytes + w.rng.IntN(sh.maxBytes-sh.minBytes+1),
			MinCopies:   1,
			Priority:    []wire.Priority{wire.PriorityUrgent, wire.PriorityLive, wire.PriorityBatch}[i%3],
		})
		w.demand[name] = 100
		w.fleet.Adapters = append(w.fleet.Adapters, wire.Adapter{
			Name:        "adapter-of-" + name,
			Model:       name,
			Version:     "1",
			MemoryBytes: 5 + w.rng.IntN(10),
		})
	}
	for i := range cmp.Or(sh.instances, 3) {
		in := &instance{
			world: w,
			index: i,
		}
		in.start()
		w.instances = append(w.instances, in)
	}

	return w
}

// start gives the instance a new incarnation.
func (in *instance) start() {
	w := in.world
	in.starts++
	name := fmt.Sprintf("instance-%d", in.index)
	id := fmt.Sprintf("%s.%d", name, in.starts)
	in.seen = w.timer.Now()
	store := w.store.Platform()
	put := store.Put
	store.Put = func(ctx context.Context, kind, name, value string, version int) (int, error) {
		return in.put(ctx, put, kind, name, value, version)
	}
	catalog := placement.NewCatalog(store, id)
	fleet := func() placement.Fleet { return w.fleet }
	options := w.shape.planning
	options.LoadsPerSecond = 4
	options.DemandHold = 2 * time.Second
	options.CopyHold = 20 * time.Second
	options.LoadTimeout = time.Minute
	in.placement = &placement.Manager{
		Name:     name,
		Catalog:  catalog,
		Planner:  placement.NewPlanner(options),
		Members:  in.members,
		Fleet:    fleet,
		Presence: w.presence,
		Demand:   func() map[string]float64 { return w.demand },
		Timer:    w.timer,
	}
	in.order = &Manager{
		Name:        name,
		Incarnation: in.starts,
		Store:       store,
		Catalog:     catalog,
		Send:        in.send,
		Report:      w.report,
		Members:     in.members,
		Fleet:       fleet,
		Timer:       w.timer,
		Options:     Options{Concurrency: 1},
		Guards:      w.shape.guards,
	}
}

func (in *instance) members() []wire.Member {
	var members []wire.Member
	for _, other := range in.world.instances {
		if other == in || in.world.timer.Now().Sub(other.seen) < _memberLag {
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

// put writes to the store; the reply may be lost, and the instance may be
// paused before it goes on.
func (in *instance) put(ctx context.Context, put func(context.Context, string, string, string, int) (int, error), kind, name, value string, version int) (int, error) {
	w := in.world
	w.store.SetFaults(standin.StoreFaults{
		Down:        w.storeDown,
		LoseReplies: w.chance(w.shape.faults.storeReplyLost),
	})
	version, err := put(ctx, kind, name, value, version)
	w.store.SetFaults(standin.StoreFaults{Down: w.storeDown})
	if after := in.afterPut; kind == _kind && after != nil {
		in.afterPut = nil
		after()
	}
	if kind == _kind && objectstore.CodeOf(err) == "" && w.chance(w.shape.faults.pauseInPut) {
		in.pause()
	}

	return version, err
}

// send is the network towards the engines.
func (in *instance) send(_ context.Context, server string, order wire.Order) (wire.OrderResult, error) {
	w := in.world
	if before := in.beforeSend; before != nil {
		in.beforeSend = nil
		before()
	}
	if w.chance(w.shape.faults.pauseInSend) {
		in.pause()
	}
	now := w.timer.Now()
	latest := func() time.Time { return now.Add(time.Duration(w.rng.Int64N(int64(_arrivalBound)))) }
	if w.chance(w.shape.faults.lost) {
		w.tally.Lost++

		return wire.OrderResult{}, errNetwork
	}
	if w.chance(w.shape.faults.late) {
		w.tally.Late++
		w.late = append(w.late, delivery{
			at:     latest(),
			server: server,
			order:  order,
		})

		return wire.OrderResult{}, errNetwork
	}
	if w.chance(w.shape.faults.doubled) {
		w.tally.Doubled++
		w.late = append(w.late, delivery{
			at:     latest(),
			server: server,
			order:  order,
		})
	}
	e := w.engine(server)
	if e.down {
		return wire.OrderResult{}, errNetwork
	}
	result := e.at.Apply(order, now)
	if w.chance(w.shape.faults.replyLost) {
		return wire.OrderResult{}, errNetwork
	}

	return result, nil
}

// pause lets the rest of the world go on while this instance stands still in
// the middle of a call.
func (in *instance) pause() {
	w := in.world
	if w.pausing {
		return
	}
	w.pausing, in.paused = true, true
	w.tally.Pauses++
	for range 3 + w.rng.IntN(40) {
		w.step()
	}
	w.pausing, in.paused = false, false
}

func (w *world) report(_ context.Context, server string) (wire.LoadReport, error) {
	e := w.engine(server)
	if e.down {
		return wire.LoadReport{}, errNetwork
	}

	return e.at.Report(w.timer.Now()), nil
}

func (w *world) engine(server string) *engine {
	return w.engines[slices.IndexFunc(w.engines, func(e *engine) bool { return e.name == server })]
}

func (w *world) presence() map[string]placement.Presence {
	view := map[string]placement.Presence{}
	for _, e := range w.engines {
		view[e.name] = placement.Presence{Live: w.timer.Now().Sub(e.seen) < _presenceLag}
	}

	return view
}

func (w *world) chance(thousandths int) bool {
	return w.rng.IntN(1000) < thousandths
}

// step moves the world by one tick.
func (w *world) step() {
	w.timer.Advance(_tick)
	now := w.timer.Now()
	w.settleEngines(now)
	due := slices.Clone(w.late)
	w.late = slices.DeleteFunc(w.late, func(d delivery) bool { return !d.at.After(now) })
	for _, d := range due {
		if e := w.engine(d.server); !d.at.After(now) && !e.down {
			e.at.Apply(d.order, now)
		}
	}
	for _, in := range w.instances {
		if in.paused {
			continue
		}
		in.seen = now
		// A failure leaves the catalog as it was.
		_ = in.placement.Catalog.Refresh(context.Background())
		in.placement.Step(context.Background(), now)
		in.order.Step(context.Background(), now)
		now = w.timer.Now()
		w.check(now)
	}
}

// settleEngines lets engines come up again and notes which are up.
func (w *world) settleEngines(now time.Time) {
	for _, e := range w.engines {
		if e.down && !now.Before(e.alive) {
			e.down = false
			e.at.Restart()
			e.restarted = now
		}
		if !e.down {
			e.seen = now
		}
	}
}

// check counts, for each check, the models that served before and are without
// a serving copy now. It is laid to a loss when the last copies went with
// their servers, or when one did while an unload of the other, sent before
// the death, could still arrive; and to an eviction when the catalog said so.
func (w *world) check(now time.Time) {
	for _, m := range w.fleet.Models {
		before := w.serving[m.Name]
		var serving []*engine
		for _, e := range w.engines {
			if !e.down && e.at.Serves(m.Name, "", "", now) {
				serving = append(serving, e)
			}
		}
		w.serving[m.Name] = serving
		switch {
		case len(serving) > 0:
			w.cause[m.Name] = ""
		case len(before) > 0:
			w.cause[m.Name] = w.causeOf(m, before)
		}
		if len(serving) == 0 {
			w.count(w.cause[m.Name], len(before) > 0)
		}
	}
}

func (w *world) count(cause string, began bool) {
	switch {
	case cause == "loss":
		w.tally.AfterLoss++
	case cause == "eviction" && began:
		w.tally.Evicted++
	case cause == "order" && began:
		w.tally.Unreachable++
	}
}

// causeOf is why none of the engines that served the model does so now.
func (w *world) causeOf(m wire.Model, before []*engine) string {
	now := w.timer.Now()
	if !slices.ContainsFunc(before, func(e *engine) bool { return !e.down && now.Sub(e.restarted) > _tick }) {
		return "loss"
	}
	if now.Sub(w.lost[m.Name]) <= _sendWindow+_arrivalBound+_tick {
		return "loss"
	}
	if m.Priority != wire.PriorityUrgent && w.evicting(m.Name) {
		return "eviction"
	}

	return "order"
}

// evicting reports whether the catalog evicts a copy of the model.
func (w *world) evicting(model string) bool {
	object, err := w.store.Platform().Get(context.Background(), "ModelPlacement", model)

	return err == nil && strings.Contains(object.Value, string(wire.CopyStateEvicting))
}

// run drives the whole schedule: demand that shifts, a rollout, an outage of
// the store, deaths and restarts.
func (w *world) run() tally {
	end := w.timer.Now().Add(w.shape.length)
	outage := w.timer.Now().Add(70 * time.Second)
	death := w.timer.Now().Add(55 * time.Second)
	if w.shape.deathInOutage {
		death = outage.Add(10 * time.Second)
	}
	for w.timer.Now().Before(end) {
		now := w.timer.Now()
		if w.rng.IntN(15) == 0 {
			m := w.fleet.Models[w.rng.IntN(len(w.fleet.Models))]
			w.demand[m.Name] = float64(20 + w.rng.IntN(1500))
		}
		if w.rng.IntN(60) == 0 {
			i := w.rng.IntN(len(w.fleet.Models))
			w.fleet.Models = slices.Clone(w.fleet.Models)
			w.fleet.Models[i].Version += "1"
		}
		w.requestAdapter()
		if down := now.After(outage) && now.Before(outage.Add(40*time.Second)); down != w.storeDown {
			w.storeDown = down
			w.store.SetFaults(standin.StoreFaults{Down: down})
			if down {
				w.tally.Outages++
			}
		}
		if w.shape.deaths && now.After(death) && (!w.storeDown || w.shape.deathInOutage) {
			w.kill(now)
			death = now.Add(_recovery)
		}
		if in := w.instances[w.rng.IntN(len(w.instances))]; w.chance(w.shape.faults.instanceRestart) {
			w.tally.Restarts++
			in.start()
		}
		w.step()
	}
	for _, e := range w.engines {
		w.tally.Overcommitted = max(w.tally.Overcommitted, e.at.OvercommittedBytes())
		w.tally.Loads += e.at.Loads()
	}
	w.tally.PeakLoads = w.weights.PeakLoads()

	return w.tally
}

// requestAdapter asks the holder of a random server for a random adapter.
func (w *world) requestAdapter() {
	adapter := w.fleet.Adapters[w.rng.IntN(len(w.fleet.Adapters))]
	server := w.engines[w.rng.IntN(len(w.engines))].name
	for _, in := range w.instances {
		if in.order.RequestAdapter(server, adapter.Name) {
			w.tally.Adapters++
		}
	}
}

// kill takes an engine away for a time, after which it comes up empty.
func (w *world) kill(now time.Time) {
	e := w.engines[w.rng.IntN(len(w.engines))]
	if e.down {
		return
	}
	w.tally.Deaths++
	for name, engines := range w.serving {
		if slices.Contains(engines, e) {
			w.lost[name] = now
		}
	}
	e.down = true
	e.alive = now.Add(time.Duration(1+w.rng.IntN(40)) * time.Second)
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

// TestSchedules runs seeded schedules and holds the engines' own accounts
// against the two promises.
func TestSchedules(t *testing.T) {
	room := shape{
		name:          "room for two, engines that check fencing",
		room:          true,
		models:        8,
		minBytes:      20,
		maxBytes:      45,
		checksFencing: func(int) bool { return true },
		length:        240 * time.Second,
		deaths:        true,
		faults:        _faults,
	}
	died := room
	died.name = "room for two, death during the outage"
	died.deathInOutage = true
	mixed := room
	mixed.name = "tight, mixed engines"
	mixed.room = false
	mixed.models = 14
	mixed.minBytes, mixed.maxBytes = 30, 60
	mixed.ignoresMemory = true
	mixed.checksFencing = func(server int) bool { return server%2 == 0 }
	ignoring := mixed
	ignoring.name = "tight, engines that ignore fencing"
	ignoring.models = 16
	ignoring.minBytes = 25
	ignoring.checksFencing = func(int) bool { return false }
	for _, sh := range []shape{room, died, mixed, ignoring} {
		t.Run(sh.name, func(t *testing.T) {
			t.Parallel()
			var sum tally
			for seed := range uint64(52) {
				got := newWorld(sh, seed).run()
				if got.Overcommitted != 0 || got.Unreachable != 0 || (sh.room && got.AfterLoss != 0) {
					t.Errorf("seed %d: %+v", seed, got)
				}
				sum.add(got)
			}
			t.Logf("%+v", sum)
		})
	}
}

func (s *tally) add(o tally) {
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
