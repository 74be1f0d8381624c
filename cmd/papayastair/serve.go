package main

import (
	"context"
	"encoding/json"
	"os"
	"os/signal"
	"syscall"
	"time"

	"papayastair.dev/papayastair/instance"
	"papayastair.dev/papayastair/settings"
)

// serveCommand runs one instance until a signal: SIGTERM and SIGINT shut it
// down gracefully, a second one ends it at once.
type serveCommand struct {
	Settings string        `arg:"" type:"existingfile" help:"The process settings, in JSON."`
	Grace    time.Duration `default:"15m" help:"The longest time that a graceful shutdown waits for running requests."`
}

// addresses is the line that a process prints when it listens.
type addresses struct {
	CallerAddress   string
	PeerAddress     string `json:",omitempty"`
	OperatorAddress string `json:",omitempty"`
}

// Run serves.
func (s serveCommand) Run(out output) error {
	cfg, err := settings.ParseProcess(s.Settings)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	in, err := instance.New(cfg)
	if err != nil {
		return err
	}
	if err := json.NewEncoder(out.w).Encode(addresses{
		CallerAddress:   in.CallerAddress(),
		PeerAddress:     in.Self().PeerAddress,
		OperatorAddress: in.OperatorAddress(),
	}); err != nil {
		return err
	}
	<-signals
	ctx, cancel := context.WithTimeout(context.Background(), s.Grace)
	defer cancel()
	go func() {
		<-signals
		cancel()
	}()
	in.Shutdown(ctx)

	return nil
}
