package load

import (
	"bufio"
	"encoding/json"
	"net/http"
	"os"
	"strings"

	"github.com/rotisserie/eris"

	"papayastair.dev/papayastair/event"
	"papayastair.dev/papayastair/fleet"
	"papayastair.dev/papayastair/standin"
)

const _maxLogLine = 1 << 20

// books is what the stand-in backend servers have seen.
type books struct {
	known              bool
	loads              int
	leaks              int
	overcommittedBytes int
	completions        int
	calls              int
	runsAboveOne       int
}

// readBooks adds up the accounts of a fleet's backend servers; without a
// fleet they are not known.
func readBooks(f *fleet.Fleet) books {
	if f == nil {
		return books{}
	}
	b := books{known: true}
	for _, e := range f.Engines {
		figures := e.Account().Figures()
		b.leaks += int(figures.Leaks)
		b.completions += int(figures.Done)
		b.loads += e.Accelerators().Loads()
		b.overcommittedBytes = max(b.overcommittedBytes, e.Accelerators().OvercommittedBytes())
	}
	runs := map[string]int{}
	for _, s := range f.Services {
		for _, run := range s.Runs() {
			runs[run.IdempotencyKey]++
			b.calls++
			if holdsKey(run) {
				b.leaks++
			}
		}
	}
	for _, n := range runs {
		b.runsAboveOne += n - 1
	}

	return b
}

func holdsKey(run standin.Run) bool {
	for _, header := range run.Headers {
		if strings.Contains(header.Value, _keyPrefix) {
			return true
		}
	}

	return strings.Contains(run.Body+run.Query+run.Path, _keyPrefix)
}

// productCounts is what the instances say of themselves in their log.
type productCounts struct {
	known        bool
	completions  int
	calls        int
	quotaRefused int
	loads        int
}

// logLine is what is read of a line of the log.
type logLine struct {
	Number  int
	Outcome string
	Action  string
	Service string
	Saved   bool
}

// readLog counts the events of a log; without a file they are not known.
func readLog(file string) (productCounts, error) {
	if file == "" {
		return productCounts{}, nil
	}
	log, err := os.Open(file)
	if err != nil {
		return productCounts{}, eris.Wrapf(err, "load: open log %s", file)
	}
	defer func() { _ = log.Close() }()
	counts := productCounts{known: true}
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, _maxLogLine)
	for lines.Scan() {
		var line logLine
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			return counts, eris.Wrapf(err, "load: parse log %s", file)
		}
		counts.add(&line)
	}

	return counts, eris.Wrapf(lines.Err(), "load: read log %s", file)
}

func (c *productCounts) add(line *logLine) {
	switch line.Number {
	case event.RequestDone.Number:
		if line.Outcome != _outcomeDone {
			return
		}
		if line.Service == "" {
			c.completions++
		} else if !line.Saved {
			c.calls++
		}
	case event.QuotaRefused.Number:
		c.quotaRefused++
	case event.PlacementDecided.Number:
		if line.Action == "Load" {
			c.loads++
		}
	}
}

// Comparison holds one figure against the product's own.
type Comparison struct {
	Name string
	// Seen is by the callers or the stand-ins, as SeenBy says; Product is by
	// the log. -1 is not known.
	Seen    int
	SeenBy  string
	Product int
}

// compareBooks holds what was seen against the product's counts.
func compareBooks(samples []Sample, after books, product productCounts) []Comparison {
	done, refused := 0, 0
	for i := range samples {
		s := &samples[i]
		if s.Arrival.Path == "" && s.Outcome == _outcomeDone {
			done++
		}
		refused += s.OverRateAnswers
	}
	comparisons := []Comparison{
		{
			Name:    "completions done",
			Seen:    done,
			SeenBy:  "callers",
			Product: product.completions,
		},
		{
			Name:    "answers " + http.StatusText(http.StatusTooManyRequests),
			Seen:    refused,
			SeenBy:  "callers",
			Product: product.quotaRefused,
		},
		{
			Name:    "calls run",
			Seen:    after.calls,
			SeenBy:  "services",
			Product: product.calls,
		},
		{
			Name:    "loads of models",
			Seen:    after.loads,
			SeenBy:  "engines",
			Product: product.loads,
		},
	}
	for i := range comparisons {
		c := &comparisons[i]
		if !product.known {
			c.Product = _unknown
		}
		if !after.known && c.SeenBy != "callers" {
			c.Seen = _unknown
		}
	}

	return comparisons
}
