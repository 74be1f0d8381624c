package exchange

import (
	"fmt"
	"testing"
	"time"

	"papayastair.dev/papayastair/wire"
)

// composeLoaded returns a bulletin as under load: requests on a few of the backend
// servers, demand for a few models, all workspaces, and, from one instance in
// each of four shards, what the servers of the shard hold.
func (sim *simulation) composeLoaded(i int, m *member) *wire.Bulletin {
	const (
		instancesPerServer = 2
		stewards           = 4
		workspaces         = 40
	)
	servers := max(len(sim.members)/instancesPerServer, stewards)
	b := sim.compose(m)
	b.Running = nil
	b.Demand = nil
	for n := range 8 {
		b.Running = append(b.Running, wire.ServerCount{
			Server: fmt.Sprintf("i-%08x", (i*7+n*31)%servers),
			Count:  1 + n%3,
		})
		b.Demand = append(b.Demand, wire.TargetDemand{
			Service:   "engines",
			Target:    fmt.Sprintf("model%05d/a%d", (i*5+n*13)%servers, n),
			PerSecond: 1.5,
			Running:   2,
			Rank:      1,
		})
	}
	b.Asked = nil
	for n := range workspaces {
		b.Asked = append(b.Asked, wire.WorkspaceRate{
			Workspace: fmt.Sprintf("workspace%02d", n),
			PerSecond: float64(n),
			Spent:     float64(sim.now.Milliseconds()),
		})
	}
	if i >= stewards {
		return b
	}
	b.Shards = []wire.StewardShard{{
		Shard:   i,
		Version: 1,
		LeftMS:  2000,
		Holder:  m.cfg.Name,
	}}
	for n := i; n < servers; n += stewards {
		h := wire.ServerTargets{Server: fmt.Sprintf("i-%08x", n)}
		for k := range 3 {
			h.Targets = append(h.Targets, fmt.Sprintf("model%05d", n+k))
		}
		for k := range 8 {
			h.Targets = append(h.Targets, fmt.Sprintf("model%05d/a%d", n, k))
		}
		b.Held = append(b.Held, h)
	}

	return b
}

// BenchmarkControl measures the processor time of the bulletins of all instances,
// with their encoding, for one second of virtual time. us/instance is the time an
// instance spends in a second.
func BenchmarkControl(b *testing.B) {
	for _, n := range []int{30, 60, 100, 300, 1000} {
		b.Run(fmt.Sprint("Instances=", n), func(b *testing.B) {
			sim := newSimulation(b, 1, n)
			sim.composer = sim.composeLoaded
			sim.run(testConvergence)
			sent := func() (bytes int) {
				for _, m := range sim.members {
					bytes += m.bytes
				}

				return bytes
			}
			before := sent()
			for b.Loop() {
				sim.run(time.Second)
			}
			perInstance := float64(b.N * n)
			b.ReportMetric(b.Elapsed().Seconds()*1e6/perInstance, "us/instance")
			b.ReportMetric(float64(sent()-before)/perInstance, "B/instance")
		})
	}
}
