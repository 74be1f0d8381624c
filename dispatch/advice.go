package dispatch

import (
	"maps"
	"slices"
	"strings"
	"time"

	"papayastair.dev/papayastair/site"
	"papayastair.dev/papayastair/wire"
)

const (
	// A backend server's limit is one for all instances together. Only the first of
	// them, in an order of their own for each server, send it any requests:
	// _limitSenders, and _limitSendersPerSecond for each request per second. Each may
	// be ahead of its part by one request, so their number bounds the excess.
	_limitSenders          = 3.0
	_limitSendersPerSecond = 2.0
	// _minLimitPerSecond is the least rate of all senders together: without any answer
	// they would not find out that the limit has ended.
	_minLimitPerSecond = 0.2
	// _limitCheckInterval is the age of the last answer from which a server with a
	// limit gets a request although others have room.
	_limitCheckInterval = time.Second
	// _adviceTTL is how long the end of a limit, or that a server leaves, is included in
	// bulletins.
	_adviceTTL = 2 * time.Second
	// _maxPause bounds the time for which a backend server gets no requests because it
	// asked for that.
	_maxPause = 10 * time.Minute
	// _lowLimitShare is the fraction of its slots that the limit of a server must be
	// able to fill for its copies to count.
	_lowLimitShare = 0.25
	// _maxAdvice bounds the backend servers whose advice is kept while they have no
	// entry, and _maxReportedAdvice those in a bulletin.
	_maxAdvice         = 1024
	_maxReportedAdvice = 64
	// _maxAgeMS is the greatest age of advice in bulletins, in milliseconds.
	_maxAgeMS = 3_600_000
)

// advice is what a backend server has asked of its callers since it started. It
// outlasts a gap in its registration.
type advice struct {
	born  int64
	limit limit
	// leaving is set once the server has said that it leaves; leavingAt is when, and
	// leavingOwn reports whether it said so to this instance.
	leaving    bool
	leavingAt  time.Time
	leavingOwn bool
	// pausedUntil is the end of the time for which it wants no requests from this
	// instance.
	pausedUntil time.Time
	// unreadable is set once an answer asked for something that can't be read.
	unreadable bool
}

// limit is the limit that a backend server sets on the requests of all instances
// together, as known here.
type limit struct {
	active    bool
	perSecond float64
	// at is the time of the latest answer that shows it; own reports whether it came to
	// this instance. endedAt is when an answer first showed that there is none any more.
	at      time.Time
	own     bool
	endedAt time.Time
	// tokens are the requests that this instance may send now, as of refilledAt.
	tokens     float64
	refilledAt time.Time
	// perSender and burst are the rate and the size of the token bucket of each sender;
	// perSender is 0 if this instance is none. They are as of membersVersion.
	perSender      float64
	burst          float64
	membersVersion int
}

// adviceOf returns the advice of a start of a backend server; nil if a later start is
// known.
func (b *Balancer) adviceOf(id string, born int64) *advice {
	a := b.advice[id]
	if a != nil && a.born > born {
		return nil
	}
	if a == nil || a.born < born {
		a = &advice{born: born}
		if len(b.advice) >= _maxAdvice+len(b.servers) {
			maps.DeleteFunc(b.advice, func(id string, _ *advice) bool { return b.servers[id] == nil })
		}
		b.advice[id] = a
	}

	return a
}

// Advise records what a backend server asks of its callers in an answer to this
// instance, and reports whether that is news. ran is set if the answer is that of a
// request that ran: only such a one shows that there is no limit any more.
func (b *Balancer) Advise(id string, asked site.Advice, ran bool, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.servers[id]
	if s == nil {
		return false
	}
	a := s.advice
	news := asked.Unreadable != "" && !a.unreadable
	a.unreadable = a.unreadable || news
	if asked.Leaving {
		news = a.leave(true, now) || news
	}
	if until := now.Add(min(asked.Pause, _maxPause)); asked.Pause > 0 && until.After(a.pausedUntil) {
		news = news || now.After(a.pausedUntil)
		a.pausedUntil = until
	}
	if asked.Limited || ran {
		news = a.limit.update(asked.Limited, asked.PerSecond, true, now) || news
	}

	return news
}

// leave records that the server leaves, and reports whether that is news.
func (a *advice) leave(own bool, now time.Time) bool {
	if a.leaving {
		return false
	}
	a.leaving = true
	a.leavingAt = now
	a.leavingOwn = own

	return true
}

// update records an answer, and reports whether it changes the limit.
func (l *limit) update(active bool, perSecond float64, own bool, at time.Time) bool {
	if at.Before(l.at) {
		return false
	}
	l.at = at
	l.own = own
	if active == l.active && perSecond == l.perSecond {
		return false
	}
	if active && !l.active {
		l.tokens = 0
		l.refilledAt = at
	}
	if !active {
		l.endedAt = at
	}
	l.active = active
	l.perSecond = perSecond
	l.membersVersion = 0

	return true
}

// Advice returns what backend servers ask of the callers of all instances, for a
// bulletin: what this instance has learned from answers and, if forward is set, also
// what it has received.
func (b *Balancer) Advice(forward bool, now time.Time) []wire.ServerAdvice {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []wire.ServerAdvice
	for id, a := range b.advice {
		l := &a.limit
		limit := (l.active || now.Sub(l.endedAt) <= _adviceTTL) && (l.own || forward)
		leaving := a.leaving && now.Sub(a.leavingAt) <= _adviceTTL && (a.leavingOwn || forward)
		if !limit && !leaving {
			continue
		}
		out = append(out, wire.ServerAdvice{
			Server:    id,
			Born:      int(a.born),
			Leaving:   a.leaving,
			Limited:   l.active,
			PerSecond: l.perSecond,
			AgeMS:     int(min(now.Sub(l.at).Milliseconds(), _maxAgeMS)),
		})
	}
	slices.SortFunc(out, func(a, b wire.ServerAdvice) int { return strings.Compare(a.Server, b.Server) })

	return out[:min(len(out), _maxReportedAdvice)]
}

// ReceiveAdvice records what another instance knows, and returns what of that is
// news.
func (b *Balancer) ReceiveAdvice(received []wire.ServerAdvice, now time.Time) []wire.ServerAdvice {
	b.mu.Lock()
	defer b.mu.Unlock()
	var news []wire.ServerAdvice
	for _, r := range received {
		a := b.adviceOf(r.Server, int64(r.Born))
		// The comparison is false for what is no number, too.
		if a == nil || !(r.PerSecond >= 0 && r.PerSecond <= site.MaxPerSecond) {
			continue
		}
		if s := b.servers[r.Server]; s != nil && s.entry.Born == a.born {
			s.advice = a
		}
		at := now.Add(-time.Duration(min(max(r.AgeMS, 0), _maxAgeMS)) * time.Millisecond)
		left := r.Leaving && a.leave(false, now)
		if a.limit.update(r.Limited, r.PerSecond, false, at) || left {
			news = append(news, r)
		}
	}

	return news
}

// HasLimits reports whether a backend server has a limit.
func (b *Balancer) HasLimits() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, a := range b.advice {
		if a.limit.active {
			return true
		}
	}

	return false
}

// SetMembers sets the name of this instance and those of the others that may send
// requests. Until then this one sends none to a backend server with a limit.
func (b *Balancer) SetMembers(name string, others []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	slices.Sort(others)
	if b.membersVersion > 0 && b.name == name && slices.Equal(b.others, others) {
		return
	}
	b.name = name
	b.others = others
	b.membersVersion++
}

// limitAt returns the limit of a backend server with the tokens that this instance has now.
func (b *Balancer) limitAt(s *server, now time.Time) limit {
	l := s.advice.limit
	if l.membersVersion != b.membersVersion {
		b.divide(s.entry.ID, &l)
	}
	l.tokens = min(l.tokens+l.perSender*now.Sub(l.refilledAt).Seconds(), l.burst)
	l.refilledAt = now

	return l
}

// divide sets the part of this instance in the limit of a backend server.
func (b *Balancer) divide(id string, l *limit) {
	l.membersVersion = b.membersVersion
	l.perSender = 0
	before := senderRank(id, b.name, b.others)
	ahead := _limitSenders + _limitSendersPerSecond*l.perSecond
	senders := min(float64(int(ahead)), float64(len(b.others)+1))
	if float64(before) < senders {
		l.perSender = max(l.perSecond, _minLimitPerSecond) / senders
		l.burst = ahead / senders
	}
}

// untilAllowed returns the time until a backend server wants requests of this instance
// again, and its limit and its cold time allow one, or likely one of any instance if
// this one is no sender; 0 if they do now. It also returns which of these is the reason.
func (b *Balancer) untilAllowed(s *server, now time.Time) (time.Duration, Exclusion) {
	if left := s.advice.pausedUntil.Sub(now); left > 0 {
		return left, ExclusionPaused
	}
	if s.advice.limit.active {
		if l := b.limitAt(s, now); l.perSender <= 0 || l.tokens < 1 {
			return time.Duration(float64(time.Second) / max(l.perSecond, _minLimitPerSecond)), ExclusionLimited
		}
	}
	if wait := b.untilColdAllowed(s); wait > 0 {
		return wait, ExclusionCold
	}

	return 0, ExclusionNone
}

// Limited reports whether a backend server has a limit that lets it use only a small
// part of its slots.
func (b *Balancer) Limited(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.servers[id]
	if s == nil || !s.advice.limit.active {
		return false
	}
	mean := time.Duration(b.meanDurations[s.entry.Service])
	if mean == 0 {
		mean = time.Second
	}

	return s.advice.limit.perSecond*mean.Seconds() < _lowLimitShare*float64(s.entry.Slots)
}
