package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"papayastair.dev/papayastair/wire"
)

// TestPlan checks which copies are removed for which on a small, full fleet. The
// servers a, b, ... have one accelerator of 100 bytes each and alternate between
// two failure domains. The copies of a model are a string of server names, each
// preceded by "+" if the copy has an old version.
func TestPlan(t *testing.T) {
	const urgent, live, batch = wire.PriorityUrgent, wire.PriorityLive, wire.PriorityBatch
	cases := []struct {
		name     string
		servers  int
		models   []wire.Model
		copies   map[string]string
		down     string
		want     []string
		unplaced []Unplaced
	}{
		{
			name:    "the only copy of an urgent model evicts a batch model",
			servers: 2,
			models:  []wire.Model{newModel("m", urgent, 60), newModel("n", batch, 60), newModel("o", live, 60)},
			copies: map[string]string{
				"n": "a",
				"o": "b",
			},
			want: []string{"Evict Room n@a", "Load OnlyCopy m@a"},
		},
		{
			name:    "a redundant copy is dropped rather than an only copy",
			servers: 3,
			models:  []wire.Model{newModel("m", batch, 60), newModel("n", live, 60), newModel("o", batch, 60)},
			copies: map[string]string{
				"n": "ab",
				"o": "c",
			},
			want: []string{"Drop Room n@a", "Load OnlyCopy m@a"},
		},
		{
			name:    "a batch model does not evict a live one",
			servers: 1,
			models:  []wire.Model{newModel("m", batch, 60), newModel("n", live, 60)},
			copies:  map[string]string{"n": "a"},
			unplaced: []Unplaced{
				{
					Model:  "m",
					Reason: ReasonOnlyCopy,
				},
				{
					Model:  "n",
					Reason: ReasonSpare,
				},
			},
		},
		{
			name:    "a new version is not loaded without room for both versions",
			servers: 1,
			models:  []wire.Model{newModel("m", live, 60)},
			copies:  map[string]string{"m": "+a"},
			unplaced: []Unplaced{{
				Model:  "m",
				Reason: ReasonMinimum,
			}},
		},
		{
			name:    "a new version replaces one of two old copies",
			servers: 2,
			models:  []wire.Model{newModel("m", live, 60)},
			copies:  map[string]string{"m": "+a+b"},
			want:    []string{"Drop Room m@a", "Load Minimum m@a"},
		},
		{
			name:    "an old version is dropped when the new one serves on two servers",
			servers: 3,
			models:  []wire.Model{newModel("m", live, 60)},
			copies:  map[string]string{"m": "ab+c"},
			want:    []string{"Drop Replaced m@c"},
		},
		{
			name:    "the copy of a lost server is replaced in the other failure domain",
			servers: 4,
			models:  []wire.Model{newModel("m", live, 60)},
			copies:  map[string]string{"m": "ab"},
			down:    "a",
			want:    []string{"Load Spare m@c"},
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			in := Input{
				Fleet:    Fleet{Models: c.models},
				Presence: map[string]Presence{},
				Copies:   map[string][]wire.Copy{},
				Now:      time.Unix(0, 0),
			}
			for i := range c.servers {
				name := string(rune('a' + i))
				in.Presence[name] = Presence{Live: name != c.down}
				in.Fleet.Servers = append(in.Fleet.Servers, wire.BackendServer{
					Name:            name,
					Kind:            wire.BackendServerKindEngine,
					FailureDomain:   fmt.Sprint(i % 2),
					TokensPerSecond: 1000,
					Accelerators: []wire.Accelerator{{
						Name:        "0",
						MemoryBytes: 100,
					}},
				})
			}
			for model, servers := range c.copies {
				in.Copies[model] = parseCopies(servers)
			}
			p := NewPlanner(Options{})
			var got []string
			for _, s := range p.Plan(in) {
				got = append(got, fmt.Sprintf("%s %s %s@%s", s.Action, s.Reason, s.Model, s.Copy.Server))
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("steps (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(c.unplaced, p.Unplaced()); diff != "" {
				t.Errorf("unplaced (-want +got):\n%s", diff)
			}
		})
	}
}

// TestUnknownGracePeriod checks that copies of a model or accelerator that is not in
// the settings are removed only after the grace period, since the settings may be
// older than those of the planner that added the copies.
func TestUnknownGracePeriod(t *testing.T) {
	sim := newSimulation(_kandy)
	sim.converge(nil)
	sim.copies["unknown"] = parseCopies("x")
	sim.copies["unknown"][0].Server = "engine-000"
	sim.copies["model-000"] = append(sim.copies["model-000"], parseCopies("x")...)
	p := NewPlanner(Options{})
	for _, want := range []map[string]int{
		{
			"unknown":   1,
			"model-000": 3,
		},
		{
			"unknown":   0,
			"model-000": 2,
		},
	} {
		sim.executePlan(p, nil)
		sim.completeTransitions()
		for model, n := range want {
			if diff := cmp.Diff(n, len(sim.copies[model])); diff != "" {
				t.Errorf("copies of %s (-want +got):\n%s", model, diff)
			}
		}
		sim.now = sim.now.Add(_unknownGracePeriod)
	}
}

// TestReservedLoadSlots loads batch models up to their concurrency limit and checks
// that the only copy of a live model is still loaded immediately.
func TestReservedLoadSlots(t *testing.T) {
	sim := newSimulation(_kandy)
	p := NewPlanner(Options{LoadsPerSecond: 4})
	for i := range sim.fleet.Models {
		sim.fleet.Models[i].Priority = wire.PriorityBatch
	}
	plan := func() int {
		sim.now = sim.now.Add(time.Second)

		return sim.executePlan(p, nil)
	}
	batchLoads := 0
	for range 10 {
		batchLoads += plan()
	}
	if diff := cmp.Diff(_maxConcurrentLoads-_reservedLoadSlots, batchLoads); diff != "" {
		t.Errorf("batch loads in flight (-want +got):\n%s", diff)
	}
	sim.fleet.Models = append(sim.fleet.Models, newModel("late", wire.PriorityLive, 8<<30))
	plan()
	if diff := cmp.Diff(1, len(sim.copies["late"])); diff != "" {
		t.Errorf("copies of the live model while batch models load (-want +got):\n%s", diff)
	}
}

func newModel(name string, priority wire.Priority, bytes int) wire.Model {
	return wire.Model{
		Name:        name,
		Version:     "2",
		MemoryBytes: bytes,
		MinCopies:   1,
		Priority:    priority,
	}
}

// parseCopies returns the serving copies described by a string of server names, in
// the notation of TestPlan.
func parseCopies(servers string) []wire.Copy {
	var copies []wire.Copy
	version := "2"
	for _, s := range servers {
		if s == '+' {
			version = "1"

			continue
		}
		copies = append(copies, wire.Copy{
			Server:      string(s),
			Accelerator: "0",
			Version:     version,
			MemoryBytes: 60,
			State:       wire.CopyStateServing,
		})
		version = "2"
	}

	return copies
}
