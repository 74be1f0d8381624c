package membership

import (
	"cmp"
	"slices"

	"papayastair.dev/papayastair/wire"
)

// Member is an entry instance or a backend server in one instance's view.
type Member struct {
	wire.Member

	// Health is the latest known health.
	Health wire.FindingHealth
	// Leaving reports whether the member accepts no new work, as announced by
	// the member itself or by the platform's list.
	Leaving bool
	// Listed reports whether the platform's list contains the member.
	Listed bool
}

// IsUsable reports whether the member may receive new work.
func (m Member) IsUsable() bool {
	return m.Health == wire.FindingHealthAlive && !m.Leaving
}

// Status is an instance's view as shown to operators.
type Status struct {
	// Members lists all members, including this instance, sorted by name.
	Members []Member
	// OutOfTouch lists, sorted, the regions whose instances have all failed.
	// Their members stay in the view.
	OutOfTouch []string
	// Refutations counts the suspicions that this instance has refuted.
	Refutations int
}

// supersedes reports whether finding a replaces finding b: the higher
// incarnation wins, then the higher refutation, then the worse health.
func supersedes(a, b wire.Finding) bool {
	return cmp.Or(
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Refutation, b.Refutation),
		cmp.Compare(severity(a.Health), severity(b.Health)),
	) > 0
}

// severity returns the rank of a health; a worse health ranks higher.
func severity(health wire.FindingHealth) int {
	switch health {
	case wire.FindingHealthFailed:
		return 2
	case wire.FindingHealthSuspect:
		return 1
	default:
		return 0
	}
}

// unreachableRegions returns, sorted, the regions other than own whose entry
// instances have all failed.
func unreachableRegions(members []Member, own string) []string {
	reachable := map[string]bool{own: true}
	for _, m := range members {
		if m.Role == wire.MemberRoleEntry && m.Health != wire.FindingHealthFailed {
			reachable[m.Region] = true
		}
	}
	var regions []string
	for _, m := range members {
		if m.Role == wire.MemberRoleEntry && !reachable[m.Region] && !slices.Contains(regions, m.Region) {
			regions = append(regions, m.Region)
		}
	}
	slices.Sort(regions)

	return regions
}
