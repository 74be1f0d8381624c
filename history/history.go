// Package history checks recorded runs against the guarantees of the system.
// A run is a slice of wire.HistoryEvent, merged from the records of the
// instances, the backend servers and the callers, in any order. Each check is
// a plain function that returns the violations it found:
//
//	events, err := history.Read(file)
//	violations := history.CheckRate(events, limits)
//
// The clocks of the recorders must be synchronized, as they are on one machine.
package history

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"papayastair.dev/papayastair/wire"
)

const _maxLineBytes = 1 << 20

// Violation describes a breach of one of the guarantees.
type Violation struct {
	// Check is the name of the check that found the violation.
	Check string
	// Subject identifies the workspace, request, key or instance concerned.
	Subject string
	// AtUnixNanoseconds is the time of the event that completed the violation.
	AtUnixNanoseconds int
	// Detail is a human-readable description.
	Detail string
}

// Read reads events in JSON Lines format.
func Read(r io.Reader) ([]wire.HistoryEvent, error) {
	var events []wire.HistoryEvent
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, _maxLineBytes)
	for lines.Scan() {
		var e wire.HistoryEvent
		if err := json.Unmarshal(lines.Bytes(), &e); err != nil {
			return nil, eris.Wrapf(err, "history: line %d", len(events)+1)
		}
		events = append(events, e)
	}

	return events, eris.Wrap(lines.Err(), "history: read")
}

// Write writes events in JSON Lines format.
func Write(w io.Writer, events []wire.HistoryEvent) error {
	encoder := json.NewEncoder(w)
	for i := range events {
		if err := encoder.Encode(&events[i]); err != nil {
			return eris.Wrapf(err, "history: write event %d", i)
		}
	}

	return nil
}

// CheckAtMostOnce returns a violation for each run on a backend server that has the
// same workspace and idempotency key as an earlier run.
func CheckAtMostOnce(events []wire.HistoryEvent) []Violation {
	type callKey struct {
		workspace string
		key       string
	}
	first := map[callKey]wire.HistoryEvent{}
	var violations []Violation
	for _, e := range eventsOfKind(events, wire.HistoryEventKindAttemptRan) {
		if e.IdempotencyKey == "" {
			continue
		}
		id := callKey{workspace: e.Workspace, key: e.IdempotencyKey}
		if prior, ok := first[id]; ok {
			violations = append(violations, newViolation("AtMostOnce", e.IdempotencyKey, e,
				"ran at %s for %s and again at %s for %s", prior.Server, prior.RequestID, e.Server, e.RequestID))

			continue
		}
		first[id] = e
	}

	return violations
}

// CheckNotRun returns a violation for each request that was answered NotRun but
// ran on a backend server, before or after the answer.
func CheckNotRun(events []wire.HistoryEvent) []Violation {
	ran := map[string]wire.HistoryEvent{}
	for _, e := range eventsOfKind(events, wire.HistoryEventKindAttemptRan) {
		ran[e.RequestID] = e
	}
	var violations []Violation
	for _, e := range eventsOfKind(events, wire.HistoryEventKindAnswered) {
		if e.Outcome != wire.HistoryEventOutcomeNotRun {
			continue
		}
		if run, ok := ran[e.RequestID]; ok {
			violations = append(violations, newViolation("NotRun", e.RequestID, e, "answered NotRun but ran at %s", run.Server))
		}
	}

	return violations
}

// CheckAnswers returns violations for requests whose caller received chunks of
// another request, chunks that differ from those sent by the backend server,
// missing or repeated chunks, or the outcome Done without the complete answer. A
// SourceID other than the RequestID is valid only if both requests have the same
// idempotency key, because a repeated request receives the saved answer.
func CheckAnswers(events []wire.HistoryEvent) []Violation {
	keys, sent := indexChunks(events)
	delivered := map[string]int{}
	var violations []Violation
	for _, e := range eventsOfKind(events, wire.HistoryEventKindChunkDelivered) {
		matches := e.SourceID == e.RequestID || keys[e.RequestID] != "" && keys[e.RequestID] == keys[e.SourceID]
		text, known := sent[chunkKey{sourceID: e.SourceID, index: e.Index}]
		switch {
		case !matches:
			violations = append(violations, newViolation("Answers", e.RequestID, e, "received a chunk of request %s", e.SourceID))
		case e.Index != delivered[e.RequestID]:
			violations = append(violations, newViolation("Answers", e.RequestID, e, "received chunk %d, expected %d", e.Index, delivered[e.RequestID]))
		case !known || text != e.Text:
			violations = append(violations, newViolation("Answers", e.RequestID, e, "chunk %d differs from the chunk sent by the backend server", e.Index))
		}
		delivered[e.RequestID]++
	}
	for _, e := range eventsOfKind(events, wire.HistoryEventKindAnswered) {
		if e.Outcome == wire.HistoryEventOutcomeDone && delivered[e.RequestID] != e.Index {
			violations = append(violations, newViolation("Answers", e.RequestID, e, "Done with %d of %d chunks", delivered[e.RequestID], e.Index))
		}
	}

	return violations
}

// CheckVersions returns a violation each time an instance reverts to an earlier
// version of the configuration, including across restarts.
func CheckVersions(events []wire.HistoryEvent) []Violation {
	highest := map[string]int{}
	var violations []Violation
	for _, e := range eventsOfKind(events, wire.HistoryEventKindConfigurationInForce) {
		if e.Version < highest[e.Instance] {
			violations = append(violations, newViolation("Versions", e.Instance, e, "version %d after %d", e.Version, highest[e.Instance]))
		}
		highest[e.Instance] = max(highest[e.Instance], e.Version)
	}

	return violations
}

// CheckKeys returns a violation for each request admitted with a key more than
// grace after the key was withdrawn.
func CheckKeys(events []wire.HistoryEvent, grace time.Duration) []Violation {
	withdrawn := map[string]int{}
	for _, e := range eventsOfKind(events, wire.HistoryEventKindKeyWithdrawn) {
		if _, ok := withdrawn[e.Key]; !ok {
			withdrawn[e.Key] = e.AtUnixNanoseconds
		}
	}
	var violations []Violation
	for _, e := range eventsOfKind(events, wire.HistoryEventKindAdmitted) {
		at, ok := withdrawn[e.Key]
		if late := time.Duration(e.AtUnixNanoseconds - at); ok && late > grace {
			violations = append(violations, newViolation("Keys", e.RequestID, e, "admitted %s after the withdrawal of %s", late, e.Key))
		}
	}

	return violations
}

// chunkKey identifies a chunk by its index and the request that it was generated
// for.
type chunkKey struct {
	sourceID string
	index    int
}

// indexChunks returns the idempotency key of each request and the text of each
// chunk sent by a backend server.
func indexChunks(events []wire.HistoryEvent) (keys map[string]string, sent map[chunkKey]string) {
	keys, sent = map[string]string{}, map[chunkKey]string{}
	for _, e := range events {
		if e.IdempotencyKey != "" {
			keys[e.RequestID] = e.IdempotencyKey
		}
		if e.Kind == wire.HistoryEventKindChunkSent {
			sent[chunkKey{sourceID: e.SourceID, index: e.Index}] = e.Text
		}
	}

	return keys, sent
}

// eventsOfKind returns the events of a kind sorted by time. The sort is stable.
func eventsOfKind(events []wire.HistoryEvent, kind wire.HistoryEventKind) []wire.HistoryEvent {
	var matching []wire.HistoryEvent
	for _, e := range events {
		if e.Kind == kind {
			matching = append(matching, e)
		}
	}
	slices.SortStableFunc(matching, func(a, b wire.HistoryEvent) int {
		return cmp.Compare(a.AtUnixNanoseconds, b.AtUnixNanoseconds)
	})

	return matching
}

func newViolation(check, subject string, e wire.HistoryEvent, format string, args ...any) Violation {
	return Violation{
		Check:             check,
		Subject:           subject,
		AtUnixNanoseconds: e.AtUnixNanoseconds,
		Detail:            fmt.Sprintf(format, args...),
	}
}
