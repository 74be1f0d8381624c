package allowance

import "time"

// _slots is into how many parts a window is divided.
const _slots = 64

// window keeps what was spent in the last window, part by part.
type window struct {
	// length is that of a part.
	length time.Duration
	// begun is when the newest part began.
	begun time.Time
	// spent are the parts, the newest at index newest.
	spent  [_slots]float64
	newest int
}

func newWindow(whole time.Duration, now time.Time) window {
	return window{
		length: whole / _slots,
		begun:  now,
	}
}

// roll begins new parts as time passes.
func (w *window) roll(now time.Time) {
	parts := int(now.Sub(w.begun) / max(w.length, 1))
	if parts <= 0 {
		return
	}
	w.begun = w.begun.Add(time.Duration(parts) * w.length)
	for range min(parts, _slots) {
		w.newest = (w.newest + 1) % _slots
		w.spent[w.newest] = 0
	}
}

func (w *window) add(cost float64) {
	w.spent[w.newest] += cost
}

// highest is the most that any window from now on would hold if rate were
// spent each second, as what was spent before leaves it.
func (w *window) highest(rate float64) float64 {
	sum := 0.0
	for _, n := range w.spent {
		sum += n
	}
	most := sum
	for i := range _slots - 1 {
		// The oldest part counts whole until it has left.
		sum += rate * w.length.Seconds()
		most = max(most, sum)
		sum -= w.spent[(w.newest+1+i)%_slots]
	}

	return most
}
