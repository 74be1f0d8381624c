package dispatch

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"papayastair.dev/papayastair/site"
)

const (
	// _peerLoadTTL is the time after which the last counts of another instance
	// are dropped. It spans several bulletins, so that losing one has no effect.
	_peerLoadTTL = 3 * time.Second
	// The utilization limits are the load, as a fraction of its slots, at which
	// a model engine gets no further requests of a priority. Engines order their
	// own queues by priority, but a request queued at one can't move to another.
	_urgentMaxUtilization = 1.15
	_normalMaxUtilization = 1.0
	_bulkMaxUtilization   = 0.8
	// _bulkRank is the rank from which requests are limited to
	// _bulkMaxUtilization, which keeps slots free for more urgent ones.
	_bulkRank = 2
	// _plainQueuePerSlot is the number of requests that may queue for each slot
	// of a plain service.
	_plainQueuePerSlot = 3.0
	// _sameDomainBonus is subtracted from the score of a backend server in the
	// failure domain of the instance, in requests.
	_sameDomainBonus = 1.5
	// Each instance prefers a subset of the backend servers that serve a target, so
	// that it reuses its connections, and so that not all instances choose the same
	// server by the same outdated counts. Together they are to choose each server
	// from _instancesPerServer instances, and each instance from at least _minSubset
	// servers. While all servers of the subset have a load of _subsetUtilization of
	// their slots, the subset is doubled.
	_instancesPerServer = 16
	_minSubset          = 3
	_subsetUtilization  = 0.9
	// _maxStaleShare bounds the requests that are expected within the age of the
	// counts of other instances, as a fraction of those running.
	_maxStaleShare = 1.0
	// _sameDomainRank is the factor on the ranks of backend servers in the failure
	// domain of the instance, which are therefore more often in the subset.
	_sameDomainRank = 0.5
	// _baseLoad is added to the load of every backend server, so that an idle
	// slow one scores worse than a faster one with few requests.
	_baseLoad = 2.0
)

// Request describes a request to place on a backend server.
type Request struct {
	// Service is the name of the service that runs the request.
	Service string
	// Target is the model and adapter, empty for a plain service.
	Target site.Target
	// Rank is the priority of the request; 0 is the most urgent.
	Rank int
	// FailureDomain is the failure domain of this instance.
	FailureDomain string
	// Exclude lists the IDs of backend servers not to choose, such as those
	// that the request was already sent to.
	Exclude []string
}

// Reason explains why Choose found no backend server.
type Reason string

// Reasons for finding no backend server.
const (
	// ReasonNone means that a backend server was chosen.
	ReasonNone Reason = ""
	// ReasonNoServer means that the service has no backend server that is
	// neither draining nor excluded.
	ReasonNoServer Reason = "NoServer"
	// ReasonNoCopy means that no available backend server serves the target.
	ReasonNoCopy Reason = "NoCopy"
	// ReasonFull means that all backend servers that serve the target are at
	// the load limit of the request's rank.
	ReasonFull Reason = "Full"
)

// Choice is the result of Choose.
type Choice struct {
	// Server is the chosen backend server, nil if there is none.
	Server *site.BackendServer
	// Reason explains why Server is nil.
	Reason Reason
	// Candidates is the number of available backend servers that serve the
	// target, including full ones.
	Candidates int
	// Load is the number of requests on the chosen backend server: those of this
	// instance and, as last reported, those of the others.
	Load int
	// Avoided reports whether the chosen backend server is being avoided after
	// failures, and was chosen because no other was available.
	Avoided bool
}

// server is the state of one backend server.
type server struct {
	entry site.BackendServer
	gone  bool
	// rank orders the backend servers for the subset of this instance. It is
	// between 0 and 1, and other instances have other ranks.
	rank float64
	// targets are the targets that the backend server serves according to the
	// steward; nil if the steward has reported none, and entry decides.
	targets map[string]bool
	// missing maps the targets that the backend server refused as not loaded to
	// the time of the refusal.
	missing map[string]time.Time
	// connectFailures counts consecutive failures to connect, the last one at
	// lastConnectFailure.
	connectFailures    int
	lastConnectFailure time.Time
	running            int
	runs               map[*Run]struct{}
	health             health
	// latencyRatio is the smoothed ratio of the backend server's latency to the
	// mean latency of the model or service.
	latencyRatio float64
}

// peerLoad holds the number of requests that another instance runs on each
// backend server.
type peerLoad struct {
	at     time.Time
	counts map[string]int
}

// Balancer tracks the state of all backend servers and chooses among them. It is
// safe for concurrent use. Create one with New.
type Balancer struct {
	mu        sync.Mutex
	rng       *rand.Rand
	servers   map[string]*server
	services  map[string][]*server
	peers     map[string]peerLoad
	peerLoads map[string]int
	budgets   map[string]*budget
	// meanLatencies maps models and plain services to their mean latencies, in
	// nanoseconds per unit of output.
	meanLatencies map[string]float64
	limits        RetryLimits
	// meanDurations maps services to the mean duration of their requests, in
	// nanoseconds.
	meanDurations map[string]float64
	// countAge is the usual age of the counts of other instances.
	countAge time.Duration
	// salt makes the ranks of backend servers differ from those of other instances.
	salt string
}

// New returns a Balancer without backend servers. It uses rng to break ties.
func New(rng *rand.Rand, limits RetryLimits) *Balancer {
	return &Balancer{
		rng:           rng,
		servers:       map[string]*server{},
		services:      map[string][]*server{},
		peers:         map[string]peerLoad{},
		peerLoads:     map[string]int{},
		budgets:       map[string]*budget{},
		meanLatencies: map[string]float64{},
		meanDurations: map[string]float64{},
		limits:        limits,
		salt:          strconv.FormatUint(rng.Uint64(), 16),
	}
}

// SetServer adds a backend server or updates its entry. An entry with another
// Born is a restarted server, which begins with fresh state.
func (b *Balancer) SetServer(entry site.BackendServer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.servers[entry.ID]
	if s == nil || s.entry.Born != entry.Born {
		// Requests of the previous start keep counting on its old state, which
		// their Run refers to.
		s = &server{
			latencyRatio: 1,
			runs:         map[*Run]struct{}{},
			missing:      map[string]time.Time{},
			rank:         float64(xxhash.Sum64String(b.salt+entry.ID)) / math.MaxUint64,
		}
		b.servers[entry.ID] = s
	}
	s.entry = entry
	s.gone = false
	b.groupByService()
}

// RemoveServer removes a backend server.
func (b *Balancer) RemoveServer(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.servers, id)
	b.groupByService()
}

// Servers returns the entries of all backend servers.
func (b *Balancer) Servers() []site.BackendServer {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]site.BackendServer, 0, len(b.servers))
	for _, s := range b.servers {
		out = append(out, s.entry)
	}

	return out
}

// SetTargets sets the targets that a backend server serves according to the
// steward. With nil targets, the models in the server's entry apply instead.
func (b *Balancer) SetTargets(id string, targets []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.servers[id]
	if s == nil {
		return
	}
	if targets == nil {
		s.targets = nil

		return
	}
	s.targets = make(map[string]bool, len(targets))
	for _, t := range targets {
		s.targets[t] = true
	}
}

// SetPeerLoad replaces the number of requests that the named instance runs on each
// backend server.
func (b *Balancer) SetPeerLoad(name string, counts map[string]int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers[name] = peerLoad{
		at:     now,
		counts: counts,
	}
	clear(b.peerLoads)
	for name, p := range b.peers {
		if now.Sub(p.at) > _peerLoadTTL {
			delete(b.peers, name)

			continue
		}
		for id, n := range p.counts {
			b.peerLoads[id] += n
		}
	}
}

// Running returns the number of requests that this instance runs on each
// backend server, by ID. Idle backend servers are left out.
func (b *Balancer) Running() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]int{}
	for id, s := range b.servers {
		if s.running > 0 {
			out[id] = s.running
		}
	}

	return out
}

// groupByService rebuilds the index of backend servers by service.
func (b *Balancer) groupByService() {
	clear(b.services)
	for _, s := range b.servers {
		b.services[s.entry.Service] = append(b.services[s.entry.Service], s)
	}
}

// serves reports whether s serves the target, according to the steward if it
// has reported targets for s, else according to the server's own entry. A
// target that s refused counts as not served until _missingTargetTTL has passed.
func (s *server) serves(t site.Target, text string, now time.Time) bool {
	if t.Model == "" {
		return true
	}
	if at, ok := s.missing[text]; ok {
		if now.Sub(at) < _missingTargetTTL {
			return false
		}
		delete(s.missing, text)
	}
	if s.targets != nil {
		return s.targets[text]
	}

	return site.Holds(s.entry.Models, t)
}

// candidate is a backend server that can run a request.
type candidate struct {
	*server
	load    int
	avoided bool
	rank    float64
	score   float64
}

// Choose selects the backend server with the shortest expected wait, in the
// subset that this instance prefers. A random part of the score spreads requests
// over equal servers, so that instances don't all choose the same one.
func (b *Balancer) Choose(req Request, now time.Time) Choice {
	b.mu.Lock()
	defer b.mu.Unlock()
	choice, candidates := b.candidates(req, now)
	if len(candidates) == 0 {
		return choice
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.rank, b.rank) })
	n := max(_minSubset, (_instancesPerServer*choice.Candidates+b.limits.Instances-1)/max(b.limits.Instances, 1))
	for n < len(candidates) && !hasRoom(candidates[:n]) {
		n *= 2
	}
	best := b.pick(candidates[:min(n, len(candidates))], req)
	entry := best.entry
	choice.Server = &entry
	choice.Reason = ReasonNone
	choice.Load = best.load
	choice.Avoided = best.avoided

	return choice
}

// hasRoom reports whether a candidate has a load below _subsetUtilization of its
// slots.
func hasRoom(candidates []candidate) bool {
	return slices.ContainsFunc(candidates, func(c candidate) bool {
		return float64(c.load) < _subsetUtilization*float64(max(c.entry.Slots, 1))
	})
}

// candidates returns the backend servers that can run a request, and the reason if
// there are none. One that is avoided is a candidate only if there is no other:
// when all are failing, the few that succeed are better than none.
func (b *Balancer) candidates(req Request, now time.Time) (Choice, []candidate) {
	text := ""
	if req.Target.Model != "" {
		text = req.Target.String()
	}
	choice := Choice{Reason: ReasonNoServer}
	var healthy, avoided []candidate
	for _, s := range b.services[req.Service] {
		if s.entry.Draining || s.gone || contains(req.Exclude, s.entry.ID) {
			continue
		}
		choice.Reason = moreSpecific(choice.Reason, ReasonNoCopy)
		if !s.serves(req.Target, text, now) {
			continue
		}
		choice.Candidates++
		c := candidate{
			server:  s,
			load:    s.running + b.peerLoads[s.entry.ID],
			avoided: s.health.avoided(now),
			rank:    s.rank,
		}
		if float64(c.load) >= maxLoad(s.entry.Slots, req) {
			choice.Reason = moreSpecific(choice.Reason, ReasonFull)

			continue
		}
		if s.entry.FailureDomain == req.FailureDomain {
			c.rank *= _sameDomainRank
		}
		if c.avoided {
			avoided = append(avoided, c)
		} else {
			healthy = append(healthy, c)
		}
	}
	if len(healthy) == 0 {
		return choice, avoided
	}

	return choice, healthy
}

// pick returns one of the candidates, of which there must be one. The counts of
// other instances are outdated: if all instances chose the lowest score, they would
// flood one server until the next counts arrive. So it fills up the scores by the
// requests that are expected within the age of the counts, and picks each server
// with the probability of its part in that. With recent counts, or few requests,
// that is the lowest score.
func (b *Balancer) pick(candidates []candidate, req Request) candidate {
	scores := make([]float64, 0, len(candidates))
	stale := b.staleShare(req.Service)
	expected := 0.0
	for i := range candidates {
		c := &candidates[i]
		// As many requests as are expected to arrive have ended.
		replaced := stale * float64(c.load-c.running)
		expected += replaced
		c.score = b.score(c.server, float64(c.load)-replaced, req)
		scores = append(scores, c.score)
	}
	slices.Sort(scores)
	level, below := scores[0], 0.0
	for n, score := range scores {
		// The first n scores are filled up to score.
		if room := float64(n)*score - below; room > expected {
			break
		}
		below += score
		level = (expected + below) / float64(n+1)
	}
	at := b.rng.Float64() * expected
	best := candidates[0]
	for _, c := range candidates {
		if at -= max(level-c.score, 0); at < 0 {
			return c
		}
		if c.score < best.score {
			best = c
		}
	}

	return best
}

// staleShare returns the fraction of the running requests of a service that is
// expected to arrive within the age of the counts of other instances. Until the
// first request has ended, no more is known than that the counts are outdated.
func (b *Balancer) staleShare(service string) float64 {
	mean := b.meanDurations[service]
	if mean == 0 {
		mean = 1
	}

	return min(float64(b.countAge)/mean, _maxStaleShare)
}

// score returns the expected wait on s, in requests of mean latency. Lower is
// better.
func (b *Balancer) score(s *server, load float64, req Request) float64 {
	score := (load + _baseLoad) * s.latencyRatio
	if s.entry.FailureDomain == req.FailureDomain {
		score -= _sameDomainBonus
	}

	return score + b.rng.Float64()*0.5
}

// maxLoad returns the number of running and queued requests at which a backend
// server with the given slots gets no more requests like req.
func maxLoad(slots int, req Request) float64 {
	n := float64(max(slots, 1))
	switch {
	case req.Target.Model == "":
		return n * (1 + _plainQueuePerSlot)
	case req.Rank == 0:
		return n * _urgentMaxUtilization
	case req.Rank < _bulkRank:
		return n * _normalMaxUtilization
	default:
		return n * _bulkMaxUtilization
	}
}

// moreSpecific returns the reason that takes precedence: ReasonFull over
// ReasonNoCopy over ReasonNoServer.
func moreSpecific(a, b Reason) Reason {
	order := map[Reason]int{
		ReasonNoServer: 0,
		ReasonNoCopy:   1,
		ReasonFull:     2,
	}
	if order[b] > order[a] {
		return b
	}

	return a
}

func contains(list []string, s string) bool {
	for _, v := range list {
		if v == s {
			return true
		}
	}

	return false
}
