package experiment

import (
	"os"
	"testing"
)

// TestSweepTables prints the tables of docs/admission.md; it runs only when
// asked to, because it takes longer than a test should.
func TestSweepTables(t *testing.T) {
	if os.Getenv("PAPAYASTAIR_TABLES") == "" {
		t.Skip("set PAPAYASTAIR_TABLES=1")
	}
	for _, name := range []string{"kandy", "brazos"} {
		shape, err := ReadShape("shapes/" + name + ".json")
		if err != nil {
			t.Fatal(err)
		}
		rows := Sweep(&shape, []float64{0.7, 1, 1.5, 3}, Options{})
		if err := WriteTable(os.Stdout, rows); err != nil {
			t.Fatal(err)
		}
		for i := range rows {
			t.Log(rows[i].Policy, rows[i].Load, rows[i].Workspaces)
		}
	}
}
