// Package allowance limits the token rate of each workspace over all instances
// together, without messages between instances while a request is served.
//
// Each instance keeps a copy of every workspace's token bucket. It subtracts the
// tokens that it admits itself, and those that the other instances report, a
// fraction of a second later. While the bucket is well filled, any instance
// admits requests. When it runs low, an instance may spend only its share of the
// rate, which follows the distribution of the workspace's demand over the
// instances. An instance that doesn't report is assumed to spend an even share.
//
//	l.SetWorkspaces(workspaces, now)
//	l.UpdatePeer("instance-2", start, 1, usage, now)
//	if d := l.Admit("wording", tokens, now); !d.OK { refuse, retry after d.Wait }
package allowance

import (
	"math"
	"sync"
	"time"

	"papayastair.dev/papayastair/site"
)

const (
	// _evenFraction is the fraction of each limit that is divided evenly, so that
	// an instance can serve a workspace's first request there at once.
	_evenFraction = 0.25
	// _demandWindow is the time over which demand is averaged.
	_demandWindow = time.Second
	// _peerTimeout is the time without a report after which an instance counts as
	// silent. It spans a few bulletins.
	_peerTimeout = 700 * time.Millisecond
	// _usageLag is the age of a report on receipt: the time since the sender
	// counted its usage, plus the transit time of the bulletin.
	_usageLag = 200 * time.Millisecond
	// _shareBurstFraction is the fraction of an instance's share of the burst that
	// it may accumulate to spend while the common bucket is low.
	_shareBurstFraction = 0.3
	// _fullBucketFraction is the fraction of the burst from which the bucket
	// counts as full and admits requests of any cost.
	_fullBucketFraction = 0.6
	// _slackFraction is the fraction of the slack that is used. The rest covers
	// tokens spent on other instances that have not been reported yet.
	_slackFraction = 0.6
	// _toleranceFraction is the fraction of Limits.Tolerance that is used while all
	// instances report. While any is silent, none of it is used.
	_toleranceFraction = 0.9
	// _headroomInterval is the time over which the tokens that a window allows
	// beyond the rate are spread.
	_headroomInterval = 500 * time.Millisecond
	// _minRetryWait and _maxRetryWait bound Decision.Wait.
	_minRetryWait = 100 * time.Millisecond
	_maxRetryWait = 2 * time.Second
)

// Usage is the usage of one workspace that an instance reports to the others.
type Usage struct {
	// Demand is the recent demand, in tokens per second, including refused
	// requests.
	Demand float64
	// Spent is the number of tokens admitted since the start of the instance, less
	// refunds.
	Spent float64
}

// Decision is the result of Admit, with the values that it is based on.
type Decision struct {
	// OK reports whether the cost was admitted and spent.
	OK bool
	// Wait is the time after which a retry may succeed.
	Wait time.Duration
	// Level is the level of the common bucket, and ShareLevel the number of tokens that
	// this instance may spend of its share. Rate is the workspace's rate over all
	// instances, in tokens per second, and Share the fraction of it that is this
	// instance's share.
	Level      float64
	ShareLevel float64
	Rate       float64
	Share      float64
}

// Limits are the deviations from rate and burst that the platform tolerates.
type Limits struct {
	// Tolerance is the fraction by which a workspace may exceed its limit in a window.
	Tolerance float64
	// Slack is the number of tokens allowed in addition over all instances. It is
	// divided among them to absorb bursts of requests.
	Slack float64
	// Window is the length of the windows over which limits are enforced.
	Window time.Duration
}

// Limiter holds the token buckets of all workspaces on this instance. It is safe for
// concurrent use. Create one with New.
type Limiter struct {
	mu     sync.Mutex
	limits Limits
	// usageKnownSince is the time since which the usage of all instances is known.
	// A new or restarted peer resets it.
	usageKnownSince time.Time
	workspaces      map[string]*account
	peers           map[string]*peer
}

// peer is another instance, or a group of instances with a common report.
type peer struct {
	listed bool
	// expected is the number of instances in the group, and reporting the number
	// that its last report covers.
	expected   int
	reporting  int
	start      int
	lastReport time.Time
	usage      map[string]Usage
}

func newPeer() *peer {
	return &peer{expected: 1}
}

// account tracks the token bucket and the demand of one workspace.
type account struct {
	limit float64
	// rate is limit plus the tolerance and headroom that apply at present.
	rate  float64
	burst float64
	// filledAt is the time at which level and shareLevel were last refilled.
	filledAt   time.Time
	level      float64
	shareLevel float64
	// share is the fraction of the rate that this instance may spend, and
	// reportingFraction the fraction of instances that report, including this one.
	// peerDemand is the demand on the other reporting instances.
	share             float64
	reportingFraction float64
	peerDemand        float64
	// slack is this instance's part of Limits.Slack, in tokens.
	slack         float64
	window        window
	spent         float64
	demand        float64
	recentCost    float64
	demandUpdated time.Time
}

// New returns a Limiter without workspaces or peers.
func New(limits Limits) *Limiter {
	return &Limiter{
		limits:     limits,
		workspaces: map[string]*account{},
		peers:      map[string]*peer{},
	}
}

// SetPeers sets the names of the peers that may be running, each with its number
// of instances. A peer that is no longer listed is removed once it is silent.
func (l *Limiter) SetPeers(expected map[string]int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.peers {
		p.listed = false
	}
	for name, n := range expected {
		if l.peers[name] == nil {
			l.peers[name] = newPeer()
		}
		l.peers[name].listed = true
		l.peers[name].expected = n
	}
	for name, p := range l.peers {
		if !p.listed && now.Sub(p.lastReport) > _peerTimeout {
			delete(l.peers, name)
		}
	}
	l.updateShares(now)
}

// SetWorkspaces replaces the workspaces and their limits. Existing workspaces keep
// their tokens up to the new burst, new ones start with an empty bucket.
func (l *Limiter) SetWorkspaces(workspaces []site.Workspace, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := map[string]bool{}
	for i := range workspaces {
		w := &workspaces[i]
		known[w.Name] = true
		a := l.workspaces[w.Name]
		if a == nil {
			a = &account{
				filledAt:      now,
				demandUpdated: now,
				window:        newWindow(l.limits.Window, now),
			}
			l.workspaces[w.Name] = a
		}
		a.fill(now)
		if a.limit != w.RatePerSecond || a.burst != w.Burst {
			// Tokens spent under the old limit do not count against the new one.
			a.window = newWindow(l.limits.Window, now)
		}
		a.limit = w.RatePerSecond
		a.burst = w.Burst
	}
	for name := range l.workspaces {
		if !known[name] {
			delete(l.workspaces, name)
		}
	}
	l.updateShares(now)
}

// UpdatePeer processes a report of the named peer that covers the given number of
// reporting instances. start changes when the peer restarts and counts its usage
// from zero again.
func (l *Limiter) UpdatePeer(name string, start, reporting int, usage map[string]Usage, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := l.peers[name]
	if p == nil {
		p = newPeer()
		l.peers[name] = p
	}
	for workspace, t := range usage {
		a := l.workspaces[workspace]
		if a == nil {
			continue
		}
		before, ok := p.usage[workspace]
		spent := t.Spent - before.Spent
		switch {
		case p.usage == nil:
			// The total of the first report may include tokens spent long ago.
			spent = 0
		case p.start != start || !ok:
			spent = t.Spent
		}
		a.level = max(a.level-spent, -a.burst)
		a.window.advance(now)
		a.window.add(spent)
	}
	if p.usage == nil || p.start != start {
		l.usageKnownSince = now
	}
	p.start = start
	p.lastReport = now
	p.reporting = reporting
	p.usage = usage
	l.updateShares(now)
}

// Usage returns the usage of this instance, for its report to the others. It also
// detects silent peers, so call it a few times a second even if there is nobody to
// report to.
func (l *Limiter) Usage(now time.Time) map[string]Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updateShares(now)
	out := make(map[string]Usage, len(l.workspaces))
	for name, a := range l.workspaces {
		a.updateDemand(now)
		if a.demand > 0 || a.spent > 0 {
			out[name] = Usage{
				Demand: a.demand,
				Spent:  a.spent,
			}
		}
	}

	return out
}

// Admit spends cost tokens of a workspace if its limits allow, and otherwise returns
// the time after which a retry may succeed. Workspaces that are unknown or have no
// limit are always admitted.
func (l *Limiter) Admit(workspace string, cost float64, now time.Time) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.workspaces[workspace]
	if a == nil || a.limit <= 0 {
		return Decision{OK: true}
	}
	a.updateDemand(now)
	a.recentCost += cost
	a.fill(now)
	d := l.decide(workspace, a, cost, now)
	if d.OK {
		a.spend(cost)
	}

	return d
}

// Check returns what Admit would decide. It changes nothing: no token or demand is counted.
func (l *Limiter) Check(workspace string, cost float64, now time.Time) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.workspaces[workspace]
	if a == nil || a.limit <= 0 {
		return Decision{OK: true}
	}
	filled := *a
	filled.fill(now)

	return l.decide(workspace, &filled, cost, now)
}

// decide returns the decision on a cost of a workspace whose account is filled up to now.
func (l *Limiter) decide(workspace string, a *account, cost float64, now time.Time) Decision {
	need := min(cost, a.burst*a.reportingFraction*_fullBucketFraction) + l.unreportedSpend(workspace, now)
	needShare := min(cost, a.shareCapacity())
	d := Decision{
		OK:         a.level >= need || a.shareLevel >= needShare,
		Level:      a.level,
		ShareLevel: a.shareLevel,
		Rate:       a.rate,
		Share:      a.share,
	}
	if d.OK {
		return d
	}
	seconds := min((need-a.level)/(a.rate*a.reportingFraction), (needShare-a.shareLevel)/(a.rate*a.share))
	if math.IsNaN(seconds) || seconds > _maxRetryWait.Seconds() {
		seconds = _maxRetryWait.Seconds()
	}
	d.Wait = max(time.Duration(seconds*float64(time.Second)), _minRetryWait)

	return d
}

// unreportedSpend estimates the tokens that the other instances have spent since
// the usage in their last reports.
func (l *Limiter) unreportedSpend(workspace string, now time.Time) float64 {
	sum := 0.0
	for _, p := range l.peers {
		if age := now.Sub(p.lastReport); age <= _peerTimeout {
			sum += p.usage[workspace].Demand * (age + _usageLag).Seconds()
		}
	}

	return sum
}

// Refund refunds the cost of a request that has not run.
func (l *Limiter) Refund(workspace string, cost float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a := l.workspaces[workspace]; a != nil {
		a.spend(-cost)
	}
}

// spend subtracts cost from the levels and adds it to the usage. A negative cost
// is a refund.
func (a *account) spend(cost float64) {
	a.level = min(max(a.level-cost, -a.burst), a.burst)
	// Tokens from the common bucket also count against this instance's share, to
	// a deficit of at most one second of the share.
	a.shareLevel = min(max(a.shareLevel-cost, -a.rate*a.share), a.shareCapacity())
	a.spent += cost
	a.window.add(cost)
}

// fill refills the levels up to now.
func (a *account) fill(now time.Time) {
	if elapsed := now.Sub(a.filledAt).Seconds(); elapsed > 0 {
		a.level += a.rate * a.reportingFraction * elapsed
		a.shareLevel += a.rate * a.share * elapsed
	}
	a.filledAt = now
	a.window.advance(now)
	a.level = min(a.level, a.burst*a.reportingFraction)
	a.shareLevel = min(a.shareLevel, a.shareCapacity())
}

// shareCapacity returns the number of tokens at which shareLevel is capped.
func (a *account) shareCapacity() float64 {
	return a.burst*a.share*_shareBurstFraction + a.slack
}

// updateDemand adds the tokens requested since the last update to the moving
// average of the demand, at most once in a quarter of _demandWindow.
func (a *account) updateDemand(now time.Time) {
	elapsed := now.Sub(a.demandUpdated)
	if elapsed < _demandWindow/4 {
		return
	}
	weight := max(0, 1-elapsed.Seconds()/_demandWindow.Seconds())
	a.demand = a.demand*weight + (a.recentCost/elapsed.Seconds())*(1-weight)
	a.recentCost = 0
	a.demandUpdated = now
}

// updateShares recalculates rates and shares from the demand on all instances.
// Silent instances are assumed to spend an even share each, and the reporting ones
// divide the rest. Both sides of a network partition thus assume the same split,
// whatever the demand was before.
func (l *Limiter) updateShares(now time.Time) {
	instances, reporting := 1.0, 1.0
	for _, p := range l.peers {
		instances += float64(max(p.expected, p.reporting))
		if now.Sub(p.lastReport) <= _peerTimeout {
			reporting += float64(p.reporting)
		}
	}
	for name, a := range l.workspaces {
		a.updateDemand(now)
		a.fill(now)
		a.reportingFraction = reporting / instances
		a.peerDemand = 0
		for _, p := range l.peers {
			if now.Sub(p.lastReport) <= _peerTimeout {
				a.peerDemand += p.usage[name].Demand
			}
		}
		a.rate = a.limit
		if reporting == instances {
			a.rate *= 1 + l.limits.Tolerance*_toleranceFraction
			a.rate += l.headroom(name, a, now) / _headroomInterval.Seconds()
		}
		a.share = a.reportingFraction / reporting
		if total := a.demand + a.peerDemand; total > 0 {
			a.share = a.reportingFraction * (_evenFraction/reporting + (1-_evenFraction)*a.demand/total)
		}
		a.slack = l.limits.Slack * _slackFraction / instances
		a.fill(now)
	}
}

// headroom returns the number of tokens that may be spent beyond the rate, because
// a window also allows the burst and the tolerance on both. It returns 0 unless the
// usage of all instances is known for the whole last window.
func (l *Limiter) headroom(name string, a *account, now time.Time) float64 {
	if l.limits.Window <= 0 || now.Sub(l.usageKnownSince) < l.limits.Window {
		return 0
	}
	allowed := (a.limit*l.limits.Window.Seconds() + a.burst) * (1 + l.limits.Tolerance*_toleranceFraction)
	// Other instances may spend unreported tokens, and their parts of the slack.
	unreported := min(a.peerDemand, a.rate)*(2*_usageLag).Seconds() + l.limits.Slack*_slackFraction

	// Saved tokens may be spent at any time, except those that the other instances
	// are assumed to have spent already.
	saved := max(a.level-l.unreportedSpend(name, now), 0)

	return min(max(allowed-unreported-saved-a.window.maxSum(a.rate), 0), a.burst/l.limits.Window.Seconds())
}
