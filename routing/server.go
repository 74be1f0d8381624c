package routing

import (
	"slices"
	"time"

	"papayastair.dev/papayastair/wire"
)

const (
	// _leavingHoldDown is how long a finding that a backend server is leaving
	// overrides the server's own reports.
	_leavingHoldDown = 5 * time.Second
	// _answerTTL is how long an answer to this instance overrides a peer's
	// finding that the backend server is lost, since the fault may be the
	// peer's.
	_answerTTL = time.Second
	// _sampleInterval is the interval between samples of this instance's
	// outstanding requests.
	_sampleInterval = 50 * time.Millisecond
	// _sampleCount is the number of samples kept.
	_sampleCount = 64
	// _reportTTL is how long a load report is valid.
	_reportTTL = 10 * time.Second
)

// modelKey identifies a version of a model; an empty version stands for any.
type modelKey struct {
	model   string
	version string
}

type adapterKey struct {
	model   string
	adapter string
	version string
}

// server is the state of one backend server.
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
	removed    bool
	// lastAnswerAt is when a request of this instance last got an answer.
	lastAnswerAt time.Time
	share        float64
	// batchBlockedUntil is when batch requests are accepted again after an
	// urgent or live one found no capacity.
	batchBlockedUntil time.Time
	// local counts the outstanding requests of this instance.
	local localCount
	// localAtReport is how many requests of this instance the last report
	// included.
	localAtReport int
	// prefillTokens is the number of prompt tokens of this instance's requests
	// that have no first token yet.
	prefillTokens int
	speed         speed
	health        health
	prefixes      prefixTracker
}

func newServer(setting wire.BackendServer, cfg Config) *server {
	return &server{
		name:     setting.Name,
		share:    cfg.DefaultShare,
		speed:    newSpeed(setting),
		prefixes: newPrefixTracker(cfg.MaxTrackedPrefixes),
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

// isNewReport reports whether a report is newer than the last. Once the last
// report has expired, a sequence that starts again is accepted too, since the
// server has restarted.
func (s *server) isNewReport(report wire.LoadReport, now time.Time) bool {
	return !s.reported || report.Sequence > s.report.Sequence || now.Sub(s.reportAt) > _reportTTL
}

func (s *server) setReport(report wire.LoadReport, now time.Time, lag time.Duration) {
	s.report = report
	s.reported = true
	s.reportAt = now
	if report.Slots > 0 {
		s.slots = report.Slots
	}
	s.localAtReport = s.local.countAt(now, lag)
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

// reportedRequests returns the number of requests in the last report.
func (s *server) reportedRequests() int {
	return s.report.Running + s.report.Waiting
}

// occupancy estimates the current number of requests on the server, from the
// last report for other instances and the current count for this one.
func (s *server) occupancy(now time.Time) int {
	if !s.hasReport(now) {
		return int(float64(s.local.count) / max(s.share, 0.05))
	}

	return max(s.reportedRequests()-s.localAtReport, 0) + s.local.count
}

func (s *server) hasReport(now time.Time) bool {
	return s.reported && now.Sub(s.reportAt) < _reportTTL
}

// localLimit returns how many requests this instance may have on the server,
// given the limit for all instances. A full server is divided by the shares.
// Capacity that was free in the last report is divided by the same shares, so
// that the instances together use it only once.
func (s *server) localLimit(limit float64, now time.Time) float64 {
	target := s.share * limit
	if !s.hasReport(now) {
		return target
	}
	free := limit - float64(s.reportedRequests())
	if free < 1 {
		return target
	}

	return max(target, float64(s.localAtReport)+s.share*free)
}

// localCount counts outstanding requests. It keeps the counts of the last
// seconds to compare them with delayed reports.
type localCount struct {
	count   int
	newest  int64
	samples [_sampleCount]int
}

func (c *localCount) add(now time.Time, delta int) {
	c.sample(now)
	c.count += delta
}

// countAt returns the count at the time lag before now.
func (c *localCount) countAt(now time.Time, lag time.Duration) int {
	c.sample(now)
	offset := min(int64(lag/_sampleInterval), _sampleCount-1)

	return c.samples[(c.newest-offset+_sampleCount)%_sampleCount]
}

// sample records the current count in all samples up to now.
func (c *localCount) sample(now time.Time) {
	period := now.UnixNano() / int64(_sampleInterval)
	first := max(c.newest+1, period-_sampleCount+1)
	for i := first; i <= period; i++ {
		c.samples[i%_sampleCount] = c.count
	}
	c.newest = max(c.newest, period)
}
