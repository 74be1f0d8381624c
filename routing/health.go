package routing

import (
	"time"

	"go.uber.org/zap"

	"papayastair.dev/papayastair/event"
	"papayastair.dev/papayastair/wire"
)

const (
	// _maxErrors is the number of consecutive errors that eject a backend
	// server.
	_maxErrors = 3
	// _readmitProbes is the number of successful probes that readmit a server
	// ejected for errors or slowness. After a lost connection, one first token
	// is enough.
	_readmitProbes = 3
	_minEjection   = time.Second
	_maxEjection   = 30 * time.Second
	// _maxRetryBurst is the number of retries that may come at once.
	_maxRetryBurst = 20.0
)

// The reasons for ejections.
const (
	// ReasonErrors means several consecutive errors.
	ReasonErrors Reason = "Errors"
	// ReasonSlow means a speed far below the server's usual one.
	ReasonSlow Reason = "Slow"
	// ReasonLost means a refused or broken connection.
	ReasonLost Reason = "Lost"
	// ReasonPeer means a finding of another instance.
	ReasonPeer Reason = "Peer"
)

// Outcome is the way in which a request ended on a backend server.
type Outcome int

// The outcomes of requests.
const (
	// OutcomeOK is a complete answer.
	OutcomeOK Outcome = iota
	// OutcomeNotRun means that the server reported that it didn't run the
	// request.
	OutcomeNotRun
	// OutcomeRefused means that the connection could not be made; nothing ran.
	OutcomeRefused
	// OutcomeFailed is an error response; the request may have run.
	OutcomeFailed
	// OutcomeBroken means that the connection was lost while the request ran.
	OutcomeBroken
	// OutcomeTimeout means that no answer came in time.
	OutcomeTimeout
	// OutcomeCancelled means that the caller canceled the request.
	OutcomeCancelled
)

// IsRetryable reports whether the request certainly did not run, so that it
// may be sent again.
func (o Outcome) IsRetryable() bool {
	return o == OutcomeNotRun || o == OutcomeRefused
}

// Result describes the end of a request, from which the table updates the
// state of its backend server.
type Result struct {
	// Outcome is how the request ended.
	Outcome Outcome
	// OutputTokens is the number of tokens received.
	OutputTokens int
	// FirstToken is the time from sending to the first token.
	FirstToken time.Duration
	// Generation is the time from the first to the last token.
	Generation time.Duration
}

// health is the ejection state of a backend server. Once its ejection time is
// over, an ejected server gets one probe at a time.
type health struct {
	consecutiveErrors int
	ejected           bool
	// connectionLost marks an ejection for a lost connection or by a peer's
	// finding.
	connectionLost bool
	ejectedUntil   time.Time
	backoff        time.Duration
	activeProbes   int
	probeSuccesses int
}

// FirstToken records the first token of the request's answer.
func (t *Table) FirstToken(ticket *Ticket) {
	now := t.cfg.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if ticket.done {
		return
	}
	ticket.endPrefill(t)
	s := ticket.server
	s.lastAnswerAt = now
	seconds := now.Sub(ticket.startedAt).Seconds()
	s.speed.observePrefill(float64(ticket.occupancy), float64(ticket.prefillTokens), seconds)
	s.speed.observeFirstToken(ticket.predictedFirstToken, seconds)
	for _, hash := range ticket.prefixes {
		s.prefixes.add(prefixKey(ticket.prefixSeed, hash))
	}
	if ticket.probe && s.health.connectionLost {
		t.readmit(s)
	}
}

// Done ends a request and frees its place. Further calls with the same ticket
// do nothing.
func (t *Table) Done(ticket *Ticket, result Result) {
	now := t.cfg.Clock.Now()
	t.mu.Lock()
	defer t.unlockAndPublish()
	if ticket.done {
		return
	}
	ticket.done = true
	ticket.endPrefill(t)
	s := ticket.server
	s.local.add(now, -1)
	if ticket.probe {
		s.health.activeProbes--
	}
	if s.removed {
		return
	}
	switch result.Outcome {
	case OutcomeOK:
		t.observeGeneration(ticket, &result, now)
		t.recordSuccess(s, ticket, now)
	case OutcomeRefused:
		t.queueFinding(s, wire.ServerFindingKindRefused)
		t.eject(s, now, ReasonLost)
	case OutcomeBroken:
		t.eject(s, now, ReasonLost)
	case OutcomeFailed, OutcomeTimeout:
		t.recordFailure(s, ticket, now)
	case OutcomeNotRun, OutcomeCancelled:
	}
}

// endPrefill removes the request's prompt from the prefill backlog and its
// adapter from the loads in flight.
func (ticket *Ticket) endPrefill(t *Table) {
	if !ticket.inPrefill {
		return
	}
	ticket.inPrefill = false
	ticket.server.prefillTokens -= ticket.prefillTokens
	if ticket.loadsAdapter {
		t.adapterLoads--
	}
}

// observeGeneration updates the server's speed from a complete answer, taking
// the mean of the occupancies at its start and end.
func (t *Table) observeGeneration(ticket *Ticket, result *Result, now time.Time) {
	const minTokens = 4
	if result.OutputTokens < minTokens || result.Generation <= 0 {
		return
	}
	s := ticket.server
	n := float64(ticket.occupancy+s.occupancy(now)+1) / 2
	gap := result.Generation.Seconds() / float64(result.OutputTokens-1)
	s.speed.observeGap(max(n, 1), gap)
	if s.speed.isSlow() && !s.health.ejected {
		t.ejectSoft(s, now, ReasonSlow)
	}
}

func (t *Table) recordSuccess(s *server, ticket *Ticket, now time.Time) {
	h := &s.health
	h.consecutiveErrors = 0
	s.lastAnswerAt = now
	if !h.ejected || !ticket.probe {
		return
	}
	h.probeSuccesses++
	h.ejectedUntil = now
	if h.probeSuccesses >= _readmitProbes {
		t.readmit(s)
	}
}

func (t *Table) readmit(s *server) {
	h := &s.health
	if !h.ejected {
		return
	}
	h.ejected = false
	h.probeSuccesses = 0
	if !h.connectionLost {
		t.ejected--
	}
	s.speed.resetBaseline()
	t.cfg.Log.Write(event.BackendServerReadmitted, zap.String("BackendServer", s.name))
}

func (t *Table) recordFailure(s *server, ticket *Ticket, now time.Time) {
	s.health.consecutiveErrors++
	if ticket.probe {
		t.eject(s, now, ReasonErrors)

		return
	}
	if s.health.consecutiveErrors >= _maxErrors && !s.health.ejected {
		t.ejectSoft(s, now, ReasonErrors)
	}
}

// ejectSoft ejects a server that still answers, unless the ejection limit is
// reached or a model would be left without a server.
func (t *Table) ejectSoft(s *server, now time.Time, reason Reason) {
	if !t.cfg.IgnoreEjectionLimit && !t.canEject(s) {
		t.cfg.Log.Write(event.EjectionLimited, zap.String("BackendServer", s.name), zap.String("Reason", string(reason)))
		s.speed.resetBaseline()

		return
	}
	t.ejected++
	t.eject(s, now, reason)
	s.health.connectionLost = false
}

func (t *Table) canEject(s *server) bool {
	if float64(t.ejected+1) > t.cfg.MaxEjected*float64(len(t.servers)) {
		return false
	}
	for key := range s.models {
		if !hasAlternative(t.byModel[key], s) {
			return false
		}
	}

	return true
}

func hasAlternative(servers []*server, excluded *server) bool {
	for _, s := range servers {
		if s != excluded && !s.health.ejected && s.isAvailable(nil) {
			return true
		}
	}

	return false
}

// eject stops sending requests to a server. Consecutive ejections last longer,
// from _minEjection up to _maxEjection.
func (t *Table) eject(s *server, now time.Time, reason Reason) {
	h := &s.health
	if h.ejected && now.Before(h.ejectedUntil) {
		return
	}
	if !h.ejected {
		h.connectionLost = true
		t.cfg.Log.Write(event.BackendServerEjected, zap.String("BackendServer", s.name), zap.String("Reason", string(reason)))
	}
	if now.Sub(h.ejectedUntil) > _maxEjection {
		h.backoff = 0
	}
	h.ejected = true
	h.consecutiveErrors = 0
	h.probeSuccesses = 0
	h.backoff = min(max(2*h.backoff, _minEjection), _maxEjection)
	h.ejectedUntil = now.Add(h.backoff)
}

// canProbe reports whether the request may be the single probe of an ejected
// server. Urgent requests are used as probes only if no other server is
// available.
func (t *Table) canProbe(s *server, servers []*server, r *Request, now time.Time) bool {
	if now.Before(s.health.ejectedUntil) || s.health.activeProbes > 0 {
		return false
	}

	return r.Priority != wire.PriorityUrgent || !hasAlternative(servers, s)
}

// retryBudget limits retries to a fraction of the requests sent. A choice that
// finds no server isn't counted, because a waiting request is tried many
// times.
type retryBudget struct {
	ratio  float64
	tokens float64
}

func (b *retryBudget) allowsRetry() bool {
	return b.tokens >= 1
}

func (b *retryBudget) recordSend(retry bool) {
	if retry {
		b.tokens--

		return
	}
	b.tokens = min(b.tokens+b.ratio, _maxRetryBurst)
}
