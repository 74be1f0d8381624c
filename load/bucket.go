package load

import (
	"net/http"
	"time"

	"papayastair.dev/papayastair/wire"
)

// bucket is the rate and burst of a workspace as its callers see them. It is
// charged with what they sent and got.
type bucket struct {
	rate   float64
	burst  float64
	tokens float64
	at     time.Duration
	// beyond is the most that was taken beyond rate and burst.
	beyond float64
}

func newBucket(w *wire.ExperimentWorkspace) *bucket {
	return &bucket{
		rate:   float64(w.RateTokensPerSecond),
		burst:  float64(w.BurstTokens),
		tokens: float64(w.BurstTokens),
	}
}

// judge takes the samples of the workspace in the order in which they were
// sent.
func (b *bucket) judge(s *Sample) verdict {
	b.tokens = min(b.burst, b.tokens+b.rate*(s.Sent-b.at).Seconds())
	b.at = s.Sent
	if s.Outcome != _outcomeNotRun {
		b.tokens -= s.used()
		b.beyond = max(b.beyond, -b.tokens)

		return _admitted
	}
	within := b.tokens >= float64(s.Arrival.InputTokens+s.Arrival.OutputTokens)
	switch {
	case !within && s.Status == http.StatusTooManyRequests:
		return _refusedOverRate
	case within && s.Status == http.StatusTooManyRequests:
		return _refusedWithinRate
	default:
		return _refusedOtherwise
	}
}

// used is what a request that ran took of the rate.
func (s *Sample) used() float64 {
	if s.Arrival.Path == "" && s.Tokens == 0 {
		return 0
	}

	return float64(s.Arrival.InputTokens + s.Tokens)
}
