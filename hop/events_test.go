package hop_test

import (
	"errors"
	"math/rand/v2"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"papayastair.dev/papayastair/hop"
)

// TestEvents checks that Events returns only complete events, records the last id
// and rejects a gap in the ids.
func TestEvents(t *testing.T) {
	tests := []struct {
		name string
		give []string
		want []string
		last string
		rest string
		err  error
		// stuck is set if the stream can't be resumed behind the events returned.
		stuck bool
	}{
		{
			name: "complete events",
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
			// A piece that holds only the end of an event caused a panic, by slicing
			// one byte past the data.
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
			name: "carriage returns, then line feeds",
			give: []string{"id: 1\r\n\r\nid: 2\n\nid: 3"},
			want: []string{"id: 1\r\n\r\nid: 2\n\n"},
			last: "2",
			rest: "id: 3",
		},
		{
			// The blank line and the line before it may have different line endings.
			name: "mixed line endings",
			give: []string{"id: 1\ndata: a\n\r\nid: 2\r\n\n", "id: 3\n\r", "\n"},
			want: []string{"id: 1\ndata: a\n\r\nid: 2\r\n\n", "", "id: 3\n\r\n"},
			last: "3",
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
			want: []string{"id: 1\n\n"},
			last: "1",
			err:  hop.ErrMalformed,
		},
		{
			// The events before the wrong id were dropped although LastID named them, so
			// that a resumed stream lacked them.
			name: "gap behind other events",
			give: []string{"id: 1\n\nid: 2\ndata: b\n\nid: 93\n\nid: 4\n\n"},
			want: []string{"id: 1\n\nid: 2\ndata: b\n\n"},
			last: "2",
			err:  hop.ErrMalformed,
		},
		{
			name: "gap behind the end of an incomplete event",
			give: []string{"id: 1\n\nid: 2\nda", "ta: b\n\nid: 3\r\n\r\nid: 94\n\n"},
			want: []string{"id: 1\n\n", "id: 2\ndata: b\n\nid: 3\r\n\r\n"},
			last: "3",
			err:  hop.ErrMalformed,
		},
		{
			// The stream was resumed behind the wrong id, and lacked all its pieces.
			name: "wrong first id",
			give: []string{"id: 91\n\nid: 2\n\nid: 3\n\n"},
			want: []string{""},
			err:  hop.ErrMalformed,
		},
		{
			name:  "wrong first id alone",
			give:  []string{"id: 91\n\n", "id: 2\n\n"},
			want:  []string{"id: 91\n\n", ""},
			last:  "91",
			err:   hop.ErrMalformed,
			stuck: true,
		},
		{
			name:  "unconfirmed first id",
			give:  []string{"id: 5\n\n", "id:"},
			want:  []string{"id: 5\n\n", ""},
			last:  "5",
			rest:  "id:",
			stuck: true,
		},
		{
			name: "confirmed first id",
			give: []string{"id: 5\n\n", "id: 6\n\nid: 9\n\n"},
			want: []string{"id: 5\n\n", "id: 6\n\n"},
			last: "6",
			err:  hop.ErrMalformed,
		},
		{
			// The check ended at such an id, and a resumed stream began anew behind it.
			name: "id that isn't a number among numbers",
			give: []string{"id: 1\n\nid: 2\n\nid: x3\n\nid: 4\n\n"},
			want: []string{"id: 1\n\nid: 2\n\n"},
			last: "2",
			err:  hop.ErrMalformed,
		},
		{
			name: "id that is too large a number",
			give: []string{"id: 1\n\nid: 99999999999999999999\n\n"},
			want: []string{"id: 1\n\n"},
			last: "1",
			err:  hop.ErrMalformed,
		},
		{
			name: "id with a sign",
			give: []string{"id: 1\n\nid: +2\n\n"},
			want: []string{"id: 1\n\n"},
			last: "1",
			err:  hop.ErrMalformed,
		},
		{
			name: "first id that isn't a number before numbers",
			give: []string{"id: x1\n\nid: 2\n\n"},
			want: []string{""},
			err:  hop.ErrMalformed,
		},
		{
			name:  "first id that isn't a number alone",
			give:  []string{"id: x1\n\n", "id: 2\n\n"},
			want:  []string{"id: x1\n\n", ""},
			last:  "x1",
			err:   hop.ErrMalformed,
			stuck: true,
		},
		{
			name: "ids that aren't numbers",
			give: []string{"id: a\n\n", "id: c\n\nid: b\n\n"},
			want: []string{"id: a\n\n", "id: c\n\nid: b\n\n"},
			last: "b",
		},
		{
			// A stream was resumed behind the id before such an event, which came twice.
			name:  "event without an id",
			give:  []string{"id: 1\n\ndata: b\n\n"},
			want:  []string{"id: 1\n\ndata: b\n\n"},
			last:  "1",
			stuck: true,
		},
		{
			name:  "events without ids",
			give:  []string{"data: a\n\n", "data\n\n"},
			want:  []string{"data: a\n\n", "data\n\n"},
			stuck: true,
		},
		{
			name: "event without an id between others",
			give: []string{"id: 1\n\n", "data: b\n\n", "id: 2\n\n"},
			want: []string{"id: 1\n\n", "data: b\n\n", "id: 2\n\n"},
			last: "2",
		},
		{
			name: "event without an id before a gap",
			give: []string{"id: 1\n\ndata: b\n\nid: 3\n\n"},
			want: []string{"id: 1\n\n"},
			last: "1",
			err:  hop.ErrMalformed,
		},
		{
			name:  "event without an id, forwarded before a gap",
			give:  []string{"id: 1\n\ndata: b\n\n", "id: 3\n\n"},
			want:  []string{"id: 1\n\ndata: b\n\n", ""},
			last:  "1",
			err:   hop.ErrMalformed,
			stuck: true,
		},
		{
			name: "empty id",
			give: []string{"id: 1\n\nid:\ndata: b\n\nid: 3\n\n"},
			want: []string{"id: 1\n\n"},
			last: "1",
			err:  hop.ErrMalformed,
		},
		{
			name: "comment",
			give: []string{"id: 1\n\n:data: b\n\n"},
			want: []string{"id: 1\n\n:data: b\n\n"},
			last: "1",
		},
		{
			// Such an id became a line of its own in the request that resumes the stream.
			name: "id with a control byte",
			give: []string{"id: a\n\nid: b\rX: y\n\n"},
			want: []string{""},
			err:  hop.ErrMalformed,
		},
		{
			name: "first id 1, then a wrong one",
			give: []string{"id: 1\n\n", "id: 92\n\nid: 3\n\n"},
			want: []string{"id: 1\n\n", ""},
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
			if diff := cmp.Diff([]string{tt.last, tt.rest}, []string{e.LastID(), string(e.Partial())}); diff != "" {
				t.Errorf("last and rest (-want +got):\n%s", diff)
			}
			if e.IsResumable() == tt.stuck {
				t.Errorf("resumable = %t, want %t", e.IsResumable(), !tt.stuck)
			}
		})
	}
}

// TestEventsSplitAnywhere guards against events that are lost, duplicated or
// truncated when their ends are split: the events must be the same however the
// stream is split into pieces.
func TestEventsSplitAnywhere(t *testing.T) {
	const (
		stream = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n:\n\nid: 3\ndata: c\n\n\n\nid: 4\r\n\r\nid: 5\nda"
		rest   = "id: 5\nda"
		rounds = 2000
		seed   = 17
	)
	rng := rand.New(rand.NewPCG(seed, seed))
	for range rounds {
		var e hop.Events
		got := ""
		for left := stream; left != ""; {
			n := 1 + rng.IntN(min(len(left), 1+rng.IntN(len(left))))
			whole, err := e.Feed([]byte(left[:n]))
			if err != nil {
				t.Fatal(err)
			}
			got += string(whole)
			left = left[n:]
			if seen := len(stream) - len(left); len(got)+len(e.Partial()) != seen {
				t.Fatalf("%d bytes returned and %d buffered, of %d", len(got), len(e.Partial()), seen)
			}
		}
		if diff := cmp.Diff([]string{strings.TrimSuffix(stream, rest), rest, "4"}, []string{got, string(e.Partial()), e.LastID()}); diff != "" {
			t.Fatalf("events, rest and last id (-want +got):\n%s", diff)
		}
	}
}
