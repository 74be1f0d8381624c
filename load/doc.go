// Package load sends an experiment's requests to a fleet over HTTP in real
// time and measures what the callers and the stand-in backend servers saw.
//
// Read an Experiment, make its Arrivals, start a Target and call Run, which
// returns a Result. Requests are sent at their times whether or not earlier
// ones were answered, and latencies count from those times, so that a slow
// system can't hide its slowness by slowing the callers down.
//
// Files, in reading order: experiment.go reads an experiment and makes its
// hierarchy, arrivals.go its requests, target.go the fleet, faults.go what
// fails, run.go and locator.go send, bucket.go and measure.go compute the
// measures, account.go reads the books of the stand-ins and the product's log,
// table.go and plot.go show results.
package load
