package entry

import (
	"cmp"
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"papayastair.dev/papayastair/event"
	"papayastair.dev/papayastair/objectstore"
	"papayastair.dev/papayastair/timer"
	"papayastair.dev/papayastair/wire"
)

const (
	// _heldName is the name of the object with the held traits. It is of the kind of
	// the instances' records, which each instance lists when it starts.
	_heldName = ".held-traits"
	// _heldReadBound is how long after the configuration an instance that starts waits
	// for the held traits before it sends requests.
	_heldReadBound = time.Second
	// _heldWriterPause is the time after which the next instance in order writes held
	// traits that the store doesn't have yet.
	_heldWriterPause = time.Second
)

// heldRecord is the store's object with the held traits, as this instance knows it.
type heldRecord struct {
	mu      sync.Mutex
	traits  map[int]bool
	version int
	// differsSince is the time, by timer.Elapsed, since when other traits are held
	// than the store has; 0 if the same are.
	differsSince time.Duration
	// known is set once the object has been read, or _heldReadBound is over.
	known atomic.Bool
}

// observe records the object, of which held is the value.
func (r *heldRecord) observe(held []wire.TraitFinding, version int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version = version
	r.traits = make(map[int]bool, len(held))
	for _, h := range held {
		r.traits[h.Trait] = true
	}
}

// due reports whether this instance must change the store to have the held traits, as
// rank others should rather do it, and returns the object's version.
func (r *heldRecord) due(held []wire.TraitFinding, rank func() int, now time.Duration) (version int, due bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	same := len(held) == len(r.traits)
	for _, h := range held {
		same = same && r.traits[h.Trait]
	}
	if same {
		r.differsSince = 0

		return r.version, false
	}
	if r.differsSince == 0 {
		r.differsSince = now
	}

	return r.version, now-r.differsSince >= time.Duration(rank())*_heldWriterPause
}

// observeHeld records the store's object with the held traits. When it is first read,
// its traits are held here too: the instances that found them may have ended. What it
// says later is known from their bulletins, with its true age.
func (e *Entry) observeHeld(object wire.Object, first bool) {
	var v wire.HeldTraits
	if object.Value != "" {
		if err := json.Unmarshal([]byte(object.Value), &v); err != nil {
			e.cfg.Log.Write(event.HeldTraitsFailed, zap.Int("Revision", object.Version), zap.Error(err))
		}
	}
	if object.Value == "" {
		object.Version = 0
	}
	e.held.observe(v.Held, object.Version)
	if first && len(v.Held) > 0 {
		e.cfg.Log.Write(event.HeldTraitsRestored, zap.Int("Traits", len(v.Held)), zap.Int("Revision", object.Version))
		e.quarantine.Receive(wire.CrashFindings{Held: v.Held})
	}
}

// signalHeld makes maintain compare the held traits with the store's.
func (e *Entry) signalHeld() {
	select {
	case e.heldChanged <- struct{}{}:
	default:
	}
}

// syncHeld writes the held traits to the store if it has others, so that they outlast
// the instances. If several instances write, the store refuses all but the first.
func (e *Entry) syncHeld() {
	defer e.cfg.Log.Recover("HeldTraits")
	e.records.mu.Lock()
	listed := e.records.listed
	e.records.mu.Unlock()
	if !listed {
		return
	}
	held := e.quarantine.HeldFindings()
	version, due := e.held.due(held, e.heldRank, timer.Elapsed())
	if !due {
		return
	}
	value, err := json.Marshal(wire.HeldTraits{Held: held})
	if err != nil {
		e.cfg.Log.Write(event.HeldTraitsFailed, zap.Error(err))

		return
	}
	ctx, cancel := context.WithTimeout(e.ctx, _recordTimeout)
	defer cancel()
	store := e.cfg.Store("Records", 0)
	version, err = store.Put(ctx, _recordKind, _heldName, string(value), version)
	if err == nil {
		e.held.observe(held, version)
		e.cfg.Log.Write(event.HeldTraitsKept, zap.Int("Traits", len(held)), zap.Int("Revision", version))

		return
	}
	e.cfg.Log.Write(event.HeldTraitsFailed, zap.Int("Traits", len(held)), zap.Error(err))
	if objectstore.CodeOf(err) != objectstore.CodeConflict {
		return
	}
	object, err := store.Get(ctx, _recordKind, _heldName)
	if err != nil {
		e.cfg.Log.Write(event.HeldTraitsFailed, zap.Error(err))

		return
	}
	e.observeHeld(object, false)
}

// heldRank returns the number of live instances that should rather write the held
// traits than this one.
func (e *Entry) heldRank() int {
	own := xxhash.Sum64String(e.cfg.Settings.Name)
	rank := 0
	for _, i := range e.hub.Instances() {
		if i.Alive && !i.Leaving && (e.leaving.Load() || cmp.Compare(xxhash.Sum64String(i.Name), own) > 0) {
			rank++
		}
	}

	return rank
}
