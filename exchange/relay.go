package exchange

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"papayastair.dev/papayastair/wire"
)

// order is each group's instances in the order in which they relay, this one
// included.
func (v *view) order() map[string][]string {
	if v.ordered != nil {
		return v.ordered
	}
	domains := map[string]int{v.domain: 1}
	for _, p := range v.peers {
		domains[p.domain]++
	}
	lists := map[string][]candidate{}
	own := groupOf(v.name, v.domain, domains[v.domain])
	lists[own] = append(lists[own], candidate{
		name:     v.name,
		capacity: v.capacity,
	})
	for name, p := range v.peers {
		g := groupOf(name, p.domain, domains[p.domain])
		lists[g] = append(lists[g], candidate{
			name:     name,
			capacity: p.capacity,
		})
	}
	out := map[string][]string{}
	for g, list := range lists {
		rank(list)
		for _, c := range list {
			out[g] = append(out[g], c.name)
		}
	}
	v.ordered = out

	return out
}

// ownGroup is the name of this instance's group.
func (v *view) ownGroup(order map[string][]string) string {
	for g, names := range order {
		if slices.Contains(names, v.name) {
			return g
		}
	}

	return ""
}

// relaysOf are the first instances of a group that answer. Those before them
// that don't are asked again from time to time.
func (v *view) relaysOf(names []string, now time.Duration) (relays, again []string) {
	for _, name := range names {
		if len(relays) == _relays {
			break
		}
		p := v.peers[name]
		switch {
		case name == v.name:
			relays = append(relays, name)
		case p.leaving && p.isAlive(now):
		case p.askedAt != 0 && now-max(p.askedAt, p.heardAt) > _relaySilence:
			if now-p.triedAt > _askAgain {
				again = append(again, name)
			}
		default:
			relays = append(relays, name)
		}
	}

	return relays, again
}

// told notes that an instance was told and should answer.
func (v *view) told(name string, now time.Duration) netip.AddrPort {
	p := v.peers[name]
	p.triedAt = now
	if p.askedAt == 0 {
		p.askedAt = now
	}

	return p.addr
}

// speaker is the relay whose word on all instances is used: the first of the
// group whose word is fresh, before this instance. It is empty if this instance
// speaks for its group itself, or if no relay answers.
func (v *view) speaker(names []string, now time.Duration) string {
	for _, name := range names {
		if name == v.name {
			return ""
		}
		if v.peers[name].all.b != nil && now-v.peers[name].all.at <= _relaySilence {
			return name
		}
	}

	return ""
}

// state is what an instance works with for one round.
type state struct {
	order  map[string][]string
	group  string
	relays []string
	again  []string
	// speaker is the relay that this instance believes, empty if it speaks for
	// its group itself (speaks), or if it has none.
	speaker string
	speaks  bool
	// groups are the words on the other groups that are used, by group.
	groups map[string]string
}

func (v *view) state(now time.Duration) state {
	s := state{
		order:  v.order(),
		groups: map[string]string{},
	}
	s.group = v.ownGroup(s.order)
	s.relays, s.again = v.relaysOf(s.order[s.group], now)
	s.speaker = v.speaker(s.order[s.group], now)
	s.speaks = s.speaker == "" && slices.Contains(s.relays, v.name)
	for g, names := range s.order {
		if g == s.group {
			continue
		}
		for _, within := range []time.Duration{_relaySilence, _aliveFor} {
			if name := v.firstWord(names, now-within); name != "" {
				s.groups[g] = name

				break
			}
		}
	}

	return s
}

// firstWord is the first instance whose word on its group came after since.
func (v *view) firstWord(names []string, since time.Duration) string {
	for _, name := range names {
		if w := v.peers[name].group; w.b != nil && w.at >= since {
			return name
		}
	}

	return ""
}

// noteSpent adds to what others have spent what a bulletin says, if its sender
// is the one that is believed for it.
func (v *view) noteSpent(b *wire.Bulletin, s state, now time.Duration) {
	switch b.Scope {
	case _scopeOwn:
		v.others.take(meterKey{
			about:  b.Name,
			source: b.Name,
		}, b.Start, spentOf(b, nil), s.speaks, now)
	case _scopeGroup, _scopeNote:
		if len(b.Asked) == 0 {
			return
		}
		for g, names := range s.order {
			if slices.Contains(names, b.Name) {
				v.others.take(meterKey{
					about:  "group " + g,
					source: b.Name,
				}, b.Start, spentOf(b, nil), s.speaks && s.groups[g] == b.Name, now)
			}
		}
	case _scopeAll:
		own := v.counted(b)
		if own == nil {
			// What of it is this instance's own isn't known: the next one says.
			return
		}
		v.others.take(meterKey{
			about:  _aboutAll,
			source: b.Name,
		}, b.Start, spentOf(b, own), s.speaker == b.Name, now)
	}
}

// sumGroup adds up what the group's instances say of themselves.
func (v *view) sumGroup(own *wire.Bulletin, now time.Duration) *sums {
	g := newSums()
	for _, p := range v.peers {
		if p.own.fresh(now) {
			g.add(p.own.b, 1)
			g.addWord(p.own.b, p.own.ageMS(now))
		}
	}
	if own != nil {
		g.add(own, 1)
		g.addWord(own, 0)
	}

	return g
}

// sumOthers adds up what all others say.
func (v *view) sumOthers(s state, now time.Duration) *sums {
	if !s.speaks {
		o := newSums()
		if s.speaker == "" {
			return o
		}
		w := v.peers[s.speaker].all
		o.add(w.b, 1)
		o.addWord(w.b, w.ageMS(now))
		if own := v.counted(w.b); own != nil {
			o.add(own, -1)
		}
		delete(o.members, v.name)

		return o
	}
	o := v.sumGroup(nil, now)
	for _, name := range s.groups {
		w := v.peers[name].group
		o.add(w.b, 1)
		o.addWord(w.b, w.ageMS(now))
	}
	delete(o.members, v.name)

	return o
}

// everyone is what all others say together.
func (v *view) everyone(s state, now time.Duration) Sums {
	o := v.sumOthers(s, now)
	b := &wire.Bulletin{}
	o.fill(b, true)
	b.Asked = o.rates(v.others.total)

	return Sums{
		From:      Everyone,
		Start:     v.start,
		Instances: len(o.members),
		Bulletin:  b,
	}
}

// cause says what a round is for.
type cause struct {
	// period says that it is time for all bulletins.
	period bool
	// news says that this instance has some for all.
	news bool
	// members and others say that a member or another group has news.
	members, others bool
	// needs says that something is needed here, and held that those who need
	// something are to be told what is held.
	needs, held bool
}

func (c *cause) join(other cause) {
	c.period = c.period || other.period
	c.news = c.news || other.news
	c.members = c.members || other.members
	c.others = c.others || other.others
	c.needs = c.needs || other.needs
	c.held = c.held || other.held
}

// relayed works a bulletin into the sums: it returns them if they are new, and
// what is to be told now.
func (v *view) relayed(b *wire.Bulletin, now time.Duration) (*Sums, cause) {
	s := v.state(now)
	v.noteSpent(b, s, now)
	var why cause
	switch b.Scope {
	case _scopeOwn:
		why.members = b.Urgent
	case _scopeGroup:
		why.others = b.Urgent && s.speaks
	case _scopeNote:
		why.held = len(b.Needs) > 0
	case _scopeAll:
		if b.Name == s.speaker {
			sum := v.everyone(s, now)

			return &sum, why
		}
	}

	return nil, why
}

// round is what is told to whom, where relays pass on what others say.
func (v *view) round(own *wire.Bulletin, why cause, now time.Duration) []outgoing {
	s := v.state(now)
	own.Urgent = why.news
	var out []outgoing
	if why.period || why.news {
		out = append(out, v.tellRelays(own, s, now))
	}
	if why.period || why.needs {
		out = append(out, v.note(own, s, now)...)
	}
	if why.held {
		out = append(out, v.answerNeeds(own, now)...)
	}
	if why.period || why.news && s.speaks || why.members || why.others {
		out = append(out, v.tellMembers(own, s, why.period, now)...)
	}
	if why.period && !s.speaks {
		out = append(out, v.standBy(own, s, now)...)
	}
	if s.speaks && (why.period || why.news || why.members) {
		out = append(out, v.tellGroups(own, s, !why.period, now)...)
	}

	return out
}

// tellRelays is this instance's own bulletin to its relays.
func (v *view) tellRelays(own *wire.Bulletin, s state, now time.Duration) outgoing {
	o := outgoing{b: own}
	for _, name := range append(s.relays, s.again...) {
		if name != v.name {
			o.to = append(o.to, v.told(name, now))
			own.Heard = v.acknowledge(own.Heard, name, now)
		}
	}

	return o
}

// note asks those who give the orders directly for what is needed here.
func (v *view) note(own *wire.Bulletin, s state, now time.Duration) []outgoing {
	if len(own.Needs) == 0 {
		return nil
	}
	o := outgoing{b: v.head(own, _scopeNote)}
	o.b.Changes = wire.ServerChanges{}
	o.b.Needs = own.Needs
	holders := map[string]bool{}
	for _, sh := range v.sumOthers(s, now).shards {
		holders[sh.Holder] = true
	}
	for name := range holders {
		if p := v.peers[name]; p != nil && p.addr.IsValid() {
			o.to = append(o.to, p.addr)
		}
	}

	return []outgoing{o}
}

// answerNeeds tells those who asked for something what is held now.
func (v *view) answerNeeds(own *wire.Bulletin, now time.Duration) []outgoing {
	if len(own.Held) == 0 {
		return nil
	}
	o := outgoing{b: v.head(own, _scopeNote)}
	o.b.Changes = wire.ServerChanges{}
	o.b.Shards = own.Shards
	o.b.Held = own.Held
	for _, p := range v.peers {
		if p.needs && now-p.neededAt <= _neederFor {
			o.to = append(o.to, p.addr)
		}
	}

	return []outgoing{o}
}

// standBy lets the relays of other groups know what this instance's group has
// spent, by its count, so that they can count on from there if it comes to
// speak; and the speakers that it has their word.
func (v *view) standBy(own *wire.Bulletin, s state, now time.Duration) []outgoing {
	o := outgoing{b: v.head(own, _scopeNote)}
	to := map[string]bool{}
	if slices.Contains(s.relays, v.name) {
		o.b.Asked = newSums().rates(v.group.with(own))
		for g, names := range s.order {
			if g == s.group {
				continue
			}
			relays, _ := v.relaysOf(names, now)
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

// head is a bulletin of another scope with the sender's own words on itself.
func (v *view) head(own *wire.Bulletin, scope string) *wire.Bulletin {
	return &wire.Bulletin{
		Name:          own.Name,
		Start:         own.Start,
		Address:       own.Address,
		CallerAddress: own.CallerAddress,
		FailureDomain: own.FailureDomain,
		Leaving:       own.Leaving,
		Version:       own.Version,
		EvidenceAgeMS: own.EvidenceAgeMS,
		SentMS:        own.SentMS,
		Changes:       own.Changes,
		Scope:         scope,
	}
}

// tellMembers is the word on all instances, to those who tell this one of
// themselves. Only those who give orders are told the demand.
func (v *view) tellMembers(own *wire.Bulletin, s state, whole bool, now time.Duration) []outgoing {
	var plain, orders []netip.AddrPort
	all := v.head(own, _scopeAll)
	for _, name := range slices.Sorted(maps.Keys(v.peers)) {
		p := v.peers[name]
		if !p.own.fresh(now) {
			continue
		}
		all.Heard = v.acknowledgeOwn(all.Heard, name, now)
		if len(p.own.b.Shards) > 0 {
			orders = append(orders, p.addr)
		} else {
			plain = append(plain, p.addr)
		}
	}
	if len(plain)+len(orders) == 0 {
		return nil
	}
	sum := v.sumOthers(s, now)
	sum.add(own, 1)
	sum.addWord(own, 0)
	sum.fill(all, false)
	all.Asked = sum.rates(v.others.with(own))
	if !v.heldNews(all.Held, whole, now) {
		all.Held = nil
	}
	out := []outgoing{{
		b:  all,
		to: plain,
	}}
	if len(orders) > 0 {
		full := *all
		sum.fill(&full, true)
		full.Held = all.Held
		out = append(out, outgoing{
			b:  &full,
			to: orders,
		})
	}

	return out
}

// acknowledgeOwn acknowledges the bulletin of a member that is counted.
func (v *view) acknowledgeOwn(list []wire.HeardBulletin, name string, now time.Duration) []wire.HeardBulletin {
	p := v.peers[name]

	return append(list, wire.HeardBulletin{
		Name:   name,
		SentMS: p.own.b.SentMS,
		HeldMS: p.own.ageMS(now),
	})
}

// heldNews says whether what is held should be told again.
func (v *view) heldNews(held []wire.ServerTargets, whole bool, now time.Duration) bool {
	changed := len(held) != len(v.heldTold)
	for _, h := range held {
		changed = changed || !slices.Equal(v.heldTold[h.Server], h.Targets)
	}
	if !changed && (!whole || now-v.heldAt < _heldEvery) {
		return false
	}
	v.heldAt = now
	v.heldTold = make(map[string][]string, len(held))
	for _, h := range held {
		v.heldTold[h.Server] = h.Targets
	}

	return true
}

// tellGroups is the word on this instance's group to the relays of others.
func (v *view) tellGroups(own *wire.Bulletin, s state, urgent bool, now time.Duration) []outgoing {
	b := v.head(own, _scopeGroup)
	b.Urgent = urgent
	o := outgoing{b: b}
	for g, names := range s.order {
		if g == s.group {
			continue
		}
		relays, again := v.relaysOf(names, now)
		relays = append(relays, again...)
		for _, name := range names {
			if v.peers[name].group.fresh(now) && !slices.Contains(relays, name) {
				relays = append(relays, name)
			}
		}
		for _, name := range relays {
			o.to = append(o.to, v.told(name, now))
			b.Heard = v.acknowledge(b.Heard, name, now)
		}
	}
	if len(o.to) == 0 {
		return nil
	}
	sum := v.sumGroup(own, now)
	sum.fill(b, true)
	b.Asked = sum.rates(v.group.with(own))

	return []outgoing{o}
}

// readsAmong says whether the group of this instance, which speaks for it, is
// among the first that are spoken for.
func (s state) readsAmong() bool {
	before := 0
	for g := range s.groups {
		if g < s.group {
			before++
		}
	}

	return before < _readers
}

// passes says whether this instance tells others what the store has said: the
// readers, and all relays.
func (v *view) passes(now time.Duration) bool {
	if v.meshed() {
		return v.reads(now)
	}

	return slices.Contains(v.state(now).relays, v.name)
}

// reads says whether this instance reads the store for others.
func (v *view) reads(now time.Duration) bool {
	if !v.meshed() {
		s := v.state(now)

		return s.speaks && s.readsAmong()
	}
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
	rank(list)
	for _, c := range list[:min(_readers, len(list))] {
		if c.name == v.name {
			return true
		}
	}

	return false
}
