package fleet_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sourcegraph/conc"

	"papayastair.dev/papayastair/caller"
	"papayastair.dev/papayastair/standin"
	"papayastair.dev/papayastair/wire"
)

// tally counts what callers saw.
type tally struct {
	Requests int
	Whole    int
	Foreign  int
	CutOff   int
	Refused  map[string]int
}

// TestStreamsThroughStopAndKill sends 2,000 streamed requests from 50 callers
// of 3 workspaces, while one instance is stopped gracefully and another is
// killed.
func TestStreamsThroughStopAndKill(t *testing.T) {
	const (
		callers  = 50
		requests = 40
		tokens   = 30
		stopped  = 4
		killed   = 5
	)
	s := startSystem(t, 6)
	work := []struct {
		key   string
		model string
	}{
		{
			key:   _keyDesk,
			model: "name-check",
		},
		{
			key:   _keyGuests,
			model: "translate",
		},
		{
			key:   _keyNight,
			model: "summary",
		},
	}
	var mu sync.Mutex
	seen := tally{Refused: map[string]int{}}
	total := 0
	half := make(chan struct{})
	client := caller.New()
	var wg conc.WaitGroup
	for c := range callers {
		wg.Go(func() {
			random := rand.New(rand.NewPCG(1, uint64(c)))
			for r := range requests {
				w := work[random.IntN(len(work))]
				prompt := fmt.Sprintf("caller %d request %d", c, r)
				answer := client.Complete(s.addresses(random.IntN(len(s.instances))), caller.Request{
					Key:       w.key,
					Model:     w.model,
					Prompt:    prompt,
					MaxTokens: tokens,
					Priority:  "Live",
				})
				mu.Lock()
				seen.add(answer, standin.Text(w.model, prompt, tokens))
				total++
				if total == callers*requests/4 {
					close(half)
				}
				mu.Unlock()
			}
		})
	}
	<-half
	ended := s.instances[stopped].stop()
	s.instances[killed].kill()
	wg.Wait()
	<-ended
	want := tally{
		Requests: callers * requests,
		Whole:    callers * requests,
		Refused:  map[string]int{},
	}
	if diff := cmp.Diff(want, seen); diff != "" {
		t.Errorf("callers saw (-want +got):\n%s", diff)
	}
	s.checkAccounts(t)
}

func (seen *tally) add(answer caller.Answer, want string) {
	seen.Requests++
	switch {
	case answer.Outcome == "Done" && answer.Text == want && answer.Gaps == 0:
		seen.Whole++
	case answer.Outcome == "Done":
		seen.Foreign++
	case answer.Code != "":
		seen.Refused[answer.Code]++
	default:
		seen.CutOff++
	}
}

// checkAccounts holds the books of the engines against the promises.
func (s *system) checkAccounts(t *testing.T) {
	t.Helper()
	for name, e := range s.engines {
		figures := s.account(t, e)
		if figures.Leaks != 0 || figures.OvercommittedBytes != 0 {
			t.Errorf("%s: %d requests held a key, %d bytes overcommitted", name, figures.Leaks, figures.OvercommittedBytes)
		}
	}
}

// TestGracefulStop holds open streams at one instance while it stops; none of
// them may break off, although no caller goes on elsewhere.
func TestGracefulStop(t *testing.T) {
	const (
		streams = 20
		tokens  = 400
	)
	s := startSystem(t, 2)
	client := caller.New()
	started := make(chan struct{}, streams)
	answers := make(chan caller.Answer, streams)
	for n := range streams {
		go func() {
			var once sync.Once
			answers <- client.Complete(s.addresses(0)[:1], caller.Request{
				Key:       _keyDesk,
				Model:     "name-check",
				Prompt:    fmt.Sprint(n),
				MaxTokens: tokens,
				OnToken: func(int) bool {
					once.Do(func() { started <- struct{}{} })

					return true
				},
			})
		}()
	}
	for range streams {
		<-started
	}
	ended := s.instances[0].stop()
	whole := 0
	for range streams {
		if a := <-answers; a.Outcome == "Done" && a.Tokens == tokens {
			whole++
		}
	}
	<-ended
	if whole != streams {
		t.Errorf("%d of %d streams ended whole", whole, streams)
	}
}

// TestWithdrawnKey withdraws and grants a key over and over; an open stream
// must end, and every instance must refuse, within the promised time.
func TestWithdrawnKey(t *testing.T) {
	const trials = 20
	s := startSystem(t, 6)
	client := caller.New()
	desk := slices.IndexFunc(s.subtrees, func(x wire.Subtree) bool { return x.Path == "/desk" })
	granted := s.subtrees[desk]
	withdrawn := granted
	withdrawn.Keys = slices.DeleteFunc(slices.Clone(granted.Keys), func(k wire.Key) bool { return k.Name == "desk-2" })
	var slowestCut, slowestRefusal time.Duration
	for n := range trials {
		s.apply(t, granted)
		for i := range s.instances {
			eventually(t, "the key is granted", func() bool { return s.status200(client, i) })
		}
		started := make(chan struct{})
		ended := make(chan caller.Answer, 1)
		go func() {
			var once sync.Once
			ended <- client.Complete(s.addresses(n)[:1], caller.Request{
				Key:       _keyDesk2,
				Model:     "name-check",
				Prompt:    "long",
				MaxTokens: 100000,
				OnToken: func(int) bool {
					once.Do(func() { close(started) })

					return true
				},
			})
		}()
		<-started
		began := time.Now()
		s.apply(t, withdrawn)
		if a := <-ended; a.Code != "key_withdrawn" {
			t.Errorf("the stream ended with %q %q", a.Code, a.Failure)
		}
		slowestCut = max(slowestCut, time.Since(began))
		for i := range s.instances {
			eventually(t, "the key is refused", func() bool { return !s.status200(client, i) })
		}
		slowestRefusal = max(slowestRefusal, time.Since(began))
	}
	t.Logf("over %d trials: open stream ended within %s, last instance refused within %s of the start of apply", trials, slowestCut, slowestRefusal)
	s.checkAccounts(t)
}

// status200 reports whether an instance takes the key that is withdrawn.
func (s *system) status200(client *caller.Client, i int) bool {
	answer := client.Complete([]string{s.instances[i].address.CallerAddress}, caller.Request{
		Key:       _keyDesk2,
		Model:     "name-check",
		Prompt:    "short",
		MaxTokens: 1,
	})

	return answer.Status == http.StatusOK
}
