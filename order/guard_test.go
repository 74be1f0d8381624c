package order

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"go.uber.org/goleak"

	"papayastair.dev/papayastair/placement"
	"papayastair.dev/papayastair/timer"
	"papayastair.dev/papayastair/wire"
)

// TestUnsafeOptions checks that with one safety check disabled some of the
// seeded schedules overcommit memory or make a model unreachable.
func TestUnsafeOptions(t *testing.T) {
	tight := scheduleConfig{
		models:        14,
		minBytes:      30,
		maxBytes:      60,
		overcommit:    true,
		checksFencing: func(int) bool { return false },
		duration:      150 * time.Second,
		deaths:        true,
		faults:        _faults,
	}
	cases := []struct {
		name     string
		change   func(*scheduleConfig)
		violated func(stats) bool
	}{
		{
			name:     "memory freed when unload is sent",
			change:   func(cfg *scheduleConfig) { cfg.unsafe.FreeMemoryOnUnloadSent = true },
			violated: func(got stats) bool { return got.Overcommitted > 0 },
		},
		{
			name:     "orders in doubt not charged",
			change:   func(cfg *scheduleConfig) { cfg.unsafe.IgnoreOrdersInDoubt = true },
			violated: func(got stats) bool { return got.Overcommitted > 0 },
		},
		{
			name: "copy dropped before replacement serves",
			change: func(cfg *scheduleConfig) {
				cfg.plannerOptions = placement.Options{BreakBeforeMake: true}
				cfg.unsafe.SkipServingCheck = true
			},
			violated: func(got stats) bool { return got.Unreachable > 0 },
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			const seeds, maxBroken = 60, 3
			broken, tried := 0, 0
			cfg := tight
			c.change(&cfg)
			for seed := uint64(0); seed < seeds && broken < maxBroken; seed++ {
				tried++
				if c.violated(newSimulation(cfg, seed).run()) {
					broken++
				}
			}
			t.Logf("%d of %d schedules violate the invariant", broken, tried)
			if broken == 0 {
				t.Errorf("none of %d schedules violates the invariant with the check disabled", seeds)
			}
		})
	}
}

// handoverTest is a simulation with one backend server, whose lease passes
// from the old to the new holder.
type handoverTest struct {
	*simulation
	t        *testing.T
	old, new *instance
	engine   *engine
}

func newHandoverTest(t *testing.T, unsafe UnsafeOptions, checks bool) *handoverTest {
	sim := newSimulation(scheduleConfig{
		models:        2,
		minBytes:      60,
		maxBytes:      60,
		overcommit:    true,
		checksFencing: func(int) bool { return checks },
		unsafe:        unsafe,
	}, 1)
	sim.fleet.Servers = sim.fleet.Servers[:1]
	h := &handoverTest{
		simulation: sim,
		t:          t,
		old:        sim.instances[0],
		new:        sim.instances[1],
		engine:     sim.engines[0],
	}
	h.old.order.Members = func() []wire.Member { return []wire.Member{h.old.member()} }
	h.new.order.Members = func() []wire.Member { return []wire.Member{h.new.member()} }

	return h
}

// setCopy sets the state of the model's copy in the catalog; an empty state
// removes the copy.
func (h *handoverTest) setCopy(model string, state wire.CopyState) {
	h.t.Helper()
	catalog := h.old.placement.Catalog
	if err := catalog.Refresh(context.Background()); err != nil {
		h.t.Fatal(err)
	}
	_, err := catalog.Update(context.Background(), model, func([]wire.Copy) ([]wire.Copy, bool) {
		copies := []wire.Copy{{
			Server:      "engine-0",
			Accelerator: "0",
			Version:     "1",
			MemoryBytes: 60,
			State:       state,
		}}

		return slices.DeleteFunc(copies, func(c wire.Copy) bool { return c.State == "" }), true
	})
	if err != nil {
		h.t.Fatal(err)
	}
}

// runInstance steps only the given instance for a duration.
func (h *handoverTest) runInstance(in *instance, d time.Duration) {
	h.t.Helper()
	for range int(d / _tick) {
		h.timer.Advance(_tick)
		if err := in.placement.Catalog.Refresh(context.Background()); err != nil {
			h.t.Fatal(err)
		}
		in.order.Step(context.Background(), h.timer.Now())
	}
}

// pauseBeforeSend pauses the old holder between recording a load and sending
// it. Before it resumes, the new holder completes that order and loads another
// model, and the engine restarts.
func pauseBeforeSend(h *handoverTest) {
	const first, second = "model-00", "model-01"
	h.setCopy(first, wire.CopyStateLoading)
	h.old.afterPut = func() {
		h.old.afterPut = func() {
			h.runInstance(h.new, 30*time.Second)
			h.setCopy(first, wire.CopyStateEvicting)
			h.setCopy(second, wire.CopyStateLoading)
			h.runInstance(h.new, 30*time.Second)
			h.engine.accelerators.Restart()
			h.runInstance(h.new, 6*time.Second)
			h.setCopy(second, wire.CopyStateLoading)
			h.runInstance(h.new, 30*time.Second)
		}
	}
	h.runInstance(h.old, 2*time.Second)
}

// pauseDuringSend pauses the old holder after it has checked the send window.
// Meanwhile the new holder's orders are lost for longer than an order can be
// in transit, and then the catalog asks for another model.
func pauseDuringSend(h *handoverTest) {
	h.setCopy("model-00", wire.CopyStateLoading)
	h.old.beforeSend = func() {
		h.config.faults.lost = 1000
		h.runInstance(h.new, 40*time.Second)
		h.config.faults.lost = 0
		h.setCopy("model-00", "")
		h.setCopy("model-01", wire.CopyStateLoading)
		h.runInstance(h.new, 40*time.Second)
	}
	h.runInstance(h.old, 2*time.Second)
	h.runInstance(h.new, 30*time.Second)
}

// delayedOrder delivers a load of the old holder after the new holder has
// started to load another model.
func delayedOrder(h *handoverTest) {
	h.setCopy("model-00", wire.CopyStateLoading)
	h.config.faults.late = 1000
	h.runInstance(h.old, 2*time.Second)
	h.config.faults.late = 0
	h.setCopy("model-00", "")
	h.setCopy("model-01", wire.CopyStateLoading)
	h.runInstance(h.new, 6*time.Second)
	for _, d := range h.delayed {
		h.engine.accelerators.Apply(d.order, h.timer.Now())
	}
	h.runInstance(h.new, 30*time.Second)
}

// TestHandover checks that orders of a previous holder never overcommit an
// engine, whether or not it checks fencing numbers, and that with a safety
// check disabled they overcommit one that does not.
func TestHandover(t *testing.T) {
	cases := []struct {
		name     string
		scenario func(*handoverTest)
		unsafe   UnsafeOptions
		// want is the number of overcommitted bytes of an engine that ignores
		// fencing; it is 0 for one that checks.
		want int
	}{
		{
			name:     "paused before send",
			scenario: pauseBeforeSend,
		},
		{
			name:     "paused before send, send window ignored",
			scenario: pauseBeforeSend,
			unsafe:   UnsafeOptions{IgnoreSendWindow: true},
			want:     20,
		},
		{
			name:     "paused during send",
			scenario: pauseDuringSend,
		},
		{
			name:     "delayed order",
			scenario: delayedOrder,
		},
		{
			name:     "delayed order, inherited intents ignored",
			scenario: delayedOrder,
			unsafe:   UnsafeOptions{IgnoreInheritedIntents: true},
			want:     20,
		},
	}
	for _, c := range cases {
		for _, checks := range []bool{true, false} {
			t.Run(fmt.Sprintf("%s, engine checks fencing %t", c.name, checks), func(t *testing.T) {
				h := newHandoverTest(t, c.unsafe, checks)
				c.scenario(h)
				want := c.want
				if checks {
					want = 0
				}
				if diff := cmp.Diff(want, h.engine.accelerators.OvercommittedBytes()); diff != "" {
					t.Errorf("overcommitted bytes (-want +got):\n%s", diff)
				}
				if !h.engine.accelerators.Serves("model-00", "", "", h.timer.Now()) && !h.engine.accelerators.Serves("model-01", "", "", h.timer.Now()) {
					t.Error("neither model serves after the handover")
				}
			})
		}
	}
}

// TestLostAcquireReply loses the reply to the write by which an instance
// acquires a lease, after which another instance becomes the preferred holder.
// The first instance must find out that it holds the lease: the preferred one
// sees a live holder and would otherwise wait forever.
func TestLostAcquireReply(t *testing.T) {
	h := newHandoverTest(t, UnsafeOptions{}, false)
	both := []wire.Member{h.old.member(), h.new.member()}
	acquirer, preferred := h.old, h.new
	if placement.Preferred("engine-0", both) == acquirer.order.Name {
		acquirer, preferred = preferred, acquirer
	}
	h.setCopy("model-00", wire.CopyStateLoading)
	alone := []wire.Member{acquirer.member()}
	acquirer.order.Members = func() []wire.Member { return alone }
	h.config.faults.storeReplyLost = 1000
	h.runInstance(acquirer, 2*time.Second)
	h.config.faults.storeReplyLost = 0
	acquirer.order.Members = func() []wire.Member { return both }
	preferred.order.Members = acquirer.order.Members
	for range 30 {
		h.runInstance(preferred, _tick)
		h.runInstance(acquirer, _tick)
	}
	if !h.engine.accelerators.Serves("model-00", "", "", h.timer.Now()) {
		t.Error("no instance has sent the load order after a minute")
	}
}

// TestAdapterLoadAndEviction requests more adapters than fit beside a model.
// They must load one after another, idle ones must be unloaded to free memory,
// and memory must never be overcommitted.
func TestAdapterLoadAndEviction(t *testing.T) {
	h := newHandoverTest(t, UnsafeOptions{}, false)
	h.fleet.Adapters = nil
	for _, name := range []string{"x", "y", "z"} {
		h.fleet.Adapters = append(h.fleet.Adapters, wire.Adapter{
			Name:        name,
			Model:       "model-00",
			Version:     "1",
			MemoryBytes: 18,
		})
	}
	h.setCopy("model-00", wire.CopyStateLoading)
	h.runInstance(h.old, 20*time.Second)
	serves := func() string {
		got := ""
		for _, a := range h.fleet.Adapters {
			if h.engine.accelerators.Serves("model-00", a.Name, "", h.timer.Now()) {
				got += a.Name
			}
		}

		return got
	}
	steps := []struct {
		adapter string
		after   time.Duration
		want    string
	}{
		{
			adapter: "x",
			after:   2 * time.Second,
			want:    "x",
		},
		{
			adapter: "y",
			after:   10 * time.Second,
			want:    "xy",
		},
		{
			adapter: "z",
			after:   2 * time.Second,
			want:    "xy",
		},
		{
			adapter: "y",
			after:   8 * time.Second,
			want:    "yz",
		},
	}
	for _, step := range steps {
		if !h.old.order.RequestAdapter("engine-0", step.adapter) {
			t.Fatal("the lease holder rejected the adapter request")
		}
		h.runInstance(h.old, step.after)
		if diff := cmp.Diff(step.want, serves()); diff != "" {
			t.Errorf("adapters after a request for %s (-want +got):\n%s", step.adapter, diff)
		}
	}
	if diff := cmp.Diff(0, h.engine.accelerators.OvercommittedBytes()); diff != "" {
		t.Errorf("overcommitted bytes (-want +got):\n%s", diff)
	}
}

// TestStatus checks the status of orders and placement for a model that
// serves.
func TestStatus(t *testing.T) {
	h := newHandoverTest(t, UnsafeOptions{}, false)
	h.setCopy("model-00", wire.CopyStateLoading)
	h.runInstance(h.old, 20*time.Second)
	if diff := cmp.Diff(map[string]int{
		"0": 60,
		"1": 0,
	}, h.old.order.Status()[0].ChargedBytes); diff != "" {
		t.Errorf("charged (-want +got):\n%s", diff)
	}
	h.updateEngines(h.timer.Now())
	want := placement.ModelStatus{
		Model:   "model-00",
		Version: "1",
		Serving: 1,
		InForce: true,
	}
	if diff := cmp.Diff(want, h.old.placement.Status()[0]); diff != "" {
		t.Errorf("status (-want +got):\n%s", diff)
	}
}

// TestStartAndClose runs a manager in real time until its copy serves, and
// checks that Close releases the lease.
func TestStartAndClose(t *testing.T) {
	defer goleak.VerifyNone(t)
	h := newHandoverTest(t, UnsafeOptions{}, true)
	clock := timer.New()
	defer clock.Close()
	h.timer = clock
	h.old.start()
	h.old.order.Members = func() []wire.Member { return []wire.Member{h.old.member()} }
	h.old.order.Options.Concurrency = 4
	h.setCopy("model-00", wire.CopyStateLoading)
	h.old.placement.Start()
	h.old.order.Start()
	for !h.engine.accelerators.Serves("model-00", "", "", clock.Now()) {
		time.Sleep(20 * time.Millisecond)
	}
	h.old.placement.Close()
	h.old.order.Close()
	object, err := h.store.Platform().Get(context.Background(), _leaseKind, "engine-0")
	if err != nil {
		t.Fatal(err)
	}
	var lease wire.OrderLease
	if err := json.Unmarshal([]byte(object.Value), &lease); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff("", lease.Holder); diff != "" {
		t.Errorf("holder after Close (-want +got):\n%s", diff)
	}
}
