package steward_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"papayastair.dev/papayastair/event"
	"papayastair.dev/papayastair/objectstore"
	"papayastair.dev/papayastair/site"
	"papayastair.dev/papayastair/standin"
	"papayastair.dev/papayastair/steward"
	"papayastair.dev/papayastair/wire"
)

// heldLeases are n leases that one instance holds, by a clock that stands still.
func heldLeases(t *testing.T, store objectstore.Store, n int) []*steward.Lease {
	t.Helper()
	now := time.Hour
	leases := make([]*steward.Lease, 0, n)
	for i := range n {
		leases = append(leases, steward.NewLease(steward.LeaseConfig{
			Store:   store,
			Object:  fmt.Sprint("orders-", i),
			Name:    "instance-1",
			Start:   1,
			Turn:    testTurn,
			Delay:   func() time.Duration { return 0 },
			Elapsed: func() time.Duration { return now },
			Log:     &event.Log{},
		}))
	}
	now += time.Minute
	for i, l := range leases {
		l.Step(context.Background())
		if _, held := l.Held(); !held {
			t.Fatalf("lease %d is not held", i)
		}
	}

	return leases
}

// TestReleasedTogether guards against a stop that waits for a store that
// doesn't answer once for each lease, until the platform kills the process.
func TestReleasedTogether(t *testing.T) {
	const shards = 4
	var waiting, alone atomic.Int32
	all := make(chan struct{})
	store := standin.NewStore().Platform()
	put := store.Put
	store.Put = func(ctx context.Context, kind, name, value string, version int) (int, error) {
		var lease wire.StewardLease
		if err := json.Unmarshal([]byte(value), &lease); err != nil || !lease.Released {
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
	leases := heldLeases(t, store, shards)
	s := steward.New(steward.Config{
		Leases: leases,
		Holder: "instance-1",
		Engine: func(string) *site.Engine { return nil },
		Log:    &event.Log{},
	})
	s.Close()
	s.Close()
	if n := alone.Load(); n > 0 {
		t.Errorf("%d of %d leases were released one after the other", n, shards)
	}
}

// TestEngineRemoved guards against a steward that ends, or ends the process,
// when a configuration takes a service's engine away while it plans.
func TestEngineRemoved(t *testing.T) {
	var asked atomic.Int32
	s := steward.New(steward.Config{
		Leases: heldLeases(t, standin.NewStore().Platform(), 1),
		Holder: "instance-1",
		Engine: func(string) *site.Engine {
			if asked.Add(1)%2 == 0 {
				return nil
			}

			return &site.Engine{Slots: 1}
		},
		Down: func(string) bool { return false },
		Report: func(context.Context, site.BackendServer) (site.Report, error) {
			return site.Report{}, context.DeadlineExceeded
		},
		Changed: func() {},
		Log:     &event.Log{},
	})
	s.SetServer(site.BackendServer{
		ID:      "s-1",
		Service: "engines",
		Slots:   1,
	})
	const enough, tries = 6, 1000
	for n := 0; asked.Load() < enough; n++ {
		if n == tries {
			t.Error("the steward plans no more")

			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	defer func() {
		if r := recover(); r != nil {
			t.Errorf("the steward ended: %v", r)
		}
	}()
	s.Close()
}
