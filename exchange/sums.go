package exchange

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"papayastair.dev/papayastair/wire"
)

// _maxReadingAge is the maximum age of the last reading of a source that takes
// over from another, a few send intervals. After a longer silence the source is
// counted from a new baseline.
const _maxReadingAge = time.Second

// totals aggregates the contents of bulletins.
type totals struct {
	running map[string]wire.ServerCount
	demand  map[demandKey]wire.TargetDemand
	asked   map[string]float64
	members map[string]bool
	needs   map[string]bool
	shards  map[int]wire.StewardShard
	held    map[string]wire.ServerTargets
}

type demandKey struct {
	service string
	target  string
}

func newTotals() *totals {
	return &totals{
		running: map[string]wire.ServerCount{},
		demand:  map[demandKey]wire.TargetDemand{},
		asked:   map[string]float64{},
		members: map[string]bool{},
		needs:   map[string]bool{},
		shards:  map[int]wire.StewardShard{},
		held:    map[string]wire.ServerTargets{},
	}
}

// add adds the counts of a bulletin, or subtracts them if sign is -1.
func (t *totals) add(b *wire.Bulletin, sign int) {
	for _, r := range b.Running {
		n := t.running[r.Server]
		n.Count += sign * r.Count
		n.Attempts = addRates(n.Attempts, r.Attempts, sign)
		n.Ended += sign * r.Ended
		t.running[r.Server] = n
	}
	for _, d := range b.Demand {
		k := demandKey{
			service: d.Service,
			target:  d.Target,
		}
		demand, ok := t.demand[k]
		if !ok {
			demand = wire.TargetDemand{
				Service: d.Service,
				Target:  d.Target,
				Rank:    d.Rank,
			}
		}
		demand.PerSecond += float64(sign) * d.PerSecond
		demand.Running += sign * d.Running
		demand.Waiting += sign * d.Waiting
		demand.Rank = min(demand.Rank, d.Rank)
		t.demand[k] = demand
	}
	for _, a := range b.Asked {
		t.asked[a.Workspace] += float64(sign) * a.PerSecond
	}
}

// addRates returns the sums of two lists, the second one times sign. It doesn't change
// them.
func addRates(a, b []int, sign int) []int {
	out := make([]int, max(len(a), len(b)))
	copy(out, a)
	for i, n := range b {
		out[i] += sign * n
	}

	return out
}

// positive replaces what is below zero in a list by zero.
func positive(list []int) []int {
	for i, n := range list {
		list[i] = max(n, 0)
	}

	return list
}

// hasCounts reports whether anything is to be said of a backend server.
func hasCounts(c wire.ServerCount) bool {
	return c.Count > 0 || c.Ended > 0 || slices.ContainsFunc(c.Attempts, func(n int) bool { return n > 0 })
}

// addState merges the parts of a bulletin that aren't counters: the live
// members, and the needed and held targets. The remaining lease time of a shard
// decreases with the age of the bulletin.
func (t *totals) addState(b *wire.Bulletin, ageMS int) {
	for _, m := range b.Members {
		t.members[m.Name] = m.Leaving
	}
	if b.Scope == _scopeOwn {
		t.members[b.Name] = b.Leaving
	}
	if ageMS <= int(_needsTTL.Milliseconds()) {
		for _, n := range b.Needs {
			t.needs[n] = true
		}
	}
	t.addShards(b, ageMS)
	for _, h := range b.Held {
		t.held[h.Server] = h
	}
}

// addShards merges the shards of a bulletin. The latest version of a lease counts.
func (t *totals) addShards(b *wire.Bulletin, ageMS int) {
	if ageMS > int(_needsTTL.Milliseconds()) {
		return
	}
	for _, sh := range b.Shards {
		sh.LeftMS -= ageMS
		if other, ok := t.shards[sh.Shard]; sh.LeftMS > 0 && (!ok || other.Version <= sh.Version) {
			t.shards[sh.Shard] = sh
		}
	}
}

// fill writes the totals into a bulletin. A count can be below zero for a
// moment, when a bulletin is subtracted whose counts the aggregate did not
// include; it is then treated as zero.
func (t *totals) fill(b *wire.Bulletin, withDemand bool) {
	b.Running = nil
	for _, id := range slices.Sorted(maps.Keys(t.running)) {
		if n := t.running[id]; hasCounts(n) {
			b.Running = append(b.Running, wire.ServerCount{
				Server:   id,
				Count:    max(n.Count, 0),
				Attempts: positive(n.Attempts),
				Ended:    max(n.Ended, 0),
			})
		}
	}
	b.Demand = nil
	if withDemand {
		for _, d := range t.demand {
			if d.Running > 0 || d.Waiting > 0 || d.PerSecond > 0 {
				d.Running, d.Waiting, d.PerSecond = max(d.Running, 0), max(d.Waiting, 0), max(d.PerSecond, 0)
				b.Demand = append(b.Demand, d)
			}
		}
		slices.SortFunc(b.Demand, func(a, b wire.TargetDemand) int {
			return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Target, b.Target))
		})
	}
	b.Members = nil
	for _, name := range slices.Sorted(maps.Keys(t.members)) {
		b.Members = append(b.Members, wire.ListedInstance{
			Name:    name,
			Leaving: t.members[name],
		})
	}
	b.Needs = slices.Sorted(maps.Keys(t.needs))
	b.Shards = nil
	for _, i := range slices.Sorted(maps.Keys(t.shards)) {
		b.Shards = append(b.Shards, t.shards[i])
	}
	b.Held = nil
	for _, id := range slices.Sorted(maps.Keys(t.held)) {
		b.Held = append(b.Held, t.held[id])
	}
}

// workspaceRates returns the demand of each workspace together with the amount
// spent, sorted by workspace.
func (t *totals) workspaceRates(spent map[string]float64) []wire.WorkspaceRate {
	out := make([]wire.WorkspaceRate, 0, len(spent))
	names := map[string]bool{}
	for name := range t.asked {
		names[name] = true
	}
	for name := range spent {
		names[name] = true
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		out = append(out, wire.WorkspaceRate{
			Workspace: name,
			PerSecond: max(t.asked[name], 0),
			Spent:     spent[name],
		})
	}

	return out
}

// meter accumulates counters from sources that appear, disappear, restart and
// take over from one another.
type meter struct {
	total map[string]float64
	last  map[meterKey]*reading
	// active maps each subject to the source that was counted last.
	active map[string]string
}

// meterKey identifies a source of counters and the subject that they measure.
// Several sources can report on the same subject.
type meterKey struct {
	subject string
	source  string
}

// _subjectAll is the subject of counters that cover all instances.
const _subjectAll = "all"

// reading is the last report of a source. base is the report up to which its
// counters are already included in the total, through this source or another
// one; a source that takes over is counted from there.
type reading struct {
	at    time.Duration
	start int
	spent map[string]float64
	base  map[string]float64
}

func newMeter() *meter {
	return &meter{
		total:  map[string]float64{},
		last:   map[meterKey]*reading{},
		active: map[string]string{},
	}
}

// record stores a reading, and adds its increase over the base to the total if
// the source is the active one. Counts from before the first reading are
// excluded, because they may not be recent; so are those that a source taking
// over accumulated during a silence of more than _maxReadingAge.
func (m *meter) record(k meterKey, start int, spent map[string]float64, active bool, now time.Duration) {
	r, known := m.last[k]
	if !known || m.active[k.subject] != k.source && now-r.at > _maxReadingAge {
		r = &reading{
			start: start,
			base:  spent,
		}
		m.last[k] = r
	}
	r.at = now
	if r.start != start {
		r.start = start
		r.base = nil
	}
	r.spent = spent
	if !active {
		return
	}
	for name, n := range spent {
		m.total[name] += n - r.base[name]
	}
	r.base = spent
	m.active[k.subject] = k.source
	for other, o := range m.last {
		if other.subject == k.subject || other.subject == _subjectAll || k.subject == _subjectAll {
			o.base = o.spent
		}
	}
}

// totalWith returns the total plus the amounts spent in b.
func (m *meter) totalWith(b *wire.Bulletin) map[string]float64 {
	spent := maps.Clone(m.total)
	for _, a := range b.Asked {
		spent[a.Workspace] += a.Spent
	}

	return spent
}

// spentByWorkspace returns the counters of b minus those of subtract, which may
// be nil.
func spentByWorkspace(b, subtract *wire.Bulletin) map[string]float64 {
	out := make(map[string]float64, len(b.Asked))
	for _, a := range b.Asked {
		out[a.Workspace] = a.Spent
	}
	if subtract != nil {
		for _, a := range subtract.Asked {
			out[a.Workspace] -= a.Spent
		}
	}

	return out
}
