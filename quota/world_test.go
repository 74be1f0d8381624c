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
	// _limitSpreadTime is the time until a change of limits has reached all instances.
	_limitSpreadTime = time.Second
	// _floodPhase is the length of a flood phase and of the idle phase between two.
	_floodPhase = 1250 * time.Millisecond
)

var errLost = errors.New("lost")

// simulation is a fleet in virtual time: ledgers, the network between them, the
// store, and callers that send requests. A seed determines the run.
type simulation struct {
	clock        *timer.Service
	start        time.Time
	rng          *rand.Rand
	store        *standin.Store
	life         time.Duration
	limits       []Limit
	off          guards
	nodes        map[string]*node
	names        []string
	incarnations int
	// loss and late are probabilities per message; latency is one way.
	loss    float64
	late    float64
	latency time.Duration
	// pauses has the probability that an instance is paused once, during a call.
	pauses map[string]float64
	down   bool
	phases []history.RateLimit
	events []wire.HistoryEvent
	calls  int
	meter  *meter
}

// meter counts the messages between instances in the encoding of net/rpc, and
// the time that ledgers spend on them and on their ticks.
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

// Write counts the bytes that the encoder writes.
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

// node is an instance with its present run.
type node struct {
	self   wire.QuotaMember
	ledger *Ledger
	alive  bool
	paused bool
	// side is its partition of the network; cut means that it can't reach the
	// store.
	side     int
	cut      bool
	deferred []func()
	ticks    []*timer.Subscription
	// listedUntil is the time at which the platform removes it from its list.
	listedUntil time.Time
}

func newSimulation(seed int64, sizes []int, limits []Limit, life time.Duration, off guards) *simulation {
	start := time.Unix(1_000_000, 0)
	w := &simulation{
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
	w.addLimits(start, limits)
	for i, size := range sizes {
		w.boot(fmt.Sprintf("i%03d", i), size)
	}
	w.publishMembers()
	w.clock.Every(_listLag, func(time.Time) { w.publishMembers() })

	return w
}

// boot starts or restarts an instance.
func (w *simulation) boot(name string, size int) {
	w.incarnations++
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
			Incarnation: w.incarnations,
			Size:        size,
		},
		alive: true,
		side:  n.side,
		cut:   n.cut,
	}
	l := newLedger(Config{
		Self:        n.self,
		Timer:       w.clock,
		Store:       w.storeFor(n),
		EvidenceTTL: w.life,
	})
	l.disabled = w.off
	l.run = func(work func()) { work() }
	l.send = func(peer string, ask wire.QuotaAsk, done func(wire.QuotaAnswer, error)) {
		w.deliver(n, l, peer, ask, done)
	}
	l.SetLimits(w.limits)
	n.ledger = l
	phase := time.Duration(w.rng.Int63n(int64(_lendInterval)))
	w.clock.After(phase, func(time.Time) {
		if n.ledger == l {
			n.ticks = []*timer.Subscription{
				w.clock.Every(_lendInterval, func(time.Time) { w.tickUnlessPaused(n, l, l.maintainLoans) }),
				w.clock.Every(l.exchangeInterval()/4, func(time.Time) { w.tickUnlessPaused(n, l, l.renewEvidence) }),
			}
		}
	})
}

// tickUnlessPaused runs a tick, unless the instance is paused or has ended.
func (w *simulation) tickUnlessPaused(n *node, l *Ledger, fn func()) {
	if n.alive && n.ledger == l && !n.paused {
		w.meter.time(fn)
	}
}

// afterPause calls fn once the run of the ledger isn't paused, and never if that
// run has ended.
func (w *simulation) afterPause(n *node, l *Ledger, fn func()) {
	switch {
	case !n.alive || n.ledger != l:
	case n.paused:
		n.deferred = append(n.deferred, func() { w.afterPause(n, l, fn) })
	default:
		fn()
	}
}

// storeFor returns the store as an instance reaches it.
func (w *simulation) storeFor(n *node) objectstore.Store {
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

func (w *simulation) deliver(from *node, l *Ledger, peer string, ask wire.QuotaAsk, done func(wire.QuotaAnswer, error)) {
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

func (w *simulation) delay() time.Duration {
	if w.rng.Float64() < w.late {
		return time.Duration(w.rng.Int63n(int64(2 * time.Second)))
	}

	return w.latency/2 + time.Duration(w.rng.Int63n(int64(w.latency)))
}

// publishMembers passes the live members to the instances that reach the store.
func (w *simulation) publishMembers() {
	if w.down {
		return
	}
	var live []wire.QuotaMember
	for _, name := range w.names {
		n := w.nodes[name]
		lost := !n.alive || n.paused || n.cut
		switch {
		case !lost:
			n.listedUntil = w.clock.Now().Add(3 * _listLag)
			live = append(live, n.self)
		case w.clock.Now().Before(n.listedUntil):
			live = append(live, n.self)
		}
	}
	for _, name := range w.names {
		if n := w.nodes[name]; n.alive && !n.cut && !n.paused {
			n.ledger.SetMembers(live)
		}
	}
}

// call is a request of a caller.
type call struct {
	node      *node
	workspace string
	id        string
	most      int64
	used      int64
	runs      time.Duration
}

// send reserves tokens as Reserve does, and settles the call when it ends.
func (w *simulation) send(c call, then func(admitted bool)) {
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
	outcome, b, key := l.tryReserve(c.workspace, c.id, c.most)
	if outcome.Status == Refused && l.enqueueWaiter(b, key, c.most, finish) != nil {
		return
	}
	finish(outcome)
}

func (w *simulation) record(kind wire.HistoryEventKind, c call, at time.Time, tokens int64) {
	w.events = append(w.events, wire.HistoryEvent{
		Kind:              kind,
		AtUnixNanoseconds: int(at.UnixNano()),
		Instance:          c.node.self.Instance,
		Workspace:         c.workspace,
		RequestID:         c.id,
		Tokens:            int(tokens),
	})
}

// check returns the time windows that exceed rate and burst.
func (w *simulation) check() []history.Violation {
	return history.CheckRate(w.events, w.phases)
}

// addLimits adds the limits in force from a time on, for check.
func (w *simulation) addLimits(from time.Time, limits []Limit) {
	for _, limit := range limits {
		w.phases = append(w.phases, history.RateLimit{
			Workspace:           limit.Workspace,
			FromUnixNanoseconds: int(from.UnixNano()),
			RateTokensPerSecond: limit.RateTokensPerSecond,
			BurstTokens:         limit.BurstTokens,
		})
	}
}

// scale multiplies all limits by a factor. The change reaches the instances one
// after the other. The larger limit is allowed until it has reached the last and
// that one's loans have ended.
func (w *simulation) scale(factor float64) {
	old, limits := w.limits, slices.Clone(w.limits)
	for i := range limits {
		limits[i].RateTokensPerSecond *= factor
		limits[i].BurstTokens *= factor
	}
	if factor > 1 {
		w.addLimits(w.clock.Now(), limits)
	} else {
		w.addLimits(w.clock.Now().Add(_limitSpreadTime+w.life), limits)
	}
	w.clock.After(_limitSpreadTime, func(time.Time) { w.limits = limits })
	w.limits = old
	for _, name := range w.names {
		n := w.nodes[name]
		w.clock.After(time.Duration(w.rng.Int63n(int64(_limitSpreadTime))), func(time.Time) {
			l := n.ledger
			w.afterPause(n, l, func() { l.SetLimits(limits) })
		})
	}
}

// running returns the instances that accept calls.
func (w *simulation) running() []*node {
	var nodes []*node
	for _, name := range w.names {
		if n := w.nodes[name]; n.alive && !n.paused {
			nodes = append(nodes, n)
		}
	}

	return nodes
}

// pause stops an instance for a time. Events during the pause are handled after
// it.
func (w *simulation) pause(n *node, d time.Duration) {
	l := n.ledger
	n.paused = true
	w.clock.After(d, func(time.Time) { w.wake(n, l) })
}

func (w *simulation) wake(n *node, l *Ledger) {
	if n.ledger != l || !n.paused {
		return
	}
	n.paused = false
	awake := n.deferred
	n.deferred = nil
	for _, fn := range awake {
		fn()
	}
}

// injectFault causes one random failure.
func (w *simulation) injectFault() {
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

// isolate disconnects an instance from its peers and the store, but not from
// callers.
func (w *simulation) isolate(n *node, d time.Duration) {
	n.side, n.cut = 9, true
	w.clock.After(d, func(time.Time) { n.side, n.cut = 0, false })
}

func (w *simulation) outage(d time.Duration) {
	w.down = true
	w.store.SetFaults(standin.StoreFaults{Down: true})
	w.clock.After(d, func(time.Time) {
		w.down = false
		w.store.SetFaults(standin.StoreFaults{})
	})
}

// split partitions the network in two. If cut is set, one side has no store.
func (w *simulation) split(d time.Duration, cut bool) {
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

// flood sends many times the rate of each workspace to all instances while
// failures happen. It alternates with idle phases in which the buckets fill.
func (w *simulation) flood(length time.Duration, faultsPerSecond float64) {
	end := w.clock.Now().Add(length)
	for w.clock.Now().Before(end) {
		w.clock.Advance(_step)
		if w.rng.Float64() < faultsPerSecond*_step.Seconds() {
			w.injectFault()
		}
		if w.clock.Now().Sub(w.start)/_floodPhase%2 == 0 {
			continue
		}
		for _, limit := range w.limits {
			for _, n := range w.running() {
				w.floodOnce(n, limit)
			}
		}
	}
}

func (w *simulation) floodOnce(n *node, limit Limit) {
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
		w.pauseDuringCharge(n, time.Duration(w.rng.Int63n(int64(5*time.Second))))
		c.most = max(c.most, int64(0.9*l.buckets.Load().byName[limit.Workspace].level))
		c.used = c.most
	}
	w.send(c, func(bool) {})
	l.disabled.beforeClockRecheck = nil
}

// pauseDuringCharge pauses an instance between the charge of its next call and
// the second reading of the clock.
func (w *simulation) pauseDuringCharge(n *node, d time.Duration) {
	l := n.ledger
	l.disabled.beforeClockRecheck = func() {
		l.disabled.beforeClockRecheck = nil
		n.paused = true
		w.clock.Advance(d)
		n.paused = false
		w.clock.After(0, func(time.Time) {
			awake := n.deferred
			n.deferred = nil
			for _, fn := range awake {
				fn()
			}
		})
	}
}
