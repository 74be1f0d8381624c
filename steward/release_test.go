package steward_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"papayastair.dev/papayastair/event"
	"papayastair.dev/papayastair/site"
	"papayastair.dev/papayastair/standin"
	"papayastair.dev/papayastair/steward"
)

// TestReleasedTogether guards against a stop that waits for a store that
// doesn't answer once for each lease, until the platform kills the process.
func TestReleasedTogether(t *testing.T) {
	const shards = 4
	var now atomic.Int64
	now.Store(int64(time.Hour))
	var closing atomic.Bool
	var waiting, alone atomic.Int32
	all := make(chan struct{})
	store := standin.NewStore().Platform()
	put := store.Put
	store.Put = func(ctx context.Context, kind, name, value string, version int) (int, error) {
		if !closing.Load() {
			return put(ctx, kind, name, value, version)
		}
		if waiting.Add(1) == shards {
			close(all)
		}
		select {
		case <-all:
		case <-ctx.Done():
			alone.Add(1)

			return 0, ctx.Err()
		}

		return put(ctx, kind, name, value, version)
	}
	leases := make([]*steward.Lease, 0, shards)
	for i := range shards {
		leases = append(leases, steward.NewLease(steward.LeaseConfig{
			Store:   store,
			Object:  fmt.Sprint("orders-", i),
			Name:    "instance-1",
			Start:   1,
			Turn:    testTurn,
			Delay:   func() time.Duration { return 0 },
			Elapsed: func() time.Duration { return time.Duration(now.Load()) },
			Log:     &event.Log{},
		}))
	}
	now.Add(int64(time.Minute))
	for i, l := range leases {
		l.Step(context.Background())
		if _, held := l.Held(); !held {
			t.Fatalf("lease %d is not held", i)
		}
	}
	s := steward.New(steward.Config{
		Leases: leases,
		Holder: "instance-1",
		Engine: func(string) *site.Engine { return nil },
		Log:    &event.Log{},
	})
	closing.Store(true)
	s.Close()
	s.Close()
	if n := alone.Load(); n > 0 {
		t.Errorf("%d of %d leases were released one after the other", n, shards)
	}
}
