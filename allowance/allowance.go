// Package allowance keeps each workspace within its rate and burst over all
// instances together, without a message on the path of a request.
//
// Each instance keeps its own copy of each workspace's bucket and takes from
// it what it admits and what the others say they have admitted, a fraction of
// a second later. While the bucket is well filled, a request is admitted
// wherever it comes. When it runs low, each instance may spend only its part
// of the rate, which follows where the workspace's callers ask. An instance
// that is not heard is taken to spend an even part.
//
//	b.SetWorkspaces(workspaces, now)
//	b.Heard("instance-2", start, 1, told, now)
//	if d := b.Take("wording", tokens, now); !d.OK { refuse, come back after d.Wait }
package allowance

import (
	"math"
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
	// _heardFor is how long an instance counts as heard: a few bulletins.
	_heardFor = 700 * time.Millisecond
	// _unseen is how much of what another had spent wasn't known yet when it was
	// heard last: what it had admitted in the meantime, and the way of the
	// bulletin.
	_unseen = 200 * time.Millisecond
	// _partBurst is the part of an instance's burst that it may save up while
	// the common bucket is low.
	_partBurst = 0.3
	// _fullBucket is the part of the burst that counts as full: a larger cost
	// passes then.
	_fullBucket = 0.6
	// _slackShare is the part of the slack that is used; the rest covers what
	// instances don't know of each other for a moment.
	_slackShare = 0.6
	// _overShare is the part of what the platform allows over the limit that is
	// used while all instances are heard; none is while one is silent.
	_overShare = 0.9
	// _extraPeriod is the time over which what a window still allows beyond the
	// rate is spent.
	_extraPeriod = 500 * time.Millisecond
	// _minWait and _maxWait bound the time after which a refused caller is
	// told to come back.
	_minWait = 100 * time.Millisecond
	_maxWait = 2 * time.Second
)

// Told is what an instance tells of one workspace.
type Told struct {
	// Asked is the recent rate that was asked for.
	Asked float64
	// Spent is all that was admitted since the instance's start.
	Spent float64
}

// Decision is the outcome of Take, with what decided it.
type Decision struct {
	// OK says that the cost was spent.
	OK bool
	// Wait is the time after which a repeat may succeed.
	Wait time.Duration
	// Level is the common bucket, Own what this instance may spend of its
	// part, Rate the workspace's whole rate per second and Part this
	// instance's part of it.
	Level float64
	Own   float64
	Rate  float64
	Part  float64
}

// Limits are what the platform allows on top of a workspace's rate and burst.
type Limits struct {
	// Over is the part of a limit that may be spent on top of it in a window.
	Over float64
	// Slack is how much beyond that, over all instances; it is divided among
	// them as room for requests that come in lumps.
	Slack float64
	// Window is the length of the windows in which limits are judged.
	Window time.Duration
}

// Book is this instance's view of all buckets. Use New.
type Book struct {
	mu     sync.Mutex
	limits Limits
	// knownFrom is since when what all instances spend is known.
	knownFrom  time.Time
	workspaces map[string]*account
	peers      map[string]*peer
}

// peer is another instance, or some that speak together.
type peer struct {
	known bool
	// expected is how many instances it stands for, and speaking how many were
	// behind its last word.
	expected int
	speaking int
	start    int
	heard    time.Time
	told     map[string]Told
}

func newPeer() *peer {
	return &peer{expected: 1}
}

// account is one workspace's bucket.
type account struct {
	limit float64
	// rate is the limit with what is allowed over it at present.
	rate  float64
	burst float64
	// at is when level and own were last filled.
	at    time.Time
	level float64
	own   float64
	// part is this instance's part of the rate, heard the part of all that are
	// heard, this one included, and othersAsked the rate asked of the others.
	part        float64
	heard       float64
	othersAsked float64
	// room is this instance's part of the slack.
	room   float64
	window window
	spent  float64
	asked  float64
	recent float64
	rolled time.Time
}

// New returns an empty book.
func New(limits Limits) *Book {
	return &Book{
		limits:     limits,
		workspaces: map[string]*account{},
		peers:      map[string]*peer{},
	}
}

// SetPeers names the others that may be running, each with how many instances
// it stands for.
func (b *Book) SetPeers(expected map[string]int, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.peers {
		p.known = false
	}
	for name, n := range expected {
		if b.peers[name] == nil {
			b.peers[name] = newPeer()
		}
		b.peers[name].known = true
		b.peers[name].expected = n
	}
	for name, p := range b.peers {
		if !p.known && now.Sub(p.heard) > _heardFor {
			delete(b.peers, name)
		}
	}
	b.divide(now)
}

// SetWorkspaces takes the limits in force. A workspace that was known keeps
// its tokens, but never more than its new burst; a new one begins without any.
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
				window: newWindow(b.limits.Window, now),
			}
			b.workspaces[w.Name] = a
		}
		a.fill(now)
		if a.limit != w.RatePerSecond || a.burst != w.Burst {
			// A new limit is judged by what is spent under it.
			a.window = newWindow(b.limits.Window, now)
		}
		a.limit = w.RatePerSecond
		a.burst = w.Burst
	}
	for name := range b.workspaces {
		if !known[name] {
			delete(b.workspaces, name)
		}
	}
	b.divide(now)
}

// Heard takes what another tells for some instances.
func (b *Book) Heard(name string, start, speaking int, told map[string]Told, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p := b.peers[name]
	if p == nil {
		p = newPeer()
		b.peers[name] = p
	}
	for workspace, t := range told {
		a := b.workspaces[workspace]
		if a == nil {
			continue
		}
		before, ok := p.told[workspace]
		spent := t.Spent - before.Spent
		switch {
		case p.told == nil:
			// What it spent before it was first heard isn't known to be recent.
			spent = 0
		case p.start != start || !ok:
			spent = t.Spent
		}
		a.level = max(a.level-spent, -a.burst)
		a.window.roll(now)
		a.window.add(spent)
	}
	if p.told == nil || p.start != start {
		b.knownFrom = now
	}
	p.start = start
	p.heard = now
	p.speaking = speaking
	p.told = told
	b.divide(now)
}

// Tell is what this instance tells the others. It must be called a few times a
// second, also by an instance that hears nobody: it finds out who is silent.
func (b *Book) Tell(now time.Time) map[string]Told {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.divide(now)
	out := make(map[string]Told, len(b.workspaces))
	for name, a := range b.workspaces {
		a.roll(now)
		if a.asked > 0 || a.spent > 0 {
			out[name] = Told{
				Asked: a.asked,
				Spent: a.spent,
			}
		}
	}

	return out
}

// Take spends cost, or says after which time a repeat may succeed.
func (b *Book) Take(workspace string, cost float64, now time.Time) Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.workspaces[workspace]
	if a == nil || a.limit <= 0 {
		return Decision{OK: true}
	}
	a.roll(now)
	a.recent += cost
	a.fill(now)
	need := min(cost, a.burst*a.heard*_fullBucket) + b.unseen(workspace, now)
	needOwn := min(cost, a.most())
	d := Decision{
		OK:    a.level >= need || a.own >= needOwn,
		Level: a.level,
		Own:   a.own,
		Rate:  a.rate,
		Part:  a.part,
	}
	if d.OK {
		a.spend(cost)

		return d
	}
	seconds := min((need-a.level)/(a.rate*a.heard), (needOwn-a.own)/(a.rate*a.part))
	if math.IsNaN(seconds) || seconds > _maxWait.Seconds() {
		seconds = _maxWait.Seconds()
	}
	d.Wait = max(time.Duration(seconds*float64(time.Second)), _minWait)

	return d
}

// unseen is what the others may have spent since they were heard.
func (b *Book) unseen(workspace string, now time.Time) float64 {
	sum := 0.0
	for _, p := range b.peers {
		if silent := now.Sub(p.heard); silent <= _heardFor {
			sum += p.told[workspace].Asked * (silent + _unseen).Seconds()
		}
	}

	return sum
}

// Return gives back the cost of a request that has not run.
func (b *Book) Return(workspace string, cost float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a := b.workspaces[workspace]; a != nil {
		a.spend(-cost)
	}
}

func (a *account) spend(cost float64) {
	a.level = min(max(a.level-cost, -a.burst), a.burst)
	// What was spent from the common bucket is missed from the own part too,
	// as far as a second's part.
	a.own = min(max(a.own-cost, -a.rate*a.part), a.most())
	a.spent += cost
	a.window.add(cost)
}

// fill adds what the time since the last filling brings.
func (a *account) fill(now time.Time) {
	if passed := now.Sub(a.at).Seconds(); passed > 0 {
		a.level += a.rate * a.heard * passed
		a.own += a.rate * a.part * passed
	}
	a.at = now
	a.window.roll(now)
	a.level = min(a.level, a.burst*a.heard)
	a.own = min(a.own, a.most())
}

// most is what this instance may save up of its part.
func (a *account) most() float64 {
	return a.burst*a.part*_partBurst + a.room
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

// divide sets the parts of each limit from all instances' demand. Instances
// that aren't heard may spend an even part, and those that are heard the rest:
// both sides of a cut count the same, however demand was when it came.
func (b *Book) divide(now time.Time) {
	instances, heard := 1.0, 1.0
	for _, p := range b.peers {
		instances += float64(max(p.expected, p.speaking))
		if now.Sub(p.heard) <= _heardFor {
			heard += float64(p.speaking)
		}
	}
	for name, a := range b.workspaces {
		a.roll(now)
		a.fill(now)
		a.heard = heard / instances
		a.othersAsked = 0
		for _, p := range b.peers {
			if now.Sub(p.heard) <= _heardFor {
				a.othersAsked += p.told[name].Asked
			}
		}
		a.rate = a.limit
		if heard == instances {
			a.rate *= 1 + b.limits.Over*_overShare
			a.rate += b.extra(name, a, now) / _extraPeriod.Seconds()
		}
		a.part = a.heard / heard
		if all := a.asked + a.othersAsked; all > 0 {
			a.part = a.heard * (_evenPart/heard + (1-_evenPart)*a.asked/all)
		}
		a.room = b.limits.Slack * _slackShare / instances
		a.fill(now)
	}
}

// extra is how much may be spent beyond the rate, as windows may hold the burst
// too and what is allowed over both: nothing unless all that was spent in the
// last window is known.
func (b *Book) extra(name string, a *account, now time.Time) float64 {
	if b.limits.Window <= 0 || now.Sub(b.knownFrom) < b.limits.Window {
		return 0
	}
	allowed := (a.limit*b.limits.Window.Seconds() + a.burst) * (1 + b.limits.Over*_overShare)
	// What others spend unseen, and the rooms that each may spend besides.
	unseen := min(a.othersAsked, a.rate)*(2*_unseen).Seconds() + b.limits.Slack*_slackShare

	// What is saved may be spent at any time, but for what the others are taken
	// to have spent of it.
	saved := max(a.level-b.unseen(name, now), 0)

	return min(max(allowed-unseen-saved-a.window.highest(a.rate), 0), a.burst/b.limits.Window.Seconds())
}
