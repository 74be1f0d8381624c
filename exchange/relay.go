package exchange

import (
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"papayastair.dev/papayastair/wire"
)

// groups returns the members of each group, this instance included, in order of
// preference as relays.
func (v *view) groups() map[string][]string {
	if v.groupsCache != nil {
		return v.groupsCache
	}
	domains := map[string]int{v.domain: 1}
	for _, p := range v.peers {
		domains[p.domain]++
	}
	lists := map[string][]candidate{}
	own := groupName(v.name, v.domain, domains[v.domain])
	lists[own] = append(lists[own], candidate{
		name:     v.name,
		capacity: v.capacity,
	})
	for name, p := range v.peers {
		g := groupName(name, p.domain, domains[p.domain])
		lists[g] = append(lists[g], candidate{
			name:     name,
			capacity: p.capacity,
		})
	}
	out := map[string][]string{}
	v.positions = make(map[string]position, len(v.peers)+1)
	for g, list := range lists {
		sortCandidates(list)
		for rank, c := range list {
			out[g] = append(out[g], c.name)
			v.positions[c.name] = position{
				group: g,
				rank:  rank,
			}
		}
	}
	v.groupsCache = out

	return out
}

// selectRelays returns the first instances of a group that respond, and those
// before them that don't and are due for a retry.
func (v *view) selectRelays(names []string, now time.Duration) (relays, retry []string) {
	for _, name := range names {
		if len(relays) == _relaysPerGroup {
			break
		}
		p := v.peers[name]
		switch {
		case name == v.name:
			relays = append(relays, name)
		case p.leaving && p.isAlive(now):
		case p.unansweredSince != 0 && now-max(p.unansweredSince, p.receivedAt) > _relayTimeout:
			if now-p.lastSentAt > _relayRetryInterval {
				retry = append(retry, name)
			}
		default:
			relays = append(relays, name)
		}
	}

	return relays, retry
}

// markSent records that a bulletin is sent to an instance that should answer
// it, and returns the address.
func (v *view) markSent(name string, now time.Duration) netip.AddrPort {
	p := v.peers[name]
	p.lastSentAt = now
	if p.unansweredSince == 0 {
		p.unansweredSince = now
	}

	return p.addr
}

// findActiveRelay returns the relay whose aggregate of all instances is used:
// the first of the group, ranked before this instance, with a recent one. The
// result is empty if this instance acts as the active relay itself, or if no
// relay responds.
func (v *view) findActiveRelay(names []string, now time.Duration) string {
	for _, name := range names {
		if name == v.name {
			return ""
		}
		if v.peers[name].all.bulletin != nil && now-v.peers[name].all.receivedAt <= _relayTimeout {
			return name
		}
	}

	return ""
}

// topology holds the relays and the sources of aggregates for one round.
type topology struct {
	groups map[string][]string
	group  string
	relays []string
	retry  []string
	// activeRelay is the relay whose aggregate is used; empty if this instance is
	// the active relay itself (isActive) or if there is none.
	activeRelay string
	isActive    bool
	// groupSources maps each other group to the instance whose aggregate of it is
	// used.
	groupSources map[string]string
}

func (v *view) computeTopology(now time.Duration) topology {
	topo := topology{
		groups:       v.groups(),
		groupSources: map[string]string{},
	}
	topo.group = v.positions[v.name].group
	topo.relays, topo.retry = v.selectRelays(topo.groups[topo.group], now)
	topo.activeRelay = v.findActiveRelay(topo.groups[topo.group], now)
	topo.isActive = topo.activeRelay == "" && slices.Contains(topo.relays, v.name)
	for _, maxAge := range []time.Duration{_relayTimeout, _livenessTimeout} {
		v.addGroupSources(&topo, now-maxAge)
	}

	return topo
}

// addGroupSources selects the source of each other group that has none yet: the
// first instance in order of preference whose aggregate of its group was received
// at or after since.
func (v *view) addGroupSources(topo *topology, since time.Duration) {
	found := map[string]string{}
	for name := range v.groupSenders {
		p, at := v.peers[name], v.positions[name]
		if p == nil || at.group == topo.group || topo.groupSources[at.group] != "" || p.group.bulletin == nil || p.group.receivedAt < since {
			continue
		}
		if other, ok := found[at.group]; !ok || at.rank < v.positions[other].rank {
			found[at.group] = name
		}
	}
	maps.Copy(topo.groupSources, found)
}

// recordSpent adds the amounts spent in a bulletin to those of the other
// instances, if its sender is the source in use for them.
func (v *view) recordSpent(b *wire.Bulletin, topo topology, now time.Duration) {
	switch b.Scope {
	case _scopeOwn:
		v.othersSpent.record(meterKey{
			subject: b.Name,
			source:  b.Name,
		}, b.Start, spentByWorkspace(b, nil), topo.isActive, now)
	case _scopeGroup, _scopeNote:
		if len(b.Asked) == 0 {
			return
		}
		if g := v.positions[b.Name].group; g != "" {
			v.othersSpent.record(meterKey{
				subject: "group " + g,
				source:  b.Name,
			}, b.Start, spentByWorkspace(b, nil), topo.isActive && topo.groupSources[g] == b.Name, now)
		}
	case _scopeAll:
		own := v.includedOwn(b)
		if own == nil {
			// The share of this instance in the aggregate is unknown until a later
			// bulletin acknowledges it.
			return
		}
		v.othersSpent.record(meterKey{
			subject: _subjectAll,
			source:  b.Name,
		}, b.Start, spentByWorkspace(b, own), topo.activeRelay == b.Name, now)
	}
}

// sumGroup adds up the own bulletins of the group's members.
func (v *view) sumGroup(own *wire.Bulletin, now time.Duration) *totals {
	g := newTotals()
	for _, p := range v.peers {
		if p.own.fresh(now) {
			g.add(p.own.bulletin, 1)
			g.addState(p.own.bulletin, p.own.ageMS(now))
		}
	}
	if own != nil {
		g.add(own, 1)
		g.addState(own, 0)
	}

	return g
}

// sumOthers adds up the state of all other instances: from the group's members
// and the other groups on the active relay, and from the relay's aggregate
// elsewhere.
func (v *view) sumOthers(topo topology, now time.Duration) *totals {
	if !topo.isActive {
		o := newTotals()
		if topo.activeRelay == "" {
			return o
		}
		last := v.peers[topo.activeRelay].all
		o.add(last.bulletin, 1)
		o.addState(last.bulletin, last.ageMS(now))
		if own := v.includedOwn(last.bulletin); own != nil {
			o.add(own, -1)
		}
		delete(o.members, v.name)

		return o
	}
	o := v.sumGroup(nil, now)
	for _, name := range topo.groupSources {
		last := v.peers[name].group
		o.add(last.bulletin, 1)
		o.addState(last.bulletin, last.ageMS(now))
	}
	delete(o.members, v.name)

	return o
}

// aggregateOthers returns the totals of all other instances.
func (v *view) aggregateOthers(topo topology, now time.Duration) Aggregate {
	if topo.activeRelay != "" {
		return v.relayedOthers(v.peers[topo.activeRelay].all.bulletin)
	}
	o := v.sumOthers(topo, now)
	b := &wire.Bulletin{}
	o.fill(b, true)
	b.Asked = o.workspaceRates(v.othersSpent.total)

	return Aggregate{
		From:      AllOthers,
		Start:     v.start,
		Instances: len(o.members),
		Bulletin:  b,
	}
}

// relayedOthers returns the totals of all other instances from the aggregate of
// the active relay. The counts of this instance that the aggregate includes are
// subtracted.
func (v *view) relayedOthers(all *wire.Bulletin) Aggregate {
	own := newTotals()
	if included := v.includedOwn(all); included != nil {
		own.add(included, 1)
	}
	b := &wire.Bulletin{
		Running: make([]wire.ServerCount, 0, len(all.Running)),
		Members: make([]wire.ListedInstance, 0, len(all.Members)),
	}
	for _, r := range all.Running {
		r.Count = max(r.Count-own.running[r.Server].Count, 0)
		r.Attempts = positive(addRates(r.Attempts, own.running[r.Server].Attempts, -1))
		r.Ended = max(r.Ended-own.running[r.Server].Ended, 0)
		if hasCounts(r) {
			b.Running = append(b.Running, r)
		}
	}
	for _, d := range all.Demand {
		mine := own.demand[demandKey{
			service: d.Service,
			target:  d.Target,
		}]
		d.Running = max(d.Running-mine.Running, 0)
		d.Waiting = max(d.Waiting-mine.Waiting, 0)
		d.PerSecond = max(d.PerSecond-mine.PerSecond, 0)
		if d.Running > 0 || d.Waiting > 0 || d.PerSecond > 0 {
			b.Demand = append(b.Demand, d)
		}
	}
	for _, m := range all.Members {
		if m.Name != v.name {
			b.Members = append(b.Members, m)
		}
	}
	rates := newTotals()
	for _, a := range all.Asked {
		rates.asked[a.Workspace] = a.PerSecond - own.asked[a.Workspace]
	}
	b.Asked = rates.workspaceRates(v.othersSpent.total)

	return Aggregate{
		From:      AllOthers,
		Start:     v.start,
		Instances: len(b.Members),
		Bulletin:  b,
	}
}

// trigger holds the reasons for a round of bulletins.
type trigger struct {
	// period is set when the send interval has elapsed.
	period bool
	// changed is set when the state of this instance has changed.
	changed bool
	// memberChanged and groupChanged are set when the state of a group member or
	// of another group has changed.
	memberChanged, groupChanged bool
	// needs is set when this instance requests targets, and held when the held
	// targets are to be sent to the instances that requested some.
	needs, held bool
}

func (t *trigger) merge(other trigger) {
	t.period = t.period || other.period
	t.changed = t.changed || other.changed
	t.memberChanged = t.memberChanged || other.memberChanged
	t.groupChanged = t.groupChanged || other.groupChanged
	t.needs = t.needs || other.needs
	t.held = t.held || other.held
}

// handleRelayed updates the totals from a bulletin. It returns the new totals
// if they come from the active relay, and the reasons for sending bulletins
// now.
func (v *view) handleRelayed(b *wire.Bulletin, now time.Duration) (*Aggregate, trigger) {
	topo := v.computeTopology(now)
	v.recordSpent(b, topo, now)
	var trig trigger
	switch b.Scope {
	case _scopeOwn:
		trig.memberChanged = b.Urgent
	case _scopeGroup:
		trig.groupChanged = b.Urgent && topo.isActive
	case _scopeNote:
		trig.held = len(b.Needs) > 0
	case _scopeAll:
		if b.Name == topo.activeRelay {
			sum := v.aggregateOthers(topo, now)

			return &sum, trig
		}
	}

	return nil, trig
}

// relayBulletins returns the bulletins of a round when relays are used.
func (v *view) relayBulletins(own *wire.Bulletin, trig trigger, now time.Duration) []outgoing {
	topo := v.computeTopology(now)
	own.Urgent = trig.changed
	var out []outgoing
	if trig.period || trig.changed {
		out = append(out, v.reportToRelays(own, topo, now))
	}
	if trig.period || trig.needs {
		out = append(out, v.requestNeeds(own, topo, now)...)
	}
	if trig.held {
		out = append(out, v.answerNeeds(own, now)...)
	}
	if trig.period || trig.changed && topo.isActive || trig.memberChanged || trig.groupChanged {
		out = append(out, v.reportToMembers(own, topo, trig.period, now)...)
	}
	if trig.period && !topo.isActive {
		out = append(out, v.reportStandby(own, topo, now)...)
	}
	if topo.isActive && (trig.period || trig.changed || trig.memberChanged) {
		out = append(out, v.reportToGroups(own, topo, !trig.period, now)...)
	}

	return out
}

// reportToRelays returns this instance's own bulletin, addressed to its relays.
func (v *view) reportToRelays(own *wire.Bulletin, topo topology, now time.Duration) outgoing {
	o := outgoing{b: own}
	for _, name := range append(topo.relays, topo.retry...) {
		if name != v.name {
			o.to = append(o.to, v.markSent(name, now))
			own.Heard = v.acknowledge(own.Heard, name, now)
		}
	}

	return o
}

// requestNeeds returns a request for the needed targets, addressed directly to
// the stewards.
func (v *view) requestNeeds(own *wire.Bulletin, topo topology, now time.Duration) []outgoing {
	if len(own.Needs) == 0 {
		return nil
	}
	o := outgoing{b: v.newDirect(own)}
	o.b.Needs = own.Needs
	for name := range v.stewards(topo, now) {
		if p := v.peers[name]; p != nil && p.addr.IsValid() {
			o.to = append(o.to, p.addr)
		}
	}

	return []outgoing{o}
}

// stewards returns the names of the other instances that hold a lease.
func (v *view) stewards(topo topology, now time.Duration) map[string]bool {
	t := newTotals()
	add := func(last receivedBulletin) {
		t.addShards(last.bulletin, last.ageMS(now))
	}
	switch {
	case topo.activeRelay != "":
		add(v.peers[topo.activeRelay].all)
	case topo.isActive:
		for _, p := range v.peers {
			if p.own.fresh(now) {
				add(p.own)
			}
		}
		for _, name := range topo.groupSources {
			add(v.peers[name].group)
		}
	}
	names := map[string]bool{}
	for _, sh := range t.shards {
		names[sh.Holder] = true
	}

	return names
}

// answerNeeds returns answers to the instances that requested targets recently, each
// with the backend servers that hold what it requested: all of them after a request,
// else those that have changed. Other instances learn of them from their relay.
func (v *view) answerNeeds(own *wire.Bulletin, now time.Duration) []outgoing {
	holders := map[string][]wire.ServerTargets{}
	for _, h := range own.Held {
		for _, target := range h.Targets {
			holders[target] = append(holders[target], h)
		}
	}
	var out []outgoing
	for _, p := range v.peers {
		if !p.needs || now-p.needsAt > _needsReplyWindow {
			continue
		}
		due := p.answerDue(holders)
		if len(due) == 0 {
			continue
		}
		b := v.newDirect(own)
		b.Shards = own.Shards
		b.Held = due
		out = append(out, outgoing{
			b:  b,
			to: []netip.AddrPort{p.addr},
		})
	}

	return out
}

// answerDue returns the backend servers to include in an answer to an instance's
// requests, given the holders of each target, and records them as sent.
func (p *peer) answerDue(holders map[string][]wire.ServerTargets) []wire.ServerTargets {
	var due []wire.ServerTargets
	sent := map[string]bool{}
	for _, text := range p.needsTexts {
		_, target, _ := strings.Cut(text, "|")
		for _, h := range holders[target] {
			if !sent[h.Server] && (p.needsDue || !equalTargets(p.answered[h.Server], h)) {
				sent[h.Server] = true
				p.answered[h.Server] = h
				due = append(due, h)
			}
		}
	}
	p.needsDue = false

	return due
}

func equalTargets(a, b wire.ServerTargets) bool {
	return a.Server == b.Server && a.Loading == b.Loading && slices.Equal(a.Targets, b.Targets)
}

// reportStandby returns a bulletin from an instance that is not the active
// relay. If the instance is a standby relay, the bulletin carries its own count
// of the amounts spent by its group to the relays of other groups, so that they
// can continue from there if it becomes active. The bulletin also acknowledges
// those of the relays that send group aggregates.
func (v *view) reportStandby(own *wire.Bulletin, topo topology, now time.Duration) []outgoing {
	// The other groups have the changes of the store from the active relays.
	o := outgoing{b: v.newDirect(own)}
	to := map[string]bool{}
	if slices.Contains(topo.relays, v.name) {
		o.b.Asked = newTotals().workspaceRates(v.groupSpent.totalWith(own))
		for g, names := range topo.groups {
			if g == topo.group {
				continue
			}
			relays, _ := v.selectRelays(names, now)
			for _, name := range relays {
				to[name] = true
			}
		}
	}
	for name, p := range v.peers {
		if p.group.fresh(now) {
			to[name] = true
		}
	}
	for name := range to {
		o.to = append(o.to, v.peers[name].addr)
		o.b.Heard = v.acknowledge(o.b.Heard, name, now)
	}
	if len(o.to) == 0 {
		return nil
	}

	return []outgoing{o}
}

// newBulletin returns a bulletin of the given scope with the sender's fields
// copied from own.
func (v *view) newBulletin(own *wire.Bulletin, scope string) *wire.Bulletin {
	return &wire.Bulletin{
		Name:              own.Name,
		Start:             own.Start,
		Address:           own.Address,
		CallerAddress:     own.CallerAddress,
		FailureDomain:     own.FailureDomain,
		Leaving:           own.Leaving,
		Version:           own.Version,
		EvidenceAgeMS:     own.EvidenceAgeMS,
		SentMS:            own.SentMS,
		ServerChanges:     own.ServerChanges,
		RecordChanges:     own.RecordChanges,
		EvacuationChanges: own.EvacuationChanges,
		Findings:          own.Findings,
		Advice:            own.Advice,
		Scope:             scope,
	}
}

// newDirect returns a note that carries only what is then added to it.
func (v *view) newDirect(own *wire.Bulletin) *wire.Bulletin {
	b := v.newBulletin(own, _scopeNote)
	b.ServerChanges = wire.StoreChanges{}
	b.RecordChanges = wire.StoreChanges{}
	b.EvacuationChanges = wire.StoreChanges{}
	b.Findings = wire.CrashFindings{}
	b.Advice = nil

	return b
}

// reportToMembers returns the aggregate of all instances, addressed to the
// members that report to this one. Only stewards receive the demand. A standby
// relay sends it to the members that no longer hear the active one, and from
// time to time a note to the others.
func (v *view) reportToMembers(own *wire.Bulletin, topo topology, periodic bool, now time.Duration) []outgoing {
	var others, stewards, noted []netip.AddrPort
	all := v.newBulletin(own, _scopeAll)
	for _, name := range slices.Sorted(maps.Keys(v.peers)) {
		p := v.peers[name]
		if !p.own.fresh(now) {
			continue
		}
		if !topo.isActive && hears(p.own, topo.activeRelay, now) {
			noted = append(noted, p.addr)

			continue
		}
		all.Heard = v.acknowledgeIncluded(all.Heard, name, now)
		if len(p.own.bulletin.Shards) > 0 {
			stewards = append(stewards, p.addr)
		} else {
			others = append(others, p.addr)
		}
	}
	var out []outgoing
	if periodic && len(noted) > 0 && now-v.standbyNotedAt >= _standbyNoteInterval {
		v.standbyNotedAt = now
		// It carries the changes read from the store: the active relay may be a reader
		// that gets no answers, while the standby has them from the other reader.
		out = append(out, outgoing{
			b:  v.newBulletin(own, _scopeNote),
			to: noted,
		})
	}
	if len(others)+len(stewards) == 0 {
		return out
	}
	sum := v.sumOthers(topo, now)
	sum.add(own, 1)
	sum.addState(own, 0)
	sum.fill(all, false)
	all.Asked = sum.workspaceRates(v.othersSpent.totalWith(own))
	all.Held = v.heldDue(all.Held, periodic, now)
	out = append(out, outgoing{
		b:  all,
		to: others,
	})
	if len(stewards) > 0 {
		full := *all
		sum.fill(&full, true)
		full.Held = all.Held
		out = append(out, outgoing{
			b:  &full,
			to: stewards,
		})
	}

	return out
}

// hears reports whether a member's bulletin acknowledges a recent one of the
// relay.
func hears(own receivedBulletin, relay string, now time.Duration) bool {
	for _, heard := range own.bulletin.Heard {
		if heard.Name == relay {
			return time.Duration(heard.HeldMS)*time.Millisecond+now-own.receivedAt <= _relayAckAge
		}
	}

	return false
}

// acknowledgeIncluded appends an acknowledgement of the own bulletin of a
// member that is included in the aggregate.
func (v *view) acknowledgeIncluded(list []wire.HeardBulletin, name string, now time.Duration) []wire.HeardBulletin {
	p := v.peers[name]

	return append(list, wire.HeardBulletin{
		Name:   name,
		Start:  p.own.bulletin.Start,
		SentMS: p.own.bulletin.SentMS,
		HeldMS: p.own.ageMS(now),
	})
}

// heldDue returns the held targets that have to be sent to members, and records
// them as sent: those of the backend servers where they have changed, or all in a
// periodic round when _heldResendInterval has elapsed.
func (v *view) heldDue(held []wire.ServerTargets, periodic bool, now time.Duration) []wire.ServerTargets {
	all := periodic && now-v.heldSentAt >= _heldResendInterval
	if all {
		v.heldSentAt = now
		clear(v.heldSent)
	}
	var due []wire.ServerTargets
	for _, h := range held {
		if all || !equalTargets(v.heldSent[h.Server], h) {
			due = append(due, h)
			v.heldSent[h.Server] = h
		}
	}

	return due
}

// reportToGroups returns the aggregate of this instance's group, addressed to
// the relays of the other groups.
func (v *view) reportToGroups(own *wire.Bulletin, topo topology, urgent bool, now time.Duration) []outgoing {
	b := v.newBulletin(own, _scopeGroup)
	b.Urgent = urgent
	o := outgoing{b: b}
	for g, names := range topo.groups {
		if g == topo.group {
			continue
		}
		relays, retry := v.selectRelays(names, now)
		relays = append(relays, retry...)
		for _, name := range names {
			if v.peers[name].group.fresh(now) && !slices.Contains(relays, name) {
				relays = append(relays, name)
			}
		}
		for _, name := range relays {
			o.to = append(o.to, v.markSent(name, now))
			b.Heard = v.acknowledge(b.Heard, name, now)
		}
	}
	if len(o.to) == 0 {
		return nil
	}
	sum := v.sumGroup(own, now)
	sum.fill(b, true)
	b.Asked = sum.workspaceRates(v.groupSpent.totalWith(own))

	return []outgoing{o}
}

// groupRank returns the rank of this instance's group by name among those that have
// a source.
func (topo topology) groupRank() int {
	before := 0
	for g := range topo.groupSources {
		if g < topo.group {
			before++
		}
	}

	return before
}

// forwardsChanges reports whether this instance includes changes from the store
// in its bulletins. The store readers do, and all relays.
func (v *view) forwardsChanges(now time.Duration) bool {
	if v.fullMesh() {
		return v.readsStore(now)
	}

	return slices.Contains(v.computeTopology(now).relays, v.name)
}

// readsStore reports whether this instance reads the store on behalf of the
// others.
func (v *view) readsStore(now time.Duration) bool {
	return v.readerRank(now) >= 0
}

// readerRank returns the rank of this instance among the _storeReaders instances that
// read the store on behalf of the others; -1 if it is none of them. Where relays are
// used, the readers are the active relays of the first groups.
func (v *view) readerRank(now time.Duration) int {
	var rank int
	if v.fullMesh() {
		list := []candidate{{
			name:     v.name,
			capacity: v.capacity,
		}}
		for name, p := range v.peers {
			if p.isAlive(now) && !p.leaving {
				list = append(list, candidate{
					name:     name,
					capacity: p.capacity,
				})
			}
		}
		sortCandidates(list)
		rank = slices.IndexFunc(list, func(c candidate) bool { return c.name == v.name })
	} else {
		topo := v.computeTopology(now)
		if !topo.isActive {
			return -1
		}
		rank = topo.groupRank()
	}
	if rank >= _storeReaders {
		return -1
	}

	return rank
}
