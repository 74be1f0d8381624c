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

// slotPool implements Config.Place with a number of free slots.
type slotPool struct {
	free int
}

func (p *slotPool) reserve(*Request) Placement {
	if p.free == 0 {
		return NoRoom
	}
	p.free--

	return Placed
}

func newQueue(clock *timer.Service, p *slotPool, change func(*Config)) *Queue {
	cfg := Config{
		Instance: "i0",
		Clock:    clock,
		Place:    p.reserve,
	}
	if change != nil {
		change(&cfg)
	}

	return New(cfg)
}

// TestDispatchOrder submits requests while no slot is free, then frees one slot
// at a time.
func TestDispatchOrder(t *testing.T) {
	type submission struct {
		workspace string
		weight    int
		priority  wire.Priority
		count     int
	}
	tests := []struct {
		name   string
		submit []submission
		freed  int
		served map[string]int
		change func(*Config)
	}{
		{
			name: "urgent before live",
			submit: []submission{
				{workspace: "live", priority: wire.PriorityLive, count: 20},
				{workspace: "urgent", priority: wire.PriorityUrgent, count: 20},
			},
			freed:  10,
			served: map[string]int{"urgent": 10},
		},
		{
			name: "by weight within a priority",
			submit: []submission{
				{workspace: "a", weight: 1, priority: wire.PriorityLive, count: 100},
				{workspace: "b", weight: 3, priority: wire.PriorityLive, count: 100},
			},
			freed:  40,
			served: map[string]int{"a": 10, "b": 30},
		},
		{
			name: "batch floor",
			submit: []submission{
				{workspace: "live", priority: wire.PriorityLive, count: 200},
				{workspace: "batch", priority: wire.PriorityBatch, count: 200},
			},
			freed:  100,
			served: map[string]int{"live": 90, "batch": 10},
			change: func(cfg *Config) { cfg.BatchFloor = 0.1 },
		},
		{
			name: "FIFO with priorities disabled",
			submit: []submission{
				{workspace: "batch", priority: wire.PriorityBatch, count: 20},
				{workspace: "urgent", priority: wire.PriorityUrgent, count: 20},
			},
			freed:  10,
			served: map[string]int{"batch": 10},
			change: func(cfg *Config) { cfg.FIFO = true },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := timer.NewVirtual(time.Unix(0, 0))
			p := &slotPool{}
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

// TestWeightAppliesAcrossInstances checks that a workspace that floods all six
// instances is served less than 1.25 times as often as another of the same
// weight that uses only one. Each instance dispatches its share of one pool of
// slots. Without the exchange of counters the flooding workspace gets its weight
// once per instance.
func TestWeightAppliesAcrossInstances(t *testing.T) {
	tests := []struct {
		name        string
		ignorePeers bool
		wantFair    bool
	}{
		{name: "demand reports merged", ignorePeers: false, wantFair: true},
		{name: "peers ignored", ignorePeers: true, wantFair: false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			const instances = 6
			clock := timer.NewVirtual(time.Unix(0, 0))
			served := map[string]int{}
			pools := make([]*slotPool, instances)
			queues := make([]*Queue, instances)
			for i := range queues {
				pools[i] = &slotPool{}
				queues[i] = newQueue(clock, pools[i], func(cfg *Config) {
					cfg.Instance = fmt.Sprint(i)
					cfg.IgnorePeers = tt.ignorePeers
				})
				queues[i].SetInstanceCount(instances)
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
			t.Logf("flooding workspace was served %.2f times as often as the other", ratio)
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

// TestRefusalReasons checks that a request is refused at once if its deadline is
// unreachable or its workspace has reached its limit, and that it expires in the
// queue with early refusal disabled. Each request must get exactly one outcome,
// with a RetryAfter.
func TestRefusalReasons(t *testing.T) {
	tests := []struct {
		name     string
		change   func(*Config)
		deadline time.Duration
		waited   time.Duration
		reason   Reason
	}{
		{name: "early", deadline: 50 * time.Millisecond, waited: 0, reason: ReasonDeadlineUnreachable},
		{
			name:     "early refusal disabled",
			change:   func(cfg *Config) { cfg.DisableEarlyRefusal = true },
			deadline: 50 * time.Millisecond,
			waited:   60 * time.Millisecond,
			reason:   ReasonDeadlinePassed,
		},
		{name: "full", change: func(cfg *Config) { cfg.MaxWorkspaceWaiting = 20 }, deadline: time.Hour, waited: 0, reason: ReasonQueueFull},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			clock := timer.NewVirtual(time.Unix(0, 0))
			p := &slotPool{}
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
			if len(got) == 1 && got[0].RetryAfter >= _minRetryAfter {
				got[0].RetryAfter = 0
			} else {
				t.Errorf("got %v, want one outcome with a RetryAfter", got)
			}
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("outcomes (-want +got):\n%s", diff)
			}
		})
	}
}

// TestFullQueueEvictsLongestFlow fills the queue from one workspace. Each
// request of another workspace is still accepted, and the newest request of the
// first is refused in its place.
func TestFullQueueEvictsLongestFlow(t *testing.T) {
	clock := timer.NewVirtual(time.Unix(0, 0))
	q := newQueue(clock, &slotPool{}, func(cfg *Config) { cfg.MaxWaiting = 50 })
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

// TestWaitCanceled checks that a canceled request is refused and removed from
// the queue, and that a later request is dispatched.
func TestWaitCanceled(t *testing.T) {
	clock := timer.NewVirtual(time.Unix(0, 0))
	p := &slotPool{}
	q := newQueue(clock, p, nil)
	ctx, cancel := context.WithCancel(t.Context())
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
	cancel()
	left := (<-done).Reason
	waiting := q.Len()
	p.free = 1
	next := q.Wait(t.Context(), &Request{
		Workspace: "a",
		Model:     "m",
	})
	got := []any{left, waiting, next.Kind, p.free}
	if diff := cmp.Diff([]any{ReasonCallerLeft, 0, Dispatched, 0}, got); diff != "" {
		t.Errorf("outcomes (-want +got):\n%s", diff)
	}
}
