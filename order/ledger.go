package order

import (
	"cmp"
	"slices"
	"time"

	"papayastair.dev/papayastair/wire"
)

// Ledger is the account of one backend server's memory as far as orders
// concern it: what its latest report shows, and the orders that may still
// arrive. Use NewLedger.
type Ledger struct {
	guards  Guards
	report  wire.LoadReport
	asked   time.Time
	entries []*ledgerEntry
}

// Guards switches off single guards, for tests that show what each is for.
// The zero value has all guards on.
type Guards struct {
	// UnloadDoneWhenSent frees memory as soon as an unload is sent.
	UnloadDoneWhenSent bool
	// DoubtsNotCharged charges only what reports show.
	DoubtsNotCharged bool
	// NoClockCheck sends orders however long their record took to write.
	NoClockCheck bool
	// NoServingCheck unloads without asking whether another copy serves.
	NoServingCheck bool
	// IntentsForgotten makes a new holder ignore its predecessor's orders.
	IntentsForgotten bool
}

// ledgerEntry is one order that may still arrive.
type ledgerEntry struct {
	order wire.Order
	// latest is when the last sending of the order arrives at the latest.
	latest time.Time
	// confirmed says that the engine answered the order or showed its effect.
	confirmed bool
	// inherited says that a predecessor recorded the order. When it was sent is
	// not known for certain, as the predecessor may have been paused just
	// before; it is settled only after the engine has answered it, since then
	// the engine takes it no more than once.
	inherited bool
	// sent counts sendings, and nextSend is when the next may be.
	sent     int
	nextSend time.Time
}

// memoryKey names what an order or a resident is about.
type memoryKey struct {
	accelerator string
	model       string
	adapter     string
	version     string
}

// NewLedger returns a ledger without a report.
func NewLedger(guards Guards) *Ledger {
	return &Ledger{guards: guards}
}

// Intend charges an order that arrives at the latest at latest.
func (l *Ledger) Intend(order wire.Order, latest time.Time) {
	l.entries = append(l.entries, &ledgerEntry{
		order:  order,
		latest: latest,
	})
}

// Inherit charges an order that a predecessor recorded.
func (l *Ledger) Inherit(order wire.Order, latest time.Time) {
	l.Intend(order, latest)
	l.entries[len(l.entries)-1].inherited = true
}

// Observe takes in a report that was asked for at asked. An order whose latest
// arrival was before asked is settled: the report shows what became of it.
func (l *Ledger) Observe(report wire.LoadReport, asked time.Time) {
	l.report = report
	l.asked = asked
	l.entries = slices.DeleteFunc(l.entries, func(e *ledgerEntry) bool {
		return asked.After(e.latest) && (e.confirmed || !e.inherited)
	})
	for _, e := range l.entries {
		_, resident := l.resident(keyOfOrder(e.order))
		if resident == (e.order.Action == wire.OrderActionLoad) && e.sent > 0 && !e.inherited {
			e.confirmed = true
		}
	}
}

// Known reports whether the ledger has a report.
func (l *Ledger) Known() bool {
	return !l.asked.IsZero()
}

// Charged is the memory of an accelerator, in bytes, that is or may come to
// be in use. What a report shows and an order in doubt asks for counts once.
func (l *Ledger) Charged(accelerator string) int {
	charged := map[memoryKey]int{}
	for _, r := range l.report.Residents {
		key := keyOfResident(r)
		if !l.guards.UnloadDoneWhenSent || !l.inDoubt(key, wire.OrderActionUnload) {
			charged[key] = max(charged[key], r.MemoryBytes)
		}
	}
	for _, e := range l.entries {
		if e.order.Action == wire.OrderActionLoad && !l.guards.DoubtsNotCharged {
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

// Idle reports whether no order about a copy or adapter is in doubt.
func (l *Ledger) idle(key memoryKey) bool {
	return !slices.ContainsFunc(l.entries, func(e *ledgerEntry) bool { return keyOfOrder(e.order) == key })
}

// inDoubt reports whether an order of this action about key is in doubt.
func (l *Ledger) inDoubt(key memoryKey, action wire.OrderAction) bool {
	return slices.ContainsFunc(l.entries, func(e *ledgerEntry) bool {
		return e.order.Action == action && keyOfOrder(e.order) == key
	})
}

// mayUnload reports whether an unload of key may be ordered now: no unload is
// in doubt, and the load that brought it is confirmed.
func (l *Ledger) mayUnload(key memoryKey) bool {
	return !slices.ContainsFunc(l.entries, func(e *ledgerEntry) bool {
		return keyOfOrder(e.order) == key && (e.order.Action == wire.OrderActionUnload || !e.confirmed)
	})
}

// resident is what the latest report shows of key.
func (l *Ledger) resident(key memoryKey) (wire.Resident, bool) {
	i := slices.IndexFunc(l.report.Residents, func(r wire.Resident) bool { return keyOfResident(r) == key })
	if i < 0 {
		return wire.Resident{}, false
	}

	return l.report.Residents[i], true
}

// residents are the models and adapters of the latest report in one order.
func (l *Ledger) residents() []wire.Resident {
	list := slices.Clone(l.report.Residents)
	slices.SortFunc(list, func(a, b wire.Resident) int {
		return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter),
			cmp.Compare(a.Accelerator, b.Accelerator), cmp.Compare(a.Version, b.Version))
	})

	return list
}

// intents are the orders that may still arrive, for the stored object.
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

func orderOf(intent wire.Intent) wire.Order {
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
