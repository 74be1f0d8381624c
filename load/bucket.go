package load

import (
	"net/http"
	"time"

	"papayastair.dev/papayastair/wire"
)

// bucket is the rate and burst of a workspace as its callers see them: once
// charged with what it would admit itself of what they sent, and once with
// what was admitted. Use newBucket.
type bucket struct {
	rate  float64
	burst float64
	at    time.Duration
	// ideal is what is left if it admits all that it can.
	ideal float64
	// actual is what is left after what was admitted.
	actual float64

	// beyond is the most that was admitted beyond rate and burst.
	beyond float64
	// overRate counts the requests that it doesn't admit itself.
	overRate int
	// withTokensLeft counts the requests refused for the rate though what was
	// admitted had left enough for them.
	withTokensLeft int
}

func newBucket(w *wire.ExperimentWorkspace) *bucket {
	return &bucket{
		rate:   float64(w.RateTokensPerSecond),
		burst:  float64(w.BurstTokens),
		ideal:  float64(w.BurstTokens),
		actual: float64(w.BurstTokens),
	}
}

// judge takes the samples of the workspace in the order in which they were
// sent.
func (b *bucket) judge(s *Sample) verdict {
	b.advance(s.Sent)
	cost := float64(s.Arrival.InputTokens + s.Arrival.OutputTokens)
	within := b.ideal >= cost
	if within {
		b.ideal -= cost
	} else {
		b.overRate++
	}
	if s.Outcome != _outcomeNotRun {
		b.actual -= s.used()
		b.beyond = max(b.beyond, -b.actual)

		return _admitted
	}
	if s.Status != http.StatusTooManyRequests {
		return _refusedOtherwise
	}
	if b.actual >= cost {
		b.withTokensLeft++
	}
	if within {
		return _refusedWithinRate
	}

	return _refusedOverRate
}

func (b *bucket) advance(now time.Duration) {
	gained := b.rate * (now - b.at).Seconds()
	b.at = now
	b.ideal = min(b.burst, b.ideal+gained)
	b.actual = min(b.burst, b.actual+gained)
}

// used is what a request that ran took of the rate.
func (s *Sample) used() float64 {
	if s.Arrival.Path == "" && s.Tokens == 0 {
		return 0
	}

	return float64(s.Arrival.InputTokens + s.Tokens)
}
