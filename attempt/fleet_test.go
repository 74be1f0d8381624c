package attempt

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cenkalti/backoff/v5"

	"papayastair.dev/papayastair/history"
	"papayastair.dev/papayastair/objectstore"
	"papayastair.dev/papayastair/ring"
	"papayastair.dev/papayastair/service"
	"papayastair.dev/papayastair/standin"
	"papayastair.dev/papayastair/timer"
	"papayastair.dev/papayastair/wire"
)

const (
	_testStoreTimeout = 300 * time.Millisecond
	_testPeerTimeout  = 500 * time.Millisecond
	_testTravel       = 2500 * time.Microsecond
)

// fleet runs the shards and tickets of several instances in virtual time,
// in one goroutine, before one store and one service.
type fleet struct {
	rng    *rand.Rand
	clock  *timer.Service
	cfg    Config
	memory *standin.Store
	store  objectstore.Store
	nodes  []*node
	events []wire.HistoryEvent
	// answers are the bodies of the answers that callers got, by key.
	answers map[string][]string
	// beginTimes are how long begins took, outcomes how they ended.
	beginTimes []time.Duration
	outcomes   map[Kind]int

	// written are the bytes of all writes of objects.
	written int

	// Faults in force.
	storeDown, loseReplies, lateWrites   bool
	loseServiceReplies, refuseConnection bool
	losePeers                            bool
	// forwards says that shards have owners.
	forwards bool
	// pauseAfterRecord pauses the next instance whose call may run.
	pauseAfterRecord time.Duration
}

// node is one start of one instance.
type node struct {
	name        string
	offset      time.Duration
	timer       *timer.Service
	book        *Book
	busy        []bool
	dead        bool
	pausedUntil time.Time
}

func newFleet(seed uint64, nodes int, cfg Config) *fleet {
	start := time.UnixMilli(1_800_000_000_000)
	f := &fleet{
		rng:      rand.New(rand.NewPCG(seed, 4)),
		clock:    timer.NewVirtual(start),
		cfg:      cfg,
		memory:   standin.NewStore(),
		answers:  map[string][]string{},
		outcomes: map[Kind]int{},
	}
	f.store = f.memory.Platform()
	put := f.store.Put
	f.store.Put = func(ctx context.Context, kind, name, value string, version int) (int, error) {
		f.written += len(value)

		return put(ctx, kind, name, value, version)
	}
	for i := range nodes {
		f.nodes = append(f.nodes, f.start(fmt.Sprint("instance-", i), 0, 1))
	}

	return f
}

func (f *fleet) start(name string, offset time.Duration, incarnation int) *node {
	cfg := f.cfg.withDefaults()
	cfg.Instance = name
	cfg.Incarnation = incarnation
	cfg.NewBackoff = func() *backoff.ExponentialBackOff {
		b := objectstore.NewBackoff()
		b.RandomizationFactor = 0

		return b
	}
	cfg.Timer = timer.NewVirtual(f.clock.Now().Add(offset))
	n := &node{
		name:   name,
		offset: offset,
		timer:  cfg.Timer,
		book: &Book{
			cfg: cfg,
			ctx: context.Background(),
		},
		busy: make([]bool, cfg.Shards),
	}
	n.book.cfg.Forward = func(shard int, request wire.AttemptRequest, done func(wire.AttemptReply, error)) bool {
		return f.forward(n, shard, request, done)
	}
	for i := range cfg.Shards {
		n.book.writers = append(n.book.writers, &writer{
			cfg:        &n.book.cfg,
			shard:      newShard(&n.book.cfg, fmt.Sprint("shard-", i)),
			operations: ring.New[*operation](_ringSize),
		})
	}

	return n
}

// kill ends a node and starts its next incarnation.
func (f *fleet) kill(i int) {
	n := f.nodes[i]
	n.dead = true
	f.nodes[i] = f.start(n.name, n.offset, n.book.cfg.Incarnation+1)
}

// after calls fn in virtual time.
func (f *fleet) after(d time.Duration, fn func()) {
	f.clock.After(max(d, 0), func(time.Time) { fn() })
}

// on runs fn at a node when it isn't paused, and not at all when it is dead.
func (f *fleet) on(n *node, fn func()) {
	now := f.clock.Now()
	if n.dead {
		return
	}
	if now.Before(n.pausedUntil) {
		f.after(n.pausedUntil.Sub(now), func() { f.on(n, fn) })

		return
	}
	n.timer.Advance(now.Add(n.offset).Sub(n.timer.Now()))
	fn()
}

// carry does for one shard what writer.run does.
func (f *fleet) carry(n *node, i int) {
	f.on(n, func() {
		if n.busy[i] {
			return
		}
		w := n.book.writers[i]
		w.takeIn()
		st := w.shard.plan(n.timer.Now())
		if st.kind == stepWait {
			if !st.until.IsZero() {
				f.after(st.until.Sub(n.timer.Now()), func() { f.carry(n, i) })
			}

			return
		}
		n.busy[i] = true
		f.call(st, func(r stepResult) {
			f.on(n, func() {
				n.busy[i] = false
				w.shard.done(st, r, n.timer.Now())
				f.carry(n, i)
			})
		})
	})
}

// call carries a step out at the store, with the faults in force.
func (f *fleet) call(st step, reply func(stepResult)) {
	ctx := context.Background()
	effect := func() stepResult {
		return (&writer{cfg: &Config{Store: f.store}}).do(ctx, st)
	}
	fail := func(code objectstore.Code) stepResult { return stepResult{err: &objectstore.Error{Code: code}} }
	f.after(_testTravel, func() {
		switch {
		case f.storeDown:
			f.after(_testTravel, func() { reply(fail(objectstore.CodeNotRun)) })
		case f.lateWrites && st.kind == stepPut && f.rng.IntN(2) == 0:
			f.after(time.Duration(f.rng.IntN(2000))*time.Millisecond, func() { effect() })
			f.after(_testStoreTimeout, func() { reply(fail(objectstore.CodeUnknown)) })
		case f.loseReplies && f.rng.IntN(3) > 0:
			if f.rng.IntN(4) > 0 {
				effect()
			}
			f.after(_testStoreTimeout, func() { reply(fail(objectstore.CodeUnknown)) })
		default:
			r := effect()
			f.after(_testTravel, func() { reply(r) })
		}
	})
}

// request lets a caller send a call to an instance.
func (f *fleet) request(i int, key, id string) {
	n := f.nodes[i]
	arrived := f.clock.Now()
	f.on(n, func() {
		call := Call{
			Workspace:      "brazos",
			IdempotencyKey: key,
			BodyHash:       "filing " + key,
		}
		n.book.start(call, func(outcome Outcome) {
			f.beginTimes = append(f.beginTimes, f.clock.Now().Sub(arrived))
			if outcome.Kind != KindRun {
				f.answered(outcome, key, id)

				return
			}
			if f.pauseAfterRecord > 0 {
				n.pausedUntil = f.clock.Now().Add(f.pauseAfterRecord)
				f.pauseAfterRecord = 0
			}
			f.on(n, func() { f.send(n, outcome.Ticket, key, id) })
		})
		f.carryKey(n, call.recordKey())
	})
}

// forward carries a request from a node to the owner of its shard, which is
// the same for all nodes, and the reply back. Either may be lost.
func (f *fleet) forward(n *node, shard int, request wire.AttemptRequest, done func(wire.AttemptReply, error)) bool {
	owner := f.nodes[shard%len(f.nodes)]
	if !f.forwards || owner.name == n.name {
		return false
	}
	replied := false
	reply := func(r wire.AttemptReply, err error) {
		f.on(n, func() {
			if !replied {
				replied = true
				done(r, err)
				f.carryKey(n, request.Record.Key)
			}
		})
	}
	f.after(_testPeerTimeout, func() { reply(wire.AttemptReply{}, errors.New("timeout")) })
	if f.losePeers && f.rng.IntN(3) == 0 {
		return true
	}
	f.after(_testTravel, func() {
		f.on(owner, func() {
			owner.book.accept(request, func(r wire.AttemptReply) {
				if !f.losePeers || f.rng.IntN(2) == 0 {
					f.after(_testTravel, func() { reply(r, nil) })
				}
			})
			f.carryKey(owner, request.Record.Key)
		})
	})

	return true
}

// carryKey carries the shard of a key, now and when begins are refused.
func (f *fleet) carryKey(n *node, key string) {
	i := n.book.shardOf(key)
	f.after(0, func() { f.carry(n, i) })
	f.after(n.book.cfg.BeginTimeout, func() { f.carry(n, i) })
}

// send runs a call at the service as Book.Do does. The answer's body is the
// id of the request that ran.
func (f *fleet) send(n *node, ticket *Ticket, key, id string) {
	end := func(kind operationKind, outcome Outcome) {
		f.on(n, func() {
			switch kind {
			case operationFinish:
				ticket.Finish(outcome.Answer)
			case operationRelease:
				ticket.end(kind, ticket.record, nil)
			case operationBegin:
			}
			f.carryKey(n, ticket.record.Key)
			f.answered(outcome, key, id)
		})
	}
	if !ticket.MaySend() {
		end(operationRelease, notRun("late"))

		return
	}
	f.after(_testTravel, func() {
		if f.refuseConnection {
			end(operationRelease, notRun("refused"))

			return
		}
		f.events = append(f.events, wire.HistoryEvent{
			Kind:              wire.HistoryEventKindAttemptRan,
			AtUnixNanoseconds: int(f.clock.Now().UnixNano()),
			RequestID:         id,
			IdempotencyKey:    key,
		})
		if f.loseServiceReplies {
			f.after(time.Second, func() { end(operationBegin, unknown("lost")) })

			return
		}
		f.after(time.Duration(f.rng.IntN(100))*time.Millisecond, func() {
			end(operationFinish, Outcome{
				Kind: KindDone,
				Answer: Answer{
					Status:  200,
					Headers: []service.Header{{Name: "Content-Type", Value: "text/plain"}},
					Body:    []byte(id),
				},
			})
		})
	})
}

// answered writes down what a caller was told.
func (f *fleet) answered(outcome Outcome, key, id string) {
	f.outcomes[outcome.Kind]++
	told := wire.HistoryEventOutcomeUnknown
	switch outcome.Kind {
	case KindNotRun, KindMismatch:
		told = wire.HistoryEventOutcomeNotRun
	case KindDone, KindSaved:
		told = wire.HistoryEventOutcomeDone
		f.answers[key] = append(f.answers[key], string(outcome.Answer.Body))
	case KindRun, KindUnknown, kindStored:
	}
	f.events = append(f.events, wire.HistoryEvent{
		Kind:              wire.HistoryEventKindAnswered,
		AtUnixNanoseconds: int(f.clock.Now().UnixNano()),
		RequestID:         id,
		IdempotencyKey:    key,
		Outcome:           told,
	})
}

// check holds what callers were told against the service's account.
func (f *fleet) check() []string {
	var wrong []string
	for _, v := range append(history.CheckAtMostOnce(f.events), history.CheckNotRun(f.events)...) {
		wrong = append(wrong, v.Check+": "+v.Detail)
	}
	ran := map[string]string{}
	for _, e := range f.events {
		if e.Kind == wire.HistoryEventKindAttemptRan {
			ran[e.IdempotencyKey] = e.RequestID
		}
	}
	for key, bodies := range f.answers {
		for _, body := range bodies {
			if body != ran[key] {
				wrong = append(wrong, fmt.Sprintf("Answer: key %s: ran as %q, answered %q", key, ran[key], body))
			}
		}
	}

	return wrong
}
