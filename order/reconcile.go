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

// reconcile brings one backend server nearer to the catalog: it reads the
// server's report, tells the catalog what it shows, records the orders that
// are due and sends them.
func (s *server) reconcile(ctx context.Context, t turn) {
	asked := s.Timer.Now()
	report, err := s.Report(ctx, s.settings.Name)
	if err != nil {
		s.nextReport = t.now.Add(s.Options.ReportPeriod)
		s.logOnce("report", event.OrderReportFailed, zap.Error(err))

		return
	}
	s.ledger.Observe(report, asked)
	updates := s.observe(ctx)
	places := s.Catalog.On(s.settings.Name)
	due := s.resends(asked)
	due = append(due, s.unloads(ctx, places)...)
	due = append(due, s.loads(places)...)
	due = append(due, s.adapterOrders(t)...)
	settled := s.stored > 0 && len(s.ledger.entries) == 0 && asked.Sub(s.written) > _clearAfter
	if len(due) > 0 || settled {
		s.send(ctx, due)
	}
	s.noteStatus(asked)
	s.nextReport = t.now.Add(s.Options.IdleReportPeriod)
	if updates > 0 || len(s.ledger.entries) > 0 || slices.ContainsFunc(places, unfinished) {
		s.nextReport = t.now.Add(s.Options.ReportPeriod)
	}
}

// noteStatus keeps what Status shows.
func (s *server) noteStatus(asked time.Time) {
	status := &Status{
		Server:  s.settings.Name,
		Fence:   s.fence,
		InDoubt: len(s.ledger.entries),
		Asked:   asked,
		Charged: make(map[string]int, len(s.settings.Accelerators)),
	}
	for _, a := range s.settings.Accelerators {
		status.Charged[a.Name] = s.ledger.Charged(a.Name)
	}
	s.status.Store(status)
}

// observe tells the catalog which copies serve, which are gone, and which
// stand here without being planned. It returns the number of updates, of which
// it makes a few at a time.
func (s *server) observe(ctx context.Context) int {
	updates := 0
	update := func(p placement.Place, state wire.CopyState) {
		updates++
		if updates <= _maxUpdates {
			s.update(ctx, p, state)
		}
	}
	places := s.Catalog.On(s.settings.Name)
	planned := map[memoryKey]bool{}
	for _, p := range places {
		key := keyOfPlace(p)
		planned[key] = true
		r, resident := s.ledger.resident(key)
		present := resident && r.State != wire.ResidentStateUnloading
		switch {
		case p.State == wire.CopyStateLoading && resident && r.State == wire.ResidentStateServing:
			update(p, wire.CopyStateServing)
		case p.State == wire.CopyStateServing && !present:
			update(p, "")
		case removing(p) && !resident && !s.ledger.inDoubt(key, wire.OrderActionLoad):
			update(p, "")
		}
	}
	for _, r := range s.ledger.residents() {
		key := keyOfResident(r)
		if r.Adapter != "" || planned[key] || r.State == wire.ResidentStateUnloading || s.ledger.inDoubt(key, wire.OrderActionUnload) {
			continue
		}
		state := wire.CopyStateLoading
		if r.State == wire.ResidentStateServing {
			state = wire.CopyStateServing
		}
		update(placement.Place{
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

// update changes a copy in the catalog from its present state, which is empty
// for none, to another, which is empty to remove it.
func (s *server) update(ctx context.Context, p placement.Place, state wire.CopyState) {
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

// resends are the recorded orders without a result whose time has come.
func (s *server) resends(now time.Time) []*ledgerEntry {
	var due []*ledgerEntry
	for _, e := range s.ledger.entries {
		if !e.confirmed && (e.inherited || e.sent < _maxSends) && !now.Before(e.nextSend) {
			due = append(due, e)
		}
	}

	return due
}

// unloads orders the unloads that the catalog asks for. Of a copy that is
// being dropped, another must be seen to serve first.
func (s *server) unloads(ctx context.Context, places []placement.Place) []*ledgerEntry {
	var due []*ledgerEntry
	for _, p := range places {
		key := keyOfPlace(p)
		r, resident := s.ledger.resident(key)
		if !removing(p) || !resident || r.State == wire.ResidentStateUnloading || !s.ledger.mayUnload(key) {
			continue
		}
		if p.State == wire.CopyStateDropping && r.State == wire.ResidentStateServing && !s.servesElsewhere(ctx, p) {
			s.logOnce("hold "+p.Model, event.OrderHeld, zap.String("Model", p.Model),
				zap.String("Reason", "no other copy is confirmed to serve"))

			continue
		}
		due = append(due, s.newOrder(wire.OrderActionUnload, key, r.MemoryBytes))
	}

	return due
}

// servesElsewhere asks the servers of the model's other copies until one
// reports that it serves.
func (s *server) servesElsewhere(ctx context.Context, p placement.Place) bool {
	if s.Guards.NoServingCheck {
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

// loads orders the loads that the catalog asks for as far as memory is free.
func (s *server) loads(places []placement.Place) []*ledgerEntry {
	var due []*ledgerEntry
	for _, p := range places {
		key := keyOfPlace(p)
		_, resident := s.ledger.resident(key)
		if p.State != wire.CopyStateLoading || resident || !s.ledger.idle(key) {
			continue
		}
		free := s.free(p.Accelerator)
		if free < p.MemoryBytes {
			due = append(due, s.evictAdapters(p.Accelerator, p.MemoryBytes-free, nil)...)
			s.logOnce("hold "+p.Model, event.OrderHeld,
				zap.String("Model", p.Model),
				zap.String("Accelerator", p.Accelerator),
				zap.String("Reason", "memory is still charged"),
				zap.Int("FreeBytes", free),
				zap.Int("MemoryBytes", p.MemoryBytes))

			continue
		}
		due = append(due, s.newOrder(wire.OrderActionLoad, key, p.MemoryBytes))
	}

	return due
}

// free is the memory of an accelerator that nothing is charged for.
func (s *server) free(accelerator string) int {
	i := slices.IndexFunc(s.settings.Accelerators, func(a wire.Accelerator) bool { return a.Name == accelerator })
	if i < 0 {
		return 0
	}

	return s.settings.Accelerators[i].MemoryBytes - s.ledger.Charged(accelerator)
}

// newOrder charges a new order.
func (s *server) newOrder(action wire.OrderAction, key memoryKey, bytes int) *ledgerEntry {
	s.ledger.Intend(wire.Order{
		ID:          s.newOrderID(),
		Action:      action,
		Model:       key.model,
		Adapter:     key.adapter,
		Version:     key.version,
		Accelerator: key.accelerator,
		MemoryBytes: bytes,
	}, s.Timer.Now().Add(s.Options.SendWindow+s.Options.ArrivalBound))

	return s.ledger.entries[len(s.ledger.entries)-1]
}

// send records all orders in doubt and sends those that are due, if the
// record was written in time.
func (s *server) send(ctx context.Context, due []*ledgerEntry) {
	begun := s.Timer.Now()
	if !s.record(ctx) {
		return
	}
	for _, e := range due {
		now := s.Timer.Now()
		if now.Sub(begun) > s.Options.SendWindow && !s.Guards.NoClockCheck {
			s.count("TooLate")
			s.Log.Write(event.OrderTooLate, s.fields(e)...)

			return
		}
		e.order.Fence = s.fence
		e.sent++
		result, err := s.Send(ctx, s.settings.Name, e.order)
		// The process may have been paused before the order left.
		now = s.Timer.Now()
		e.latest = later(e.latest, now.Add(s.Options.ArrivalBound))
		e.nextSend = now.Add(min(_retryPeriod<<min(e.sent-1, _maxSends), s.Options.RecheckPeriod))
		if err != nil {
			s.count("Unconfirmed")
			s.Log.Write(event.OrderUnconfirmed, append(s.fields(e), zap.Error(err))...)

			continue
		}
		s.count(string(result.Status))
		s.Log.Write(event.OrderSent, append(s.fields(e), zap.String("Status", string(result.Status)), zap.String("Reason", result.Reason))...)
		s.confirm(ctx, e, result)
		if !s.held {
			return
		}
	}
}

// confirm takes in the engine's answer to an order.
func (s *server) confirm(ctx context.Context, e *ledgerEntry, result wire.OrderResult) {
	e.confirmed = true
	switch result.Status {
	case wire.OrderResultStatusRefusedFence:
		e.confirmed = false
		if result.Fence > s.fence {
			s.lose("unknown, with a higher fencing number")
		}
	case wire.OrderResultStatusRefusedMemory, wire.OrderResultStatusRefusedOther:
		if e.order.Action == wire.OrderActionLoad && e.order.Adapter == "" {
			s.update(ctx, placement.Place{
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

func (s *server) fields(e *ledgerEntry) []zap.Field {
	return []zap.Field{
		zap.String("BackendServer", s.settings.Name),
		zap.String("Order", e.order.ID),
		zap.String("Action", string(e.order.Action)),
		zap.String("Model", e.order.Model),
		zap.String("Adapter", e.order.Adapter),
		zap.String("Version", e.order.Version),
		zap.String("Accelerator", e.order.Accelerator),
		zap.Int("MemoryBytes", e.order.MemoryBytes),
		zap.Int("ChargedBytes", s.ledger.Charged(e.order.Accelerator)),
		zap.Int("Fence", s.fence),
		zap.Int("Sent", e.sent),
	}
}

// logOnce writes an event unless it is the same as the last one.
func (s *server) logOnce(note string, kind *event.Kind, fields ...zap.Field) {
	if s.note == note {
		return
	}
	s.note = note
	s.Log.Write(kind, append(fields, zap.String("BackendServer", s.settings.Name))...)
}

// removing says that a copy is to be unloaded.
func removing(p placement.Place) bool {
	return p.State == wire.CopyStateDropping || p.State == wire.CopyStateEvicting
}

// unfinished says that the engine doesn't agree yet with the catalog.
func unfinished(p placement.Place) bool {
	return p.State != wire.CopyStateServing
}

func keyOfPlace(p placement.Place) memoryKey {
	return memoryKey{
		accelerator: p.Accelerator,
		model:       p.Model,
		version:     p.Version,
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}

	return b
}
