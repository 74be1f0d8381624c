package event

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const _catalogueFile = "../docs/EVENTS.md"

// TestCatalogueMatchesDocs compares docs/EVENTS.md with the declared kinds.
// PAPAYASTAIR_UPDATE=1 regenerates the file.
func TestCatalogueMatchesDocs(t *testing.T) {
	want := markdown()
	if os.Getenv("PAPAYASTAIR_UPDATE") == "1" {
		if err := os.WriteFile(_catalogueFile, []byte(want), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(_catalogueFile)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(want, string(got)); diff != "" {
		t.Errorf("docs/EVENTS.md (-declared +written):\n%s", diff)
	}
}

func TestNumbersAndNamesAreUnique(t *testing.T) {
	seen := map[string]bool{}
	for _, kind := range catalogue {
		for _, id := range []string{fmt.Sprint(kind.Number), kind.Name} {
			if seen[id] {
				t.Errorf("%s is declared twice", id)
			}
			seen[id] = true
		}
	}
}

func markdown() string {
	var b strings.Builder
	b.WriteString("# Events\n\nThe log's lines, by number. Written from package event: `PAPAYASTAIR_UPDATE=1 go test ./event`.\n\n")
	b.WriteString("| Number | Event | Level | Meaning |\n| --- | --- | --- | --- |\n")
	kinds := slices.Clone(catalogue)
	slices.SortFunc(kinds, func(a, b *Kind) int { return a.Number - b.Number })
	for _, kind := range kinds {
		fmt.Fprintf(&b, "| %d | %s | %s | %s |\n", kind.Number, kind.Name, kind.Level, kind.Text)
	}

	return b.String()
}
