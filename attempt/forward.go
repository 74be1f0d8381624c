package attempt

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"papayastair.dev/papayastair/peer"
	"papayastair.dev/papayastair/wire"
)

const (
	_applyMethod  = "Attempt.Apply"
	_applyTimeout = 1200 * time.Millisecond
)

// _operations are those that a peer may ask for.
var _operations = []operationKind{operationBegin, operationFinish, operationRelease}

// Owner is the instance, out of the names of those alive, that should write a
// shard. Instances that agree on the names agree on the owner, and a change
// of the names moves few shards. It is empty without names.
func Owner(shard int, names []string) string {
	if len(names) == 0 {
		return ""
	}
	sorted := slices.Sorted(slices.Values(names))

	return rendezvous.New(sorted, xxhash.Sum64String).Lookup(fmt.Sprint("shard-", shard))
}

// ForwardTo returns a function for Config.Forward that calls the instance at
// the peer address that owner gives for a shard; an empty address stands for
// this instance.
func ForwardTo(pool *peer.Pool, owner func(shard int) (address string)) func(shard int, request wire.AttemptRequest, done func(wire.AttemptReply, error)) bool {
	return func(shard int, request wire.AttemptRequest, done func(wire.AttemptReply, error)) bool {
		address := owner(shard)
		if address == "" {
			return false
		}
		peer.Go(pool, _applyTimeout, address, _applyMethod, request, done)

		return true
	}
}

// Register lets peers forward operations to a book. Call it before the server
// serves.
func Register(server *peer.Server, b *Book) {
	peer.Register(server, _applyMethod, func(request wire.AttemptRequest) (wire.AttemptReply, error) {
		done := make(chan wire.AttemptReply, 1)
		b.accept(request, func(reply wire.AttemptReply) { done <- reply })

		return <-done, nil
	})
}

// accept carries out a peer's request and delivers the reply, at the latest
// after BeginTimeout. A begin that was refused never takes effect later: its
// record is released if it is stored all the same.
func (b *Book) accept(request wire.AttemptRequest, deliver func(wire.AttemptReply)) {
	if b.closed.Load() || !slices.Contains(_operations, request.Operation) {
		deliver(replyOf(notRun("the instance stops, or doesn't know " + string(request.Operation))))

		return
	}
	now := b.cfg.Timer.Now()
	timeout := min(b.cfg.BeginTimeout, time.Duration(request.TimeoutMilliseconds)*time.Millisecond)
	b.submit(&operation{
		kind:     request.Operation,
		record:   request.Record,
		arrived:  now,
		deadline: now.Add(timeout),
		result:   b.newResult(func(outcome Outcome) { deliver(replyOf(outcome)) }),
	})
}

func replyOf(outcome Outcome) wire.AttemptReply {
	return wire.AttemptReply{
		Outcome: wire.AttemptReplyOutcome(outcome.Kind),
		Answer:  outcome.Answer.stored(len(outcome.Answer.Body)),
		Reason:  outcome.Reason,
	}
}

func outcomeOf(reply wire.AttemptReply) Outcome {
	if reply.Outcome == wire.AttemptReplyOutcomeSaved {
		return savedOutcome(reply.Answer)
	}

	return Outcome{
		Kind:   Kind(reply.Outcome),
		Reason: reply.Reason,
	}
}

// forward hands an operation to the instance that writes its shard, if that
// is another one.
func (b *Book) forward(o *operation, done func(wire.AttemptReply, error)) bool {
	if b.cfg.Forward == nil {
		return false
	}
	b.forwards.Add(1)
	forwarded := b.cfg.Forward(b.shardOf(o.record.Key), wire.AttemptRequest{
		Operation:           o.kind,
		Record:              o.record,
		TimeoutMilliseconds: int(b.cfg.BeginTimeout / time.Millisecond),
	}, func(reply wire.AttemptReply, err error) {
		defer b.forwards.Done()
		done(reply, err)
	})
	if !forwarded {
		b.forwards.Done()
	}

	return forwarded
}

// begin forwards a begin, or submits it here. When forwarding fails, the
// other instance may still store the record and may still release it, so the
// attempt is given up for a new one, which alone the ticket then stands for.
func (b *Book) begin(ticket *Ticket, o *operation) {
	forwarded := b.forward(o, func(reply wire.AttemptReply, err error) {
		if err == nil && reply.Outcome != wire.AttemptReplyOutcomeNotRun {
			if !o.result.settle(outcomeOf(reply)) && reply.Outcome == wire.AttemptReplyOutcomeRun {
				b.release(o.record)
			}

			return
		}
		b.release(o.record)
		if o.result.isSettled() {
			return
		}
		if !b.cfg.unsafe.reuseAttempt {
			ticket.record.Attempt = b.nextAttempt()
		}
		o.record = ticket.record
		b.submit(o)
	})
	if !forwarded {
		b.submit(o)
	}
}

// release removes the record of an attempt that is given up.
func (b *Book) release(record wire.AttemptRecord) {
	b.submit(&operation{
		kind:    operationRelease,
		record:  record,
		arrived: b.cfg.Timer.Now(),
		result:  &result{},
	})
}

// end forwards the last operation of a ticket, or submits it here. Carrying
// it out twice does no harm.
func (b *Book) end(o *operation) {
	forwarded := b.forward(o, func(reply wire.AttemptReply, err error) {
		if err != nil || reply.Outcome != wire.AttemptReplyOutcomeStored {
			b.submit(o)

			return
		}
		o.result.settle(outcomeOf(reply))
	})
	if !forwarded {
		b.submit(o)
	}
}
