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

// newHeldLeases returns n leases held by one instance, on a clock that stands
// still.
func newHeldLeases(t *testing.T, store objectstore.Store, n int) []*steward.Lease {
	t.Helper()
	now := time.Hour
	leases := make([]*steward.Lease, 0, n)
	for i := range n {
		leases = append(leases, steward.NewLease(steward.LeaseConfig{
			Store:         store,
			Object:        fmt.Sprint("orders-", i),
			Name:          "instance-1",
			Start:         1,
			HandoverDelay: testTurn,
			Before:        func() int { return 0 },
			Elapsed:       func() time.Duration { return now },
			Log:           &event.Log{},
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

// TestCloseReleasesLeasesConcurrently guards against a Close that waits for an
// unresponsive store once per lease, until the platform kills the process.
func TestCloseReleasesLeasesConcurrently(t *testing.T) {
	const shards = 4
	var arrived, timedOut atomic.Int32
	all := make(chan struct{})
	store := standin.NewStore().Platform()
	put := store.Put
	store.Put = func(ctx context.Context, kind, name, value string, version int) (int, error) {
		var lease wire.StewardLease
		if err := json.Unmarshal([]byte(value), &lease); err != nil || !lease.Released {
			return put(ctx, kind, name, value, version)
		}
		if arrived.Add(1) == shards {
			close(all)
		}
		select {
		case <-all:
		case <-ctx.Done():
			timedOut.Add(1)

			return 0, ctx.Err()
		}

		return put(ctx, kind, name, value, version)
	}
	leases := newHeldLeases(t, store, shards)
	s := steward.New(steward.Config{
		Leases: leases,
		Holder: "instance-1",
		Engine: func(string) *site.Engine { return nil },
		Log:    &event.Log{},
	})
	s.Close()
	s.Close()
	if n := timedOut.Load(); n > 0 {
		t.Errorf("%d of %d releases timed out, want all of them to run concurrently", n, shards)
	}
}

// TestEngineRemoved guards against a panic of the steward's goroutine when a
// new configuration removes the engine of a service during a tick. The steward
// then stops planning, or the panic ends the process.
func TestEngineRemoved(t *testing.T) {
	var calls atomic.Int32
	s := steward.New(steward.Config{
		Leases: newHeldLeases(t, standin.NewStore().Platform(), 1),
		Holder: "instance-1",
		Engine: func(string) *site.Engine {
			if calls.Add(1)%2 == 0 {
				return nil
			}

			return &site.Engine{Slots: 1}
		},
		Down:    func(string) bool { return false },
		Limited: func(string) bool { return false },
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
	const wantCalls, tries = 6, 1000
	for n := 0; calls.Load() < wantCalls; n++ {
		if n == tries {
			t.Error("the steward stopped planning")

			break
		}
		time.Sleep(5 * time.Millisecond)
	}
	defer func() {
		if r := recover(); r != nil {
			t.Errorf("the steward panicked: %v", r)
		}
	}()
	s.Close()
}
