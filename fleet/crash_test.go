package fleet_test

import (
	"fmt"
	"sync"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/sourcegraph/conc"

	"papayastair.dev/papayastair/caller"
)

// TestCrashingRequest sends the request that crashes each engine that runs it
// again and again to all instances, at the same moment and later, beside
// other requests for the same model.
func TestCrashingRequest(t *testing.T) {
	const (
		instances = 6
		repeats   = 20
		maxLost   = 2
	)
	s := startSystem(t, instances)
	client := caller.New()
	var mu sync.Mutex
	crashing, innocent := map[string]int{}, map[string]int{}
	ask := func(i int, prompt string, seen map[string]int) {
		answer := client.Complete(s.addresses(i)[:1], caller.Request{
			Key:       _keyDesk,
			Model:     "name-check",
			Prompt:    prompt,
			MaxTokens: 5,
		})
		mu.Lock()
		defer mu.Unlock()
		seen[answer.Outcome+" "+answer.Code]++
	}
	for n := range repeats {
		var wg conc.WaitGroup
		for i := range instances {
			wg.Go(func() { ask(i, "crash this engine", crashing) })
			wg.Go(func() { ask(i, fmt.Sprintf("innocent %d %d", n, i), innocent) })
		}
		wg.Wait()
	}
	lost := 0
	for _, engine := range s.engines {
		select {
		case <-engine.done:
			lost++
		default:
		}
	}
	t.Logf("%d engines of %d lost; the crashing request ended as %v, the innocent ones as %v", lost, len(s.engines), crashing, innocent)
	if lost == 0 || lost > maxLost {
		t.Errorf("%d engines lost, expected 1 or %d", lost, maxLost)
	}
	eventually(t, "the model is served again", func() bool {
		seen := map[string]int{}
		ask(0, "afterwards", seen)

		return cmp.Equal(map[string]int{"Done ": 1}, seen)
	})
}
