package routing

import (
	"slices"
	"time"

	"papayastair.dev/papayastair/wire"
)

const (
	// _leavingHold is how long a finding that a backend server leaves outweighs
	// its own reports.
	_leavingHold = 5 * time.Second
	// _answerLife is how long an own answer outweighs another instance's finding
	// that the backend server is lost, which may be that instance's own fault.
	_answerLife = time.Second
	// _ownPeriod is the time between samples of the own outstanding requests.
	_ownPeriod = 50 * time.Millisecond
	// _ownSamples is how many samples are kept.
	_ownSamples = 64
	// _reportLife is how long a load report is believed.
	_reportLife = 10 * time.Second
)

// modelKey is a model in one version; an empty version stands for any.
type modelKey struct {
	model   string
	version string
}

type adapterKey struct {
	model   string
	adapter string
	version string
}

// server is what is known of one backend server.
type server struct {
	name       string
	domain     string
	slots      int
	models     map[modelKey]bool
	modelNames []string
	adapters   map[adapterKey]bool
	report     wire.LoadReport
	reported   bool
	reportAt   time.Time
	leaving    bool
	leavingAt  time.Time
	gone       bool
	// answeredAt is when an own request last got an answer.
	answeredAt time.Time
	share      float64
	// pressedUntil keeps batch requests away for urgent and live ones.
	pressedUntil time.Time
	own          ownCount
	// ownAtReport is how many own requests the last report counted.
	ownAtReport int
	// unread are the prompt tokens of own requests without a first token.
	unread   int
	speed    speed
	health   health
	prefixes prefixBelief
}

func newServer(setting wire.BackendServer, cfg Config) *server {
	return &server{
		name:     setting.Name,
		share:    cfg.DefaultShare,
		speed:    newSpeed(setting),
		prefixes: newPrefixBelief(cfg.BelievedPrefixes),
	}
}

func (s *server) setSettings(setting wire.BackendServer) {
	s.domain = setting.FailureDomain
	s.slots = max(setting.Slots, 1)
	if setting.Kind == wire.BackendServerKindService {
		s.modelNames = []string{setting.Service}
		s.models = map[modelKey]bool{{model: setting.Service}: true}
	}
}

// isNewReport is false for a report older than the last. A sequence that
// starts again belongs to a restarted server, if the last report is old.
func (s *server) isNewReport(report wire.LoadReport, now time.Time) bool {
	return !s.reported || report.Sequence > s.report.Sequence || now.Sub(s.reportAt) > _reportLife
}

func (s *server) setReport(report wire.LoadReport, now time.Time, lag time.Duration) {
	s.report = report
	s.reported = true
	s.reportAt = now
	if report.Slots > 0 {
		s.slots = report.Slots
	}
	s.ownAtReport = s.own.before(now, lag)
}

func (s *server) setResidents(residents []wire.Resident) {
	s.models = map[modelKey]bool{}
	s.adapters = map[adapterKey]bool{}
	s.modelNames = nil
	for _, resident := range residents {
		if resident.State != wire.ResidentStateServing {
			continue
		}
		if resident.Adapter != "" {
			s.addAdapter(resident)

			continue
		}
		s.models[modelKey{model: resident.Model, version: resident.Version}] = true
		s.models[modelKey{model: resident.Model}] = true
		if !slices.Contains(s.modelNames, resident.Model) {
			s.modelNames = append(s.modelNames, resident.Model)
		}
	}
}

func (s *server) addAdapter(resident wire.Resident) {
	key := adapterKey{
		model:   resident.Model,
		adapter: resident.Adapter,
		version: resident.Version,
	}
	s.adapters[key] = true
	key.version = ""
	s.adapters[key] = true
}

// total is the last reported number of requests.
func (s *server) total() int {
	return s.report.Running + s.report.Waiting
}

// occupancy estimates the requests at the server now: the others' as they
// were reported, and the own as they are.
func (s *server) occupancy(now time.Time) int {
	if !s.hasReport(now) {
		return int(float64(s.own.count) / max(s.share, 0.05))
	}

	return max(s.total()-s.ownAtReport, 0) + s.own.count
}

func (s *server) hasReport(now time.Time) bool {
	return s.reported && now.Sub(s.reportAt) < _reportLife
}

// ownLimit is how many own requests the server may have while it should hold
// limit requests of all instances. A full server is divided by the shares.
// What was free in the last report is taken up by the same shares, so that
// all instances together take it once.
func (s *server) ownLimit(limit float64, now time.Time) float64 {
	target := s.share * limit
	if !s.hasReport(now) {
		return target
	}
	free := limit - float64(s.total())
	if free < 1 {
		return target
	}

	return max(target, float64(s.ownAtReport)+s.share*free)
}

// ownCount counts outstanding requests and remembers the counts of the last
// seconds, against which a late report is read.
type ownCount struct {
	count   int
	newest  int64
	samples [_ownSamples]int
}

func (c *ownCount) add(now time.Time, delta int) {
	c.sample(now)
	c.count += delta
}

// before is the count at the time lag ago.
func (c *ownCount) before(now time.Time, lag time.Duration) int {
	c.sample(now)
	back := min(int64(lag/_ownPeriod), _ownSamples-1)

	return c.samples[(c.newest-back+_ownSamples)%_ownSamples]
}

// sample fills the samples up to now with the count.
func (c *ownCount) sample(now time.Time) {
	period := now.UnixNano() / int64(_ownPeriod)
	first := max(c.newest+1, period-_ownSamples+1)
	for i := first; i <= period; i++ {
		c.samples[i%_ownSamples] = c.count
	}
	c.newest = max(c.newest, period)
}
