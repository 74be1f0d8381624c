package fleet_test

import (
	"encoding/json"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sourcegraph/conc"

	"papayastair.dev/papayastair/history"
	"papayastair.dev/papayastair/instance"
	"papayastair.dev/papayastair/wire"
)

// versions records the configuration in force at each instance.
type versions struct {
	mu     sync.Mutex
	events []wire.HistoryEvent
	now    map[string]int
	at     map[string]time.Time
}

// poll asks an instance's operators' address until stop closes.
func (v *versions) poll(p *process, stop <-chan struct{}) {
	const (
		pause   = 10 * time.Millisecond
		timeout = time.Second
	)
	url := "http://" + p.address.OperatorAddress + "/status"
	client := &http.Client{Timeout: timeout}
	for {
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		resp, err := client.Get(url)
		if err != nil {
			continue
		}
		var status instance.Status
		err = json.NewDecoder(resp.Body).Decode(&status)
		_ = resp.Body.Close()
		if err == nil && status.Configuration.Version > 0 {
			v.add(p.name, status.Configuration.Version)
		}
	}
}

func (v *versions) add(name string, version int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	v.events = append(v.events, wire.HistoryEvent{
		Kind:              wire.HistoryEventKindConfigurationInForce,
		AtUnixNanoseconds: int(now.UnixNano()),
		Instance:          name,
		Version:           version,
	})
	if v.now[name] != version {
		v.now[name], v.at[name] = version, now
	}
}

// since is the time from began until the last of some instances had a version
// in force, or ok is false.
func (v *versions) since(began time.Time, version int, instances []*process) (last time.Duration, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, p := range instances {
		if v.now[p.name] < version {
			return 0, false
		}
		last = max(last, v.at[p.name].Sub(began))
	}

	return last, true
}

// changeRate gives the first workspace another rate.
func (s *system) changeRate() {
	s.subtrees[0].Workspaces[0].RateTokensPerSecond++
}

// TestFiftyChanges applies 50 changes. One instance is cut off from the store
// for most of them, and one is killed and started again.
func TestFiftyChanges(t *testing.T) {
	const (
		instances = 6
		changes   = 50
		cutOff    = 4
		cutAt     = 5
		healedAt  = 45
		killed    = 5
		killedAt  = 15
		startedAt = 25
	)
	s := startSystem(t, instances)
	v := &versions{
		now: map[string]int{},
		at:  map[string]time.Time{},
	}
	stop := make(chan struct{})
	var wg conc.WaitGroup
	for _, p := range s.instances {
		wg.Go(func() { v.poll(p, stop) })
	}
	var slowest, sum, restarted time.Duration
	for n := range changes {
		expected := s.instances
		switch n {
		case cutAt:
			s.links[cutOff].setCut(true)
		case healedAt:
			s.links[cutOff].setCut(false)
		case killedAt:
			s.instances[killed].kill()
		case startedAt:
			began := time.Now()
			s.restartInstance(t, killed)
			restarted = v.wait(t, began, s.version, s.instances)
		}
		if n >= killedAt && n < startedAt {
			expected = s.instances[:killed]
		}
		s.changeRate()
		began := time.Now()
		s.apply(t, s.subtrees...)
		took := v.wait(t, began, s.version, expected)
		slowest = max(slowest, took)
		sum += took
	}
	close(stop)
	wg.Wait()
	t.Logf("%d changes, from the start of apply to in force everywhere: mean %s, slowest %s; the restarted instance %s after its start",
		changes, sum/changes, slowest, restarted)
	if diff := cmp.Diff([]history.Violation(nil), history.CheckVersions(v.events)); diff != "" {
		t.Errorf("reversals (-want +got):\n%s", diff)
	}
}

// wait waits until all of some instances have a version in force, and returns
// the time that it took.
func (v *versions) wait(t *testing.T, began time.Time, version int, instances []*process) time.Duration {
	t.Helper()
	var took time.Duration
	eventually(t, "the change is in force everywhere", func() bool {
		last, ok := v.since(began, version, instances)
		took = last

		return ok
	})

	return took
}
