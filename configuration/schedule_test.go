package configuration

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"
)

const (
	_schedules = 200
	// _inForceBound is today's bound from apply to in force everywhere.
	_inForceBound = 5 * time.Second
)

// TestSchedules runs seeded schedules of faults and racing operators, and
// checks that no instance goes back, that no change is half in force, and
// that each accepted change, and no other, comes into force when the faults
// end.
func TestSchedules(t *testing.T) {
	tests := []struct {
		name      string
		unguarded Unguarded
		// wantBroken says that a promise must be seen broken.
		wantBroken bool
	}{
		{
			name: "guarded",
		},
		{
			name:       "older heads replace newer ones",
			unguarded:  Unguarded{Monotone: true},
			wantBroken: true,
		},
		{
			name:       "started on an unconfirmed head",
			unguarded:  Unguarded{Confirmed: true},
			wantBroken: true,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			reversals, outcomes := 0, map[string]int{}
			for seed := range uint64(_schedules) {
				s := newSchedule(seed, tt.unguarded)
				s.run()
				reversals += s.reversals
				s.check(t, seed, tt.wantBroken)
				if tt.wantBroken && reversals > 0 {
					t.Logf("%d reversals with seed %d", reversals, seed)

					return
				}
				for outcome, n := range s.outcomes {
					outcomes[outcome] += n
				}
			}
			if tt.wantBroken {
				t.Errorf("nothing is broken without the guard in %d schedules", _schedules)
			}
			t.Logf("%d schedules: %d reversals; outcomes of apply %v", _schedules, reversals, outcomes)
		})
	}
}

// schedule is a fleet with random faults and operators.
type schedule struct {
	*fleet

	outcomes map[string]int
	// won are the versions that operators were told are theirs.
	won map[int]string
	// unknown counts the changes whose outcome operators were not told.
	unknown  int
	operated int
	nested   bool
}

func newSchedule(seed uint64, unguarded Unguarded) *schedule {
	s := &schedule{
		fleet:    newFleet(seed, 6, unguarded),
		outcomes: map[string]int{},
		won:      map[int]string{},
	}
	// Half of the schedules delete old contents soon, the others keep them.
	s.keepVersions = int(seed % 2)

	return s
}

// run lets faults come and go for a while and then ends them.
func (s *schedule) run() {
	s.operate("first", 0)
	for range 4 {
		s.clock.Advance(time.Duration(s.random.Int64N(int64(4 * time.Second))))
		s.change()
		s.change()
		s.operate(fmt.Sprintf("operator%d", s.operated), s.random.IntN(3))
	}
	s.faults = faults{}
	for _, x := range s.instances {
		if x.down {
			s.start(x)
		}
	}
	s.clock.Advance(2 * _inForceBound)
}

// change changes one fault.
func (s *schedule) change() {
	x := s.instances[s.random.IntN(len(s.instances))]
	flip := s.random.IntN(2) == 0
	switch s.random.IntN(11) {
	case 0:
		s.faults.storeDown = flip
	case 1:
		s.faults.slow = time.Duration(s.random.IntN(2)) * 1500 * time.Millisecond
	case 2, 3:
		s.faults.stale = time.Duration(s.random.IntN(3)) * 10 * time.Second
	case 4:
		s.faults.lostReplies = float64(s.random.IntN(3)) / 3
	case 5:
		s.faults.loss = float64(s.random.IntN(3)) / 5
		s.faults.noStore = map[string]bool{x.self.Name: flip}
	case 6:
		s.faults.group = map[string]int{x.self.Name: 1}
		if flip {
			s.faults.group = nil
		}
	default:
		if x.down {
			s.start(x)
		} else {
			s.stop(x)
			s.start(x)
			s.stop(x)
			s.clock.After(time.Second, func(time.Time) {
				if x.down {
					s.start(x)
				}
			})
		}
	}
}

// operate applies a change as an operator, in the midst of whose calls on the
// store another operator may do the same.
func (s *schedule) operate(name string, kind int) {
	s.operated++
	// Few rates, so that contents that were out of use come back.
	rate := 1000 + s.random.IntN(3)
	change := pair(rate)
	switch kind {
	case 1:
		change.Subtrees = append(change.Subtrees[:0:0], workspaceSubtree("c", rate))
	case 2:
		change = Change{Removed: []string{"/c"}}
	}
	interleave := func() {
		if s.nested || s.random.IntN(12) > 0 {
			return
		}
		s.nested = true
		s.operate(fmt.Sprintf("racer%d", s.operated), s.random.IntN(3))
		s.nested = false
	}
	operator := s.operator(name, interleave)
	plan, err := operator.Plan(context.Background(), change)
	if err != nil {
		s.outcomes["unplanned"]++

		return
	}
	result, err := operator.Commit(context.Background(), plan)
	s.note(name, result, err)
}

func (s *schedule) note(name string, result Result, err error) {
	var conflict *ConflictError
	var unknown *UnknownError
	switch {
	case err == nil && result.Changed:
		s.outcomes["changed"]++
		if other, taken := s.won[result.Version]; taken {
			panic(fmt.Sprintf("version %d belongs to %s and to %s", result.Version, other, name))
		}
		s.won[result.Version] = name
	case err == nil:
		s.outcomes["already so"]++
	case errors.As(err, &conflict):
		s.outcomes["conflict"]++
		if _, accepted := s.accepted[conflict.Version]; !accepted {
			panic(fmt.Sprintf("%v: that version was never accepted", err))
		}
	case errors.As(err, &unknown):
		s.outcomes["unknown"]++
		s.unknown++
	default:
		s.outcomes["gave up"]++
	}
}

// check holds the end state against what operators were told.
func (s *schedule) check(t *testing.T, seed uint64, broken bool) {
	t.Helper()
	if s.halves > 0 {
		t.Errorf("seed %d: %d changes half in force", seed, s.halves)
	}
	newest := len(s.accepted)
	head, err := decodeHead(s.readHead(context.Background()))
	if err != nil || head.Version != newest {
		t.Fatalf("seed %d: head %d, %d versions accepted, %v", seed, head.Version, newest, err)
	}
	if missing := newest - len(s.won); missing > s.unknown {
		t.Errorf("seed %d: %d versions accepted, %d told, %d unknown", seed, newest, len(s.won), s.unknown)
	}
	for version := range s.won {
		if _, accepted := s.accepted[version]; !accepted {
			t.Errorf("seed %d: version %d was told and not accepted", seed, version)
		}
	}
	if broken {
		return
	}
	for _, x := range s.instances {
		if snapshot := x.follower.Snapshot(); snapshot == nil || snapshot.Version != newest {
			t.Errorf("seed %d: %s has %+v in force, not %d", seed, x.self.Name, x.follower.Status(), newest)
		}
	}
	if s.reversals > 0 || s.dangling > 0 {
		t.Errorf("seed %d: %d reversals, %d missing contents", seed, s.reversals, s.dangling)
	}
}
