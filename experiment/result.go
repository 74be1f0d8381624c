package experiment

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"papayastair.dev/papayastair/wire"
)

// Row is the result of one policy at one load.
type Row struct {
	// Shape and Policy name the run.
	Shape  string
	Policy Policy
	// Load is the offered work as a part of the capacity.
	Load float64
	// Offered counts the urgent and live requests, Attained those in time, and
	// Refused those refused as not run.
	Offered  int
	Attained int
	Refused  int
	// PerAccelerator is the attained requests per second and accelerator.
	PerAccelerator float64
	// Urgent is the attainment of urgent requests.
	Urgent float64
	// WorstWithinShare is the lowest attainment of the workspaces that ask for
	// no more than their share, and WorstWorkspace is whose it is.
	WorstWithinShare float64
	WorstWorkspace   string
	// FirstToken95 is the time of the first token for 95 in 100 of the urgent
	// and live requests that were run.
	FirstToken95 time.Duration
	// BatchTokensPerSecond is the batch work that ended, and BatchDone its part
	// of the requests offered.
	BatchTokensPerSecond float64
	BatchDone            float64
	// Workspaces are the attainments of all, by the shape's order; of batch
	// workspaces it is the part that ended.
	Workspaces []float64
}

// Attainment is the part of the urgent and live requests that attained.
func (r *Row) Attainment() float64 {
	return part(r.Attained, r.Offered)
}

// Run measures one policy at one load.
func Run(shape *wire.Shape, policy Policy, load float64, options Options) Row {
	arrivals := make([][]Arrival, len(shape.Workspaces))
	for i := range shape.Workspaces {
		arrivals[i] = Arrivals(shape, i, load)
	}
	f := newFleet(shape, policy, options)
	f.run(arrivals)

	return f.row(load)
}

// Sweep measures all policies at all loads.
func Sweep(shape *wire.Shape, loads []float64, options Options) []Row {
	policies := []Policy{PolicyRoundRobin, PolicyLeastOutstanding, PolicyLeastBounded, PolicyOwn}
	rows := make([]Row, 0, len(loads)*len(policies))
	for _, load := range loads {
		for _, policy := range policies {
			rows = append(rows, Run(shape, policy, load, options))
		}
	}

	return rows
}

// WriteTable writes rows for people.
func WriteTable(w io.Writer, rows []Row) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "shape\tload\tpolicy\tattained/s/accelerator\tattainment\turgent\tworst within share\trefused\tfirst token p95 ms\tbatch tokens/s\tbatch done\t")
	for i := range rows {
		r := &rows[i]
		_, _ = fmt.Fprintf(t, "%s\t%.1f\t%s\t%.3f\t%.3f\t%.3f\t%.3f %s\t%d\t%d\t%.0f\t%.3f\t\n",
			r.Shape, r.Load, r.Policy, r.PerAccelerator, r.Attainment(), r.Urgent, r.WorstWithinShare, r.WorstWorkspace,
			r.Refused, r.FirstToken95.Milliseconds(), r.BatchTokensPerSecond, r.BatchDone)
	}

	return t.Flush()
}

func (f *fleet) row(load float64) Row {
	row := Row{
		Shape:            f.shape.Name,
		Policy:           f.policy,
		Load:             load,
		WorstWithinShare: 1,
	}
	n := len(f.shape.Workspaces)
	offered, good, batchTokens := make([]int, n), make([]int, n), 0
	var firsts []time.Duration
	warm := time.Duration(f.shape.WarmUpSeconds) * time.Second
	end := f.start.Add(warm + time.Duration(f.shape.Seconds)*time.Second)
	for _, c := range f.all {
		w := c.arrival.Workspace
		batch := f.shape.Workspaces[w].Priority == wire.ShapeWorkspacePriorityBatch
		if batch && c.done && c.last.After(f.start.Add(warm)) && c.last.Before(end) {
			batchTokens += c.arrival.InputTokens + c.arrival.OutputTokens
		}
		if c.arrival.At < warm {
			continue
		}
		offered[w]++
		if batch && c.done || !batch && f.attains(c) {
			good[w]++
		}
		if !batch && c.refused {
			row.Refused++
		}
		if !batch && !c.first.IsZero() {
			firsts = append(firsts, c.first.Sub(f.start.Add(c.arrival.At)))
		}
	}
	f.summarize(&row, offered, good, load)
	row.BatchTokensPerSecond = float64(batchTokens) / float64(f.shape.Seconds)
	if len(firsts) > 0 {
		slices.Sort(firsts)
		row.FirstToken95 = firsts[len(firsts)*95/100]
	}

	return row
}

// summarize adds up the counts of the workspaces.
func (f *fleet) summarize(row *Row, offered, good []int, load float64) {
	urgentOffered, urgentGood, batchOffered, batchGood := 0, 0, 0, 0
	for i := range f.shape.Workspaces {
		w := &f.shape.Workspaces[i]
		attainment := part(good[i], offered[i])
		row.Workspaces = append(row.Workspaces, attainment)
		if w.Priority == wire.ShapeWorkspacePriorityBatch {
			batchOffered += offered[i]
			batchGood += good[i]

			continue
		}
		row.Offered += offered[i]
		row.Attained += good[i]
		if w.Priority == wire.ShapeWorkspacePriorityUrgent {
			urgentOffered += offered[i]
			urgentGood += good[i]
		}
		if withinShare(f.shape, i, load) && (row.WorstWorkspace == "" || attainment < row.WorstWithinShare) {
			row.WorstWithinShare = attainment
			row.WorstWorkspace = w.Name
		}
	}
	row.Urgent = part(urgentGood, urgentOffered)
	row.BatchDone = part(batchGood, batchOffered)
	row.PerAccelerator = float64(row.Attained) / float64(f.shape.Seconds) / float64(len(f.shape.Engines))
}

// attains says that the call met both targets.
func (f *fleet) attains(c *call) bool {
	if !c.done || c.first.Sub(f.start.Add(c.arrival.At)) > FirstTokenTarget {
		return false
	}
	gaps := c.arrival.OutputTokens - 1

	return gaps == 0 || c.last.Sub(c.first) <= time.Duration(gaps)*GapTarget
}

func part(n, of int) float64 {
	if of == 0 {
		return 1
	}

	return float64(n) / float64(of)
}
