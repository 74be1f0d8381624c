package membership

import (
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"papayastair.dev/papayastair/wire"
)

const (
	_seeds = 20
	// _leavingKnown bounds how long a leaving member gets new work.
	_leavingKnown = 5 * time.Second
	// _detection bounds how long a dead instance is taken for alive.
	_detection = 12 * time.Second
)

func TestDeadInstanceIsFoundAndLiveOnesAreNot(t *testing.T) {
	for _, n := range []int{6, 24, 48} {
		t.Run(fmt.Sprintf("instances=%d", n), func(t *testing.T) {
			var longest time.Duration
			for seed := range uint64(_seeds) {
				w := newNetwork(seed, n, Unguarded{})
				w.loss = 0.05
				w.watch(20 * time.Second)
				dead := w.order[int(seed)%n]
				w.kill(dead)
				took := w.until(time.Minute, func(x *node) bool { return x.health(dead.name) == wire.FindingHealthFailed })
				longest = max(longest, took)
				w.watch(20 * time.Second)
				if wrong := accusations(w); wrong != 0 {
					t.Errorf("seed %d: live instances taken for failed at %d moments", seed, wrong)
				}
			}
			if longest > _detection {
				t.Errorf("a dead instance was taken for alive for %s", longest)
			}
			t.Logf("longest time until all have found the dead instance: %s", longest)
		})
	}
}

func TestPausedInstanceNeitherFlapsNorAccuses(t *testing.T) {
	tests := []struct {
		name      string
		pause     time.Duration
		unguarded Unguarded
		// wantFailed says that others take the paused one for failed.
		wantFailed bool
		// wantAccuses says that it takes others for failed when it wakes.
		wantAccuses bool
	}{
		{
			name:  "short",
			pause: 2 * time.Second,
		},
		{
			name:       "long",
			pause:      20 * time.Second,
			wantFailed: true,
		},
		{
			name:        "long without the guard",
			pause:       20 * time.Second,
			unguarded:   Unguarded{Pause: true},
			wantFailed:  true,
			wantAccuses: true,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			failed, accused := 0, 0
			var longest time.Duration
			for seed := range uint64(_seeds) {
				w := newNetwork(seed, 8, tt.unguarded)
				w.watch(10 * time.Second)
				x, other := w.order[seed%8], w.order[(seed+1)%8]
				// A suspicion that other could deny is open when x is paused.
				x.accuse(other.name, wire.FindingHealthSuspect)
				w.pause(x, tt.pause)
				w.watch(tt.pause - _watchStep)
				failed += x.failed
				x.accused = 0
				w.watch(time.Second)
				accused += x.accused
				longest = max(longest, w.until(time.Minute, (*node).seesAll))
			}
			if diff := cmp.Diff([]bool{tt.wantFailed, tt.wantAccuses}, []bool{failed > 0, accused > 0}); diff != "" {
				t.Errorf("taken for failed, accuses (-want +got):\n%s", diff)
			}
			if longest > _detection {
				t.Errorf("views took %s to agree after the pause", longest)
			}
			t.Logf("moments: taken for failed %d, accusing %d; longest time until all see all again: %s", failed, accused, longest)
		})
	}
}

func TestRegionsOutOfTouchStayInTheViewAndMeetAgain(t *testing.T) {
	tests := []struct {
		name      string
		unguarded Unguarded
		wantMeet  bool
	}{
		{
			name:     "guarded",
			wantMeet: true,
		},
		{
			name:      "without refutation",
			unguarded: Unguarded{Refute: true},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var longest time.Duration
			for seed := range uint64(_seeds) {
				w := newNetwork(seed, 12, tt.unguarded)
				w.watch(10 * time.Second)
				w.cut = func(a, b *node) bool { return a.Self.Region != b.Self.Region }
				w.clock.Advance(5 * time.Minute)
				for _, x := range w.order {
					status := x.Status()
					if diff := cmp.Diff(13, len(status.Members)); diff != "" {
						t.Errorf("seed %d: members in the view of %s (-want +got):\n%s", seed, x.name, diff)
					}
					if diff := cmp.Diff(1, len(status.OutOfTouch)); diff != "" {
						t.Errorf("seed %d: regions out of touch with %s (-want +got):\n%s", seed, x.name, diff)
					}
				}
				w.cut = func(*node, *node) bool { return false }
				longest = max(longest, w.until(2*time.Minute, (*node).seesAll))
			}
			if met := longest < 30*time.Second; met != tt.wantMeet {
				t.Errorf("regions met again in %s", longest)
			}
			t.Logf("longest time until all see all again: %s", longest)
		})
	}
}

func TestRestartedInstanceRejoinsThoughTheListIsOld(t *testing.T) {
	var longest time.Duration
	for seed := range uint64(_seeds) {
		w := newNetwork(seed, 8, Unguarded{})
		w.watch(10 * time.Second)
		old := w.order[seed%8]
		w.kill(old)
		w.clock.Advance(time.Duration(seed) * 2 * time.Second)
		self := old.Self
		self.Incarnation = 2
		// It knows no list, only two addresses, one of which may be its own.
		x := w.start(self, wire.ObjectList{Version: 1}, Unguarded{})
		x.PeerAddresses = []string{w.order[0].Self.PeerAddress, w.order[1].Self.PeerAddress}
		longest = max(longest, w.until(time.Minute, func(y *node) bool {
			return y == x && len(y.Members()) == 8 && y.seesAll() || y != x && y.health(x.name) == wire.FindingHealthAlive && y.members[x.name].finding.Incarnation == 2
		}))
		for _, y := range w.order {
			if y != x && y.members[x.name].info.Incarnation != 2 {
				t.Errorf("seed %d: %s knows the old incarnation", seed, y.name)
			}
		}
	}
	if longest > _detection {
		t.Errorf("rejoining took %s", longest)
	}
	t.Logf("longest time until all know the new incarnation: %s", longest)
}

func TestLeavingMembersAreKnownThoughTheListLags(t *testing.T) {
	var longest time.Duration
	for seed := range uint64(_seeds) {
		w := newNetwork(seed, 24, Unguarded{})
		w.loss = 0.05
		for _, y := range w.order {
			y.KnowServers([]wire.BackendServer{{Name: "unlisted"}})
		}
		w.watch(10 * time.Second)
		x, witness := w.order[seed%24], w.order[(seed+5)%24]
		x.Leave()
		witness.ReportServer("engine", true, 100)
		witness.ReportServer("unlisted", true, 100)
		longest = max(longest, w.until(time.Minute, func(y *node) bool {
			members := y.Members()
			leaving := 0
			for _, m := range members {
				if m.Leaving {
					leaving++
				}
			}

			return leaving == 3
		}))
		witness.ReportServer("engine", false, 99)
		witness.ReportRefused("engine")
		w.clock.Advance(20 * time.Second)
		for _, m := range witness.Members() {
			if m.Name == "engine" && (!m.Leaving || m.Health != wire.FindingHealthAlive) {
				t.Errorf("seed %d: after late words and an old refusal the engine is %+v", seed, m)
			}
		}
	}
	if longest > _leavingKnown {
		t.Errorf("a leaving member was taken for staying for %s", longest)
	}
	t.Logf("longest time until all know: %s", longest)
}

func accusations(w *network) int {
	n := 0
	for _, x := range w.order {
		n += x.failed
	}

	return n
}

// BenchmarkControl is the traffic and the processor time of membership
// without the cost of connections, in virtual time.
func BenchmarkControl(b *testing.B) {
	for _, n := range []int{6, 12, 24, 48, 120, 360} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			w := newNetwork(1, n, Unguarded{})
			w.encoder = gob.NewEncoder(&w.bytes)
			w.clock.Advance(2 * time.Minute)
			w.messages, w.bytes = 0, 0
			b.ResetTimer()
			for range b.N {
				w.clock.Advance(time.Second)
			}
			each := float64(b.N * n)
			b.ReportMetric(float64(w.bytes)/each, "sent-B/s/instance")
			b.ReportMetric(float64(w.messages)/each, "sent-msg/s/instance")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/each, "us/s/instance")
		})
	}
}

// BenchmarkNews is the time until all know that an instance has died, and
// that another leaves, with 5% of messages lost.
func BenchmarkNews(b *testing.B) {
	for _, n := range []int{6, 24, 120, 360} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			var death, leave time.Duration
			for i := range b.N {
				w := newNetwork(uint64(i), n, Unguarded{})
				w.loss = 0.05
				w.clock.Advance(time.Minute)
				dead, leaving := w.order[1], w.order[2]
				leaving.Leave()
				leave = max(leave, w.until(time.Minute, func(x *node) bool {
					return x == leaving || x.members[leaving.name].finding.Leaving
				}))
				w.kill(dead)
				death = max(death, w.until(time.Minute, func(x *node) bool {
					return x.health(dead.name) == wire.FindingHealthFailed
				}))
			}
			b.ReportMetric(death.Seconds(), "s-to-know-death")
			b.ReportMetric(leave.Seconds(), "s-to-know-leaving")
		})
	}
}
