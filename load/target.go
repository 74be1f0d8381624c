package load

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"papayastair.dev/papayastair/fleet"
	"papayastair.dev/papayastair/objectstore"
	"papayastair.dev/papayastair/standin"
	"papayastair.dev/papayastair/wire"
)

const (
	_readyTimeout = 60 * time.Second
	_settleTime   = 3 * time.Second
)

// StartFleet brings up the fleet of an experiment in this process and waits
// until every model is served. The events of its instances go to logFile.
func StartFleet(e *wire.Experiment, logFile string) (*fleet.Fleet, error) {
	f, err := fleet.New(fleet.Config{
		Subtrees:       []wire.Subtree{Subtree(e)},
		Region:         e.Region,
		FailureDomains: e.FailureDomains,
		Instances:      e.Instances,
		Engine:         engineConfig(e),
		LogFile:        logFile,
		LocateTTL:      time.Duration(e.LocateTTLSeconds) * time.Second,
	})
	if err != nil {
		return nil, err
	}
	for _, engine := range f.Engines {
		for _, w := range e.Workspaces {
			engine.Account().Forbid(Key(w.Name))
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), _readyTimeout)
	defer cancel()
	if err := f.WaitReady(ctx, 1); err != nil {
		f.Close()

		return nil, eris.Wrap(err, "load: start fleet")
	}
	settle(ctx, f)

	return f, nil
}

// settle waits until no load of a model has begun for a while, or ctx ends.
func settle(ctx context.Context, f *fleet.Fleet) {
	for loads := -1; loads != readBooks(f).loads; {
		loads = readBooks(f).loads
		if objectstore.Sleep(ctx, _settleTime) != nil {
			return
		}
	}
}

// engineConfig completes the configuration of stand-in engines.
func engineConfig(e *wire.Experiment) func(cfg *standin.EngineConfig) {
	weights := standin.NewWeightStore()
	weights.LoadsPerSecond = float64(e.Weights.LoadsPerSecond)
	weights.LoadsAtFullSpeed = e.Weights.LoadsAtFullSpeed
	weights.LoadTime = milliseconds(e.Weights.LoadMilliseconds)
	weights.AdaptersAtFullSpeed = e.Weights.AdaptersAtFullSpeed
	weights.AdapterTime = milliseconds(e.Weights.AdapterMilliseconds)
	batches := map[string]standin.BatchConfig{}
	n := 0
	subtree := Subtree(e)
	for _, engine := range e.Engines {
		for range engine.Count {
			batches[subtree.BackendServers[n].Name] = standin.BatchConfig{
				Slots:                  engine.Slots,
				StepBase:               time.Duration(engine.StepBaseMicroseconds) * time.Microsecond,
				StepPerRequest:         time.Duration(engine.StepPerRequestMicroseconds) * time.Microsecond,
				PrefillTokensPerSecond: float64(engine.PrefillTokensPerSecond),
				CacheBlocks:            engine.CacheBlocks,
			}
			n++
		}
	}

	return func(cfg *standin.EngineConfig) {
		cfg.Weights = weights
		cfg.Batch = batches[cfg.Server.Name]
		cfg.ReportLag = milliseconds(e.ReportLagMilliseconds)
		cfg.EventLag = milliseconds(e.CacheEventLagMilliseconds)
		cfg.EventLoss = e.CacheEventLossEvery
	}
}

func milliseconds(n int) time.Duration {
	return time.Duration(n) * time.Millisecond
}
