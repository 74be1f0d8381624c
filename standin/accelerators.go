package standin

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"papayastair.dev/papayastair/wire"
)

// WeightStore paces the loads of all engines that share it. Loads of models
// start at most LoadsPerSecond; while more than LoadsAtFullSpeed are in
// flight, a new one takes longer in proportion. Adapters have a pace of their
// own. It is safe for concurrent use.
type WeightStore struct {
	// LoadsPerSecond is the rate at which loads of models start.
	LoadsPerSecond float64
	// LoadsAtFullSpeed is how many loads of models run at once undelayed.
	LoadsAtFullSpeed int
	// LoadTime is how long a load of a model takes at full speed.
	LoadTime time.Duration
	// AdaptersAtFullSpeed is how many loads of adapters run at once undelayed.
	AdaptersAtFullSpeed int
	// AdapterTime is how long a load of an adapter takes at full speed.
	AdapterTime time.Duration

	mu        sync.Mutex
	nextStart time.Time
	models    []time.Time
	adapters  []time.Time
	peak      int
}

// NewWeightStore returns a store at the rates of today's fleets.
func NewWeightStore() *WeightStore {
	return &WeightStore{
		LoadsPerSecond:      2,
		LoadsAtFullSpeed:    8,
		LoadTime:            4 * time.Second,
		AdaptersAtFullSpeed: 65,
		AdapterTime:         7 * time.Millisecond,
	}
}

// Begin starts a load and returns when it ends.
func (w *WeightStore) Begin(adapter bool, now time.Time) time.Time {
	w.mu.Lock()
	defer w.mu.Unlock()
	ended := func(end time.Time) bool { return !end.After(now) }
	if adapter {
		w.adapters = slices.DeleteFunc(w.adapters, ended)
		end := now.Add(stretch(w.AdapterTime, len(w.adapters)+1, w.AdaptersAtFullSpeed))
		w.adapters = append(w.adapters, end)

		return end
	}
	w.models = slices.DeleteFunc(w.models, ended)
	start := now
	if start.Before(w.nextStart) {
		start = w.nextStart
	}
	w.nextStart = start.Add(time.Duration(float64(time.Second) / w.LoadsPerSecond))
	end := start.Add(stretch(w.LoadTime, len(w.models)+1, w.LoadsAtFullSpeed))
	w.models = append(w.models, end)
	w.peak = max(w.peak, len(w.models))

	return end
}

// PeakLoads is the largest number of loads of models in flight so far,
// waiting ones included.
func (w *WeightStore) PeakLoads() int {
	w.mu.Lock()
	defer w.mu.Unlock()

	return w.peak
}

// stretch lengthens d in proportion to what is in flight over the limit.
func stretch(d time.Duration, inFlight, limit int) time.Duration {
	if inFlight <= limit {
		return d
	}

	return d * time.Duration(inFlight) / time.Duration(limit)
}

// Accelerators is an engine's own account of its accelerators: what is
// resident, which orders it took, and by how much its memory was ever
// overcommitted. It takes the time as an argument, which must not go back,
// and is safe for concurrent use. Use NewAccelerators.
type Accelerators struct {
	server wire.BackendServer
	// IgnoresMemory makes the engine begin loads that don't fit; otherwise it
	// refuses them. Either way it counts what would have been overcommitted.
	IgnoresMemory bool
	// UnloadTime is how long an unload takes; the memory is in use meanwhile.
	UnloadTime time.Duration

	weights *WeightStore

	mu            sync.Mutex
	residents     []resident
	taken         map[string]bool
	fence         int
	sequence      int
	overcommitted int
	loads         int
}

// resident is one model or adapter in memory.
type resident struct {
	wire.Resident
	orderID string
	until   time.Time
}

// NewAccelerators returns the empty accelerators of a backend server whose
// loads are paced by weights.
func NewAccelerators(server wire.BackendServer, weights *WeightStore) *Accelerators {
	return &Accelerators{
		server:     server,
		UnloadTime: time.Second,
		weights:    weights,
		taken:      map[string]bool{},
	}
}

// Apply carries out an order that arrives now.
func (a *Accelerators) Apply(order wire.Order, now time.Time) wire.OrderResult {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.settle(now)
	if a.server.ChecksFencing && order.Fence < a.fence {
		return a.result(order, wire.OrderResultStatusRefusedFence, "old fencing number")
	}
	a.fence = max(a.fence, order.Fence)
	if a.taken[order.ID] {
		return a.result(order, a.progress(order.ID), "order taken before")
	}
	if !slices.ContainsFunc(a.server.Accelerators, func(x wire.Accelerator) bool { return x.Name == order.Accelerator }) {
		return a.result(order, wire.OrderResultStatusRefusedOther, "no such accelerator")
	}
	if order.Action == wire.OrderActionUnload {
		return a.unload(order, now)
	}

	return a.load(order, now)
}

// Report is the part of a load report that concerns residents and orders.
// The figures of requests are left to the engine.
func (a *Accelerators) Report(now time.Time) wire.LoadReport {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.settle(now)
	a.sequence++
	report := wire.LoadReport{
		Name:               a.server.Name,
		Sequence:           a.sequence,
		AtUnixMilliseconds: int(now.UnixMilli()),
		Slots:              a.server.Slots,
		Residents:          make([]wire.Resident, 0, len(a.residents)),
		Pending:            []string{},
	}
	for _, r := range a.residents {
		report.Residents = append(report.Residents, r.Resident)
		if r.State != wire.ResidentStateServing {
			report.Pending = append(report.Pending, r.orderID)
		}
	}

	return report
}

// Serves reports whether a model, or an adapter of it, can answer requests.
// An empty version means any.
func (a *Accelerators) Serves(model, adapter, version string, now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.settle(now)

	return slices.ContainsFunc(a.residents, func(r resident) bool {
		return r.Model == model && r.Adapter == adapter && r.State == wire.ResidentStateServing &&
			(version == "" || r.Version == version)
	})
}

// OvercommittedBytes is the most by which the orders so far overcommitted the
// memory of any one accelerator, whether or not the engine refused them.
func (a *Accelerators) OvercommittedBytes() int {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.overcommitted
}

// Loads is the number of loads of models begun so far.
func (a *Accelerators) Loads() int {
	a.mu.Lock()
	defer a.mu.Unlock()

	return a.loads
}

// Restart empties the accelerators and forgets orders and fencing numbers, as
// a restarted engine does. OvercommittedBytes and Loads remain.
func (a *Accelerators) Restart() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.residents = nil
	a.taken = map[string]bool{}
	a.fence = 0
	a.sequence = 0
}

func (a *Accelerators) load(order wire.Order, now time.Time) wire.OrderResult {
	if i := a.find(order); i >= 0 {
		if a.residents[i].State == wire.ResidentStateUnloading {
			return a.result(order, wire.OrderResultStatusRefusedOther, "it is being unloaded")
		}
		a.taken[order.ID] = true

		return a.result(order, wire.OrderResultStatusDone, "resident already")
	}
	if order.Adapter != "" && !a.hasModel(order) {
		return a.result(order, wire.OrderResultStatusRefusedOther, "the adapter's model does not serve here")
	}
	if excess := a.used(order.Accelerator) + order.MemoryBytes - a.capacity(order.Accelerator); excess > 0 {
		a.overcommitted = max(a.overcommitted, excess)
		if !a.IgnoresMemory {
			return a.result(order, wire.OrderResultStatusRefusedMemory, "not enough memory")
		}
	}
	a.taken[order.ID] = true
	if order.Adapter == "" {
		a.loads++
	}
	a.residents = append(a.residents, resident{
		Resident: wire.Resident{
			Model:       order.Model,
			Adapter:     order.Adapter,
			Version:     order.Version,
			Accelerator: order.Accelerator,
			MemoryBytes: order.MemoryBytes,
			State:       wire.ResidentStateLoading,
		},
		orderID: order.ID,
		until:   a.weights.Begin(order.Adapter != "", now),
	})
	slices.SortFunc(a.residents, compareResidents)

	return a.result(order, wire.OrderResultStatusAccepted, "")
}

// unload begins an unload. The adapters of a model go with it.
func (a *Accelerators) unload(order wire.Order, now time.Time) wire.OrderResult {
	a.taken[order.ID] = true
	found := a.find(order)
	if found < 0 {
		return a.result(order, wire.OrderResultStatusDone, "not resident")
	}
	for i := range a.residents {
		r := &a.residents[i]
		adapterOfModel := order.Adapter == "" && r.Adapter != "" && r.Model == order.Model && r.Accelerator == order.Accelerator
		if (i != found && !adapterOfModel) || r.State == wire.ResidentStateUnloading {
			continue
		}
		r.State = wire.ResidentStateUnloading
		r.orderID = order.ID
		r.until = now.Add(a.UnloadTime)
	}

	return a.result(order, wire.OrderResultStatusAccepted, "")
}

// settle ends the loads and unloads whose time has come.
func (a *Accelerators) settle(now time.Time) {
	a.residents = slices.DeleteFunc(a.residents, func(r resident) bool {
		return r.State == wire.ResidentStateUnloading && !r.until.After(now)
	})
	for i := range a.residents {
		r := &a.residents[i]
		if r.State == wire.ResidentStateLoading && !r.until.After(now) {
			r.State = wire.ResidentStateServing
		}
	}
}

// progress is the status of an order taken before.
func (a *Accelerators) progress(orderID string) wire.OrderResultStatus {
	for _, r := range a.residents {
		if r.orderID == orderID && r.State != wire.ResidentStateServing {
			return wire.OrderResultStatusAccepted
		}
	}

	return wire.OrderResultStatusDone
}

// find is the index of the resident that an order names, or -1.
func (a *Accelerators) find(order wire.Order) int {
	return slices.IndexFunc(a.residents, func(r resident) bool {
		return r.Model == order.Model && r.Adapter == order.Adapter &&
			r.Version == order.Version && r.Accelerator == order.Accelerator
	})
}

func (a *Accelerators) hasModel(order wire.Order) bool {
	return slices.ContainsFunc(a.residents, func(r resident) bool {
		return r.Model == order.Model && r.Adapter == "" && r.Accelerator == order.Accelerator &&
			r.State == wire.ResidentStateServing
	})
}

func (a *Accelerators) used(accelerator string) int {
	used := 0
	for _, r := range a.residents {
		if r.Accelerator == accelerator {
			used += r.MemoryBytes
		}
	}

	return used
}

func (a *Accelerators) capacity(accelerator string) int {
	for _, x := range a.server.Accelerators {
		if x.Name == accelerator {
			return x.MemoryBytes
		}
	}

	return 0
}

func (a *Accelerators) result(order wire.Order, status wire.OrderResultStatus, reason string) wire.OrderResult {
	return wire.OrderResult{
		ID:     order.ID,
		Status: status,
		Reason: reason,
		Fence:  a.fence,
	}
}

func compareResidents(x, y resident) int {
	return cmp.Or(
		cmp.Compare(x.Accelerator, y.Accelerator),
		cmp.Compare(x.Model, y.Model),
		cmp.Compare(x.Adapter, y.Adapter),
		cmp.Compare(x.Version, y.Version),
	)
}
