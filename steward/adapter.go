package steward

import (
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"papayastair.dev/papayastair/site"
)

const (
	// _adapterMinIdle is the time without requests, running or in transit, after
	// which an adapter may be evicted. It exceeds the delay of the bulletins that
	// report requests of other instances.
	_adapterMinIdle = 250 * time.Millisecond
)

// _reasonAllInUse is the reason when every adapter slot is occupied by an
// adapter in use.
const _reasonAllInUse = "AllInUse"

// adapterChange is the load of one adapter, preceded by an eviction if no slot
// is free.
type adapterChange struct {
	server *serverState
	target site.Target
	// evict is the adapter to unload first; empty for none.
	evict site.Target
}

// adapterSearch selects backend servers for adapters. It considers the backend
// servers that this instance manages and those of other stewards.
type adapterSearch struct {
	engine  *site.Engine
	own     []*serverState
	foreign []foreignServer
	// reserved counts the adapter loads already planned for each backend
	// server.
	reserved map[*serverState]int
	now      time.Time
}

// foreignServer is a backend server that this instance doesn't manage. managed
// is set if another steward does. An evacuated one has no targets.
type foreignServer struct {
	id      string
	shard   int
	targets map[string]bool
	// loading is the model that its steward is loading, empty for none.
	loading string
	managed bool
}

// models returns the models that the backend server serves and the one that is
// being loaded.
func (f *foreignServer) models() []string {
	var out []string
	for text := range f.targets {
		if strings.IndexByte(text, '/') < 0 {
			out = append(out, text)
		}
	}
	if f.loading != "" && !f.targets[f.loading] {
		out = append(out, f.loading)
	}

	return out
}

// place selects the backend server on which to load an adapter, by rendezvous
// hashing over the servers that serve its model, so that each adapter keeps its
// server and all instances agree. A server with a free adapter slot is
// preferred over one where an idle adapter must be evicted first. If a server
// of another steward is the better choice and deferToOthers is set, place
// returns no server and the reason Elsewhere.
func (a *adapterSearch) place(t site.Target, deferToOthers bool) (adapterChange, string) {
	var best, full *serverState
	reason := "NoModel"
	for _, s := range a.own {
		if !s.synced || s.entry.Draining || s.entry.Evacuated || s.down || !s.serves(t.Model) {
			continue
		}
		if s.unloading != "" || s.inFlight || a.now.Before(s.backoffUntil) {
			reason = fmt.Sprintf("Busy (unloading %t, order in flight %t)", s.unloading != "", s.inFlight)

			continue
		}
		reason = _reasonAllInUse
		if s.adapterCount()+a.reserved[s] < a.engine.AdapterSlots {
			best = higherRanked(best, s, t)

			continue
		}
		if _, ok := s.leastRecentlyUsed(a.now, _adapterMinIdle); ok && a.reserved[s] == 0 {
			full = higherRanked(full, s, t)
		}
	}
	change := adapterChange{
		server: best,
		target: t,
	}
	if best == nil && full != nil {
		change.server = full
		change.evict, _ = full.leastRecentlyUsed(a.now, _adapterMinIdle)
	}
	if change.server == nil {
		return change, reason
	}
	if deferToOthers && a.betterElsewhere(t, adapterRank(change.server.entry.ID, t), best != nil) {
		return adapterChange{}, "Elsewhere"
	}

	return change, ""
}

// betterElsewhere reports whether a server of another steward is a better
// choice than a local server with the given rank. free is set if the local
// server has a free adapter slot.
func (a *adapterSearch) betterElsewhere(t site.Target, rank uint64, free bool) bool {
	for _, f := range a.foreign {
		if !f.managed || !f.targets[t.Model] {
			continue
		}
		adapters := 0
		for text := range f.targets {
			if strings.IndexByte(text, '/') > 0 {
				adapters++
			}
		}
		hasSlot := adapters < a.engine.AdapterSlots
		if hasSlot && !free || hasSlot == free && adapterRank(f.id, t) > rank {
			return true
		}
	}

	return false
}

// higherRanked returns the server with the higher rank for the adapter. a may be
// nil.
func higherRanked(a, b *serverState, t site.Target) *serverState {
	if a == nil || adapterRank(b.entry.ID, t) > adapterRank(a.entry.ID, t) {
		return b
	}

	return a
}

// adapterRank returns the rendezvous hash of a server and an adapter.
func adapterRank(server string, t site.Target) uint64 {
	return xxhash.Sum64String(server + "|" + t.String())
}
