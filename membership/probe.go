package membership

import (
	"errors"
	"slices"
	"time"

	"papayastair.dev/papayastair/wire"
)

// errAnother means that another instance than the probed one has answered.
var errAnother = errors.New("membership: another instance answered")

// HandleProbe answers an instance. done may be called later, after a third
// instance was probed.
func (d *Detector) HandleProbe(probe wire.Probe, done func(wire.ProbeReply)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, f := range probe.Findings {
		d.learn(f)
	}
	reply := wire.ProbeReply{
		Alive:       true,
		Name:        d.Self.Name,
		Incarnation: d.own.Incarnation,
		Findings:    d.findings(probe.Name),
	}
	if probe.Introduce {
		reply.Introductions = d.introductions()
	}
	if probe.Target == "" {
		done(reply)

		return
	}
	d.Probe(probe.Target, d.message(""), func(target wire.ProbeReply, err error) {
		reply.Alive = err == nil
		reply.Name = target.Name
		reply.Incarnation = target.Incarnation
		reply.Findings = append(reply.Findings, target.Findings...)
		done(reply)
	})
}

// introductions describe all instances to one that knows none.
func (d *Detector) introductions() []wire.Finding {
	names := d.peers()
	findings := make([]wire.Finding, 0, len(names)+1)
	findings = append(findings, d.own)
	for _, name := range names {
		f := d.members[name].finding
		f.Member = describe(d.members[name].info)
		findings = append(findings, f)
	}

	return findings
}

// message is a probe with the findings for an instance.
func (d *Detector) message(to string) wire.Probe {
	return wire.Probe{
		Name:     d.Self.Name,
		Findings: d.findings(to),
	}
}

// findings are what travels on a message to an instance. If that is taken
// for other than alive it is told, so that it can deny it.
func (d *Detector) findings(to string) []wire.Finding {
	findings := d.gossip.take(len(d.peers()) + 1)
	m, ok := d.members[to]
	if !ok || m.finding.Health == wire.FindingHealthAlive {
		return findings
	}
	if slices.ContainsFunc(findings, func(f wire.Finding) bool { return f.Name == to }) {
		return findings
	}

	return append(findings, m.finding)
}

// probeNext probes the next instance of a random order of all of them, failed
// ones too: that is how parts of the fleet find each other again.
func (d *Detector) probeNext(time.Time) {
	if len(d.order) == 0 {
		d.order = slices.Clone(d.peers())
		d.Random.Shuffle(len(d.order), func(i, j int) { d.order[i], d.order[j] = d.order[j], d.order[i] })
	}
	if len(d.order) == 0 {
		d.probeAddresses()

		return
	}
	name := d.order[0]
	d.order = d.order[1:]
	d.probeOne(name)
}

// probeAddresses looks for instances while none is known.
func (d *Detector) probeAddresses() {
	for _, address := range d.PeerAddresses {
		if address == d.Self.PeerAddress {
			continue
		}
		d.Probe(address, d.introduce(), func(reply wire.ProbeReply, err error) {
			d.mu.Lock()
			defer d.mu.Unlock()
			if err == nil {
				d.onReply(reply)
			}
		})
	}
}

// introduce is a probe that carries this instance's own finding for sure.
func (d *Detector) introduce() wire.Probe {
	return wire.Probe{
		Name:      d.Self.Name,
		Introduce: true,
		Findings:  []wire.Finding{d.own},
	}
}

func (d *Detector) probeOne(name string) {
	m, ok := d.members[name]
	if !ok {
		return
	}
	wakes := d.wakes
	d.Probe(m.info.PeerAddress, d.message(name), func(reply wire.ProbeReply, err error) {
		d.mu.Lock()
		defer d.mu.Unlock()
		if err == nil && reply.Name != name {
			err = errAnother
		}
		if err == nil {
			d.onReply(reply)

			return
		}
		if d.wakes == wakes && d.isAlive(name) {
			d.probeIndirectly(name, wakes)
		}
	})
}

func (d *Detector) isAlive(name string) bool {
	m, ok := d.members[name]

	return ok && m.finding.Health == wire.FindingHealthAlive
}

func (d *Detector) onReply(reply wire.ProbeReply) {
	for _, f := range reply.Findings {
		d.learn(f)
	}
	for _, f := range reply.Introductions {
		if f.Name != d.Self.Name {
			d.take(f)
		}
	}
}

// probeIndirectly asks others to probe an instance that did not answer. If
// none of them gets an answer either, the instance is suspect.
func (d *Detector) probeIndirectly(name string, wakes int) {
	helpers := d.helpers(name)
	waiting := len(helpers)
	if waiting == 0 {
		d.suspect(name)

		return
	}
	answered := false
	for _, helper := range helpers {
		probe := d.message(helper)
		probe.Target = d.members[name].info.PeerAddress
		d.Probe(d.members[helper].info.PeerAddress, probe, func(reply wire.ProbeReply, err error) {
			d.mu.Lock()
			defer d.mu.Unlock()
			waiting--
			if err == nil {
				d.onReply(reply)
				answered = answered || reply.Alive && reply.Name == name
			}
			if waiting == 0 && !answered && d.wakes == wakes && d.isAlive(name) {
				d.suspect(name)
			}
		})
	}
}

// suspect accuses an instance and tells it at once, so that it can deny it.
func (d *Detector) suspect(name string) {
	d.accuse(name, wire.FindingHealthSuspect)
	d.probeOne(name)
	d.push()
}

// helpers are a few random instances that are alive, but for one.
func (d *Detector) helpers(except string) []string {
	names := slices.DeleteFunc(slices.Clone(d.peers()), func(name string) bool { return name == except || !d.isAlive(name) })
	d.Random.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })

	return names[:min(len(names), _indirectProbes)]
}
