package routing

import (
	"sort"

	"github.com/cespare/xxhash/v2"

	"papayastair.dev/papayastair/wire"
)

// prefixTracker tracks the prefixes that are believed to be in one backend
// server's prefix cache. When it is full, it drops the oldest.
type prefixTracker struct {
	sequence int
	present  map[uint64]struct{}
	order    []uint64
	next     int
}

func newPrefixTracker(size int) prefixTracker {
	return prefixTracker{
		present: map[uint64]struct{}{},
		order:   make([]uint64, 0, size),
	}
}

// observe applies cache events in order. A gap in their sequence may hide
// evictions and clears the tracker. Duplicate events are dropped.
func (p *prefixTracker) observe(events []wire.CacheEvent) {
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

func (p *prefixTracker) clear() {
	clear(p.present)
	p.order = p.order[:0]
	p.next = 0
}

func (p *prefixTracker) add(key uint64) {
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

// cachedBlocks returns the number of leading blocks believed to be cached. A
// cache that holds a prefix nearly always holds the shorter ones, which allows
// a binary search.
func (p *prefixTracker) cachedBlocks(seed uint64, hashes []int) int {
	if len(hashes) == 0 || !p.has(seed, hashes[0]) {
		return 0
	}

	return 1 + sort.Search(len(hashes)-1, func(i int) bool {
		return !p.has(seed, hashes[i+1])
	})
}

func (p *prefixTracker) has(seed uint64, hash int) bool {
	_, ok := p.present[prefixKey(seed, hash)]

	return ok
}

func modelSeed(model string) uint64 {
	return xxhash.Sum64String(model)
}

func prefixKey(seed uint64, hash int) uint64 {
	return seed ^ uint64(hash)*0x9e3779b97f4a7c15
}
