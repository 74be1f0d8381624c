package dispatch

import (
	"maps"
	"time"

	"papayastair.dev/papayastair/site"
)

const (
	// _missingTargetTTL is the time for which requests for a target are not sent
	// to a backend server that refused the target as not loaded.
	_missingTargetTTL = time.Second
	// _failureThreshold is the number of consecutive failures after which a
	// backend server is avoided, for a time that backs off exponentially from
	// _minAvoidBackoff to _maxAvoidBackoff.
	_failureThreshold = 3
	_minAvoidBackoff  = 500 * time.Millisecond
	_maxAvoidBackoff  = 4 * time.Second
	// _failureRateThreshold is the failure rate from which a backend server is
	// avoided even if successes come between the failures. The rate is a moving
	// average with weight _failureRateDecay for the past, and is considered from
	// _minFailureRateSamples results on.
	_failureRateThreshold  = 0.5
	_failureRateDecay      = 0.8
	_minFailureRateSamples = 6
	// _downThreshold is the number of consecutive failures to connect after which
	// a backend server counts as down, until _downTTL after the last one.
	_downThreshold = 2
	_downTTL       = 2 * time.Second
	// _firstResponseTimeout is the time within which a backend server with free
	// slots must start to respond. It is several times the usual time.
	_firstResponseTimeout = 600 * time.Millisecond
	// _latencyRatioDecay and _meanLatencyDecay are the weights of the past in the
	// moving averages of a backend server's latency ratio and of the mean latency
	// of a model or service.
	_latencyRatioDecay = 0.8
	_meanLatencyDecay  = 0.95
	// _minLatencyRatio and _maxLatencyRatio bound the influence of a single
	// response on the latency ratio.
	_minLatencyRatio = 0.3
	_maxLatencyRatio = 6.0
)

// Result classifies the end of a request on a backend server.
type Result int

// Results of requests.
const (
	// ResultOK is a complete response with any status that doesn't report a
	// server failure.
	ResultOK Result = iota
	// ResultNotRun is a refusal by a full or draining backend server.
	ResultNotRun
	// ResultNotLoaded is a refusal because the target isn't loaded.
	ResultNotLoaded
	// ResultFailed is a missing or truncated response, or one that belongs to
	// another request.
	ResultFailed
	// ResultUnreachable is a failure to connect.
	ResultUnreachable
	// ResultError is a complete response that reports a server failure.
	ResultError
	// ResultCanceled is a request that its caller canceled or whose deadline passed.
	ResultCanceled
)

// Run is a request on a backend server, from Begin to End.
type Run struct {
	server *server
	// sentAt is the time at which the request was sent. awaitingResponse is true
	// until the response begins, and timedOut once the missing response has been
	// counted as a failure of the backend server.
	sentAt           time.Time
	awaitingResponse bool
	timedOut         bool
	target           string
	// class is the model, or the service if there is none, whose mean latency
	// the latency of the request is compared with.
	class string
	ended bool
	// cold is set if the backend server was cold when the request began, and its latency
	// says nothing of the time after.
	cold bool
}

// health tracks the recent failures of a backend server and the backoff for
// which it is avoided.
type health struct {
	consecutiveFailures int
	failureRate         float64
	samples             int
	avoidUntil          time.Time
	backoffStep         int
}

// avoided reports whether the backend server is being avoided at now.
func (h *health) avoided(now time.Time) bool {
	return now.Before(h.avoidUntil)
}

// record updates the health with the result of one request.
func (h *health) record(failed bool, now time.Time) {
	h.samples++
	h.failureRate *= _failureRateDecay
	if !failed {
		h.consecutiveFailures = 0
		if h.failureRate < _failureRateThreshold/2 {
			h.backoffStep = 0
		}

		return
	}
	h.consecutiveFailures++
	h.failureRate += 1 - _failureRateDecay
	if h.consecutiveFailures < _failureThreshold && (h.samples < _minFailureRateSamples || h.failureRate < _failureRateThreshold) {
		return
	}
	wait := min(_minAvoidBackoff<<h.backoffStep, _maxAvoidBackoff)
	if h.backoffStep < 3 {
		h.backoffStep++
	}
	h.avoidUntil = now.Add(wait)
	// A single failure after the backoff is enough to avoid the server again.
	h.consecutiveFailures = _failureThreshold - 1
}

// Begin counts a request as running on the backend server with the given ID
// until End. If there is no such server, the returned Run counts nowhere.
func (b *Balancer) Begin(id string, target site.Target, now time.Time) *Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	run := &Run{
		target:           target.String(),
		class:            target.Model,
		sentAt:           now,
		awaitingResponse: true,
	}
	if s := b.servers[id]; s != nil {
		s.running++
		s.runs[run] = struct{}{}
		run.server = s
		run.cold = b.noteCold(s) > 0
		if run.class == "" {
			run.class = s.entry.Service
		}
	}

	return run
}

// End records the result of a request. latency is the time per unit of output:
// the whole response of a plain request, or the interval between two events of a
// stream; 0 if unknown. Calls after the first have no effect.
func (b *Balancer) End(run *Run, result Result, latency time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := run.server
	if s == nil || run.ended {
		return
	}
	run.ended = true
	s.running--
	delete(s.runs, run)
	s.ended.add(1, now)
	if result == ResultUnreachable {
		s.connectFailures++
		s.lastConnectFailure = now
	} else {
		s.connectFailures = 0
	}
	switch result {
	case ResultOK:
		s.health.record(false, now)
		b.updateDuration(s.entry.Service, float64(now.Sub(run.sentAt)))
	case ResultFailed, ResultUnreachable, ResultError:
		s.health.record(true, now)
	case ResultNotLoaded:
		maps.DeleteFunc(s.missing, func(_ string, at time.Time) bool { return now.Sub(at) >= _missingTargetTTL })
		s.missing[run.target] = now
	case ResultNotRun:
	case ResultCanceled:
		if run.awaitingResponse && !run.timedOut && now.Sub(run.sentAt) > s.responseTimeout(now) {
			s.health.record(true, now)
		}
	}
	if latency > 0 && !run.cold {
		b.updateLatency(s, run.class, float64(latency))
	}
}

// updateDuration adds the duration of a request to the mean of its service.
func (b *Balancer) updateDuration(service string, duration float64) {
	mean, ok := b.meanDurations[service]
	if !ok {
		mean = duration
	}
	b.meanDurations[service] = mean*_meanLatencyDecay + duration*(1-_meanLatencyDecay)
}

// updateLatency adds a response's latency to the mean of its class, and its
// ratio to the previous mean to the latency ratio of s.
func (b *Balancer) updateLatency(s *server, class string, latency float64) {
	mean := b.meanLatencies[class]
	if mean == 0 {
		mean = latency
	}
	b.meanLatencies[class] = mean*_meanLatencyDecay + latency*(1-_meanLatencyDecay)
	ratio := min(max(latency/mean, _minLatencyRatio), _maxLatencyRatio)
	s.latencyRatio = s.latencyRatio*_latencyRatioDecay + ratio*(1-_latencyRatioDecay)
}

// MarkDraining marks a backend server as draining because its response announced it,
// before its entry does.
func (b *Balancer) MarkDraining(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.servers[id]; s != nil {
		s.entry.Draining = true
	}
}

// ResponseStarted records that the response to a request has begun.
func (b *Balancer) ResponseStarted(run *Run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	run.awaitingResponse = false
}

// CheckTimeouts detects hung requests: one that has had no response within
// _firstResponseTimeout counts as a failure of its backend server, unless more
// requests run there than it has slots. Call it a few times a second.
func (b *Balancer) CheckTimeouts(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range b.servers {
		if s.running+b.peerLoads[id] > s.entry.Slots {
			continue
		}
		for run := range s.runs {
			if run.awaitingResponse && !run.timedOut && now.Sub(run.sentAt) > s.responseTimeout(now) {
				run.timedOut = true
				s.health.record(true, now)
			}
		}
	}
}

// Down reports whether a backend server takes no more requests: it has said that it
// leaves, or recent connections to it failed and none has succeeded since.
func (b *Balancer) Down(id string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.servers[id]

	return s != nil && (s.advice.leaving || s.connectFailures >= _downThreshold && now.Sub(s.lastConnectFailure) < _downTTL)
}
