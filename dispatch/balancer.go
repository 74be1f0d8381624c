package dispatch

import (
	"math"
	"math/rand/v2"
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
	// _lateMaxUtilization is that for requests that can't meet their latency goal any
	// more, which leaves slots for those that can.
	_lateMaxUtilization = 0.9
	// _bulkRank is the rank from which requests are limited to
	// _bulkMaxUtilization, which keeps slots free for more urgent ones.
	_bulkRank = 2
	// _plainQueuePerSlot is the number of requests that may queue for each slot
	// of a plain service.
	_plainQueuePerSlot = 3.0
	// _sameDomainBonus is subtracted from the score of a backend server in the
	// failure domain of the instance, in requests.
	_sameDomainBonus = 1.5
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
	// Precedence orders the requests that compete for scarce slots, from 0, the first, to
	// Precedences-1.
	Precedence int
	// FailureDomain is the failure domain of this instance.
	FailureDomain string
	// Exclude lists the IDs of backend servers not to choose, such as those
	// that the request was already sent to.
	Exclude []string
	// Regions are lists of regions, such as those of the route and of the workspace. The
	// backend server's region must be in each of them that isn't empty.
	Regions [][]string
}

// Reason explains why Choose found no backend server.
type Reason string

// Reasons for finding no backend server.
const (
	// ReasonNone means that a backend server was chosen.
	ReasonNone Reason = ""
	// ReasonNoServer means that the service has no backend server that is
	// neither draining nor evacuated nor excluded.
	ReasonNoServer Reason = "NoServer"
	// ReasonNoHome means that only backend servers outside of the request's regions
	// are available.
	ReasonNoHome Reason = "NoHome"
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
	// Load is the estimated number of requests on the chosen backend server, from
	// those of this instance, the last reports of the others, and its own answers.
	Load int
	// Avoided reports whether the chosen backend server is being avoided after
	// failures, and was chosen because no other was available.
	Avoided bool
	// Wait is the time after which a backend server that would have room now is
	// likely to accept a request; 0 if there is none.
	Wait time.Duration
	// Cold counts the request against the allowance of the chosen backend server; nil if
	// that isn't cold. ColdFull reports whether a cold one had no allowance left.
	Cold     *ColdSend
	ColdFull bool
	// Acceptance is the ratio of the requests that the backend servers of the target can
	// take to those that are expected, over all instances; below 1 it is the probability
	// with which a request is placed. It is 0 if the expected rate is unknown, or if all
	// these servers are full or must get no more requests for another reason.
	Acceptance float64
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
	// unreported is the number of requests that all instances are expected to have sent
	// within the age of the counts of other instances.
	unreported float64
	// attempts are the rates of this instance's requests of each precedence that could be
	// sent here, each divided by the number of backend servers that serve its target.
	attempts [Precedences]rate
	// assumed is the rate of all instances' requests that is assumed until they have
	// reported theirs.
	assumed rate
	// ended is the rate at which this instance's requests end here.
	ended rate
	// latencyRatio is the smoothed ratio of the backend server's latency to the
	// mean latency of the model or service.
	latencyRatio float64
	advice       *advice
	cold         *coldServer
	// observed is the load that the backend server gave in its latest answer.
	observed observedLoad
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
	// flowsByPeer holds the flows of the other instances, peerFlows their sums by backend
	// server, and predictedAt is when the predicted loads were updated.
	flowsByPeer map[string]peerFlows
	peerFlows   map[string]Flow
	predictedAt time.Time
	// countAge is the usual age of the counts of other instances.
	countAge time.Duration
	// salt makes the ranks of backend servers differ from those of other instances.
	salt string
	// advice holds what backend servers ask of their callers, by ID.
	advice map[string]*advice
	// name and others are the instances that send requests, this one and the others.
	// membersVersion rises with each change of them and is 0 while they are unknown.
	name           string
	others         []string
	membersVersion int
	// cold is the state of cold backend servers, and regions are those of the failure
	// domains.
	cold    coldServers
	regions map[string]string
	// unseen maps services to the requests on their servers that aren't known.
	unseen map[string]*unseenRequests
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
		advice:        map[string]*advice{},
		cold:          newColdServers(),
		unseen:        map[string]*unseenRequests{},
		flowsByPeer:   map[string]peerFlows{},
		peerFlows:     map[string]Flow{},
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
		if s.advice = b.adviceOf(entry.ID, entry.Born); s.advice == nil {
			s.advice = &advice{born: entry.Born}
		}
	}
	s.entry = entry
	s.gone = false
	b.setCold(s)
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
	b.sumPeerLoads(now)
}

// sumPeerLoads updates the sums of the other instances' counts. It drops those of instances
// that have reported none for _peerLoadTTL.
func (b *Balancer) sumPeerLoads(now time.Time) {
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
	if at, ok := s.missing[text]; ok && now.Sub(at) < _missingTargetTTL {
		return false
	}
	if s.targets != nil {
		return s.targets[text]
	}

	return site.Holds(s.entry.Models, t)
}

// HasCopy reports whether a backend server of the service that is neither draining nor
// evacuated serves the model.
func (b *Balancer) HasCopy(service, model string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.services[service] {
		if !s.entry.Draining && !s.entry.Evacuated && !s.advice.leaving && s.serves(site.Target{Model: model}, model, now) {
			return true
		}
	}

	return false
}

// moreSpecific returns the reason that takes precedence: ReasonFull over
// ReasonNoCopy over ReasonNoHome over ReasonNoServer.
func moreSpecific(a, b Reason) Reason {
	order := map[Reason]int{
		ReasonNoServer: 0,
		ReasonNoHome:   1,
		ReasonNoCopy:   2,
		ReasonFull:     3,
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
