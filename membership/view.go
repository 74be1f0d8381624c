package membership

import (
	"cmp"
	"slices"

	"papayastair.dev/papayastair/wire"
)

// Member is a member as one instance sees it.
type Member struct {
	wire.Member

	// Health is what was found out last.
	Health wire.FindingHealth
	// Leaving says that the member wants no new work, by its own words or by
	// the platform's list.
	Leaving bool
	// Listed says that the platform lists the member.
	Listed bool
}

// IsUsable reports whether new work may go to the member.
func (m Member) IsUsable() bool {
	return m.Health == wire.FindingHealthAlive && !m.Leaving
}

// Status is what an instance tells operators of its view.
type Status struct {
	// Members are all members, this instance among them, sorted by name.
	Members []Member
	// OutOfTouch are the regions of which no instance answers, sorted. Their
	// members stay in the view.
	OutOfTouch []string
	// Refutations is how often this instance has denied a suspicion.
	Refutations int
}

// newer reports whether finding a replaces b.
func newer(a, b wire.Finding) bool {
	return cmp.Or(
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Refutation, b.Refutation),
		cmp.Compare(rank(a.Health), rank(b.Health)),
	) > 0
}

// rank orders health from good to bad.
func rank(health wire.FindingHealth) int {
	switch health {
	case wire.FindingHealthFailed:
		return 2
	case wire.FindingHealthSuspect:
		return 1
	default:
		return 0
	}
}

// outOfTouch returns the regions whose instances are all failed, but for the
// given one.
func outOfTouch(members []Member, own string) []string {
	inTouch := map[string]bool{own: true}
	for _, m := range members {
		if m.Role == wire.MemberRoleEntry && m.Health != wire.FindingHealthFailed {
			inTouch[m.Region] = true
		}
	}
	var regions []string
	for _, m := range members {
		if m.Role == wire.MemberRoleEntry && !inTouch[m.Region] && !slices.Contains(regions, m.Region) {
			regions = append(regions, m.Region)
		}
	}
	slices.Sort(regions)

	return regions
}
