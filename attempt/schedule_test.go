package attempt

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"papayastair.dev/papayastair/standin"
)

// _faults are what a schedule may bring about. Each begins at once and
// returns how to end it, or nil.
var _faults = []struct {
	name  string
	begin func(f *fleet) func()
}{
	{
		name: "kill",
		begin: func(f *fleet) func() {
			f.kill(f.rng.IntN(len(f.nodes)))

			return nil
		},
	},
	{
		name: "pause",
		begin: func(f *fleet) func() {
			n := f.nodes[f.rng.IntN(len(f.nodes))]
			n.pausedUntil = f.clock.Now().Add(time.Duration(f.rng.IntN(12000)) * time.Millisecond)

			return nil
		},
	},
	{
		name: "pause after record",
		begin: func(f *fleet) func() {
			f.pauseAfterRecord = time.Duration(f.rng.IntN(12000)) * time.Millisecond

			return nil
		},
	},
	{
		name: "store down",
		begin: func(f *fleet) func() {
			f.storeDown = true

			return func() { f.storeDown = false }
		},
	},
	{
		name: "store replies lost",
		begin: func(f *fleet) func() {
			f.loseReplies = true

			return func() { f.loseReplies = false }
		},
	},
	{
		name: "messages between instances lost",
		begin: func(f *fleet) func() {
			f.losePeers = true

			return func() { f.losePeers = false }
		},
	},
	{
		name: "writes late",
		begin: func(f *fleet) func() {
			f.lateWrites = true

			return func() { f.lateWrites = false }
		},
	},
	{
		name: "reads stale",
		begin: func(f *fleet) func() {
			f.memory.SetFaults(standin.StoreFaults{Stale: true})

			return func() { f.memory.SetFaults(standin.StoreFaults{}) }
		},
	},
	{
		name: "service replies lost",
		begin: func(f *fleet) func() {
			f.loseServiceReplies = true

			return func() { f.loseServiceReplies = false }
		},
	},
	{
		name: "connections refused",
		begin: func(f *fleet) func() {
			f.refuseConnection = true

			return func() { f.refuseConnection = false }
		},
	},
}

// scheduleConfig makes everything that ends a record happen within seconds.
func scheduleConfig(unsafe unsafeConfig) Config {
	return Config{
		Shards:             2,
		Life:               30 * time.Second,
		MaxClockDifference: 2 * time.Second,
		SendTimeout:        3 * time.Second,
		AnswerWait:         4 * time.Second,
		SpillBytes:         1500,
		unsafe:             unsafe,
	}
}

// runSchedule sends calls and repeats, two of them at one moment, to three
// instances whose clocks differ by up to 2 s, under two to four faults. With
// an even seed, shards have owners.
func runSchedule(seed uint64, unsafe unsafeConfig) *fleet {
	f := newFleet(seed, 3, scheduleConfig(unsafe))
	f.forwards = seed%2 == 0
	for i := range f.nodes {
		f.nodes[i] = f.start(f.nodes[i].name, time.Duration(f.rng.IntN(2000))*time.Millisecond, 1)
	}
	millis := func(n int) time.Duration { return time.Duration(f.rng.IntN(n)) * time.Millisecond }
	for k := range 12 {
		first := millis(8000)
		times := []time.Duration{first, first, first + millis(200), first + millis(3000), first + millis(25000)}
		for i, at := range times {
			f.after(at, func() { f.request(f.rng.IntN(len(f.nodes)), fmt.Sprint("key-", k), fmt.Sprintf("request-%d-%d", k, i)) })
		}
	}
	for range 2 + f.rng.IntN(3) {
		fault := _faults[f.rng.IntN(len(_faults))]
		f.after(millis(9000), func() {
			if end := fault.begin(f); end != nil {
				f.after(millis(3000), end)
			}
		})
	}
	f.clock.Advance(90 * time.Second)

	return f
}

// TestAtMostOnceUnderFaults runs seeded schedules with at least two faults
// each: no key runs twice, no request that was told NotRun ran, and each
// answer is the one of the run. With a guard off, the same schedules must
// find it out.
func TestAtMostOnceUnderFaults(t *testing.T) {
	const seeds = 250
	tests := []struct {
		name   string
		unsafe unsafeConfig
		wrong  bool
	}{
		{
			name: "guards on",
		},
		{
			name:   "call before record",
			unsafe: unsafeConfig{sendBeforeRecord: true},
			wrong:  true,
		},
		{
			name:   "blind retry",
			unsafe: unsafeConfig{blindRetry: true},
			wrong:  true,
		},
		{
			name:   "record removed early",
			unsafe: unsafeConfig{removeEarly: true},
			wrong:  true,
		},
		{
			name:   "attempt reused after a forward",
			unsafe: unsafeConfig{reuseAttempt: true},
			wrong:  true,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bad, segments := 0, 0
			outcomes := map[Kind]int{}
			for seed := range uint64(seeds) {
				f := runSchedule(seed, test.unsafe)
				wrong := f.check()
				if len(wrong) > 0 {
					bad++
				}
				if len(wrong) > 0 && !test.wrong {
					t.Errorf("seed %d: %v", seed, wrong)
				}
				for kind, n := range f.outcomes {
					outcomes[kind] += n
				}
				for _, n := range f.nodes {
					for _, w := range n.book.writers {
						segments += w.shard.spills
					}
				}
			}
			t.Logf("%d schedules, %d with violations, outcomes %v, %d segments", seeds, bad, outcomes, segments)
			if test.wrong && bad == 0 {
				t.Error("the fault was not found")
			}
		})
	}
}

// TestScheduleIsRepeatable runs a schedule twice and compares all that
// happened.
func TestScheduleIsRepeatable(t *testing.T) {
	for seed := range uint64(20) {
		if diff := cmp.Diff(runSchedule(seed, unsafeConfig{}).events, runSchedule(seed, unsafeConfig{}).events); diff != "" {
			t.Errorf("seed %d:\n%s", seed, diff)
		}
	}
}

// TestLatePausedInstance pauses an instance between record and call for
// longer than the record's life; meanwhile the key is used again.
func TestLatePausedInstance(t *testing.T) {
	for _, sendLate := range []bool{false, true} {
		t.Run(fmt.Sprint("sendLate ", sendLate), func(t *testing.T) {
			f := newFleet(1, 2, scheduleConfig(unsafeConfig{sendLate: sendLate}))
			f.pauseAfterRecord = 50 * time.Second
			f.request(0, "key", "first")
			f.after(40*time.Second, func() { f.request(1, "key", "second") })
			f.clock.Advance(60 * time.Second)
			if wrong := f.check(); (len(wrong) > 0) != sendLate {
				t.Errorf("violations %v", wrong)
			}
		})
	}
}

// BenchmarkStoreWrites reports the store's calls and the time of Begin for
// each call of six instances, over numbers of shards, windows and loads, with
// and without owners of shards. With 4096 shards hardly two records share
// one, which stands for an object per record.
func BenchmarkStoreWrites(b *testing.B) {
	windows := [][2]time.Duration{
		{time.Nanosecond, 100 * time.Millisecond},
		{5 * time.Millisecond, 100 * time.Millisecond},
		{20 * time.Millisecond, 100 * time.Millisecond},
		{20 * time.Millisecond, time.Second},
		{50 * time.Millisecond, 100 * time.Millisecond},
	}
	for _, forwards := range []bool{false, true} {
		for _, shards := range []int{1, 4, 16, 64, 4096} {
			for _, window := range windows {
				for _, perSecond := range []int{1, 10, 50, 200} {
					name := fmt.Sprintf("owners=%v/shards=%d/begin=%s/finish=%s/calls=%d", forwards, shards, window[0], window[1], perSecond)
					b.Run(name, func(b *testing.B) {
						for b.Loop() {
							reportCost(b, forwards, perSecond, Config{
								Shards:       shards,
								BeginWindow:  window[0],
								FinishWindow: window[1],
							})
						}
					})
				}
			}
		}
	}
}

func reportCost(b *testing.B, forwards bool, perSecond int, cfg Config) {
	f := newFleet(1, 6, cfg)
	f.forwards = forwards
	calls := max(200, 10*perSecond)
	at := 0.0
	for i := range calls {
		at += f.rng.ExpFloat64() / float64(perSecond)
		f.after(time.Duration(at*float64(time.Second)), func() {
			f.request(f.rng.IntN(len(f.nodes)), fmt.Sprint("key-", i), fmt.Sprint("request-", i))
		})
	}
	f.clock.Advance(time.Duration(at+10) * time.Second)
	slices.Sort(f.beginTimes)
	stored := f.memory.Calls()
	b.ReportMetric(float64(stored["put"])/float64(calls), "writes/call")
	b.ReportMetric(float64(stored["get"])/float64(calls), "reads/call")
	b.ReportMetric(float64(f.beginTimes[len(f.beginTimes)/2].Microseconds())/1000, "p50-ms")
	b.ReportMetric(float64(f.beginTimes[len(f.beginTimes)*99/100].Microseconds())/1000, "p99-ms")
	b.ReportMetric(float64(f.outcomes[KindDone])/float64(calls), "done")
}
