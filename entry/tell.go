package entry

import (
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"papayastair.dev/papayastair/allowance"
	"papayastair.dev/papayastair/event"
	"papayastair.dev/papayastair/exchange"
	"papayastair.dev/papayastair/site"
	"papayastair.dev/papayastair/steward"
	"papayastair.dev/papayastair/wire"
)

const (
	// _demandWindow is the time over which rates of demand are counted.
	_demandWindow = time.Second
	// _needMemory is how long a target that requests wait for is told.
	_needMemory = 500 * time.Millisecond
	// _peerMemory is how long the demand of a silent instance counts.
	_peerMemory = 3 * time.Second
	// _waitingWeight turns requests per second that found no place into
	// requests at once: they would last about half a second.
	_waitingWeight = 0.5
	// _urgentRank is the last rank that counts as urgent.
	_urgentRank = 1
)

// demandKey is a target at a service.
type demandKey struct {
	service string
	target  site.Target
}

// demandCounter counts what this instance's callers ask of model engines.
type demandCounter struct {
	mu      sync.Mutex
	rolled  time.Time
	entries map[demandKey]*demandEntry
}

type demandEntry struct {
	running   int
	now       int
	perSecond float64
	waited    int
	waiting   int
	rank      int
	idle      int
}

func newDemandCounter() *demandCounter {
	return &demandCounter{entries: map[demandKey]*demandEntry{}}
}

func (c *demandCounter) entry(k demandKey) *demandEntry {
	d := c.entries[k]
	if d == nil {
		d = &demandEntry{rank: _urgentRank + 1}
		c.entries[k] = d
	}

	return d
}

// arrive counts a request.
func (c *demandCounter) arrive(k demandKey, rank int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.entry(k)
	d.now++
	d.rank = min(d.rank, rank)
}

// wait counts a request that found no place.
func (c *demandCounter) wait(k demandKey) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entry(k).waited++
}

// run counts requests at backend servers.
func (c *demandCounter) run(k demandKey, change int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entry(k).running += change
}

// tell lists the demand, and begins a new window when the last is over.
func (c *demandCounter) tell(now time.Time) []wire.TargetDemand {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.rolled) >= _demandWindow {
		c.roll(now)
	}
	out := make([]wire.TargetDemand, 0, len(c.entries))
	for k, d := range c.entries {
		if d.running == 0 && d.perSecond == 0 && d.waiting == 0 && d.waited == 0 && d.now == 0 {
			continue
		}
		out = append(out, wire.TargetDemand{
			Service:   k.service,
			Target:    k.target.String(),
			PerSecond: max(d.perSecond, float64(d.now)),
			Running:   d.running,
			Waiting:   max(d.waiting, d.waited),
			Rank:      d.rank,
		})
	}

	return out
}

func (c *demandCounter) roll(now time.Time) {
	const idleWindows = 20
	seconds := max(now.Sub(c.rolled).Seconds(), _demandWindow.Seconds())
	c.rolled = now
	for k, d := range c.entries {
		d.perSecond = float64(d.now) / seconds
		d.waiting = d.waited
		d.idle++
		if d.now > 0 || d.running > 0 {
			d.idle = 0
		}
		d.now = 0
		d.waited = 0
		if d.idle > idleWindows {
			delete(c.entries, k)
		}
	}
}

// peerDemand is what another instance's callers ask for.
type peerDemand struct {
	at     time.Time
	demand []wire.TargetDemand
}

// compose makes the bulletin of this instance. If passes, others learn from it
// what the store has said.
func (e *Entry) compose(passes bool) wire.Bulletin {
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
		Demand:        e.demand.tell(now),
		Needs:         e.tellNeeds(now),
	}
	if cfg := e.current.Load(); cfg != nil {
		b.Version = cfg.Version
		b.EvidenceAgeMS = int(min(e.evidence.age(), time.Hour).Milliseconds())
	}
	for id, n := range e.board.Running() {
		b.Running = append(b.Running, wire.ServerCount{
			Server: id,
			Count:  n,
		})
	}
	for name, t := range e.book.Tell(now) {
		b.Asked = append(b.Asked, wire.WorkspaceRate{
			Workspace: name,
			PerSecond: t.Asked,
			Spent:     t.Spent,
		})
	}
	e.board.Check(now)
	e.sumDemand(b.Demand, now)
	if passes {
		b.Changes = e.changes.tell(now)
	}
	b.Shards, b.Held = e.steward.Held()
	e.takeHeld(b.Held)

	return b
}

// heard takes what another instance says of itself and passes on.
func (e *Entry) heard(b *wire.Bulletin, notBefore time.Duration) {
	now := time.Now()
	for _, text := range b.Needs {
		service, target := parseNeed(text)
		e.steward.Need(service, target, now)
	}
	for _, shard := range b.Shards {
		if shard.Holder != e.cfg.Settings.Name && shard.Shard >= 0 && shard.Shard < len(e.leases) {
			e.leases[shard.Shard].HolderHeard(steward.Holding{
				Fence:   shard.Fence,
				Version: shard.Version,
				Left:    time.Duration(shard.LeftMS) * time.Millisecond,
			})
		}
	}
	e.takeForeign(b.Held, now)
	e.noteVersion(b.Version)
	if b.Changes.UpTo > 0 && b.EvidenceAgeMS >= 0 && b.EvidenceAgeMS <= int(_evidenceOld.Milliseconds()) {
		e.changes.heard(b.Changes, now)
	}
	cfg := e.current.Load()
	if cfg != nil && b.Version == cfg.Version && b.EvidenceAgeMS >= 0 && notBefore > 0 {
		// The bulletin was sent at notBefore or later, and the sender's
		// evidence was that much older then.
		e.noteEvidence(notBefore - time.Duration(b.EvidenceAgeMS)*time.Millisecond)
	}
}

// takeForeign takes what other stewards say that backend servers hold. A relay
// may say it of this instance's own, which knows better.
func (e *Entry) takeForeign(held []wire.ServerTargets, now time.Time) {
	foreign := make([]wire.ServerTargets, 0, len(held))
	for _, h := range held {
		if !e.steward.Orders(h.Server) {
			foreign = append(foreign, h)
		}
	}
	e.steward.SetForeign(foreign, now)
	e.takeHeld(foreign)
}

// heardSums takes what others say of their requests.
func (e *Entry) heardSums(s exchange.Sums) {
	now := time.Now()
	counts := make(map[string]int, len(s.Bulletin.Running))
	for _, r := range s.Bulletin.Running {
		counts[r.Server] = r.Count
	}
	e.board.SetPeer(s.From, counts, now)
	told := make(map[string]allowance.Told, len(s.Bulletin.Asked))
	for _, a := range s.Bulletin.Asked {
		told[a.Workspace] = allowance.Told{
			Asked: a.PerSecond,
			Spent: a.Spent,
		}
	}
	e.book.Heard(s.From, s.Start, s.Instances, told, now)
	e.mu.Lock()
	e.asked[s.From] = peerDemand{
		at:     now,
		demand: s.Bulletin.Demand,
	}
	e.mu.Unlock()
}

// takeHeld takes the steward's word on what backend servers hold.
func (e *Entry) takeHeld(held []wire.ServerTargets) {
	if len(held) == 0 {
		return
	}
	for _, h := range held {
		e.board.SetTold(h.Server, h.Targets)
	}
	e.wakeWaiters()
}

// heldChanged tells the others at once that a backend server holds something
// else.
func (e *Entry) heldChanged() {
	e.hub.PushHeld()
}

// sumDemand tells the local steward what all instances' callers ask for.
func (e *Entry) sumDemand(own []wire.TargetDemand, now time.Time) {
	sum := map[string]map[site.Target]steward.Want{}
	add := func(list []wire.TargetDemand) {
		for _, d := range list {
			targets := sum[d.Service]
			if targets == nil {
				targets = map[site.Target]steward.Want{}
				sum[d.Service] = targets
			}
			t := parseTarget(d.Target)
			w := targets[t]
			w.Requests += float64(d.Running) + _waitingWeight*float64(d.Waiting)
			w.Running += d.Running
			w.PerSecond += d.PerSecond
			w.Urgent = w.Urgent || d.Rank <= _urgentRank
			targets[t] = w
		}
	}
	add(own)
	e.mu.Lock()
	for name, p := range e.asked {
		if now.Sub(p.at) > _peerMemory {
			delete(e.asked, name)

			continue
		}
		add(p.demand)
	}
	e.mu.Unlock()
	e.steward.SetDemand(sum, now)
}

// need asks the steward, wherever it is, for a target.
func (e *Entry) need(service string, t site.Target) {
	now := time.Now()
	e.steward.Need(service, t, now)
	e.mu.Lock()
	_, told := e.needs[service+"|"+t.String()]
	e.needs[service+"|"+t.String()] = now
	e.mu.Unlock()
	if !told {
		e.hub.PushNeeds()
	}
}

func (e *Entry) tellNeeds(now time.Time) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]string, 0, len(e.needs))
	for text, at := range e.needs {
		if now.Sub(at) > _needMemory {
			delete(e.needs, text)

			continue
		}
		out = append(out, text)
	}

	return out
}

// malformed logs bytes that are no request.
func (e *Entry) malformed(status int, err error) {
	e.cfg.Log.Write(event.EntryMalformed, zap.Int("Status", status), zap.Error(err))
}

// loggedAge is an evidence's age for the log.
func (e *Entry) loggedAge() zap.Field {
	return zap.Duration("EvidenceAge", min(e.evidence.age(), time.Hour))
}

// parseTarget is the reverse of Target.String.
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
