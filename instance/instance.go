// Package instance puts one serving process together: it makes the parts,
// connects them by function fields and closes them in order. It decides
// nothing itself.
package instance

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"papayastair.dev/papayastair/engine"
	"papayastair.dev/papayastair/event"
	"papayastair.dev/papayastair/gateway"
	"papayastair.dev/papayastair/platform"
	"papayastair.dev/papayastair/settings"
	"papayastair.dev/papayastair/timer"
	"papayastair.dev/papayastair/wire"
	"papayastair.dev/papayastair/workspace"
)

// Instance is one serving process. Use New.
type Instance struct {
	cfg       wire.ProcessSettings
	timer     *timer.Service
	log       *event.Log
	registry  metrics.Registry
	platform  *platform.Client
	engines   *engine.Client
	gateway   *gateway.Gateway
	directory atomic.Pointer[workspace.Directory]
	dispatch  *dispatcher
	stop      context.CancelFunc
	once      sync.Once
}

// New starts an instance. It serves requests as soon as it has read a
// configuration.
func New(cfg wire.ProcessSettings) (*Instance, error) {
	log, err := event.Open(cfg.LogFile, string(cfg.LogLevel), cfg.Name)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	i := &Instance{
		cfg:      cfg,
		timer:    timer.New(),
		log:      log,
		registry: metrics.NewRegistry(),
		engines:  engine.NewClient(),
		dispatch: newDispatcher(),
		stop:     cancel,
	}
	i.platform = platform.NewClient(cfg.PlatformAddress, i.registry)
	i.directory.Store(&workspace.Directory{Snapshot: &settings.Snapshot{}})
	i.gateway, err = gateway.New(gateway.Config{
		Instance:       cfg.Name,
		Address:        cfg.CallerAddress,
		BodyLimitBytes: cfg.BodyLimitBytes,
		MaxStreams:     cfg.MaxStreams,
		Timer:          i.timer,
		Log:            log,
		Registry:       i.registry,
		Parts:          i.parts(),
	})
	if err != nil {
		cancel()
		i.timer.Close()

		return nil, err
	}
	go i.followConfiguration(ctx)
	log.Write(event.ProcessStarted,
		zap.String("CallerAddress", i.gateway.Address()),
		zap.String("FailureDomain", cfg.FailureDomain),
	)

	return i, nil
}

// CallerAddress is the IP:port that callers connect to.
func (i *Instance) CallerAddress() string {
	return i.gateway.Address()
}

// Shutdown finishes what runs and closes the instance; requests that still
// run when ctx ends are cut off.
func (i *Instance) Shutdown(ctx context.Context) {
	i.log.Write(event.ProcessStopping)
	i.gateway.Drain()
	i.gateway.WaitIdle(ctx)
	i.Close()
}

// Close ends the instance at once and waits for its goroutines.
func (i *Instance) Close() {
	i.once.Do(func() {
		i.stop()
		i.gateway.Close()
		i.timer.Close()
		i.log.Write(event.ProcessStopped)
		i.log.Close()
	})
}

// apply puts a configuration in force.
func (i *Instance) apply(snapshot *settings.Snapshot) {
	i.directory.Store(&workspace.Directory{Snapshot: snapshot})
	i.dispatch.setServers(snapshot)
	i.gateway.CheckKeys()
}

// parts connects the gateway to what it calls.
func (i *Instance) parts() gateway.Parts {
	return gateway.Parts{
		Authenticate: func(key []byte) (gateway.Caller, bool) { return i.directory.Load().Authenticate(key) },
		IsValid:      func(caller gateway.Caller) bool { return i.directory.Load().IsValid(caller) },
		Find: func(caller gateway.Caller, name string) (gateway.Target, gateway.Access) {
			return i.directory.Load().Find(caller, name)
		},
		Models: func(caller gateway.Caller) []string { return i.directory.Load().Models(caller) },
		Priority: func(caller gateway.Caller, asked wire.Priority) wire.Priority {
			return i.directory.Load().Priority(caller, asked)
		},
		Route:    func(path string) (wire.Route, bool) { return i.directory.Load().Route(path) },
		Reserve:  func(context.Context, gateway.Work) *gateway.Refusal { return nil },
		Settle:   func(gateway.Work, int) {},
		Acquire:  i.dispatch.acquire,
		Complete: i.engines.Complete,
		CallService: func(context.Context, gateway.ServiceCall) gateway.ServiceAnswer {
			return gateway.ServiceAnswer{
				Outcome:    gateway.OutcomeNotRun,
				Code:       "not_implemented",
				RetryAfter: time.Minute,
			}
		},
		Locate: func(gateway.LocateQuery) any { return nil },
	}
}
