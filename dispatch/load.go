package dispatch

import (
	"math"
	"time"

	"papayastair.dev/papayastair/site"
)

const (
	// _loadTTL is the age at which the load that a backend server gave in an answer has
	// no weight any more. Counts of other instances are 0.2 to 1 s old.
	_loadTTL = time.Second
	// _paceTTL is the age up to which the pace of a backend server counts. It changes
	// several times a second.
	_paceTTL = 300 * time.Millisecond
	// _unseenTTL is the time without any answer after which the unseen requests of a
	// service no longer count. Samples lose weight exponentially, with half of it as
	// the time constant.
	_unseenTTL = 2 * time.Second
	// _unseenPrior is the number of samples without unseen requests that are added to
	// those of a service, so that a single one doesn't make all its servers look full.
	_unseenPrior = 1.0
)

// observedLoad is the load that a backend server gave in its latest answer.
type observedLoad struct {
	site.ServerLoad
	at time.Time
	// running is the number of requests of this instance there at that time.
	running int
}

// unseenRequests is the mean number of requests on the backend servers of a service
// that neither this instance runs nor others report, as seen in answers.
type unseenRequests struct {
	sum    float64
	weight float64
	at     time.Time
}

// add adds the number of unseen requests on one backend server.
func (u *unseenRequests) add(n float64, now time.Time) {
	passed := max(now.Sub(u.at), 0)
	past := math.Exp(-2 * float64(passed) / float64(_unseenTTL))
	u.sum = u.sum*past + n
	u.weight = u.weight*past + 1
	u.at = now
}

// mean returns the mean, which falls to 0 without further samples. A mean below 0
// comes from counts of other instances that are too old, and counts as 0.
func (u *unseenRequests) mean(now time.Time) float64 {
	return max(u.sum/(u.weight+_unseenPrior), 0) * freshness(now.Sub(u.at), _unseenTTL)
}

// freshness returns a weight that falls from 1 at age 0 to 0 at ttl.
func freshness(age, ttl time.Duration) float64 {
	return min(max(1-float64(age)/float64(ttl), 0), 1)
}

// ObserveLoad records the load that a backend server gave in an answer to this
// instance. It must include the request that was answered, until End.
func (b *Balancer) ObserveLoad(id string, l site.ServerLoad, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.servers[id]
	if s == nil || now.Before(s.observed.at) {
		return
	}
	s.observed = observedLoad{
		ServerLoad: l,
		at:         now,
		running:    s.running,
	}
	u := b.unseen[s.entry.Service]
	if u == nil {
		u = &unseenRequests{}
		b.unseen[s.entry.Service] = u
	}
	// The bound keeps a single server with wrong figures from filling the others.
	most := float64(max(s.entry.Slots, 1))
	u.add(min(max(float64(l.Running+l.Waiting)-b.loadParts(s, now).known(), -most), most), now)
}

// loadParts are the figures that the estimated load of a backend server is made of.
type loadParts struct {
	// own are the requests of this instance, others those that the others last reported,
	// and change is how these are expected to have changed since.
	own    float64
	others float64
	change float64
	// unseen is the mean number of unseen requests on the servers of the service.
	unseen float64
	// header is what the server gave in its latest answer, with what this instance has
	// begun and ended there since, and fresh is its weight, from 0 to 1.
	header float64
	fresh  float64
}

// known returns the requests of this instance and those of the others: as last
// reported, and as they are expected to have changed since.
func (p loadParts) known() float64 {
	return p.own + max(p.others+p.change, 0)
}

// total returns the estimated number of requests. The server's own figures count as
// much as they are fresh; for the rest the known and the unseen requests count.
func (p loadParts) total() float64 {
	known := p.known() + p.unseen

	return max(known+p.fresh*(p.header-known), p.own)
}

// loadParts returns the parts of the estimated load of s.
func (b *Balancer) loadParts(s *server, now time.Time) loadParts {
	p := loadParts{
		own:    float64(s.running),
		others: float64(b.peerLoads[s.entry.ID]),
		change: b.unreportedChange(s, now),
	}
	if u := b.unseen[s.entry.Service]; u != nil {
		p.unseen = u.mean(now)
	}
	if o := s.observed; !o.at.IsZero() {
		p.header = float64(o.Running + o.Waiting + s.running - o.running)
		p.fresh = freshness(now.Sub(o.at), _loadTTL)
	}

	return p
}

// loadOf estimates the number of requests on s.
func (b *Balancer) loadOf(s *server, now time.Time) float64 {
	return b.loadParts(s, now).total()
}

// pace returns the time that work takes on s at this moment, as a multiple of the usual
// one: as s gave it in a recent answer, else 1.
func (s *server) pace(now time.Time) float64 {
	if s.observed.Pace <= 0 || now.Sub(s.observed.at) >= _paceTTL {
		return 1
	}

	return min(max(s.observed.Pace, _minLatencyRatio), _maxLatencyRatio)
}

// responseTimeout returns the time within which s must start to respond while it has
// free slots. A slow moment extends it, so that it isn't taken for a failure.
func (s *server) responseTimeout(now time.Time) time.Duration {
	return time.Duration(max(s.pace(now), 1) * float64(_firstResponseTimeout))
}
