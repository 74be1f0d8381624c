package entry

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestEndings guards against a sound part of prompts that is never cleared where all answers
// end with their connections (LOST), and against one that a crash clears (BUDGET).
func TestEndings(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name string
		// server has answered a request that was sent at sent, at the time answered; both
		// are counted from the end.
		server         string
		sent, answered time.Duration
		want           int
	}{
		{
			name:     "sent after the end",
			server:   "a",
			sent:     10 * ms,
			answered: 30 * ms,
			want:     1,
		},
		{
			name:     "sent before the end",
			server:   "a",
			sent:     -10 * ms,
			answered: 30 * ms,
		},
		{
			name:     "another server",
			server:   "b",
			sent:     10 * ms,
			answered: 30 * ms,
		},
		{
			name:     "by a server that may have started again",
			server:   "a",
			sent:     10 * ms,
			answered: _lifeWindow + ms,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var e endings
			at := time.Now()
			e.add("a", []int{1, 2}, 0, at)
			whole := e.takeWhole(tt.server, at.Add(tt.sent), at.Add(tt.answered))
			if diff := cmp.Diff(tt.want, len(whole)); diff != "" {
				t.Errorf("whole answers (-want +got):\n%s", diff)
			}
			if again := e.takeWhole(tt.server, at.Add(tt.sent), at.Add(tt.answered)); len(again) != 0 {
				t.Errorf("%d answers are found whole twice", len(again))
			}
		})
	}
}

// TestCutEndings guards against a part of prompts that crashes servers and is never accused,
// because the crash looks like the end of an answer (BUDGET), and against the accusation
// of answers that had ended before.
func TestCutEndings(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name string
		// ends are when answers of the server end, and refused is when it refuses a
		// connection.
		ends    []time.Duration
		refused time.Duration
		want    []int
	}{
		{
			name:    "last answer",
			ends:    []time.Duration{0, 300 * ms},
			refused: 500 * ms,
			want:    []int{1},
		},
		{
			name:    "answers that end together",
			ends:    []time.Duration{0, 300 * ms, 300*ms + _sameEnding},
			refused: 500 * ms,
			want:    []int{1, 2},
		},
		{
			name:    "refused long after the end",
			ends:    []time.Duration{0},
			refused: _endingRetention + ms,
			want:    []int{},
		},
		{
			name:    "no answer",
			refused: 500 * ms,
			want:    []int{},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var e endings
			at := time.Now()
			for i, end := range tt.ends {
				e.add("a", []int{i}, 0, at.Add(end))
			}
			if other := e.takeCut("b", at.Add(tt.refused)); len(other) != 0 {
				t.Errorf("%d answers of a server that has sent none", len(other))
			}
			got := []int{}
			for _, n := range e.takeCut("a", at.Add(tt.refused)) {
				got = append(got, n.traits...)
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("cut answers (-want +got):\n%s", diff)
			}
			if again := e.takeCut("a", at.Add(tt.refused)); len(again) != 0 {
				t.Errorf("%d answers are found cut twice", len(again))
			}
		})
	}
}
