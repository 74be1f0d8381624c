package demo

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestDemo runs the demo; each line of its table must hold.
func TestDemo(t *testing.T) {
	d, err := New("")
	if err != nil {
		t.Fatal(err)
	}
	defer d.Close()
	d.Run()
	failed := []Check{}
	for _, check := range d.Checks {
		if !check.OK {
			failed = append(failed, check)
		}
	}
	if diff := cmp.Diff([]Check{}, failed); diff != "" {
		t.Errorf("checks that failed (-want +got):\n%s", diff)
	}
}
