package membership

import (
	"cmp"
	"math/bits"
	"slices"

	"papayastair.dev/papayastair/wire"
)

const (
	// _maxPiggyback is how many findings travel on one message.
	_maxPiggyback = 8
	// _sendFactor times the logarithm of the number of instances is how often
	// a finding is passed on.
	_sendFactor = 3
)

// gossip is the findings that are still to be passed on.
type gossip struct {
	items []gossipItem
}

type gossipItem struct {
	finding wire.Finding
	sent    int
}

// add queues a finding in place of an older one about the same member.
func (g *gossip) add(finding wire.Finding) {
	g.items = slices.DeleteFunc(g.items, func(i gossipItem) bool { return i.finding.Name == finding.Name })
	g.items = append(g.items, gossipItem{finding: finding})
}

// take returns the findings for one message, those sent least first, given
// the number of instances.
func (g *gossip) take(instances int) []wire.Finding {
	slices.SortStableFunc(g.items, func(a, b gossipItem) int { return cmp.Compare(a.sent, b.sent) })
	n := min(len(g.items), _maxPiggyback)
	findings := make([]wire.Finding, 0, n)
	for i := range n {
		findings = append(findings, g.items[i].finding)
		g.items[i].sent++
	}
	limit := _sendFactor * bits.Len(uint(instances))
	g.items = slices.DeleteFunc(g.items, func(i gossipItem) bool { return i.sent >= limit })

	return findings
}
