package placement

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"papayastair.dev/papayastair/wire"
)

// Residents caches the models and adapters in the last report of each backend
// server, for routing. It is safe for concurrent use; the zero value is empty.
type Residents struct {
	mu      sync.RWMutex
	reports map[string]wire.LoadReport
	servers map[servingKey]map[string]bool
	// versions is the set of versions of each model that some server serves.
	versions map[string]map[string]bool
}

// servingKey identifies a version of a model, or of an adapter of it.
type servingKey struct {
	model   string
	adapter string
	version string
}

// Update stores a report unless it is out of date. A report with a lower sequence
// comes from a restarted engine if its timestamp is later, and is stored too.
func (r *Residents) Update(report wire.LoadReport) {
	r.mu.Lock()
	defer r.mu.Unlock()
	last, known := r.reports[report.Name]
	if known && report.Sequence <= last.Sequence && report.AtUnixMilliseconds <= last.AtUnixMilliseconds {
		return
	}
	r.removeServer(report.Name)
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
		key := servingKeyOf(item)
		if r.servers[key] == nil {
			r.servers[key] = map[string]bool{}
		}
		r.servers[key][report.Name] = true
		if key.adapter == "" {
			r.addVersion(key)
		}
	}
}

// Forget removes the report of a backend server that is gone.
func (r *Residents) Forget(server string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removeServer(server)
}

// Servers returns the sorted names of the backend servers that serve a version
// of a model, or of an adapter of it. An empty adapter means the model itself.
func (r *Residents) Servers(model, adapter, version string) []string {
	r.mu.RLock()
	defer r.mu.RUnlock()

	return slices.Sorted(maps.Keys(r.servers[servingKey{
		model:   model,
		adapter: adapter,
		version: version,
	}]))
}

// Versions returns the versions of a model that are being served, the one on the
// most backend servers first. During a rollout there are two.
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

// removeServer removes the report of a server. The caller must hold r.mu.
func (r *Residents) removeServer(server string) {
	for _, item := range r.reports[server].Residents {
		key := servingKeyOf(item)
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

func servingKeyOf(item wire.Resident) servingKey {
	return servingKey{
		model:   item.Model,
		adapter: item.Adapter,
		version: item.Version,
	}
}
