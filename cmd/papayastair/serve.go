package main

import (
	"context"
	"fmt"
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
	if _, err := fmt.Fprintln(out.w, "listening on", in.CallerAddress()); err != nil {
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
