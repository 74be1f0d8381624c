package exchange

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// _meshMost is up to how many instances each tells all others. Beyond it
	// the messages, which grow with the square, would fill the smallest links.
	_meshMost = 12
	// _groupMost bounds a group: as many bulletins come to its relay in each
	// period, and as many leave.
	_groupMost = 40
	// _relays is how many relays each instance of a group tells: one speaks,
	// the other stands by with the same knowledge.
	_relays = 2
	// _readers is how many instances read the store for all: one may be lost or
	// cut off without a gap.
	_readers = 2
	// _relaySilence is after how long without a word a relay isn't used.
	_relaySilence = 900 * time.Millisecond
	// _askAgain is how often a relay that is silent is asked again.
	_askAgain = 2 * time.Second
)

// groupOf is the group of an instance: its failure domain, or a part of it if
// there are many.
func groupOf(name, domain string, inDomain int) string {
	parts := (inDomain + _groupMost - 1) / _groupMost
	if parts <= 1 {
		return domain
	}

	return domain + "/" + strconv.Itoa(int(xxhash.Sum64String(name)%uint64(parts)))
}

// candidate is an instance that may be a relay.
type candidate struct {
	name     string
	capacity int
}

// rank orders the instances of a group: whoever can do most relays, and all
// instances come to the same order.
func rank(list []candidate) {
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.capacity, a.capacity), cmp.Compare(xxhash.Sum64String(a.name), xxhash.Sum64String(b.name)),
			cmp.Compare(a.name, b.name))
	})
}
