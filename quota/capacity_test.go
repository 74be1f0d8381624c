package quota

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"papayastair.dev/papayastair/wire"
)

const (
	// _callsPerInstance is the number of calls per second and instance: 8,800 a
	// second at 360 instances, the fleet expected in two years.
	_callsPerInstance = 24
	_capacityTime     = 10 * time.Second
)

// TestMeasureControl prints the cost of control traffic for docs/quota.md with
// PAPAYASTAIR_MEASURE=1. The calls of a workspace arrive at all instances, or at
// its homes only, as when callers are located by workspace.
func TestMeasureControl(t *testing.T) {
	if os.Getenv("PAPAYASTAIR_MEASURE") != "1" {
		t.Skip("set PAPAYASTAIR_MEASURE=1 to measure")
	}
	for _, instances := range []int{6, 12, 24, 48, 120, 360} {
		life := _defaultEvidenceTTL
		if instances > 100 {
			life = 3 * _defaultEvidenceTTL
		}
		for _, workspaces := range []int{0, 5, 50} {
			for _, spread := range []int{8, instances} {
				if workspaces == 0 && spread == 8 || spread > instances {
					continue
				}
				measureControl(t, instances, workspaces, spread, life, false)
				if workspaces == 0 {
					measureControl(t, instances, workspaces, spread, life, true)
				}
			}
		}
	}
}

// homeIndexes returns the indexes of the home instances of each workspace.
func (w *simulation) homeIndexes() [][]int {
	members := make([]wire.QuotaMember, 0, len(w.names))
	for _, name := range w.names {
		members = append(members, w.nodes[name].self)
	}
	indexes := make([][]int, len(w.limits))
	for i, limit := range w.limits {
		for _, share := range Homes(members, limit.Workspace) {
			indexes[i] = append(indexes[i], slices.Index(w.names, share.Member.Instance))
		}
	}

	return indexes
}

func measureControl(t *testing.T, instances, workspaces, spread int, life time.Duration, outage bool) {
	t.Helper()
	sizes := make([]int, instances)
	for i := range sizes {
		sizes[i] = 1 + i%3
	}
	limits := make([]Limit, 0, workspaces)
	for i := range workspaces {
		rate := float64(_callsPerInstance*instances*_meanUsed) / float64(workspaces) / 0.9
		limits = append(limits, Limit{
			Workspace:           fmt.Sprintf("w%02d", i),
			RateTokensPerSecond: rate,
			BurstTokens:         5 * rate,
		})
	}
	w := newSimulation(1, sizes, limits, life, guards{})
	homes := w.homeIndexes()
	w.clock.Advance(3 * life)
	if outage {
		w.outage(_capacityTime)
	}
	w.meter = newMeter()
	before := w.store.Calls()["put"] + w.store.Calls()["get"]
	var r result
	for range int(_capacityTime / _step) {
		w.clock.Advance(_step)
		for i, limit := range limits {
			for range w.arrivals(limit, load{times: 0.9}, 0) {
				at := w.rng.Intn(instances)
				if spread < instances {
					at = homes[i][w.rng.Intn(len(homes[i]))]
				}
				r.calls++
				w.send(w.newCall(limit, at, r.calls), func(admitted bool) {
					if admitted {
						r.admitted++
					}
				})
			}
		}
	}
	m, seconds := w.meter, _capacityTime.Seconds()
	perInstance := func(total float64) float64 { return total / seconds / float64(instances) }
	t.Logf("%d instances, %d workspaces over %d, outage %v: refused per thousand %.2f, each instance %.1f messages/s %.2f KB/s %.3f%% of a core, store %.2f calls/s in all",
		instances, workspaces, spread, outage, 1000*float64(r.calls-r.admitted)/float64(max(1, r.calls)), perInstance(float64(m.messages)),
		perInstance(float64(m.bytes))/1000, 100*perInstance(m.busy.Seconds()), float64(w.store.Calls()["put"]+w.store.Calls()["get"]-before)/seconds)
}
