package gateway

import (
	"errors"
	"math"
	"strconv"
	"strings"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"go.uber.org/zap"

	"papayastair.dev/papayastair/event"
)

// Outcome tells a caller what became of its request.
type Outcome string

// Outcomes. NotRun is said only when the request has not run and will not.
const (
	OutcomeDone    Outcome = "Done"
	OutcomeNotRun  Outcome = "NotRun"
	OutcomeUnknown Outcome = "Unknown"
)

// Headers of the callers' interface.
const (
	_headerRequestID   = "X-Request-Id"
	_headerOutcome     = "X-Outcome"
	_headerPriority    = "X-Priority"
	_headerTimeout     = "X-Timeout-Milliseconds"
	_headerLastEvent   = "Last-Event-Id"
	_headerIdempotency = "Idempotency-Key"
)

// problem is an error as the OpenAI-style interface shapes it.
type problem struct {
	Message    string  `json:"message"`
	Type       string  `json:"type"`
	Code       string  `json:"code"`
	Outcome    Outcome `json:"outcome"`
	RequestID  string  `json:"request_id"`
	retryAfter time.Duration
}

type problemBody struct {
	Error problem `json:"error"`
}

func notRun(code, message string, retryAfter time.Duration) problem {
	return problem{
		Message:    message,
		Type:       "server_error",
		Code:       code,
		Outcome:    OutcomeNotRun,
		retryAfter: retryAfter,
	}
}

func badRequest(code, message string) problem {
	return problem{
		Message: message,
		Type:    "invalid_request_error",
		Code:    code,
		Outcome: OutcomeNotRun,
	}
}

// refuse answers with a problem.
func (g *Gateway) refuse(c fiber.Ctx, requestID string, status int, p problem) error {
	p.RequestID = requestID
	metrics.GetOrRegisterCounter("Gateway.Refused."+p.Code, g.cfg.Registry).Inc(1)
	g.cfg.Log.Write(event.RequestRefused,
		zap.String("RequestID", requestID),
		zap.Int("Status", status),
		zap.String("Code", p.Code),
		zap.String("Outcome", string(p.Outcome)),
		zap.Duration("RetryAfter", p.retryAfter),
	)
	if p.retryAfter > 0 {
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(p.retryAfter.Seconds()))))
	}
	c.Set(_headerOutcome, string(p.Outcome))
	if requestID != "" {
		c.Set(_headerRequestID, requestID)
	}

	return c.Status(status).JSON(problemBody{Error: p})
}

// refuseKey refuses a request whose key wasn't found, and doesn't blame the key
// while keys can't be judged.
func (g *Gateway) refuseKey(c fiber.Ctx) error {
	if len(callerKey(c)) > 0 && !g.cfg.Parts.KnowsKeys() {
		return g.refuseOutOfTouch(c)
	}
	p := badRequest("invalid_api_key", "the key is missing, wrong or withdrawn")
	p.Type = "authentication_error"

	return g.refuse(c, "", fasthttp.StatusUnauthorized, p)
}

// refuseOutOfTouch refuses a request while the configuration in force may not
// be the newest.
func (g *Gateway) refuseOutOfTouch(c fiber.Ctx) error {
	return g.refuse(c, "", fasthttp.StatusServiceUnavailable,
		notRun("configuration_unavailable", "the instance can't tell which keys are valid; ask another one", time.Second))
}

// handleError answers what fiber refuses by itself: large bodies and headers,
// unknown paths and methods.
func (g *Gateway) handleError(c fiber.Ctx, err error) error {
	status := fasthttp.StatusInternalServerError
	var fail *fiber.Error
	if errors.As(err, &fail) {
		status = fail.Code
	}
	p := badRequest("refused", err.Error())
	if status >= fasthttp.StatusInternalServerError {
		p.Type = "server_error"
		p.Outcome = OutcomeUnknown
	}

	return g.refuse(c, "", status, p)
}

// clone copies a string out of a buffer that fasthttp uses again.
func clone(s string) string {
	return strings.Clone(s)
}
