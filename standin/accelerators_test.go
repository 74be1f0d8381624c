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
	steps := []struct {
		after  time.Duration
		id     string
		action wire.OrderAction
		model  string
		bytes  int
		fence  int
		status wire.OrderResultStatus
		over   int
	}{
		{
			id:     "1",
			action: load,
			model:  "a",
			bytes:  60,
			fence:  5,
			status: wire.OrderResultStatusAccepted,
		},
		{
			id:     "1",
			action: load,
			model:  "a",
			bytes:  60,
			fence:  5,
			status: wire.OrderResultStatusAccepted,
		},
		{
			id:     "2",
			action: load,
			model:  "b",
			bytes:  60,
			fence:  4,
			status: wire.OrderResultStatusRefusedFence,
		},
		{
			after:  5 * time.Second,
			id:     "1",
			action: load,
			model:  "a",
			bytes:  60,
			fence:  5,
			status: wire.OrderResultStatusDone,
		},
		{
			id:     "3",
			action: unload,
			model:  "a",
			bytes:  60,
			fence:  6,
			status: wire.OrderResultStatusAccepted,
		},
		{
			id:     "4",
			action: load,
			model:  "b",
			bytes:  50,
			fence:  6,
			status: wire.OrderResultStatusRefusedMemory,
			over:   10,
		},
		{
			after:  2 * time.Second,
			id:     "5",
			action: load,
			model:  "b",
			bytes:  50,
			fence:  6,
			status: wire.OrderResultStatusAccepted,
			over:   10,
		},
	}
	engine := NewAccelerators(wire.BackendServer{
		Name:          "engine-1",
		ChecksFencing: true,
		Accelerators: []wire.Accelerator{{
			Name:        "0",
			MemoryBytes: 100,
		}},
	}, NewWeightStore())
	now := time.Unix(0, 0)
	for i, step := range steps {
		now = now.Add(step.after)
		result := engine.Apply(wire.Order{
			ID:          step.id,
			Action:      step.action,
			Model:       step.model,
			Version:     "1",
			Accelerator: "0",
			MemoryBytes: step.bytes,
			Fence:       step.fence,
		}, now)
		if diff := cmp.Diff(step.status, result.Status); diff != "" {
			t.Errorf("step %d (-want +got):\n%s", i, diff)
		}
		if diff := cmp.Diff(step.over, engine.OvercommittedBytes()); diff != "" {
			t.Errorf("step %d overcommitted (-want +got):\n%s", i, diff)
		}
	}
}
