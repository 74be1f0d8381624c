// Package quarantine finds what the requests that crash backend servers have in
// common, and holds the requests that have it.
//
// A request is described by its traits, from the most common to the most specific,
// such as the parts of its prompt. When a server crashes, the traits of all requests
// that ran on it are accused. A whole answer to a request with a trait clears it. A
// trait that has been accused by several crashes, about as often as any other and
// without a whole answer since the first of them, is held: requests that have it are
// not sent any more. Now and then one such request is sent as a probe, by one of the
// instances, so that a trait that was held wrongly is cleared. A probe is counted where
// all instances see it before it is sent, see WantedProbes. Of several such traits
// the most specific one is held, because that affects the fewest requests. The same
// crashes are no reason to hold another trait then, as these are explained.
//
// Servers that are lost together say nothing about the requests on them. Crashes in
// quick succession count as one, unless the requests were sent after the crash before:
// a request that is sent to one server after the other, and ends each, is no coincidence.
//
// Instances exchange their findings in their bulletins, because each sees only some
// of the requests on a server. A finding that arrives twice or late does no harm. The
// held traits are also to be kept where they outlast all instances, see HeldFindings.
//
//	q := quarantine.New(quarantine.Config{Elapsed: timer.Elapsed, Spread: spread, Log: log})
//	if trait, left := q.Find(traits); left > 0 { ... } // refuse the request
//	q.Crashed(server, traits, ran, 0) // its connection broke while the request ran
//	q.Completed(traits, 0)    // it was answered whole
package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"papayastair.dev/papayastair/event"
	"papayastair.dev/papayastair/wire"
)

const (
	// _minCrashes is the number of crashes after which a trait is held, and
	// _minCrashesTied the number after which several equally specific ones are.
	_minCrashes     = 3
	_minCrashesTied = 5
	// _nearMost is the share of the crashes of the trait accused most often from which
	// on another one may explain them as well. A trait may be accused more often than
	// the one that crashes servers if it is in all requests that have that one.
	_nearMost = 0.75
	// _settleTime is the time from the first crash in which whole answers can clear a
	// trait before it is held. It covers the way of findings between instances.
	_settleTime = time.Second
	// _separation is the time within which several crashes count as one, unless the
	// requests were sent after the crash before.
	_separation = 250 * time.Millisecond
	// _orderTolerance is by how much the order of a crash and of a later request may
	// seem reversed, as their times come in bulletins of different instances.
	_orderTolerance = 5 * time.Millisecond
	// _sameCrash is the time within which findings about one server are about one
	// crash, beside the time that they need to reach all instances.
	_sameCrash = time.Second
	// _holdDuration is how long a trait is held, and how long an accusation is kept.
	_holdDuration = 10 * time.Minute
	// _probeInterval is the time from the first crash to the first probe. It doubles with
	// each probe. _maxProbes bounds the probes of a hold.
	_probeInterval = 20 * time.Second
	_maxProbes     = 3
	// _reportDuration is how long a finding is included in bulletins.
	_reportDuration = time.Second
	// _clearedRetention is how long a crash that accuses nothing any more is kept.
	_clearedRetention = 10 * time.Second
	// _maxCrashes, _maxTraits and _maxHeld bound the crashes, the traits of one of
	// them and the held traits that are kept.
	_maxCrashes = 256
	_maxTraits  = 256
	_maxHeld    = 64
	// _maxReported bounds the traits accused in a bulletin.
	_maxReported = 128
	// _maxCompleted bounds the traits whose last whole answer is remembered.
	_maxCompleted = 8192
)

// Config configures a Quarantine.
type Config struct {
	// Elapsed is timer.Elapsed.
	Elapsed func() time.Duration
	// Probes reports whether this instance should send the next probe for a trait. It may
	// be true at several instances.
	Probes func(trait int) bool
	// Spread returns the time that findings need to reach all instances.
	Spread func() time.Duration
	// Changed is called after the set of held traits has changed, and when a probe is
	// wanted.
	Changed func()
	// Log receives the events.
	Log *event.Log
}

// Quarantine holds the findings of an instance. It is safe for concurrent use. Use
// New.
type Quarantine struct {
	cfg Config

	mu sync.Mutex
	// crashes are in the order of their times.
	crashes   []*crash
	completed map[int]completion
	held      map[int]hold
	// undecided is set while a trait could be held once time has passed.
	undecided bool
	// changed is set until Changed is called.
	changed bool
}

// crash is the end of a backend server.
type crash struct {
	server string
	at     time.Duration
	// traits are those that are accused.
	traits map[int]accusation
	// changedAt is when a trait was last added.
	changedAt time.Duration
}

// accusation is a trait accused by a crash. depth is its position among the traits of
// a request; own reports whether this instance has found it. sentAt is when the first
// of the requests with it that ran on the server was sent.
type accusation struct {
	depth  int
	own    bool
	sentAt time.Duration
}

// completion is the last whole answer to a request with a trait.
type completion struct {
	at time.Duration
	// own reports whether it was found by this instance, and reportedAt when it last
	// contradicted an accusation.
	own        bool
	reportedAt time.Duration
}

// hold is a held trait. since is the time of the first crash, probes the number of probes
// that all instances have counted, and probedAt the time at which the last one was.
type hold struct {
	since    time.Duration
	probes   int
	probedAt time.Duration
	// wanted is set once a request could be sent as the next probe, and granted while
	// this instance may send the last one that was counted.
	wanted  bool
	granted bool
}

// probeDue reports whether the next probe may be counted.
func (h hold) probeDue(now time.Duration) bool {
	switch h.probes {
	case 0:
		return now >= h.since+_probeInterval
	case _maxProbes:
		return false
	default:
		return now >= h.probedAt+_probeInterval<<h.probes
	}
}

// New returns a Quarantine that holds nothing.
func New(cfg Config) *Quarantine {
	return &Quarantine{
		cfg:       cfg,
		completed: map[int]completion{},
		held:      map[int]hold{},
	}
}

// Find returns a held trait among those of a request that is about to be sent, and how
// much longer it is held; 0 if the request may be sent. A request that may be sent
// although it has a held trait is a probe.
func (q *Quarantine) Find(traits []int) (trait int, left time.Duration) {
	q.mu.Lock()
	defer q.unlock()
	if len(q.held) == 0 {
		return 0, 0
	}
	now := q.cfg.Elapsed()
	granted := 0
	for _, t := range traits {
		h, ok := q.held[t]
		switch {
		case !ok || now-h.since >= _holdDuration:
		case h.granted:
			granted++
		default:
			if left == 0 {
				trait, left = t, h.since+_holdDuration-now
			}
			q.wantProbe(t, h, now)
		}
	}
	if left == 0 && granted > 0 {
		q.probe(traits, now)
	}

	return trait, left
}

// wantProbe notes that a request could be sent as a probe, if one is due.
func (q *Quarantine) wantProbe(trait int, h hold, now time.Duration) {
	if h.wanted || !h.probeDue(now) || !q.cfg.Probes(trait) {
		return
	}
	h.wanted = true
	q.held[trait] = h
	q.changed = true
}

// probe uses up the probes of the held traits of a request that is sent as one.
func (q *Quarantine) probe(traits []int, now time.Duration) {
	for _, t := range traits {
		h, ok := q.held[t]
		if !ok || !h.granted {
			continue
		}
		h.granted = false
		q.held[t] = h
		q.cfg.Log.Write(event.TraitProbed, zap.Int("Trait", t), zap.Int("Probe", h.probes), zap.Duration("HeldFor", now-h.since), zap.Duration("Counted", now-h.probedAt))
	}
}

// WantedProbes returns the held traits for which this instance has a request that it could
// send as the next probe. The probe must be counted where all instances see it, so that
// no other instance counts it too; GrantProbe then lets it be sent.
func (q *Quarantine) WantedProbes() []int {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.cfg.Elapsed()
	var out []int
	for _, t := range slices.Sorted(maps.Keys(q.held)) {
		h := q.held[t]
		if !h.wanted {
			continue
		}
		if h.wanted = h.probeDue(now) && q.cfg.Probes(t); h.wanted {
			out = append(out, t)
		}
		q.held[t] = h
	}

	return out
}

// GrantProbe lets the next request with a held trait be sent as a probe, which this
// instance has counted. probes is the number of probes counted, this one included. The
// count may already have been received.
func (q *Quarantine) GrantProbe(trait, probes int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	h, ok := q.held[trait]
	if !ok || probes < h.probes {
		return
	}
	now := q.cfg.Elapsed()
	h.probes = probes
	h.probedAt = now
	h.wanted = false
	h.granted = true
	q.held[trait] = h
	q.cfg.Log.Write(event.TraitProbeCounted, zap.Int("Trait", trait), zap.Int("Probe", probes), zap.Duration("HeldFor", now-h.since))
}

// ReceiveProbes adds the probes counted for traits that are held here.
func (q *Quarantine) ReceiveProbes(held []wire.HeldTrait) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.cfg.Elapsed()
	for _, f := range held {
		q.receiveProbes(f, now)
	}
}

func (q *Quarantine) receiveProbes(f wire.HeldTrait, now time.Duration) {
	h, ok := q.held[f.Trait]
	probes := min(f.Probes, _maxProbes)
	if !ok || probes <= 0 || probes < h.probes {
		return
	}
	probedAt := now - age(f.ProbedMS)
	if probes == h.probes {
		// An age that was kept in the store seems lower than it is.
		h.probedAt = min(h.probedAt, probedAt)
	} else {
		h = hold{
			since:    h.since,
			probes:   probes,
			probedAt: probedAt,
		}
	}
	q.held[f.Trait] = h
}

// Held returns the held traits in ascending order.
func (q *Quarantine) Held() []int {
	q.mu.Lock()
	defer q.mu.Unlock()

	return slices.Sorted(maps.Keys(q.held))
}

// unlock unlocks q.mu, and calls Changed if the set of held traits has changed.
func (q *Quarantine) unlock() {
	changed := q.changed
	q.changed = false
	q.mu.Unlock()
	if changed {
		q.cfg.Changed()
	}
}

// Crashed records that the connection to a backend server broke while a request
// with these traits ran there, the time ran after it was sent and the time ago before now.
func (q *Quarantine) Crashed(server string, traits []int, ran, ago time.Duration) {
	if len(traits) == 0 {
		return
	}
	q.mu.Lock()
	defer q.unlock()
	now := q.cfg.Elapsed()
	q.dropExpired(now)
	for depth, t := range traits {
		q.accuse(server, now-ago, t, accusation{
			depth:  depth,
			own:    true,
			sentAt: now - ago - ran,
		}, now)
	}
	q.decide(now)
}

// Completed records the whole answer to a request with these traits, which ended the given
// time ago.
func (q *Quarantine) Completed(traits []int, ago time.Duration) {
	if len(traits) == 0 {
		return
	}
	q.mu.Lock()
	defer q.unlock()
	now := q.cfg.Elapsed()
	for _, t := range traits {
		q.clear(t, now-ago, true, now)
	}
}

// Snapshot returns the recent findings for a bulletin. If forward is set it
// includes those of other instances.
func (q *Quarantine) Snapshot(forward bool) wire.CrashFindings {
	q.mu.Lock()
	defer q.unlock()
	now := q.cfg.Elapsed()
	q.dropExpired(now)
	if q.undecided {
		q.decide(now)
	}
	var out wire.CrashFindings
	reported := 0
	for _, c := range slices.Backward(q.crashes) {
		if now-c.changedAt > _reportDuration || reported >= _maxReported {
			continue
		}
		report := wire.ServerCrash{
			Server: c.server,
			AgeMS:  int((now - c.at).Milliseconds()),
		}
		for t, a := range c.traits {
			if (a.own || forward) && reported < _maxReported {
				report.Traits = append(report.Traits, t)
				report.Depths = append(report.Depths, a.depth)
				report.RanMS = append(report.RanMS, int((c.at - a.sentAt).Milliseconds()))
				reported++
			}
		}
		if len(report.Traits) > 0 {
			out.Crashes = append(out.Crashes, report)
		}
	}
	for t, done := range q.completed {
		if done.reportedAt != 0 && now-done.reportedAt <= _reportDuration && (done.own || forward) {
			out.Completed = append(out.Completed, newFinding(t, done.at, now))
		}
	}
	out.Held = q.findHeld(now)

	return out
}

// HeldFindings returns the held traits in ascending order, with their ages and probes.
func (q *Quarantine) HeldFindings() []wire.HeldTrait {
	q.mu.Lock()
	defer q.mu.Unlock()

	return q.findHeld(q.cfg.Elapsed())
}

func (q *Quarantine) findHeld(now time.Duration) []wire.HeldTrait {
	out := make([]wire.HeldTrait, 0, len(q.held))
	for _, t := range slices.Sorted(maps.Keys(q.held)) {
		h := q.held[t]
		f := wire.HeldTrait{
			Trait:  t,
			AgeMS:  int((now - h.since).Milliseconds()),
			Probes: h.probes,
		}
		if h.probes > 0 {
			f.ProbedMS = int((now - h.probedAt).Milliseconds())
		}
		out = append(out, f)
	}

	return out
}

func newFinding(trait int, at, now time.Duration) wire.TraitFinding {
	return wire.TraitFinding{
		Trait: trait,
		AgeMS: int((now - at).Milliseconds()),
	}
}

// Receive adds the findings of another instance.
func (q *Quarantine) Receive(f wire.CrashFindings) {
	if len(f.Crashes)+len(f.Completed)+len(f.Held) == 0 {
		return
	}
	q.mu.Lock()
	defer q.unlock()
	now := q.cfg.Elapsed()
	q.dropExpired(now)
	for _, done := range f.Completed {
		q.clear(done.Trait, now-age(done.AgeMS), false, now)
	}
	for _, c := range f.Crashes {
		at := now - age(c.AgeMS)
		for i, t := range c.Traits {
			if i < len(c.Depths) && i < len(c.RanMS) {
				q.accuse(c.Server, at, t, accusation{
					depth:  c.Depths[i],
					sentAt: at - age(c.RanMS[i]),
				}, now)
			}
		}
	}
	for _, h := range f.Held {
		q.hold(h.Trait, now-age(h.AgeMS), 0, now)
		q.receiveProbes(h, now)
	}
	q.decide(now)
}

// age returns the age in a finding. A greater one than _holdDuration makes no
// difference.
func age(ms int) time.Duration {
	return time.Duration(min(max(ms, 0), int(_holdDuration.Milliseconds()))) * time.Millisecond
}

// accuse adds a trait to those of a crash, unless it was answered whole since then.
func (q *Quarantine) accuse(server string, at time.Duration, trait int, a accusation, now time.Duration) {
	c := q.crashOf(server, at)
	if done, ok := q.completed[trait]; ok && done.at > c.at {
		done.reportedAt = now
		q.completed[trait] = done

		return
	}
	known, ok := c.traits[trait]
	if !ok && len(c.traits) >= _maxTraits {
		return
	}
	if ok {
		a.sentAt = min(a.sentAt, known.sentAt)
	}
	if ok && (known.own || !a.own) {
		known.sentAt = a.sentAt
		c.traits[trait] = known

		return
	}
	c.traits[trait] = a
	c.changedAt = now
}

// crashOf returns the crash of a server at about a time. A finding arrives after the
// time that it needs on its way, so that the earliest is the most exact.
func (q *Quarantine) crashOf(server string, at time.Duration) *crash {
	same := _sameCrash + q.cfg.Spread()
	for _, c := range q.crashes {
		if c.server == server && (at-c.at).Abs() <= same {
			if at < c.at {
				c.at = at
				slices.SortStableFunc(q.crashes, func(a, b *crash) int { return cmp.Compare(a.at, b.at) })
			}

			return c
		}
	}
	c := &crash{
		server: server,
		at:     at,
		traits: map[int]accusation{},
	}
	i, _ := slices.BinarySearchFunc(q.crashes, at, func(c *crash, at time.Duration) int { return cmp.Compare(c.at, at) })
	q.crashes = slices.Insert(q.crashes, i, c)
	if len(q.crashes) > _maxCrashes {
		q.crashes = slices.Delete(q.crashes, 0, 1)
	}

	return c
}

// explained reports whether a trait is held that the crash accuses.
func (q *Quarantine) explained(c *crash) bool {
	for trait := range c.traits {
		if _, held := q.held[trait]; held {
			return true
		}
	}

	return false
}

// clear records a whole answer at a time, and ends the earlier accusations of the
// trait.
func (q *Quarantine) clear(trait int, at time.Duration, own bool, now time.Duration) {
	done, ok := q.completed[trait]
	if ok && done.at >= at {
		return
	}
	done.at = at
	done.own = own
	for _, c := range q.crashes {
		if _, accused := c.traits[trait]; accused && c.at < at {
			delete(c.traits, trait)
			done.reportedAt = now
		}
	}
	if h, ok := q.held[trait]; ok && h.since < at {
		delete(q.held, trait)
		q.changed = true
		done.reportedAt = now
		q.cfg.Log.Write(event.TraitCleared, zap.Int("Trait", trait), zap.Duration("HeldFor", now-h.since), zap.Bool("Own", own))
	}
	q.completed[trait] = done
	if len(q.completed) > _maxCompleted {
		q.dropCompleted(now)
	}
}

// dropCompleted forgets the older half of the whole answers.
func (q *Quarantine) dropCompleted(now time.Duration) {
	ages := make([]time.Duration, 0, len(q.completed))
	for _, done := range q.completed {
		ages = append(ages, now-done.at)
	}
	slices.Sort(ages)
	median := ages[len(ages)/2]
	maps.DeleteFunc(q.completed, func(_ int, done completion) bool { return now-done.at >= median })
}

// tally counts the crashes that accuse a trait: all, and those that no held trait
// explains. depth is its greatest one, first the time of the first crash without an
// explanation, and reached that of the one from which on there are enough to hold it.
type tally struct {
	crashes     int
	unexplained int
	depth       int
	last        time.Duration
	first       time.Duration
	reached     time.Duration
}

// settled reports whether whole answers have had time to clear the trait, and the
// findings of all instances about the decisive crash time to arrive: an instance
// that doesn't know all of them would hold what else ran on the server.
func (t tally) settled(now, spread time.Duration) bool {
	return now-t.first >= _settleTime && now-t.reached >= spread
}

// decide holds the traits that explain crashes.
func (q *Quarantine) decide(now time.Duration) {
	spread := q.cfg.Spread()
	for {
		tallies := q.count()
		accused := explaining(tallies)
		q.undecided = len(accused) > 0
		settled := slices.DeleteFunc(slices.Clone(accused), func(trait int) bool { return !tallies[trait].settled(now, spread) })
		if len(settled) == 0 || len(accused) > 1 && tallies[accused[0]].unexplained < _minCrashesTied {
			return
		}
		for _, trait := range settled {
			if !q.hold(trait, tallies[trait].first, tallies[trait].unexplained, now) {
				return
			}
		}
	}
}

// explaining returns the most specific of the traits that may explain the crashes. Those
// that are explained already count in the comparison: a part that several held requests
// have in common explains more than each of them.
func explaining(tallies map[int]tally) []int {
	most := 0
	for _, t := range tallies {
		most = max(most, t.crashes)
	}
	var best []int
	depth := 0
	for trait, t := range tallies {
		if t.unexplained < _minCrashes || float64(t.crashes) < _nearMost*float64(most) || t.depth < depth {
			continue
		}
		if t.depth > depth {
			best, depth = nil, t.depth
		}
		best = append(best, trait)
	}

	return best
}

// count returns how many crashes accuse each trait. Crashes within _separation count
// as one, unless all requests with the trait were sent after the one before.
func (q *Quarantine) count() map[int]tally {
	tallies := map[int]tally{}
	for _, c := range q.crashes {
		explained := q.explained(c)
		for trait, a := range c.traits {
			t, ok := tallies[trait]
			t.depth = max(t.depth, a.depth)
			if !ok || c.at-t.last >= _separation || a.sentAt >= t.last-_orderTolerance {
				t.add(c.at, explained)
			}
			tallies[trait] = t
		}
	}

	return tallies
}

// add counts a crash.
func (t *tally) add(at time.Duration, explained bool) {
	t.crashes++
	t.last = at
	if explained {
		return
	}
	t.unexplained++
	if t.unexplained == 1 {
		t.first = at
	}
	if t.unexplained == _minCrashes {
		t.reached = at
	}
}

// hold holds a trait because of crashes from the time since on, as found here or, if
// crashes is 0, by another instance. It reports whether the trait is held.
func (q *Quarantine) hold(trait int, since time.Duration, crashes int, now time.Duration) bool {
	if done, ok := q.completed[trait]; ok && done.at > since {
		done.reportedAt = now
		q.completed[trait] = done

		return false
	}
	if h, ok := q.held[trait]; ok {
		// A trait that was restored from the store seems younger than it is.
		h.since = min(h.since, since)
		q.held[trait] = h
	} else {
		if len(q.held) >= _maxHeld || now-since >= _holdDuration {
			return false
		}
		q.held[trait] = hold{since: since}
		q.changed = true
		q.cfg.Log.Write(event.TraitHeld, zap.Int("Trait", trait), zap.Int("Crashes", crashes), zap.Duration("Since", now-since))
	}

	return true
}

// dropExpired drops holds and crashes that no longer matter.
func (q *Quarantine) dropExpired(now time.Duration) {
	for t, h := range q.held {
		if now-h.since >= _holdDuration {
			delete(q.held, t)
			q.changed = true
			q.cfg.Log.Write(event.TraitCleared, zap.Int("Trait", t), zap.Duration("HeldFor", now-h.since), zap.Bool("Own", false))
		}
	}
	q.crashes = slices.DeleteFunc(q.crashes, func(c *crash) bool {
		if len(c.traits) == 0 {
			return now-c.at >= _clearedRetention
		}

		return now-c.at >= _holdDuration
	})
}
