package membership

import (
	"errors"
	"slices"
	"time"

	"papayastair.dev/papayastair/wire"
)

// errWrongInstance is the error of a probe that was answered by an instance
// other than the one expected at the address.
var errWrongInstance = errors.New("membership: probe answered by a different instance")

// HandleProbe applies the findings of a probe and passes the reply to done.
// If the probe names a target, HandleProbe probes that instance on behalf of
// the sender and calls done after it has returned.
func (d *Detector) HandleProbe(probe wire.Probe, done func(wire.ProbeReply)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, f := range probe.Findings {
		d.handleFinding(f)
	}
	reply := wire.ProbeReply{
		Alive:       true,
		Name:        d.Self.Name,
		Incarnation: d.own.Incarnation,
		Findings:    d.findingsFor(probe.Name),
	}
	if probe.Introduce {
		reply.Introductions = d.introductions()
	}
	if probe.Target == "" {
		done(reply)

		return
	}
	d.Probe(probe.Target, d.newProbe(""), func(target wire.ProbeReply, err error) {
		reply.Alive = err == nil
		reply.Name = target.Name
		reply.Incarnation = target.Incarnation
		reply.Findings = append(reply.Findings, target.Findings...)
		done(reply)
	})
}

// introductions returns findings that describe all known instances, for an
// instance that has just joined and has none.
func (d *Detector) introductions() []wire.Finding {
	names := d.peerNames()
	findings := make([]wire.Finding, 0, len(names)+1)
	findings = append(findings, d.own)
	for _, name := range names {
		f := d.members[name].finding
		f.Member = toPeerMember(d.members[name].info)
		findings = append(findings, f)
	}

	return findings
}

// newProbe returns a probe with the findings to send to an instance.
func (d *Detector) newProbe(to string) wire.Probe {
	return wire.Probe{
		Name:     d.Self.Name,
		Findings: d.findingsFor(to),
	}
}

// findingsFor returns the findings to send on a message to an instance. If
// that instance is considered suspect or failed, they include the finding
// about it, so that it can refute it.
func (d *Detector) findingsFor(to string) []wire.Finding {
	findings := d.gossip.nextBatch(len(d.peerNames()) + 1)
	m, ok := d.members[to]
	if !ok || m.finding.Health == wire.FindingHealthAlive {
		return findings
	}
	if slices.ContainsFunc(findings, func(f wire.Finding) bool { return f.Name == to }) {
		return findings
	}

	return append(findings, m.finding)
}

// probeNext probes the next instance in a random order of all of them. The
// order includes failed instances, so that the sides of a healed network
// partition rediscover each other.
func (d *Detector) probeNext(time.Time) {
	if len(d.probeOrder) == 0 {
		d.probeOrder = slices.Clone(d.peerNames())
		d.Random.Shuffle(len(d.probeOrder), func(i, j int) { d.probeOrder[i], d.probeOrder[j] = d.probeOrder[j], d.probeOrder[i] })
	}
	if len(d.probeOrder) == 0 {
		d.probeBootstrapAddresses()

		return
	}
	name := d.probeOrder[0]
	d.probeOrder = d.probeOrder[1:]
	d.probePeer(name)
}

// probeBootstrapAddresses probes the configured addresses to discover other
// instances while none is known.
func (d *Detector) probeBootstrapAddresses() {
	for _, address := range d.PeerAddresses {
		if address == d.Self.PeerAddress {
			continue
		}
		d.Probe(address, d.newIntroductionProbe(), func(reply wire.ProbeReply, err error) {
			d.mu.Lock()
			defer d.mu.Unlock()
			if err == nil {
				d.handleReply(reply)
			}
		})
	}
}

// newIntroductionProbe returns a probe that requests introductions and always
// carries this instance's own finding.
func (d *Detector) newIntroductionProbe() wire.Probe {
	return wire.Probe{
		Name:      d.Self.Name,
		Introduce: true,
		Findings:  []wire.Finding{d.own},
	}
}

func (d *Detector) probePeer(name string) {
	m, ok := d.members[name]
	if !ok {
		return
	}
	pauses := d.pauses
	d.Probe(m.info.PeerAddress, d.newProbe(name), func(reply wire.ProbeReply, err error) {
		d.mu.Lock()
		defer d.mu.Unlock()
		if err == nil && reply.Name != name {
			err = errWrongInstance
		}
		if err == nil {
			d.handleReply(reply)

			return
		}
		if d.pauses == pauses && d.isAlive(name) {
			d.probeIndirectly(name, pauses)
		}
	})
}

func (d *Detector) isAlive(name string) bool {
	m, ok := d.members[name]

	return ok && m.finding.Health == wire.FindingHealthAlive
}

func (d *Detector) handleReply(reply wire.ProbeReply) {
	for _, f := range reply.Findings {
		d.handleFinding(f)
	}
	for _, f := range reply.Introductions {
		if f.Name != d.Self.Name {
			d.applyFinding(f)
		}
	}
}

// probeIndirectly asks other instances to probe one that did not answer, and
// marks it suspect if none of them gets an answer either. The result is
// discarded if this process has been paused since the count in pauses.
func (d *Detector) probeIndirectly(name string, pauses int) {
	helpers := d.randomAlivePeers(name)
	pending := len(helpers)
	if pending == 0 {
		d.markSuspect(name)

		return
	}
	answered := false
	for _, helper := range helpers {
		probe := d.newProbe(helper)
		probe.Target = d.members[name].info.PeerAddress
		d.Probe(d.members[helper].info.PeerAddress, probe, func(reply wire.ProbeReply, err error) {
			d.mu.Lock()
			defer d.mu.Unlock()
			pending--
			if err == nil {
				d.handleReply(reply)
				answered = answered || reply.Alive && reply.Name == name
			}
			if pending == 0 && !answered && d.pauses == pauses && d.isAlive(name) {
				d.markSuspect(name)
			}
		})
	}
}

// markSuspect marks an instance suspect and probes it at once, so that it
// receives the suspicion and can refute it.
func (d *Detector) markSuspect(name string) {
	d.recordHealth(name, wire.FindingHealthSuspect)
	d.probePeer(name)
	d.probeRandomPeers()
}

// randomAlivePeers returns up to _indirectProbes random instances that are
// alive, other than except.
func (d *Detector) randomAlivePeers(except string) []string {
	names := slices.DeleteFunc(slices.Clone(d.peerNames()), func(name string) bool { return name == except || !d.isAlive(name) })
	d.Random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })

	return names[:min(len(names), _indirectProbes)]
}
