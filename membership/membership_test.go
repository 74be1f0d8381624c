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
	// _maxLeavingDelay bounds the time until all instances see that a member
	// is leaving and send it no new work.
	_maxLeavingDelay = 5 * time.Second
	// _maxDetectionDelay bounds the time until all instances see a dead one as
	// failed, and the time until their views agree after a fault.
	_maxDetectionDelay = 12 * time.Second
)

// All instances must detect a dead one within _maxDetectionDelay, and none may
// consider a live one failed, with 5% of messages lost.
func TestFailureDetection(t *testing.T) {
	for _, n := range []int{6, 24, 48} {
		t.Run(fmt.Sprintf("instances=%d", n), func(t *testing.T) {
			var longest time.Duration
			for seed := range uint64(_seeds) {
				w := newNetwork(seed, n, DisabledMechanisms{})
				w.loss = 0.05
				w.advanceSampling(20 * time.Second)
				dead := w.order[int(seed)%n]
				w.kill(dead)
				took := w.advanceUntil(time.Minute, func(x *node) bool { return x.health(dead.name) == wire.FindingHealthFailed })
				longest = max(longest, took)
				w.advanceSampling(20 * time.Second)
				if n := countFalseFailures(w); n != 0 {
					t.Errorf("seed %d: live instances were considered failed in %d samples", seed, n)
				}
			}
			if longest > _maxDetectionDelay {
				t.Errorf("a dead instance was considered alive for %s", longest)
			}
			t.Logf("longest time until all instances detected the dead one: %s", longest)
		})
	}
}

// When a paused process resumes, its probes and suspicions have timed out
// although the other instances are alive. It must not mark them failed for
// that. The others must not mark it failed after a short pause, and all views
// must agree again soon after the pause.
func TestProcessPause(t *testing.T) {
	tests := []struct {
		name     string
		pause    time.Duration
		disabled DisabledMechanisms
		// wantFailed reports whether others mark the paused instance failed.
		wantFailed bool
		// wantFalseFailures reports whether the instance marks others failed
		// when it resumes.
		wantFalseFailures bool
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
			name:              "long without pause detection",
			pause:             20 * time.Second,
			disabled:          DisabledMechanisms{PauseDetection: true},
			wantFailed:        true,
			wantFalseFailures: true,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			failed, falseFailures := 0, 0
			var longest time.Duration
			for seed := range uint64(_seeds) {
				w := newNetwork(seed, 8, tt.disabled)
				w.advanceSampling(10 * time.Second)
				x, other := w.order[seed%8], w.order[(seed+1)%8]
				// x is paused before other can refute this suspicion.
				x.recordHealth(other.name, wire.FindingHealthSuspect)
				w.pause(x, tt.pause)
				w.advanceSampling(tt.pause - _sampleInterval)
				failed += x.seenFailed
				x.failedPeers = 0
				w.advanceSampling(time.Second)
				falseFailures += x.failedPeers
				longest = max(longest, w.advanceUntil(time.Minute, (*node).seesAllAlive))
			}
			if diff := cmp.Diff([]bool{tt.wantFailed, tt.wantFalseFailures}, []bool{failed > 0, falseFailures > 0}); diff != "" {
				t.Errorf("paused instance marked failed, marks others failed (-want +got):\n%s", diff)
			}
			if longest > _maxDetectionDelay {
				t.Errorf("views took %s to agree after the pause", longest)
			}
			t.Logf("samples: paused instance marked failed %d, marks others failed %d; longest time until all see all alive again: %s", failed, falseFailures, longest)
		})
	}
}

// Regions that are partitioned from each other must keep each other's members
// in their views, and recover once the partition heals. Without refutation they
// keep each other marked failed.
func TestRegionPartition(t *testing.T) {
	tests := []struct {
		name          string
		disabled      DisabledMechanisms
		wantRecovered bool
	}{
		{
			name:          "guarded",
			wantRecovered: true,
		},
		{
			name:     "without refutation",
			disabled: DisabledMechanisms{Refutation: true},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var longest time.Duration
			for seed := range uint64(_seeds) {
				w := newNetwork(seed, 12, tt.disabled)
				w.advanceSampling(10 * time.Second)
				w.partitioned = func(a, b *node) bool { return a.Self.Region != b.Self.Region }
				w.clock.Advance(5 * time.Minute)
				for _, x := range w.order {
					status := x.Status()
					if diff := cmp.Diff(13, len(status.Members)); diff != "" {
						t.Errorf("seed %d: members in the view of %s (-want +got):\n%s", seed, x.name, diff)
					}
					if diff := cmp.Diff(1, len(status.OutOfTouch)); diff != "" {
						t.Errorf("seed %d: unreachable regions in the view of %s (-want +got):\n%s", seed, x.name, diff)
					}
				}
				w.partitioned = func(*node, *node) bool { return false }
				longest = max(longest, w.advanceUntil(2*time.Minute, (*node).seesAllAlive))
			}
			if recovered := longest < 30*time.Second; recovered != tt.wantRecovered {
				t.Errorf("regions recovered in %s", longest)
			}
			t.Logf("longest time until all see all alive again: %s", longest)
		})
	}
}

// A restarted instance must rejoin under its new incarnation while the
// platform's list that the other instances have still holds the old one.
func TestRejoinWithStaleList(t *testing.T) {
	var longest time.Duration
	for seed := range uint64(_seeds) {
		w := newNetwork(seed, 8, DisabledMechanisms{})
		w.advanceSampling(10 * time.Second)
		old := w.order[seed%8]
		w.kill(old)
		w.clock.Advance(time.Duration(seed) * 2 * time.Second)
		self := old.Self
		self.Incarnation = 2
		// Its list is empty; it has only two peer addresses, one of which may
		// be its own.
		x := w.start(self, wire.ObjectList{Version: 1}, DisabledMechanisms{})
		x.PeerAddresses = []string{w.order[0].Self.PeerAddress, w.order[1].Self.PeerAddress}
		longest = max(longest, w.advanceUntil(time.Minute, func(y *node) bool {
			return y == x && len(y.Members()) == 8 && y.seesAllAlive() || y != x && y.health(x.name) == wire.FindingHealthAlive && y.members[x.name].finding.Incarnation == 2
		}))
		for _, y := range w.order {
			if y != x && y.members[x.name].info.Incarnation != 2 {
				t.Errorf("seed %d: %s still has the old incarnation", seed, y.name)
			}
		}
	}
	if longest > _maxDetectionDelay {
		t.Errorf("rejoining took %s", longest)
	}
	t.Logf("longest time until all see the new incarnation: %s", longest)
}

// All instances must see an instance, a listed and an unlisted backend server
// as leaving, although the platform's list doesn't show it. An outdated report
// and an expired suspicion must not change that.
func TestLeavingWithStaleList(t *testing.T) {
	var longest time.Duration
	for seed := range uint64(_seeds) {
		w := newNetwork(seed, 24, DisabledMechanisms{})
		w.loss = 0.05
		for _, y := range w.order {
			y.SetConfiguredServers([]wire.BackendServer{{Name: "unlisted"}})
		}
		w.advanceSampling(10 * time.Second)
		x, witness := w.order[seed%24], w.order[(seed+5)%24]
		x.Leave()
		witness.ReportServerState("engine", true, 100)
		witness.ReportServerState("unlisted", true, 100)
		longest = max(longest, w.advanceUntil(time.Minute, func(y *node) bool {
			members := y.Members()
			leaving := 0
			for _, m := range members {
				if m.Leaving {
					leaving++
				}
			}

			return leaving == 3
		}))
		witness.ReportServerState("engine", false, 99)
		witness.ReportConnectionFailure("engine")
		w.clock.Advance(20 * time.Second)
		for _, m := range witness.Members() {
			if m.Name == "engine" && (!m.Leaving || m.Health != wire.FindingHealthAlive) {
				t.Errorf("seed %d: after an outdated report and an expired suspicion the engine is %+v", seed, m)
			}
		}
	}
	if longest > _maxLeavingDelay {
		t.Errorf("a leaving member was considered not leaving for %s", longest)
	}
	t.Logf("longest time until all see the leaving members: %s", longest)
}

// countFalseFailures returns the number of samples in which a running instance was
// considered failed, summed over all instances.
func countFalseFailures(w *network) int {
	n := 0
	for _, x := range w.order {
		n += x.seenFailed
	}

	return n
}

// BenchmarkProbeTraffic measures the traffic and the CPU time of membership
// without the cost of connections, in virtual time.
func BenchmarkProbeTraffic(b *testing.B) {
	for _, n := range []int{6, 12, 24, 48, 120, 360} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			w := newNetwork(1, n, DisabledMechanisms{})
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

// BenchmarkDissemination measures the time until all instances detect that one
// has died and see that another is leaving, with 5% of messages lost.
func BenchmarkDissemination(b *testing.B) {
	for _, n := range []int{6, 24, 120, 360} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			var death, leave time.Duration
			for i := range b.N {
				w := newNetwork(uint64(i), n, DisabledMechanisms{})
				w.loss = 0.05
				w.clock.Advance(time.Minute)
				dead, leaving := w.order[1], w.order[2]
				leaving.Leave()
				leave = max(leave, w.advanceUntil(time.Minute, func(x *node) bool {
					return x == leaving || x.members[leaving.name].finding.Leaving
				}))
				w.kill(dead)
				death = max(death, w.advanceUntil(time.Minute, func(x *node) bool {
					return x.health(dead.name) == wire.FindingHealthFailed
				}))
			}
			b.ReportMetric(death.Seconds(), "s-to-know-death")
			b.ReportMetric(leave.Seconds(), "s-to-know-leaving")
		})
	}
}
