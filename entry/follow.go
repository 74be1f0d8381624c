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
	// _evidenceWait is how long a watch of the configuration waits: each
	// answer is evidence that nothing has changed, for all who are told of it.
	_evidenceWait = 600 * time.Millisecond
	// _evidenceOld is how old evidence that others passed on may be before the
	// store is asked: a wait, four hops and their acknowledgements.
	_evidenceOld = 2200 * time.Millisecond
	// _entryWait is how long the watch of backend servers' entries waits, and
	// _recordWait that of the instances' records.
	_entryWait  = 5 * time.Second
	_recordWait = 30 * time.Second
	// _entryGather is the pause before each watch of backend servers' entries,
	// which change often while adapters move; a quarter of the time within which
	// a leaving backend server must get no more requests.
	_entryGather = 500 * time.Millisecond
	// _recordGather is the pause after changes of records: all come at once when
	// all instances start.
	_recordGather = time.Second
	// _keyMargin is how long before the bound on withdrawn keys requests with
	// keys are refused: the time from the last check to the last byte sent.
	_keyMargin = 700 * time.Millisecond
	// _recordKind is the kind of the instances' records in the store.
	_recordKind = "papayastair-entries"
	// _recordSilence is how long an instance must be silent for its record to
	// be removed by another.
	_recordSilence = 30 * time.Second
	_recordTimeout = time.Second
)

// evidence is when the configuration in force was current at the latest, by
// the clock that counts pauses.
type evidence struct {
	mu   sync.Mutex
	at   time.Duration
	lost bool
}

func (v *evidence) init() {
	v.at = -1 << 62
	v.lost = true
}

// note takes newer evidence and says whether it was missing before, and is
// young enough now.
func (v *evidence) note(at, most time.Duration) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.at = max(v.at, at)
	if !v.lost || timer.Elapsed()-v.at > most {
		return false
	}
	v.lost = false

	return true
}

// age is how old the evidence is.
func (v *evidence) age() time.Duration {
	v.mu.Lock()
	defer v.mu.Unlock()

	return timer.Elapsed() - v.at
}

// lose says whether the loss is new.
func (v *evidence) lose() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	first := !v.lost
	v.lost = true

	return first
}

// follow begins to follow the store.
func (e *Entry) follow() {
	d := e.cfg.Dialect
	e.wg.Go(func() { e.followConfiguration(d) })
	e.wg.Go(func() { e.followServers(d) })
	e.wg.Go(e.followRecords)
}

func (e *Entry) followConfiguration(d Dialect) {
	var asked time.Duration
	store := e.cfg.Store("Configuration", _evidenceWait)
	list, watch := store.List, store.Watch
	store.List = func(ctx context.Context, kind string) (wire.ObjectList, error) {
		asked = timer.Elapsed()

		return list(ctx, kind)
	}
	store.Watch = func(ctx context.Context, kind string, after int) (wire.ObjectList, error) {
		if err := e.untilOld(ctx); err != nil {
			return wire.ObjectList{}, err
		}
		asked = timer.Elapsed()

		return watch(ctx, kind, after)
	}
	objectstore.Follow(e.ctx, objectstore.FollowConfig{
		Store: store,
		Kind:  d.ConfigurationKind,
		Changed: func(object wire.Object) {
			if object.Name == d.ConfigurationName && object.Value != "" {
				e.takeConfiguration(object)
			}
		},
		Current: func(int) { e.noteEvidence(asked) },
		Log:     e.cfg.Log,
	})
}

// untilOld waits while others read the configuration for this instance: until
// it is to read it for others itself, one has a newer version, or what they say
// is old.
func (e *Entry) untilOld(ctx context.Context) error {
	for {
		told := e.toldChannel()
		cfg := e.current.Load()
		left := _evidenceOld - e.evidence.age()
		if cfg == nil || left <= 0 || e.hub.Reads() || e.newest.Load() > int64(cfg.Version) {
			return nil
		}
		wait := time.NewTimer(left)
		select {
		case <-ctx.Done():
			wait.Stop()

			return ctx.Err()
		case <-told:
		case <-wait.C:
		}
		wait.Stop()
	}
}

// toldChannel is closed when another instance has a newer configuration.
func (e *Entry) toldChannel() chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()

	return e.told
}

// noteVersion notes which version another instance has.
func (e *Entry) noteVersion(version int) {
	if int64(version) <= e.newest.Load() {
		return
	}
	e.newest.Store(int64(version))
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.told)
	e.told = make(chan struct{})
}

func (e *Entry) noteEvidence(at time.Duration) {
	if e.evidence.note(at, e.keysFor()) {
		e.cfg.Log.Write(event.EvidenceRegained, zap.Duration("Age", timer.Elapsed()-at))
	}
}

func (e *Entry) takeConfiguration(object wire.Object) {
	cfg, err := e.cfg.Dialect.DecodeConfiguration(object.Value)
	if err != nil {
		e.cfg.Log.Write(event.DeclarationRefused, zap.Int("Revision", object.Version), zap.Error(err))

		return
	}
	cfg.Revision = object.Version
	cfg.Index()
	if now := e.current.Load(); now != nil && now.Version > cfg.Version {
		return
	}
	limits := limitsOf(cfg.Limits)
	e.limits.Store(&limits)
	e.book.SetWorkspaces(cfg.Workspaces, time.Now())
	e.current.Store(cfg)
	if e.hub.Reads() {
		e.hub.PushNews()
	}
	e.cfg.Log.Write(event.DeclarationTaken, zap.Int("Version", cfg.Version), zap.Int("Revision", cfg.Revision),
		zap.Int("Routes", len(cfg.Routes)), zap.Int("Services", len(cfg.Services)), zap.Int("Workspaces", len(cfg.Workspaces)))
}

// limitsOf are the limits in force by a configuration: what it doesn't give is as
// before one is known.
func limitsOf(l site.Limits) site.Limits {
	out := _firstLimits
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

// keysAllowed says whether requests with keys may be passed on: the
// configuration was current so lately that no withdrawn key is still in it.
func (e *Entry) keysAllowed() bool {
	age := e.evidence.age()
	if age <= e.keysFor() {
		return true
	}
	if e.evidence.lose() {
		e.cfg.Log.Write(event.EvidenceLost, zap.Duration("Age", age))
	}

	return false
}

// keysFor is how old evidence may be for requests with keys.
func (e *Entry) keysFor() time.Duration {
	return e.cfg.Settings.Bounds.Revoke - _keyMargin
}

// isCurrent says whether the configuration is surely no older than callers may
// expect, so that what is not in it doesn't exist.
func (e *Entry) isCurrent() bool {
	return e.evidence.age() <= e.cfg.Settings.Bounds.Apply
}

func (e *Entry) followServers(d Dialect) {
	f := serverFollower{
		entry:   e,
		missing: map[string]bool{},
		logged:  map[string]site.BackendServer{},
	}
	objectstore.Follow(e.ctx, objectstore.FollowConfig{
		Store:   e.changes.share(f.wrap(e.cfg.Store("Servers", _entryWait)), e.hub.Reads),
		Kind:    d.ServerKind,
		Changed: f.changed,
		Current: func(int) { e.serversKnown.Store(true) },
		Log:     e.cfg.Log,
	})
}

// serverFollower keeps backend servers whose entries vanish while the store is
// out of order until they have had the time to come back.
type serverFollower struct {
	entry *Entry
	mu    sync.Mutex
	// failedAt is when the store last failed, by timer.Elapsed.
	failedAt time.Duration
	failed   bool
	missing  map[string]bool
	// logged are the entries as they were logged last: what a backend server
	// holds changes all the time, and is logged by its steward.
	logged map[string]site.BackendServer
}

// wrap notes the failures of the store's calls.
func (f *serverFollower) wrap(store objectstore.Store) objectstore.Store {
	list, watch := store.List, store.Watch
	store.List = func(ctx context.Context, kind string) (wire.ObjectList, error) {
		l, err := list(ctx, kind)
		f.note(err)

		return l, err
	}
	store.Watch = func(ctx context.Context, kind string, after int) (wire.ObjectList, error) {
		l, err := watch(ctx, kind, after)
		f.note(err)

		return l, err
	}

	return store
}

func (f *serverFollower) note(err error) {
	if err == nil || objectstore.CodeOf(err) == objectstore.CodeGone {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failed = true
	f.failedAt = timer.Elapsed()
}

// grace is how long a missing entry may still come back, because the store was
// out of order until lately.
func (f *serverFollower) grace() time.Duration {
	if !f.failed {
		return 0
	}

	return max(0, f.failedAt+f.entry.cfg.Settings.Bounds.EntryReturn-timer.Elapsed())
}

func (f *serverFollower) changed(object wire.Object) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e := f.entry
	if object.Value == "" {
		grace := f.grace()
		if grace == 0 {
			f.remove(object.Name)

			return
		}
		f.missing[object.Name] = true
		time.AfterFunc(grace, func() { f.settle(object.Name) })

		return
	}
	delete(f.missing, object.Name)
	entry, err := e.cfg.Dialect.DecodeServer(object.Name, object.Value)
	if err != nil {
		e.cfg.Log.Write(event.ServerUnreadable, zap.String("Server", object.Name), zap.Int("Revision", object.Version), zap.Error(err))
		f.remove(object.Name)

		return
	}
	if was, ok := f.logged[entry.ID]; !ok || was.Draining != entry.Draining || was.Born != entry.Born || was.Address != entry.Address {
		e.cfg.Log.Write(event.ServerRegistered, zap.String("Server", entry.ID), zap.String("Service", entry.Service), zap.String("Address", entry.Address),
			zap.Bool("Draining", entry.Draining), zap.Int("Models", len(entry.Models)), zap.Int("Revision", object.Version))
	}
	f.logged[entry.ID] = entry
	e.board.SetServer(entry)
	e.steward.SetServer(entry)
	e.wakeWaiters()
}

// settle removes an entry that has not come back.
func (f *serverFollower) settle(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.missing[id] {
		f.remove(id)
	}
}

func (f *serverFollower) remove(id string) {
	delete(f.missing, id)
	delete(f.logged, id)
	e := f.entry
	e.cfg.Log.Write(event.ServerGone, zap.String("Server", id))
	e.board.RemoveServer(id)
	e.steward.RemoveServer(id)
	e.dropPool(id)
}

// dropPool closes the idle connections to a backend server that is gone.
func (e *Entry) dropPool(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for key, p := range e.pools {
		if len(key) > len(id) && key[:len(id)] == id && key[len(id)] == '|' {
			p.Close()
			delete(e.pools, key)
		}
	}
}

// recordBook is what is known of the instances' records in the store.
type recordBook struct {
	mu       sync.Mutex
	records  map[string]wire.EntryRecord
	versions map[string]int
	listed   bool
}

func (b *recordBook) init() {
	b.records = map[string]wire.EntryRecord{}
	b.versions = map[string]int{}
}

func (e *Entry) followRecords() {
	objectstore.Follow(e.ctx, objectstore.FollowConfig{
		Store:  e.cfg.Store("Records", _recordWait),
		Kind:   _recordKind,
		Gather: _recordGather,
		Changed: func(object wire.Object) {
			e.records.mu.Lock()
			defer e.records.mu.Unlock()
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
			e.takeRecords()
			e.keepRecord()
		},
		Log: e.cfg.Log,
	})
}

func (e *Entry) takeRecords() {
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
	e.hub.SetRecords(records)
	e.board.SetInstances(len(records))
	if !e.hub.Meshed() {
		others = map[string]int{exchange.Everyone: len(others)}
	}
	e.book.SetPeers(others, time.Now())
}

// keepRecord writes this instance's record if the store holds another or none,
// and removes those of instances that have been silent for long.
func (e *Entry) keepRecord() {
	if e.leaving.Load() {
		return
	}
	s := e.cfg.Settings
	mine := wire.EntryRecord{
		Name:          s.Name,
		Start:         e.start,
		Address:       s.PeerAddress,
		CallerAddress: s.CallerAddress,
		FailureDomain: s.FailureDomain,
		Capacity:      s.Capacity,
	}
	e.records.mu.Lock()
	listed, held, version := e.records.listed, e.records.records[s.Name], e.records.versions[s.Name]
	e.records.mu.Unlock()
	if !listed || held == mine {
		e.pruneRecords()

		return
	}
	value, err := json.Marshal(mine)
	if err != nil {
		e.cfg.Log.Write(event.RecordFailed, zap.Error(err))

		return
	}
	ctx, cancel := context.WithTimeout(e.ctx, _recordTimeout)
	defer cancel()
	version, err = e.cfg.Store("Records", 0).Put(ctx, _recordKind, s.Name, string(value), version)
	if err != nil {
		// The watch brings the record's version; the next look tries again.
		e.cfg.Log.Write(event.RecordFailed, zap.Error(err))

		return
	}
	e.records.mu.Lock()
	e.records.records[s.Name] = mine
	e.records.versions[s.Name] = version
	e.records.mu.Unlock()
}

// pruneRecords lets the steward of the first shard remove the records of lost instances.
func (e *Entry) pruneRecords() {
	if _, held := e.leases[0].Held(); !held {
		return
	}
	for _, i := range e.hub.Instances() {
		silent := i.Silent
		if silent < 0 {
			silent = timer.Elapsed() - e.began
		}
		if !i.InStore || i.Alive || silent < _recordSilence {
			continue
		}
		e.records.mu.Lock()
		version := e.records.versions[i.Name]
		e.records.mu.Unlock()
		e.deleteRecord(i.Name, version)
	}
}

func (e *Entry) removeRecord() {
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
