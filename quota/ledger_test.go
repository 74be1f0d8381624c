package quota

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"papayastair.dev/papayastair/standin"
	"papayastair.dev/papayastair/timer"
	"papayastair.dev/papayastair/wire"
)

// newSingleInstance returns a simulation of one instance with a full bucket.
func newSingleInstance() (*simulation, *Ledger) {
	w := newSimulation(1, []int{1}, testLimits(), _shortEvidenceTTL, guards{})
	w.clock.Advance(10 * time.Second)

	return w, w.nodes["i000"].ledger
}

func levelOf(l *Ledger, workspace string) float64 {
	b := l.buckets.Load().byName[workspace]
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(l.now(), *l.current.Load())

	return b.level
}

// step is an attempt of a request, or the settlement of an earlier one.
type step struct {
	reserve int64
	settle  int
	used    int64
}

func reserve(tokens int64) step {
	return step{
		reserve: tokens,
		settle:  -1,
	}
}

func settle(try int, used int64) step {
	return step{
		settle: try,
		used:   used,
	}
}

func TestRequestCharge(t *testing.T) {
	tests := []struct {
		name  string
		steps []step
		want  float64
	}{
		{
			name:  "settled for less",
			steps: []step{reserve(500), settle(0, 200)},
			want:  200,
		},
		{
			name:  "cancelled before it ran",
			steps: []step{reserve(500), settle(0, 0)},
			want:  0,
		},
		{
			name:  "cancelled and repeated",
			steps: []step{reserve(500), settle(0, 100), reserve(500), settle(1, 300)},
			want:  300,
		},
		{
			name:  "repeated while it runs",
			steps: []step{reserve(500), reserve(500), settle(0, 100), settle(1, 300)},
			want:  300,
		},
		{
			name:  "settled twice",
			steps: []step{reserve(500), settle(0, 100), settle(0, 100)},
			want:  100,
		},
		{
			name:  "repeated too often",
			steps: []step{reserve(100), reserve(100), reserve(100), reserve(100), reserve(100), reserve(100)},
			want:  200,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, l := newSingleInstance()
			before := levelOf(l, "small")
			var tries []Reservation
			for _, s := range tt.steps {
				if s.settle >= 0 {
					l.Settle(tries[s.settle], s.used)

					continue
				}
				outcome := l.Reserve(context.Background(), "small", "id", s.reserve)
				tries = append(tries, outcome.Reservation)
			}
			if diff := cmp.Diff(tt.want, before-levelOf(l, "small")); diff != "" {
				t.Errorf("total charge (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRefundAfterBucketFilled checks that a refund doesn't add tokens that the
// bucket would have lost because it was full in the meantime.
func TestRefundAfterBucketFilled(t *testing.T) {
	w, l := newSingleInstance()
	first := l.Reserve(context.Background(), "small", "a", 1500)
	w.clock.Advance(10 * time.Second)
	second := l.Reserve(context.Background(), "small", "b", 1500)
	l.Settle(first.Reservation, 100)
	if diff := cmp.Diff([]any{Admitted, Admitted, 0.0}, []any{first.Status, second.Status, levelOf(l, "small")}); diff != "" {
		t.Errorf("statuses and level (-want +got):\n%s", diff)
	}
}

// TestBorrowBetweenLedgers runs two ledgers in real time, with the goroutines
// of a process.
func TestBorrowBetweenLedgers(t *testing.T) {
	t.Parallel()
	clock, store := timer.New(), standin.NewStore()
	defer clock.Close()
	members := []wire.QuotaMember{
		{
			Instance:    "a",
			Incarnation: 1,
			Size:        1,
		},
		{
			Instance:    "b",
			Incarnation: 2,
			Size:        1,
		},
	}
	ledgers := map[string]*Ledger{}
	for _, m := range members {
		l := New(Config{
			Self:        m,
			Timer:       clock,
			Store:       store.Platform(),
			EvidenceTTL: 500 * time.Millisecond,
			Ask: func(_ context.Context, peer string, ask wire.QuotaAsk) (wire.QuotaAnswer, error) {
				return ledgers[peer].HandleAsk(ask), nil
			},
		})
		defer l.Close()
		ledgers[m.Instance] = l
	}
	for _, l := range ledgers {
		l.SetLimits(testLimits())
		l.SetMembers(members)
	}
	// A request for more than half of the burst needs tokens of the other instance.
	for admitted := 0; admitted < 1; {
		outcome := ledgers["a"].Reserve(context.Background(), "large", "id", 15000)
		if outcome.Status == Admitted {
			admitted++
		}
	}
}

// BenchmarkReserve measures a request that needs no loan.
func BenchmarkReserve(b *testing.B) {
	w := newSimulation(1, []int{1}, []Limit{{
		Workspace:           "large",
		RateTokensPerSecond: 1e12,
		BurstTokens:         1e12,
	}}, _shortEvidenceTTL, guards{})
	w.clock.Advance(10 * time.Second)
	l := w.nodes["i000"].ledger
	l.cfg.Timer = timer.New()
	l.started = l.cfg.Timer.Now().Add(-10 * time.Second)
	l.current.Store(&evidence{
		expiresAt: _never,
		term:      1,
	})
	defer l.cfg.Timer.Close()
	ids := make([]string, 1<<16)
	for i := range ids {
		ids[i] = fmt.Sprint(i)
	}
	ctx := context.Background()
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		outcome := l.Reserve(ctx, "large", ids[i%len(ids)], 500)
		l.Settle(outcome.Reservation, 300)
	}
}
