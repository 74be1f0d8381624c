package gateway

import (
	"bufio"
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"papayastair.dev/papayastair/engine"
	"papayastair.dev/papayastair/event"
)

// _maxServers is how many backend servers one request may be tried on.
const _maxServers = 3

// relay carries one completion from backend servers to its caller. When a
// server fails in the middle, the rest of the answer comes from another,
// without gap or repeat.
type relay struct {
	gateway      *Gateway
	req          completionRequest
	slot         Slot
	hasSlot      bool
	delivered    int
	promptTokens int
	finishReason string
	servers      int
	closeCaller  func()
	flushSince   atomic.Int64

	mu       sync.Mutex
	stream   *engine.Stream
	canceled string
	outcome  Outcome
	started  time.Time
}

// delivery is what one chunk brings to the caller.
type delivery struct {
	raw  string
	text string
}

func newRelay(g *Gateway, req completionRequest) *relay {
	return &relay{
		gateway:   g,
		req:       req,
		delivered: req.resume,
		outcome:   OutcomeNotRun,
		started:   g.cfg.Timer.Now(),
	}
}

// start finds a backend server that accepts the request.
func (r *relay) start(ctx context.Context) *problem {
	for {
		slot, refusal := r.gateway.cfg.Parts.Acquire(ctx, r.req.work)
		if refusal != nil {
			return r.unavailable(*refusal)
		}
		r.slot, r.hasSlot = slot, true
		r.servers++
		stream, err := r.gateway.cfg.Parts.Complete(engine.Completion{
			Address:    slot.Address,
			Path:       r.req.path,
			RequestID:  r.req.work.ID,
			Priority:   string(r.req.work.Priority),
			ResumeFrom: r.delivered,
			Body:       r.req.body,
		})
		if err == nil {
			return r.attach(stream)
		}
		if p := r.failed(err); p != nil {
			return p
		}
	}
}

// unavailable is the problem of a request that finds no backend server. Once
// some server may have worked on it, it isn't called not run.
func (r *relay) unavailable(refusal Refusal) *problem {
	p := notRun("no_capacity", refusal.Reason, refusal.RetryAfter)
	p.Outcome = r.outcome

	return &p
}

// attach makes the stream known to Cancel.
func (r *relay) attach(stream *engine.Stream) *problem {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stream = stream
	r.outcome = OutcomeUnknown
	if r.canceled == "" {
		return nil
	}
	stream.Close()
	r.stream = nil
	r.release(Result{
		Outcome:  OutcomeUnknown,
		Canceled: true,
	})

	return r.canceledProblem()
}

// failed releases the server after an error and says whether the request may
// go on elsewhere: nil means that it may.
func (r *relay) failed(err error) *problem {
	outcome := engine.OutcomeOf(err)
	result := OutcomeUnknown
	if outcome == engine.OutcomeNotRun {
		result = OutcomeNotRun
	} else {
		r.outcome = OutcomeUnknown
	}
	r.mu.Lock()
	r.stream = nil
	canceled := r.canceled
	r.mu.Unlock()
	if outcome == engine.OutcomeMismatch {
		r.gateway.cfg.Log.Write(event.AnswerDropped,
			zap.String("ID", r.req.work.ID),
			zap.String("Server", r.slot.Server),
			zap.Error(err),
		)
	}
	r.release(Result{
		Outcome:      result,
		Failure:      outcome,
		Reason:       err.Error(),
		Unreachable:  engine.IsUnreachable(err),
		Canceled:     canceled != "",
		OutputTokens: r.delivered,
	})
	if canceled != "" {
		return r.canceledProblem()
	}
	r.req.work.Exclude = append(r.req.work.Exclude, r.slot.Server)
	if r.servers < _maxServers {
		return nil
	}
	p := notRun("backend_failed", err.Error(), time.Second)
	p.Outcome = r.outcome

	return &p
}

// run reads the answer to its end and hands each chunk to deliver, which
// returns false when the caller has gone.
func (r *relay) run(deliver func(d delivery) bool) *problem {
	for {
		gone := false
		last := 0
		err := r.stream.Each(func(chunk engine.Chunk) bool {
			if chunk.Text != "" && chunk.Tokens > 0 {
				if !r.isNext(chunk, last) {
					return false
				}
				last = chunk.Tokens
			}
			ok := r.accept(chunk, deliver)
			gone = !ok

			return ok
		})
		r.stream.Close()
		if err == nil {
			r.mu.Lock()
			r.stream = nil
			r.outcome = OutcomeDone
			r.mu.Unlock()
			r.release(Result{
				Outcome:      OutcomeDone,
				OutputTokens: r.delivered,
			})

			return nil
		}
		if gone {
			r.cancel("caller_left")
		}
		if p := r.failed(err); p != nil {
			return p
		}
		// The deadline was that of the beginning; the rest gets a new one.
		r.req.work.Deadline = r.gateway.cfg.Timer.Now().Add(defaultTimeout(r.req.work.Priority))
		ctx, cancel := context.WithDeadline(r.gateway.ctx, r.req.work.Deadline)
		p := r.start(ctx)
		cancel()
		if p != nil {
			return p
		}
	}
}

// isNext reports whether the number of a chunk with text follows last, that of the chunk
// before it from the same backend server. The first, where last is 0, may repeat what has
// been delivered but leave out nothing.
func (r *relay) isNext(chunk engine.Chunk, last int) bool {
	if last > 0 {
		return chunk.Tokens == last+1
	}

	return chunk.Tokens <= r.delivered+1
}

// accept hands over a chunk that continues the answer.
func (r *relay) accept(chunk engine.Chunk, deliver func(d delivery) bool) bool {
	if chunk.CompletionTokens > 0 {
		r.promptTokens = chunk.PromptTokens
	}
	if chunk.Text != "" || chunk.FinishReason != "" {
		if chunk.Tokens > 0 && chunk.Tokens <= r.delivered {
			return true
		}
		if r.delivered == r.req.resume {
			r.slot.First()
			metrics.GetOrRegisterTimer("Gateway.FirstToken", r.gateway.cfg.Registry).Update(r.gateway.cfg.Timer.Now().Sub(r.started))
		}
		r.delivered++
		if chunk.FinishReason != "" {
			r.finishReason = chunk.FinishReason
		}
	}

	return deliver(delivery{
		raw:  chunk.Raw,
		text: chunk.Text,
	})
}

// streamTo writes the answer as server-sent events. The id of an event is
// the number of tokens that the caller has after it.
func (r *relay) streamTo(w *bufio.Writer) {
	p := r.run(func(d delivery) bool {
		writeEvent(w, r.delivered, d.raw)

		return r.flush(w)
	})
	if p == nil {
		writeData(w, "[DONE]")
		_ = r.flush(w)

		return
	}
	p.RequestID = r.req.work.RequestID
	body, err := json.Marshal(problemBody{Error: *p})
	if err != nil {
		return
	}
	writeData(w, string(body))
	_ = r.flush(w)
}

// flush sends what is written, and reports whether the caller is there.
func (r *relay) flush(w *bufio.Writer) bool {
	r.flushSince.Store(r.gateway.cfg.Timer.Now().UnixNano())
	err := w.Flush()
	r.flushSince.Store(0)

	return err == nil
}

func writeEvent(w *bufio.Writer, id int, data string) {
	var number [20]byte
	// Errors stay in the writer and show at the flush.
	_, _ = w.WriteString("id: ")
	_, _ = w.Write(strconv.AppendInt(number[:0], int64(id), 10))
	_ = w.WriteByte('\n')
	writeData(w, data)
}

func writeData(w *bufio.Writer, data string) {
	_, _ = w.WriteString("data: ")
	_, _ = w.WriteString(data)
	_, _ = w.WriteString("\n\n")
}

// cancel ends the work with a reason, from any goroutine.
func (r *relay) cancel(reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.canceled != "" {
		return
	}
	r.canceled = reason
	if r.stream != nil {
		// Cancel waits for the reader, which may wait for the caller.
		stream := r.stream
		go stream.Cancel()
	}
}

func (r *relay) canceledProblem() *problem {
	p := notRun(r.canceled, "the request was ended: "+r.canceled, 0)
	p.Outcome = OutcomeUnknown

	return &p
}

// release gives the slot back, once.
func (r *relay) release(result Result) {
	if !r.hasSlot {
		return
	}
	r.hasSlot = false
	r.slot.Done(result)
}

// inputTokens is the length of the prompt by the engine's count, or the
// estimate that was reserved where the engine hasn't told it.
func (r *relay) inputTokens() int {
	if r.promptTokens > 0 {
		return r.promptTokens
	}

	return r.req.work.InputTokens
}

// finish settles the account of the request and forgets it.
func (r *relay) finish() {
	g := r.gateway
	g.unregister(r)
	// A cancel that found the request before may still be on its way.
	r.mu.Lock()
	canceled := r.canceled
	r.mu.Unlock()
	used := 0
	if r.outcome != OutcomeNotRun {
		used = r.inputTokens() + r.delivered - r.req.resume
	}
	g.cfg.Parts.Settle(r.req.work, used)
	metrics.GetOrRegisterCounter("Gateway.Completions."+string(r.outcome), g.cfg.Registry).Inc(1)
	metrics.GetOrRegisterCounter("Gateway.Tokens", g.cfg.Registry).Inc(int64(r.delivered - r.req.resume))
	g.cfg.Log.Write(event.RequestDone,
		zap.String("ID", r.req.work.ID),
		zap.String("RequestID", r.req.work.RequestID),
		zap.String("Workspace", r.req.work.Caller.Workspace),
		zap.String("Model", r.req.work.Target.Model),
		zap.String("Server", r.slot.Server),
		zap.Int("Servers", r.servers),
		zap.String("Outcome", string(r.outcome)),
		zap.String("Canceled", canceled),
		zap.Int("Tokens", r.delivered),
		zap.Duration("Took", g.cfg.Timer.Now().Sub(r.started)),
	)
}
