package order

import (
	"context"
	"fmt"
	"testing"
	"time"

	"papayastair.dev/papayastair/placement"
	"papayastair.dev/papayastair/standin"
	"papayastair.dev/papayastair/timer"
	"papayastair.dev/papayastair/wire"
)

// BenchmarkStoreCalls reports the store calls of orders and placement per load
// and at rest, for four cluster sizes.
func BenchmarkStoreCalls(b *testing.B) {
	for _, n := range []int{6, 12, 24, 48} {
		b.Run(fmt.Sprintf("Instances%d", n), func(b *testing.B) {
			for range b.N {
				sim := newSimulation(scheduleConfig{
					servers:       n * 2,
					instances:     n,
					models:        n * 2,
					minBytes:      20,
					maxBytes:      45,
					checksFencing: func(int) bool { return true },
				}, 1)
				for range 300 {
					sim.step()
				}
				loads := 0
				for _, e := range sim.engines {
					loads += e.accelerators.Loads()
				}
				began := sim.store.Calls()
				for range 300 {
					sim.step()
				}
				ended := sim.store.Calls()
				b.ReportMetric(float64(began["put"])/float64(loads), "puts/load")
				b.ReportMetric(float64(ended["put"]-began["put"])/300, "puts/s-at-rest")
				b.ReportMetric(float64(ended["get"]-began["get"])/300/float64(2*n), "gets/s/server-at-rest")
			}
		})
	}
}

// BenchmarkStepAtRest measures the Step that one instance runs each second
// while nothing changes, for five cluster sizes and ten copies of each model.
func BenchmarkStepAtRest(b *testing.B) {
	for _, n := range []int{6, 45, 90, 180, 360} {
		b.Run(fmt.Sprintf("Instances%d", n), func(b *testing.B) {
			clock := timer.NewVirtual(time.Unix(1_000_000, 0))
			store := standin.NewStore().Platform()
			catalog := placement.NewCatalog(store, "bench")
			var fleet placement.Fleet
			members := make([]wire.Member, 0, n)
			for i := range n {
				members = append(members, wire.Member{Name: fmt.Sprintf("instance-%d", i)})
			}
			reports := map[string]wire.LoadReport{}
			servers := n * 820 / 360
			for i := range servers {
				name := fmt.Sprintf("engine-%d", i)
				reports[name] = wire.LoadReport{Name: name}
				fleet.Servers = append(fleet.Servers, wire.BackendServer{
					Name: name,
					Kind: wire.BackendServerKindEngine,
				})
			}
			for i := range n * 770 / 360 {
				fillModel(b, catalog, reports, fmt.Sprintf("model-%d", i), i, servers)
			}
			if err := catalog.Refresh(context.Background()); err != nil {
				b.Fatal(err)
			}
			m := &Manager{
				Name:    "instance-0",
				Store:   store,
				Catalog: catalog,
				Members: func() []wire.Member { return members },
				Fleet:   func() placement.Fleet { return fleet },
				Timer:   clock,
				Options: Options{Concurrency: 1},
				Report: func(_ context.Context, server string) (wire.LoadReport, error) {
					return reports[server], nil
				},
			}
			b.ReportAllocs()
			for b.Loop() {
				clock.Advance(time.Second)
				m.Step(context.Background(), clock.Now())
			}
		})
	}
}

// fillModel adds ten copies of a model to the catalog and the reports.
func fillModel(b *testing.B, catalog *placement.Catalog, reports map[string]wire.LoadReport, model string, first, servers int) {
	copies := make([]wire.Copy, 0, 10)
	for k := range 10 {
		name := fmt.Sprintf("engine-%d", (first*7+k)%servers)
		copies = append(copies, wire.Copy{
			Server:      name,
			Accelerator: fmt.Sprint(k % 8),
			Version:     "1",
			State:       wire.CopyStateServing,
		})
		report := reports[name]
		report.Residents = append(report.Residents, wire.Resident{
			Model:       model,
			Accelerator: fmt.Sprint(k % 8),
			Version:     "1",
			State:       wire.ResidentStateServing,
		})
		reports[name] = report
	}
	if _, err := catalog.Update(context.Background(), model, func([]wire.Copy) ([]wire.Copy, bool) { return copies, true }); err != nil {
		b.Fatal(err)
	}
}
