// Package site holds the declarations of a whole deployment: routes, services
// with their models, workspaces with their keys and limits, and the registered
// backend servers. It is plain data: package platform decodes it, and the other
// packages use it.
//
// A Configuration is built once, indexed by Index, and not changed afterwards.
package site

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"
	"time"
)

// Kind determines how often a request may run.
type Kind int

// Kinds of routes.
const (
	// KindOnce requests run at most once for each attempt of a caller.
	KindOnce Kind = iota
	// KindRepeatable requests may run more than once.
	KindRepeatable
	// KindStream requests are answered by a stream of events, and run at most once
	// unless the stream can be resumed.
	KindStream
)

// String returns the name of the kind in logs and metrics.
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

// Route maps the requests for one host and path prefix to services.
type Route struct {
	// Name identifies the route.
	Name string
	// Host and Prefix select the route; Prefix begins and ends with a slash.
	Host   string
	Prefix string
	// Kind determines how often a request may run.
	Kind Kind
	// Timeout is the maximum time that a request may take; 0 for no limit.
	Timeout time.Duration
	// Goal is the latency goal: the time within which an answer, or a stream's
	// first event, is worth most.
	Goal time.Duration
	// EventGapGoal is the longest time between two events of a stream that is on
	// time.
	EventGapGoal time.Duration
	// Attempts is the maximum number of backend servers that a request may be sent
	// to.
	Attempts int
	// Rank is the priority of requests; 0 is the most urgent.
	Rank int
	// Shares are the services that serve the route, with their weights.
	Shares []Share
	// Public reports whether requests need no key.
	Public bool
	// CanResume reports whether a stream may resume at another backend server.
	CanResume bool
	// Regions are the regions whose backend servers may run the requests; empty for
	// any.
	Regions []string
}

// Share is one service's part of the requests of a route.
type Share struct {
	// Service is the service's name.
	Service string
	// Weight is relative to the weights of the other shares.
	Weight int
}

// IsRepeatable reports whether a request of the route may run more than once.
func (r *Route) IsRepeatable() bool {
	return r.Kind == KindRepeatable || r.Kind == KindStream && r.CanResume
}

// Service is a group of interchangeable backend servers.
type Service struct {
	// Name identifies the service.
	Name string
	// MaxConnections is the maximum number of connections that a backend server
	// accepts from all instances together; 0 if unknown.
	MaxConnections int
	// HealthPath is the path of the health check.
	HealthPath string
	// ColdTime is how long a backend server is cold, and ColdPerSecond the requests per
	// second that a cold one can take; 0 if its backend servers are never cold.
	ColdTime      time.Duration
	ColdPerSecond float64
	// Engine describes the model engines; nil for a plain service.
	Engine *Engine
}

// Engine describes the model engines of a service, which are all alike.
type Engine struct {
	// Slots is the number of requests that one engine runs at once.
	Slots int
	// CacheTokens is the size of one engine's cache, in tokens.
	CacheTokens int
	// WeightsMB is the memory of one engine for weights and adapters, in MB.
	WeightsMB float64
	// AdapterSlots is the maximum number of adapters on one engine.
	AdapterSlots int
	// LoadsPerSecond is the maximum rate of loads from the weight store, over all
	// engines.
	LoadsPerSecond float64
	// HostMB and DiskMB are an engine's host memory and disk space for cached
	// weights, in MB.
	HostMB float64
	DiskMB float64
	// Models are the models by name.
	Models map[string]Model
}

// Model is a model that engines can load.
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
	// Adapters is the number of the model's adapters.
	Adapters int
	// AdapterMB is the size of one adapter, in MB.
	AdapterMB float64
}

// Workspace is a tenant, with its keys and limits.
type Workspace struct {
	// Name identifies the workspace.
	Name string
	// Keys are the keys of its callers, and KeyDigests the hexadecimal SHA-256 digests
	// of further keys.
	Keys       []string
	KeyDigests []string
	// Rank overrides the route's rank; negative for none.
	Rank int
	// RatePerSecond and Burst limit the workspace over all instances; a rate of 0
	// means no limit.
	RatePerSecond float64
	Burst         float64
	// CountsTokens reports whether the limit counts tokens instead of requests.
	CountsTokens bool
	// PlainTokens is the cost of a request without a token count.
	PlainTokens float64
	// Regions are the regions whose backend servers may run the requests; empty for
	// any.
	Regions []string
}

// Limits bound what a caller may send.
type Limits struct {
	// HeaderBytes and BodyBytes are the maximum sizes of a request's head and
	// body.
	HeaderBytes int
	BodyBytes   int
	// HeaderTimeout is the time limit for receiving a request's head.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection may stay idle.
	IdleTimeout time.Duration
}

// Configuration is one accepted version of all declarations.
type Configuration struct {
	// Version increases with each accepted configuration.
	Version int
	// Revision is the store's revision at which it was written.
	Revision int
	// Routes, Services and Workspaces are the declarations.
	Routes     []Route
	Services   map[string]*Service
	Workspaces []Workspace
	// Limits bound what callers may send.
	Limits Limits

	hosts map[string][]*Route
	// keys holds the workspaces by the digests of their keys.
	keys map[[sha256.Size]byte]*Workspace
}

// Index prepares the lookups by Route and Workspace. It is called once, before
// the configuration is shared.
func (c *Configuration) Index() {
	c.hosts = map[string][]*Route{}
	for i := range c.Routes {
		r := &c.Routes[i]
		c.hosts[r.Host] = append(c.hosts[r.Host], r)
	}
	for _, routes := range c.hosts {
		slices.SortStableFunc(routes, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	c.keys = map[[sha256.Size]byte]*Workspace{}
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		for _, key := range w.Keys {
			c.keys[sha256.Sum256([]byte(key))] = w
		}
		for _, text := range w.KeyDigests {
			// What is no digest matches no key.
			if digest, err := hex.DecodeString(text); err == nil && len(digest) == sha256.Size {
				c.keys[[sha256.Size]byte(digest)] = w
			}
		}
	}
}

// Route returns the route for host with the longest prefix of path, or nil.
func (c *Configuration) Route(host, path string) *Route {
	for _, r := range c.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}

	return nil
}

// HasHost reports whether any route has the host.
func (c *Configuration) HasHost(host string) bool {
	return len(c.hosts[host]) > 0
}

// Regions returns the regions whose backend servers serve a host's routes, sorted; nil
// if one of the routes may run anywhere.
func (c *Configuration) Regions(host string) []string {
	var out []string
	for _, r := range c.hosts[host] {
		if len(r.Regions) == 0 {
			return nil
		}
		out = append(out, r.Regions...)
	}
	slices.Sort(out)

	return slices.Compact(out)
}

// Workspace returns the workspace that a key belongs to, or nil.
func (c *Configuration) Workspace(key string) *Workspace {
	return c.keys[sha256.Sum256([]byte(key))]
}
