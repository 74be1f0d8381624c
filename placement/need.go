package placement

import (
	"cmp"
	"slices"

	"papayastair.dev/papayastair/wire"
)

// need is a copy that a model lacks.
type need struct {
	model  *model
	reason Reason
	// unmet is the demand that finds no capacity, in tokens a second.
	unmet float64
}

// urgency orders reasons of loads; a smaller one comes first.
func urgency(reason Reason) int {
	return slices.Index([]Reason{ReasonOnly, ReasonMinimum, ReasonSpare, ReasonDemand}, reason)
}

// rank orders priorities; a smaller one comes first.
func rank(p wire.Priority) int {
	switch p {
	case wire.PriorityUrgent:
		return 0
	case wire.PriorityBatch:
		return 2
	default:
		return 1
	}
}

// needs are the copies to load, the most urgent first.
func (r *round) needs() []need {
	var needs []need
	for _, m := range r.models {
		if n, ok := r.needOf(m); ok {
			needs = append(needs, n)
		}
	}
	slices.SortStableFunc(needs, func(a, b need) int {
		return cmp.Or(
			cmp.Compare(urgency(a.reason), urgency(b.reason)),
			cmp.Compare(rank(a.model.Priority), rank(b.model.Priority)),
			cmp.Compare(b.unmet, a.unmet),
		)
	})

	return needs
}

func (r *round) needOf(m *model) (need, bool) {
	good := m.count((*copyState).good)
	serving := m.count((*copyState).serving)
	n := need{
		model: m,
		unmet: m.demand - m.attained,
	}
	short := n.unmet > 0 && n.unmet > leastGain(m, r.meanCapacity())
	if !short {
		delete(r.short, m.Name)
	} else if r.short[m.Name].IsZero() {
		r.short[m.Name] = r.now
	}
	switch {
	case good == 0 && serving == 0:
		n.reason = ReasonOnly
	case good < m.MinCopies:
		n.reason = ReasonMinimum
	case m.goodServers() < r.options.SpareCopies && (m.maxCopies == 0 || good < m.maxCopies):
		n.reason = ReasonSpare
	case short && r.now.Sub(r.short[m.Name]) >= r.options.DemandHold && (m.maxCopies == 0 || good < m.maxCopies):
		n.reason = ReasonDemand
	default:
		return n, false
	}

	return n, true
}

// load adds the loads that the weight store's pace allows, and the drops that
// make room for them.
func (r *round) load(needs []need) {
	r.unplaced = nil
	inFlight := 0
	for _, m := range r.models {
		inFlight += m.count(func(c *copyState) bool { return c.State == wire.CopyStateLoading && c.live() })
	}
	for _, n := range needs {
		limit := r.options.LoadsAtOnce
		if n.reason != ReasonOnly || n.model.Priority == wire.PriorityBatch {
			limit = max(1, limit-_reservedLoads)
		}
		if r.now.Before(r.retry[n.model.Name]) && n.reason != ReasonOnly {
			r.noteUnplaced(n)

			continue
		}
		for inFlight < limit && r.tokens >= 1 {
			gain, ok := r.place(n)
			if !ok {
				r.retry[n.model.Name] = r.now.Add(_retryPlace)
				r.noteUnplaced(n)

				break
			}
			inFlight++
			r.tokens--
			n.unmet -= gain
			if n.reason != ReasonDemand || n.unmet <= leastGain(n.model, r.meanCapacity()) {
				break
			}
		}
	}
}

func (r *round) noteUnplaced(n need) {
	if n.reason == ReasonDemand {
		return
	}
	r.unplaced = append(r.unplaced, Unplaced{
		Model:  n.model.Name,
		Reason: n.reason,
	})
}

// leastGain is the least demand, in tokens a second, that a copy must carry
// to be worth its load on an accelerator of this capacity.
func leastGain(m *model, capacity float64) float64 {
	return min(_leastGain*m.demand, _leastUse*capacity)
}

// site is an accelerator that can take a copy, after drops.
type site struct {
	at      *accelerator
	victims []*copyState
	// lost is the demand that the victims carry, in tokens a second.
	lost float64
	// cost orders sites; the least is taken.
	cost float64
}

// place adds the steps that put a copy on the best accelerator, and returns
// the demand that it will carry. It reports false when there is none.
func (r *round) place(n need) (float64, bool) {
	var best *site
	candidates := 0
	for _, a := range r.accelerators {
		s := r.siteAt(n, a)
		if s == nil {
			continue
		}
		candidates++
		if best == nil || s.cost < best.cost {
			best = s
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
		r.add(action, ReasonRoom, v)
	}
	m := n.model
	step := Step{
		Action: ActionLoad,
		Reason: n.reason,
		Model:  m.Name,
		Copy: wire.Copy{
			Server:      best.at.server,
			Accelerator: best.at.name,
			Version:     m.Version,
			MemoryBytes: m.MemoryBytes,
			State:       wire.CopyStateLoading,
		},
		Demand:     m.demand,
		Attained:   m.attained,
		Candidates: candidates,
		FreeBytes:  best.at.memory - best.at.committed,
	}
	r.steps = append(r.steps, step)
	r.addCopy(m, step.Copy)
	gain := max(0, min(n.unmet, best.at.spare()))
	best.at.load += gain

	return gain, true
}

// siteAt says how an accelerator could take the copy, or returns nil.
func (r *round) siteAt(n need, a *accelerator) *site {
	m := n.model
	if !a.presence.Live || a.presence.Leaving || !m.allows(a.server) || m.footprint > a.memory {
		return nil
	}
	key := copyKey{
		model:       m.Name,
		server:      a.server,
		accelerator: a.name,
		version:     m.Version,
	}
	if _, avoided := r.avoid[key]; avoided || slices.ContainsFunc(a.copies, func(c *copyState) bool {
		return c.model == m && c.Version == m.Version
	}) {
		return nil
	}
	if n.reason == ReasonSpare && slices.ContainsFunc(m.copies, func(c *copyState) bool {
		return c.good() && c.Server == a.server
	}) {
		return nil
	}
	s := &site{at: a}
	if n.reason != ReasonDemand {
		if !r.makeRoom(n, s) {
			return nil
		}
		s.cost = r.cost(n, s)

		return s
	}
	least := leastGain(m, a.capacity)
	if 2*a.spare() < least || !r.makeRoom(n, s) {
		// Victims may carry at most half of what is gained.
		return nil
	}
	if gain := min(n.unmet, a.spare()+s.lost); gain < least || s.lost > gain/2 {
		return nil
	}
	s.cost = r.cost(n, s)

	return s
}

// cost weighs a site: first other failure domains than those of the model's
// copies, then other servers, few and idle victims, a low load, and a tight
// fit that leaves large free blocks elsewhere.
func (r *round) cost(n need, s *site) float64 {
	const (
		perDomainCopy = 100
		perServerCopy = 50
		perVictim     = 20
		perLostShare  = 100
		perEviction   = 10000
		perLoad       = 40
		perWaste      = 5
	)
	cost := 0.0
	for _, c := range n.model.copies {
		if !c.good() {
			continue
		}
		if c.at.domain == s.at.domain {
			cost += perDomainCopy
		}
		if c.Server == s.at.server {
			cost += perServerCopy
		}
	}
	for _, v := range s.victims {
		cost += perVictim
		if !r.droppable(v) {
			cost += perEviction
		}
	}
	capacity := max(s.at.capacity, 1e-9)
	waste := s.at.memory - s.at.committed - n.model.footprint

	return cost + perLostShare*s.lost/capacity + perLoad*s.at.load/capacity +
		perWaste*float64(max(0, waste))/float64(s.at.memory)
}

// makeRoom chooses copies to drop until the need fits. It reports false when
// what may be dropped is not enough.
func (r *round) makeRoom(n need, s *site) bool {
	lacking := n.model.footprint - (s.at.memory - s.at.committed)
	if lacking <= 0 {
		return true
	}
	var victims []*copyState
	for _, c := range s.at.copies {
		if c.lasting() && r.yields(c, n) {
			victims = append(victims, c)
		}
	}
	slices.SortStableFunc(victims, func(a, b *copyState) int {
		return cmp.Or(
			-compareBools(r.droppable(a), r.droppable(b)),
			cmp.Compare(rank(b.model.Priority), rank(a.model.Priority)),
			cmp.Compare(a.weight*a.model.demand, b.weight*b.model.demand),
		)
	})
	for _, v := range victims {
		if lacking <= 0 {
			break
		}
		if slices.ContainsFunc(s.victims, func(o *copyState) bool { return o.model == v.model }) {
			// Each alone may go, but not both.
			continue
		}
		s.victims = append(s.victims, v)
		s.lost += v.weight * v.model.demand
		lacking -= v.footprint()
	}

	return lacking <= 0
}

// yields says whether a copy may be dropped for a need. An only copy needs
// another copy that serves, or a model of lower priority; the less urgent
// needs leave each model its minimum and its spare, and leave recent copies.
func (r *round) yields(c *copyState, n need) bool {
	left := c.model.serversWithout(c)
	if c.model == n.model {
		return left > 0 && !c.good() && (n.reason == ReasonMinimum || n.reason == ReasonSpare)
	}
	switch n.reason {
	case ReasonOnly:
		return left > 0 || rank(c.model.Priority) > rank(n.model.Priority)
	case ReasonMinimum:
		return left > 0 && left >= c.model.MinCopies
	case ReasonSpare:
		return left >= max(c.model.MinCopies, r.options.SpareCopies)
	default:
		held := r.age(c.model.Name, c.Copy, r.now) < r.options.CopyHold

		return left >= max(c.model.MinCopies, r.options.SpareCopies) && !held
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
