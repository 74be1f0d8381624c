package load

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"papayastair.dev/papayastair/caller"
	"papayastair.dev/papayastair/platform"
	"papayastair.dev/papayastair/wire"
)

const _locateRetry = 100 * time.Millisecond

// locator holds, for the callers of each failure domain, the address that the
// system told them to use, and asks again when the answer ends.
type locator struct {
	client    *caller.Client
	addresses []string

	mu      sync.Mutex
	current map[string]string
}

// start asks for each failure domain until ctx ends, and waits for the first
// answers.
func (l *locator) start(ctx context.Context, wg *conc.WaitGroup, failureDomains []string) {
	l.current = map[string]string{}
	for i, d := range failureDomains {
		ttl := l.ask(d, i)
		wg.Go(func() {
			for n := i; platform.Sleep(ctx, ttl) == nil; n++ {
				ttl = l.ask(d, n)
			}
		})
	}
}

// ask asks the instance in use, or after a failure the n-th and those behind
// it, and returns when to ask again.
func (l *locator) ask(failureDomain string, n int) time.Duration {
	for _, address := range l.from(failureDomain, n) {
		var answer wire.LocateAnswer
		err := l.client.Locate(address, failureDomain, &answer)
		if err != nil || answer.Address == "" {
			continue
		}
		l.mu.Lock()
		l.current[failureDomain] = answer.Address
		l.mu.Unlock()

		return max(milliseconds(answer.TTLMilliseconds), _locateRetry)
	}

	return _locateRetry
}

// from is all addresses, that in use for a failure domain first, then from
// the n-th on.
func (l *locator) from(failureDomain string, n int) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	n %= len(l.addresses)
	ordered := slices.Concat(l.addresses[n:], l.addresses[:n])
	first := l.current[failureDomain]
	if first == "" {
		return ordered
	}

	return append([]string{first}, slices.DeleteFunc(ordered, func(a string) bool { return a == first })...)
}
