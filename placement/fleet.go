package placement

import (
	"cmp"
	"slices"

	"papayastair.dev/papayastair/wire"
)

// Fleet holds the settings of models and backend servers.
type Fleet struct {
	Models     []wire.Model
	Adapters   []wire.Adapter
	Placements []wire.Placement
	// Servers lists the backend servers. Those that are not engines are
	// ignored.
	Servers []wire.BackendServer
}

// Presence is the state of a backend server as seen by an instance. The zero
// value represents a server that is gone.
type Presence struct {
	// Live reports whether the server responds.
	Live bool
	// Leaving reports whether the server is draining: it accepts no new work,
	// but its copies still serve.
	Leaving bool
}

// accelerator is the planning state of an accelerator.
type accelerator struct {
	server   string
	name     string
	domain   string
	presence Presence
	memory   int
	// committed is the memory in bytes of the copies that are loading or
	// serving, without those that are being unloaded.
	committed int
	// capacity is the throughput in tokens per second, shared by all copies.
	capacity float64
	// load is the demand assigned to the accelerator, in tokens per second.
	load   float64
	copies []*copyState
}

// model is the planning state of a model and its copies.
type model struct {
	wire.Model
	// footprint is the memory in bytes of a copy, including its largest
	// adapter.
	footprint int
	// allowed is the set of backend servers that may host copies; nil means
	// all.
	allowed   map[string]bool
	maxCopies int
	copies    []*copyState
	demand    float64
	attained  float64
	// servingServers caches the number of serving copies per backend server;
	// nil after a copy has changed.
	servingServers map[string]int
}

// copyState is the planning state of a copy.
type copyState struct {
	wire.Copy
	model *model
	accel *accelerator
	// weight is the fraction of the model's demand assigned to the copy.
	weight float64
}

// spareCapacity returns the assignable capacity that is unused, in tokens per
// second. It is negative if the accelerator is overloaded.
func (a *accelerator) spareCapacity() float64 {
	return a.capacity*_targetUtilization - a.load
}

// meanCapacity returns the mean capacity of the accelerators in tokens per
// second.
func (x *index) meanCapacity() float64 {
	return x.capacity / float64(max(1, len(x.accelerators)))
}

type acceleratorKey struct {
	server string
	name   string
}

// index joins a fleet with the copies of a catalog. Models and accelerators are
// sorted by name so that a plan does not depend on their order in the settings.
type index struct {
	models            []*model
	modelsByName      map[string]*model
	accelerators      []*accelerator
	acceleratorsByKey map[acceleratorKey]*accelerator
	// maxUtilization is the fraction of an accelerator's capacity that may be
	// assigned.
	maxUtilization float64
	// capacity is the total capacity of all accelerators in tokens per second.
	capacity float64
}

func newIndex(fleet Fleet, presence map[string]Presence, copies map[string][]wire.Copy) *index {
	x := &index{
		modelsByName:      make(map[string]*model, len(fleet.Models)),
		acceleratorsByKey: map[acceleratorKey]*accelerator{},
		maxUtilization:    _targetUtilization,
	}
	x.addServers(slices.SortedFunc(slices.Values(fleet.Servers), func(a, b wire.BackendServer) int {
		return cmp.Compare(a.Name, b.Name)
	}), presence)
	for _, m := range slices.SortedFunc(slices.Values(fleet.Models), func(a, b wire.Model) int {
		return cmp.Compare(a.Name, b.Name)
	}) {
		item := &model{
			Model:     m,
			footprint: m.MemoryBytes,
		}
		x.models = append(x.models, item)
		x.modelsByName[m.Name] = item
	}
	for _, a := range fleet.Adapters {
		if m := x.modelsByName[a.Model]; m != nil {
			m.footprint = max(m.footprint, m.MemoryBytes+a.MemoryBytes)
		}
	}
	for _, p := range fleet.Placements {
		if m := x.modelsByName[p.Model]; m != nil {
			m.applyPlacement(p)
		}
	}
	for _, m := range x.models {
		for _, item := range copies[m.Name] {
			x.addCopy(m, item)
		}
	}

	return x
}

func (x *index) addServers(servers []wire.BackendServer, presence map[string]Presence) {
	for _, s := range servers {
		if s.Kind != wire.BackendServerKindEngine || len(s.Accelerators) == 0 {
			continue
		}
		for _, a := range s.Accelerators {
			item := &accelerator{
				server:   s.Name,
				name:     a.Name,
				domain:   s.FailureDomain,
				presence: presence[s.Name],
				memory:   a.MemoryBytes,
				capacity: float64(s.TokensPerSecond) / float64(len(s.Accelerators)),
			}
			x.accelerators = append(x.accelerators, item)
			x.capacity += item.capacity
			x.acceleratorsByKey[acceleratorKey{server: s.Name, name: a.Name}] = item
		}
	}
}

// addCopy adds a copy to its model and, if the accelerator is in the settings,
// to its accelerator.
func (x *index) addCopy(m *model, item wire.Copy) {
	c := &copyState{
		Copy:  item,
		model: m,
		accel: x.acceleratorsByKey[acceleratorKey{server: item.Server, name: item.Accelerator}],
	}
	m.copies = append(m.copies, c)
	m.invalidateServers()
	if c.accel != nil {
		c.accel.copies = append(c.accel.copies, c)
		if c.retained() {
			c.accel.committed += c.footprint()
		}
	}
}

func (m *model) applyPlacement(p wire.Placement) {
	m.maxCopies = p.MaxCopies
	if len(p.BackendServers) == 0 {
		return
	}
	m.allowed = make(map[string]bool, len(p.BackendServers))
	for _, s := range p.BackendServers {
		m.allowed[s] = true
	}
}

func (m *model) allows(server string) bool {
	return m.allowed == nil || m.allowed[server]
}

// countCopies returns the number of copies that satisfy match.
func (m *model) countCopies(match func(*copyState) bool) int {
	n := 0
	for _, c := range m.copies {
		if match(c) {
			n++
		}
	}

	return n
}

// serversWithout returns the number of backend servers that serve the model if
// the given copy is removed.
func (m *model) serversWithout(c *copyState) int {
	if m.servingServers == nil {
		m.servingServers = make(map[string]int, len(m.copies))
		for _, o := range m.copies {
			if o.serving() {
				m.servingServers[o.Server]++
			}
		}
	}
	if c.serving() && m.servingServers[c.Server] == 1 {
		return len(m.servingServers) - 1
	}

	return len(m.servingServers)
}

func (m *model) invalidateServers() {
	m.servingServers = nil
}

// conformingServers returns the number of backend servers that have a conforming
// copy.
func (m *model) conformingServers() int {
	servers := map[string]bool{}
	for _, c := range m.copies {
		if c.conforms() {
			servers[c.Server] = true
		}
	}

	return len(servers)
}

// domainsWithout returns the number of failure domains that serve the model if
// the given copy is removed.
func (m *model) domainsWithout(c *copyState) int {
	domains := map[string]bool{}
	for _, o := range m.copies {
		if o != c && o.serving() {
			domains[o.accel.domain] = true
		}
	}

	return len(domains)
}

// footprint returns the memory in bytes reserved for the copy and its largest
// adapter.
func (c *copyState) footprint() int {
	return max(c.MemoryBytes, c.MemoryBytes+c.model.footprint-c.model.MemoryBytes)
}

// retained reports whether the copy is loading or serving, that is, not being
// unloaded.
func (c *copyState) retained() bool {
	return c.State == wire.CopyStateLoading || c.State == wire.CopyStateServing
}

// reachable reports whether the copy's server responds.
func (c *copyState) reachable() bool {
	return c.accel != nil && c.accel.presence.Live
}

// serving reports whether the copy serves requests on a server that is not
// draining.
func (c *copyState) serving() bool {
	return c.State == wire.CopyStateServing && c.reachable() && !c.accel.presence.Leaving
}

// conforms reports whether the copy is loading or serving with the version and
// on a server that the settings require, and the server is not draining.
func (c *copyState) conforms() bool {
	return c.retained() && c.reachable() && !c.accel.presence.Leaving &&
		c.Version == c.model.Version && c.model.allows(c.Server)
}
