// Package experiment measures the decisions of admission and routing in
// virtual time: open-loop arrivals of a shape run against models of engines,
// once with the product's own Queue and Table in each instance, once with
// round robin and once with least outstanding requests. The same shape and
// seed give the same arrivals for each policy and the same result on each run.
//
//	shape, err := experiment.ReadShape("experiment/shapes/kandy.json")
//	rows := experiment.Sweep(shape, []float64{0.7, 1, 1.5, 3}, experiment.Options{})
//	experiment.WriteTable(os.Stdout, rows)
//
// A request attains if its first token comes within FirstTokenTarget of its
// arrival and the mean of its gaps between tokens is within GapTarget; one
// that is refused or unfinished does not.
package experiment
