package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fastjson"

	"papayastair.dev/papayastair/caller"
	"papayastair.dev/papayastair/connection"
	"papayastair.dev/papayastair/fleet"
	"papayastair.dev/papayastair/objectstore"
	"papayastair.dev/papayastair/standin"
	"papayastair.dev/papayastair/wire"
)

const (
	_outcomeDone   = "Done"
	_outcomeNotRun = "NotRun"
	_callTimeout   = 15 * time.Second
	_callAttempts  = 4
	_callPause     = 500 * time.Millisecond
	_callBody      = `{"Document":"load"}`
	// _batchTimeout is how long the first token of batch work may take.
	_batchTimeout = 30 * time.Second
)

// Target is the system that requests go to.
type Target struct {
	// Addresses are the callers' addresses of the instances.
	Addresses []string
	// Fleet is the system if it runs in this process, or nil: then there are
	// no faults and no books of stand-ins.
	Fleet *fleet.Fleet
	// LogFile is the log of the instances; empty if it can't be read.
	LogFile string
}

// Sample is what became of one arrival.
type Sample struct {
	// Arrival is what was to be sent.
	Arrival *Arrival
	// Sent is when it was sent, since the start.
	Sent time.Duration
	// FirstToken and Took are the times from the arrival to the first token
	// and to the end.
	FirstToken time.Duration
	Took       time.Duration
	// MeanGap is the mean time between tokens.
	MeanGap time.Duration
	// Status, Outcome and Code are the last answer's.
	Status  int
	Outcome string
	Code    string
	// Tokens is how many came, and Whole says that the text is right.
	Tokens int
	Whole  bool
	// OverRateAnswers counts the answers that refused it for the rate.
	OverRateAnswers int
}

// runner sends the arrivals.
type runner struct {
	experiment *wire.Experiment
	locator    *locator
	client     *caller.Client
	plain      *fasthttp.Client
	start      time.Time

	mu      sync.Mutex
	sent    int
	samples []Sample
}

// Run sends the requests of an experiment and measures what comes of them. A
// line on progress is written each second while it runs.
func Run(e *wire.Experiment, target Target, progress io.Writer) (*Result, error) {
	if target.Fleet != nil {
		if err := checkFaults(target.Fleet, e.Faults); err != nil {
			return nil, err
		}
	}
	arrivals := Arrivals(e)
	client := caller.New()
	r := &runner{
		experiment: e,
		client:     client,
		plain:      connection.NewClient(_callTimeout),
		locator: &locator{
			client:    client,
			addresses: target.Addresses,
		},
	}
	before := readBooks(target.Fleet)
	r.run(arrivals, target, progress)
	after := readBooks(target.Fleet)
	product, err := readLog(target.LogFile)
	if err != nil {
		return nil, err
	}

	return measure(e, r.samples, before, after, product), nil
}

// run sends everything and waits for the answers.
func (r *runner) run(arrivals []Arrival, target Target, progress io.Writer) {
	ctx, cancel := context.WithCancel(context.Background())
	var duties conc.WaitGroup
	callers := firstCaller(r.experiment, len(r.experiment.Workspaces))
	r.locator.start(ctx, &duties, callers, r.experiment.FailureDomains)
	r.start = time.Now()
	duties.Go(func() { r.report(ctx, progress) })
	if target.Fleet != nil {
		startFaults(ctx, &duties, target.Fleet, r.experiment.Faults, r.start)
	}
	var requests conc.WaitGroup
	for i := range arrivals {
		a := &arrivals[i]
		// The context ends only after the requests.
		_ = objectstore.Sleep(ctx, time.Until(r.start.Add(a.At)))
		requests.Go(func() { r.send(a, i) })
	}
	requests.Wait()
	cancel()
	duties.Wait()
}

// send sends one arrival and keeps its sample.
func (r *runner) send(a *Arrival, number int) {
	r.mu.Lock()
	r.sent++
	r.mu.Unlock()
	sample := Sample{
		Arrival: a,
		Sent:    time.Since(r.start),
	}
	if a.Path == "" {
		r.complete(&sample, number)
	} else {
		r.call(&sample, number)
	}
	sample.Took = time.Since(r.start) - a.At
	r.mu.Lock()
	defer r.mu.Unlock()
	r.samples = append(r.samples, sample)
}

// complete asks for a completion.
func (r *runner) complete(s *Sample, number int) {
	a := s.Arrival
	w := &r.experiment.Workspaces[a.Workspace]
	request := caller.Request{
		Key:       Key(w.Name),
		RequestID: a.ID,
		Model:     a.Model,
		Prompt:    a.Prompt,
		MaxTokens: a.OutputTokens,
		Priority:  string(w.Priority),
	}
	if w.Priority == wire.ExperimentWorkspacePriorityBatch {
		request.Timeout = _batchTimeout
	}
	answer := r.client.Complete(r.locator.from(a.Caller, number), request)
	s.Status = answer.Status
	s.Outcome = answer.Outcome
	s.Code = answer.Code
	s.Tokens = answer.Tokens
	s.MeanGap = answer.MeanGap
	s.Whole = answer.Outcome == _outcomeDone && answer.Gaps == 0 &&
		answer.Text == standin.Text(a.Model, a.Prompt, a.OutputTokens)
	if answer.Tokens > 0 {
		s.FirstToken = s.Sent - a.At + answer.FirstToken
	}
	if answer.Status == http.StatusTooManyRequests {
		s.OverRateAnswers = 1
	}
}

// call calls a plain service through several instances at once, each of them
// again until it says what became of the call.
func (r *runner) call(s *Sample, number int) {
	addresses := r.locator.from(s.Arrival.Caller, number)
	copies := make([]Sample, s.Arrival.Repeats+1)
	var wg conc.WaitGroup
	for i := range copies {
		wg.Go(func() { r.callUntilDone(&copies[i], s.Arrival, addresses[i%len(addresses):]) })
	}
	wg.Wait()
	best := slices.IndexFunc(copies, func(c Sample) bool { return c.Outcome == _outcomeDone })
	best = max(best, 0)
	s.Status = copies[best].Status
	s.Outcome = copies[best].Outcome
	s.Code = copies[best].Code
	s.Whole = s.Outcome == _outcomeDone
	for _, c := range copies {
		s.OverRateAnswers += c.OverRateAnswers
	}
}

// callUntilDone tries the addresses in turn.
func (r *runner) callUntilDone(s *Sample, a *Arrival, addresses []string) {
	for n := range _callAttempts {
		if n > 0 {
			time.Sleep(_callPause)
		}
		r.callOnce(s, a, addresses[n%len(addresses)])
		if s.Status == http.StatusTooManyRequests {
			s.OverRateAnswers++
		}
		if s.Outcome == _outcomeDone || s.Status == http.StatusTooManyRequests {
			return
		}
	}
}

func (r *runner) callOnce(s *Sample, a *Arrival, address string) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + a.Path)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.Header.Set("Authorization", "Bearer "+Key(r.experiment.Workspaces[a.Workspace].Name))
	req.Header.Set("Idempotency-Key", a.ID)
	req.SetBodyString(_callBody)
	s.Outcome, s.Code, s.Status = "", "", 0
	if r.plain.Do(req, resp) != nil {
		return
	}
	s.Status = resp.StatusCode()
	s.Outcome = string(resp.Header.Peek("X-Outcome"))
	s.Code = fastjson.GetString(resp.Body(), "error", "code")
}

// report writes a line each second.
func (r *runner) report(ctx context.Context, w io.Writer) {
	for objectstore.Sleep(ctx, time.Second) == nil {
		done, refused, within := 0, 0, 0
		r.mu.Lock()
		for i := range r.samples {
			s := &r.samples[i]
			if s.Outcome == _outcomeDone {
				done++
			}
			if s.Outcome == _outcomeNotRun {
				refused++
			}
			if s.attains() {
				within++
			}
		}
		open := r.sent - len(r.samples)
		sent := r.sent
		r.mu.Unlock()
		_, _ = fmt.Fprintf(w, "\r%3.0fs of %ds: %d sent, %d open, %d done, %d in time, %d not run ",
			time.Since(r.start).Seconds(), r.experiment.Seconds, sent, open, done, within, refused)
	}
	_, _ = fmt.Fprintln(w)
}
