package dispatch

import "time"

// RetryLimits bound the retries on another backend server that all instances
// together send for a service in any window.
type RetryLimits struct {
	// Ratio is the allowed number of retries per request of the service.
	Ratio float64
	// Slack is the number of retries allowed per window in addition to Ratio.
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration
	// Instances is the number of instances that share the slack.
	Instances int
}

// _budgetFraction is the fraction of the limits that is used. The margin keeps
// windows with other boundaries within the limits as well.
const _budgetFraction = 0.7

// budget is the token bucket for retries of one service on this instance. Each
// request adds Ratio tokens, each retry spends one, and this instance's share of
// the slack is refilled over time.
type budget struct {
	tokens     float64
	refilledAt time.Time
}

// SetInstances sets the number of instances, which share the slack, and the usual
// age of the counts of requests that they have of each other.
func (b *Balancer) SetInstances(n int, countAge time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits.Instances = max(n, 1)
	b.countAge = countAge
}

// CountRequest adds the tokens for one request to the retry budget of service.
func (b *Balancer) CountRequest(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	g := b.budget(service, now)
	g.tokens = min(g.tokens+b.limits.Ratio*_budgetFraction, b.instanceSlack()+_maxEarnedTokens)
}

// AllowRetry reports whether the retry budget of service allows a retry. If so, it
// spends a token.
func (b *Balancer) AllowRetry(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	g := b.budget(service, now)
	if g.tokens < 1 {
		return false
	}
	g.tokens--

	return true
}

// _maxEarnedTokens limits the tokens that a budget accumulates in addition to
// the slack.
const _maxEarnedTokens = 4.0

// instanceSlack returns the slack of this instance, in tokens: half of its even
// share, because both a full budget and its refill can be spent in one window.
func (b *Balancer) instanceSlack() float64 {
	return b.limits.Slack * _budgetFraction / float64(max(b.limits.Instances, 1)) / 2
}

// budget returns the retry budget of service, refilled up to now. The slack is
// refilled evenly over a window.
func (b *Balancer) budget(service string, now time.Time) *budget {
	g := b.budgets[service]
	if g == nil {
		g = &budget{
			tokens:     b.instanceSlack(),
			refilledAt: now,
		}
		b.budgets[service] = g
	}
	if b.limits.Window > 0 {
		g.tokens = min(g.tokens+b.instanceSlack()*float64(now.Sub(g.refilledAt))/float64(b.limits.Window), b.instanceSlack()+_maxEarnedTokens)
	}
	g.refilledAt = now

	return g
}
