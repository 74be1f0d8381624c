package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"papayastair.dev/papayastair/dispatch"
	"papayastair.dev/papayastair/site"
)

// fleet is many instances that send requests for one model to the same backend
// servers, in virtual time. Each knows the requests of the others as they were
// two steps ago.
type fleet struct {
	rng       *rand.Rand
	now       time.Time
	instances []*fleetInstance
	running   map[string]int
	// history holds the running requests after each step.
	history []map[string]int
	// refused counts requests that found all servers full.
	refused int
	// sum is the number of requests on all servers, added up over the steps, and
	// queued those of them beyond a server's slots. peak is the largest number on
	// one server.
	sum    int
	queued int
	peak   int
}

type fleetInstance struct {
	balancer *dispatch.Balancer
	runs     []fleetRun
	used     map[string]bool
}

type fleetRun struct {
	server string
	run    *dispatch.Run
	endsAt time.Time
}

const (
	_fleetStep    = 200 * time.Millisecond
	_fleetServers = 40
	_fleetSlots   = 16
	_fleetLag     = 2
)

func newFleet(instances int) *fleet {
	f := &fleet{
		rng:     rand.New(rand.NewPCG(7, 8)),
		now:     testStart,
		running: map[string]int{},
	}
	for i := range instances {
		in := &fleetInstance{
			balancer: dispatch.New(rand.New(rand.NewPCG(uint64(i), 3)), testLimits),
			used:     map[string]bool{},
		}
		in.balancer.SetInstances(instances, _fleetLag*_fleetStep)
		for n := range _fleetServers {
			s := engineServer(fmt.Sprintf("s%02d", n), "m")
			s.Slots = _fleetSlots
			s.FailureDomain = fmt.Sprint(n % 5)
			in.balancer.SetServer(s)
		}
		f.instances = append(f.instances, in)
	}

	return f
}

// step lets each instance send requests at perSecond, with a mean duration of half
// a second.
func (f *fleet) step(perSecond float64) {
	f.now = f.now.Add(_fleetStep)
	known := map[string]int{}
	if n := len(f.history); n >= _fleetLag {
		known = f.history[n-_fleetLag]
	}
	for i, in := range f.instances {
		keep := in.runs[:0]
		own := map[string]int{}
		for _, r := range in.runs {
			if r.endsAt.After(f.now) {
				keep = append(keep, r)
				own[r.server]++

				continue
			}
			in.balancer.End(r.run, dispatch.ResultOK, 20*time.Millisecond, f.now)
			f.running[r.server]--
		}
		in.runs = keep
		others := map[string]int{}
		for id, n := range known {
			others[id] = max(n-own[id], 0)
		}
		in.balancer.SetPeerLoad("others", others, f.now)
		for f.rng.Float64() < perSecond*_fleetStep.Seconds() {
			f.send(i, in)
		}
	}
	total := map[string]int{}
	for id, n := range f.running {
		total[id] = n
		f.peak = max(f.peak, n)
		f.sum += n
		f.queued += max(n-_fleetSlots, 0)
	}
	f.history = append(f.history, total)
}

func (f *fleet) send(i int, in *fleetInstance) {
	choice := in.balancer.Choose(dispatch.Request{
		Service:       "engines",
		Target:        site.Target{Model: "m"},
		FailureDomain: fmt.Sprint(i % 5),
	}, f.now)
	if choice.Server == nil {
		f.refused++

		return
	}
	id := choice.Server.ID
	in.used[id] = true
	in.runs = append(in.runs, fleetRun{
		server: id,
		run:    in.balancer.Begin(id, site.Target{Model: "m"}, f.now),
		endsAt: f.now.Add(time.Duration((0.2 + 0.6*f.rng.Float64()) * float64(time.Second))),
	})
	f.running[id]++
}

// TestLargeFleetSpreadsLoad is hundreds of instances with outdated counts that
// use half of all slots. At most one in a hundred requests may be on a server
// beyond its slots: more are in the herd that forms if all instances choose the
// server that looks emptiest. And an instance must not use all servers, as most of
// its connections would then be idle for too long to be used again.
func TestLargeFleetSpreadsLoad(t *testing.T) {
	const (
		instances = 300
		steps     = 100
		perSecond = 1.15
		maxQueued = 0.01
	)
	f := newFleet(instances)
	// Let the counts arrive first.
	for range 5 {
		f.step(perSecond)
	}
	f.sum, f.queued, f.peak = 0, 0, 0
	for range steps {
		f.step(perSecond)
	}
	used := 0
	for _, in := range f.instances {
		used += len(in.used)
	}
	t.Logf("%.1f requests a server, at most %d, %.3f of them queued; an instance uses %.1f servers; %d refused", float64(f.sum)/_fleetServers/steps, f.peak,
		float64(f.queued)/float64(f.sum), float64(used)/instances, f.refused)
	if float64(f.queued) > maxQueued*float64(f.sum) {
		t.Errorf("%.3f of the requests are beyond the slots of their server", float64(f.queued)/float64(f.sum))
	}
	if used > instances*_fleetServers/2 {
		t.Errorf("an instance uses %.1f of %d servers", float64(used)/instances, _fleetServers)
	}
	if f.refused > 0 {
		t.Errorf("%d requests refused", f.refused)
	}
}
