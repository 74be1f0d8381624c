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

// KindMember is the kind of the entries of the platform's list.
const KindMember = "Member"

const (
	_period          = time.Second
	_indirectProbes  = 3
	_suspicion       = 3 * time.Second
	_forgetAfter     = time.Minute
	_serverSuspicion = 5 * time.Second
	_pauseAfter      = 2500 * time.Millisecond
	_minListPeriod   = 5 * time.Second
	_relistPeriod    = 10 * time.Minute
)

// Detector is one instance's view of the members. Set the exported fields,
// then call Start. All methods are safe for concurrent use. The function
// fields must not call done before they return, and must call it once.
type Detector struct {
	// Self describes this instance; its Incarnation is higher than at any
	// earlier start.
	Self wire.Member
	// Timer is the clock.
	Timer *timer.Service
	// Random orders the probes.
	Random *rand.Rand
	// PeerAddresses are probed while no other instance is known.
	PeerAddresses []string
	// Probe calls an instance; it fails within half of a second if there is
	// no answer.
	Probe func(address string, probe wire.Probe, done func(wire.ProbeReply, error))
	// ReadList reads the platform's list: all of it if after is 0, otherwise
	// what changes after that revision, for which it may wait long.
	ReadList func(after int, done func(wire.ObjectList, error))
	// Log gets the events.
	Log *event.Log
	// Unguarded switches guards off, for tests that show what they are for.
	Unguarded Unguarded

	mu          sync.Mutex
	tick        *timer.Subscription
	last        time.Time
	wakes       int
	refutations int
	own         wire.Finding
	members     map[string]*member
	// names caches peers; nil after a change.
	names  []string
	order  []string
	gossip gossip
	list   listing
}

// Unguarded names guards that are off.
type Unguarded struct {
	// Refute is off: an instance doesn't deny suspicions.
	Refute bool
	// Pause is off: an instance that was paused trusts what it found.
	Pause bool
}

// member is what is known of one other member.
type member struct {
	info    wire.Member
	finding wire.Finding
	listed  bool
	// configured says that the configuration names the backend server.
	configured bool
	// since is when the health became what it is.
	since time.Time
}

// listing is the state of reading the platform's list.
type listing struct {
	busy bool
	// read says that the list was read since the start.
	read     bool
	failing  bool
	revision int
	next     time.Time
	relist   time.Time
}

// Start begins to probe and to read the platform's list.
func (d *Detector) Start() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.members = map[string]*member{}
	d.own = wire.Finding{
		Name:        d.Self.Name,
		Incarnation: d.Self.Incarnation,
		Health:      wire.FindingHealthAlive,
		Member:      describe(d.Self),
	}
	d.gossip.add(d.own)
	now := d.Timer.Now()
	d.last = now
	d.readListIfDue(now)
	phase := time.Duration(d.Random.Int64N(int64(_period)))
	d.tick = d.Timer.After(phase, func(now time.Time) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.tick = d.Timer.Every(_period, d.onTick)
		d.probeNext(now)
	})
}

// Stop ends the probing.
func (d *Detector) Stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tick.Stop()
}

// Leave announces that this instance wants no new work. It goes on to answer.
func (d *Detector) Leave() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.own.Refutation++
	d.own.Leaving = true
	d.gossip.add(d.own)
	d.push()
}

// KnowServers tells which backend servers the configuration names, so that
// they have a place in the view even while the platform doesn't list them.
func (d *Detector) KnowServers(servers []wire.BackendServer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range d.members {
		m.configured = false
	}
	for _, server := range servers {
		m, known := d.members[server.Name]
		if !known {
			m = &member{
				info: describeServer(server),
				finding: wire.Finding{
					Name:   server.Name,
					Health: wire.FindingHealthAlive,
				},
				since: d.Timer.Now(),
			}
			d.members[server.Name] = m
		}
		m.configured = true
	}
}

// ReportServer notes what a backend server says of itself, at a time in its
// own clock.
func (d *Detector) ReportServer(name string, leaving bool, atUnixMilliseconds int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m, ok := d.members[name]
	if !ok || m.info.Role == wire.MemberRoleEntry || atUnixMilliseconds <= m.finding.Refutation {
		return
	}
	if m.finding.Leaving == leaving && m.finding.Health == wire.FindingHealthAlive {
		return
	}
	defer d.push()
	d.learn(wire.Finding{
		Name:        name,
		Incarnation: m.finding.Incarnation,
		Refutation:  atUnixMilliseconds,
		Health:      wire.FindingHealthAlive,
		Leaving:     leaving,
	})
}

// ReportRefused notes that a backend server refused a connection or broke
// it. The suspicion lapses after 5 s unless it is renewed, and ends with the
// server's next own words.
func (d *Detector) ReportRefused(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m, ok := d.members[name]
	if !ok || m.info.Role == wire.MemberRoleEntry {
		return
	}
	if m.finding.Health == wire.FindingHealthSuspect {
		m.since = d.Timer.Now()

		return
	}
	d.accuse(name, wire.FindingHealthSuspect)
}

// Peers are the other instances that aren't taken for failed, leaving ones
// among them.
func (d *Detector) Peers() []wire.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	names := d.peers()
	peers := make([]wire.Member, 0, len(names))
	for _, name := range names {
		if m := d.members[name]; m.finding.Health != wire.FindingHealthFailed {
			peers = append(peers, m.info)
		}
	}

	return peers
}

// Reach counts the entry instances that are alive, and all that are known,
// this one among both.
func (d *Detector) Reach() (alive, listed int) {
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

// HasList reports whether the platform's list was read since the start. Until
// then Members may lack many.
func (d *Detector) HasList() bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	return d.list.read
}

// Members are all members, this instance among them, sorted by name.
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
			Health:  m.health(d.Timer.Now()),
			Leaving: m.finding.Leaving || m.info.State == wire.MemberStateLeaving,
			Listed:  m.listed,
		})
	}
	slices.SortFunc(members, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })

	return members
}

// Status tells operators what this instance sees.
func (d *Detector) Status() Status {
	members := d.Members()
	d.mu.Lock()
	defer d.mu.Unlock()

	return Status{
		Members:     members,
		OutOfTouch:  outOfTouch(members, d.Self.Region),
		Refutations: d.refutations,
	}
}

func (d *Detector) onTick(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.noticePause(now)
	d.expire(now)
	d.readListIfDue(now)
	d.probeNext(now)
}

// noticePause makes up for time in which this process did not run: probes
// that ran out meanwhile say nothing of others, and suspicions get the time
// to be denied.
func (d *Detector) noticePause(now time.Time) {
	gap := now.Sub(d.last)
	d.last = now
	if gap < _pauseAfter || d.Unguarded.Pause {
		return
	}
	d.wakes++
	for _, m := range d.members {
		m.since = m.since.Add(gap)
	}
	d.Log.Write(event.PauseNoticed, zap.Duration("Gap", gap))
}

// expire ends suspicions and forgets members that are gone.
func (d *Detector) expire(now time.Time) {
	limit := d.suspicion()
	var names []string
	for name, m := range d.members {
		if !m.listed || m.finding.Health != wire.FindingHealthAlive {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		m := d.members[name]
		age := now.Sub(m.since)
		suspect := m.finding.Health == wire.FindingHealthSuspect
		switch {
		case suspect && m.isPeer() && age >= limit:
			d.accuse(name, wire.FindingHealthFailed)
			d.push()
		case !m.listed && !m.configured && age >= _forgetAfter && (!m.isPeer() || m.finding.Health == wire.FindingHealthFailed):
			delete(d.members, name)
			d.names = nil
			d.Log.Write(event.MemberGone, zap.String("Member", name))
		}
	}
}

// suspicion is how long a suspect has to deny it: longer where the news
// travels longer.
func (d *Detector) suspicion() time.Duration {
	return time.Duration(float64(_suspicion) * max(1, math.Log10(float64(len(d.peers())+1))))
}

// peers are the names of the other instances, sorted. The slice must not be
// changed.
func (d *Detector) peers() []string {
	if d.names != nil {
		return d.names
	}
	d.names = make([]string, 0, len(d.members))
	for name, m := range d.members {
		if m.isPeer() {
			d.names = append(d.names, name)
		}
	}
	slices.Sort(d.names)

	return d.names
}

func (m *member) isPeer() bool {
	return m.info.Role == wire.MemberRoleEntry && m.info.PeerAddress != ""
}

// health is the health that counts. Nobody probes backend servers here, so a
// suspicion of one lapses; its finding stays, so that copies of it that still
// travel are known.
func (m *member) health(now time.Time) wire.FindingHealth {
	if m.info.Role != wire.MemberRoleEntry && now.Sub(m.since) >= _serverSuspicion {
		return wire.FindingHealthAlive
	}

	return m.finding.Health
}

// learn takes a finding if it is newer than what is known, and passes it on.
func (d *Detector) learn(f wire.Finding) {
	if f.Name == d.Self.Name {
		d.refute(f)
	} else if d.take(f) {
		d.gossip.add(f)
	}
}

// take takes a finding about another member if it is newer than what is
// known, and reports whether it is.
func (d *Detector) take(f wire.Finding) bool {
	m, known := d.members[f.Name]
	if !known {
		if f.Member.PeerAddress == "" {
			return false
		}
		m = &member{since: d.Timer.Now()}
		d.members[f.Name] = m
		d.names = nil
	}
	if known && !newer(f, m.finding) {
		return false
	}
	if f.Member.PeerAddress != "" {
		m.info = memberOf(f)
		d.names = nil
	}
	before := m.finding
	m.finding = f
	if before.Health != f.Health || before.Incarnation != f.Incarnation {
		m.since = d.Timer.Now()
	}
	d.logChange(before, f)

	return true
}

// refute denies what others say of this instance, if it is wrong. An old
// accusation is answered with the denial made before, which may have been
// lost.
func (d *Detector) refute(f wire.Finding) {
	if d.Unguarded.Refute || f.Health == wire.FindingHealthAlive && f.Incarnation <= d.own.Incarnation {
		return
	}
	if f.Incarnation <= d.own.Incarnation && !newer(f, d.own) {
		d.gossip.add(d.own)

		return
	}
	if f.Incarnation > d.own.Incarnation {
		// The clock went back between two starts.
		d.own.Incarnation = f.Incarnation + 1
	}
	d.own.Refutation = f.Refutation + 1
	d.refutations++
	d.gossip.add(d.own)
	d.push()
	d.Log.Write(event.SelfSuspected, zap.String("Health", string(f.Health)), zap.Int("Refutation", d.own.Refutation))
}

// push spreads news faster than the periodic probes do.
func (d *Detector) push() {
	for _, name := range d.helpers("") {
		d.probeOne(name)
	}
}

// accuse records what this instance has found out about another.
func (d *Detector) accuse(name string, health wire.FindingHealth) {
	m, ok := d.members[name]
	if !ok {
		return
	}
	f := m.finding
	f.Health = health
	f.Member = wire.PeerMember{}
	d.learn(f)
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

// readListIfDue reads the platform's list: whole at first and now and then,
// in case changes were lost, otherwise what has changed.
func (d *Detector) readListIfDue(now time.Time) {
	l := &d.list
	if l.busy || now.Before(l.next) {
		return
	}
	if now.After(l.relist) {
		l.revision = 0
		l.relist = now.Add(_relistPeriod/2 + time.Duration(d.Random.Int64N(int64(_relistPeriod))))
	}
	l.busy = true
	after := l.revision
	d.ReadList(after, func(list wire.ObjectList, err error) {
		d.mu.Lock()
		defer d.mu.Unlock()
		l.busy = false
		l.next = d.Timer.Now().Add(_minListPeriod/2 + time.Duration(d.Random.Int64N(int64(_minListPeriod))))
		d.onList(after == 0, list, err)
	})
}

func (d *Detector) onList(whole bool, list wire.ObjectList, err error) {
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
	d.list.read = true
	listed := map[string]bool{}
	for _, object := range list.Objects {
		listed[object.Name] = true
		d.onListed(object)
	}
	for name, m := range d.members {
		if whole && !listed[name] {
			m.listed = false
		}
	}
}

func (d *Detector) onListed(object wire.Object) {
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
		m = &member{since: d.Timer.Now()}
		d.members[info.Name] = m
		d.names = nil
	}
	m.listed = true
	if info.Role != wire.MemberRoleEntry {
		// Findings about backend servers are ordered by the servers' clocks.
		info.Incarnation = 0
	}
	if info.Incarnation < m.finding.Incarnation {
		return
	}
	m.info = info
	d.names = nil
	if info.Incarnation == m.finding.Incarnation && known {
		return
	}
	m.finding = wire.Finding{
		Name:        info.Name,
		Incarnation: info.Incarnation,
		Health:      wire.FindingHealthAlive,
	}
}

func describe(m wire.Member) wire.PeerMember {
	return wire.PeerMember{
		Region:        m.Region,
		FailureDomain: m.FailureDomain,
		Size:          m.Size,
		CallerAddress: m.CallerAddress,
		PeerAddress:   m.PeerAddress,
	}
}

func describeServer(server wire.BackendServer) wire.Member {
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

func memberOf(f wire.Finding) wire.Member {
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
