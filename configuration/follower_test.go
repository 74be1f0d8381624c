package configuration

import (
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestInForceEverywhereInTime measures the time from apply to in force on
// all instances, with one cut off from the store and one restarted.
func TestInForceEverywhereInTime(t *testing.T) {
	f := newFleet(1, 6, Unguarded{})
	first := f.mustApply(t, pair(1))
	f.until(time.Minute, func() bool { return f.allHave(first) })
	cut, restarted := f.instances[2], f.instances[4]
	f.faults.noStore = map[string]bool{cut.self.Name: true}
	var longest, total, startup time.Duration
	const changes = 50
	for i := range changes {
		f.clock.Advance(time.Duration(f.random.Int64N(int64(3 * time.Second))))
		if i == changes/2 {
			f.stop(restarted)
			f.clock.After(2*time.Second, func(time.Time) { f.start(restarted) })
		}
		version := f.mustApply(t, pair(2+i))
		took := f.until(time.Minute, func() bool { return f.allHave(version) })
		longest = max(longest, took)
		total += took
		if i >= changes/2 && startup == 0 && restarted.inForce[version].After(restarted.started) {
			startup = restarted.inForce[version].Sub(restarted.started)
		}
	}
	if longest > _inForceBound || startup > _inForceBound {
		t.Errorf("in force everywhere after %s, on the restarted instance %s after its start", longest, startup)
	}
	t.Logf("%d changes: in force everywhere after %s on average, at most %s; the restarted instance %s after its start", changes, total/changes, longest, startup)
	if diff := cmp.Diff([]int{0, 0}, []int{f.reversals, f.halves}); diff != "" {
		t.Errorf("reversals, halves (-want +got):\n%s", diff)
	}
}

// TestKeyedRequestsInPartitions cuts instances off and looks when they refuse
// requests with keys.
func TestKeyedRequestsInPartitions(t *testing.T) {
	tests := []struct {
		name      string
		instances int
		storeDown bool
		// alone are the instances of a part of its own, which don't reach the
		// store either.
		alone     int
		unguarded Unguarded
		// within bounds the time until each of these refuses; 0 means never.
		within time.Duration
	}{
		{
			name:      "store outage seen by all",
			instances: 6,
			storeDown: true,
		},
		{
			name:      "store outage seen by a single instance",
			instances: 1,
			storeDown: true,
		},
		{
			name:      "one alone",
			instances: 6,
			alone:     1,
			within:    _inForceBound,
		},
		{
			name:      "one alone in a store outage",
			instances: 6,
			storeDown: true,
			alone:     1,
			within:    _inForceBound,
		},
		{
			name:      "one of two alone",
			instances: 2,
			alone:     1,
			within:    _inForceBound,
		},
		{
			name:      "two of six alone",
			instances: 6,
			alone:     2,
			within:    4 * _inForceBound,
		},
		{
			name:      "one alone without the guard",
			instances: 6,
			alone:     1,
			unguarded: Unguarded{Alone: true},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(3, tt.instances, tt.unguarded)
			version := f.mustApply(t, pair(1))
			f.until(time.Minute, func() bool { return f.allHave(version) })
			f.clock.Advance(10 * time.Second)
			f.faults.storeDown = tt.storeDown
			f.faults.group = map[string]int{}
			f.faults.noStore = map[string]bool{}
			for _, x := range f.instances[:tt.alone] {
				f.faults.group[x.self.Name] = 1
				f.faults.noStore[x.self.Name] = true
			}
			refused := f.until(10*time.Minute, func() bool { return f.refuse(f.instances[:max(tt.alone, 1)]) })
			if tt.within == 0 && refused < 10*time.Minute || tt.within > 0 && refused > tt.within {
				t.Errorf("refused after %s: %+v", refused, f.instances[0].follower.Keyed())
			}
			t.Logf("refused after %s", refused)
			for _, x := range f.instances[tt.alone:] {
				if k := x.follower.Keyed(); !k.Allowed {
					t.Errorf("%s refuses: %+v", x.self.Name, k)
				}
			}
			f.faults = faults{}
			if back := f.until(time.Minute, func() bool { return f.allow() }); back > 2*_inForceBound {
				t.Errorf("served again after %s", back)
			}
		})
	}
}

func (f *fleet) refuse(instances []*instance) bool {
	for _, x := range instances {
		if x.follower.Keyed().Allowed {
			return false
		}
	}

	return true
}

func (f *fleet) allow() bool {
	for _, x := range f.instances {
		if !x.down && !x.follower.Keyed().Allowed {
			return false
		}
	}

	return true
}

// TestApply covers what an operator sees without faults: nothing to do, a
// conflict that names the version that won, a change of other subtrees that
// is kept, a merged result that is refused.
func TestApply(t *testing.T) {
	f := newFleet(1, 2, Unguarded{})
	ctx := context.Background()
	f.mustApply(t, pair(1))
	one, other := f.operator("one", nil), f.operator("other", nil)
	plan, err := one.Plan(ctx, pair(2))
	if err != nil {
		t.Fatal(err)
	}
	want := []Difference{
		{
			Subtree: "/a",
			Path:    "/Workspaces/a/RateTokensPerSecond",
			Before:  "1",
			After:   "2",
		},
		{
			Subtree: "/b",
			Path:    "/Workspaces/b/RateTokensPerSecond",
			Before:  "1",
			After:   "2",
		},
	}
	if diff := cmp.Diff(want, plan.Differences); diff != "" {
		t.Errorf("differences (-want +got):\n%s", diff)
	}
	otherPlan, err := other.Plan(ctx, Change{Subtrees: pair(3).Subtrees[:1]})
	if err != nil {
		t.Fatal(err)
	}
	f.mustApply(t, Change{Subtrees: pair(7).Subtrees[:0:0], Removed: []string{"/none"}})
	if result, err := one.Commit(ctx, plan); err != nil || result.Version != 2 {
		t.Errorf("change that is not touched: %+v, %v", result, err)
	}
	if result, err := one.Commit(ctx, plan); err != nil || result.Changed {
		t.Errorf("the same again: %+v, %v", result, err)
	}
	var conflict *ConflictError
	if _, err := other.Commit(ctx, otherPlan); !errors.As(err, &conflict) || conflict.Version != 2 || conflict.Writer.ID != "one" {
		t.Errorf("racing change: %v", err)
	}
	broken := workspaceSubtree("d", 0)
	if _, err := other.Plan(ctx, Change{Subtrees: append(pair(2).Subtrees, broken)}); err == nil {
		t.Error("a workspace without a rate was planned")
	}
	head, subtrees, err := one.Read(ctx)
	if err != nil || head.Version != 2 || len(subtrees) != 2 {
		t.Errorf("version %d with %d subtrees, %v", head.Version, len(subtrees), err)
	}
}

// TestOldContentsAreDeletedUnlessBroughtBack lets an operator bring a content
// back at the moment at which another is about to delete it.
func TestOldContentsAreDeletedUnlessBroughtBack(t *testing.T) {
	tests := []struct {
		name        string
		race        bool
		trustStored bool
		// want are the contents in the store at the end, an index for each
		// version among them: those in use and those just superseded. The
		// racing operator deletes some as well.
		want         int
		wantDangling bool
	}{
		{
			name: "no race",
			want: 6,
		},
		{
			name: "brought back",
			race: true,
			want: 6,
		},
		{
			name:         "brought back without the guard",
			race:         true,
			trustStored:  true,
			want:         4,
			wantDangling: true,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(1, 2, Unguarded{})
			f.trustStored = tt.trustStored
			f.keepVersions = 1
			f.mustApply(t, pair(1))
			f.mustApply(t, pair(2))
			deleting := f.operator("deleting", nil)
			remove, raced := deleting.Store.Delete, false
			deleting.Store.Delete = func(ctx context.Context, kind, name string, version int) error {
				if tt.race && !raced {
					raced = true
					f.mustApply(t, pair(1))
				}

				return remove(ctx, kind, name, version)
			}
			plan, err := deleting.Plan(context.Background(), pair(3))
			if err != nil {
				t.Fatal(err)
			}
			if _, err := deleting.Commit(context.Background(), plan); err != nil {
				t.Fatal(err)
			}
			list, err := f.platform.List(context.Background(), KindSubtree)
			if err != nil {
				t.Fatal(err)
			}
			if len(list.Objects) != tt.want || f.dangling > 0 != tt.wantDangling {
				t.Errorf("%d contents in the store, not %d; %d are missing", len(list.Objects), tt.want, f.dangling)
			}
		})
	}
}

// BenchmarkControl is the traffic of configuration and membership, the calls
// on the store, and the processor time without connections, in virtual time,
// with as many subtrees as instances and a change each 72 s.
func BenchmarkControl(b *testing.B) {
	for _, n := range []int{6, 12, 24, 48, 120, 360} {
		b.Run(fmt.Sprintf("instances=%d", n), func(b *testing.B) {
			f := newFleet(1, n, Unguarded{})
			operator := f.operator("operator", nil)
			var longest time.Duration
			apply := func(change Change) {
				plan, err := operator.Plan(context.Background(), change)
				if err != nil {
					b.Fatal(err)
				}
				result, err := operator.Commit(context.Background(), plan)
				if err != nil {
					b.Fatal(err)
				}
				longest = max(longest, f.until(time.Minute, func() bool { return f.allHave(result.Version) }))
			}
			first := pair(1)
			for i := range n {
				first.Subtrees = append(first.Subtrees, workspaceSubtree(fmt.Sprintf("team%d", i), 1))
			}
			apply(first)
			f.clock.Advance(2 * time.Minute)
			longest = 0
			var traffic counter
			f.encoder = gob.NewEncoder(&traffic)
			f.clock.Advance(10 * time.Second)
			traffic, f.messages = 0, 0
			clear(f.calls)
			began := f.clock.Now()
			b.ResetTimer()
			for i := range b.N {
				if i%72 == 0 {
					apply(pair(2 + i))
				}
				f.clock.Advance(time.Second)
			}
			seconds := f.clock.Now().Sub(began).Seconds()
			b.ReportMetric(float64(traffic)/seconds/float64(n), "sent-B/s/instance")
			b.ReportMetric(float64(f.messages)/seconds/float64(n), "sent-msg/s/instance")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/seconds/float64(n), "us/s/instance")
			b.ReportMetric(float64(f.calls["head"])/seconds, "head-calls/s")
			b.ReportMetric(float64(f.calls["list"])/seconds, "list-calls/s")
			b.ReportMetric(float64(f.calls["status"])/seconds, "status-calls/s")
			b.ReportMetric(longest.Seconds(), "s-to-in-force")
			if f.reversals > 0 {
				b.Errorf("%d reversals", f.reversals)
			}
		})
	}
}
