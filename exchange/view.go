package exchange

import (
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"papayastair.dev/papayastair/event"
	"papayastair.dev/papayastair/wire"
)

// Scopes of bulletins: the sender itself, a direct message, the sender's group,
// and all instances.
const (
	_scopeOwn   = ""
	_scopeNote  = "Note"
	_scopeGroup = "Group"
	_scopeAll   = "All"
)

const (
	// _livenessTimeout is the time without a sign of life, a few send intervals,
	// after which an instance is considered dead.
	_livenessTimeout = 1200 * time.Millisecond
	// _peerRetention is the time for which a silent instance without a record in
	// the store is still listed.
	_peerRetention = 5 * time.Second
	// _reorderWindow is the maximum delay assumed for a datagram from a previous
	// start of a process. After it, a lower SentMS is accepted as that of a
	// machine whose elapsed-time clock restarted.
	_reorderWindow = 400 * time.Millisecond
	// _needsTTL is the time for which received needs and leases are forwarded. It
	// exceeds the send interval, so that a single lost datagram hides none of
	// them.
	_needsTTL = 500 * time.Millisecond
	// _needsReplyWindow is the time for which an instance is sent direct replies
	// after it requested a target.
	_needsReplyWindow = time.Second
	// _heldResendInterval is the time after which relays send the targets held by
	// the backend servers again although they have not changed.
	_heldResendInterval = time.Second
	// _relayAckAge is the maximum age of a member's acknowledgement of its active
	// relay at which the standby sends it no aggregates. It is below _relayTimeout,
	// so that the standby's aggregate arrives before the member needs it.
	_relayAckAge = 600 * time.Millisecond
	// _standbyNoteInterval is the time between notes from a standby relay to members
	// that get no aggregates from it. They show that it is alive.
	_standbyNoteInterval = 400 * time.Millisecond
	// _maxSentBulletins is the number of own bulletins kept in order to subtract
	// them from the aggregates of relays.
	_maxSentBulletins = 24
)

// AllOthers identifies the totals of all other instances, in place of an
// instance's name.
const AllOthers = "everyone else"

// peer is the state kept about another instance.
type peer struct {
	addr       netip.AddrPort
	start      int
	inStore    bool
	callerAddr string
	domain     string
	capacity   int
	// received reports whether a bulletin came from the instance itself;
	// receivedAt and sentMS describe the last one.
	received   bool
	receivedAt time.Duration
	sentMS     int
	// own, group and all are the last bulletins of each scope.
	own, group, all receivedBulletin
	// listed reports whether a relay has listed the instance among the live ones;
	// listedAt is the last time.
	listed   bool
	listedAt time.Duration
	leaving  bool
	// version is that of the configuration in force at the instance by the last
	// bulletin from itself.
	version int
	// unansweredSince is the time of the first bulletin sent to it since it last
	// answered, 0 if none is unanswered. lastSentAt is the time of the last one
	// sent.
	unansweredSince time.Duration
	lastSentAt      time.Duration
	// needs reports whether the instance has requested targets from this one;
	// needsAt is the last time, and needsTexts what it requested then. needsDue is set
	// until that request is answered, and answered holds what the answers to its recent
	// requests said of each backend server.
	needs      bool
	needsAt    time.Duration
	needsTexts []string
	needsDue   bool
	answered   map[string]wire.ServerTargets
	// alive is the liveness logged last.
	alive bool
}

// receivedBulletin is a bulletin and the time at which it was received.
type receivedBulletin struct {
	bulletin   *wire.Bulletin
	receivedAt time.Duration
}

func (r receivedBulletin) fresh(now time.Duration) bool {
	return r.bulletin != nil && now-r.receivedAt <= _livenessTimeout
}

func (r receivedBulletin) ageMS(now time.Duration) int {
	return int((now - r.receivedAt).Milliseconds())
}

// outgoing is a bulletin and its recipients.
type outgoing struct {
	b  *wire.Bulletin
	to []netip.AddrPort
}

// Aggregate holds the request counts and the demand of one or more other instances.
type Aggregate struct {
	// From is the name of an instance, or the placeholder for all others. Start
	// changes when the counters restart from zero.
	From  string
	Start int
	// Instances is the number of instances included.
	Instances int
	// Bulletin holds the counts in Running, Demand and Asked.
	Bulletin *wire.Bulletin
}

// view is the state that an instance keeps about the others, with the logic
// that selects recipients. It uses neither the network nor a clock.
type view struct {
	name   string
	start  int
	domain string
	// capacity is the capacity of this instance.
	capacity int
	log      *event.Log
	peers    map[string]*peer
	// sent holds the last own bulletins, the newest last.
	sent []*wire.Bulletin
	// groupSpent accumulates the amounts spent by this instance's group, itself
	// included, and othersSpent those spent by all other instances.
	groupSpent  *meter
	othersSpent *meter
	// heldSentAt is the time at which all held targets were last sent to members, and
	// heldSent those of each backend server that were last sent to them.
	heldSentAt time.Duration
	heldSent   map[string]wire.ServerTargets
	// standbyNotedAt is the time of the last notes to members as a standby.
	standbyNotedAt time.Duration
	// groupsCache is the cached result of groups, nil if the membership has
	// changed. positions holds the place of each instance in it.
	groupsCache map[string][]string
	positions   map[string]position
	// groupSenders are the instances that have sent an aggregate of their group.
	groupSenders map[string]bool
}

// position is the group of an instance and its rank there as a relay, from 0.
type position struct {
	group string
	rank  int
}

func newView(cfg Config) *view {
	return &view{
		name:        cfg.Name,
		start:       cfg.Start,
		domain:      cfg.FailureDomain,
		capacity:    cfg.Capacity,
		log:         cfg.Log,
		peers:       map[string]*peer{},
		groupSpent:  newMeter(),
		othersSpent: newMeter(),
		heldSent:    map[string]wire.ServerTargets{},

		groupSenders: map[string]bool{},
	}
}

// fullMesh reports whether the instances form a full mesh.
func (v *view) fullMesh() bool {
	n := 1
	for _, p := range v.peers {
		if p.inStore {
			n++
		}
	}

	return n <= _maxMeshSize
}

// setRecords replaces the set of instances recorded in the store.
func (v *view) setRecords(records []wire.EntryRecord) {
	present := map[string]bool{}
	for _, r := range records {
		if r.Name == v.name {
			continue
		}
		addr, err := netip.ParseAddrPort(r.Address)
		if err != nil {
			v.log.Write(event.BulletinRefused, zap.String("From", r.Name), zap.Error(err))

			continue
		}
		present[r.Name] = true
		p := v.ensurePeer(r.Name)
		p.inStore = true
		if p.capacity != r.Capacity || p.domain != r.FailureDomain {
			v.groupsCache = nil
		}
		p.capacity = r.Capacity
		if !p.received || p.start == r.Start {
			p.start = r.Start
			p.addr = addr
			p.callerAddr = r.CallerAddress
			p.domain = r.FailureDomain
		}
	}
	for name, p := range v.peers {
		if !present[name] {
			p.inStore = false
		}
	}
}

func (v *view) ensurePeer(name string) *peer {
	p := v.peers[name]
	if p == nil {
		p = &peer{}
		v.peers[name] = p
		v.groupsCache = nil
	}

	return p
}

// isAlive reports whether the instance was seen recently, directly or through a
// relay.
func (p *peer) isAlive(now time.Duration) bool {
	return p.received && now-p.receivedAt <= _livenessTimeout || p.listed && now-p.listedAt <= _livenessTimeout
}

// sinceSeen returns the time since the instance was last seen, directly or
// through a relay; negative if it never was.
func (p *peer) sinceSeen(now time.Duration) time.Duration {
	switch {
	case p.received && p.listed:
		return now - max(p.receivedAt, p.listedAt)
	case p.received:
		return now - p.receivedAt
	case p.listed:
		return now - p.listedAt
	default:
		return -1
	}
}

func (v *view) instances(now time.Duration) []Instance {
	out := make([]Instance, 0, len(v.peers))
	for name, p := range v.peers {
		i := Instance{
			Name:          name,
			CallerAddress: p.callerAddr,
			FailureDomain: p.domain,
			Capacity:      p.capacity,
			Alive:         p.isAlive(now),
			Leaving:       p.leaving,
			Silent:        p.sinceSeen(now),
			InStore:       p.inStore,
		}
		if p.received && now-p.receivedAt <= _livenessTimeout {
			i.Version = p.version
		}
		out = append(out, i)
	}

	return out
}

// hasLivePeer reports whether any other instance is alive.
func (v *view) hasLivePeer(now time.Duration) bool {
	for _, p := range v.peers {
		if p.isAlive(now) {
			return true
		}
	}

	return false
}

// newNote returns a note to the live instance of the given name; false if there is none.
// Its time is that of this instance's last bulletin: with a later one, a receiver would
// refuse a bulletin that is being composed now as older than the note. It carries no
// evidence, which may have aged since.
func (v *view) newNote(to string, now time.Duration) (outgoing, bool) {
	p := v.peers[to]
	if p == nil || !p.isAlive(now) || !p.addr.IsValid() || len(v.sent) == 0 {
		return outgoing{}, false
	}
	b := v.newDirect(v.sent[len(v.sent)-1])
	b.EvidenceAgeMS = -1

	return outgoing{
		b:  b,
		to: []netip.AddrPort{p.addr},
	}, true
}

// expire logs changes of liveness and removes silent peers that have no record
// in the store.
func (v *view) expire(now time.Duration) {
	for name, p := range v.peers {
		if alive := p.isAlive(now); alive != p.alive {
			p.alive = alive
			kind := event.InstanceSilent
			if alive {
				kind = event.InstanceHeard
			}
			v.log.Write(kind, zap.String("Name", name), zap.Int("Start", p.start))
		}
		if idle := p.sinceSeen(now); !p.inStore && (idle > _peerRetention || idle < 0) {
			delete(v.peers, name)
			delete(v.groupSenders, name)
			v.groupsCache = nil
		}
	}
}

// apply stores a bulletin unless it is older than the last one from its sender.
// If the bulletin acknowledges one of this instance's own, notBefore is the
// earliest time at which it can have been sent, otherwise 0.
func (v *view) apply(b *wire.Bulletin, now time.Duration) (notBefore time.Duration, ok bool) {
	addr, err := netip.ParseAddrPort(b.Address)
	if err != nil {
		return 0, false
	}
	p := v.ensurePeer(b.Name)
	if p.received && b.SentMS < p.sentMS && (b.Start == p.start || now-p.receivedAt < _reorderWindow) {
		return 0, false
	}
	p.start = b.Start
	p.addr = addr
	p.callerAddr = b.CallerAddress
	if p.domain != b.FailureDomain {
		v.groupsCache = nil
	}
	p.domain = b.FailureDomain
	p.received = true
	p.receivedAt = now
	p.sentMS = b.SentMS
	p.leaving = b.Leaving
	p.version = b.Version
	p.unansweredSince = 0
	for _, heard := range b.Heard {
		if v.isOwn(heard) {
			notBefore = time.Duration(heard.SentMS+heard.HeldMS) * time.Millisecond
		}
	}
	received := receivedBulletin{
		bulletin:   b,
		receivedAt: now,
	}
	switch b.Scope {
	case _scopeOwn:
		p.own = received
		v.groupSpent.record(meterKey{
			subject: b.Name,
			source:  b.Name,
		}, b.Start, spentByWorkspace(b, nil), true, now)
	case _scopeGroup:
		p.group = received
		v.groupSenders[b.Name] = true
	case _scopeAll:
		p.all = received
	case _scopeNote:
		if len(b.Needs) > 0 {
			if !p.needs || now-p.needsAt > _needsReplyWindow {
				p.answered = map[string]wire.ServerTargets{}
			}
			p.needs = true
			p.needsAt = now
			p.needsTexts = b.Needs
			p.needsDue = true
		}
	}
	for _, m := range b.Members {
		if m.Name == v.name || m.Name == b.Name || v.peers[m.Name] == nil {
			continue
		}
		listed := v.peers[m.Name]
		listed.listed = true
		listed.listedAt = now
		if !listed.received || now-listed.receivedAt > _livenessTimeout {
			listed.leaving = m.Leaving
		}
	}

	return notBefore, true
}

// isOwn reports whether an acknowledgement is of a bulletin of this process. One of an
// earlier process says nothing: its clock may have been that of an earlier start of the
// machine.
func (v *view) isOwn(heard wire.HeardBulletin) bool {
	return heard.Name == v.name && heard.Start == v.start
}

// meshBulletins returns the bulletins of a round in a full mesh.
func (v *view) meshBulletins(own *wire.Bulletin, now time.Duration) []outgoing {
	o := outgoing{b: own}
	for name, p := range v.peers {
		o.to = append(o.to, p.addr)
		own.Heard = v.acknowledge(own.Heard, name, now)
	}

	return []outgoing{o}
}

// acknowledge appends an acknowledgement of the last bulletin from an instance.
func (v *view) acknowledge(list []wire.HeardBulletin, name string, now time.Duration) []wire.HeardBulletin {
	p := v.peers[name]
	if p == nil || !p.received {
		return list
	}

	return append(list, wire.HeardBulletin{
		Name:   name,
		Start:  p.start,
		SentMS: p.sentMS,
		HeldMS: int((now - p.receivedAt).Milliseconds()),
	})
}

// recordSent keeps an own bulletin for includedOwn, and drops the oldest one
// beyond _maxSentBulletins.
func (v *view) recordSent(own *wire.Bulletin) {
	v.sent = append(v.sent, own)
	if len(v.sent) > _maxSentBulletins {
		v.sent = slices.Delete(v.sent, 0, 1)
	}
}

// includedOwn returns the own bulletin that is included in an aggregate,
// according to its acknowledgement; nil if there is none or it is no longer
// kept.
func (v *view) includedOwn(b *wire.Bulletin) *wire.Bulletin {
	for _, heard := range b.Heard {
		if !v.isOwn(heard) {
			continue
		}
		for _, own := range v.sent {
			if own.SentMS == heard.SentMS {
				return own
			}
		}
	}

	return nil
}
