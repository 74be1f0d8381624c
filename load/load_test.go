package load_test

import (
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"papayastair.dev/papayastair/load"
	"papayastair.dev/papayastair/settings"
	"papayastair.dev/papayastair/wire"
)

func readExperiments(t *testing.T) []*wire.Experiment {
	t.Helper()
	files, err := filepath.Glob("experiments/*.json")
	if err != nil || len(files) == 0 {
		t.Fatalf("experiments: %v, %v", files, err)
	}
	experiments := make([]*wire.Experiment, 0, len(files))
	for _, file := range files {
		e, err := load.ReadExperiment(file)
		if err != nil {
			t.Fatal(err)
		}
		experiments = append(experiments, e)
	}

	return experiments
}

func TestSameSeedSameArrivals(t *testing.T) {
	for _, e := range readExperiments(t) {
		first := load.Arrivals(e)
		if diff := cmp.Diff(first, load.Arrivals(e)); diff != "" {
			t.Errorf("%s: the same seed gave other arrivals (-first +second):\n%s", e.Name, diff)
		}
		e.Seed++
		if cmp.Equal(first, load.Arrivals(e)) {
			t.Errorf("%s: another seed gave the same arrivals", e.Name)
		}
	}
}

func TestSubtreesAreValid(t *testing.T) {
	for _, e := range readExperiments(t) {
		subtree, err := settings.DecodeSubtree(e.Name, []byte(settings.Encode(load.Subtree(e))))
		if err != nil {
			t.Errorf("%s: %v", e.Name, err)

			continue
		}
		if _, problems := settings.Resolve([]wire.Subtree{subtree}); problems.Err() != nil {
			t.Errorf("%s: %v", e.Name, problems.Err())
		}
	}
}

func TestDemandShift(t *testing.T) {
	e := &wire.Experiment{
		Seconds: 300,
		Workspaces: []wire.ExperimentWorkspace{{
			Name:              "w",
			Callers:           1,
			ArrivalsPerMinute: 600,
			Burstiness:        1,
			Models:            []string{"m"},
			InputTokens:       1,
			OutputTokens:      1,
			Shifts: []wire.DemandShift{{
				AtSeconds: 150,
				Percent:   300,
			}},
		}},
	}
	before, after := 0, 0
	for _, a := range load.Arrivals(e) {
		if a.At < 150*time.Second {
			before++
		} else {
			after++
		}
	}
	// The seed is fixed; 1,500 and 4,500 are expected.
	if before < 1350 || before > 1650 || after < 4250 || after > 4750 {
		t.Errorf("%d arrivals before the shift and %d after it", before, after)
	}
}
