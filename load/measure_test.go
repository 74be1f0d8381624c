package load

import (
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"papayastair.dev/papayastair/wire"
)

// TestVerdicts judges requests of 50 tokens against a rate of 10 and a burst
// of 100 tokens.
func TestVerdicts(t *testing.T) {
	done := Sample{
		Outcome: _outcomeDone,
		Status:  http.StatusOK,
		Tokens:  10,
	}
	overRate := Sample{
		Outcome: _outcomeNotRun,
		Status:  http.StatusTooManyRequests,
	}
	noRoom := Sample{
		Outcome: _outcomeNotRun,
		Status:  http.StatusServiceUnavailable,
	}
	tests := []struct {
		name       string
		samples    []Sample
		seconds    []int
		want       []verdict
		wantBeyond int
		wantLeft   int
	}{
		{
			name:     "refused within the burst",
			samples:  []Sample{done, overRate},
			seconds:  []int{0, 0},
			want:     []verdict{_admitted, _refusedWithinRate},
			wantLeft: 1,
		},
		{
			name:     "refused over the burst, then within the rate",
			samples:  []Sample{done, done, overRate, overRate},
			seconds:  []int{0, 0, 4, 5},
			want:     []verdict{_admitted, _admitted, _refusedOverRate, _refusedWithinRate},
			wantLeft: 1,
		},
		{
			name:    "refused for another reason is within the rate too",
			samples: []Sample{noRoom, done, overRate},
			seconds: []int{0, 0, 0},
			want:    []verdict{_refusedOtherwise, _admitted, _refusedOverRate},
			// What was admitted has left 50 tokens.
			wantLeft: 1,
		},
		{
			name:       "more than rate and burst",
			samples:    []Sample{done, done, done},
			seconds:    []int{0, 0, 1},
			want:       []verdict{_admitted, _admitted, _admitted},
			wantBeyond: 40,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBucket(&wire.ExperimentWorkspace{
				RateTokensPerSecond: 10,
				BurstTokens:         100,
			})
			var got []verdict
			for i := range tt.samples {
				s := tt.samples[i]
				s.Sent = time.Duration(tt.seconds[i]) * time.Second
				s.Arrival = &Arrival{
					InputTokens:  40,
					OutputTokens: 10,
				}
				got = append(got, b.judge(&s))
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("verdicts (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tt.wantLeft, b.withTokensLeft); diff != "" {
				t.Errorf("refused with tokens left (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff(tt.wantBeyond, int(b.beyond)); diff != "" {
				t.Errorf("tokens beyond the rate (-want +got):\n%s", diff)
			}
		})
	}
}

// TestAttainsFromArrival counts the time that a request was sent late.
func TestAttainsFromArrival(t *testing.T) {
	tests := []struct {
		name       string
		firstToken time.Duration
		gap        time.Duration
		whole      bool
		want       bool
	}{
		{
			name:       "at both targets",
			firstToken: 530 * time.Millisecond,
			gap:        78 * time.Millisecond,
			whole:      true,
			want:       true,
		},
		{
			name:       "late first token",
			firstToken: 531 * time.Millisecond,
			whole:      true,
		},
		{
			name:  "slow",
			gap:   79 * time.Millisecond,
			whole: true,
		},
		{
			name: "not whole",
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := Sample{
				Arrival:    &Arrival{},
				FirstToken: tt.firstToken,
				MeanGap:    tt.gap,
				Whole:      tt.whole,
			}
			if diff := cmp.Diff(tt.want, s.attains()); diff != "" {
				t.Errorf("attains (-want +got):\n%s", diff)
			}
		})
	}
}
