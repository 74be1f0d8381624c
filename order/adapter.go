package order

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"papayastair.dev/papayastair/wire"
)

// _adapterIdle is how long an adapter must not have been asked for until it
// may make room.
const _adapterIdle = 15 * time.Second

// adapterOrders orders the adapters that were asked for beside serving copies
// of their models, and unloads of idle ones where they lack room.
func (s *server) adapterOrders(t turn) []*ledgerEntry {
	var due []*ledgerEntry
	requested := s.requested(s.settings.Name, t.now)
	for _, name := range slices.Sorted(maps.Keys(requested)) {
		i := slices.IndexFunc(t.fleet.Adapters, func(a wire.Adapter) bool { return a.Name == name })
		if i < 0 {
			continue
		}
		due = append(due, s.loadAdapter(t.fleet.Adapters[i], requested)...)
	}

	return due
}

func (s *server) loadAdapter(adapter wire.Adapter, requested map[string]time.Time) []*ledgerEntry {
	var hosts []string
	for _, r := range s.ledger.residents() {
		if r.Model != adapter.Model || r.State != wire.ResidentStateServing {
			continue
		}
		key := memoryKey{
			accelerator: r.Accelerator,
			model:       adapter.Model,
			adapter:     adapter.Name,
			version:     adapter.Version,
		}
		_, resident := s.ledger.resident(key)
		if resident || !s.ledger.idle(key) {
			return nil
		}
		// A load in doubt of what serves already changes nothing.
		if r.Adapter == "" && !s.ledger.inDoubt(keyOfResident(r), wire.OrderActionUnload) {
			hosts = append(hosts, r.Accelerator)
		}
	}
	if len(hosts) == 0 {
		return nil
	}
	host := slices.MaxFunc(hosts, func(a, b string) int { return cmp.Compare(s.free(a), s.free(b)) })
	lacking := adapter.MemoryBytes - s.free(host)
	if lacking > 0 {
		return s.evictAdapters(host, lacking, requested)
	}

	return []*ledgerEntry{s.newOrder(wire.OrderActionLoad, memoryKey{
		accelerator: host,
		model:       adapter.Model,
		adapter:     adapter.Name,
		version:     adapter.Version,
	}, adapter.MemoryBytes)}
}

// evictAdapters orders unloads of adapters that were not requested lately,
// until enough memory will come free.
func (s *server) evictAdapters(accelerator string, lacking int, requested map[string]time.Time) []*ledgerEntry {
	candidates := slices.DeleteFunc(s.ledger.residents(), func(r wire.Resident) bool {
		_, busy := requested[r.Adapter]

		return r.Adapter == "" || r.Accelerator != accelerator || busy
	})
	var due []*ledgerEntry
	for _, r := range candidates {
		if lacking <= 0 {
			break
		}
		lacking -= r.MemoryBytes
		if key := keyOfResident(r); r.State != wire.ResidentStateUnloading && s.ledger.mayUnload(key) {
			due = append(due, s.newOrder(wire.OrderActionUnload, key, r.MemoryBytes))
		}
	}

	return due
}
