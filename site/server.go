package site

import "time"

// BackendServer is one registered backend server as its own entry tells.
type BackendServer struct {
	// ID names one start of the backend server, mostly; Born tells starts
	// under the same id apart.
	ID   string
	Born int64
	// Service is the service that it belongs to.
	Service string
	// Address is its IP:port.
	Address string
	// FailureDomain is where it stands.
	FailureDomain string
	// Slots is how many requests it runs at once.
	Slots int
	// Draining says that it takes no new requests.
	Draining bool
	// Remaining is the time until it is gone, if it told one; else 0.
	Remaining time.Duration
	// Models are the models that it holds.
	Models []Holding
	// InMemory and OnDisk name models whose weights it has at hand.
	InMemory []string
	OnDisk   []string
}

// Holding is a model that a backend server holds.
type Holding struct {
	// Model is the model's name.
	Model string
	// Version is the version of its weights.
	Version int
	// Adapters are the names of its adapters that are held.
	Adapters []string
}

// Report is a backend server's answer about its state, as of some hundred
// milliseconds before.
type Report struct {
	// Born tells starts under one id apart, 0 if not told.
	Born int64
	// Models are the models that it holds.
	Models []Holding
	// Coming are adapters on their way, as Target texts.
	Coming []Target
	// Busy says that an order is being carried out.
	Busy bool
	// Orders is the number of orders accepted since the start.
	Orders int
	// Running and Waiting are requests.
	Running int
	Waiting int
	// InMemory and OnDisk name models whose weights it has at hand.
	InMemory []string
	OnDisk   []string
}

// Target is a model, with an adapter or without.
type Target struct {
	// Model is the model's name.
	Model string
	// Adapter is the adapter's name, empty for the model itself.
	Adapter string
}

// String is Model or Model/Adapter.
func (t Target) String() string {
	if t.Adapter == "" {
		return t.Model
	}

	return t.Model + "/" + t.Adapter
}

// Holds says whether the target is among holdings.
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
