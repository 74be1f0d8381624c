package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"papayastair.dev/papayastair/timer"
	"papayastair.dev/papayastair/wire"
)

// newTable returns a table of n equal servers that serve version 1 of model m,
// and its virtual clock. The first server also serves adapter a.
func newTable(n int, change func(*Config)) (*Table, *timer.Service) {
	clock := timer.NewVirtual(time.Unix(1000, 0))
	cfg := Config{
		Instance: "i0",
		Clock:    clock,
	}
	if change != nil {
		change(&cfg)
	}
	t := New(cfg)
	t.SetServers(testServers(n))
	for i := range n {
		t.Observe(testReport(i, 1, 0))
	}

	return t, clock
}

func testServers(n int) []wire.BackendServer {
	servers := make([]wire.BackendServer, 0, n)
	for i := range n {
		servers = append(servers, wire.BackendServer{
			Name:            fmt.Sprintf("s%d", i),
			Kind:            wire.BackendServerKindEngine,
			FailureDomain:   fmt.Sprintf("d%d", i%3),
			Slots:           20,
			TokensPerSecond: 500,
		})
	}

	return servers
}

func testReport(server, sequence, running int) wire.LoadReport {
	report := wire.LoadReport{
		Name:     fmt.Sprintf("s%d", server),
		Sequence: sequence,
		Running:  running,
		Slots:    20,
		Residents: []wire.Resident{{
			Model:   "m",
			Version: "1",
			State:   wire.ResidentStateServing,
		}},
	}
	if server == 0 {
		report.Residents = append(report.Residents, wire.Resident{
			Model:   "m",
			Adapter: "a",
			Version: "2",
			State:   wire.ResidentStateServing,
		})
	}

	return report
}

func TestChoose(t *testing.T) {
	type want struct {
		Server      string
		Reason      Reason
		LoadAdapter bool
	}
	request := Request{
		Model:        "m",
		InputTokens:  640,
		OutputTokens: 20,
		Priority:     wire.PriorityLive,
	}
	tests := []struct {
		name   string
		before func(*Table, *timer.Service)
		change func(*Request)
		want   want
	}{
		{
			name:   "unknown model",
			change: func(r *Request) { r.Model = "x" },
			want:   want{Reason: ReasonNoServer},
		},
		{
			name:   "unknown version",
			change: func(r *Request) { r.Version = "2" },
			want:   want{Reason: ReasonNoServer},
		},
		{
			name:   "server with the adapter",
			change: func(r *Request) { r.Adapter = "a" },
			want:   want{Server: "s0", Reason: ReasonBest},
		},
		{
			name:   "adapter load when its server is excluded",
			change: func(r *Request) { r.Adapter, r.Exclude = "a", []string{"s0", "s1"} },
			want:   want{Server: "s2", Reason: ReasonBest, LoadAdapter: true},
		},
		{
			name:   "same failure domain",
			change: func(r *Request) { r.FailureDomain, r.OutputTokens = "d1", 1 },
			want:   want{Server: "s1", Reason: ReasonBest},
		},
		{
			name: "cached prefix",
			before: func(table *Table, _ *timer.Service) {
				table.ObserveCacheEvents("s2", cacheEvents(1, 10))
			},
			change: func(r *Request) { r.PrefixHashes = hashes(10) },
			want:   want{Server: "s2", Reason: ReasonCache},
		},
		{
			name: "cached prefix on a full server",
			before: func(table *Table, _ *timer.Service) {
				table.ObserveCacheEvents("s2", cacheEvents(1, 10))
				table.Observe(testReport(2, 2, 20))
				table.SetShare("s2", 0)
			},
			change: func(r *Request) { r.PrefixHashes, r.Exclude = hashes(10), []string{"s0"} },
			want:   want{Server: "s1", Reason: ReasonBest},
		},
		{
			name: "gap in the cache events",
			before: func(table *Table, _ *timer.Service) {
				table.ObserveCacheEvents("s2", cacheEvents(1, 10))
				table.ObserveCacheEvents("s2", []wire.CacheEvent{{Sequence: 20, Model: "x", Present: true}})
			},
			change: func(r *Request) { r.PrefixHashes, r.FailureDomain, r.OutputTokens = hashes(10), "d0", 1 },
			want:   want{Server: "s0", Reason: ReasonBest},
		},
		{
			name: "leaving servers by report and by peer finding",
			before: func(table *Table, _ *timer.Service) {
				report := testReport(0, 2, 0)
				report.Leaving = true
				table.Observe(report)
				table.ObserveFinding(wire.ServerFinding{Server: "s1", Kind: wire.ServerFindingKindLeaving})
				table.Observe(testReport(1, 2, 0))
			},
			want: want{Server: "s2", Reason: ReasonBest},
		},
		{
			name: "peer findings of lost servers, one of which answers locally",
			before: func(table *Table, _ *timer.Service) {
				d := table.Choose(Request{Model: "m", Only: "s1"})
				table.Done(d.Ticket, Result{Outcome: OutcomeOK})
				for i := range 3 {
					table.ObserveFinding(wire.ServerFinding{Server: fmt.Sprintf("s%d", i), Kind: wire.ServerFindingKindRefused})
				}
			},
			want: want{Server: "s1", Reason: ReasonBest},
		},
		{
			name: "removed servers",
			before: func(table *Table, _ *timer.Service) {
				table.SetServers(testServers(1))
			},
			want: want{Server: "s0", Reason: ReasonBest},
		},
		{
			name:   "first token later than the slack",
			change: func(r *Request) { r.Slack = time.Millisecond },
			want:   want{Reason: ReasonLate},
		},
		{
			name: "full",
			before: func(table *Table, _ *timer.Service) {
				for i := range 3 {
					table.Observe(testReport(i, 2, 20))
					table.SetShare(fmt.Sprintf("s%d", i), 0)
				}
			},
			want: want{Reason: ReasonNoRoom},
		},
		{
			name: "retry budget exhausted",
			before: func(table *Table, _ *timer.Service) {
				for range int(_maxRetryBurst) {
					table.Choose(Request{Model: "x"})
					table.Choose(Request{Model: "x", Retry: true})
					table.Done(table.Choose(Request{Model: "m", Retry: true}).Ticket, Result{})
				}
			},
			change: func(r *Request) { r.Retry = true },
			want:   want{Reason: ReasonRetryBudget},
		},
		{
			name:   "named server",
			change: func(r *Request) { r.Only = "s1" },
			want:   want{Server: "s1", Reason: ReasonOnly},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table, clock := newTable(3, nil)
			if tt.before != nil {
				tt.before(table, clock)
			}
			r := request
			if tt.change != nil {
				tt.change(&r)
			}
			d := table.Choose(r)
			got := want{
				Server:      d.Server,
				Reason:      d.Reason,
				LoadAdapter: d.LoadAdapter,
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("decision (-want +got):\n%s", diff)
			}
		})
	}
}

func hashes(n int) []int {
	h := make([]int, n)
	for i := range h {
		h[i] = i + 100
	}

	return h
}

func cacheEvents(first, n int) []wire.CacheEvent {
	events := make([]wire.CacheEvent, 0, n)
	for i, hash := range hashes(n) {
		events = append(events, wire.CacheEvent{
			Sequence:   first + i,
			Model:      "m",
			PrefixHash: hash,
			Present:    true,
		})
	}

	return events
}

// TestEjectionLimitAndProbes checks that at most MaxEjected of the servers are
// ejected when all fail, and that probes readmit them once they answer again.
func TestEjectionLimitAndProbes(t *testing.T) {
	tests := []struct {
		name        string
		unlimited   bool
		wantEjected int
	}{
		{name: "limited", unlimited: false, wantEjected: 3},
		{name: "limit disabled", unlimited: true, wantEjected: 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table, clock := newTable(10, func(cfg *Config) { cfg.IgnoreEjectionLimit = tt.unlimited })
			sendRequests := func(outcome Outcome) (probes int) {
				for range 300 {
					clock.Advance(10 * time.Millisecond)
					d := table.Choose(Request{
						Model:        "m",
						InputTokens:  100,
						OutputTokens: 10,
						Priority:     wire.PriorityLive,
					})
					if d.Ticket == nil {
						continue
					}
					if d.Reason == ReasonProbe {
						probes++
					}
					table.Done(d.Ticket, Result{Outcome: outcome})
				}

				return probes
			}
			sendRequests(OutcomeFailed)
			ejected := 0
			for _, s := range table.servers {
				if s.health.ejected {
					ejected++
				}
			}
			if diff := cmp.Diff(tt.wantEjected, ejected); diff != "" {
				t.Errorf("ejected (-want +got):\n%s", diff)
			}
			clock.Advance(_maxEjection)
			probes := sendRequests(OutcomeOK)
			if diff := cmp.Diff(tt.wantEjected*_readmitProbes, probes); diff != "" {
				t.Errorf("probes until all are readmitted (-want +got):\n%s", diff)
			}
			for name, s := range table.servers {
				if s.health.ejected {
					t.Errorf("%s is still ejected", name)
				}
			}
		})
	}
}

// TestLostServerReceivesOnlyProbes checks that a server receives only single
// probes after a refused connection, and regular requests again after the
// first answer.
func TestLostServerReceivesOnlyProbes(t *testing.T) {
	var findings []wire.ServerFinding
	table, clock := newTable(2, func(cfg *Config) {
		cfg.PublishFinding = func(f wire.ServerFinding) { findings = append(findings, f) }
	})
	counts := map[string]int{}
	down := true
	for i := range 2000 {
		clock.Advance(10 * time.Millisecond)
		if i == 800 {
			down = false
		}
		d := table.Choose(Request{
			Model:        "m",
			InputTokens:  100,
			OutputTokens: 10,
			Priority:     wire.PriorityLive,
		})
		if d.Server != "s1" {
			table.Done(d.Ticket, Result{Outcome: OutcomeOK})

			continue
		}
		if down {
			counts["refused"]++
			table.Done(d.Ticket, Result{Outcome: OutcomeRefused})

			continue
		}
		counts["served"]++
		table.FirstToken(d.Ticket)
		table.Done(d.Ticket, Result{Outcome: OutcomeOK})
	}
	// Within 8 s: the first request, and probes after another 1, 2 and 4 s.
	if diff := cmp.Diff(4, counts["refused"]); diff != "" {
		t.Errorf("requests to the stopped server (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]any{4, true}, []any{len(findings), counts["served"] > 0}); diff != "" {
		t.Errorf("published findings and service after recovery (-want +got):\n%s", diff)
	}
}

// TestSharesPreventHerding lets six instances, each with one running request,
// act on the same delayed report. Together they may fill the free places plus
// at most one more each. Without shares each of them fills all the free
// places.
func TestSharesPreventHerding(t *testing.T) {
	tests := []struct {
		name        string
		ignoreShare bool
		wantHerd    bool
	}{
		{name: "shares", ignoreShare: false, wantHerd: false},
		{name: "shares disabled", ignoreShare: true, wantHerd: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			const instances = 6
			request := Request{
				Model:        "m",
				InputTokens:  10,
				OutputTokens: 10,
				Priority:     wire.PriorityUrgent,
			}
			reserved, free := 0, 0
			for i := range instances {
				table, clock := newTable(1, func(cfg *Config) {
					cfg.Instance = fmt.Sprintf("i%d", i)
					cfg.IgnoreShare = tt.ignoreShare
					cfg.DefaultShare = 1.0 / instances
				})
				table.Choose(request)
				clock.Advance(time.Second)
				table.Observe(testReport(0, 2, instances))
				s := table.servers["s0"]
				free = int(s.speed.maxBatch(table.cfg.MaxGap, s.slots)) - instances
				for table.Choose(request).Ticket != nil {
					reserved++
				}
			}
			t.Logf("%d places reserved of %d free", reserved, free)
			if diff := cmp.Diff(tt.wantHerd, reserved > free+instances); diff != "" {
				t.Errorf("herding (-want +got):\n%s", diff)
			}
		})
	}
}
