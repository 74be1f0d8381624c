package exchange

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"papayastair.dev/papayastair/wire"
)

// _standInSilence is for how long a source may be silent and still be counted
// from its last word when it stands in for another: a few periods.
const _standInSilence = time.Second

// sums adds up what bulletins say.
type sums struct {
	running map[string]int
	demand  map[demandKey]wire.TargetDemand
	asked   map[string]float64
	members map[string]bool
	needs   map[string]bool
	shards  map[int]wire.StewardShard
	held    map[string][]string
}

type demandKey struct {
	service string
	target  string
}

func newSums() *sums {
	return &sums{
		running: map[string]int{},
		demand:  map[demandKey]wire.TargetDemand{},
		asked:   map[string]float64{},
		members: map[string]bool{},
		needs:   map[string]bool{},
		shards:  map[int]wire.StewardShard{},
		held:    map[string][]string{},
	}
}

// add takes in a bulletin, with sign -1 out of the counts.
func (s *sums) add(b *wire.Bulletin, sign int) {
	for _, r := range b.Running {
		s.running[r.Server] += sign * r.Count
	}
	for _, d := range b.Demand {
		k := demandKey{
			service: d.Service,
			target:  d.Target,
		}
		sum, ok := s.demand[k]
		if !ok {
			sum = wire.TargetDemand{
				Service: d.Service,
				Target:  d.Target,
				Rank:    d.Rank,
			}
		}
		sum.PerSecond += float64(sign) * d.PerSecond
		sum.Running += sign * d.Running
		sum.Waiting += sign * d.Waiting
		sum.Rank = min(sum.Rank, d.Rank)
		s.demand[k] = sum
	}
	for _, a := range b.Asked {
		s.asked[a.Workspace] += float64(sign) * a.PerSecond
	}
}

// addWord takes in what isn't counted: who is alive, what is needed and held.
// Shards say for how long they are held, which ages with the word.
func (s *sums) addWord(b *wire.Bulletin, ageMS int) {
	for _, m := range b.Members {
		s.members[m.Name] = m.Leaving
	}
	if b.Scope == _scopeOwn {
		s.members[b.Name] = b.Leaving
	}
	if ageMS <= int(_needWord.Milliseconds()) {
		for _, n := range b.Needs {
			s.needs[n] = true
		}
		for _, sh := range b.Shards {
			sh.LeftMS -= ageMS
			if known, ok := s.shards[sh.Shard]; sh.LeftMS > 0 && (!ok || known.Version <= sh.Version) {
				s.shards[sh.Shard] = sh
			}
		}
	}
	for _, h := range b.Held {
		s.held[h.Server] = h.Targets
	}
}

// fill writes the sums into a bulletin. Counts that a bulletin lacked when it
// was taken out may be below zero for a moment, and count as none.
func (s *sums) fill(b *wire.Bulletin, withDemand bool) {
	b.Running = nil
	for _, id := range slices.Sorted(maps.Keys(s.running)) {
		if n := s.running[id]; n > 0 {
			b.Running = append(b.Running, wire.ServerCount{
				Server: id,
				Count:  n,
			})
		}
	}
	b.Demand = nil
	if withDemand {
		for _, d := range s.demand {
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
	for _, name := range slices.Sorted(maps.Keys(s.members)) {
		b.Members = append(b.Members, wire.ListedInstance{
			Name:    name,
			Leaving: s.members[name],
		})
	}
	b.Needs = slices.Sorted(maps.Keys(s.needs))
	b.Shards = nil
	for _, i := range slices.Sorted(maps.Keys(s.shards)) {
		b.Shards = append(b.Shards, s.shards[i])
	}
	b.Held = nil
	for _, id := range slices.Sorted(maps.Keys(s.held)) {
		b.Held = append(b.Held, wire.ServerTargets{
			Server:  id,
			Targets: s.held[id],
		})
	}
}

// rates lists what each workspace asks for, with what was spent.
func (s *sums) rates(spent map[string]float64) []wire.WorkspaceRate {
	out := make([]wire.WorkspaceRate, 0, len(spent))
	names := map[string]bool{}
	for name := range s.asked {
		names[name] = true
	}
	for name := range spent {
		names[name] = true
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		out = append(out, wire.WorkspaceRate{
			Workspace: name,
			PerSecond: max(s.asked[name], 0),
			Spent:     spent[name],
		})
	}

	return out
}

// meter adds up counters from sources that come, go, start anew and stand in
// for one another.
type meter struct {
	total map[string]float64
	last  map[meterKey]*reading
	// counted is the source that was counted last, by what it is about.
	counted map[string]string
}

// meterKey is a source of counters, and what they are about: several sources
// may tell of the same.
type meterKey struct {
	about  string
	source string
}

// _aboutAll is what counters of everything are about.
const _aboutAll = "all"

// reading is what a source said last, and what it had said when another source
// was counted last: from there on it is counted if it stands in.
type reading struct {
	at    time.Duration
	start int
	spent map[string]float64
	base  map[string]float64
}

func newMeter() *meter {
	return &meter{
		total:   map[string]float64{},
		last:    map[meterKey]*reading{},
		counted: map[string]string{},
	}
}

// take notes a source's counters, and adds what they have risen if the source
// is counted. What it had counted before it was first heard isn't known to be
// recent; nor is what a source that stands in has counted since it was silent.
func (m *meter) take(k meterKey, start int, spent map[string]float64, counted bool, now time.Duration) {
	r, known := m.last[k]
	if !known || m.counted[k.about] != k.source && now-r.at > _standInSilence {
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
	if !counted {
		return
	}
	for name, n := range spent {
		m.total[name] += n - r.base[name]
	}
	r.base = spent
	m.counted[k.about] = k.source
	for other, o := range m.last {
		if other.about == k.about || other.about == _aboutAll || k.about == _aboutAll {
			o.base = o.spent
		}
	}
}

// with is the total and what a bulletin says besides.
func (m *meter) with(b *wire.Bulletin) map[string]float64 {
	spent := maps.Clone(m.total)
	for _, a := range b.Asked {
		spent[a.Workspace] += a.Spent
	}

	return spent
}

// spentOf are a bulletin's counters, less what is another's.
func spentOf(b, less *wire.Bulletin) map[string]float64 {
	out := make(map[string]float64, len(b.Asked))
	for _, a := range b.Asked {
		out[a.Workspace] = a.Spent
	}
	if less != nil {
		for _, a := range less.Asked {
			out[a.Workspace] -= a.Spent
		}
	}

	return out
}
