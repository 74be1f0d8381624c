package configuration

import (
	"maps"
	"slices"
	"strings"
	"time"

	"papayastair.dev/papayastair/wire"
)

// Status tells what one instance has in force and why.
type Status struct {
	// Version is in force; 0 means none.
	Version int
	// Pending is a newer version that is known; 0 means none.
	Pending int
	// Problem says why the pending version can't be put in force.
	Problem string
	// MissingContents are subtrees of the pending version not got yet.
	MissingContents int
	// StoreReadable says that the instance's last reading succeeded, if it
	// reads.
	StoreReadable bool
	// Keyed is the decision on requests with keys.
	Keyed Keyed
	// Subtrees are those in force, with the versions that brought them.
	Subtrees []wire.SubtreeRef
}

// Status tells the state of this instance.
func (f *Follower) Status() Status {
	keyed := f.Keyed()
	f.mu.Lock()
	defer f.mu.Unlock()
	missing := 0
	if f.pending.Version > 0 {
		missing = len(f.missing())
	}

	return Status{
		Version:         f.inForce.Version,
		Pending:         f.pending.Version,
		Problem:         f.problem,
		MissingContents: missing,
		StoreReadable:   !f.reading.failing,
		Keyed:           keyed,
		Subtrees:        f.inForce.Subtrees,
	}
}

// memberStatus is what an instance last told of itself.
type memberStatus struct {
	status wire.InstanceStatus
	at     time.Time
}

// statusWritten is the status that this instance last put into the store.
type statusWritten struct {
	at      time.Time
	summary string
}

// noteStatus keeps what a peer tells of itself.
func (f *Follower) noteStatus(request wire.SyncRequest, now time.Time) {
	if len(f.members) >= _maxTrackedMembers {
		clear(f.members)
	}
	f.members[request.Name] = memberStatus{
		status: wire.InstanceStatus{
			Name:    request.Name,
			Version: request.Version,
			Pending: request.Pending,
			Problem: request.Problem,
		},
		at: now,
	}
}

// writeStatusIfDue stores the status of the failure domain when it has
// changed, and once in a while otherwise.
func (f *Follower) writeStatusIfDue(now time.Time) {
	if f.WriteStatus == nil || now.Sub(f.written.at) < _statusPeriod {
		return
	}
	status := f.domainStatus(now)
	summary := summarize(status)
	if summary == f.written.summary && now.Sub(f.written.at) < _maxStatusAge {
		return
	}
	f.written = statusWritten{
		at:      now,
		summary: summary,
	}
	f.WriteStatus(status)
}

// domainStatus collects what instances of the failure domain have told.
func (f *Follower) domainStatus(now time.Time) wire.DomainStatus {
	instances := map[string]wire.InstanceStatus{
		f.Name: {
			Name:    f.Name,
			Version: f.inForce.Version,
			Pending: f.pending.Version,
			Problem: f.problem,
		},
	}
	for _, peer := range f.Peers() {
		m, ok := f.members[peer.Name]
		if peer.FailureDomain != f.FailureDomain || !ok {
			continue
		}
		m.status.HeardMillisecondsAgo = roundUp(now.Sub(m.at))
		instances[peer.Name] = m.status
	}
	maps.DeleteFunc(f.members, func(_ string, m memberStatus) bool { return now.Sub(m.at) > _maxStatusAge })
	status := wire.DomainStatus{
		FailureDomain: f.FailureDomain,
		Relay:         f.Name,
	}
	for _, name := range slices.Sorted(maps.Keys(instances)) {
		status.Instances = append(status.Instances, instances[name])
	}

	return status
}

// summarize leaves out what changes all the time.
func summarize(status wire.DomainStatus) string {
	var b strings.Builder
	for _, instance := range status.Instances {
		instance.HeardMillisecondsAgo = 0
		b.WriteString(encodeStatus(instance))
	}

	return b.String()
}
