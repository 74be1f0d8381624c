package membership

import (
	"encoding/gob"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"papayastair.dev/papayastair/timer"
	"papayastair.dev/papayastair/wire"
)

const _sampleInterval = 250 * time.Millisecond

var errNoReply = errors.New("no reply")

// network simulates a network of detectors in virtual time.
type network struct {
	clock  *timer.Service
	random *rand.Rand
	nodes  map[string]*node
	order  []*node
	// loss is the fraction of messages lost in each direction.
	loss float64
	// partitioned reports whether two nodes can't reach each other.
	partitioned func(a, b *node) bool
	messages    int
	bytes       byteCounter
	// encoder, if set, counts the bytes of messages.
	encoder *gob.Encoder
}

type node struct {
	*Detector

	name   string
	down   bool
	paused bool
	// seenFailed counts the times another running node was sampled to consider
	// this one failed.
	seenFailed int
	// failedPeers counts the times this node was sampled to consider another
	// running one failed.
	failedPeers int
}

// byteCounter counts the bytes written to it.
type byteCounter int

func (c *byteCounter) Write(p []byte) (int, error) {
	*c += byteCounter(len(p))

	return len(p), nil
}

// newNetwork starts n instances in three failure domains, two regions and
// one backend server; all are in the platform's list, which never changes.
func newNetwork(seed uint64, n int, disabled DisabledMechanisms) *network {
	w := &network{
		clock:       timer.NewVirtual(time.Unix(1000, 0)),
		random:      rand.New(rand.NewPCG(seed, 1)),
		nodes:       map[string]*node{},
		partitioned: func(*node, *node) bool { return false },
	}
	list := wire.ObjectList{Version: 1}
	for i := range n {
		list.Objects = append(list.Objects, listObject(nodeMember(i)))
	}
	list.Objects = append(list.Objects, listObject(wire.Member{
		Name:        "engine",
		Role:        wire.MemberRoleEngine,
		State:       wire.MemberStateLive,
		Incarnation: 1,
	}))
	for i := range n {
		w.start(nodeMember(i), list, disabled)
	}

	return w
}

func nodeMember(i int) wire.Member {
	domain := i % 3

	return wire.Member{
		Name:          fmt.Sprintf("i%03d", i),
		Role:          wire.MemberRoleEntry,
		State:         wire.MemberStateLive,
		Region:        fmt.Sprintf("r%d", domain/2),
		FailureDomain: fmt.Sprintf("d%d", domain),
		Size:          1,
		CallerAddress: fmt.Sprintf("10.0.0.1:%d", 1000+i),
		PeerAddress:   fmt.Sprintf("10.0.0.2:%d", 1000+i),
		Incarnation:   1,
	}
}

func listObject(m wire.Member) wire.Object {
	value, err := json.Marshal(m)
	if err != nil {
		panic(err)
	}

	return wire.Object{
		Kind:  KindMember,
		Name:  m.Name,
		Value: string(value),
	}
}

// start starts an instance, replacing an earlier one at its address.
func (w *network) start(self wire.Member, list wire.ObjectList, disabled DisabledMechanisms) *node {
	x := &node{name: self.Name}
	x.Detector = &Detector{
		Self:     self,
		Timer:    w.clock,
		Random:   rand.New(rand.NewPCG(w.random.Uint64(), 2)),
		Disabled: disabled,
		Probe: func(address string, probe wire.Probe, done func(wire.ProbeReply, error)) {
			w.call(x, w.nodes[address], probe, done)
		},
		ReadList: func(after int, done func(wire.ObjectList, error)) {
			answer := list
			if after > 0 {
				answer.Objects = nil
			}
			w.clock.After(20*time.Second*time.Duration(min(after, 1))+time.Millisecond, func(time.Time) { done(answer, nil) })
		},
	}
	if old, ok := w.nodes[self.PeerAddress]; ok {
		old.Stop()
		old.down = true
	} else {
		w.order = append(w.order, x)
	}
	w.nodes[self.PeerAddress] = x
	for i, y := range w.order {
		if y.name == x.name {
			w.order[i] = x
		}
	}
	x.Start()

	return x
}

// call delivers a probe and its reply, each after a delay. If either is lost,
// the call fails after the caller's timeout.
func (w *network) call(from, to *node, probe wire.Probe, done func(wire.ProbeReply, error)) {
	completed := false
	complete := func(reply wire.ProbeReply, err error) {
		if completed {
			return
		}
		completed = true
		done(reply, err)
	}
	timeout := _directTimeout
	if probe.Target != "" {
		timeout = _indirectTimeout
	}
	w.clock.After(timeout, func(time.Time) { w.whenRunning(from, func() { complete(wire.ProbeReply{}, errNoReply) }) })
	w.send(from, to, probe, func() {
		to.HandleProbe(probe, func(reply wire.ProbeReply) {
			w.send(to, from, reply, func() { complete(reply, nil) })
		})
	})
}

func (w *network) send(from, to *node, message any, arrive func()) {
	w.messages++
	if w.encoder != nil {
		if err := w.encoder.Encode(message); err != nil {
			panic(err)
		}
	}
	if w.random.Float64() < w.loss {
		return
	}
	delay := time.Millisecond + time.Duration(w.random.Int64N(int64(4*time.Millisecond)))
	w.clock.After(delay, func(time.Time) {
		if from.down || to.down || w.partitioned(from, to) {
			return
		}
		w.whenRunning(to, arrive)
	})
}

// whenRunning calls fn as soon as a node isn't paused.
func (w *network) whenRunning(x *node, fn func()) {
	if !x.paused {
		fn()

		return
	}
	w.clock.After(10*time.Millisecond, func(time.Time) { w.whenRunning(x, fn) })
}

// pause stops a node for a duration, without delivering messages or ticks.
func (w *network) pause(x *node, d time.Duration) {
	x.paused = true
	x.Stop()
	w.clock.After(d, func(now time.Time) {
		x.paused = false
		x.tick = w.clock.Every(_probeInterval, x.onTick)
		x.onTick(now)
	})
}

func (w *network) kill(x *node) {
	x.down = true
	x.Stop()
}

// advanceUntil advances the clock until all running nodes satisfy a condition,
// and returns the time that took, at most limit.
func (w *network) advanceUntil(limit time.Duration, condition func(x *node) bool) time.Duration {
	const step = 100 * time.Millisecond
	for passed := time.Duration(0); passed < limit; passed += step {
		if w.all(condition) {
			return passed
		}
		w.clock.Advance(step)
	}

	return limit
}

func (w *network) all(condition func(x *node) bool) bool {
	for _, x := range w.order {
		if !x.down && !condition(x) {
			return false
		}
	}

	return true
}

// advanceSampling advances the clock by d. Every _sampleInterval it counts, for
// each running node, the peers that wrongly consider it failed and the peers
// that it wrongly considers failed.
func (w *network) advanceSampling(d time.Duration) {
	for range d / _sampleInterval {
		w.clock.Advance(_sampleInterval)
		for _, x := range w.order {
			for _, y := range w.order {
				if !x.down && !y.down && x != y && x.health(y.name) == wire.FindingHealthFailed {
					x.failedPeers++
					y.seenFailed++
				}
			}
		}
	}
}

func (x *node) health(name string) wire.FindingHealth {
	m, ok := x.members[name]
	if !ok {
		return ""
	}

	return m.finding.Health
}

// seesAllAlive reports whether a node considers all others alive.
func (x *node) seesAllAlive() bool {
	alive, listed := x.CountInstances()

	return alive == listed
}
