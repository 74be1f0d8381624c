package dispatch

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// _explainDraws is the number of draws of the random part of the scores from which
// Explain derives probabilities. Their standard error is below 0.02.
const _explainDraws = 1000

// Exclusion is the reason for which a request does not go to a backend server.
type Exclusion string

// Reasons for not sending a request to a backend server.
const (
	// ExclusionNone means that the request may go there.
	ExclusionNone Exclusion = ""
	// ExclusionDraining, ExclusionEvacuated and ExclusionLeaving mean that the entry of
	// the backend server, an evacuation or one of its answers forbids new requests.
	ExclusionDraining  Exclusion = "Draining"
	ExclusionEvacuated Exclusion = "Evacuated"
	ExclusionLeaving   Exclusion = "Leaving"
	// ExclusionTried means that the request was already sent there.
	ExclusionTried Exclusion = "Tried"
	// ExclusionNoHome means that the backend server is outside of the request's regions.
	ExclusionNoHome Exclusion = "NoHome"
	// ExclusionNoCopy means that the backend server doesn't serve the target.
	ExclusionNoCopy Exclusion = "NoCopy"
	// ExclusionFull means that the backend server is at the load limit of the request.
	ExclusionFull Exclusion = "Full"
	// ExclusionPaused, ExclusionLimited and ExclusionCold mean that the backend server
	// wants no requests of this instance for a while, or that this instance has used up its
	// part of the server's limit or of what the cold server can take.
	ExclusionPaused  Exclusion = "Paused"
	ExclusionLimited Exclusion = "Limited"
	ExclusionCold    Exclusion = "Cold"
	// ExclusionReserve means that the backend server has a limit or is cold, and others
	// have room.
	ExclusionReserve Exclusion = "Reserve"
	// ExclusionAvoided means that the backend server is avoided after failures.
	ExclusionAvoided Exclusion = "Avoided"
	// ExclusionNotPreferred means that the backend server is outside of the subset that
	// this instance prefers.
	ExclusionNotPreferred Exclusion = "NotPreferred"
)

// reason returns the reason for finding no backend server to which x contributes.
func (x Exclusion) reason() Reason {
	switch x {
	case ExclusionDraining, ExclusionEvacuated, ExclusionLeaving, ExclusionTried:
		return ReasonNoServer
	case ExclusionNoHome:
		return ReasonNoHome
	case ExclusionNoCopy:
		return ReasonNoCopy
	case ExclusionFull, ExclusionPaused, ExclusionLimited, ExclusionCold:
		return ReasonFull
	default:
		return ReasonNone
	}
}

// Candidate is a backend server of the requested service, as Choose sees it. The load and
// what follows from it is only given if the server serves the target.
type Candidate struct {
	// ID, Service, FailureDomain and Slots are those of the backend server's entry.
	ID            string
	Service       string
	FailureDomain string
	Slots         int
	// Excluded is the reason for which the request does not go there, and Probability the
	// probability with which it does.
	Excluded    Exclusion
	Probability float64
	// Load is the estimated number of requests there, and MaxLoad the one from which the
	// request does not go there.
	Load    float64
	MaxLoad float64
	// Own are the running requests of this instance, Others those that the other instances
	// last reported, OthersChange is how these are expected to have changed since, and
	// Unseen the mean number of requests that nobody reports. Header is what the server
	// gave in its latest answer, with what this instance has begun and ended there since;
	// it counts with HeaderWeight.
	Own          float64
	Others       float64
	OthersChange float64
	Unseen       float64
	Header       float64
	HeaderWeight float64
	// CountsAgeMS is the time since the oldest report in Others, HeaderAgeMS that since the
	// latest answer with a load; -1 if there is none.
	CountsAgeMS int64
	HeaderAgeMS int64
	// LatencyRatio and Pace are the factors on the expected wait.
	LatencyRatio float64
	Pace         float64
	// Draining, Evacuated, Avoided, Limited and Cold are the states of the server, and
	// PausedMS and ColdMS the times for which it stays paused and cold.
	Draining  bool
	Evacuated bool
	Avoided   bool
	Limited   bool
	Cold      bool
	PausedMS  int64
	ColdMS    int64
	// WaitMS is the time until it may get a request if it is paused, limited or cold.
	WaitMS int64
	// Score is the expected wait without its random part, in requests; lower is better.
	// Weight replaces it if Explanation.Scarce is set.
	Score  float64
	Weight float64
}

// Explanation is what Choose would decide, with all figures.
type Explanation struct {
	// Placed is the probability with which a backend server is chosen, and Reason the
	// reason if none is.
	Placed float64
	Reason Reason
	// Candidates are all backend servers of the service, sorted by ID, and Serving is the
	// number of those that serve the target.
	Candidates []Candidate
	Serving    int
	// Wait, ColdFull and Acceptance are those of Choice.
	Wait       time.Duration `json:"-"`
	ColdFull   bool
	Acceptance float64
	// Scarce reports whether the candidates are picked by their weights, not by scores.
	Scarce bool
}

// Explain returns what Choose would decide. It changes nothing: no attempt, token or
// allowance is counted.
func (b *Balancer) Explain(req Request, now time.Time) Explanation {
	p, out := b.explain(req, now)
	if len(p.candidates) == 0 {
		return out
	}
	out.Placed = 1
	out.Reason = ReasonNone
	if p.sharesFlows && p.choice.Acceptance < 1 {
		out.Placed = p.choice.Acceptance
		out.Reason = ReasonFull
	}
	probabilities := p.probabilities()
	for i := range out.Candidates {
		out.Candidates[i].Probability = out.Placed * probabilities[out.Candidates[i].ID]
	}

	return out
}

// explain returns the plan for a request and the figures of all backend servers.
func (b *Balancer) explain(req Request, now time.Time) (*plan, Explanation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.plan(req, now)
	out := Explanation{
		Reason:     p.choice.Reason,
		Serving:    p.choice.Candidates,
		Wait:       p.choice.Wait,
		ColdFull:   p.choice.ColdFull,
		Acceptance: p.choice.Acceptance,
		Scarce:     p.isScarce,
	}
	for i := range p.serving {
		out.Candidates = append(out.Candidates, b.figures(&p.serving[i], now))
	}
	for _, s := range b.services[req.Service] {
		if excluded := b.mismatch(s, req, req.targetText(), now); excluded != ExclusionNone {
			out.Candidates = append(out.Candidates, b.figures(&candidate{
				server:   s,
				excluded: excluded,
				coldLeft: b.coldLeft(s),
				avoided:  s.health.avoided(now),
				limited:  s.advice.limit.active,
			}, now))
		}
	}
	slices.SortFunc(out.Candidates, func(a, b Candidate) int { return strings.Compare(a.ID, b.ID) })

	return p, out
}

// figures returns a candidate with its figures.
func (b *Balancer) figures(c *candidate, now time.Time) Candidate {
	out := Candidate{
		ID:            c.entry.ID,
		Service:       c.entry.Service,
		FailureDomain: c.entry.FailureDomain,
		Slots:         c.entry.Slots,
		Excluded:      c.excluded,
		Load:          c.estimate,
		MaxLoad:       c.maxLoad,
		Own:           c.parts.own,
		Others:        c.parts.others,
		OthersChange:  c.parts.change,
		Unseen:        c.parts.unseen,
		Header:        c.parts.header,
		HeaderWeight:  c.parts.fresh,
		CountsAgeMS:   -1,
		HeaderAgeMS:   -1,
		LatencyRatio:  c.ratio,
		Pace:          c.pace(now),
		Draining:      c.entry.Draining || c.advice.leaving,
		Evacuated:     c.entry.Evacuated,
		Avoided:       c.avoided,
		Limited:       c.limited,
		Cold:          c.coldLeft > 0,
		PausedMS:      max(c.advice.pausedUntil.Sub(now), 0).Milliseconds(),
		ColdMS:        c.coldLeft.Milliseconds(),
		WaitMS:        c.wait.Milliseconds(),
		Score:         c.score,
		Weight:        c.weight,
	}
	for _, peer := range b.peers {
		if _, ok := peer.counts[c.entry.ID]; ok {
			out.CountsAgeMS = max(out.CountsAgeMS, now.Sub(peer.at).Milliseconds())
		}
	}
	if !c.observed.at.IsZero() {
		out.HeaderAgeMS = now.Sub(c.observed.at).Milliseconds()
	}

	return out
}

// probabilities returns the probabilities with which the candidates are picked, by ID, if
// one is.
func (p *plan) probabilities() map[string]float64 {
	rng := rand.New(rand.NewPCG(1, 2))
	draws := _explainDraws
	if p.isScarce {
		draws = 1
	}
	out := map[string]float64{}
	for range draws {
		weights := p.weights(rng)
		sum := 0.0
		for _, w := range weights {
			sum += w
		}
		for i, w := range weights {
			if sum > 0 {
				out[p.candidates[i].id] += w / sum / float64(draws)
			}
		}
	}

	return out
}
