package configuration

import (
	"context"
	"encoding/gob"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"papayastair.dev/papayastair/membership"
	"papayastair.dev/papayastair/objectstore"
	"papayastair.dev/papayastair/settings"
	"papayastair.dev/papayastair/standin"
	"papayastair.dev/papayastair/timer"
	"papayastair.dev/papayastair/wire"
)

var errNoAnswer = errors.New("no answer")

// fleet is a number of instances and a store in virtual time.
type fleet struct {
	clock     *timer.Service
	random    *rand.Rand
	store     *standin.Store
	platform  objectstore.Store
	instances []*instance
	unguarded Unguarded
	faults    faults
	// trustStored and keepVersions are for the operators.
	trustStored  bool
	keepVersions int

	// heads are all states of the head, in order; accepted are the versions.
	heads    []headAt
	accepted map[int]time.Time
	// reversals and halves are what must not happen.
	reversals int
	halves    int
	dangling  int

	calls    map[string]int
	messages int

	encoder *gob.Encoder
}

// faults are what goes wrong at the moment.
type faults struct {
	storeDown bool
	slow      time.Duration
	// stale is how old what the store's reads show may be.
	stale time.Duration
	// lostReplies is the share of an operator's writes whose replies get lost.
	lostReplies float64
	// loss is the share of messages between instances that get lost.
	loss float64
	// group parts the instances: only those of one group reach each other.
	group map[string]int
	// noStore are the instances that don't reach the store.
	noStore map[string]bool
}

type headAt struct {
	at     time.Time
	object wire.Object
}

type instance struct {
	self     wire.Member
	follower *Follower
	detector *membership.Detector
	down     bool
	// highest is the highest version in force under this name so far.
	highest int
	inForce map[int]time.Time
	started time.Time
}

// counter counts the bytes written to it.
type counter int

func (c *counter) Write(p []byte) (int, error) {
	*c += counter(len(p))

	return len(p), nil
}

func newFleet(seed uint64, n int, unguarded Unguarded) *fleet {
	f := &fleet{
		clock:     timer.NewVirtual(time.Unix(1000, 0)),
		random:    rand.New(rand.NewPCG(seed, 7)),
		store:     standin.NewStore(),
		unguarded: unguarded,
		accepted:  map[int]time.Time{},
		calls:     map[string]int{},
	}
	f.platform = f.store.Platform()
	for i := range n {
		self := wire.Member{
			Name:          fmt.Sprintf("i%03d", i),
			Role:          wire.MemberRoleEntry,
			State:         wire.MemberStateLive,
			Region:        "r",
			FailureDomain: fmt.Sprintf("d%d", i%domains(n)),
			Size:          1,
			CallerAddress: fmt.Sprintf("10.0.0.1:%d", 1000+i),
			PeerAddress:   fmt.Sprintf("10.0.0.2:%d", 1000+i),
		}
		value, err := json.Marshal(self)
		if err != nil {
			panic(err)
		}
		f.put(membership.KindMember, self.Name, string(value))
		f.instances = append(f.instances, &instance{
			self:    self,
			inForce: map[int]time.Time{},
		})
	}
	for _, x := range f.instances {
		f.start(x)
	}

	return f
}

// domains is how many failure domains a fleet has: three today, seven in the
// letter's size.
func domains(n int) int {
	if n >= 120 {
		return 7
	}

	return 3
}

func (f *fleet) put(kind, name, value string) {
	if _, err := f.platform.Put(context.Background(), kind, name, value, 0); err != nil {
		panic(err)
	}
}

// start starts an instance anew, without any memory.
func (f *fleet) start(x *instance) {
	x.down = false
	x.started = f.clock.Now()
	x.self.Incarnation++
	x.detector = &membership.Detector{
		Self:          x.self,
		Timer:         f.clock,
		Random:        rand.New(rand.NewPCG(f.random.Uint64(), 1)),
		PeerAddresses: []string{f.instances[0].self.PeerAddress, f.instances[len(f.instances)-1].self.PeerAddress},
	}
	x.follower = &Follower{
		Name:          x.self.Name,
		Address:       x.self.PeerAddress,
		FailureDomain: x.self.FailureDomain,
		Timer:         f.clock,
		Random:        rand.New(rand.NewPCG(f.random.Uint64(), 1)),
		Peers:         x.detector.Peers,
		PeerAddresses: x.detector.PeerAddresses,
		Unguarded:     f.unguarded,
		Reach: func() Reach {
			alive, listed := x.detector.CountInstances()

			return Reach{
				Alive:  alive,
				Listed: listed,
			}
		},
		OnSnapshot: func(s *settings.Snapshot) { f.onSnapshot(x, s) },
	}
	f.connect(x)
	f.connectStore(x)
	x.detector.Start()
	x.follower.Start()
}

func (f *fleet) stop(x *instance) {
	x.down = true
	x.detector.Stop()
	x.follower.Stop()
}

// connect sets the calls to peers.
func (f *fleet) connect(x *instance) {
	incarnation := x.self.Incarnation
	x.detector.Probe = func(address string, probe wire.Probe, done func(wire.ProbeReply, error)) {
		call(f, x, incarnation, address, 500*time.Millisecond, probe, done, func(to *instance, answer func(wire.ProbeReply, error)) {
			to.detector.HandleProbe(probe, func(reply wire.ProbeReply) { answer(reply, nil) })
		})
	}
	x.follower.Sync = func(address string, request wire.SyncRequest, done func(wire.SyncReply, error)) {
		call(f, x, incarnation, address, _syncTimeout, request, done, func(to *instance, answer func(wire.SyncReply, error)) {
			answer(to.follower.HandleSync(request))
		})
	}
	x.follower.Fetch = func(address string, request wire.FetchRequest, done func(wire.FetchReply, error)) {
		call(f, x, incarnation, address, _fetchTimeout, request, done, func(to *instance, answer func(wire.FetchReply, error)) {
			answer(to.follower.HandleFetch(request))
		})
	}
}

// call carries a request and its answer with delays, unless one is lost; then
// the timeout passes. Nothing reaches an instance that was restarted since.
func call[A, R any](f *fleet, from *instance, incarnation int, address string, timeout time.Duration, args A, done func(R, error), handle func(*instance, func(R, error))) {
	settled := false
	settle := func(reply R, err error) {
		if settled || from.down || from.self.Incarnation != incarnation {
			return
		}
		settled = true
		done(reply, err)
	}
	f.clock.After(timeout, func(time.Time) { settle(*new(R), errNoAnswer) })
	to := f.byAddress(address)
	f.send(from, to, args, func() {
		handle(to, func(reply R, err error) {
			f.send(to, from, reply, func() { settle(reply, err) })
		})
	})
}

func (f *fleet) byAddress(address string) *instance {
	for _, x := range f.instances {
		if x.self.PeerAddress == address {
			return x
		}
	}
	panic("no instance at " + address)
}

func (f *fleet) send(from, to *instance, message any, arrive func()) {
	f.messages++
	if f.encoder != nil {
		if err := f.encoder.Encode(message); err != nil {
			panic(err)
		}
	}
	if f.random.Float64() < f.faults.loss {
		return
	}
	f.clock.After(f.delay(), func(time.Time) {
		if !from.down && !to.down && f.faults.group[from.self.Name] == f.faults.group[to.self.Name] {
			arrive()
		}
	})
}

func (f *fleet) delay() time.Duration {
	return time.Millisecond + time.Duration(f.random.Int64N(int64(4*time.Millisecond)))
}

// connectStore sets the calls on the store.
func (f *fleet) connectStore(x *instance) {
	ctx := context.Background()
	incarnation := x.self.Incarnation
	later := func(cause string, do func()) {
		f.calls[cause]++
		delay := f.delay()
		if f.faults.slow > 0 {
			delay += time.Duration(f.random.Int64N(int64(f.faults.slow)))
		}
		f.clock.After(delay, func(time.Time) {
			if !x.down && x.self.Incarnation == incarnation {
				do()
			}
		})
	}
	refused := func() error {
		if f.faults.storeDown || f.faults.noStore[x.self.Name] {
			return &objectstore.Error{Code: objectstore.CodeNotRun}
		}

		return nil
	}
	x.follower.ReadHead = func(done func(wire.Object, error)) {
		later("head", func() {
			if err := refused(); err != nil {
				done(wire.Object{}, err)

				return
			}
			done(f.readHead(ctx))
		})
	}
	x.follower.ReadSubtree = func(digest string, done func(wire.Object, error)) {
		later("subtree", func() {
			if err := refused(); err != nil {
				done(wire.Object{}, err)

				return
			}
			done(f.platform.Get(ctx, KindSubtree, digest))
		})
	}
	x.follower.WriteHead = func(value string, version int, done func()) {
		later("confirm", func() {
			if refused() == nil {
				_, _ = f.putHead(ctx, value, version)
			}
			done()
		})
	}
	x.follower.WriteStatus = func(wire.DomainStatus) { f.calls["status"] += 2 }
	x.detector.ReadList = func(after int, done func(wire.ObjectList, error)) {
		f.calls["list"]++
		wait := f.delay()
		if after > 0 {
			wait += 20 * time.Second
		}
		f.clock.After(wait, func(time.Time) {
			switch {
			case x.down || x.self.Incarnation != incarnation:
			case refused() != nil:
				done(wire.ObjectList{}, refused())
			case after > 0:
				done(wire.ObjectList{Version: after}, nil)
			default:
				done(f.platform.List(ctx, membership.KindMember))
			}
		})
	}
}

// readHead reads the head as it was some time ago, at most as long as reads
// are stale.
func (f *fleet) readHead(ctx context.Context) (wire.Object, error) {
	if f.faults.stale == 0 {
		return f.platform.Get(ctx, KindHead, HeadName)
	}
	asOf := f.clock.Now().Add(-time.Duration(f.random.Int64N(int64(f.faults.stale))))
	for i := len(f.heads) - 1; i >= 0; i-- {
		if !f.heads[i].at.After(asOf) {
			return f.heads[i].object, nil
		}
	}

	return wire.Object{}, &objectstore.Error{Code: objectstore.CodeNotFound}
}

// putHead writes the head and notes the new state.
func (f *fleet) putHead(ctx context.Context, value string, version int) (int, error) {
	v, err := f.platform.Put(ctx, KindHead, HeadName, value, version)
	if err != nil {
		return v, err
	}
	object, err := f.platform.Get(ctx, KindHead, HeadName)
	f.heads = append(f.heads, headAt{
		at:     f.clock.Now(),
		object: object,
	})
	head, err := decodeHead(object, err)
	if _, known := f.accepted[head.Version]; !known {
		f.accepted[head.Version] = f.clock.Now()
	}
	f.countDangling()

	return v, err
}

// countDangling counts the contents that the head names and that are not in
// the store.
func (f *fleet) countDangling() {
	head, err := decodeHead(f.platform.Get(context.Background(), KindHead, HeadName))
	if err != nil {
		panic(err)
	}
	digests := []string{head.IndexDigest}
	if object, err := f.platform.Get(context.Background(), KindSubtree, head.IndexDigest); err == nil {
		index, err := decodeIndex(object.Value)
		if err != nil {
			panic(err)
		}
		for _, ref := range index.Subtrees {
			digests = append(digests, ref.Digest)
		}
	}
	for _, digest := range digests {
		if _, err := f.platform.Get(context.Background(), KindSubtree, digest); err != nil {
			f.dangling++
		}
	}
}

// onSnapshot checks what comes into force.
func (f *fleet) onSnapshot(x *instance, s *settings.Snapshot) {
	if s.Version < x.highest {
		f.reversals++
	}
	x.highest = max(x.highest, s.Version)
	if _, known := x.inForce[s.Version]; !known {
		x.inForce[s.Version] = f.clock.Now()
	}
	if s.Workspaces["a"].RateTokensPerSecond != s.Workspaces["b"].RateTokensPerSecond {
		f.halves++
	}
}

// operator is an Applier whose store misbehaves as the faults say. Before
// each of its calls on the store, time passes, and interleave may run.
func (f *fleet) operator(name string, interleave func()) *Applier {
	before := func() error {
		f.clock.Advance(f.delay())
		if interleave != nil {
			interleave()
		}
		if f.faults.storeDown {
			return &objectstore.Error{Code: objectstore.CodeNotRun}
		}

		return nil
	}
	after := func(version int, err error) (int, error) {
		if err == nil && f.random.Float64() < f.faults.lostReplies {
			return 0, &objectstore.Error{Code: objectstore.CodeUnknown}
		}

		return version, err
	}

	return &Applier{
		WriterID:     name,
		TrustStored:  f.trustStored,
		KeepVersions: f.keepVersions,
		Sleep:        func(_ context.Context, d time.Duration) { f.clock.Advance(min(d, 200*time.Millisecond)) },
		Store: objectstore.Store{
			Get: func(ctx context.Context, kind, name string) (wire.Object, error) {
				if err := before(); err != nil {
					return wire.Object{}, err
				}
				if kind == KindHead {
					return f.readHead(ctx)
				}

				return f.platform.Get(ctx, kind, name)
			},
			Put: func(ctx context.Context, kind, name, value string, version int) (int, error) {
				if err := before(); err != nil {
					return 0, err
				}
				if kind == KindHead {
					return after(f.putHead(ctx, value, version))
				}

				return after(f.platform.Put(ctx, kind, name, value, version))
			},
			Delete: func(ctx context.Context, kind, name string, version int) error {
				if err := before(); err != nil {
					return err
				}
				err := f.platform.Delete(ctx, kind, name, version)
				f.countDangling()

				return err
			},
		},
	}
}

// pair is a change of two subtrees that must come into force together.
func pair(rate int) Change {
	return Change{Subtrees: []wire.Subtree{workspaceSubtree("a", rate), workspaceSubtree("b", rate)}}
}

func workspaceSubtree(name string, rate int) wire.Subtree {
	return wire.Subtree{
		Path: "/" + name,
		Workspaces: []wire.Workspace{
			{
				Name:                name,
				RateTokensPerSecond: rate,
			},
		},
	}
}

// mustApply applies a change and returns its version.
func (f *fleet) mustApply(t *testing.T, change Change) int {
	t.Helper()
	operator := f.operator(fmt.Sprintf("setup%d", len(f.heads)), nil)
	plan, err := operator.Plan(context.Background(), change)
	if err != nil {
		t.Fatal(err)
	}
	result, err := operator.Commit(context.Background(), plan)
	if err != nil {
		t.Fatal(err)
	}

	return result.Version
}

// until advances until a condition holds, and returns how long that took, at
// most limit.
func (f *fleet) until(limit time.Duration, holds func() bool) time.Duration {
	const step = 20 * time.Millisecond
	for passed := time.Duration(0); passed < limit; passed += step {
		if holds() {
			return passed
		}
		f.clock.Advance(step)
	}

	return limit
}

// allHave reports whether a version, or a newer one, is in force everywhere.
func (f *fleet) allHave(version int) bool {
	for _, x := range f.instances {
		if s := x.follower.Snapshot(); !x.down && (s == nil || s.Version < version) {
			return false
		}
	}

	return true
}
