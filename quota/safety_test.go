package quota

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"papayastair.dev/papayastair/history"
)

const (
	_seeds      = 200
	_shortLife  = 2 * time.Second
	_floodTime  = 20 * time.Second
	_faultRate  = 0.3
	_lossChance = 0.02
	_lateChance = 0.02
)

func testLimits() []Limit {
	return []Limit{
		{
			Workspace:           "large",
			RateTokensPerSecond: 20000,
			BurstTokens:         20000,
		},
		{
			Workspace:           "small",
			RateTokensPerSecond: 1000,
			BurstTokens:         1500,
		},
	}
}

// runFaults is one seeded schedule of failures under a flood. In every fourth
// the largest instance is cut off for long, and little else happens.
func runFaults(seed int64, off guards) *world {
	w := newWorld(seed, []int{1, 2, 2, 3, 1, 4}, testLimits(), _shortLife, off)
	w.flood(5*time.Second, 0)
	if seed%4 == 0 {
		w.isolate(w.nodes["i005"], 15*time.Second)
		w.flood(_floodTime, _faultRate/10)

		return w
	}
	w.loss, w.late = _lossChance, _lateChance
	w.flood(_floodTime, _faultRate)

	return w
}

func TestNoExcessUnderFaults(t *testing.T) {
	t.Parallel()
	for seed := int64(1); seed <= _seeds; seed++ {
		w := runFaults(seed, guards{})
		if diff := cmp.Diff([]history.Violation(nil), w.check()); diff != "" {
			t.Fatalf("seed %d: windows over rate and burst (-want +got):\n%s", seed, diff)
		}
	}
}

// TestPlantedFaultsAreFound switches one guard off at a time: the same
// schedules must then show an excess.
func TestPlantedFaultsAreFound(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name string
		off  guards
	}{
		{
			name: "a new base share starts full",
			off:  guards{emptyStart: true},
		},
		{
			name: "a loan is not debited first",
			off:  guards{debitFirst: true},
		},
		{
			name: "no look at the clock after the charge",
			off:  guards{clockAfterWork: true},
		},
		{
			name: "a restarted instance takes its share up at once, full",
			off: guards{
				incarnation: true,
				emptyStart:  true,
			},
		},
		{
			name: "a share without evidence",
			off:  guards{evidence: true},
		},
		{
			name: "no vouching: without the store all carry on",
			off:  guards{vouching: true},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			for seed := int64(1); seed <= _seeds; seed++ {
				if violations := runFaults(seed, tt.off).check(); len(violations) > 0 {
					t.Logf("seed %d: %v", seed, violations)

					return
				}
			}
			t.Errorf("no excess in %d schedules", _seeds)
		})
	}
}
