package admission

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"papayastair.dev/papayastair/wire"
)

// _demandLife is how long another instance's report counts.
const _demandLife = 5 * time.Second

// demandKey is what one workspace asks of one model at one priority.
type demandKey struct {
	workspace string
	model     string
	class     int
}

// demandTable knows what the callers of each instance ask for.
type demandTable struct {
	sequence int
	// instances is the number of live ones, this one included.
	instances int
	own       map[demandKey]*ownDemand
	peers     map[string]*peerDemand
	weights   map[string]float64
	// over holds the workspaces that ask for more than their fair part.
	over map[string]bool
}

type ownDemand struct {
	wanted rate
	served int
}

type peerDemand struct {
	start    int
	sequence int
	at       time.Time
	wanted   map[demandKey]float64
	served   map[demandKey]int
	rate     rate
}

func newDemandTable() demandTable {
	return demandTable{
		own:     map[demandKey]*ownDemand{},
		peers:   map[string]*peerDemand{},
		weights: map[string]float64{},
		over:    map[string]bool{},
	}
}

func (t *demandTable) want(r *Request, now time.Time) {
	t.ownOf(r).wanted.add(now, float64(r.Tokens))
	t.weights[r.Workspace] = float64(r.Weight)
}

func (t *demandTable) serve(r *Request) {
	t.ownOf(r).served += r.Tokens
}

func (t *demandTable) ownOf(r *Request) *ownDemand {
	key := demandKey{
		workspace: r.Workspace,
		model:     r.Model,
		class:     r.class,
	}
	d := t.own[key]
	if d == nil {
		d = &ownDemand{}
		t.own[key] = d
	}

	return d
}

// Report is what the other instances should know, to be sent to them about
// once a second.
func (q *Queue) Report() wire.DemandReport {
	now := q.cfg.Clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	t := &q.demand
	t.sequence++
	report := wire.DemandReport{
		Instance: q.cfg.Instance,
		Start:    q.cfg.Start,
		Sequence: t.sequence,
		Demands:  nil,
	}
	for key, d := range t.own {
		wanted := int(d.wanted.perSecond(now))
		if wanted == 0 {
			// Peers keep the last count of a demand that isn't reported.
			continue
		}
		report.Demands = append(report.Demands, wire.Demand{
			Workspace:             key.workspace,
			Model:                 key.model,
			Urgency:               key.class,
			WantedTokensPerSecond: wanted,
			ServedTokens:          d.served,
		})
	}
	slices.SortFunc(report.Demands, func(a, b wire.Demand) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Model, b.Model), a.Urgency-b.Urgency)
	})

	return report
}

// Merge takes another instance's report: what it served is charged to the
// accounts here. Late and repeated reports are dropped; a lost one costs
// nothing, because reports carry sums.
func (q *Queue) Merge(report wire.DemandReport) {
	now := q.cfg.Clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	peer := q.demand.peers[report.Instance]
	if peer == nil || peer.start != report.Start {
		peer = &peerDemand{
			start:  report.Start,
			served: map[demandKey]int{},
		}
		q.demand.peers[report.Instance] = peer
	}
	if q.cfg.IgnorePeers || report.Sequence <= peer.sequence {
		return
	}
	first := peer.sequence == 0
	peer.sequence = report.Sequence
	peer.at = now
	peer.wanted = make(map[demandKey]float64, len(report.Demands))
	for _, d := range report.Demands {
		key := demandKey{
			workspace: d.Workspace,
			model:     d.Model,
			class:     min(max(d.Urgency, 0), _classes-1),
		}
		peer.wanted[key] = float64(d.WantedTokensPerSecond)
		delta := d.ServedTokens - peer.served[key]
		peer.served[key] = d.ServedTokens
		if !first {
			peer.rate.add(now, float64(delta))
			q.charge(key, delta)
		}
	}
}

// charge adds tokens served elsewhere to a workspace's account, but lets it
// get no further ahead than _maxLead.
func (q *Queue) charge(key demandKey, tokens int) {
	a := q.classes[key.class].accounts[key.workspace]
	if a == nil || tokens <= 0 {
		return
	}
	a.virtual = min(a.virtual+float64(tokens)/max(a.weight, 1), q.classes[key.class].virtual+_maxLead)
}

// SetInstances sets the number of live instances, this one included. Those
// that are not heard keep an even part of the backend servers.
func (q *Queue) SetInstances(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.demand.instances = n
}

// Shares is, for each backend server with the models that it serves, the part
// of its places that is due to this instance while the server is full: each
// workspace that asks for one of its models is given its fair part of the
// server, and each fair part is divided by where that workspace's requests
// come in.
func (q *Queue) Shares(serving map[string][]string) map[string]float64 {
	now := q.cfg.Clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.findOver(now)
	byModel, instances := q.demandByModel(now)
	part := q.servedPart(now)
	// Instances that live but can't be heard are taken to use an even part.
	heard := min(1, float64(instances)/float64(max(q.demand.instances, 1)))
	shares := make(map[string]float64, len(serving))
	for server, models := range serving {
		asked := mergeDemands(byModel, models)
		shares[server] = heard * q.divide(asked, part, 1/float64(instances))
	}

	return shares
}

// findOver divides what the fleet serves between the workspaces by weight,
// and marks those that ask for more than their part.
func (q *Queue) findOver(now time.Time) {
	wanted := map[string]float64{}
	served := 0.0
	for key, d := range q.demand.own {
		wanted[key.workspace] += d.wanted.perSecond(now)
	}
	for i := range q.classes {
		served += q.classes[i].served.perSecond(now)
	}
	for _, peer := range q.demand.peers {
		if now.Sub(peer.at) > _demandLife {
			continue
		}
		served += peer.rate.perSecond(now)
		for key, perSecond := range peer.wanted {
			wanted[key.workspace] += perSecond
		}
	}
	weights := 0.0
	for workspace, perSecond := range wanted {
		if perSecond >= 1 {
			weights += q.weight(workspace)
		}
	}
	clear(q.demand.over)
	for workspace, perSecond := range wanted {
		if perSecond > served*q.weight(workspace)/weights {
			q.demand.over[workspace] = true
		}
	}
}

// demandSplit is what one workspace asks at one priority, in tokens per
// second, at this and at all instances.
type demandSplit struct {
	workspace string
	class     int
	own       float64
	all       float64
}

// demandByModel sums up the demands of all instances that reported lately,
// and counts these.
func (q *Queue) demandByModel(now time.Time) (map[string][]demandSplit, int) {
	sums := map[demandKey]demandSplit{}
	for key, d := range q.demand.own {
		wanted := d.wanted.perSecond(now)
		sums[key] = demandSplit{
			workspace: key.workspace,
			class:     key.class,
			own:       wanted,
			all:       wanted,
		}
	}
	instances := 1
	for _, name := range slices.Sorted(maps.Keys(q.demand.peers)) {
		peer := q.demand.peers[name]
		if now.Sub(peer.at) > _demandLife {
			continue
		}
		instances++
		for key, wanted := range peer.wanted {
			split := sums[key]
			split.workspace = key.workspace
			split.class = key.class
			split.all += wanted
			sums[key] = split
		}
	}
	byModel := map[string][]demandSplit{}
	for key, split := range sums {
		if split.all > 0 {
			byModel[key.model] = append(byModel[key.model], split)
		}
	}

	return byModel, instances
}

// mergeDemands sums up the demands for several models, in a fixed order.
func mergeDemands(byModel map[string][]demandSplit, models []string) []demandSplit {
	var all []demandSplit
	for _, model := range models {
		all = append(all, byModel[model]...)
	}
	slices.SortFunc(all, func(a, b demandSplit) int {
		return cmp.Or(a.class-b.class, cmp.Compare(a.workspace, b.workspace), cmp.Compare(a.all, b.all), cmp.Compare(a.own, b.own))
	})
	merged := all[:0]
	for _, split := range all {
		last := len(merged) - 1
		if last >= 0 && merged[last].class == split.class && merged[last].workspace == split.workspace {
			merged[last].own += split.own
			merged[last].all += split.all

			continue
		}
		merged = append(merged, split)
	}

	return merged
}

// divide shares the tokens that can be served, a part of those asked, by the
// classes in order and inside a class by weight, no workspace getting more
// than it asks, and returns the own part of the sum. Without any demand it is
// fallback.
func (q *Queue) divide(asked []demandSplit, part, fallback float64) float64 {
	total := 0.0
	for _, split := range asked {
		total += split.all
	}
	if total < 1 {
		return fallback
	}
	left := total * part
	own, given := 0.0, 0.0
	for class := range _classes {
		level := q.waterLevel(asked, class, left)
		for _, split := range asked {
			if split.class != class {
				continue
			}
			fair := min(split.all, level*q.weight(split.workspace))
			left -= fair
			given += fair
			own += fair * split.own / split.all
		}
		left = max(left, 0)
	}

	return own / given
}

// waterLevel is the tokens for each unit of weight at which the class takes
// up what is left.
func (q *Queue) waterLevel(asked []demandSplit, class int, left float64) float64 {
	var members []demandSplit
	weights := 0.0
	for _, split := range asked {
		if split.class == class {
			members = append(members, split)
			weights += q.weight(split.workspace)
		}
	}
	slices.SortFunc(members, func(a, b demandSplit) int {
		return cmp.Compare(a.all/q.weight(a.workspace), b.all/q.weight(b.workspace))
	})
	level := 0.0
	for _, split := range members {
		weight := q.weight(split.workspace)
		step := min(split.all/weight-level, left/weights)
		level += step
		left = max(left-step*weights, 0)
		weights -= weight
	}

	return level
}

func (q *Queue) weight(workspace string) float64 {
	return max(q.demand.weights[workspace], 1)
}

// servedPart is the part of the recently asked tokens that was dispatched.
func (q *Queue) servedPart(now time.Time) float64 {
	wanted, served := 0.0, 0.0
	for _, d := range q.demand.own {
		wanted += math.Round(d.wanted.perSecond(now))
	}
	for i := range q.classes {
		served += q.classes[i].served.perSecond(now)
	}
	if wanted < 1 {
		return 1
	}

	return min(max(served/wanted, 0.05), 1)
}
