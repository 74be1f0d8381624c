package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"papayastair.dev/papayastair/event"
	"papayastair.dev/papayastair/objectstore"
	"papayastair.dev/papayastair/wire"
)

// entryStore is a store of backend servers' entries that keeps its history.
type entryStore struct {
	mu       sync.Mutex
	revision int
	entries  map[string]wire.Object
	history  []wire.Object
	// revisions are the revisions of the changes in history. The object of a
	// removal has the version of the change before.
	revisions []int
	// oldest is the revision before which the store has dropped its history.
	oldest  int
	lists   int
	watches int
	updated chan struct{}
}

// testDrain is a bound on leaving servers.
const testDrain = 2 * time.Second

// testConfig returns a configuration in which an instance retries as a single one.
func testConfig(bound time.Duration) sharedConfig {
	return sharedConfig{
		Bound:      bound,
		RetryPause: func(d time.Duration, _ int) time.Duration { return d },
	}
}

func newEntryStore() *entryStore {
	return &entryStore{
		entries: map[string]wire.Object{},
		updated: make(chan struct{}),
	}
}

func (s *entryStore) put(name, value string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	o := wire.Object{
		Kind:    "servers",
		Name:    name,
		Version: s.revision,
		Value:   value,
	}
	if value == "" {
		o.Version = s.entries[name].Version
		delete(s.entries, name)
	} else {
		s.entries[name] = o
	}
	s.history = append(s.history, o)
	s.revisions = append(s.revisions, s.revision)
	close(s.updated)
	s.updated = make(chan struct{})
}

// putWithoutHistory makes changes and drops the history, theirs included.
func (s *entryStore) putWithoutHistory(values map[string]string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, value := range values {
		s.revision++
		if value == "" {
			delete(s.entries, name)

			continue
		}
		s.entries[name] = wire.Object{
			Kind:    "servers",
			Name:    name,
			Version: s.revision,
			Value:   value,
		}
	}
	s.history, s.revisions = nil, nil
	s.oldest = s.revision
	close(s.updated)
	s.updated = make(chan struct{})
}

func (s *entryStore) list(context.Context, string) (wire.ObjectList, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	l := wire.ObjectList{Version: s.revision}
	for _, o := range s.entries {
		l.Objects = append(l.Objects, o)
	}

	return l, nil
}

func (s *entryStore) watch(ctx context.Context, _ string, after int) (wire.ObjectList, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watches++
	for s.revision <= after {
		updated := s.updated
		s.mu.Unlock()
		select {
		case <-ctx.Done():
			s.mu.Lock()

			return wire.ObjectList{}, ctx.Err()
		case <-updated:
		}
		s.mu.Lock()
	}
	if after < s.oldest {
		return wire.ObjectList{}, &objectstore.Error{Code: objectstore.CodeGone}
	}
	l := wire.ObjectList{Version: s.revision}
	for i, o := range s.history {
		if s.revisions[i] > after {
			l.Objects = append(l.Objects, o)
		}
	}

	return l, nil
}

// TestSharedChanges runs one instance that reads entries from the store while
// they are added, changed, removed and added again, and eight others that
// receive its bulletins, some of which are lost. In the end all must have the
// same entries, and the others must have queried the store at most once each on
// average.
func TestSharedChanges(t *testing.T) {
	store := newEntryStore()
	store.put("s1", "first")
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var wg sync.WaitGroup
	type instance struct {
		changes *sharedChanges
		mu      sync.Mutex
		known   map[string]string
	}
	var watches [9]int
	instances := make([]*instance, 0, len(watches))
	for i := range 9 {
		in := &instance{
			changes: newSharedChanges(testConfig(testDrain)),
			known:   map[string]string{},
		}
		instances = append(instances, in)
		shared := in.changes.wrap(objectstore.Store{
			List: store.list,
			Watch: func(ctx context.Context, kind string, after int) (wire.ObjectList, error) {
				in.mu.Lock()
				watches[i]++
				in.mu.Unlock()

				return store.watch(ctx, kind, after)
			},
		}, func() time.Duration { return maxAge(testDrain, -i, 0) })
		wg.Add(1)
		go func() {
			defer wg.Done()
			objectstore.Follow(ctx, objectstore.FollowConfig{
				Store: shared,
				Kind:  "servers",
				Changed: func(o wire.Object) {
					in.mu.Lock()
					defer in.mu.Unlock()
					if o.Value == "" {
						delete(in.known, o.Name)
					} else {
						in.known[o.Name] = o.Value
					}
				},
			})
		}()
	}
	want := map[string]string{"s1": "first"}
	converged := func() bool {
		for _, in := range instances {
			in.mu.Lock()
			same := cmp.Equal(want, in.known)
			in.mu.Unlock()
			if !same {
				return false
			}
		}

		return true
	}
	const (
		changes = 50
		// An instance that has not converged by then will not.
		rounds = 600
	)
	rng := rand.New(rand.NewPCG(1, 2))
	for round := 0; round < changes || round < rounds && !converged(); round++ {
		if round < changes {
			name := fmt.Sprintf("s%d", rng.IntN(5))
			if rng.IntN(3) == 0 {
				store.put(name, "")
				delete(want, name)
			} else {
				store.put(name, fmt.Sprint(round))
				want[name] = fmt.Sprint(round)
			}
		}
		time.Sleep(50 * time.Millisecond)
		snapshot := instances[0].changes.snapshot(time.Now())
		for _, in := range instances[1:] {
			if rng.IntN(5) > 0 {
				in.changes.receive(snapshot, time.Duration(snapshot.CheckedMS)*time.Millisecond)
			}
		}
	}
	cancel()
	wg.Wait()
	queries := 0
	for i, in := range instances {
		if diff := cmp.Diff(want, in.known); diff != "" {
			t.Errorf("instance %d (-want +got):\n%s", i, diff)
		}
		if i > 0 {
			queries += watches[i]
		}
	}
	if queries > len(instances) {
		t.Errorf("the other instances queried the store %d times, want at most once each", queries)
	}
}

// TestReaderTakesReceivedChanges checks that an instance that reads the store for
// others takes what the other reader has sent when its own call fails: as a relay it
// would otherwise send its members to backend servers that have left.
func TestReaderTakesReceivedChanges(t *testing.T) {
	const revision = 5
	c := newSharedChanges(testConfig(testDrain))
	store := c.wrap(objectstore.Store{
		List: func(context.Context, string) (wire.ObjectList, error) {
			return wire.ObjectList{Version: revision}, nil
		},
		Watch: func(context.Context, string, int) (wire.ObjectList, error) {
			return wire.ObjectList{}, &objectstore.Error{Code: objectstore.CodeNotRun}
		},
	}, func() time.Duration { return 0 })
	ctx := context.Background()
	if _, err := store.List(ctx, "servers"); err != nil {
		t.Fatal(err)
	}
	if _, err := store.Watch(ctx, "servers", revision); err == nil {
		t.Error("a watch has succeeded without an answer")
	}
	c.receive(wire.StoreChanges{
		After: revision,
		UpTo:  revision + 2,
		Objects: []wire.ChangedObject{{
			Name:       "s1",
			Revision:   revision + 2,
			AnsweredAt: revision + 2,
			Value:      "leaving",
		}},
	}, _neverChecked)
	got, err := store.Watch(ctx, "servers", revision)
	if err != nil {
		t.Fatal(err)
	}
	want := wire.ObjectList{
		Version: revision + 2,
		Objects: []wire.Object{{
			Kind:    "servers",
			Name:    "s1",
			Version: revision + 2,
			Value:   "leaving",
		}},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("changes (-want +got):\n%s", diff)
	}
}

// TestLeavingServerWhileReadersTurnedAway guards against requests to a backend server
// that has left (DRAIN): the store turned away the instances that read the entries
// for the others, and these took the readers' old entries for current, because other
// evidence in the readers' bulletins was recent.
func TestLeavingServerWhileReadersTurnedAway(t *testing.T) {
	const (
		instances = 8
		warmup    = 20 * time.Second
	)
	tests := []struct {
		name       string
		bound      time.Duration
		turnedAway []int
		silent     bool
	}{
		{
			name:  "none",
			bound: testDrain,
		},
		{
			name:       "first reader, silent",
			bound:      testDrain,
			turnedAway: []int{0},
			silent:     true,
		},
		{
			name:       "both readers, refused",
			bound:      testDrain,
			turnedAway: []int{0, 1},
		},
		{
			name:       "both readers, silent",
			bound:      testDrain,
			turnedAway: []int{0, 1},
			silent:     true,
		},
		{
			name:       "both readers, shorter bound",
			bound:      time.Second,
			turnedAway: []int{0, 1},
			silent:     true,
		},
		{
			name:       "all but two, longer bound",
			bound:      4 * time.Second,
			turnedAway: []int{0, 1, 2, 3, 4, 5},
			silent:     true,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newEntryStore()
				store.put("s1", "ready")
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				m := newEntryMesh(ctx, store, instances, testConfig(tt.bound), tt.silent)
				m.run(warmup)
				m.turnAway(tt.turnedAway)
				time.Sleep(100 * time.Millisecond)
				store.put("s1", "leaving")
				m.run(tt.bound)
				for i, in := range m.instances {
					if slices.Contains(tt.turnedAway, i) {
						continue
					}
					if diff := cmp.Diff("leaving", in.entry("s1")); diff != "" {
						t.Errorf("instance %d, after %s, with entries of an age of %s (-want +got):\n%s", i, tt.bound, in.changes.age(), diff)
					}
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}

// TestRecordsOfRestartingFleet guards against store calls that grow with the square of
// the instances: each change of an instance's record ended the watches of all others,
// while a fleet was restarted instance by instance. Now only the readers query the
// store, and an instance that has missed a bulletin.
func TestRecordsOfRestartingFleet(t *testing.T) {
	const (
		instances = 60
		downtime  = 500 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		store := newEntryStore()
		want := map[string]string{}
		name := func(i int) string { return fmt.Sprintf("instance-%d", i) }
		for i := range instances {
			store.put(name(i), "start 0")
			want[name(i)] = "start 1"
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		cfg := testConfig(_recordBound)
		cfg.BatchDelay = _recordBatchDelay
		m := newEntryMesh(ctx, store, instances, cfg, false)
		m.run(_recordBound)
		for i := range instances {
			store.put(name(i), "")
			m.run(downtime)
			store.put(name(i), "start 1")
			m.run(downtime)
		}
		m.run(2 * _recordBatchDelay)
		queries := 0
		for i, in := range m.instances {
			for k := range instances {
				if diff := cmp.Diff(want[name(k)], in.entry(name(k))); diff != "" {
					t.Errorf("instance %d, record of %s (-want +got):\n%s", i, name(k), diff)
				}
			}
			if i > 1 {
				queries += in.queries
			}
		}
		if queries > instances {
			t.Errorf("the instances that don't read for others queried the store %d times, want at most once each", queries)
		}
		cancel()
		synctest.Wait()
	})
}

// TestHistoryDropped guards against store calls of all instances when the store drops
// its history: the reader listed the objects, and the others could not go on from what
// it sent then. They must know what was changed and removed meanwhile.
func TestHistoryDropped(t *testing.T) {
	const instances = 60
	synctest.Test(t, func(t *testing.T) {
		store := newEntryStore()
		for _, name := range []string{"s1", "s2", "s3"} {
			store.put(name, "ready")
		}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		m := newEntryMesh(ctx, store, instances, testConfig(testDrain), false)
		m.run(5 * testDrain)
		lists, queries := store.lists, make([]int, instances)
		for i, in := range m.instances {
			queries[i] = in.queries
		}
		want := map[string]string{
			"s1": "leaving",
			"s2": "",
			"s3": "ready",
			"s4": "new",
		}
		store.putWithoutHistory(map[string]string{
			"s1": "leaving",
			"s2": "",
			"s4": "new",
		})
		m.run(testDrain)
		for i, in := range m.instances {
			for name, value := range want {
				if diff := cmp.Diff(value, in.entry(name)); diff != "" {
					t.Errorf("instance %d, %s (-want +got):\n%s", i, name, diff)
				}
			}
		}
		if n, most := store.lists-lists, 2; n > most {
			t.Errorf("the objects were listed %d times, want at most once by each of the %d readers", n, most)
		}
		for i, in := range m.instances[2:] {
			if diff := cmp.Diff(queries[i+2], in.queries); diff != "" {
				t.Errorf("queries of instance %d, which doesn't read for others (-want +got):\n%s", i+2, diff)
			}
		}
		cancel()
		synctest.Wait()
	})
}

// TestRetriesOfLargeFleet guards against a fleet whose instances all repeat their
// queries while the store is down: their calls grew with the instances, and counted as
// much as all others of the day. The instances keep to a common rate, and know a change
// within the bound once the store answers again.
func TestRetriesOfLargeFleet(t *testing.T) {
	const (
		instances = 200
		outage    = 10 * time.Second
		// The queries that fail before an instance joins the common rate.
		first = _quickRetries + 1
	)
	synctest.Test(t, func(t *testing.T) {
		store := newEntryStore()
		store.put("s1", "ready")
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		m := newEntryMesh(ctx, store, instances, sharedConfig{Bound: testDrain}, false)
		m.run(2 * testDrain)
		all := make([]int, instances)
		for i := range all {
			all[i] = i
		}
		before := m.queries()
		m.turnAway(all)
		m.run(outage)
		if n, most := m.queries()-before, first*instances+int(outage.Seconds())*_retriesPerSecond; n > most {
			t.Errorf("%d instances queried a store that was down %d times, want at most %d", instances, n, most)
		}
		m.admit()
		store.put("s1", "leaving")
		m.run(testDrain)
		for i, in := range m.instances {
			if diff := cmp.Diff("leaving", in.entry("s1")); diff != "" {
				t.Errorf("instance %d, %s after the outage (-want +got):\n%s", i, testDrain, diff)
			}
		}
		cancel()
		synctest.Wait()
	})
}

// TestHistoryGoneWhileTurnedAway guards against lists without a pause: the store has
// dropped its history and turns this instance away, while another one sends it changes
// that it can't apply without a list.
func TestHistoryGoneWhileTurnedAway(t *testing.T) {
	const (
		revision = 5
		outage   = 10 * time.Second
		// The backoff of a single instance makes fewer calls.
		maxLists = 20
	)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		var lists atomic.Int32
		c := newSharedChanges(testConfig(testDrain))
		shared := c.wrap(objectstore.Store{
			List: func(context.Context, string) (wire.ObjectList, error) {
				n := lists.Add(1)
				if n == 1 {
					return wire.ObjectList{Version: revision}, nil
				}
				if n > maxLists {
					cancel()
				}

				return wire.ObjectList{}, &objectstore.Error{Code: objectstore.CodeNotRun}
			},
			Watch: func(context.Context, string, int) (wire.ObjectList, error) {
				return wire.ObjectList{}, &objectstore.Error{Code: objectstore.CodeGone}
			},
		}, func() time.Duration { return 0 })
		go objectstore.Follow(ctx, objectstore.FollowConfig{
			Store:   shared,
			Kind:    "servers",
			Changed: func(wire.Object) {},
			Sleep:   c.sleep,
		})
		synctest.Wait()
		c.receive(wire.StoreChanges{
			After: revision,
			UpTo:  revision + 2,
		}, _neverChecked)
		time.Sleep(outage)
		if lists.Load() > maxLists {
			t.Errorf("the store was asked for a list more than %d times within %s", maxLists, outage)
		}
		cancel()
		synctest.Wait()
	})
}

// TestGapWhileTurnedAway guards against requests to a backend server that has left: an
// instance that the store turned away missed a change that others no longer send, and
// waited for its turn among all instances to ask again.
func TestGapWhileTurnedAway(t *testing.T) {
	const (
		revision = 5
		outage   = 10 * time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		cfg := testConfig(testDrain)
		cfg.RetryPause = func(time.Duration, int) time.Duration { return time.Hour }
		c := newSharedChanges(cfg)
		c.elapsed = func() time.Duration { return time.Hour }
		var turnedAway atomic.Bool
		var applied atomic.Int64
		turnedAway.Store(true)
		shared := c.wrap(objectstore.Store{
			List: func(context.Context, string) (wire.ObjectList, error) {
				return wire.ObjectList{Version: revision}, nil
			},
			Watch: func(ctx context.Context, _ string, after int) (wire.ObjectList, error) {
				if turnedAway.Load() {
					return wire.ObjectList{}, &objectstore.Error{Code: objectstore.CodeNotRun}
				}
				if after == revision {
					return wire.ObjectList{Version: revision + 2}, nil
				}
				<-ctx.Done()

				return wire.ObjectList{}, ctx.Err()
			},
		}, func() time.Duration { return 0 })
		go objectstore.Follow(ctx, objectstore.FollowConfig{
			Store:   shared,
			Kind:    "servers",
			Changed: func(wire.Object) {},
			Current: func(revision int) { applied.Store(int64(revision)) },
			Sleep:   c.sleep,
		})
		time.Sleep(outage)
		c.receive(wire.StoreChanges{
			After: revision + 1,
			UpTo:  revision + 2,
		}, _neverChecked)
		turnedAway.Store(false)
		time.Sleep(outage)
		if diff := cmp.Diff(int64(revision+2), applied.Load()); diff != "" {
			t.Errorf("revision in effect (-want +got):\n%s", diff)
		}
		cancel()
		synctest.Wait()
	})
}

// TestFailuresBeforeAnswersOfOthers guards against changes that are known too late
// (CONFIG, DRAIN): failures from before other instances' answers counted as if they had
// just happened, and the pause after the next one was the longest.
func TestFailuresBeforeAnswersOfOthers(t *testing.T) {
	const outage = 20 * time.Second
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		start := time.Now()
		var mu sync.Mutex
		var pauses []time.Duration
		pausesSince := func(n int) []time.Duration {
			mu.Lock()
			defer mu.Unlock()

			return slices.Clone(pauses[n:])
		}
		cfg := testConfig(testDrain)
		cfg.RetryPause = func(d time.Duration, failures int) time.Duration {
			pause := retryPause(d, failures, 0, 1)
			mu.Lock()
			defer mu.Unlock()
			pauses = append(pauses, pause)

			return pause
		}
		c := newSharedChanges(cfg)
		c.elapsed = func() time.Duration { return time.Hour + time.Since(start) }
		shared := c.wrap(objectstore.Store{
			List: func(context.Context, string) (wire.ObjectList, error) {
				return wire.ObjectList{Version: 1}, nil
			},
			Watch: func(context.Context, string, int) (wire.ObjectList, error) {
				return wire.ObjectList{}, &objectstore.Error{Code: objectstore.CodeNotRun}
			},
		}, func() time.Duration { return testDrain })
		go objectstore.Follow(ctx, objectstore.FollowConfig{
			Store:   shared,
			Kind:    "servers",
			Changed: func(wire.Object) {},
			Sleep:   c.sleep,
		})
		time.Sleep(outage)
		c.receive(wire.StoreChanges{
			After: 1,
			UpTo:  1,
		}, c.elapsed())
		synctest.Wait()
		before := len(pausesSince(0))
		time.Sleep(testDrain)
		synctest.Wait()
		since := pausesSince(before)
		if len(since) == 0 {
			t.Fatal("no query has failed since the answer of another instance")
		}
		if since[0] > _firstRetryPause {
			t.Errorf("a pause of %s after the first failure since the answer of another instance, want %s at most", since[0], _firstRetryPause)
		}
		cancel()
		synctest.Wait()
	})
}

// entryMesh is a full mesh of instances that follow the entries of a store. The
// instances of ranks 0 and 1 are the readers.
type entryMesh struct {
	instances []*entryFollower
}

// entryFollower is one of them. While turnedAway is set its queries fail, at once or,
// if silent, when they are given up. cut ends the watch that the store holds.
type entryFollower struct {
	changes    *sharedChanges
	mu         sync.Mutex
	known      map[string]string
	turnedAway bool
	cut        context.CancelFunc
	// queries counts its watches at the store.
	queries int
}

// begin reports whether the store takes a watch, which cut ends.
func (f *entryFollower) begin(cut context.CancelFunc) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.queries++
	f.cut = cut

	return !f.turnedAway
}

func (f *entryFollower) entry(name string) string {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.known[name]
}

func (f *entryFollower) isTurnedAway() bool {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.turnedAway
}

func newEntryMesh(ctx context.Context, store *entryStore, n int, cfg sharedConfig, silent bool) *entryMesh {
	const callTimeout = 2 * time.Second
	m := &entryMesh{}
	start := time.Now()
	for i := range n {
		rank := -1
		if i < 2 {
			rank = i
		}
		f := &entryFollower{
			changes: newSharedChanges(cfg),
			known:   map[string]string{},
		}
		if cfg.RetryPause == nil {
			f.changes.cfg.RetryPause = func(d time.Duration, failures int) time.Duration { return retryPause(d, failures, rank, n) }
		}
		f.changes.elapsed = func() time.Duration { return time.Hour + time.Since(start) }
		shared := f.changes.wrap(objectstore.Store{
			List: store.list,
			Watch: func(ctx context.Context, kind string, after int) (wire.ObjectList, error) {
				held, cancel := context.WithTimeout(ctx, shareOf(cfg.Bound, _watchShare))
				defer cancel()
				if f.begin(cancel) {
					l, err := store.watch(held, kind, after)
					switch {
					case f.isTurnedAway():
					case ctx.Err() == nil && held.Err() != nil:
						return wire.ObjectList{Version: after}, nil
					default:
						return l, err
					}
				}
				if silent {
					if err := objectstore.Sleep(ctx, callTimeout); err != nil {
						return wire.ObjectList{}, err
					}
				}

				return wire.ObjectList{}, &objectstore.Error{Code: objectstore.CodeNotRun}
			},
		}, func() time.Duration { return maxAge(cfg.Bound, rank, float64(i)/float64(n)) })
		go objectstore.Follow(ctx, objectstore.FollowConfig{
			Store: shared,
			Kind:  "servers",
			Changed: func(o wire.Object) {
				f.mu.Lock()
				defer f.mu.Unlock()
				f.known[o.Name] = o.Value
			},
			Sleep: f.changes.sleep,
		})
		m.instances = append(m.instances, f)
	}

	return m
}

func (m *entryMesh) turnAway(instances []int) {
	for _, i := range instances {
		f := m.instances[i]
		f.mu.Lock()
		f.turnedAway = true
		if f.cut != nil {
			f.cut()
		}
		f.mu.Unlock()
	}
}

// admit lets all instances reach the store again.
func (m *entryMesh) admit() {
	for _, f := range m.instances {
		f.mu.Lock()
		f.turnedAway = false
		f.mu.Unlock()
	}
}

// queries returns the number of watches of all instances at the store.
func (m *entryMesh) queries() int {
	n := 0
	for _, f := range m.instances {
		f.mu.Lock()
		n += f.queries
		f.mu.Unlock()
	}

	return n
}

// run exchanges bulletins for a time.
func (m *entryMesh) run(d time.Duration) {
	const interval = 200 * time.Millisecond
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(min(interval, time.Until(end)))
		synctest.Wait()
		for i, from := range m.instances {
			if i > 1 && !from.changes.sharesQuery() {
				continue
			}
			snapshot := from.changes.snapshot(time.Now())
			checked := _neverChecked
			if snapshot.CheckedMS > 0 {
				checked = time.Duration(snapshot.CheckedMS) * time.Millisecond
			}
			for k, to := range m.instances {
				if k != i {
					to.changes.receive(snapshot, checked)
				}
			}
		}
		synctest.Wait()
	}
}

// TestOldAnswers guards against a store that is asked without a pause for as long as its
// answers are older than what is known, and against entries that such an answer confirms.
func TestOldAnswers(t *testing.T) {
	const (
		known   = 100
		minute  = time.Minute
		maxAsks = 60
	)
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), minute)
		defer cancel()
		start := time.Now()
		asks := 0
		c := newSharedChanges(testConfig(testDrain))
		c.elapsed = func() time.Duration { return time.Since(start) }
		objectstore.Follow(ctx, objectstore.FollowConfig{
			Store: c.wrap(objectstore.Store{
				List: func(context.Context, string) (wire.ObjectList, error) {
					return wire.ObjectList{Version: known}, nil
				},
				Watch: func(context.Context, string, int) (wire.ObjectList, error) {
					asks++

					return wire.ObjectList{Version: known - 1}, nil
				},
			}, func() time.Duration { return maxAge(testDrain, 0, 0) }),
			Kind:    "servers",
			Changed: func(wire.Object) {},
			Sleep:   c.sleep,
			Log:     &event.Log{},
		})
		if asks > maxAsks {
			t.Errorf("the store was asked %d times in %s, want %d at most", asks, minute, maxAsks)
		}
		if age := c.age(); age < minute-time.Second {
			t.Errorf("the entries' age is %s after %s of old answers", age, minute)
		}
	})
}
