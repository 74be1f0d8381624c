package steward

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"papayastair.dev/papayastair/event"
	"papayastair.dev/papayastair/site"
	"papayastair.dev/papayastair/standin"
)

// TestReportsReadDuringHandover guards against a second without orders after each
// handover, because the new holder of the lease reads the reports of the backend
// servers only once it may send orders.
func TestReportsReadDuringHandover(t *testing.T) {
	const turn = 3 * time.Second
	e := &site.Engine{
		Slots:          32,
		WeightsMB:      100,
		LoadsPerSecond: 10,
		Models: map[string]site.Model{
			"m00": {
				Name:      "m00",
				WeightsMB: 45,
			},
			"m01": {
				Name:      "m01",
				WeightsMB: 45,
			},
		},
	}
	store := standin.NewStore().Platform()
	elapsed := time.Hour
	newLease := func(name string) *Lease {
		return NewLease(LeaseConfig{
			Store:         store,
			Object:        "orders-0",
			Name:          name,
			Start:         1,
			HandoverDelay: turn,
			Before:        func() int { return 0 },
			Elapsed:       func() time.Duration { return elapsed },
			Log:           &event.Log{},
		})
	}
	former, lease := newLease("instance-1"), newLease("instance-2")
	elapsed += time.Minute
	former.Step(context.Background())
	former.Release(context.Background())
	lease.Step(context.Background())
	acquired := elapsed
	log := &orderLog{}
	var reports []time.Duration
	s := newSteward(Config{
		Leases:  []*Lease{lease},
		Domains: []string{"a"},
		Holder:  "instance-2",
		Engine:  func(string) *site.Engine { return e },
		Down:    func(string) bool { return false },
		Limited: func(string) bool { return false },
		SendOrder: func(ctx context.Context, server site.BackendServer, o Order) (Result, error) {
			if _, ok := lease.MayOrder(); !ok {
				t.Errorf("an order %v after the lease was acquired", elapsed-acquired)
			}

			return log.send(ctx, server, o)
		},
		Report: func(context.Context, site.BackendServer) (site.Report, error) {
			reports = append(reports, elapsed-acquired)

			return site.Report{Models: []site.Holding{{Model: "m00"}}}, nil
		},
		Changed: func() {},
		Log:     &event.Log{},
	})
	s.SetServer(entryWith("s00", "a", "m00"))
	start := time.Now()
	first := time.Duration(0)
	for first == 0 && elapsed-acquired < time.Minute {
		elapsed += _tickInterval
		lease.Step(context.Background())
		s.tick(start.Add(elapsed-acquired), true)
		s.wg.Wait()
		if len(log.orders) > 0 {
			first = elapsed - acquired
		}
	}
	if len(reports) == 0 || reports[0] > turn {
		t.Errorf("reports read at %v, want the first before %v", reports, turn)
	}
	if want := turn + _acquireMargin + 2*_tickInterval; first > want {
		t.Errorf("first order %v after the lease was acquired, want at most %v", first, want)
	}
	if diff := cmp.Diff("load m01 on s00", fmt.Sprint(log.orders[0])); diff != "" {
		t.Errorf("first order (-want +got):\n%s", diff)
	}
}
