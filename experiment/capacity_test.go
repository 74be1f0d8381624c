package experiment

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"os"
	"runtime"
	"testing"
	"time"

	"papayastair.dev/papayastair/admission"
	"papayastair.dev/papayastair/routing"
	"papayastair.dev/papayastair/timer"
	"papayastair.dev/papayastair/wire"
)

// TestCapacityPoints prints the points of the capacity sections in
// docs/admission.md and docs/routing.md, at four sizes each.
func TestCapacityPoints(t *testing.T) {
	if os.Getenv("PAPAYASTAIR_TABLES") == "" {
		t.Skip("set PAPAYASTAIR_TABLES=1")
	}
	for _, n := range [][2]int{{12, 15}, {100, 100}, {300, 300}, {820, 770}} {
		bytes, observe := tablePoint(n[0], n[1])
		fmt.Printf("table: workers %d models %d: %d KB, %v for a report with changed models\n", n[0], n[1], bytes>>10, observe)
	}
	for _, n := range []int{1000, 4000, 16000, 64000} {
		bytes, took := suspectsPoint(n)
		fmt.Printf("suspects: records %d: %d KB, %v for an ask and its end at the home\n", n, bytes>>10, took)
	}
	for _, n := range []int{5, 25, 75, 300} {
		fmt.Printf("demand report: entries %d: %d bytes of gob\n", n, gobBytes(demandReport("i0", n)))
	}
	for _, n := range []int{6, 60, 180, 360} {
		fmt.Printf("shares: instances %d, 75 entries each, 820 servers: %v\n", n, sharesPoint(n))
	}
	fmt.Printf("suspect messages in gob: ask %d, answer %d, end %d, finding %d bytes\n",
		gobBytes(wire.SuspectAsk{Instance: "lk-west-a-1", Fingerprint: -1 << 60, Server: "engine-12", Grant: 1 << 20}),
		gobBytes(wire.SuspectAnswer{Verdict: wire.SuspectAnswerVerdictRun, Server: "engine-12"}),
		gobBytes(wire.RunEnd{Instance: "lk-west-a-1", Fingerprint: -1 << 60, Grant: 1 << 20, Completed: true}),
		gobBytes(wire.ServerFinding{Instance: "lk-west-a-1", Server: "engine-12", Kind: wire.ServerFindingKindDied, Fingerprints: []int{-1 << 60}}))
}

func tablePoint(workers, models int) (uint64, time.Duration) {
	before := heap()
	clock := timer.NewVirtual(time.Unix(1000, 0))
	table := routing.New(routing.Config{
		Clock: clock,
	})
	table.SetServers(benchServers(workers))
	for i := range workers {
		table.Observe(benchReport(i, models, 0))
		table.ObserveCacheEvents(fmt.Sprint("s", i), benchEvents(i))
	}
	used := heap() - before
	const rounds = 200
	start := time.Now()
	for i := range rounds {
		report := benchReport(0, models, 0)
		report.Sequence = i + 2
		report.Residents = report.Residents[:4+4*(i%2)]
		table.Observe(report)
	}
	took := time.Since(start) / rounds
	runtime.KeepAlive(table)

	return used, took
}

func suspectsPoint(n int) (uint64, time.Duration) {
	before := heap()
	s := routing.NewSuspects(routing.SuspectsConfig{
		Instance: "i0",
		Clock:    timer.NewVirtual(time.Unix(1000, 0)),
	})
	start := time.Now()
	for i := range n {
		run, _ := s.TryAcquire(i*7919, "s0", "")
		s.Release(&run, routing.OutcomeOK)
	}
	took := time.Since(start) / time.Duration(n)
	used := heap() - before
	runtime.KeepAlive(s)

	return used, took
}

func sharesPoint(instances int) time.Duration {
	queue := admission.New(admission.Config{
		Instance: "i0",
		Clock:    timer.NewVirtual(time.Unix(1000, 0)),
	})
	defer queue.Close()
	for i := range instances {
		queue.Merge(demandReport(fmt.Sprint("peer", i), 75))
	}
	serving := map[string][]string{}
	for i := range 820 {
		name := fmt.Sprint("s", i)
		for j := range 8 {
			serving[name] = append(serving[name], fmt.Sprint("m", (i+j*96)%770))
		}
	}
	const rounds = 5
	start := time.Now()
	for range rounds {
		queue.Shares(serving)
	}

	return time.Since(start) / rounds
}

func demandReport(instance string, n int) wire.DemandReport {
	report := wire.DemandReport{
		Instance: instance,
		Start:    1,
		Sequence: 1000,
	}
	for i := range n {
		report.Demands = append(report.Demands, wire.Demand{
			Workspace:             fmt.Sprint("workspace-", i%5),
			Model:                 fmt.Sprint("m", i%770),
			Urgency:               1,
			WantedTokensPerSecond: 1000 + i,
			ServedTokens:          1_000_000 + i,
		})
	}

	return report
}

// gobBytes is the size of the second message on a connection, which no longer
// carries the description of its type.
func gobBytes(message any) int {
	var b bytes.Buffer
	encoder := gob.NewEncoder(&b)
	sizes := [2]int{}
	for i := range sizes {
		b.Reset()
		if err := encoder.Encode(message); err != nil {
			panic(err)
		}
		sizes[i] = b.Len()
	}

	return sizes[1]
}

func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)

	return m.HeapAlloc
}
