package placement

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"papayastair.dev/papayastair/wire"
)

// Residents is what the backend servers last reported to hold, for routing.
// It is safe for concurrent use; the zero value is empty.
type Residents struct {
	mu      sync.RWMutex
	reports map[string]wire.LoadReport
	servers map[servingKey]map[string]bool
	// versions are those of each model that serve somewhere.
	versions map[string]map[string]bool
}

// servingKey names a model, or an adapter of it.
type servingKey struct {
	model   string
	adapter string
	version string
}

// Observe takes in a report unless a later one is known. A sequence that
// starts again is that of a restarted engine, if its clock is ahead.
func (r *Residents) Observe(report wire.LoadReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	last, known := r.reports[report.Name]
	if known && report.Sequence <= last.Sequence && report.AtUnixMilliseconds <= last.AtUnixMilliseconds {
		return
	}
	r.remove(report.Name)
	if r.reports == nil {
		r.reports = map[string]wire.LoadReport{}
		r.servers = map[servingKey]map[string]bool{}
		r.versions = map[string]map[string]bool{}
	}
	r.reports[report.Name] = report
	for _, item := range report.Residents {
		if item.State != wire.ResidentStateServing {
			continue
		}
		key := keyOfResident(item)
		if r.servers[key] == nil {
			r.servers[key] = map[string]bool{}
		}
		r.servers[key][report.Name] = true
		if key.adapter == "" {
			r.addVersion(key)
		}
	}
}

// Forget drops what a backend server reported, when it is gone.
func (r *Residents) Forget(server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.remove(server)
}

// Servers are the backend servers that serve a version of a model, or of an
// adapter of it, in one order; an empty adapter means the model itself.
func (r *Residents) Servers(model, adapter, version string) []string {
	r.mu.RLock()
	defer r.mu.RUnlock()

	return slices.Sorted(maps.Keys(r.servers[servingKey{
		model:   model,
		adapter: adapter,
		version: version,
	}]))
}

// Versions are the versions of a model that serve somewhere, the one on most
// backend servers first. During a rollout there are two.
func (r *Residents) Versions(model string) []string {
	r.mu.RLock()
	defer r.mu.RUnlock()
	count := func(version string) int {
		return len(r.servers[servingKey{
			model:   model,
			version: version,
		}])
	}

	return slices.SortedFunc(maps.Keys(r.versions[model]), func(a, b string) int {
		return cmp.Or(cmp.Compare(count(b), count(a)), cmp.Compare(a, b))
	})
}

func (r *Residents) addVersion(key servingKey) {
	if r.versions[key.model] == nil {
		r.versions[key.model] = map[string]bool{}
	}
	r.versions[key.model][key.version] = true
}

// remove takes a server out. The lock is held.
func (r *Residents) remove(server string) {
	for _, item := range r.reports[server].Residents {
		key := keyOfResident(item)
		delete(r.servers[key], server)
		if len(r.servers[key]) > 0 {
			continue
		}
		delete(r.servers, key)
		if key.adapter == "" {
			delete(r.versions[key.model], key.version)
		}
	}
	delete(r.reports, server)
}

func keyOfResident(item wire.Resident) servingKey {
	return servingKey{
		model:   item.Model,
		adapter: item.Adapter,
		version: item.Version,
	}
}
