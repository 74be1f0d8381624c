package admission

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"papayastair.dev/papayastair/wire"
)

// _demandReportTTL is the age beyond which another instance's report is ignored.
const _demandReportTTL = 5 * time.Second

// demandKey identifies the demand of one workspace for one model at one
// priority.
type demandKey struct {
	workspace string
	model     string
	class     int
}

// demandTable holds the demand of this instance's callers and the last report of
// each other instance.
type demandTable struct {
	sequence int
	// liveInstances counts the live instances, including this one.
	liveInstances int
	local         map[demandKey]*localDemand
	peers         map[string]*peerDemand
	weights       map[string]float64
	// overShare is the set of workspaces that request more than their fair
	// share.
	overShare map[string]bool
}

// localDemand is the demand of this instance's callers for one key.
type localDemand struct {
	requestedRate rate
	servedTokens  int
}

// peerDemand is the demand last reported by another instance. Its start and
// sequence identify the report; servedTokens holds the counts from which the
// next report's increments are computed.
type peerDemand struct {
	start          int
	sequence       int
	receivedAt     time.Time
	requestedRates map[demandKey]float64
	servedTokens   map[demandKey]int
	servedRate     rate
}

func newDemandTable() demandTable {
	return demandTable{
		local:     map[demandKey]*localDemand{},
		peers:     map[string]*peerDemand{},
		weights:   map[string]float64{},
		overShare: map[string]bool{},
	}
}

// recordRequest adds the tokens of a submitted request to the local demand.
func (t *demandTable) recordRequest(r *Request, now time.Time) {
	r.demand = t.localFor(r)
	r.demand.requestedRate.add(now, float64(r.Tokens))
	t.weights[r.Workspace] = float64(r.Weight)
}

func (t *demandTable) localFor(r *Request) *localDemand {
	key := demandKey{
		workspace: r.Workspace,
		model:     r.Model,
		class:     r.class,
	}
	d := t.local[key]
	if d == nil {
		d = &localDemand{}
		t.local[key] = d
	}

	return d
}

// Report returns this instance's demand for the other instances. It is meant to
// be sent to them about once a second.
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
	for key, d := range t.local {
		requested := int(d.requestedRate.perSecond(now))
		if requested == 0 {
			// Peers keep the last served count of a demand that isn't
			// reported.
			continue
		}
		report.Demands = append(report.Demands, wire.Demand{
			Workspace:             key.workspace,
			Model:                 key.model,
			Urgency:               key.class,
			WantedTokensPerSecond: requested,
			ServedTokens:          d.servedTokens,
		})
	}
	slices.SortFunc(report.Demands, func(a, b wire.Demand) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Model, b.Model), a.Urgency-b.Urgency)
	})

	return report
}

// Merge applies a report of another instance and charges the tokens served there
// since its previous report to the local accounts. Late and repeated reports are
// dropped. A lost report is harmless, because reports carry cumulative counts.
func (q *Queue) Merge(report wire.DemandReport) {
	now := q.cfg.Clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	peer := q.demand.peers[report.Instance]
	if peer == nil || peer.start != report.Start {
		peer = &peerDemand{
			start:        report.Start,
			servedTokens: map[demandKey]int{},
		}
		q.demand.peers[report.Instance] = peer
	}
	if q.cfg.IgnorePeers || report.Sequence <= peer.sequence {
		return
	}
	first := peer.sequence == 0
	peer.sequence = report.Sequence
	peer.receivedAt = now
	peer.requestedRates = make(map[demandKey]float64, len(report.Demands))
	for _, d := range report.Demands {
		key := demandKey{
			workspace: d.Workspace,
			model:     d.Model,
			class:     min(max(d.Urgency, 0), _numClasses-1),
		}
		peer.requestedRates[key] = float64(d.WantedTokensPerSecond)
		delta := d.ServedTokens - peer.servedTokens[key]
		peer.servedTokens[key] = d.ServedTokens
		if !first {
			peer.servedRate.add(now, float64(delta))
			q.charge(key, delta)
		}
	}
}

// charge adds tokens served by another instance to a workspace's account. The
// account's virtual time is capped at _maxVirtualLead above that of its class.
func (q *Queue) charge(key demandKey, tokens int) {
	a := q.classes[key.class].accounts[key.workspace]
	if a == nil || tokens <= 0 {
		return
	}
	a.virtualTime = min(a.virtualTime+float64(tokens)/max(a.weight, 1), q.classes[key.class].virtualTime+_maxVirtualLead)
}

// SetInstanceCount sets the number of live instances, including this one. Live
// instances whose reports don't arrive are assumed to use an even share of the
// backend servers.
func (q *Queue) SetInstanceCount(n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.demand.liveInstances = n
}

// Shares returns this instance's share of each backend server's slots, between 0
// and 1, which applies while the server is full. The argument maps each server
// to the models that it serves. Each workspace that requests one of these models
// gets its fair share of the server, and each fair share is divided among the
// instances in proportion to the workspace's demand at each.
func (q *Queue) Shares(serving map[string][]string) map[string]float64 {
	now := q.cfg.Clock.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.updateOverShare(now)
	byModel, instances := q.demandByModel(now)
	servedFraction := q.servedFraction(now)
	// Live instances without a current report are assumed to use an even
	// share.
	reportingFraction := min(1, float64(instances)/float64(max(q.demand.liveInstances, 1)))
	shares := make(map[string]float64, len(serving))
	for server, models := range serving {
		demands := mergeDemands(byModel, models)
		shares[server] = reportingFraction * q.localFraction(demands, servedFraction, 1/float64(instances))
	}

	return shares
}

// updateOverShare divides the rate that the fleet serves among the workspaces by
// weight, and marks the workspaces that request more than their share.
func (q *Queue) updateOverShare(now time.Time) {
	requested := map[string]float64{}
	served := 0.0
	for key, d := range q.demand.local {
		requested[key.workspace] += d.requestedRate.perSecond(now)
	}
	for i := range q.classes {
		served += q.classes[i].servedRate.perSecond(now)
	}
	for _, peer := range q.demand.peers {
		if now.Sub(peer.receivedAt) > _demandReportTTL {
			continue
		}
		served += peer.servedRate.perSecond(now)
		for key, perSecond := range peer.requestedRates {
			requested[key.workspace] += perSecond
		}
	}
	totalWeight := 0.0
	for workspace, perSecond := range requested {
		if perSecond >= 1 {
			totalWeight += q.weight(workspace)
		}
	}
	clear(q.demand.overShare)
	for workspace, perSecond := range requested {
		if perSecond > served*q.weight(workspace)/totalWeight {
			q.demand.overShare[workspace] = true
		}
	}
}

// demandSplit is the demand of one workspace at one priority, in tokens per
// second, at this instance and at all instances.
type demandSplit struct {
	workspace string
	class     int
	local     float64
	total     float64
}

// demandByModel sums the demand of this instance and of the peers whose reports
// are still valid. It also returns the number of these instances.
func (q *Queue) demandByModel(now time.Time) (map[string][]demandSplit, int) {
	sums := map[demandKey]demandSplit{}
	for key, d := range q.demand.local {
		requested := d.requestedRate.perSecond(now)
		sums[key] = demandSplit{
			workspace: key.workspace,
			class:     key.class,
			local:     requested,
			total:     requested,
		}
	}
	instances := 1
	for _, name := range slices.Sorted(maps.Keys(q.demand.peers)) {
		peer := q.demand.peers[name]
		if now.Sub(peer.receivedAt) > _demandReportTTL {
			continue
		}
		instances++
		for key, requested := range peer.requestedRates {
			split := sums[key]
			split.workspace = key.workspace
			split.class = key.class
			split.total += requested
			sums[key] = split
		}
	}
	byModel := map[string][]demandSplit{}
	for key, split := range sums {
		if split.total > 0 {
			byModel[key.model] = append(byModel[key.model], split)
		}
	}

	return byModel, instances
}

// mergeDemands sums the demands for several models. It sorts them first, so that
// the sums don't depend on the iteration order of maps.
func mergeDemands(byModel map[string][]demandSplit, models []string) []demandSplit {
	var all []demandSplit
	for _, model := range models {
		all = append(all, byModel[model]...)
	}
	slices.SortFunc(all, func(a, b demandSplit) int {
		return cmp.Or(a.class-b.class, cmp.Compare(a.workspace, b.workspace), cmp.Compare(a.total, b.total), cmp.Compare(a.local, b.local))
	})
	merged := all[:0]
	for _, split := range all {
		last := len(merged) - 1
		if last >= 0 && merged[last].class == split.class && merged[last].workspace == split.workspace {
			merged[last].local += split.local
			merged[last].total += split.total

			continue
		}
		merged = append(merged, split)
	}

	return merged
}

// localFraction returns this instance's fraction of the tokens that can be
// served, which are servedFraction of the tokens requested. They are granted to
// the classes in order of priority and within a class by weight, and no
// workspace gets more than it requests. With a total demand below one token per
// second, localFraction returns fallback.
func (q *Queue) localFraction(demands []demandSplit, servedFraction, fallback float64) float64 {
	total := 0.0
	for _, split := range demands {
		total += split.total
	}
	if total < 1 {
		return fallback
	}
	remaining := total * servedFraction
	local, granted := 0.0, 0.0
	for class := range _numClasses {
		level := q.waterLevel(demands, class, remaining)
		for _, split := range demands {
			if split.class != class {
				continue
			}
			fair := min(split.total, level*q.weight(split.workspace))
			remaining -= fair
			granted += fair
			local += fair * split.local / split.total
		}
		remaining = max(remaining, 0)
	}

	return local / granted
}

// waterLevel returns the tokens per unit of weight that each workspace of the
// class may get at most, so that together they use up the remaining tokens or
// all requests are satisfied (weighted max-min fairness by water-filling).
func (q *Queue) waterLevel(demands []demandSplit, class int, remaining float64) float64 {
	var members []demandSplit
	totalWeight := 0.0
	for _, split := range demands {
		if split.class == class {
			members = append(members, split)
			totalWeight += q.weight(split.workspace)
		}
	}
	slices.SortFunc(members, func(a, b demandSplit) int {
		return cmp.Compare(a.total/q.weight(a.workspace), b.total/q.weight(b.workspace))
	})
	level := 0.0
	for _, split := range members {
		weight := q.weight(split.workspace)
		step := min(split.total/weight-level, remaining/totalWeight)
		level += step
		remaining = max(remaining-step*totalWeight, 0)
		totalWeight -= weight
	}

	return level
}

func (q *Queue) weight(workspace string) float64 {
	return max(q.demand.weights[workspace], 1)
}

// servedFraction returns the fraction of the recently requested tokens that was
// dispatched, at least 0.05.
func (q *Queue) servedFraction(now time.Time) float64 {
	requested, served := 0.0, 0.0
	for _, d := range q.demand.local {
		requested += math.Round(d.requestedRate.perSecond(now))
	}
	for i := range q.classes {
		served += q.classes[i].servedRate.perSecond(now)
	}
	if requested < 1 {
		return 1
	}

	return min(max(served/requested, 0.05), 1)
}
