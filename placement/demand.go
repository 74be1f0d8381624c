package placement

import (
	"math"
	"slices"
	"time"

	"papayastair.dev/papayastair/wire"
)

// Forecast predicts the demand for one model by double exponential smoothing.
// The trend distinguishes a sustained rise from a short burst. The zero value is
// ready to use.
type Forecast struct {
	level   float64
	trend   float64
	updated time.Time
}

const (
	_levelTimeConstant = 30 * time.Second
	_trendTimeConstant = 3 * time.Minute
	_forecastHorizon   = 90 * time.Second
)

// Observe adds a measurement of the demand, in tokens per second.
func (f *Forecast) Observe(tokensPerSecond float64, now time.Time) {
	if f.updated.IsZero() {
		f.level = tokensPerSecond
		f.updated = now

		return
	}
	dt := now.Sub(f.updated).Seconds()
	if dt <= 0 {
		return
	}
	expected := f.level + f.trend*dt
	level := expected + (tokensPerSecond-expected)*smoothingFactor(dt, _levelTimeConstant)
	f.trend += ((level-f.level)/dt - f.trend) * smoothingFactor(dt, _trendTimeConstant)
	f.level = level
	f.updated = now
}

// Demand returns the demand to plan for, in tokens per second: the larger of
// the current level and the level extrapolated along the trend over the time
// that loading a copy takes.
func (f *Forecast) Demand() float64 {
	return max(0, f.level, f.level+f.trend*_forecastHorizon.Seconds())
}

// smoothingFactor returns the weight of an observation made dt seconds after the
// previous one.
func smoothingFactor(dt float64, timeConstant time.Duration) float64 {
	return 1 - math.Exp(-dt/timeConstant.Seconds())
}

const (
	_balanceRounds = 12
	// _targetUtilization is the fraction of an accelerator's capacity that the
	// planner assigns.
	_targetUtilization = 0.9
)

// Attained returns the demand that the serving copies have capacity for and the
// total demand, both in tokens per second. The demand is keyed by model.
func Attained(fleet Fleet, presence map[string]Presence, copies map[string][]wire.Copy, demand map[string]float64) (attained, total float64) {
	x := newIndex(fleet, presence, copies)
	x.maxUtilization = 1
	for _, m := range x.models {
		m.demand = demand[m.Name]
		m.copies = slices.DeleteFunc(m.copies, func(c *copyState) bool { return c.State != wire.CopyStateServing })
	}
	x.balanceDemand()
	for _, m := range x.models {
		attained += m.attained
		total += m.demand
	}

	return attained, total
}

// balanceDemand distributes the demand of each model over its copies, shifts
// load from overloaded accelerators to others, and sets the attained demand of
// each model.
func (x *index) balanceDemand() {
	for _, m := range x.models {
		for _, c := range m.copies {
			c.weight = 0
			if c.retained() && c.reachable() {
				c.weight = 1
			}
		}
	}
	for range _balanceRounds {
		x.computeLoads()
		for _, m := range x.models {
			for _, c := range m.copies {
				if c.weight > 0 {
					c.weight *= x.weightFactor(c.accel)
				}
			}
		}
	}
	x.computeLoads()
	for _, m := range x.models {
		m.attained = 0
		for _, c := range m.copies {
			if c.weight > 0 {
				m.attained += c.weight * m.demand * min(1, c.accel.capacity*x.maxUtilization/max(c.accel.load, 1e-9))
			}
		}
	}
}

// computeLoads normalizes the weights of the copies and computes the load of
// each accelerator.
func (x *index) computeLoads() {
	for _, a := range x.accelerators {
		a.load = 0
	}
	for _, m := range x.models {
		sum := 0.0
		for _, c := range m.copies {
			sum += c.weight
		}
		if sum == 0 {
			continue
		}
		for _, c := range m.copies {
			if c.weight > 0 {
				c.weight /= sum
				c.accel.load += c.weight * m.demand
			}
		}
	}
}

// weightFactor returns the factor by which the weight of a copy on the
// accelerator changes in one balancing round.
func (x *index) weightFactor(a *accelerator) float64 {
	const minUtilization, maxFactor = 0.02, 4.0
	utilization := max(a.load/max(a.capacity*x.maxUtilization, 1e-9), minUtilization)

	return max(1/maxFactor, min(maxFactor, 1/math.Sqrt(utilization)))
}
