package gateway

import (
	"bufio"
	"context"
	"strings"

	"github.com/gofiber/fiber/v3"
	"github.com/valyala/fasthttp"
)

const _streamingKey = "papayastair.streaming"

// isStreaming says whether the answer goes on after the handler.
func isStreaming(c fiber.Ctx) bool {
	streaming, ok := c.Locals(_streamingKey).(bool)

	return ok && streaming
}

func (g *Gateway) handleCompletion(c fiber.Ctx) error {
	caller, ok := g.authenticate(c)
	if !ok {
		return g.refuseKey(c)
	}
	req, status, p := g.parseCompletion(c, caller)
	if p != nil {
		return g.refuse(c, req.work.RequestID, status, *p)
	}
	ctx, cancel := context.WithDeadline(g.ctx, req.work.Deadline)
	defer cancel()
	if refusal := g.cfg.Parts.Reserve(ctx, req.work); refusal != nil {
		p := notRun("rate_limit_exceeded", refusal.Reason, refusal.RetryAfter)
		p.Type = "rate_limit_error"

		return g.refuse(c, req.work.RequestID, fasthttp.StatusTooManyRequests, p)
	}
	r := newRelay(g, req)
	g.register(r)
	// The key may have been withdrawn before the request was registered, and
	// CheckKeys has not seen it then.
	if !g.cfg.Parts.IsValid(caller) {
		r.finish()

		return g.refuseKey(c)
	}
	if p := r.start(ctx); p != nil {
		r.finish()

		return g.refuse(c, req.work.RequestID, statusOf(*p), *p)
	}
	c.Set(_headerRequestID, req.work.RequestID)
	if req.stream {
		return g.sendStream(c, r)
	}

	return g.sendWhole(c, r)
}

// sendStream hands the answer over to a writer that runs after the handler.
func (g *Gateway) sendStream(c fiber.Ctx, r *relay) error {
	c.Locals(_streamingKey, true)
	c.Set(fiber.HeaderContentType, "text/event-stream")
	c.Set(fiber.HeaderCacheControl, "no-cache")
	conn := c.RequestCtx().Conn()
	r.closeCaller = func() { _ = conn.Close() }
	g.active.Add(1)

	return c.SendStreamWriter(func(w *bufio.Writer) {
		defer g.active.Done()
		defer g.running.Add(-1)
		defer r.finish()
		r.streamTo(w)
	})
}

// sendWhole collects the answer and sends it as one body.
func (g *Gateway) sendWhole(c fiber.Ctx, r *relay) error {
	defer r.finish()
	var text strings.Builder
	p := r.run(func(d delivery) bool {
		text.WriteString(d.text)

		return true
	})
	if p != nil {
		return g.refuse(c, r.req.work.RequestID, statusOf(*p), *p)
	}
	c.Set(_headerOutcome, string(OutcomeDone))

	return c.JSON(r.answer(text.String()))
}

func statusOf(p problem) int {
	switch {
	case p.Code == "key_withdrawn":
		return fasthttp.StatusUnauthorized
	case p.Type == "invalid_request_error":
		return fasthttp.StatusBadRequest
	case p.Outcome == OutcomeUnknown:
		return fasthttp.StatusBadGateway
	default:
		return fasthttp.StatusServiceUnavailable
	}
}

// completionAnswer is an answer in one piece.
type completionAnswer struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   usage    `json:"usage"`
}

type choice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text,omitempty"`
	Message      *message `json:"message,omitempty"`
	FinishReason string   `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// answer shapes a complete answer.
func (r *relay) answer(text string) completionAnswer {
	a := completionAnswer{
		ID:     r.req.work.ID,
		Object: "text_completion",
		Model:  r.req.work.Target.Model,
		Usage: usage{
			PromptTokens:     r.promptTokens,
			CompletionTokens: r.delivered,
			TotalTokens:      r.promptTokens + r.delivered,
		},
	}
	c := choice{FinishReason: r.finishReason}
	if r.req.chat {
		a.Object = "chat.completion"
		c.Message = &message{
			Role:    "assistant",
			Content: text,
		}
	} else {
		c.Text = text
	}
	a.Choices = []choice{c}

	return a
}
