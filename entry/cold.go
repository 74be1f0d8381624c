package entry

import (
	"time"

	"go.uber.org/zap"

	"papayastair.dev/papayastair/dispatch"
	"papayastair.dev/papayastair/event"
	"papayastair.dev/papayastair/exchange"
	"papayastair.dev/papayastair/site"
	"papayastair.dev/papayastair/timer"
	"papayastair.dev/papayastair/wire"
)

// coldLimits returns what the cold backend servers of each service can take.
func (b Bounds) coldLimits(cfg *site.Configuration) map[string]dispatch.ColdLimit {
	limits := map[string]dispatch.ColdLimit{}
	for name, s := range cfg.Services {
		if s.ColdPerSecond > 0 {
			limits[name] = dispatch.ColdLimit{
				Time:      s.ColdTime,
				PerSecond: s.ColdPerSecond*b.ColdOver + b.ColdSlack,
			}
		}
	}

	return limits
}

// updateCold updates the instances that share what cold backend servers can take, and
// logs which servers have become cold or warm.
func (e *Entry) updateCold() {
	if e.balancer.CanBeCold() {
		members := coldMembers(e.hub.Instances(), e.recordChanges.age())
		members.Name = e.cfg.Settings.Name
		members.RecordedFor = e.records.recordedFor(timer.Elapsed())
		e.balancer.SetColdMembers(members)
	}
	for _, c := range e.balancer.ColdChanges() {
		kind := event.ServerWarm
		if c.Cold {
			kind = event.ServerCold
		}
		e.cfg.Log.Write(kind, zap.String("Server", c.Server), zap.Duration("Left", c.Left), zap.Int("Allowance", c.Allowance),
			zap.Int("Members", c.Members), e.serversAgeField())
	}
}

// coldMembers returns the other instances that may send to cold backend servers, and
// whether this one is in touch with the store or with most of them. Without the store
// alone, nobody removes the record of an instance that isn't heard.
func coldMembers(others []exchange.Instance, recordsAge time.Duration) dispatch.ColdMembers {
	var m dispatch.ColdMembers
	alive, recorded := 1, 1
	for _, i := range others {
		if i.Alive || i.InStore {
			m.Others = append(m.Others, i.Name)
		}
		if i.InStore {
			recorded++
			if i.Alive {
				alive++
			}
		}
	}
	m.InTouch = recordsAge <= _recordBound || recorded > 1 && 2*alive > recorded

	return m
}

// noteOwn notes what the store has as the record of this instance. The record of an
// earlier process was there since that started.
func (c *recordCache) noteOwn(stored wire.EntryRecord, start int, now time.Duration) {
	switch {
	case stored.Name == "":
		c.ownKnown = false
	case !c.ownKnown:
		c.ownKnown = true
		c.ownSince = now - time.Duration(max(start-stored.Start, 0))*time.Millisecond
	}
}

// recordedFor returns the time since the store has a record of this instance; 0 if it
// has none.
func (c *recordCache) recordedFor(now time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.ownKnown {
		return 0
	}

	return max(now-c.ownSince, 1)
}
