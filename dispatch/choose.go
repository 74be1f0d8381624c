package dispatch

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
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
	// _scoreSpread is the range of the random part of a score, in requests.
	_scoreSpread = 0.5
)

// candidate is a backend server that serves the target of a request.
type candidate struct {
	*server
	// id is the server's ID.
	id string
	// parts are the parts of estimate, the load before it is rounded, and maxLoad is the
	// load from which the backend server gets no more requests like this one.
	parts    loadParts
	estimate float64
	load     int
	maxLoad  float64
	avoided  bool
	limited  bool
	cold     bool
	coldLeft time.Duration
	// ratio is the latency ratio, and wait the time until a request may be sent.
	ratio float64
	wait  time.Duration
	rank  float64
	// excluded is the reason for which the request doesn't go there.
	excluded Exclusion
	// score is the expected wait without its random part.
	score float64
	// weight is that of admit, and isNewCopy reports whether the requests for the copy
	// have not been counted yet.
	weight    float64
	isNewCopy bool
}

// plan is all that a choice depends on, except for chance.
type plan struct {
	choice Choice
	// serving are the backend servers that serve the target, and candidates those of them
	// that the request may go to.
	serving    []candidate
	candidates []*candidate
	// part is the part of the request that counts as an attempt at each of serving, and
	// mean the mean rate of requests at the candidates.
	part float64
	mean float64
	// sharesFlows reports whether the request is placed only with the probability
	// choice.Acceptance, and isScarce whether the candidates are weighted by what they
	// can take.
	sharesFlows bool
	isScarce    bool
	// expected is the number of requests that are expected at the candidates within the
	// age of the counts.
	expected float64
}

// Choose selects the backend server with the shortest expected wait, in the
// subset that this instance prefers. A random part of the score spreads requests
// over equal servers, so that instances don't all choose the same one. Where other
// instances report flows, it limits the requests to what the servers can take (admit).
func (b *Balancer) Choose(req Request, now time.Time) Choice {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.plan(req, now)
	b.record(p, req, now)
	if len(p.candidates) == 0 {
		return p.choice
	}
	if p.sharesFlows && p.choice.Acceptance < 1 && b.rng.Float64() >= p.choice.Acceptance {
		p.choice.Reason = ReasonFull

		return p.choice
	}

	return b.take(p.choice, p.pick(b.rng))
}

// plan evaluates the backend servers for a request. It changes nothing, so that Explain
// shows what Choose decides.
func (b *Balancer) plan(req Request, now time.Time) *plan {
	p := &plan{choice: Choice{Reason: ReasonNoServer}}
	b.findCandidates(p, req, now)
	if len(p.candidates) == 0 {
		return p
	}
	if p.sharesFlows = b.sharesFlows(req); p.sharesFlows {
		b.admit(p, req, now)
		if p.isScarce {
			return p
		}
	}
	slices.SortFunc(p.candidates, func(a, b *candidate) int { return cmp.Compare(a.rank, b.rank) })
	n := max(_minSubset, (_instancesPerServer*p.choice.Candidates+b.limits.Instances-1)/max(b.limits.Instances, 1))
	for n < len(p.candidates) && !hasRoom(p.candidates[:n]) {
		n *= 2
	}
	n = min(n, len(p.candidates))
	exclude(p.candidates[n:], ExclusionNotPreferred)
	p.candidates = p.candidates[:n]
	stale := b.staleShare(req.Service)
	for _, c := range p.candidates {
		// As many requests as are expected to arrive have ended.
		replaced := stale * float64(c.load-c.running)
		p.expected += replaced
		c.score = c.expectedWait(float64(c.load)-replaced, req, now)
	}

	return p
}

// record counts the request as an attempt, and brings the state that plan read up to date.
func (b *Balancer) record(p *plan, req Request, now time.Time) {
	for i := range p.serving {
		c := &p.serving[i]
		if b.noteCold(c.server) > 0 {
			c.server.cold.allowance, c.server.cold.version = b.coldPart(c.server), b.cold.version
		}
		if c.limited {
			c.advice.limit = b.limitAt(c.server, now)
		}
		if req.Target.Model != "" {
			c.attempts[req.Precedence].add(p.part, now)
		}
		if c.isNewCopy {
			c.assumed = rate{
				perSecond: p.mean,
				at:        now,
			}
		}
	}
}

// take completes a choice with the chosen candidate, and counts the request against the
// allowances of its server.
func (b *Balancer) take(choice Choice, best *candidate) Choice {
	if best.limited {
		best.advice.limit.tokens--
	}
	if best.cold {
		choice.Cold = b.countCold(best.server)
	}
	entry := best.entry
	choice.Server = &entry
	choice.Reason = ReasonNone
	choice.Load = best.load
	choice.Avoided = best.avoided

	return choice
}

// hasRoom reports whether a candidate has a load below _subsetUtilization of its
// slots.
func hasRoom(candidates []*candidate) bool {
	return slices.ContainsFunc(candidates, func(c *candidate) bool {
		return float64(c.load) < _subsetUtilization*float64(max(c.entry.Slots, 1))
	})
}

// exclude sets the reason for which candidates are left out.
func exclude(candidates []*candidate, reason Exclusion) {
	for _, c := range candidates {
		c.excluded = reason
	}
}

// findCandidates finds the backend servers that can run a request, and the reason if
// there are none. One that is avoided is a candidate only if there is no other:
// when all are failing, the few that succeed are better than none. One with a limit is
// a candidate if the others have no room, so that what it takes is left for what only
// it serves, or if its last answer is so old that the limit may have ended. A cold
// one is a candidate if the others have no room.
func (b *Balancer) findCandidates(p *plan, req Request, now time.Time) {
	text := req.targetText()
	choice := &p.choice
	if req.Target.Model == "" {
		// Most servers of the service are candidates.
		p.serving = make([]candidate, 0, len(b.services[req.Service]))
	}
	for _, s := range b.services[req.Service] {
		if excluded := b.mismatch(s, req, text, now); excluded != ExclusionNone {
			choice.Reason = moreSpecific(choice.Reason, excluded.reason())

			continue
		}
		p.serving = append(p.serving, b.evaluate(s, req, now))
	}
	healthy := make([]*candidate, 0, len(p.serving))
	var limited, cold, avoided []*candidate
	for i := range p.serving {
		c := &p.serving[i]
		if c.excluded != ExclusionNone {
			choice.Reason = moreSpecific(choice.Reason, c.excluded.reason())
			if c.wait > 0 {
				choice.ColdFull = choice.ColdFull || c.cold
				if choice.Wait == 0 || c.wait < choice.Wait {
					choice.Wait = c.wait
				}
			}

			continue
		}
		switch {
		case c.avoided:
			avoided = append(avoided, c)
		case c.cold:
			cold = append(cold, c)
		case c.limited:
			limited = append(limited, c)
		default:
			healthy = append(healthy, c)
		}
	}
	choice.Candidates = len(p.serving)
	p.part = 1 / float64(max(len(p.serving), 1))
	for _, c := range limited {
		if hasRoom(healthy) && now.Sub(c.advice.limit.at) < _limitCheckInterval {
			c.excluded = ExclusionReserve
		}
	}
	healthy = append(healthy, slices.DeleteFunc(limited, func(c *candidate) bool { return c.excluded != ExclusionNone })...)
	if hasRoom(healthy) {
		exclude(cold, ExclusionReserve)
	} else {
		healthy = append(healthy, cold...)
	}
	if len(healthy) == 0 {
		p.candidates = avoided

		return
	}
	exclude(avoided, ExclusionAvoided)
	p.candidates = healthy
}

// evaluate returns a backend server that serves the target of a request, with the reason
// for which it can't take the request if there is one.
func (b *Balancer) evaluate(s *server, req Request, now time.Time) candidate {
	parts := b.loadParts(s, now)
	left := b.coldLeft(s)
	c := candidate{
		server:   s,
		id:       s.entry.ID,
		parts:    parts,
		estimate: parts.total(),
		maxLoad:  maxLoad(s.entry.Slots, req),
		avoided:  s.health.avoided(now),
		limited:  s.advice.limit.active,
		cold:     left > 0,
		coldLeft: left,
		ratio:    s.ratio(left),
		rank:     s.rank,
	}
	c.load = int(math.Round(c.estimate))
	if b.sharesFlows(req) {
		c.maxLoad *= _maxOverload
	}
	if s.entry.FailureDomain == req.FailureDomain {
		c.rank *= _sameDomainRank
	}
	if float64(c.load) >= c.maxLoad {
		c.excluded = ExclusionFull

		return c
	}
	c.wait, c.excluded = b.untilAllowed(s, now)

	return c
}

// targetText returns the name of the target; empty for a plain service.
func (r Request) targetText() string {
	if r.Target.Model == "" {
		return ""
	}

	return r.Target.String()
}

// mismatch returns the reason for which a backend server is none for a request, whatever
// its load; ExclusionNone if it is one.
func (b *Balancer) mismatch(s *server, req Request, text string, now time.Time) Exclusion {
	switch {
	case s.entry.Draining:
		return ExclusionDraining
	case s.entry.Evacuated:
		return ExclusionEvacuated
	case s.advice.leaving || s.gone:
		return ExclusionLeaving
	case contains(req.Exclude, s.entry.ID):
		return ExclusionTried
	case !b.isHome(s, req.Regions):
		return ExclusionNoHome
	case !s.serves(req.Target, text, now):
		return ExclusionNoCopy
	default:
		return ExclusionNone
	}
}

// pick returns one of the candidates, of which there must be one.
func (p *plan) pick(rng *rand.Rand) *candidate {
	weights := p.weights(rng)
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	at := rng.Float64() * sum
	for i, w := range weights {
		if at -= w; at < 0 {
			return p.candidates[i]
		}
	}

	return p.candidates[len(weights)-1]
}

// weights returns the weights with which the candidates are picked. The counts of
// other instances are outdated: if all instances chose the lowest score, they would
// flood one server until the next counts arrive. So it fills up the scores by the
// requests that are expected within the age of the counts, and picks each server
// with the probability of its part in that. With recent counts, or few requests,
// that is the lowest score.
func (p *plan) weights(rng *rand.Rand) []float64 {
	out := make([]float64, len(p.candidates))
	if p.isScarce {
		for i, c := range p.candidates {
			out[i] = c.weight
		}

		return out
	}
	best := 0
	scores := make([]float64, len(p.candidates))
	for i, c := range p.candidates {
		scores[i] = c.score + rng.Float64()*_scoreSpread
		if scores[i] < scores[best] {
			best = i
		}
	}
	level := fillLevel(slices.Clone(scores), p.expected)
	if level <= scores[best] {
		out[best] = 1

		return out
	}
	for i, score := range scores {
		out[i] = max(level-score, 0)
	}

	return out
}

// fillLevel returns the level up to which an amount fills the scores, as water fills
// a vessel with a floor of that shape. It sorts the scores, of which there must be
// one.
func fillLevel(scores []float64, amount float64) float64 {
	slices.Sort(scores)
	level, sum := scores[0], 0.0
	for n, score := range scores {
		if float64(n)*score-sum > amount {
			break
		}
		sum += score
		level = (amount + sum) / float64(n+1)
	}

	return level
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

// expectedWait returns the expected wait with the given load, in requests of mean latency.
// Lower is better.
func (c *candidate) expectedWait(load float64, req Request, now time.Time) float64 {
	score := (load + _baseLoad) * c.ratio * c.pace(now)
	if c.entry.FailureDomain == req.FailureDomain {
		score -= _sameDomainBonus
	}

	return score
}

// maxLoad returns the number of running and queued requests at which a backend
// server with the given slots gets no more requests like req.
func maxLoad(slots int, req Request) float64 {
	n := float64(max(slots, 1))
	switch {
	case req.Target.Model == "":
		return n * (1 + _plainQueuePerSlot)
	case req.Precedence == Precedences-1:
		return n * _lateMaxUtilization
	case req.Rank == 0:
		return n * _urgentMaxUtilization
	case req.Rank < _bulkRank:
		return n * _normalMaxUtilization
	default:
		return n * _bulkMaxUtilization
	}
}
