package exchange

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// testKnown is within what all must know that an instance leaves: it serves for
// so long beyond the time for which callers keep an answer.
const testKnown = 500 * time.Millisecond

// testEach is of how many instances one is stopped.
const testEach = 22

// sendsTo is how many of the others would send callers to an instance.
func (w *world) sendsTo(gone *member) int {
	n := 0
	for _, m := range w.members {
		if m == gone || m.down {
			continue
		}
		if slices.ContainsFunc(m.v.instances(w.now), func(i Instance) bool { return i.Name == gone.cfg.Name && i.Alive && !i.Leaving }) {
			n++
		}
	}

	return n
}

// TestLeavingReachesAll guards against callers who are sent to an instance that
// has ended, as the word of its leaving came late or was taken back by an older
// one.
func TestLeavingReachesAll(t *testing.T) {
	for _, loss := range []float64{testLoss, 0.05} {
		t.Run(fmt.Sprint(loss), func(t *testing.T) {
			w := newWorld(t, 1, testSmall)
			w.run(settle)
			w.loss = loss
			w.run(settle)
			for i, m := range w.members {
				if i%testEach != 0 {
					continue
				}
				m.leaving = true
				m.pending.news = true
				began, last := w.now, w.now
				for w.now < began+2*testKnown {
					w.run(testStep)
					if w.sendsTo(m) > 0 {
						last = w.now
					}
				}
				if last-began > testKnown {
					t.Errorf("%s: callers were sent there up to %s after it began to leave", m.cfg.Name, last-began)
				}
				m.down = true
				w.run(testStep)
				w.restart(m)
				w.run(settle)
			}
		})
	}
}
