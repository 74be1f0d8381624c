// Command standin3 plays the scripts of the third review: it starts the project's own
// programs as separate processes, with stand-ins of the platform's store, workers and
// clients on loopback addresses, and judges what these have seen.
//
//	standin3 CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
// With TROUBLE=0 it does the same without the disruption.
package main

import (
	"fmt"
	"os"
)

const (
	_exitHeld      = 0
	_exitBroken    = 1
	_exitCouldNot  = 2
	_maxShown      = 20
	_arguments     = 3
	_troubleOff    = "0"
	_troubleChoice = "TROUBLE"
)

func main() {
	os.Exit(run())
}

func run() int {
	plays := map[string]func(rec *record, trouble bool) ([]string, error){
		"dark":   playDark,
		"deadly": playDeadly,
		"names":  playNames,
		"query":  playQuery,
		"zones":  playZones,
	}
	if len(os.Args) != _arguments || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE RECORD")

		return _exitCouldNot
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)

		return _exitCouldNot
	}
	trouble := os.Getenv(_troubleChoice) != _troubleOff
	rec.write("case %s, trouble %t", os.Args[1], trouble)
	breaks, err := plays[os.Args[1]](rec, trouble)
	if err != nil {
		rec.write("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)

		return _exitCouldNot
	}
	for i, b := range breaks {
		if i < _maxShown {
			rec.write("broken: %s", b)
		}
	}
	rec.write("%d breaks of the rule", len(breaks))
	fmt.Printf("%d breaks of the rule\n", len(breaks))
	if len(breaks) > 0 {
		return _exitBroken
	}

	return _exitHeld
}
