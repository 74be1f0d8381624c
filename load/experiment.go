package load

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"

	"github.com/rotisserie/eris"

	"papayastair.dev/papayastair/wire"
)

const (
	_subtreePath            = "/"
	_version                = "v1"
	_routeTimeoutMillis     = 10_000
	_placeholderPort        = 20_000
	_microsecondsASecond    = 1_000_000
	_keyPrefix              = "load-key-"
	_serviceTokensPerSecond = 1000
)

// ReadExperiment reads an experiment from a JSON file.
func ReadExperiment(file string) (*wire.Experiment, error) {
	content, err := os.ReadFile(file)
	if err != nil {
		return nil, eris.Wrapf(err, "load: read experiment %s", file)
	}
	decoder := json.NewDecoder(bytes.NewReader(content))
	decoder.DisallowUnknownFields()
	var e wire.Experiment
	if err := decoder.Decode(&e); err != nil {
		return nil, eris.Wrapf(err, "load: parse experiment %s", file)
	}

	return &e, nil
}

// Key is the key of a workspace's callers.
func Key(workspace string) string {
	return _keyPrefix + workspace
}

// Subtree is the hierarchy of an experiment. The addresses of its backend
// servers are placeholders.
func Subtree(e *wire.Experiment) wire.Subtree {
	s := wire.Subtree{Path: _subtreePath}
	for i := range e.Engines {
		addEngines(&s, e, &e.Engines[i])
	}
	for i := range e.Services {
		addServices(&s, e, &e.Services[i])
	}
	for i := range e.Models {
		addModel(&s, &e.Models[i])
	}
	for _, r := range e.Routes {
		s.Routes = append(s.Routes, wire.Route{
			Path:                r.Path,
			Service:             r.Service,
			TargetPath:          r.Path,
			NonIdempotent:       r.NonIdempotent,
			CostTokens:          r.CostTokens,
			TimeoutMilliseconds: _routeTimeoutMillis,
		})
	}
	for i := range e.Workspaces {
		addWorkspace(&s, e, &e.Workspaces[i])
	}

	return s
}

// adapterName is the n-th adapter of a model, from 0.
func adapterName(model string, n int) string {
	return fmt.Sprintf("%s-a%d", model, n+1)
}

func addEngines(s *wire.Subtree, e *wire.Experiment, engine *wire.ExperimentEngine) {
	step := engine.StepBaseMicroseconds + engine.Slots*engine.StepPerRequestMicroseconds
	for n := range engine.Count {
		server := newServer(s, e, engine.Name, n)
		server.Kind = wire.BackendServerKindEngine
		server.ChecksFencing = engine.ChecksFencing
		server.Slots = engine.Slots
		server.TokensPerSecond = engine.Slots * _microsecondsASecond / step
		server.Accelerators = []wire.Accelerator{{
			Name:        "accelerator-1",
			MemoryBytes: engine.MemoryBytes,
		}}
		s.BackendServers = append(s.BackendServers, server)
	}
}

func addServices(s *wire.Subtree, e *wire.Experiment, service *wire.ExperimentService) {
	for n := range service.Count {
		server := newServer(s, e, service.Name, n)
		server.Kind = wire.BackendServerKindService
		server.Service = service.Name
		server.Slots = service.Slots
		server.TokensPerSecond = _serviceTokensPerSecond
		s.BackendServers = append(s.BackendServers, server)
	}
}

// newServer names the n-th backend server of a kind.
func newServer(s *wire.Subtree, e *wire.Experiment, name string, n int) wire.BackendServer {
	return wire.BackendServer{
		Name:          fmt.Sprintf("%s-%d", name, n+1),
		Address:       fmt.Sprintf("127.0.0.1:%d", _placeholderPort+len(s.BackendServers)),
		FailureDomain: e.FailureDomains[len(s.BackendServers)%len(e.FailureDomains)],
	}
}

func addModel(s *wire.Subtree, m *wire.ExperimentModel) {
	s.Models = append(s.Models, wire.Model{
		Name:        m.Name,
		MemoryBytes: m.MemoryBytes,
		MinCopies:   m.MinCopies,
		Priority:    wire.Priority(m.Priority),
		Version:     _version,
	})
	for n := range m.Adapters {
		s.Adapters = append(s.Adapters, wire.Adapter{
			Name:        adapterName(m.Name, n),
			Model:       m.Name,
			MemoryBytes: m.AdapterBytes,
			Version:     _version,
		})
	}
}

func addWorkspace(s *wire.Subtree, e *wire.Experiment, w *wire.ExperimentWorkspace) {
	workspace := wire.Workspace{
		Name:                w.Name,
		RateTokensPerSecond: w.RateTokensPerSecond,
		BurstTokens:         w.BurstTokens,
		Weight:              w.Weight,
		Priority:            wire.Priority(w.Priority),
	}
	for _, model := range w.Models {
		workspace.Models = append(workspace.Models, model)
		for n := range adaptersOf(e, model) {
			workspace.Models = append(workspace.Models, adapterName(model, n))
		}
	}
	s.Workspaces = append(s.Workspaces, workspace)
	hash := sha256.Sum256([]byte(Key(w.Name)))
	s.Keys = append(s.Keys, wire.Key{
		Name:      "load-" + w.Name,
		Workspace: w.Name,
		Hash:      hex.EncodeToString(hash[:]),
	})
}

// adaptersOf is how many adapters a model has.
func adaptersOf(e *wire.Experiment, model string) int {
	for i := range e.Models {
		if e.Models[i].Name == model {
			return e.Models[i].Adapters
		}
	}

	return 0
}
