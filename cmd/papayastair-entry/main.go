// Command papayastair-entry is one entry instance on the users' platform. It
// holds only what serves, so that it starts fast; everything else is in
// command papayastair.
//
// It reads the settings file that the environment names, logs to standard
// output, ends on SIGTERM when what runs is finished, and exits with 1 if it
// can't start.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"papayastair.dev/papayastair/entry"
	"papayastair.dev/papayastair/event"
	"papayastair.dev/papayastair/objectstore"
	"papayastair.dev/papayastair/platform"
)

// _memoryShare is the part of the memory limit that the runtime aims to stay
// under; the rest is for what it doesn't count.
const _memoryShare = 0.7

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run() error {
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	path := os.Getenv(platform.SettingsVariable)
	settings, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(settings.Cores)
	if settings.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(float64(settings.MemoryMB<<20) * _memoryShare))
	}
	log := event.OpenStream(os.Stdout, settings.Name)
	defer log.Close()
	registry := metrics.NewRegistry()
	client := platform.NewClient(settings.StoreAddress, registry)
	client.Patience = settings.Bounds.ReadPatience()
	client.Log = log
	orders := platform.NewOrders()
	e, err := entry.New(entry.Config{
		Settings: settings,
		Codec:    platform.Dialect(),
		Store: func(cause string, wait time.Duration) objectstore.Store {
			return client.StoreWithWait(cause, wait)
		},
		SendOrder: orders.Give,
		Report:    orders.Report,
		Log:       log,
		Registry:  registry,
	})
	if err != nil {
		return err
	}
	for {
		select {
		case <-reload:
			reread(log, path)

			continue
		case <-stop:
		}

		break
	}
	e.Leave()
	e.Close()
	client.Close()
	orders.Close()

	return nil
}

// reread logs what changed settings would say. Addresses and bounds are taken
// at a start only.
func reread(log *event.Log, path string) {
	settings, err := platform.ReadSettings(path)
	log.Write(event.SettingsReread, zap.Any("Settings", settings), zap.Error(err))
}
