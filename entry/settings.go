package entry

import "time"

const (
	// _patienceShare is the share of a bound after which a read of the store without an
	// answer is sent again, and _maxPatience the longest time before that.
	_patienceShare = 1.0 / 8
	_maxPatience   = 250 * time.Millisecond
)

// Settings are the settings of one process, as the platform supplies them.
type Settings struct {
	// Name is the instance's name; FailureDomain and Region are where it runs.
	Name          string
	FailureDomain string
	Region        string
	// FailureDomains are all failure domains, sorted.
	FailureDomains []string
	// Regions maps failure domains to their regions.
	Regions map[string]string
	// CallerAddress, ReadyAddress and LocateAddress are the IP:ports for callers,
	// readiness checks and locate requests.
	CallerAddress string
	ReadyAddress  string
	LocateAddress string
	// MetricsAddress is the IP:port for metrics and status, empty for none.
	MetricsAddress string
	// PeerAddress is the IP:port for bulletins.
	PeerAddress string
	// StoreAddress is the IP:port of the platform's store.
	StoreAddress string
	// Capacity is the capacity of the instance, in thousandths of a processor.
	Capacity int
	// Cores is the number of processors that the process may use at once, and
	// MemoryMB the memory above which the platform kills it.
	Cores    int
	MemoryMB int
	// Bounds are the bounds that the platform sets for the process.
	Bounds Bounds
}

// Bounds are the durations and numbers that the platform requires the system to
// keep.
type Bounds struct {
	// Apply is the time within which a configuration must be in force.
	Apply time.Duration
	// Drain is the time within which a backend server that leaves must get no more
	// requests.
	Drain time.Duration
	// Revoke is the time within which a revoked key must stop working.
	Revoke time.Duration
	// Grace is the time between the shutdown request and the end of the process.
	Grace time.Duration
	// LocateTTL is the longest time for which callers may keep an address.
	LocateTTL time.Duration
	// Turn is the shortest time between the last order of one lease holder and the
	// first of the next.
	Turn time.Duration
	// Evacuate is the time within which an evacuation of a failure domain, or its end,
	// must be in effect; 0 if there are no evacuations.
	Evacuate time.Duration
	// EntryReturn is how long after an outage of the store backend servers'
	// entries may still be missing.
	EntryReturn time.Duration
	// LimitOver is the fraction of its limit that a workspace may spend on top of
	// it in a window, and LimitSlack the amount allowed beyond that, in the
	// limit's unit.
	LimitOver  float64
	LimitSlack float64
	// LimitWindow is the length of the windows over which limits are checked.
	LimitWindow time.Duration
	// RetryRatio, RetrySlack and RetryWindow limit how often requests are sent to
	// a second backend server: the fraction of a service's requests, the number of
	// retries on top of it, and the length of the sliding window.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
	// ColdOver and ColdSlack bound the requests that all instances send to a cold
	// backend server in any second: ColdOver times the service's ColdPerSecond, and
	// ColdSlack more.
	ColdOver  float64
	ColdSlack float64
}

// ReadPatience returns the time without an answer after which a read of the store is sent
// again, so that a change is known within each bound although connections to the store
// have gone silent.
func (b Bounds) ReadPatience() time.Duration {
	bound := min(b.Apply, b.Drain, b.keyEvidence())
	if b.Evacuate > 0 {
		bound = min(bound, b.Evacuate)
	}

	return min(_maxPatience, shareOf(bound, _patienceShare))
}

// keyEvidence returns the maximum age of the evidence for requests with keys.
func (b Bounds) keyEvidence() time.Duration {
	return b.Revoke - _revocationMargin
}
