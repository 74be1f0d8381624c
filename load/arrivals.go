package load

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"papayastair.dev/papayastair/experiment"
	"papayastair.dev/papayastair/wire"
)

const (
	_burst           = 2 * time.Second
	_bytesPerToken   = 4
	_wordBytes       = 8
	_completionsFrom = 1
	_callsFrom       = 1 << 20
)

// Arrival is one request of an experiment.
type Arrival struct {
	// ID is the request id, or the idempotency key of a call.
	ID string
	// At is the time since the start.
	At time.Duration
	// Workspace is an index into the experiment's workspaces.
	Workspace int
	// Caller is the caller's number in the experiment.
	Caller int
	// Model is a model or adapter; empty for a call of a plain service.
	Model string
	// Prompt is the prompt.
	Prompt string
	// InputTokens and OutputTokens are the lengths; a call has its cost as
	// InputTokens.
	InputTokens  int
	OutputTokens int
	// Path is the route of a call, and Repeats how often it is sent again.
	Path    string
	Repeats int
}

// Arrivals are all requests of an experiment in the order of their times. They
// depend on the experiment only.
func Arrivals(e *wire.Experiment) []Arrival {
	streams := make([][]Arrival, 0, 2*len(e.Workspaces))
	for i := range e.Workspaces {
		streams = append(streams, completions(e, i), calls(e, i))
	}
	arrivals := slices.Concat(streams...)
	slices.SortStableFunc(arrivals, func(a, b Arrival) int { return cmp.Compare(a.At, b.At) })

	return arrivals
}

func completions(e *wire.Experiment, workspace int) []Arrival {
	w := &e.Workspaces[workspace]
	random := rand.New(rand.NewPCG(uint64(e.Seed), uint64(workspace+_completionsFrom)))
	times := arrivalTimes(e, w, w.ArrivalsPerMinute, random)
	arrivals := make([]Arrival, 0, len(times))
	for n, at := range times {
		a := Arrival{
			ID:           fmt.Sprintf("%s-%d", w.Name, n),
			At:           at,
			Workspace:    workspace,
			Caller:       firstCaller(e, workspace) + random.IntN(w.Callers),
			Model:        w.Models[experiment.Rank(random, len(w.Models))],
			InputTokens:  w.PrefixTokens + experiment.Spread(random, w.InputTokens-w.PrefixTokens),
			OutputTokens: experiment.Spread(random, w.OutputTokens),
		}
		if adapters := adaptersOf(e, a.Model); random.IntN(100) < w.AdapterPercent && adapters > 0 {
			a.Model = adapterName(a.Model, random.IntN(adapters))
		}
		a.Prompt = prompt(w, a.InputTokens, random)
		arrivals = append(arrivals, a)
	}

	return arrivals
}

func calls(e *wire.Experiment, workspace int) []Arrival {
	w := &e.Workspaces[workspace]
	random := rand.New(rand.NewPCG(uint64(e.Seed), uint64(workspace+_callsFrom)))
	times := arrivalTimes(e, w, w.CallsPerMinute, random)
	arrivals := make([]Arrival, 0, len(times))
	for n, at := range times {
		arrivals = append(arrivals, Arrival{
			ID:          fmt.Sprintf("%s-call-%d", w.Name, n),
			At:          at,
			Workspace:   workspace,
			Caller:      firstCaller(e, workspace) + random.IntN(w.Callers),
			InputTokens: costOf(e, w.CallPath),
			Path:        w.CallPath,
			Repeats:     w.CallRepeats,
		})
	}

	return arrivals
}

// firstCaller is the number of a workspace's first caller.
func firstCaller(e *wire.Experiment, workspace int) int {
	first := 0
	for i := range workspace {
		first += e.Workspaces[i].Callers
	}

	return first
}

func costOf(e *wire.Experiment, path string) int {
	for _, r := range e.Routes {
		if r.Path == path {
			return r.CostTokens
		}
	}

	return 0
}

// arrivalTimes thins a stream of the highest rate to the rate of each time.
func arrivalTimes(e *wire.Experiment, w *wire.ExperimentWorkspace, perMinute int, random *rand.Rand) []time.Duration {
	highest := 100
	for _, s := range w.Shifts {
		highest = max(highest, s.Percent)
	}
	peak := float64(perMinute*w.Burstiness*highest) / 100 / time.Minute.Seconds()
	if peak <= 0 {
		return nil
	}
	end := time.Duration(e.Seconds) * time.Second
	var times []time.Duration
	b := bursts{
		factor: w.Burstiness,
		random: random,
	}
	for at := seconds(random.ExpFloat64() / peak); at < end; at += seconds(random.ExpFloat64() / peak) {
		kept := random.IntN(highest) < percentAt(w.Shifts, at)
		if b.isInside(at) && kept {
			times = append(times, at)
		}
	}

	return times
}

// percentAt is the rate at a time, of the mean rate.
func percentAt(shifts []wire.DemandShift, at time.Duration) int {
	percent := 100
	for _, s := range shifts {
		if at >= time.Duration(s.AtSeconds)*time.Second {
			percent = s.Percent
		}
	}

	return percent
}

// bursts are periods of _burst with silence between them, so that a stream of
// factor times the mean rate inside them has the mean rate.
type bursts struct {
	factor int
	random *rand.Rand
	begin  time.Duration
	end    time.Duration
}

// isInside reports whether a time is inside a burst. Times must not go back.
func (b *bursts) isInside(at time.Duration) bool {
	if b.factor <= 1 {
		return true
	}
	for at >= b.end {
		b.begin = b.end + seconds(b.random.ExpFloat64()*_burst.Seconds()*float64(b.factor-1))
		b.end = b.begin + _burst
	}

	return at >= b.begin
}

// prompt begins with one of the shared prefixes of the workspace.
func prompt(w *wire.ExperimentWorkspace, tokens int, random *rand.Rand) string {
	var text strings.Builder
	if w.Prefixes > 0 {
		shared := rand.New(rand.NewPCG(uint64(experiment.Rank(random, w.Prefixes)), uint64(len(w.Name))))
		writeWords(&text, w.PrefixTokens*_bytesPerToken, shared)
	}
	writeWords(&text, tokens*_bytesPerToken, random)

	return text.String()[:tokens*_bytesPerToken]
}

// writeWords fills text up to a length at least.
func writeWords(text *strings.Builder, length int, random *rand.Rand) {
	for text.Len() < length {
		_, _ = fmt.Fprintf(text, "%0*x", _wordBytes, random.Uint32())
	}
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
