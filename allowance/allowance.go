// Package allowance keeps each workspace within its rate and burst over all
// instances together, without a message on the path of a request. Each
// instance has a part of each workspace's rate and burst; the parts follow
// where the workspace's callers ask, as the instances tell each other, and
// their sum never exceeds the whole while all know of each other.
//
//	a.SetWorkspaces(workspaces, now)
//	a.SetAsked("instance-2", map[string]float64{...}, now)
//	if wait, ok := a.Take("wording", tokens, now); !ok { refuse, come back after wait }
package allowance

import (
	"sync"
	"time"

	"papayastair.dev/papayastair/site"
)

const (
	// _evenPart is the part of each limit that is divided evenly, so that a
	// caller is served at once at an instance that it comes to first.
	_evenPart = 0.25
	// _askedMemory is the time over which the asked rate is averaged.
	_askedMemory = time.Second
	// _peerMemory is how long the demand of a silent instance is still counted:
	// it may serve on by its last part.
	_peerMemory = 8 * time.Second
	// _minWait and _maxWait bound the time after which a refused caller is
	// told to come back.
	_minWait = 100 * time.Millisecond
	_maxWait = 2 * time.Second
)

// Book holds this instance's parts. Use New.
type Book struct {
	mu         sync.Mutex
	instances  int
	workspaces map[string]*account
	peers      map[string]peerAsked
}

type peerAsked struct {
	at    time.Time
	asked map[string]float64
}

// account is one workspace's bucket at this instance.
type account struct {
	rate   float64
	burst  float64
	part   float64
	tokens float64
	at     time.Time
	asked  float64
	recent float64
	rolled time.Time
}

// New returns an empty book.
func New() *Book {
	return &Book{
		instances:  1,
		workspaces: map[string]*account{},
		peers:      map[string]peerAsked{},
	}
}

// SetInstances tells how many instances share the limits.
func (b *Book) SetInstances(n int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.instances = max(n, 1)
	b.divide(now)
}

// SetWorkspaces takes the limits in force. A workspace that was known keeps
// its tokens, but never more than its new burst.
func (b *Book) SetWorkspaces(workspaces []site.Workspace, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := map[string]bool{}
	for i := range workspaces {
		w := &workspaces[i]
		known[w.Name] = true
		a := b.workspaces[w.Name]
		if a == nil {
			a = &account{
				at:     now,
				rolled: now,
			}
			b.workspaces[w.Name] = a
		}
		a.refill(now)
		a.rate = w.RatePerSecond
		a.burst = w.Burst
	}
	for name := range b.workspaces {
		if !known[name] {
			delete(b.workspaces, name)
		}
	}
	b.divide(now)
}

// SetAsked takes how much each workspace asks for at another instance.
func (b *Book) SetAsked(instance string, asked map[string]float64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.peers[instance] = peerAsked{
		at:    now,
		asked: asked,
	}
	b.divide(now)
}

// Asked is how much each workspace asks for here, per second.
func (b *Book) Asked(now time.Time) map[string]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make(map[string]float64, len(b.workspaces))
	for name, a := range b.workspaces {
		a.roll(now)
		if a.asked > 0 {
			out[name] = a.asked
		}
	}

	return out
}

// Take spends cost, or says after which time a repeat may succeed.
func (b *Book) Take(workspace string, cost float64, now time.Time) (wait time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.workspaces[workspace]
	if a == nil || a.rate <= 0 {
		return 0, true
	}
	a.roll(now)
	a.recent += cost
	a.refill(now)
	// A cost over the whole part passes when the part is full.
	need := min(cost, a.burst*a.part)
	if a.tokens >= need {
		a.tokens -= cost

		return 0, true
	}
	seconds := (need - a.tokens) / (a.rate * a.part)

	return min(max(time.Duration(seconds*float64(time.Second)), _minWait), _maxWait), false
}

// Return gives back the cost of a request that has not run.
func (b *Book) Return(workspace string, cost float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a := b.workspaces[workspace]; a != nil {
		a.tokens = min(a.tokens+cost, a.burst*a.part)
	}
}

func (a *account) refill(now time.Time) {
	if passed := now.Sub(a.at).Seconds(); passed > 0 {
		a.tokens += a.rate * a.part * passed
	}
	a.at = now
	a.tokens = min(a.tokens, a.burst*a.part)
}

// roll averages the asked rate over whole periods.
func (a *account) roll(now time.Time) {
	passed := now.Sub(a.rolled)
	if passed < _askedMemory/4 {
		return
	}
	keep := max(0, 1-passed.Seconds()/_askedMemory.Seconds())
	a.asked = a.asked*keep + (a.recent/passed.Seconds())*(1-keep)
	a.recent = 0
	a.rolled = now
}

// divide sets this instance's part of each limit from all instances' demand.
func (b *Book) divide(now time.Time) {
	for name, p := range b.peers {
		if now.Sub(p.at) > _peerMemory {
			delete(b.peers, name)
		}
	}
	instances := float64(max(b.instances, len(b.peers)+1))
	for name, a := range b.workspaces {
		a.roll(now)
		all := a.asked
		for _, p := range b.peers {
			all += p.asked[name]
		}
		part := 1 / instances
		if all > 0 {
			part = _evenPart/instances + (1-_evenPart)*a.asked/all
		}
		a.refill(now)
		if part < a.part {
			a.tokens = min(a.tokens, a.burst*part)
		}
		a.part = part
	}
}
