package entry

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
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
	mu sync.Mutex
	// traits holds the numbers of probes by trait.
	traits  map[int]int
	version int
	// differsSince is the time, by timer.Elapsed, since when other traits are held
	// than the store has; 0 if the same are.
	differsSince time.Duration
	// known is set once the object has been read, or _heldReadBound is over.
	known atomic.Bool
}

// observe records the object, of which held is the value.
func (r *heldRecord) observe(held []wire.HeldTrait, version int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.version = version
	r.traits = make(map[int]int, len(held))
	for _, h := range held {
		r.traits[h.Trait] = h.Probes
	}
}

// heldWrite is a write of the object that replaces its version. probes are the probes that
// it counts, by trait.
type heldWrite struct {
	held    []wire.HeldTrait
	version int
	probes  map[int]int
}

// next returns the write that this instance must make, if it must: one that counts the wanted
// probes, or one of the traits that are held here, as rank others should rather do it. A
// probe that the object shows to be counted already is left out.
func (r *heldRecord) next(held []wire.HeldTrait, wanted []int, rank func() int, now time.Duration) (write heldWrite, due bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	write = heldWrite{
		version: r.version,
		probes:  map[int]int{},
	}
	same := len(held) == len(r.traits)
	for _, h := range held {
		kept, ok := r.traits[h.Trait]
		same = same && ok && kept >= h.Probes
		switch {
		case kept > h.Probes:
			// The time of that probe is on its way.
			h.Probes = kept
			h.ProbedMS = 0
		case slices.Contains(wanted, h.Trait):
			h.Probes++
			h.ProbedMS = 0
			write.probes[h.Trait] = h.Probes
		}
		write.held = append(write.held, h)
	}
	if len(write.probes) > 0 {
		return write, true
	}
	if same {
		r.differsSince = 0

		return write, false
	}
	if r.differsSince == 0 {
		r.differsSince = now
	}

	return write, now-r.differsSince >= time.Duration(rank())*_heldWriterPause
}

// observeHeld records the store's object with the held traits. When it is first read,
// its traits are held here too: the instances that found them may have ended. Which are
// held later is known from their bulletins, with the true ages.
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

		return
	}
	e.quarantine.ReceiveProbes(v.Held)
}

// signalHeld makes maintain compare the held traits with the store's, and count the wanted
// probes there.
func (e *Entry) signalHeld() {
	select {
	case e.heldChanged <- struct{}{}:
	default:
	}
}

// syncHeld writes the held traits to the store if it has others, so that they outlast
// the instances, and counts the wanted probes. If several instances write, the store
// refuses all but the first, so that each probe is sent by one instance at most.
func (e *Entry) syncHeld() {
	defer e.cfg.Log.Recover("HeldTraits")
	e.records.mu.Lock()
	listed := e.records.listed
	e.records.mu.Unlock()
	if !listed {
		return
	}
	write, due := e.held.next(e.quarantine.HeldFindings(), e.quarantine.WantedProbes(), e.heldRank, timer.Elapsed())
	if !due {
		return
	}
	value, err := json.Marshal(wire.HeldTraits{Held: write.held})
	if err != nil {
		e.cfg.Log.Write(event.HeldTraitsFailed, zap.Error(err))

		return
	}
	ctx, cancel := context.WithTimeout(e.ctx, _recordTimeout)
	defer cancel()
	store := e.cfg.Store("Records", 0)
	version, err := store.Put(ctx, _recordKind, _heldName, string(value), write.version)
	if err == nil {
		e.held.observe(write.held, version)
		e.cfg.Log.Write(event.HeldTraitsKept, zap.Int("Traits", len(write.held)), zap.Int("Revision", version))
		for trait, probes := range write.probes {
			e.quarantine.GrantProbe(trait, probes)
		}

		return
	}
	e.cfg.Log.Write(event.HeldTraitsFailed, zap.Int("Traits", len(write.held)), zap.Error(err))
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
