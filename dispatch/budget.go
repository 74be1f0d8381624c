package dispatch

import "time"

// RetryLimits bound how often requests are sent to a second backend server,
// over all instances together, in any window.
type RetryLimits struct {
	// Ratio is the part of a service's requests that may be sent again.
	Ratio float64
	// Slack is a number of repeats per window on top.
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration
	// Instances is how many instances share the slack.
	Instances int
}

// _budgetShare is the part of the limit that is used, so that windows that
// are cut differently stay under it too.
const _budgetShare = 0.7

// budget is a service's account of repeats at this instance: requests earn,
// repeats spend, and the slack is this instance's part of all instances'.
type budget struct {
	tokens float64
	at     time.Time
}

// SetInstances tells how many instances share the slack.
func (b *Board) SetInstances(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits.Instances = max(n, 1)
}

// CountRequest earns the budget that a service's request brings.
func (b *Board) CountRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	g := b.budget(service, now)
	g.tokens = min(g.tokens+b.limits.Ratio*_budgetShare, b.slack()+_maxEarned)
}

// AllowRetry spends one repeat, if there is one.
func (b *Board) AllowRetry(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	g := b.budget(service, now)
	if g.tokens < 1 {
		return false
	}
	g.tokens--

	return true
}

// _maxEarned bounds what quiet time saves up beyond the slack.
const _maxEarned = 4.0

func (b *Board) slack() float64 {
	return b.limits.Slack * _budgetShare / float64(max(b.limits.Instances, 1)) / 2
}

// budget is a service's account; the slack comes back evenly over a window.
func (b *Board) budget(service string, now time.Time) *budget {
	g := b.budgets[service]
	if g == nil {
		g = &budget{
			tokens: b.slack(),
			at:     now,
		}
		b.budgets[service] = g
	}
	if b.limits.Window > 0 {
		g.tokens = min(g.tokens+b.slack()*float64(now.Sub(g.at))/float64(b.limits.Window), b.slack()+_maxEarned)
	}
	g.at = now

	return g
}
