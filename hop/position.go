package hop

import (
	"strconv"

	"github.com/rotisserie/eris"
)

// position is a place in a stream between two events.
type position struct {
	// lastID is the id of the last event before it that has one, or "".
	lastID string
	// confirmed reports whether lastID fits the ids of other events. The first id of a
	// stream is unconfirmed until the second, unless it is 1, and may be wrong itself.
	confirmed bool
	// unnumbered is set if an event with data but without an id follows the one with
	// lastID. A run that continues after lastID would repeat it.
	unnumbered bool
}

// isResumable reports whether another run can continue the stream here.
func (p position) isResumable() bool {
	return !p.unnumbered && (p.lastID == "" || p.confirmed)
}

// after returns the position behind an event with the id given, which is "" if it has
// none.
func (p position) after(id string, hasData bool) (position, error) {
	if id == "" {
		p.unnumbered = p.unnumbered || hasData

		return p, nil
	}
	// The id is sent in a header field when the stream is resumed.
	if err := checkControlBytes(id); err != nil {
		return p, err
	}
	if p.lastID != "" && !follows(p.lastID, id) {
		return p, eris.Wrapf(ErrMalformed, "event id %.40q follows %.40q", id, p.lastID)
	}

	return position{
		lastID:    id,
		confirmed: p.lastID != "" || id == "1",
	}, nil
}

// follows reports whether id can be that of the event behind the one with the id last.
// If one of them is a number, both must be, and id must be greater by one.
func follows(last, id string) bool {
	before, errBefore := strconv.ParseUint(last, 10, 63)
	now, errNow := strconv.ParseUint(id, 10, 63)
	if errBefore != nil || errNow != nil {
		return errBefore != nil && errNow != nil
	}

	return now == before+1
}
