package placement

import (
	"papayastair.dev/papayastair/wire"
)

// ModelStatus compares the placement of a model with the settings, for
// operators.
type ModelStatus struct {
	Model string
	// Version is the version in the settings.
	Version string
	// Serving is the number of copies of that version that serve on live
	// servers.
	Serving int
	// Outdated is the number of copies of other versions that still serve on
	// live servers.
	Outdated int
	// Loading and Removing are the numbers of copies that are being loaded and
	// unloaded on live servers.
	Loading  int
	Removing int
	// Unreachable is the number of copies on servers that do not respond.
	Unreachable int
	// InForce reports whether the minimum number of copies serves and none is
	// outdated.
	InForce bool
	// Lacks is the reason for loading a copy that no accelerator has room for.
	// It is set only by the instance that plans.
	Lacks Reason
}

// Status returns the placement status of each model, in the order of the
// settings.
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
