package exchange

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// _maxMeshSize is the largest number of instances that form a full mesh. The
	// number of messages grows with the square of the instances; beyond this size
	// they would saturate the smallest links.
	_maxMeshSize = 12
	// _maxGroupSize bounds the instances in a group, and with it the bulletins
	// that a relay receives and sends in each interval.
	_maxGroupSize = 40
	// _relaysPerGroup is the number of relays that each instance of a group
	// reports to: an active one, and a standby with the same state.
	_relaysPerGroup = 2
	// _storeReaders is the number of instances that read the store on behalf of
	// all. With two, one may fail or be partitioned without a gap.
	_storeReaders = 2
	// _relayTimeout is the time without a bulletin after which a relay is no
	// longer used.
	_relayTimeout = 900 * time.Millisecond
	// _relayRetryInterval is the time between attempts to reach a relay that
	// doesn't answer.
	_relayRetryInterval = 2 * time.Second
)

// groupName returns the group of an instance: its failure domain, or a hash
// partition of it if the domain has more than _maxGroupSize instances.
func groupName(name, domain string, domainSize int) string {
	parts := (domainSize + _maxGroupSize - 1) / _maxGroupSize
	if parts <= 1 {
		return domain
	}

	return domain + "/" + strconv.Itoa(int(xxhash.Sum64String(name)%uint64(parts)))
}

// candidate is an instance that can be chosen as a relay or as a store reader.
type candidate struct {
	name     string
	capacity int
}

// sortCandidates sorts instances by descending capacity, then by the hash of
// their names. The order depends on nothing else, so that all instances compute
// the same one.
func sortCandidates(list []candidate) {
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.capacity, a.capacity), cmp.Compare(xxhash.Sum64String(a.name), xxhash.Sum64String(b.name)),
			cmp.Compare(a.name, b.name))
	})
}
