package instance

import (
	"context"
	"time"

	"github.com/gofiber/fiber/v3"

	"papayastair.dev/papayastair/attempt"
	"papayastair.dev/papayastair/gateway"
	"papayastair.dev/papayastair/objectstore"
	"papayastair.dev/papayastair/routing"
	"papayastair.dev/papayastair/service"
	"papayastair.dev/papayastair/wire"
)

const (
	_serviceRetryAfter = 2 * time.Second
	// _repeatPause is how long a repeat waits for the answer of a call that
	// runs, doubled each time up to _maxRepeatPause.
	_repeatPause    = 50 * time.Millisecond
	_maxRepeatPause = time.Second
)

// newBook makes the records of calls that may not run twice.
func (i *Instance) newBook() {
	i.book = attempt.New(attempt.Config{
		Instance:    i.cfg.Name,
		Incarnation: i.self.Incarnation,
		Timer:       i.timer,
		Store:       i.platform.Store("Attempt"),
		Log:         i.log,
		Registry:    i.registry,
		Forward:     attempt.ForwardTo(i.pool, i.shardOwner),
	})
	attempt.Register(i.peers, i.book)
}

// shardOwner is the peer address of the instance that writes a shard of
// records, or empty for this one.
func (i *Instance) shardOwner(shard int) string {
	names := []string{i.cfg.Name}
	addresses := map[string]string{}
	for _, m := range i.members.Peers() {
		if m.State != wire.MemberStateLeaving {
			names = append(names, m.Name)
			addresses[m.Name] = m.PeerAddress
		}
	}

	return addresses[attempt.Owner(shard, names)]
}

// callService calls a plain service: one that may not run twice under a
// record of its attempt, the others at once.
func (i *Instance) callService(ctx context.Context, call gateway.ServiceCall) gateway.ServiceAnswer {
	if !call.Route.NonIdempotent {
		return plainAnswer(i.send(ctx, call))
	}
	recorded := attempt.Call{
		Workspace:      call.Work.Caller.Workspace,
		IdempotencyKey: call.Route.Path + " " + call.IdempotencyKey,
		BodyHash:       attempt.Digest([]byte(call.Method), []byte(call.Query), []byte(call.ContentType), call.Body),
	}
	sent := false
	run := func(ctx context.Context) service.Outcome {
		sent = true

		return i.send(ctx, call)
	}
	outcome := i.book.Do(ctx, recorded, run)
	// Another call with the key may be running: its answer is worth a wait.
	for pause := _repeatPause; outcome.Kind == attempt.KindUnknown && !sent && pause < _maxRepeatPause; pause *= 2 {
		if objectstore.Sleep(ctx, pause) != nil {
			break
		}
		outcome = i.book.Do(ctx, recorded, run)
	}

	return recordedAnswer(outcome)
}

// send calls one backend server of the service, and the next one only when
// the call has certainly not run.
func (i *Instance) send(ctx context.Context, call gateway.ServiceCall) service.Outcome {
	outcome := service.Outcome{
		Kind:   service.KindNotRun,
		Reason: "no backend server of " + call.Route.Service + " is usable",
	}
	var tried []string
	for ctx.Err() == nil {
		decision := i.table.Choose(routing.Request{
			Model:         call.Route.Service,
			InputTokens:   1,
			OutputTokens:  1,
			Priority:      call.Work.Priority,
			FailureDomain: i.cfg.FailureDomain,
			Exclude:       tried,
			Retry:         len(tried) > 0,
		})
		if decision.Ticket == nil {
			return outcome
		}
		outcome = i.services.Do(ctx, serviceCall(i.addressOf(decision.Server), call))
		i.table.Done(decision.Ticket, routing.Result{Outcome: serviceOutcome(outcome)})
		if outcome.Kind != service.KindNotRun {
			return outcome
		}
		tried = append(tried, decision.Server)
	}

	return outcome
}

func serviceCall(address string, call gateway.ServiceCall) service.Call {
	return service.Call{
		Address: address,
		Method:  call.Method,
		Path:    call.Route.TargetPath,
		Query:   call.Query,
		Headers: []service.Header{{
			Name:  fiber.HeaderContentType,
			Value: call.ContentType,
		}},
		Body:           call.Body,
		RequestID:      call.Work.ID,
		IdempotencyKey: call.IdempotencyKey,
		NonIdempotent:  call.Route.NonIdempotent,
		CallerKey:      call.CallerKey,
	}
}

// serviceOutcome is how routing sees the end of a call.
func serviceOutcome(outcome service.Outcome) routing.Outcome {
	switch outcome.Kind {
	case service.KindDone:
		return routing.OutcomeOK
	case service.KindNotRun:
		return routing.OutcomeRefused
	default:
		return routing.OutcomeFailed
	}
}

// plainAnswer is the answer of a call without a record.
func plainAnswer(outcome service.Outcome) gateway.ServiceAnswer {
	switch outcome.Kind {
	case service.KindDone:
		return gateway.ServiceAnswer{
			Outcome:     gateway.OutcomeDone,
			Status:      outcome.Status,
			ContentType: outcome.Header(fiber.HeaderContentType),
			Body:        outcome.Body,
		}
	case service.KindNotRun:
		return gateway.ServiceAnswer{
			Outcome:    gateway.OutcomeNotRun,
			Code:       "service_unavailable",
			Reason:     outcome.Reason,
			RetryAfter: _serviceRetryAfter,
		}
	default:
		return gateway.ServiceAnswer{
			Outcome: gateway.OutcomeUnknown,
			Code:    "outcome_unknown",
			Reason:  outcome.Reason,
		}
	}
}

// recordedAnswer is the answer of a call with a record.
func recordedAnswer(outcome attempt.Outcome) gateway.ServiceAnswer {
	switch outcome.Kind {
	case attempt.KindDone, attempt.KindSaved:
		answer := gateway.ServiceAnswer{
			Outcome: gateway.OutcomeDone,
			Saved:   outcome.Kind == attempt.KindSaved,
			Status:  outcome.Answer.Status,
			Body:    outcome.Answer.Body,
		}
		for _, header := range outcome.Answer.Headers {
			if header.Name == fiber.HeaderContentType {
				answer.ContentType = header.Value
			}
		}

		return answer
	case attempt.KindNotRun:
		return gateway.ServiceAnswer{
			Outcome:    gateway.OutcomeNotRun,
			Code:       "service_unavailable",
			Reason:     outcome.Reason,
			RetryAfter: _serviceRetryAfter,
		}
	case attempt.KindMismatch:
		return gateway.ServiceAnswer{
			Outcome: gateway.OutcomeNotRun,
			Code:    "idempotency_key_reused",
			Reason:  outcome.Reason,
		}
	default:
		return gateway.ServiceAnswer{
			Outcome: gateway.OutcomeUnknown,
			Code:    "outcome_unknown",
			Reason:  outcome.Reason,
		}
	}
}
