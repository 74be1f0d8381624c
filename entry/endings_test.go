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
			e.add("a", []int{1, 2}, at)
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
