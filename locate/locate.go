// Package locate decides which instance a caller should use and for how
// long, and how an instance leaves without cutting off a request.
//
// A Chooser names instances in proportion to their sizes, in the caller's
// failure domain while that is healthy, otherwise in its region, otherwise
// anywhere. A Drain keeps a leaving instance at work for as long as answers
// that name it may live.
package locate

import (
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"papayastair.dev/papayastair/event"
	"papayastair.dev/papayastair/membership"
	"papayastair.dev/papayastair/wire"
)

// Caller is where a caller is. Empty fields mean unknown.
type Caller struct {
	Region        string
	FailureDomain string
}

// Answer names an instance to a caller.
type Answer struct {
	// Name and Address are the instance's; callers connect to the address.
	Name    string
	Address string
	// TTL is how long the caller may keep the answer.
	TTL time.Duration
	// Scope is where the choice was made.
	Scope Scope
}

// Scope is a set of instances to choose from.
type Scope string

// Scopes, nearest first.
const (
	// ScopeDomain is the caller's failure domain.
	ScopeDomain Scope = "FailureDomain"
	// ScopeRegion is the caller's region.
	ScopeRegion Scope = "Region"
	// ScopeAny is all instances.
	ScopeAny Scope = "Any"
	// ScopeSuspect is all instances, suspect ones too, when none is surely
	// alive.
	ScopeSuspect Scope = "Suspect"
)

// Chooser answers callers. Set the exported fields.
type Chooser struct {
	// Random spreads the answers.
	Random *rand.Rand
	// TTL is how long answers live; all instances use the same.
	TTL time.Duration
	// Log gets a line for each decision.
	Log *event.Log

	mu sync.Mutex
}

// Choose names an instance out of the members. It reports false if there is
// none but leaving and failed ones. It is safe for concurrent use.
func (c *Chooser) Choose(members []membership.Member, caller Caller) (Answer, bool) {
	scope, candidates := choices(members, caller)
	total := sizeOf(candidates)
	if total == 0 {
		c.Log.Write(event.NotLocated, zap.String("FailureDomain", caller.FailureDomain), zap.Int("Members", len(members)))

		return Answer{}, false
	}
	c.mu.Lock()
	point := c.Random.IntN(total)
	c.mu.Unlock()
	chosen := at(candidates, point)
	c.Log.Write(event.Located,
		zap.String("Chosen", chosen.Name),
		zap.String("Reason", string(scope)),
		zap.String("CallerDomain", caller.FailureDomain),
		zap.Int("Candidates", len(candidates)),
		zap.Int("Size", chosen.Size),
		zap.Int("TotalSize", total))

	return Answer{
		Name:    chosen.Name,
		Address: chosen.CallerAddress,
		TTL:     c.TTL,
		Scope:   scope,
	}, true
}

// choices returns the nearest scope that is healthy, and its instances. A
// failure domain or region is healthy while at least half of its size can be
// used: its callers would be too much for less.
func choices(members []membership.Member, caller Caller) (Scope, []membership.Member) {
	inDomain := func(m membership.Member) bool { return m.FailureDomain == caller.FailureDomain }
	inRegion := func(m membership.Member) bool { return m.Region == caller.Region }
	for _, near := range []struct {
		scope  Scope
		within func(membership.Member) bool
	}{
		{
			scope:  ScopeDomain,
			within: inDomain,
		},
		{
			scope:  ScopeRegion,
			within: inRegion,
		},
	} {
		all := filter(members, near.within)
		usable := filter(all, membership.Member.IsUsable)
		if size := sizeOf(usable); size > 0 && 2*size >= sizeOf(all) {
			return near.scope, usable
		}
	}
	if usable := filter(members, membership.Member.IsUsable); len(usable) > 0 {
		return ScopeAny, usable
	}

	return ScopeSuspect, filter(members, func(m membership.Member) bool {
		return m.Health == wire.FindingHealthSuspect && !m.Leaving
	})
}

// filter returns the entry instances that fulfil a condition.
func filter(members []membership.Member, holds func(membership.Member) bool) []membership.Member {
	var found []membership.Member
	for _, m := range members {
		if m.Role == wire.MemberRoleEntry && holds(m) {
			found = append(found, m)
		}
	}

	return found
}

func sizeOf(members []membership.Member) int {
	size := 0
	for _, m := range members {
		size += max(m.Size, 1)
	}

	return size
}

// at returns the member in whose share of the total size a point lies.
func at(members []membership.Member, point int) membership.Member {
	for _, m := range members {
		point -= max(m.Size, 1)
		if point < 0 {
			return m
		}
	}
	panic("locate: point outside of the total size")
}
