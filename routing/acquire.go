package routing

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	rendezvous "github.com/dgryski/go-rendezvous"
	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"
	"go.uber.org/zap"

	"papayastair.dev/papayastair/event"
	"papayastair.dev/papayastair/wire"
)

const (
	// _tries are the sends of one message to one instance.
	_tries = 8
	// _unreachableWait is how long a suspect waits whose home doesn't answer.
	_unreachableWait = 200 * time.Millisecond
)

// Run is leave to run a request once. Use Acquire, and Release at its end.
type Run struct {
	// Fingerprint is the request's.
	Fingerprint int
	// Server is where it must run.
	Server string
	// Alone says that the request is a suspect.
	Alone bool

	number int
	asked  []string
}

// Acquire asks for leave to run a request at a backend server, and waits
// while it must. The verdict Run and RunAlone give leave; RunAt gives it at
// another server, Run.Server; Held does not, and neither does Wait, which
// comes when ctx ends. Down names a server that an earlier RunAt led to and
// that was found dead.
func (s *Suspects) Acquire(ctx context.Context, fingerprint int, server, down string) (Run, wire.SuspectAnswer) {
	for {
		run, answer := s.TryAcquire(fingerprint, server, down)
		if answer.Verdict != wire.SuspectAnswerVerdictWait {
			return run, answer
		}
		woken := make(chan struct{})
		alarm := s.cfg.Clock.After(time.Duration(answer.RetryAfterMilliseconds)*time.Millisecond, func(time.Time) {
			close(woken)
		})
		select {
		case <-woken:
		case <-ctx.Done():
			alarm.Stop()

			return run, answer
		}
	}
}

// TryAcquire is Acquire without waiting.
func (s *Suspects) TryAcquire(fingerprint int, server, down string) (Run, wire.SuspectAnswer) {
	run := Run{
		Fingerprint: fingerprint,
		Server:      server,
		number:      s.nextGrant(),
	}
	if s.cfg.Unguarded {
		return run, wire.SuspectAnswer{
			Verdict: wire.SuspectAnswerVerdictRun,
			Server:  server,
		}
	}
	answer := s.ask(&run, wire.SuspectAsk{
		Instance:    s.cfg.Instance,
		Fingerprint: fingerprint,
		Server:      server,
		Grant:       run.number,
		Down:        down,
		Exclusive:   false,
	})
	if answer.Verdict == wire.SuspectAnswerVerdictRunAlone && !s.acquireServer(&run) {
		s.end(&run, false)
		answer.Verdict = wire.SuspectAnswerVerdictWait
		answer.RetryAfterMilliseconds = int(_waitTime.Milliseconds())
	}
	run.Alone = answer.Verdict == wire.SuspectAnswerVerdictRunAlone
	if answer.Verdict == wire.SuspectAnswerVerdictRunAt {
		run.Server = answer.Server
	}

	return run, answer
}

// Release ends a run that was given leave. After a broken connection it
// returns only when the other instances know, or can't be reached, so that the
// caller may be told afterwards.
func (s *Suspects) Release(run *Run, outcome Outcome) {
	if s.cfg.Unguarded {
		return
	}
	if outcome == OutcomeBroken {
		s.spread(run)
	}
	s.end(run, outcome == OutcomeOK)
	if run.Alone {
		s.releaseServer(run)
	}
}

// acquireServer keeps other suspects from the run's server, so that its
// death would tell which of them did it.
func (s *Suspects) acquireServer(run *Run) bool {
	key := serverKey(run.Server)
	lock := Run{
		Fingerprint: key,
		Server:      run.Server,
		number:      run.number,
	}
	answer := s.ask(&lock, wire.SuspectAsk{
		Instance:    s.cfg.Instance,
		Fingerprint: key,
		Server:      run.Server,
		Grant:       run.number,
		Down:        "",
		Exclusive:   true,
	})
	if answer.Verdict == wire.SuspectAnswerVerdictRunAlone {
		return true
	}
	s.end(&lock, false)

	return false
}

func (s *Suspects) releaseServer(run *Run) {
	key := serverKey(run.Server)
	s.end(&Run{
		Fingerprint: key,
		Server:      run.Server,
		number:      run.number,
		asked:       []string{s.home(key)},
	}, false)
}

// ask asks the home. For a request that isn't suspected, a second instance
// may answer, and with none to be reached it runs: an instance that can talk
// to no other serves on, and the bound holds for each side by itself. A
// suspect waits for its home.
func (s *Suspects) ask(run *Run, ask wire.SuspectAsk) wire.SuspectAnswer {
	strict := ask.Exclusive || s.IsSuspect(ask.Fingerprint)
	home := s.home(ask.Fingerprint)
	answer, err := s.askOne(run, home, ask)
	if err == nil {
		return answer
	}
	if strict {
		return wire.SuspectAnswer{
			Verdict:                wire.SuspectAnswerVerdictWait,
			RetryAfterMilliseconds: int(_unreachableWait.Milliseconds()),
		}
	}
	if second := s.secondHome(ask.Fingerprint, home); second != "" {
		answer, err = s.askOne(run, second, ask)
	}
	if err == nil {
		return answer
	}
	// The home's word is missing, so that at least this instance remembers.
	return s.HandleAsk(ask)
}

func (s *Suspects) askOne(run *Run, home string, ask wire.SuspectAsk) (wire.SuspectAnswer, error) {
	run.asked = append(run.asked, home)
	if home == s.cfg.Instance {
		return s.HandleAsk(ask), nil
	}
	var answer wire.SuspectAnswer
	err := retry(func() error {
		var err error
		answer, err = s.cfg.Ask(home, ask)

		return err
	})
	if err != nil {
		s.cfg.Log.Write(event.HomeUnreachable,
			zap.String("Home", home),
			zap.Int("Fingerprint", ask.Fingerprint),
			zap.Error(err),
		)
	}

	return answer, err
}

// end tells the homes that the run is over.
func (s *Suspects) end(run *Run, completed bool) {
	message := wire.RunEnd{
		Instance:    s.cfg.Instance,
		Fingerprint: run.Fingerprint,
		Grant:       run.number,
		Completed:   completed,
	}
	// An instance keeps its own word too, for the time when it is the home.
	s.HandleEnd(message)
	for _, home := range run.asked {
		if home == s.cfg.Instance {
			continue
		}
		// A home that can't be told lets the grant lapse.
		_ = retry(func() error {
			return s.cfg.End(home, message)
		})
	}
}

// spread tells all instances of the death of the run's server.
func (s *Suspects) spread(run *Run) {
	finding := wire.ServerFinding{
		Instance:     s.cfg.Instance,
		Server:       run.Server,
		Kind:         wire.ServerFindingKindDied,
		Fingerprints: []int{run.Fingerprint},
	}
	s.HandleFinding(finding)
	var wg conc.WaitGroup
	for _, peer := range s.livePeers() {
		if peer == s.cfg.Instance {
			continue
		}
		wg.Go(func() {
			// One that can't be told hears of the death as the home or not at all.
			_ = retry(func() error {
				return s.cfg.Tell(peer, finding)
			})
		})
	}
	wg.Wait()
}

// home is the instance that answers for a fingerprint.
func (s *Suspects) home(fingerprint int) string {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.nodes.Lookup(strconv.Itoa(fingerprint))
}

// secondHome answers when the home doesn't; empty for none.
func (s *Suspects) secondHome(fingerprint int, home string) string {
	others := slices.DeleteFunc(slices.Clone(s.livePeers()), func(peer string) bool {
		return peer == home
	})

	return rendezvous.New(others, xxhash.Sum64String).Lookup(strconv.Itoa(fingerprint))
}

func (s *Suspects) livePeers() []string {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.peers
}

func (s *Suspects) nextGrant() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grants++

	return s.grants
}

func retry(send func() error) error {
	var err error
	for range _tries {
		if err = send(); err == nil {
			return nil
		}
	}

	return eris.Wrapf(err, "routing: %d tries", _tries)
}

// serverKey is the fingerprint that stands for a backend server.
func serverKey(server string) int {
	return Fingerprint("", "backend server", []byte(server))
}
