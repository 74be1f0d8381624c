package steward_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"papayastair.dev/papayastair/event"
	"papayastair.dev/papayastair/objectstore"
	"papayastair.dev/papayastair/standin"
	"papayastair.dev/papayastair/steward"
	"papayastair.dev/papayastair/wire"
)

const testTurn = 3 * time.Second

// instance is one of those that may hold the lease.
type instance struct {
	lease   *steward.Lease
	next    time.Duration
	frozen  time.Duration
	offline bool
	starts  int
}

// leases is a schedule in virtual time: instances that take, renew and lose one
// lease while they stop, start, freeze, lose the store or its replies, or each other.
type leases struct {
	rng       *rand.Rand
	now       time.Duration
	store     *standin.Store
	instances []*instance
	// last is who gave the last order, and when.
	last    int
	lastAt  time.Duration
	fence   int
	orders  int
	turns   int
	problem string
}

func newLeases(seed uint64) *leases {
	l := &leases{
		rng:   rand.New(rand.NewPCG(seed, 3)),
		now:   time.Hour,
		store: standin.NewStore(),
		last:  -1,
	}
	for i := range 4 {
		in := &instance{}
		l.start(i, in)
		l.instances = append(l.instances, in)
	}

	return l
}

// start starts an instance, for the first time or again.
func (l *leases) start(i int, in *instance) {
	in.starts++
	in.lease = steward.NewLease(steward.LeaseConfig{
		Store:   l.storeFor(in),
		Object:  "orders-0",
		Name:    fmt.Sprint("instance-", i),
		Start:   in.starts,
		Turn:    testTurn,
		Delay:   func() time.Duration { return 0 },
		Elapsed: func() time.Duration { return l.now },
		Log:     &event.Log{},
	})
}

// storeFor is an instance's way to the store: it may be cut off, and writes may
// take effect without a reply.
func (l *leases) storeFor(in *instance) objectstore.Store {
	s := l.store.Platform()
	fail := func(op string, code objectstore.Code) error {
		l.now += 100 * time.Millisecond

		return &objectstore.Error{
			Op:   op,
			Code: code,
		}
	}
	get, put := s.Get, s.Put
	s.Get = func(ctx context.Context, kind, name string) (wire.Object, error) {
		if in.offline {
			return wire.Object{}, fail("get", objectstore.CodeNotRun)
		}

		return get(ctx, kind, name)
	}
	s.Put = func(ctx context.Context, kind, name, value string, version int) (int, error) {
		if in.offline {
			return 0, fail("put", objectstore.CodeUnknown)
		}
		v, err := put(ctx, kind, name, value, version)
		if err == nil && l.rng.IntN(20) == 0 {
			return 0, fail("put", objectstore.CodeUnknown)
		}

		return v, err
	}

	return s
}

// step moves time on and lets each instance do what is due.
func (l *leases) step() {
	l.now += 50 * time.Millisecond
	for i, in := range l.instances {
		switch l.rng.IntN(400) {
		case 0:
			in.frozen = l.now + time.Duration(l.rng.IntN(6000))*time.Millisecond
		case 1, 2:
			in.offline = !in.offline
		case 3:
			// A planned stop, or a kill, and the next start.
			if l.rng.IntN(2) == 0 && l.now >= in.frozen {
				in.lease.Release(context.Background())
			}
			l.start(i, in)
		}
		if l.now < in.frozen {
			continue
		}
		if l.now >= in.next {
			in.next = l.now + in.lease.Step(context.Background())
		}
		l.tell(i, in)
		l.order(i, in)
	}
}

// tell lets the others hear a holder, mostly.
func (l *leases) tell(i int, in *instance) {
	h, ok := in.lease.Held()
	if !ok {
		return
	}
	for j, other := range l.instances {
		if j != i && l.now >= other.frozen && l.rng.IntN(4) != 0 {
			other.lease.HolderHeard(h)
		}
	}
}

// order gives an order if the lease allows it, and checks what the backend
// servers see.
func (l *leases) order(i int, in *instance) {
	fence, ok := in.lease.MayOrder()
	if !ok {
		return
	}
	l.orders++
	if fence < l.fence {
		l.problem = fmt.Sprintf("fence %d after %d", fence, l.fence)
	}
	if l.last >= 0 && l.last != i {
		l.turns++
		if gap := l.now - l.lastAt; gap < testTurn {
			l.problem = fmt.Sprintf("instance %d orders %v after instance %d", i, gap, l.last)
		}
		if fence == l.fence {
			l.problem = fmt.Sprintf("two holders with fence %d", fence)
		}
	}
	l.fence, l.last, l.lastAt = fence, i, l.now
}

// TestOneHolder plays 200 schedules of ten minutes: no two holders within a
// turn, none with a former fence, and orders are given most of the time.
func TestOneHolder(t *testing.T) {
	orders, steps, turns := 0, 0, 0
	for seed := range uint64(200) {
		l := newLeases(seed)
		const n = 12000
		for range n {
			l.step()
			if l.problem != "" {
				t.Fatalf("seed %d, at %v: %s", seed, l.now-time.Hour, l.problem)
			}
		}
		orders += l.orders
		turns += l.turns
		steps += n
	}
	if turns == 0 || orders*2 < steps {
		t.Errorf("%d orders in %d steps, %d turns", orders, steps, turns)
	}
}
