package steward

import (
	"maps"
	"slices"
	"time"

	"papayastair.dev/papayastair/site"
)

// serverState is the state of one backend server as known from its last report
// and the orders sent since.
type serverState struct {
	entry site.BackendServer
	// down is set while the backend server takes no requests, and limited while it takes
	// so few that its copies don't count.
	down    bool
	limited bool
	// synced is set once a report was read since this instance became the
	// steward or the backend server started. While it is unset, no orders are
	// sent.
	synced bool
	// reported is set once a report was read since this instance became the steward.
	// Until then adapters is taken from the entry.
	reported bool
	// adapters holds the loaded adapters by model. A loaded model without
	// adapters has an empty entry.
	adapters map[string]map[string]bool
	// pending holds the adapters that are being loaded and can't serve yet.
	// They occupy an adapter slot.
	pending map[site.Target]bool
	// loadedAt is the time at which this steward loaded each model.
	loadedAt map[string]time.Time
	// usedAt is the time at which each adapter was last known to be in use.
	usedAt map[site.Target]time.Time
	// acceptedOrders is the number of orders that the backend server has
	// accepted since its start.
	acceptedOrders int
	// loading is the model being loaded, and unloading the model being
	// unloaded; empty for none.
	loading   string
	unloading string
	// pollAt is the time of the next report read while a model is being loaded
	// or unloaded.
	pollAt time.Time
	// reservedFor is the model for which another one was unloaded.
	reservedFor string
	// inFlight is set while a goroutine sends an order to the backend server or
	// reads its report.
	inFlight bool
	// backoffUntil is the time before which no order is sent, after a refusal.
	backoffUntil time.Time
	// localWeights holds the models whose weights are in the backend server's
	// host memory or on its disk.
	localWeights map[string]bool
}

func newServerState(entry site.BackendServer) *serverState {
	return &serverState{
		entry:        entry,
		adapters:     entryModels(entry),
		pending:      map[site.Target]bool{},
		loadedAt:     map[string]time.Time{},
		usedAt:       map[site.Target]time.Time{},
		localWeights: map[string]bool{},
	}
}

// entryModels returns the models in a backend server's entry, without their
// adapters. They stand in for a report that has not been read yet: a model that
// other servers serve must not count as unserved.
func entryModels(entry site.BackendServer) map[string]map[string]bool {
	out := make(map[string]map[string]bool, len(entry.Models))
	for _, h := range entry.Models {
		out[h.Model] = map[string]bool{}
	}

	return out
}

// changingModel reports whether a model is being loaded or unloaded.
func (s *serverState) changingModel() bool {
	return s.loading != "" || s.unloading != ""
}

// serves reports whether requests for the model may be sent to the backend
// server.
func (s *serverState) serves(model string) bool {
	_, ok := s.adapters[model]

	return ok && s.unloading != model
}

// hasTarget reports whether the backend server serves the target's model and
// has its adapter loaded, also while the adapter is pending.
func (s *serverState) hasTarget(t site.Target) bool {
	return s.serves(t.Model) && (t.Adapter == "" || s.adapters[t.Model][t.Adapter])
}

// servedModels returns the models that the backend server serves.
func (s *serverState) servedModels() []string {
	var out []string
	for model := range s.adapters {
		if s.serves(model) {
			out = append(out, model)
		}
	}

	return out
}

// pendingModel returns the model that is being loaded, or for which another one
// was unloaded; empty for none.
func (s *serverState) pendingModel() string {
	for _, model := range []string{s.loading, s.reservedFor} {
		if model != "" && !s.serves(model) {
			return model
		}
	}

	return ""
}

// plannedModels returns the models that the backend server serves and the one that
// is being loaded.
func (s *serverState) plannedModels() []string {
	out := s.servedModels()
	if model := s.pendingModel(); model != "" {
		out = append(out, model)
	}

	return out
}

// adapterCount returns the number of occupied adapter slots.
func (s *serverState) adapterCount() int {
	n := 0
	for _, a := range s.adapters {
		n += len(a)
	}

	return n
}

// freeMB returns the memory that is certain to be free, in MB. Models that are
// loaded, being loaded or not yet unloaded count as occupied, and so do all
// adapter slots, each at the size of the largest adapter.
func (s *serverState) freeMB(e *site.Engine) float64 {
	return s.freeBesides(e, adapterReserveMB(e))
}

// freeBesides is freeMB for a reserve that was computed before.
func (s *serverState) freeBesides(e *site.Engine, reserveMB float64) float64 {
	free := e.WeightsMB - reserveMB
	for model := range s.adapters {
		free -= e.Models[model].WeightsMB
	}
	if s.loading != "" {
		if _, loaded := s.adapters[s.loading]; !loaded {
			free -= e.Models[s.loading].WeightsMB
		}
	}

	return free
}

// adapterReserveMB returns the memory reserved for adapters on each engine, in
// MB.
func adapterReserveMB(e *site.Engine) float64 {
	largest := 0.0
	for _, m := range e.Models {
		if m.Adapters > 0 {
			largest = max(largest, m.AdapterMB)
		}
	}

	return largest * float64(e.AdapterSlots)
}

// servedTargets returns the sorted models and adapters that the backend server
// serves.
func (s *serverState) servedTargets() []string {
	out := []string{}
	for model, adapters := range s.adapters {
		if s.unloading == model {
			continue
		}
		out = append(out, model)
		for a := range adapters {
			t := site.Target{
				Model:   model,
				Adapter: a,
			}
			if !s.pending[t] {
				out = append(out, t.String())
			}
		}
	}
	slices.Sort(out)

	return out
}

// applyReport replaces the state by a report, which must not be older than the
// last order.
func (s *serverState) applyReport(r site.Report) {
	s.synced = true
	s.reported = true
	s.acceptedOrders = r.Orders
	loaded := map[string]map[string]bool{}
	for _, h := range r.Models {
		loaded[h.Model] = map[string]bool{}
		for _, a := range h.Adapters {
			loaded[h.Model][a] = true
		}
	}
	for _, t := range r.Loading {
		if loaded[t.Model] != nil {
			loaded[t.Model][t.Adapter] = true
		}
	}
	s.adapters = loaded
	if _, ok := loaded[s.reservedFor]; ok {
		s.reservedFor = ""
	}
	clear(s.pending)
	s.localWeights = map[string]bool{}
	for _, m := range slices.Concat(r.InMemory, r.OnDisk) {
		s.localWeights[m] = true
	}
	if !r.Busy {
		s.loading = ""
		s.unloading = ""
	}
}

// leastRecentlyUsed returns the adapter that has been unused for the longest
// time, and at least for idle.
func (s *serverState) leastRecentlyUsed(now time.Time, idle time.Duration) (site.Target, bool) {
	var oldest site.Target
	found := false
	for model, adapters := range s.adapters {
		for _, a := range slices.Sorted(maps.Keys(adapters)) {
			t := site.Target{
				Model:   model,
				Adapter: a,
			}
			if s.pending[t] || now.Sub(s.usedAt[t]) < idle {
				continue
			}
			if !found || s.usedAt[t].Before(s.usedAt[oldest]) {
				oldest = t
				found = true
			}
		}
	}

	return oldest, found
}
