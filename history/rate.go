package history

import (
	"cmp"
	"math"
	"slices"
	"time"

	"papayastair.dev/papayastair/wire"
)

// RateLimit is the rate limit of a workspace from a point in time on.
type RateLimit struct {
	// Workspace is the name of the workspace.
	Workspace string
	// FromUnixNanoseconds is the earliest time at which an instance may apply
	// the limit. For the time in which a change propagates, use the larger rate
	// and the larger burst of the old and the new limit.
	FromUnixNanoseconds int
	// RateTokensPerSecond is the refill rate of the bucket.
	RateTokensPerSecond float64
	// BurstTokens is the capacity of the bucket.
	BurstTokens float64
}

// CheckRate finds, for each workspace in limits, the time window with the largest
// excess of admitted tokens over burst + rate * length. It returns a violation for
// each workspace whose excess is at least one token. A request counts at the time
// of its admission, with its settled tokens, or with the tokens charged at
// admission if it was never settled. The running time is O(n log n).
func CheckRate(events []wire.HistoryEvent, limits []RateLimit) []Violation {
	byWorkspace := map[string][]RateLimit{}
	for _, limit := range limits {
		byWorkspace[limit.Workspace] = append(byWorkspace[limit.Workspace], limit)
	}
	charges := chargesByWorkspace(events)
	var violations []Violation
	for workspace, phases := range byWorkspace {
		excess, at := largestExcess(charges[workspace], phases)
		if excess < 1 {
			continue
		}
		violations = append(violations, newViolation("Rate", workspace, at, "%.0f tokens over burst and rate", excess))
	}
	slices.SortFunc(violations, func(a, b Violation) int { return cmp.Compare(a.Subject, b.Subject) })

	return violations
}

// chargesByWorkspace returns the admissions of each workspace sorted by time, with
// the tokens to count for each.
func chargesByWorkspace(events []wire.HistoryEvent) map[string][]wire.HistoryEvent {
	settled := map[string]int{}
	for _, e := range eventsOfKind(events, wire.HistoryEventKindSettled) {
		settled[e.RequestID] = e.Tokens
	}
	charges := map[string][]wire.HistoryEvent{}
	for _, e := range eventsOfKind(events, wire.HistoryEventKindAdmitted) {
		if actual, ok := settled[e.RequestID]; ok {
			e.Tokens = actual
		}
		charges[e.Workspace] = append(charges[e.Workspace], e)
	}

	return charges
}

// largestExcess returns the largest excess over all windows and the event that
// ends the window. It scans the charges once for each phase in which a window may
// begin. The burst of a window is the largest one of the phases that it overlaps.
func largestExcess(charges []wire.HistoryEvent, phases []RateLimit) (float64, wire.HistoryEvent) {
	slices.SortFunc(phases, func(a, b RateLimit) int { return cmp.Compare(a.FromUnixNanoseconds, b.FromUnixNanoseconds) })
	worst := math.Inf(-1)
	var worstAt wire.HistoryEvent
	for i := range phases {
		first, _ := slices.BinarySearchFunc(charges, phases[i].FromUnixNanoseconds, func(e wire.HistoryEvent, from int) int {
			return cmp.Compare(e.AtUnixNanoseconds, from)
		})
		if excess, at := maxWindowExcess(charges[first:], phases[i:]); excess > worst {
			worst, worstAt = excess, at
		}
	}

	return worst, worstAt
}

// maxWindowExcess returns the largest excess over the windows that begin in the first
// phase or later, and the event that ends the window. The largest sum of charges
// minus refill over all windows that end at the current charge equals the level
// of a leaky bucket.
func maxWindowExcess(charges []wire.HistoryEvent, phases []RateLimit) (float64, wire.HistoryEvent) {
	worst := math.Inf(-1)
	var worstAt wire.HistoryEvent
	burst, level, now := phases[0].BurstTokens, 0.0, phases[0].FromUnixNanoseconds
	for _, e := range charges {
		for len(phases) > 1 && phases[1].FromUnixNanoseconds <= e.AtUnixNanoseconds {
			level = drain(level, phases[0], phases[1].FromUnixNanoseconds-now)
			now = phases[1].FromUnixNanoseconds
			phases = phases[1:]
			burst = max(burst, phases[0].BurstTokens)
		}
		level = drain(level, phases[0], e.AtUnixNanoseconds-now) + float64(e.Tokens)
		now = e.AtUnixNanoseconds
		if level-burst > worst {
			worst, worstAt = level-burst, e
		}
	}

	return worst, worstAt
}

// drain returns the level of the bucket after the given time.
func drain(level float64, limit RateLimit, nanoseconds int) float64 {
	return max(0, level-limit.RateTokensPerSecond*time.Duration(nanoseconds).Seconds())
}
