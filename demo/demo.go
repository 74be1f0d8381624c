// Package demo brings up a small fleet in one process, sends real traffic
// through it and checks what came of it, for a newcomer's first five minutes.
package demo

import (
	"context"
	"embed"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"papayastair.dev/papayastair/caller"
	"papayastair.dev/papayastair/fleet"
	"papayastair.dev/papayastair/settings"
	"papayastair.dev/papayastair/standin"
	"papayastair.dev/papayastair/wire"
)

const (
	_readyTimeout   = 2 * time.Minute
	_withdrawBound  = 5 * time.Second
	_loadTime       = 300 * time.Millisecond
	_requestsADesk  = 60
	_answerTokens   = 24
	_floodRequests  = 60
	_floodTokens    = 400
	_instances      = 6
	_longAnswer     = 4000
	_printPath      = "/services/print"
	_statusPath     = "/services/order-status"
	_keyDesk        = "demo-key-desk-1"
	_keyWithdrawn   = "demo-key-desk-2"
	_keyWording     = "demo-key-wording-1"
	_keyGuests      = "demo-key-guests-1"
	_deskSubtree    = "/desk"
	_withdrawnName  = "desk-2"
	_foreignModel   = "wording"
	_gracefulTokens = 150
)

//go:embed hierarchy/*.json
var _hierarchy embed.FS

// Check is one line of the demo's table.
type Check struct {
	// Name says what was checked.
	Name string
	// Figures says what was seen.
	Figures string
	// OK says whether it held.
	OK bool
}

// Demo is a running demo. Use New.
type Demo struct {
	// Fleet is the system.
	Fleet *fleet.Fleet
	// Checks are the lines so far.
	Checks []Check

	client *caller.Client
}

// New brings the fleet up and waits until every model is served.
func New(logFile string) (*Demo, error) {
	subtrees, err := Hierarchy()
	if err != nil {
		return nil, err
	}
	weights := standin.NewWeightStore()
	weights.LoadTime = _loadTime
	f, err := fleet.New(fleet.Config{
		Subtrees:       subtrees,
		Region:         "lk-west",
		FailureDomains: []string{"lk-west-a", "lk-west-b", "lk-west-c"},
		Instances:      _instances,
		Engine: func(cfg *standin.EngineConfig) {
			cfg.Weights = weights
			cfg.Batch = standin.BatchConfig{
				Slots:                  cfg.Server.Slots,
				StepBase:               4 * time.Millisecond,
				StepPerRequest:         time.Duration(4000/cfg.Server.TokensPerSecond) * time.Millisecond / 4,
				PrefillTokensPerSecond: float64(10 * cfg.Server.TokensPerSecond),
				CacheBlocks:            1000,
			}
			cfg.ReportLag = 250 * time.Millisecond
		},
		LogFile:   logFile,
		LocateTTL: time.Second,
	})
	if err != nil {
		return nil, err
	}
	d := &Demo{
		Fleet:  f,
		client: caller.New(),
	}
	for _, e := range f.Engines {
		for _, key := range []string{_keyDesk, _keyWithdrawn, _keyWording, _keyGuests} {
			e.Account().Forbid(key)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), _readyTimeout)
	defer cancel()
	if err := f.WaitReady(ctx, 1); err != nil {
		f.Close()

		return nil, err
	}

	return d, nil
}

// Hierarchy is the demo's shared hierarchy.
func Hierarchy() ([]wire.Subtree, error) {
	entries, err := _hierarchy.ReadDir("hierarchy")
	if err != nil {
		return nil, eris.Wrap(err, "demo: hierarchy")
	}
	subtrees := make([]wire.Subtree, 0, len(entries))
	for _, entry := range entries {
		content, err := _hierarchy.ReadFile("hierarchy/" + entry.Name())
		if err != nil {
			return nil, eris.Wrap(err, "demo: hierarchy")
		}
		subtree, err := settings.DecodeSubtree(entry.Name(), content)
		if err != nil {
			return nil, err
		}
		subtrees = append(subtrees, subtree)
	}

	return subtrees, nil
}

// Run sends the traffic and reports whether everything held.
func (d *Demo) Run() bool {
	d.checkAnswers()
	d.checkForeignModel()
	d.checkPrints()
	d.checkOpenRoute()
	d.checkRate()
	d.checkWithdrawnKey()
	d.checkGracefulStop()
	d.checkAccounts()

	return !slices.ContainsFunc(d.Checks, func(c Check) bool { return !c.OK })
}

// Table is the checks for people.
func (d *Demo) Table() string {
	var b strings.Builder
	for _, c := range d.Checks {
		verdict := "held"
		if !c.OK {
			verdict = "FAILED"
		}
		fmt.Fprintf(&b, "%-7s %-46s %s\n", verdict, c.Name, c.Figures)
	}

	return b.String()
}

// Close stops the fleet.
func (d *Demo) Close() {
	d.Fleet.Close()
}

func (d *Demo) add(name string, ok bool, format string, args ...any) {
	d.Checks = append(d.Checks, Check{
		Name:    name,
		Figures: fmt.Sprintf(format, args...),
		OK:      ok,
	})
}

// from is the list of instances with the n-th first.
func (d *Demo) from(n int) []string {
	addresses := d.Fleet.Addresses()
	n %= len(addresses)

	return append(slices.Clone(addresses[n:]), addresses[:n]...)
}

func (d *Demo) checkAnswers() {
	work := []struct {
		key   string
		model string
	}{
		{
			key:   _keyDesk,
			model: "badge-layout",
		},
		{
			key:   _keyDesk,
			model: "badge-layout-tea",
		},
		{
			key:   _keyDesk,
			model: "name-check",
		},
		{
			key:   _keyGuests,
			model: "translate",
		},
		{
			key:   _keyGuests,
			model: "schedule",
		},
	}
	var mu sync.Mutex
	var wg conc.WaitGroup
	whole, tokens := 0, 0
	var first time.Duration
	for n := range _requestsADesk {
		w := work[n%len(work)]
		wg.Go(func() {
			prompt := fmt.Sprintf("attendee %d", n)
			answer := d.client.Complete(d.from(n), caller.Request{
				Key:       w.key,
				Model:     w.model,
				Prompt:    prompt,
				MaxTokens: _answerTokens,
			})
			mu.Lock()
			defer mu.Unlock()
			if answer.Outcome == "Done" && answer.Text == standin.Text(w.model, prompt, _answerTokens) {
				whole++
			}
			tokens += answer.Tokens
			first = max(first, answer.FirstToken)
		})
	}
	wg.Wait()
	d.add("each answer whole and its own", whole == _requestsADesk,
		"%d of %d, models and adapters, %d tokens, slowest first token %s", whole, _requestsADesk, tokens, first.Round(time.Millisecond))
}

func (d *Demo) checkForeignModel() {
	answer := d.client.Complete(d.from(0), caller.Request{
		Key:       _keyDesk,
		Model:     _foreignModel,
		Prompt:    "x",
		MaxTokens: 1,
	})
	d.add("another workspace's model is refused", answer.Status == http.StatusNotFound && answer.Outcome == "NotRun",
		"status %d, %s, %s", answer.Status, answer.Code, answer.Outcome)
}

// checkPrints sends one print to all instances at once.
func (d *Demo) checkPrints() {
	var wg conc.WaitGroup
	var mu sync.Mutex
	statuses := map[int]int{}
	for _, address := range d.Fleet.Addresses() {
		wg.Go(func() {
			status := post("http://"+address+_printPath, _keyDesk, "order-17", `{"Badge":"17"}`)
			mu.Lock()
			defer mu.Unlock()
			statuses[status]++
		})
	}
	wg.Wait()
	runs := 0
	for _, run := range d.Fleet.Services["printer-1"].Runs() {
		if run.IdempotencyKey == "order-17" {
			runs++
		}
	}
	d.add("a print sent to six instances runs once", runs == 1 && statuses[http.StatusOK] == len(d.Fleet.Instances), "%d runs, answers by status %v", runs, statuses)
}

func (d *Demo) checkOpenRoute() {
	with := get("http://" + d.Fleet.Addresses()[0] + _statusPath)
	d.add("an open route needs no key", with == http.StatusOK, "status %d", with)
}

// checkRate floods one workspace from all instances and holds what was
// admitted against its rate and burst.
func (d *Demo) checkRate() {
	rate, burst := d.limit("wording")
	began := time.Now()
	var wg conc.WaitGroup
	var mu sync.Mutex
	done, refused, tokens := 0, 0, 0
	for n := range _floodRequests {
		wg.Go(func() {
			answer := d.client.Complete(d.from(n), caller.Request{
				Key:       _keyWording,
				Model:     "summary",
				Prompt:    fmt.Sprintf("page %d", n),
				MaxTokens: _floodTokens,
				// The caller leaves early, so the flood doesn't take long.
				OnToken: func(n int) bool { return n < _answerTokens },
			})
			mu.Lock()
			defer mu.Unlock()
			tokens += answer.Tokens
			if answer.Status == http.StatusTooManyRequests {
				refused++
			} else {
				done++
			}
		})
	}
	wg.Wait()
	bound := float64(burst) + float64(rate)*time.Since(began).Seconds()
	d.add("a flood stays within rate and burst", done > 0 && refused > 0 && float64(tokens) <= bound,
		"%d admitted, %d refused, %d tokens of at most %.0f", done, refused, tokens, bound)
}

// limit is the rate and burst in force for a workspace.
func (d *Demo) limit(workspace string) (rate, burst int) {
	snapshot, problems := settings.Resolve(d.Fleet.Subtrees)
	if problems.Err() != nil {
		return 0, 0
	}
	w := snapshot.Workspaces[workspace]

	return w.RateTokensPerSecond, w.BurstTokens
}

// checkWithdrawnKey withdraws a key during an open stream.
func (d *Demo) checkWithdrawnKey() {
	began := make(chan struct{})
	ended := make(chan caller.Answer, 1)
	var once sync.Once
	go func() {
		ended <- d.client.Complete(d.from(0)[:1], caller.Request{
			Key:       _keyWithdrawn,
			Model:     "badge-layout",
			Prompt:    "a long layout",
			MaxTokens: _longAnswer,
			OnToken: func(int) bool {
				once.Do(func() { close(began) })

				return true
			},
		})
	}()
	<-began
	withdrawn := time.Now()
	if err := d.withdraw(); err != nil {
		d.add("a withdrawn key stops working", false, "%v", err)

		return
	}
	answer := <-ended
	cut := time.Since(withdrawn)
	for n := range d.Fleet.Instances {
		for d.client.Complete(d.from(n)[:1], caller.Request{
			Key:       _keyWithdrawn,
			Model:     "name-check",
			Prompt:    "x",
			MaxTokens: 1,
		}).Status != http.StatusUnauthorized && time.Since(withdrawn) < 2*_withdrawBound {
			time.Sleep(10 * time.Millisecond)
		}
	}
	last := time.Since(withdrawn)
	d.add("a withdrawn key stops working", last < _withdrawBound && answer.Outcome != "Done",
		"open stream ended after %s (%s), last instance refused after %s", cut.Round(time.Millisecond), answer.Code, last.Round(time.Millisecond))
}

// withdraw applies the desk's subtree without one key.
func (d *Demo) withdraw() error {
	for _, subtree := range d.Fleet.Subtrees {
		if subtree.Path != _deskSubtree {
			continue
		}
		subtree.Keys = slices.DeleteFunc(slices.Clone(subtree.Keys), func(k wire.Key) bool { return k.Name == _withdrawnName })
		_, err := d.Fleet.Apply(context.Background(), subtree)

		return err
	}

	return eris.Errorf("demo: no subtree %s", _deskSubtree)
}

// checkGracefulStop stops the last instance while it has open streams.
func (d *Demo) checkGracefulStop() {
	last := len(d.Fleet.Instances) - 1
	const streams = 8
	var wg conc.WaitGroup
	var mu sync.Mutex
	whole := 0
	started := make(chan struct{}, streams)
	for n := range streams {
		wg.Go(func() {
			prompt := fmt.Sprintf("stop %d", n)
			var once sync.Once
			answer := d.client.Complete(d.from(last)[:1], caller.Request{
				Key:       _keyDesk,
				Model:     "name-check",
				Prompt:    prompt,
				MaxTokens: _gracefulTokens,
				OnToken: func(int) bool {
					once.Do(func() { started <- struct{}{} })

					return true
				},
			})
			mu.Lock()
			defer mu.Unlock()
			if answer.Text == standin.Text("name-check", prompt, _gracefulTokens) {
				whole++
			}
		})
	}
	for range streams {
		<-started
	}
	ctx, cancel := context.WithTimeout(context.Background(), _readyTimeout)
	defer cancel()
	d.Fleet.Instances[last].Shutdown(ctx)
	wg.Wait()
	d.Fleet.Instances = d.Fleet.Instances[:last]
	d.add("a planned stop cuts off nothing", whole == streams, "%d of %d open streams ended whole", whole, streams)
}

// checkAccounts reads the books of the backend servers.
func (d *Demo) checkAccounts() {
	leaks, overcommitted, runs := int64(0), 0, 0
	for _, e := range d.Fleet.Engines {
		figures := e.Account().Figures()
		leaks += figures.Leaks
		runs += len(figures.Runs)
		overcommitted += e.Accelerators().OvercommittedBytes()
	}
	for _, run := range d.Fleet.Services["printer-1"].Runs() {
		for _, header := range run.Headers {
			if strings.Contains(header.Value, "demo-key") {
				leaks++
			}
		}
	}
	d.add("no backend server saw a key", leaks == 0, "%d leaks in %d runs", leaks, runs)
	d.add("no accelerator was overcommitted", overcommitted == 0, "%d bytes", overcommitted)
}

// post calls a route with a key and an idempotency key, and returns the
// status, or 0.
func post(url, key, idempotencyKey, body string) int {
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return 0
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Idempotency-Key", idempotencyKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()

	return resp.StatusCode
}

func get(url string) int {
	resp, err := http.Get(url)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()

	return resp.StatusCode
}
