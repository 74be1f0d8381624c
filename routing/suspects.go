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
	// _maxDeaths of backend servers hold a request.
	_maxDeaths = 2
	// _holdTime is how long a request is held, and how long a suspect that
	// isn't seen again is remembered.
	_holdTime = 10 * time.Minute
	// _grantLife is how long a run without an end is believed to last.
	_grantLife = 5 * time.Minute
	// _recordLife is how long other requests are remembered after a run.
	_recordLife = time.Minute
	// _sameDeath joins the findings of one death by several instances.
	_sameDeath = 5 * time.Second
	// _waitTime is how long an asker waits before it asks again.
	_waitTime = 50 * time.Millisecond
)

// SuspectsConfig tunes Suspects.
type SuspectsConfig struct {
	// Instance is the name of this instance.
	Instance string
	// Clock gives the time.
	Clock *timer.Service
	// Log gets the changes of suspects; nil for none.
	Log *event.Log
	// Ask sends an ask to another instance and waits for the answer, a few
	// tens of milliseconds at most.
	Ask func(peer string, ask wire.SuspectAsk) (wire.SuspectAnswer, error)
	// Tell sends a finding to another instance and waits for the receipt.
	Tell func(peer string, finding wire.ServerFinding) error
	// End sends the end of a run to another instance and waits for the receipt.
	End func(peer string, end wire.RunEnd) error
	// Unguarded lets each request run at once, for tests.
	Unguarded bool
}

// Suspects finds the requests that crash the backend servers that run them.
//
// Each fingerprint has a home among the live instances, and each run asks it
// first. A request that hasn't yet run to its end runs on one backend server
// at a time, wherever it is sent. The death of a server makes the requests
// that ran there suspects; a suspect runs again only alone: one run in the
// fleet at a time, and one suspect on a server at a time. A second death holds
// it. A whole answer clears it. Findings go to all instances before
// the caller hears of the failure, so that a change of the home loses no
// deaths.
//
// Suspects is safe for concurrent use. Use NewSuspects.
type Suspects struct {
	cfg SuspectsConfig

	mu      sync.Mutex
	peers   []string
	nodes   *rendezvous.Rendezvous
	records map[int]*suspectRecord
	// running are the fingerprints with a grant at each backend server.
	running map[string]map[int]bool
	grants  int
	swept   time.Time
	held    int
}

// suspectRecord is what one instance knows of a fingerprint.
type suspectRecord struct {
	deaths    []serverDeath
	completed bool
	grants    map[suspectGrant]grantState
	expires   time.Time
}

// serverDeath is one death of a backend server.
type serverDeath struct {
	server string
	at     time.Time
}

type suspectGrant struct {
	instance string
	number   int
}

type grantState struct {
	server    string
	exclusive bool
	expires   time.Time
}

// NewSuspects returns Suspects that know no other instance.
func NewSuspects(cfg SuspectsConfig) *Suspects {
	s := &Suspects{
		cfg:     cfg,
		records: map[int]*suspectRecord{},
		running: map[string]map[int]bool{},
		swept:   cfg.Clock.Now(),
	}
	s.SetPeers([]string{cfg.Instance})

	return s
}

// Fingerprint is the hash that names a request.
func Fingerprint(workspace, model string, body []byte) int {
	h := xxhash.New()
	// Writes to a hash can't fail.
	_, _ = h.WriteString(workspace)
	_, _ = h.Write([]byte{0})
	_, _ = h.WriteString(model)
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(body)

	return int(h.Sum64())
}

// SetPeers replaces the live instances. This one is always among them.
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

// Held is how many times an ask was answered Held.
func (s *Suspects) Held() int {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.held
}

// IsSuspect says whether this instance knows of a death that the fingerprint
// was part of.
func (s *Suspects) IsSuspect(fingerprint int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	record := s.records[fingerprint]

	return record != nil && len(record.deaths) > 0
}

// HandleAsk answers an ask as the home of its fingerprint.
func (s *Suspects) HandleAsk(ask wire.SuspectAsk) wire.SuspectAnswer {
	now := s.cfg.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep(now)
	if ask.Down != "" {
		s.noteServerDeath(ask.Down, now)
	}
	record := s.record(ask.Fingerprint, now)
	s.dropExpired(ask.Fingerprint, record, now)
	if len(record.deaths) >= _maxDeaths {
		s.held++

		return record.answer(wire.SuspectAnswerVerdictHeld, "", record.expires.Sub(now))
	}
	grant := suspectGrant{
		instance: ask.Instance,
		number:   ask.Grant,
	}
	s.dropGrant(ask.Fingerprint, record, grant)
	verdict := wire.SuspectAnswerVerdictRun
	if len(record.deaths) > 0 || ask.Exclusive {
		verdict = wire.SuspectAnswerVerdictRunAlone
		if len(record.grants) > 0 || record.diedJustNow(ask.Server, now) {
			return record.answer(wire.SuspectAnswerVerdictWait, "", _waitTime)
		}
	}
	server := ask.Server
	if other := record.runsAt(); other != "" && other != server && !record.completed {
		verdict = wire.SuspectAnswerVerdictRunAt
		server = other
	}
	s.grant(ask.Fingerprint, record, grant, grantState{
		server:    server,
		exclusive: ask.Exclusive,
		expires:   now.Add(_grantLife),
	})

	return record.answer(verdict, server, 0)
}

// HandleFinding takes a finding of a death, from this instance or another.
func (s *Suspects) HandleFinding(finding wire.ServerFinding) {
	if finding.Kind != wire.ServerFindingKindDied {
		return
	}
	now := s.cfg.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteServerDeath(finding.Server, now)
	for _, fingerprint := range finding.Fingerprints {
		s.noteDeath(fingerprint, finding.Server, now)
	}
}

// HandleEnd takes the end of a run as the home of its fingerprint.
func (s *Suspects) HandleEnd(end wire.RunEnd) {
	now := s.cfg.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	record := s.records[end.Fingerprint]
	if record == nil {
		return
	}
	grant := suspectGrant{
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
	record.expires = now.Add(_recordLife)
}

func (s *Suspects) record(fingerprint int, now time.Time) *suspectRecord {
	record := s.records[fingerprint]
	if record == nil || now.After(record.expires) && len(record.grants) == 0 {
		record = &suspectRecord{
			grants: map[suspectGrant]grantState{},
		}
		s.records[fingerprint] = record
	}
	if len(record.deaths) == 0 {
		record.expires = now.Add(_recordLife)
	}

	return record
}

func (s *Suspects) grant(fingerprint int, record *suspectRecord, grant suspectGrant, state grantState) {
	record.grants[grant] = state
	if state.exclusive {
		return
	}
	if s.running[state.server] == nil {
		s.running[state.server] = map[int]bool{}
	}
	s.running[state.server][fingerprint] = true
}

// noteServerDeath marks all fingerprints with a grant at the server.
func (s *Suspects) noteServerDeath(server string, now time.Time) {
	fingerprints := slices.Sorted(maps.Keys(s.running[server]))
	for _, fingerprint := range fingerprints {
		s.noteDeath(fingerprint, server, now)
	}
	delete(s.running, server)
}

// noteDeath counts the death of a server for one fingerprint, once.
func (s *Suspects) noteDeath(fingerprint int, server string, now time.Time) {
	record := s.record(fingerprint, now)
	for grant, state := range record.grants {
		if state.server == server {
			delete(record.grants, grant)
		}
	}
	if record.diedJustNow(server, now) {
		return
	}
	record.deaths = append(record.deaths, serverDeath{
		server: server,
		at:     now,
	})
	record.completed = false
	record.expires = now.Add(_holdTime)
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

// dropGrant forgets a run, and that the fingerprint runs at its server if no
// other run there is left.
func (s *Suspects) dropGrant(fingerprint int, record *suspectRecord, grant suspectGrant) {
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

// sweep drops old records, once in a record's life.
func (s *Suspects) sweep(now time.Time) {
	if now.Sub(s.swept) < _recordLife {
		return
	}
	s.swept = now
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

// diedJustNow says that the server's death was counted a moment ago.
func (r *suspectRecord) diedJustNow(server string, now time.Time) bool {
	return slices.ContainsFunc(r.deaths, func(death serverDeath) bool {
		return death.server == server && now.Sub(death.at) < _sameDeath
	})
}

// runsAt is a server at which the request runs; empty for none.
func (r *suspectRecord) runsAt() string {
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
