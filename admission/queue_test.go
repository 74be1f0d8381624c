package admission

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"papayastair.dev/papayastair/timer"
	"papayastair.dev/papayastair/wire"
)

// places is a pool that Place takes from.
type places struct {
	free int
}

func (p *places) place(*Request) Placement {
	if p.free == 0 {
		return NoRoom
	}
	p.free--

	return Placed
}

func newQueue(clock *timer.Service, p *places, change func(*Config)) *Queue {
	cfg := Config{
		Instance: "i0",
		Clock:    clock,
		Place:    p.place,
	}
	if change != nil {
		change(&cfg)
	}

	return New(cfg)
}

// TestOrderOfDispatch fills a queue while nothing is free and frees one place
// after the other.
func TestOrderOfDispatch(t *testing.T) {
	type want struct {
		workspace string
		weight    int
		priority  wire.Priority
		count     int
	}
	tests := []struct {
		name   string
		submit []want
		freed  int
		served map[string]int
		change func(*Config)
	}{
		{
			name: "urgent before live",
			submit: []want{
				{workspace: "live", priority: wire.PriorityLive, count: 20},
				{workspace: "urgent", priority: wire.PriorityUrgent, count: 20},
			},
			freed:  10,
			served: map[string]int{"urgent": 10},
		},
		{
			name: "by weight inside a priority",
			submit: []want{
				{workspace: "a", weight: 1, priority: wire.PriorityLive, count: 100},
				{workspace: "b", weight: 3, priority: wire.PriorityLive, count: 100},
			},
			freed:  40,
			served: map[string]int{"a": 10, "b": 30},
		},
		{
			name: "a floor for batch",
			submit: []want{
				{workspace: "live", priority: wire.PriorityLive, count: 200},
				{workspace: "batch", priority: wire.PriorityBatch, count: 200},
			},
			freed:  100,
			served: map[string]int{"live": 90, "batch": 10},
			change: func(cfg *Config) { cfg.Floor = 0.1 },
		},
		{
			name: "the guard off: first come, first served",
			submit: []want{
				{workspace: "batch", priority: wire.PriorityBatch, count: 20},
				{workspace: "urgent", priority: wire.PriorityUrgent, count: 20},
			},
			freed:  10,
			served: map[string]int{"batch": 10},
			change: func(cfg *Config) { cfg.PlainOrder = true },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := timer.NewVirtual(time.Unix(0, 0))
			p := &places{}
			q := newQueue(clock, p, tt.change)
			served := map[string]int{}
			for _, w := range tt.submit {
				for range w.count {
					clock.Advance(time.Microsecond)
					q.Submit(&Request{
						Workspace: w.workspace,
						Weight:    w.weight,
						Model:     "m",
						Priority:  w.priority,
						Tokens:    100,
					}, func(o Outcome) {
						if o.Kind == Dispatched {
							served[w.workspace]++
						}
					})
				}
			}
			for range tt.freed {
				p.free = 1
				q.Wake([]string{"m"})
			}
			if diff := cmp.Diff(tt.served, served); diff != "" {
				t.Errorf("served (-want +got):\n%s", diff)
			}
		})
	}
}

// TestOneWeightOverSixInstances lets one workspace flood all instances and
// another of the same weight use one of them. Each instance serves by its
// share of one pool. With the exchange off the flood gets several weights.
func TestOneWeightOverSixInstances(t *testing.T) {
	tests := []struct {
		name        string
		ignorePeers bool
		wantFair    bool
	}{
		{name: "exchanged counters", ignorePeers: false, wantFair: true},
		{name: "the guard off", ignorePeers: true, wantFair: false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			const instances = 6
			clock := timer.NewVirtual(time.Unix(0, 0))
			served := map[string]int{}
			pools := make([]*places, instances)
			queues := make([]*Queue, instances)
			for i := range queues {
				pools[i] = &places{}
				queues[i] = newQueue(clock, pools[i], func(cfg *Config) {
					cfg.Instance = fmt.Sprint(i)
					cfg.IgnorePeers = tt.ignorePeers
				})
				queues[i].SetInstances(instances)
			}
			submit := func(i int, workspace string) {
				queues[i].Submit(&Request{
					Workspace: workspace,
					Model:     "m",
					Tokens:    100,
					Deadline:  clock.Now().Add(time.Second),
				}, func(o Outcome) {
					if o.Kind == Dispatched {
						served[workspace]++
					}
				})
			}
			credit := make([]float64, instances)
			for step := range 4000 {
				clock.Advance(10 * time.Millisecond)
				submit(0, "one")
				for i := range instances {
					submit(i, "flood")
				}
				if step%25 == 0 {
					exchange(queues)
				}
				for i, q := range queues {
					credit[i] += q.Shares(map[string][]string{"s": {"m"}})["s"]
					pools[i].free = int(credit[i])
					credit[i] -= float64(pools[i].free)
					q.Wake([]string{"m"})
				}
			}
			ratio := float64(served["flood"]) / float64(served["one"])
			t.Logf("the flood was served %.2f times what the other was", ratio)
			if diff := cmp.Diff(tt.wantFair, ratio < 1.25); diff != "" {
				t.Errorf("fair (-want +got):\n%s", diff)
			}
		})
	}
}

func exchange(queues []*Queue) {
	for i, from := range queues {
		report := from.Report()
		for j, to := range queues {
			if i != j {
				to.Merge(report)
			}
		}
	}
}

// TestRefusals holds that a request which can't meet its deadline is refused
// at once, that the bounds push out the flood and not the others, and that the
// refused never reached Place afterwards.
func TestRefusals(t *testing.T) {
	tests := []struct {
		name     string
		change   func(*Config)
		deadline time.Duration
		waited   time.Duration
		reason   Reason
	}{
		{name: "early", deadline: 50 * time.Millisecond, waited: 0, reason: ReasonLate},
		{
			name:     "the guard off",
			change:   func(cfg *Config) { cfg.LateRefusal = true },
			deadline: 50 * time.Millisecond,
			waited:   60 * time.Millisecond,
			reason:   ReasonExpired,
		},
		{name: "full", change: func(cfg *Config) { cfg.MaxWorkspaceWaiting = 20 }, deadline: time.Hour, waited: 0, reason: ReasonFull},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := timer.NewVirtual(time.Unix(0, 0))
			p := &places{}
			q := newQueue(clock, p, tt.change)
			submit := func(workspace string, deadline time.Duration, deliver func(Outcome)) {
				q.Submit(&Request{
					Workspace: workspace,
					Model:     "m",
					Tokens:    100,
					Deadline:  clock.Now().Add(deadline),
				}, deliver)
			}
			ignore := func(Outcome) {}
			for range 40 {
				submit("a", time.Hour, ignore)
			}
			for range 20 {
				p.free = 1
				q.Wake([]string{"m"})
				clock.Advance(50 * time.Millisecond)
				submit("a", time.Hour, ignore)
			}
			var got []Outcome
			submit("a", tt.deadline, func(o Outcome) { got = append(got, o) })
			clock.Advance(time.Second)
			want := []Outcome{{Kind: NotRun, Reason: tt.reason, Waited: tt.waited}}
			if len(got) == 1 && got[0].RetryAfter >= _shortestRetry {
				got[0].RetryAfter = 0
			} else {
				t.Errorf("no time to come back: %v", got)
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("outcomes (-want +got):\n%s", diff)
			}
		})
	}
}

// TestFullQueuePushesOutTheLongest fills the queue with a flood; others still
// find room, and the flood's newest is refused for each.
func TestFullQueuePushesOutTheLongest(t *testing.T) {
	clock := timer.NewVirtual(time.Unix(0, 0))
	q := newQueue(clock, &places{}, func(cfg *Config) { cfg.MaxWaiting = 50 })
	refused := map[string]int{}
	for i := range 70 {
		workspace := "flood"
		if i >= 60 {
			workspace = "other"
		}
		q.Submit(&Request{
			Workspace: workspace,
			Model:     "m",
			Tokens:    1,
		}, func(Outcome) { refused[workspace]++ })
	}
	if diff := cmp.Diff(map[string]int{"flood": 20}, refused); diff != "" {
		t.Errorf("refused (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(50, q.Len()); diff != "" {
		t.Errorf("waiting (-want +got):\n%s", diff)
	}
}

// TestLeavingCallerFreesItsPlace lets callers leave while they wait.
func TestLeavingCallerFreesItsPlace(t *testing.T) {
	clock := timer.NewVirtual(time.Unix(0, 0))
	p := &places{}
	q := newQueue(clock, p, nil)
	ctx, leave := context.WithCancel(t.Context())
	done := make(chan Outcome, 1)
	go func() {
		done <- q.Wait(ctx, &Request{
			Workspace: "a",
			Model:     "m",
		})
	}()
	for q.Len() == 0 {
		time.Sleep(time.Millisecond)
	}
	leave()
	left := (<-done).Reason
	waiting := q.Len()
	p.free = 1
	next := q.Wait(t.Context(), &Request{
		Workspace: "a",
		Model:     "m",
	})
	got := []any{left, waiting, next.Kind, p.free}
	if diff := cmp.Diff([]any{ReasonLeft, 0, Dispatched, 0}, got); diff != "" {
		t.Errorf("outcomes (-want +got):\n%s", diff)
	}
}
