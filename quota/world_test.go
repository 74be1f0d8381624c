package quota

import (
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"math/rand"
	"slices"
	"time"

	"papayastair.dev/papayastair/history"
	"papayastair.dev/papayastair/objectstore"
	"papayastair.dev/papayastair/standin"
	"papayastair.dev/papayastair/timer"
	"papayastair.dev/papayastair/wire"
)

const (
	_step     = 20 * time.Millisecond
	_listLag  = 250 * time.Millisecond
	_lostCall = time.Second
	// _spread is how long a change of limits takes to reach all instances.
	_spread = time.Second
	// _turn is the time between the beginning and the end of a flood.
	_turn = 1250 * time.Millisecond
)

var errLost = errors.New("lost")

// world is a fleet in virtual time: ledgers, the links between them, the
// store, and callers that send requests. One seed gives one run.
type world struct {
	clock  *timer.Service
	start  time.Time
	rng    *rand.Rand
	store  *standin.Store
	life   time.Duration
	limits []Limit
	off    guards
	nodes  map[string]*node
	names  []string
	lives  int
	// loss and late are the chances of a message; latency is one way.
	loss    float64
	late    float64
	latency time.Duration
	// pauses has the chance of an instance to be paused inside a call, once.
	pauses map[string]float64
	down   bool
	phases []history.RateLimit
	events []wire.HistoryEvent
	calls  int
	meter  *meter
}

// meter counts the messages between instances in the encoding of net/rpc, and
// the time that ledgers take for them and for their ticks.
type meter struct {
	messages int
	bytes    int
	busy     time.Duration
	encoder  *gob.Encoder
}

func newMeter() *meter {
	m := &meter{}
	m.encoder = gob.NewEncoder(m)

	return m
}

// Write counts what the encoder writes.
func (m *meter) Write(p []byte) (int, error) {
	m.bytes += len(p)

	return len(p), nil
}

func (m *meter) count(message any) {
	if m == nil {
		return
	}
	m.messages++
	if err := m.encoder.Encode(message); err != nil {
		panic(err)
	}
}

func (m *meter) time(fn func()) {
	if m == nil {
		fn()

		return
	}
	began := time.Now()
	fn()
	m.busy += time.Since(began)
}

// node is an instance, with its present run.
type node struct {
	self   wire.QuotaMember
	ledger *Ledger
	alive  bool
	paused bool
	// side is the part of the network it is on; cut means without the store.
	side  int
	cut   bool
	awake []func()
	ticks []*timer.Subscription
	// gone is when the platform drops it from its list.
	gone time.Time
}

func newWorld(seed int64, sizes []int, limits []Limit, life time.Duration, off guards) *world {
	start := time.Unix(1_000_000, 0)
	w := &world{
		clock:   timer.NewVirtual(start),
		start:   start,
		rng:     rand.New(rand.NewSource(seed)),
		store:   standin.NewStore(),
		life:    life,
		limits:  limits,
		off:     off,
		nodes:   map[string]*node{},
		latency: time.Millisecond,
		pauses:  map[string]float64{},
	}
	w.allow(start, limits)
	for i, size := range sizes {
		w.boot(fmt.Sprintf("i%03d", i), size)
	}
	w.list()
	w.clock.Every(_listLag, func(time.Time) { w.list() })

	return w
}

// boot starts an instance, or starts it anew.
func (w *world) boot(name string, size int) {
	w.lives++
	n := w.nodes[name]
	if n == nil {
		n = &node{}
		w.nodes[name] = n
		w.names = append(w.names, name)
	}
	for _, tick := range n.ticks {
		tick.Stop()
	}
	*n = node{
		self: wire.QuotaMember{
			Instance:    name,
			Incarnation: w.lives,
			Size:        size,
		},
		alive: true,
		side:  n.side,
		cut:   n.cut,
	}
	l := newLedger(Config{
		Self:         n.self,
		Timer:        w.clock,
		Store:        w.access(n),
		EvidenceLife: w.life,
	})
	l.off = w.off
	l.run = func(work func()) { work() }
	l.send = func(peer string, ask wire.QuotaAsk, done func(wire.QuotaAnswer, error)) {
		w.post(n, l, peer, ask, done)
	}
	l.SetLimits(w.limits)
	n.ledger = l
	phase := time.Duration(w.rng.Int63n(int64(_lendTick)))
	w.clock.After(phase, func(time.Time) {
		if n.ledger == l {
			n.ticks = []*timer.Subscription{
				w.clock.Every(_lendTick, func(time.Time) { w.whenRuns(n, l, l.lookAhead) }),
				w.clock.Every(l.period()/4, func(time.Time) { w.whenRuns(n, l, l.keepEvidence) }),
			}
		}
	})
}

// whenRuns runs a tick; one that falls into a pause is skipped.
func (w *world) whenRuns(n *node, l *Ledger, fn func()) {
	if n.alive && n.ledger == l && !n.paused {
		w.meter.time(fn)
	}
}

// afterPause runs fn when the run of the ledger isn't paused; never if it
// ended.
func (w *world) afterPause(n *node, l *Ledger, fn func()) {
	switch {
	case !n.alive || n.ledger != l:
	case n.paused:
		n.awake = append(n.awake, func() { w.afterPause(n, l, fn) })
	default:
		fn()
	}
}

// access is the store as an instance reaches it.
func (w *world) access(n *node) objectstore.Store {
	store := w.store.Platform()
	unreachable := func() error {
		if n.cut {
			return &objectstore.Error{Code: objectstore.CodeUnknown}
		}

		return nil
	}

	return objectstore.Store{
		Get: func(ctx context.Context, kind, name string) (wire.Object, error) {
			if err := unreachable(); err != nil {
				return wire.Object{}, err
			}

			return store.Get(ctx, kind, name)
		},
		Put: func(ctx context.Context, kind, name, value string, version int) (int, error) {
			if err := unreachable(); err != nil {
				return 0, err
			}

			return store.Put(ctx, kind, name, value, version)
		},
	}
}

func (w *world) post(from *node, l *Ledger, peer string, ask wire.QuotaAsk, done func(wire.QuotaAnswer, error)) {
	w.meter.count(ask)
	fail := func() {
		w.clock.After(_lostCall, func(time.Time) {
			w.afterPause(from, l, func() { done(wire.QuotaAnswer{}, errLost) })
		})
	}
	w.clock.After(w.delay(), func(time.Time) {
		to := w.nodes[peer]
		if to == nil || !to.alive || to.side != from.side || w.rng.Float64() < w.loss {
			fail()

			return
		}
		w.afterPause(to, to.ledger, func() {
			var answer wire.QuotaAnswer
			w.meter.time(func() { answer = to.ledger.HandleAsk(ask) })
			w.meter.count(answer)
			if to.side != from.side || w.rng.Float64() < w.loss {
				fail()

				return
			}
			w.clock.After(w.delay(), func(time.Time) {
				w.afterPause(from, l, func() { w.meter.time(func() { done(answer, nil) }) })
			})
		})
	})
}

func (w *world) delay() time.Duration {
	if w.rng.Float64() < w.late {
		return time.Duration(w.rng.Int63n(int64(2 * time.Second)))
	}

	return w.latency/2 + time.Duration(w.rng.Int63n(int64(w.latency)))
}

// list tells the instances that reach the store who is live.
func (w *world) list() {
	if w.down {
		return
	}
	var live []wire.QuotaMember
	for _, name := range w.names {
		n := w.nodes[name]
		lost := !n.alive || n.paused || n.cut
		switch {
		case !lost:
			n.gone = w.clock.Now().Add(3 * _listLag)
			live = append(live, n.self)
		case w.clock.Now().Before(n.gone):
			live = append(live, n.self)
		}
	}
	for _, name := range w.names {
		if n := w.nodes[name]; n.alive && !n.cut && !n.paused {
			n.ledger.SetMembers(live)
		}
	}
}

// call is one call of a caller.
type call struct {
	node      *node
	workspace string
	id        string
	most      int64
	used      int64
	runs      time.Duration
}

// send sends a call as Reserve does, and settles it when it has run.
func (w *world) send(c call, then func(admitted bool)) {
	l := c.node.ledger
	finish := func(o Outcome) {
		if o.Status == Admitted {
			w.record(wire.HistoryEventKindAdmitted, c, w.clock.Now(), o.Reservation.Charged)
			w.clock.After(c.runs, func(time.Time) {
				w.afterPause(c.node, l, func() {
					l.Settle(o.Reservation, c.used)
					w.record(wire.HistoryEventKindSettled, c, w.clock.Now(), c.used)
				})
			})
		}
		then(o.Status == Admitted)
	}
	outcome, b, key := l.try(c.workspace, c.id, c.most)
	if outcome.Status == Refused && l.wait(b, key, c.most, finish) != nil {
		return
	}
	finish(outcome)
}

func (w *world) record(kind wire.HistoryEventKind, c call, at time.Time, tokens int64) {
	w.events = append(w.events, wire.HistoryEvent{
		Kind:              kind,
		AtUnixNanoseconds: int(at.UnixNano()),
		Instance:          c.node.self.Instance,
		Workspace:         c.workspace,
		RequestID:         c.id,
		Tokens:            int(tokens),
	})
}

// check returns the windows with more than rate and burst.
func (w *world) check() []history.Violation {
	return history.CheckRate(w.events, w.phases)
}

// allow adds the limits that hold from a time on, for check.
func (w *world) allow(from time.Time, limits []Limit) {
	for _, limit := range limits {
		w.phases = append(w.phases, history.RateLimit{
			Workspace:           limit.Workspace,
			FromUnixNanoseconds: int(from.UnixNano()),
			RateTokensPerSecond: limit.RateTokensPerSecond,
			BurstTokens:         limit.BurstTokens,
		})
	}
}

// scale changes all limits by a factor, which the instances learn one by one.
// The larger of both is allowed until the last has, and its loans have ended.
func (w *world) scale(factor float64) {
	old, limits := w.limits, slices.Clone(w.limits)
	for i := range limits {
		limits[i].RateTokensPerSecond *= factor
		limits[i].BurstTokens *= factor
	}
	if factor > 1 {
		w.allow(w.clock.Now(), limits)
	} else {
		w.allow(w.clock.Now().Add(_spread+w.life), limits)
	}
	w.clock.After(_spread, func(time.Time) { w.limits = limits })
	w.limits = old
	for _, name := range w.names {
		n := w.nodes[name]
		w.clock.After(time.Duration(w.rng.Int63n(int64(_spread))), func(time.Time) {
			l := n.ledger
			w.afterPause(n, l, func() { l.SetLimits(limits) })
		})
	}
}

// running returns the instances that take calls.
func (w *world) running() []*node {
	var nodes []*node
	for _, name := range w.names {
		if n := w.nodes[name]; n.alive && !n.paused {
			nodes = append(nodes, n)
		}
	}

	return nodes
}

// pause stops an instance for a while. What came meanwhile comes after it.
func (w *world) pause(n *node, d time.Duration) {
	l := n.ledger
	n.paused = true
	w.clock.After(d, func(time.Time) { w.wake(n, l) })
}

func (w *world) wake(n *node, l *Ledger) {
	if n.ledger != l || !n.paused {
		return
	}
	n.paused = false
	awake := n.awake
	n.awake = nil
	for _, fn := range awake {
		fn()
	}
}

// fault brings one random failure about.
func (w *world) fault() {
	n := w.nodes[w.names[w.rng.Intn(len(w.names))]]
	d := time.Duration(250+w.rng.Intn(4750)) * time.Millisecond
	switch w.rng.Intn(10) {
	case 0:
		n.alive = false
		w.clock.After(d, func(time.Time) { w.boot(n.self.Instance, n.self.Size) })
	case 1:
		w.boot(n.self.Instance, n.self.Size)
	case 2, 3:
		if n.alive && !n.paused {
			w.pause(n, d)
		}
	case 4:
		w.split(d, w.rng.Intn(2) == 0)
	case 5:
		w.isolate(n, d)
	case 6:
		w.outage(d)
	case 7:
		w.outage(d)
		n.alive = false
		w.clock.After(2*d, func(time.Time) { w.boot(n.self.Instance, n.self.Size) })
	case 8:
		faults := []standin.StoreFaults{{Stale: true}, {LoseReplies: true}}[w.rng.Intn(2)]
		w.store.SetFaults(faults)
		w.clock.After(d, func(time.Time) { w.store.SetFaults(standin.StoreFaults{}) })
	default:
		if len(w.names) < 9 {
			w.boot(fmt.Sprintf("i%03d", len(w.names)), 1+w.rng.Intn(4))
		}
	}
}

// isolate cuts an instance off from its peers and the store, not from callers.
func (w *world) isolate(n *node, d time.Duration) {
	n.side, n.cut = 9, true
	w.clock.After(d, func(time.Time) { n.side, n.cut = 0, false })
}

func (w *world) outage(d time.Duration) {
	w.down = true
	w.store.SetFaults(standin.StoreFaults{Down: true})
	w.clock.After(d, func(time.Time) {
		w.down = false
		w.store.SetFaults(standin.StoreFaults{})
	})
}

// split parts the network in two; one side may have no store.
func (w *world) split(d time.Duration, cut bool) {
	var moved []*node
	for _, name := range w.names {
		if w.rng.Intn(2) == 0 {
			n := w.nodes[name]
			n.side, n.cut = 1, cut
			moved = append(moved, n)
		}
	}
	w.clock.After(d, func(time.Time) {
		for _, n := range moved {
			n.side, n.cut = 0, false
		}
	})
}

// flood sends many times the rate of each workspace to all instances in turns
// of a few seconds, between which the buckets fill up, while failures happen.
func (w *world) flood(length time.Duration, faultsPerSecond float64) {
	end := w.clock.Now().Add(length)
	for w.clock.Now().Before(end) {
		w.clock.Advance(_step)
		if w.rng.Float64() < faultsPerSecond*_step.Seconds() {
			w.fault()
		}
		if w.clock.Now().Sub(w.start)/_turn%2 == 0 {
			continue
		}
		for _, limit := range w.limits {
			for _, n := range w.running() {
				w.floodOnce(n, limit)
			}
		}
	}
}

func (w *world) floodOnce(n *node, limit Limit) {
	w.calls++
	l := n.ledger
	most := int64(limit.BurstTokens * 0.02 * w.rng.Float64())
	c := call{
		node:      n,
		workspace: limit.Workspace,
		id:        fmt.Sprint(w.calls),
		most:      most,
		used:      int64(float64(most) * min(1, 0.5+w.rng.Float64())),
		runs:      time.Duration(w.rng.Int63n(int64(time.Second))),
	}
	if w.rng.Float64() < w.pauses[n.self.Instance] {
		delete(w.pauses, n.self.Instance)
		w.pauseInside(n, time.Duration(w.rng.Int63n(int64(5*time.Second))))
		c.most = max(c.most, int64(0.9*l.buckets.Load().byName[limit.Workspace].level))
		c.used = c.most
	}
	w.send(c, func(bool) {})
	l.off.betweenTakeAndCheck = nil
}

// pauseInside pauses an instance between the charge of its next call and the
// look at the clock.
func (w *world) pauseInside(n *node, d time.Duration) {
	l := n.ledger
	l.off.betweenTakeAndCheck = func() {
		l.off.betweenTakeAndCheck = nil
		n.paused = true
		w.clock.Advance(d)
		n.paused = false
		w.clock.After(0, func(time.Time) {
			awake := n.awake
			n.awake = nil
			for _, fn := range awake {
				fn()
			}
		})
	}
}
