package membership

import (
	"context"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"papayastair.dev/papayastair/objectstore"
	"papayastair.dev/papayastair/peer"
	"papayastair.dev/papayastair/wire"
)

const (
	_probeMethod     = "Membership.Probe"
	_directTimeout   = 500 * time.Millisecond
	_indirectTimeout = 800 * time.Millisecond
	_listTimeout     = 30 * time.Second
)

// Register registers the detector's probe handler. It must be called before
// server.Serve.
func Register(server *peer.Server, d *Detector) {
	peer.Register(server, _probeMethod, func(probe wire.Probe) (wire.ProbeReply, error) {
		answer := make(chan wire.ProbeReply, 1)
		d.HandleProbe(probe, func(reply wire.ProbeReply) { answer <- reply })
		select {
		case reply := <-answer:
			return reply, nil
		case <-time.After(_indirectTimeout):
			// The pool was closed during an indirect probe, so its callback
			// never runs.
			return wire.ProbeReply{}, nil
		}
	})
}

// Transport runs a detector's calls to the object store in goroutines. It is
// created by Carry.
type Transport struct {
	store  objectstore.Store
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	wg conc.WaitGroup
}

// Connect sets d.Probe and d.ReadList to call peers through pool and to read
// the member list from store. The Carrier must be closed after the detector
// is stopped and before the pool is closed.
func Connect(d *Detector, pool *peer.Pool, store objectstore.Store) *Transport {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Transport{
		store:  store,
		ctx:    ctx,
		cancel: cancel,
	}
	d.Probe = func(address string, probe wire.Probe, done func(wire.ProbeReply, error)) {
		timeout := _directTimeout
		if probe.Target != "" {
			timeout = _indirectTimeout
		}
		peer.Go(pool, timeout, address, _probeMethod, probe, done)
	}
	d.ReadList = c.readList

	return c
}

// Close cancels the calls to the store, including a blocked watch, and waits
// for them to return.
func (c *Transport) Close() {
	c.mu.Lock()
	c.cancel()
	c.mu.Unlock()
	c.wg.Wait()
}

func (c *Transport) readList(after int, done func(wire.ObjectList, error)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx.Err() != nil {
		return
	}
	c.wg.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, _listTimeout)
		defer cancel()
		if after == 0 {
			done(c.store.List(ctx, KindMember))

			return
		}
		done(c.store.Watch(ctx, KindMember, after))
	})
}
