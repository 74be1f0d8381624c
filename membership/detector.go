package membership

import (
	"encoding/json"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"papayastair.dev/papayastair/event"
	"papayastair.dev/papayastair/objectstore"
	"papayastair.dev/papayastair/timer"
	"papayastair.dev/papayastair/wire"
)

// KindMember is the object kind of the entries in the platform's member list.
const KindMember = "Member"

const (
	_probeInterval          = time.Second
	_indirectProbes         = 3
	_suspicionTimeout       = 3 * time.Second
	_removeAfter            = time.Minute
	_serverSuspicionTimeout = 5 * time.Second
	_pauseThreshold         = 2500 * time.Millisecond
	// _listInterval and _fullListInterval are means; each interval is drawn
	// at random between 0.5 and 1.5 times the mean.
	_listInterval     = 5 * time.Second
	_fullListInterval = 10 * time.Minute
)

// Detector maintains one instance's view of the members. The exported fields
// must be set before Start is called. All methods are safe for concurrent
// use. The function fields are called with the detector's mutex held: they
// must not call done before they return, and must call it once.
type Detector struct {
	// Self describes this instance. Its Incarnation must be higher than that
	// of any earlier start.
	Self wire.Member
	// Timer provides the clock and the timers.
	Timer *timer.Service
	// Random randomizes the probe order and the times of probes and list
	// reads.
	Random *rand.Rand
	// PeerAddresses lists the addresses to probe while no other instance is
	// known.
	PeerAddresses []string
	// Probe sends a probe to the instance at address. It fails after 500 ms
	// without a reply, or after 800 ms if the probe names a target.
	Probe func(address string, probe wire.Probe, done func(wire.ProbeReply, error))
	// ReadList reads the platform's member list: the whole list if after is 0,
	// otherwise the changes after that revision, for which it may block for a
	// long time.
	ReadList func(after int, done func(wire.ObjectList, error))
	// Log receives the membership events.
	Log *event.Log
	// Disabled turns off mechanisms, for tests that demonstrate their effect.
	Disabled DisabledMechanisms

	mu          sync.Mutex
	tick        *timer.Subscription
	lastTick    time.Time
	pauses      int
	refutations int
	own         wire.Finding
	members     map[string]*memberState
	// cachedPeerNames caches the result of peerNames. It is nil after a change.
	cachedPeerNames []string
	probeOrder      []string
	gossip          gossipQueue
	list            listState
}

// DisabledMechanisms selects mechanisms of a Detector to turn off.
type DisabledMechanisms struct {
	// Refutation turns off the refutation of findings about this instance.
	Refutation bool
	// PauseDetection turns off the compensation for pauses of this process, so
	// that probes and suspicions that timed out during one still count.
	PauseDetection bool
}

// memberState is the state kept for one other member.
type memberState struct {
	info    wire.Member
	finding wire.Finding
	listed  bool
	// configured reports whether the configuration names the backend server.
	configured bool
	// healthSince is the time of the last change of health or incarnation, or
	// of the last renewal of a suspicion. It is shifted by the duration of a
	// pause of this process.
	healthSince time.Time
}

// listState tracks the reads of the platform's member list.
type listState struct {
	inFlight bool
	// loaded reports whether the list has been read since Start.
	loaded       bool
	failing      bool
	revision     int
	nextRead     time.Time
	nextFullRead time.Time
}

// Start starts probing and reading the platform's list.
func (d *Detector) Start() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.members = map[string]*memberState{}
	d.own = wire.Finding{
		Name:        d.Self.Name,
		Incarnation: d.Self.Incarnation,
		Health:      wire.FindingHealthAlive,
		Member:      toPeerMember(d.Self),
	}
	d.gossip.enqueue(d.own)
	now := d.Timer.Now()
	d.lastTick = now
	d.readListIfDue(now)
	phase := time.Duration(d.Random.Int64N(int64(_probeInterval)))
	d.tick = d.Timer.After(phase, func(now time.Time) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.tick = d.Timer.Every(_probeInterval, d.onTick)
		d.probeNext(now)
	})
}

// Stop stops probing.
func (d *Detector) Stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tick.Stop()
}

// Leave announces to peers that this instance accepts no new work. The
// instance continues to probe and to answer probes.
func (d *Detector) Leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.own.Refutation++
	d.own.Leaving = true
	d.gossip.enqueue(d.own)
	d.probeRandomPeers()
}

// SetConfiguredServers sets the backend servers that the configuration names. They
// are part of the view even while the platform doesn't list them.
func (d *Detector) SetConfiguredServers(servers []wire.BackendServer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range d.members {
		m.configured = false
	}
	for _, server := range servers {
		m, known := d.members[server.Name]
		if !known {
			m = &memberState{
				info: memberFromServer(server),
				finding: wire.Finding{
					Name:   server.Name,
					Health: wire.FindingHealthAlive,
				},
				healthSince: d.Timer.Now(),
			}
			d.members[server.Name] = m
		}
		m.configured = true
	}
}

// ReportServerState applies a backend server's report of whether it is leaving,
// stamped with the server's own clock. A report that is not newer than the
// last one is ignored.
func (d *Detector) ReportServerState(name string, leaving bool, atUnixMilliseconds int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m, ok := d.members[name]
	if !ok || m.info.Role == wire.MemberRoleEntry || atUnixMilliseconds <= m.finding.Refutation {
		return
	}
	if m.finding.Leaving == leaving && m.finding.Health == wire.FindingHealthAlive {
		return
	}
	defer d.probeRandomPeers()
	d.handleFinding(wire.Finding{
		Name:        name,
		Incarnation: m.finding.Incarnation,
		Refutation:  atUnixMilliseconds,
		Health:      wire.FindingHealthAlive,
		Leaving:     leaving,
	})
}

// ReportConnectionFailure marks a backend server suspect after it refused or broke a
// connection. The suspicion expires after 5 s unless it is renewed, and is
// cleared by the server's next report about itself.
func (d *Detector) ReportConnectionFailure(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m, ok := d.members[name]
	if !ok || m.info.Role == wire.MemberRoleEntry {
		return
	}
	if m.finding.Health == wire.FindingHealthSuspect {
		m.healthSince = d.Timer.Now()

		return
	}
	d.recordHealth(name, wire.FindingHealthSuspect)
}

// Peers returns the other instances that are not considered failed,
// including leaving ones.
func (d *Detector) Peers() []wire.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	names := d.peerNames()
	peers := make([]wire.Member, 0, len(names))
	for _, name := range names {
		if m := d.members[name]; m.finding.Health != wire.FindingHealthFailed {
			peers = append(peers, m.info)
		}
	}

	return peers
}

// CountInstances returns the number of entry instances that are alive and the number
// of all known ones. Both include this instance.
func (d *Detector) CountInstances() (alive, listed int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	alive, listed = 1, 1
	for _, m := range d.members {
		if !m.isPeer() {
			continue
		}
		listed++
		if m.finding.Health == wire.FindingHealthAlive {
			alive++
		}
	}

	return alive, listed
}

// HasList reports whether the platform's list has been read since Start.
// Until then, Members may be far from complete.
func (d *Detector) HasList() bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.list.loaded
}

// Members returns all members, including this instance, sorted by name.
func (d *Detector) Members() []Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	members := make([]Member, 0, len(d.members)+1)
	members = append(members, Member{
		Member:  d.Self,
		Health:  d.own.Health,
		Leaving: d.own.Leaving,
		Listed:  true,
	})
	for _, m := range d.members {
		members = append(members, Member{
			Member:  m.info,
			Health:  m.effectiveHealth(d.Timer.Now()),
			Leaving: m.finding.Leaving || m.info.State == wire.MemberStateLeaving,
			Listed:  m.listed,
		})
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })

	return members
}

// Status returns this instance's view for operators.
func (d *Detector) Status() Status {
	members := d.Members()
	d.mu.Lock()
	defer d.mu.Unlock()

	return Status{
		Members:     members,
		OutOfTouch:  unreachableRegions(members, d.Self.Region),
		Refutations: d.refutations,
	}
}

func (d *Detector) onTick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.detectPause(now)
	d.expire(now)
	d.readListIfDue(now)
	d.probeNext(now)
}

// detectPause compensates for time in which this process did not run. Probes
// that timed out meanwhile are no evidence against other instances, and the
// timeouts of suspicions are extended by the length of the pause, so that
// suspects still have time to refute them.
func (d *Detector) detectPause(now time.Time) {
	gap := now.Sub(d.lastTick)
	d.lastTick = now
	if gap < _pauseThreshold || d.Disabled.PauseDetection {
		return
	}
	d.pauses++
	for _, m := range d.members {
		m.healthSince = m.healthSince.Add(gap)
	}
	d.Log.Write(event.PauseNoticed, zap.Duration("Gap", gap))
}

// expire marks suspect instances failed after the suspicion timeout, and
// removes members that are neither listed nor configured and have been in
// their present state for _removeAfter. An instance is removed only if it has
// failed.
func (d *Detector) expire(now time.Time) {
	limit := d.suspicionTimeout()
	var names []string
	for name, m := range d.members {
		if !m.listed || m.finding.Health != wire.FindingHealthAlive {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		m := d.members[name]
		age := now.Sub(m.healthSince)
		suspect := m.finding.Health == wire.FindingHealthSuspect
		switch {
		case suspect && m.isPeer() && age >= limit:
			d.recordHealth(name, wire.FindingHealthFailed)
			d.probeRandomPeers()
		case !m.listed && !m.configured && age >= _removeAfter && (!m.isPeer() || m.finding.Health == wire.FindingHealthFailed):
			delete(d.members, name)
			d.cachedPeerNames = nil
			d.Log.Write(event.MemberGone, zap.String("Member", name))
		}
	}
}

// suspicionTimeout returns the time that a suspect instance has to refute the
// suspicion. It grows with the logarithm of the number of instances, as
// gossip takes longer to reach all instances of a larger fleet.
func (d *Detector) suspicionTimeout() time.Duration {
	return time.Duration(float64(_suspicionTimeout) * max(1, math.Log10(float64(len(d.peerNames())+1))))
}

// peerNames returns the sorted names of the other instances. The caller must
// not modify the slice.
func (d *Detector) peerNames() []string {
	if d.cachedPeerNames != nil {
		return d.cachedPeerNames
	}
	d.cachedPeerNames = make([]string, 0, len(d.members))
	for name, m := range d.members {
		if m.isPeer() {
			d.cachedPeerNames = append(d.cachedPeerNames, name)
		}
	}
	slices.Sort(d.cachedPeerNames)

	return d.cachedPeerNames
}

func (m *memberState) isPeer() bool {
	return m.info.Role == wire.MemberRoleEntry && m.info.PeerAddress != ""
}

// effectiveHealth returns the health to report to callers. Backend servers are
// not probed, so a suspicion of one expires after _serverSuspicionTimeout. Its
// finding is kept, so that copies that are still being gossiped are recognized
// as old.
func (m *memberState) effectiveHealth(now time.Time) wire.FindingHealth {
	if m.info.Role != wire.MemberRoleEntry && now.Sub(m.healthSince) >= _serverSuspicionTimeout {
		return wire.FindingHealthAlive
	}

	return m.finding.Health
}

// handleFinding processes a finding from this instance or from a peer. A
// finding about this instance is refuted if it is wrong; one about another
// member is gossiped further if it is new.
func (d *Detector) handleFinding(f wire.Finding) {
	if f.Name == d.Self.Name {
		d.refute(f)
	} else if d.applyFinding(f) {
		d.gossip.enqueue(f)
	}
}

// applyFinding stores a finding about another member if it supersedes the
// present one, and reports whether it did. A finding about an unknown member
// is stored only if it describes the member.
func (d *Detector) applyFinding(f wire.Finding) bool {
	m, known := d.members[f.Name]
	if !known {
		if f.Member.PeerAddress == "" {
			return false
		}
		m = &memberState{healthSince: d.Timer.Now()}
		d.members[f.Name] = m
		d.cachedPeerNames = nil
	}
	if known && !supersedes(f, m.finding) {
		return false
	}
	if f.Member.PeerAddress != "" {
		m.info = memberFromFinding(f)
		d.cachedPeerNames = nil
	}
	before := m.finding
	m.finding = f
	if before.Health != f.Health || before.Incarnation != f.Incarnation {
		m.healthSince = d.Timer.Now()
	}
	d.logChange(before, f)

	return true
}

// refute gossips a newer finding about this instance if f is wrong about it.
// An f that has already been refuted is answered with the earlier refutation
// again, which may have been lost.
func (d *Detector) refute(f wire.Finding) {
	if d.Disabled.Refutation || f.Health == wire.FindingHealthAlive && f.Incarnation <= d.own.Incarnation {
		return
	}
	if f.Incarnation <= d.own.Incarnation && !supersedes(f, d.own) {
		d.gossip.enqueue(d.own)

		return
	}
	if f.Incarnation > d.own.Incarnation {
		// The clock was set back between two starts of this instance.
		d.own.Incarnation = f.Incarnation + 1
	}
	d.own.Refutation = f.Refutation + 1
	d.refutations++
	d.gossip.enqueue(d.own)
	d.probeRandomPeers()
	d.Log.Write(event.SelfSuspected, zap.String("Health", string(f.Health)), zap.Int("Refutation", d.own.Refutation))
}

// probeRandomPeers probes a few random peers at once, to spread new findings
// faster than the periodic probes do.
func (d *Detector) probeRandomPeers() {
	for _, name := range d.randomAlivePeers("") {
		d.probePeer(name)
	}
}

// recordHealth records and gossips a health that this instance has detected
// for another member.
func (d *Detector) recordHealth(name string, health wire.FindingHealth) {
	m, ok := d.members[name]
	if !ok {
		return
	}
	f := m.finding
	f.Health = health
	f.Member = wire.PeerMember{}
	d.handleFinding(f)
}

func (d *Detector) logChange(before, after wire.Finding) {
	var kind *event.Kind
	switch {
	case before.Incarnation != after.Incarnation:
		kind = event.MemberJoined
	case before.Health == after.Health && after.Leaving && !before.Leaving:
		kind = event.MemberLeaving
	case before.Health == after.Health:
		return
	case after.Health == wire.FindingHealthSuspect:
		kind = event.MemberSuspect
	case after.Health == wire.FindingHealthFailed:
		kind = event.MemberFailed
	default:
		kind = event.MemberAlive
	}
	d.Log.Write(kind,
		zap.String("Member", after.Name),
		zap.Int("Incarnation", after.Incarnation),
		zap.Int("Refutation", after.Refutation),
		zap.Bool("Leaving", after.Leaving))
}

// readListIfDue reads the platform's list if the next read is due. It reads
// the whole list at first and every 10 minutes on average, in case changes
// were lost, and only the changes otherwise.
func (d *Detector) readListIfDue(now time.Time) {
	l := &d.list
	if l.inFlight || now.Before(l.nextRead) {
		return
	}
	if now.After(l.nextFullRead) {
		l.revision = 0
		l.nextFullRead = now.Add(_fullListInterval/2 + time.Duration(d.Random.Int64N(int64(_fullListInterval))))
	}
	l.inFlight = true
	after := l.revision
	d.ReadList(after, func(list wire.ObjectList, err error) {
		d.mu.Lock()
		defer d.mu.Unlock()
		l.inFlight = false
		l.nextRead = d.Timer.Now().Add(_listInterval/2 + time.Duration(d.Random.Int64N(int64(_listInterval))))
		d.handleList(after == 0, list, err)
	})
}

func (d *Detector) handleList(whole bool, list wire.ObjectList, err error) {
	if err != nil {
		if objectstore.CodeOf(err) == objectstore.CodeGone {
			d.list.revision = 0
		} else if !d.list.failing {
			d.Log.Write(event.ListUnreadable, zap.Error(err))
		}
		d.list.failing = true

		return
	}
	d.list.failing = false
	if list.Version < d.list.revision {
		return
	}
	d.list.revision = list.Version
	d.list.loaded = true
	listed := map[string]bool{}
	for _, object := range list.Objects {
		listed[object.Name] = true
		d.applyListedObject(object)
	}
	for name, m := range d.members {
		if whole && !listed[name] {
			m.listed = false
		}
	}
}

func (d *Detector) applyListedObject(object wire.Object) {
	m, known := d.members[object.Name]
	if object.Value == "" {
		if known {
			m.listed = false
		}

		return
	}
	var info wire.Member
	if err := json.Unmarshal([]byte(object.Value), &info); err != nil || info.Name != object.Name || info.Name == d.Self.Name {
		return
	}
	if !known {
		m = &memberState{healthSince: d.Timer.Now()}
		d.members[info.Name] = m
		d.cachedPeerNames = nil
	}
	m.listed = true
	if info.Role != wire.MemberRoleEntry {
		// Findings about backend servers are ordered by the timestamps of the
		// servers' reports, not by incarnation.
		info.Incarnation = 0
	}
	if info.Incarnation < m.finding.Incarnation {
		return
	}
	m.info = info
	d.cachedPeerNames = nil
	if info.Incarnation == m.finding.Incarnation && known {
		return
	}
	m.finding = wire.Finding{
		Name:        info.Name,
		Incarnation: info.Incarnation,
		Health:      wire.FindingHealthAlive,
	}
}

func toPeerMember(m wire.Member) wire.PeerMember {
	return wire.PeerMember{
		Region:        m.Region,
		FailureDomain: m.FailureDomain,
		Size:          m.Size,
		CallerAddress: m.CallerAddress,
		PeerAddress:   m.PeerAddress,
	}
}

func memberFromServer(server wire.BackendServer) wire.Member {
	role := wire.MemberRoleEngine
	if server.Kind == wire.BackendServerKindService {
		role = wire.MemberRoleService
	}

	return wire.Member{
		Name:          server.Name,
		Role:          role,
		State:         wire.MemberStateLive,
		FailureDomain: server.FailureDomain,
		Size:          1,
		CallerAddress: server.Address,
	}
}

func memberFromFinding(f wire.Finding) wire.Member {
	return wire.Member{
		Name:          f.Name,
		Role:          wire.MemberRoleEntry,
		State:         wire.MemberStateLive,
		Region:        f.Member.Region,
		FailureDomain: f.Member.FailureDomain,
		Size:          f.Member.Size,
		CallerAddress: f.Member.CallerAddress,
		PeerAddress:   f.Member.PeerAddress,
		Incarnation:   f.Incarnation,
	}
}
