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
	// The weights below are those with the fewest refusals in the days of
	// TestDays, found by a random search of 600 tries and rounded.

	// _comfort is how many requests a copy serves without trouble, as a part of
	// its engine's slots.
	_comfort = 0.6
	// _worstCrowd bounds how much worse than comfort one copy can make it.
	_worstCrowd = 8.0
	// _unreachable is what a request for a model without a copy weighs, and
	// _unreachableBase what the model weighs without any request.
	_unreachable     = 10.0
	_unreachableBase = 50.0
	// _resilience is what the loss of one of few copies weighs for a model that
	// urgent requests have asked for lately.
	_resilience = 7.0
	// _starvedWeight is what an adapter weighs that finds all places in use, and
	// _starvedMemory how fast that is forgotten, at five counts a second.
	_starvedWeight = 6.0
	_starvedMemory = 0.8
	// _liveMemory is how long a model counts as asked for.
	_liveMemory = time.Minute
	// _swapFactor and _swapBase are by how much a copy must be worth more than
	// the one that yields to it: a load takes seconds and costs the store.
	_swapFactor = 2.5
	_swapBase   = 1.5
	// _spareGain is what a copy that no request needs must be worth to be
	// loaded into free memory; _spareCopies get it in any case.
	_spareGain   = 0.2
	_spareCopies = 2
	// _atHandFactor prefers a server where the weights are at hand.
	_atHandFactor = 0.7
	// _otherShard is how much less a copy is worth in a shard that isn't the
	// one with the fewest, so that stewards don't all load the same model.
	_otherShard = 0.6
	// _demandRise and _demandFall smooth the number of requests, up and down, by
	// the number of bulletins: five a second, and more while adapters move. By
	// time instead, more was refused on heavy days (journal of 4 December).
	_demandRise = 0.6
	_demandFall = 0.03
	// _trendMemory smooths the number that the trend is taken against, over
	// some two seconds, and _trendAhead is for how many times that span it is
	// drawn out: until a copy ordered now is there.
	_trendMemory = 0.14
	_trendAhead  = 4.0
	// _stay is how long a copy stays at least, so that two models don't push
	// each other out by turns.
	_stay = 5 * time.Second
)

// Want is what callers ask of one model, over all instances.
type Want struct {
	// Requests is how many run or wait at present, Running how many run.
	Requests float64
	Running  int
	// PerSecond is the rate of requests.
	PerSecond float64
	// Urgent says that requests of urgent ranks ask for it.
	Urgent bool
}

// demand remembers what was asked of a model.
type demand struct {
	requests float64
	// before is the number of requests some two seconds ago.
	before   float64
	urgentAt time.Time
	askedAt  time.Time
	// starved counts adapters that found all places in use lately.
	starved float64
	seen    bool
}

func (d *demand) take(w Want, now time.Time) {
	if !d.seen {
		// There is no trend in what is counted for the first time.
		d.requests = w.Requests
		d.before = w.Requests
	}
	if w.Requests > d.requests {
		d.requests += _demandRise * (w.Requests - d.requests)
	} else {
		d.requests += _demandFall * (w.Requests - d.requests)
	}
	d.starved *= _starvedMemory
	d.before += _trendMemory * (d.requests - d.before)
	if w.Requests > 0 || w.PerSecond > 0 {
		d.askedAt = now
		d.seen = true
		if w.Urgent {
			d.urgentAt = now
		}
	}
}

// expected is the number of requests when a copy ordered now is there.
func (d *demand) expected() float64 {
	return d.requests + max(0, d.requests-d.before)*_trendAhead
}

// trouble is what is wrong with k copies: requests that crowd them, the danger
// of losing one, or that there is none.
func (d *demand) trouble(k, slots int, now time.Time) float64 {
	r := d.expected()
	if k == 0 {
		return _unreachableBase + _unreachable*r
	}
	crowd := r / (float64(k) * float64(max(slots, 1)) * _comfort)
	t := r * min(crowd*crowd, _worstCrowd)
	if !d.urgentAt.IsZero() && now.Sub(d.urgentAt) < _liveMemory {
		t += _resilience / float64(k)
	}
	t += _starvedWeight * d.starved / float64(k)

	return t
}

// gain is what one copy more than k is worth.
func (d *demand) gain(k, slots int, now time.Time) float64 {
	return d.trouble(k, slots, now) - d.trouble(k+1, slots, now)
}

// step is one change of the models on one backend server.
type step struct {
	server *ledger
	load   bool
	model  string
	// room is the model that an unload makes room for.
	room   string
	reason string
}

// planner says what to change now in one shard: the copy that is worth most
// for its memory is loaded, where there is room, or where copies worth less
// yield.
type planner struct {
	engine  *site.Engine
	servers []*ledger
	demands map[string]*demand
	now     time.Time
	// mayCold says whether the rate of loads from the weight store has room.
	mayCold bool
	// shard is the number of this part of the backend servers among those that
	// have a steward, of which there are shards.
	shard  int
	shards int
	// elsewhere counts the copies of each model in each of those shards; this
	// shard's are counted anew.
	elsewhere map[string][]int
	// orphans counts the copies in shards without a steward.
	orphans map[string]int
	// unmet are the models for which nothing can be done now.
	unmet []lack
}

// lack is a model that is worth another copy.
type lack struct {
	model  string
	copies int
	gain   float64
}

func (p *planner) next() (step, bool) {
	if s, ok := p.useRoom(); ok {
		return s, true
	}
	copies := p.copies()
	for _, l := range p.lacks(copies) {
		if s, ok := p.loadFor(l); ok {
			return s, true
		}
		if s, ok := p.makeRoom(l, copies); ok {
			return s, true
		}
		p.unmet = append(p.unmet, l)
	}

	return step{}, false
}

// useRoom loads a model for which room was made.
func (p *planner) useRoom() (step, bool) {
	for _, s := range p.servers {
		if s.roomFor == "" || !p.free(s) || s.serves(s.roomFor) || !p.mayCold && !s.atHand[s.roomFor] {
			continue
		}
		if s.freeMB(p.engine) >= p.engine.Models[s.roomFor].WeightsMB {
			return step{
				server: s,
				load:   true,
				model:  s.roomFor,
				reason: "Demand",
			}, true
		}
	}

	return step{}, false
}

// copies counts the copies of all shards that serve or come, on servers that
// stay.
func (p *planner) copies() map[string]int {
	own := map[string]int{}
	for _, s := range p.servers {
		if s.entry.Draining || s.down {
			continue
		}
		for model := range s.adapters {
			if s.serves(model) {
				own[model]++
			}
		}
		for _, coming := range []string{s.loading, s.roomFor} {
			if coming != "" && !s.serves(coming) {
				own[coming]++

				break
			}
		}
	}
	total := map[string]int{}
	for model := range p.engine.Models {
		counts := make([]int, p.shards)
		copy(counts, p.elsewhere[model])
		counts[p.shard] = own[model]
		p.elsewhere[model] = counts
		total[model] = p.orphans[model]
		for _, n := range counts {
			total[model] += n
		}
	}

	return total
}

// countElsewhere counts copies in another shard, or in one without a steward
// if its index is negative.
func (p *planner) countElsewhere(shard int, models []string) {
	for _, model := range models {
		if shard < 0 {
			p.orphans[model]++

			continue
		}
		if p.elsewhere[model] == nil {
			p.elsewhere[model] = make([]int, p.shards)
		}
		p.elsewhere[model][shard]++
	}
}

// isNext says whether this shard is where the next copy of a model should go:
// the one with the fewest, beginning with one that depends on the model.
func (p *planner) isNext(model string) bool {
	counts := p.elsewhere[model]
	first := int(xxhash.Sum64String(model) % uint64(p.shards))
	best := first
	for n := range counts {
		if i := (first + n) % len(counts); counts[i] < counts[best] {
			best = i
		}
	}

	return best == p.shard
}

// mayYield says whether a copy may go: a model's last one only for a model that
// has none itself, as one of the two can't be reached either way; and of two
// shards that could both take theirs for one too many, one keeps it.
func (p *planner) mayYield(model string, l lack, copies map[string]int) bool {
	counts := p.elsewhere[model]
	if copies[model] <= 1 {
		return l.copies == 0
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

// lacks orders the models by what another copy of each is worth for its memory.
func (p *planner) lacks(copies map[string]int) []lack {
	var out []lack
	for _, model := range slices.Sorted(maps.Keys(p.engine.Models)) {
		l := lack{
			model:  model,
			copies: copies[model],
			gain:   p.worth(model, p.demand(model).gain(copies[model], p.engine.Slots, p.now)),
		}
		if !p.isNext(model) {
			l.gain *= _otherShard
		}
		if l.gain > _spareGain || l.copies < _spareCopies && p.isNext(model) {
			out = append(out, l)
		}
	}
	// Among equals those with many adapters first: they need the places.
	slices.SortStableFunc(out, func(a, b lack) int {
		return cmp.Or(cmp.Compare(b.gain, a.gain), cmp.Compare(p.engine.Models[b.model].Adapters, p.engine.Models[a.model].Adapters))
	})

	return out
}

// worth weighs a gain by the memory that a copy takes.
func (p *planner) worth(model string, gain float64) float64 {
	return gain * p.typicalMB() / max(p.engine.Models[model].WeightsMB, 1)
}

// typicalMB is the mean size of a model.
func (p *planner) typicalMB() float64 {
	sum := 0.0
	// In one order, so that the sum is always the same to the last bit.
	for _, model := range slices.Sorted(maps.Keys(p.engine.Models)) {
		sum += p.engine.Models[model].WeightsMB
	}

	return sum / float64(max(len(p.engine.Models), 1))
}

func (p *planner) demand(model string) *demand {
	d := p.demands[model]
	if d == nil {
		d = &demand{}
		p.demands[model] = d
	}

	return d
}

// free says whether a server can take an order on models.
func (p *planner) free(s *ledger) bool {
	return s.known && !s.entry.Draining && !s.down && !s.busy() && !s.working && !p.now.Before(s.pause)
}

// mayHost says whether a model can be loaded on a server now, room aside.
func (p *planner) mayHost(s *ledger, model string) bool {
	return p.free(s) && s.roomFor == "" && !s.serves(model) && (s.atHand[model] || p.mayCold)
}

// loadFor finds the server with room for a model: one with its weights at hand
// first, then in the failure domain with the fewest copies, then the emptiest.
func (p *planner) loadFor(l lack) (step, bool) {
	var best *ledger
	bestScore := math.Inf(-1)
	for _, s := range p.servers {
		if !p.mayHost(s, l.model) || s.freeMB(p.engine) < p.engine.Models[l.model].WeightsMB {
			continue
		}
		score := s.freeMB(p.engine)/p.engine.WeightsMB - p.inDomain(l.model, s.entry.FailureDomain)
		if s.atHand[l.model] {
			score += 10
		}
		if score > bestScore {
			best = s
			bestScore = score
		}
	}
	if best == nil {
		return step{}, false
	}

	return step{
		server: best,
		load:   true,
		model:  l.model,
		reason: "Demand",
	}, true
}

// inDomain counts the copies of a model in a failure domain.
func (p *planner) inDomain(model, domain string) float64 {
	n := 0.0
	for _, s := range p.servers {
		if s.entry.FailureDomain == domain && s.serves(model) {
			n++
		}
	}

	return n
}

// makeRoom finds the copy that is missed least on a server where its going
// gives room for the model, if it is worth much less than the model's.
func (p *planner) makeRoom(l lack, copies map[string]int) (step, bool) {
	var best step
	bestLoss := math.Inf(1)
	need := p.engine.Models[l.model].WeightsMB
	for _, s := range p.servers {
		if !p.mayHost(s, l.model) {
			continue
		}
		for _, victim := range slices.Sorted(maps.Keys(s.adapters)) {
			if !p.mayYield(victim, l, copies) || p.now.Sub(s.loadedAt[victim]) < _stay ||
				s.freeMB(p.engine)+p.engine.Models[victim].WeightsMB < need {
				continue
			}
			loss := p.worth(victim, p.demand(victim).gain(copies[victim]-1, p.engine.Slots, p.now))
			if s.atHand[l.model] {
				loss *= _atHandFactor
			}
			// Of equals the one with the most copies goes.
			if loss < bestLoss || loss == bestLoss && copies[victim] > copies[best.model] {
				bestLoss = loss
				best = step{
					server: s,
					model:  victim,
					room:   l.model,
					reason: "RoomFor " + l.model,
				}
			}
		}
	}

	return best, best.server != nil && l.gain > _swapFactor*bestLoss+_swapBase
}
