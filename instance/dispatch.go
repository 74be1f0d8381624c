package instance

import (
	"context"
	"slices"
	"sync"
	"time"

	"papayastair.dev/papayastair/gateway"
	"papayastair.dev/papayastair/settings"
	"papayastair.dev/papayastair/wire"
)

// dispatcher chooses the engine with the fewest requests of this instance.
type dispatcher struct {
	mu      sync.Mutex
	servers map[string]wire.BackendServer
	running map[string]int
}

func newDispatcher() *dispatcher {
	return &dispatcher{running: map[string]int{}}
}

func (d *dispatcher) setServers(snapshot *settings.Snapshot) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.servers = snapshot.BackendServers
}

func (d *dispatcher) acquire(_ context.Context, work gateway.Work) (gateway.Slot, *gateway.Refusal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	best := ""
	for name, server := range d.servers {
		if server.Kind != wire.BackendServerKindEngine || slices.Contains(work.Exclude, name) || d.running[name] >= server.Slots {
			continue
		}
		if best == "" || d.running[name] < d.running[best] || d.running[name] == d.running[best] && name < best {
			best = name
		}
	}
	if best == "" {
		return gateway.Slot{}, &gateway.Refusal{
			Reason:     "no backend server has room",
			RetryAfter: time.Second,
		}
	}
	d.running[best]++

	return gateway.Slot{
		Server:  best,
		Address: d.servers[best].Address,
		First:   func() {},
		Done: func(gateway.Result) {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.running[best]--
		},
	}, nil
}
