package order

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"papayastair.dev/papayastair/wire"
)

// _adapterIdleTimeout is the time since the last request for an adapter after
// which it may be unloaded to free memory.
const _adapterIdleTimeout = 15 * time.Second

// planAdapters returns load orders for the requested adapters of models that
// serve on this backend server. Where an adapter does not fit, it returns
// unload orders for idle adapters instead.
func (s *server) planAdapters(t stepInput) []*ledgerEntry {
	var orders []*ledgerEntry
	requested := s.requestedAdapters(s.settings.Name, t.now)
	for _, name := range slices.Sorted(maps.Keys(requested)) {
		i := slices.IndexFunc(t.fleet.Adapters, func(a wire.Adapter) bool { return a.Name == name })
		if i < 0 {
			continue
		}
		orders = append(orders, s.planAdapterLoad(t.fleet.Adapters[i], requested)...)
	}

	return orders
}

// planAdapterLoad plans the load of one adapter on the accelerator with the
// most free memory among those that serve its model, or the unloads that make
// it fit there. It returns nil if the adapter is resident, an order for it is
// in doubt, or no copy of the model serves.
func (s *server) planAdapterLoad(adapter wire.Adapter, requested map[string]time.Time) []*ledgerEntry {
	var hosts []string
	for _, r := range s.ledger.sortedResidents() {
		if r.Model != adapter.Model || r.State != wire.ResidentStateServing {
			continue
		}
		key := memoryKey{
			accelerator: r.Accelerator,
			model:       adapter.Model,
			adapter:     adapter.Name,
			version:     adapter.Version,
		}
		_, resident := s.ledger.lookupResident(key)
		if resident || !s.ledger.idle(key) {
			return nil
		}
		// A load order in doubt for a copy that already serves has no effect, so
		// only unload orders rule the copy out.
		if r.Adapter == "" && !s.ledger.hasOrder(keyOfResident(r), wire.OrderActionUnload) {
			hosts = append(hosts, r.Accelerator)
		}
	}
	if len(hosts) == 0 {
		return nil
	}
	host := slices.MaxFunc(hosts, func(a, b string) int { return cmp.Compare(s.freeBytes(a), s.freeBytes(b)) })
	bytesNeeded := adapter.MemoryBytes - s.freeBytes(host)
	if bytesNeeded > 0 {
		return s.planAdapterUnloads(host, bytesNeeded, requested)
	}

	return []*ledgerEntry{s.newOrder(wire.OrderActionLoad, memoryKey{
		accelerator: host,
		model:       adapter.Model,
		adapter:     adapter.Name,
		version:     adapter.Version,
	}, adapter.MemoryBytes)}
}

// planAdapterUnloads returns unload orders for adapters on the accelerator
// that are not in requested, until they free at least bytesNeeded.
func (s *server) planAdapterUnloads(accelerator string, bytesNeeded int, requested map[string]time.Time) []*ledgerEntry {
	candidates := slices.DeleteFunc(s.ledger.sortedResidents(), func(r wire.Resident) bool {
		_, busy := requested[r.Adapter]

		return r.Adapter == "" || r.Accelerator != accelerator || busy
	})
	var orders []*ledgerEntry
	for _, r := range candidates {
		if bytesNeeded <= 0 {
			break
		}
		bytesNeeded -= r.MemoryBytes
		if key := keyOfResident(r); r.State != wire.ResidentStateUnloading && s.ledger.canUnload(key) {
			orders = append(orders, s.newOrder(wire.OrderActionUnload, key, r.MemoryBytes))
		}
	}

	return orders
}
