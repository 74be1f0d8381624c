package routing

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"papayastair.dev/papayastair/wire"
)

// prefixBelief is what is believed to be in one backend server's prefix
// cache. It is bounded: the oldest belief goes first.
type prefixBelief struct {
	sequence int
	present  map[uint64]struct{}
	order    []uint64
	next     int
}

func newPrefixBelief(size int) prefixBelief {
	return prefixBelief{
		present: map[uint64]struct{}{},
		order:   make([]uint64, 0, size),
	}
}

// observe takes events in order. A gap in their sequence may hide evictions,
// so it clears the belief. Events that come twice are dropped.
func (p *prefixBelief) observe(events []wire.CacheEvent) {
	for _, e := range events {
		restarted := e.Sequence == 1
		if e.Sequence <= p.sequence && !restarted {
			continue
		}
		if e.Sequence != p.sequence+1 || restarted {
			p.clear()
		}
		p.sequence = e.Sequence
		key := prefixKey(modelSeed(e.Model), e.PrefixHash)
		if e.Present {
			p.add(key)
		} else {
			delete(p.present, key)
		}
	}
}

func (p *prefixBelief) clear() {
	clear(p.present)
	p.order = p.order[:0]
	p.next = 0
}

func (p *prefixBelief) add(key uint64) {
	if _, ok := p.present[key]; ok {
		return
	}
	p.present[key] = struct{}{}
	if len(p.order) < cap(p.order) {
		p.order = append(p.order, key)

		return
	}
	delete(p.present, p.order[p.next])
	p.order[p.next] = key
	p.next = (p.next + 1) % len(p.order)
}

// longest is how many of the growing prefixes are believed present. A cache
// that holds a prefix nearly always holds the shorter ones, so the search
// halves.
func (p *prefixBelief) longest(seed uint64, hashes []int) int {
	if len(hashes) == 0 || !p.has(seed, hashes[0]) {
		return 0
	}

	return 1 + sort.Search(len(hashes)-1, func(i int) bool {
		return !p.has(seed, hashes[i+1])
	})
}

func (p *prefixBelief) has(seed uint64, hash int) bool {
	_, ok := p.present[prefixKey(seed, hash)]

	return ok
}

func modelSeed(model string) uint64 {
	return xxhash.Sum64String(model)
}

func prefixKey(seed uint64, hash int) uint64 {
	return seed ^ uint64(hash)*0x9e3779b97f4a7c15
}
