package fleet_test

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"papayastair.dev/papayastair/caller"
	"papayastair.dev/papayastair/demo"
	"papayastair.dev/papayastair/fleet"
	"papayastair.dev/papayastair/standin"
	"papayastair.dev/papayastair/wire"
)

// BenchmarkHop compares the processor time of requests that go directly to a
// stand-in engine with that of the same requests through an instance. All run
// in this process, so the difference is the instance's: see the metrics
// cpu-µs/op. The lengths tell the cost of a request from that of a token.
func BenchmarkHop(b *testing.B) {
	f := startFastFleet(b)
	defer f.Close()
	engine := engineOf(f, "name-check")
	for _, tokens := range []int{1, 100} {
		for _, path := range []struct {
			name    string
			address string
		}{
			{
				name:    "Direct",
				address: engine,
			},
			{
				name:    "Through",
				address: f.Addresses()[0],
			},
		} {
			b.Run(fmt.Sprintf("%s/Tokens%d", path.name, tokens), func(b *testing.B) {
				benchmarkRequests(b, path.address, tokens)
			})
		}
	}
}

// benchmarkRequests sends b.N requests from a few callers.
func benchmarkRequests(b *testing.B, address string, tokens int) {
	const callers = 8
	client := caller.New()
	b.ReportAllocs()
	before := processorTime(b)
	b.ResetTimer()
	var wg conc.WaitGroup
	for c := range callers {
		wg.Go(func() {
			for n := c; n < b.N; n += callers {
				answer := client.Complete([]string{address}, caller.Request{
					Key:       _keyDesk,
					Model:     "name-check",
					Prompt:    fmt.Sprintf("request %d", n),
					MaxTokens: tokens,
				})
				if answer.Tokens != tokens {
					b.Errorf("answer: %+v", answer)

					return
				}
			}
		})
	}
	wg.Wait()
	b.StopTimer()
	b.ReportMetric(float64((processorTime(b)-before).Microseconds())/float64(b.N), "cpu-µs/op")
}

// startFastFleet is one instance and engines that take no time.
func startFastFleet(b *testing.B) *fleet.Fleet {
	b.Helper()
	subtrees, err := demo.Hierarchy()
	if err != nil {
		b.Fatal(err)
	}
	for i := range subtrees {
		for w := range subtrees[i].Workspaces {
			subtrees[i].Workspaces[w].RateTokensPerSecond = 1000000000
			subtrees[i].Workspaces[w].BurstTokens = 1000000000
		}
	}
	weights := standin.NewWeightStore()
	weights.LoadTime = time.Millisecond
	f, err := fleet.New(fleet.Config{
		Subtrees:       subtrees,
		Region:         "lk-west",
		FailureDomains: []string{"lk-west-a"},
		Instances:      1,
		Engine: func(cfg *standin.EngineConfig) {
			cfg.Weights = weights
			cfg.Batch = standin.BatchConfig{
				Slots:                  cfg.Server.Slots,
				StepBase:               time.Microsecond,
				PrefillTokensPerSecond: 1e9,
			}
		},
	})
	if err != nil {
		b.Fatal(err)
	}
	if err := f.WaitReady(context.Background(), 1); err != nil {
		b.Fatal(err)
	}
	// The table of shares takes a few seconds until it is in force.
	for caller.New().Complete(f.Addresses(), caller.Request{
		Key:       _keyDesk,
		Model:     "name-check",
		Prompt:    "x",
		MaxTokens: 1,
	}).Outcome != "Done" {
		time.Sleep(_shortPause)
	}

	return f
}

const _shortPause = 50 * time.Millisecond

// engineOf is the address of an engine that serves a model.
func engineOf(f *fleet.Fleet, model string) string {
	for _, placed := range f.Instances[0].Status().Placement {
		for _, c := range placed.Copies {
			if placed.Model == model && c.State == wire.CopyStateServing {
				return f.Engines[c.Server].Address()
			}
		}
	}

	return ""
}

// processorTime is what this process has used so far.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}

	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
