package dispatch_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"papayastair.dev/papayastair/dispatch"
	"papayastair.dev/papayastair/site"
)

// TestRestartResetsRunning checks that requests that were running when a backend
// server restarted don't count against it any more. If they did, the server would
// seem busy forever.
func TestRestartResetsRunning(t *testing.T) {
	b := dispatch.New(rand.New(rand.NewPCG(1, 1)), dispatch.RetryLimits{})
	now := time.Unix(1000, 0)
	entry := site.BackendServer{
		ID:      "s-1",
		Born:    1,
		Service: "plain",
		Slots:   1,
	}
	b.SetServer(entry)
	run := b.Begin("s-1", site.Target{}, now)
	entry.Born = 2
	b.SetServer(entry)
	b.End(run, dispatch.ResultFailed, 0, now)
	if diff := cmp.Diff(map[string]int{}, b.Running()); diff != "" {
		t.Errorf("running (-want +got):\n%s", diff)
	}
}
