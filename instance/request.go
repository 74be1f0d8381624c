package instance

import (
	"context"
	"slices"
	"time"

	"papayastair.dev/papayastair/admission"
	"papayastair.dev/papayastair/engine"
	"papayastair.dev/papayastair/gateway"
	"papayastair.dev/papayastair/objectstore"
	"papayastair.dev/papayastair/peer"
	"papayastair.dev/papayastair/quota"
	"papayastair.dev/papayastair/routing"
	"papayastair.dev/papayastair/wire"
)

const (
	_suspectAskMethod  = "Routing.SuspectAsk"
	_suspectTellMethod = "Routing.Finding"
	_suspectEndMethod  = "Routing.RunEnd"
	_demandReport      = "Admission.Demand"
	_suspectTimeout    = 100 * time.Millisecond
	_demandReportEvery = time.Second
	_adapterPoll       = 20 * time.Millisecond
	// _adapterKeep is the time between words that an adapter is in use.
	_adapterKeep = 5 * time.Second
	// _adapterAskEvery is the number of polls between asks.
	_adapterAskEvery = 50
	_blockTokens     = 64
)

// receipt answers messages that need no other answer.
type receipt = wire.Receipt

// newRouting makes the parts that choose backend servers.
func (i *Instance) newRouting() {
	i.table = routing.New(routing.Config{
		Instance:       i.cfg.Name,
		Clock:          i.timer,
		Log:            i.log,
		PublishFinding: i.tellAll,
		Seed:           uint64(i.self.Incarnation),
		ReportLag:      _reportPeriod,
		BlockTokens:    _blockTokens,
	})
	i.suspects = routing.NewSuspects(routing.SuspectsConfig{
		Instance: i.cfg.Name,
		Clock:    i.timer,
		Log:      i.log,
		RequestGrant: func(name string, ask wire.SuspectAsk) (wire.SuspectAnswer, error) {
			return callPeer[wire.SuspectAsk, wire.SuspectAnswer](i, name, _suspectAskMethod, ask)
		},
		SendFinding: func(name string, finding wire.ServerFinding) error {
			_, err := callPeer[wire.ServerFinding, receipt](i, name, _suspectTellMethod, finding)

			return err
		},
		SendEnd: func(name string, end wire.RunEnd) error {
			_, err := callPeer[wire.RunEnd, receipt](i, name, _suspectEndMethod, end)

			return err
		},
	})
	peer.Register(i.peers, _suspectAskMethod, func(ask wire.SuspectAsk) (wire.SuspectAnswer, error) {
		return i.suspects.HandleAsk(ask), nil
	})
	peer.Register(i.peers, _suspectTellMethod, func(finding wire.ServerFinding) (receipt, error) {
		i.suspects.HandleFinding(finding)
		i.table.ObserveFinding(finding)

		return receipt{}, nil
	})
	peer.Register(i.peers, _suspectEndMethod, func(end wire.RunEnd) (receipt, error) {
		i.suspects.HandleEnd(end)

		return receipt{}, nil
	})
	i.queue = admission.New(admission.Config{
		Instance: i.cfg.Name,
		Start:    i.self.Incarnation,
		Clock:    i.timer,
		Log:      i.log,
		Place:    i.place,
	})
	peer.Register(i.peers, _demandReport, func(report wire.DemandReport) (receipt, error) {
		i.queue.Merge(report)

		return receipt{}, nil
	})
}

// newLedger makes the account of the workspaces' rates.
func (i *Instance) newLedger() {
	i.ledger = quota.New(quota.Config{
		Self: wire.QuotaMember{
			Instance:    i.cfg.Name,
			Incarnation: i.self.Incarnation,
			Size:        max(i.cfg.Size, 1),
		},
		Timer: i.timer,
		Ask: func(ctx context.Context, name string, ask wire.QuotaAsk) (wire.QuotaAnswer, error) {
			return peer.Call[wire.QuotaAsk, wire.QuotaAnswer](ctx, i.pool, i.peerAddress(name), "Quota.Ask", ask)
		},
		Store: i.platform.Store("Quota"),
		Log:   i.log,
	})
	peer.Register(i.peers, "Quota.Ask", func(ask wire.QuotaAsk) (wire.QuotaAnswer, error) {
		return i.ledger.HandleAsk(ask), nil
	})
}

// callPeer calls an instance by name.
func callPeer[A, R any](i *Instance, name, method string, args A) (R, error) {
	ctx, cancel := context.WithTimeout(i.ctx, _suspectTimeout)
	defer cancel()

	return peer.Call[A, R](ctx, i.pool, i.peerAddress(name), method, args)
}

// tellAll tells all instances what was found out about a backend server.
func (i *Instance) tellAll(finding wire.ServerFinding) {
	for _, m := range i.members.Peers() {
		peer.Go(i.pool, _suspectTimeout, m.PeerAddress, _suspectTellMethod, finding, func(receipt, error) {})
	}
}

// reportDemand tells all instances what callers here ask for. A report of
// nothing counts too: an instance that isn't heard keeps its even part.
func (i *Instance) reportDemand(time.Time) {
	report := i.queue.Report()
	for _, m := range i.members.Peers() {
		peer.Go(i.pool, _suspectTimeout, m.PeerAddress, _demandReport, report, func(receipt, error) {})
	}
}

// reserve takes tokens of the workspace's rate.
func (i *Instance) reserve(ctx context.Context, work gateway.Work) *gateway.Refusal {
	tokens := work.InputTokens + work.MaxOutputTokens
	i.demand.note(work.Target.Model, tokens)
	outcome := i.ledger.Reserve(ctx, work.Caller.Workspace, work.RequestID, int64(tokens))
	switch outcome.Status {
	case quota.Admitted:
		i.reserved.Store(work.ID, outcome.Reservation)

		return nil
	case quota.TooLarge:
		return &gateway.Refusal{Reason: "the request is larger than the burst of the workspace"}
	default:
		return &gateway.Refusal{
			Reason:     "the workspace is over its rate",
			RetryAfter: outcome.RetryAfter,
		}
	}
}

// settle gives back what was not used.
func (i *Instance) settle(work gateway.Work, used int) {
	value, ok := i.reserved.LoadAndDelete(work.ID)
	if !ok {
		return
	}
	if reservation, ok := value.(quota.Reservation); ok {
		i.ledger.Settle(reservation, int64(used))
	}
}

// pending is a request in the queue and the decision made for it.
type pending struct {
	work     gateway.Work
	retry    bool
	alone    bool
	decision routing.Decision
}

// place reserves a place for a request that the queue would send now.
func (i *Instance) place(r *admission.Request) admission.Placement {
	p, ok := r.Data.(*pending)
	if !ok {
		panic("instance: a request in the queue without its data")
	}
	request := p.request(i.timer.Now(), i.cfg.FailureDomain)
	request.Floor = r.Floor
	request.WithinShare = r.WithinShare
	p.decision = i.table.Choose(request)
	if p.decision.Ticket != nil {
		return admission.Placed
	}
	switch p.decision.Reason {
	case routing.ReasonNoServer:
		return admission.NoBackendServer
	case routing.ReasonLate, routing.ReasonRetryBudget:
		return admission.TooLate
	default:
		return admission.NoRoom
	}
}

func (p *pending) request(now time.Time, failureDomain string) routing.Request {
	return routing.Request{
		Model:         p.work.Target.Model,
		Adapter:       p.work.Target.Adapter,
		PrefixHashes:  p.work.PrefixHashes,
		InputTokens:   p.work.InputTokens,
		OutputTokens:  p.work.MaxOutputTokens,
		Priority:      p.work.Priority,
		Slack:         p.work.Deadline.Sub(now),
		FailureDomain: failureDomain,
		Exclude:       p.work.Exclude,
		Retry:         p.retry,
		Alone:         p.alone,
	}
}

// acquire waits in the queue for a place at a backend server, and for leave
// of the search for crashing requests.
func (i *Instance) acquire(ctx context.Context, work gateway.Work) (gateway.Slot, *gateway.Refusal) {
	p := &pending{
		work:  work,
		retry: len(work.Exclude) > 0,
		alone: i.suspects.IsSuspect(int(work.Fingerprint)),
	}
	outcome := i.queue.Wait(ctx, &admission.Request{
		Workspace: work.Caller.Workspace,
		Weight:    i.directory.Load().Snapshot.Workspaces[work.Caller.Workspace].Weight,
		Model:     work.Target.Model,
		Priority:  work.Priority,
		Tokens:    work.InputTokens + work.MaxOutputTokens,
		Deadline:  work.Deadline,
		Data:      p,
	})
	asked := p.request(i.timer.Now(), i.cfg.FailureDomain)
	i.table.LogDecision(work.ID, &asked, &p.decision)
	if outcome.Kind != admission.Dispatched {
		return gateway.Slot{}, &gateway.Refusal{
			Reason:     string(outcome.Reason),
			RetryAfter: outcome.RetryAfter,
		}
	}
	run, refusal := i.leave(ctx, p)
	if refusal != nil {
		i.table.Done(p.decision.Ticket, routing.Result{Outcome: routing.OutcomeNotRun})
		i.queue.Wake(i.table.Models(p.decision.Server))

		return gateway.Slot{}, refusal
	}
	switch {
	case p.decision.LoadAdapter:
		i.awaitAdapter(ctx, p.decision.Server, work.Target.Adapter)
	case work.Target.Adapter != "":
		i.keepAdapter(p.decision.Server, work.Target.Adapter)
	default:
	}

	return i.slot(p, run), nil
}

// leave asks whether the request may run, since it may have crashed backend
// servers before, and moves it to the server where it has to run. If that is
// found dead, it asks again.
func (i *Instance) leave(ctx context.Context, p *pending) (routing.Run, *gateway.Refusal) {
	down := ""
	for {
		run, answer := i.suspects.Acquire(ctx, int(p.work.Fingerprint), p.decision.Server, down)
		switch answer.Verdict {
		case wire.SuspectAnswerVerdictRun, wire.SuspectAnswerVerdictRunAlone:
			return run, nil
		case wire.SuspectAnswerVerdictRunAt:
			if i.moveTo(p, run.Server) {
				return run, nil
			}
			i.suspects.Release(&run, routing.OutcomeNotRun)
			if down != run.Server {
				down = run.Server

				continue
			}
		default:
		}

		return run, &gateway.Refusal{
			Reason:     "requests like this one are held after failures of backend servers",
			RetryAfter: max(time.Duration(answer.RetryAfterMilliseconds)*time.Millisecond, time.Second),
		}
	}
}

// moveTo gives up the place of a request for one at another server.
func (i *Instance) moveTo(p *pending, server string) bool {
	if server == p.decision.Server {
		return true
	}
	request := p.request(i.timer.Now(), i.cfg.FailureDomain)
	request.Only = server
	moved := i.table.Choose(request)
	if moved.Ticket == nil {
		return false
	}
	i.table.Done(p.decision.Ticket, routing.Result{Outcome: routing.OutcomeNotRun})
	p.decision = moved

	return true
}

// slot is the place as the gateway holds it.
func (i *Instance) slot(p *pending, run routing.Run) gateway.Slot {
	server := p.decision.Server
	began := i.timer.Now()
	var first time.Time

	return gateway.Slot{
		Server:  server,
		Address: i.addressOf(server),
		First: func() {
			first = i.timer.Now()
			i.table.FirstToken(p.decision.Ticket)
		},
		Done: func(result gateway.Result) {
			outcome := outcomeOf(result)
			seen := routing.Result{
				Outcome:      outcome,
				OutputTokens: result.OutputTokens,
			}
			if !first.IsZero() {
				seen.FirstToken = first.Sub(began)
				seen.Generation = i.timer.Now().Sub(first)
			}
			i.table.Done(p.decision.Ticket, seen)
			i.queue.Wake(i.table.Models(server))
			// After a broken connection this waits until the others know.
			i.suspects.Release(&run, outcome)
		},
	}
}

// outcomeOf is a result as routing sees it.
func outcomeOf(result gateway.Result) routing.Outcome {
	switch {
	case result.Outcome == gateway.OutcomeDone:
		return routing.OutcomeOK
	case result.Canceled:
		return routing.OutcomeCancelled
	case result.Unreachable:
		return routing.OutcomeRefused
	case result.Failure == engine.OutcomeNotRun:
		return routing.OutcomeNotRun
	case result.Failure == engine.OutcomeTimeout:
		return routing.OutcomeTimeout
	case result.Failure == engine.OutcomeMismatch:
		return routing.OutcomeFailed
	default:
		return routing.OutcomeBroken
	}
}

// awaitAdapter has an adapter loaded and waits until it serves or ctx ends.
// The ask is repeated, because the lease may change hands meanwhile.
func (i *Instance) awaitAdapter(ctx context.Context, server, adapter string) {
	for n := 0; ctx.Err() == nil; n++ {
		if n%_adapterAskEvery == 0 {
			i.askAdapter(server, adapter)
		}
		report, err := i.engines.Report(ctx, i.addressOf(server))
		if err != nil {
			return
		}
		i.table.Observe(report)
		if servesAdapter(report, adapter) {
			return
		}
		// An error means that ctx has ended.
		_ = objectstore.Sleep(ctx, _adapterPoll)
	}
}

// keepAdapter tells whoever gives orders to a backend server, once in a while,
// that an adapter is in use there, so that it doesn't make room for another.
func (i *Instance) keepAdapter(server, adapter string) {
	now := i.timer.Now()
	key := server + " " + adapter
	value, _ := i.kept.Load(key)
	if last, ok := value.(time.Time); ok && now.Sub(last) < _adapterKeep {
		return
	}
	i.kept.Store(key, now)
	i.askAdapter(server, adapter)
}

func servesAdapter(report wire.LoadReport, adapter string) bool {
	return slices.ContainsFunc(report.Residents, func(r wire.Resident) bool {
		return r.Adapter == adapter && r.State == wire.ResidentStateServing
	})
}
