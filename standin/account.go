package standin

import (
	"strings"
	"sync"
	"sync/atomic"

	"github.com/valyala/fasthttp"
)

// Account is what a stand-in backend server has seen, by its own books. The
// zero value is ready.
type Account struct {
	mu       sync.Mutex
	secrets  []string
	runs     map[string]int
	requests atomic.Int64
	leaks    atomic.Int64
	done     atomic.Int64
	canceled atomic.Int64
	crashes  atomic.Int64
}

// AccountFigures is a copy of an account.
type AccountFigures struct {
	// Requests is the number of requests received, of any kind.
	Requests int64
	// Runs is the number of runs by request id.
	Runs map[string]int
	// Leaks is the number of requests that held a forbidden string.
	Leaks int64
	// Done, Canceled and Crashes count how runs ended.
	Done     int64
	Canceled int64
	Crashes  int64
	// OvercommittedBytes is the most by which an accelerator's memory was
	// overcommitted, and Loads is the number of loads begun.
	OvercommittedBytes int
	Loads              int
}

// Forbid adds a string that no request may hold in its line, headers or body.
func (a *Account) Forbid(secret string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.secrets = append(a.secrets, secret)
}

// Figures returns a copy.
func (a *Account) Figures() AccountFigures {
	a.mu.Lock()
	defer a.mu.Unlock()
	runs := make(map[string]int, len(a.runs))
	for id, n := range a.runs {
		runs[id] = n
	}

	return AccountFigures{
		Requests: a.requests.Load(),
		Runs:     runs,
		Leaks:    a.leaks.Load(),
		Done:     a.done.Load(),
		Canceled: a.canceled.Load(),
		Crashes:  a.crashes.Load(),
	}
}

// inspect looks for forbidden strings in a request.
func (a *Account) inspect(req *fasthttp.Request) {
	a.requests.Add(1)
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.secrets) == 0 {
		return
	}
	raw := req.String()
	for _, secret := range a.secrets {
		if strings.Contains(raw, secret) {
			a.leaks.Add(1)

			return
		}
	}
}

func (a *Account) ran(id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.runs == nil {
		a.runs = map[string]int{}
	}
	a.runs[id]++
}
