package site

import "time"

// BackendServer is a registered backend server, as described by its own entry
// in the store.
type BackendServer struct {
	// ID usually identifies one start of the backend server; Born distinguishes
	// starts under the same id.
	ID   string
	Born int64
	// Service is the service that it belongs to.
	Service string
	// Address is its IP:port.
	Address string
	// FailureDomain is the failure domain in which it runs.
	FailureDomain string
	// Slots is the number of requests that it runs at once.
	Slots int
	// Draining reports whether it accepts no new requests.
	Draining bool
	// Evacuated reports whether its failure domain is evacuated: nothing more is sent
	// there until the evacuation ends.
	Evacuated bool
	// Remaining is the time until it is gone; 0 if it has not announced one.
	Remaining time.Duration
	// ColdLeft is how long it stays cold after the entry was written; 0 if the entry
	// doesn't say that it is cold.
	ColdLeft time.Duration
	// Models are the models that it holds.
	Models []Holding
	// InMemory and OnDisk name the models whose weights are cached in its host
	// memory and on its disk.
	InMemory []string
	OnDisk   []string
}

// Holding is a model that a backend server holds, with its adapters.
type Holding struct {
	// Model is the model's name.
	Model string
	// Version is the version of its weights.
	Version int
	// Adapters are the names of the adapters that are held.
	Adapters []string
}

// Report is a backend server's report of its state, some hundred milliseconds
// old.
type Report struct {
	// Born distinguishes starts under the same id; 0 if unknown.
	Born int64
	// Models are the models that it holds.
	Models []Holding
	// Loading are the adapters that are being loaded.
	Loading []Target
	// Busy reports whether an order is being carried out.
	Busy bool
	// Orders is the number of orders accepted since the start.
	Orders int
	// Running and Waiting are numbers of requests.
	Running int
	Waiting int
	// InMemory and OnDisk name the models whose weights are cached in its host
	// memory and on its disk.
	InMemory []string
	OnDisk   []string
}

// MaxPerSecond is the largest limit of a backend server, in requests per second, that
// is taken for one.
const MaxPerSecond = 1e6

// Advice is what a backend server asks of its callers in an answer.
type Advice struct {
	// Limited reports whether it sets a limit, PerSecond, on the requests that it takes
	// from all instances together, until an answer doesn't.
	Limited   bool
	PerSecond float64
	// Leaving reports whether it takes no more new requests.
	Leaving bool
	// Pause is the time for which it takes no requests from the instance that it
	// answers; 0 for none.
	Pause time.Duration
	// Unreadable names what it asks for that can't be read, and that has no effect;
	// empty if there is nothing.
	Unreadable string
}

// ServerLoad is the load of a backend server when it answered.
type ServerLoad struct {
	// Running and Waiting are its requests, Slots those that it runs at once.
	Running int
	Waiting int
	Slots   int
	// Pace is how long work takes there at that moment, as a multiple of the usual
	// time; 0 if it isn't given.
	Pace float64
}

// Target is a model or one of its adapters.
type Target struct {
	// Model is the model's name.
	Model string
	// Adapter is the adapter's name, empty for the model itself.
	Adapter string
}

// String returns Model or Model/Adapter.
func (t Target) String() string {
	if t.Adapter == "" {
		return t.Model
	}

	return t.Model + "/" + t.Adapter
}

// Holds reports whether the target is among holdings.
func Holds(holdings []Holding, t Target) bool {
	for _, h := range holdings {
		if h.Model != t.Model {
			continue
		}
		if t.Adapter == "" {
			return true
		}
		for _, a := range h.Adapters {
			if a == t.Adapter {
				return true
			}
		}
	}

	return false
}
