package experiment

import (
	"fmt"
	"testing"
	"time"

	"papayastair.dev/papayastair/admission"
	"papayastair.dev/papayastair/routing"
	"papayastair.dev/papayastair/timer"
	"papayastair.dev/papayastair/wire"
)

// BenchmarkDecision is one admission, one choice of a backend server and its
// end, while other requests run and wait.
func BenchmarkDecision(b *testing.B) {
	sizes := []struct {
		workers int
		models  int
	}{
		{workers: 12, models: 15},
		{workers: 100, models: 100},
		{workers: 300, models: 300},
		{workers: 820, models: 770},
	}
	for _, size := range sizes {
		for _, running := range []int{0, 1000, 10000} {
			b.Run(fmt.Sprintf("workers=%d/models=%d/running=%d", size.workers, size.models, running), func(b *testing.B) {
				benchmarkDecision(b, size.workers, size.models, running)
			})
		}
	}
}

func benchmarkDecision(b *testing.B, workers, models, running int) {
	clock := timer.New()
	defer clock.Close()
	table := routing.New(routing.Config{
		Instance: "i0",
		Clock:    clock,
	})
	table.SetServers(benchServers(workers))
	for i := range workers {
		table.Observe(benchReport(i, models, running/workers))
		table.ObserveCacheEvents(fmt.Sprint("s", i), benchEvents(i))
	}
	hashes := make([]int, 10)
	for i := range hashes {
		hashes[i] = i
	}
	choose := func(model string) routing.Decision {
		return table.Choose(routing.Request{
			Model:        model,
			PrefixHashes: hashes,
			InputTokens:  640,
			OutputTokens: 100,
			Priority:     wire.PriorityLive,
		})
	}
	// Requests that have ended leave their prefixes believed at every size.
	const most = 10000
	for i := range most {
		ticket := choose(fmt.Sprint("m", i%models)).Ticket
		table.FirstToken(ticket)
		if i >= running {
			table.Done(ticket, routing.Result{
				Outcome: routing.OutcomeCancelled,
			})
		}
	}
	var ticket *routing.Ticket
	queue := admission.New(admission.Config{
		Instance: "i0",
		Clock:    clock,
		Place: func(r *admission.Request) admission.Placement {
			ticket = choose(r.Model).Ticket
			if ticket == nil {
				return admission.NoRoom
			}

			return admission.Placed
		},
	})
	defer queue.Close()
	names := make([]string, models)
	for i := range names {
		names[i] = fmt.Sprint("m", i)
	}
	dispatched := 0
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		queue.Submit(&admission.Request{
			Workspace: names[i%5],
			Model:     names[i%models],
			Tokens:    740,
			Deadline:  time.Now().Add(time.Hour),
		}, func(o admission.Outcome) {
			if o.Kind == admission.Dispatched {
				dispatched++
			}
		})
		table.Done(ticket, routing.Result{
			Outcome:      routing.OutcomeOK,
			OutputTokens: 100,
			Generation:   time.Second,
		})
	}
	b.StopTimer()
	if dispatched != b.N {
		b.Fatalf("%d of %d dispatched", dispatched, b.N)
	}
}

func benchServers(n int) []wire.BackendServer {
	servers := make([]wire.BackendServer, 0, n)
	for i := range n {
		servers = append(servers, wire.BackendServer{
			Name:            fmt.Sprint("s", i),
			Kind:            wire.BackendServerKindEngine,
			Slots:           4000,
			TokensPerSecond: 200000,
		})
	}

	return servers
}

// benchReport lets each worker serve eight models, and each model about as
// many workers.
func benchReport(worker, models, running int) wire.LoadReport {
	const each = 8
	report := wire.LoadReport{
		Name:     fmt.Sprint("s", worker),
		Sequence: 1,
		Running:  running,
		Slots:    4000,
	}
	for i := range each {
		report.Residents = append(report.Residents, wire.Resident{
			Model: fmt.Sprint("m", (worker+i*models/each)%models),
			State: wire.ResidentStateServing,
		})
	}

	return report
}

// benchEvents fill the belief about one worker's prefix cache.
func benchEvents(worker int) []wire.CacheEvent {
	events := make([]wire.CacheEvent, 1024)
	for i := range events {
		events[i] = wire.CacheEvent{
			Sequence:   i + 1,
			Model:      "m",
			PrefixHash: worker<<32 + i,
			Present:    true,
		}
	}

	return events
}
