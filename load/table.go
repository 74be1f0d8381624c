package load

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"github.com/rotisserie/eris"
)

// ReadResult reads a result from a JSON file.
func ReadResult(file string) (*Result, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrapf(err, "load: read result %s", file)
	}
	var r Result
	if err := json.Unmarshal(content, &r); err != nil {
		return nil, eris.Wrapf(err, "load: parse result %s", file)
	}

	return &r, nil
}

// Write writes the result as JSON to a file.
func (r *Result) Write(file string) error {
	content, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return eris.Wrap(err, "load: encode result")
	}

	return eris.Wrapf(os.WriteFile(file, append(content, '\n'), 0o600), "load: write result %s", file)
}

// Table is the result for people.
func (r *Result) Table() string {
	var b strings.Builder
	t := newTable(&b)
	t.row("%s, seed %d, %d s, %d requests, %d faults", r.Experiment, r.Seed, r.Seconds, r.Offered, len(r.Faults))
	t.row("")
	for _, m := range r.measures() {
		t.row("%s\t%s\t", m.name, m.text())
	}
	t.row("worst-served workspace\t%s\t", r.WorstWorkspace)
	t.row("")
	t.row("workspace\tpriority\toffered\twithin rate\tin time\tdone\tpart\trefused within rate\tover rate\tideal\ttokens left\tother refusals\tbeyond rate, tokens\t")
	for _, w := range r.Workspaces {
		t.row("%s\t%s\t%d\t%d\t%d\t%d\t%.3f\t%d\t%d\t%d\t%d\t%d\t%d\t", w.Name, w.Priority, w.Offered, w.Counted, w.Attained, w.Done,
			w.Attainment, w.RefusedWithinRate, w.RefusedOverRate, w.OverRate, w.WithTokensLeft, w.RefusedOtherwise, w.BeyondRateTokens)
	}
	t.row("")
	t.row("latency, ms\tcount\tp50\tp95\tp99\tmax\t")
	for _, l := range r.Latencies {
		t.row("%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t", l.Name, l.Count, l.P50, l.P95, l.P99, l.Max)
	}
	t.row("")
	t.row("outcome\tcount\t")
	for _, o := range r.Outcomes {
		t.row("%s\t%d\t", o.Name, o.Count)
	}
	t.row("")
	t.row("held against the log\tseen by\tseen\tlog\t")
	for _, c := range r.Comparisons {
		t.row("%s\t%s\t%s\t%s\t", c.Name, c.SeenBy, countText(c.Seen), countText(c.Product))
	}
	t.end()

	return b.String()
}

// CompareTable shows two results with the ratios of the second to the first.
func CompareTable(first, second *Result) string {
	var b strings.Builder
	t := newTable(&b)
	t.row("measure\t%s, seed %d\t%s, seed %d\tratio\t", first.Experiment, first.Seed, second.Experiment, second.Seed)
	others := second.measures()
	for i, m := range first.measures() {
		t.row("%s\t%s\t%s\t%s\t", m.name, m.text(), others[i].text(), ratioText(m.value, others[i].value))
	}
	for _, l := range first.Latencies {
		for _, o := range second.Latencies {
			if o.Name == l.Name {
				t.row("%s, p95 ms\t%.1f\t%.1f\t%s\t", l.Name, l.P95, o.P95, ratioText(l.P95, o.P95))
			}
		}
	}
	t.end()

	return b.String()
}

// measured is one figure with its name.
type measured struct {
	name    string
	value   float64
	isWhole bool
}

func (m measured) text() string {
	if m.value == _unknown {
		return "not known"
	}
	if m.isWhole {
		return fmt.Sprintf("%.0f", m.value)
	}

	return fmt.Sprintf("%.3f", m.value)
}

// measures are the figures that runs are compared by.
func (r *Result) measures() []measured {
	whole := func(name string, n int) measured {
		return measured{
			name:    name,
			value:   float64(n),
			isWhole: true,
		}
	}

	return []measured{
		{
			name:  "attained per accelerator and second",
			value: r.PerAccelerator,
		},
		{
			name:  "attainment",
			value: r.Attainment,
		},
		{
			name:  "attainment of the worst-served",
			value: r.WorstAttainment,
		},
		whole("model moves", r.ModelMoves),
		whole("first loads", r.FirstLoads),
		whole("refused for the rate though within it", r.RefusedWithinRate),
		whole("an ideal bucket refuses of the same", r.OverRate),
		whole("refused with tokens left", r.WithTokensLeft),
		whole("refused for other reasons", r.RefusedOtherwise),
		whole("rightly refused for the rate", r.RefusedOverRate),
		whole("tokens beyond rate and burst", r.BeyondRateTokens),
		whole("runs above one of non-idempotent calls", r.RunsAboveOne),
		whole("leaks of keys", r.Leaks),
		whole("overcommitted bytes", r.OvercommittedBytes),
	}
}

func countText(n int) string {
	return measured{
		value:   float64(n),
		isWhole: true,
	}.text()
}

func ratioText(a, b float64) string {
	if a == b {
		return "1.00"
	}
	if a == 0 {
		return "-"
	}

	return fmt.Sprintf("%.2f", b/a)
}

// table aligns rows into columns.
type table struct {
	w *tabwriter.Writer
}

func newTable(b *strings.Builder) *table {
	const padding = 2

	return &table{w: tabwriter.NewWriter(b, 0, 0, padding, ' ', 0)}
}

// row adds a row; a builder takes it without an error.
func (t *table) row(format string, args ...any) {
	_, _ = fmt.Fprintf(t.w, format+"\n", args...)
}

func (t *table) end() {
	_ = t.w.Flush()
}
