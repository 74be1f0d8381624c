package configuration

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"papayastair.dev/papayastair/wire"
)

// Relays returns the instances that read the head for their failure domain:
// up to perDomain names of each. It depends on the members only, so that
// instances with the same view choose the same relays; with different views
// there are, for a while, more of them or fewer, which harms nothing.
func Relays(members []wire.Member, perDomain int) map[string][]string {
	ranked := slices.Clone(members)
	slices.SortFunc(ranked, func(a, b wire.Member) int {
		return cmp.Or(
			cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)),
			cmp.Compare(a.Name, b.Name),
		)
	})
	relays := map[string][]string{}
	for _, m := range ranked {
		if names := relays[m.FailureDomain]; len(names) < perDomain {
			relays[m.FailureDomain] = append(names, m.Name)
		}
	}

	return relays
}
