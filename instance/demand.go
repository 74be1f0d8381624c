package instance

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"papayastair.dev/papayastair/peer"
	"papayastair.dev/papayastair/wire"
)

const (
	_demandPeriod  = 2 * time.Second
	_demandTimeout = time.Second
	_demandMethod  = "Instance.Demand"
	// _demandSmoothing is the weight of the newest period.
	_demandSmoothing = 0.3
)

// demand counts the tokens that callers ask for, by model, and gathers the
// counts of all instances when this one plans.
type demand struct {
	mu      sync.Mutex
	counted map[string]int
	rates   map[string]float64
	fleet   map[string]float64
}

func newDemand() *demand {
	return &demand{
		counted: map[string]int{},
		rates:   map[string]float64{},
		fleet:   map[string]float64{},
	}
}

// note counts one request.
func (d *demand) note(model string, tokens int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counted[model] += tokens
}

// roll ends a period.
func (d *demand) roll(time.Time) {
	const negligible = 0.01
	d.mu.Lock()
	defer d.mu.Unlock()
	for model := range d.counted {
		if _, ok := d.rates[model]; !ok {
			d.rates[model] = 0
		}
	}
	for model, rate := range d.rates {
		rate += _demandSmoothing * (float64(d.counted[model])/_demandPeriod.Seconds() - rate)
		d.rates[model] = rate
		if rate < negligible {
			delete(d.rates, model)
		}
	}
	clear(d.counted)
}

// answer is this instance's demand.
func (d *demand) answer(wire.DemandAsk) (wire.DemandAnswer, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	models := make([]wire.ModelDemand, 0, len(d.rates))
	for model, rate := range d.rates {
		models = append(models, wire.ModelDemand{
			Model:           model,
			TokensPerSecond: rate,
		})
	}
	slices.SortFunc(models, func(a, b wire.ModelDemand) int { return cmp.Compare(a.Model, b.Model) })

	return wire.DemandAnswer{Models: models}, nil
}

// total is the demand of the fleet as it was gathered last.
func (d *demand) total() map[string]float64 {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.fleet
}

// gatherDemand asks all instances for their demand if this one plans. An
// instance that doesn't answer counts as none: demand is a hint, and the
// planner's hysteresis bridges a lost message.
func (i *Instance) gatherDemand(ctx context.Context) {
	if !i.planner.IsPlanner() {
		return
	}
	var mu sync.Mutex
	fleet := map[string]float64{}
	add := func(answer wire.DemandAnswer) {
		mu.Lock()
		defer mu.Unlock()
		for _, m := range answer.Models {
			fleet[m.Model] += m.TokensPerSecond
		}
	}
	ctx, cancel := context.WithTimeout(ctx, _demandTimeout)
	defer cancel()
	var wg conc.WaitGroup
	for _, member := range i.members.Peers() {
		wg.Go(func() {
			ask := wire.DemandAsk{Asker: i.cfg.Name}
			answer, err := peer.Call[wire.DemandAsk, wire.DemandAnswer](ctx, i.pool, member.PeerAddress, _demandMethod, ask)
			if err == nil {
				add(answer)
			}
		})
	}
	wg.Wait()
	own, _ := i.demand.answer(wire.DemandAsk{})
	add(own)
	i.demand.mu.Lock()
	defer i.demand.mu.Unlock()
	i.demand.fleet = fleet
}
