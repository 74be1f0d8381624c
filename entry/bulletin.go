package entry

import (
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	rendezvous "github.com/dgryski/go-rendezvous"
	"go.uber.org/zap"

	"papayastair.dev/papayastair/allowance"
	"papayastair.dev/papayastair/dispatch"
	"papayastair.dev/papayastair/event"
	"papayastair.dev/papayastair/exchange"
	"papayastair.dev/papayastair/site"
	"papayastair.dev/papayastair/steward"
	"papayastair.dev/papayastair/wire"
)

const (
	// _demandWindow is the length of the windows over which request rates are
	// measured.
	_demandWindow = time.Second
	// _needTTL is how long after its last renewal a need is included in bulletins.
	_needTTL = 500 * time.Millisecond
	// _peerDemandTTL is how long the demand of a silent instance counts.
	_peerDemandTTL = 3 * time.Second
	// _waitingWeight converts requests per second that found no backend server
	// into concurrent requests: each would run for about half a second.
	_waitingWeight = 0.5
	// _flowUnit is the number in a bulletin that is one request per second. The rate of one
	// of hundreds of instances at one of many backend servers is far below that.
	_flowUnit = 100
	// _maxUrgentRank is the highest rank that counts as urgent.
	_maxUrgentRank = 1
)

// demandKey identifies a target at a service.
type demandKey struct {
	service string
	target  site.Target
}

// demandCounter counts this instance's requests to model engines.
type demandCounter struct {
	mu          sync.Mutex
	windowStart time.Time
	entries     map[demandKey]*demandEntry
}

// demandEntry is the demand for one target. arrivals and waits count the
// requests of the current window, all and those that found no backend server;
// perSecond and lastWaits are the figures of the window before. rank is the
// most urgent rank seen, and idleWindows counts the windows without requests.
type demandEntry struct {
	running     int
	arrivals    int
	perSecond   float64
	waits       int
	lastWaits   int
	rank        int
	idleWindows int
}

func newDemandCounter() *demandCounter {
	return &demandCounter{entries: map[demandKey]*demandEntry{}}
}

func (c *demandCounter) entry(k demandKey) *demandEntry {
	d := c.entries[k]
	if d == nil {
		d = &demandEntry{rank: _maxUrgentRank + 1}
		c.entries[k] = d
	}

	return d
}

// addArrival counts a request.
func (c *demandCounter) addArrival(k demandKey, rank int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.entry(k)
	d.arrivals++
	d.rank = min(d.rank, rank)
}

// addWaiting counts a request that found no backend server.
func (c *demandCounter) addWaiting(k demandKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entry(k).waits++
}

// addRunning changes the number of requests at backend servers.
func (c *demandCounter) addRunning(k demandKey, change int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entry(k).running += change
}

// snapshot returns the demand, and starts a new window if the current one is
// over.
func (c *demandCounter) snapshot(now time.Time) []wire.TargetDemand {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.windowStart) >= _demandWindow {
		c.startWindow(now)
	}
	out := make([]wire.TargetDemand, 0, len(c.entries))
	for k, d := range c.entries {
		if d.running == 0 && d.perSecond == 0 && d.lastWaits == 0 && d.waits == 0 && d.arrivals == 0 {
			continue
		}
		out = append(out, wire.TargetDemand{
			Service:   k.service,
			Target:    k.target.String(),
			PerSecond: max(d.perSecond, float64(d.arrivals)),
			Running:   d.running,
			Waiting:   max(d.lastWaits, d.waits),
			Rank:      d.rank,
		})
	}

	return out
}

func (c *demandCounter) startWindow(now time.Time) {
	const maxIdleWindows = 20
	seconds := max(now.Sub(c.windowStart).Seconds(), _demandWindow.Seconds())
	c.windowStart = now
	for k, d := range c.entries {
		d.perSecond = float64(d.arrivals) / seconds
		d.lastWaits = d.waits
		d.idleWindows++
		if d.arrivals > 0 || d.running > 0 {
			d.idleWindows = 0
		}
		d.arrivals = 0
		d.waits = 0
		if d.idleWindows > maxIdleWindows {
			delete(c.entries, k)
		}
	}
}

// peerDemand is the demand of another instance's callers.
type peerDemand struct {
	receivedAt time.Time
	demand     []wire.TargetDemand
}

// composeBulletin returns the bulletin of this instance, with recent changes of
// the store and the findings of others if includeChanges is set. It also updates the
// balancer's health checks and predicted loads, and the steward's demand.
func (e *Entry) composeBulletin(includeChanges bool) wire.Bulletin {
	s := e.cfg.Settings
	now := time.Now()
	b := wire.Bulletin{
		Name:          s.Name,
		Start:         e.start,
		Address:       s.PeerAddress,
		CallerAddress: s.CallerAddress,
		FailureDomain: s.FailureDomain,
		Leaving:       e.leaving.Load(),
		EvidenceAgeMS: -1,
		Demand:        e.demand.snapshot(now),
		Needs:         e.activeNeeds(now),
	}
	if cfg := e.current.Load(); cfg != nil {
		b.Version = cfg.Version
		b.EvidenceAgeMS = int(min(e.evidence.age(), time.Hour).Milliseconds())
	}
	running := e.balancer.Running()
	flows := e.balancer.Flows(now)
	for id, n := range running {
		b.Running = append(b.Running, serverCount(id, n, flows[id]))
	}
	for id, f := range flows {
		if running[id] == 0 {
			b.Running = append(b.Running, serverCount(id, 0, f))
		}
	}
	for name, t := range e.limiter.Usage(now) {
		b.Asked = append(b.Asked, wire.WorkspaceRate{
			Workspace: name,
			PerSecond: t.Demand,
			Spent:     t.Spent,
		})
	}
	e.balancer.CheckTimeouts(now)
	e.logServersAge()
	e.updateDemand(b.Demand, now)
	if includeChanges || e.serverChanges.sharesQuery() {
		b.ServerChanges = e.serverChanges.snapshot(now)
	}
	if includeChanges || e.recordChanges.sharesQuery() {
		b.RecordChanges = e.recordChanges.snapshot(now)
	}
	if e.evacuationChanges != nil && (includeChanges || e.evacuationChanges.sharesQuery()) {
		b.EvacuationChanges = e.evacuationChanges.snapshot(now)
	}
	b.Findings = e.quarantine.Snapshot(includeChanges)
	b.Advice = e.shareAdvice(includeChanges, now)
	b.Shards, b.Held = e.steward.Snapshot()
	e.applyHeld(b.Held)

	return b
}

// serverCount returns the figures of a backend server in a bulletin.
func serverCount(id string, running int, f dispatch.Flow) wire.ServerCount {
	c := wire.ServerCount{
		Server: id,
		Count:  running,
		Ended:  int(f.Ended * _flowUnit),
	}
	for i, n := range f.Attempts {
		if n := int(n * _flowUnit); n > 0 {
			c.Attempts = append(c.Attempts, make([]int, i-len(c.Attempts))...)
			c.Attempts = append(c.Attempts, n)
		}
	}

	return c
}

// flowOf is the inverse of serverCount. Lists of other lengths come from other versions.
func flowOf(c wire.ServerCount) dispatch.Flow {
	f := dispatch.Flow{Ended: float64(c.Ended) / _flowUnit}
	for i := range min(len(c.Attempts), len(f.Attempts)) {
		f.Attempts[i] = float64(c.Attempts[i]) / _flowUnit
	}

	return f
}

// handleBulletin applies another instance's bulletin. notBefore is a time, by
// timer.Elapsed, at or after which it was sent; 0 if unknown.
func (e *Entry) handleBulletin(b *wire.Bulletin, notBefore time.Duration) {
	now := time.Now()
	for _, text := range b.Needs {
		service, target := parseNeed(text)
		e.steward.RequestTarget(service, target, now)
	}
	for _, shard := range b.Shards {
		if shard.Holder != e.cfg.Settings.Name && shard.Shard >= 0 && shard.Shard < len(e.leases) {
			e.leases[shard.Shard].ObserveHolder(steward.LeaseState{
				Fence:   shard.Fence,
				Version: shard.Version,
				Left:    time.Duration(shard.LeftMS) * time.Millisecond,
			})
		}
	}
	e.setForeignHeld(b.Held, now)
	e.quarantine.Receive(b.Findings)
	e.receiveAdvice(b.Advice, now)
	e.updateNewestVersion(b.Version)
	e.handleSharing(b)
	if b.ServerChanges.UpTo > 0 {
		e.serverChanges.receive(b.ServerChanges, checkedAt(b.ServerChanges, b.SentMS, notBefore))
	}
	if b.RecordChanges.UpTo > 0 {
		e.recordChanges.receive(b.RecordChanges, checkedAt(b.RecordChanges, b.SentMS, notBefore))
	}
	if e.evacuationChanges != nil && b.EvacuationChanges.UpTo > 0 {
		e.evacuationChanges.receive(b.EvacuationChanges, checkedAt(b.EvacuationChanges, b.SentMS, notBefore))
	}
	cfg := e.current.Load()
	if cfg != nil && b.Version == cfg.Version && b.EvidenceAgeMS >= 0 && notBefore > 0 {
		// The bulletin was sent at notBefore or later, and the evidence had the age
		// EvidenceAgeMS when it was sent.
		e.updateEvidence(notBefore - time.Duration(b.EvidenceAgeMS)*time.Millisecond)
	}
}

// checkedAt returns a time, by timer.Elapsed, at which the store held nothing later
// than the changes in a bulletin that was sent at sentMS by its sender's clock, which
// is notBefore or later; _neverChecked if none is known.
func checkedAt(changes wire.StoreChanges, sentMS int, notBefore time.Duration) time.Duration {
	if changes.CheckedMS <= 0 || notBefore <= 0 {
		return _neverChecked
	}

	return notBefore - time.Duration(sentMS-changes.CheckedMS)*time.Millisecond
}

// probesTrait reports whether this instance is the one of the live instances that should
// send the next probe for a trait, as far as it knows them.
func (e *Entry) probesTrait(trait int) bool {
	if e.leaving.Load() {
		return false
	}
	names := []string{e.cfg.Settings.Name}
	for _, i := range e.hub.Instances() {
		if i.Alive && !i.Leaving {
			names = append(names, i.Name)
		}
	}

	return rendezvous.New(names, xxhash.Sum64String).Lookup(strconv.Itoa(trait)) == e.cfg.Settings.Name
}

// logServersAge logs when the backend servers' entries have become older than the
// bound within which a leaving one must get no more requests, and when they no
// longer are.
func (e *Entry) logServersAge() {
	age := e.serverChanges.age()
	stale := age > e.cfg.Settings.Bounds.Drain
	if !e.serverChanges.setStale(stale) {
		return
	}
	kind := event.ServersCurrent
	if stale {
		kind = event.ServersStale
	}
	e.cfg.Log.Write(kind, zap.Duration("Age", min(age, time.Hour)), e.evidenceAgeField(), zap.Bool("ReadsStore", e.hub.ReadsStore()))
}

// setForeignHeld applies the targets that backend servers hold according to
// other stewards. It ignores those of the backend servers that this instance
// orders, which a relay may send back: its own data is more accurate.
func (e *Entry) setForeignHeld(held []wire.ServerTargets, now time.Time) {
	foreign := make([]wire.ServerTargets, 0, len(held))
	for _, h := range held {
		if !e.steward.Manages(h.Server) {
			foreign = append(foreign, h)
		}
	}
	e.steward.SetForeignTargets(foreign, now)
	e.applyHeld(foreign)
}

// handleSums applies the request counts and the demand of other instances.
func (e *Entry) handleSums(s exchange.Aggregate) {
	now := time.Now()
	counts := make(map[string]int, len(s.Bulletin.Running))
	flows := make(map[string]dispatch.Flow, len(s.Bulletin.Running))
	for _, r := range s.Bulletin.Running {
		counts[r.Server] = r.Count
		flows[r.Server] = flowOf(r)
	}
	e.balancer.SetPeerFlows(s.From, flows, now)
	e.balancer.SetPeerLoad(s.From, counts, now)
	usage := make(map[string]allowance.Usage, len(s.Bulletin.Asked))
	for _, a := range s.Bulletin.Asked {
		usage[a.Workspace] = allowance.Usage{
			Demand: a.PerSecond,
			Spent:  a.Spent,
		}
	}
	e.limiter.UpdatePeer(s.From, s.Start, s.Instances, usage, now)
	e.mu.Lock()
	e.peerDemands[s.From] = peerDemand{
		receivedAt: now,
		demand:     s.Bulletin.Demand,
	}
	e.mu.Unlock()
}

// applyHeld applies the targets that backend servers hold according to their
// steward.
func (e *Entry) applyHeld(held []wire.ServerTargets) {
	if len(held) == 0 {
		return
	}
	for _, h := range held {
		e.balancer.SetTargets(h.Server, h.Targets)
	}
	e.wakeWaiters()
}

// pushHeld sends the targets held by backend servers to other instances at
// once.
func (e *Entry) pushHeld() {
	e.hub.PushHeld()
}

// updateDemand sets the demand of all instances' callers at the local steward.
func (e *Entry) updateDemand(own []wire.TargetDemand, now time.Time) {
	sum := map[string]map[site.Target]steward.Demand{}
	add := func(list []wire.TargetDemand) {
		for _, d := range list {
			targets := sum[d.Service]
			if targets == nil {
				targets = map[site.Target]steward.Demand{}
				sum[d.Service] = targets
			}
			t := parseTarget(d.Target)
			w := targets[t]
			w.Requests += float64(d.Running) + _waitingWeight*float64(d.Waiting)
			w.Running += d.Running
			w.PerSecond += d.PerSecond
			w.Urgent = w.Urgent || d.Rank <= _maxUrgentRank
			targets[t] = w
		}
	}
	add(own)
	e.mu.Lock()
	for name, p := range e.peerDemands {
		if now.Sub(p.receivedAt) > _peerDemandTTL {
			delete(e.peerDemands, name)

			continue
		}
		add(p.demand)
	}
	e.mu.Unlock()
	e.steward.SetDemand(sum, now)
}

// requestTarget asks the steward, at whichever instance it runs, to load a
// target.
func (e *Entry) requestTarget(service string, t site.Target) {
	now := time.Now()
	e.steward.RequestTarget(service, t, now)
	e.mu.Lock()
	_, known := e.needs[service+"|"+t.String()]
	e.needs[service+"|"+t.String()] = now
	e.mu.Unlock()
	if !known {
		e.hub.PushNeeds()
	}
}

// activeNeeds returns the needs that have not expired.
func (e *Entry) activeNeeds(now time.Time) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]string, 0, len(e.needs))
	for text, at := range e.needs {
		if now.Sub(at) > _needTTL {
			delete(e.needs, text)

			continue
		}
		out = append(out, text)
	}

	return out
}

// evidenceAgeField returns the age of the evidence as a log field.
func (e *Entry) evidenceAgeField() zap.Field {
	return zap.Duration("EvidenceAge", min(e.evidence.age(), time.Hour))
}

// serversAgeField returns the age of the backend servers' entries as a log field.
func (e *Entry) serversAgeField() zap.Field {
	return zap.Duration("ServersAge", min(e.serverChanges.age(), time.Hour))
}

// parseTarget is the inverse of Target.String.
func parseTarget(text string) site.Target {
	model, adapter, _ := strings.Cut(text, "/")

	return site.Target{
		Model:   model,
		Adapter: adapter,
	}
}

// parseNeed splits a need into its service and target.
func parseNeed(text string) (service string, t site.Target) {
	service, target, _ := strings.Cut(text, "|")

	return service, parseTarget(target)
}
