package routing

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rotisserie/eris"

	"papayastair.dev/papayastair/timer"
	"papayastair.dev/papayastair/wire"
)

const (
	_crashingBody = -1
	_stepDuration = 10 * time.Millisecond
	_instances    = 6
	_servers      = 12
)

var _errMessageLost = eris.New("lost")

// fleetSim simulates a fleet in virtual time. Its callers repeatedly send one
// request that crashes its backend server, among many harmless ones.
type fleetSim struct {
	t         *testing.T
	random    *rand.Rand
	clock     *timer.Service
	instances []*Suspects
	// downUntil is when each crashed server is available again.
	downUntil map[string]time.Time
	running   []*simRun
	// partitioned reports whether messages between two instances are lost.
	partitioned func(from, to string) bool
	lossRate    float64
	mu          sync.Mutex
	messages    map[string]int
	seed        uint64
	// unrelatedCrashes also crashes servers at random, about one every 2 s.
	unrelatedCrashes bool
	crashes          int
	maxCrashes       int
	// instanceStopStep is the step in which instance i0 stops; 0 for never.
	// The other instances' peer lists are updated 2 s later.
	instanceStopStep int
	// heldHarmless are the harmless requests that were held, delayedHarmless
	// those that had to wait.
	heldHarmless    map[int]bool
	delayedHarmless map[int]bool
	completed       int
}

type simRun struct {
	run      Run
	instance int
	body     int
	ends     time.Time
}

func newFleetSim(t *testing.T, seed uint64, lossRate float64, disabled bool) *fleetSim {
	w := &fleetSim{
		t:               t,
		random:          rand.New(rand.NewPCG(seed, 7)),
		clock:           timer.NewVirtual(time.Unix(1000, 0)),
		downUntil:       map[string]time.Time{},
		partitioned:     func(string, string) bool { return false },
		lossRate:        lossRate,
		messages:        map[string]int{},
		seed:            seed,
		heldHarmless:    map[int]bool{},
		delayedHarmless: map[int]bool{},
	}
	names := make([]string, _instances)
	for i := range names {
		names[i] = fmt.Sprintf("i%d", i)
	}
	for _, name := range names {
		s := NewSuspects(SuspectsConfig{
			Instance: name,
			Clock:    w.clock,
			RequestGrant: func(peer string, ask wire.SuspectAsk) (wire.SuspectAnswer, error) {
				var answer wire.SuspectAnswer
				err := w.send(name, peer, func(to *Suspects) { answer = to.HandleAsk(ask) })

				return answer, err
			},
			SendFinding: func(peer string, finding wire.ServerFinding) error {
				return w.send(name, peer, func(to *Suspects) { to.HandleFinding(finding) })
			},
			SendEnd: func(peer string, end wire.RunEnd) error {
				return w.send(name, peer, func(to *Suspects) { to.HandleEnd(end) })
			},
			Disabled: disabled,
		})
		s.SetPeers(names)
		w.instances = append(w.instances, s)
	}

	return w
}

// send delivers a message, or loses the message or its receipt. The loss
// depends only on the seed, the pair of instances and the number of the
// message, not on the order of goroutines.
func (w *fleetSim) send(from, to string, deliver func(*Suspects)) error {
	if w.partitioned(from, to) {
		return _errMessageLost
	}
	pair := from + to
	// One goroutine at a time sends for a pair, but several write to the map.
	w.mu.Lock()
	w.messages[pair]++
	n := w.messages[pair]
	w.mu.Unlock()
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, w.seed, pair, n)
	random := rand.New(rand.NewPCG(h.Sum64(), 3))
	if random.Float64() < w.lossRate {
		return _errMessageLost
	}
	deliver(w.instances[slices.IndexFunc(w.instances, func(s *Suspects) bool { return s.cfg.Instance == to })])
	if random.Float64() < w.lossRate {
		return _errMessageLost
	}

	return nil
}

// start sends one request to one instance and reports whether it runs.
func (w *fleetSim) start(instance, body int) bool {
	s := w.instances[instance]
	fingerprint := Fingerprint("w", "m", fmt.Append(nil, body))
	down := ""
	for range 3 {
		run, answer := s.TryAcquire(fingerprint, w.randomServer(), down)
		switch answer.Verdict {
		case wire.SuspectAnswerVerdictHeld:
			if body != _crashingBody {
				w.heldHarmless[body] = true
			}

			return false
		case wire.SuspectAnswerVerdictWait:
			if body != _crashingBody {
				w.delayedHarmless[body] = true
			}

			return false
		default:
		}
		if w.clock.Now().Before(w.downUntil[run.Server]) {
			// The server was down: nothing ran.
			s.Release(&run, OutcomeRefused)
			down = run.Server

			continue
		}
		duration := time.Duration(200+w.random.IntN(1800)) * time.Millisecond
		if body == _crashingBody {
			duration = time.Duration(20+w.random.IntN(300)) * time.Millisecond
		}
		w.running = append(w.running, &simRun{
			run:      run,
			instance: instance,
			body:     body,
			ends:     w.clock.Now().Add(duration),
		})

		return true
	}

	return false
}

// randomServer returns a random server that is up, or possibly one that is
// down if few are up.
func (w *fleetSim) randomServer() string {
	name := ""
	for range 4 * _servers {
		name = fmt.Sprintf("s%d", w.random.IntN(_servers))
		if !w.clock.Now().Before(w.downUntil[name]) {
			break
		}
	}

	return name
}

// crashServer ends a server and all its runs, and returns the bodies of these
// runs.
func (w *fleetSim) crashServer(server string) []int {
	w.downUntil[server] = w.clock.Now().Add(3 * time.Second)
	kept := w.running[:0]
	var broken []*simRun
	for _, run := range w.running {
		if run.run.Server == server {
			broken = append(broken, run)
		} else {
			kept = append(kept, run)
		}
	}
	w.running = kept
	bodies := make([]int, 0, len(broken))
	for _, run := range broken {
		w.instances[run.instance].Release(&run.run, OutcomeBroken)
		bodies = append(bodies, run.body)
	}

	return bodies
}

// step advances the clock by one step and returns the bodies whose runs were
// broken.
func (w *fleetSim) step() []int {
	w.clock.Advance(_stepDuration)
	var brokenBodies []int
	for _, run := range slices.Clone(w.running) {
		if run.ends.After(w.clock.Now()) || !slices.Contains(w.running, run) {
			continue
		}
		if run.body == _crashingBody {
			w.crashes++
			brokenBodies = append(brokenBodies, w.crashServer(run.run.Server)...)

			continue
		}
		w.running = slices.DeleteFunc(w.running, func(r *simRun) bool { return r == run })
		w.instances[run.instance].Release(&run.run, OutcomeOK)
		w.completed++
	}

	return brokenBodies
}

// stopInstance disconnects instance i0 and ends its runs at instanceStopStep,
// and removes it from the peer lists later.
func (w *fleetSim) stopInstance(step int) {
	const lag = 200
	if step == w.instanceStopStep {
		w.partitioned = func(from, to string) bool { return from == "i0" || to == "i0" }
		w.running = slices.DeleteFunc(w.running, func(r *simRun) bool { return r.instance == 0 })
	}
	if step == w.instanceStopStep+lag {
		for _, s := range w.instances {
			s.SetPeers([]string{"i1", "i2", "i3", "i4", "i5"})
		}
	}
}

// randomInstance returns a random instance that hasn't stopped.
func (w *fleetSim) randomInstance(step int) int {
	if w.instanceStopStep > 0 && step >= w.instanceStopStep {
		return 1 + w.random.IntN(_instances-1)
	}

	return w.random.IntN(_instances)
}

// runSteps sends the crashing request at random times to random instances, and
// now and then several times at once, among harmless requests. Broken requests
// are sent again, and so are harmless ones that had to wait.
func (w *fleetSim) runSteps(steps int) {
	body := 0
	waiting := []int{}
	for i := range steps {
		waiting = append(waiting, w.step()...)
		if w.crashes > w.maxCrashes {
			return
		}
		if w.instanceStopStep > 0 {
			w.stopInstance(i)
		}
		if w.unrelatedCrashes && w.random.IntN(200) == 0 {
			waiting = append(waiting, w.crashServer(w.randomServer())...)
		}
		if i%3 == 0 {
			body++
			waiting = append(waiting, body)
		}
		if i > 50 && w.random.IntN(15) == 0 {
			waiting = append(waiting, _crashingBody)
		}
		if i > 50 && w.random.IntN(100) == 0 {
			waiting = append(waiting, slices.Repeat([]int{_crashingBody}, _instances)...)
		}
		remaining := waiting[:0:0]
		for _, b := range waiting {
			if !w.start(w.randomInstance(i), b) && b != _crashingBody && !w.heldHarmless[b] {
				remaining = append(remaining, b)
			}
		}
		waiting = remaining
	}
}

// TestSuspectsLimitCrashes checks the number of servers that one request
// crashes, over seeded schedules. The limit holds separately on each side of a
// partition.
func TestSuspectsLimitCrashes(t *testing.T) {
	partition := func(from, to string) bool {
		return (from < "i3") != (to < "i3")
	}
	tests := []struct {
		name             string
		lossRate         float64
		unrelatedCrashes bool
		instanceStops    bool
		partitioned      func(from, to string) bool
		disabled         bool
		limit            int
		wantOver         bool
	}{
		{name: "no message loss", limit: 2},
		{name: "10% message loss", lossRate: 0.1, limit: 2},
		{name: "25% message loss", lossRate: 0.25, limit: 2},
		{name: "unrelated crashes, 10% message loss", lossRate: 0.1, unrelatedCrashes: true, limit: 2},
		{name: "instance stops, 10% message loss", lossRate: 0.1, instanceStops: true, limit: 2},
		{name: "network partition", partitioned: partition, limit: 4},
		{name: "suspects disabled", disabled: true, limit: 2, wantOver: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			const seeds = 60
			maxCrashes, crashes, held, delayed, completed := 0, 0, 0, 0, 0
			for seed := range uint64(seeds) {
				w := newFleetSim(t, seed, tt.lossRate, tt.disabled)
				w.maxCrashes = tt.limit
				w.unrelatedCrashes = tt.unrelatedCrashes
				if tt.partitioned != nil {
					w.partitioned = tt.partitioned
				}
				if tt.instanceStops {
					w.instanceStopStep = 50 + w.random.IntN(150)
				}
				w.runSteps(1000)
				maxCrashes = max(maxCrashes, w.crashes)
				crashes += w.crashes
				held += len(w.heldHarmless)
				delayed += len(w.delayedHarmless)
				completed += w.completed
			}
			t.Logf("%d schedules: servers crashed: max %d, mean %.2f; harmless requests held: %d, delayed: %d, completed: %d",
				seeds, maxCrashes, float64(crashes)/seeds, held, delayed, completed)
			if diff := cmp.Diff(tt.wantOver, maxCrashes > tt.limit); diff != "" {
				t.Errorf("more than %d servers crashed (-want +got):\n%s", tt.limit, diff)
			}
		})
	}
}
