// Package site holds what operators have declared for a whole deployment:
// routes, services with their models, workspaces with their keys and limits,
// and the backend servers that are registered. It is plain data; package
// platform decodes it, and the other packages decide by it.
//
// A Configuration is made once, indexed by Index, and never changed after.
package site

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind says how often a request may run.
type Kind int

// Kinds of routes.
const (
	// KindOnce requests run at most once for each attempt of a caller.
	KindOnce Kind = iota
	// KindRepeatable requests may run more than once.
	KindRepeatable
	// KindStream requests are answered by a stream of events, and run at most
	// once unless the stream can be resumed.
	KindStream
)

// String is the kind's name in logs and metrics.
func (k Kind) String() string {
	switch k {
	case KindRepeatable:
		return "Repeatable"
	case KindStream:
		return "Stream"
	default:
		return "Once"
	}
}

// Route says where requests of one host and path prefix go.
type Route struct {
	// Name identifies the route.
	Name string
	// Host and Prefix select the route; Prefix begins and ends with a slash.
	Host   string
	Prefix string
	// Kind says what may be repeated.
	Kind Kind
	// Timeout is the longest time that a caller is kept waiting; 0 for none.
	Timeout time.Duration
	// Goal is the time within which an answer, or a stream's first event, is
	// worth most.
	Goal time.Duration
	// PauseGoal is the longest pause between a stream's events that is on time.
	PauseGoal time.Duration
	// Attempts is how many backend servers one request may be sent to.
	Attempts int
	// Rank orders requests: 0 is the most urgent.
	Rank int
	// Shares name the services that carry the route, with their weights.
	Shares []Share
	// Public routes need no key.
	Public bool
	// CanResume says that a stream may go on at another backend server.
	CanResume bool
}

// Share is one service's part of a route.
type Share struct {
	// Service is the service's name.
	Service string
	// Weight is relative to the other shares'.
	Weight int
}

// Repeats says whether a request of the route may run more than once.
func (r *Route) Repeats() bool {
	return r.Kind == KindRepeatable || r.Kind == KindStream && r.CanResume
}

// Service is a group of backend servers that can stand in for one another.
type Service struct {
	// Name identifies the service.
	Name string
	// MaxConnections is how many connections one backend server accepts from
	// all instances together; 0 for unknown.
	MaxConnections int
	// HealthPath is the path of the health check.
	HealthPath string
	// Engine describes model engines; nil for a plain service.
	Engine *Engine
}

// Engine describes the model engines of a service; all are alike.
type Engine struct {
	// Slots is how many requests one engine runs at once.
	Slots int
	// MemoryTokens is how many tokens fit in one engine's cache.
	MemoryTokens int
	// WeightsMB is the memory for weights and adapters, in MB.
	WeightsMB float64
	// AdapterPlaces is how many adapters fit on one engine.
	AdapterPlaces int
	// LoadsPerSecond is the rate of loads that the weight store allows over
	// all engines.
	LoadsPerSecond float64
	// HostMB and DiskMB are an engine's room for copies of weights at hand.
	HostMB float64
	DiskMB float64
	// Models are the models by name.
	Models map[string]Model
}

// Model is one model that engines can load.
type Model struct {
	// Name identifies the model.
	Name string
	// WeightsMB is its size in an engine's memory, in MB.
	WeightsMB float64
	// ColdLoad, DiskLoad and WarmLoad are the times of a load from the weight
	// store, from the engine's disk and from its host memory.
	ColdLoad time.Duration
	DiskLoad time.Duration
	WarmLoad time.Duration
	// Adapters is how many adapters the model has.
	Adapters int
	// AdapterMB is the size of one adapter, in MB.
	AdapterMB float64
}

// Workspace is who a key belongs to.
type Workspace struct {
	// Name identifies the workspace.
	Name string
	// Keys are the keys that its callers present.
	Keys []string
	// Rank takes precedence over the route's rank; negative for none.
	Rank int
	// RatePerSecond and Burst limit the workspace over all instances; a rate
	// of 0 is no limit.
	RatePerSecond float64
	Burst         float64
	// CountsTokens says that the limit counts tokens and not requests.
	CountsTokens bool
	// PlainTokens is what a request without a count of tokens costs.
	PlainTokens float64
}

// Limits bound what a caller may send.
type Limits struct {
	// HeaderBytes and BodyBytes are the largest sizes.
	HeaderBytes int
	BodyBytes   int
	// HeaderTimeout is how long a caller may take to send a request's head.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may stay unused.
	IdleTimeout time.Duration
}

// Configuration is one accepted version of all declarations.
type Configuration struct {
	// Version rises with each accepted configuration.
	Version int
	// Revision is the store's revision that brought it.
	Revision int
	// Routes, Services and Workspaces are the declarations.
	Routes     []Route
	Services   map[string]*Service
	Workspaces []Workspace
	// Limits bound what callers may send.
	Limits Limits

	hosts map[string][]*Route
	keys  map[string]*Workspace
}

// Index prepares Route and Workspace. It is called once, before the
// configuration is shared.
func (c *Configuration) Index() {
	c.hosts = map[string][]*Route{}
	for i := range c.Routes {
		r := &c.Routes[i]
		c.hosts[r.Host] = append(c.hosts[r.Host], r)
	}
	for _, routes := range c.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	c.keys = map[string]*Workspace{}
	for i := range c.Workspaces {
		for _, key := range c.Workspaces[i].Keys {
			c.keys[key] = &c.Workspaces[i]
		}
	}
}

// Route is the route of a host with the longest prefix of the path, or nil.
func (c *Configuration) Route(host, path string) *Route {
	for _, r := range c.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}

	return nil
}

// Hosts says whether any route has the host.
func (c *Configuration) Hosts(host string) bool {
	return len(c.hosts[host]) > 0
}

// Workspace is the holder of a key, or nil.
func (c *Configuration) Workspace(key string) *Workspace {
	return c.keys[key]
}
