package placement

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"papayastair.dev/papayastair/wire"
)

// TestResidents checks the versions and servers during a rollout on two servers,
// with a report that arrives out of order.
func TestResidents(t *testing.T) {
	report := func(server string, sequence int, versions ...string) wire.LoadReport {
		r := wire.LoadReport{
			Name:     server,
			Sequence: sequence,
		}
		for _, v := range versions {
			r.Residents = append(r.Residents, wire.Resident{
				Model:   "m",
				Version: v,
				State:   wire.ResidentStateServing,
			})
		}

		return r
	}
	var residents Residents
	residents.Update(report("a", 2, "1", "2"))
	residents.Update(report("a", 1, "1"))
	residents.Update(report("b", 1, "2"))
	if diff := cmp.Diff([]string{"2", "1"}, residents.Versions("m")); diff != "" {
		t.Errorf("versions (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff([]string{"a", "b"}, residents.Servers("m", "", "2")); diff != "" {
		t.Errorf("servers (-want +got):\n%s", diff)
	}
	residents.Forget("a")
	if diff := cmp.Diff([]string{"b"}, residents.Servers("m", "", "2")); diff != "" {
		t.Errorf("servers without a (-want +got):\n%s", diff)
	}
}
