package entry

import (
	"time"

	"github.com/rcrowley/go-metrics"
	"go.uber.org/zap"

	"papayastair.dev/papayastair/event"
	"papayastair.dev/papayastair/objectstore"
	"papayastair.dev/papayastair/wire"
)

// evacuationSet is the set of the evacuated failure domains. Until the evacuations have
// been read once it includes all failure domains; nil includes none.
type evacuationSet struct {
	listed  bool
	domains map[string]evacuation
}

// evacuation is the evacuation of one failure domain.
type evacuation struct {
	// revision is that of its object in the store.
	revision int
	// until is the time at which the evacuation ends unless its object, which is missing,
	// returns before; 0 while the object is there.
	until time.Duration
}

func newEvacuationSet() *evacuationSet {
	return &evacuationSet{domains: map[string]evacuation{}}
}

// includes reports whether nothing may be sent to the backend servers of a failure domain.
func (s *evacuationSet) includes(domain string) bool {
	if s == nil {
		return false
	}
	_, ok := s.domains[domain]

	return ok || !s.listed
}

// add adds an evacuation, and reports whether it is new.
func (s *evacuationSet) add(domain string, revision int) bool {
	_, ok := s.domains[domain]
	s.domains[domain] = evacuation{revision: revision}

	return !ok
}

// remove notes that the object of an evacuation is missing at the time now. It returns
// the time at which the evacuation ends, which is later than now if the object may still
// return for grace; 0 if there is no such evacuation.
func (s *evacuationSet) remove(domain string, grace, now time.Duration) time.Duration {
	v, ok := s.domains[domain]
	if !ok {
		return 0
	}
	v.until = now + grace
	s.domains[domain] = v

	return v.until
}

// end ends the evacuation that ends at the time until. It returns the revision of its
// object, and reports false if there is none, as the object has returned.
func (s *evacuationSet) end(domain string, until time.Duration) (revision int, ended bool) {
	v, ok := s.domains[domain]
	if !ok || v.until == 0 || v.until != until {
		return 0, false
	}
	delete(s.domains, domain)

	return v.revision, true
}

// evacuationFollower follows the evacuations of failure domains. The mutex of servers
// guards the set, so that a backend server's entry is applied either before a change of the
// set or with it.
type evacuationFollower struct {
	servers *serverFollower
	outage  *outage
	// elapsed is timer.Elapsed.
	elapsed func() time.Duration
}

// evacuationReaderAge returns the age of the evacuations at which the reader queries the
// store, which is as great as the bound permits, to save calls.
func evacuationReaderAge(bound time.Duration) time.Duration {
	return shareOf(bound, _readerShare)
}

func (e *Entry) followEvacuations(d Codec, servers *serverFollower) {
	f := evacuationFollower{
		servers: servers,
		outage:  newOutage(e.cfg.Settings.Bounds.EntryReturn),
		elapsed: e.evacuationChanges.elapsed,
	}
	objectstore.Follow(e.ctx, objectstore.FollowConfig{
		Store:   e.share(e.evacuationChanges, "Evacuations", f.outage.wrap),
		Kind:    d.EvacuationKind,
		Changed: f.handleChange,
		Current: func(int) { f.handleCurrent() },
		Log:     e.cfg.Log,
		Sleep:   e.evacuationChanges.sleep,
	})
}

// handleChange applies a new or changed evacuation, or the removal of one.
func (f *evacuationFollower) handleChange(object wire.Object) {
	s := f.servers
	s.mu.Lock()
	defer s.mu.Unlock()
	if object.Value != "" {
		if s.evacuations.add(object.Name, object.Version) {
			s.entry.evacuationTaken(object.Name, object.Version)
			s.applyEvacuations()
		}

		return
	}
	grace := f.outage.grace()
	until := s.evacuations.remove(object.Name, grace, f.elapsed())
	if grace == 0 {
		f.end(object.Name, until)

		return
	}
	time.AfterFunc(grace, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.entry.ctx.Err() == nil {
			f.end(object.Name, until)
		}
	})
}

// handleCurrent puts the set in effect when it has been read for the first time.
func (f *evacuationFollower) handleCurrent() {
	s := f.servers
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.evacuations.listed {
		return
	}
	s.evacuations.listed = true
	s.applyEvacuations()
	s.entry.evacuationsListed.Store(true)
}

// end ends the evacuation of a failure domain that ends at the time until, unless its
// object has returned. servers.mu must be held.
func (f *evacuationFollower) end(domain string, until time.Duration) {
	revision, ended := f.servers.evacuations.end(domain, until)
	if !ended {
		return
	}
	f.servers.entry.evacuationEnded(domain, revision)
	f.servers.applyEvacuations()
}

// applyEvacuations puts the set of evacuations in effect at the known backend servers.
// f.mu must be held.
func (f *serverFollower) applyEvacuations() {
	e := f.entry
	// The balancer's entries also have what the servers' answers have changed.
	for _, entry := range e.balancer.Servers() {
		evacuated := f.evacuations.includes(entry.FailureDomain)
		if entry.Evacuated == evacuated {
			continue
		}
		entry.Evacuated = evacuated
		e.balancer.SetServer(entry)
		e.steward.SetServer(entry)
	}
	e.wakeWaiters()
}

// evacuationTaken is called before an evacuation takes effect.
func (e *Entry) evacuationTaken(domain string, revision int) {
	metrics.GetOrRegisterCounter("Entry.Evacuations", e.cfg.Registry).Inc(1)
	e.cfg.Log.Write(event.EvacuationTaken, zap.String("FailureDomain", domain), zap.Int("Revision", revision), e.evacuationsAgeField())
}

// evacuationEnded is called before requests may be sent to the failure domain's backend
// servers again. These may have become cold meanwhile.
func (e *Entry) evacuationEnded(domain string, revision int) {
	e.balancer.MarkCold(domain)
	e.cfg.Log.Write(event.EvacuationEnded, zap.String("FailureDomain", domain), zap.Int("Revision", revision), e.evacuationsAgeField())
}

// evacuationsAgeField returns the age of what is known of the evacuations as a log field.
func (e *Entry) evacuationsAgeField() zap.Field {
	return zap.Duration("EvacuationsAge", min(e.evacuationChanges.age(), time.Hour))
}
