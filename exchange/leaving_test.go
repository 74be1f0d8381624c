package exchange

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// testLeavingDeadline is the time within which the Leaving flag must reach all
// instances. A leaving instance keeps serving for this long after the time for
// which callers cache a response.
const testLeavingDeadline = 500 * time.Millisecond

// testSampleStride selects every n-th instance to be stopped.
const testSampleStride = 22

// routingTo returns the number of instances that would route callers to the
// leaving one.
func (sim *simulation) routingTo(leaving *member) int {
	n := 0
	for _, m := range sim.members {
		if m == leaving || m.down {
			continue
		}
		if slices.ContainsFunc(m.v.instances(sim.now), func(i Instance) bool { return i.Name == leaving.cfg.Name && i.Alive && !i.Leaving }) {
			n++
		}
	}

	return n
}

// TestLeavingPropagates guards against callers being routed to a stopped
// instance, because its Leaving flag arrived late or was overwritten by an
// older bulletin.
func TestLeavingPropagates(t *testing.T) {
	for _, loss := range []float64{testLoss, 0.05} {
		t.Run(fmt.Sprint(loss), func(t *testing.T) {
			sim := newSimulation(t, 1, testSmall)
			sim.run(testConvergence)
			sim.loss = loss
			sim.run(testConvergence)
			for i, m := range sim.members {
				if i%testSampleStride != 0 {
					continue
				}
				m.leaving = true
				m.pending.changed = true
				began, last := sim.now, sim.now
				for sim.now < began+2*testLeavingDeadline {
					sim.run(testStep)
					if sim.routingTo(m) > 0 {
						last = sim.now
					}
				}
				if last-began > testLeavingDeadline {
					t.Errorf("%s: callers were still routed to it %s after it began to leave", m.cfg.Name, last-began)
				}
				m.down = true
				sim.run(testStep)
				sim.restart(m)
				sim.run(testConvergence)
			}
		})
	}
}
