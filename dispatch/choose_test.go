package dispatch

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestFillLevel checks the level up to which requests fill the scores of servers.
func TestFillLevel(t *testing.T) {
	tests := []struct {
		name   string
		scores []float64
		amount float64
		want   float64
	}{
		{
			name:   "nothing to fill",
			scores: []float64{4, 2, 6},
			amount: 0,
			want:   2,
		},
		{
			name:   "the lowest alone",
			scores: []float64{4, 2, 6},
			amount: 1,
			want:   3,
		},
		{
			name:   "two",
			scores: []float64{4, 2, 6},
			amount: 4,
			want:   5,
		},
		{
			name:   "all",
			scores: []float64{4, 2, 6},
			amount: 12,
			want:   8,
		},
		{
			name:   "equal scores",
			scores: []float64{2, 2},
			amount: 2,
			want:   3,
		},
		{
			name:   "one server",
			scores: []float64{2},
			amount: 5,
			want:   7,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if diff := cmp.Diff(tt.want, fillLevel(tt.scores, tt.amount)); diff != "" {
				t.Errorf("level (-want +got):\n%s", diff)
			}
		})
	}
}
