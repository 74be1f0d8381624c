package entry

import "time"

// Settings are a process's own settings, from the platform.
type Settings struct {
	// Name is the instance's name, and FailureDomain and Region where it runs.
	Name          string
	FailureDomain string
	Region        string
	// FailureDomains are all there are, sorted.
	FailureDomains []string
	// CallerAddress, ReadyAddress and LocateAddress are IP:ports to serve.
	CallerAddress string
	ReadyAddress  string
	LocateAddress string
	// MetricsAddress is the IP:port for counters and the status, empty for none.
	MetricsAddress string
	// PeerAddress is the IP:port for bulletins.
	PeerAddress string
	// StoreAddress is the IP:port of the platform's store.
	StoreAddress string
	// Capacity is how much the instance can do, in thousandths of a processor.
	Capacity int
	// Cores is how many processors may be used at once, and MemoryMB the
	// memory over which the process is ended.
	Cores    int
	MemoryMB int
	// Bounds are what the platform holds the process to.
	Bounds Bounds
}

// Bounds are the times and numbers that the platform holds the system to.
type Bounds struct {
	// Apply is within which a configuration must be in force.
	Apply time.Duration
	// Revoke is within which a withdrawn key must not work any more.
	Revoke time.Duration
	// Grace is the time between the request to stop and the end.
	Grace time.Duration
	// LocateTTL is the longest time that callers may keep an address.
	LocateTTL time.Duration
	// Turn is the shortest time between orders of two holders.
	Turn time.Duration
	// EntryReturn is how long after an outage of the store backend servers'
	// entries may still be missing.
	EntryReturn time.Duration
	// LimitOver is the part of its limit that a workspace may get on top of it in
	// a window, and LimitSlack how much beyond that, in the limit's unit.
	LimitOver  float64
	LimitSlack float64
	// LimitWindow is the length of the windows in which limits are judged.
	LimitWindow time.Duration
	// Retry bounds repeats at backend servers.
	RetryRatio  float64
	RetrySlack  float64
	RetryWindow time.Duration
}
