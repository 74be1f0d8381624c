package exchange

import (
	"net/netip"
	"slices"
	"time"

	"go.uber.org/zap"

	"papayastair.dev/papayastair/event"
	"papayastair.dev/papayastair/wire"
)

// Scopes of bulletins.
const (
	_scopeOwn   = ""
	_scopeNote  = "Note"
	_scopeGroup = "Group"
	_scopeAll   = "All"
)

const (
	// _aliveFor is how long a silent instance counts as alive: a few periods.
	_aliveFor = 1200 * time.Millisecond
	// _forget is how long a silent instance that is not in the store is told.
	_forget = 5 * time.Second
	// _overtaken is how late a datagram of a former start may come. A machine
	// whose clock of elapsed time began anew is believed after it.
	_overtaken = 400 * time.Millisecond
	// _needWord is how long needs and leases are passed on after they were
	// heard: longer than a period, so that a lost datagram hides none.
	_needWord = 500 * time.Millisecond
	// _neederFor is how long who asked for something is answered directly.
	_neederFor = time.Second
	// _heldEvery is how often relays say what backend servers hold though
	// nothing has changed.
	_heldEvery = time.Second
	// _sentKept is how many of the own bulletins are kept, to take them out of
	// what relays say of all.
	_sentKept = 24
)

// Everyone is the name under which the sums of all others are told.
const Everyone = "everyone else"

// peer is another instance.
type peer struct {
	addr     netip.AddrPort
	start    int
	inStore  bool
	caller   string
	domain   string
	capacity int
	// heard says that it was heard itself, last at heardAt, with sentMS.
	heard   bool
	heardAt time.Duration
	sentMS  int
	// own, group and all are its last bulletins of each scope.
	own, group, all word
	// listedAt is when a relay last listed it as alive.
	listed   bool
	listedAt time.Duration
	leaving  bool
	// askedAt is since when it has been told without an answer, 0 if it has
	// answered, and triedAt when it was told last.
	askedAt time.Duration
	triedAt time.Duration
	// neededAt is when it last asked this instance for something.
	needs    bool
	neededAt time.Duration
	alive    bool
}

// word is a bulletin and when it came.
type word struct {
	b  *wire.Bulletin
	at time.Duration
}

func (w word) fresh(now time.Duration) bool {
	return w.b != nil && now-w.at <= _aliveFor
}

func (w word) ageMS(now time.Duration) int {
	return int((now - w.at).Milliseconds())
}

// outgoing is a bulletin to some instances.
type outgoing struct {
	b  *wire.Bulletin
	to []netip.AddrPort
}

// Sums are what others say together.
type Sums struct {
	// From is an instance, or the name for all others, and Start changes when
	// its counters begin anew.
	From  string
	Start int
	// Instances is how many speak.
	Instances int
	// Bulletin holds the counts: Running, Demand and Asked.
	Bulletin *wire.Bulletin
}

// view is what one instance knows of the others and whom it tells, without
// network or clock.
type view struct {
	name   string
	start  int
	domain string
	// capacity is this instance's.
	capacity int
	log      *event.Log
	peers    map[string]*peer
	// sent are the last own bulletins, the newest last.
	sent []*wire.Bulletin
	// group and others add up what this instance's group, itself included, and
	// all others have spent.
	group  *meter
	others *meter
	heldAt time.Duration
	// heldTold is what was told last of what is held.
	heldTold map[string][]string
	// ordered are the groups in their order, nil if an instance came or went.
	ordered map[string][]string
}

func newView(cfg Config) *view {
	return &view{
		name:     cfg.Name,
		start:    cfg.Start,
		domain:   cfg.FailureDomain,
		capacity: cfg.Capacity,
		log:      cfg.Log,
		peers:    map[string]*peer{},
		group:    newMeter(),
		others:   newMeter(),
	}
}

// meshed says whether all tell all.
func (v *view) meshed() bool {
	n := 1
	for _, p := range v.peers {
		if p.inStore {
			n++
		}
	}

	return n <= _meshMost
}

// setRecords takes all records of instances in the store.
func (v *view) setRecords(records []wire.EntryRecord) {
	listed := map[string]bool{}
	for _, r := range records {
		if r.Name == v.name {
			continue
		}
		addr, err := netip.ParseAddrPort(r.Address)
		if err != nil {
			v.log.Write(event.BulletinRefused, zap.String("From", r.Name), zap.Error(err))

			continue
		}
		listed[r.Name] = true
		p := v.peer(r.Name)
		p.inStore = true
		if p.capacity != r.Capacity || p.domain != r.FailureDomain {
			v.ordered = nil
		}
		p.capacity = r.Capacity
		if !p.heard || p.start == r.Start {
			p.start = r.Start
			p.addr = addr
			p.caller = r.CallerAddress
			p.domain = r.FailureDomain
		}
	}
	for name, p := range v.peers {
		if !listed[name] {
			p.inStore = false
		}
	}
}

func (v *view) peer(name string) *peer {
	p := v.peers[name]
	if p == nil {
		p = &peer{}
		v.peers[name] = p
		v.ordered = nil
	}

	return p
}

// isAlive says whether the instance was heard lately, or a relay says so.
func (p *peer) isAlive(now time.Duration) bool {
	return p.heard && now-p.heardAt <= _aliveFor || p.listed && now-p.listedAt <= _aliveFor
}

// silent is the time since anything was heard of it; negative for never.
func (p *peer) silent(now time.Duration) time.Duration {
	switch {
	case p.heard && p.listed:
		return now - max(p.heardAt, p.listedAt)
	case p.heard:
		return now - p.heardAt
	case p.listed:
		return now - p.listedAt
	default:
		return -1
	}
}

func (v *view) instances(now time.Duration) []Instance {
	out := make([]Instance, 0, len(v.peers))
	for name, p := range v.peers {
		out = append(out, Instance{
			Name:          name,
			CallerAddress: p.caller,
			FailureDomain: p.domain,
			Capacity:      p.capacity,
			Alive:         p.isAlive(now),
			Leaving:       p.leaving,
			Silent:        p.silent(now),
			InStore:       p.inStore,
		})
	}

	return out
}

// expire forgets who is gone, and logs who is lost or heard again.
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
		if silent := p.silent(now); !p.inStore && (silent > _forget || silent < 0) {
			delete(v.peers, name)
			v.ordered = nil
		}
	}
}

// take keeps a bulletin that is newer than the last, and finds out from its
// acknowledgement of one of ours when it was sent at the earliest; 0 if it has
// none.
func (v *view) take(b *wire.Bulletin, now time.Duration) (notBefore time.Duration, ok bool) {
	addr, err := netip.ParseAddrPort(b.Address)
	if err != nil {
		return 0, false
	}
	p := v.peer(b.Name)
	if p.heard && b.SentMS < p.sentMS && (b.Start == p.start || now-p.heardAt < _overtaken) {
		return 0, false
	}
	p.start = b.Start
	p.addr = addr
	p.caller = b.CallerAddress
	if p.domain != b.FailureDomain {
		v.ordered = nil
	}
	p.domain = b.FailureDomain
	p.heard = true
	p.heardAt = now
	p.sentMS = b.SentMS
	p.leaving = b.Leaving
	p.askedAt = 0
	for _, heard := range b.Heard {
		if heard.Name == v.name {
			notBefore = time.Duration(heard.SentMS+heard.HeldMS) * time.Millisecond
		}
	}
	w := word{
		b:  b,
		at: now,
	}
	switch b.Scope {
	case _scopeOwn:
		p.own = w
		v.group.take(meterKey{
			about:  b.Name,
			source: b.Name,
		}, b.Start, spentOf(b, nil), true, now)
	case _scopeGroup:
		p.group = w
	case _scopeAll:
		p.all = w
	case _scopeNote:
		p.needs = p.needs || len(b.Needs) > 0
		if len(b.Needs) > 0 {
			p.neededAt = now
		}
	}
	for _, m := range b.Members {
		if m.Name == v.name || m.Name == b.Name || v.peers[m.Name] == nil {
			continue
		}
		listed := v.peers[m.Name]
		listed.listed = true
		listed.listedAt = now
		if !listed.heard || now-listed.heardAt > _aliveFor {
			listed.leaving = m.Leaving
		}
	}

	return notBefore, true
}

// mesh is what is told where all tell all.
func (v *view) mesh(own *wire.Bulletin, now time.Duration) []outgoing {
	o := outgoing{b: own}
	for name, p := range v.peers {
		o.to = append(o.to, p.addr)
		own.Heard = v.acknowledge(own.Heard, name, now)
	}

	return []outgoing{o}
}

// acknowledge adds the last bulletin of an instance to the list.
func (v *view) acknowledge(list []wire.HeardBulletin, name string, now time.Duration) []wire.HeardBulletin {
	p := v.peers[name]
	if p == nil || !p.heard {
		return list
	}

	return append(list, wire.HeardBulletin{
		Name:   name,
		SentMS: p.sentMS,
		HeldMS: int((now - p.heardAt).Milliseconds()),
	})
}

// keepSent keeps an own bulletin until relays no longer count it.
func (v *view) keepSent(own *wire.Bulletin) {
	v.sent = append(v.sent, own)
	if len(v.sent) > _sentKept {
		v.sent = slices.Delete(v.sent, 0, 1)
	}
}

// counted is the own bulletin that a relay has counted in its word.
func (v *view) counted(b *wire.Bulletin) *wire.Bulletin {
	for _, heard := range b.Heard {
		if heard.Name != v.name {
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
