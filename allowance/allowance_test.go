package allowance_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"papayastair.dev/papayastair/allowance"
	"papayastair.dev/papayastair/site"
)

const (
	testRate    = 23350.0
	testWindow  = 8.0
	testTick    = 20 * time.Millisecond
	testBulltin = 200 * time.Millisecond
)

const (
	testOver = 0.1
	// testInstances is how many instances there are.
	testInstances = 8
	testSlack     = 7500.0
	// testLost is the part of the bulletins that is lost.
	testLost = 0.02
)

// world is some instances that hear each other by bulletins.
type world struct {
	rng   *rand.Rand
	books []*allowance.Book
	start []int
	now   time.Time
	cut   map[int]bool
	// admitted are the tokens admitted in each tick.
	admitted []float64
	asked    int
	refused  int
	// largest is the most that a request costs.
	largest float64
	burst   float64
}

func newWorld(seed uint64, burst float64) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 7)),
		now: time.Unix(1000, 0),
		cut: map[int]bool{},

		largest: 2000,
		burst:   burst,
	}
	for range testInstances {
		w.books = append(w.books, nil)
		w.start = append(w.start, 0)
	}
	for i := range w.books {
		w.restart(i)
	}

	return w
}

func (w *world) restart(i int) {
	w.start[i]++
	w.books[i] = allowance.New(allowance.Limits{
		Over:   testOver,
		Slack:  testSlack,
		Window: time.Duration(testWindow * float64(time.Second)),
	})
	others := map[string]int{}
	for j := range w.books {
		if j != i {
			others[fmt.Sprint(j)] = 1
		}
	}
	w.books[i].SetPeers(others, w.now)
	w.books[i].SetWorkspaces([]site.Workspace{{
		Name:          "w",
		RatePerSecond: testRate,
		Burst:         w.burst,
		CountsTokens:  true,
	}}, w.now)
}

// tick lets callers ask for about perSecond tokens a second, at the instances
// that where picks.
func (w *world) tick(perSecond float64, where func() int) {
	w.now = w.now.Add(testTick)
	sum := 0.0
	for left := perSecond * testTick.Seconds(); left > 0; {
		cost := 200 + w.rng.Float64()*(w.largest-200)
		// A last part of a request comes by chance.
		if cost > left && w.rng.Float64() > left/cost {
			break
		}
		left -= cost
		w.asked++
		if w.books[where()].Take("w", cost, w.now).OK {
			sum += cost
		} else {
			w.refused++
		}
	}
	w.admitted = append(w.admitted, sum)
	for i := range w.books {
		if (len(w.admitted)+3*i)%int(testBulltin/testTick) == 0 {
			w.tell(i)
		}
	}
}

// tell lets one instance tell the others, of whom some don't hear it.
func (w *world) tell(i int) {
	told := w.books[i].Tell(w.now)
	for j, other := range w.books {
		if i != j && !w.cut[i] && !w.cut[j] && w.rng.Float64() >= testLost {
			other.Heard(fmt.Sprint(i), w.start[i], 1, told, w.now)
		}
	}
}

func (w *world) anywhere() int {
	return w.rng.IntN(len(w.books))
}

// worst is the most that was admitted in a window.
func (w *world) worst() float64 {
	window := int(testWindow / testTick.Seconds())
	sum, worst := 0.0, 0.0
	for i, n := range w.admitted {
		sum += n
		if i >= window {
			sum -= w.admitted[i-window]
		}
		worst = max(worst, sum)
	}

	return worst
}

func (w *world) bound() float64 {
	return (testRate*testWindow+w.burst)*(1+testOver) + testSlack
}

// TestNeverOver asks for many times the limit, from all sides or one, with
// instances that are cut off, killed and started anew, and finds no window over
// what the platform allows.
func TestNeverOver(t *testing.T) {
	tests := []struct {
		name    string
		asked   float64
		largest float64
		// waves makes demand rise and fall by four fifths of
		// what is asked, with this period in ticks.
		waves float64
		// burst is the workspace's, if it isn't the rate's of a second.
		burst float64
		play  func(w *world, tick int)
		one   bool
	}{
		{
			name:  "seven times the rate",
			asked: 7 * testRate,
		},
		{
			// A hunt on cellstack-permits (quiet-1, seed 491885638644) found
			// 210414 tokens where 209950 were allowed.
			name:    "somewhat more, in large requests",
			asked:   1.6 * testRate,
			largest: 8000,
		},
		{
			// quiet-1 of cellstack-permits: 220565 of 209950, as the burst that
			// was saved up in a lull came on top of the extra.
			name:  "demand in waves about the rate",
			asked: 1.5 * testRate,
			waves: 300,
			burst: 3.6 * testRate,
		},
		{
			name:  "all at one instance",
			asked: 7 * testRate,
			one:   true,
		},
		{
			name:  "restarts",
			asked: 4 * testRate,
			play: func(w *world, tick int) {
				if tick%100 == 50 {
					w.restart(w.anywhere())
				}
			},
		},
		{
			name:  "all restarted at once",
			asked: 4 * testRate,
			play: func(w *world, tick int) {
				if tick == 700 {
					for i := range w.books {
						w.restart(i)
					}
				}
			},
		},
		{
			name:  "some cut off",
			asked: 4 * testRate,
			play: func(w *world, tick int) {
				if tick%400 == 100 {
					w.cut[w.anywhere()] = true
				}
				if tick%400 == 350 {
					clear(w.cut)
				}
			},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			most, bound := 0.0, 0.0
			for seed := range uint64(40) {
				w := newWorld(seed, max(tt.burst, testRate))
				w.largest = max(w.largest, tt.largest)
				for tick := range 1500 {
					if tt.play != nil {
						tt.play(w, tick)
					}
					where := w.anywhere
					if tt.one {
						where = func() int { return tick / 500 }
					}
					asked := tt.asked
					if tick < 500 {
						asked = testRate / 2
					} else if tt.waves > 0 {
						asked *= 1 + 0.8*math.Sin(2*math.Pi*float64(tick)/tt.waves)
					}
					w.tick(asked, where)
				}
				most = max(most, w.worst())
				bound = w.bound()
				if worst := w.worst(); worst > bound {
					t.Errorf("seed %d: %.0f tokens in a window, at most %.0f", seed, worst, bound)
				}
			}
			t.Logf("at most %.0f tokens in a window of 40 runs, %.0f are allowed", most, bound)
		})
	}
}

// TestNoWrongRefusals asks for half the rate in requests that are large against
// each instance's part, and finds hardly any refused: one in a thousand at most.
func TestNoWrongRefusals(t *testing.T) {
	asked, refused := 0, 0
	for seed := range uint64(10) {
		w := newWorld(seed, testRate)
		for range 200 {
			w.tick(0, w.anywhere)
		}
		for range 1500 {
			w.tick(testRate/1.8, w.anywhere)
		}
		asked += w.asked
		refused += w.refused
	}
	if refused*1000 > asked {
		t.Errorf("%d of %d requests within the rate were refused", refused, asked)
	}
}

// TestLoweredLimit lowers the limit under what is asked: within a window the
// new one holds.
func TestLoweredLimit(t *testing.T) {
	w := newWorld(1, testRate)
	for range 500 {
		w.tick(testRate, w.anywhere)
	}
	for _, b := range w.books {
		b.SetWorkspaces([]site.Workspace{{
			Name:          "w",
			RatePerSecond: testRate / 4,
			Burst:         testRate / 4,
		}}, w.now)
	}
	w.admitted = nil
	for range 1000 {
		w.tick(testRate, w.anywhere)
	}
	if worst, most := w.worst(), (testRate/4*testWindow+testRate/4)*1.1+7500; worst > most {
		t.Errorf("%.0f tokens in a window, at most %.0f", worst, most)
	}
}

// TestSteadyExcess asks for more than the rate without end, and finds served
// what each window allows: the burst too, not just the rate.
func TestSteadyExcess(t *testing.T) {
	w := newWorld(3, testRate)
	for range 500 {
		w.tick(testRate/2, w.anywhere)
	}
	w.admitted = nil
	for range 2000 {
		w.tick(2*testRate, w.anywhere)
	}
	sum := 0.0
	for _, n := range w.admitted {
		sum += n
	}
	seconds := float64(len(w.admitted)) * testTick.Seconds()
	least := (testRate*testWindow + testRate) / testWindow
	if got := sum / seconds; got < least {
		t.Errorf("%.0f tokens a second were admitted, want %.0f at least", got, least)
	}
	if worst := w.worst(); worst > w.bound() {
		t.Errorf("%.0f tokens in a window, at most %.0f", worst, w.bound())
	}
}
