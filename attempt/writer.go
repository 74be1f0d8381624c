package attempt

import (
	"context"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"papayastair.dev/papayastair/event"
	"papayastair.dev/papayastair/ring"
	"papayastair.dev/papayastair/wire"
)

// writer is the goroutine of one shard: it feeds operations to the shard and
// carries out its steps, one at a time.
type writer struct {
	cfg        *Config
	shard      *shard
	operations *ring.Ring[*operation]
	wake       chan struct{}
	closing    <-chan struct{}
	batch      metrics.Histogram
}

// run works until ctx ends, or the book closes and nothing waits any more.
func (w *writer) run(ctx context.Context) {
	defer w.abandon()
	for ctx.Err() == nil {
		w.takeIn()
		st := w.shard.plan(w.cfg.Timer.Now())
		if st.kind == stepPut && st.object.Kind == _kindShard {
			w.batch.Update(int64(len(w.shard.draft.batch)))
		}
		if st.kind != stepWait {
			w.shard.done(st, w.do(ctx, st), w.cfg.Timer.Now())

			continue
		}
		if !w.wait(ctx, st.until) {
			return
		}
	}
}

// takeIn hands the operations that have come to the shard, as far as it may
// hold them.
func (w *writer) takeIn() {
	for len(w.shard.waiting) < _maxWaiting {
		select {
		case o := <-w.operations.Out():
			w.shard.submit(o)
		default:
			return
		}
	}
}

// wait waits for an operation, until a time if it isn't zero. It reports
// false when the book closes and nothing is left to do.
func (w *writer) wait(ctx context.Context, until time.Time) bool {
	closing := w.closing
	if !until.IsZero() {
		alarm := w.cfg.Timer.After(until.Sub(w.cfg.Timer.Now()), func(time.Time) {
			select {
			case w.wake <- struct{}{}:
			default:
			}
		})
		defer alarm.Stop()
		closing = nil
	}
	select {
	case <-ctx.Done():
		return false
	case <-closing:
		return w.operations.Len() > 0
	case o := <-w.operations.Out():
		w.shard.submit(o)
	case <-w.wake:
	}

	return true
}

// do carries out a step at the store.
func (w *writer) do(ctx context.Context, st step) stepResult {
	ctx, cancel := context.WithTimeout(ctx, _storeTimeout)
	defer cancel()
	object := st.object
	switch st.kind {
	case stepGet:
		got, err := w.cfg.Store.Get(ctx, object.Kind, object.Name)

		return stepResult{
			object: got,
			err:    err,
		}
	case stepPut:
		version, err := w.cfg.Store.Put(ctx, object.Kind, object.Name, object.Value, object.Version)

		return stepResult{
			object: wire.Object{Version: version},
			err:    err,
		}
	case stepDelete:
		return stepResult{err: w.cfg.Store.Delete(ctx, object.Kind, object.Name, object.Version)}
	case stepWait:
	}
	panic("attempt: step of kind " + string(st.kind))
}

// abandon ends what waits when the writer stops.
func (w *writer) abandon() {
	w.takeIn()
	for _, o := range w.shard.waiting {
		if o.kind == operationFinish {
			w.cfg.Log.Write(event.AttemptAnswerLost, zap.String("Shard", w.shard.name), zap.String("Attempt", o.record.Attempt))
		}
		o.result.settle(notRun("the instance stops"))
	}
}
