package locate

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"papayastair.dev/papayastair/membership"
	"papayastair.dev/papayastair/timer"
	"papayastair.dev/papayastair/wire"
)

// fleet is two regions, the first with two failure domains of three
// instances of sizes 1, 2 and 4, the second with one.
func fleet() []membership.Member {
	members := make([]membership.Member, 0, 9)
	for i := range cap(members) {
		members = append(members, membership.Member{
			Member: wire.Member{
				Name:          fmt.Sprintf("i%d", i),
				Role:          wire.MemberRoleEntry,
				Region:        fmt.Sprintf("r%d", i/6),
				FailureDomain: fmt.Sprintf("d%d", i/3),
				Size:          1 << (i % 3),
			},
			Health: wire.FindingHealthAlive,
		})
	}

	return members
}

func TestChooseKeepsToTheNearestHealthyScope(t *testing.T) {
	caller := Caller{
		Region:        "r0",
		FailureDomain: "d0",
	}
	tests := []struct {
		name    string
		leaving []int
		failed  []int
		suspect []int
		caller  Caller
		want    Scope
		// names are those that may be named.
		names []string
	}{
		{
			name:   "healthy",
			caller: caller,
			want:   ScopeDomain,
			names:  []string{"i0", "i1", "i2"},
		},
		{
			name:    "a leaving instance is not named",
			leaving: []int{0},
			caller:  caller,
			want:    ScopeDomain,
			names:   []string{"i1", "i2"},
		},
		{
			name:   "less than half of the domain is left",
			failed: []int{2},
			caller: caller,
			want:   ScopeRegion,
			names:  []string{"i0", "i1", "i3", "i4", "i5"},
		},
		{
			name:   "less than half of the region is left",
			failed: []int{0, 1, 2, 5},
			caller: caller,
			want:   ScopeAny,
			names:  []string{"i3", "i4", "i6", "i7", "i8"},
		},
		{
			name:  "unknown caller",
			want:  ScopeAny,
			names: []string{"i0", "i1", "i2", "i3", "i4", "i5", "i6", "i7", "i8"},
		},
		{
			name:    "none surely alive",
			failed:  []int{0, 1, 2, 3, 4, 5},
			suspect: []int{6},
			leaving: []int{7, 8},
			caller:  caller,
			want:    ScopeSuspect,
			names:   []string{"i6"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			members := fleet()
			for _, i := range tt.leaving {
				members[i].Leaving = true
			}
			for _, i := range tt.failed {
				members[i].Health = wire.FindingHealthFailed
			}
			for _, i := range tt.suspect {
				members[i].Health = wire.FindingHealthSuspect
			}
			chooser := newChooser()
			named, scopes, shares := map[string]float64{}, map[Scope]bool{}, map[string]float64{}
			const asks = 20000
			for range asks {
				answer, ok := chooser.Choose(members, tt.caller)
				if !ok {
					t.Fatal("no instance was named")
				}
				named[answer.Name]++
				scopes[answer.Scope] = true
			}
			total := 0.0
			for _, name := range tt.names {
				shares[name] = float64(sizeByName(members, name))
				total += shares[name]
			}
			if diff := cmp.Diff(map[Scope]bool{tt.want: true}, scopes); diff != "" {
				t.Errorf("scopes (-want +got):\n%s", diff)
			}
			for name, n := range named {
				if off := math.Abs(n/asks - shares[name]/total); off > 0.02 {
					t.Errorf("%s got %.3f of the callers, by its size %.3f", name, n/asks, shares[name]/total)
				}
			}
		})
	}
}

func TestChooseWithoutInstances(t *testing.T) {
	if answer, ok := newChooser().Choose(nil, Caller{}); ok {
		t.Errorf("%+v was named", answer)
	}
}

func newChooser() *Chooser {
	return &Chooser{
		Random: rand.New(rand.NewPCG(1, 1)),
		TTL:    10 * time.Second,
	}
}

func sizeByName(members []membership.Member, name string) int {
	for _, m := range members {
		if m.Name == name {
			return m.Size
		}
	}

	return 0
}

// TestDrainServesWhileAnswersLive walks a leaving instance through callers
// that keep its address for as long as they may.
func TestDrainServesWhileAnswersLive(t *testing.T) {
	clock := timer.NewVirtual(time.Unix(0, 0))
	running, announced, done := 1, 0, 0
	drain := &Drain{
		Timer:    clock,
		TTL:      10 * time.Second,
		Announce: func() { announced++ },
		Running:  func() int { return running },
		OnDone:   func() { done++ },
	}
	type seen struct {
		State      State
		AcceptsNew bool
		Announced  int
		Done       int
	}
	var got []seen
	look := func() {
		got = append(got, seen{
			State:      drain.State(),
			AcceptsNew: drain.AcceptsNew(),
			Announced:  announced,
			Done:       done,
		})
	}
	look()
	drain.Begin()
	drain.Begin()
	// Another instance names it up to NewsMargin later; the answer lives TTL.
	clock.Advance(NewsMargin + drain.TTL - time.Millisecond)
	look()
	clock.Advance(time.Hour)
	look()
	running = 0
	clock.Advance(time.Second)
	look()
	want := []seen{
		{
			State:      StateServing,
			AcceptsNew: true,
		},
		{
			State:      StateLeaving,
			AcceptsNew: true,
			Announced:  1,
		},
		{
			State:     StateRefusing,
			Announced: 1,
		},
		{
			State:     StateDone,
			Announced: 1,
			Done:      1,
		},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("states (-want +got):\n%s", diff)
	}
}
