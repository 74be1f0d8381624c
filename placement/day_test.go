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

// _loadTime is the simulated duration of a load.
const _loadTime = 4 * time.Second

// scenario describes a fleet and its demand over a day.
type scenario struct {
	name         string
	servers      int
	accelerators int
	domains      int
	models       int
	seed         uint64
	// peakUtilization is the peak demand as a fraction of the fleet's capacity.
	peakUtilization float64
	// spikesPerDay is the mean number of times a day that the demand of a model
	// rises tenfold within an hour.
	spikesPerDay float64
	// peakSpreadHours is the number of hours over which the models' daily peaks
	// are spread.
	peakSpreadHours float64
	length          time.Duration
	// interval is the time between two calls of the planner.
	interval time.Duration
}

var _kandy = scenario{
	name:            "Kandy",
	servers:         12,
	accelerators:    24,
	domains:         3,
	models:          15,
	seed:            1,
	peakUtilization: 0.75,
	spikesPerDay:    1,
	peakSpreadHours: 6,
	length:          24 * time.Hour,
	interval:        10 * time.Second,
}

var _brazos = scenario{
	name:            "Brazos",
	servers:         12,
	accelerators:    24,
	domains:         3,
	models:          15,
	seed:            2,
	peakUtilization: 0.65,
	spikesPerDay:    1.5,
	peakSpreadHours: 14,
	length:          24 * time.Hour,
	interval:        10 * time.Second,
}

// fullSizeFleet returns a fleet of the size expected within two years, scaled by
// part. The simulation covers one hour instead of a day.
func fullSizeFleet(part float64) scenario {
	return scenario{
		name:            fmt.Sprintf("Size%d", int(820*part)),
		servers:         int(820 * part),
		accelerators:    int(6600 * part),
		domains:         7,
		models:          int(770 * part),
		seed:            3,
		peakUtilization: 0.7,
		spikesPerDay:    1,
		peakSpreadHours: 24,
		length:          time.Hour,
		interval:        2 * time.Second,
	}
}

// simulation simulates a fleet whose loads take _loadTime.
type simulation struct {
	scenario scenario
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

func newSimulation(sc scenario) *simulation {
	sim := &simulation{
		scenario: sc,
		presence: map[string]Presence{},
		copies:   map[string][]wire.Copy{},
		loading:  map[copyKey]time.Time{},
		now:      time.Unix(1_000_000, 0),
		rng:      rand.New(rand.NewPCG(sc.seed, 7)),
		scale:    1,
	}
	const gigabyte = 1 << 30
	for i := range sc.servers {
		// The backend servers were bought over several years, and their speeds
		// differ by a factor of four.
		s := wire.BackendServer{
			Name:          fmt.Sprintf("engine-%03d", i),
			Kind:          wire.BackendServerKindEngine,
			FailureDomain: fmt.Sprintf("domain-%d", i%sc.domains),
		}
		n := sc.accelerators*(i+1)/sc.servers - sc.accelerators*i/sc.servers
		memory := []int{24, 32, 48}[sim.rng.IntN(3)] * gigabyte
		s.TokensPerSecond = n * (400 + sim.rng.IntN(1200))
		for a := range n {
			s.Accelerators = append(s.Accelerators, wire.Accelerator{
				Name:        fmt.Sprint(a),
				MemoryBytes: memory,
			})
		}
		sim.fleet.Servers = append(sim.fleet.Servers, s)
		sim.presence[s.Name] = Presence{Live: true}
	}
	for i := range sc.models {
		sim.fleet.Models = append(sim.fleet.Models, wire.Model{
			Name:        fmt.Sprintf("model-%03d", i),
			Version:     "1",
			MemoryBytes: (8 + sim.rng.IntN(24)) * gigabyte,
			MinCopies:   1,
			Priority:    []wire.Priority{wire.PriorityUrgent, wire.PriorityLive, wire.PriorityBatch}[i%3],
		})
		sim.base = append(sim.base, 1/math.Pow(float64(i%97+1), 0.7))
		sim.phase = append(sim.phase, sim.rng.Float64()*sc.peakSpreadHours)
		spikes := make([]time.Duration, int(sc.spikesPerDay+sim.rng.Float64()))
		for k := range spikes {
			spikes[k] = time.Duration(sim.rng.Int64N(int64(24 * time.Hour)))
		}
		sim.spikes = append(sim.spikes, spikes)
	}
	sim.scale = sc.peakUtilization * sim.capacity() / sim.peakDemand()

	return sim
}

func (sim *simulation) capacity() float64 {
	sum := 0.0
	for _, s := range sim.fleet.Servers {
		sum += float64(s.TokensPerSecond)
	}

	return sum
}

func (sim *simulation) peakDemand() float64 {
	peak := 0.0
	for at := time.Duration(0); at < 24*time.Hour; at += 5 * time.Minute {
		sum := 0.0
		for i := range sim.fleet.Models {
			sum += sim.rate(i, at)
		}
		peak = max(peak, sum)
	}

	return peak
}

// rate returns the demand of a model at a time of the day, without noise. It is
// a daily sine wave with spikes that rise tenfold within an hour, last another
// hour and decline within a third.
func (sim *simulation) rate(i int, at time.Duration) float64 {
	hours := at.Hours() + sim.phase[i]
	rate := sim.base[i] * (0.15 + 0.85*math.Pow(math.Max(0, math.Sin(hours*math.Pi/12)), 2))
	for _, spike := range sim.spikes[i] {
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

	return rate * sim.scale
}

func (sim *simulation) demand(at time.Duration) map[string]float64 {
	demand := make(map[string]float64, len(sim.fleet.Models))
	for i, m := range sim.fleet.Models {
		demand[m.Name] = sim.rate(i, at) * (0.7 + 0.6*sim.rng.Float64())
	}

	return demand
}

// completeTransitions removes the copies that are being unloaded and completes the
// loads that have taken _loadTime.
func (sim *simulation) completeTransitions() {
	for name, copies := range sim.copies {
		copies = slices.DeleteFunc(copies, removingCopy)
		for i := range copies {
			key := copyKeyOf(name, copies[i])
			started, loading := sim.loading[key]
			if copies[i].State != wire.CopyStateLoading {
				continue
			}
			if !loading {
				sim.loading[key] = sim.now.Add(-sim.scenario.interval)
				started = sim.loading[key]
			}
			if sim.now.Sub(started) >= _loadTime {
				copies[i].State = wire.CopyStateServing
				delete(sim.loading, key)
			}
		}
		sim.copies[name] = copies
	}
}

func removingCopy(c wire.Copy) bool {
	return c.State == wire.CopyStateDropping || c.State == wire.CopyStateEvicting
}

// result holds the measurements of a simulated day.
type result struct {
	attained      float64
	total         float64
	minAttainment float64
	loads         int
	plans         int
	planningTime  time.Duration
}

func (res result) attainment() float64 {
	return res.attained / res.total
}

// run simulates the scenario. At each interval it calls policy, which changes the
// copies and returns the number of loads.
func (sim *simulation) run(policy func(at time.Duration, demand map[string]float64) int) result {
	res := result{minAttainment: 1}
	sim.rng = rand.New(rand.NewPCG(sim.scenario.seed, 11))
	for at := time.Duration(0); at < sim.scenario.length; at += sim.scenario.interval {
		sim.now = sim.now.Add(sim.scenario.interval)
		sim.completeTransitions()
		demand := sim.demand(at)
		attained, total := Attained(sim.fleet, sim.presence, sim.copies, demand)
		res.attained += attained
		res.total += total
		res.minAttainment = min(res.minAttainment, attained/total)
		start := time.Now()
		res.loads += policy(at, demand)
		res.planningTime += time.Since(start)
		res.plans++
	}

	return res
}

// converge places the models for a constant demand without limits on loads.
func (sim *simulation) converge(demand map[string]float64) {
	const unlimited = 1e6
	p := NewPlanner(Options{
		LoadsPerSecond:     unlimited,
		MaxConcurrentLoads: unlimited,
		DemandDelay:        time.Nanosecond,
		MinCopyAge:         time.Nanosecond,
	})
	for range 80 {
		sim.now = sim.now.Add(sim.scenario.interval)
		sim.completeTransitions()
		sim.executePlan(p, demand)
	}
}

// executePlan executes one plan and returns the number of loads.
func (sim *simulation) executePlan(p *Planner, demand map[string]float64) int {
	loads := 0
	for _, s := range p.Plan(Input{
		Fleet:    sim.fleet,
		Presence: sim.presence,
		Copies:   sim.copies,
		Demand:   demand,
		Now:      sim.now,
	}) {
		copies, ok := s.apply(sim.copies[s.Model], sim.presence, false)
		if !ok {
			break
		}
		sim.copies[s.Model] = copies
		if s.Action == ActionLoad {
			loads++
		}
	}

	return loads
}

// staticDemand returns two demands for static placements: the mean over the day
// and the peak of each model. Both are scaled to the peak demand of the fleet.
func (sim *simulation) staticDemand() (mean, peak map[string]float64) {
	const samples = 288
	mean, peak = map[string]float64{}, map[string]float64{}
	sumMean, sumPeak := 0.0, 0.0
	for i, m := range sim.fleet.Models {
		for k := range samples {
			rate := sim.rate(i, 24*time.Hour*time.Duration(k)/samples)
			mean[m.Name] += rate / samples
			peak[m.Name] = max(peak[m.Name], rate)
		}
		sumMean += mean[m.Name]
		sumPeak += peak[m.Name]
	}
	for name := range peak {
		peak[name] *= sim.scenario.peakUtilization * sim.capacity() / sumPeak
		mean[name] *= sim.scenario.peakUtilization * sim.capacity() / sumMean
	}

	return mean, peak
}

func runPlanner(sc scenario) result {
	sim := newSimulation(sc)
	sim.converge(sim.demand(0))
	p := NewPlanner(Options{})

	return sim.run(func(_ time.Duration, demand map[string]float64) int { return sim.executePlan(p, demand) })
}

// runStatic returns the result of the better of two static placements, one for
// the mean demand of each model and one for its peak. Both demands are scaled to
// the peak demand of the fleet.
func runStatic(sc scenario) result {
	var best result
	for _, forPeak := range []bool{false, true} {
		sim := newSimulation(sc)
		demand, peak := sim.staticDemand()
		if forPeak {
			demand = peak
		}
		sim.converge(demand)
		res := sim.run(func(time.Duration, map[string]float64) int { return 0 })
		if best.total == 0 || res.attainment() > best.attainment() {
			best = res
		}
	}

	return best
}

// runGreedy recomputes the placement every five minutes from the current demand:
// the model with the largest unmet demand gets a copy on the accelerator with the
// most spare capacity.
func runGreedy(sc scenario) result {
	sim := newSimulation(sc)
	sim.copies = sim.greedy(sim.demand(0))

	return sim.run(func(at time.Duration, demand map[string]float64) int {
		if at%(5*time.Minute) != 0 {
			return 0
		}
		before := sim.copies
		sim.copies = sim.greedy(demand)
		loads := 0
		for name, copies := range sim.copies {
			for _, c := range copies {
				if !slices.ContainsFunc(before[name], func(o wire.Copy) bool { return compareCopies(o, c) == 0 }) {
					loads++
				}
			}
		}

		return loads
	})
}

func (sim *simulation) greedy(demand map[string]float64) map[string][]wire.Copy {
	x := newIndex(sim.fleet, sim.presence, nil)
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
			served := max(0, min(unmet[m], best.capacity-best.load))
			best.load += served
			unmet[m] -= served
			placed = true

			break
		}
		if !placed {
			return copies
		}
	}
}

// mostSpare returns the accelerator with the most spare capacity that has enough
// memory for a copy of the model, or nil. Fully loaded accelerators are eligible
// only for the first copy of a model.
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

// TestPlannerAttainment checks that the planner attains more demand than the
// better of two static placements, which are computed from the demand of the whole
// day, with less than a quarter of the loads of a greedy placement that is
// recomputed every five minutes.
func TestPlannerAttainment(t *testing.T) {
	for _, sc := range []scenario{_kandy, _brazos} {
		t.Run(sc.name, func(t *testing.T) {
			t.Parallel()
			planned, static, greedy := runPlanner(sc), runStatic(sc), runGreedy(sc)
			t.Logf(sc.name+" planner: attainment %.4f worst %.3f moves %d, %v a plan", planned.attainment(), planned.minAttainment, planned.loads, planned.planningTime/time.Duration(planned.plans))
			t.Logf(sc.name+" static:  attainment %.4f worst %.3f", static.attainment(), static.minAttainment)
			t.Logf(sc.name+" greedy:  attainment %.4f worst %.3f moves %d", greedy.attainment(), greedy.minAttainment, greedy.loads)
			if planned.attainment() <= static.attainment() {
				t.Error("the planner does not attain more demand than the static placement")
			}
			if planned.loads*4 >= greedy.loads {
				t.Error("the planner loads at least a quarter as many copies as the greedy placement")
			}
		})
	}
}

// simulateDomainLoss removes a failure domain from a converged placement. It returns
// the number of models without a copy on a live server right after the loss, the
// number of loads until no load is in progress or planned, and the time until
// then.
func simulateDomainLoss(sc scenario) (unreachable, loads int, recovery time.Duration) {
	sim := newSimulation(sc)
	sim.converge(sim.demand(0))
	for _, s := range sim.fleet.Servers {
		if s.FailureDomain == "domain-0" {
			sim.presence[s.Name] = Presence{}
		}
	}
	for _, copies := range sim.copies {
		if !slices.ContainsFunc(copies, func(c wire.Copy) bool { return sim.presence[c.Server].Live }) {
			unreachable++
		}
	}
	p := NewPlanner(Options{})
	started := sim.now
	demand := sim.demand(0)
	for range 2000 {
		sim.now = sim.now.Add(sim.scenario.interval)
		sim.completeTransitions()
		n := sim.executePlan(p, demand)
		loads += n
		if n == 0 && len(sim.loading) == 0 && sim.now.Sub(started) > time.Minute {
			break
		}
		recovery = sim.now.Sub(started)
	}

	return unreachable, loads, recovery
}

// TestDomainLoss checks that every model has a copy on a live server right after
// the loss of a failure domain.
func TestDomainLoss(t *testing.T) {
	for _, sc := range []scenario{_kandy, _brazos, fullSizeFleet(0.125)} {
		unreachable, loads, recovery := simulateDomainLoss(sc)
		t.Logf("%s: %d models unreachable, %d loads in %v", sc.name, unreachable, loads, recovery)
		if unreachable > 0 {
			t.Errorf("%s: %d models have no copy on a live server", sc.name, unreachable)
		}
	}
}

// BenchmarkDomainLoss measures the recovery from the loss of a failure domain at
// full size.
func BenchmarkDomainLoss(b *testing.B) {
	for range b.N {
		unreachable, loads, recovery := simulateDomainLoss(fullSizeFleet(1))
		b.ReportMetric(float64(unreachable), "unreachable")
		b.ReportMetric(float64(loads), "loads")
		b.ReportMetric(recovery.Seconds(), "s-virtual")
	}
}

// BenchmarkFleetSize measures planning at four fleet sizes, up to 820 servers and
// 770 models.
func BenchmarkFleetSize(b *testing.B) {
	for _, part := range []float64{0.125, 0.25, 0.5, 1} {
		sc := fullSizeFleet(part)
		b.Run(sc.name, func(b *testing.B) {
			for range b.N {
				res := runPlanner(sc)
				b.ReportMetric(res.attainment(), "attainment")
				b.ReportMetric(float64(res.loads)/sc.length.Hours(), "moves/h")
				b.ReportMetric(float64(res.planningTime.Milliseconds())/float64(res.plans), "ms/plan")
			}
		})
	}
}
