package placement

import (
	"math"
	"slices"
	"time"

	"papayastair.dev/papayastair/wire"
)

// Forecast follows the demand of one model by double exponential smoothing,
// whose trend tells a rise from a passing burst. The zero value is ready.
type Forecast struct {
	level float64
	trend float64
	at    time.Time
}

const (
	_levelTime      = 30 * time.Second
	_trendTime      = 3 * time.Minute
	_forecastWithin = 90 * time.Second
)

// Observe takes in the demand in tokens a second at now.
func (f *Forecast) Observe(tokensPerSecond float64, now time.Time) {
	if f.at.IsZero() {
		f.level = tokensPerSecond
		f.at = now

		return
	}
	dt := now.Sub(f.at).Seconds()
	if dt <= 0 {
		return
	}
	expected := f.level + f.trend*dt
	level := expected + (tokensPerSecond-expected)*weight(dt, _levelTime)
	f.trend += ((level-f.level)/dt - f.trend) * weight(dt, _trendTime)
	f.level = level
	f.at = now
}

// Demand is the demand to plan for, in tokens a second: the larger of today's
// level and of what the trend makes of it while a copy is being loaded.
func (f *Forecast) Demand() float64 {
	return max(0, f.level, f.level+f.trend*_forecastWithin.Seconds())
}

// weight is the weight of one observation after dt seconds.
func weight(dt float64, within time.Duration) float64 {
	return 1 - math.Exp(-dt/within.Seconds())
}

const (
	_splitRounds = 12
	// _fullLoad is the part of an accelerator's capacity that planning uses.
	_fullLoad = 0.9
)

// Attained returns how much of the demand, in tokens a second by model, finds
// capacity on the serving copies of its model, and the whole demand.
func Attained(fleet Fleet, presence map[string]Presence, copies map[string][]wire.Copy, demand map[string]float64) (attained, total float64) {
	x := newIndex(fleet, presence, copies)
	x.fullLoad = 1
	for _, m := range x.models {
		m.demand = demand[m.Name]
		m.copies = slices.DeleteFunc(m.copies, func(c *copyState) bool { return c.State != wire.CopyStateServing })
	}
	x.split()
	for _, m := range x.models {
		attained += m.attained
		total += m.demand
	}

	return attained, total
}

// split spreads the demand of each model over its copies so that overloaded
// accelerators shed to those with room, and notes what is attained.
func (x *index) split() {
	for _, m := range x.models {
		for _, c := range m.copies {
			c.weight = 0
			if c.lasting() && c.live() {
				c.weight = 1
			}
		}
	}
	for range _splitRounds {
		x.spread()
		for _, m := range x.models {
			for _, c := range m.copies {
				if c.weight > 0 {
					c.weight *= x.rebalance(c.at)
				}
			}
		}
	}
	x.spread()
	for _, m := range x.models {
		m.attained = 0
		for _, c := range m.copies {
			if c.weight > 0 {
				m.attained += c.weight * m.demand * min(1, c.at.capacity*x.fullLoad/max(c.at.load, 1e-9))
			}
		}
	}
}

// spread normalizes the weights and computes the load of each accelerator.
func (x *index) spread() {
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
				c.at.load += c.weight * m.demand
			}
		}
	}
}

// rebalance is the factor by which a copy's weight changes in one round.
func (x *index) rebalance(a *accelerator) float64 {
	const floor, most = 0.02, 4.0
	use := max(a.load/max(a.capacity*x.fullLoad, 1e-9), floor)

	return max(1/most, min(most, 1/math.Sqrt(use)))
}
