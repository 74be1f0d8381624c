package placement

import (
	"papayastair.dev/papayastair/wire"
)

// ModelStatus tells operators how far the placement of a model follows the
// settings.
type ModelStatus struct {
	Model string
	// Version is the version that the settings ask for.
	Version string
	// Serving are the copies of that version that serve on live servers.
	Serving int
	// Outdated are the copies of other versions that still serve.
	Outdated int
	// Loading and Removing are the copies on their way in and out.
	Loading  int
	Removing int
	// Unreachable are the copies on servers that don't answer.
	Unreachable int
	// InForce says that the least number of copies serves, none outdated.
	InForce bool
	// Lacks says which copy finds no room, as far as this instance plans.
	Lacks Reason
}

// Status tells how far each model of the settings is placed, in their order.
func (m *Manager) Status() []ModelStatus {
	fleet := m.Fleet()
	presence := m.Presence()
	lacks := map[string]Reason{}
	m.mu.Lock()
	for _, u := range m.unplaced {
		lacks[u.Model] = u.Reason
	}
	m.mu.Unlock()
	statuses := make([]ModelStatus, 0, len(fleet.Models))
	for _, item := range fleet.Models {
		s := ModelStatus{
			Model:   item.Name,
			Version: item.Version,
			Lacks:   lacks[item.Name],
		}
		for _, c := range m.Catalog.Copies(item.Name) {
			s.add(c, presence[c.Server].Live)
		}
		s.InForce = s.Serving >= item.MinCopies && s.Outdated == 0
		statuses = append(statuses, s)
	}

	return statuses
}

func (s *ModelStatus) add(c wire.Copy, live bool) {
	switch {
	case !live:
		s.Unreachable++
	case c.State == wire.CopyStateLoading:
		s.Loading++
	case c.State != wire.CopyStateServing:
		s.Removing++
	case c.Version != s.Version:
		s.Outdated++
	default:
		s.Serving++
	}
}
