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

// newLone returns the world of one instance with a full bucket.
func newLone() (*world, *Ledger) {
	w := newWorld(1, []int{1}, testLimits(), _shortLife, guards{})
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

// step is a try of a request, or the settling of an earlier one.
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

func TestRequestsAreChargedOnce(t *testing.T) {
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
			_, l := newLone()
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
				t.Errorf("charged in all (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRefundOfFullBucketIsLost holds that a refund makes no tokens which the
// bucket, having been full meanwhile, would have lost.
func TestRefundOfFullBucketIsLost(t *testing.T) {
	w, l := newLone()
	first := l.Reserve(context.Background(), "small", "a", 1500)
	w.clock.Advance(10 * time.Second)
	second := l.Reserve(context.Background(), "small", "b", 1500)
	l.Settle(first.Reservation, 100)
	if diff := cmp.Diff([]any{Admitted, Admitted, 0.0}, []any{first.Status, second.Status, levelOf(l, "small")}); diff != "" {
		t.Errorf("statuses and level (-want +got):\n%s", diff)
	}
}

// TestProcessesBorrow runs two ledgers on the machine's clock, with goroutines
// as a process has them.
func TestProcessesBorrow(t *testing.T) {
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
			Self:         m,
			Timer:        clock,
			Store:        store.Platform(),
			EvidenceLife: 500 * time.Millisecond,
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
	// More than half of the burst at one instance needs the other's tokens.
	for admitted := 0; admitted < 1; {
		outcome := ledgers["a"].Reserve(context.Background(), "large", "id", 15000)
		if outcome.Status == Admitted {
			admitted++
		}
	}
}

// BenchmarkReserve is a request that finds its tokens at hand.
func BenchmarkReserve(b *testing.B) {
	w := newWorld(1, []int{1}, []Limit{{
		Workspace:           "large",
		RateTokensPerSecond: 1e12,
		BurstTokens:         1e12,
	}}, _shortLife, guards{})
	w.clock.Advance(10 * time.Second)
	l := w.nodes["i000"].ledger
	l.cfg.Timer = timer.New()
	l.started = l.cfg.Timer.Now().Add(-10 * time.Second)
	l.current.Store(&evidence{
		until: _never,
		term:  1,
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
