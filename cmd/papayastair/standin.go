package main

import (
	"cmp"
	"encoding/json"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"time"

	"github.com/rotisserie/eris"

	"papayastair.dev/papayastair/settings"
	"papayastair.dev/papayastair/standin"
	"papayastair.dev/papayastair/wire"
)

// standinCommand runs stand-ins of outside systems as processes.
type standinCommand struct {
	Platform standinPlatformCommand `cmd:"" help:"Run a stand-in of the platform's object API."`
	Engine   standinEngineCommand   `cmd:"" help:"Run a stand-in of a model engine."`
	Service  standinServiceCommand  `cmd:"" help:"Run a stand-in of a plain service."`
}

type standinPlatformCommand struct {
	Address         string  `default:"127.0.0.1:0" help:"The IP:port to listen on."`
	ReadsPerSecond  float64 `default:"2000" help:"The rate of reads."`
	WritesPerSecond float64 `default:"400" help:"The rate of writes."`
}

// Run serves until a signal.
func (s standinPlatformCommand) Run(out output) error {
	p, err := standin.NewPlatform(standin.PlatformConfig{
		Address:         s.Address,
		ReadsPerSecond:  s.ReadsPerSecond,
		WritesPerSecond: s.WritesPerSecond,
	})
	if err != nil {
		return err
	}
	defer p.Close()

	return untilSignal(out, p.Address)
}

// standinEngineCommand takes the engine's accelerators, slots and fencing from
// a subtree of the hierarchy, so that both sides agree.
type standinEngineCommand struct {
	Name          string        `required:"" help:"The name of the backend server."`
	Subtree       string        `required:"" type:"existingfile" help:"The subtree that declares the backend server."`
	Address       string        `help:"The IP:port to listen on instead of the declared one."`
	StepBase      time.Duration `default:"5ms" help:"The time of a step of an empty batch."`
	StepPer       time.Duration `default:"500us" help:"What each request adds to a step."`
	PrefillTokens float64       `default:"50000" help:"The prompt tokens read in a second."`
	CacheBlocks   int           `default:"1000" help:"The blocks of 64 tokens in the prefix cache."`
	ReportLag     time.Duration `default:"500ms" help:"How old the load in reports is."`
	LoadTime      time.Duration `default:"4s" help:"How long a load takes at full speed."`
}

// Run serves until a signal.
func (s standinEngineCommand) Run(out output) error {
	subtree, err := settings.ParseSubtree(s.Subtree)
	if err != nil {
		return err
	}
	i := slices.IndexFunc(subtree.BackendServers, func(b wire.BackendServer) bool { return b.Name == s.Name })
	if i < 0 {
		return eris.Errorf("%s declares no backend server %s", s.Subtree, s.Name)
	}
	server := subtree.BackendServers[i]
	weights := standin.NewWeightStore()
	weights.LoadTime = s.LoadTime
	e, err := standin.NewEngine(standin.EngineConfig{
		Server:  server,
		Address: cmp.Or(s.Address, server.Address),
		Batch: standin.BatchConfig{
			StepBase:               s.StepBase,
			StepPerRequest:         s.StepPer,
			PrefillTokensPerSecond: s.PrefillTokens,
			CacheBlocks:            s.CacheBlocks,
		},
		Weights:   weights,
		ReportLag: s.ReportLag,
		Crash:     func() { os.Exit(_exitFailure) },
	})
	if err != nil {
		return err
	}
	defer e.Close()

	return untilSignal(out, e.Address())
}

type standinServiceCommand struct {
	Name    string `default:"service" help:"The name of the service."`
	Address string `default:"127.0.0.1:0" help:"The IP:port to listen on."`
}

// Run serves until a signal.
func (s standinServiceCommand) Run(out output) error {
	service, err := standin.NewService(standin.ServiceConfig{
		Name:    s.Name,
		Address: s.Address,
	})
	if err != nil {
		return err
	}
	defer service.Close()

	return untilSignal(out, service.Address)
}

func untilSignal(out output, address string) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	if err := json.NewEncoder(out.w).Encode(addresses{CallerAddress: address}); err != nil {
		return err
	}
	<-signals

	return nil
}
