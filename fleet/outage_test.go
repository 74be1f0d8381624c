package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sourcegraph/conc"

	"papayastair.dev/papayastair/caller"
	"papayastair.dev/papayastair/standin"
)

// phases counts what callers saw, by phase of a run.
type phases struct {
	mu     sync.Mutex
	name   string
	counts map[string]map[string]int
}

// enter begins a phase.
func (p *phases) enter(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.name = name
	p.counts[name] = map[string]int{}
}

// current is the phase in which a request begins, to which it counts.
func (p *phases) current() string {
	p.mu.Lock()
	defer p.mu.Unlock()

	return p.name
}

func (p *phases) add(phase, what string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts[phase][what]++
}

// stream sends streamed requests until stop closes.
func (p *phases) stream(random *rand.Rand, addresses []string, stop <-chan struct{}) {
	const tokens = 30
	client := caller.New()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		phase := p.current()
		prompt := fmt.Sprintf("%d %d", random.Uint64(), n)
		i := random.IntN(len(addresses))
		answer := client.Complete(addresses[i:i+1], caller.Request{
			Key:       _keyDesk,
			Model:     "name-check",
			Prompt:    prompt,
			MaxTokens: tokens,
		})
		what := "stream " + answer.Outcome + " " + answer.Code
		if answer.Outcome == "Done" && (answer.Gaps > 0 || answer.Text != standin.Text("name-check", prompt, tokens)) {
			what = "stream wrong"
		}
		p.add(phase, strings.TrimSpace(what))
	}
}

// print sends prints until stop closes.
func (p *phases) print(addresses []string, stop <-chan struct{}) {
	const pause = 50 * time.Millisecond
	all := newPrints(addresses)
	for n := int64(1); ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		phase := p.current()
		before := len(all.events)
		all.print(int(n)%len(addresses), n)
		what := "print broken"
		if len(all.events) > before {
			what = "print " + string(all.events[before].Outcome)
		}
		p.add(phase, what)
	}
}

// TestStoreOutage takes the store down for 15 s under load, and starts one
// instance again in the midst of it.
func TestStoreOutage(t *testing.T) {
	const (
		instances = 6
		callers   = 20
		restarted = 5
		around    = 4 * time.Second
		part      = 7500 * time.Millisecond
	)
	s := startSystem(t, instances)
	addresses := s.addresses(0)[:restarted]
	p := &phases{counts: map[string]map[string]int{}}
	p.enter("before")
	stop := make(chan struct{})
	var wg conc.WaitGroup
	for c := range callers {
		wg.Go(func() { p.stream(rand.New(rand.NewPCG(1, uint64(c))), addresses, stop) })
	}
	wg.Go(func() { p.print(addresses, stop) })
	time.Sleep(around)
	p.enter("during")
	s.setStoreFaults(t, standin.StoreFaults{Down: true})
	time.Sleep(part)
	s.restartInstance(t, restarted)
	alone := s.askInstance(restarted, part)
	s.setStoreFaults(t, standin.StoreFaults{})
	p.enter("after")
	s.changeRate()
	s.apply(t, s.subtrees...)
	s.waitReady(t)
	time.Sleep(around)
	close(stop)
	wg.Wait()
	t.Logf("callers saw %v; at the instance started in the outage %v", p.counts, alone)
	for phase, counts := range p.counts {
		want := map[string]int{"stream Done": counts["stream Done"]}
		got := map[string]int{}
		for what, n := range counts {
			if strings.HasPrefix(what, "stream") {
				got[what] = n
			}
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Errorf("streams %s the outage (-want +got):\n%s", phase, diff)
		}
	}
	refused := fmt.Sprintf("%d NotRun configuration_unavailable", http.StatusServiceUnavailable)
	if diff := cmp.Diff(map[string]int{refused: alone[refused]}, alone); diff != "" {
		t.Errorf("at the instance started in the outage (-want +got):\n%s", diff)
	}
}

// askInstance sends requests to one instance for a time, and counts how they
// ended.
func (s *system) askInstance(i int, length time.Duration) map[string]int {
	const pause = 100 * time.Millisecond
	client := caller.New()
	counts := map[string]int{}
	for range length / pause {
		answer := client.Complete(s.addresses(i)[:1], caller.Request{
			Key:       _keyDesk,
			Model:     "name-check",
			Prompt:    "short",
			MaxTokens: 1,
		})
		counts[fmt.Sprintf("%d %s %s", answer.Status, answer.Outcome, answer.Code)]++
		time.Sleep(pause)
	}

	return counts
}

// TestCutOffFromStore cuts one instance off from the store alone; it serves
// on and follows a change by its peers.
func TestCutOffFromStore(t *testing.T) {
	const (
		instances = 6
		cutOff    = 2
		length    = 5 * time.Second
	)
	s := startSystem(t, instances)
	s.links[cutOff].setCut(true)
	served := s.askInstance(cutOff, length)
	s.changeRate()
	s.apply(t, s.subtrees...)
	s.waitReady(t)
	for what, n := range s.askInstance(cutOff, length) {
		served[what] += n
	}
	const done = "200 Done "
	if diff := cmp.Diff(map[string]int{done: served[done]}, served); diff != "" {
		t.Errorf("at the instance that is cut off (-want +got):\n%s", diff)
	}
}
