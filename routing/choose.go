package routing

import (
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	"papayastair.dev/papayastair/event"
	"papayastair.dev/papayastair/wire"
)

// Reason explains why a backend server was chosen, not chosen or ejected.
type Reason string

// The reasons for decisions.
const (
	// ReasonBest means that the server adds nearly the least delay.
	ReasonBest Reason = "Best"
	// ReasonCache is like ReasonBest, with part of the prompt believed to be
	// in the server's prefix cache.
	ReasonCache Reason = "Cache"
	// ReasonProbe means that the request probes an ejected server.
	ReasonProbe Reason = "Probe"
	// ReasonOnly means that the request names the server.
	ReasonOnly Reason = "Only"
	// ReasonNoServer means that no available server serves the model.
	ReasonNoServer Reason = "NoServer"
	// ReasonNoRoom means that no server could be chosen and at least one was
	// full or ejected.
	ReasonNoRoom Reason = "NoRoom"
	// ReasonLate means that no server can produce the first token within the
	// slack.
	ReasonLate Reason = "Late"
	// ReasonRetryBudget means that the retry budget is exhausted.
	ReasonRetryBudget Reason = "RetryBudget"
)

const (
	// Fractions of a backend server's capacity that requests may fill: urgent
	// ones and those within their workspace's share, other live ones, and
	// batch ones. The remainder absorbs bursts.
	_urgentFraction = 1.0
	_liveFraction   = 0.8
	_batchFraction  = 0.5
	// _fairShareHeadroom is the fraction of the capacity by which requests
	// within their workspace's share may exceed the share of the instance.
	_fairShareHeadroom = 0.15
	// _slackRiskPenalty multiplies the cost if the first token is expected
	// after the fraction _slackRiskThreshold of the slack.
	_slackRiskThreshold = 0.35
	_slackRiskPenalty   = 3
	// _maxPrefillBacklog is the prefill backlog above which a server accepts
	// no requests over their workspace's share.
	_maxPrefillBacklog = 75 * time.Millisecond
	// _batchBackoff is how long a server without capacity for an urgent or
	// live request rejects batch requests, except those with Floor set.
	_batchBackoff = 10 * time.Second
)

// Request describes a request to Choose.
type Request struct {
	// Model and Version name the requested model, Adapter and AdapterVersion
	// the adapter on it. An empty Adapter selects the base model, an empty
	// version matches any.
	Model          string
	Version        string
	Adapter        string
	AdapterVersion string
	// PrefixHashes are the hashes of the prompt's prefixes of one block, two
	// blocks, and so on.
	PrefixHashes []int
	// InputTokens is the length of the prompt and OutputTokens the expected
	// length of the answer.
	InputTokens  int
	OutputTokens int
	// Priority is the priority of the request.
	Priority wire.Priority
	// Slack is the time left until the first token is due; 0 means no limit.
	Slack time.Duration
	// FailureDomain is preferred; a server in another one costs
	// Config.DomainPenalty more.
	FailureDomain string
	// Exclude lists backend servers that must not be used.
	Exclude []string
	// Only names the one backend server to use, even if it is full; empty
	// means any.
	Only string
	// Alone prefers the server with the fewest requests, for a suspect.
	Alone bool
	// Floor lets a batch request use the capacity of live requests.
	Floor bool
	// WithinShare reports whether the workspace of the request demands no more
	// than its fair share of the fleet. Such a request may use the reserved
	// capacity.
	WithinShare bool
	// Retry charges the request to the retry budget.
	Retry bool
}

// Candidate is a backend server with its scores in one choice.
type Candidate struct {
	// Server is the name of the backend server.
	Server string
	// Cost is the estimated delay added to all requests on the server, this
	// one included.
	Cost time.Duration
	// FirstToken is the expected time to the first token.
	FirstToken time.Duration
	// Occupancy is the estimated number of requests on the server, from all
	// instances.
	Occupancy int
	// CachedTokens is the number of prompt tokens believed to be cached.
	CachedTokens int
}

// Decision is the outcome of Choose.
type Decision struct {
	// Ticket is the reservation; nil if no server was chosen.
	Ticket *Ticket
	// Server is the chosen backend server; empty for none.
	Server string
	// Reason explains the decision.
	Reason Reason
	// LoadAdapter reports whether the server must load the adapter first.
	LoadAdapter bool
	// Candidates are the best scored candidates, at most 4, best first.
	Candidates []Candidate
}

// Ticket is a reservation for one request on a backend server, from Choose to
// Done.
type Ticket struct {
	server    *server
	startedAt time.Time
	// predictedFirstToken is the expected time to the first token in seconds,
	// before the correction by speed.firstTokenFactor.
	predictedFirstToken float64
	occupancy           int
	prefillTokens       int
	inPrefill           bool
	probe               bool
	loadsAdapter        bool
	done                bool
	prefixSeed          uint64
	prefixes            []int
}

// Server returns the name of the backend server.
func (t *Ticket) Server() string {
	return t.server.name
}

// scoredServer is a candidate in one choice. Its times are in seconds.
type scoredServer struct {
	server       *server
	cost         float64
	firstToken   float64
	occupancy    int
	cachedTokens int
	loadAdapter  bool
}

// Choose selects the backend server on which the request adds the least delay,
// to itself and to the requests that run there, and reserves a place for it.
func (t *Table) Choose(r Request) Decision {
	now := t.cfg.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.Retry && !t.retries.allowsRetry() {
		return Decision{Reason: ReasonRetryBudget}
	}
	servers := t.byModel[modelKey{model: r.Model, version: r.Version}]
	if r.Only != "" {
		return t.chooseOnly(servers, &r, now)
	}
	var buffer [_maxCandidates]scoredServer
	candidates := buffer[:0]
	reason := ReasonNoServer
	seed := modelSeed(r.Model)
	for _, s := range t.sample(servers) {
		if !s.isAvailable(r.Exclude) {
			continue
		}
		if s.health.ejected {
			if t.canProbe(s, servers, &r, now) {
				w := t.score(s, &r, seed, now)

				return t.reserve(&w, &r, seed, now, ReasonProbe, nil)
			}
			reason = higherRanked(reason, ReasonNoRoom)

			continue
		}
		if !t.hasCapacity(s, &r, now) {
			reason = higherRanked(reason, ReasonNoRoom)

			continue
		}
		w := t.score(s, &r, seed, now)
		if r.Slack > 0 && w.firstToken > r.Slack.Seconds() {
			reason = higherRanked(reason, ReasonLate)

			continue
		}
		candidates = append(candidates, w)
	}
	if len(candidates) == 0 {
		return Decision{Reason: reason}
	}

	return t.chooseNearBest(candidates, &r, seed, now)
}

// LogDecision logs the decision for the request with the given ID.
func (t *Table) LogDecision(id string, r *Request, d *Decision) {
	kind := event.BackendServerChosen
	if d.Ticket == nil {
		kind = event.BackendServerNotChosen
	}
	t.cfg.Log.Write(kind,
		zap.String("Request", id),
		zap.String("Model", r.Model),
		zap.String("Adapter", r.Adapter),
		zap.String("Priority", string(r.Priority)),
		zap.String("BackendServer", d.Server),
		zap.String("Reason", string(d.Reason)),
		zap.Any("Candidates", d.Candidates),
	)
}

// _maxCandidates bounds the candidates that are scored in one choice.
const _maxCandidates = 16

// sample returns at most cfg.Sample consecutive servers from a random start,
// wrapping around at the end.
func (t *Table) sample(servers []*server) []*server {
	n := min(t.cfg.Sample, _maxCandidates)
	if len(servers) <= n {
		return servers
	}
	first := t.random.IntN(len(servers))
	if first+n <= len(servers) {
		return servers[first : first+n]
	}
	wrapped := make([]*server, 0, n)
	wrapped = append(wrapped, servers[first:]...)

	return append(wrapped, servers[:n-len(wrapped)]...)
}

// chooseNearBest picks a random candidate among those whose cost is at most
// CutOff times the lowest, so that instances with the same stale reports don't
// all pick the same server.
func (t *Table) chooseNearBest(candidates []scoredServer, r *Request, seed uint64, now time.Time) Decision {
	slices.SortFunc(candidates, func(a, b scoredServer) int {
		switch {
		case a.cost < b.cost:
			return -1
		case a.cost > b.cost:
			return 1
		default:
			return 0
		}
	})
	near := 1
	for near < len(candidates) && candidates[near].cost <= candidates[0].cost*t.cfg.CutOff {
		near++
	}
	chosen := candidates[t.random.IntN(near)]
	reason := ReasonBest
	if chosen.cachedTokens > 0 {
		reason = ReasonCache
	}

	return t.reserve(&chosen, r, seed, now, reason, candidates)
}

func (t *Table) chooseOnly(servers []*server, r *Request, now time.Time) Decision {
	for _, s := range servers {
		if s.name != r.Only || !s.isAvailable(r.Exclude) {
			continue
		}
		seed := modelSeed(r.Model)
		w := t.score(s, r, seed, now)

		return t.reserve(&w, r, seed, now, ReasonOnly, nil)
	}

	return Decision{Reason: ReasonNoServer}
}

// hasCapacity reports whether one more request keeps the instance within its
// share of the capacity that the priority may use.
func (t *Table) hasCapacity(s *server, r *Request, now time.Time) bool {
	batch := r.Priority == wire.PriorityBatch
	if batch && !r.Floor && now.Before(s.batchBlockedUntil) {
		return false
	}
	capacity := s.speed.maxBatch(t.cfg.MaxGap, s.slots)
	limit := capacity * capacityFraction(r)
	full := float64(s.occupancy(now))+1 > limit
	if t.cfg.IgnoreShare {
		return !full
	}
	if !r.WithinShare && s.hasPrefillBacklog() {
		return false
	}
	// Dithering turns a fractional limit into a whole request in the same
	// fraction of report periods.
	allowed := s.localLimit(limit, now) + t.dither(s)
	if r.WithinShare && !batch && !full {
		allowed += max(1, _fairShareHeadroom*capacity)
	}
	if float64(s.local.count+1) <= allowed {
		return true
	}
	if !batch {
		s.batchBlockedUntil = now.Add(_batchBackoff)
	}

	return false
}

// hasPrefillBacklog reports whether the prefill backlog of all instances,
// extrapolated from the prompts and the share of this one, exceeds
// _maxPrefillBacklog. Requests over their workspace's share then wait, so that
// the prompts of others are processed soon.
func (s *server) hasPrefillBacklog() bool {
	fleetTokens := float64(s.prefillTokens) / max(s.share, 0.01)

	return fleetTokens*s.speed.prefillSeconds > _maxPrefillBacklog.Seconds()
}

// dither returns a pseudorandom number in [0, 1) that stays the same for one
// report of a backend server.
func (t *Table) dither(s *server) float64 {
	const bits = 53
	h := modelSeed(t.cfg.Instance) ^ uint64(s.report.Sequence+1)*0x9e3779b97f4a7c15
	h ^= h >> 31
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 29

	return float64(h>>(64-bits)) / (1 << bits)
}

// score estimates the delay that the request would add on a server.
func (t *Table) score(s *server, r *Request, seed uint64, now time.Time) scoredServer {
	occupancy := s.occupancy(now)
	n := float64(occupancy)
	cached := min(s.prefixes.cachedBlocks(seed, r.PrefixHashes)*t.cfg.BlockTokens, r.InputTokens)
	uncached := float64(r.InputTokens - cached)
	prefill := uncached * s.speed.prefillSeconds
	gap := s.speed.gap(n + 1)
	output := float64(max(r.OutputTokens, 1))
	firstToken := 1.5*gap + prefill + float64(s.prefillTokens)*s.speed.prefillSeconds
	w := scoredServer{
		server:       s,
		occupancy:    occupancy,
		cachedTokens: cached,
	}
	if r.Adapter != "" && !s.hasAdapter(r) {
		w.loadAdapter = true
		firstToken += t.adapterLoadSeconds()
	}
	w.firstToken = firstToken * s.speed.firstTokenFactor
	// The other requests stall during the prefill, and each of their steps
	// takes longer.
	delayToOthers := n * (prefill + output*s.speed.gapPerRequest())
	w.cost = firstToken + output*gap + delayToOthers
	if r.FailureDomain != "" && r.FailureDomain != s.domain {
		w.cost += t.cfg.DomainPenalty.Seconds()
	}
	if r.Slack > 0 && w.firstToken > _slackRiskThreshold*r.Slack.Seconds() {
		w.cost *= _slackRiskPenalty
	}
	if r.Alone {
		w.cost = n
	}

	return w
}

// adapterLoadSeconds returns the time to load an adapter, which grows with the
// loads in flight beyond cfg.AdapterLoads.
func (t *Table) adapterLoadSeconds() float64 {
	slowdown := max(1, float64(t.adapterLoads+1)/float64(t.cfg.AdapterLoads))

	return t.cfg.AdapterLoad.Seconds() * slowdown
}

func (t *Table) reserve(w *scoredServer, r *Request, seed uint64, now time.Time, reason Reason, candidates []scoredServer) Decision {
	s := w.server
	t.retries.recordSend(r.Retry)
	s.local.add(now, 1)
	prefillTokens := r.InputTokens - w.cachedTokens
	s.prefillTokens += prefillTokens
	if w.loadAdapter {
		t.adapterLoads++
	}
	if reason == ReasonProbe {
		s.health.activeProbes++
	}

	return Decision{
		Ticket: &Ticket{
			server:              s,
			startedAt:           now,
			predictedFirstToken: w.firstToken / s.speed.firstTokenFactor,
			occupancy:           w.occupancy + 1,
			prefillTokens:       prefillTokens,
			inPrefill:           true,
			probe:               reason == ReasonProbe,
			loadsAdapter:        w.loadAdapter,
			prefixSeed:          seed,
			prefixes:            r.PrefixHashes,
		},
		Server:      s.name,
		Reason:      reason,
		LoadAdapter: w.loadAdapter,
		Candidates:  topCandidates(candidates),
	}
}

func (s *server) isAvailable(exclude []string) bool {
	return !s.leaving && !s.removed && !slices.Contains(exclude, s.name)
}

func (s *server) hasAdapter(r *Request) bool {
	return s.adapters[adapterKey{
		model:   r.Model,
		adapter: r.Adapter,
		version: r.AdapterVersion,
	}]
}

func topCandidates(scored []scoredServer) []Candidate {
	const maxShown = 4
	top := make([]Candidate, 0, min(len(scored), maxShown))
	for i := range scored[:min(len(scored), maxShown)] {
		w := &scored[i]
		top = append(top, Candidate{
			Server:       w.server.name,
			Cost:         toDuration(w.cost),
			FirstToken:   toDuration(w.firstToken),
			Occupancy:    w.occupancy,
			CachedTokens: w.cachedTokens,
		})
	}

	return top
}

func toDuration(seconds float64) time.Duration {
	return time.Duration(math.Min(seconds, 1e6) * float64(time.Second))
}

func capacityFraction(r *Request) float64 {
	switch {
	case r.Floor || r.WithinShare && r.Priority != wire.PriorityBatch || r.Priority == wire.PriorityUrgent:
		return _urgentFraction
	case r.Priority == wire.PriorityBatch:
		return _batchFraction
	default:
		return _liveFraction
	}
}

// higherRanked returns the reason to report out of two: ReasonNoRoom before
// ReasonLate before ReasonNoServer.
func higherRanked(a, b Reason) Reason {
	rank := func(r Reason) int {
		return slices.Index([]Reason{ReasonNoServer, ReasonLate, ReasonNoRoom}, r)
	}
	if rank(b) > rank(a) {
		return b
	}

	return a
}
