package history

import (
	"bytes"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"papayastair.dev/papayastair/wire"
)

func admitted(second float64, id string, tokens int) wire.HistoryEvent {
	return wire.HistoryEvent{
		Kind:              wire.HistoryEventKindAdmitted,
		AtUnixNanoseconds: int(second * 1e9),
		Workspace:         "w",
		Key:               "k",
		RequestID:         id,
		Tokens:            tokens,
	}
}

func newEvent(kind wire.HistoryEventKind, id, source string) wire.HistoryEvent {
	return wire.HistoryEvent{
		Kind:      kind,
		RequestID: id,
		SourceID:  source,
		Text:      source,
	}
}

func answered(id string, outcome wire.HistoryEventOutcome, chunks int) wire.HistoryEvent {
	return wire.HistoryEvent{
		Kind:      wire.HistoryEventKindAnswered,
		RequestID: id,
		Outcome:   outcome,
		Index:     chunks,
	}
}

// checkTest is a recorded run and the number of violations that a check must
// return.
type checkTest struct {
	name   string
	check  func(events []wire.HistoryEvent) []Violation
	want   int
	events []wire.HistoryEvent
}

func newCheckTest(name string, check func(events []wire.HistoryEvent) []Violation, want int, events ...wire.HistoryEvent) checkTest {
	return checkTest{
		name:   name,
		check:  check,
		want:   want,
		events: events,
	}
}

func TestChecks(t *testing.T) {
	limits := func(from ...RateLimit) func(events []wire.HistoryEvent) []Violation {
		return func(events []wire.HistoryEvent) []Violation { return CheckRate(events, from) }
	}
	limit := func(second, rate, burst float64) RateLimit {
		return RateLimit{
			Workspace:           "w",
			FromUnixNanoseconds: int(second * 1e9),
			RateTokensPerSecond: rate,
			BurstTokens:         burst,
		}
	}
	settled := newEvent(wire.HistoryEventKindSettled, "a", "")
	settled.Tokens = 40
	ran := func(id, key string) wire.HistoryEvent {
		e := newEvent(wire.HistoryEventKindAttemptRan, id, "")
		e.IdempotencyKey = key

		return e
	}
	inForce := func(instance string, version int) wire.HistoryEvent {
		return wire.HistoryEvent{
			Kind:     wire.HistoryEventKindConfigurationInForce,
			Instance: instance,
			Version:  version,
		}
	}
	withdrawn := wire.HistoryEvent{
		Kind: wire.HistoryEventKindKeyWithdrawn,
		Key:  "k",
	}
	keys := func(events []wire.HistoryEvent) []Violation { return CheckKeys(events, 2*time.Second) }
	sent, delivered := wire.HistoryEventKindChunkSent, wire.HistoryEventKindChunkDelivered
	tests := []checkTest{
		newCheckTest("burst and refill", limits(limit(0, 10, 100)), 0, admitted(1, "a", 100), admitted(3, "b", 20)),
		newCheckTest("one token over the limit in a later window", limits(limit(0, 10, 100)), 1, admitted(1, "a", 1), admitted(90, "b", 100), admitted(91, "c", 11)),
		newCheckTest("settled for fewer tokens than charged", limits(limit(0, 10, 100)), 0, admitted(1, "a", 100), settled, admitted(1, "b", 60)),
		newCheckTest("larger burst from 5 s", limits(limit(0, 10, 100), limit(5, 10, 200)), 0, admitted(4, "a", 100), admitted(6, "b", 100)),
		newCheckTest("smaller burst from 5 s", limits(limit(0, 10, 200), limit(5, 10, 100)), 1, admitted(6, "a", 101)),
		newCheckTest("one run for an idempotency key", CheckAtMostOnce, 0, ran("a", "k"), ran("b", ""), ran("c", "")),
		newCheckTest("two runs for an idempotency key", CheckAtMostOnce, 1, ran("a", "k"), ran("b", "k")),
		newCheckTest("answered NotRun without a run", CheckNotRun, 0, ran("a", ""), answered("b", "NotRun", 0), answered("a", "Unknown", 0)),
		newCheckTest("answered NotRun with a run", CheckNotRun, 1, answered("a", "NotRun", 0), ran("a", "")),
		newCheckTest("complete answer", CheckAnswers, 0, newEvent(sent, "a", "a"), newEvent(delivered, "a", "a"), answered("a", "Done", 1)),
		newCheckTest("missing chunk", CheckAnswers, 1, newEvent(sent, "a", "a"), newEvent(delivered, "a", "a"), answered("a", "Done", 2)),
		newCheckTest("repeated chunk", CheckAnswers, 1, newEvent(sent, "a", "a"), newEvent(delivered, "a", "a"), newEvent(delivered, "a", "a")),
		newCheckTest("chunk of another request", CheckAnswers, 1, newEvent(sent, "b", "b"), newEvent(delivered, "a", "b")),
		newCheckTest("version unchanged", CheckVersions, 0, inForce("i", 2), inForce("j", 1), inForce("i", 2)),
		newCheckTest("version reverts", CheckVersions, 1, inForce("i", 2), inForce("i", 1)),
		newCheckTest("admitted within the grace period", keys, 0, withdrawn, admitted(2, "a", 1)),
		newCheckTest("admitted after the grace period", keys, 1, withdrawn, admitted(2.5, "a", 1)),
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			violations := tt.check(tt.events)
			if diff := cmp.Diff(tt.want, len(violations)); diff != "" {
				t.Errorf("violations (-want +got):\n%s%v", diff, violations)
			}
		})
	}
}

func TestWriteReadRoundTrip(t *testing.T) {
	events := []wire.HistoryEvent{admitted(1, "a", 2), answered("a", "Done", 0)}
	var b bytes.Buffer
	if err := Write(&b, events); err != nil {
		t.Fatal(err)
	}
	read, err := Read(&b)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(events, read); diff != "" {
		t.Errorf("events (-written +read):\n%s", diff)
	}
}
