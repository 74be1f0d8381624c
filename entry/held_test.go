package entry

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"papayastair.dev/papayastair/wire"
)

// TestHeldRecordCountsProbes guards against a probe that two instances count, or that is
// forgotten with the instance that sent it (BUDGET).
func TestHeldRecordCountsProbes(t *testing.T) {
	held := func(probes int) []wire.HeldTrait {
		return []wire.HeldTrait{{
			Trait:    7,
			AgeMS:    30_000,
			Probes:   probes,
			ProbedMS: 1000 * probes,
		}}
	}
	tests := []struct {
		name string
		// kept is the number of probes that the store shows, and known the one that this
		// instance knows.
		kept, known int
		wanted      []int
		wantDue     bool
		wantProbes  map[int]int
		wantKept    int
	}{
		{
			name:       "none wanted",
			wantProbes: map[int]int{},
		},
		{
			name:       "wanted",
			kept:       1,
			known:      1,
			wanted:     []int{7},
			wantDue:    true,
			wantProbes: map[int]int{7: 2},
			wantKept:   2,
		},
		{
			name:       "another trait wanted",
			kept:       1,
			known:      1,
			wanted:     []int{8},
			wantProbes: map[int]int{},
			wantKept:   1,
		},
		{
			name:       "counted by another instance",
			kept:       2,
			known:      1,
			wanted:     []int{7},
			wantProbes: map[int]int{},
			wantKept:   2,
		},
		{
			name:       "lost by the store",
			kept:       1,
			known:      2,
			wantDue:    true,
			wantProbes: map[int]int{},
			wantKept:   2,
		},
		{
			name:       "lost by the store, and wanted",
			kept:       1,
			known:      2,
			wanted:     []int{7},
			wantDue:    true,
			wantProbes: map[int]int{7: 3},
			wantKept:   3,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var r heldRecord
			r.observe(held(tt.kept), 5)
			write, due := r.next(held(tt.known), tt.wanted, func() int { return 0 }, time.Hour)
			if due != tt.wantDue {
				t.Errorf("the write is due: %t, want %t", due, tt.wantDue)
			}
			if diff := cmp.Diff(tt.wantProbes, write.probes); diff != "" {
				t.Errorf("counted probes (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff([]int{5, tt.wantKept}, []int{write.version, write.held[0].Probes}); diff != "" {
				t.Errorf("version and probes (-want +got):\n%s", diff)
			}
		})
	}
}
