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

// Config configures a Table. Zero values select the documented defaults.
type Config struct {
	// Instance is the name of this instance.
	Instance string
	// Clock gives the time.
	Clock *timer.Service
	// Log records the decisions; nil disables it.
	Log *event.Log
	// PublishFinding publishes the table's findings about backend servers to the other
	// instances; nil disables it. It is called without locks held.
	PublishFinding func(finding wire.ServerFinding)
	// Seed seeds the random choices.
	Seed uint64
	// MaxGap bounds the expected time between tokens, and thereby the batch
	// size; 0 means 70 ms.
	MaxGap time.Duration
	// DefaultShare is the instance's share of a backend server until SetShare
	// is called; 0 means 1.
	DefaultShare float64
	// ReportLag is the age of a load report on arrival; 0 means 250 ms.
	ReportLag time.Duration
	// BlockTokens is the number of tokens in a block of the prefix cache; 0
	// means 64.
	BlockTokens int
	// MaxTrackedPrefixes bounds the prefixes tracked for each backend server;
	// 0 means 1024.
	MaxTrackedPrefixes int
	// AdapterLoad is the time to load an adapter; 0 means 8 ms.
	AdapterLoad time.Duration
	// AdapterLoads is the number of adapter loads that can be in flight before
	// they slow down; 0 means 64.
	AdapterLoads int
	// CutOff is the cost relative to the lowest up to which candidates are
	// chosen from at random; 0 means 1.2.
	CutOff float64
	// Sample is the number of random candidates that are scored, at most 16; 0
	// means 16.
	Sample int
	// DomainPenalty is the cost of a server outside the request's failure
	// domain; 0 means 3 ms.
	DomainPenalty time.Duration
	// MaxEjected is the fraction of backend servers that may be ejected for
	// errors and slowness; 0 means 0.3.
	MaxEjected float64
	// RetryRatio is the fraction of requests that may be retries; 0 means 0.1.
	RetryRatio float64
	// IgnoreEjectionLimit disables MaxEjected, for tests.
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
	// ejected counts the servers ejected for errors or slowness.
	ejected int
	// pendingFindings are published when mu is released.
	pendingFindings []wire.ServerFinding
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
			tokens: _maxRetryBurst,
		},
	}
}

// SetServers replaces the backend servers. A server that stays keeps its
// state.
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
		s.removed = true
		if s.health.ejected && !s.health.connectionLost {
			t.ejected--
		}
	}
	t.servers = kept
	t.rebuildIndex()
}

// Observe applies a load report. Reports that arrive out of order are dropped.
func (t *Table) Observe(report wire.LoadReport) {
	now := t.cfg.Clock.Now()
	t.mu.Lock()
	defer t.unlockAndPublish()
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
	former := s.models
	s.setResidents(report.Residents)
	if !maps.Equal(former, s.models) {
		t.reindex(s, former)
	}
}

// ObserveCacheEvents applies cache events of one backend server. They are
// hints: a gap in their sequence discards all earlier ones.
func (t *Table) ObserveCacheEvents(name string, events []wire.CacheEvent) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.servers[name]; s != nil {
		s.prefixes.observe(events)
	}
}

// ObserveFinding applies a finding of another instance.
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
	if !s.health.ejected && now.Sub(s.lastAnswerAt) > _answerTTL {
		t.eject(s, now, ReasonPeer)
	}
}

// SetShare sets the fraction, between 0 and 1, of a backend server's capacity
// that this instance may fill while the server is full. The shares of all
// instances should add up to 1.
func (t *Table) SetShare(name string, share float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.servers[name]; s != nil {
		s.share = share
	}
}

// Serving returns the models that each backend server serves, which are used
// to compute shares and to wake the queue.
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

// rebuildIndex rebuilds the candidate lists for each version of a model and
// for each model in any version.
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

// reindex moves one server from the lists of its former models to those of its
// current ones. The lists are replaced, not modified, and stay sorted by name.
func (t *Table) reindex(s *server, former map[modelKey]bool) {
	for key := range former {
		if !s.models[key] {
			t.byModel[key] = slices.DeleteFunc(slices.Clone(t.byModel[key]), func(other *server) bool { return other == s })
		}
	}
	for key := range s.models {
		if former[key] {
			continue
		}
		index, _ := slices.BinarySearchFunc(t.byModel[key], s.name, func(other *server, name string) int {
			return strings.Compare(other.name, name)
		})
		t.byModel[key] = slices.Insert(slices.Clone(t.byModel[key]), index, s)
	}
}

func (t *Table) setLeaving(s *server, leaving bool, now time.Time) {
	if leaving && !s.leaving {
		t.cfg.Log.Write(event.BackendServerLeaving, zap.String("BackendServer", s.name))
		t.queueFinding(s, wire.ServerFindingKindLeaving)
	}
	// A delayed report doesn't override a more recent finding of a peer.
	if !leaving && s.leaving && now.Sub(s.leavingAt) < _leavingHoldDown {
		return
	}
	if leaving {
		s.leavingAt = now
	}
	s.leaving = leaving
}

func (t *Table) queueFinding(s *server, kind wire.ServerFindingKind) {
	if t.cfg.PublishFinding == nil {
		return
	}
	t.pendingFindings = append(t.pendingFindings, wire.ServerFinding{
		Instance:     t.cfg.Instance,
		Server:       s.name,
		Kind:         kind,
		Fingerprints: nil,
	})
}

func (t *Table) unlockAndPublish() {
	findings := t.pendingFindings
	t.pendingFindings = nil
	t.mu.Unlock()
	for _, finding := range findings {
		t.cfg.PublishFinding(finding)
	}
}

func withDefaults(cfg Config) Config {
	setDefault(&cfg.MaxGap, 70*time.Millisecond)
	setDefault(&cfg.DefaultShare, 1)
	setDefault(&cfg.ReportLag, 250*time.Millisecond)
	setDefault(&cfg.BlockTokens, 64)
	setDefault(&cfg.MaxTrackedPrefixes, 1024)
	setDefault(&cfg.AdapterLoad, 8*time.Millisecond)
	setDefault(&cfg.AdapterLoads, 64)
	setDefault(&cfg.CutOff, 1.2)
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
