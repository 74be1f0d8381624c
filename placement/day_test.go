package placement

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"papayastair.dev/papayastair/wire"
)

// _loadTime is how long a load takes.
const _loadTime = 4 * time.Second

// dayShape is a fleet with its demand over a day.
type dayShape struct {
	name         string
	servers      int
	accelerators int
	domains      int
	models       int
	seed         uint64
	// peak is the largest demand as a part of the fleet's capacity.
	peak float64
	// spikes is how many times a day the demand of a model rises tenfold
	// within an hour, on average.
	spikes float64
	// phases is over how many hours the models' busy times are spread.
	phases float64
	length time.Duration
	// interval is the time between two plans.
	interval time.Duration
}

var _kandy = dayShape{
	name:         "Kandy",
	servers:      12,
	accelerators: 24,
	domains:      3,
	models:       15,
	seed:         1,
	peak:         0.75,
	spikes:       1,
	phases:       6,
	length:       24 * time.Hour,
	interval:     10 * time.Second,
}

var _brazos = dayShape{
	name:         "Brazos",
	servers:      12,
	accelerators: 24,
	domains:      3,
	models:       15,
	seed:         2,
	peak:         0.65,
	spikes:       1.5,
	phases:       14,
	length:       24 * time.Hour,
	interval:     10 * time.Second,
}

// letterSize is the size within two years, for a part of a day.
func letterSize(part float64) dayShape {
	return dayShape{
		name:         fmt.Sprintf("Size%d", int(820*part)),
		servers:      int(820 * part),
		accelerators: int(6600 * part),
		domains:      7,
		models:       int(770 * part),
		seed:         3,
		peak:         0.7,
		spikes:       1,
		phases:       24,
		length:       time.Hour,
		interval:     2 * time.Second,
	}
}

// dayWorld is a fleet whose loads take one interval.
type dayWorld struct {
	shape    dayShape
	fleet    Fleet
	presence map[string]Presence
	copies   map[string][]wire.Copy
	loading  map[copyKey]time.Time
	now      time.Time
	rng      *rand.Rand
	base     []float64
	phase    []float64
	spikes   [][]time.Duration
	scale    float64
}

func newDay(sh dayShape) *dayWorld {
	w := &dayWorld{
		shape:    sh,
		presence: map[string]Presence{},
		copies:   map[string][]wire.Copy{},
		loading:  map[copyKey]time.Time{},
		now:      time.Unix(1_000_000, 0),
		rng:      rand.New(rand.NewPCG(sh.seed, 7)),
		scale:    1,
	}
	const gigabyte = 1 << 30
	for i := range sh.servers {
		// Back ends bought over years: speeds differ by four.
		s := wire.BackendServer{
			Name:          fmt.Sprintf("engine-%03d", i),
			Kind:          wire.BackendServerKindEngine,
			FailureDomain: fmt.Sprintf("domain-%d", i%sh.domains),
		}
		n := sh.accelerators*(i+1)/sh.servers - sh.accelerators*i/sh.servers
		memory := []int{24, 32, 48}[w.rng.IntN(3)] * gigabyte
		s.TokensPerSecond = n * (400 + w.rng.IntN(1200))
		for a := range n {
			s.Accelerators = append(s.Accelerators, wire.Accelerator{
				Name:        fmt.Sprint(a),
				MemoryBytes: memory,
			})
		}
		w.fleet.Servers = append(w.fleet.Servers, s)
		w.presence[s.Name] = Presence{Live: true}
	}
	for i := range sh.models {
		w.fleet.Models = append(w.fleet.Models, wire.Model{
			Name:        fmt.Sprintf("model-%03d", i),
			Version:     "1",
			MemoryBytes: (8 + w.rng.IntN(24)) * gigabyte,
			MinCopies:   1,
			Priority:    []wire.Priority{wire.PriorityUrgent, wire.PriorityLive, wire.PriorityBatch}[i%3],
		})
		w.base = append(w.base, 1/math.Pow(float64(i%97+1), 0.7))
		w.phase = append(w.phase, w.rng.Float64()*sh.phases)
		spikes := make([]time.Duration, int(sh.spikes+w.rng.Float64()))
		for k := range spikes {
			spikes[k] = time.Duration(w.rng.Int64N(int64(24 * time.Hour)))
		}
		w.spikes = append(w.spikes, spikes)
	}
	w.scale = sh.peak * w.capacity() / w.peakDemand()

	return w
}

func (w *dayWorld) capacity() float64 {
	sum := 0.0
	for _, s := range w.fleet.Servers {
		sum += float64(s.TokensPerSecond)
	}

	return sum
}

func (w *dayWorld) peakDemand() float64 {
	most := 0.0
	for at := time.Duration(0); at < 24*time.Hour; at += 5 * time.Minute {
		sum := 0.0
		for i := range w.fleet.Models {
			sum += w.rate(i, at)
		}
		most = max(most, sum)
	}

	return most
}

// rate is the demand of a model at a time of the day, without noise: a daily
// wave, and spikes that rise tenfold within an hour and last another.
func (w *dayWorld) rate(i int, at time.Duration) float64 {
	hours := at.Hours() + w.phase[i]
	rate := w.base[i] * (0.15 + 0.85*math.Pow(math.Max(0, math.Sin(hours*math.Pi/12)), 2))
	for _, spike := range w.spikes[i] {
		d := (at - spike).Hours()
		switch {
		case d < 0 || d >= 3:
		case d < 1:
			rate *= 1 + 9*d
		case d < 2:
			rate *= 10
		default:
			rate *= 1 + 9*(3-d)
		}
	}

	return rate * w.scale
}

func (w *dayWorld) demand(at time.Duration) map[string]float64 {
	demand := make(map[string]float64, len(w.fleet.Models))
	for i, m := range w.fleet.Models {
		demand[m.Name] = w.rate(i, at) * (0.7 + 0.6*w.rng.Float64())
	}

	return demand
}

// settle ends the unloads, and the loads that have had their time.
func (w *dayWorld) settle() {
	for name, copies := range w.copies {
		copies = slices.DeleteFunc(copies, removingCopy)
		for i := range copies {
			key := keyOf(name, copies[i])
			begun, loading := w.loading[key]
			if copies[i].State != wire.CopyStateLoading {
				continue
			}
			if !loading {
				w.loading[key] = w.now.Add(-w.shape.interval)
				begun = w.loading[key]
			}
			if w.now.Sub(begun) >= _loadTime {
				copies[i].State = wire.CopyStateServing
				delete(w.loading, key)
			}
		}
		w.copies[name] = copies
	}
}

func removingCopy(c wire.Copy) bool {
	return c.State == wire.CopyStateDropping || c.State == wire.CopyStateEvicting
}

// figures are the measures of a day.
type figures struct {
	attained float64
	total    float64
	worst    float64
	moves    int
	plans    int
	planning time.Duration
}

func (f figures) attainment() float64 {
	return f.attained / f.total
}

// run drives a policy, which changes the copies at each interval and returns
// the number of loads, over the length of the shape.
func (w *dayWorld) run(policy func(at time.Duration, demand map[string]float64) int) figures {
	f := figures{worst: 1}
	w.rng = rand.New(rand.NewPCG(w.shape.seed, 11))
	for at := time.Duration(0); at < w.shape.length; at += w.shape.interval {
		w.now = w.now.Add(w.shape.interval)
		w.settle()
		demand := w.demand(at)
		attained, total := Attained(w.fleet, w.presence, w.copies, demand)
		f.attained += attained
		f.total += total
		f.worst = min(f.worst, attained/total)
		start := time.Now()
		f.moves += policy(at, demand)
		f.planning += time.Since(start)
		f.plans++
	}

	return f
}

// converge places the models for a demand without pace.
func (w *dayWorld) converge(demand map[string]float64) {
	const ample = 1e6
	p := NewPlanner(Options{
		LoadsPerSecond: ample,
		LoadsAtOnce:    ample,
		DemandHold:     time.Nanosecond,
		CopyHold:       time.Nanosecond,
	})
	for range 80 {
		w.now = w.now.Add(w.shape.interval)
		w.settle()
		w.step(p, demand)
	}
}

// step carries out one plan and returns the number of loads.
func (w *dayWorld) step(p *Planner, demand map[string]float64) int {
	loads := 0
	for _, s := range p.Plan(Input{
		Fleet:    w.fleet,
		Presence: w.presence,
		Copies:   w.copies,
		Demand:   demand,
		Now:      w.now,
	}) {
		copies, ok := s.apply(w.copies[s.Model], w.presence, false)
		if !ok {
			break
		}
		w.copies[s.Model] = copies
		if s.Action == ActionLoad {
			loads++
		}
	}

	return loads
}

// mean is the demand averaged over the day, peak is the highest of each model
// scaled to the same sum; both are for static placements.
func (w *dayWorld) mean() (mean, peak map[string]float64) {
	const steps = 288
	mean, peak = map[string]float64{}, map[string]float64{}
	sumMean, sumPeak := 0.0, 0.0
	for i, m := range w.fleet.Models {
		for k := range steps {
			rate := w.rate(i, 24*time.Hour*time.Duration(k)/steps)
			mean[m.Name] += rate / steps
			peak[m.Name] = max(peak[m.Name], rate)
		}
		sumMean += mean[m.Name]
		sumPeak += peak[m.Name]
	}
	for name := range peak {
		peak[name] *= w.shape.peak * w.capacity() / sumPeak
		mean[name] *= w.shape.peak * w.capacity() / sumMean
	}

	return mean, peak
}

func runPlanner(sh dayShape) figures {
	w := newDay(sh)
	w.converge(w.demand(0))
	p := NewPlanner(Options{})

	return w.run(func(_ time.Duration, demand map[string]float64) int { return w.step(p, demand) })
}

// runStatic is the better of two placements that stay: one made for each
// model's mean demand, one for its peak, and both for a full fleet.
func runStatic(sh dayShape) figures {
	var best figures
	for _, forPeak := range []bool{false, true} {
		w := newDay(sh)
		demand, peak := w.mean()
		if forPeak {
			demand = peak
		}
		w.converge(demand)
		f := w.run(func(time.Duration, map[string]float64) int { return 0 })
		if best.total == 0 || f.attainment() > best.attainment() {
			best = f
		}
	}

	return best
}

// runGreedy places anew each five minutes by the demand of the moment: the
// model that lacks most gets a copy where most capacity is spare.
func runGreedy(sh dayShape) figures {
	w := newDay(sh)
	w.copies = w.greedy(w.demand(0))

	return w.run(func(at time.Duration, demand map[string]float64) int {
		if at%(5*time.Minute) != 0 {
			return 0
		}
		before := w.copies
		w.copies = w.greedy(demand)
		moves := 0
		for name, copies := range w.copies {
			for _, c := range copies {
				if !slices.ContainsFunc(before[name], func(o wire.Copy) bool { return compareCopies(o, c) == 0 }) {
					moves++
				}
			}
		}

		return moves
	})
}

func (w *dayWorld) greedy(demand map[string]float64) map[string][]wire.Copy {
	x := newIndex(w.fleet, w.presence, nil)
	copies := map[string][]wire.Copy{}
	unmet := map[*model]float64{}
	for _, m := range x.models {
		unmet[m] = demand[m.Name]
	}
	for {
		slices.SortStableFunc(x.models, func(a, b *model) int {
			return cmp.Or(compareBools(len(a.copies) > 0, len(b.copies) > 0), cmp.Compare(unmet[b], unmet[a]))
		})
		placed := false
		for _, m := range x.models {
			if len(m.copies) > 0 && unmet[m] < 0.01*demand[m.Name] {
				continue
			}
			best := x.mostSpare(m)
			if best == nil {
				continue
			}
			c := wire.Copy{
				Server:      best.server,
				Accelerator: best.name,
				Version:     m.Version,
				MemoryBytes: m.MemoryBytes,
				State:       wire.CopyStateServing,
			}
			x.addCopy(m, c)
			copies[m.Name] = append(copies[m.Name], c)
			took := max(0, min(unmet[m], best.capacity-best.load))
			best.load += took
			unmet[m] -= took
			placed = true

			break
		}
		if !placed {
			return copies
		}
	}
}

// mostSpare is the accelerator with most spare capacity that has room for a
// first or useful copy of the model, or nil.
func (x *index) mostSpare(m *model) *accelerator {
	var best *accelerator
	for _, a := range x.accelerators {
		full := a.committed+m.footprint > a.memory || (len(m.copies) > 0 && a.load >= a.capacity)
		if full || slices.ContainsFunc(a.copies, func(c *copyState) bool { return c.model == m }) {
			continue
		}
		if best == nil || a.capacity-a.load > best.capacity-best.load {
			best = a
		}
	}

	return best
}

// TestDay holds the planner against the better of two static placements, which
// know the whole day, and against one made greedily anew each five minutes.
func TestDay(t *testing.T) {
	for _, sh := range []dayShape{_kandy, _brazos} {
		t.Run(sh.name, func(t *testing.T) {
			t.Parallel()
			planned, static, greedy := runPlanner(sh), runStatic(sh), runGreedy(sh)
			t.Logf(sh.name+" planner: attainment %.4f worst %.3f moves %d, %v a plan", planned.attainment(), planned.worst, planned.moves, planned.planning/time.Duration(planned.plans))
			t.Logf(sh.name+" static:  attainment %.4f worst %.3f", static.attainment(), static.worst)
			t.Logf(sh.name+" greedy:  attainment %.4f worst %.3f moves %d", greedy.attainment(), greedy.worst, greedy.moves)
			if planned.attainment() <= static.attainment() {
				t.Error("the planner attains no more than the static placement")
			}
			if planned.moves*4 >= greedy.moves {
				t.Error("the planner moves more than a quarter of what the greedy placement moves")
			}
		})
	}
}

// loseDomain takes a failure domain away from a placement that has come to
// rest. It returns the models without a serving copy at once, the loads until
// no plan asks for more than demand does, and the time that took.
func loseDomain(sh dayShape) (unreachable, loads int, took time.Duration) {
	w := newDay(sh)
	w.converge(w.demand(0))
	for _, s := range w.fleet.Servers {
		if s.FailureDomain == "domain-0" {
			w.presence[s.Name] = Presence{}
		}
	}
	for _, copies := range w.copies {
		if !slices.ContainsFunc(copies, func(c wire.Copy) bool { return w.presence[c.Server].Live }) {
			unreachable++
		}
	}
	p := NewPlanner(Options{})
	begun := w.now
	demand := w.demand(0)
	for range 2000 {
		w.now = w.now.Add(w.shape.interval)
		w.settle()
		n := w.step(p, demand)
		loads += n
		if n == 0 && len(w.loading) == 0 && w.now.Sub(begun) > time.Minute {
			break
		}
		took = w.now.Sub(begun)
	}

	return unreachable, loads, took
}

// TestLoseDomain takes a failure domain away from placements at rest.
func TestLoseDomain(t *testing.T) {
	for _, sh := range []dayShape{_kandy, _brazos, letterSize(0.125)} {
		unreachable, loads, took := loseDomain(sh)
		t.Logf("%s: %d models unreachable, %d loads in %v", sh.name, unreachable, loads, took)
		if unreachable > 0 {
			t.Errorf("%s: %d models have no serving copy", sh.name, unreachable)
		}
	}
}

// BenchmarkLoseDomain is the same at the full size.
func BenchmarkLoseDomain(b *testing.B) {
	for range b.N {
		unreachable, loads, took := loseDomain(letterSize(1))
		b.ReportMetric(float64(unreachable), "unreachable")
		b.ReportMetric(float64(loads), "loads")
		b.ReportMetric(took.Seconds(), "s-virtual")
	}
}

// BenchmarkSize plans at four sizes up to 820 servers and 770 models.
func BenchmarkSize(b *testing.B) {
	for _, part := range []float64{0.125, 0.25, 0.5, 1} {
		sh := letterSize(part)
		b.Run(sh.name, func(b *testing.B) {
			for range b.N {
				f := runPlanner(sh)
				b.ReportMetric(f.attainment(), "attainment")
				b.ReportMetric(float64(f.moves)/sh.length.Hours(), "moves/h")
				b.ReportMetric(float64(f.planning.Milliseconds())/float64(f.plans), "ms/plan")
			}
		})
	}
}
