package settings

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"papayastair.dev/papayastair/wire"
)

// Snapshot is the merged hierarchy: what a serving process looks things up
// in. It must not be changed once it is made.
type Snapshot struct {
	// Version is the version of the configuration that it was made from; 0
	// outside package configuration.
	Version int
	// Workspaces are by name, with inherited values filled in.
	Workspaces map[string]wire.Workspace
	// Keys are by hash.
	Keys map[string]wire.Key
	// Models are by name.
	Models map[string]wire.Model
	// Adapters are by name; no adapter has the name of a model.
	Adapters map[string]wire.Adapter
	// BackendServers are by name.
	BackendServers map[string]wire.BackendServer
	// Services are the names of the backend servers of each plain service,
	// sorted.
	Services map[string][]string
	// Placements are by model; not every model has one.
	Placements map[string]wire.Placement
	// Routes are by path.
	Routes map[string]wire.Route
}

// Resolve merges subtrees, in any order, into a snapshot. With problems the
// snapshot is incomplete and must not be used.
func Resolve(subtrees []wire.Subtree) (*Snapshot, Problems) {
	r := resolver{
		snapshot: &Snapshot{
			Workspaces:     map[string]wire.Workspace{},
			Keys:           map[string]wire.Key{},
			Models:         map[string]wire.Model{},
			Adapters:       map[string]wire.Adapter{},
			BackendServers: map[string]wire.BackendServer{},
			Services:       map[string][]string{},
			Placements:     map[string]wire.Placement{},
			Routes:         map[string]wire.Route{},
		},
		owners:   map[declaration]string{},
		subtrees: slices.Clone(subtrees),
		defaults: map[string]wire.Defaults{},
	}
	slices.SortFunc(r.subtrees, func(a, b wire.Subtree) int { return cmp.Compare(a.Path, b.Path) })
	for _, subtree := range r.subtrees {
		r.declareAll(subtree)
	}
	for _, subtree := range r.subtrees {
		r.checkReferences(subtree)
	}
	r.checkCapacity()

	return r.snapshot, r.problems
}

// declaration identifies what must be unique in the hierarchy.
type declaration struct {
	kind string
	name string
}

// Kinds of declarations. Models and adapters share one, because callers put
// either into the model field.
const (
	_kindSubtree       = "subtree"
	_kindWorkspace     = "workspace"
	_kindKey           = "key"
	_kindHash          = "key hash"
	_kindModel         = "model or adapter"
	_kindBackendServer = "backend server"
	_kindAddress       = "address"
	_kindService       = "service"
	_kindPlacement     = "placement"
	_kindRoute         = "route"
)

// resolver holds one run of Resolve.
type resolver struct {
	snapshot *Snapshot
	subtrees []wire.Subtree
	defaults map[string]wire.Defaults
	owners   map[declaration]string
	problems Problems
}

func (r *resolver) report(subtree, path, format string, args ...any) {
	r.problems = append(r.problems, newProblem(subtree, path, fmt.Sprintf(format, args...)))
}

// declare notes that a subtree declares something, and reports whether it is
// the first to do so.
func (r *resolver) declare(subtree, path, kind, name string) bool {
	key := declaration{
		kind: kind,
		name: name,
	}
	if owner, ok := r.owners[key]; ok {
		r.report(subtree, path, "%s %q is already declared in %s", kind, name, owner)

		return false
	}
	r.owners[key] = subtree

	return true
}

func (r *resolver) declareAll(s wire.Subtree) {
	if !r.declare(s.Path, "/Path", _kindSubtree, s.Path) {
		return
	}
	r.defaults[s.Path] = s.Defaults
	for i, w := range s.Workspaces {
		if r.declare(s.Path, at("Workspaces", i, "Name"), _kindWorkspace, w.Name) {
			r.snapshot.Workspaces[w.Name] = r.inherit(s.Path, at("Workspaces", i), w)
		}
	}
	for i, k := range s.Keys {
		named := r.declare(s.Path, at("Keys", i, "Name"), _kindKey, k.Name)
		if r.declare(s.Path, at("Keys", i, "Hash"), _kindHash, k.Hash) && named {
			r.snapshot.Keys[k.Hash] = k
		}
	}
	for i, m := range s.Models {
		if r.declare(s.Path, at("Models", i, "Name"), _kindModel, m.Name) {
			r.snapshot.Models[m.Name] = m
		}
	}
	for i, a := range s.Adapters {
		if r.declare(s.Path, at("Adapters", i, "Name"), _kindModel, a.Name) {
			r.snapshot.Adapters[a.Name] = a
		}
	}
	for i, b := range s.BackendServers {
		r.declareBackendServer(s.Path, at("BackendServers", i), b)
	}
	for i, p := range s.Placements {
		if r.declare(s.Path, at("Placements", i, "Model"), _kindPlacement, p.Model) {
			r.snapshot.Placements[p.Model] = p
		}
	}
	for i, route := range s.Routes {
		if r.declare(s.Path, at("Routes", i, "Path"), _kindRoute, route.Path) {
			r.snapshot.Routes[route.Path] = route
		}
	}
}

func (r *resolver) declareBackendServer(subtree, path string, b wire.BackendServer) {
	named := r.declare(subtree, path+"/Name", _kindBackendServer, b.Name)
	r.declare(subtree, path+"/Address", _kindAddress, b.Address)
	if !named {
		return
	}
	r.snapshot.BackendServers[b.Name] = b
	engine := b.Kind == wire.BackendServerKindEngine
	switch {
	case engine && b.Service != "":
		r.report(subtree, path+"/Service", "an engine serves no plain service")
	case engine && len(b.Accelerators) == 0:
		r.report(subtree, path+"/Accelerators", "an engine needs an accelerator")
	case !engine && b.Service == "":
		r.report(subtree, path+"/Service", "a plain service must be named")
	case !engine && len(b.Accelerators) > 0:
		r.report(subtree, path+"/Accelerators", "a plain service has no accelerators")
	}
	names := map[string]bool{}
	for i, a := range b.Accelerators {
		if names[a.Name] {
			r.report(subtree, path+at("Accelerators", i, "Name"), "accelerator %q is named twice", a.Name)
		}
		names[a.Name] = true
	}
	if b.Service == "" {
		return
	}
	r.snapshot.Services[b.Service] = append(r.snapshot.Services[b.Service], b.Name)
	slices.Sort(r.snapshot.Services[b.Service])
}

// inherit fills in what the workspace doesn't state. Subtrees are declared
// in the order of their paths, so the ancestors' defaults are known.
func (r *resolver) inherit(subtree, path string, w wire.Workspace) wire.Workspace {
	for p, more := subtree, true; more; p, more = parent(p) {
		d := r.defaults[p]
		w.RateTokensPerSecond = cmp.Or(w.RateTokensPerSecond, d.RateTokensPerSecond)
		w.BurstTokens = cmp.Or(w.BurstTokens, d.BurstTokens)
		w.Priority = cmp.Or(w.Priority, d.Priority)
		w.Weight = cmp.Or(w.Weight, d.Weight)
	}
	if w.RateTokensPerSecond == 0 {
		r.report(subtree, path+"/RateTokensPerSecond", "no rate is stated here or in the defaults of the parents")
	}
	w.BurstTokens = cmp.Or(w.BurstTokens, w.RateTokensPerSecond)
	w.Priority = cmp.Or(w.Priority, wire.PriorityLive)
	w.Weight = cmp.Or(w.Weight, 1)

	return w
}

// parent is the path one step up, and whether there is one.
func parent(path string) (string, bool) {
	if path == "/" {
		return "", false
	}
	i := strings.LastIndexByte(path, '/')
	if i <= 0 {
		return "/", true
	}

	return path[:i], true
}

// isAncestor reports whether ancestor is path or above it.
func isAncestor(ancestor, path string) bool {
	return ancestor == "/" || ancestor == path || strings.HasPrefix(path, ancestor+"/")
}

// refer checks that what a subtree names is declared by itself or above it.
func (r *resolver) refer(subtree, path, kind, name string) bool {
	owner, ok := r.owners[declaration{
		kind: kind,
		name: name,
	}]
	if !ok {
		r.report(subtree, path, "there is no %s %q", kind, name)

		return false
	}
	if !isAncestor(owner, subtree) {
		r.report(subtree, path, "%s %q belongs to %s, which is not above %s", kind, name, owner, subtree)

		return false
	}

	return true
}

func (r *resolver) checkReferences(s wire.Subtree) {
	for i, w := range s.Workspaces {
		for j, model := range w.Models {
			r.refer(s.Path, at("Workspaces", i, "Models", j), _kindModel, model)
		}
	}
	for i, k := range s.Keys {
		r.refer(s.Path, at("Keys", i, "Workspace"), _kindWorkspace, k.Workspace)
	}
	for i, a := range s.Adapters {
		r.checkModel(s.Path, at("Adapters", i, "Model"), a.Model)
	}
	for i, p := range s.Placements {
		r.checkPlacement(s.Path, at("Placements", i), p)
	}
	for i, route := range s.Routes {
		r.checkRoute(s.Path, at("Routes", i), route)
	}
}

// checkModel is refer for a place where an adapter won't do.
func (r *resolver) checkModel(subtree, path, model string) {
	if !r.refer(subtree, path, _kindModel, model) {
		return
	}
	if _, ok := r.snapshot.Models[model]; !ok {
		r.report(subtree, path, "%q is an adapter and not a model", model)
	}
}

func (r *resolver) checkPlacement(subtree, path string, p wire.Placement) {
	r.checkModel(subtree, path+"/Model", p.Model)
	if m, ok := r.snapshot.Models[p.Model]; ok && p.MaxCopies > 0 && p.MaxCopies < m.MinCopies {
		r.report(subtree, path+"/MaxCopies", "%d is under the model's MinCopies %d", p.MaxCopies, m.MinCopies)
	}
	for i, name := range p.BackendServers {
		place := path + at("BackendServers", i)
		if !r.refer(subtree, place, _kindBackendServer, name) {
			continue
		}
		if r.snapshot.BackendServers[name].Kind != wire.BackendServerKindEngine {
			r.report(subtree, place, "backend server %q is no engine", name)
		}
	}
}

func (r *resolver) checkRoute(subtree, path string, route wire.Route) {
	if route.Open && len(route.Workspaces) > 0 {
		r.report(subtree, path+"/Workspaces", "an open route can't be kept to workspaces")
	}
	if route.Open && route.NonIdempotent {
		// Records of attempts belong to a workspace; callers without a key have
		// none, and would get each other's saved answers.
		r.report(subtree, path+"/NonIdempotent", "an open route must be idempotent")
	}
	for i, w := range route.Workspaces {
		r.refer(subtree, path+at("Workspaces", i), _kindWorkspace, w)
	}
	servers := r.snapshot.Services[route.Service]
	visible := slices.ContainsFunc(servers, func(server string) bool {
		owner := r.owners[declaration{
			kind: _kindBackendServer,
			name: server,
		}]

		return isAncestor(owner, subtree)
	})
	if !visible {
		r.report(subtree, path+"/Service", "no backend server of service %q is declared here or above", route.Service)
	}
}

// at joins the parts of a JSON Pointer.
func at(parts ...any) string {
	var b strings.Builder
	for _, part := range parts {
		fmt.Fprintf(&b, "/%v", part)
	}

	return b.String()
}
