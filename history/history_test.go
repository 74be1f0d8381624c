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

func of(kind wire.HistoryEventKind, id, source string) wire.HistoryEvent {
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

// checkTest is a run with the number of violations that a check must find.
type checkTest struct {
	name   string
	check  func(events []wire.HistoryEvent) []Violation
	want   int
	events []wire.HistoryEvent
}

func row(name string, check func(events []wire.HistoryEvent) []Violation, want int, events ...wire.HistoryEvent) checkTest {
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
	settled := of(wire.HistoryEventKindSettled, "a", "")
	settled.Tokens = 40
	ran := func(id, key string) wire.HistoryEvent {
		e := of(wire.HistoryEventKindAttemptRan, id, "")
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
	sent, got := wire.HistoryEventKindChunkSent, wire.HistoryEventKindChunkDelivered
	tests := []checkTest{
		row("burst and refill", limits(limit(0, 10, 100)), 0, admitted(1, "a", 100), admitted(3, "b", 20)),
		row("a token too many in a late window", limits(limit(0, 10, 100)), 1, admitted(1, "a", 1), admitted(90, "b", 100), admitted(91, "c", 11)),
		row("settled for less", limits(limit(0, 10, 100)), 0, admitted(1, "a", 100), settled, admitted(1, "b", 60)),
		row("larger burst from 5 s", limits(limit(0, 10, 100), limit(5, 10, 200)), 0, admitted(4, "a", 100), admitted(6, "b", 100)),
		row("smaller burst from 5 s", limits(limit(0, 10, 200), limit(5, 10, 100)), 1, admitted(6, "a", 101)),
		row("key ran once", CheckAtMostOnce, 0, ran("a", "k"), ran("b", ""), ran("c", "")),
		row("key ran twice", CheckAtMostOnce, 1, ran("a", "k"), ran("b", "k")),
		row("not run is true", CheckNotRun, 0, ran("a", ""), answered("b", "NotRun", 0), answered("a", "Unknown", 0)),
		row("not run is false", CheckNotRun, 1, answered("a", "NotRun", 0), ran("a", "")),
		row("whole answer", CheckAnswers, 0, of(sent, "a", "a"), of(got, "a", "a"), answered("a", "Done", 1)),
		row("missing chunk", CheckAnswers, 1, of(sent, "a", "a"), of(got, "a", "a"), answered("a", "Done", 2)),
		row("repeated chunk", CheckAnswers, 1, of(sent, "a", "a"), of(got, "a", "a"), of(got, "a", "a")),
		row("another's chunk", CheckAnswers, 1, of(sent, "b", "b"), of(got, "a", "b")),
		row("version stands", CheckVersions, 0, inForce("i", 2), inForce("j", 1), inForce("i", 2)),
		row("version reverts", CheckVersions, 1, inForce("i", 2), inForce("i", 1)),
		row("key within grace", keys, 0, withdrawn, admitted(2, "a", 1)),
		row("key after grace", keys, 1, withdrawn, admitted(2.5, "a", 1)),
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

func TestReadReturnsWhatWasWritten(t *testing.T) {
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
