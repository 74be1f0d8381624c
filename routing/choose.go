package routing

import (
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	"papayastair.dev/papayastair/event"
	"papayastair.dev/papayastair/wire"
)

// Reason says why a backend server was chosen, or why none was.
type Reason string

// The reasons of decisions.
const (
	// ReasonBest is the choice of least added delay.
	ReasonBest Reason = "Best"
	// ReasonCache is the same where the prompt's prefix is believed cached.
	ReasonCache Reason = "Cache"
	// ReasonProbe sends one request to an ejected backend server.
	ReasonProbe Reason = "Probe"
	// ReasonOnly is the choice of the one that the request names.
	ReasonOnly Reason = "Only"
	// ReasonNoServer says that none serves the model.
	ReasonNoServer Reason = "NoServer"
	// ReasonNoRoom says that all that serve it are full.
	ReasonNoRoom Reason = "NoRoom"
	// ReasonLate says that no first token can come within the slack.
	ReasonLate Reason = "Late"
	// ReasonRetryBudget says that too many requests are retries.
	ReasonRetryBudget Reason = "RetryBudget"
)

const (
	// The parts of a backend server's places that requests may fill: urgent
	// ones and those within their workspace's share, other live ones, and
	// batch ones. What is left of the places meets bursts.
	_urgentRoom = 1.0
	_liveRoom   = 0.8
	_batchRoom  = 0.6
	// _overdraft is the part of the places by which requests within the share
	// of their workspace may go over the instance's own part.
	_overdraft = 0.15
	// _riskFactor multiplies the cost of a first token expected after the
	// part _risky of the slack.
	_risky      = 0.5
	_riskFactor = 3
	// _maxReading bounds the time that prompts of requests over the share of
	// their workspace may keep a server reading.
	_maxReading = 150 * time.Millisecond
	// _pressedTime is how long a backend server without room for urgent and
	// live requests takes batch requests only by their floor.
	_pressedTime = 10 * time.Second
)

// Request is what Choose needs to know of a request.
type Request struct {
	// Model and Version name the model that it calls, Adapter and
	// AdapterVersion the adapter on it; an empty adapter is the model itself,
	// an empty version is any.
	Model          string
	Version        string
	Adapter        string
	AdapterVersion string
	// PrefixHashes are the hashes of its prompt's prefixes of one, two, three
	// and so on blocks.
	PrefixHashes []int
	// InputTokens and OutputTokens are the prompt's length and the expected
	// length of the answer.
	InputTokens  int
	OutputTokens int
	// Priority is the request's.
	Priority wire.Priority
	// Slack is the time left to the first token; 0 means any.
	Slack time.Duration
	// FailureDomain is preferred, at little cost.
	FailureDomain string
	// Exclude are backend servers not to use.
	Exclude []string
	// Only is the one backend server to use, though it may be full; empty for any.
	Only string
	// Alone prefers the server with the fewest requests, for a suspect.
	Alone bool
	// Floor lets batch work use the room of live work.
	Floor bool
	// WithinShare says that the request's workspace asks for no more than its
	// fair part of the fleet, so that it may use the reserve.
	WithinShare bool
	// Retry takes the request out of the retry budget.
	Retry bool
}

// Candidate is one backend server as Choose weighed it.
type Candidate struct {
	// Server is its name.
	Server string
	// Cost is the delay added to all requests.
	Cost time.Duration
	// FirstToken is the expected time to the first token.
	FirstToken time.Duration
	// Occupancy is the estimated number of requests there, of all instances.
	Occupancy int
	// CachedTokens is how much of the prompt is believed cached.
	CachedTokens int
}

// Decision is the outcome of Choose.
type Decision struct {
	// Ticket holds the place; nil if there is none.
	Ticket *Ticket
	// Server is the chosen backend server; empty for none.
	Server string
	// Reason is why.
	Reason Reason
	// LoadAdapter says that the adapter must be loaded there first.
	LoadAdapter bool
	// Candidates are the figures of up to 4 that were weighed, the best first.
	Candidates []Candidate
}

// Ticket is one request's place at a backend server, from Choose to Done.
type Ticket struct {
	server *server
	began  time.Time
	// expected is the seconds to the first token, uncorrected.
	expected  float64
	occupancy int
	unread    int
	reading   bool
	probe     bool
	adapter   bool
	done      bool
	seed      uint64
	prefixes  []int
}

// Server is the name of the backend server.
func (t *Ticket) Server() string {
	return t.server.name
}

// weighed is a candidate during one choice.
type weighed struct {
	server     *server
	cost       float64
	firstToken float64
	occupancy  int
	cached     int
	adapter    bool
}

// Choose picks the backend server where the request adds the least delay,
// its own and that of the requests beside it, and reserves a place there.
func (t *Table) Choose(r Request) Decision {
	now := t.cfg.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.Retry && !t.retries.take() {
		return Decision{Reason: ReasonRetryBudget}
	}
	if !r.Retry {
		t.retries.earn()
	}
	servers := t.byModel[modelKey{model: r.Model, version: r.Version}]
	if r.Only != "" {
		return t.chooseOnly(servers, &r, now)
	}
	var room [_maxSample]weighed
	found := room[:0]
	reason := ReasonNoServer
	seed := modelSeed(r.Model)
	for _, s := range t.sample(servers) {
		if !s.accepts(r.Exclude) {
			continue
		}
		if s.health.ejected {
			if t.canProbe(s, servers, &r, now) {
				w := t.weigh(s, &r, seed, now)

				return t.reserve(&w, &r, seed, now, ReasonProbe, nil)
			}
			reason = worse(reason, ReasonNoRoom)

			continue
		}
		if !t.hasRoom(s, &r, now) {
			reason = worse(reason, ReasonNoRoom)

			continue
		}
		w := t.weigh(s, &r, seed, now)
		if r.Slack > 0 && w.firstToken > r.Slack.Seconds() {
			reason = worse(reason, ReasonLate)

			continue
		}
		found = append(found, w)
	}
	if len(found) == 0 {
		return Decision{Reason: reason}
	}

	return t.choose(found, &r, seed, now)
}

// LogDecision writes the log line of a decision for the request with this ID.
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

// _maxSample is the most candidates that one choice weighs.
const _maxSample = 16

// sample returns at most cfg.Sample of the servers, a random run of them.
func (t *Table) sample(servers []*server) []*server {
	n := min(t.cfg.Sample, _maxSample)
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

// choose takes one of the candidates within the cut-off at random, so that
// instances with the same late knowledge don't all take the same.
func (t *Table) choose(found []weighed, r *Request, seed uint64, now time.Time) Decision {
	slices.SortFunc(found, func(a, b weighed) int {
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
	for near < len(found) && found[near].cost <= found[0].cost*t.cfg.CutOff {
		near++
	}
	chosen := found[t.random.IntN(near)]
	reason := ReasonBest
	if chosen.cached > 0 {
		reason = ReasonCache
	}

	return t.reserve(&chosen, r, seed, now, reason, found)
}

func (t *Table) chooseOnly(servers []*server, r *Request, now time.Time) Decision {
	for _, s := range servers {
		if s.name != r.Only || !s.accepts(r.Exclude) {
			continue
		}
		seed := modelSeed(r.Model)
		w := t.weigh(s, r, seed, now)

		return t.reserve(&w, r, seed, now, ReasonOnly, nil)
	}

	return Decision{Reason: ReasonNoServer}
}

// hasRoom says whether one more own request keeps within the instance's part
// of the places that the priority may fill.
func (t *Table) hasRoom(s *server, r *Request, now time.Time) bool {
	batch := r.Priority == wire.PriorityBatch
	if batch && !r.Floor && now.Before(s.pressedUntil) {
		return false
	}
	places := s.speed.limit(t.cfg.MaxGap, s.slots)
	limit := places * roomOf(r)
	crowded := float64(s.occupancy(now))+1 > limit
	if t.cfg.IgnoreShare {
		return !crowded
	}
	if !r.WithinShare && s.isReading() {
		return false
	}
	// A fraction of a place becomes a whole one in as many report periods.
	own := s.ownLimit(limit, now) + t.fraction(s)
	if r.WithinShare && !batch && !crowded {
		own += max(1, _overdraft*places)
	}
	if float64(s.own.count+1) <= own {
		return true
	}
	if !batch {
		s.pressedUntil = now.Add(_pressedTime)
	}

	return false
}

// isReading says that the prompts of own requests, taken for this instance's
// share of all, keep the server busy for long. Requests that flood then wait,
// so that the prompts of others are read soon.
func (s *server) isReading() bool {
	all := float64(s.unread) / max(s.share, 0.01)

	return all*s.speed.readSeconds > _maxReading.Seconds()
}

// fraction is a number in [0, 1) that is the same for one report of one
// backend server.
func (t *Table) fraction(s *server) float64 {
	const bits = 53
	h := modelSeed(t.cfg.Instance) ^ uint64(s.report.Sequence+1)*0x9e3779b97f4a7c15
	h ^= h >> 31
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 29

	return float64(h>>(64-bits)) / (1 << bits)
}

// weigh works out the delay that the request would add at a server.
func (t *Table) weigh(s *server, r *Request, seed uint64, now time.Time) weighed {
	occupancy := s.occupancy(now)
	n := float64(occupancy)
	cached := min(s.prefixes.longest(seed, r.PrefixHashes)*t.cfg.BlockTokens, r.InputTokens)
	unread := float64(r.InputTokens - cached)
	reading := unread * s.speed.readSeconds
	gap := s.speed.gap(n + 1)
	output := float64(max(r.OutputTokens, 1))
	first := 1.5*gap + reading + float64(s.unread)*s.speed.readSeconds
	w := weighed{
		server:    s,
		occupancy: occupancy,
		cached:    cached,
	}
	if r.Adapter != "" && !s.hasAdapter(r) {
		w.adapter = true
		first += t.adapterSeconds()
	}
	w.firstToken = first * s.speed.firstFactor
	// The others wait while the prompt is read, and each step is longer.
	others := n * (reading + output*s.speed.slope())
	w.cost = first + output*gap + others
	if r.FailureDomain != "" && r.FailureDomain != s.domain {
		w.cost += t.cfg.DomainPenalty.Seconds()
	}
	if r.Slack > 0 && w.firstToken > _risky*r.Slack.Seconds() {
		w.cost *= _riskFactor
	}
	if r.Alone {
		w.cost = n
	}

	return w
}

// adapterSeconds is the time of an adapter's load, longer while many are in
// flight.
func (t *Table) adapterSeconds() float64 {
	crowd := max(1, float64(t.adapterLoads+1)/float64(t.cfg.AdapterLoads))

	return t.cfg.AdapterLoad.Seconds() * crowd
}

func (t *Table) reserve(w *weighed, r *Request, seed uint64, now time.Time, reason Reason, found []weighed) Decision {
	s := w.server
	s.own.add(now, 1)
	unread := r.InputTokens - w.cached
	s.unread += unread
	if w.adapter {
		t.adapterLoads++
	}
	if reason == ReasonProbe {
		s.health.probes++
	}

	return Decision{
		Ticket: &Ticket{
			server:    s,
			began:     now,
			expected:  w.firstToken / s.speed.firstFactor,
			occupancy: w.occupancy + 1,
			unread:    unread,
			reading:   true,
			probe:     reason == ReasonProbe,
			adapter:   w.adapter,
			seed:      seed,
			prefixes:  r.PrefixHashes,
		},
		Server:      s.name,
		Reason:      reason,
		LoadAdapter: w.adapter,
		Candidates:  figures(found),
	}
}

func (s *server) accepts(exclude []string) bool {
	return !s.leaving && !s.gone && !slices.Contains(exclude, s.name)
}

func (s *server) hasAdapter(r *Request) bool {
	return s.adapters[adapterKey{
		model:   r.Model,
		adapter: r.Adapter,
		version: r.AdapterVersion,
	}]
}

func figures(found []weighed) []Candidate {
	const shown = 4
	candidates := make([]Candidate, 0, min(len(found), shown))
	for i := range found[:min(len(found), shown)] {
		w := &found[i]
		candidates = append(candidates, Candidate{
			Server:       w.server.name,
			Cost:         toDuration(w.cost),
			FirstToken:   toDuration(w.firstToken),
			Occupancy:    w.occupancy,
			CachedTokens: w.cached,
		})
	}

	return candidates
}

func toDuration(seconds float64) time.Duration {
	return time.Duration(math.Min(seconds, 1e6) * float64(time.Second))
}

func roomOf(r *Request) float64 {
	switch {
	case r.Floor || r.WithinShare && r.Priority != wire.PriorityBatch || r.Priority == wire.PriorityUrgent:
		return _urgentRoom
	case r.Priority == wire.PriorityBatch:
		return _batchRoom
	default:
		return _liveRoom
	}
}

// worse keeps the reason that tells more: late before full before none.
func worse(a, b Reason) Reason {
	rank := func(r Reason) int {
		return slices.Index([]Reason{ReasonNoServer, ReasonLate, ReasonNoRoom}, r)
	}
	if rank(b) > rank(a) {
		return b
	}

	return a
}
