package steward

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"papayastair.dev/papayastair/site"
)

const (
	// The costs below are relative to one request on a copy at its target
	// utilization.

	// _targetUtilization is the fraction of an engine's slots that one copy
	// should use at most.
	_targetUtilization = 0.6
	// _unservedRequestCost is the cost of a request that finds no slot, and
	// _unservedModelCost the cost of such a model without any requests now. If none
	// came within _askedWindow, it is _unaskedModelCost: where there is no room for
	// a copy of each model, those that are asked for come first.
	_unservedRequestCost = 10.0
	_unservedModelCost   = 50.0
	_unaskedModelCost    = 15.0
	_askedWindow         = 30 * time.Second
	// _minInitialCopies is the number of copies that a model keeps before there is
	// any demand, if it has as many, or half of those that it was found with if
	// that is more: where the operators have put them says what they expect.
	_minInitialCopies = 2
	// _redundancyCost is the cost, divided by the number of copies, of the risk
	// of losing one. It applies to models that urgent requests have used within
	// _urgentWindow.
	_redundancyCost = 7.0
	// _starvedAdapterCost is the cost of an adapter that found all adapter
	// slots in use, and _starvedDecay the factor by which the number of such
	// adapters shrinks with each update, about five times a second.
	_starvedAdapterCost = 6.0
	_starvedDecay       = 0.8
	// _urgentWindow is the time after an urgent request during which its model
	// counts as urgent.
	_urgentWindow = time.Minute
	// The gain of a copy must exceed _swapFactor times the loss of the copy that
	// it replaces, plus _swapBase, because a load takes seconds and uses the
	// bandwidth of the weight store.
	_swapFactor = 2.5
	_swapBase   = 1.5
	// _minSpareGain is the gain above which a copy that no request needs is loaded
	// into free memory. Up to _minSpareCopies copies of a model are loaded
	// regardless of their gain.
	_minSpareGain   = 0.2
	_minSpareCopies = 2
	// _freeShareWeight is the weight of a server's free slots in the choice of one with
	// free memory. _minFreeShare is the least share of a server's slots that a copy
	// counts as getting.
	_freeShareWeight = 2.0
	_minFreeShare    = 0.1
	// _localWeightsFactor reduces the loss of a replaced copy on a server that has
	// the new model's weights locally, so that such servers are preferred.
	_localWeightsFactor = 0.7
	// _otherShardFactor reduces the gain of a copy in any shard but the one
	// with the fewest copies, so that the stewards don't all load the same
	// model.
	_otherShardFactor = 0.6
	// _demandRise and _demandFall are the smoothing factors for a rising and a
	// falling number of requests. They apply per bulletin, of which five arrive
	// each second, and more while adapters are loaded or unloaded. Smoothing by
	// time instead led to more refused requests under heavy load.
	_demandRise = 0.6
	_demandFall = 0.03
	// _trendSmoothing smooths the baseline of the trend over about two seconds.
	// _trendHorizon extrapolates the trend by that many times this span, until
	// a copy ordered now can serve.
	_trendSmoothing = 0.14
	_trendHorizon   = 4.0
	// _minResidency is the minimum time that a copy stays loaded, so that two
	// models don't alternately evict each other.
	_minResidency = 5 * time.Second
)

// Demand is the demand for one model or adapter, over all instances.
type Demand struct {
	// Requests is the number of running and waiting requests, and Running the
	// number of running ones.
	Requests float64
	Running  int
	// PerSecond is the arrival rate of requests.
	PerSecond float64
	// Urgent is set if there are requests of an urgent rank.
	Urgent bool
}

// demandEstimate is the smoothed demand for one model.
type demandEstimate struct {
	requests float64
	// baseline is the number of requests about two seconds ago.
	baseline float64
	urgentAt time.Time
	askedAt  time.Time
	// starved counts recent adapters that found all adapter slots in use. It
	// decays with each update.
	starved float64
	// initial is the largest number of copies before there was any demand for the
	// service.
	initial int
	seen    bool
}

func (d *demandEstimate) update(w Demand, now time.Time) {
	if !d.seen {
		// The first sample has no trend.
		d.requests = w.Requests
		d.baseline = w.Requests
	}
	if w.Requests > d.requests {
		d.requests += _demandRise * (w.Requests - d.requests)
	} else {
		d.requests += _demandFall * (w.Requests - d.requests)
	}
	d.starved *= _starvedDecay
	d.baseline += _trendSmoothing * (d.requests - d.baseline)
	if w.Requests > 0 || w.PerSecond > 0 {
		d.askedAt = now
		d.seen = true
		if w.Urgent {
			d.urgentAt = now
		}
	}
}

// isAsked reports whether the model was requested within _askedWindow.
func (d *demandEstimate) isAsked(now time.Time) bool {
	return !d.askedAt.IsZero() && now.Sub(d.askedAt) < _askedWindow
}

// forecast returns the expected number of requests at the time when a copy
// ordered now can serve.
func (d *demandEstimate) forecast() float64 {
	return d.requests + max(0, d.requests-d.baseline)*_trendHorizon
}

// cost returns the cost of serving the model with k copies: overload, the risk
// of losing a copy, and starved adapters, or the cost of having no copy at all.
func (d *demandEstimate) cost(k, slots int, now time.Time) float64 {
	r := d.forecast()
	if k == 0 && !d.isAsked(now) {
		return _unaskedModelCost
	}
	if k == 0 {
		return _unservedModelCost + _unservedRequestCost*r
	}
	// Those that find a slot are slower the fewer slots are free. Beyond, each copy
	// serves as many more as it has slots, however many there are.
	places := float64(k) * float64(max(slots, 1))
	placed := min(r, places)
	utilization := placed / places / _targetUtilization
	t := placed*utilization*utilization + (r-placed)*_unservedRequestCost
	if !d.urgentAt.IsZero() && now.Sub(d.urgentAt) < _urgentWindow {
		t += _redundancyCost / float64(k)
	}
	t += _starvedAdapterCost * d.starved / float64(k)

	return t
}

// gain returns the reduction of the cost by one copy more than k.
func (d *demandEstimate) gain(k, slots int, now time.Time) float64 {
	return d.cost(k, slots, now) - d.cost(k+1, slots, now)
}

// modelChange is the load or unload of one model on one backend server.
type modelChange struct {
	server *serverState
	load   bool
	model  string
	// reservedFor is the model whose load needs the memory freed by an unload.
	reservedFor string
	reason      string
}

// planner selects the next model change in one shard. It loads the copy with
// the highest gain per memory, either into free memory or in place of copies
// with much lower gain.
type planner struct {
	engine  *site.Engine
	servers []*serverState
	demands map[string]*demandEstimate
	now     time.Time
	// coldLoadAllowed is set if the rate limit of the weight store permits
	// another load.
	coldLoadAllowed bool
	// shard is the index of this shard among the shards that have a steward,
	// and shards the number of these.
	shard  int
	shards int
	// shardCopies counts the copies of each model in each of these shards.
	// countCopies replaces the counts of this shard.
	shardCopies map[string][]int
	// unmanagedCopies counts the copies in shards without a steward.
	unmanagedCopies map[string]int
	// unmetShortages are the shortages for which no change is possible now.
	unmetShortages []shortage
	// catalog is derived from engine; it is created if nil.
	catalog *modelCatalog
	// beforeDemand is set while no model of the service has been requested.
	beforeDemand bool
	// accepting are the servers to which an order that changes a model can be sent
	// now, with their free memory.
	accepting []acceptingServer
}

// modelCatalog holds figures that depend only on an engine's configuration.
type modelCatalog struct {
	engine *site.Engine
	// names are the names of the models, sorted.
	names []string
	// meanMB is the mean size of the models, and reserveMB the memory reserved for
	// adapters on each engine.
	meanMB    float64
	reserveMB float64
}

func newModelCatalog(e *site.Engine) *modelCatalog {
	c := &modelCatalog{
		engine:    e,
		names:     slices.Sorted(maps.Keys(e.Models)),
		reserveMB: adapterReserveMB(e),
	}
	// In order, because the sum of floats depends on it.
	for _, model := range c.names {
		c.meanMB += e.Models[model].WeightsMB
	}
	c.meanMB /= float64(max(len(c.names), 1))

	return c
}

// acceptingServer is a server that accepts orders, its free memory, and the requests
// that it is expected to run, by model and in total.
type acceptingServer struct {
	*serverState
	freeMB   float64
	requests map[string]float64
	load     float64
}

// freeShare returns the fraction of the server's slots that a copy of another model can
// use once the model is unloaded; none is unloaded if it is empty. All models of a
// server share its slots.
func (s *acceptingServer) freeShare(unloaded string, slots int) float64 {
	used := (s.load - s.requests[unloaded]) / float64(max(slots, 1))

	return max(1-used, _minFreeShare)
}

// victim is a copy that may be unloaded to make room for another model. loss is
// the cost of losing it, and roomMB the memory that is free afterwards.
type victim struct {
	server *serverState
	model  string
	loss   float64
	roomMB float64
	// freeShare is the fraction of the server's slots that the other model can use.
	freeShare float64
}

// shortage is a model for which another copy has a sufficient gain.
type shortage struct {
	model  string
	copies int
	gain   float64
}

// next returns the next model change, and false if none is needed or possible.
func (p *planner) next() (modelChange, bool) {
	if s, ok := p.loadReserved(); ok {
		return s, true
	}
	copies := p.countCopies()
	p.noteInitial(copies)
	p.listAccepting(copies)
	victims := p.victims(copies)
	for _, sh := range p.shortages(copies) {
		if s, ok := p.planLoad(sh); ok {
			return s, true
		}
		if s, ok := p.planSwap(sh, copies, victims); ok {
			return s, true
		}
		p.unmetShortages = append(p.unmetShortages, sh)
	}

	return modelChange{}, false
}

// loadReserved returns the load of a model for which another one was unloaded.
func (p *planner) loadReserved() (modelChange, bool) {
	for _, s := range p.servers {
		if s.reservedFor == "" || !p.acceptsOrder(s) {
			continue
		}
		if s.freeMB(p.engine) < p.engine.Models[s.reservedFor].WeightsMB {
			// Another order has used the memory.
			s.reservedFor = ""

			continue
		}
		if p.coldLoadAllowed || s.localWeights[s.reservedFor] {
			return modelChange{
				server: s,
				load:   true,
				model:  s.reservedFor,
				reason: "Demand",
			}, true
		}
	}

	return modelChange{}, false
}

// countCopies counts the copies of each model over all shards, including those
// being loaded, on servers that aren't draining, evacuated, down or limited.
func (p *planner) countCopies() map[string]int {
	own := map[string]int{}
	for _, s := range p.servers {
		if s.entry.Draining || s.entry.Evacuated || s.down || s.limited {
			continue
		}
		for model := range s.adapters {
			if s.serves(model) {
				own[model]++
			}
		}
		if pending := s.pendingModel(); pending != "" {
			own[pending]++
		}
	}
	total := make(map[string]int, len(p.engine.Models))
	for model := range p.engine.Models {
		counts := p.shardCopies[model]
		if counts == nil {
			counts = make([]int, p.shards)
			p.shardCopies[model] = counts
		}
		counts[p.shard] = own[model]
		total[model] = p.unmanagedCopies[model]
		for _, n := range counts {
			total[model] += n
		}
	}

	return total
}

// noteInitial records the copies that models have before there is any demand.
func (p *planner) noteInitial(copies map[string]int) {
	p.beforeDemand = true
	for _, d := range p.demands {
		p.beforeDemand = p.beforeDemand && !d.seen
	}
	if !p.beforeDemand {
		return
	}
	for model, n := range copies {
		d := p.estimate(model)
		d.initial = max(d.initial, n)
	}
}

// addCopies counts one copy of each model in another shard, or in a shard
// without a steward if the index is negative.
func (p *planner) addCopies(shard int, models []string) {
	for _, model := range models {
		if shard < 0 {
			p.unmanagedCopies[model]++

			continue
		}
		if p.shardCopies[model] == nil {
			p.shardCopies[model] = make([]int, p.shards)
		}
		p.shardCopies[model][shard]++
	}
}

// isPreferredShard reports whether the next copy of the model belongs in this
// shard: the one with the fewest copies. Ties are broken by a hash of the
// model.
func (p *planner) isPreferredShard(model string) bool {
	counts := p.shardCopies[model]
	first := int(xxhash.Sum64String(model) % uint64(p.shards))
	best := first
	for n := range counts {
		if i := (first + n) % len(counts); counts[i] < counts[best] {
			best = i
		}
	}

	return best == p.shard
}

// canUnload reports whether a copy of the model may be unloaded for sh. The last
// copy may be unloaded only for a model that has no copy itself, as one of the
// two is unavailable either way. If this shard has only one of several copies,
// one shard keeps its copy, so that not every shard unloads its own as surplus.
func (p *planner) canUnload(model string, sh shortage, copies map[string]int) bool {
	counts := p.shardCopies[model]
	if copies[model] <= 1 {
		return sh.copies == 0
	}
	if p.beforeDemand && copies[model] <= max(_minInitialCopies, (p.estimate(model).initial+1)/2) {
		return false
	}
	if counts[p.shard] > 1 {
		return true
	}
	first := int(xxhash.Sum64String(model) % uint64(p.shards))
	for n := range counts {
		if i := (first + n) % len(counts); counts[i] > 0 {
			return i != p.shard
		}
	}

	return false
}

// shortages returns the models that need another copy, by decreasing gain per
// memory.
func (p *planner) shortages(copies map[string]int) []shortage {
	var out []shortage
	for _, model := range p.models().names {
		sh := shortage{
			model:  model,
			copies: copies[model],
			gain:   p.perMemory(model, p.estimate(model).gain(copies[model], p.engine.Slots, p.now)),
		}
		if !p.isPreferredShard(model) {
			sh.gain *= _otherShardFactor
		}
		if sh.gain > _minSpareGain || sh.copies < _minSpareCopies && p.isPreferredShard(model) {
			out = append(out, sh)
		}
	}
	// Of models with equal gain, those with more adapters come first, because
	// they need the adapter slots.
	slices.SortStableFunc(out, func(a, b shortage) int {
		return cmp.Or(cmp.Compare(b.gain, a.gain), cmp.Compare(p.engine.Models[b.model].Adapters, p.engine.Models[a.model].Adapters))
	})

	return out
}

// perMemory scales a gain by the memory of a copy, relative to the mean model
// size.
func (p *planner) perMemory(model string, gain float64) float64 {
	return gain * p.models().meanMB / max(p.engine.Models[model].WeightsMB, 1)
}

// models returns the catalog of the engine's models.
func (p *planner) models() *modelCatalog {
	if p.catalog == nil {
		p.catalog = newModelCatalog(p.engine)
	}

	return p.catalog
}

// estimate returns the demand estimate of a model, creating it if needed.
func (p *planner) estimate(model string) *demandEstimate {
	d := p.demands[model]
	if d == nil {
		d = &demandEstimate{}
		p.demands[model] = d
	}

	return d
}

// acceptsOrder reports whether an order that changes a model can be sent to the
// server now.
func (p *planner) acceptsOrder(s *serverState) bool {
	return s.synced && !s.entry.Draining && !s.entry.Evacuated && !s.down && !s.changingModel() && !s.inFlight && !p.now.Before(s.backoffUntil)
}

// listAccepting lists the servers that accept orders and are not reserved or limited.
func (p *planner) listAccepting(copies map[string]int) {
	p.accepting = p.accepting[:0]
	for _, s := range p.servers {
		if p.acceptsOrder(s) && s.reservedFor == "" && !s.limited {
			a := acceptingServer{
				serverState: s,
				freeMB:      s.freeBesides(p.engine, p.models().reserveMB),
				requests:    map[string]float64{},
			}
			for _, model := range s.plannedModels() {
				n := p.estimate(model).forecast() / float64(max(copies[model], 1))
				a.requests[model] = n
				a.load += n
			}
			p.accepting = append(p.accepting, a)
		}
	}
}

// canLoad reports whether the model can be loaded on a server that accepts
// orders, regardless of free memory.
func (p *planner) canLoad(s *serverState, model string) bool {
	return !s.serves(model) && (p.coldLoadAllowed || s.localWeights[model])
}

// planLoad selects a server with enough free memory for the model. It prefers
// servers with local weights, then those with free slots, failure domains with few
// copies and servers with much free memory.
func (p *planner) planLoad(sh shortage) (modelChange, bool) {
	var best *serverState
	bestScore := math.Inf(-1)
	need := p.engine.Models[sh.model].WeightsMB
	for i := range p.accepting {
		s := &p.accepting[i]
		if s.freeMB < need || !p.canLoad(s.serverState, sh.model) {
			continue
		}
		score := s.freeMB/p.engine.WeightsMB - p.copiesInDomain(sh.model, s.entry.FailureDomain) + _freeShareWeight*s.freeShare("", p.engine.Slots)
		if s.localWeights[sh.model] {
			score += 10
		}
		if score > bestScore {
			best = s.serverState
			bestScore = score
		}
	}
	if best == nil {
		return modelChange{}, false
	}

	return modelChange{
		server: best,
		load:   true,
		model:  sh.model,
		reason: "Demand",
	}, true
}

// copiesInDomain counts the copies of the model in a failure domain of this
// shard.
func (p *planner) copiesInDomain(model, domain string) float64 {
	n := 0.0
	for _, s := range p.servers {
		if s.entry.FailureDomain == domain && s.serves(model) {
			n++
		}
	}

	return n
}

// victims lists the copies that have been loaded for at least _minResidency, on
// servers that accept orders.
func (p *planner) victims(copies map[string]int) []victim {
	var out []victim
	for i := range p.accepting {
		s := &p.accepting[i]
		for _, model := range slices.Sorted(maps.Keys(s.adapters)) {
			if p.now.Sub(s.loadedAt[model]) < _minResidency {
				continue
			}
			out = append(out, victim{
				server: s.serverState,
				model:  model,
				loss:   p.perMemory(model, p.estimate(model).gain(copies[model]-1, p.engine.Slots, p.now)),
				roomMB: s.freeMB + p.engine.Models[model].WeightsMB,

				freeShare: s.freeShare(model, p.engine.Slots),
			})
		}
	}

	return out
}

// planSwap selects the copy to unload for the model: the one whose server gives the
// model the most, less the loss. The model's gain must be sufficiently larger than the
// loss, on whatever server.
func (p *planner) planSwap(sh shortage, copies map[string]int, victims []victim) (modelChange, bool) {
	if sh.gain <= _swapBase {
		return modelChange{}, false
	}
	var best modelChange
	bestNet := math.Inf(-1)
	need := p.engine.Models[sh.model].WeightsMB
	for _, v := range victims {
		loss := v.loss
		if v.server.localWeights[sh.model] {
			loss *= _localWeightsFactor
		}
		if sh.gain <= _swapFactor*loss+_swapBase {
			continue
		}
		net := sh.gain*v.freeShare - _swapFactor*loss
		// Of equal ones, unload the model with the most copies.
		if net < bestNet || net == bestNet && copies[v.model] <= copies[best.model] {
			continue
		}
		if v.roomMB < need || !p.canLoad(v.server, sh.model) || !p.canUnload(v.model, sh, copies) {
			continue
		}
		bestNet = net
		best = modelChange{
			server:      v.server,
			model:       v.model,
			reservedFor: sh.model,
			reason:      "RoomFor " + sh.model,
		}
	}

	return best, best.server != nil
}
