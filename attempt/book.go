// Package attempt runs non-idempotent calls at most once. A Book keeps a
// record of each call in the platform's store, created before the call leaves
// and completed with the answer. A repeat with the same workspace and
// idempotency key, at any instance within the record's life, gets the saved
// answer, or KindUnknown, and is never a second run.
//
// Use Do, which takes the steps in the right order:
//
//	outcome := book.Do(ctx, call, func(ctx context.Context) service.Outcome {
//		return services.Do(ctx, serviceCall)
//	})
//
// Records of many calls share one object of the store, a shard, and one
// conditional write. The store's version alone makes this safe; any instance
// may write any shard. Older records of a shard move into segments, objects
// that never change and that the shard names.
package attempt

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/conc"

	"papayastair.dev/papayastair/event"
	"papayastair.dev/papayastair/objectstore"
	"papayastair.dev/papayastair/ring"
	"papayastair.dev/papayastair/service"
	"papayastair.dev/papayastair/timer"
	"papayastair.dev/papayastair/wire"
)

const (
	_ringSize     = 1024
	_storeTimeout = 2 * time.Second
	_closeTimeout = 5 * time.Second
	_batchSample  = 1028
	_batchAlpha   = 0.015
)

// Config is what a Book is made of. Zero values of the fields from Shards on
// stand for the defaults named there.
type Config struct {
	// Instance and Incarnation name this start of a process; together they
	// are unique.
	Instance    string
	Incarnation int
	// Timer is the clock.
	Timer *timer.Service
	// Store is the way to the records.
	Store objectstore.Store
	// Log takes the events.
	Log *event.Log
	// Registry takes the metrics; nil stands for one that nobody reads:
	//
	//	Attempt.Begin            time of Begin
	//	Attempt.Outcome.<Kind>   outcomes of Begin
	//	Attempt.Batch            operations in a write of a shard
	Registry metrics.Registry
	// Forward hands a request to the instance that writes a shard, and calls
	// done once with its reply. It reports false, and does nothing, when this
	// instance is to write the shard itself. It saves writes that conflict,
	// and nothing is lost if instances disagree on who writes. It may be nil.
	Forward func(shard int, request wire.AttemptRequest, done func(wire.AttemptReply, error)) bool
	// NewBackoff returns the waits between tries; nil means those of package
	// platform.
	NewBackoff func() *backoff.ExponentialBackOff

	// Shards is the number of objects that records are spread over. It must
	// be the same at all instances and never change. Default 16.
	Shards int
	// Life is how long a record is kept, and so how long a repeat is never a
	// second run. Default 24 h.
	Life time.Duration
	// MaxClockDifference is the largest difference between the clocks of two
	// instances; records are kept so much longer. Default 5 min.
	MaxClockDifference time.Duration
	// BeginTimeout is how long a call waits for its record. Default 1 s.
	BeginTimeout time.Duration
	// SendTimeout is how long after its beginning a call may still leave. A
	// process that was paused for longer gives the call up. It must be far
	// below Life. Default 30 s.
	SendTimeout time.Duration
	// AnswerWait is how long a record without an answer stays where one can
	// be added. Default 10 min.
	AnswerWait time.Duration
	// BeginWindow and FinishWindow are how long new records and answers wait
	// for others to share a write; while a write is on its way, all wait for
	// the next. FinishWindow must be well below BeginTimeout, or an answer
	// that was forwarded is taken for lost. Defaults 5 ms and 100 ms.
	BeginWindow  time.Duration
	FinishWindow time.Duration
	// MaxAnswerBytes is the largest body that is saved. A repeat of a call
	// with a larger one gets KindUnknown with the status. Default 32 KiB.
	MaxAnswerBytes int
	// SpillBytes is the size of a shard from which older records move into a
	// segment. Default 32 KiB.
	SpillBytes int

	unsafe unsafeConfig
}

// unsafeConfig switches guards off, for tests that show what they are for.
type unsafeConfig struct {
	// sendBeforeRecord lets calls leave before their record is stored.
	sendBeforeRecord bool
	// blindRetry repeats a write of unknown outcome and takes a conflict for
	// its success.
	blindRetry bool
	// removeEarly removes records long before the end of their life.
	removeEarly bool
	// reuseAttempt tries an attempt here that another instance may release.
	reuseAttempt bool
	// sendLate lets calls leave however long ago they began.
	sendLate bool
}

func (cfg Config) withDefaults() Config {
	if cfg.Registry == nil {
		cfg.Registry = metrics.NewRegistry()
	}
	if cfg.NewBackoff == nil {
		cfg.NewBackoff = objectstore.NewBackoff
	}
	orDefault(&cfg.Shards, 16)
	orDefault(&cfg.Life, 24*time.Hour)
	orDefault(&cfg.MaxClockDifference, 5*time.Minute)
	orDefault(&cfg.BeginTimeout, time.Second)
	orDefault(&cfg.SendTimeout, 30*time.Second)
	orDefault(&cfg.AnswerWait, 10*time.Minute)
	orDefault(&cfg.BeginWindow, 5*time.Millisecond)
	orDefault(&cfg.FinishWindow, 100*time.Millisecond)
	orDefault(&cfg.MaxAnswerBytes, 32<<10)
	orDefault(&cfg.SpillBytes, 32<<10)

	return cfg
}

func orDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Book keeps the records of non-idempotent calls. Use New. It is safe for
// concurrent use.
type Book struct {
	cfg     Config
	writers []*writer
	last    atomic.Int64
	wg      conc.WaitGroup
	// forwards are the requests on their way to other instances.
	forwards sync.WaitGroup
	ctx      context.Context
	cancel   context.CancelFunc
	closing  chan struct{}
	closed   atomic.Bool
}

// New starts a book with one goroutine for each shard.
func New(cfg Config) *Book {
	ctx, cancel := context.WithCancel(context.Background())
	b := &Book{
		cfg:     cfg.withDefaults(),
		ctx:     ctx,
		cancel:  cancel,
		closing: make(chan struct{}),
	}
	for i := range b.cfg.Shards {
		w := &writer{
			cfg:        &b.cfg,
			shard:      newShard(&b.cfg, fmt.Sprintf("shard-%d", i)),
			operations: ring.New[*operation](_ringSize),
			wake:       make(chan struct{}, 1),
			closing:    b.closing,
			batch:      metrics.GetOrRegisterHistogram("Attempt.Batch", b.cfg.Registry, metrics.NewExpDecaySample(_batchSample, _batchAlpha)),
		}
		b.writers = append(b.writers, w)
		b.wg.Go(func() { w.run(ctx) })
	}

	return b
}

// Close refuses new calls, waits for the requests that were forwarded, saves
// the answers that wait, for at most 5 s, and waits for the goroutines. No
// ticket may be finished after it; the timer, and what Forward uses, must be
// closed later.
func (b *Book) Close() {
	if b.closed.Swap(true) {
		b.wg.Wait()

		return
	}
	b.forwards.Wait()
	stop := b.cfg.Timer.After(_closeTimeout, func(time.Time) { b.cancel() })
	close(b.closing)
	b.wg.Wait()
	stop.Stop()
	b.cancel()
}

// Do runs a call at most once: it creates the record, lets send run the call,
// and saves the answer. The outcome is KindDone with a new answer, and never
// KindRun. The answer is given out without waiting until it is saved.
func (b *Book) Do(ctx context.Context, call Call, send func(ctx context.Context) service.Outcome) Outcome {
	outcome := b.Begin(ctx, call)
	if outcome.Kind != KindRun {
		return outcome
	}
	ticket := outcome.Ticket
	if !ticket.MaySend() {
		ticket.NotSent(ctx)

		return notRun("the process was paused before the call left")
	}
	result := send(ctx)
	switch result.Kind {
	case service.KindDone:
		answer := Answer{
			Status:  result.Status,
			Headers: result.Headers,
			Body:    result.Body,
		}
		ticket.Finish(answer)

		return Outcome{
			Kind:   KindDone,
			Answer: answer,
		}
	case service.KindNotRun:
		ticket.NotSent(ctx)

		return notRun(result.Reason)
	case service.KindUnknown:
	}

	return unknown(result.Reason)
}

// Begin creates the record of a call, or finds that of an earlier one with
// the same key. With KindRun the caller must use the outcome's ticket. Begin
// returns within BeginTimeout, or earlier when ctx ends.
func (b *Book) Begin(ctx context.Context, call Call) Outcome {
	if b.closed.Load() {
		return notRun("the instance stops")
	}
	defer metrics.GetOrRegisterTimer("Attempt.Begin", b.cfg.Registry).UpdateSince(b.cfg.Timer.Now())
	done := make(chan Outcome, 1)
	begin := b.start(call, func(outcome Outcome) {
		metrics.GetOrRegisterCounter("Attempt.Outcome."+string(outcome.Kind), b.cfg.Registry).Inc(1)
		done <- outcome
	})
	select {
	case <-ctx.Done():
		begin.settle(notRun(ctx.Err().Error()))
	case <-b.ctx.Done():
		begin.settle(notRun("the instance stops"))
	case outcome := <-done:
		return outcome
	}

	return <-done
}

// start begins a call and delivers its outcome once.
func (b *Book) start(call Call, deliver func(Outcome)) *result {
	now := b.cfg.Timer.Now()
	ticket := &Ticket{
		book:   b,
		sendBy: now.Add(b.cfg.SendTimeout),
		record: wire.AttemptRecord{
			Key:                     call.recordKey(),
			BodyHash:                call.BodyHash,
			Attempt:                 b.nextAttempt(),
			ExpiresUnixMilliseconds: int(now.Add(b.cfg.Life).UnixMilli()),
		},
	}
	r := b.newResult(func(outcome Outcome) {
		if outcome.Kind == KindRun {
			outcome.Ticket = ticket
		}
		deliver(outcome)
	})
	b.begin(ticket, &operation{
		kind:     operationBegin,
		record:   ticket.record,
		arrived:  now,
		deadline: now.Add(b.cfg.BeginTimeout),
		result:   r,
	})

	return r
}

// nextAttempt is unique for each try to run a call.
func (b *Book) nextAttempt() string {
	return fmt.Sprintf("%s.%d.%d", b.cfg.Instance, b.cfg.Incarnation, b.last.Add(1))
}

// newResult returns a result that is NotRun after BeginTimeout.
func (b *Book) newResult(deliver func(Outcome)) *result {
	r := &result{deliver: deliver}
	r.late.Store(b.cfg.Timer.After(b.cfg.BeginTimeout, func(time.Time) {
		r.settle(notRun("the store did not answer in time; an earlier call with the key may have run"))
	}))

	return r
}

// submit hands an operation to the writer of its shard.
func (b *Book) submit(o *operation) {
	w := b.writers[b.shardOf(o.record.Key)]
	if o.kind == operationBegin {
		if !w.operations.TryPush(o) {
			o.result.settle(notRun("too many calls wait for their records"))
		}

		return
	}
	ctx, cancel := context.WithTimeout(b.ctx, _closeTimeout)
	defer cancel()
	w.operations.Push(ctx, o)
}

// shardOf is the shard of a record's key.
func (b *Book) shardOf(key string) int {
	return int(keyNumber(key) % uint64(len(b.writers)))
}

// Ticket is the right to run one call once.
type Ticket struct {
	book   *Book
	record wire.AttemptRecord
	sendBy time.Time
	used   atomic.Bool
}

// MaySend says whether the call may still leave. It must be asked right
// before the call leaves; a process may have been paused since Begin. The
// wall clock is asked too, since the monotonic clock stops with the machine.
func (t *Ticket) MaySend() bool {
	now := t.book.cfg.Timer.Now()
	isLate := now.After(t.sendBy) || now.Round(0).After(t.sendBy.Round(0))

	return !isLate || t.book.cfg.unsafe.sendLate
}

// Finish saves the answer of the call, in the background. A ticket that is
// neither finished nor given back leaves the outcome KindUnknown for repeats.
func (t *Ticket) Finish(answer Answer) {
	record := t.record
	record.Answer = answer.stored(t.book.cfg.MaxAnswerBytes)
	t.end(operationFinish, record, nil)
}

// NotSent gives the ticket back: the call has not left and never will. It
// waits until the record is removed, so that a repeat may run, but not past
// BeginTimeout or the end of ctx.
func (t *Ticket) NotSent(ctx context.Context) {
	done := make(chan struct{})
	if !t.end(operationRelease, t.record, func(Outcome) { close(done) }) {
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// end hands the last operation of a ticket on.
func (t *Ticket) end(kind operationKind, record wire.AttemptRecord, deliver func(Outcome)) bool {
	if t.used.Swap(true) {
		return false
	}
	t.book.end(&operation{
		kind:    kind,
		record:  record,
		arrived: t.book.cfg.Timer.Now(),
		result:  t.book.newResult(deliver),
	})

	return true
}

// result delivers the outcome of an operation once. A nil deliver drops it.
type result struct {
	done    atomic.Bool
	deliver func(Outcome)
	late    atomic.Pointer[timer.Subscription]
}

// settle delivers an outcome and reports true, unless there was one before.
func (r *result) settle(outcome Outcome) bool {
	if !r.done.CompareAndSwap(false, true) {
		return false
	}
	if late := r.late.Load(); late != nil {
		late.Stop()
	}
	if r.deliver != nil {
		r.deliver(outcome)
	}

	return true
}

func (r *result) isSettled() bool {
	return r.done.Load()
}
