package gateway

import (
	"bytes"
	"context"
	"slices"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"papayastair.dev/papayastair/event"
	"papayastair.dev/papayastair/wire"
)

// ServiceCall is a call of a plain service on a caller's behalf.
type ServiceCall struct {
	// Work holds the ids and the workspace.
	Work Work
	// Route is the route that the caller used.
	Route wire.Route
	// Method, Query, ContentType and Body are the caller's.
	Method      string
	Query       string
	ContentType string
	Body        []byte
	// IdempotencyKey is the caller's, for a route that is not idempotent.
	IdempotencyKey string
	// CallerKey is the caller's key, which must not leave; a call that holds
	// it anywhere is not to be run.
	CallerKey []byte
}

// ServiceAnswer is what became of a call.
type ServiceAnswer struct {
	// Outcome says whether the call ran.
	Outcome Outcome
	// Saved says that the answer is that of an earlier run.
	Saved bool
	// Status, ContentType and Body are the service's, with OutcomeDone.
	Status      int
	ContentType string
	Body        []byte
	// Code and Reason say why there is no answer.
	Code       string
	Reason     string
	RetryAfter time.Duration
}

func (g *Gateway) handleService(c fiber.Ctx) error {
	route, ok := g.cfg.Parts.Route(clone(c.Path()))
	if !ok && !g.cfg.Parts.KnowsKeys() {
		return g.refuseOutOfTouch(c)
	}
	if !ok {
		return g.refuse(c, "", fasthttp.StatusNotFound, badRequest("route_not_found", "no such route"))
	}
	caller, ok := g.authenticate(c)
	if !ok && (!route.Open || len(callerKey(c)) > 0) {
		return g.refuseKey(c)
	}
	if p := checkServiceCall(c, route, caller); p != nil {
		return g.refuse(c, "", statusOf(*p), *p)
	}
	id := uuid.NewString()
	call := ServiceCall{
		Work: Work{
			ID:          id,
			RequestID:   requestID(c, id),
			Caller:      caller,
			InputTokens: route.CostTokens,
			Priority:    wire.PriorityLive,
			Deadline:    g.cfg.Timer.Now().Add(time.Duration(route.TimeoutMilliseconds) * time.Millisecond),
		},
		Route:          route,
		Method:         clone(c.Method()),
		Query:          string(c.Request().URI().QueryString()),
		ContentType:    clone(c.Get(fiber.HeaderContentType)),
		Body:           bytes.Clone(c.Body()),
		IdempotencyKey: clone(c.Get(_headerIdempotency)),
		CallerKey:      bytes.Clone(callerKey(c)),
	}

	return g.callService(c, call)
}

// checkServiceCall refuses what must not reach a plain service.
func checkServiceCall(c fiber.Ctx, route wire.Route, caller Caller) *problem {
	if !route.Open && len(route.Workspaces) > 0 && !slices.Contains(route.Workspaces, caller.Workspace) {
		p := badRequest("route_not_allowed", "the route is not open to this workspace")

		return &p
	}
	if route.NonIdempotent && c.Get(_headerIdempotency) == "" {
		p := badRequest("idempotency_key_missing", "the route needs an "+_headerIdempotency)

		return &p
	}

	return nil
}

func (g *Gateway) callService(c fiber.Ctx, call ServiceCall) error {
	ctx, cancel := context.WithDeadline(g.ctx, call.Work.Deadline)
	defer cancel()
	limited := call.Work.Caller.Workspace != ""
	if limited {
		if refusal := g.cfg.Parts.Reserve(ctx, call.Work); refusal != nil {
			p := notRun("rate_limit_exceeded", refusal.Reason, refusal.RetryAfter)
			p.Type = "rate_limit_error"

			return g.refuse(c, call.Work.RequestID, fasthttp.StatusTooManyRequests, p)
		}
	}
	answer := g.cfg.Parts.CallService(ctx, call)
	if limited {
		used := call.Route.CostTokens
		if answer.Outcome == OutcomeNotRun || answer.Saved {
			used = 0
		}
		g.cfg.Parts.Settle(call.Work, used)
	}
	g.cfg.Log.Write(event.RequestDone,
		zap.String("ID", call.Work.ID),
		zap.String("RequestID", call.Work.RequestID),
		zap.String("Workspace", call.Work.Caller.Workspace),
		zap.String("Service", call.Route.Service),
		zap.String("Outcome", string(answer.Outcome)),
		zap.Bool("Saved", answer.Saved),
	)
	if answer.Outcome != OutcomeDone {
		p := notRun(answer.Code, answer.Reason, answer.RetryAfter)
		p.Outcome = answer.Outcome

		return g.refuse(c, call.Work.RequestID, statusOf(p), p)
	}
	c.Set(_headerRequestID, call.Work.RequestID)
	c.Set(_headerOutcome, string(OutcomeDone))
	if answer.Saved {
		c.Set("X-Saved-Answer", "true")
	}
	c.Set(fiber.HeaderContentType, answer.ContentType)

	return c.Status(answer.Status).Send(answer.Body)
}
