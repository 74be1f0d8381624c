package quota

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"papayastair.dev/papayastair/wire"
)

// _homes is the number of instances that divide a workspace's limit.
const _homes = 8

// Share is a home's fraction of a workspace's limit.
type Share struct {
	// Member is the home.
	Member wire.QuotaMember
	// Fraction is its fraction of rate and burst, in proportion to its size. The
	// fractions of a workspace add up to 1.
	Fraction float64
}

// Homes returns the shares of a workspace, those of the 8 members that rank
// highest for it by rendezvous hashing weighted by size, highest first. The result
// depends on the arguments only, and a change of one member affects only the
// workspaces that have it as a home.
func Homes(members []wire.QuotaMember, workspace string) []Share {
	ranked := rank(members, workspace)
	homes := ranked[:min(_homes, len(ranked))]
	total := 0
	for _, m := range homes {
		total += m.Size
	}
	shares := make([]Share, 0, len(homes))
	for _, m := range homes {
		shares = append(shares, Share{
			Member:   m,
			Fraction: float64(m.Size) / float64(total),
		})
	}

	return shares
}

// rank orders members for a subject by weighted rendezvous hashing.
func rank(members []wire.QuotaMember, subject string) []wire.QuotaMember {
	type scored struct {
		member wire.QuotaMember
		score  float64
	}
	scores := make([]scored, 0, len(members))
	for _, m := range members {
		hash := xxhash.Sum64String(subject + "\x00" + m.Instance)
		unit := (float64(hash>>11) + 0.5) / (1 << 53)
		scores = append(scores, scored{
			member: m,
			score:  -float64(m.Size) / math.Log(unit),
		})
	}
	slices.SortFunc(scores, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.member.Instance, b.member.Instance))
	})
	ranked := make([]wire.QuotaMember, 0, len(members))
	for _, s := range scores {
		ranked = append(ranked, s.member)
	}

	return ranked
}

// stateOf returns the position of a table in the order of tables. A pending change
// comes after the epoch that it ends and before the epoch that it begins.
func stateOf(t wire.QuotaTable) int {
	state := 2 * t.Epoch
	if t.Pending {
		state++
	}

	return state
}

// committed returns the table that results from a pending change.
func committed(t wire.QuotaTable) wire.QuotaTable {
	return wire.QuotaTable{
		Epoch:   t.Epoch + 1,
		Members: t.Next,
	}
}

// majority reports whether more than half of the members satisfy ok. It is true
// for an empty list.
func majority(members []wire.QuotaMember, ok func(m wire.QuotaMember) bool) bool {
	count := 0
	for _, m := range members {
		if ok(m) {
			count++
		}
	}

	return len(members) == 0 || 2*count > len(members)
}

func contains(members []wire.QuotaMember, self wire.QuotaMember) bool {
	return slices.ContainsFunc(members, func(m wire.QuotaMember) bool { return sameRun(m, self) })
}

func sameRun(a, b wire.QuotaMember) bool {
	return a.Instance == b.Instance && a.Incarnation == b.Incarnation
}

// sameMembers reports whether two lists have the same members, in any order.
func sameMembers(a, b []wire.QuotaMember) bool {
	if len(a) != len(b) {
		return false
	}
	for _, m := range a {
		if !slices.Contains(b, m) {
			return false
		}
	}

	return true
}
