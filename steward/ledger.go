package steward

import (
	"maps"
	"slices"
	"time"

	"papayastair.dev/papayastair/site"
)

// ledger is what one backend server holds, as its reports and the orders
// given since show.
type ledger struct {
	entry site.BackendServer
	// down says that connections to it fail.
	down bool
	// known says that a report was read since this instance is the steward or
	// the backend server has started.
	known bool
	// adapters are the adapters held, by model; a model without any is in it.
	adapters map[string]map[string]bool
	// coming are the adapters that are held but can't serve yet.
	coming map[site.Target]bool
	// loadedAt is when each model was loaded by this steward.
	loadedAt map[string]time.Time
	// used is when each adapter was last asked for.
	used map[site.Target]time.Time
	// orders is the number of orders that the backend server has accepted.
	orders int
	// loading is the model on its way, and unloading the one that leaves.
	loading   string
	unloading string
	due       time.Time
	// roomFor is the model for which another was unloaded.
	roomFor string
	// working says that a goroutine talks to the backend server.
	working bool
	// pause is until when nothing is ordered after a refusal.
	pause time.Time
	// atHand are models whose weights are in memory or on disk there.
	atHand map[string]bool
}

func newLedger(entry site.BackendServer) *ledger {
	return &ledger{
		entry:    entry,
		adapters: map[string]map[string]bool{},
		coming:   map[site.Target]bool{},
		loadedAt: map[string]time.Time{},
		used:     map[site.Target]time.Time{},
		atHand:   map[string]bool{},
	}
}

// busy says that a model is on its way in or out.
func (l *ledger) busy() bool {
	return l.loading != "" || l.unloading != ""
}

// serves says whether requests for a model may be sent there.
func (l *ledger) serves(model string) bool {
	_, ok := l.adapters[model]

	return ok && l.unloading != model
}

func (l *ledger) holds(t site.Target) bool {
	return l.serves(t.Model) && (t.Adapter == "" || l.adapters[t.Model][t.Adapter])
}

// models are the models that it serves.
func (l *ledger) models() []string {
	var out []string
	for model := range l.adapters {
		if l.serves(model) {
			out = append(out, model)
		}
	}

	return out
}

// adapterCount is how many adapter places are taken.
func (l *ledger) adapterCount() int {
	n := 0
	for _, a := range l.adapters {
		n += len(a)
	}

	return n
}

// freeMB is the memory that is surely free: what is held, is coming or may
// not have left yet is charged, and all places for adapters are kept free for
// the largest.
func (l *ledger) freeMB(e *site.Engine) float64 {
	free := e.WeightsMB - adapterReserve(e)
	for model := range l.adapters {
		free -= e.Models[model].WeightsMB
	}
	if l.loading != "" {
		if _, held := l.adapters[l.loading]; !held {
			free -= e.Models[l.loading].WeightsMB
		}
	}

	return free
}

func adapterReserve(e *site.Engine) float64 {
	largest := 0.0
	for _, m := range e.Models {
		if m.Adapters > 0 {
			largest = max(largest, m.AdapterMB)
		}
	}

	return largest * float64(e.AdapterPlaces)
}

// targets are all that it serves now, sorted.
func (l *ledger) targets() []string {
	out := []string{}
	for model, adapters := range l.adapters {
		if l.unloading == model {
			continue
		}
		out = append(out, model)
		for a := range adapters {
			t := site.Target{
				Model:   model,
				Adapter: a,
			}
			if !l.coming[t] {
				out = append(out, t.String())
			}
		}
	}
	slices.Sort(out)

	return out
}

// take brings the ledger in line with a report that is not older than the
// last order.
func (l *ledger) take(r site.Report) {
	l.known = true
	l.orders = r.Orders
	held := map[string]map[string]bool{}
	for _, h := range r.Models {
		held[h.Model] = map[string]bool{}
		for _, a := range h.Adapters {
			held[h.Model][a] = true
		}
	}
	for _, t := range r.Coming {
		if held[t.Model] != nil {
			held[t.Model][t.Adapter] = true
		}
	}
	l.adapters = held
	clear(l.coming)
	l.atHand = map[string]bool{}
	for _, m := range slices.Concat(r.InMemory, r.OnDisk) {
		l.atHand[m] = true
	}
	if !r.Busy {
		l.loading = ""
		l.unloading = ""
	}
}

// leastUsed is the adapter that was not asked for for the longest time, at
// least idle ago.
func (l *ledger) leastUsed(now time.Time, idle time.Duration) (site.Target, bool) {
	var oldest site.Target
	found := false
	for model, adapters := range l.adapters {
		for _, a := range slices.Sorted(maps.Keys(adapters)) {
			t := site.Target{
				Model:   model,
				Adapter: a,
			}
			if l.coming[t] || now.Sub(l.used[t]) < idle {
				continue
			}
			if !found || l.used[t].Before(l.used[oldest]) {
				oldest = t
				found = true
			}
		}
	}

	return oldest, found
}
