package quota

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"papayastair.dev/papayastair/history"
)

// load is a pattern of calls within or over the rate.
type load struct {
	// times is the offered load as a multiple of the rate. pattern selects where
	// calls arrive: "even" over all instances, at "one" instance, or "moving" to
	// another one every 7 s.
	times   float64
	pattern string
	// bursty sends the load in the first third of every 6 s.
	bursty bool
	outage bool
	// deaths kills an instance every 20 s and restarts it 5 s later.
	deaths bool
}

// result counts the calls of a run. A refusal is wrongful if a single bucket for
// the whole fleet, charged with all calls admitted or wrongfully refused before,
// had the tokens.
type result struct {
	calls    int
	admitted int
	wrongful int
	// splitAdmitted and splitWrongful are the counts for a static split of rate
	// and burst, compared with a single bucket of its own.
	splitAdmitted int
	splitWrongful int
}

func perThousand(wrongful, admitted int) float64 {
	return 1000 * float64(wrongful) / float64(wrongful+admitted)
}

func (r result) String() string {
	return fmt.Sprintf("%d calls, %d admitted, wrongful per thousand %.2f; static split %d admitted, %.1f",
		r.calls, r.admitted, perThousand(r.wrongful, r.admitted), r.splitAdmitted, perThousand(r.splitWrongful, r.splitAdmitted))
}

// baseline is one or more buckets without lending.
type baseline struct {
	buckets []*bucket
}

func newBaseline(limit Limit, fractions []float64) *baseline {
	base := &baseline{}
	for _, fraction := range fractions {
		b := &bucket{
			limit:          limit,
			fraction:       fraction,
			term:           1,
			baseExpiresAt:  _never,
			nextLoanExpiry: _never,
		}
		b.resize()
		b.level = b.size
		base.buckets = append(base.buckets, b)
	}

	return base
}

// permanentEvidence keeps base shares in force forever.
func permanentEvidence() evidence {
	return evidence{
		expiresAt: _never,
		term:      1,
	}
}

// has reports whether a bucket could admit a call now.
func (s *baseline) has(w *simulation, i int, c call) bool {
	b := s.buckets[i]
	b.advance(int64(w.clock.Now().Sub(w.start)), permanentEvidence())

	return b.level >= float64(c.most)
}

// admit charges a call, even beyond the level, and settles it when it ends.
func (s *baseline) admit(w *simulation, i int, c call) {
	b := s.buckets[i]
	b.advance(int64(w.clock.Now().Sub(w.start)), permanentEvidence())
	b.recordFree()
	b.level -= float64(c.most)
	mark := b.mark()
	w.clock.After(c.runs, func(now time.Time) {
		b.advance(int64(now.Sub(w.start)), permanentEvidence())
		b.refund(mark, float64(c.most-c.used))
	})
}

const (
	_meanUsed   = 456
	_meanMost   = 712
	_settleTime = 15 * time.Second
)

// measure runs a load next to a single bucket for the fleet and a static split.
func measure(seed int64, sizes []int, limit Limit, ld load, length time.Duration) (result, *simulation) {
	w := newSimulation(seed, sizes, []Limit{limit}, _defaultEvidenceTTL, guards{})
	w.clock.Advance(_settleTime)
	total := 0
	for _, s := range sizes {
		total += s
	}
	fractions := make([]float64, 0, len(sizes))
	for _, s := range sizes {
		fractions = append(fractions, float64(s)/float64(total))
	}
	own, splitOwn, split := newBaseline(limit, []float64{1}), newBaseline(limit, []float64{1}), newBaseline(limit, fractions)
	var r result
	if ld.outage {
		w.outage(length)
	}
	if ld.deaths {
		w.clock.Every(20*time.Second, func(time.Time) {
			n := w.nodes[w.names[1+w.rng.Intn(len(sizes)-1)]]
			n.alive = false
			w.clock.After(5*time.Second, func(time.Time) { w.boot(n.self.Instance, n.self.Size) })
		})
	}
	begin := w.clock.Now()
	for w.clock.Now().Sub(begin) < length {
		w.clock.Advance(_step)
		for range w.arrivals(limit, ld, w.clock.Now().Sub(begin)) {
			at := w.arrivalInstance(ld, w.clock.Now().Sub(begin), len(sizes))
			c := w.newCall(limit, at, r.calls)
			r.offer(w, c, own)
			r.offerSplit(w, c, at, split, splitOwn)
		}
	}
	w.clock.Advance(time.Second)

	return r, w
}

// arrivals returns a random number of calls for one step.
func (w *simulation) arrivals(limit Limit, ld load, since time.Duration) int {
	mean := ld.times * limit.RateTokensPerSecond * _step.Seconds() / _meanUsed
	if ld.bursty {
		if since%(6*time.Second) > 2*time.Second {
			return 0
		}
		mean *= 3
	}
	count := 0
	for p := w.rng.ExpFloat64(); p < mean; p += w.rng.ExpFloat64() {
		count++
	}

	return count
}

// arrivalInstance returns the index of the instance at which a call arrives.
func (w *simulation) arrivalInstance(ld load, since time.Duration, count int) int {
	for {
		at := w.rng.Intn(count)
		switch ld.pattern {
		case "one":
			at = 0
		case "moving":
			at = int(since/(7*time.Second)) % count
		}
		if w.nodes[w.names[at]].alive {
			return at
		}
	}
}

// newCall returns a call of the size of a chat.
func (w *simulation) newCall(limit Limit, at, count int) call {
	output := 1 + w.rng.Int63n(512)
	input := 100 + w.rng.Int63n(200)

	return call{
		node:      w.nodes[w.names[at]],
		workspace: limit.Workspace,
		id:        fmt.Sprint(count),
		most:      input + 512,
		used:      input + output,
		runs:      time.Duration(output) * 5 * time.Millisecond,
	}
}

func (r *result) offer(w *simulation, c call, own *baseline) {
	r.calls++
	had := own.has(w, 0, c)
	w.send(c, func(admitted bool) {
		switch {
		case admitted:
			r.admitted++
			own.admit(w, 0, c)
		case had && own.has(w, 0, c):
			r.wrongful++
			own.admit(w, 0, c)
		}
	})
}

func (r *result) offerSplit(w *simulation, c call, at int, split, own *baseline) {
	switch {
	case split.has(w, at, c):
		split.admit(w, at, c)
		own.admit(w, 0, c)
		r.splitAdmitted++
	case own.has(w, 0, c):
		r.splitWrongful++
		own.admit(w, 0, c)
	}
}

func largeLimit() Limit {
	return Limit{
		Workspace:           "large",
		RateTokensPerSecond: 20000,
		BurstTokens:         100000,
	}
}

// TestWrongfulRefusalRate checks the targets of issue 4 at 0.9 of the rate: fewer
// than 1 wrongful refusal per thousand, and fewer than 10 during a store outage.
func TestWrongfulRefusalRate(t *testing.T) {
	t.Parallel()
	for _, pattern := range []string{"even", "one"} {
		for _, outage := range []bool{false, true} {
			ld := load{
				times:   0.9,
				pattern: pattern,
				outage:  outage,
			}
			r, w := measure(2, unequalSizes(), largeLimit(), ld, 30*time.Second)
			aim := 1.0
			if outage {
				aim = 10
			}
			t.Logf("%s outage %v: %v", pattern, outage, r)
			if perThousand(r.wrongful, r.admitted) >= aim {
				t.Errorf("%s outage %v: wrongful refusals over %v per thousand: %v", pattern, outage, aim, r)
			}
			if diff := cmp.Diff([]history.Violation(nil), w.check()); diff != "" {
				t.Errorf("windows over rate and burst (-want +got):\n%s", diff)
			}
		}
	}
}

func unequalSizes() []int {
	return []int{1, 1, 2, 2, 3, 4}
}

// TestMeasureRefusals prints the table of docs/quota.md with
// PAPAYASTAIR_MEASURE=1.
func TestMeasureRefusals(t *testing.T) {
	if os.Getenv("PAPAYASTAIR_MEASURE") != "1" {
		t.Skip("set PAPAYASTAIR_MEASURE=1 to measure")
	}
	loads := make([]load, 0, 48)
	for _, times := range []float64{0.9, 1, 2, 5} {
		for _, pattern := range []string{"even", "one", "moving"} {
			for _, bursty := range []bool{false, true} {
				for _, outage := range []bool{false, true} {
					loads = append(loads, load{
						times:   times,
						pattern: pattern,
						bursty:  bursty,
						outage:  outage,
					})
				}
			}
		}
	}
	for _, ld := range loads {
		r, w := measure(1, unequalSizes(), largeLimit(), ld, time.Minute)
		t.Logf("%.1f %-6s bursty %-5v outage %-5v %v excess %v", ld.times, ld.pattern, ld.bursty, ld.outage, r, w.check())
	}
}
