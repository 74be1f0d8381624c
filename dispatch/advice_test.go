package dispatch_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"papayastair.dev/papayastair/dispatch"
	"papayastair.dev/papayastair/site"
	"papayastair.dev/papayastair/wire"
)

// limitPlan is a fleet that sends requests to a backend server with a limit.
type limitPlan struct {
	instances int
	// demand is the rate of the callers' requests, and limit that of the server.
	demand float64
	limit  float64
	// lag is the time that a bulletin takes, and restarts the mean number of instances
	// that start again each second.
	lag      time.Duration
	restarts float64
}

// limitFleet is the state of that fleet in virtual time.
type limitFleet struct {
	limitPlan
	rng       *rand.Rand
	now       time.Time
	names     []string
	balancers []*dispatch.Balancer
	limited   bool
	answers   []limitAnswer
	mail      []limitMail
	// arrivals are the times at which requests reach the server.
	arrivals []time.Time
}

type limitAnswer struct {
	at       time.Time
	instance int
	run      *dispatch.Run
}

type limitMail struct {
	at     time.Time
	from   int
	advice []wire.ServerAdvice
}

const (
	_limitStep     = 10 * time.Millisecond
	_limitBulletin = 200 * time.Millisecond
)

func newLimitFleet(p limitPlan) *limitFleet {
	f := &limitFleet{
		limitPlan: p,
		rng:       rand.New(rand.NewPCG(5, uint64(p.instances))),
		now:       testStart,
		limited:   true,
		balancers: make([]*dispatch.Balancer, p.instances),
	}
	for i := range f.balancers {
		f.names = append(f.names, fmt.Sprintf("edge-%03d", i))
		f.start(i)
	}

	return f
}

// start starts an instance, which knows nothing of the server's limit.
func (f *limitFleet) start(i int) {
	f.balancers[i] = newBoard(engineServer("a", "m"))
}

func (f *limitFleet) run(d time.Duration) {
	next := f.now
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(_limitStep) {
		if f.rng.Float64() < f.restarts*_limitStep.Seconds() {
			f.start(f.rng.IntN(f.instances))
		}
		if !f.now.Before(next) {
			next = f.now.Add(_limitBulletin)
			f.send()
		}
		f.receive()
		for n := f.demand * _limitStep.Seconds(); f.rng.Float64() < n; n-- {
			f.request(f.rng.IntN(f.instances))
		}
	}
}

// request lets an instance send a request if it may. It reaches the server, and the
// answer the instance, some time later.
func (f *limitFleet) request(i int) {
	b := f.balancers[i]
	if b.Choose(newRequest(0), f.now).Server == nil {
		return
	}
	arrives := f.now.Add(time.Duration(f.rng.Float64() * float64(300*time.Millisecond)))
	f.arrivals = append(f.arrivals, arrives)
	f.answers = append(f.answers, limitAnswer{
		at:       arrives.Add(time.Duration(f.rng.Float64() * float64(time.Second))),
		instance: i,
		run:      b.Begin("a", site.Target{Model: "m"}, f.now),
	})
}

// send composes the bulletins of all instances.
func (f *limitFleet) send() {
	for i, b := range f.balancers {
		if b.HasLimits() {
			b.SetMembers(f.names[i], slices.Delete(slices.Clone(f.names), i, i+1))
		}
		if advice := b.Advice(false, f.now); len(advice) > 0 {
			f.mail = append(f.mail, limitMail{
				at:     f.now.Add(f.lag),
				from:   i,
				advice: advice,
			})
		}
	}
}

// receive delivers the answers and bulletins that are due.
func (f *limitFleet) receive() {
	answers := f.answers[:0]
	for _, a := range f.answers {
		if a.at.After(f.now) {
			answers = append(answers, a)

			continue
		}
		b := f.balancers[a.instance]
		b.End(a.run, dispatch.ResultOK, 0, f.now)
		b.Advise("a", site.Advice{
			Limited:   f.limited,
			PerSecond: f.limit,
		}, true, f.now)
	}
	f.answers = answers
	mail := f.mail[:0]
	for _, m := range f.mail {
		if m.at.After(f.now) {
			mail = append(mail, m)

			continue
		}
		for i, b := range f.balancers {
			if i != m.from && f.rng.Float64() > 0.02 {
				b.ReceiveAdvice(m.advice, f.now)
			}
		}
	}
	f.mail = mail
}

// most returns the most arrivals in 4 s, and all arrivals, from a time on.
func (f *limitFleet) most(from time.Time) (most, all int) {
	for _, first := range f.arrivals {
		if first.Before(from) {
			continue
		}
		all++
		n := 0
		for _, t := range f.arrivals {
			if d := t.Sub(first); d >= 0 && d < 4*time.Second {
				n++
			}
		}
		most = max(most, n)
	}

	return most, all
}

// TestLimitOfFleet guards against instances that each keep a backend server's limit
// and exceed it together (LIMIT), and against a limit that is hardly used, or never
// found to have ended. In 4 s one and a half times what the limit allows and 5
// requests may reach the server.
func TestLimitOfFleet(t *testing.T) {
	const (
		contact  = 3 * time.Second
		span     = 40 * time.Second
		recovery = 12 * time.Second
	)
	tests := []limitPlan{
		{
			instances: 1,
			demand:    20,
			limit:     2,
		},
		{
			instances: 8,
			demand:    20,
			limit:     1,
			lag:       10 * time.Millisecond,
		},
		{
			instances: 8,
			demand:    20,
			limit:     0,
			lag:       10 * time.Millisecond,
		},
		{
			instances: 6,
			demand:    30,
			limit:     1.7,
			lag:       10 * time.Millisecond,
			restarts:  0.5,
		},
		{
			instances: 68,
			demand:    40,
			limit:     2.5,
			lag:       600 * time.Millisecond,
			restarts:  1,
		},
		{
			instances: 295,
			demand:    100,
			limit:     1.3,
			lag:       600 * time.Millisecond,
			restarts:  2,
		},
		{
			instances: 295,
			demand:    100,
			limit:     12,
			lag:       600 * time.Millisecond,
		},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("%d instances, %g a second", tt.instances, tt.limit), func(t *testing.T) {
			f := newLimitFleet(tt)
			f.run(span)
			most, all := f.most(testStart.Add(contact))
			t.Logf("%d requests in 4 s, %d in all", most, all)
			if allowed := int(1.5*4*tt.limit) + 5; most > allowed {
				t.Errorf("%d requests reached the server in 4 s, want %d at most", most, allowed)
			}
			if want := tt.limit * (span - contact).Seconds() / 4; float64(all) < want {
				t.Errorf("%d requests reached the server, want %g at least", all, want)
			}
			f.limited = false
			f.run(recovery)
			if _, all := f.most(f.now.Add(-time.Second)); float64(all) < tt.demand/2 {
				t.Errorf("%d requests reached the server in the last second, %s after the limit ended", all, recovery)
			}
		})
	}
}

// TestLimitOfStart guards against a limit that a server set before it started again,
// and against one that is lost while the server's entry is missing.
func TestLimitOfStart(t *testing.T) {
	limited := site.Advice{
		Limited:   true,
		PerSecond: 1,
	}
	again := engineServer("a", "m")
	again.Born = 1
	tests := []struct {
		name string
		then func(b *dispatch.Balancer)
		want bool
	}{
		{
			name: "named",
			then: func(*dispatch.Balancer) {},
			want: true,
		},
		{
			name: "the entry is missing for a while",
			then: func(b *dispatch.Balancer) {
				b.RemoveServer("a")
				b.SetServer(engineServer("a", "m"))
			},
			want: true,
		},
		{
			name: "another start",
			then: func(b *dispatch.Balancer) { b.SetServer(again) },
		},
		{
			name: "another start, and a bulletin about the one before",
			then: func(b *dispatch.Balancer) {
				b.SetServer(again)
				b.ReceiveAdvice([]wire.ServerAdvice{{
					Server:  "a",
					Limited: true,
				}}, testStart.Add(time.Second))
			},
		},
		{
			name: "an answer to a request that didn't run names none",
			then: func(b *dispatch.Balancer) { b.Advise("a", site.Advice{}, false, testStart.Add(time.Second)) },
			want: true,
		},
		{
			name: "an answer to a request that ran names none",
			then: func(b *dispatch.Balancer) { b.Advise("a", site.Advice{}, true, testStart.Add(time.Second)) },
		},
		{
			name: "bulletins that can't be true",
			then: func(b *dispatch.Balancer) {
				b.ReceiveAdvice([]wire.ServerAdvice{
					{
						Server:    "a",
						Limited:   true,
						PerSecond: math.NaN(),
					},
					{
						Server: "a",
						AgeMS:  math.MaxInt64 / 500_000,
					},
				}, testStart.Add(time.Second))
			},
			want: true,
		},
		{
			name: "an older bulletin names none",
			then: func(b *dispatch.Balancer) {
				b.ReceiveAdvice([]wire.ServerAdvice{{
					Server: "a",
					AgeMS:  100,
				}}, testStart)
			},
			want: true,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBoard(engineServer("a", "m"))
			b.Advise("a", limited, true, testStart)
			tt.then(b)
			choice := b.Choose(newRequest(0), testStart.Add(2*time.Second))
			if got := choice.Server == nil; got != tt.want {
				t.Errorf("limited %v, want %v: %+v", got, tt.want, choice)
			}
			if tt.want && (choice.Reason != dispatch.ReasonFull || choice.Wait <= 0) {
				t.Errorf("reason %q, wait %s", choice.Reason, choice.Wait)
			}
		})
	}
}
