package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"papayastair.dev/papayastair/timer"
	"papayastair.dev/papayastair/wire"
)

// newTable returns a table of n equal servers, each serving model m in
// version 1, and its virtual clock. The first has the adapter a.
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
			name:   "an unknown model",
			change: func(r *Request) { r.Model = "x" },
			want:   want{Reason: ReasonNoServer},
		},
		{
			name:   "another version",
			change: func(r *Request) { r.Version = "2" },
			want:   want{Reason: ReasonNoServer},
		},
		{
			name:   "the adapter in place",
			change: func(r *Request) { r.Adapter = "a" },
			want:   want{Server: "s0", Reason: ReasonBest},
		},
		{
			name:   "the adapter loaded where only others are allowed",
			change: func(r *Request) { r.Adapter, r.Exclude = "a", []string{"s0", "s1"} },
			want:   want{Server: "s2", Reason: ReasonBest, LoadAdapter: true},
		},
		{
			name:   "the failure domain between equals",
			change: func(r *Request) { r.FailureDomain, r.OutputTokens = "d1", 1 },
			want:   want{Server: "s1", Reason: ReasonBest},
		},
		{
			name: "the cached prefix",
			before: func(table *Table, _ *timer.Service) {
				table.ObserveCacheEvents("s2", cacheEvents(1, 10))
			},
			change: func(r *Request) { r.PrefixHashes = hashes(10) },
			want:   want{Server: "s2", Reason: ReasonCache},
		},
		{
			name: "the cached prefix against a full server",
			before: func(table *Table, _ *timer.Service) {
				table.ObserveCacheEvents("s2", cacheEvents(1, 10))
				table.Observe(testReport(2, 2, 20))
				table.SetShare("s2", 0)
			},
			change: func(r *Request) { r.PrefixHashes, r.Exclude = hashes(10), []string{"s0"} },
			want:   want{Server: "s1", Reason: ReasonBest},
		},
		{
			name: "no belief after a gap",
			before: func(table *Table, _ *timer.Service) {
				table.ObserveCacheEvents("s2", cacheEvents(1, 10))
				table.ObserveCacheEvents("s2", []wire.CacheEvent{{Sequence: 20, Model: "x", Present: true}})
			},
			change: func(r *Request) { r.PrefixHashes, r.FailureDomain, r.OutputTokens = hashes(10), "d0", 1 },
			want:   want{Server: "s0", Reason: ReasonBest},
		},
		{
			name: "a server that leaves by its own report and by a peer's finding",
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
			name: "lost servers by peers' findings, but not one that answers here",
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
			name: "servers that the platform doesn't list any more",
			before: func(table *Table, _ *timer.Service) {
				table.SetServers(testServers(1))
			},
			want: want{Server: "s0", Reason: ReasonBest},
		},
		{
			name:   "no first token within the slack",
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
			name: "retries beyond the budget",
			before: func(table *Table, _ *timer.Service) {
				for range int(_retryReserve) {
					table.Choose(Request{Model: "x", Retry: true})
				}
			},
			change: func(r *Request) { r.Retry = true },
			want:   want{Reason: ReasonRetryBudget},
		},
		{
			name:   "the one that is named",
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

// TestEjectionIsLimitedAndProbed lets all servers fail: at most MaxEjected of
// them are out, and they come back by probes when they answer again.
func TestEjectionIsLimitedAndProbed(t *testing.T) {
	tests := []struct {
		name        string
		unlimited   bool
		wantEjected int
	}{
		{name: "limited", unlimited: false, wantEjected: 3},
		{name: "the guard off", unlimited: true, wantEjected: 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table, clock := newTable(10, func(cfg *Config) { cfg.IgnoreEjectionLimit = tt.unlimited })
			play := func(outcome Outcome) (probes int) {
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
			play(OutcomeFailed)
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
			probes := play(OutcomeOK)
			if diff := cmp.Diff(tt.wantEjected*_readmitProbes, probes); diff != "" {
				t.Errorf("probes until all are back (-want +got):\n%s", diff)
			}
			for name, s := range table.servers {
				if s.health.ejected {
					t.Errorf("%s is still out", name)
				}
			}
		})
	}
}

// TestLostServerGetsNoWork counts the requests that go to a server after its
// connection was refused: none but single probes, and all others again after
// the first answer.
func TestLostServerGetsNoWork(t *testing.T) {
	var told []wire.ServerFinding
	table, clock := newTable(2, func(cfg *Config) {
		cfg.Tell = func(f wire.ServerFinding) { told = append(told, f) }
	})
	counts := map[string]int{}
	dead := true
	for i := range 2000 {
		clock.Advance(10 * time.Millisecond)
		if i == 800 {
			dead = false
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
		if dead {
			counts["refused"]++
			table.Done(d.Ticket, Result{Outcome: OutcomeRefused})

			continue
		}
		counts["served"]++
		table.FirstToken(d.Ticket)
		table.Done(d.Ticket, Result{Outcome: OutcomeOK})
	}
	// Within 8 s: once, and probes after 1, 2 and 4 s more.
	if diff := cmp.Diff(4, counts["refused"]); diff != "" {
		t.Errorf("requests to the dead server (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]any{4, true}, []any{len(told), counts["served"] > 0}); diff != "" {
		t.Errorf("findings told, and served again (-want +got):\n%s", diff)
	}
}

// TestOneReportIsUsedOnce lets six instances, each with one request running,
// act on the same late report. Together they take the free places and no more
// than one each beside; without shares each takes all of them.
func TestOneReportIsUsedOnce(t *testing.T) {
	tests := []struct {
		name        string
		ignoreShare bool
		wantHerd    bool
	}{
		{name: "shares", ignoreShare: false, wantHerd: false},
		{name: "the guard off", ignoreShare: true, wantHerd: true},
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
			taken, free := 0, 0
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
				free = int(s.speed.limit(table.cfg.MaxGap, s.slots)) - instances
				for table.Choose(request).Ticket != nil {
					taken++
				}
			}
			t.Logf("%d places taken of %d free", taken, free)
			if diff := cmp.Diff(tt.wantHerd, taken > free+instances); diff != "" {
				t.Errorf("herd (-want +got):\n%s", diff)
			}
		})
	}
}
