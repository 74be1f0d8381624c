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

const _watchStep = 250 * time.Millisecond

var errLost = errors.New("no answer")

// network joins detectors in virtual time.
type network struct {
	clock  *timer.Service
	random *rand.Rand
	nodes  map[string]*node
	order  []*node
	// loss is the share of messages lost, in each direction.
	loss float64
	// cut says that two nodes don't reach each other.
	cut      func(a, b *node) bool
	messages int
	bytes    counter
	// encoder, if set, counts the bytes of messages.
	encoder *gob.Encoder
}

type node struct {
	*Detector

	name    string
	down    bool
	paused  bool
	failed  int
	accused int
}

// counter counts the bytes written to it.
type counter int

func (c *counter) Write(p []byte) (int, error) {
	*c += counter(len(p))

	return len(p), nil
}

// newNetwork starts n instances in three failure domains, two regions and
// one backend server; all are in the platform's list, which never changes.
func newNetwork(seed uint64, n int, unguarded Unguarded) *network {
	w := &network{
		clock:  timer.NewVirtual(time.Unix(1000, 0)),
		random: rand.New(rand.NewPCG(seed, 1)),
		nodes:  map[string]*node{},
		cut:    func(*node, *node) bool { return false },
	}
	list := wire.ObjectList{Version: 1}
	for i := range n {
		list.Objects = append(list.Objects, listed(describeNode(i)))
	}
	list.Objects = append(list.Objects, listed(wire.Member{
		Name:        "engine",
		Role:        wire.MemberRoleEngine,
		State:       wire.MemberStateLive,
		Incarnation: 1,
	}))
	for i := range n {
		w.start(describeNode(i), list, unguarded)
	}

	return w
}

func describeNode(i int) wire.Member {
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

func listed(m wire.Member) wire.Object {
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

// start starts an instance, in place of an earlier one at its address.
func (w *network) start(self wire.Member, list wire.ObjectList, unguarded Unguarded) *node {
	x := &node{name: self.Name}
	x.Detector = &Detector{
		Self:      self,
		Timer:     w.clock,
		Random:    rand.New(rand.NewPCG(w.random.Uint64(), 2)),
		Unguarded: unguarded,
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

// call carries a probe and its answer, each with a delay, unless they are
// lost; then the caller's timeout passes.
func (w *network) call(from, to *node, probe wire.Probe, done func(wire.ProbeReply, error)) {
	settled := false
	settle := func(reply wire.ProbeReply, err error) {
		if settled {
			return
		}
		settled = true
		done(reply, err)
	}
	timeout := _directTimeout
	if probe.Target != "" {
		timeout = _indirectTimeout
	}
	w.clock.After(timeout, func(time.Time) { w.whenAwake(from, func() { settle(wire.ProbeReply{}, errLost) }) })
	w.send(from, to, probe, func() {
		to.HandleProbe(probe, func(reply wire.ProbeReply) {
			w.send(to, from, reply, func() { settle(reply, nil) })
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
		if from.down || to.down || w.cut(from, to) {
			return
		}
		w.whenAwake(to, arrive)
	})
}

// whenAwake does something as soon as a node isn't paused.
func (w *network) whenAwake(x *node, do func()) {
	if !x.paused {
		do()

		return
	}
	w.clock.After(10*time.Millisecond, func(time.Time) { w.whenAwake(x, do) })
}

// pause stops a node's process for a while.
func (w *network) pause(x *node, d time.Duration) {
	x.paused = true
	x.Stop()
	w.clock.After(d, func(now time.Time) {
		x.paused = false
		x.tick = w.clock.Every(_period, x.onTick)
		x.onTick(now)
	})
}

func (w *network) kill(x *node) {
	x.down = true
	x.Stop()
}

// until advances until all running nodes fulfil a condition, and returns how
// long that took, at most limit.
func (w *network) until(limit time.Duration, holds func(x *node) bool) time.Duration {
	const step = 100 * time.Millisecond
	for passed := time.Duration(0); passed < limit; passed += step {
		if w.all(holds) {
			return passed
		}
		w.clock.Advance(step)
	}

	return limit
}

func (w *network) all(holds func(x *node) bool) bool {
	for _, x := range w.order {
		if !x.down && !holds(x) {
			return false
		}
	}

	return true
}

// watch advances and counts, every _watchStep, the running nodes that are wrongly
// taken for failed by someone, and who takes them for it.
func (w *network) watch(d time.Duration) {
	for range d / _watchStep {
		w.clock.Advance(_watchStep)
		for _, x := range w.order {
			for _, y := range w.order {
				if !x.down && !y.down && x != y && x.health(y.name) == wire.FindingHealthFailed {
					x.accused++
					y.failed++
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

// seesAll reports whether a node takes all others for alive.
func (x *node) seesAll() bool {
	alive, listed := x.Reach()

	return alive == listed
}
