package dispatch

import (
	"math"
	"time"
)

// Precedences is the number of precedences. Requests that can't meet their latency goal any
// more have the last one.
const Precedences = 10

const (
	// _fillTime is the time within which the free slots of a backend server are filled. It
	// is longer than the counts are usually old (0.4 s with relays), so that they show the
	// first of the requests before the last slots are filled.
	_fillTime = 600 * time.Millisecond
	// _defaultCountAge applies until the age of the counts is known. It is that without
	// relays, half of the interval of bulletins.
	_defaultCountAge = 100 * time.Millisecond
	// _maxOverload is the load, as a multiple of its limit, at which a backend server
	// gets no requests even if some are expected to have ended. The expectation may be
	// wrong, and requests that are queued there can't move to another server.
	_maxOverload = 1.25
	// _scarceFactor is the ratio of the admissible to the expected requests below which
	// requests are spread over all backend servers of the target in proportion to what
	// each can take. Above it, a server can take twice what is expected, and the shortest
	// wait in the subset of this instance decides.
	_scarceFactor = 2.0
	// _minPart is the part of the admissible requests that those with a lower precedence
	// get, so that they don't wait for as long as the others use up all slots.
	_minPart = 0.3
	// _newCopyShare is the share of the mean rate of the backend servers of a target below
	// which the requests for a new copy have not been counted yet. Each request counts
	// equally at all of them, so the rates of older copies differ little.
	_newCopyShare = 0.25
	// _minRate is the lowest rate that is reported, per second: the unit of the rates in
	// bulletins.
	_minRate = 0.01
	// _rateWindow is the time constant of the averages of rates. It spans two bulletins, so
	// that the averages follow a burst within a few of them.
	_rateWindow = 500 * time.Millisecond
)

// rate is an exponential moving average of the number of events per second.
type rate struct {
	perSecond float64
	at        time.Time
}

// add counts n events.
func (r *rate) add(n float64, now time.Time) {
	r.perSecond = r.get(now) + n/_rateWindow.Seconds()
	r.at = now
}

// get returns the average at a time after the last event.
func (r *rate) get(now time.Time) float64 {
	return r.perSecond * math.Exp(-now.Sub(r.at).Seconds()/_rateWindow.Seconds())
}

// Flow holds the rates of requests at a backend server, per second.
type Flow struct {
	// Attempts are the rates of requests that could be sent there, by precedence. Each
	// request counts at all backend servers that serve its target, divided by their number,
	// and again whenever it is tried.
	Attempts [Precedences]float64
	// Ended is the rate at which requests end there.
	Ended float64
}

// peerFlows holds the flows of another instance by backend server.
type peerFlows struct {
	receivedAt time.Time
	flows      map[string]Flow
}

// Flows returns the flows of this instance by the ID of the backend server. It also
// updates the predicted loads; call it a few times a second.
func (b *Balancer) Flows(now time.Time) map[string]Flow {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sumPeerFlows(now)
	b.sumPeerLoads(now)
	elapsed := now.Sub(b.predictedAt).Seconds()
	b.predictedAt = now
	out := map[string]Flow{}
	for id, s := range b.servers {
		f := Flow{Ended: s.ended.get(now)}
		attempts := 0.0
		for i := range f.Attempts {
			f.Attempts[i] = s.attempts[i].get(now)
			attempts += f.Attempts[i]
		}
		if attempts >= _minRate || f.Ended >= _minRate {
			out[id] = f
		}
		b.predict(s, elapsed, now)
	}

	return out
}

// SetPeerFlows replaces the flows of the named instance.
func (b *Balancer) SetPeerFlows(name string, flows map[string]Flow, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.flowsByPeer[name] = peerFlows{
		receivedAt: now,
		flows:      flows,
	}
	b.sumPeerFlows(now)
}

// sumPeerFlows updates the sums of the other instances' flows. It drops those of instances
// that have reported none for _peerLoadTTL.
func (b *Balancer) sumPeerFlows(now time.Time) {
	clear(b.peerFlows)
	for name, p := range b.flowsByPeer {
		if now.Sub(p.receivedAt) > _peerLoadTTL {
			delete(b.flowsByPeer, name)

			continue
		}
		for id, f := range p.flows {
			if f == (Flow{}) {
				// An instance of an earlier version counts requests but reports no flows.
				continue
			}
			sum := b.peerFlows[id]
			for i, n := range f.Attempts {
				sum.Attempts[i] += n
			}
			sum.Ended += f.Ended
			b.peerFlows[id] = sum
		}
	}
}

// sharesFlows reports whether the slots of the backend servers for a request are shared
// with other instances by the flows that these report.
func (b *Balancer) sharesFlows(req Request) bool {
	return req.Target.Model != "" && len(b.peerFlows) > 0
}

// counted returns the rates of requests of each precedence that all instances have
// counted, and their sum. Where others have reported a rate, that of this instance is
// taken to be their mean: at the moment of a choice its own is higher than usual, because
// it includes the request to place.
func (b *Balancer) counted(s *server, now time.Time) (rates [Precedences]float64, sum float64) {
	return b.countedWith(s, 0, 0, now)
}

// countedWith returns the rates as they are once a part of a request with the given
// precedence has been counted.
func (b *Balancer) countedWith(s *server, precedence int, part float64, now time.Time) (rates [Precedences]float64, sum float64) {
	others := b.peerFlows[s.entry.ID].Attempts
	n := float64(b.limits.Instances)
	for i := range rates {
		own := s.attempts[i]
		if i == precedence {
			own.add(part, now)
		}
		rates[i] = own.get(now)
		if n > 1 && others[i] > 0 {
			rates[i] = others[i] * n / (n - 1)
		}
		sum += rates[i]
	}

	return rates, sum
}

// predict updates the number of requests that all instances are expected to have sent
// to a backend server within the age of the counts, which these don't include yet. It
// follows the rate at which they send there, the lesser of the counted and the admissible
// one, as the counts do: with their age as the time constant. elapsed is the time since
// the last update, in seconds.
func (b *Balancer) predict(s *server, elapsed float64, now time.Time) {
	_, attempts := b.counted(s, now)
	admissible := b.admissible(s, b.loadOf(s, now), float64(s.entry.Slots), now)
	sent := min(max(attempts, s.assumed.get(now)), admissible)
	past := math.Exp(-elapsed / b.age())
	s.unreported = s.unreported*past + sent*b.age()*(1-past)
}

// unreportedChange returns how much the load of a backend server is expected to have
// changed within the age of the counts. It is 0 where attempts aren't counted, and without
// flows of others: the running requests of this instance are known.
func (b *Balancer) unreportedChange(s *server, now time.Time) float64 {
	if len(b.peerFlows) == 0 {
		return 0
	}
	if _, attempts := b.counted(s, now); attempts < _minRate {
		return 0
	}

	return s.unreported - b.ended(s, now)*b.age()
}

// ended returns the rate at which requests of all instances end at a backend server.
func (b *Balancer) ended(s *server, now time.Time) float64 {
	return s.ended.get(now) + b.peerFlows[s.entry.ID].Ended
}

// age returns the usual age of the counts, in seconds.
func (b *Balancer) age() float64 {
	if b.countAge == 0 {
		return _defaultCountAge.Seconds()
	}

	return b.countAge.Seconds()
}

// admissible returns the rate of requests that all instances together may send to a
// backend server with the given load: as many as end, and as many as bring the load to
// the limit within _fillTime.
func (b *Balancer) admissible(s *server, load, limit float64, now time.Time) float64 {
	return max(b.ended(s, now)+(limit-load)/_fillTime.Seconds(), 0)
}

// admit sets the probability with which a request is placed now, and the weights of the
// candidates. The instances choose at the same time by counts that are equally old: if
// each filled the slots that it sees free, all would send to the same servers. So each
// places a request with a probability such that all together send the admissible rate to
// each server. The weights are to be used if that rate is scarce.
func (b *Balancer) admit(p *plan, req Request, now time.Time) {
	for _, c := range p.candidates {
		_, sum := b.countedWith(c.server, req.Precedence, p.part, now)
		p.mean += sum / float64(len(p.candidates))
	}
	sum := 0.0
	for _, c := range p.candidates {
		c.weight, c.isNewCopy = b.weight(c, p, req, now)
		sum += c.weight
	}
	// Each request counts in equal parts at all servers of the target, also at those that
	// can take none and so aren't candidates.
	p.choice.Acceptance = sum / float64(max(p.choice.Candidates, 1))
	p.isScarce = p.choice.Acceptance < _scarceFactor
}

// weight returns the ratio of the requests like req that all instances together may send
// to a backend server to those that they could send. Requests that precede req come
// first, but leave it a part. A new copy, whose requests have not been counted yet
// (isNewCopy), is taken to have the mean rate, and predict assumes the same.
func (b *Balancer) weight(c *candidate, p *plan, req Request, now time.Time) (weight float64, isNewCopy bool) {
	perSecond := b.admissible(c.server, c.estimate, maxLoad(c.entry.Slots, req), now)
	rates, sum := b.countedWith(c.server, req.Precedence, p.part, now)
	if sum < _newCopyShare*p.mean {
		return perSecond / p.mean, true
	}
	preceding := 0.0
	for _, n := range rates[:req.Precedence] {
		preceding += n
	}

	return max(perSecond-preceding, _minPart*perSecond) / max(rates[req.Precedence], _minRate), false
}
