package placement

import (
	"cmp"
	"slices"

	"papayastair.dev/papayastair/wire"
)

// loadRequest is a request to load a copy of a model that has too few.
type loadRequest struct {
	model  *model
	reason Reason
	// unmet is the demand that exceeds the capacity, in tokens per second.
	unmet float64
}

// reasonRank returns the position of a load reason in the order of urgency; 0 is
// the most urgent.
func reasonRank(reason Reason) int {
	return slices.Index([]Reason{ReasonOnlyCopy, ReasonMinimum, ReasonSpare, ReasonDemand}, reason)
}

// priorityRank returns the position of a priority in the order of urgency; 0 is
// the most urgent.
func priorityRank(p wire.Priority) int {
	switch p {
	case wire.PriorityUrgent:
		return 0
	case wire.PriorityBatch:
		return 2
	default:
		return 1
	}
}

// loadRequests returns the copies to load, at most one request per model, the most
// urgent first.
func (r *round) loadRequests() []loadRequest {
	var requests []loadRequest
	for _, m := range r.models {
		if req, ok := r.loadRequestFor(m); ok {
			requests = append(requests, req)
		}
	}
	slices.SortStableFunc(requests, func(a, b loadRequest) int {
		return cmp.Or(
			cmp.Compare(reasonRank(a.reason), reasonRank(b.reason)),
			cmp.Compare(priorityRank(a.model.Priority), priorityRank(b.model.Priority)),
			cmp.Compare(b.unmet, a.unmet),
		)
	})

	return requests
}

// loadRequestFor returns the most urgent load request of a model and whether
// there is one.
func (r *round) loadRequestFor(m *model) (loadRequest, bool) {
	conforming := m.countCopies((*copyState).conforms)
	serving := m.countCopies((*copyState).serving)
	req := loadRequest{
		model: m,
		unmet: m.demand - m.attained,
	}
	underserved := req.unmet > 0 && req.unmet > minGain(m, r.meanCapacity())
	if !underserved {
		delete(r.underservedSince, m.Name)
	} else if r.underservedSince[m.Name].IsZero() {
		r.underservedSince[m.Name] = r.now
	}
	switch {
	case conforming == 0 && serving == 0:
		req.reason = ReasonOnlyCopy
	case conforming < m.MinCopies:
		req.reason = ReasonMinimum
	case m.conformingServers() < r.options.TargetCopies && (m.maxCopies == 0 || conforming < m.maxCopies):
		req.reason = ReasonSpare
	case underserved && r.now.Sub(r.underservedSince[m.Name]) >= r.options.DemandDelay && (m.maxCopies == 0 || conforming < m.maxCopies):
		req.reason = ReasonDemand
	default:
		return req, false
	}

	return req, true
}

// addLoads adds the loads that the limits on rate and concurrency allow, and the
// removals that free memory for them.
func (r *round) addLoads(requests []loadRequest) {
	r.unplaced = nil
	inFlight := 0
	for _, m := range r.models {
		inFlight += m.countCopies(func(c *copyState) bool { return c.State == wire.CopyStateLoading && c.reachable() })
	}
	for _, req := range requests {
		limit := r.options.MaxConcurrentLoads
		if req.reason != ReasonOnlyCopy || req.model.Priority == wire.PriorityBatch {
			limit = max(1, limit-_reservedLoadSlots)
		}
		if r.now.Before(r.retryAt[req.model.Name]) && req.reason != ReasonOnlyCopy {
			r.recordUnplaced(req)

			continue
		}
		for inFlight < limit && r.loadTokens >= 1 {
			gain, ok := r.placeCopy(req)
			if !ok {
				r.retryAt[req.model.Name] = r.now.Add(_placementRetryInterval)
				r.recordUnplaced(req)

				break
			}
			inFlight++
			r.loadTokens--
			req.unmet -= gain
			if req.reason != ReasonDemand || req.unmet <= minGain(req.model, r.meanCapacity()) {
				break
			}
		}
	}
}

func (r *round) recordUnplaced(req loadRequest) {
	if req.reason == ReasonDemand {
		return
	}
	r.unplaced = append(r.unplaced, Unplaced{
		Model:  req.model.Name,
		Reason: req.reason,
	})
}

// minGain returns the least demand, in tokens per second, that justifies loading
// another copy on an accelerator with the given capacity.
func minGain(m *model, capacity float64) float64 {
	return min(_minGainShare*m.demand, _minGainUtilization*capacity)
}

// candidate is an accelerator that can host a copy once the victims are removed.
type candidate struct {
	accel   *accelerator
	victims []*copyState
	// displacedDemand is the demand assigned to the victims, in tokens per
	// second.
	displacedDemand float64
	// cost is the score of the candidate; the lowest one is chosen.
	cost float64
}

// placeCopy adds the steps that load a copy on the accelerator with the lowest
// cost, and returns the demand that the copy is expected to serve. It returns
// false if no accelerator can host the copy.
func (r *round) placeCopy(req loadRequest) (float64, bool) {
	var best *candidate
	candidates := 0
	for _, a := range r.accelerators {
		cand := r.candidateOn(req, a)
		if cand == nil {
			continue
		}
		candidates++
		if best == nil || cand.cost < best.cost {
			best = cand
		}
	}
	if best == nil {
		return 0, false
	}
	for _, v := range best.victims {
		action := ActionDrop
		if !r.droppable(v) {
			action = ActionEvict
		}
		r.addRemoval(action, ReasonRoom, v)
	}
	m := req.model
	step := Step{
		Action: ActionLoad,
		Reason: req.reason,
		Model:  m.Name,
		Copy: wire.Copy{
			Server:      best.accel.server,
			Accelerator: best.accel.name,
			Version:     m.Version,
			MemoryBytes: m.MemoryBytes,
			State:       wire.CopyStateLoading,
		},
		Demand:     m.demand,
		Attained:   m.attained,
		Candidates: candidates,
		FreeBytes:  best.accel.memory - best.accel.committed,
	}
	r.steps = append(r.steps, step)
	r.addCopy(m, step.Copy)
	gain := max(0, min(req.unmet, best.accel.spareCapacity()))
	best.accel.load += gain

	return gain, true
}

// candidateOn returns the accelerator as a candidate for the requested copy, or nil
// if it cannot host the copy.
func (r *round) candidateOn(req loadRequest, a *accelerator) *candidate {
	m := req.model
	if !a.presence.Live || a.presence.Leaving || !m.allows(a.server) || m.footprint > a.memory {
		return nil
	}
	key := copyKey{
		model:       m.Name,
		server:      a.server,
		accelerator: a.name,
		version:     m.Version,
	}
	if _, avoided := r.failedLoads[key]; avoided || slices.ContainsFunc(a.copies, func(c *copyState) bool {
		return c.model == m && c.Version == m.Version
	}) {
		return nil
	}
	if req.reason == ReasonSpare && slices.ContainsFunc(m.copies, func(c *copyState) bool {
		return c.conforms() && c.Server == a.server
	}) {
		return nil
	}
	cand := &candidate{accel: a}
	if req.reason != ReasonDemand {
		if !r.selectVictims(req, cand) {
			return nil
		}
		cand.cost = r.cost(req, cand)

		return cand
	}
	minimum := minGain(m, a.capacity)
	if 2*a.spareCapacity() < minimum || !r.selectVictims(req, cand) {
		// Even with victims the gain would be too small, since they may carry at
		// most half of the gain.
		return nil
	}
	if gain := min(req.unmet, a.spareCapacity()+cand.displacedDemand); gain < minimum || cand.displacedDemand > gain/2 {
		return nil
	}
	cand.cost = r.cost(req, cand)

	return cand
}

// cost scores a candidate; lower is better. It prefers failure domains without
// copies of the model, then other servers, few and idle victims, a low load, and
// a tight fit that keeps large free blocks on other accelerators.
func (r *round) cost(req loadRequest, cand *candidate) float64 {
	const (
		perDomainCopy     = 100
		perServerCopy     = 50
		perVictim         = 20
		perDisplacedShare = 100
		perEviction       = 10000
		perLoad           = 40
		perWaste          = 5
	)
	cost := 0.0
	for _, c := range req.model.copies {
		if !c.conforms() {
			continue
		}
		if c.accel.domain == cand.accel.domain {
			cost += perDomainCopy
		}
		if c.Server == cand.accel.server {
			cost += perServerCopy
		}
	}
	for _, v := range cand.victims {
		cost += perVictim
		if !r.droppable(v) {
			cost += perEviction
		}
	}
	capacity := max(cand.accel.capacity, 1e-9)
	waste := cand.accel.memory - cand.accel.committed - req.model.footprint

	return cost + perDisplacedShare*cand.displacedDemand/capacity + perLoad*cand.accel.load/capacity +
		perWaste*float64(max(0, waste))/float64(cand.accel.memory)
}

// selectVictims adds copies to the candidate's victims until the requested copy
// fits, at most one per model. It returns false if the displaceable copies do not
// free enough memory.
func (r *round) selectVictims(req loadRequest, cand *candidate) bool {
	shortfall := req.model.footprint - (cand.accel.memory - cand.accel.committed)
	if shortfall <= 0 {
		return true
	}
	var victims []*copyState
	for _, c := range cand.accel.copies {
		if c.retained() && r.displaceable(c, req) {
			victims = append(victims, c)
		}
	}
	slices.SortStableFunc(victims, func(a, b *copyState) int {
		return cmp.Or(
			-compareBools(r.droppable(a), r.droppable(b)),
			cmp.Compare(priorityRank(b.model.Priority), priorityRank(a.model.Priority)),
			cmp.Compare(a.weight*a.model.demand, b.weight*b.model.demand),
		)
	})
	for _, v := range victims {
		if shortfall <= 0 {
			break
		}
		if slices.ContainsFunc(cand.victims, func(o *copyState) bool { return o.model == v.model }) {
			// displaceable holds for each of the model's copies on its own, but
			// not for both.
			continue
		}
		cand.victims = append(cand.victims, v)
		cand.displacedDemand += v.weight * v.model.demand
		shortfall -= v.footprint()
	}

	return shortfall <= 0
}

// displaceable reports whether a copy may be removed to make room for the request.
// A request for the only copy of a model may remove a copy whose model is served
// elsewhere or has a lower priority. The other requests leave at least the minimum
// number of servers that serve a model. Requests for a spare copy or for demand
// also leave the target number, and those for demand do not remove recent copies.
// Copies of the requested model itself are removed only if they do not conform to
// the settings.
func (r *round) displaceable(c *copyState, req loadRequest) bool {
	remaining := c.model.serversWithout(c)
	if c.model == req.model {
		return remaining > 0 && !c.conforms() && (req.reason == ReasonMinimum || req.reason == ReasonSpare)
	}
	switch req.reason {
	case ReasonOnlyCopy:
		return remaining > 0 || priorityRank(c.model.Priority) > priorityRank(req.model.Priority)
	case ReasonMinimum:
		return remaining > 0 && remaining >= c.model.MinCopies
	case ReasonSpare:
		return remaining >= max(c.model.MinCopies, r.options.TargetCopies)
	default:
		recent := r.stateAge(c.model.Name, c.Copy, r.now) < r.options.MinCopyAge

		return remaining >= max(c.model.MinCopies, r.options.TargetCopies) && !recent
	}
}

func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}
