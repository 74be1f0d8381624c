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
	// _copyFill is how full a copy's engine may be by its own requests, as a
	// part of the slots, before another copy is wanted: well before the slots
	// are taken, the prompts of new requests hold up the events of others.
	_copyFill = 0.2
	// _liveCopies is the number of copies wanted of a model that urgent
	// requests have asked for lately, so that the loss of one is borne.
	_liveCopies = 3
	// _liveMemory is how long a model counts as asked for.
	_liveMemory = time.Minute
	// _demandRise and _demandFall smooth the number of requests, up within a
	// second and down within some five, at five counts a second: a copy takes
	// seconds to come, and a pause must not cost one.
	_demandRise = 0.3
	_demandFall = 0.05
	// _trendMemory smooths the number that the trend is taken against, over
	// some two seconds, and _trendAhead is for how many times that span it is
	// drawn out: until a copy ordered now is there.
	_trendMemory = 0.1
	_trendAhead  = 2.0
	// _spareCopies is the number of copies that any model gets while memory
	// is free.
	_spareCopies = 2
	// _stay is how long a copy stays at least, so that two models don't push
	// each other out by turns.
	_stay = 6 * time.Second
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
	seen     bool
}

func (d *demand) take(w Want, now time.Time) {
	if w.Requests > d.requests {
		d.requests += _demandRise * (w.Requests - d.requests)
	} else {
		d.requests += _demandFall * (w.Requests - d.requests)
	}
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

// copies is how many copies are wanted.
func (d *demand) copies(slots int, now time.Time) int {
	n := int(math.Ceil(d.expected() / (float64(max(slots, 1)) * _copyFill)))
	switch {
	case !d.urgentAt.IsZero() && now.Sub(d.urgentAt) < _liveMemory:
		return max(n, _liveCopies)
	default:
		return max(n, 1)
	}
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

// planner says what to change now: for the model that lacks copies most, a load
// where there is room, else an unload that makes room. A model's last copy is
// never unloaded, nor one that is wanted itself.
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
	// total counts the copies of each model in all shards.
	total map[string]int
}

// wanted is this shard's part of the copies wanted: all shards' parts together
// are what the demand asks for, without a word between their stewards.
func (p *planner) wanted(model string, total int) int {
	n := max(p.shards, 1)
	first := int(xxhash.Sum64String(model) % uint64(n))
	part := total / n
	if (p.shard-first+n)%n < total%n {
		part++
	}

	return part
}

// lack is a model with fewer copies than wanted.
type lack struct {
	model  string
	copies int
	wanted int
	weight float64
}

func (p *planner) next() (step, bool) {
	// Room that was made is used first.
	for _, s := range p.servers {
		if s.roomFor == "" || !p.free(s) || s.serves(s.roomFor) {
			continue
		}
		if s.freeMB(p.engine) >= p.engine.Models[s.roomFor].WeightsMB && (p.mayCold || s.atHand[s.roomFor]) {
			return step{
				server: s,
				load:   true,
				model:  s.roomFor,
				reason: "Demand",
			}, true
		}
	}
	copies := p.copies()
	for model, n := range copies {
		p.total[model] += n
	}
	for _, l := range p.lacks(copies) {
		if s, ok := p.loadFor(l); ok {
			return s, true
		}
		if s, ok := p.makeRoom(l, copies); ok {
			return s, true
		}
	}

	return p.spare(copies)
}

// spare fills free memory with copies of the models that have fewest.
func (p *planner) spare(copies map[string]int) (step, bool) {
	if !p.mayCold {
		return step{}, false
	}
	models := slices.Sorted(maps.Keys(p.engine.Models))
	// Among equals those with many adapters first: they need the places.
	slices.SortStableFunc(models, func(a, b string) int {
		return cmp.Or(cmp.Compare(copies[a], copies[b]), cmp.Compare(p.engine.Models[b].Adapters, p.engine.Models[a].Adapters))
	})
	for _, model := range models {
		if copies[model] >= p.wanted(model, _spareCopies) {
			continue
		}
		if s, ok := p.loadFor(lack{model: model}); ok {
			s.reason = "Spare"

			return s, true
		}
	}

	return step{}, false
}

// copies counts the copies that serve or come, on servers that stay.
func (p *planner) copies() map[string]int {
	copies := map[string]int{}
	for _, s := range p.servers {
		if s.entry.Draining {
			continue
		}
		for model := range s.adapters {
			if s.serves(model) {
				copies[model]++
			}
		}
		if s.loading != "" && !s.serves(s.loading) {
			copies[s.loading]++
		}
		if s.roomFor != "" && s.loading == "" && !s.serves(s.roomFor) {
			copies[s.roomFor]++
		}
	}

	return copies
}

// lacks orders the models that want copies: those with none and asked for
// first, then by how much they lack.
func (p *planner) lacks(copies map[string]int) []lack {
	var out []lack
	for _, model := range slices.Sorted(maps.Keys(p.engine.Models)) {
		d := p.demand(model)
		l := lack{
			model:  model,
			copies: copies[model],
			wanted: min(p.wanted(model, d.copies(p.engine.Slots, p.now)), len(p.servers)),
		}
		if l.copies >= l.wanted {
			continue
		}
		l.weight = d.expected() / float64(p.shards) / float64(l.copies+1)
		if p.total[model] == 0 {
			l.weight += 1000
			if !d.seen {
				l.weight -= 500
			}
		}
		out = append(out, l)
	}
	slices.SortStableFunc(out, func(a, b lack) int { return cmp.Compare(b.weight, a.weight) })

	return out
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
	return s.known && !s.entry.Draining && !s.busy() && !s.working && !p.now.Before(s.pause)
}

// loadFor finds the server with room for a model, one with its weights at
// hand first, then the emptiest.
func (p *planner) loadFor(l lack) (step, bool) {
	var best *ledger
	bestScore := math.Inf(-1)
	for _, s := range p.servers {
		if !p.free(s) || s.roomFor != "" || s.serves(l.model) || s.freeMB(p.engine) < p.engine.Models[l.model].WeightsMB {
			continue
		}
		if !s.atHand[l.model] && !p.mayCold {
			continue
		}
		score := s.freeMB(p.engine) / p.engine.WeightsMB
		if s.atHand[l.model] {
			score += 10
		}
		score -= p.inDomain(l.model, s.entry.FailureDomain)
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
// gives room for the model.
func (p *planner) makeRoom(l lack, copies map[string]int) (step, bool) {
	var best step
	bestCost := math.Inf(1)
	need := p.engine.Models[l.model].WeightsMB
	for _, s := range p.servers {
		if !p.free(s) || s.roomFor != "" || s.serves(l.model) || !s.atHand[l.model] && !p.mayCold {
			continue
		}
		for victim := range s.adapters {
			if p.now.Sub(s.loadedAt[victim]) < _stay || s.freeMB(p.engine)+p.engine.Models[victim].WeightsMB < need {
				continue
			}
			cost, ok := p.cost(victim, l, copies)
			if !ok {
				continue
			}
			if !s.atHand[l.model] {
				cost += 5
			}
			if cost < bestCost || cost == bestCost && s.entry.ID < best.server.entry.ID {
				bestCost = cost
				best = step{
					server: s,
					model:  victim,
					room:   l.model,
					reason: "RoomFor " + l.model,
				}
			}
		}
	}

	return best, best.server != nil
}

// cost is how much a copy would be missed; ok is false if it must stay.
func (p *planner) cost(victim string, l lack, copies map[string]int) (float64, bool) {
	d := p.demand(victim)
	wanted := p.wanted(victim, d.copies(p.engine.Slots, p.now))
	mine := d.requests / float64(p.shards) / float64(copies[victim])
	switch {
	case p.total[victim] <= 1:
		return 0, false
	case copies[victim] > wanted:
		return mine - float64(copies[victim]-wanted), true
	case p.total[l.model] == 0 && l.weight > mine:
		// A model that can't be reached at all goes before one's second copy.
		return 100 + mine, true
	default:
		return 0, false
	}
}
