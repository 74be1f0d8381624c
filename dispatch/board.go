package dispatch

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"papayastair.dev/papayastair/site"
)

const (
	// _loadMemory is how long another instance's counts are believed. Longer
	// than a few bulletins, so that a lost one changes nothing.
	_loadMemory = 3 * time.Second
	// _urgentOverfill, _normalOverfill and _bulkFill are how full a model
	// engine may be, as a part of its slots, for a request to be sent there:
	// engines order their own queues, but what waits there can't go elsewhere.
	_urgentOverfill = 1.15
	_normalOverfill = 1.0
	_bulkFill       = 0.8
	// _bulkRank is the first rank that yields places to more urgent ones.
	_bulkRank = 2
	// _plainQueue is how many requests a slot of a plain service may have
	// waiting.
	_plainQueue = 3.0
	// _domainBonus is what a backend server in the caller's failure domain
	// is ahead by, in places.
	_domainBonus = 1.5
	// _baseLoad is what an empty backend server counts as, so that a slow one
	// is left alone while faster ones have few requests.
	_baseLoad = 2.0
)

// Ask is what a request needs.
type Ask struct {
	// Service is the service to run it.
	Service string
	// Target is the model and adapter, empty for a plain service.
	Target site.Target
	// Rank is its urgency, 0 first.
	Rank int
	// FailureDomain is that of the asking instance.
	FailureDomain string
	// Exclude names backend servers that it has been sent to.
	Exclude []string
}

// Reason says why there is no place.
type Reason string

// Reasons without a place.
const (
	// ReasonNone means that a place was found.
	ReasonNone Reason = ""
	// ReasonNoServer means that the service has no backend server in use.
	ReasonNoServer Reason = "NoServer"
	// ReasonNoCopy means that no backend server in use holds the target.
	ReasonNoCopy Reason = "NoCopy"
	// ReasonFull means that all that hold it are full.
	ReasonFull Reason = "Full"
)

// Choice is the outcome of Choose.
type Choice struct {
	// Server is the choice; nil if there is none.
	Server *site.BackendServer
	// Reason says why there is none.
	Reason Reason
	// Candidates is how many backend servers were weighed.
	Candidates int
	// Load is how many requests run at the choice, as far as is known.
	Load int
	// Avoided says that the choice has failed lately, as all others have.
	Avoided bool
}

// server is what the board knows of one backend server.
type server struct {
	entry site.BackendServer
	gone  bool
	// told are the targets that the steward says it holds, nil if it doesn't.
	told map[string]bool
	// missing are targets that it has refused as not held, with the time.
	missing map[string]time.Time
	// unreachable counts failed connections in a row, the last at
	// unreachableAt.
	unreachable   int
	unreachableAt time.Time
	running       int
	runs          map[*Run]struct{}
	health        health
	// pace is how long it takes, as a multiple of what is usual.
	pace float64
}

// peerLoad is what another instance runs.
type peerLoad struct {
	at     time.Time
	counts map[string]int
}

// Board is the view of all backend servers. Use New.
type Board struct {
	mu       sync.Mutex
	rng      *rand.Rand
	servers  map[string]*server
	services map[string][]*server
	peers    map[string]peerLoad
	loads    map[string]int
	budgets  map[string]*budget
	// means are the usual paces of models and services.
	means  map[string]float64
	limits RetryLimits
}

// New returns an empty board. rng breaks ties.
func New(rng *rand.Rand, limits RetryLimits) *Board {
	return &Board{
		rng:      rng,
		servers:  map[string]*server{},
		services: map[string][]*server{},
		peers:    map[string]peerLoad{},
		loads:    map[string]int{},
		budgets:  map[string]*budget{},
		means:    map[string]float64{},
		limits:   limits,
	}
}

// SetServer takes a backend server's entry, new or changed.
func (b *Board) SetServer(entry site.BackendServer) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.servers[entry.ID]
	if s == nil || s.entry.Born != entry.Born {
		// What a former start ran counts there.
		s = &server{
			pace:    1,
			runs:    map[*Run]struct{}{},
			missing: map[string]time.Time{},
		}
		b.servers[entry.ID] = s
	}
	s.entry = entry
	s.gone = false
	b.regroup()
}

// RemoveServer forgets a backend server.
func (b *Board) RemoveServer(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.servers, id)
	b.regroup()
}

// Servers returns the entries of all backend servers.
func (b *Board) Servers() []site.BackendServer {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]site.BackendServer, 0, len(b.servers))
	for _, s := range b.servers {
		out = append(out, s.entry)
	}

	return out
}

// SetTold takes what the steward says a backend server holds; nil targets
// mean that it says nothing.
func (b *Board) SetTold(id string, targets []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.servers[id]
	if s == nil {
		return
	}
	if targets == nil {
		s.told = nil

		return
	}
	s.told = make(map[string]bool, len(targets))
	for _, t := range targets {
		s.told[t] = true
	}
}

// SetPeer takes the counts of requests that another instance runs.
func (b *Board) SetPeer(name string, counts map[string]int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers[name] = peerLoad{
		at:     now,
		counts: counts,
	}
	clear(b.loads)
	for name, p := range b.peers {
		if now.Sub(p.at) > _loadMemory {
			delete(b.peers, name)

			continue
		}
		for id, n := range p.counts {
			b.loads[id] += n
		}
	}
}

// Running counts the requests that run at each backend server from here.
func (b *Board) Running() map[string]int {
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

func (b *Board) regroup() {
	clear(b.services)
	for _, s := range b.servers {
		b.services[s.entry.Service] = append(b.services[s.entry.Service], s)
	}
}

// holds says whether the server serves the target, by the steward's word if
// there is one, else by its own entry.
func (s *server) holds(t site.Target, text string, now time.Time) bool {
	if t.Model == "" {
		return true
	}
	if at, ok := s.missing[text]; ok {
		if now.Sub(at) < _missingMemory {
			return false
		}
		delete(s.missing, text)
	}
	if s.told != nil {
		return s.told[text]
	}

	return site.Holds(s.entry.Models, t)
}

// Choose picks the backend server where a request waits least, as far as is
// known here, and spreads equals at random so that instances don't follow one
// another.
func (b *Board) Choose(ask Ask, now time.Time) Choice {
	b.mu.Lock()
	defer b.mu.Unlock()
	all := b.services[ask.Service]
	text := ""
	if ask.Target.Model != "" {
		text = ask.Target.String()
	}
	choice := Choice{Reason: ReasonNoServer}
	best := math.Inf(1)
	bestAvoided := true
	for _, s := range all {
		if s.entry.Draining || s.gone || contains(ask.Exclude, s.entry.ID) {
			continue
		}
		choice.Reason = worse(choice.Reason, ReasonNoCopy)
		if !s.holds(ask.Target, text, now) {
			continue
		}
		choice.Candidates++
		load := s.running + b.loads[s.entry.ID]
		if float64(load) >= limit(s.entry.Slots, ask) {
			choice.Reason = worse(choice.Reason, ReasonFull)

			continue
		}
		// One that is avoided is asked only if there is no other: where all
		// fail, the answers that come are better than none.
		avoided := s.health.avoided(now)
		if avoided && !bestAvoided {
			continue
		}
		if score := b.score(s, load, ask); score < best || bestAvoided && !avoided {
			best = score
			bestAvoided = avoided
			choice.Server = &s.entry
			choice.Load = load
			choice.Avoided = avoided
		}
	}
	if choice.Server == nil {
		return choice
	}
	entry := *choice.Server
	choice.Server = &entry
	choice.Reason = ReasonNone

	return choice
}

// score is the expected wait in places; the lower the better.
func (b *Board) score(s *server, load int, ask Ask) float64 {
	score := (float64(load) + _baseLoad) * s.pace
	if s.entry.FailureDomain == ask.FailureDomain {
		score -= _domainBonus
	}

	return score + b.rng.Float64()*0.5
}

// limit is how many requests may run or wait at a backend server for one more
// to be sent there.
func limit(slots int, ask Ask) float64 {
	n := float64(max(slots, 1))
	switch {
	case ask.Target.Model == "":
		return n * (1 + _plainQueue)
	case ask.Rank == 0:
		return n * _urgentOverfill
	case ask.Rank < _bulkRank:
		return n * _normalOverfill
	default:
		return n * _bulkFill
	}
}

// worse orders the reasons by how much they say.
func worse(a, b Reason) Reason {
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
