package steward

import (
	"fmt"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"papayastair.dev/papayastair/site"
)

const (
	// _adapterIdle is how long an adapter must have no requests, here or on
	// their way, to yield its place: longer than bulletins take.
	_adapterIdle = 250 * time.Millisecond
)

// _allInUse is the reason when every place is taken by an adapter in use.
const _allInUse = "AllInUse"

// adapterStep is the loading of one adapter, with what yields to it.
type adapterStep struct {
	server *ledger
	target site.Target
	// evict is the adapter that yields its place; empty for none.
	evict site.Target
}

// adapterSearch is what a place for an adapter is looked for in: the backend
// servers of the shards that this instance orders, and those of others.
type adapterSearch struct {
	engine  *site.Engine
	own     []*ledger
	foreign []foreignServer
	// taken counts the adapters that are about to be loaded.
	taken map[*ledger]int
	now   time.Time
}

// foreignServer is a backend server that this instance doesn't order; ordered
// says that another one does.
type foreignServer struct {
	id      string
	shard   int
	targets map[string]bool
	ordered bool
}

// models are the models that it serves.
func (f *foreignServer) models() []string {
	var out []string
	for text := range f.targets {
		if strings.IndexByte(text, '/') < 0 {
			out = append(out, text)
		}
	}

	return out
}

// place finds where an adapter should be loaded: on the backend server that
// holds its model and comes first by a hash of both, so that the same adapters
// stay together and all instances agree; one with a free place if there is
// one, else one where an unused adapter can yield. If that is another's to
// order, nothing is done here, unless patient is false.
func (a *adapterSearch) place(t site.Target, patient bool) (adapterStep, string) {
	var best, full *ledger
	reason := "NoModel"
	for _, s := range a.own {
		if !s.known || s.entry.Draining || s.down || !s.serves(t.Model) {
			continue
		}
		if s.unloading != "" || s.working || a.now.Before(s.pause) {
			reason = fmt.Sprintf("Busy (unloading %t, order on its way %t)", s.unloading != "", s.working)

			continue
		}
		reason = _allInUse
		if s.adapterCount()+a.taken[s] < a.engine.AdapterPlaces {
			best = ahead(best, s, t)

			continue
		}
		if _, ok := s.leastUsed(a.now, _adapterIdle); ok && a.taken[s] == 0 {
			full = ahead(full, s, t)
		}
	}
	st := adapterStep{
		server: best,
		target: t,
	}
	if best == nil && full != nil {
		st.server = full
		st.evict, _ = full.leastUsed(a.now, _adapterIdle)
	}
	if st.server == nil {
		return st, reason
	}
	if patient && a.elsewhere(t, adapterRank(st.server.entry.ID, t), best != nil) {
		return adapterStep{}, "Elsewhere"
	}

	return st, ""
}

// elsewhere says whether a backend server that another instance orders comes
// before one found here with the rank; free says that the latter has a place.
func (a *adapterSearch) elsewhere(t site.Target, rank uint64, free bool) bool {
	for _, f := range a.foreign {
		if !f.ordered || !f.targets[t.Model] {
			continue
		}
		adapters := 0
		for text := range f.targets {
			if strings.IndexByte(text, '/') > 0 {
				adapters++
			}
		}
		hasPlace := adapters < a.engine.AdapterPlaces
		if hasPlace && !free || hasPlace == free && adapterRank(f.id, t) > rank {
			return true
		}
	}

	return false
}

func ahead(a, b *ledger, t site.Target) *ledger {
	if a == nil || adapterRank(b.entry.ID, t) > adapterRank(a.entry.ID, t) {
		return b
	}

	return a
}

func adapterRank(server string, t site.Target) uint64 {
	return xxhash.Sum64String(server + "|" + t.String())
}
