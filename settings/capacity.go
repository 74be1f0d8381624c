package settings

import "slices"

// checkCapacity refuses models that can't have their least number of copies
// on the accelerators declared, one by one and all together. It is a
// necessary condition; whether the copies can be packed is for placement.
func (r *resolver) checkCapacity() {
	needed, total := 0, 0
	var sizes []int
	for _, b := range r.snapshot.BackendServers {
		for _, a := range b.Accelerators {
			total += a.MemoryBytes
			sizes = append(sizes, a.MemoryBytes)
		}
	}
	slices.Sort(sizes)
	for _, s := range r.subtrees {
		for i, m := range s.Models {
			needed += m.MemoryBytes * m.MinCopies
			if n := r.accelerators(sizes, m.Name, m.MemoryBytes); n < m.MinCopies {
				r.report(s.Path, at("Models", i, "MemoryBytes"), "%d bytes fit on %d of the accelerators allowed, and MinCopies is %d", m.MemoryBytes, n, m.MinCopies)
			}
		}
		for i, a := range s.Adapters {
			m, ok := r.snapshot.Models[a.Model]
			if ok && r.accelerators(sizes, a.Model, m.MemoryBytes+a.MemoryBytes) == 0 {
				r.report(s.Path, at("Adapters", i, "MemoryBytes"), "with its model it needs %d bytes, which fit on no accelerator allowed", m.MemoryBytes+a.MemoryBytes)
			}
		}
	}
	if needed > total && len(r.subtrees) > 0 {
		r.report(r.subtrees[0].Path, "/", "the least number of copies of all models needs %d bytes, and all accelerators have %d", needed, total)
	}
}

// accelerators counts the accelerators on which a copy of a model may stand
// and that hold so many bytes. sizes are those of all accelerators, sorted.
func (r *resolver) accelerators(sizes []int, model string, bytes int) int {
	allowed := r.snapshot.Placements[model].BackendServers
	if len(allowed) == 0 {
		first, _ := slices.BinarySearch(sizes, bytes)

		return len(sizes) - first
	}
	n := 0
	for _, name := range allowed {
		for _, a := range r.snapshot.BackendServers[name].Accelerators {
			if a.MemoryBytes >= bytes {
				n++
			}
		}
	}

	return n
}
