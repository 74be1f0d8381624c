package history

import (
	"cmp"
	"math"
	"slices"
	"time"

	"papayastair.dev/papayastair/wire"
)

// RateLimit is a limit of a workspace from a time on.
type RateLimit struct {
	// Workspace is the workspace.
	Workspace string
	// FromUnixNanoseconds is when the first instance may use it. While a
	// change spreads, give the larger rate and the larger burst of the two.
	FromUnixNanoseconds int
	// RateTokensPerSecond is the refill.
	RateTokensPerSecond float64
	// BurstTokens is the size of the bucket.
	BurstTokens float64
}

// CheckRate finds, for each workspace in limits, the window of time with the
// largest excess of admitted tokens over burst + rate * length, and returns a
// violation for each workspace whose excess is a token or more. A request
// counts at its admission, with what it was settled for, or with what was
// charged when it was never settled. The cost is O(n log n).
func CheckRate(events []wire.HistoryEvent, limits []RateLimit) []Violation {
	byWorkspace := map[string][]RateLimit{}
	for _, limit := range limits {
		byWorkspace[limit.Workspace] = append(byWorkspace[limit.Workspace], limit)
	}
	charges := chargesOf(events)
	var violations []Violation
	for workspace, phases := range byWorkspace {
		excess, at := largestExcess(charges[workspace], phases)
		if excess < 1 {
			continue
		}
		violations = append(violations, violation("Rate", workspace, at, "%.0f tokens over burst and rate", excess))
	}
	slices.SortFunc(violations, func(a, b Violation) int { return cmp.Compare(a.Subject, b.Subject) })

	return violations
}

// chargesOf returns the admissions of each workspace by time, each with the
// tokens that count.
func chargesOf(events []wire.HistoryEvent) map[string][]wire.HistoryEvent {
	settled := map[string]int{}
	for _, e := range ofKind(events, wire.HistoryEventKindSettled) {
		settled[e.RequestID] = e.Tokens
	}
	charges := map[string][]wire.HistoryEvent{}
	for _, e := range ofKind(events, wire.HistoryEventKindAdmitted) {
		if actual, ok := settled[e.RequestID]; ok {
			e.Tokens = actual
		}
		charges[e.Workspace] = append(charges[e.Workspace], e)
	}

	return charges
}

// largestExcess scans the charges once for each phase in which a window may
// begin. A window's burst is the largest of the phases that it touches.
func largestExcess(charges []wire.HistoryEvent, phases []RateLimit) (float64, wire.HistoryEvent) {
	slices.SortFunc(phases, func(a, b RateLimit) int { return cmp.Compare(a.FromUnixNanoseconds, b.FromUnixNanoseconds) })
	worst := math.Inf(-1)
	var worstAt wire.HistoryEvent
	for i := range phases {
		first, _ := slices.BinarySearchFunc(charges, phases[i].FromUnixNanoseconds, func(e wire.HistoryEvent, from int) int {
			return cmp.Compare(e.AtUnixNanoseconds, from)
		})
		if excess, at := scan(charges[first:], phases[i:]); excess > worst {
			worst, worstAt = excess, at
		}
	}

	return worst, worstAt
}

// scan keeps the largest sum of charges less refill over all windows that end
// at the present charge, which is a leaky bucket's level.
func scan(charges []wire.HistoryEvent, phases []RateLimit) (float64, wire.HistoryEvent) {
	worst := math.Inf(-1)
	var worstAt wire.HistoryEvent
	burst, level, now := phases[0].BurstTokens, 0.0, phases[0].FromUnixNanoseconds
	for _, e := range charges {
		for len(phases) > 1 && phases[1].FromUnixNanoseconds <= e.AtUnixNanoseconds {
			level = leak(level, phases[0], phases[1].FromUnixNanoseconds-now)
			now = phases[1].FromUnixNanoseconds
			phases = phases[1:]
			burst = max(burst, phases[0].BurstTokens)
		}
		level = leak(level, phases[0], e.AtUnixNanoseconds-now) + float64(e.Tokens)
		now = e.AtUnixNanoseconds
		if level-burst > worst {
			worst, worstAt = level-burst, e
		}
	}

	return worst, worstAt
}

func leak(level float64, limit RateLimit, nanoseconds int) float64 {
	return max(0, level-limit.RateTokensPerSecond*time.Duration(nanoseconds).Seconds())
}
