package entry

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"go.uber.org/zap"

	"papayastair.dev/papayastair/event"
	"papayastair.dev/papayastair/exchange"
	"papayastair.dev/papayastair/objectstore"
	"papayastair.dev/papayastair/site"
	"papayastair.dev/papayastair/timer"
	"papayastair.dev/papayastair/wire"
)

const (
	// _recordBound is the time within which all instances must know a change of the
	// instances' records. Callers and bulletins reach a new instance before that.
	_recordBound = 12 * time.Second
	// _firstWatchTimeout is the duration of a watch before there is a configuration. The
	// watch ends as soon as one is written.
	_firstWatchTimeout = 2 * time.Second
	// _maxReaderAge is the greatest age of what is known at which the reader queries
	// the store again.
	_maxReaderAge = 500 * time.Millisecond
	// _recordBatchDelay is the delay after changes of records: all arrive at once
	// when all instances start.
	_recordBatchDelay = time.Second
	// _recordSettleTime is shorter than the time after which an instance that knows no
	// other one tries to acquire leases.
	_recordSettleTime = 50 * time.Millisecond
	// _revocationMargin is how long before the bound on revoked keys requests with
	// keys are refused. It covers the time from the last check to the last byte
	// sent.
	_revocationMargin = 700 * time.Millisecond
	// _lapseTime is the time after which the entry of a silent backend server has lapsed.
	_lapseTime = 4 * time.Second
	// _maxDeparted bounds the backend servers that have left and are remembered.
	_maxDeparted = 4096
	// _noEpoch is the epoch of a store that has not answered yet.
	_noEpoch = -1
	// _recordKind is the kind of the instances' records in the store.
	_recordKind = "papayastair-entries"
	// _recordExpiry is how long an instance must be silent before another one
	// removes its record.
	_recordExpiry  = 30 * time.Second
	_recordTimeout = time.Second
)

// evidence holds the latest time at which the configuration in force was
// confirmed to be current, by timer.Elapsed, which also counts the time while
// the process or the machine was suspended.
type evidence struct {
	mu   sync.Mutex
	at   time.Duration
	lost bool
}

func (v *evidence) init() {
	v.reset()
	v.lost = true
}

// update records newer evidence. It reports whether the evidence had been lost
// and is now no older than maxAge.
func (v *evidence) update(at, maxAge time.Duration) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.at = max(v.at, at)
	if !v.lost || timer.Elapsed()-v.at > maxAge {
		return false
	}
	v.lost = false

	return true
}

// age returns the age of the evidence.
func (v *evidence) age() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()

	return timer.Elapsed() - v.at
}

// reset forgets the evidence.
func (v *evidence) reset() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.at = -1 << 62
}

// markLost marks the evidence as lost and reports whether it was not before.
func (v *evidence) markLost() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	wasKnown := !v.lost
	v.lost = true

	return wasKnown
}

// follow starts following the store.
func (e *Entry) follow() {
	d := e.cfg.Codec
	e.wg.Go(func() { e.followConfiguration(d) })
	f := e.newServerFollower()
	e.wg.Go(func() { e.followServers(d, f) })
	if e.evacuationChanges != nil {
		e.wg.Go(func() { e.followEvacuations(d, f) })
	} else {
		e.evacuationsListed.Store(true)
	}
	e.wg.Go(e.followRecords)
	e.wg.Go(e.requestConfigurations)
	e.wg.Go(e.sendConfigurations)
}

func (e *Entry) followConfiguration(d Codec) {
	r := configurationReader{
		entry:      e,
		store:      e.sharing.observe(e.cfg.Store("Configuration", shareOf(e.configurationBound(), _watchShare))),
		watchFirst: e.cfg.Store("Configuration", _firstWatchTimeout).Watch,
		epoch:      _noEpoch,
		epochAt:    _neverChecked,
	}
	objectstore.Follow(e.ctx, objectstore.FollowConfig{
		Store: objectstore.Store{
			List:  r.list,
			Watch: r.watch,
		},
		Kind: d.ConfigurationKind,
		Changed: func(object wire.Object) {
			if object.Name == d.ConfigurationName {
				r.take(object)
			}
		},
		Current: r.updateEvidence,
		Log:     e.cfg.Log,
		Sleep:   func(ctx context.Context, d time.Duration) error { return e.sleepConfiguration(ctx, d, r.failed) },
	})
}

// configurationReader reads the configuration from the store when other instances
// don't read it for this one. Its functions are called one at a time.
type configurationReader struct {
	entry *Entry
	store objectstore.Store
	// watchFirst is the Watch until there is a configuration.
	watchFirst func(ctx context.Context, kind string, after int) (wire.ObjectList, error)
	failed     failedQueries
	// latest is the version of the newest answer.
	latest int
	// queriedAt is the time of the last query whose answer shows what was in force then.
	queriedAt time.Duration
	// announced is the last version that was looked for in an answer that may be old, and
	// expected the newest one that had been announced before the query at queriedAt.
	announced int64
	expected  int64
	// shown is the version of the configuration that the store has, and revision that of
	// its object. rewritten is set once the object is known to have been written in the
	// store's present epoch, which began no later than epochAt; _noEpoch and _neverChecked
	// for none.
	shown     int
	revision  int
	rewritten bool
	epoch     int
	epochAt   time.Duration
}

// enterEpoch notes the store's epoch in an answer. That of the first answer may have begun
// just now, unless the store was never restored.
func (r *configurationReader) enterEpoch(epoch int) {
	if epoch == r.epoch {
		return
	}
	if r.epoch != _noEpoch || epoch > objectstore.FirstEpoch {
		r.epochAt = timer.Elapsed()
	}
	r.epoch = epoch
	r.rewritten = false
	r.revision = 0
}

// take applies the store's configuration if it is newer than the one in force, and notes
// what it shows. What was written before the store was restored has the revision that it
// had then, if the store has not lost it.
func (r *configurationReader) take(object wire.Object) {
	r.enterEpoch(objectstore.Epoch(object.Version))
	inForce := r.entry.current.Load()
	r.shown = 0
	if object.Value != "" {
		r.shown = r.entry.applyConfiguration(object, "")
	}
	differs := inForce != nil && (r.shown > inForce.Version ||
		r.shown == inForce.Version && objectstore.Revision(object.Version) != objectstore.Revision(inForce.Revision))
	r.rewritten = r.rewritten || differs || r.revision != 0 && object.Version != r.revision
	r.revision = object.Version
}

// updateEvidence takes an answer as evidence that the configuration in force is the
// newest, for this instance and those that receive its bulletins. One that shows less than
// what is in force here or elsewhere is none: the store was restored from a copy and has lost
// changes. It may also have lost one that no instance has seen, until its writer has had
// time to write it again.
func (r *configurationReader) updateEvidence(revision int) {
	e := r.entry
	r.enterEpoch(objectstore.Epoch(revision))
	cfg := e.current.Load()
	if cfg == nil {
		return
	}
	newest := max(cfg.Version, int(e.newestVersion.Load()))
	written := r.rewritten || timer.Elapsed()-r.epochAt >= e.cfg.Settings.Bounds.EntryReturn
	if r.shown >= newest && written {
		e.updateEvidence(r.queriedAt)
	}
	if lacking := int(r.expected); cfg.Version < lacking && r.shown < lacking {
		// What is in force here was read from such an answer.
		e.evidence.reset()
	}
}

// startQuery notes the time of a query and what its answer has to show.
func (r *configurationReader) startQuery() {
	r.queriedAt = timer.Elapsed()
	r.expected = r.entry.newestVersion.Load()
}

func (r *configurationReader) list(ctx context.Context, kind string) (wire.ObjectList, error) {
	r.startQuery()
	l, err := r.store.List(ctx, kind)
	if !r.isOld(l, err) {
		r.failed.recordList(err)
	}

	return l, err
}

// isOld reports whether an answer is older than one before, and counts it as a failure.
func (r *configurationReader) isOld(l wire.ObjectList, err error) bool {
	if err != nil {
		return false
	}
	if l.Version < r.latest {
		r.failed.recordOld()

		return true
	}
	r.latest = l.Version

	return false
}

func (r *configurationReader) watch(ctx context.Context, kind string, after int) (wire.ObjectList, error) {
	e := r.entry
	if e.untilConfigurationQuery() > 0 {
		r.failed.count = 0
	}
	if err := e.waitUntilStale(ctx); err != nil {
		return wire.ObjectList{}, err
	}
	if l, ok := r.listAnnounced(ctx, kind, after); ok {
		return l, nil
	}
	query := r.store.Watch
	if e.current.Load() == nil {
		query = r.watchFirst
	}
	r.startQuery()
	l, err := query(ctx, kind, after)
	if !r.isOld(l, err) {
		r.failed.recordWatch(err)
	}

	return l, err
}

// listAnnounced looks once for a version that another instance has announced in an
// answer that may be old: it costs less, and needs no history of the store. It is no
// evidence of what is in force now. An answer older than what is known is left out.
func (r *configurationReader) listAnnounced(ctx context.Context, kind string, after int) (wire.ObjectList, bool) {
	newest := r.entry.newestVersion.Load()
	if r.store.ListStale == nil || !r.entry.missesVersion() || r.announced == newest {
		return wire.ObjectList{}, false
	}
	r.announced = newest
	l, err := r.store.ListStale(ctx, kind)
	if err != nil {
		r.entry.cfg.Log.Write(event.PlatformFollowFailed, zap.String("Kind", kind), zap.Int("Revision", after), zap.Error(err))
	}

	return l, err == nil && l.Version >= after
}

// configurationBound returns the time within which a change of the configuration
// must be known: it must be in force then, and keys are refused without evidence.
func (e *Entry) configurationBound() time.Duration {
	return min(e.cfg.Settings.Bounds.Apply, e.maxKeyEvidenceAge())
}

// waitUntilStale waits while other instances read the configuration for this
// one. It returns when the store must be queried: no configuration is available,
// another instance has announced a newer version, or the evidence is too old.
func (e *Entry) waitUntilStale(ctx context.Context) error {
	for {
		newer := e.newerVersionChannel()
		left := e.untilConfigurationQuery()
		if left <= 0 {
			return nil
		}
		wait := time.NewTimer(left)
		select {
		case <-ctx.Done():
			wait.Stop()

			return ctx.Err()
		case <-newer:
		case <-wait.C:
		}
		wait.Stop()
	}
}

// untilConfigurationQuery returns the time until the store must be queried.
func (e *Entry) untilConfigurationQuery() time.Duration {
	if e.current.Load() == nil || e.missesVersion() {
		return 0
	}

	return maxAge(e.configurationBound(), e.hub.ReaderRank(), e.queryOffset) - e.evidence.age()
}

// missesVersion reports whether another instance has announced a newer configuration
// than the one in force here.
func (e *Entry) missesVersion() bool {
	cfg := e.current.Load()

	return cfg != nil && e.newestVersion.Load() > int64(cfg.Version)
}

// newerVersionChannel returns a channel that is closed when another instance
// announces a newer configuration.
func (e *Entry) newerVersionChannel() chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.newerVersion
}

// updateNewestVersion records a version announced by another instance.
func (e *Entry) updateNewestVersion(version int) {
	if int64(version) <= e.newestVersion.Load() {
		return
	}
	e.newestVersion.Store(int64(version))
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.newerVersion)
	e.newerVersion = make(chan struct{})
}

func (e *Entry) updateEvidence(at time.Duration) {
	if e.evidence.update(at, e.maxKeyEvidenceAge()) {
		e.cfg.Log.Write(event.EvidenceRegained, zap.Duration("Age", timer.Elapsed()-at))
	}
}

// applyConfiguration puts a configuration in force unless a newer one is. It returns the
// version of the configuration, 0 if it can't be decoded. from is the instance that sent
// it, empty for the store: only the store's may replace one of the same version, because
// that of another instance may have been written before it.
func (e *Entry) applyConfiguration(object wire.Object, from string) int {
	cfg, err := e.cfg.Codec.DecodeConfiguration(object.Value)
	if err != nil {
		e.cfg.Log.Write(event.DeclarationRefused, zap.Int("Revision", object.Version), zap.Error(err))

		return 0
	}
	cfg.Revision = object.Version
	cfg.Index()
	e.sharing.applying.Lock()
	defer e.sharing.applying.Unlock()
	current := e.current.Load()
	if from != "" {
		if current == nil || current.Version >= cfg.Version {
			return cfg.Version
		}
		if e.sharing.storeLacks(object.Version) {
			// The evidence may be from a store that was restored from a copy.
			e.evidence.reset()
		}
	}
	if current != nil && current.Version > cfg.Version {
		e.cfg.Log.Write(event.DeclarationOlder, zap.Int("Version", cfg.Version), zap.Int("InForce", current.Version), zap.Int("Revision", cfg.Revision))

		return cfg.Version
	}
	if current == nil {
		time.AfterFunc(_heldReadBound, func() { e.held.known.Store(true) })
	}
	limits := effectiveLimits(cfg.Limits)
	e.limits.Store(&limits)
	e.limiter.SetWorkspaces(cfg.Workspaces, time.Now())
	e.balancer.SetColdLimits(e.cfg.Settings.Bounds.coldLimits(cfg))
	e.current.Store(cfg)
	e.sharing.setStored(cfg.Version, object)
	if e.hub.ReadsStore() {
		e.hub.PushUpdate()
	}
	e.cfg.Log.Write(event.DeclarationTaken, zap.Int("Version", cfg.Version), zap.Int("Revision", cfg.Revision),
		zap.Int("Routes", len(cfg.Routes)), zap.Int("Services", len(cfg.Services)), zap.Int("Workspaces", len(cfg.Workspaces)), zap.String("From", from))

	return cfg.Version
}

// effectiveLimits returns the limits of a configuration, with those that it
// doesn't set taken from _defaultLimits.
func effectiveLimits(l site.Limits) site.Limits {
	out := _defaultLimits
	if l.HeaderBytes > 0 {
		out.HeaderBytes = l.HeaderBytes
	}
	if l.BodyBytes > 0 {
		out.BodyBytes = l.BodyBytes
	}
	if l.HeaderTimeout > 0 {
		out.HeaderTimeout = l.HeaderTimeout
	}
	if l.IdleTimeout > 0 {
		out.IdleTimeout = l.IdleTimeout
	}

	return out
}

// keysAllowed reports whether requests with keys may be forwarded: the
// configuration was confirmed to be current so recently that it can't hold a
// key that must have stopped working (Bounds.Revoke).
func (e *Entry) keysAllowed() bool {
	if e.hasKeyEvidence() {
		return true
	}
	if age := e.evidence.age(); e.evidence.markLost() {
		e.cfg.Log.Write(event.EvidenceLost, zap.Duration("Age", age))
	}

	return false
}

// hasKeyEvidence returns keysAllowed, and leaves no trace if they aren't.
func (e *Entry) hasKeyEvidence() bool {
	return e.evidence.age() <= e.maxKeyEvidenceAge()
}

// maxKeyEvidenceAge returns the maximum age of the evidence for requests with
// keys.
func (e *Entry) maxKeyEvidenceAge() time.Duration {
	return e.cfg.Settings.Bounds.keyEvidence()
}

// isCurrent reports whether a route or key that is missing from the
// configuration doesn't exist: the evidence is no older than the time within
// which a change must be in force.
func (e *Entry) isCurrent() bool {
	return e.evidence.age() <= e.cfg.Settings.Bounds.Apply
}

func (e *Entry) newServerFollower() *serverFollower {
	f := &serverFollower{
		entry:    e,
		outage:   newOutage(e.cfg.Settings.Bounds.EntryReturn),
		missing:  map[string]bool{},
		logged:   map[string]site.BackendServer{},
		departed: map[string]departure{},
		restored: map[string]int{},
	}
	if e.evacuationChanges != nil {
		f.evacuations = newEvacuationSet()
	}

	return f
}

func (e *Entry) followServers(d Codec, f *serverFollower) {
	objectstore.Follow(e.ctx, objectstore.FollowConfig{
		Store:   e.share(e.serverChanges, "Servers", f.outage.wrap),
		Kind:    d.ServerKind,
		Changed: f.handleChange,
		Current: func(int) { e.serversListed.Store(true) },
		Log:     e.cfg.Log,
		Sleep:   e.serverChanges.sleep,
	})
}

// The shares of the time within which a change must be known at which instances query
// the store: the reader, the instance that takes its place, and, spread by
// _spreadShare, all others. A watch is held for _watchShare. What is left is for the
// answer and for a request that has just been sent.
const (
	_readerShare  = 0.25
	_standbyShare = 0.55
	_memberShare  = 0.65
	_spreadShare  = 0.1
	_watchShare   = 1.0 / 12
)

func shareOf(bound time.Duration, share float64) time.Duration {
	return time.Duration(float64(bound) * share)
}

// share returns access to the store for following objects whose changes the
// instances share. Its calls are counted under cause; observe wraps those that reach
// the store.
func (e *Entry) share(c *sharedChanges, cause string, observe func(objectstore.Store) objectstore.Store) objectstore.Store {
	store := observe(e.cfg.Store(cause, shareOf(c.cfg.Bound, _watchShare)))

	return c.wrap(store, func() time.Duration {
		rank := e.hub.ReaderRank()
		if rank == 0 && c.cfg.ReaderAge > 0 {
			return c.cfg.ReaderAge
		}

		return maxAge(c.cfg.Bound, rank, e.queryOffset)
	})
}

// maxAge returns the age of what is known of the store at which an instance of the
// given rank among the readers queries it, so that a change is in effect within bound.
// offset, from 0 to 1, spreads the queries of instances without a rank.
func maxAge(bound time.Duration, rank int, offset float64) time.Duration {
	switch rank {
	case 0:
		return min(_maxReaderAge, shareOf(bound, _readerShare))
	case 1:
		return shareOf(bound, _standbyShare)
	default:
		return shareOf(bound, _memberShare+_spreadShare*offset)
	}
}

// serverFollower follows the backend servers' entries. Entries that disappear
// during an outage of the store are kept until they have had time to return.
type serverFollower struct {
	entry   *Entry
	outage  *outage
	mu      sync.Mutex
	missing map[string]bool
	// logged holds the entries as they were last logged. The models that a backend
	// server holds change all the time; its steward logs them.
	logged map[string]site.BackendServer
	// evacuations are those of failure domains; nil if there are none.
	evacuations *evacuationSet
	// departed holds the backend servers that have said that they leave, or whose entries
	// were removed, and restored the versions of the entries of such that a store that was
	// restored from a copy has brought back.
	departed map[string]departure
	restored map[string]int
}

// departure is what is known of a start of a backend server that leaves or has left, as of
// an epoch of the store.
type departure struct {
	born    int64
	epoch   int
	leaving bool
}

// outage tracks the store's failures while the objects of one kind are followed. Those
// that are missing after one may return.
type outage struct {
	// returnTime is how long after a failure objects may still be missing.
	returnTime time.Duration
	mu         sync.Mutex
	// failedAt is when the store last failed, by timer.Elapsed.
	failedAt time.Duration
	failed   bool
	// epoch is that of the store's latest list.
	epoch int
}

func newOutage(returnTime time.Duration) *outage {
	return &outage{
		returnTime: returnTime,
		epoch:      _noEpoch,
	}
}

// wrap returns the store with calls whose failures are recorded.
func (o *outage) wrap(store objectstore.Store) objectstore.Store {
	list, watch := store.List, store.Watch
	store.List = func(ctx context.Context, kind string) (wire.ObjectList, error) {
		l, err := list(ctx, kind)
		o.recordFailure(err)
		if err == nil {
			o.enterEpoch(objectstore.Epoch(l.Version))
		}

		return l, err
	}
	store.Watch = func(ctx context.Context, kind string, after int) (wire.ObjectList, error) {
		l, err := watch(ctx, kind, after)
		if ctx.Err() == nil {
			o.recordFailure(err)
		}

		return l, err
	}

	return store
}

func (o *outage) recordFailure(err error) {
	if err == nil || objectstore.CodeOf(err) == objectstore.CodeGone {
		return
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.failed = true
	o.failedAt = timer.Elapsed()
}

// enterEpoch notes the epoch of a list. A store that was restored from a copy may have
// lost objects, which return as after an outage.
func (o *outage) enterEpoch(epoch int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.epoch != _noEpoch && epoch > o.epoch {
		o.failed = true
		o.failedAt = timer.Elapsed()
	}
	o.epoch = max(o.epoch, epoch)
}

func (o *outage) latestEpoch() int {
	o.mu.Lock()
	defer o.mu.Unlock()

	return o.epoch
}

// grace returns how long a missing object may still return after a recent outage
// of the store.
func (o *outage) grace() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.failed {
		return 0
	}

	return max(0, o.failedAt+o.returnTime-timer.Elapsed())
}

func (f *serverFollower) handleChange(object wire.Object) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.entry
	if object.Value == "" {
		grace := f.outage.grace()
		if grace == 0 {
			f.remove(object.Name)

			return
		}
		f.missing[object.Name] = true
		time.AfterFunc(grace, func() { f.removeMissing(object.Name) })

		return
	}
	delete(f.missing, object.Name)
	entry, err := e.cfg.Codec.DecodeServer(object.Name, object.Value)
	if err != nil {
		e.cfg.Log.Write(event.ServerUnreadable, zap.String("Server", object.Name), zap.Int("Revision", object.Version), zap.Error(err))
		f.remove(object.Name)

		return
	}
	f.applyDeparture(&entry, object.Version)
	f.apply(entry, object.Version)
}

// apply puts the entry of a backend server in effect.
func (f *serverFollower) apply(entry site.BackendServer, version int) {
	e := f.entry
	if was, ok := f.logged[entry.ID]; !ok || was.Draining != entry.Draining || was.Born != entry.Born || was.Address != entry.Address {
		e.cfg.Log.Write(event.ServerRegistered, zap.String("Server", entry.ID), zap.String("Service", entry.Service), zap.String("Address", entry.Address),
			zap.Bool("Draining", entry.Draining), zap.Int("Models", len(entry.Models)), zap.Int("Revision", version))
	}
	f.logged[entry.ID] = entry
	entry.Evacuated = f.evacuations.includes(entry.FailureDomain)
	e.balancer.SetServer(entry)
	e.steward.SetServer(entry)
	e.wakeWaiters()
}

// applyDeparture marks the entry of a backend server as leaving that an earlier epoch of
// the store has shown to leave or to be gone: it is from the copy from which the store was
// restored. If the server is there after all, its entry changes, or is still there after
// _lapseTime.
func (f *serverFollower) applyDeparture(entry *site.BackendServer, version int) {
	epoch := objectstore.Epoch(version)
	id := entry.ID
	d, ok := f.departed[id]
	switch {
	case !ok || d.born != entry.Born || epoch <= d.epoch || entry.Draining:
		delete(f.departed, id)
		delete(f.restored, id)
	case d.leaving:
		entry.Draining = true
	case f.restored[id] == 0:
		entry.Draining = true
		f.restored[id] = version
		f.entry.cfg.Log.Write(event.ServerRestored, zap.String("Server", id), zap.Int("Revision", version))
		held := *entry
		time.AfterFunc(_lapseTime, func() { f.readmit(held, version) })
	case f.restored[id] == version:
		entry.Draining = true
	default:
		delete(f.departed, id)
		delete(f.restored, id)
	}
	if entry.Draining && f.restored[id] == 0 {
		f.departed[id] = departure{
			born:    entry.Born,
			epoch:   epoch,
			leaving: true,
		}
	}
}

// readmit uses a backend server whose entry was brought back and has not lapsed.
func (f *serverFollower) readmit(entry site.BackendServer, version int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.restored[entry.ID] != version || f.entry.ctx.Err() != nil {
		return
	}
	delete(f.departed, entry.ID)
	delete(f.restored, entry.ID)
	entry.Draining = false
	f.apply(entry, version)
}

// removeMissing removes an entry that has not returned.
func (f *serverFollower) removeMissing(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.missing[id] {
		f.remove(id)
	}
}

func (f *serverFollower) remove(id string) {
	if was, ok := f.logged[id]; ok {
		f.departed[id] = departure{
			born:    was.Born,
			epoch:   f.outage.latestEpoch(),
			leaving: was.Draining && f.restored[id] == 0,
		}
	}
	for other := range f.departed {
		if len(f.departed) <= _maxDeparted {
			break
		}
		delete(f.departed, other)
	}
	delete(f.restored, id)
	delete(f.missing, id)
	delete(f.logged, id)
	e := f.entry
	e.cfg.Log.Write(event.ServerGone, zap.String("Server", id))
	e.balancer.RemoveServer(id)
	e.steward.RemoveServer(id)
	e.dropPools(id)
}

// dropPools closes the idle connections to a backend server that is gone.
func (e *Entry) dropPools(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for key, p := range e.pools {
		if len(key) > len(id) && key[:len(id)] == id && key[len(id)] == '|' {
			p.Close()
			delete(e.pools, key)
		}
	}
}

// recordCache holds the instances' records as read from the store.
type recordCache struct {
	mu       sync.Mutex
	records  map[string]wire.EntryRecord
	versions map[string]int
	listed   bool
	// ownKnown reports whether the store has a record of this instance, and ownSince is
	// when it came there, by timer.Elapsed.
	ownKnown bool
	ownSince time.Duration
}

func (c *recordCache) init() {
	c.records = map[string]wire.EntryRecord{}
	c.versions = map[string]int{}
}

func (e *Entry) followRecords() {
	objectstore.Follow(e.ctx, objectstore.FollowConfig{
		Store: e.share(e.recordChanges, "Records", func(s objectstore.Store) objectstore.Store { return s }),
		Kind:  _recordKind,
		Sleep: e.recordChanges.sleep,
		Changed: func(object wire.Object) {
			e.records.mu.Lock()
			defer e.records.mu.Unlock()
			if object.Name == _heldName {
				e.observeHeld(object, !e.records.listed)

				return
			}
			var r wire.EntryRecord
			if object.Value == "" || json.Unmarshal([]byte(object.Value), &r) != nil {
				delete(e.records.records, object.Name)
				delete(e.records.versions, object.Name)

				return
			}
			e.records.records[object.Name] = r
			e.records.versions[object.Name] = object.Version
		},
		Current: func(int) {
			e.applyRecords()
			e.syncRecord()
		},
		Log: e.cfg.Log,
	})
}

func (e *Entry) applyRecords() {
	e.records.mu.Lock()
	e.records.listed = true
	records := make([]wire.EntryRecord, 0, len(e.records.records))
	others := map[string]int{}
	for _, r := range e.records.records {
		records = append(records, r)
		if r.Name != e.cfg.Settings.Name {
			others[r.Name] = 1
		}
	}
	e.records.mu.Unlock()
	e.held.known.Store(true)
	e.hub.SetRecords(records)
	e.balancer.SetInstances(len(records), e.hub.CountAge())
	if !e.hub.FullMesh() {
		others = map[string]int{exchange.AllOthers: len(others)}
	}
	e.limiter.SetPeers(others, time.Now())
}

// syncRecord writes this instance's record if the store has none or a different
// one; else it removes the records of instances that have been silent for long.
func (e *Entry) syncRecord() {
	if e.leaving.Load() {
		return
	}
	s := e.cfg.Settings
	own := wire.EntryRecord{
		Name:          s.Name,
		Start:         e.start,
		Address:       s.PeerAddress,
		CallerAddress: s.CallerAddress,
		FailureDomain: s.FailureDomain,
		Capacity:      s.Capacity,
	}
	e.records.mu.Lock()
	listed, stored, version := e.records.listed, e.records.records[s.Name], e.records.versions[s.Name]
	e.records.noteOwn(stored, e.start, timer.Elapsed())
	e.records.mu.Unlock()
	if !listed || stored == own {
		e.pruneRecords()

		return
	}
	value, err := json.Marshal(own)
	if err != nil {
		e.cfg.Log.Write(event.RecordFailed, zap.Error(err))

		return
	}
	ctx, cancel := context.WithTimeout(e.ctx, _recordTimeout)
	defer cancel()
	version, err = e.cfg.Store("Records", 0).Put(ctx, _recordKind, s.Name, string(value), version)
	if err != nil {
		// The watch updates the record's version, and the next call tries again.
		e.cfg.Log.Write(event.RecordFailed, zap.Error(err))

		return
	}
	e.records.mu.Lock()
	e.records.records[s.Name] = own
	e.records.noteOwn(own, e.start, timer.Elapsed())
	e.records.versions[s.Name] = version
	e.records.mu.Unlock()
}

// pruneRecords removes the records of lost instances if this instance is the
// steward of the first shard.
func (e *Entry) pruneRecords() {
	if _, held := e.leases[0].Held(); !held {
		return
	}
	for _, i := range e.hub.Instances() {
		silent := i.Silent
		if silent < 0 {
			silent = timer.Elapsed() - e.startedAt
		}
		if !i.InStore || i.Alive || silent < _recordExpiry {
			continue
		}
		e.records.mu.Lock()
		version := e.records.versions[i.Name]
		e.records.mu.Unlock()
		e.deleteRecord(i.Name, version)
	}
}

func (e *Entry) removeOwnRecord() {
	name := e.cfg.Settings.Name
	e.records.mu.Lock()
	version := e.records.versions[name]
	e.records.mu.Unlock()
	e.deleteRecord(name, version)
}

func (e *Entry) deleteRecord(name string, version int) {
	if version == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), _recordTimeout)
	defer cancel()
	if err := e.cfg.Store("Records", 0).Delete(ctx, _recordKind, name, version); err != nil {
		e.cfg.Log.Write(event.RecordFailed, zap.String("Name", name), zap.Error(err))
	}
}
