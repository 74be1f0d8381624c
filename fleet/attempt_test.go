package fleet_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sourcegraph/conc"

	"papayastair.dev/papayastair/history"
	"papayastair.dev/papayastair/standin"
	"papayastair.dev/papayastair/wire"
)

// prints sends prints and records what their callers see. The body of a print
// is its idempotency key.
type prints struct {
	addresses []string
	client    *http.Client
	next      atomic.Int64

	mu     sync.Mutex
	events []wire.HistoryEvent
	texts  map[string]string
	counts map[string]int
}

func newPrints(addresses []string) *prints {
	const timeout = 2 * time.Second

	return &prints{
		addresses: addresses,
		// The transport repeats a call with an idempotency key by itself on a
		// connection that it has used before, so it uses each one only once.
		client: &http.Client{
			Transport: &http.Transport{DisableKeepAlives: true},
			Timeout:   timeout,
		},
		texts:  map[string]string{},
		counts: map[string]int{},
	}
}

// run sends new prints to several instances at once, and repeats of earlier
// ones, until stop closes.
func (p *prints) run(random *rand.Rand, stop <-chan struct{}) {
	const (
		copies = 3
		pause  = 100 * time.Millisecond
	)
	for {
		select {
		case <-stop:
			return
		default:
		}
		n := p.next.Add(1)
		var wg conc.WaitGroup
		for _, i := range random.Perm(len(p.addresses))[:copies] {
			wg.Go(func() { p.print(i, n) })
		}
		wg.Wait()
		p.print(random.IntN(len(p.addresses)), 1+random.Int64N(n))
		time.Sleep(pause)
	}
}

// repeatAll sends each print once more, from several callers.
func (p *prints) repeatAll(callers int) {
	last := p.next.Load()
	var wg conc.WaitGroup
	for c := range callers {
		wg.Go(func() {
			for n := int64(c + 1); n <= last; n += int64(callers) {
				p.print(int(n)%len(p.addresses), n)
			}
		})
	}
	wg.Wait()
}

// waitAdmitted waits until each instance admits a print, all of which are far
// below the rate.
func (p *prints) waitAdmitted(t *testing.T) {
	t.Helper()
	for i := range p.addresses {
		eventually(t, "a print is admitted", func() bool {
			before := p.counts["OverRate"]
			p.print(i, p.next.Add(1))

			return p.counts["OverRate"] == before
		})
	}
}

// print sends one request for the n-th print to an instance.
func (p *prints) print(i int, n int64) {
	key := fmt.Sprintf("print-%d", n)
	p.mu.Lock()
	p.counts["Sent"]++
	id := fmt.Sprintf("%s-request-%d", key, p.counts["Sent"])
	p.mu.Unlock()
	req, err := http.NewRequest(http.MethodPost, "http://"+p.addresses[i]+"/services/print", strings.NewReader(key))
	if err != nil {
		panic(err)
	}
	req.Header.Set("Authorization", "Bearer "+_keyDesk)
	req.Header.Set("Idempotency-Key", key)
	req.Header.Set("X-Request-Id", id)
	resp, err := p.client.Do(req)
	if err != nil {
		p.count("Broken")

		return
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		p.count("Broken")

		return
	}
	if resp.StatusCode == http.StatusTooManyRequests {
		p.count("OverRate")
	}
	p.answered(id, key, resp.Header, string(body))
}

func (p *prints) answered(id, key string, header http.Header, body string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	outcome := wire.HistoryEventOutcome(header.Get("X-Outcome"))
	p.counts[string(outcome)]++
	e := wire.HistoryEvent{
		Kind:              wire.HistoryEventKindAnswered,
		AtUnixNanoseconds: int(time.Now().UnixNano()),
		RequestID:         id,
		IdempotencyKey:    key,
		Outcome:           outcome,
	}
	if outcome == wire.HistoryEventOutcomeDone {
		e.Index = 1
		p.texts[id] = body
		if header.Get("X-Saved-Answer") != "" {
			p.counts["Saved"]++
		}
	}
	p.events = append(p.events, e)
}

func (p *prints) count(what string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.counts[what]++
}

// history merges the callers' record with the service's account. requests
// are the callers' ids by those that the instances gave.
func (p *prints) history(runs []standin.Run, requests map[string]string) []wire.HistoryEvent {
	events := p.events
	ranFor := map[string]string{}
	for i, run := range runs {
		id, ok := requests[run.RequestID]
		if !ok {
			id = run.RequestID
		}
		ranFor[run.Body] = id
		ran := wire.HistoryEvent{
			Kind:              wire.HistoryEventKindAttemptRan,
			AtUnixNanoseconds: i,
			RequestID:         id,
			IdempotencyKey:    run.Body,
			Server:            "printer-1",
		}
		sent := ran
		sent.Kind = wire.HistoryEventKindChunkSent
		sent.SourceID = id
		sent.Text = run.Body
		events = append(events, ran, sent)
	}
	for id, text := range p.texts {
		events = append(events, wire.HistoryEvent{
			Kind:      wire.HistoryEventKindChunkDelivered,
			RequestID: id,
			SourceID:  ranFor[text],
			Text:      text,
		})
	}

	return events
}

// checkPrints holds a history against the promises; counts tells how many
// violations each check found.
func checkPrints(events []wire.HistoryEvent) (found []history.Violation, counts map[string]int) {
	found = append(found, history.CheckAtMostOnce(events)...)
	found = append(found, history.CheckNotRun(events)...)
	found = append(found, history.CheckAnswers(events)...)
	counts = map[string]int{}
	for _, v := range found {
		counts[v.Check]++
	}

	return found, counts
}

// loggedRequests are the callers' ids by those that the instances gave, from
// the logs, where a request stands before its answer leaves.
func loggedRequests(t *testing.T, dir string) map[string]string {
	t.Helper()
	files, err := filepath.Glob(filepath.Join(dir, t.Name()+"-*.log"))
	if err != nil {
		t.Fatal(err)
	}
	requests := map[string]string{}
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			t.Fatal(err)
		}
		lines := bufio.NewScanner(file)
		for lines.Scan() {
			var line struct {
				ID        string
				RequestID string
			}
			// A killed instance may leave half a line.
			if json.Unmarshal(lines.Bytes(), &line) == nil && line.ID != "" && line.RequestID != "" {
				requests[line.ID] = line.RequestID
			}
		}
		_ = file.Close()
	}

	return requests
}

// TestPrintsAtMostOnce sends prints with repeats to several instances, while
// instances are killed, frozen and cut off from the platform, the platform is
// down, slow or loses replies, and so does the service.
func TestPrintsAtMostOnce(t *testing.T) {
	const (
		instances = 6
		callers   = 12
		rounds    = 7
		seed      = 1
		faulty    = 1500 * time.Millisecond
		healthy   = 500 * time.Millisecond
	)
	dir := keepLogs(t)
	s := startSystem(t, instances)
	p := newPrints(s.addresses(0))
	stop := make(chan struct{})
	var wg conc.WaitGroup
	for c := range callers {
		wg.Go(func() { p.run(rand.New(rand.NewPCG(seed, uint64(1+c))), stop) })
	}
	random := rand.New(rand.NewPCG(seed, 0))
	for range rounds {
		f := drawFaults(random, instances)
		time.Sleep(healthy)
		s.inject(t, f)
		time.Sleep(faulty)
		s.heal(t, f)
	}
	close(stop)
	wg.Wait()
	s.waitReady(t)
	p.waitAdmitted(t)
	before := p.counts["OverRate"]
	p.repeatAll(callers)
	t.Logf("after the faults %d of %d repeats within the rate were refused as over it", p.counts["OverRate"]-before, p.next.Load())
	var runs []standin.Run
	getJSON(t, "http://"+s.services["printer-1"].address.CallerAddress+"/runs", &runs)
	requests := loggedRequests(t, dir)
	events := p.history(runs, requests)
	t.Logf("%d prints, %d runs, callers saw %v", p.next.Load(), len(runs), p.counts)
	found, counts := checkPrints(events)
	if diff := cmp.Diff(map[string]int{}, counts); diff != "" {
		t.Errorf("violations (-want +got):\n%s%v", diff, found)
	}
	for _, what := range []string{"Done", "Saved", "NotRun", "Unknown", "Broken"} {
		if p.counts[what] == 0 {
			t.Errorf("no request ended as %s: the faults don't reach the system", what)
		}
	}
	checkPlantedPrints(t, p, runs, requests)
}

// checkPlantedPrints plants a second run and a run of a request that was told
// NotRun, and wants each found.
func checkPlantedPrints(t *testing.T, p *prints, runs []standin.Run, requests map[string]string) {
	t.Helper()
	refused := wire.HistoryEvent{}
	for _, e := range p.events {
		if e.Outcome == wire.HistoryEventOutcomeNotRun {
			refused = e
		}
	}
	runs = append(runs, runs[0], standin.Run{
		RequestID: refused.RequestID,
		Body:      "planted",
	})
	_, counts := checkPrints(p.history(runs, requests))
	want := map[string]int{
		"AtMostOnce": 1,
		"NotRun":     1,
	}
	if diff := cmp.Diff(want, counts); diff != "" {
		t.Errorf("planted violations found (-want +got):\n%s", diff)
	}
}
