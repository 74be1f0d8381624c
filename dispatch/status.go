package dispatch

import (
	"math"
	"slices"
	"strings"
	"time"

	"papayastair.dev/papayastair/site"
)

// ServerStatus is the state of one backend server.
type ServerStatus struct {
	// Entry is the registration entry of the backend server.
	Entry site.BackendServer
	// Told lists the targets that the backend server serves according to the
	// steward, sorted; empty if the steward reported none.
	Told []string
	// Running is the number of requests that this instance runs on the backend
	// server, Elsewhere the number that other instances run.
	Running   int
	Elsewhere int
	// Unseen is the estimated number of requests on the backend server beyond these,
	// negative if it has fewer. HeaderAge is the time since it last gave its load in an
	// answer to this instance; negative if it has given none.
	Unseen    int
	HeaderAge time.Duration
	// Pace is the ratio of the backend server's latency to the mean latency of
	// the model or service.
	Pace float64
	// Avoided is the reason for which the backend server gets no requests while
	// others are available: "Draining", "Evacuated", "Unreachable", "Paused",
	// "Limited", "Cold" or "Failing", or empty.
	Avoided string
}

// Status returns the state of all backend servers, sorted by ID.
func (b *Balancer) Status(now time.Time) []ServerStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]ServerStatus, 0, len(b.servers))
	for id, s := range b.servers {
		st := ServerStatus{
			Entry:     s.entry,
			Running:   s.running,
			Elsewhere: b.peerLoads[id],
			Unseen:    int(math.Round(b.loadOf(s, now))) - s.running - b.peerLoads[id],
			HeaderAge: -1,
			Pace:      s.latencyRatio,
		}
		if !s.observed.at.IsZero() {
			st.HeaderAge = now.Sub(s.observed.at)
		}
		for t := range s.targets {
			st.Told = append(st.Told, t)
		}
		slices.Sort(st.Told)
		switch {
		case s.entry.Draining || s.advice.leaving:
			st.Avoided = "Draining"
		case s.entry.Evacuated:
			st.Avoided = "Evacuated"
		case s.connectFailures >= _downThreshold:
			st.Avoided = "Unreachable"
		case now.Before(s.advice.pausedUntil):
			st.Avoided = "Paused"
		case s.advice.limit.active:
			st.Avoided = "Limited"
		case b.coldLeft(s) > 0:
			st.Avoided = "Cold"
		case s.health.avoided(now):
			st.Avoided = "Failing"
		}
		out = append(out, st)
	}
	slices.SortFunc(out, func(a, b ServerStatus) int { return strings.Compare(a.Entry.ID, b.Entry.ID) })

	return out
}
