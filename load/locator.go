package load

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"papayastair.dev/papayastair/caller"
	"papayastair.dev/papayastair/objectstore"
	"papayastair.dev/papayastair/wire"
)

const _locateRetry = 100 * time.Millisecond

// locator holds, for each caller, the address that the system told it to use,
// and asks again when the answer ends.
type locator struct {
	client    *caller.Client
	addresses []string

	mu      sync.Mutex
	current []string
}

// start asks for each caller, who are in the failure domains in turn, until
// ctx ends, and waits for the first answers.
func (l *locator) start(ctx context.Context, wg *conc.WaitGroup, callers int, failureDomains []string) {
	l.current = make([]string, callers)
	for c := range callers {
		place := failureDomains[c%len(failureDomains)]
		ttl := l.ask(c, place, c)
		wg.Go(func() {
			for n := c; objectstore.Sleep(ctx, ttl) == nil; n++ {
				ttl = l.ask(c, place, n)
			}
		})
	}
}

// ask asks the instance in use, or after a failure the n-th and those behind
// it, and returns when to ask again.
func (l *locator) ask(caller int, failureDomain string, n int) time.Duration {
	for _, address := range l.from(caller, n) {
		var answer wire.LocateAnswer
		err := l.client.Locate(address, failureDomain, &answer)
		if err != nil || answer.Address == "" {
			continue
		}
		l.mu.Lock()
		l.current[caller] = answer.Address
		l.mu.Unlock()

		return max(milliseconds(answer.TTLMilliseconds), _locateRetry)
	}

	return _locateRetry
}

// from is all addresses, that in use by a caller first, then from the n-th on.
func (l *locator) from(caller, n int) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	n %= len(l.addresses)
	ordered := slices.Concat(l.addresses[n:], l.addresses[:n])
	first := l.current[caller]
	if first == "" {
		return ordered
	}

	return append([]string{first}, slices.DeleteFunc(ordered, func(a string) bool { return a == first })...)
}
