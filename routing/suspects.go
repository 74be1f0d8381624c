package routing

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	rendezvous "github.com/dgryski/go-rendezvous"
	"go.uber.org/zap"

	"papayastair.dev/papayastair/event"
	"papayastair.dev/papayastair/timer"
	"papayastair.dev/papayastair/wire"
)

const (
	// _maxDeaths is the number of backend server deaths after which a request
	// is held.
	_maxDeaths = 2
	// _holdDuration is how long a request is held, and how long a suspect that
	// doesn't return is remembered.
	_holdDuration = 10 * time.Minute
	// _grantTTL is how long a run whose end isn't reported counts as running.
	_grantTTL = 5 * time.Minute
	// _recordTTL is how long the record of any other request is kept after a
	// run.
	_recordTTL = time.Minute
	// _deathDedupWindow is the time within which findings of several instances
	// count as one death of a server.
	_deathDedupWindow = 5 * time.Second
	// _retryInterval is the interval at which a waiting request retries.
	_retryInterval = 50 * time.Millisecond
)

// SuspectsConfig configures Suspects.
type SuspectsConfig struct {
	// Instance is the name of this instance.
	Instance string
	// Clock gives the time.
	Clock *timer.Service
	// Log records changes in the state of suspects; nil disables it.
	Log *event.Log
	// RequestGrant sends a request for a grant to another instance and returns its
	// answer. It may take a few tens of milliseconds at most.
	RequestGrant func(peer string, ask wire.SuspectAsk) (wire.SuspectAnswer, error)
	// SendFinding sends a finding to another instance and returns when it is
	// acknowledged.
	SendFinding func(peer string, finding wire.ServerFinding) error
	// SendEnd reports the end of a run to another instance and returns when it is
	// acknowledged.
	SendEnd func(peer string, end wire.RunEnd) error
	// Disabled permits every run at once, for tests.
	Disabled bool
}

// Suspects detects requests that crash the backend servers that run them.
//
// Each fingerprint has a home among the live instances, chosen by rendezvous
// hashing, which grants its runs. Until a request has completed once, it runs
// on one backend server at a time, whichever instance receives it. The death
// of a server makes the requests that were running there suspects. A suspect
// runs alone: one run in the fleet at a time, and one suspect on a server at a
// time. A second death holds the request; a complete answer clears it.
// Findings go to all instances before the failure is returned to the caller,
// so that no deaths are lost when the home changes.
//
// Suspects is safe for concurrent use. Use NewSuspects.
type Suspects struct {
	cfg SuspectsConfig

	mu      sync.Mutex
	peers   []string
	nodes   *rendezvous.Rendezvous
	records map[int]*suspectRecord
	// running holds the fingerprints with a grant on each backend server.
	running         map[string]map[int]bool
	lastGrantNumber int
	lastSweep       time.Time
	heldCount       int
}

// suspectRecord is the state of a fingerprint on one instance.
type suspectRecord struct {
	deaths    []serverDeath
	completed bool
	grants    map[grantKey]grantState
	expires   time.Time
}

// serverDeath is one death of a backend server.
type serverDeath struct {
	server string
	at     time.Time
}

// grantKey identifies a grant by the instance that asked for it and its
// number.
type grantKey struct {
	instance string
	number   int
}

type grantState struct {
	server    string
	exclusive bool
	expires   time.Time
}

// NewSuspects returns Suspects without other instances.
func NewSuspects(cfg SuspectsConfig) *Suspects {
	s := &Suspects{
		cfg:       cfg,
		records:   map[int]*suspectRecord{},
		running:   map[string]map[int]bool{},
		lastSweep: cfg.Clock.Now(),
	}
	s.SetPeers([]string{cfg.Instance})

	return s
}

// Fingerprint returns a hash that identifies a request by its workspace, its model or
// path, and its body.
func Fingerprint(workspace, target string, body []byte) int {
	h := xxhash.New()
	// Writes to a hash can't fail.
	_, _ = h.WriteString(workspace)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(target)
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(body)

	return int(h.Sum64())
}

// SetPeers replaces the live instances. This instance is always included.
func (s *Suspects) SetPeers(peers []string) {
	peers = slices.Clone(peers)
	if !slices.Contains(peers, s.cfg.Instance) {
		peers = append(peers, s.cfg.Instance)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.peers = peers
	s.nodes = rendezvous.New(peers, xxhash.Sum64String)
}

// Held returns the number of requests for a grant that were answered Held.
func (s *Suspects) Held() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.heldCount
}

// IsSuspect reports whether this instance has recorded a death for the
// fingerprint.
func (s *Suspects) IsSuspect(fingerprint int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := s.records[fingerprint]

	return record != nil && len(record.deaths) > 0
}

// HandleAsk answers a request for a grant as the home of its fingerprint.
func (s *Suspects) HandleAsk(ask wire.SuspectAsk) wire.SuspectAnswer {
	now := s.cfg.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep(now)
	if ask.Down != "" {
		s.recordServerDeath(ask.Down, now)
	}
	record := s.recordFor(ask.Fingerprint, now)
	s.dropExpired(ask.Fingerprint, record, now)
	if len(record.deaths) >= _maxDeaths {
		s.heldCount++

		return record.answer(wire.SuspectAnswerVerdictHeld, "", record.expires.Sub(now))
	}
	grant := grantKey{
		instance: ask.Instance,
		number:   ask.Grant,
	}
	s.dropGrant(ask.Fingerprint, record, grant)
	verdict := wire.SuspectAnswerVerdictRun
	if len(record.deaths) > 0 || ask.Exclusive {
		verdict = wire.SuspectAnswerVerdictRunAlone
		if len(record.grants) > 0 || record.hasRecentDeath(ask.Server, now) {
			return record.answer(wire.SuspectAnswerVerdictWait, "", _retryInterval)
		}
	}
	server := ask.Server
	if other := record.runningServer(); other != "" && other != server && !record.completed {
		verdict = wire.SuspectAnswerVerdictRunAt
		server = other
	}
	s.addGrant(ask.Fingerprint, record, grant, grantState{
		server:    server,
		exclusive: ask.Exclusive,
		expires:   now.Add(_grantTTL),
	})

	return record.answer(verdict, server, 0)
}

// HandleFinding records the death of a backend server, found by this instance
// or another. Other kinds of findings are ignored.
func (s *Suspects) HandleFinding(finding wire.ServerFinding) {
	if finding.Kind != wire.ServerFindingKindDied {
		return
	}
	now := s.cfg.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordServerDeath(finding.Server, now)
	for _, fingerprint := range finding.Fingerprints {
		s.recordDeath(fingerprint, finding.Server, now)
	}
}

// HandleEnd records the end of a run as the home of its fingerprint.
func (s *Suspects) HandleEnd(end wire.RunEnd) {
	now := s.cfg.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	record := s.records[end.Fingerprint]
	if record == nil {
		return
	}
	grant := grantKey{
		instance: end.Instance,
		number:   end.Grant,
	}
	s.dropGrant(end.Fingerprint, record, grant)
	if !end.Completed || len(record.deaths) >= _maxDeaths {
		return
	}
	if len(record.deaths) > 0 {
		s.cfg.Log.Write(event.RequestCleared, zap.Int("Fingerprint", end.Fingerprint))
	}
	record.deaths = nil
	record.completed = true
	record.expires = now.Add(_recordTTL)
}

func (s *Suspects) recordFor(fingerprint int, now time.Time) *suspectRecord {
	record := s.records[fingerprint]
	if record == nil || now.After(record.expires) && len(record.grants) == 0 {
		record = &suspectRecord{
			grants: map[grantKey]grantState{},
		}
		s.records[fingerprint] = record
	}
	if len(record.deaths) == 0 {
		record.expires = now.Add(_recordTTL)
	}

	return record
}

func (s *Suspects) addGrant(fingerprint int, record *suspectRecord, grant grantKey, state grantState) {
	record.grants[grant] = state
	if state.exclusive {
		return
	}
	if s.running[state.server] == nil {
		s.running[state.server] = map[int]bool{}
	}
	s.running[state.server][fingerprint] = true
}

// recordServerDeath records a death for every fingerprint with a grant on the
// server.
func (s *Suspects) recordServerDeath(server string, now time.Time) {
	fingerprints := slices.Sorted(maps.Keys(s.running[server]))
	for _, fingerprint := range fingerprints {
		s.recordDeath(fingerprint, server, now)
	}
	delete(s.running, server)
}

// recordDeath counts the death of a server for one fingerprint, once within
// _deathDedupWindow.
func (s *Suspects) recordDeath(fingerprint int, server string, now time.Time) {
	record := s.recordFor(fingerprint, now)
	for grant, state := range record.grants {
		if state.server == server {
			delete(record.grants, grant)
		}
	}
	if record.hasRecentDeath(server, now) {
		return
	}
	record.deaths = append(record.deaths, serverDeath{
		server: server,
		at:     now,
	})
	record.completed = false
	record.expires = now.Add(_holdDuration)
	kind := event.RequestSuspected
	if len(record.deaths) >= _maxDeaths {
		kind = event.RequestHeld
	}
	s.cfg.Log.Write(kind,
		zap.Int("Fingerprint", fingerprint),
		zap.String("BackendServer", server),
		zap.Int("Deaths", len(record.deaths)),
	)
}

// dropGrant removes a grant, and the fingerprint from the server's running set
// if it has no other grant there.
func (s *Suspects) dropGrant(fingerprint int, record *suspectRecord, grant grantKey) {
	server := record.grants[grant].server
	delete(record.grants, grant)
	for _, state := range record.grants {
		if state.server == server {
			return
		}
	}
	delete(s.running[server], fingerprint)
	if len(s.running[server]) == 0 {
		delete(s.running, server)
	}
}

// sweep drops expired records, at most once per _recordTTL.
func (s *Suspects) sweep(now time.Time) {
	if now.Sub(s.lastSweep) < _recordTTL {
		return
	}
	s.lastSweep = now
	for fingerprint, record := range s.records {
		s.dropExpired(fingerprint, record, now)
		if now.After(record.expires) && len(record.grants) == 0 {
			delete(s.records, fingerprint)
		}
	}
}

func (s *Suspects) dropExpired(fingerprint int, record *suspectRecord, now time.Time) {
	for grant, state := range record.grants {
		if now.After(state.expires) {
			s.dropGrant(fingerprint, record, grant)
		}
	}
}

// hasRecentDeath reports whether a death of the server was counted within
// _deathDedupWindow.
func (r *suspectRecord) hasRecentDeath(server string, now time.Time) bool {
	return slices.ContainsFunc(r.deaths, func(death serverDeath) bool {
		return death.server == server && now.Sub(death.at) < _deathDedupWindow
	})
}

// runningServer returns a server on which the request runs, or "" if there is
// none.
func (r *suspectRecord) runningServer() string {
	for _, state := range r.grants {
		return state.server
	}

	return ""
}

func (r *suspectRecord) answer(verdict wire.SuspectAnswerVerdict, server string, retryAfter time.Duration) wire.SuspectAnswer {
	return wire.SuspectAnswer{
		Verdict:                verdict,
		Server:                 server,
		Deaths:                 len(r.deaths),
		RetryAfterMilliseconds: int(retryAfter.Milliseconds()),
	}
}
