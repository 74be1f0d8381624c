package placement

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"papayastair.dev/papayastair/wire"
)

// Action is the change that a step makes to a copy.
type Action string

// Actions of steps.
const (
	// ActionLoad adds a copy, which is loaded as soon as enough memory is free.
	ActionLoad Action = "Load"
	// ActionDrop unloads a copy while another one serves.
	ActionDrop Action = "Drop"
	// ActionEvict unloads a copy that may be the last one of its model. It makes
	// room for the only copy of a model of higher priority, or removes a model
	// that is no longer in the settings.
	ActionEvict Action = "Evict"
	// ActionForget removes a copy from the catalog whose accelerator is no
	// longer in the settings.
	ActionForget Action = "Forget"
)

// Reason is the cause of a step. Reasons for loads are declared from the most to
// the least urgent.
type Reason string

// Reasons of steps.
const (
	// ReasonOnlyCopy loads the only copy of a model.
	ReasonOnlyCopy Reason = "OnlyCopy"
	// ReasonMinimum loads a copy to reach the minimum number in the settings.
	ReasonMinimum Reason = "Minimum"
	// ReasonSpare loads a redundant copy on another backend server, preferably
	// in another failure domain.
	ReasonSpare Reason = "Spare"
	// ReasonDemand loads a copy because the demand exceeds the capacity.
	ReasonDemand Reason = "Demand"
	// ReasonRoom removes a copy to free memory for another one.
	ReasonRoom Reason = "Room"
	// ReasonReplaced drops a copy that has an old version, is on a draining
	// backend server, or is on a server that the settings no longer allow.
	ReasonReplaced Reason = "Replaced"
	// ReasonSettings removes a copy of a model that is not in the settings, or
	// one above the maximum number of copies.
	ReasonSettings Reason = "Settings"
	// ReasonLoadTimeout drops a copy that did not serve within the load timeout.
	ReasonLoadTimeout Reason = "LoadTimeout"
	// ReasonNoAccelerator removes a copy whose accelerator is no longer in the
	// settings.
	ReasonNoAccelerator Reason = "NoAccelerator"
)

// Step is a change to one copy in the catalog.
type Step struct {
	Action Action
	Reason Reason
	Model  string
	Copy   wire.Copy
	// Demand is the forecast demand of the model, and Attained the part of it
	// that the copies have capacity for, both in tokens per second.
	Demand   float64
	Attained float64
	// Candidates is the number of accelerators that could host the copy. It is
	// set for loads only.
	Candidates int
	// FreeBytes is the uncommitted memory of the accelerator before the step.
	FreeBytes int
}

// Options configures a Planner. A field with the zero value takes its default.
type Options struct {
	// LoadsPerSecond is the maximum rate of loads from the weight store, for the
	// whole fleet.
	LoadsPerSecond float64
	// MaxConcurrentLoads is the number of loads that the weight store can serve
	// concurrently at full speed.
	MaxConcurrentLoads int
	// LoadTimeout is the maximum time from the start of a load until the copy
	// serves.
	LoadTimeout time.Duration
	// DemandDelay is the time for which the demand must exceed the capacity
	// before a copy is loaded for it.
	DemandDelay time.Duration
	// MinCopyAge is the minimum age of a copy before it may be dropped for the
	// demand of another model.
	MinCopyAge time.Duration
	// TargetCopies is the number of backend servers with a copy of each model,
	// memory permitting, however low the demand, so that the model stays
	// available after the loss of a server.
	TargetCopies int
	// BreakBeforeMake drops copies without waiting for another one to serve.
	// Models may become unavailable, so it is for tests only.
	BreakBeforeMake bool
}

const (
	_loadsPerSecond         = 2
	_maxConcurrentLoads     = 8
	_loadTimeout            = 2 * time.Minute
	_demandDelay            = 20 * time.Second
	_minCopyAge             = 10 * time.Minute
	_placementRetryInterval = 10 * time.Second
	// _unknownGracePeriod is the time for which a model or accelerator must be
	// missing from the settings before its copies are removed. This instance may
	// have older settings than the one that added them.
	_unknownGracePeriod = time.Minute
	// _reservedLoadSlots is the number of concurrent loads reserved for the only
	// copies of models whose priority is not Batch.
	_reservedLoadSlots = 2
	_targetCopies      = 2
	// _minGainShare is the least fraction of a model's demand that a new copy
	// must serve.
	_minGainShare = 0.05
	// _minGainUtilization is the fraction of an accelerator's capacity that
	// justifies a copy even if it is below _minGainShare of the demand.
	_minGainUtilization = 0.25
)

// Unplaced describes a missing copy that no accelerator has room for.
type Unplaced struct {
	Model  string
	Reason Reason
}

// Planner computes the next steps. It keeps the demand forecasts and the ages of
// copies between calls; the placement itself is part of each Input. Create one
// with NewPlanner.
type Planner struct {
	options      Options
	forecasts    map[string]*Forecast
	observations map[copyKey]observation
	// underservedSince is the time since which the demand for a model has
	// exceeded its capacity, keyed by model.
	underservedSince map[string]time.Time
	// failedLoads is the time at which a copy timed out or disappeared while
	// loading.
	failedLoads map[copyKey]time.Time
	// retryAt is the time of the next attempt to place a copy that no
	// accelerator had room for, keyed by model.
	retryAt map[string]time.Time
	// unknownSince is the time at which a model or accelerator with copies was
	// first found to be missing from the settings.
	unknownSince map[unknownKey]time.Time
	// loadTokens is the level of the token bucket that limits the rate of
	// loads.
	loadTokens   float64
	lastObserved time.Time
	unplaced     []Unplaced
}

// unknownKey identifies either a model or an accelerator.
type unknownKey struct {
	model       string
	accelerator acceleratorKey
}

// copyKey identifies a copy.
type copyKey struct {
	model       string
	server      string
	accelerator string
	version     string
}

// observation is the state of a copy and the time at which the copy was first
// observed in that state.
type observation struct {
	state wire.CopyState
	since time.Time
}

// Input is the data that a plan is computed from.
type Input struct {
	Fleet    Fleet
	Presence map[string]Presence
	// Copies holds the copies in the catalog, keyed by model.
	Copies map[string][]wire.Copy
	// Demand is the demand of the whole fleet in tokens per second, keyed by
	// model.
	Demand map[string]float64
	Now    time.Time
}

// NewPlanner returns a planner without observations.
func NewPlanner(options Options) *Planner {
	options.LoadsPerSecond = cmp.Or(options.LoadsPerSecond, _loadsPerSecond)
	options.MaxConcurrentLoads = cmp.Or(options.MaxConcurrentLoads, _maxConcurrentLoads)
	options.LoadTimeout = cmp.Or(options.LoadTimeout, _loadTimeout)
	options.DemandDelay = cmp.Or(options.DemandDelay, _demandDelay)
	options.MinCopyAge = cmp.Or(options.MinCopyAge, _minCopyAge)
	options.TargetCopies = cmp.Or(options.TargetCopies, _targetCopies)

	return &Planner{
		options:          options,
		forecasts:        map[string]*Forecast{},
		observations:     map[copyKey]observation{},
		underservedSince: map[string]time.Time{},
		failedLoads:      map[copyKey]time.Time{},
		retryAt:          map[string]time.Time{},
		unknownSince:     map[unknownKey]time.Time{},
		loadTokens:       1,
	}
}

// Observe records the demand and the catalog without planning, so that a planner
// on standby can take over at any time.
func (p *Planner) Observe(in Input) {
	p.observe(in)
}

// Unplaced returns the copies that the last plan found no room for, the most
// urgent first. Copies requested for demand are not included.
func (p *Planner) Unplaced() []Unplaced {
	return p.unplaced
}

// Plan returns the next steps in order. Loads are rate-limited for the whole
// fleet. A step that is not executed is planned again by the next call.
func (p *Planner) Plan(in Input) []Step {
	r := &round{
		Planner: p,
		index:   p.observe(in),
		now:     in.Now,
	}
	r.removeUnknownModels(in.Copies)
	for _, m := range r.models {
		r.removeObsolete(m)
	}
	r.balanceDemand()
	r.addLoads(r.loadRequests())

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
	maps.DeleteFunc(p.unknownSince, func(key unknownKey, _ time.Time) bool {
		return x.modelsByName[key.model] != nil || x.acceleratorsByKey[key.accelerator] != nil
	})
	if !p.lastObserved.IsZero() {
		elapsed := in.Now.Sub(p.lastObserved).Seconds()
		p.loadTokens = min(max(1, p.options.LoadsPerSecond), p.loadTokens+elapsed*p.options.LoadsPerSecond)
	}
	p.lastObserved = in.Now

	return x
}

// observeCopies records the time since which each copy has been in its state. The
// accelerator of a copy that disappeared while loading is not used for that copy
// again until Options.LoadTimeout has passed.
func (p *Planner) observeCopies(in Input) {
	observations := make(map[copyKey]observation, len(p.observations))
	for name, copies := range in.Copies {
		for _, item := range copies {
			key := copyKeyOf(name, item)
			s, known := p.observations[key]
			if !known || s.state != item.State {
				s = observation{
					state: item.State,
					since: in.Now,
				}
			}
			observations[key] = s
		}
	}
	for key, s := range p.observations {
		if _, present := observations[key]; !present && s.state == wire.CopyStateLoading {
			p.failedLoads[key] = in.Now
		}
	}
	p.observations = observations
	for key, since := range p.failedLoads {
		if in.Now.Sub(since) > p.options.LoadTimeout {
			delete(p.failedLoads, key)
		}
	}
}

// stateAge returns the time since this planner first observed the copy in its
// state.
func (p *Planner) stateAge(model string, item wire.Copy, now time.Time) time.Duration {
	s, known := p.observations[copyKeyOf(model, item)]
	if !known {
		return 0
	}

	return now.Sub(s.since)
}

func copyKeyOf(model string, item wire.Copy) copyKey {
	return copyKey{
		model:       model,
		server:      item.Server,
		accelerator: item.Accelerator,
		version:     item.Version,
	}
}

// round is the state of one call of Plan.
type round struct {
	*Planner
	*index
	now   time.Time
	steps []Step
}

// addRemoval appends a step that removes a copy and applies it to the index.
func (r *round) addRemoval(action Action, reason Reason, c *copyState) {
	step := Step{
		Action:   action,
		Reason:   reason,
		Model:    c.model.Name,
		Copy:     c.Copy,
		Demand:   c.model.demand,
		Attained: c.model.attained,
	}
	if c.accel != nil {
		step.FreeBytes = c.accel.memory - c.accel.committed
	}
	r.steps = append(r.steps, step)
	c.model.invalidateServers()
	if c.accel != nil && c.retained() {
		c.accel.committed -= c.footprint()
		c.accel.load -= c.weight * c.model.demand
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

// removeUnknownModels evicts the copies of models that are not in the settings.
func (r *round) removeUnknownModels(copies map[string][]wire.Copy) {
	names := make([]string, 0)
	for name := range copies {
		if r.modelsByName[name] == nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		if !r.unknownGraceExpired(unknownKey{model: name}) {
			continue
		}
		m := &model{Model: wire.Model{Name: name}}
		for _, item := range copies[name] {
			r.addCopy(m, item)
		}
		r.forgetRemovedAccelerators(m)
		for _, c := range m.copies {
			if c.retained() {
				r.addRemoval(ActionEvict, ReasonSettings, c)
			}
		}
	}
}

// unknownGraceExpired reports whether a model or accelerator has been missing
// from the settings for _unknownGracePeriod. The first call for a key starts the
// period.
func (r *round) unknownGraceExpired(key unknownKey) bool {
	since, known := r.unknownSince[key]
	if !known {
		r.unknownSince[key] = r.now

		return false
	}

	return r.now.Sub(since) >= _unknownGracePeriod
}

// forgetRemovedAccelerators removes copies whose accelerators are no longer
// in the settings. Copies on servers that are down stay in the catalog: if such a
// server returns without them, the instance that holds its order lease removes
// them.
func (r *round) forgetRemovedAccelerators(m *model) {
	for _, c := range slices.Clone(m.copies) {
		if c.accel == nil && r.unknownGraceExpired(unknownKey{accelerator: acceleratorKey{
			server: c.Server,
			name:   c.Accelerator,
		}}) {
			r.addRemoval(ActionForget, ReasonNoAccelerator, c)
		}
	}
}

// removeObsolete removes the copies of a model that timed out while loading,
// have been replaced, or exceed the maximum number of copies.
func (r *round) removeObsolete(m *model) {
	r.forgetRemovedAccelerators(m)
	for _, c := range m.copies {
		if c.State == wire.CopyStateLoading && r.stateAge(m.Name, c.Copy, r.now) > r.options.LoadTimeout {
			r.failedLoads[copyKeyOf(m.Name, c.Copy)] = r.now
			r.addRemoval(ActionDrop, ReasonLoadTimeout, c)
		}
	}
	r.replaceOutdated(m)
	for _, c := range m.copies {
		excess := m.maxCopies > 0 && m.countCopies((*copyState).conforms) > max(m.maxCopies, m.MinCopies)
		if excess && c.conforms() && r.droppable(c) {
			r.addRemoval(ActionDrop, ReasonSettings, c)
		}
	}
}

// replaceOutdated drops the copies that no longer conform to the settings once
// enough conforming copies serve. It starts with those whose removal leaves the
// model in the most failure domains.
func (r *round) replaceOutdated(m *model) {
	var obsolete []*copyState
	for _, c := range m.copies {
		if c.retained() && c.reachable() && !c.conforms() {
			obsolete = append(obsolete, c)
		}
	}
	slices.SortStableFunc(obsolete, func(a, b *copyState) int {
		return cmp.Compare(m.domainsWithout(b), m.domainsWithout(a))
	})
	ready := m.countCopies(func(c *copyState) bool { return c.serving() && c.conforms() })
	target := max(m.MinCopies, min(r.options.TargetCopies, ready+len(obsolete)))
	for i, c := range obsolete {
		remaining := ready + len(obsolete) - i - 1
		spread := m.serversWithout(c) >= min(target, r.options.TargetCopies, r.countEligibleServers(m))
		if r.options.BreakBeforeMake || (remaining >= target && spread && r.droppable(c)) {
			r.addRemoval(ActionDrop, ReasonReplaced, c)
		}
	}
}

// countEligibleServers returns the number of backend servers that could host the
// model.
func (r *round) countEligibleServers(m *model) int {
	servers := map[string]bool{}
	for _, a := range r.accelerators {
		if a.presence.Live && !a.presence.Leaving && m.allows(a.server) && a.memory >= m.footprint {
			servers[a.server] = true
		}
	}

	return len(servers)
}

// droppable reports whether the copy may be dropped, that is, whether its model
// has another serving copy.
func (r *round) droppable(c *copyState) bool {
	return r.options.BreakBeforeMake ||
		c.model.countCopies(func(o *copyState) bool { return o != c && o.serving() }) > 0
}
