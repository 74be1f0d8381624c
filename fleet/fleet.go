// Package fleet brings up a whole system in one process on loopback: a
// stand-in platform, stand-in backend servers for all that a hierarchy
// declares, and instances. The demo and the load tool run on it.
//
// Its tests run the same parts as separate processes, with links that can be
// cut, and kill, freeze and stop them while callers send requests.
package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/rotisserie/eris"
	"github.com/sourcegraph/conc"

	"papayastair.dev/papayastair/configuration"
	"papayastair.dev/papayastair/instance"
	"papayastair.dev/papayastair/membership"
	"papayastair.dev/papayastair/objectstore"
	"papayastair.dev/papayastair/standin"
	"papayastair.dev/papayastair/wire"
)

const (
	_anyPort    = "127.0.0.1:0"
	_pollPeriod = 50 * time.Millisecond
	_maxBody    = 1 << 20
	_maxStreams = 4096
)

// Config describes a fleet.
type Config struct {
	// Subtrees are the hierarchy; the addresses of backend servers are
	// replaced by free ones.
	Subtrees []wire.Subtree
	// Region and FailureDomains are where the instances run, in turn.
	Region         string
	FailureDomains []string
	// Instances is the number of instances.
	Instances int
	// Engine completes the configuration of a stand-in engine; nil leaves
	// the defaults.
	Engine func(cfg *standin.EngineConfig)
	// LogFile takes the events of all instances; empty discards them.
	LogFile string
	// LocateTTL is how long callers keep an address.
	LocateTTL time.Duration
}

// Fleet is a running system. Use New.
type Fleet struct {
	// Platform is the stand-in of the object API.
	Platform *standin.Platform
	// Engines and Services are the stand-in backend servers by name.
	Engines  map[string]*standin.Engine
	Services map[string]*standin.Service
	// Instances are in the order of their start.
	Instances []*instance.Instance
	// Subtrees are the hierarchy as it was applied.
	Subtrees []wire.Subtree

	cfg     Config
	applier *configuration.Applier
}

// New starts a fleet and applies its hierarchy. On an error what was started
// is closed.
func New(cfg Config) (*Fleet, error) {
	store, err := standin.NewPlatform(standin.PlatformConfig{Address: _anyPort})
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		Platform: store,
		Engines:  map[string]*standin.Engine{},
		Services: map[string]*standin.Service{},
		cfg:      cfg,
		applier: &configuration.Applier{
			Store:    store.Store.Platform(),
			WriterID: "fleet",
			Sleep:    func(ctx context.Context, d time.Duration) { _ = objectstore.Sleep(ctx, d) },
		},
	}
	if err := f.start(); err != nil {
		f.Close()

		return nil, err
	}

	return f, nil
}

// Apply brings subtrees into force.
func (f *Fleet) Apply(ctx context.Context, subtrees ...wire.Subtree) (configuration.Result, error) {
	plan, err := f.applier.Plan(ctx, configuration.Change{Subtrees: subtrees})
	if err != nil {
		return configuration.Result{}, err
	}

	return f.applier.Commit(ctx, plan)
}

// Addresses are the callers' addresses of the instances.
func (f *Fleet) Addresses() []string {
	addresses := make([]string, 0, len(f.Instances))
	for _, in := range f.Instances {
		addresses = append(addresses, in.CallerAddress())
	}

	return addresses
}

// WaitReady waits until all instances have the version in force and know a
// serving copy of each model, or ctx ends.
func (f *Fleet) WaitReady(ctx context.Context, version int) error {
	models := 0
	for _, subtree := range f.Subtrees {
		models += len(subtree.Models)
	}
	for {
		lacking := f.lacking(version, models)
		if lacking == "" {
			return nil
		}
		if objectstore.Sleep(ctx, _pollPeriod) != nil {
			return eris.Errorf("fleet: not ready: %s", lacking)
		}
	}
}

// Close stops everything and waits for it.
func (f *Fleet) Close() {
	var wg conc.WaitGroup
	for _, in := range f.Instances {
		wg.Go(in.Close)
	}
	wg.Wait()
	for _, e := range f.Engines {
		e.Close()
	}
	for _, s := range f.Services {
		s.Close()
	}
	f.Platform.Close()
}

// lacking says what WaitReady still waits for, or nothing.
func (f *Fleet) lacking(version, models int) string {
	for _, in := range f.Instances {
		status := in.Status()
		if status.Configuration.Version < version {
			return fmt.Sprintf("%s has version %d", status.Instance, status.Configuration.Version)
		}
		if serving := ServingModels(status); serving < models {
			return fmt.Sprintf("%s knows serving copies of %d of %d models", status.Instance, serving, models)
		}
	}

	return ""
}

// ServingModels is the number of models that an instance knows a serving copy
// of.
func ServingModels(status instance.Status) int {
	serving := 0
	for _, model := range status.Placement {
		for _, c := range model.Copies {
			if c.State == wire.CopyStateServing {
				serving++

				break
			}
		}
	}

	return serving
}

func (f *Fleet) start() error {
	for _, subtree := range f.cfg.Subtrees {
		for i := range subtree.BackendServers {
			if err := f.startBackendServer(&subtree.BackendServers[i]); err != nil {
				return err
			}
		}
		f.Subtrees = append(f.Subtrees, subtree)
	}
	if _, err := f.Apply(context.Background(), f.Subtrees...); err != nil {
		return err
	}
	for n := range f.cfg.Instances {
		if err := f.startInstance(n); err != nil {
			return err
		}
	}

	return nil
}

func (f *Fleet) startBackendServer(server *wire.BackendServer) error {
	role := wire.MemberRoleService
	if server.Kind == wire.BackendServerKindEngine {
		role = wire.MemberRoleEngine
		cfg := standin.EngineConfig{
			Server:  *server,
			Address: _anyPort,
		}
		if f.cfg.Engine != nil {
			f.cfg.Engine(&cfg)
		}
		e, err := standin.NewEngine(cfg)
		if err != nil {
			return err
		}
		f.Engines[server.Name] = e
		server.Address = e.Address()
	} else {
		s, err := standin.NewService(standin.ServiceConfig{
			Name:    server.Name,
			Address: _anyPort,
		})
		if err != nil {
			return err
		}
		f.Services[server.Name] = s
		server.Address = s.Address
	}

	return f.list(wire.Member{
		Name:          server.Name,
		Role:          role,
		State:         wire.MemberStateLive,
		Region:        f.cfg.Region,
		FailureDomain: server.FailureDomain,
		Size:          1,
		CallerAddress: server.Address,
	})
}

func (f *Fleet) startInstance(n int) error {
	log := f.cfg.LogFile
	if log == "" {
		log = "/dev/null"
	}
	in, err := instance.New(wire.ProcessSettings{
		Name:             fmt.Sprintf("instance-%d", n+1),
		Region:           f.cfg.Region,
		FailureDomain:    f.cfg.FailureDomains[n%len(f.cfg.FailureDomains)],
		Size:             1,
		CallerAddress:    _anyPort,
		PeerAddress:      _anyPort,
		OperatorAddress:  _anyPort,
		PlatformAddress:  f.Platform.Address,
		BodyLimitBytes:   _maxBody,
		MaxStreams:       _maxStreams,
		LocateTTLSeconds: max(int(f.cfg.LocateTTL/time.Second), 1),
		LogFile:          log,
		LogLevel:         "info",
	})
	if err != nil {
		return err
	}
	f.Instances = append(f.Instances, in)

	return f.list(in.Self())
}

// list puts a member into the platform's list.
func (f *Fleet) list(member wire.Member) error {
	value, err := json.Marshal(member)
	if err != nil {
		return err
	}
	store := f.Platform.Store.Platform()
	_, err = store.Put(context.Background(), membership.KindMember, member.Name, string(value), 0)

	return err
}
