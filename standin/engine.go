package standin

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fastjson"

	"papayastair.dev/papayastair/wire"
)

const (
	_defaultCompletionTokens = 16
	_bytesPerToken           = 4
	_crashMarker             = "crash this engine"
)

// EngineConfig says what a stand-in engine is like.
type EngineConfig struct {
	// Server holds the name, the accelerators, the slots and whether fencing
	// numbers are checked.
	Server wire.BackendServer
	// Address is the IP:port to listen on; port 0 takes a free one.
	Address string
	// Batch is its speed. Zero slots are taken from Server.
	Batch BatchConfig
	// Weights paces its loads; nil means a store of its own.
	Weights *WeightStore
	// ReportLag is how old the load in its reports may be.
	ReportLag time.Duration
	// EventLag is how late its cache events are.
	EventLag time.Duration
	// EventLoss loses every n-th cache event; 0 loses none.
	EventLoss int
	// Crash is called when a request's body holds the crash marker; by
	// default the engine stops listening and cuts its connections.
	Crash func()
}

// Engine is a model engine with an OpenAI-style interface. The text that it
// generates is a function of model and prompt, see Token, so that a caller
// can tell whether an answer is whole and its own. Use NewEngine.
type Engine struct {
	cfg          EngineConfig
	accelerators *Accelerators
	server       *server
	wg           conc.WaitGroup
	once         sync.Once
	stopped      chan struct{}
	leaving      atomic.Bool
	sequence     atomic.Int64
	account      Account

	mu       sync.Mutex
	batch    *Batch
	streams  map[string]chan BatchToken
	wake     chan struct{}
	reported wire.LoadReport
	events   []timedEvent
}

// timedEvent is a cache event and when it may be read.
type timedEvent struct {
	event wire.CacheEvent
	at    time.Time
}

// NewEngine starts an engine.
func NewEngine(cfg EngineConfig) (*Engine, error) {
	if cfg.Batch.Slots == 0 {
		cfg.Batch.Slots = cfg.Server.Slots
	}
	if cfg.Weights == nil {
		cfg.Weights = NewWeightStore()
	}
	e := &Engine{
		cfg:          cfg,
		accelerators: NewAccelerators(cfg.Server, cfg.Weights),
		stopped:      make(chan struct{}),
		batch:        NewBatch(cfg.Batch),
		streams:      map[string]chan BatchToken{},
		wake:         make(chan struct{}, 1),
	}
	s, err := newServer(cfg.Address, e.handle)
	if err != nil {
		return nil, err
	}
	e.server = s
	e.wg.Go(e.run)

	return e, nil
}

// Address is the IP:port that the engine listens on.
func (e *Engine) Address() string {
	return e.server.address
}

// Account is what the engine has seen.
func (e *Engine) Account() *Account {
	return &e.account
}

// SetLeaving makes the engine say in its reports that it leaves, and refuse
// new requests as not run.
func (e *Engine) SetLeaving() {
	e.leaving.Store(true)
}

// Running is the number of requests that it works on or that wait.
func (e *Engine) Running() int {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.batch.Running() + e.batch.Waiting()
}

// Accelerators is the engine's account of its memory.
func (e *Engine) Accelerators() *Accelerators {
	return e.accelerators
}

// Close ends all streams and stops the engine.
func (e *Engine) Close() {
	e.once.Do(func() { close(e.stopped) })
	e.wg.Wait()
	e.server.close()
}

// Token is token i, from 0, of the answer of a model to a prompt.
func Token(model, prompt string, i int) string {
	h := xxhash.Sum64String(model + "\x00" + prompt + "\x00" + strconv.Itoa(i))

	return fmt.Sprintf("%04x ", h&0xffff)
}

// Text is the whole answer of a model to a prompt, of n tokens.
func Text(model, prompt string, n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(Token(model, prompt, i))
	}

	return b.String()
}

func (e *Engine) handle(_ context.Context, r *fasthttp.RequestCtx) {
	e.account.inspect(&r.Request)
	switch string(r.Path()) {
	case "/v1/completions", "/v1/chat/completions":
		e.complete(r)
	case "/v1/load":
		reply(r, fasthttp.StatusOK, e.report(time.Now()))
	case "/v1/orders":
		e.order(r)
	case "/v1/cache-events":
		reply(r, fasthttp.StatusOK, e.cacheEvents(r.QueryArgs().GetUintOrZero("after"), time.Now()))
	case "/account":
		reply(r, fasthttp.StatusOK, e.figures())
	case "/secrets":
		e.account.Forbid(string(r.PostBody()))
	case "/leave":
		e.SetLeaving()
	default:
		r.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (e *Engine) order(r *fasthttp.RequestCtx) {
	var order wire.Order
	if err := json.Unmarshal(r.PostBody(), &order); err != nil {
		r.Error(err.Error(), fasthttp.StatusBadRequest)

		return
	}
	reply(r, fasthttp.StatusOK, e.accelerators.Apply(order, time.Now()))
}

// report is the account of the memory as it is, and the load as it was up to
// ReportLag ago.
func (e *Engine) report(now time.Time) wire.LoadReport {
	report := e.accelerators.Report(now)
	e.mu.Lock()
	defer e.mu.Unlock()
	at := time.UnixMilli(int64(e.reported.AtUnixMilliseconds))
	if now.Sub(at) >= e.cfg.ReportLag {
		e.reported.Running = e.batch.Running()
		e.reported.Waiting = e.batch.Waiting()
		e.reported.CacheHighest = e.batch.CacheSequence()
		e.reported.AtUnixMilliseconds = int(now.UnixMilli())
	}
	report.Running = e.reported.Running
	report.Waiting = e.reported.Waiting
	report.CacheHighest = e.reported.CacheHighest
	report.AtUnixMilliseconds = e.reported.AtUnixMilliseconds
	report.Name = e.cfg.Server.Name
	report.Slots = e.cfg.Batch.Slots
	report.Leaving = e.leaving.Load()
	report.Sequence = int(e.sequence.Add(1))

	return report
}

// figures is the account, with that of the memory.
func (e *Engine) figures() AccountFigures {
	figures := e.account.Figures()
	figures.OvercommittedBytes = e.accelerators.OvercommittedBytes()
	figures.Loads = e.accelerators.Loads()

	return figures
}

// cacheEvents are the events after a sequence that are old enough to be told,
// without those that get lost.
func (e *Engine) cacheEvents(after int, now time.Time) []wire.CacheEvent {
	e.mu.Lock()
	defer e.mu.Unlock()
	events := []wire.CacheEvent{}
	for _, timed := range e.events {
		lost := e.cfg.EventLoss > 0 && timed.event.Sequence%e.cfg.EventLoss == 0
		if !lost && timed.event.Sequence > after && !timed.at.After(now) {
			events = append(events, timed.event)
		}
	}

	return events
}

// run advances the batch and hands its tokens to the streams.
func (e *Engine) run() {
	const idle = time.Hour
	alarm := time.NewTimer(idle)
	defer alarm.Stop()
	for {
		alarm.Reset(e.step(time.Now(), idle))
		select {
		case <-e.stopped:
			return
		case <-e.wake:
		case <-alarm.C:
		}
	}
}

// step advances the batch to now and returns how long to wait for its next
// step, at most idle.
func (e *Engine) step(now time.Time, idle time.Duration) time.Duration {
	const maxEvents = 4096
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, token := range e.batch.Advance(now) {
		if stream, ok := e.streams[token.ID]; ok {
			stream <- token
		}
	}
	for _, event := range e.batch.TakeCacheEvents() {
		e.events = append(e.events, timedEvent{
			event: event,
			at:    now.Add(e.cfg.EventLag),
		})
	}
	e.events = e.events[max(len(e.events)-maxEvents, 0):]
	if e.batch.Crashed() {
		e.crash()

		return idle
	}
	next, ok := e.batch.Next()
	if !ok {
		return idle
	}

	return max(next.Sub(now), 0)
}

// crash ends the engine as a dying process does: all connections are cut.
func (e *Engine) crash() {
	e.once.Do(func() {
		e.account.crashes.Add(1)
		close(e.stopped)
		if e.cfg.Crash != nil {
			e.cfg.Crash()
		}
		e.server.abort()
	})
}

// generation is a request as the engine works on it.
type generation struct {
	id     string
	model  string
	prompt string
	chat   bool
	first  int
	tokens int
}

func (e *Engine) complete(r *fasthttp.RequestCtx) {
	if e.leaving.Load() {
		refuse(r, "leaving")

		return
	}
	g, err := parseGeneration(r)
	if err != nil {
		r.Error(err.Error(), fasthttp.StatusBadRequest)

		return
	}
	model, ok := e.serves(g.model, time.Now())
	if !ok {
		refuse(r, "the model is not loaded")

		return
	}
	tokens := make(chan BatchToken, g.tokens+1)
	e.mu.Lock()
	e.streams[g.id] = tokens
	e.batch.Start(time.Now(), BatchRequest{
		ID:           g.id,
		Priority:     wire.Priority(r.Request.Header.Peek("X-Priority")),
		Model:        model,
		PrefixHashes: blockHashes(model, g.prompt),
		InputTokens:  len(g.prompt)/_bytesPerToken + g.first + 1,
		OutputTokens: g.tokens - g.first,
		Crash:        bytes.Contains(r.PostBody(), []byte(_crashMarker)),
	})
	e.mu.Unlock()
	e.account.ran(g.id)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	r.SetContentType("text/event-stream")
	r.SetBodyStreamWriter(func(w *bufio.Writer) {
		e.generate(w, g, tokens)
		e.forget(g.id)
	})
}

// serves finds the model of a name, which may be an adapter's.
func (e *Engine) serves(name string, now time.Time) (string, bool) {
	for _, r := range e.accelerators.Report(now).Residents {
		isNamed := r.Adapter == name || r.Adapter == "" && r.Model == name
		if isNamed && r.State == wire.ResidentStateServing {
			return r.Model, true
		}
	}

	return "", false
}

func (e *Engine) forget(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.streams, id)
	e.batch.Cancel(id)
}

// blockHashes are the hashes of a prompt's leading blocks of 64 tokens.
func blockHashes(model, prompt string) []int {
	const blockBytes = 64 * _bytesPerToken
	var hashes []int
	for end := blockBytes; end <= len(prompt); end += blockBytes {
		hashes = append(hashes, int(xxhash.Sum64String(model+prompt[:end])))
	}

	return hashes
}

// generate writes tokens as they come.
func (e *Engine) generate(w *bufio.Writer, g generation, tokens <-chan BatchToken) {
	// The headers go out at once: the engine has taken the request.
	if w.Flush() != nil {
		return
	}
	for {
		select {
		case <-e.stopped:
			return
		case token := <-tokens:
			g.writeToken(w, g.first+token.Index)
			if w.Flush() != nil {
				e.account.canceled.Add(1)

				return
			}
			if token.Last {
				g.writeEnd(w)
				e.account.done.Add(1)

				return
			}
		}
	}
}

func (g generation) writeToken(w *bufio.Writer, i int) {
	finish := "null"
	if i == g.tokens-1 {
		finish = `"length"`
	}
	object, content := "text_completion", `"text":"`+Token(g.model, g.prompt, i)+`"`
	if g.chat {
		object, content = "chat.completion.chunk", `"delta":{"content":"`+Token(g.model, g.prompt, i)+`"}`
	}
	_, _ = fmt.Fprintf(w, "data: {\"id\":%q,\"object\":%q,\"model\":%q,\"choices\":[{\"index\":0,%s,\"finish_reason\":%s}],\"tokens\":%d}\n\n",
		g.id, object, g.model, content, finish, i+1)
}

func (g generation) writeEnd(w *bufio.Writer) {
	prompt := len(g.prompt)/_bytesPerToken + 1
	_, _ = fmt.Fprintf(w, "data: {\"id\":%q,\"object\":\"text_completion\",\"model\":%q,\"choices\":[],\"tokens\":%d,\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d,\"total_tokens\":%d}}\n\ndata: [DONE]\n\n",
		g.id, g.model, g.tokens, prompt, g.tokens, prompt+g.tokens)
}

func parseGeneration(ctx *fasthttp.RequestCtx) (generation, error) {
	value, err := fastjson.ParseBytes(ctx.PostBody())
	if err != nil {
		return generation{}, eris.Wrap(err, "standin: body")
	}
	g := generation{
		id:     string(ctx.Request.Header.Peek("X-Request-Id")),
		model:  string(value.GetStringBytes("model")),
		prompt: string(value.GetStringBytes("prompt")),
		chat:   strings.HasPrefix(string(ctx.Path()), "/v1/chat/"),
		tokens: value.GetInt("max_tokens"),
	}
	if g.chat {
		var b strings.Builder
		for _, message := range value.GetArray("messages") {
			b.Write(message.GetStringBytes("content"))
		}
		g.prompt = b.String()
	}
	if g.tokens <= 0 {
		g.tokens = _defaultCompletionTokens
	}
	// A missing header leaves 0, the beginning.
	g.first, _ = strconv.Atoi(string(ctx.Request.Header.Peek("X-Resume-From")))

	return g, nil
}

// refuse answers that the request has not run.
func refuse(ctx *fasthttp.RequestCtx, reason string) {
	ctx.Response.Header.Set("X-Outcome", "NotRun")
	ctx.Error(reason, fasthttp.StatusServiceUnavailable)
}
