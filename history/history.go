// Package history checks recorded runs against the promises of the system.
// A run is a slice of wire.HistoryEvent, merged from the records of the
// instances, the backend servers and the callers, in any order. Each check is
// a plain function that returns the violations it found:
//
//	events, err := history.Read(file)
//	violations := history.CheckRate(events, limits)
//
// The clocks of the recorders must agree; on one machine they do.
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

// Violation is one breach of a promise.
type Violation struct {
	// Check is the name of the check that found it.
	Check string
	// Subject is what it concerns: a workspace, request, key or instance.
	Subject string
	// AtUnixNanoseconds is when the breach was complete.
	AtUnixNanoseconds int
	// Detail is for people.
	Detail string
}

// Read reads events, one JSON value a line.
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

// Write writes events, one JSON value a line.
func Write(w io.Writer, events []wire.HistoryEvent) error {
	encoder := json.NewEncoder(w)
	for i := range events {
		if err := encoder.Encode(&events[i]); err != nil {
			return eris.Wrapf(err, "history: write event %d", i)
		}
	}

	return nil
}

// CheckAtMostOnce finds idempotency keys of a workspace that ran more than
// once on backend servers.
func CheckAtMostOnce(events []wire.HistoryEvent) []Violation {
	type call struct {
		workspace string
		key       string
	}
	first := map[call]wire.HistoryEvent{}
	var violations []Violation
	for _, e := range ofKind(events, wire.HistoryEventKindAttemptRan) {
		if e.IdempotencyKey == "" {
			continue
		}
		id := call{workspace: e.Workspace, key: e.IdempotencyKey}
		if prior, ok := first[id]; ok {
			violations = append(violations, violation("AtMostOnce", e.IdempotencyKey, e,
				"ran at %s for %s and again at %s for %s", prior.Server, prior.RequestID, e.Server, e.RequestID))

			continue
		}
		first[id] = e
	}

	return violations
}

// CheckNotRun finds requests that were answered NotRun but ran on a backend
// server, before or after the answer.
func CheckNotRun(events []wire.HistoryEvent) []Violation {
	ran := map[string]wire.HistoryEvent{}
	for _, e := range ofKind(events, wire.HistoryEventKindAttemptRan) {
		ran[e.RequestID] = e
	}
	var violations []Violation
	for _, e := range ofKind(events, wire.HistoryEventKindAnswered) {
		if e.Outcome != wire.HistoryEventOutcomeNotRun {
			continue
		}
		if run, ok := ran[e.RequestID]; ok {
			violations = append(violations, violation("NotRun", e.RequestID, e, "answered NotRun but ran at %s", run.Server))
		}
	}

	return violations
}

// CheckAnswers finds requests whose caller got chunks of another request,
// chunks other than those the backend server sent, a gap or a repeat, or the
// outcome Done without the whole answer. A SourceID other than the RequestID
// is right only where an answer saved for the same idempotency key is given
// to a repeat.
func CheckAnswers(events []wire.HistoryEvent) []Violation {
	keys, sent := sources(events)
	delivered := map[string]int{}
	var violations []Violation
	for _, e := range ofKind(events, wire.HistoryEventKindChunkDelivered) {
		own := e.SourceID == e.RequestID || keys[e.RequestID] != "" && keys[e.RequestID] == keys[e.SourceID]
		text, known := sent[chunk{source: e.SourceID, index: e.Index}]
		switch {
		case !own:
			violations = append(violations, violation("Answers", e.RequestID, e, "got a chunk of %s", e.SourceID))
		case e.Index != delivered[e.RequestID]:
			violations = append(violations, violation("Answers", e.RequestID, e, "got chunk %d, expected %d", e.Index, delivered[e.RequestID]))
		case !known || text != e.Text:
			violations = append(violations, violation("Answers", e.RequestID, e, "chunk %d differs from what was sent", e.Index))
		}
		delivered[e.RequestID]++
	}
	for _, e := range ofKind(events, wire.HistoryEventKindAnswered) {
		if e.Outcome == wire.HistoryEventOutcomeDone && delivered[e.RequestID] != e.Index {
			violations = append(violations, violation("Answers", e.RequestID, e, "Done with %d of %d chunks", delivered[e.RequestID], e.Index))
		}
	}

	return violations
}

// CheckVersions finds instances whose configuration in force went back to an
// earlier version, also over a restart.
func CheckVersions(events []wire.HistoryEvent) []Violation {
	highest := map[string]int{}
	var violations []Violation
	for _, e := range ofKind(events, wire.HistoryEventKindConfigurationInForce) {
		if e.Version < highest[e.Instance] {
			violations = append(violations, violation("Versions", e.Instance, e, "version %d after %d", e.Version, highest[e.Instance]))
		}
		highest[e.Instance] = max(highest[e.Instance], e.Version)
	}

	return violations
}

// CheckKeys finds requests admitted with a key more than grace after it was
// withdrawn.
func CheckKeys(events []wire.HistoryEvent, grace time.Duration) []Violation {
	withdrawn := map[string]int{}
	for _, e := range ofKind(events, wire.HistoryEventKindKeyWithdrawn) {
		if _, ok := withdrawn[e.Key]; !ok {
			withdrawn[e.Key] = e.AtUnixNanoseconds
		}
	}
	var violations []Violation
	for _, e := range ofKind(events, wire.HistoryEventKindAdmitted) {
		at, ok := withdrawn[e.Key]
		if late := time.Duration(e.AtUnixNanoseconds - at); ok && late > grace {
			violations = append(violations, violation("Keys", e.RequestID, e, "admitted %s after the withdrawal of %s", late, e.Key))
		}
	}

	return violations
}

// chunk names a chunk by the request that it was generated for.
type chunk struct {
	source string
	index  int
}

// sources returns the idempotency key of each request and the text of each
// chunk that backend servers sent.
func sources(events []wire.HistoryEvent) (keys map[string]string, sent map[chunk]string) {
	keys, sent = map[string]string{}, map[chunk]string{}
	for _, e := range events {
		if e.IdempotencyKey != "" {
			keys[e.RequestID] = e.IdempotencyKey
		}
		if e.Kind == wire.HistoryEventKindChunkSent {
			sent[chunk{source: e.SourceID, index: e.Index}] = e.Text
		}
	}

	return keys, sent
}

// ofKind returns the events of a kind by time; those of one time keep their
// order.
func ofKind(events []wire.HistoryEvent, kind wire.HistoryEventKind) []wire.HistoryEvent {
	var found []wire.HistoryEvent
	for _, e := range events {
		if e.Kind == kind {
			found = append(found, e)
		}
	}
	slices.SortStableFunc(found, func(a, b wire.HistoryEvent) int {
		return cmp.Compare(a.AtUnixNanoseconds, b.AtUnixNanoseconds)
	})

	return found
}

func violation(check, subject string, e wire.HistoryEvent, format string, args ...any) Violation {
	return Violation{
		Check:             check,
		Subject:           subject,
		AtUnixNanoseconds: e.AtUnixNanoseconds,
		Detail:            fmt.Sprintf(format, args...),
	}
}
