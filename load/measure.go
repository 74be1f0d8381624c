package load

import (
	"cmp"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"papayastair.dev/papayastair/experiment"
	"papayastair.dev/papayastair/wire"
)

const (
	_highestLatency = 10 * time.Minute
	_latencyDigits  = 3
	// _unknown is a figure of books that can't be read.
	_unknown = -1
)

// Result is what a run measured. Times are in milliseconds; -1 is a figure
// that is not known, because the stand-ins' books can't be read.
type Result struct {
	// Experiment, Seed and Seconds say what was run.
	Experiment string
	Seed       int
	Seconds    int
	// Offered counts all requests. Attainment concerns the completions that
	// are not batch work and not over their workspace's rate: Counted are
	// those, Attained those in time.
	Offered  int
	Counted  int
	Attained int
	// Attainment is Attained of Counted, and PerAccelerator is Attained for
	// each accelerator and second.
	Attainment     float64
	PerAccelerator float64
	// WorstWorkspace is the worst-served one, and WorstAttainment its part.
	WorstWorkspace  string
	WorstAttainment float64
	// FirstLoads are the loads of models before the run by the stand-ins'
	// account, and ModelMoves those during it.
	FirstLoads int
	ModelMoves int
	// RefusedWithinRate are the requests refused for the rate though one bucket
	// over all that was sent admits them, RefusedOverRate those that it doesn't
	// admit either, and RefusedOtherwise those refused for other reasons.
	// OverRate is how many that bucket refuses in all. WithTokensLeft are the
	// refused ones for which what was admitted had left tokens enough.
	RefusedWithinRate int
	OverRate          int
	WithTokensLeft    int
	RefusedOtherwise  int
	RefusedOverRate   int
	// BeyondRateTokens is the most that any workspace had beyond its rate and
	// burst.
	BeyondRateTokens int
	// RunsAboveOne are the repeated runs of non-idempotent calls.
	RunsAboveOne int
	// Leaks are the requests at backend servers that held a caller's key.
	Leaks int
	// OvercommittedBytes is the most that any accelerator was overcommitted.
	OvercommittedBytes int
	// Workspaces, Latencies and Outcomes are sorted by name.
	Workspaces []WorkspaceResult
	Latencies  []Latency
	Outcomes   []Count
	// Comparisons hold what callers and stand-ins saw against the product's
	// own log.
	Comparisons []Comparison
	// Timeline has a point for each second.
	Timeline []Point
	// Faults are those of the experiment.
	Faults []wire.ExperimentFault
}

// WorkspaceResult is one workspace's part of a Result.
type WorkspaceResult struct {
	// Name and Priority are the workspace's.
	Name     string
	Priority string
	// Offered counts all completions, Counted those within the rate, Attained
	// those in time and Done those that ended whole.
	Offered  int
	Counted  int
	Attained int
	Done     int
	// Attainment is Attained of Counted; for batch work Done of Counted.
	Attainment float64
	// RefusedWithinRate and those after it are as in Result.
	RefusedWithinRate int
	OverRate          int
	WithTokensLeft    int
	RefusedOtherwise  int
	RefusedOverRate   int
	// BeyondRateTokens is the most that it had beyond its rate and burst.
	BeyondRateTokens int
}

// Latency is a distribution of times in milliseconds.
type Latency struct {
	Name  string
	Count int
	P50   float64
	P95   float64
	P99   float64
	Max   float64
}

// Count is a number of things of a kind.
type Count struct {
	Name  string
	Count int
}

// Point is one second of a run, by the times of the arrivals.
type Point struct {
	Second int
	// Counted and Attained are as in Result.
	Counted  int
	Attained int
	// Worst is the lowest attainment of a workspace with requests in that
	// second.
	Worst float64
	// Jain is the fairness index of the attainments of the workspaces with
	// requests in that second: 1 if all are equal.
	Jain float64
}

// verdict says how a request stands to its workspace's rate.
type verdict int

const (
	_admitted verdict = iota
	_refusedWithinRate
	_refusedOtherwise
	_refusedOverRate
)

// attains reports whether a completion met both targets.
func (s *Sample) attains() bool {
	return s.Arrival.Path == "" && s.Whole && s.FirstToken <= experiment.FirstTokenTarget && s.MeanGap <= experiment.GapTarget
}

// measure computes the measures of a run.
func measure(e *wire.Experiment, samples []Sample, before, after books, product productCounts) *Result {
	slices.SortFunc(samples, func(a, b Sample) int { return cmp.Compare(a.Sent, b.Sent) })
	result := &Result{
		Experiment:         e.Name,
		Seed:               e.Seed,
		Seconds:            e.Seconds,
		Offered:            len(samples),
		FirstLoads:         before.loads,
		ModelMoves:         after.loads - before.loads,
		RunsAboveOne:       after.runsAboveOne,
		Leaks:              after.leaks,
		OvercommittedBytes: after.overcommittedBytes,
		Latencies:          latencies(e, samples),
		Outcomes:           outcomes(samples),
		Comparisons:        compareBooks(samples, after, product),
		Faults:             e.Faults,
	}
	if !after.known {
		result.FirstLoads, result.ModelMoves = _unknown, _unknown
		result.RunsAboveOne, result.Leaks, result.OvercommittedBytes = _unknown, _unknown, _unknown
	}
	verdicts := make([]verdict, len(samples))
	for i := range e.Workspaces {
		result.Workspaces = append(result.Workspaces, measureWorkspace(e, i, samples, verdicts))
	}
	result.addUp(accelerators(e))
	result.Timeline = timeline(e, samples, verdicts)

	return result
}

func accelerators(e *wire.Experiment) int {
	n := 0
	for _, engine := range e.Engines {
		n += engine.Count
	}

	return n
}

// addUp adds up the workspaces.
func (r *Result) addUp(accelerators int) {
	r.WorstAttainment = 1
	for _, w := range r.Workspaces {
		r.RefusedWithinRate += w.RefusedWithinRate
		r.OverRate += w.OverRate
		r.WithTokensLeft += w.WithTokensLeft
		r.RefusedOtherwise += w.RefusedOtherwise
		r.RefusedOverRate += w.RefusedOverRate
		r.BeyondRateTokens = max(r.BeyondRateTokens, w.BeyondRateTokens)
		if w.Priority == string(wire.ExperimentWorkspacePriorityBatch) {
			continue
		}
		r.Counted += w.Counted
		r.Attained += w.Attained
		if r.WorstWorkspace == "" || w.Attainment < r.WorstAttainment {
			r.WorstWorkspace = w.Name
			r.WorstAttainment = w.Attainment
		}
	}
	r.Attainment = ratio(r.Attained, r.Counted)
	r.PerAccelerator = float64(r.Attained) / float64(r.Seconds*accelerators)
}

// measureWorkspace judges the samples of one workspace, in the order in which
// they were sent, by a token bucket of its rate and burst.
func measureWorkspace(e *wire.Experiment, workspace int, samples []Sample, verdicts []verdict) WorkspaceResult {
	w := &e.Workspaces[workspace]
	result := WorkspaceResult{
		Name:     w.Name,
		Priority: string(w.Priority),
	}
	b := newBucket(w)
	for i := range samples {
		s := &samples[i]
		if s.Arrival.Workspace != workspace {
			continue
		}
		verdicts[i] = b.judge(s)
		result.count(s, verdicts[i])
	}
	result.BeyondRateTokens = int(b.beyond)
	result.OverRate = b.overRate
	result.WithTokensLeft = b.withTokensLeft
	result.Attainment = ratio(result.Attained, result.Counted)
	if w.Priority == wire.ExperimentWorkspacePriorityBatch {
		result.Attainment = ratio(result.Done, result.Counted)
	}

	return result
}

func (w *WorkspaceResult) count(s *Sample, v verdict) {
	switch v {
	case _refusedWithinRate:
		w.RefusedWithinRate++
	case _refusedOtherwise:
		w.RefusedOtherwise++
	case _refusedOverRate:
		w.RefusedOverRate++
	case _admitted:
	}
	if s.Arrival.Path != "" {
		return
	}
	w.Offered++
	if v != _refusedOverRate {
		w.Counted++
	}
	if s.attains() {
		w.Attained++
	}
	if s.Whole {
		w.Done++
	}
}

// latencies are those from the time of the arrival.
func latencies(e *wire.Experiment, samples []Sample) []Latency {
	histograms := map[string]*hdrhistogram.Histogram{}
	add := func(name string, d time.Duration) {
		h, ok := histograms[name]
		if !ok {
			h = hdrhistogram.New(1, _highestLatency.Microseconds(), _latencyDigits)
			histograms[name] = h
		}
		// The highest latency is more than any timeout.
		_ = h.RecordValue(min(max(d, time.Microsecond), _highestLatency).Microseconds())
	}
	for i := range samples {
		s := &samples[i]
		switch {
		case s.Arrival.Path != "":
			add("call", s.Took)
		case s.Tokens > 0:
			priority := string(e.Workspaces[s.Arrival.Workspace].Priority)
			add("first token, "+priority, s.FirstToken)
			add("mean gap, "+priority, s.MeanGap)
		}
		add("sent late", s.Sent-s.Arrival.At)
	}
	result := make([]Latency, 0, len(histograms))
	for name, h := range histograms {
		result = append(result, Latency{
			Name:  name,
			Count: int(h.TotalCount()),
			P50:   toMilliseconds(h.ValueAtQuantile(50)),
			P95:   toMilliseconds(h.ValueAtQuantile(95)),
			P99:   toMilliseconds(h.ValueAtQuantile(99)),
			Max:   toMilliseconds(h.Max()),
		})
	}
	slices.SortFunc(result, func(a, b Latency) int { return cmp.Compare(a.Name, b.Name) })

	return result
}

func toMilliseconds(microseconds int64) float64 {
	return float64(microseconds) / float64(time.Millisecond/time.Microsecond)
}

// outcomes counts how requests ended.
func outcomes(samples []Sample) []Count {
	counts := map[string]int{}
	for i := range samples {
		counts[samples[i].kind()]++
	}
	result := make([]Count, 0, len(counts))
	for name, n := range counts {
		result = append(result, Count{
			Name:  name,
			Count: n,
		})
	}
	slices.SortFunc(result, func(a, b Count) int { return cmp.Compare(a.Name, b.Name) })

	return result
}

// kind is how a request ended, for people.
func (s *Sample) kind() string {
	what := "completion "
	if s.Arrival.Path != "" {
		what = "call "
	}
	switch {
	case s.Outcome == _outcomeDone && !s.Whole:
		return what + "Wrong"
	case s.Outcome == _outcomeDone:
		return what + _outcomeDone
	case s.Outcome == "":
		return what + "CutOff"
	default:
		return what + s.Outcome + " " + s.Code
	}
}

// timeline cuts the run into seconds.
func timeline(e *wire.Experiment, samples []Sample, verdicts []verdict) []Point {
	type tally struct{ counted, attained int }
	tallies := make([][]tally, e.Seconds)
	for i := range tallies {
		tallies[i] = make([]tally, len(e.Workspaces))
	}
	for i := range samples {
		s := &samples[i]
		batch := e.Workspaces[s.Arrival.Workspace].Priority == wire.ExperimentWorkspacePriorityBatch
		if batch || s.Arrival.Path != "" || verdicts[i] == _refusedOverRate {
			continue
		}
		t := &tallies[int(s.Arrival.At.Seconds())][s.Arrival.Workspace]
		t.counted++
		if s.attains() {
			t.attained++
		}
	}
	points := make([]Point, 0, e.Seconds)
	for second, workspaces := range tallies {
		p := Point{Second: second}
		var parts []float64
		for _, t := range workspaces {
			p.Counted += t.counted
			p.Attained += t.attained
			if t.counted > 0 {
				parts = append(parts, ratio(t.attained, t.counted))
			}
		}
		p.Jain = jain(parts)
		p.Worst = 1
		if len(parts) > 0 {
			p.Worst = slices.Min(parts)
		}
		points = append(points, p)
	}

	return points
}

// jain is Jain's fairness index.
func jain(parts []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, p := range parts {
		sum += p
		squares += p * p
	}
	if squares == 0 {
		return 1
	}

	return sum * sum / (float64(len(parts)) * squares)
}

func ratio(n, of int) float64 {
	if of == 0 {
		return 1
	}

	return float64(n) / float64(of)
}
