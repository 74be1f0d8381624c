package membership

import (
	"cmp"
	"math/bits"
	"slices"

	"papayastair.dev/papayastair/wire"
)

const (
	// _maxFindingsPerMessage limits the findings piggybacked on one message.
	_maxFindingsPerMessage = 8
	// A finding is sent on _retransmitFactor * bits.Len(number of instances)
	// messages: a multiple of the base-2 logarithm of the fleet's size.
	_retransmitFactor = 3
)

// gossipQueue holds the findings that are still to be sent to peers.
type gossipQueue struct {
	items []gossipItem
}

type gossipItem struct {
	finding wire.Finding
	sent    int
}

// enqueue adds a finding, replacing any queued one about the same member.
func (g *gossipQueue) enqueue(finding wire.Finding) {
	g.items = slices.DeleteFunc(g.items, func(i gossipItem) bool { return i.finding.Name == finding.Name })
	g.items = append(g.items, gossipItem{finding: finding})
}

// nextBatch returns the findings to send on the next message, least often
// sent first, and drops those that have reached the limit of transmissions
// for the given number of instances.
func (g *gossipQueue) nextBatch(instances int) []wire.Finding {
	slices.SortStableFunc(g.items, func(a, b gossipItem) int { return cmp.Compare(a.sent, b.sent) })
	n := min(len(g.items), _maxFindingsPerMessage)
	findings := make([]wire.Finding, 0, n)
	for i := range n {
		findings = append(findings, g.items[i].finding)
		g.items[i].sent++
	}
	limit := _retransmitFactor * bits.Len(uint(instances))
	g.items = slices.DeleteFunc(g.items, func(i gossipItem) bool { return i.sent >= limit })

	return findings
}
