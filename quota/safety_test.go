package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"papayastair.dev/papayastair/history"
)

const (
	// _plantedTime is the length of the schedules with a guard off.
	_plantedTime = 10 * time.Second
	_seeds       = 200
	// _seedsTogether run one after another in one parallel test.
	_seedsTogether    = 50
	_shortLife        = time.Second
	_faultRate        = 0.6
	_lossChance       = 0.02
	_lateChance       = 0.02
	_pauseChance      = 0.001
	_largePauseChance = 0.1
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
// the largest instance is cut off for long, in every other fourth it is paused
// inside calls, and little else happens. In another the limits change.
func runFaults(seed int64, off guards, length time.Duration) *world {
	w := newWorld(seed, []int{1, 2, 2, 3, 1, 4}, testLimits(), _shortLife, off)
	largest := w.nodes["i005"]
	w.flood(2500*time.Millisecond, 0)
	switch seed % 4 {
	case 0:
		w.isolate(largest, 8*time.Second)
		w.flood(length, _faultRate/10)
	case 1:
		w.pauses[largest.self.Instance] = _largePauseChance
		w.flood(length, _faultRate/10)
	default:
		for _, name := range w.names {
			w.pauses[name] = _pauseChance
		}
		w.loss, w.late = _lossChance, _lateChance
		if seed%4 == 2 {
			factor := []float64{0.4, 2.5}[w.rng.Intn(2)]
			w.clock.After(length/4, func(time.Time) { w.scale(factor) })
		}
		w.flood(length, _faultRate)
	}

	return w
}

func TestNoExcessUnderFaults(t *testing.T) {
	t.Parallel()
	for first := int64(1); first <= _seeds; first += _seedsTogether {
		t.Run(fmt.Sprintf("from seed %d", first), func(t *testing.T) {
			t.Parallel()
			for seed := first; seed < first+_seedsTogether; seed++ {
				w := runFaults(seed, guards{}, _floodTime)
				if diff := cmp.Diff([]history.Violation(nil), w.check()); diff != "" {
					t.Fatalf("seed %d: windows over rate and burst (-want +got):\n%s", seed, diff)
				}
			}
		})
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
				if violations := runFaults(seed, tt.off, _plantedTime).check(); len(violations) > 0 {
					t.Logf("seed %d: %v", seed, violations)

					return
				}
			}
			t.Errorf("no excess in %d schedules", _seeds)
		})
	}
}
