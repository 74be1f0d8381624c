package configuration

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"papayastair.dev/papayastair/objectstore"
	"papayastair.dev/papayastair/peer"
	"papayastair.dev/papayastair/wire"
)

const (
	_syncMethod   = "Configuration.Sync"
	_fetchMethod  = "Configuration.Fetch"
	_syncTimeout  = 500 * time.Millisecond
	_fetchTimeout = 2 * time.Second
	_storeTimeout = 2 * time.Second
)

// Register lets peers call the follower. Call it before the server serves.
func Register(server *peer.Server, f *Follower) {
	peer.Register(server, _syncMethod, f.HandleSync)
	peer.Register(server, _fetchMethod, f.HandleFetch)
}

// Carrier does a follower's calls in goroutines. Use Carry.
type Carrier struct {
	reads  objectstore.Store
	writes objectstore.Store
	ctx    context.Context
	cancel context.CancelFunc

	mu sync.Mutex
	wg conc.WaitGroup
}

// Carry sets the function fields of a follower that reach the store and the
// peers. reads and status count the calls on the store by their causes. Close
// the carrier after the follower is stopped and before the pool is closed.
func Carry(f *Follower, pool *peer.Pool, reads, status objectstore.Store) *Carrier {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Carrier{
		reads:  reads,
		writes: status,
		ctx:    ctx,
		cancel: cancel,
	}
	f.Sync = func(address string, request wire.SyncRequest, done func(wire.SyncReply, error)) {
		peer.Go(pool, _syncTimeout, address, _syncMethod, request, done)
	}
	f.Fetch = func(address string, request wire.FetchRequest, done func(wire.FetchReply, error)) {
		peer.Go(pool, _fetchTimeout, address, _fetchMethod, request, done)
	}
	f.ReadHead = func(done func(wire.Object, error)) {
		c.read(KindHead, HeadName, done)
	}
	f.ReadSubtree = func(digest string, done func(wire.Object, error)) {
		c.read(KindSubtree, digest, done)
	}
	f.WriteHead = func(value string, version int, done func()) {
		c.start(func(ctx context.Context) {
			// The next reading shows the outcome.
			_, _ = c.reads.Put(ctx, KindHead, HeadName, value, version)
			done()
		})
	}
	f.WriteStatus = func(s wire.DomainStatus) {
		c.start(func(ctx context.Context) { c.writeStatus(ctx, s) })
	}

	return c
}

// Close waits for the calls on the store.
func (c *Carrier) Close() {
	c.mu.Lock()
	c.cancel()
	c.mu.Unlock()
	c.wg.Wait()
}

func (c *Carrier) read(kind, name string, done func(wire.Object, error)) {
	c.start(func(ctx context.Context) { done(c.reads.Get(ctx, kind, name)) })
}

func (c *Carrier) start(call func(ctx context.Context)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ctx.Err() != nil {
		return
	}
	c.wg.Go(func() {
		ctx, cancel := context.WithTimeout(c.ctx, _storeTimeout)
		defer cancel()
		call(ctx)
	})
}

// writeStatus replaces the status of a failure domain. Another relay's write
// in between is as good, so a conflict is left alone.
func (c *Carrier) writeStatus(ctx context.Context, s wire.DomainStatus) {
	name := "configuration." + s.FailureDomain
	object, err := c.writes.Get(ctx, KindStatus, name)
	if err != nil && objectstore.CodeOf(err) != objectstore.CodeNotFound {
		return
	}
	_, _ = c.writes.Put(ctx, KindStatus, name, encodeStatus(s), object.Version)
}

// encodeStatus returns the JSON of a status.
func encodeStatus[T wire.DomainStatus | wire.InstanceStatus](status T) string {
	value, err := json.Marshal(status)
	if err != nil {
		panic(fmt.Sprintf("configuration: encode status: %v", err))
	}

	return string(value)
}
