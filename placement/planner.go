package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"papayastair.dev/papayastair/wire"
)

// Action is what a step does to a copy.
type Action string

// Actions of steps.
const (
	// ActionLoad adds a copy, to be loaded when its memory is free.
	ActionLoad Action = "Load"
	// ActionDrop unloads a copy while another serves.
	ActionDrop Action = "Drop"
	// ActionEvict unloads what may be the last copy of a model, for the only
	// copy of a model of higher priority.
	ActionEvict Action = "Evict"
	// ActionForget removes a copy whose accelerator left the settings.
	ActionForget Action = "Forget"
)

// Reason is why a step is taken. The reasons of loads are in the order of
// their urgency.
type Reason string

// Reasons of steps.
const (
	// ReasonOnly loads the only copy of a model.
	ReasonOnly Reason = "OnlyCopy"
	// ReasonMinimum loads a copy that the settings ask for.
	ReasonMinimum Reason = "Minimum"
	// ReasonSpare loads a second copy in another failure domain.
	ReasonSpare Reason = "Spare"
	// ReasonDemand loads a copy for demand that finds no capacity.
	ReasonDemand Reason = "Demand"
	// ReasonRoom drops a copy to make room for another model's.
	ReasonRoom Reason = "Room"
	// ReasonReplaced drops a copy of an old version, of a leaving backend
	// server or of a placement no longer allowed.
	ReasonReplaced Reason = "Replaced"
	// ReasonSettings drops a copy of a model that the settings don't have or
	// that are over the settings' limit.
	ReasonSettings Reason = "Settings"
	// ReasonTimeout drops a copy that didn't come to serve.
	ReasonTimeout Reason = "LoadTimeout"
	// ReasonNoAccelerator forgets a copy with its accelerator.
	ReasonNoAccelerator Reason = "NoAccelerator"
)

// Step is one change of the catalog.
type Step struct {
	Action Action
	Reason Reason
	Model  string
	Copy   wire.Copy
	// Demand and Attained are the model's forecast demand and what finds
	// capacity of it, in tokens a second.
	Demand   float64
	Attained float64
	// Candidates is how many accelerators could take the copy of a load.
	Candidates int
	// FreeBytes is the free memory of the accelerator before the step.
	FreeBytes int
}

// Options are the limits that a Planner keeps. The zero value of a field
// takes the default.
type Options struct {
	// LoadsPerSecond is the rate of the weight store for the whole fleet.
	LoadsPerSecond float64
	// LoadsAtOnce is how many loads the weight store carries at full speed.
	LoadsAtOnce int
	// LoadTimeout is how long a copy may take to serve.
	LoadTimeout time.Duration
	// DemandHold is how long demand must exceed the capacity before a copy is
	// loaded for it.
	DemandHold time.Duration
	// CopyHold is how long a copy is safe from being dropped for the demand
	// of another model.
	CopyHold time.Duration
	// SpareCopies is how many copies a model has when there is room, however
	// low its demand, so that the loss of a server leaves it reachable.
	SpareCopies int
	// BreakBeforeMake drops copies without waiting for another to serve. It
	// breaks the promise that models stay reachable, and is for tests only.
	BreakBeforeMake bool
}

const (
	_loadsPerSecond = 2
	_loadsAtOnce    = 8
	_loadTimeout    = 2 * time.Minute
	_demandHold     = 20 * time.Second
	_copyHold       = 10 * time.Minute
	_retryPlace     = 10 * time.Second
	// _unknownHold is how long a model or accelerator must be missing from the
	// settings, of which this instance may have an older version than others.
	_unknownHold = time.Minute
	// _reservedLoads of the loads at once are kept for the only copies of
	// models that are not of priority Batch.
	_reservedLoads = 2
	_spareCopies   = 2
	// _leastGain is the least part of a model's demand that a copy must add.
	_leastGain = 0.05
	// _leastUse is the part of an accelerator's capacity that is enough for a
	// model whose demand is many times that.
	_leastUse = 0.25
)

// Unplaced is a model that lacks a copy for which there is no room.
type Unplaced struct {
	Model  string
	Reason Reason
}

// Planner computes the next steps. It keeps the trend of demand and the ages
// of copies; what stands where it gets with each call. Use NewPlanner.
type Planner struct {
	options   Options
	forecasts map[string]*Forecast
	seen      map[copyKey]sighting
	short     map[string]time.Time
	avoid     map[copyKey]time.Time
	// retry is when a copy that found no room is looked at again, by model.
	retry map[string]time.Time
	// unknown is since when copies name a model or accelerator that the
	// settings don't have.
	unknown  map[unknownKey]time.Time
	tokens   float64
	at       time.Time
	unplaced []Unplaced
}

// unknownKey names a model or an accelerator.
type unknownKey struct {
	model       string
	accelerator acceleratorKey
}

// copyKey names a copy.
type copyKey struct {
	model       string
	server      string
	accelerator string
	version     string
}

// sighting is since when a copy has been in a state.
type sighting struct {
	state wire.CopyState
	since time.Time
}

// Input is what a plan is made from.
type Input struct {
	Fleet    Fleet
	Presence map[string]Presence
	// Copies are the copies of the catalog, by model.
	Copies map[string][]wire.Copy
	// Demand is the demand of the whole fleet in tokens a second, by model.
	Demand map[string]float64
	Now    time.Time
}

// NewPlanner returns a planner without history.
func NewPlanner(options Options) *Planner {
	options.LoadsPerSecond = cmp.Or(options.LoadsPerSecond, _loadsPerSecond)
	options.LoadsAtOnce = cmp.Or(options.LoadsAtOnce, _loadsAtOnce)
	options.LoadTimeout = cmp.Or(options.LoadTimeout, _loadTimeout)
	options.DemandHold = cmp.Or(options.DemandHold, _demandHold)
	options.CopyHold = cmp.Or(options.CopyHold, _copyHold)
	options.SpareCopies = cmp.Or(options.SpareCopies, _spareCopies)

	return &Planner{
		options:   options,
		forecasts: map[string]*Forecast{},
		seen:      map[copyKey]sighting{},
		short:     map[string]time.Time{},
		avoid:     map[copyKey]time.Time{},
		retry:     map[string]time.Time{},
		unknown:   map[unknownKey]time.Time{},
		tokens:    1,
	}
}

// Observe follows the demand and the catalog without planning, so that a
// planner that stands by can take over at any time.
func (p *Planner) Observe(in Input) {
	p.observe(in)
}

// Unplaced are the copies other than for demand that the last plan found no
// room for, the most urgent first.
func (p *Planner) Unplaced() []Unplaced {
	return p.unplaced
}

// Plan returns the steps to take now, in order. Loads are paced for the whole
// fleet, so each step must be carried out, or the next plan has it again.
func (p *Planner) Plan(in Input) []Step {
	r := &round{
		Planner: p,
		index:   p.observe(in),
		now:     in.Now,
	}
	r.removeStrangers(in.Copies)
	for _, m := range r.models {
		r.removeObsolete(m)
	}
	r.split()
	r.load(r.needs())

	return r.steps
}

func (p *Planner) observe(in Input) *index {
	x := newIndex(in.Fleet, in.Presence, in.Copies)
	for _, m := range x.models {
		f := p.forecasts[m.Name]
		if f == nil {
			f = &Forecast{}
			p.forecasts[m.Name] = f
		}
		f.Observe(in.Demand[m.Name], in.Now)
		m.demand = f.Demand()
	}
	p.observeCopies(in)
	maps.DeleteFunc(p.unknown, func(key unknownKey, _ time.Time) bool {
		return x.byName[key.model] != nil || x.byKey[key.accelerator] != nil
	})
	if !p.at.IsZero() {
		elapsed := in.Now.Sub(p.at).Seconds()
		p.tokens = min(max(1, p.options.LoadsPerSecond), p.tokens+elapsed*p.options.LoadsPerSecond)
	}
	p.at = in.Now

	return x
}

// observeCopies notes since when copies are in their state, and which vanished
// while they were being loaded; their places are avoided for a time.
func (p *Planner) observeCopies(in Input) {
	seen := make(map[copyKey]sighting, len(p.seen))
	for name, copies := range in.Copies {
		for _, item := range copies {
			key := keyOf(name, item)
			s, known := p.seen[key]
			if !known || s.state != item.State {
				s = sighting{
					state: item.State,
					since: in.Now,
				}
			}
			seen[key] = s
		}
	}
	for key, s := range p.seen {
		if _, still := seen[key]; !still && s.state == wire.CopyStateLoading {
			p.avoid[key] = in.Now
		}
	}
	p.seen = seen
	for key, since := range p.avoid {
		if in.Now.Sub(since) > p.options.LoadTimeout {
			delete(p.avoid, key)
		}
	}
}

// age is how long the copy has been in its state, as far as this planner
// knows.
func (p *Planner) age(model string, item wire.Copy, now time.Time) time.Duration {
	s, known := p.seen[keyOf(model, item)]
	if !known {
		return 0
	}

	return now.Sub(s.since)
}

func keyOf(model string, item wire.Copy) copyKey {
	return copyKey{
		model:       model,
		server:      item.Server,
		accelerator: item.Accelerator,
		version:     item.Version,
	}
}

// round is one call of Plan.
type round struct {
	*Planner
	*index
	now   time.Time
	steps []Step
}

// add appends a step and applies it to the index.
func (r *round) add(action Action, reason Reason, c *copyState) {
	step := Step{
		Action:   action,
		Reason:   reason,
		Model:    c.model.Name,
		Copy:     c.Copy,
		Demand:   c.model.demand,
		Attained: c.model.attained,
	}
	if c.at != nil {
		step.FreeBytes = c.at.memory - c.at.committed
	}
	r.steps = append(r.steps, step)
	c.model.forgetServers()
	if c.at != nil && c.lasting() {
		c.at.committed -= c.footprint()
		c.at.load -= c.weight * c.model.demand
	}
	switch action {
	case ActionForget:
		c.model.copies = slices.DeleteFunc(c.model.copies, func(o *copyState) bool { return o == c })
	case ActionEvict:
		c.State = wire.CopyStateEvicting
	default:
		c.State = wire.CopyStateDropping
	}
}

// removeStrangers drops the copies of models that the settings don't have.
func (r *round) removeStrangers(copies map[string][]wire.Copy) {
	names := make([]string, 0)
	for name := range copies {
		if r.byName[name] == nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		if !r.isUnknown(unknownKey{model: name}) {
			continue
		}
		m := &model{Model: wire.Model{Name: name}}
		for _, item := range copies[name] {
			r.addCopy(m, item)
		}
		r.forgetGone(m)
		for _, c := range m.copies {
			if c.lasting() {
				r.add(ActionEvict, ReasonSettings, c)
			}
		}
	}
}

// isUnknown reports whether the settings have lacked something for long.
func (r *round) isUnknown(key unknownKey) bool {
	since, known := r.unknown[key]
	if !known {
		r.unknown[key] = r.now

		return false
	}

	return r.now.Sub(since) >= _unknownHold
}

// forgetGone forgets copies whose accelerators left the settings. Copies on
// servers that are only down stay listed: the holder of the server's orders
// removes them when it comes back without them.
func (r *round) forgetGone(m *model) {
	for _, c := range slices.Clone(m.copies) {
		if c.at == nil && r.isUnknown(unknownKey{accelerator: acceleratorKey{
			server: c.Server,
			name:   c.Accelerator,
		}}) {
			r.add(ActionForget, ReasonNoAccelerator, c)
		}
	}
}

// removeObsolete removes the copies of a model that the settings no longer
// ask for, one for each that serves in its stead.
func (r *round) removeObsolete(m *model) {
	r.forgetGone(m)
	for _, c := range m.copies {
		if c.State == wire.CopyStateLoading && r.age(m.Name, c.Copy, r.now) > r.options.LoadTimeout {
			r.avoid[keyOf(m.Name, c.Copy)] = r.now
			r.add(ActionDrop, ReasonTimeout, c)
		}
	}
	r.replace(m)
	for _, c := range m.copies {
		over := m.maxCopies > 0 && m.count((*copyState).good) > max(m.maxCopies, m.MinCopies)
		if over && c.good() && r.droppable(c) {
			r.add(ActionDrop, ReasonSettings, c)
		}
	}
}

// replace drops the copies that the settings no longer ask for as others come
// to serve in their stead, first those whose loss leaves the model in most
// failure domains.
func (r *round) replace(m *model) {
	var obsolete []*copyState
	for _, c := range m.copies {
		if c.lasting() && c.live() && !c.good() {
			obsolete = append(obsolete, c)
		}
	}
	slices.SortStableFunc(obsolete, func(a, b *copyState) int {
		return cmp.Compare(m.domainsWithout(b), m.domainsWithout(a))
	})
	ready := m.count(func(c *copyState) bool { return c.serving() && c.good() })
	wanted := max(m.MinCopies, min(r.options.SpareCopies, ready+len(obsolete)))
	for i, c := range obsolete {
		left := ready + len(obsolete) - i - 1
		spread := m.serversWithout(c) >= min(wanted, r.options.SpareCopies, r.serversFor(m))
		if r.options.BreakBeforeMake || (left >= wanted && spread && r.droppable(c)) {
			r.add(ActionDrop, ReasonReplaced, c)
		}
	}
}

// serversFor is on how many backend servers the model could stand.
func (r *round) serversFor(m *model) int {
	servers := map[string]bool{}
	for _, a := range r.accelerators {
		if a.presence.Live && !a.presence.Leaving && m.allows(a.server) && a.memory >= m.footprint {
			servers[a.server] = true
		}
	}

	return len(servers)
}

// droppable says that the model has another copy that serves.
func (r *round) droppable(c *copyState) bool {
	return r.options.BreakBeforeMake ||
		c.model.count(func(o *copyState) bool { return o != c && o.serving() }) > 0
}
