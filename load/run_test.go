package load_test

import (
	"io"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"papayastair.dev/papayastair/load"
	"papayastair.dev/papayastair/wire"
)

// TestRunAgreesWithLog runs a small fleet without faults: all is done, and
// callers, stand-ins and the log agree.
func TestRunAgreesWithLog(t *testing.T) {
	e := smallExperiment()
	logFile := filepath.Join(t.TempDir(), "events.log")
	f, err := load.StartFleet(e, logFile)
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	result, err := load.Run(e, load.Target{
		Addresses: f.Addresses(),
		Fleet:     f,
		LogFile:   logFile,
	}, io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	calls, completions := 0, 0
	for _, a := range load.Arrivals(e) {
		if a.Path != "" {
			calls++
		} else {
			completions++
		}
	}
	want := []load.Count{
		{
			Name:  "call Done",
			Count: calls,
		},
		{
			Name:  "completion Done",
			Count: completions,
		},
	}
	if diff := cmp.Diff(want, result.Outcomes); diff != "" {
		t.Errorf("outcomes (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]int{0, 0, 0}, []int{result.RunsAboveOne, result.Leaks, result.OvercommittedBytes}); diff != "" {
		t.Errorf("runs above one, leaks, overcommitted bytes (-want +got):\n%s", diff)
	}
	for _, c := range result.Comparisons {
		if diff := cmp.Diff(c.Product, c.Seen); diff != "" {
			t.Errorf("%s (-log +%s):\n%s", c.Name, c.SeenBy, diff)
		}
	}
	if err := result.Plot(filepath.Join(t.TempDir(), "plot.png")); err != nil {
		t.Error(err)
	}
}

func smallExperiment() *wire.Experiment {
	return &wire.Experiment{
		Name:             "small",
		Seed:             1,
		Seconds:          2,
		Region:           "r",
		FailureDomains:   []string{"a", "b"},
		Instances:        2,
		LocateTTLSeconds: 1,
		Weights: wire.ExperimentWeights{
			LoadsPerSecond:      100,
			LoadsAtFullSpeed:    10,
			LoadMilliseconds:    10,
			AdaptersAtFullSpeed: 10,
			AdapterMilliseconds: 1,
		},
		Engines: []wire.ExperimentEngine{{
			Name:                       "engine",
			Count:                      2,
			MemoryBytes:                1000,
			Slots:                      8,
			StepBaseMicroseconds:       5000,
			StepPerRequestMicroseconds: 500,
			PrefillTokensPerSecond:     10_000,
			CacheBlocks:                100,
		}},
		Services: []wire.ExperimentService{{
			Name:  "printer",
			Count: 2,
			Slots: 8,
		}},
		Models: []wire.ExperimentModel{{
			Name:        "m",
			MemoryBytes: 100,
			MinCopies:   1,
			Priority:    wire.ExperimentModelPriorityLive,
		}},
		Routes: []wire.ExperimentRoute{{
			Path:          "/services/print",
			Service:       "printer",
			NonIdempotent: true,
			CostTokens:    1,
		}},
		Workspaces: []wire.ExperimentWorkspace{{
			Name:                "w",
			RateTokensPerSecond: 100_000,
			BurstTokens:         100_000,
			Weight:              1,
			Priority:            wire.ExperimentWorkspacePriorityLive,
			Callers:             2,
			ArrivalsPerMinute:   600,
			Burstiness:          1,
			Models:              []string{"m"},
			InputTokens:         50,
			OutputTokens:        5,
			CallsPerMinute:      300,
			CallPath:            "/services/print",
			CallRepeats:         2,
		}},
	}
}
