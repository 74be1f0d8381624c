package routing

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"papayastair.dev/papayastair/event"
	"papayastair.dev/papayastair/timer"
	"papayastair.dev/papayastair/wire"
)

// Config tunes a Table. Zero values take the defaults that their comments name.
type Config struct {
	// Instance is the name of this instance.
	Instance string
	// Clock gives the time.
	Clock *timer.Service
	// Log gets the decisions; nil for none.
	Log *event.Log
	// Tell gets what the table found out about a backend server, to be spread
	// to the other instances; nil for none. It is called without locks held.
	Tell func(finding wire.ServerFinding)
	// Seed fixes the random choices.
	Seed uint64
	// MaxGap is the longest time between tokens that a batch may grow to; 0
	// means 70 ms.
	MaxGap time.Duration
	// DefaultShare is the instance's share of a backend server until SetShare
	// is called; 0 means 1.
	DefaultShare float64
	// ReportLag is how old a load report is when it arrives; 0 means 250 ms.
	ReportLag time.Duration
	// BlockTokens is the length of a block of the prefix cache; 0 means 64.
	BlockTokens int
	// BelievedPrefixes bounds the prefixes remembered for each backend server;
	// 0 means 1024.
	BelievedPrefixes int
	// AdapterLoad is the time that an adapter takes to load; 0 means 8 ms.
	AdapterLoad time.Duration
	// AdapterLoads is how many adapter loads may be in flight before they slow
	// down; 0 means 64.
	AdapterLoads int
	// CutOff makes the choice random among the candidates whose cost is at most
	// CutOff times the best; 0 means 1.05.
	CutOff float64
	// Sample is how many random candidates are weighed, at most 16; 0 means 16.
	Sample int
	// DomainPenalty is the cost of leaving the request's failure domain; 0
	// means 3 ms.
	DomainPenalty time.Duration
	// MaxEjected is the fraction of backend servers that errors and slowness
	// may eject; 0 means 0.3.
	MaxEjected float64
	// RetryRatio is the fraction of requests that may be retries; 0 means 0.1.
	RetryRatio float64
	// IgnoreEjectionLimit removes the limit MaxEjected, for tests.
	IgnoreEjectionLimit bool
	// IgnoreShare lets the instance use the whole of each backend server, for
	// tests and experiments.
	IgnoreShare bool
}

// Table chooses backend servers. It is safe for concurrent use. Use New.
type Table struct {
	cfg Config

	mu           sync.Mutex
	random       *rand.Rand
	servers      map[string]*server
	byModel      map[modelKey][]*server
	adapterLoads int
	retries      retryBudget
	// ejected counts the servers that errors or slowness ejected.
	ejected int
	// told are the findings to tell when mu is released.
	told []wire.ServerFinding
}

// New returns a table without backend servers.
func New(cfg Config) *Table {
	cfg = withDefaults(cfg)

	return &Table{
		cfg:     cfg,
		random:  rand.New(rand.NewPCG(cfg.Seed, 1)),
		servers: map[string]*server{},
		byModel: map[modelKey][]*server{},
		retries: retryBudget{
			ratio:  cfg.RetryRatio,
			tokens: _retryReserve,
		},
	}
}

// SetServers replaces the backend servers by those of the settings. One that
// stays keeps what is known of it.
func (t *Table) SetServers(settings []wire.BackendServer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	kept := make(map[string]*server, len(settings))
	for _, setting := range settings {
		s := t.servers[setting.Name]
		if s == nil {
			s = newServer(setting, t.cfg)
		}
		s.setSettings(setting)
		kept[setting.Name] = s
	}
	for name, s := range t.servers {
		if kept[name] != nil {
			continue
		}
		s.gone = true
		if s.health.ejected && !s.health.hard {
			t.ejected--
		}
	}
	t.servers = kept
	t.rebuildIndex()
}

// Observe takes a load report. Reports that come out of order are dropped.
func (t *Table) Observe(report wire.LoadReport) {
	now := t.cfg.Clock.Now()
	t.mu.Lock()
	defer t.unlockAndTell()
	s := t.servers[report.Name]
	if s == nil || !s.isNewReport(report, now) {
		return
	}
	residentsChanged := !slices.Equal(s.report.Residents, report.Residents)
	s.setReport(report, now, t.cfg.ReportLag)
	t.setLeaving(s, report.Leaving, now)
	if !residentsChanged {
		return
	}
	before := s.models
	s.setResidents(report.Residents)
	if !maps.Equal(before, s.models) {
		t.moveInIndex(s, before)
	}
}

// ObserveCacheEvents takes cache events of one backend server. They are
// hints: after a gap nothing older is believed any more.
func (t *Table) ObserveCacheEvents(name string, events []wire.CacheEvent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.servers[name]; s != nil {
		s.prefixes.observe(events)
	}
}

// ObserveFinding takes another instance's finding.
func (t *Table) ObserveFinding(finding wire.ServerFinding) {
	now := t.cfg.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.servers[finding.Server]
	if s == nil {
		return
	}
	if finding.Kind == wire.ServerFindingKindLeaving {
		s.leaving = true
		s.leavingAt = now

		return
	}
	if !s.health.ejected && now.Sub(s.answeredAt) > _answerLife {
		t.eject(s, now, ReasonPeer)
	}
}

// SetShare sets the share of a backend server's places that this instance may
// fill while the server is full, between 0 and 1. The shares of all instances
// should add up to 1.
func (t *Table) SetShare(name string, share float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.servers[name]; s != nil {
		s.share = share
	}
}

// Serving returns the models that each backend server serves, for the
// computation of shares and for waking the queue.
func (t *Table) Serving() map[string][]string {
	t.mu.Lock()
	defer t.mu.Unlock()
	serving := make(map[string][]string, len(t.servers))
	for name, s := range t.servers {
		serving[name] = s.modelNames
	}

	return serving
}

// Models returns the models that one backend server serves.
func (t *Table) Models(name string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.servers[name]; s != nil {
		return s.modelNames
	}

	return nil
}

// rebuildIndex lists the candidates of each model and version, and of each
// model in any version.
func (t *Table) rebuildIndex() {
	names := make([]string, 0, len(t.servers))
	for name := range t.servers {
		names = append(names, name)
	}
	slices.Sort(names)
	t.byModel = make(map[modelKey][]*server, len(t.byModel))
	for _, name := range names {
		s := t.servers[name]
		for key := range s.models {
			t.byModel[key] = append(t.byModel[key], s)
		}
	}
}

// moveInIndex lists one server under its models instead of those before. The
// lists are replaced, not changed, and stay in the order of names.
func (t *Table) moveInIndex(s *server, before map[modelKey]bool) {
	for key := range before {
		if !s.models[key] {
			t.byModel[key] = slices.DeleteFunc(slices.Clone(t.byModel[key]), func(other *server) bool { return other == s })
		}
	}
	for key := range s.models {
		if before[key] {
			continue
		}
		at, _ := slices.BinarySearchFunc(t.byModel[key], s.name, func(other *server, name string) int {
			return strings.Compare(other.name, name)
		})
		t.byModel[key] = slices.Insert(slices.Clone(t.byModel[key]), at, s)
	}
}

func (t *Table) setLeaving(s *server, leaving bool, now time.Time) {
	if leaving && !s.leaving {
		t.cfg.Log.Write(event.BackendServerLeaving, zap.String("BackendServer", s.name))
		t.tell(s, wire.ServerFindingKindLeaving)
	}
	// A report that lags behind a peer's finding doesn't take it back.
	if !leaving && s.leaving && now.Sub(s.leavingAt) < _leavingHold {
		return
	}
	if leaving {
		s.leavingAt = now
	}
	s.leaving = leaving
}

func (t *Table) tell(s *server, kind wire.ServerFindingKind) {
	if t.cfg.Tell == nil {
		return
	}
	t.told = append(t.told, wire.ServerFinding{
		Instance:     t.cfg.Instance,
		Server:       s.name,
		Kind:         kind,
		Fingerprints: nil,
	})
}

func (t *Table) unlockAndTell() {
	told := t.told
	t.told = nil
	t.mu.Unlock()
	for _, finding := range told {
		t.cfg.Tell(finding)
	}
}

func withDefaults(cfg Config) Config {
	setDefault(&cfg.MaxGap, 70*time.Millisecond)
	setDefault(&cfg.DefaultShare, 1)
	setDefault(&cfg.ReportLag, 250*time.Millisecond)
	setDefault(&cfg.BlockTokens, 64)
	setDefault(&cfg.BelievedPrefixes, 1024)
	setDefault(&cfg.AdapterLoad, 8*time.Millisecond)
	setDefault(&cfg.AdapterLoads, 64)
	setDefault(&cfg.CutOff, 1.05)
	setDefault(&cfg.Sample, 16)
	setDefault(&cfg.DomainPenalty, 3*time.Millisecond)
	setDefault(&cfg.MaxEjected, 0.3)
	setDefault(&cfg.RetryRatio, 0.1)

	return cfg
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
