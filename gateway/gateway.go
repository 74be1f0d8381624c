// Package gateway is the callers' interface: OpenAI-style completions and
// chat completions with streams, the list of models, routes to plain
// services, and the locate route. It decides nothing by itself: Parts holds
// the functions that authenticate, limit, dispatch and call.
package gateway

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gofiber/fiber/v3"
	"github.com/rcrowley/go-metrics"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"

	"papayastair.dev/papayastair/connection"
	"papayastair.dev/papayastair/engine"
	"papayastair.dev/papayastair/event"
	"papayastair.dev/papayastair/timer"
	"papayastair.dev/papayastair/wire"
)

const (
	_headerBytes   = 16 << 10
	_readTimeout   = 20 * time.Second
	_idleTimeout   = 60 * time.Second
	_sweepPeriod   = 250 * time.Millisecond
	_maxFlush      = 10 * time.Second
	_shutdownGrace = 5 * time.Second
)

// Caller is who a key belongs to.
type Caller struct {
	// Workspace is the workspace that the key's requests run for.
	Workspace string
	// KeyName is what operators call the key.
	KeyName string
	// KeyHash is the SHA-256 of the key in hexadecimal.
	KeyHash string
}

// Access says whether a caller may use a model or route.
type Access int

// Results of a look-up.
const (
	AccessAllowed Access = iota
	AccessUnknown
	AccessForbidden
)

// Target is a model with the adapter to use on it.
type Target struct {
	// Model is the model.
	Model string
	// Adapter is the adapter, or empty.
	Adapter string
}

// Work is one request as the parts see it.
type Work struct {
	// ID is the instance's own id of the request, unique in the fleet.
	ID string
	// RequestID is the caller's id, the same in a repeat.
	RequestID string
	// Caller sent the request.
	Caller Caller
	// Target is what it wants.
	Target Target
	// Priority is Urgent, Live or Batch.
	Priority wire.Priority
	// Deadline is when the answer must have begun; zero for none.
	Deadline time.Time
	// InputTokens and MaxOutputTokens are upper estimates.
	InputTokens     int
	MaxOutputTokens int
	// PrefixHashes are the hashes of the prompt's leading blocks, longest last.
	PrefixHashes []int
	// Fingerprint is the hash of workspace, model and body.
	Fingerprint uint64
	// Exclude are backend servers that this request must not go to.
	Exclude []string
}

// Refusal says why a request doesn't run now. It has not run.
type Refusal struct {
	// Reason is for people, and the code of the error.
	Reason string
	// RetryAfter is when a repeat may succeed; zero for unknown.
	RetryAfter time.Duration
}

// Slot is a place on a backend server, held until Done is called.
type Slot struct {
	// Server is the backend server's name.
	Server string
	// Address is its IP:port.
	Address string
	// Version is the version of the model that it serves.
	Version string
	// First is called when the first token has come.
	First func()
	// Done is called once, when the work on this server has ended.
	Done func(result Result)
}

// Result is how work on a backend server ended.
type Result struct {
	// Outcome is Done when the answer was complete, or how the call failed.
	Outcome Outcome
	// Failure is how the call to the engine failed, and Reason the error.
	Failure engine.Outcome
	Reason  string
	// Unreachable says that no connection to the server could be made.
	Unreachable bool
	// Canceled says that the caller's side ended the work.
	Canceled bool
	// OutputTokens is the number of tokens that came.
	OutputTokens int
}

// Parts are the functions that the gateway calls. All are safe for
// concurrent use.
type Parts struct {
	// Authenticate finds the caller of a key.
	Authenticate func(key []byte) (Caller, bool)
	// KnowsKeys says whether keys can be judged now. While they can't,
	// Authenticate finds none, and requests with keys are refused as NotRun.
	KnowsKeys func() bool
	// IsValid says whether a caller's key is still granted.
	IsValid func(caller Caller) bool
	// Find looks up a model or adapter by the name that callers use.
	Find func(caller Caller, name string) (Target, Access)
	// Models lists the names that a caller may use.
	Models func(caller Caller) []string
	// Priority is the priority of a request that asks for one, which may be
	// empty.
	Priority func(caller Caller, asked wire.Priority) wire.Priority
	// Reserve takes tokens of a workspace's rate, or refuses.
	Reserve func(ctx context.Context, work Work) *Refusal
	// Settle gives back what was reserved for work but not used.
	Settle func(work Work, used int)
	// Acquire waits for a place on a backend server.
	Acquire func(ctx context.Context, work Work) (Slot, *Refusal)
	// Complete sends a request to an engine.
	Complete func(completion engine.Completion) (*engine.Stream, error)
	// Route finds the plain service of a path.
	Route func(path string) (wire.Route, bool)
	// CallService calls a plain service.
	CallService func(ctx context.Context, call ServiceCall) ServiceAnswer
	// Locate answers which instance a caller should use.
	Locate func(query LocateQuery) (wire.LocateAnswer, bool)
	// AcceptsNew says whether a new request may run at this instance.
	AcceptsNew func() bool
}

// Config is what a gateway is made of.
type Config struct {
	// Instance is the name of the instance.
	Instance string
	// Address is the IP:port to listen on.
	Address string
	// BodyLimitBytes is the largest body that is read.
	BodyLimitBytes int
	// MaxStreams is the largest number of requests at once.
	MaxStreams int
	// Timer is the clock.
	Timer *timer.Service
	// Log takes the events.
	Log *event.Log
	// Registry takes the metrics.
	Registry metrics.Registry
	// Parts are the functions to call.
	Parts Parts
}

// Gateway serves callers. Use New and Serve.
type Gateway struct {
	cfg      Config
	app      *fiber.App
	listener *connection.LingeringListener
	wg       conc.WaitGroup
	sweep    *timer.Subscription
	draining atomic.Bool
	active   sync.WaitGroup
	running  atomic.Int64
	mu       sync.Mutex
	open     map[string]*relay
	// ctx ends with the gateway: what waits then is answered.
	ctx  context.Context
	stop context.CancelFunc
}

// New listens. Call Serve when the parts are ready.
func New(cfg Config) (*Gateway, error) {
	listener, err := net.Listen("tcp", cfg.Address)
	if err != nil {
		return nil, eris.Wrapf(err, "gateway: listen on %s", cfg.Address)
	}
	ctx, stop := context.WithCancel(context.Background())
	g := &Gateway{
		cfg:      cfg,
		listener: &connection.LingeringListener{Listener: listener},
		open:     map[string]*relay{},
		ctx:      ctx,
		stop:     stop,
	}
	g.app = fiber.New(fiber.Config{
		AppName:           "papayastair",
		BodyLimit:         cfg.BodyLimitBytes,
		ReadBufferSize:    _headerBytes,
		ReadTimeout:       _readTimeout,
		IdleTimeout:       _idleTimeout,
		Concurrency:       4 * cfg.MaxStreams,
		ErrorHandler:      g.handleError,
		StreamRequestBody: false,
	})
	g.app.Use(g.admitRequest)
	g.app.Post("/v1/completions", g.handleCompletion)
	g.app.Post("/v1/chat/completions", g.handleCompletion)
	g.app.Get("/v1/models", g.handleModels)
	g.app.Get("/v1/locate", g.handleLocate)
	g.app.All("/services/*", g.handleService)
	g.sweep = cfg.Timer.Every(_sweepPeriod, g.sweepOpen)
	// A second registration means that the registry is shared, by a test.
	_ = cfg.Registry.Register("Gateway.Running", metrics.NewFunctionalGauge(g.running.Load))

	return g, nil
}

// Serve begins to answer callers. The parts must be ready.
func (g *Gateway) Serve() {
	g.wg.Go(func() {
		// The error is that of a closed listener.
		_ = g.app.Listener(g.listener, fiber.ListenConfig{DisableStartupMessage: true})
	})
}

// Address is the IP:port that callers connect to.
func (g *Gateway) Address() string {
	return g.listener.Addr().String()
}

// Running is the number of requests that are being worked on.
func (g *Gateway) Running() int {
	return int(g.running.Load())
}

// Drain asks callers to go elsewhere: connections are closed after their
// next answer. Requests are still taken.
func (g *Gateway) Drain() {
	g.draining.Store(true)
}

// Close ends all requests and waits for them.
func (g *Gateway) Close() {
	g.sweep.Stop()
	g.draining.Store(true)
	g.cancelOpen(func(*relay) bool { return true }, "instance_closes")
	g.stop()
	ctx, cancel := context.WithTimeout(context.Background(), _shutdownGrace)
	defer cancel()
	_ = g.app.ShutdownWithContext(ctx)
	g.active.Wait()
	g.wg.Wait()
	g.listener.Wait()
}

// admitRequest bounds the requests at once, and counts them.
func (g *Gateway) admitRequest(c fiber.Ctx) error {
	if g.draining.Load() {
		c.RequestCtx().SetConnectionClose()
	}
	if !g.cfg.Parts.AcceptsNew() {
		return g.refuse(c, "", fasthttp.StatusServiceUnavailable, notRun("leaving", "the instance leaves; ask another one", time.Second))
	}
	if g.running.Add(1) > int64(g.cfg.MaxStreams) {
		g.running.Add(-1)

		return g.refuse(c, "", fasthttp.StatusServiceUnavailable, notRun("overloaded", "the instance handles its largest number of requests", time.Second))
	}
	err := c.Next()
	if !isStreaming(c) {
		g.running.Add(-1)
	}

	return err
}

func (g *Gateway) handleModels(c fiber.Ctx) error {
	caller, ok := g.authenticate(c)
	if !ok {
		return g.refuseKey(c)
	}
	list := modelList{
		Object: "list",
		Data:   []modelEntry{},
	}
	for _, name := range g.cfg.Parts.Models(caller) {
		list.Data = append(list.Data, modelEntry{
			ID:      name,
			Object:  "model",
			OwnedBy: caller.Workspace,
		})
	}

	return c.JSON(list)
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

type modelEntry struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	OwnedBy string `json:"owned_by"`
}

// LocateQuery is what a caller tells of itself when it asks for an instance.
type LocateQuery struct {
	// Region and FailureDomain are where the caller is, or empty.
	Region        string
	FailureDomain string
}

func (g *Gateway) handleLocate(c fiber.Ctx) error {
	answer, ok := g.cfg.Parts.Locate(LocateQuery{
		Region:        clone(c.Query("region")),
		FailureDomain: clone(c.Query("failure_domain")),
	})
	if !ok {
		return g.refuse(c, "", fasthttp.StatusServiceUnavailable, notRun("no_instance", "no instance is known to be usable", time.Second))
	}

	return c.JSON(answer)
}
