package order

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"papayastair.dev/papayastair/placement"
	"papayastair.dev/papayastair/wire"
)

// TestGuardsOff shows what each guard is for: with one switched off, some of
// the seeded schedules break a promise, by the engines' own accounts.
func TestGuardsOff(t *testing.T) {
	tight := shape{
		models:        14,
		minBytes:      30,
		maxBytes:      60,
		ignoresMemory: true,
		checksFencing: func(int) bool { return false },
		length:        150 * time.Second,
		deaths:        true,
		faults:        _faults,
	}
	cases := []struct {
		name    string
		change  func(*shape)
		reached func(tally) bool
	}{
		{
			name:    "an unload counts as done when sent",
			change:  func(sh *shape) { sh.guards.UnloadDoneWhenSent = true },
			reached: func(got tally) bool { return got.Overcommitted > 0 },
		},
		{
			name:    "orders in doubt are not charged",
			change:  func(sh *shape) { sh.guards.DoubtsNotCharged = true },
			reached: func(got tally) bool { return got.Overcommitted > 0 },
		},
		{
			name: "break before make",
			change: func(sh *shape) {
				sh.planning = placement.Options{BreakBeforeMake: true}
				sh.guards.NoServingCheck = true
			},
			reached: func(got tally) bool { return got.Unreachable > 0 },
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			const seeds, enough = 60, 3
			broken, tried := 0, 0
			unguarded := tight
			c.change(&unguarded)
			for seed := uint64(0); seed < seeds && broken < enough; seed++ {
				tried++
				if c.reached(newWorld(unguarded, seed).run()) {
					broken++
				}
			}
			t.Logf("%d of %d schedules break the promise", broken, tried)
			if broken == 0 {
				t.Errorf("no schedule of %d shows what the guard is for", seeds)
			}
		})
	}
}

// handover is one backend server whose orders go from one holder to another.
type handover struct {
	*world
	t        *testing.T
	old, new *instance
	engine   *engine
}

func newHandover(t *testing.T, guards Guards, checks bool) *handover {
	w := newWorld(shape{
		models:        2,
		minBytes:      60,
		maxBytes:      60,
		ignoresMemory: true,
		checksFencing: func(int) bool { return checks },
		guards:        guards,
	}, 1)
	w.fleet.Servers = w.fleet.Servers[:1]
	h := &handover{
		world:  w,
		t:      t,
		old:    w.instances[0],
		new:    w.instances[1],
		engine: w.engines[0],
	}
	h.old.order.Members = func() []string { return []string{"instance-0"} }
	h.new.order.Members = func() []string { return []string{"instance-1"} }

	return h
}

// want puts a model's copy into the catalog, in a state or, with an empty
// state, out of it.
func (h *handover) want(model string, state wire.CopyState) {
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

// work lets an instance work for a time.
func (h *handover) work(in *instance, d time.Duration) {
	h.t.Helper()
	for range int(d / _tick) {
		h.timer.Advance(_tick)
		if err := in.placement.Catalog.Refresh(context.Background()); err != nil {
			h.t.Fatal(err)
		}
		in.order.Step(context.Background(), h.timer.Now())
	}
}

// pausedSender lets the old holder fall asleep between the record of a load
// and its sending. The new holder finishes that order, goes on to another
// model, and the engine restarts before the old holder wakes.
func pausedSender(h *handover) {
	const first, second = "model-00", "model-01"
	h.want(first, wire.CopyStateLoading)
	h.old.afterPut = func() {
		h.old.afterPut = func() {
			h.work(h.new, 30*time.Second)
			h.want(first, wire.CopyStateEvicting)
			h.want(second, wire.CopyStateLoading)
			h.work(h.new, 30*time.Second)
			h.engine.at.Restart()
			h.work(h.new, 6*time.Second)
			h.want(second, wire.CopyStateLoading)
			h.work(h.new, 30*time.Second)
		}
	}
	h.work(h.old, time.Second)
}

// lateOrder lets a load of the old holder arrive after the new one has begun
// to load another model.
func lateOrder(h *handover) {
	h.want("model-00", wire.CopyStateLoading)
	h.shape.faults.late = 1000
	h.work(h.old, time.Second)
	h.shape.faults.late = 0
	h.want("model-00", "")
	h.want("model-01", wire.CopyStateLoading)
	h.work(h.new, 6*time.Second)
	for _, d := range h.late {
		h.engine.at.Apply(d.order, h.timer.Now())
	}
	h.work(h.new, 30*time.Second)
}

// TestHandover shows both kinds of engines unharmed by what an old holder
// sends, and what harms those that ignore fencing with a guard off.
func TestHandover(t *testing.T) {
	cases := []struct {
		name     string
		scenario func(*handover)
		guards   Guards
		checks   bool
		want     int
	}{
		{
			name:     "paused sender, engine checks",
			scenario: pausedSender,
			checks:   true,
		},
		{
			name:     "paused sender, engine ignores",
			scenario: pausedSender,
		},
		{
			name:     "paused sender without clock check, engine checks",
			scenario: pausedSender,
			guards:   Guards{NoClockCheck: true},
			checks:   true,
		},
		{
			name:     "paused sender without clock check, engine ignores",
			scenario: pausedSender,
			guards:   Guards{NoClockCheck: true},
			want:     20,
		},
		{
			name:     "late order, engine checks",
			scenario: lateOrder,
			checks:   true,
		},
		{
			name:     "late order, engine ignores",
			scenario: lateOrder,
		},
		{
			name:     "late order forgotten, engine checks",
			scenario: lateOrder,
			guards:   Guards{IntentsForgotten: true},
			checks:   true,
		},
		{
			name:     "late order forgotten, engine ignores",
			scenario: lateOrder,
			guards:   Guards{IntentsForgotten: true},
			want:     20,
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHandover(t, c.guards, c.checks)
			c.scenario(h)
			if diff := cmp.Diff(c.want, h.engine.at.OvercommittedBytes()); diff != "" {
				t.Errorf("overcommitted bytes (-want +got):\n%s", diff)
			}
			if !h.engine.at.Serves("model-00", "", "", h.timer.Now()) && !h.engine.at.Serves("model-01", "", "", h.timer.Now()) {
				t.Error("neither model serves in the end")
			}
		})
	}
}
