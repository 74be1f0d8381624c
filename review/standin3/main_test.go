package standin3

import (
	"fmt"
	"os"
	"strings"
	"testing"
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

// TestMain plays a case if one is named in place of the flags of go test.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && !strings.HasPrefix(os.Args[1], "-") {
		os.Exit(run())
	}
	os.Exit(m.Run())
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
