package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"papayastair.dev/papayastair/wire"
)

// TestPlan checks who gives way to whom on a small full fleet. Servers are
// named a, b, ... with one accelerator of 100 bytes each, in two failure
// domains in turn; copies are model@server, with "+" before those of an old
// version.
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
			models:  []wire.Model{sized("m", urgent, 60), sized("n", batch, 60), sized("o", live, 60)},
			copies: map[string]string{
				"n": "a",
				"o": "b",
			},
			want: []string{"Evict Room n@a", "Load OnlyCopy m@a"},
		},
		{
			name:    "a surplus copy goes before an only copy",
			servers: 3,
			models:  []wire.Model{sized("m", batch, 60), sized("n", live, 60), sized("o", batch, 60)},
			copies: map[string]string{
				"n": "ab",
				"o": "c",
			},
			want: []string{"Drop Room n@a", "Load OnlyCopy m@a"},
		},
		{
			name:    "a batch model does not evict a live one",
			servers: 1,
			models:  []wire.Model{sized("m", batch, 60), sized("n", live, 60)},
			copies:  map[string]string{"n": "a"},
			unplaced: []Unplaced{
				{
					Model:  "m",
					Reason: ReasonOnly,
				},
				{
					Model:  "n",
					Reason: ReasonSpare,
				},
			},
		},
		{
			name:    "a new version without room for two stays out",
			servers: 1,
			models:  []wire.Model{sized("m", live, 60)},
			copies:  map[string]string{"m": "+a"},
			unplaced: []Unplaced{{
				Model:  "m",
				Reason: ReasonMinimum,
			}},
		},
		{
			name:    "a new version takes the place of one of two old copies",
			servers: 2,
			models:  []wire.Model{sized("m", live, 60)},
			copies:  map[string]string{"m": "+a+b"},
			want:    []string{"Drop Room m@a", "Load Minimum m@a"},
		},
		{
			name:    "an old version goes when the new one serves on two servers",
			servers: 3,
			models:  []wire.Model{sized("m", live, 60)},
			copies:  map[string]string{"m": "ab+c"},
			want:    []string{"Drop Replaced m@c"},
		},
		{
			name:    "the copy of a lost server comes up in the other failure domain",
			servers: 4,
			models:  []wire.Model{sized("m", live, 60)},
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
				in.Copies[model] = copiesOn(servers)
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

// TestUnknownIsHeld checks that a planner with settings older than another's
// doesn't at once remove what it doesn't know.
func TestUnknownIsHeld(t *testing.T) {
	w := newDay(_kandy)
	w.converge(nil)
	w.copies["unknown"] = copiesOn("x")
	w.copies["unknown"][0].Server = "engine-000"
	w.copies["model-000"] = append(w.copies["model-000"], copiesOn("x")...)
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
		w.step(p, nil)
		w.settle()
		for model, n := range want {
			if diff := cmp.Diff(n, len(w.copies[model])); diff != "" {
				t.Errorf("copies of %s (-want +got):\n%s", model, diff)
			}
		}
		w.now = w.now.Add(_unknownHold)
	}
}

// TestOnlyCopyIsNotDelayed fills the weight store with the copies of batch
// models and checks that the only copy of a live model is loaded at once.
func TestOnlyCopyIsNotDelayed(t *testing.T) {
	w := newDay(_kandy)
	p := NewPlanner(Options{LoadsPerSecond: 4})
	for i := range w.fleet.Models {
		w.fleet.Models[i].Priority = wire.PriorityBatch
	}
	plan := func() int {
		w.now = w.now.Add(time.Second)

		return w.step(p, nil)
	}
	filled := 0
	for range 10 {
		filled += plan()
	}
	if diff := cmp.Diff(_loadsAtOnce-_reservedLoads, filled); diff != "" {
		t.Errorf("batch loads in flight (-want +got):\n%s", diff)
	}
	w.fleet.Models = append(w.fleet.Models, sized("late", wire.PriorityLive, 8<<30))
	plan()
	if diff := cmp.Diff(1, len(w.copies["late"])); diff != "" {
		t.Errorf("copies of the live model while batch models load (-want +got):\n%s", diff)
	}
}

func sized(name string, priority wire.Priority, bytes int) wire.Model {
	return wire.Model{
		Name:        name,
		Version:     "2",
		MemoryBytes: bytes,
		MinCopies:   1,
		Priority:    priority,
	}
}

func copiesOn(servers string) []wire.Copy {
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
