package allowance

import "time"

// _slots is the number of slots that a window is divided into.
const _slots = 64

// window tracks the tokens spent in a sliding window, in a ring of slots.
type window struct {
	// slotLength is the duration of a slot.
	slotLength time.Duration
	// newestStart is the start time of the newest slot.
	newestStart time.Time
	// spent holds the tokens per slot, with the newest slot at index newest.
	spent  [_slots]float64
	newest int
}

func newWindow(span time.Duration, now time.Time) window {
	return window{
		slotLength:  span / _slots,
		newestStart: now,
	}
}

// advance starts the slots that are due at now and drops the oldest ones.
func (w *window) advance(now time.Time) {
	slots := int(now.Sub(w.newestStart) / max(w.slotLength, 1))
	if slots <= 0 {
		return
	}
	w.newestStart = w.newestStart.Add(time.Duration(slots) * w.slotLength)
	for range min(slots, _slots) {
		w.newest = (w.newest + 1) % _slots
		w.spent[w.newest] = 0
	}
}

func (w *window) add(cost float64) {
	w.spent[w.newest] += cost
}

// maxSum returns the highest sum that this window or any later one reaches if
// rate tokens are spent per second from now on.
func (w *window) maxSum(rate float64) float64 {
	sum := 0.0
	for _, n := range w.spent {
		sum += n
	}
	highest := sum
	for i := range _slots - 1 {
		// The oldest slot counts in full until it drops out of the window.
		sum += rate * w.slotLength.Seconds()
		highest = max(highest, sum)
		sum -= w.spent[(w.newest+1+i)%_slots]
	}

	return highest
}
