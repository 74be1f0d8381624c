package placement

import (
	"cmp"
	"slices"

	"papayastair.dev/papayastair/wire"
)

// Fleet is what the settings say about models and backend servers.
type Fleet struct {
	Models     []wire.Model
	Adapters   []wire.Adapter
	Placements []wire.Placement
	// Servers are the engines; plain services are ignored.
	Servers []wire.BackendServer
}

// Presence is what an instance believes about a backend server. The zero
// value is a server that is gone.
type Presence struct {
	// Live says that the server answers.
	Live bool
	// Leaving says that it wants no new work; its copies still serve.
	Leaving bool
}

// accelerator is one accelerator with its account during planning.
type accelerator struct {
	server   string
	name     string
	domain   string
	presence Presence
	memory   int
	// committed is the memory of copies that are or will be there; copies
	// that are being dropped are not part of it.
	committed int
	// capacity is the speed in tokens a second, shared by all copies.
	capacity float64
	// load is the part of the capacity that the demand takes.
	load   float64
	copies []*copyState
}

// model is one model with its copies during planning.
type model struct {
	wire.Model
	// footprint is the memory of a copy with room for its largest adapter.
	footprint int
	// allowed are the backend servers that may hold copies; nil means all.
	allowed   map[string]bool
	maxCopies int
	copies    []*copyState
	demand    float64
	attained  float64
	// servers counts the serving copies by backend server; nil when a copy
	// has changed.
	servers map[string]int
}

// copyState is one copy during planning.
type copyState struct {
	wire.Copy
	model *model
	at    *accelerator
	// weight is the share of the model's demand that the copy takes.
	weight float64
}

// spare is the capacity that the demand leaves, in tokens a second.
func (a *accelerator) spare() float64 {
	return a.capacity*_fullLoad - a.load
}

// meanCapacity is the mean capacity of an accelerator in tokens a second.
func (x *index) meanCapacity() float64 {
	return x.capacity / float64(max(1, len(x.accelerators)))
}

type acceleratorKey struct {
	server string
	name   string
}

// index joins a fleet with the copies of a catalog. Models and accelerators
// are ordered by name, so that a plan doesn't depend on the order of settings.
type index struct {
	models       []*model
	byName       map[string]*model
	accelerators []*accelerator
	byKey        map[acceleratorKey]*accelerator
	// fullLoad is the part of an accelerator's capacity that may be used.
	fullLoad float64
	// capacity is that of all accelerators in tokens a second.
	capacity float64
}

func newIndex(fleet Fleet, presence map[string]Presence, copies map[string][]wire.Copy) *index {
	x := &index{
		byName:   make(map[string]*model, len(fleet.Models)),
		byKey:    map[acceleratorKey]*accelerator{},
		fullLoad: _fullLoad,
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
		x.byName[m.Name] = item
	}
	for _, a := range fleet.Adapters {
		if m := x.byName[a.Model]; m != nil {
			m.footprint = max(m.footprint, m.MemoryBytes+a.MemoryBytes)
		}
	}
	for _, p := range fleet.Placements {
		if m := x.byName[p.Model]; m != nil {
			m.restrict(p)
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
			x.byKey[acceleratorKey{server: s.Name, name: a.Name}] = item
		}
	}
}

// addCopy adds a copy to its model and, if that is in the settings, to its
// accelerator.
func (x *index) addCopy(m *model, item wire.Copy) {
	c := &copyState{
		Copy:  item,
		model: m,
		at:    x.byKey[acceleratorKey{server: item.Server, name: item.Accelerator}],
	}
	m.copies = append(m.copies, c)
	m.forgetServers()
	if c.at != nil {
		c.at.copies = append(c.at.copies, c)
		if c.lasting() {
			c.at.committed += c.footprint()
		}
	}
}

func (m *model) restrict(p wire.Placement) {
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

// count counts the copies that fit a condition.
func (m *model) count(fits func(*copyState) bool) int {
	n := 0
	for _, c := range m.copies {
		if fits(c) {
			n++
		}
	}

	return n
}

// serversWithout is on how many backend servers the model serves without one
// of its copies.
func (m *model) serversWithout(c *copyState) int {
	if m.servers == nil {
		m.servers = make(map[string]int, len(m.copies))
		for _, o := range m.copies {
			if o.serving() {
				m.servers[o.Server]++
			}
		}
	}
	if c.serving() && m.servers[c.Server] == 1 {
		return len(m.servers) - 1
	}

	return len(m.servers)
}

func (m *model) forgetServers() {
	m.servers = nil
}

// goodServers is on how many backend servers good copies are.
func (m *model) goodServers() int {
	servers := map[string]bool{}
	for _, c := range m.copies {
		if c.good() {
			servers[c.Server] = true
		}
	}

	return len(servers)
}

// domainsWithout is in how many failure domains the model serves without one
// of its copies.
func (m *model) domainsWithout(c *copyState) int {
	domains := map[string]bool{}
	for _, o := range m.copies {
		if o != c && o.serving() {
			domains[o.at.domain] = true
		}
	}

	return len(domains)
}

// footprint is the memory that planning sets aside for the copy.
func (c *copyState) footprint() int {
	return max(c.MemoryBytes, c.MemoryBytes+c.model.footprint-c.model.MemoryBytes)
}

// lasting says that nothing has decided to unload the copy.
func (c *copyState) lasting() bool {
	return c.State == wire.CopyStateLoading || c.State == wire.CopyStateServing
}

// live says that the copy's server answers.
func (c *copyState) live() bool {
	return c.at != nil && c.at.presence.Live
}

// serving says that the copy answers requests and will go on doing so.
func (c *copyState) serving() bool {
	return c.State == wire.CopyStateServing && c.live() && !c.at.presence.Leaving
}

// good says that the copy is, or will be, what the settings ask for.
func (c *copyState) good() bool {
	return c.lasting() && c.live() && !c.at.presence.Leaving &&
		c.Version == c.model.Version && c.model.allows(c.Server)
}
