package standin

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// Exit statuses of a case.
const (
	_exitHeld   = 0
	_exitBroken = 1
	_exitNotRun = 2
)

// checks are the cases by name. Each reports whether its rule was broken. With trouble unset it
// does the same without the disruption.
var checks = map[string]func(r *record, trouble bool) (broken bool, err error){
	"tainted-unframed":   taintedUnframed,
	"cut-before-first":   cutBeforeFirst,
	"probes-in-turn":     probesInTurn,
	"large-bodies":       largeBodies,
	"entry-without-zone": entryWithoutZone,
}

// TestMain runs a worker or a case if the first argument says so. The default test run has no
// such argument, and no tests.
func TestMain(m *testing.M) {
	switch {
	case len(os.Args) > 1 && os.Args[1] == "worker":
		fmt.Fprintln(os.Stderr, runWorker(os.Args[2:]))
		os.Exit(_exitNotRun)
	case len(os.Args) > 1 && os.Args[1] == "case":
		os.Exit(runCase(os.Args[2:]))
	default:
		os.Exit(m.Run())
	}
}

// runCase runs the case that the arguments name.
func runCase(args []string) int {
	flags := flag.NewFlagSet("case", flag.ContinueOnError)
	path := flags.String("record", "record.txt", "the file for the record")
	if err := flags.Parse(args); err != nil || checks[flags.Arg(0)] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin case -record FILE NAME")

		return _exitNotRun
	}
	r, err := openRecord(*path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)

		return _exitNotRun
	}
	defer r.close()
	broken, err := checks[flags.Arg(0)](r, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.say("not run: %v", err)

		return _exitNotRun
	case broken:
		r.say("broken")

		return _exitBroken
	default:
		r.say("held")

		return _exitHeld
	}
}
