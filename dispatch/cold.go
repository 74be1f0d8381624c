package dispatch

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"papayastair.dev/papayastair/timer"
)

const (
	// _coldUsedShare is the fraction of what a cold backend server may get that all
	// instances together use. The rest is for requests that are under way for unequal
	// times, and for instances that join while others are cut off.
	_coldUsedShare = 0.8
	// _coldWindow is the length of the sliding window of a sender. It exceeds the second
	// of the bound by the time that a request may take to the server.
	_coldWindow = 1050 * time.Millisecond
	// _coldChoiceTTL is the longest time from the choice of a cold server to the sending
	// of the request. It is longer than a connection takes, and shorter than the window,
	// so that the choice still counts.
	_coldChoiceTTL = 500 * time.Millisecond
	// _coldJoinTime is the time within which all instances in touch know the record of a
	// new one, which sends nothing to cold servers until then.
	_coldJoinTime = 12 * time.Second
	// _coldTouchTTL is the time out of touch, or without a record, after which an
	// instance sends nothing to cold servers: from then on others may remove its record.
	_coldTouchTTL = 30 * time.Second
	// _coldMemberRetention is how long an instance counts as a member after it was last
	// known. It exceeds _coldTouchTTL, so that a member that is cut off has stopped
	// sending before others take its part.
	_coldMemberRetention = 60 * time.Second
)

// ColdLimit is what the cold backend servers of a service can take.
type ColdLimit struct {
	// Time is for how long a server is cold.
	Time time.Duration
	// PerSecond is the number of requests that all instances together may send to one of
	// them in any second.
	PerSecond float64
}

// ColdMembers is what an instance knows of those that may send to cold backend servers.
type ColdMembers struct {
	// Name is the name of this instance.
	Name string
	// Others are the other instances that have a record in the store or are alive.
	Others []string
	// RecordedFor is the time since this instance has a record in the store, which may
	// be that of an earlier process; 0 if it has none.
	RecordedFor time.Duration
	// InTouch reports whether the records are current, or most others are alive.
	InTouch bool
}

// ColdChange is a backend server that has become cold, or warm again.
type ColdChange struct {
	// Server is the id of the backend server, and Cold reports whether it is cold.
	Server string
	Cold   bool
	// Left is the time for which it stays cold.
	Left time.Duration
	// Allowance is the number of requests that this instance may send to it in a window.
	Allowance int
	// Members is the number of instances that share what the server can take.
	Members int
}

// ColdSend is a request that counts against the allowance of a cold backend server.
type ColdSend struct {
	server *coldServer
	at     time.Duration
}

// coldServers holds what is known of cold backend servers and of those who send to them.
// Times are by elapsed.
type coldServers struct {
	elapsed func() time.Duration
	// limits holds the services whose servers may be cold.
	limits map[string]ColdLimit
	// servers holds the state of backend servers by ID. It outlasts a gap in their
	// registration.
	servers map[string]*coldServer
	name    string
	// seen holds the other members, with the times at which they were last known.
	// version rises with each change of the members or limits.
	seen    map[string]time.Duration
	version int
	// joined is set once this instance has been in touch and had a record, the last time
	// at touchedAt. The others know it from sendsFrom on.
	joined    bool
	sendsFrom time.Duration
	touchedAt time.Duration
}

// coldServer is the state of a backend server that is or was cold.
type coldServer struct {
	born  int64
	until time.Duration
	// cold is set until the end of the cold time is noticed, and reported is the state
	// that was last reported.
	cold     bool
	reported bool
	// sends are the requests in the window, the oldest first.
	sends []*ColdSend
	// allowance is this instance's, as of version.
	allowance int
	version   int
}

func newColdServers() coldServers {
	return coldServers{
		elapsed: timer.Elapsed,
		limits:  map[string]ColdLimit{},
		servers: map[string]*coldServer{},
		seen:    map[string]time.Duration{},
	}
}

// SetColdLimits sets the services whose backend servers may be cold, by name, with what
// these can take then.
func (b *Balancer) SetColdLimits(limits map[string]ColdLimit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.cold.limits = limits
	b.cold.version++
}

// CanBeCold reports whether a service has backend servers that may be cold.
func (b *Balancer) CanBeCold() bool {
	b.mu.Lock()
	defer b.mu.Unlock()

	return len(b.cold.limits) > 0
}

// SetColdMembers updates the instances that may send to cold backend servers. Until the
// first call this one sends them nothing. Call it a few times a second.
func (b *Balancer) SetColdMembers(m ColdMembers) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c := &b.cold
	now := c.elapsed()
	before := len(c.seen)
	for _, name := range m.Others {
		c.seen[name] = now
	}
	with := len(c.seen)
	maps.DeleteFunc(c.seen, func(_ string, at time.Duration) bool { return now-at > _coldMemberRetention })
	if c.name != m.Name || with != before || len(c.seen) != with {
		c.name = m.Name
		c.version++
	}
	if !m.InTouch || m.RecordedFor <= 0 {
		return
	}
	switch {
	case !c.joined:
		// An earlier process of this instance may just have sent what a window allows.
		c.sendsFrom = now + max(_coldWindow, _coldJoinTime-m.RecordedFor)
	case now-c.touchedAt > _coldTouchTTL:
		c.sendsFrom = now + _coldJoinTime
	}
	c.joined = true
	c.touchedAt = now
}

// MarkCold marks the backend servers of a failure domain as cold from now on, as they may
// be when an evacuation ends. The end of their cold time is by timer.Elapsed.
func (b *Balancer) MarkCold(failureDomain string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.servers {
		if limit, ok := b.cold.limits[s.entry.Service]; ok && s.entry.FailureDomain == failureDomain {
			s.cold.until = max(s.cold.until, b.cold.elapsed()+limit.Time)
		}
	}
}

// ColdChanges returns the backend servers that have become cold or warm since the last
// call, sorted by ID.
func (b *Balancer) ColdChanges() []ColdChange {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []ColdChange
	for id, s := range b.servers {
		left := b.noteCold(s)
		if cold := left > 0; cold != s.cold.reported {
			s.cold.reported = cold
			out = append(out, ColdChange{
				Server:    id,
				Cold:      cold,
				Left:      left,
				Allowance: b.coldAllowance(s),
				Members:   len(b.cold.seen) + 1,
			})
		}
	}
	slices.SortFunc(out, func(a, b ColdChange) int { return strings.Compare(a.Server, b.Server) })

	return out
}

// setCold applies the cold time in the entry of a backend server. An entry without one
// ends a cold time only if it is that of another start.
func (b *Balancer) setCold(s *server) {
	c := &b.cold
	state := c.servers[s.entry.ID]
	if state == nil {
		if len(c.servers) >= _maxAdvice+len(b.servers) {
			maps.DeleteFunc(c.servers, func(id string, _ *coldServer) bool { return b.servers[id] == nil })
		}
		state = &coldServer{}
		c.servers[s.entry.ID] = state
	}
	if state.born != s.entry.Born {
		state.born = s.entry.Born
		state.until = 0
	}
	if s.entry.ColdLeft > 0 {
		state.until = max(state.until, c.elapsed()+s.entry.ColdLeft)
	}
	s.cold = state
}

// coldLeft returns the time for which a backend server stays cold, 0 if it isn't.
func (b *Balancer) coldLeft(s *server) time.Duration {
	if _, ok := b.cold.limits[s.entry.Service]; !ok || s.cold.until == 0 {
		return 0
	}

	return max(s.cold.until-b.cold.elapsed(), 0)
}

// ratio returns the latency ratio of a backend server that stays cold for the given time.
// When the cold time has ended, the ratio starts anew: the server's start was slow.
func (s *server) ratio(coldLeft time.Duration) float64 {
	if s.cold.cold && coldLeft == 0 {
		return 1
	}

	return s.latencyRatio
}

// noteCold returns coldLeft, and notes whether the cold time has ended.
func (b *Balancer) noteCold(s *server) time.Duration {
	left := b.coldLeft(s)
	s.latencyRatio = s.ratio(left)
	s.cold.cold = left > 0

	return left
}

// coldAllowance returns the number of requests that this instance may send to a cold
// backend server in a window.
func (b *Balancer) coldAllowance(s *server) int {
	c := &b.cold
	if now := c.elapsed(); !c.joined || now < c.sendsFrom || now-c.touchedAt > _coldTouchTTL {
		return 0
	}

	return b.coldPart(s)
}

// coldPart returns the part of this instance in what all instances may send to a cold
// backend server in a window, once it may send any.
func (b *Balancer) coldPart(s *server) int {
	c := &b.cold
	if s.cold.version == c.version {
		return s.cold.allowance
	}
	used := int(_coldUsedShare * c.limits[s.entry.Service].PerSecond)
	senders := min(len(c.seen)+1, used)
	if senderRank(s.entry.ID, c.name, slices.Collect(maps.Keys(c.seen))) < senders {
		return used / senders
	}

	return 0
}

// untilColdAllowed returns the time until this instance may send a request to a backend
// server that is cold, or until another one has likely been able to if this one is no
// sender; 0 if it may now.
func (b *Balancer) untilColdAllowed(s *server) time.Duration {
	left := b.coldLeft(s)
	if left == 0 {
		return 0
	}
	state, now := s.cold, b.cold.elapsed()
	sends := state.inWindow(now)
	allowance := b.coldAllowance(s)
	if len(sends) < allowance {
		return 0
	}
	wait := _coldWindow
	if allowance > 0 {
		wait -= now - sends[len(sends)-allowance].at
	}

	return min(wait, left)
}

// countCold counts a request to a cold backend server.
func (b *Balancer) countCold(s *server) *ColdSend {
	send := &ColdSend{
		server: s.cold,
		at:     b.cold.elapsed(),
	}
	s.cold.sends = append(slices.Clone(s.cold.inWindow(send.at)), send)

	return send
}

// inWindow returns the requests in the window that ends now.
func (c *coldServer) inWindow(now time.Duration) []*ColdSend {
	first := slices.IndexFunc(c.sends, func(r *ColdSend) bool { return now-r.at < _coldWindow })
	if first < 0 {
		return nil
	}

	return c.sends[first:]
}

// remove takes a request out of the window.
func (c *coldServer) remove(send *ColdSend) {
	c.sends = slices.DeleteFunc(c.sends, func(r *ColdSend) bool { return r == send })
}

// ConfirmCold reports whether a request may be sent now to the backend server that was
// chosen for it, and counts it from now on if that is cold. It may not be long after
// the choice, such as after the process was suspended. send may be nil.
func (b *Balancer) ConfirmCold(send *ColdSend) bool {
	if send == nil {
		return true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.cold.elapsed()
	if now-send.at > _coldChoiceTTL {
		return false
	}
	send.server.remove(send)
	send.at = now
	send.server.sends = append(send.server.sends, send)

	return true
}

// ReturnCold gives back the part of the allowance of a request that was not sent, or that
// the backend server answered without counting it. send may be nil.
func (b *Balancer) ReturnCold(send *ColdSend) {
	if send == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	send.server.remove(send)
}

// senderRank returns the place of an instance among those that send requests to a backend
// server, from 0. The order is another one for each server.
func senderRank(id, name string, others []string) int {
	key := func(name string) uint64 { return xxhash.Sum64String(id + "|" + name) }
	own := key(name)
	rank := 0
	for _, other := range others {
		if key(other) > own {
			rank++
		}
	}

	return rank
}

// SetRegions sets the regions of the failure domains.
func (b *Balancer) SetRegions(regions map[string]string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.regions = regions
}

// isHome reports whether the region of a backend server is in all lists that aren't empty.
func (b *Balancer) isHome(s *server, lists [][]string) bool {
	region, ok := b.regions[s.entry.FailureDomain]

	return !slices.ContainsFunc(lists, func(l []string) bool { return len(l) > 0 && (!ok || !slices.Contains(l, region)) })
}
