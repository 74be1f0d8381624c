package dispatch

import (
	"slices"
	"strings"
	"time"

	"papayastair.dev/papayastair/site"
)

// ServerStatus is what a board believes of one backend server.
type ServerStatus struct {
	// Entry is the backend server's own.
	Entry site.BackendServer
	// Told are the targets that its steward says it holds; empty if none does.
	Told []string
	// Running is how many requests run there from here, Elsewhere how many
	// from other instances.
	Running   int
	Elsewhere int
	// Pace is how long its answers take, as a multiple of what is usual.
	Pace float64
	// Avoided says why it gets no requests while others can be asked; empty
	// if it isn't avoided.
	Avoided string
}

// Status is the view of all backend servers, by id.
func (b *Board) Status(now time.Time) []ServerStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]ServerStatus, 0, len(b.servers))
	for id, s := range b.servers {
		st := ServerStatus{
			Entry:     s.entry,
			Running:   s.running,
			Elsewhere: b.loads[id],
			Pace:      s.pace,
		}
		for t := range s.told {
			st.Told = append(st.Told, t)
		}
		slices.Sort(st.Told)
		switch {
		case s.entry.Draining:
			st.Avoided = "Draining"
		case s.unreachable >= _unreachableToBeDown:
			st.Avoided = "Unreachable"
		case s.health.avoided(now):
			st.Avoided = "Failing"
		}
		out = append(out, st)
	}
	slices.SortFunc(out, func(a, b ServerStatus) int { return strings.Compare(a.Entry.ID, b.Entry.ID) })

	return out
}
