package order

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"papayastair.dev/papayastair/event"
	"papayastair.dev/papayastair/placement"
	"papayastair.dev/papayastair/wire"
)

// reconcile brings the backend server closer to the state that the catalog
// plans. It fetches a load report, updates the catalog from it, and records
// and sends the orders that are due.
func (s *server) reconcile(ctx context.Context, t stepInput) {
	requestedAt := s.Timer.Now()
	report, err := s.Report(ctx, s.settings.Name)
	if err != nil {
		s.nextReport = t.now.Add(s.Options.ReportPeriod)
		s.logOnce("report", event.OrderReportFailed, zap.Error(err))

		return
	}
	s.ledger.ApplyReport(report, requestedAt)
	updates := s.updateCatalog(ctx)
	places := s.Catalog.CopiesOn(s.settings.Name)
	due := s.dueResends(requestedAt)
	due = append(due, s.planUnloads(ctx, places)...)
	due = append(due, s.planLoads(places)...)
	due = append(due, s.planAdapters(t)...)
	clearIntents := s.storedIntents > 0 && len(s.ledger.entries) == 0 && requestedAt.Sub(s.storedAt) > _clearIntentsDelay
	if len(due) > 0 || clearIntents {
		s.recordAndSend(ctx, due)
	}
	s.publishStatus(requestedAt)
	s.nextReport = t.now.Add(s.Options.IdleReportPeriod)
	if updates > 0 || len(s.ledger.entries) > 0 || slices.ContainsFunc(places, inTransition) {
		s.nextReport = t.now.Add(s.Options.ReportPeriod)
	}
}

// publishStatus stores the state that Manager.Status returns.
func (s *server) publishStatus(requestedAt time.Time) {
	status := &Status{
		Server:            s.settings.Name,
		Fence:             s.fence,
		OrdersInDoubt:     len(s.ledger.entries),
		ReportRequestedAt: requestedAt,
		ChargedBytes:      make(map[string]int, len(s.settings.Accelerators)),
	}
	for _, a := range s.settings.Accelerators {
		status.ChargedBytes[a.Name] = s.ledger.ChargedBytes(a.Name)
	}
	s.status.Store(status)
}

// updateCatalog updates the catalog from the load report: copies that now
// serve, copies that are gone, and residents that the catalog does not list.
// It returns the number of updates needed, of which it makes at most
// _maxCatalogUpdates.
func (s *server) updateCatalog(ctx context.Context) int {
	updates := 0
	update := func(p placement.ModelCopy, state wire.CopyState) {
		updates++
		if updates <= _maxCatalogUpdates {
			s.updateCopy(ctx, p, state)
		}
	}
	places := s.Catalog.CopiesOn(s.settings.Name)
	planned := map[memoryKey]bool{}
	for _, p := range places {
		key := keyOfPlace(p)
		planned[key] = true
		r, resident := s.ledger.lookupResident(key)
		present := resident && r.State != wire.ResidentStateUnloading
		switch {
		case p.State == wire.CopyStateLoading && resident && r.State == wire.ResidentStateServing:
			update(p, wire.CopyStateServing)
		case p.State == wire.CopyStateServing && !present:
			update(p, "")
		case isRemoval(p) && !resident && !s.ledger.hasOrder(key, wire.OrderActionLoad):
			update(p, "")
		}
	}
	for _, r := range s.ledger.sortedResidents() {
		key := keyOfResident(r)
		if r.Adapter != "" || planned[key] || r.State == wire.ResidentStateUnloading || s.ledger.hasOrder(key, wire.OrderActionUnload) {
			continue
		}
		state := wire.CopyStateLoading
		if r.State == wire.ResidentStateServing {
			state = wire.CopyStateServing
		}
		update(placement.ModelCopy{
			Model: r.Model,
			Copy: wire.Copy{
				Server:      s.settings.Name,
				Accelerator: r.Accelerator,
				Version:     r.Version,
				MemoryBytes: r.MemoryBytes,
			},
		}, state)
	}

	return updates
}

// updateCopy changes the state of a copy in the catalog from p.State to state.
// An empty p.State adds the copy, and an empty state removes it. Nothing is
// written if the catalog shows the copy in another state.
func (s *server) updateCopy(ctx context.Context, p placement.ModelCopy, state wire.CopyState) {
	written, err := s.Catalog.Update(ctx, p.Model, func(copies []wire.Copy) ([]wire.Copy, bool) {
		at := slices.IndexFunc(copies, func(c wire.Copy) bool {
			return c.Server == p.Server && c.Accelerator == p.Accelerator && c.Version == p.Version
		})
		if at < 0 {
			added := p.Copy
			added.State = state

			return append(copies, added), p.State == "" && state != ""
		}
		if copies[at].State != p.State {
			return nil, false
		}
		if state == "" {
			return slices.Delete(copies, at, at+1), true
		}
		copies[at].State = state

		return copies, true
	})
	if err != nil {
		s.logOnce("update", event.OrderStoreFailed, zap.Error(err))
	}
	if written {
		s.Log.Write(event.CopyObserved,
			zap.String("BackendServer", s.settings.Name),
			zap.String("Accelerator", p.Accelerator),
			zap.String("Model", p.Model),
			zap.String("Version", p.Version),
			zap.String("Before", string(p.State)),
			zap.String("After", string(state)))
	}
}

// dueResends returns the unconfirmed orders whose next transmission is due.
// Orders of this holder are sent at most _maxSends times.
func (s *server) dueResends(now time.Time) []*ledgerEntry {
	var due []*ledgerEntry
	for _, e := range s.ledger.entries {
		if !e.confirmed && (e.inherited || e.sendCount < _maxSends) && !now.Before(e.nextSend) {
			due = append(due, e)
		}
	}

	return due
}

// planUnloads returns unload orders for the copies that the catalog marks for
// removal. A serving copy in state dropping is unloaded only after another
// copy has been confirmed to serve.
func (s *server) planUnloads(ctx context.Context, places []placement.ModelCopy) []*ledgerEntry {
	var due []*ledgerEntry
	for _, p := range places {
		key := keyOfPlace(p)
		r, resident := s.ledger.lookupResident(key)
		if !isRemoval(p) || !resident || r.State == wire.ResidentStateUnloading || !s.ledger.canUnload(key) {
			continue
		}
		if p.State == wire.CopyStateDropping && r.State == wire.ResidentStateServing && !s.servesElsewhere(ctx, p) {
			s.logOnce("hold "+p.Model, event.OrderHeld, zap.String("Model", p.Model),
				zap.String("Reason", "no other copy is confirmed to be serving"))

			continue
		}
		due = append(due, s.newOrder(wire.OrderActionUnload, key, r.MemoryBytes))
	}

	return due
}

// servesElsewhere requests load reports from the servers of the other copies
// of the model until one of them shows a serving copy.
func (s *server) servesElsewhere(ctx context.Context, p placement.ModelCopy) bool {
	if s.Unsafe.SkipServingCheck {
		return true
	}
	for _, c := range s.Catalog.Copies(p.Model) {
		same := c.Server == p.Server && c.Accelerator == p.Accelerator && c.Version == p.Version
		if same || c.State != wire.CopyStateServing {
			continue
		}
		report := s.ledger.report
		if c.Server != s.settings.Name {
			var err error
			if report, err = s.Report(ctx, c.Server); err != nil {
				continue
			}
		}
		if slices.ContainsFunc(report.Residents, func(r wire.Resident) bool {
			return r.Model == p.Model && r.Adapter == "" && r.State == wire.ResidentStateServing &&
				r.Accelerator == c.Accelerator && r.Version == c.Version
		}) {
			return true
		}
	}

	return false
}

// planLoads returns load orders for the copies in state loading that fit into
// free memory. Where one does not fit, it orders unloads of adapters on that
// accelerator instead.
func (s *server) planLoads(places []placement.ModelCopy) []*ledgerEntry {
	var due []*ledgerEntry
	for _, p := range places {
		key := keyOfPlace(p)
		_, resident := s.ledger.lookupResident(key)
		if p.State != wire.CopyStateLoading || resident || !s.ledger.idle(key) {
			continue
		}
		free := s.freeBytes(p.Accelerator)
		if free < p.MemoryBytes {
			due = append(due, s.planAdapterUnloads(p.Accelerator, p.MemoryBytes-free, nil)...)
			s.logOnce("hold "+p.Model, event.OrderHeld,
				zap.String("Model", p.Model),
				zap.String("Accelerator", p.Accelerator),
				zap.String("Reason", "not enough free memory: resident or charged to orders in doubt"),
				zap.Int("FreeBytes", free),
				zap.Int("MemoryBytes", p.MemoryBytes))

			continue
		}
		due = append(due, s.newOrder(wire.OrderActionLoad, key, p.MemoryBytes))
	}

	return due
}

// freeBytes returns the uncharged memory of an accelerator, in bytes.
func (s *server) freeBytes(accelerator string) int {
	i := slices.IndexFunc(s.settings.Accelerators, func(a wire.Accelerator) bool { return a.Name == accelerator })
	if i < 0 {
		return 0
	}

	return s.settings.Accelerators[i].MemoryBytes - s.ledger.ChargedBytes(accelerator)
}

// newOrder creates an order and charges it in the ledger.
func (s *server) newOrder(action wire.OrderAction, key memoryKey, bytes int) *ledgerEntry {
	s.ledger.Add(wire.Order{
		ID:          s.newOrderID(),
		Action:      action,
		Model:       key.model,
		Adapter:     key.adapter,
		Version:     key.version,
		Accelerator: key.accelerator,
		MemoryBytes: bytes,
	}, s.Timer.Now().Add(s.Options.SendWindow+s.Options.MaxDeliveryDelay))

	return s.ledger.entries[len(s.ledger.entries)-1]
}

// recordAndSend records all orders in doubt and then sends the due ones, as
// long as Options.SendWindow since the start of the write has not passed.
func (s *server) recordAndSend(ctx context.Context, due []*ledgerEntry) {
	writeStarted := s.Timer.Now()
	if !s.recordIntents(ctx) {
		return
	}
	for _, e := range due {
		now := s.Timer.Now()
		if now.Sub(writeStarted) > s.Options.SendWindow && !s.Unsafe.IgnoreSendWindow {
			s.incCounter("TooLate")
			s.Log.Write(event.OrderTooLate, s.logFields(e)...)

			return
		}
		e.order.Fence = s.fence
		e.sendCount++
		result, err := s.Send(ctx, s.settings.Name, e.order)
		// The process may have been paused after the check above and before the
		// order was sent, so its latest arrival is counted from now.
		now = s.Timer.Now()
		e.latestArrival = latestOf(e.latestArrival, now.Add(s.Options.MaxDeliveryDelay))
		e.nextSend = now.Add(min(_retryPeriod<<min(e.sendCount-1, _maxSends), s.Options.LeaseCheckPeriod))
		if err != nil {
			s.incCounter("Unconfirmed")
			s.Log.Write(event.OrderUnconfirmed, append(s.logFields(e), zap.Error(err))...)

			continue
		}
		s.incCounter(string(result.Status))
		s.Log.Write(event.OrderSent, append(s.logFields(e), zap.String("Status", string(result.Status)), zap.String("Reason", result.Reason))...)
		s.handleResult(ctx, e, result)
		if !s.held {
			return
		}
	}
}

// handleResult processes the engine's result for an order. A refusal with a
// higher fencing number means that another instance has acquired the lease. A
// copy of a model whose load was refused for another reason is removed from
// the catalog.
func (s *server) handleResult(ctx context.Context, e *ledgerEntry, result wire.OrderResult) {
	e.confirmed = true
	switch result.Status {
	case wire.OrderResultStatusRefusedFence:
		e.confirmed = false
		if result.Fence > s.fence {
			s.loseLease("unknown instance with a higher fencing number")
		}
	case wire.OrderResultStatusRefusedMemory, wire.OrderResultStatusRefusedOther:
		if e.order.Action == wire.OrderActionLoad && e.order.Adapter == "" {
			s.updateCopy(ctx, placement.ModelCopy{
				Model: e.order.Model,
				Copy: wire.Copy{
					Server:      s.settings.Name,
					Accelerator: e.order.Accelerator,
					Version:     e.order.Version,
					State:       wire.CopyStateLoading,
				},
			}, "")
		}
	default:
	}
}

func (s *server) logFields(e *ledgerEntry) []zap.Field {
	return []zap.Field{
		zap.String("BackendServer", s.settings.Name),
		zap.String("Order", e.order.ID),
		zap.String("Action", string(e.order.Action)),
		zap.String("Model", e.order.Model),
		zap.String("Adapter", e.order.Adapter),
		zap.String("Version", e.order.Version),
		zap.String("Accelerator", e.order.Accelerator),
		zap.Int("MemoryBytes", e.order.MemoryBytes),
		zap.Int("ChargedBytes", s.ledger.ChargedBytes(e.order.Accelerator)),
		zap.Int("Fence", s.fence),
		zap.Int("Sent", e.sendCount),
	}
}

// logOnce writes an event unless the last event that it wrote had the same
// key.
func (s *server) logOnce(key string, kind *event.Kind, fields ...zap.Field) {
	if s.lastLogged == key {
		return
	}
	s.lastLogged = key
	s.Log.Write(kind, append(fields, zap.String("BackendServer", s.settings.Name))...)
}

// isRemoval reports whether the catalog marks a copy for unloading.
func isRemoval(p placement.ModelCopy) bool {
	return p.State == wire.CopyStateDropping || p.State == wire.CopyStateEvicting
}

// inTransition reports whether a copy is still to be loaded or unloaded, or to
// be removed from the catalog.
func inTransition(p placement.ModelCopy) bool {
	return p.State != wire.CopyStateServing
}

func keyOfPlace(p placement.ModelCopy) memoryKey {
	return memoryKey{
		accelerator: p.Accelerator,
		model:       p.Model,
		version:     p.Version,
	}
}

func latestOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}

	return b
}
