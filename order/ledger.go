package order

import (
	"cmp"
	"slices"
	"time"

	"papayastair.dev/papayastair/wire"
)

// Ledger accounts for the accelerator memory of one backend server: the
// residents of its latest load report, and the orders in doubt, which are
// those that may still arrive at the engine. Use NewLedger.
type Ledger struct {
	unsafe            UnsafeOptions
	report            wire.LoadReport
	reportRequestedAt time.Time
	entries           []*ledgerEntry
}

// UnsafeOptions disables single safety checks, so that tests can show which
// failure each of them prevents. The zero value leaves all checks enabled.
type UnsafeOptions struct {
	// FreeMemoryOnUnloadSent frees memory as soon as an unload order exists,
	// instead of when a report shows its effect.
	FreeMemoryOnUnloadSent bool
	// IgnoreOrdersInDoubt charges memory for reported residents only.
	IgnoreOrdersInDoubt bool
	// IgnoreSendWindow sends orders however long the write of their record
	// took.
	IgnoreSendWindow bool
	// SkipServingCheck unloads a copy without checking that another one
	// serves.
	SkipServingCheck bool
	// IgnoreInheritedIntents makes a new holder ignore its predecessor's
	// orders.
	IgnoreInheritedIntents bool
}

// ledgerEntry is an order that may still arrive at the engine.
type ledgerEntry struct {
	order wire.Order
	// latestArrival is the latest time at which a transmission of the order can
	// arrive.
	latestArrival time.Time
	// confirmed reports whether the engine answered the order or a load report
	// showed its effect.
	confirmed bool
	// inherited reports whether a previous holder recorded the order. Its send
	// time is not known for certain, because that holder may have been paused
	// just before sending. The entry is therefore removed only after the engine
	// has answered the order, because from then on the engine executes it at
	// most once.
	inherited bool
	// sendCount is the number of transmissions, and nextSend the earliest time
	// of the next one.
	sendCount int
	nextSend  time.Time
}

// memoryKey identifies a copy of a model, or an adapter, on an accelerator.
type memoryKey struct {
	accelerator string
	model       string
	adapter     string
	version     string
}

// NewLedger returns a ledger without a load report.
func NewLedger(unsafe UnsafeOptions) *Ledger {
	return &Ledger{unsafe: unsafe}
}

// Add charges an order that can arrive until latestArrival.
func (l *Ledger) Add(order wire.Order, latestArrival time.Time) {
	l.entries = append(l.entries, &ledgerEntry{
		order:         order,
		latestArrival: latestArrival,
	})
}

// AddInherited charges an order that a previous holder recorded.
func (l *Ledger) AddInherited(order wire.Order, latestArrival time.Time) {
	l.Add(order, latestArrival)
	l.entries[len(l.entries)-1].inherited = true
}

// ApplyReport replaces the load report by one that was requested at
// requestedAt. It removes each order whose latest arrival was before that
// time, since the report shows its outcome; an inherited order must be
// confirmed as well. It marks the other orders of this holder as confirmed if
// they were sent and the report shows their effect.
func (l *Ledger) ApplyReport(report wire.LoadReport, requestedAt time.Time) {
	l.report = report
	l.reportRequestedAt = requestedAt
	l.entries = slices.DeleteFunc(l.entries, func(e *ledgerEntry) bool {
		return requestedAt.After(e.latestArrival) && (e.confirmed || !e.inherited)
	})
	for _, e := range l.entries {
		_, resident := l.lookupResident(keyOfOrder(e.order))
		if resident == (e.order.Action == wire.OrderActionLoad) && e.sendCount > 0 && !e.inherited {
			e.confirmed = true
		}
	}
}

// HasReport reports whether the ledger has a load report.
func (l *Ledger) HasReport() bool {
	return !l.reportRequestedAt.IsZero()
}

// ChargedBytes returns the memory of an accelerator, in bytes, that is in use
// or may come into use through an order in doubt. A copy or adapter that is
// both reported and the subject of a load order in doubt is charged once.
func (l *Ledger) ChargedBytes(accelerator string) int {
	charged := map[memoryKey]int{}
	for _, r := range l.report.Residents {
		key := keyOfResident(r)
		if !l.unsafe.FreeMemoryOnUnloadSent || !l.hasOrder(key, wire.OrderActionUnload) {
			charged[key] = max(charged[key], r.MemoryBytes)
		}
	}
	for _, e := range l.entries {
		if e.order.Action == wire.OrderActionLoad && !l.unsafe.IgnoreOrdersInDoubt {
			key := keyOfOrder(e.order)
			charged[key] = max(charged[key], e.order.MemoryBytes)
		}
	}
	sum := 0
	for key, bytes := range charged {
		if key.accelerator == accelerator {
			sum += bytes
		}
	}

	return sum
}

// idle reports whether no order for key is in doubt.
func (l *Ledger) idle(key memoryKey) bool {
	return !slices.ContainsFunc(l.entries, func(e *ledgerEntry) bool { return keyOfOrder(e.order) == key })
}

// hasOrder reports whether an order with this action for key is in doubt.
func (l *Ledger) hasOrder(key memoryKey, action wire.OrderAction) bool {
	return slices.ContainsFunc(l.entries, func(e *ledgerEntry) bool {
		return e.order.Action == action && keyOfOrder(e.order) == key
	})
}

// canUnload reports whether an unload of key may be ordered: no unload order
// for it is in doubt, and any load order in doubt is confirmed.
func (l *Ledger) canUnload(key memoryKey) bool {
	return !slices.ContainsFunc(l.entries, func(e *ledgerEntry) bool {
		return keyOfOrder(e.order) == key && (e.order.Action == wire.OrderActionUnload || !e.confirmed)
	})
}

// lookupResident returns the resident for key in the latest report.
func (l *Ledger) lookupResident(key memoryKey) (wire.Resident, bool) {
	i := slices.IndexFunc(l.report.Residents, func(r wire.Resident) bool { return keyOfResident(r) == key })
	if i < 0 {
		return wire.Resident{}, false
	}

	return l.report.Residents[i], true
}

// sortedResidents returns the residents of the latest report, sorted by model,
// adapter, accelerator and version.
func (l *Ledger) sortedResidents() []wire.Resident {
	list := slices.Clone(l.report.Residents)
	slices.SortFunc(list, func(a, b wire.Resident) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter),
			cmp.Compare(a.Accelerator, b.Accelerator), cmp.Compare(a.Version, b.Version))
	})

	return list
}

// intents returns the orders in doubt in the form stored in the lease object.
func (l *Ledger) intents() []wire.Intent {
	intents := make([]wire.Intent, 0, len(l.entries))
	for _, e := range l.entries {
		intents = append(intents, wire.Intent{
			ID:          e.order.ID,
			Action:      string(e.order.Action),
			Model:       e.order.Model,
			Adapter:     e.order.Adapter,
			Version:     e.order.Version,
			Accelerator: e.order.Accelerator,
			MemoryBytes: e.order.MemoryBytes,
		})
	}

	return intents
}

func orderFromIntent(intent wire.Intent) wire.Order {
	return wire.Order{
		ID:          intent.ID,
		Action:      wire.OrderAction(intent.Action),
		Model:       intent.Model,
		Adapter:     intent.Adapter,
		Version:     intent.Version,
		Accelerator: intent.Accelerator,
		MemoryBytes: intent.MemoryBytes,
	}
}

func keyOfOrder(o wire.Order) memoryKey {
	return memoryKey{
		accelerator: o.Accelerator,
		model:       o.Model,
		adapter:     o.Adapter,
		version:     o.Version,
	}
}

func keyOfResident(r wire.Resident) memoryKey {
	return memoryKey{
		accelerator: r.Accelerator,
		model:       r.Model,
		adapter:     r.Adapter,
		version:     r.Version,
	}
}
