package standin

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"papayastair.dev/papayastair/wire"
)

// TestAcceleratorsAccount runs one engine's orders and checks its answers and
// its account of overcommitted memory.
func TestAcceleratorsAccount(t *testing.T) {
	const load, unload = wire.OrderActionLoad, wire.OrderActionUnload
	engine := NewAccelerators(wire.BackendServer{
		Name:          "engine-1",
		ChecksFencing: true,
		Accelerators: []wire.Accelerator{{
			Name:        "0",
			MemoryBytes: 100,
		}},
	}, NewWeightStore())
	now := time.Unix(0, 0)
	apply := func(after time.Duration, id string, action wire.OrderAction, model string, bytes, fence int) wire.OrderResultStatus {
		now = now.Add(after)

		return engine.Apply(wire.Order{
			ID:          id,
			Action:      action,
			Model:       model,
			Version:     "1",
			Accelerator: "0",
			MemoryBytes: bytes,
			Fence:       fence,
		}, now).Status
	}
	got := []wire.OrderResultStatus{
		apply(0, "1", load, "a", 60, 5),
		apply(0, "1", load, "a", 60, 5),
		apply(0, "2", load, "b", 60, 4),
		apply(5*time.Second, "1", load, "a", 60, 5),
		apply(0, "3", unload, "a", 60, 6),
	}
	want := []wire.OrderResultStatus{
		wire.OrderResultStatusAccepted,
		wire.OrderResultStatusAccepted,
		wire.OrderResultStatusRefusedFence,
		wire.OrderResultStatusDone,
		wire.OrderResultStatusAccepted,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("statuses (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(0, engine.OvercommittedBytes()); diff != "" {
		t.Errorf("overcommitted (-want +got):\n%s", diff)
	}
	got = []wire.OrderResultStatus{
		apply(0, "4", load, "b", 50, 6),
		apply(2*time.Second, "5", load, "b", 50, 6),
	}
	want = []wire.OrderResultStatus{
		wire.OrderResultStatusRefusedMemory,
		wire.OrderResultStatusAccepted,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("statuses around an unload (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(10, engine.OvercommittedBytes()); diff != "" {
		t.Errorf("overcommitted by a refused load (-want +got):\n%s", diff)
	}
}
