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
	// _maxSendAttempts bounds the attempts to send one message to one
	// instance.
	_maxSendAttempts = 8
	// _unreachableRetryInterval is the retry interval of a suspect whose home
	// instance is unreachable.
	_unreachableRetryInterval = 200 * time.Millisecond
)

// Run is permission to run a request once. Obtain it from Acquire or
// TryAcquire, and pass it to Release when the request ends.
type Run struct {
	// Fingerprint identifies the request.
	Fingerprint int
	// Server is the backend server to run it on.
	Server string
	// Alone reports whether the request is a suspect, which runs alone.
	Alone bool

	grantNumber int
	// contacted lists the instances that were asked for the grant.
	contacted []string
}

// Acquire requests permission to run a request on server, and blocks while the
// verdict is Wait. The verdicts Run and RunAlone permit the run on that
// server, RunAt permits it on Run.Server instead, and Held refuses it. Acquire
// returns Wait only if ctx ends first. Down names a server that an earlier
// RunAt returned and that was found dead; it is empty if there is none.
func (s *Suspects) Acquire(ctx context.Context, fingerprint int, server, down string) (Run, wire.SuspectAnswer) {
	for {
		run, answer := s.TryAcquire(fingerprint, server, down)
		if answer.Verdict != wire.SuspectAnswerVerdictWait {
			return run, answer
		}
		elapsed := make(chan struct{})
		retryTimer := s.cfg.Clock.After(time.Duration(answer.RetryAfterMilliseconds)*time.Millisecond, func(time.Time) {
			close(elapsed)
		})
		select {
		case <-elapsed:
		case <-ctx.Done():
			retryTimer.Stop()

			return run, answer
		}
	}
}

// TryAcquire is like Acquire, but returns the verdict Wait instead of
// blocking.
func (s *Suspects) TryAcquire(fingerprint int, server, down string) (Run, wire.SuspectAnswer) {
	run := Run{
		Fingerprint: fingerprint,
		Server:      server,
		grantNumber: s.nextGrantNumber(),
	}
	if s.cfg.Disabled {
		return run, wire.SuspectAnswer{
			Verdict: wire.SuspectAnswerVerdictRun,
			Server:  server,
		}
	}
	answer := s.requestGrant(&run, wire.SuspectAsk{
		Instance:    s.cfg.Instance,
		Fingerprint: fingerprint,
		Server:      server,
		Grant:       run.grantNumber,
		Down:        down,
		Exclusive:   false,
	})
	if answer.Verdict == wire.SuspectAnswerVerdictRunAlone && !s.acquireServer(&run) {
		s.sendEnd(&run, false)
		answer.Verdict = wire.SuspectAnswerVerdictWait
		answer.RetryAfterMilliseconds = int(_retryInterval.Milliseconds())
	}
	run.Alone = answer.Verdict == wire.SuspectAnswerVerdictRunAlone
	if answer.Verdict == wire.SuspectAnswerVerdictRunAt {
		run.Server = answer.Server
	}

	return run, answer
}

// Release ends a run that Acquire or TryAcquire permitted. After a broken
// connection it first reports the death of the server to the other instances,
// and returns only when each of them has acknowledged it or is unreachable.
// The caller must not receive the failure before that.
func (s *Suspects) Release(run *Run, outcome Outcome) {
	if s.cfg.Disabled {
		return
	}
	if outcome == OutcomeBroken {
		s.broadcastDeath(run)
	}
	s.sendEnd(run, outcome == OutcomeOK)
	if run.Alone {
		s.releaseServer(run)
	}
}

// acquireServer locks the run's server against other suspects, so that its
// death can be attributed to this one. It reports whether the lock was
// acquired.
func (s *Suspects) acquireServer(run *Run) bool {
	key := serverKey(run.Server)
	lock := Run{
		Fingerprint: key,
		Server:      run.Server,
		grantNumber: run.grantNumber,
	}
	answer := s.requestGrant(&lock, wire.SuspectAsk{
		Instance:    s.cfg.Instance,
		Fingerprint: key,
		Server:      run.Server,
		Grant:       run.grantNumber,
		Down:        "",
		Exclusive:   true,
	})
	if answer.Verdict == wire.SuspectAnswerVerdictRunAlone {
		return true
	}
	s.sendEnd(&lock, false)

	return false
}

func (s *Suspects) releaseServer(run *Run) {
	key := serverKey(run.Server)
	s.sendEnd(&Run{
		Fingerprint: key,
		Server:      run.Server,
		grantNumber: run.grantNumber,
		contacted:   []string{s.home(key)},
	}, false)
}

// requestGrant asks the home instance of the fingerprint for a grant. If the
// home is unreachable, a suspect has to wait. Any other request falls back to
// a second instance and then to the local record: an instance that can reach
// no other continues to serve, and the limit on deaths then holds separately
// on each side of the partition.
func (s *Suspects) requestGrant(run *Run, ask wire.SuspectAsk) wire.SuspectAnswer {
	mustWait := ask.Exclusive || s.IsSuspect(ask.Fingerprint)
	home := s.home(ask.Fingerprint)
	answer, err := s.requestGrantFrom(run, home, ask)
	if err == nil {
		return answer
	}
	if mustWait {
		return wire.SuspectAnswer{
			Verdict:                wire.SuspectAnswerVerdictWait,
			RetryAfterMilliseconds: int(_unreachableRetryInterval.Milliseconds()),
		}
	}
	if fallback := s.fallbackHome(ask.Fingerprint, home); fallback != "" {
		answer, err = s.requestGrantFrom(run, fallback, ask)
	}
	if err == nil {
		return answer
	}
	// No other instance answered; keep at least a local record.
	return s.HandleAsk(ask)
}

func (s *Suspects) requestGrantFrom(run *Run, home string, ask wire.SuspectAsk) (wire.SuspectAnswer, error) {
	run.contacted = append(run.contacted, home)
	if home == s.cfg.Instance {
		return s.HandleAsk(ask), nil
	}
	var answer wire.SuspectAnswer
	err := retry(func() error {
		var err error
		answer, err = s.cfg.RequestGrant(home, ask)

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

// sendEnd reports the end of the run to the instances that were asked for its
// grant.
func (s *Suspects) sendEnd(run *Run, completed bool) {
	message := wire.RunEnd{
		Instance:    s.cfg.Instance,
		Fingerprint: run.Fingerprint,
		Grant:       run.grantNumber,
		Completed:   completed,
	}
	// Update the local record too, in case this instance becomes the home.
	s.HandleEnd(message)
	for _, home := range run.contacted {
		if home == s.cfg.Instance {
			continue
		}
		// If the home is unreachable, the grant expires there after _grantTTL.
		_ = retry(func() error {
			return s.cfg.SendEnd(home, message)
		})
	}
}

// broadcastDeath reports the death of the run's server to all live instances.
func (s *Suspects) broadcastDeath(run *Run) {
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
			// An unreachable peer learns of the death only as the home of a
			// later request whose Down names the server.
			_ = retry(func() error {
				return s.cfg.SendFinding(peer, finding)
			})
		})
	}
	wg.Wait()
}

// home returns the home instance of a fingerprint: the live instance that
// keeps its record.
func (s *Suspects) home(fingerprint int) string {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.nodes.Lookup(strconv.Itoa(fingerprint))
}

// fallbackHome returns the instance to ask when home is unreachable, or "" if
// there is no other.
func (s *Suspects) fallbackHome(fingerprint int, home string) string {
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

func (s *Suspects) nextGrantNumber() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastGrantNumber++

	return s.lastGrantNumber
}

func retry(send func() error) error {
	var err error
	for range _maxSendAttempts {
		if err = send(); err == nil {
			return nil
		}
	}

	return eris.Wrapf(err, "routing: no acknowledgment after %d attempts", _maxSendAttempts)
}

// serverKey returns the fingerprint that is used to lock a backend server.
func serverKey(server string) int {
	return Fingerprint("", "backend server", []byte(server))
}
