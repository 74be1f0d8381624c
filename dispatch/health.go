package dispatch

import (
	"time"

	"papayastair.dev/papayastair/site"
)

const (
	// _missingMemory is how long a target that a backend server refused as not
	// held is not asked for there again.
	_missingMemory = time.Second
	// _failuresToAvoid is how many failures in a row make a backend server
	// avoided; _avoidFirst and _avoidMost are for how long.
	_failuresToAvoid = 3
	_avoidFirst      = 500 * time.Millisecond
	_avoidMost       = 4 * time.Second
	// _failureShare is the share of failures above which it is avoided also
	// when successes come between.
	_failureShare = 0.5
	_shareMemory  = 0.8
	_shareMinimum = 6
	// _unreachableToBeDown is how many failed connections in a row say that a
	// backend server is down, and _downMemory for how long.
	_unreachableToBeDown = 2
	_downMemory          = 2 * time.Second
	// _quietMost is how long a backend server with free places may leave a
	// request without a sign: several times what is usual.
	_quietMost = 600 * time.Millisecond
	// _paceMemory smooths how fast a backend server is, and _meanMemory what is
	// usual for a model or service.
	_paceMemory = 0.8
	_meanMemory = 0.95
	// _paceLeast and _paceMost bound what one answer can say.
	_paceLeast = 0.3
	_paceMost  = 6.0
)

// Result is how a request at a backend server ended.
type Result int

// Results.
const (
	// ResultOK is a complete answer, whatever its status.
	ResultOK Result = iota
	// ResultNotRun is a refusal by a full or leaving backend server.
	ResultNotRun
	// ResultNotHeld is a refusal because the target isn't held there.
	ResultNotHeld
	// ResultFailed is no answer, or one that broke off or isn't the request's.
	ResultFailed
	// ResultUnreachable is a connection that could not be made.
	ResultUnreachable
	// ResultError is a complete answer that says that the server failed.
	ResultError
	// ResultLeft is a request whose caller left or whose time was over.
	ResultLeft
)

// Run is a request at a backend server.
type Run struct {
	server *server
	// sentAt is when it was sent, and quiet says that nothing of its answer has
	// come; late says that this was held against the backend server.
	sentAt time.Time
	quiet  bool
	late   bool
	target string
	// class is what its pace is compared with: the model, or the service.
	class string
	ended bool
}

// health is how a backend server has answered lately.
type health struct {
	inRow   int
	share   float64
	samples int
	until   time.Time
	times   int
}

func (h *health) avoided(now time.Time) bool {
	return now.Before(h.until)
}

func (h *health) take(failed bool, now time.Time) {
	h.samples++
	h.share *= _shareMemory
	if !failed {
		h.inRow = 0
		if h.share < _failureShare/2 {
			h.times = 0
		}

		return
	}
	h.inRow++
	h.share += 1 - _shareMemory
	if h.inRow < _failuresToAvoid && (h.samples < _shareMinimum || h.share < _failureShare) {
		return
	}
	wait := min(_avoidFirst<<h.times, _avoidMost)
	if h.times < 3 {
		h.times++
	}
	h.until = now.Add(wait)
	// One failure of the probe that follows is enough.
	h.inRow = _failuresToAvoid - 1
}

// Begin counts a request at a backend server, until End.
func (b *Board) Begin(id string, target site.Target, now time.Time) *Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	run := &Run{
		target: target.String(),
		class:  target.Model,
		sentAt: now,
		quiet:  true,
	}
	if s := b.servers[id]; s != nil {
		s.running++
		s.runs[run] = struct{}{}
		run.server = s
		if run.class == "" {
			run.class = s.entry.Service
		}
	}

	return run
}

// End takes a request's result. pace is how long a unit of its answer took:
// the whole of a plain one, the time between two events of a stream; 0 if
// unknown.
func (b *Board) End(run *Run, result Result, pace time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := run.server
	if s == nil || run.ended {
		return
	}
	run.ended = true
	s.running--
	delete(s.runs, run)
	if result == ResultUnreachable {
		s.unreachable++
		s.unreachableAt = now
	} else {
		s.unreachable = 0
	}
	switch result {
	case ResultOK:
		s.health.take(false, now)
	case ResultFailed, ResultUnreachable, ResultError:
		s.health.take(true, now)
	case ResultNotHeld:
		s.missing[run.target] = now
	case ResultNotRun:
	case ResultLeft:
		if run.quiet && !run.late && now.Sub(run.sentAt) > _quietMost {
			s.health.take(true, now)
		}
	}
	if pace > 0 {
		b.learnPace(s, run.class, float64(pace))
	}
}

// learnPace compares an answer's pace with what is usual.
func (b *Board) learnPace(s *server, class string, pace float64) {
	mean := b.means[class]
	if mean == 0 {
		mean = pace
	}
	b.means[class] = mean*_meanMemory + pace*(1-_meanMemory)
	ratio := min(max(pace/mean, _paceLeast), _paceMost)
	s.pace = s.pace*_paceMemory + ratio*(1-_paceMemory)
}

// Leave marks a backend server as leaving by its own word, ahead of its entry.
func (b *Board) Leave(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.servers[id]; s != nil {
		s.entry.Draining = true
	}
}

// First notes that the answer to a request has begun.
func (b *Board) First(run *Run) {
	b.mu.Lock()
	defer b.mu.Unlock()
	run.quiet = false
}

// Check holds against backend servers the requests that they have left without
// a sign for long although they had places: they hang. It is called a few times
// a second.
func (b *Board) Check(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for id, s := range b.servers {
		if s.running+b.loads[id] > s.entry.Slots {
			continue
		}
		for run := range s.runs {
			if run.quiet && !run.late && now.Sub(run.sentAt) > _quietMost {
				run.late = true
				s.health.take(true, now)
			}
		}
	}
}

// Down says that connections to a backend server have failed lately, and none
// has been made since.
func (b *Board) Down(id string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.servers[id]

	return s != nil && s.unreachable >= _unreachableToBeDown && now.Sub(s.unreachableAt) < _downMemory
}
