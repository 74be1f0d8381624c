package fleet_test

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rcrowley/go-metrics"

	"papayastair.dev/papayastair/demo"
	"papayastair.dev/papayastair/fleet"
	"papayastair.dev/papayastair/instance"
	"papayastair.dev/papayastair/platform"
	"papayastair.dev/papayastair/settings"
	"papayastair.dev/papayastair/standin"
	"papayastair.dev/papayastair/wire"
)

const (
	_keyDesk   = "demo-key-desk-1"
	_keyDesk2  = "demo-key-desk-2"
	_keyNight  = "demo-key-wording-1"
	_keyGuests = "demo-key-guests-1"
)

// system is a whole system of separate processes.
type system struct {
	platform  *process
	links     []*link
	instances []*process
	engines   map[string]*process
	services  map[string]*process
	subtrees  []wire.Subtree
	version   int
}

// startSystem starts the demo's hierarchy with n instances, and waits until
// all models are served.
func startSystem(t *testing.T, n int) *system {
	t.Helper()
	subtrees, err := demo.Hierarchy()
	if err != nil {
		t.Fatal(err)
	}
	s := &system{
		platform: start(t, "platform", "standin", "platform"),
		engines:  map[string]*process{},
		services: map[string]*process{},
		subtrees: subtrees,
	}
	for _, subtree := range subtrees {
		file := writeJSON(t, "subtree.json", json.RawMessage(settings.Encode(subtree)))
		for i := range subtree.BackendServers {
			s.startBackendServer(t, &subtree.BackendServers[i], file)
		}
	}
	// Rates that the callers of a test don't reach by themselves, and one
	// priority, since batch work may wait for long.
	for i := range s.subtrees {
		for w := range s.subtrees[i].Workspaces {
			s.subtrees[i].Workspaces[w].Priority = wire.PriorityLive
			s.subtrees[i].Workspaces[w].RateTokensPerSecond = 1000000
			s.subtrees[i].Workspaces[w].BurstTokens = 10000000
		}
	}
	s.apply(t, s.subtrees...)
	for i := range n {
		s.startInstance(t, i)
	}
	s.waitReady(t)

	return s
}

func (s *system) startBackendServer(t *testing.T, server *wire.BackendServer, file string) {
	t.Helper()
	role := wire.MemberRoleService
	if server.Kind == wire.BackendServerKindEngine {
		role = wire.MemberRoleEngine
		p := start(t, server.Name, "standin", "engine", "--name", server.Name, "--subtree", file,
			"--address", "127.0.0.1:0", "--load-time", "300ms")
		s.engines[server.Name] = p
		server.Address = p.address.CallerAddress
		for _, key := range []string{_keyDesk, _keyDesk2, _keyNight, _keyGuests} {
			put(t, "http://"+server.Address+"/secrets", key)
		}
	} else {
		p := start(t, server.Name, "standin", "service", "--name", server.Name)
		s.services[server.Name] = p
		server.Address = p.address.CallerAddress
	}
	s.list(t, wire.Member{
		Name:          server.Name,
		Role:          role,
		State:         wire.MemberStateLive,
		Region:        "lk-west",
		FailureDomain: server.FailureDomain,
		Size:          1,
		CallerAddress: server.Address,
	})
}

func (s *system) startInstance(t *testing.T, i int) {
	t.Helper()
	l := newLink(t, s.platform.address.CallerAddress)
	cfg := wire.ProcessSettings{
		Name:             fmt.Sprintf("instance-%d", i+1),
		Region:           "lk-west",
		FailureDomain:    "lk-west-" + string("abc"[i%3]),
		Size:             1,
		CallerAddress:    "127.0.0.1:0",
		PeerAddress:      "127.0.0.1:0",
		OperatorAddress:  "127.0.0.1:0",
		PlatformAddress:  l.address,
		BodyLimitBytes:   1 << 20,
		MaxStreams:       4096,
		LocateTTLSeconds: 1,
		PeerAddresses:    []string{},
		LogFile:          logFile(t, i),
		LogLevel:         "info",
	}
	p := start(t, cfg.Name, "serve", writeJSON(t, "settings.json", cfg))
	s.links = append(s.links, l)
	s.instances = append(s.instances, p)
	s.list(t, wire.Member{
		Name:          cfg.Name,
		Role:          wire.MemberRoleEntry,
		State:         wire.MemberStateLive,
		Region:        cfg.Region,
		FailureDomain: cfg.FailureDomain,
		Size:          1,
		CallerAddress: p.address.CallerAddress,
		PeerAddress:   p.address.PeerAddress,
	})
}

// list puts a member into the platform's list.
func (s *system) list(t *testing.T, member wire.Member) {
	t.Helper()
	client := platform.NewClient(s.platform.address.CallerAddress, metrics.NewRegistry())
	defer client.Close()
	if _, err := client.Store("Test").Put(t.Context(), "Member", member.Name, encode(t, member), 0); err != nil {
		t.Fatal(err)
	}
}

// apply runs the command, and keeps the version that it tells.
func (s *system) apply(t *testing.T, subtrees ...wire.Subtree) {
	t.Helper()
	args := make([]string, 0, 5+len(subtrees))
	args = append(args, "--output", "json", "apply", "--platform", s.platform.address.CallerAddress)
	for _, subtree := range subtrees {
		args = append(args, writeJSON(t, "subtree.json", json.RawMessage(settings.Encode(subtree))))
	}
	cmd := exec.Command(_binary, args...)
	out, err := cmd.Output()
	if err != nil {
		t.Fatalf("apply: %v\n%s", err, out)
	}
	var result struct{ Version int }
	if err := json.Unmarshal(out, &result); err != nil {
		t.Fatal(err)
	}
	s.version = result.Version
}

// waitReady waits until every instance has the version in force and knows a
// serving copy of each model.
func (s *system) waitReady(t *testing.T) {
	t.Helper()
	for _, p := range s.instances {
		eventually(t, p.name+" is ready", func() bool {
			status := s.status(t, p)

			return status.Configuration.Version >= s.version && fleet.ServingModels(status) >= s.models()
		})
	}
}

func (s *system) models() int {
	models := 0
	for _, subtree := range s.subtrees {
		models += len(subtree.Models)
	}

	return models
}

func (s *system) status(t *testing.T, p *process) instance.Status {
	t.Helper()
	var status instance.Status
	getJSON(t, "http://"+p.address.OperatorAddress+"/status", &status)

	return status
}

// addresses are the callers' addresses, the n-th first.
func (s *system) addresses(n int) []string {
	addresses := make([]string, 0, len(s.instances))
	for i := range s.instances {
		addresses = append(addresses, s.instances[(n+i)%len(s.instances)].address.CallerAddress)
	}

	return addresses
}

// account is what an engine has seen.
func (s *system) account(t *testing.T, engine *process) standin.AccountFigures {
	t.Helper()
	var figures standin.AccountFigures
	getJSON(t, "http://"+engine.address.CallerAddress+"/account", &figures)

	return figures
}

func encode(t *testing.T, value any) string {
	t.Helper()
	body, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}

	return string(body)
}

// logFile is where an instance's log goes: into the directory that
// PAPAYASTAIR_TEST_LOGS names, or one that goes with the test.
func logFile(t *testing.T, i int) string {
	t.Helper()
	dir := os.Getenv("PAPAYASTAIR_TEST_LOGS")
	if dir == "" {
		dir = t.TempDir()
	}

	return filepath.Join(dir, fmt.Sprintf("%s-%d.log", t.Name(), i+1))
}
