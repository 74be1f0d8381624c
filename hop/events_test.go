package hop_test

import (
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"

	"papayastair.dev/papayastair/hop"
)

// TestEvents finds that only whole events are passed on, that the last id is
// kept, and that a gap is refused.
func TestEvents(t *testing.T) {
	tests := []struct {
		name string
		give []string
		want []string
		last string
		rest string
		err  error
	}{
		{
			name: "whole events",
			give: []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"},
			want: []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"},
			last: "2",
		},
		{
			name: "event in three pieces",
			give: []string{"id: 1\nda", "ta: a\n", "\nid: 2\n"},
			want: []string{"", "", "id: 1\ndata: a\n\n"},
			last: "1",
			rest: "id: 2\n",
		},
		{
			name: "carriage returns",
			give: []string{"id: 1\r\ndata: a\r\n\r\nid: 2\r\n"},
			want: []string{"id: 1\r\ndata: a\r\n\r\n"},
			last: "1",
			rest: "id: 2\r\n",
		},
		{
			// A piece that is only the end of an event ended the process: one byte
			// more than there was.
			name: "blank event alone",
			give: []string{"id: 1\n\n", "\n\n", "id: 2\n\n"},
			want: []string{"id: 1\n\n", "\n\n", "id: 2\n\n"},
			last: "2",
		},
		{
			name: "blank event before another",
			give: []string{"id: 1\n\n", "\n\nid: 2\n", "\n"},
			want: []string{"id: 1\n\n", "\n\n", "id: 2\n\n"},
			last: "2",
		},
		{
			name: "blank event with carriage returns",
			give: []string{"id: 1\n\n", "\r\n\r\n", "id: 2\n\n"},
			want: []string{"id: 1\n\n", "\r\n\r\n", "id: 2\n\n"},
			last: "2",
		},
		{
			name: "gap",
			give: []string{"id: 1\n\n", "id: 3\n\n"},
			want: []string{"id: 1\n\n", ""},
			last: "1",
			err:  hop.ErrMalformed,
		},
		{
			name: "twice",
			give: []string{"id: 1\n\nid: 1\n\n"},
			want: []string{""},
			last: "1",
			err:  hop.ErrMalformed,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var e hop.Events
			var got []string
			var err error
			for _, p := range tt.give {
				var whole []byte
				whole, err = e.Feed([]byte(p))
				got = append(got, string(whole))
			}
			if !errors.Is(err, tt.err) {
				t.Errorf("err = %v, want %v", err, tt.err)
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("events (-want +got):\n%s", diff)
			}
			if diff := cmp.Diff([]string{tt.last, tt.rest}, []string{e.LastID, string(e.Rest())}); diff != "" {
				t.Errorf("last and rest (-want +got):\n%s", diff)
			}
		})
	}
}
