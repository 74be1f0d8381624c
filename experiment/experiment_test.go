package experiment

import (
	"os"
	"testing"

	"github.com/google/go-cmp/cmp"

	"papayastair.dev/papayastair/wire"
)

func readShapes(t *testing.T) []wire.Shape {
	shapes := make([]wire.Shape, 0, 2)
	for _, name := range []string{"kandy", "brazos"} {
		shape, err := ReadShape("shapes/" + name + ".json")
		if err != nil {
			t.Fatal(err)
		}
		shapes = append(shapes, shape)
	}

	return shapes
}

// TestAims holds short runs of both shapes at 1.5 times capacity against the
// aims of the issue, and the same run twice against itself.
func TestAims(t *testing.T) {
	for _, shape := range readShapes(t) {
		t.Run(shape.Name, func(t *testing.T) {
			shape.Seconds = 20
			least := Run(&shape, PolicyLeastOutstanding, 1.5, Options{})
			own := Run(&shape, PolicyOwn, 1.5, Options{})
			if own.Attainment() < 1.3*least.Attainment() {
				t.Errorf("attainment %.3f, under 1.3 times %.3f", own.Attainment(), least.Attainment())
			}
			if own.WorstWithinShare < 0.95 {
				t.Errorf("%s attains %.3f within its share", own.WorstWorkspace, own.WorstWithinShare)
			}
			if own.BatchTokensPerSecond <= 0 {
				t.Errorf("batch work stands still")
			}
			again := Run(&shape, PolicyOwn, 1.5, Options{})
			if diff := cmp.Diff(own, again); diff != "" {
				t.Errorf("the same run twice (-first +second):\n%s", diff)
			}
		})
	}
}

// TestSweepTables prints the tables of docs/admission.md. It runs only when
// asked to, because it takes half a minute.
func TestSweepTables(t *testing.T) {
	if os.Getenv("PAPAYASTAIR_TABLES") == "" {
		t.Skip("set PAPAYASTAIR_TABLES=1")
	}
	for _, shape := range readShapes(t) {
		if err := WriteTable(os.Stdout, Sweep(&shape, []float64{0.7, 1, 1.5, 3}, Options{})); err != nil {
			t.Fatal(err)
		}
	}
}

// TestDecisionTables prints the tables of docs/routing.md: the product's
// policy with one decision changed, and with other seeds.
func TestDecisionTables(t *testing.T) {
	if os.Getenv("PAPAYASTAIR_TABLES") == "" {
		t.Skip("set PAPAYASTAIR_TABLES=1")
	}
	tests := []struct {
		name    Policy
		options Options
		seed    int
	}{
		{name: "as it is"},
		{name: "cut-off 1 (only the best)", options: Options{CutOff: 1.000001}},
		{name: "cut-off 1.2", options: Options{CutOff: 1.2}},
		{name: "cut-off 1.5", options: Options{CutOff: 1.5}},
		{name: "cut-off 2", options: Options{CutOff: 2}},
		{name: "two random candidates", options: Options{Sample: 2}},
		{name: "no shares", options: Options{IgnoreShare: true}},
		{name: "no exchange", options: Options{IgnorePeers: true}},
		{name: "no prefixes", options: Options{IgnorePrefixes: true}},
		{name: "seed 21", seed: 21},
		{name: "seed 22", seed: 22},
		{name: "seed 23", seed: 23},
	}
	for _, shape := range readShapes(t) {
		rows := make([]Row, 0, 2*len(tests))
		for _, tt := range tests {
			changed := shape
			if tt.seed != 0 {
				changed.Seed = tt.seed
			}
			for _, load := range []float64{1, 1.5} {
				row := Run(&changed, PolicyOwn, load, tt.options)
				row.Policy = tt.name
				rows = append(rows, row)
			}
		}
		if err := WriteTable(os.Stdout, rows); err != nil {
			t.Fatal(err)
		}
	}
}
