package entry

import (
	"context"
	"slices"
	"sync"
	"time"

	"papayastair.dev/papayastair/objectstore"
	"papayastair.dev/papayastair/timer"
	"papayastair.dev/papayastair/wire"
)

const (
	// _changeRetention is how long a change is included in bulletins: three
	// bulletins, or two notes of a standby relay, so that a lost one leaves no gap.
	_changeRetention = 900 * time.Millisecond
	// _neverChecked is the time of a query that has never been made.
	_neverChecked = time.Duration(-1 << 62)
)

// sharedChanges shares the changes of the store's objects of one kind between
// instances: one instance reads them from the store and sends them to the others in
// its bulletins, with the time of its query. An instance whose objects become too
// old, because the reader gets no answers or isn't heard, queries the store itself.
type sharedChanges struct {
	cfg sharedConfig
	mu  sync.Mutex
	// recent holds all changes after the revision after and up to the revision
	// upTo.
	after  int
	upTo   int
	recent []change
	// known are the names of the objects at the revision upTo.
	known map[string]bool
	// received holds the latest changes sent by another instance. updated is closed
	// and replaced with each new value of it. abort ends the query under way.
	received wire.StoreChanges
	updated  chan struct{}
	abort    context.CancelFunc
	// applied is the revision up to which the objects are in effect here. The store
	// held nothing later than the revision checkedUpTo at the time checkedAt, and
	// nothing later than applied at currentAt; both by elapsed.
	applied     int
	checkedUpTo int
	checkedAt   time.Duration
	currentAt   time.Duration
	// queriedAt is the time of this instance's last query that was answered, and
	// nextQueryAt the time before which it makes no other one.
	queriedAt   time.Duration
	nextQueryAt time.Duration
	failed      failedQueries
	// maxAge returns the age of the objects at which this instance queries the store.
	maxAge func() time.Duration
	// elapsed is timer.Elapsed.
	elapsed func() time.Duration
	// stale is the state that was last logged.
	stale bool
}

// sharedConfig configures sharedChanges.
type sharedConfig struct {
	// Bound is the time within which a change must be known to all instances.
	Bound time.Duration
	// ReaderAge is the age of the objects at which the reader queries the store again; 0
	// for the least of _maxReaderAge and its share of Bound.
	ReaderAge time.Duration
	// BatchDelay is the pause of a reader after an answer with changes, so that changes
	// in quick succession are read together; 0 for none.
	BatchDelay time.Duration
	// SettleTime is the time from the first list to the first query, unless another
	// instance's changes make it unnecessary: what is listed while all instances start
	// is soon out of date.
	SettleTime time.Duration
	// RetryPause returns the pause after a number of failed queries in a row, where a
	// single instance would wait for d.
	RetryPause func(d time.Duration, failures int) time.Duration
}

type change struct {
	object wire.ChangedObject
	at     time.Time
}

func newSharedChanges(cfg sharedConfig) *sharedChanges {
	return &sharedChanges{
		cfg:         cfg,
		updated:     make(chan struct{}),
		checkedAt:   _neverChecked,
		currentAt:   _neverChecked,
		queriedAt:   _neverChecked,
		nextQueryAt: _neverChecked,
		stale:       true,
		elapsed:     timer.Elapsed,
		known:       map[string]bool{},
	}
}

// checked records that the store held nothing later than upTo at the time at.
// c.mu must be held.
func (c *sharedChanges) checked(upTo int, at time.Duration) {
	c.checkedUpTo = max(c.checkedUpTo, upTo)
	c.checkedAt = max(c.checkedAt, at)
	if c.checkedUpTo <= c.applied {
		c.currentAt = c.checkedAt
	}
}

// setApplied records the revision up to which the objects are in effect.
func (c *sharedChanges) setApplied(revision int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applied = revision
	c.checked(c.checkedUpTo, c.checkedAt)
}

// age returns the age of the objects in effect: the time since the store is known
// to have held nothing later.
func (c *sharedChanges) age() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.elapsed() - c.currentAt
}

// setStale records whether the objects are too old, and reports whether that has
// changed.
func (c *sharedChanges) setStale(stale bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := c.stale != stale
	c.stale = stale

	return changed
}

// wrap returns the store with a Watch that first waits for changes sent by other
// instances. It queries the store once the objects are older than maxAge.
func (c *sharedChanges) wrap(store objectstore.Store, maxAge func() time.Duration) objectstore.Store {
	list, watch := store.List, store.Watch
	c.maxAge = maxAge
	store.List = func(ctx context.Context, kind string) (wire.ObjectList, error) {
		queriedAt := c.elapsed()
		l, err := list(ctx, kind)
		c.recordList(l, err, queriedAt)

		return l, err
	}
	store.Watch = func(ctx context.Context, kind string, after int) (wire.ObjectList, error) {
		c.setApplied(after)
		if l, ok, err := c.waitReceived(ctx, kind, after); ok || err != nil {
			return l, err
		}

		return c.query(ctx, kind, after, watch)
	}

	return store
}

// waitReceived waits until another instance has sent the changes after a
// revision. It reports false if the store must be queried instead, because changes
// are missing in between or the objects are older than maxAge.
func (c *sharedChanges) waitReceived(ctx context.Context, kind string, after int) (wire.ObjectList, bool, error) {
	for {
		updated := c.updatedChannel()
		if l, ok := c.takeReceived(kind, after); ok {
			return l, true, nil
		}
		left := c.untilQuery(after)
		if left <= 0 {
			return wire.ObjectList{}, false, nil
		}
		c.resetFailures()
		timer := time.NewTimer(left)
		select {
		case <-ctx.Done():
			timer.Stop()

			return wire.ObjectList{}, false, ctx.Err()
		case <-updated:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// untilQuery returns the time until the store must be queried for the changes after a
// revision.
func (c *sharedChanges) untilQuery(after int) time.Duration {
	maxAge := c.maxAge()
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.elapsed()
	left := c.nextQueryAt - now
	if !c.missesChanges(after) {
		left = max(left, c.currentAt+maxAge-now)
	}

	return left
}

// resetFailures forgets the failed queries, as no query is due.
func (c *sharedChanges) resetFailures() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed.count = 0
}

// query watches the store. It takes changes sent by another instance that arrive
// first, as the store may not answer this instance.
func (c *sharedChanges) query(
	ctx context.Context,
	kind string,
	after int,
	watch func(ctx context.Context, kind string, after int) (wire.ObjectList, error),
) (wire.ObjectList, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.setAbort(cancel)
	defer c.setAbort(nil)
	queriedAt := c.elapsed()
	l, err := watch(ctx, kind, after)
	if err == nil && l.Version < after {
		c.recordOld()

		return l, nil
	}
	if err == nil {
		c.recordQuery(after, l, queriedAt)

		return l, nil
	}
	if received, ok := c.takeReceived(kind, after); ok {
		return received, nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed.recordWatch(err)

	return l, err
}

// recordOld records an answer that is older than one before, which shows nothing.
func (c *sharedChanges) recordOld() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failed.recordOld()
}

// sleep waits after a failed query: for d if only the store has what is missing, else
// for the pause of the instances together, or until no query is due any more because of
// what another instance has sent.
func (c *sharedChanges) sleep(ctx context.Context, d time.Duration) error {
	failures, needsStore := c.failedState()
	timer := time.NewTimer(c.cfg.RetryPause(d, failures))
	defer timer.Stop()
	for !needsStore {
		updated := c.updatedChannel()
		if c.hasReceived() || c.untilQuery(c.appliedRevision()) > 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-updated:
			failures, needsStore = c.failedState()
		case <-timer.C:
			return nil
		}
	}

	return objectstore.Sleep(ctx, singlePause(d, failures))
}

// failedState returns the number of failed queries in a row and reports whether only the
// store has what is missing: all objects, or changes that others no longer send.
func (c *sharedChanges) failedState() (failures int, needsStore bool) {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.failed.count, c.failed.mustList || c.missesChanges(c.applied)
}

// appliedRevision returns the revision up to which the objects are in effect.
func (c *sharedChanges) appliedRevision() int {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.applied
}

// updatedChannel returns a channel that is closed when changes are received.
func (c *sharedChanges) updatedChannel() chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.updated
}

// setAbort sets the function that ends the query under way, nil for none.
func (c *sharedChanges) setAbort(abort context.CancelFunc) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.abort = abort
	if abort != nil && c.covers(c.applied) {
		abort()
	}
}

// covers reports whether the received changes include all those after a revision,
// and any. c.mu must be held.
func (c *sharedChanges) covers(after int) bool {
	return c.received.UpTo > after && c.received.After <= after
}

// hasReceived reports whether changes have been received that aren't in effect.
func (c *sharedChanges) hasReceived() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.covers(c.applied)
}

// missesChanges reports whether there are changes after a revision that the received
// ones don't include. c.mu must be held.
func (c *sharedChanges) missesChanges(after int) bool {
	return c.received.After > after
}

// takeReceived returns the received changes after a revision, if they are complete.
func (c *sharedChanges) takeReceived(kind string, after int) (wire.ObjectList, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.covers(after) {
		return wire.ObjectList{}, false
	}
	l := objectList(kind, c.received, after)
	c.record(after, l)

	return l, true
}

// objectList returns the received changes after a revision as the store would
// have answered a watch.
func objectList(kind string, received wire.StoreChanges, after int) wire.ObjectList {
	l := wire.ObjectList{Version: received.UpTo}
	for _, o := range received.Objects {
		if o.AnsweredAt > after {
			l.Objects = append(l.Objects, wire.Object{
				Kind:    kind,
				Name:    o.Name,
				Version: o.Revision,
				Value:   o.Value,
			})
		}
	}

	return l
}

// recordList records the result of a list that was requested at the time queriedAt.
// A list after the first one replaces a watch that the store could not answer from its
// history: what differs from the objects known before is sent to other instances as
// changes, so that they needn't list the objects too.
func (c *sharedChanges) recordList(l wire.ObjectList, err error, queriedAt time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err == nil && l.Version < c.upTo {
		c.failed.recordOld()

		return
	}
	c.failed.recordList(err)
	if err != nil {
		return
	}
	first := c.queriedAt == _neverChecked
	c.queriedAt = queriedAt
	// What the store has lost is not a change from what others know, which may be more
	// than what this instance knew: they have to list the objects themselves.
	anew := first || objectstore.Epoch(l.Version) > objectstore.Epoch(c.upTo)
	if anew {
		c.after, c.upTo = l.Version, l.Version
	}
	c.record(c.upTo, c.difference(l))
	if anew {
		c.recent = nil
	}
	if first && c.cfg.SettleTime > 0 {
		c.nextQueryAt = c.elapsed() + c.cfg.SettleTime

		return
	}
	c.checked(l.Version, queriedAt)
}

// difference returns the objects of a list that have changed after the revision upTo,
// and those known then that it doesn't hold as deleted. c.mu must be held.
func (c *sharedChanges) difference(l wire.ObjectList) wire.ObjectList {
	out := wire.ObjectList{Version: l.Version}
	listed := make(map[string]bool, len(l.Objects))
	for _, o := range l.Objects {
		listed[o.Name] = true
		if o.Version > c.upTo || !c.known[o.Name] {
			out.Objects = append(out.Objects, o)
		}
	}
	for name := range c.known {
		if !listed[name] {
			out.Objects = append(out.Objects, wire.Object{
				Name:    name,
				Version: l.Version,
			})
		}
	}

	return out
}

// recordQuery adds the store's answer to a query at the time queriedAt.
func (c *sharedChanges) recordQuery(after int, l wire.ObjectList, queriedAt time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.record(after, l)
	c.queriedAt = queriedAt
	c.failed.recordWatch(nil)
	if len(l.Objects) > 0 {
		c.nextQueryAt = c.elapsed() + c.cfg.BatchDelay
	}
	c.checked(l.Version, queriedAt)
}

// record adds an answer to the changes that are sent to other instances. c.mu must be
// held.
func (c *sharedChanges) record(after int, l wire.ObjectList) {
	if after != c.upTo {
		c.after, c.recent = after, nil
	}
	c.upTo = l.Version
	now := time.Now()
	changed := map[string]bool{}
	for _, o := range l.Objects {
		changed[o.Name] = true
		if o.Value == "" {
			delete(c.known, o.Name)
		} else {
			c.known[o.Name] = true
		}
	}
	// Each change holds the whole object, so only the last of an object is kept.
	c.recent = slices.DeleteFunc(c.recent, func(r change) bool { return changed[r.object.Name] })
	for _, o := range l.Objects {
		c.recent = append(c.recent, change{
			object: wire.ChangedObject{
				Name:       o.Name,
				Revision:   o.Version,
				AnsweredAt: l.Version,
				Value:      o.Value,
			},
			at: now,
		})
	}
}

// snapshot returns the changes of the last _changeRetention, and discards older
// ones.
func (c *sharedChanges) snapshot(now time.Time) wire.StoreChanges {
	c.mu.Lock()
	defer c.mu.Unlock()
	expired := 0
	for expired < len(c.recent) && now.Sub(c.recent[expired].at) > _changeRetention {
		c.after = max(c.after, c.recent[expired].object.AnsweredAt)
		expired++
	}
	c.recent = c.recent[expired:]
	out := wire.StoreChanges{
		After: c.after,
		UpTo:  c.upTo,
	}
	// The store held nothing later than applied at currentAt, and upTo is no less.
	if c.currentAt > 0 {
		out.CheckedMS = int(c.currentAt.Milliseconds())
	}
	for _, r := range c.recent {
		out.Objects = append(out.Objects, r.object)
	}

	return out
}

// sharesQuery reports whether this instance sends changes to the others because its
// own last query is recent: those that read for them may get no answers.
func (c *sharedChanges) sharesQuery() bool {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.elapsed()-c.queriedAt <= c.cfg.Bound
}

// receive stores the changes sent by another instance. checkedAt is a time at which
// the store held nothing later than these changes; _neverChecked if none is known.
func (c *sharedChanges) receive(received wire.StoreChanges, checkedAt time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checked(max(received.UpTo, c.received.UpTo), checkedAt)
	if received.UpTo < c.received.UpTo || received.UpTo == c.received.UpTo && received.After > c.received.After {
		return
	}
	c.received = received
	close(c.updated)
	c.updated = make(chan struct{})
	if c.abort != nil && c.covers(c.applied) {
		c.abort()
	}
}
