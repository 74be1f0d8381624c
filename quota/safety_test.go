package quota

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"papayastair.dev/papayastair/history"
)

const (
	// _plantedTime is the length of the schedules with a disabled guard.
	_plantedTime = 10 * time.Second
	_seeds       = 200
	// _seedsPerSubtest is the number of seeds that a parallel subtest runs in
	// sequence.
	_seedsPerSubtest  = 50
	_shortEvidenceTTL = time.Second
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

// runFaults runs one seeded schedule of failures under a flood of calls. Seeds
// divisible by 4 isolate the largest instance for 8 s, with few other failures.
// Seeds with remainder 1 pause it during calls, also with few others. Those with
// remainder 2 change the limits.
func runFaults(seed int64, off guards, length time.Duration) *simulation {
	w := newSimulation(seed, []int{1, 2, 2, 3, 1, 4}, testLimits(), _shortEvidenceTTL, off)
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

func TestRateLimitUnderFaults(t *testing.T) {
	t.Parallel()
	for first := int64(1); first <= _seeds; first += _seedsPerSubtest {
		t.Run(fmt.Sprintf("from seed %d", first), func(t *testing.T) {
			t.Parallel()
			for seed := first; seed < first+_seedsPerSubtest; seed++ {
				w := runFaults(seed, guards{}, _floodTime)
				if diff := cmp.Diff([]history.Violation(nil), w.check()); diff != "" {
					t.Fatalf("seed %d: windows over rate and burst (-want +got):\n%s", seed, diff)
				}
			}
		})
	}
}

// TestRateLimitWithDisabledGuard disables one safeguard at a time and checks that
// the same schedules then exceed a limit.
func TestRateLimitWithDisabledGuard(t *testing.T) {
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
			name: "a loan is not debited",
			off:  guards{debitBeforeReply: true},
		},
		{
			name: "the clock is not read again after the charge",
			off:  guards{clockRecheck: true},
		},
		{
			name: "a restarted instance resumes its share at once, full",
			off: guards{
				incarnation: true,
				emptyStart:  true,
			},
		},
		{
			name: "a base share never expires",
			off:  guards{evidence: true},
		},
		{
			name: "a failed store update counts as evidence",
			off:  guards{quorumEvidence: true},
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
