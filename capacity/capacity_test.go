package capacity

import (
	"os"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const (
	_page  = "../docs/CAPACITY.md"
	_begin = "<!-- table: begin -->\n"
	_end   = "<!-- table: end -->\n"
)

// TestPageMatchesPoints checks that the table in docs/CAPACITY.md matches
// points.json. PAPAYASTAIR_UPDATE=1 updates the page instead.
func TestPageMatchesPoints(t *testing.T) {
	series, err := Series()
	if err != nil {
		t.Fatal(err)
	}
	want, err := MarkdownTable(series)
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile(_page)
	if err != nil {
		t.Fatal(err)
	}
	before, rest, found := strings.Cut(string(page), _begin)
	table, after, ended := strings.Cut(rest, _end)
	if !found || !ended {
		t.Fatalf("%s lacks the markers around its table", _page)
	}
	if os.Getenv("PAPAYASTAIR_UPDATE") == "1" {
		if err := os.WriteFile(_page, []byte(before+_begin+want+_end+after), 0o600); err != nil {
			t.Fatal(err)
		}

		return
	}
	if diff := cmp.Diff(want, table); diff != "" {
		t.Errorf("table (-points +page):\n%s", diff)
	}
}
