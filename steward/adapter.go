package steward

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"papayastair.dev/papayastair/site"
)

const (
	// _adapterIdle is how long an adapter must be unused to yield its place.
	_adapterIdle = 700 * time.Millisecond
)

// adapterStep is the loading of one adapter, with what yields to it.
type adapterStep struct {
	server *ledger
	target site.Target
	// evict is the adapter that yields its place; empty for none.
	evict site.Target
}

// placeAdapter finds where an adapter should be loaded: on a backend server
// that holds its model and has a free place, by a hash of both so that the
// same adapters stay together; else where the adapter that was unused for
// longest yields.
func placeAdapter(servers []*ledger, e *site.Engine, t site.Target, taken map[*ledger]int, now time.Time) (adapterStep, string) {
	var best, full *ledger
	reason := "NoModel"
	for _, s := range servers {
		if !s.known || s.entry.Draining || !s.serves(t.Model) || s.adapters[t.Model][t.Adapter] {
			continue
		}
		reason = "Busy"
		if s.busy() || s.working || now.Before(s.pause) {
			continue
		}
		if s.adapterCount()+taken[s] < e.AdapterPlaces {
			if best == nil || adapterRank(s, t) > adapterRank(best, t) {
				best = s
			}

			continue
		}
		if _, ok := s.leastUsed(now, _adapterIdle); ok && taken[s] == 0 &&
			(full == nil || adapterRank(s, t) > adapterRank(full, t)) {
			full = s
		}
	}
	switch {
	case best != nil:
		return adapterStep{
			server: best,
			target: t,
		}, ""
	case full != nil:
		evict, _ := full.leastUsed(now, _adapterIdle)

		return adapterStep{
			server: full,
			target: t,
			evict:  evict,
		}, ""
	default:
		return adapterStep{}, reason
	}
}

func adapterRank(s *ledger, t site.Target) uint64 {
	return xxhash.Sum64String(s.entry.ID + "|" + t.String())
}
