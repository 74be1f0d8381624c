package configuration

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"papayastair.dev/papayastair/event"
	"papayastair.dev/papayastair/settings"
	"papayastair.dev/papayastair/timer"
	"papayastair.dev/papayastair/wire"
)

const (
	_period            = time.Second
	_relaysPerDomain   = 2
	_pushFanout        = 3
	_anyPeerEvery      = 4
	_ownReadAfter      = 2 * time.Second
	_maxReadBackoff    = 4 * time.Second
	_confirmPeriod     = time.Second
	_confirmDelay      = 2 * time.Second
	_maxFetchDigests   = 64
	_maxFetchBytes     = 1 << 20
	_maxStoreFetches   = 8
	_maxStatusAge      = time.Minute
	_statusPeriod      = 5 * time.Second
	_maxTrackedMembers = 4096
)

// Follower is one instance's view of the configuration. Set the exported
// fields, then call Start. All methods are safe for concurrent use. The
// function fields must not call done before they return, and must call it
// once, at the latest after a few seconds.
type Follower struct {
	// Name, Address and FailureDomain are the instance's own.
	Name          string
	Address       string
	FailureDomain string
	// Timer is the clock.
	Timer *timer.Service
	// Random spreads reads and chooses peers.
	Random *rand.Rand
	// Peers are the other instances that seem alive.
	Peers func() []wire.Member
	// PeerAddresses are asked while Peers returns none.
	PeerAddresses []string
	// Reach counts instances, for the rule on requests with keys.
	Reach func() Reach
	// ReadHead reads the head from the store.
	ReadHead func(done func(wire.Object, error))
	// WriteHead writes a value of the head whose version in the store must be
	// version. Its outcome is not needed: a reading after it shows it.
	WriteHead func(value string, version int, done func())
	// ReadSubtree reads a content from the store.
	ReadSubtree func(digest string, done func(wire.Object, error))
	// Sync and Fetch call a peer.
	Sync  func(address string, request wire.SyncRequest, done func(wire.SyncReply, error))
	Fetch func(address string, request wire.FetchRequest, done func(wire.FetchReply, error))
	// WriteStatus, if set, stores the status of a failure domain.
	WriteStatus func(status wire.DomainStatus)
	// OnSnapshot, if set, is called with each version that comes into force,
	// in their order and one at a time.
	OnSnapshot func(snapshot *settings.Snapshot)
	// Log gets the events.
	Log *event.Log
	// Unguarded switches guards off, for tests that show what they are for.
	Unguarded Unguarded

	mu      sync.Mutex
	started time.Time
	ticks   int
	tick    *timer.Subscription
	relay   bool

	// inForce is in force; snapshot is what it resolves to.
	inForce  Accepted
	snapshot *settings.Snapshot
	// pending is newer; its index, once it is here, and its contents are
	// gathered in contents.
	pending      Accepted
	pendingSince time.Time
	problem      string
	contents     map[string]string
	subtrees     map[string]wire.Subtree
	fetching     int

	evidence evidence
	reading  reading
	members  map[string]memberStatus
	written  statusWritten
	refusing bool

	notifying sync.Mutex
	notified  int
}

// Unguarded names guards that are off.
type Unguarded struct {
	// Monotone is off: an older head replaces a newer one.
	Monotone bool
	// Confirmed is off: an instance starts on a head that was only read.
	Confirmed bool
	// Alone is off: requests with keys are always served.
	Alone bool
}

// reading is the state of the instance's own readings of the store.
type reading struct {
	busy      bool
	next      time.Time
	backoff   time.Duration
	failing   bool
	confirmed time.Time
	asked     bool
	sequence  int
}

// Start begins to follow. The first reading and the first call to a peer
// happen at once.
func (f *Follower) Start() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.started = f.Timer.Now()
	f.contents = map[string]string{}
	f.subtrees = map[string]wire.Subtree{}
	f.members = map[string]memberStatus{}
	phase := time.Duration(f.Random.Int64N(int64(_period)))
	f.onTick(f.started)
	f.tick = f.Timer.After(phase, func(now time.Time) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.tick = f.Timer.Every(_period, f.lockedTick)
		f.onTick(now)
	})
}

// Stop ends the periodic work.
func (f *Follower) Stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tick.Stop()
}

// Snapshot is the configuration in force; nil before there is one.
func (f *Follower) Snapshot() *settings.Snapshot {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.snapshot
}

// HandleSync answers a peer.
func (f *Follower) HandleSync(request wire.SyncRequest) (wire.SyncReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.Timer.Now()
	f.noteStatus(request, now)
	if request.Confirm {
		f.reading.asked = true
		f.readIfDue(now)
	}
	reply := f.evidence.reply(now)
	reply.Version = f.inForce.Version
	if f.inForce.Version > request.Version {
		reply.Head = f.inForce.Head
	}
	if request.Version > f.newest() {
		f.syncWith(request.Address, false)
	}

	return reply, nil
}

// HandleFetch answers a peer with contents.
func (f *Follower) HandleFetch(request wire.FetchRequest) (wire.FetchReply, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var reply wire.FetchReply
	size := 0
	for _, digest := range request.Digests {
		content, ok := f.contents[digest]
		if !ok {
			continue
		}
		if size += len(content); size > _maxFetchBytes && len(reply.Contents) > 0 {
			break
		}
		reply.Contents = append(reply.Contents, content)
	}

	return reply, nil
}

func (f *Follower) lockedTick(now time.Time) {
	f.mu.Lock()
	f.onTick(now)
	f.mu.Unlock()
	f.notify()
}

func (f *Follower) onTick(now time.Time) {
	f.ticks++
	peers := f.Peers()
	relays := Relays(append(peers, wire.Member{
		Name:          f.Name,
		FailureDomain: f.FailureDomain,
	}), _relaysPerDomain)
	relay := slices.Contains(relays[f.FailureDomain], f.Name)
	f.relay = relay
	f.readIfDue(now)
	f.syncWith(f.choosePeer(peers, relays), true)
	if f.ticks%_anyPeerEvery == 0 {
		f.syncWith(f.anyPeer(), false)
	}
	f.gather("")
	if relay {
		f.writeStatusIfDue(now)
	}
}

// choosePeer returns the address to call in this period. Instances call the
// relays of their failure domain in turn; relays call other relays. Besides,
// all call any peer now and then, so that no wrong view can keep versions
// apart.
func (f *Follower) choosePeer(peers []wire.Member, relays map[string][]string) string {
	if len(peers) == 0 {
		return f.anyAddress(f.PeerAddresses)
	}
	var wanted []string
	if f.relay {
		for _, domain := range slices.Sorted(maps.Keys(relays)) {
			wanted = append(wanted, relays[domain]...)
		}
	} else {
		wanted = relays[f.FailureDomain]
		wanted = wanted[f.ticks%len(wanted):][:1]
	}
	var addresses []string
	for _, peer := range peers {
		if slices.Contains(wanted, peer.Name) {
			addresses = append(addresses, peer.PeerAddress)
		}
	}

	return f.anyAddress(addresses)
}

func (f *Follower) anyAddress(addresses []string) string {
	if len(addresses) == 0 {
		return ""
	}

	return addresses[f.Random.IntN(len(addresses))]
}

// syncWith compares versions with a peer. If it doesn't answer, another is
// tried at once when retry says so.
func (f *Follower) syncWith(address string, retry bool) {
	if address == "" || address == f.Address {
		return
	}
	sent := f.Timer.Now()
	request := wire.SyncRequest{
		Name:    f.Name,
		Address: f.Address,
		Version: f.inForce.Version,
		Pending: f.pending.Version,
		Problem: f.problem,
		Confirm: f.inForce.Version == 0,
	}
	f.Sync(address, request, func(reply wire.SyncReply, err error) {
		f.mu.Lock()
		if err == nil {
			f.onSyncReply(address, reply, sent)
		} else if retry {
			f.syncWith(f.anyPeer(), false)
		}
		f.mu.Unlock()
		f.notify()
	})
}

func (f *Follower) anyPeer() string {
	peers := f.Peers()
	if len(peers) == 0 {
		return f.anyAddress(f.PeerAddresses)
	}

	return peers[f.Random.IntN(len(peers))].PeerAddress
}

func (f *Follower) onSyncReply(address string, reply wire.SyncReply, sent time.Time) {
	f.evidence.hear(sent)
	f.evidence.learn(reply, sent)
	f.evidence.serve(f.inForce.Version)
	if reply.Head.Version > 0 {
		f.offer(reply.Head, address)
	}
	f.adoptIfReady()
}

// offer takes a head as pending if it is newer than all that is known.
func (f *Follower) offer(head wire.Head, source string) {
	if head.Version <= f.newest() && !f.Unguarded.Monotone {
		return
	}
	if head.Version == f.newest() {
		return
	}
	f.pending = Accepted{Head: head}
	f.pendingSince = f.Timer.Now()
	f.problem = ""
	f.gather(source)
}

// newest is the newest version known.
func (f *Follower) newest() int {
	return max(f.inForce.Version, f.pending.Version)
}

// gather asks for the missing contents of the pending head: a peer, or with
// no source the store and any peer.
func (f *Follower) gather(source string) {
	if f.pending.Version == 0 {
		return
	}
	missing := f.missing()
	if len(missing) == 0 {
		f.adoptIfReady()

		return
	}
	if source == "" {
		f.gatherFromStore(missing)
		source = f.anyPeer()
	}
	if source == "" || source == f.Address {
		return
	}
	request := wire.FetchRequest{Digests: missing[:min(len(missing), _maxFetchDigests)]}
	f.Fetch(source, request, func(reply wire.FetchReply, err error) {
		f.mu.Lock()
		if err == nil && f.keep(reply.Contents...) {
			f.gather(source)
		}
		f.mu.Unlock()
		f.notify()
	})
}

func (f *Follower) gatherFromStore(missing []string) {
	for _, digest := range missing {
		if f.fetching >= _maxStoreFetches {
			return
		}
		f.fetching++
		f.ReadSubtree(digest, func(object wire.Object, err error) {
			f.mu.Lock()
			f.fetching--
			if err == nil && f.keep(object.Value) {
				f.onStoreContent(digest)
			}
			f.mu.Unlock()
			f.notify()
		})
	}
}

// onStoreContent goes on after a content has come from the store: once the
// index is here, the other contents are known.
func (f *Follower) onStoreContent(digest string) {
	if digest == f.pending.IndexDigest {
		f.gatherFromStore(f.missing())
	}
	f.adoptIfReady()
}

// missing are the digests of the pending head whose contents aren't here.
func (f *Follower) missing() []string {
	content, ok := f.contents[f.pending.IndexDigest]
	if !ok {
		return []string{f.pending.IndexDigest}
	}
	if f.pending.Author.ID == "" && f.problem == "" {
		f.readIndex(content)
	}
	var digests []string
	for _, ref := range f.pending.Subtrees {
		if _, ok := f.contents[ref.Digest]; !ok {
			digests = append(digests, ref.Digest)
		}
	}

	return digests
}

// readIndex takes the index of the pending head out of its content.
func (f *Follower) readIndex(content string) {
	index, err := decodeIndex(content)
	if err != nil {
		f.refuse(err)
	}
	f.pending.Index = index
}

// refuse leaves the pending version out of force for good.
func (f *Follower) refuse(err error) {
	f.problem = err.Error()
	f.Log.Write(event.ConfigurationUnusable, zap.Int("Version", f.pending.Version), zap.Error(err))
}

// keep stores contents that the pending head names, and reports whether any
// was missing.
func (f *Follower) keep(contents ...string) bool {
	missing := f.missing()
	progress := false
	for _, content := range contents {
		digest := Digest(content)
		if slices.Contains(missing, digest) {
			f.contents[digest] = content
			progress = true
		}
	}

	return progress
}

// adoptIfReady puts the pending head in force if all of it is here and, at
// the start, if it is known to be no older than what this instance may have
// had in force before it was restarted.
func (f *Follower) adoptIfReady() {
	if f.pending.Version == 0 || len(f.missing()) > 0 || f.problem != "" {
		return
	}
	starting := f.inForce.Version == 0
	if starting && !f.Unguarded.Confirmed && !f.evidence.confirmedSince(f.started, f.pending.Version) {
		return
	}
	snapshot, err := f.resolve()
	if err != nil {
		f.refuse(err)

		return
	}
	f.inForce = f.pending
	f.pending = Accepted{}
	f.snapshot = snapshot
	f.evidence.serve(f.inForce.Version)
	f.prune()
	f.push()
}

func (f *Follower) resolve() (*settings.Snapshot, error) {
	merged := make([]wire.Subtree, 0, len(f.pending.Subtrees))
	for _, ref := range f.pending.Subtrees {
		subtree, ok := f.subtrees[ref.Digest]
		if !ok {
			var err error
			subtree, err = settings.DecodeSubtree(ref.Path, []byte(f.contents[ref.Digest]))
			if err != nil {
				return nil, err
			}
			f.subtrees[ref.Digest] = subtree
		}
		merged = append(merged, subtree)
	}
	snapshot, problems := settings.Resolve(merged)
	snapshot.Version = f.pending.Version

	return snapshot, problems.Err()
}

// prune forgets the contents that the head in force doesn't name.
func (f *Follower) prune() {
	named := map[string]bool{f.inForce.IndexDigest: true}
	for _, ref := range f.inForce.Subtrees {
		named[ref.Digest] = true
	}
	maps.DeleteFunc(f.contents, func(digest, _ string) bool { return !named[digest] })
	maps.DeleteFunc(f.subtrees, func(digest string, _ wire.Subtree) bool { return !named[digest] })
}

// push tells a few peers of a new version; each asks back if it is behind.
func (f *Follower) push() {
	peers := f.Peers()
	for _, i := range f.Random.Perm(len(peers))[:min(_pushFanout, len(peers))] {
		f.syncWith(peers[i].PeerAddress, false)
	}
}

// notify hands the newest snapshot to OnSnapshot, outside of mu, so that the
// receiver may call the follower.
func (f *Follower) notify() {
	f.notifying.Lock()
	defer f.notifying.Unlock()
	snapshot := f.Snapshot()
	if snapshot == nil || snapshot.Version == f.notified {
		return
	}
	f.notified = snapshot.Version
	f.Log.Write(event.ConfigurationInForce, zap.Int("Version", snapshot.Version))
	if f.OnSnapshot != nil {
		f.OnSnapshot(snapshot)
	}
}
