package standin

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"net"
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
	// Name is the backend server's name.
	Name string
	// Address is the IP:port to listen on; port 0 takes a free one.
	Address string
	// Slots is the largest batch; more requests are refused as not run.
	Slots int
	// TokenInterval is the time between the tokens of one request.
	TokenInterval time.Duration
	// Crash is called when a request's body holds the crash marker; by
	// default the engine stops listening and cuts its connections.
	Crash func()
}

// Engine is a model engine with an OpenAI-style interface. The text that it
// generates is a function of model and prompt, see Token, so that a caller
// can tell whether an answer is whole and its own. Use NewEngine.
type Engine struct {
	cfg      EngineConfig
	server   *fasthttp.Server
	listener net.Listener
	wg       conc.WaitGroup
	once     sync.Once
	stopped  chan struct{}
	leaving  atomic.Bool
	running  atomic.Int64
	sequence atomic.Int64
	account  Account
}

// NewEngine starts an engine.
func NewEngine(cfg EngineConfig) (*Engine, error) {
	listener, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, eris.Wrapf(err, "standin: engine %s", cfg.Name)
	}
	e := &Engine{
		cfg:      cfg,
		listener: listener,
		stopped:  make(chan struct{}),
	}
	e.server = &fasthttp.Server{
		Handler:            e.handle,
		MaxRequestBodySize: 64 << 20,
		CloseOnShutdown:    true,
	}
	e.wg.Go(func() {
		// Serve ends with an error when the listener is closed.
		_ = e.server.Serve(listener)
	})

	return e, nil
}

// Address is the IP:port that the engine listens on.
func (e *Engine) Address() string {
	return e.listener.Addr().String()
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

// Close ends all streams and stops the engine.
func (e *Engine) Close() {
	e.once.Do(func() {
		close(e.stopped)
		_ = e.listener.Close()
	})
	_ = e.server.Shutdown()
	e.wg.Wait()
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

func (e *Engine) handle(ctx *fasthttp.RequestCtx) {
	e.account.inspect(&ctx.Request)
	switch string(ctx.Path()) {
	case "/v1/completions", "/v1/chat/completions":
		e.complete(ctx)
	case "/v1/load":
		writeJSON(ctx, e.report())
	case "/account":
		writeJSON(ctx, e.account.Figures())
	case "/secrets":
		e.account.Forbid(string(ctx.PostBody()))
	case "/leave":
		e.SetLeaving()
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (e *Engine) report() wire.LoadReport {
	return wire.LoadReport{
		Name:               e.cfg.Name,
		Sequence:           int(e.sequence.Add(1)),
		AtUnixMilliseconds: int(time.Now().UnixMilli()),
		Leaving:            e.leaving.Load(),
		Running:            int(e.running.Load()),
		Slots:              e.cfg.Slots,
	}
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

func (e *Engine) complete(ctx *fasthttp.RequestCtx) {
	if e.leaving.Load() {
		refuse(ctx, "leaving")

		return
	}
	if int(e.running.Add(1)) > e.cfg.Slots {
		e.running.Add(-1)
		refuse(ctx, "no slot")

		return
	}
	g, err := parseGeneration(ctx)
	if err != nil {
		e.running.Add(-1)
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)

		return
	}
	if bytes.Contains(ctx.PostBody(), []byte(_crashMarker)) {
		e.crash()
	}
	e.account.ran(g.id)
	ctx.SetContentType("text/event-stream")
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer e.running.Add(-1)
		e.generate(w, g)
	})
}

func (e *Engine) crash() {
	e.account.crashes.Add(1)
	if e.cfg.Crash != nil {
		e.cfg.Crash()

		return
	}
	e.once.Do(func() {
		close(e.stopped)
		_ = e.listener.Close()
	})
}

func (e *Engine) generate(w *bufio.Writer, g generation) {
	tick := time.NewTicker(max(e.cfg.TokenInterval, time.Microsecond))
	defer tick.Stop()
	for i := g.first; i < g.tokens; i++ {
		if e.cfg.TokenInterval > 0 {
			select {
			case <-tick.C:
			case <-e.stopped:
				return
			}
		}
		g.writeToken(w, i)
		if w.Flush() != nil {
			e.account.canceled.Add(1)

			return
		}
	}
	prompt := len(g.prompt)/_bytesPerToken + 1
	_, _ = fmt.Fprintf(w, "data: {\"id\":%q,\"object\":\"text_completion\",\"model\":%q,\"choices\":[],\"tokens\":%d,\"usage\":{\"prompt_tokens\":%d,\"completion_tokens\":%d,\"total_tokens\":%d}}\n\ndata: [DONE]\n\n",
		g.id, g.model, g.tokens, prompt, g.tokens, prompt+g.tokens)
	if w.Flush() == nil {
		e.account.done.Add(1)
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

func writeJSON(ctx *fasthttp.RequestCtx, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)

		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
