// Package standin holds small replacements of the systems that papayastair
// works with: the platform's object API, model engines and plain services.
// They run inside tests and the demo, or as processes of their own by
// "papayastair standin". They keep their own accounts, against which the
// system's promises are checked.
package standin

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"papayastair.dev/papayastair/objectstore"
	"papayastair.dev/papayastair/wire"
)

const (
	_maxValueBytes   = 1 << 20
	_maxHistory      = 100000
	_maxStoreLatency = time.Minute
)

// StoreFaults are the switches of a Store's failures. The zero value is a
// healthy store.
type StoreFaults struct {
	// Down refuses all calls without effect.
	Down bool
	// Latency delays each call.
	Latency time.Duration
	// LoseReplies lets writes take effect and fails their calls.
	LoseReplies bool
	// Stale answers reads from the state and the revision as they were when
	// Stale was set.
	Stale bool
}

// Store is the object API in memory, with versions, conditional updates,
// watches, call counting and failures. Use NewStore.
type Store struct {
	mu sync.Mutex
	// epoch is the number of restores.
	epoch    int
	revision int
	objects  map[objectKey]wire.Object
	stale    staleState
	history  []wire.Object
	dropped  int
	changed  chan struct{}
	faults   StoreFaults
	calls    map[string]int
	sleep    func(ctx context.Context, d time.Duration) error
}

// staleState is what stale reads see.
type staleState struct {
	revision int
	objects  map[objectKey]wire.Object
}

// StoreCopy is the state of a Store at a time.
type StoreCopy struct {
	revision int
	objects  map[objectKey]wire.Object
}

type objectKey struct {
	kind string
	name string
}

// NewStore returns an empty, healthy store.
func NewStore() *Store {
	return &Store{
		objects: map[objectKey]wire.Object{},
		changed: make(chan struct{}),
		calls:   map[string]int{},
		sleep:   objectstore.Sleep,
	}
}

// SetFaults replaces the failures.
func (s *Store) SetFaults(faults StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if faults.Stale && !s.faults.Stale {
		s.stale = staleState{
			revision: s.revision,
			objects:  maps.Clone(s.objects),
		}
	}
	s.faults = faults
	s.notify()
}

// Copy returns the store's state, for Restore.
func (s *Store) Copy() StoreCopy {
	s.mu.Lock()
	defer s.mu.Unlock()

	return StoreCopy{
		revision: s.revision,
		objects:  maps.Clone(s.objects),
	}
}

// Restore replaces the store's state by a copy. What was written since is lost, its
// revisions are given out again, and a new epoch begins.
func (s *Store) Restore(c StoreCopy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.epoch++
	s.revision = c.revision
	s.objects = maps.Clone(c.objects)
	s.history = nil
	s.dropped = c.revision
	s.notify()
}

// Epoch is the number of restores.
func (s *Store) Epoch() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.epoch
}

// Faults are the failures in force.
func (s *Store) Faults() StoreFaults {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.faults
}

// Calls is the number of calls so far, by operation.
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := make(map[string]int, len(s.calls))
	for op, n := range s.calls {
		calls[op] = n
	}

	return calls
}

// Platform returns access to the store without a network.
func (s *Store) Platform() objectstore.Store {
	return objectstore.Store{
		Get:    s.get,
		List:   s.list,
		Put:    s.put,
		Delete: s.remove,
		Watch:  s.watch,
	}
}

func (s *Store) get(ctx context.Context, kind, name string) (wire.Object, error) {
	objects, _, err := s.enter(ctx, "get", kind, name)
	if err != nil {
		return wire.Object{}, err
	}
	defer s.mu.Unlock()
	object, ok := objects[objectKey{kind: kind, name: name}]
	if !ok {
		return wire.Object{}, failure("get", kind, name, objectstore.CodeNotFound, objectstore.Version(s.epoch, 0))
	}

	return s.versioned(object), nil
}

func (s *Store) list(ctx context.Context, kind string) (wire.ObjectList, error) {
	objects, _, err := s.enter(ctx, "list", kind, "")
	if err != nil {
		return wire.ObjectList{}, err
	}
	defer s.mu.Unlock()
	list := wire.ObjectList{Version: objectstore.Version(s.epoch, s.readRevision())}
	for key, object := range objects {
		if key.kind == kind {
			list.Objects = append(list.Objects, s.versioned(object))
		}
	}
	slices.SortFunc(list.Objects, func(a, b wire.Object) int { return cmp.Compare(a.Name, b.Name) })

	return list, nil
}

func (s *Store) put(ctx context.Context, kind, name, value string, version int) (int, error) {
	return s.write(ctx, "put", wire.Object{
		Kind:    kind,
		Name:    name,
		Version: version,
		Value:   value,
	})
}

func (s *Store) remove(ctx context.Context, kind, name string, version int) error {
	_, err := s.write(ctx, "delete", wire.Object{
		Kind:    kind,
		Name:    name,
		Version: version,
		Value:   "",
	})

	return err
}

// write applies a conditional write; object.Version is the version that the
// object must have.
func (s *Store) write(ctx context.Context, op string, object wire.Object) (int, error) {
	_, faults, err := s.enter(ctx, op, object.Kind, object.Name)
	if err != nil {
		return 0, err
	}
	defer s.mu.Unlock()
	if len(object.Value) > _maxValueBytes {
		return 0, failure(op, object.Kind, object.Name, objectstore.CodeNotRun, 0)
	}
	key := objectKey{kind: object.Kind, name: object.Name}
	expected := object.Version
	if current := s.objects[key].Version; current != objectstore.Revision(expected) || expected != 0 && objectstore.Epoch(expected) != s.epoch {
		return 0, failure(op, object.Kind, object.Name, objectstore.CodeConflict, objectstore.Version(s.epoch, current))
	}
	s.revision++
	object.Version = s.revision
	s.objects[key] = object
	if op == "delete" {
		delete(s.objects, key)
	}
	s.history = append(s.history, object)
	if excess := len(s.history) - _maxHistory; excess > 0 {
		s.history = slices.Clone(s.history[excess:])
		s.dropped = s.history[0].Version - 1
	}
	s.notify()
	if faults.LoseReplies {
		return 0, failure(op, object.Kind, object.Name, objectstore.CodeUnknown, 0)
	}

	return objectstore.Version(s.epoch, s.revision), nil
}

// versioned returns an object with its version in the store's epoch. The lock is held.
func (s *Store) versioned(object wire.Object) wire.Object {
	object.Version = objectstore.Version(s.epoch, object.Version)

	return object
}

func (s *Store) watch(ctx context.Context, kind string, after int) (wire.ObjectList, error) {
	if _, _, err := s.enter(ctx, "watch", kind, ""); err != nil {
		return wire.ObjectList{}, err
	}
	for {
		if revision := objectstore.Revision(after); objectstore.Epoch(after) != s.epoch || revision < s.dropped || revision > s.revision {
			s.mu.Unlock()

			return wire.ObjectList{}, failure("watch", kind, "", objectstore.CodeGone, 0)
		}
		list := s.changesAfter(kind, objectstore.Revision(after))
		changed, down := s.changed, s.faults.Down
		s.mu.Unlock()
		if down {
			return wire.ObjectList{}, failure("watch", kind, "", objectstore.CodeNotRun, 0)
		}
		if len(list.Objects) > 0 {
			return list, nil
		}
		select {
		case <-ctx.Done():
			return list, nil
		case <-changed:
		}
		s.mu.Lock()
	}
}

// readRevision is the revision that reads reflect. The lock is held.
func (s *Store) readRevision() int {
	if s.faults.Stale {
		return s.stale.revision
	}

	return s.revision
}

// changesAfter returns the last state of each object of a kind written after
// a revision. The lock is held.
func (s *Store) changesAfter(kind string, after int) wire.ObjectList {
	list := wire.ObjectList{Version: objectstore.Version(s.epoch, s.readRevision())}
	if s.faults.Stale {
		return list
	}
	first, _ := slices.BinarySearchFunc(s.history, after+1, func(o wire.Object, revision int) int {
		return cmp.Compare(o.Version, revision)
	})
	last := map[string]int{}
	for _, object := range s.history[first:] {
		if object.Kind != kind {
			continue
		}
		if i, ok := last[object.Name]; ok {
			list.Objects[i] = s.versioned(object)

			continue
		}
		last[object.Name] = len(list.Objects)
		list.Objects = append(list.Objects, s.versioned(object))
	}

	return list
}

// enter counts a call and applies the failures. Without an error the lock is
// held on return, and the objects to read from are returned.
func (s *Store) enter(ctx context.Context, op, kind, name string) (map[objectKey]wire.Object, StoreFaults, error) {
	s.mu.Lock()
	s.calls[op]++
	faults := s.faults
	s.mu.Unlock()
	if faults.Latency > 0 {
		if err := s.sleep(ctx, min(faults.Latency, _maxStoreLatency)); err != nil {
			return nil, faults, failure(op, kind, name, objectstore.CodeNotRun, 0)
		}
	}
	s.mu.Lock()
	if s.faults.Down {
		s.mu.Unlock()

		return nil, faults, failure(op, kind, name, objectstore.CodeNotRun, 0)
	}
	if s.faults.Stale {
		return s.stale.objects, s.faults, nil
	}

	return s.objects, s.faults, nil
}

// count counts a call.
func (s *Store) count(op string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls[op]++
}

// notify wakes the watches. The lock is held.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func failure(op, kind, name string, code objectstore.Code, version int) *objectstore.Error {
	return &objectstore.Error{
		Op:      op,
		Kind:    kind,
		Name:    name,
		Code:    code,
		Version: version,
		Reason:  "stand-in",
	}
}
