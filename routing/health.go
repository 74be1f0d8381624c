package routing

import (
	"time"

	"go.uber.org/zap"

	"papayastair.dev/papayastair/event"
	"papayastair.dev/papayastair/wire"
)

const (
	// _maxErrors in a row eject a backend server.
	_maxErrors = 3
	// _readmitProbes whole answers readmit a server that failed or was slow;
	// after a lost connection one first token is enough.
	_readmitProbes = 3
	_minEjection   = time.Second
	_maxEjection   = 30 * time.Second
	// _retryReserve is how many retries may come at once.
	_retryReserve = 20.0
)

// The reasons of ejections.
const (
	// ReasonErrors is several errors in a row.
	ReasonErrors Reason = "Errors"
	// ReasonSlow is a speed far under the server's usual one.
	ReasonSlow Reason = "Slow"
	// ReasonLost is a refused or broken connection.
	ReasonLost Reason = "Lost"
	// ReasonPeer is another instance's finding.
	ReasonPeer Reason = "Peer"
)

// Outcome is how a request ended at a backend server.
type Outcome int

// The outcomes of requests.
const (
	// OutcomeOK is a whole answer.
	OutcomeOK Outcome = iota
	// OutcomeNotRun is the server's word that it didn't run the request.
	OutcomeNotRun
	// OutcomeRefused is a connection that could not be made; nothing ran.
	OutcomeRefused
	// OutcomeFailed is an error answer after it may have run.
	OutcomeFailed
	// OutcomeBroken is a connection lost while it ran.
	OutcomeBroken
	// OutcomeTimeout is no answer in time.
	OutcomeTimeout
	// OutcomeCancelled says that the caller left.
	OutcomeCancelled
)

// IsRetryable says that the request certainly did not run, so that it may be
// sent again.
func (o Outcome) IsRetryable() bool {
	return o == OutcomeNotRun || o == OutcomeRefused
}

// Result is what the end of a request tells about its backend server.
type Result struct {
	// Outcome is how it ended.
	Outcome Outcome
	// OutputTokens is how many tokens came.
	OutputTokens int
	// FirstToken is the time from sending to the first token.
	FirstToken time.Duration
	// Generation is the time from the first to the last token.
	Generation time.Duration
}

// health is whether a backend server gets requests. An ejected server gets
// single probes once its time is over.
type health struct {
	errors  int
	ejected bool
	// hard says that a lost connection ejected it.
	hard      bool
	until     time.Time
	duration  time.Duration
	probes    int
	successes int
}

// FirstToken tells that the request's answer has begun.
func (t *Table) FirstToken(ticket *Ticket) {
	now := t.cfg.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if ticket.done {
		return
	}
	ticket.endReading(t)
	s := ticket.server
	s.answeredAt = now
	seconds := now.Sub(ticket.began).Seconds()
	s.speed.observeRead(float64(ticket.occupancy), float64(ticket.unread), seconds)
	s.speed.observeFirst(ticket.expected, seconds)
	for _, hash := range ticket.prefixes {
		s.prefixes.add(prefixKey(ticket.seed, hash))
	}
	if ticket.probe && s.health.hard {
		t.readmit(s)
	}
}

// Done ends a request and frees its place. A second Done of a ticket does
// nothing.
func (t *Table) Done(ticket *Ticket, result Result) {
	now := t.cfg.Clock.Now()
	t.mu.Lock()
	defer t.unlockAndTell()
	if ticket.done {
		return
	}
	ticket.done = true
	ticket.endReading(t)
	s := ticket.server
	s.own.add(now, -1)
	if ticket.probe {
		s.health.probes--
	}
	if s.gone {
		return
	}
	switch result.Outcome {
	case OutcomeOK:
		t.learn(ticket, &result, now)
		t.succeed(s, ticket, now)
	case OutcomeRefused:
		t.tell(s, wire.ServerFindingKindRefused)
		t.eject(s, now, ReasonLost)
	case OutcomeBroken:
		t.eject(s, now, ReasonLost)
	case OutcomeFailed, OutcomeTimeout:
		t.fail(s, ticket, now)
	case OutcomeNotRun, OutcomeCancelled:
	}
}

// endReading frees what the prompt's reading and the adapter's load held.
func (ticket *Ticket) endReading(t *Table) {
	if !ticket.reading {
		return
	}
	ticket.reading = false
	ticket.server.unread -= ticket.unread
	if ticket.adapter {
		t.adapterLoads--
	}
}

// learn takes the speed of a whole answer, at the mean of the occupancies at
// its two ends.
func (t *Table) learn(ticket *Ticket, result *Result, now time.Time) {
	const fewest = 4
	if result.OutputTokens < fewest || result.Generation <= 0 {
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

func (t *Table) succeed(s *server, ticket *Ticket, now time.Time) {
	h := &s.health
	h.errors = 0
	s.answeredAt = now
	if !h.ejected || !ticket.probe {
		return
	}
	h.successes++
	h.until = now
	if h.successes >= _readmitProbes {
		t.readmit(s)
	}
}

func (t *Table) readmit(s *server) {
	h := &s.health
	if !h.ejected {
		return
	}
	h.ejected = false
	h.successes = 0
	if !h.hard {
		t.ejected--
	}
	s.speed.forgive()
	t.cfg.Log.Write(event.BackendServerReadmitted, zap.String("BackendServer", s.name))
}

func (t *Table) fail(s *server, ticket *Ticket, now time.Time) {
	s.health.errors++
	if ticket.probe {
		t.eject(s, now, ReasonErrors)

		return
	}
	if s.health.errors >= _maxErrors && !s.health.ejected {
		t.ejectSoft(s, now, ReasonErrors)
	}
}

// ejectSoft ejects a server that still answers, unless too many are out or a
// model would have no other.
func (t *Table) ejectSoft(s *server, now time.Time, reason Reason) {
	if !t.cfg.IgnoreEjectionLimit && !t.mayEject(s) {
		t.cfg.Log.Write(event.EjectionLimited, zap.String("BackendServer", s.name), zap.String("Reason", string(reason)))
		s.speed.forgive()

		return
	}
	t.ejected++
	t.eject(s, now, reason)
	s.health.hard = false
}

func (t *Table) mayEject(s *server) bool {
	if float64(t.ejected+1) > t.cfg.MaxEjected*float64(len(t.servers)) {
		return false
	}
	for key := range s.models {
		if !hasOther(t.byModel[key], s) {
			return false
		}
	}

	return true
}

func hasOther(servers []*server, than *server) bool {
	for _, s := range servers {
		if s != than && !s.health.ejected && s.accepts(nil) {
			return true
		}
	}

	return false
}

// eject keeps requests from a server. Each ejection in a row lasts longer.
func (t *Table) eject(s *server, now time.Time, reason Reason) {
	h := &s.health
	if h.ejected && now.Before(h.until) {
		return
	}
	if !h.ejected {
		h.hard = true
		t.cfg.Log.Write(event.BackendServerEjected, zap.String("BackendServer", s.name), zap.String("Reason", string(reason)))
	}
	if now.Sub(h.until) > _maxEjection {
		h.duration = 0
	}
	h.ejected = true
	h.errors = 0
	h.successes = 0
	h.duration = min(max(2*h.duration, _minEjection), _maxEjection)
	h.until = now.Add(h.duration)
}

// canProbe says whether the request may be the one probe of an ejected
// server. Urgent requests probe only where no other server is left.
func (t *Table) canProbe(s *server, servers []*server, r *Request, now time.Time) bool {
	if now.Before(s.health.until) || s.health.probes > 0 {
		return false
	}

	return r.Priority != wire.PriorityUrgent || !hasOther(servers, s)
}

// retryBudget lets a fraction of the requests be retries.
type retryBudget struct {
	ratio  float64
	tokens float64
}

func (b *retryBudget) earn() {
	b.tokens = min(b.tokens+b.ratio, _retryReserve)
}

func (b *retryBudget) take() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--

	return true
}
