package hop

import (
	"bufio"
	"bytes"
	"strconv"

	"github.com/rotisserie/eris"
)

// Events splits a stream of server-sent events into complete events and records
// the id of the last. Only complete events are forwarded, so that a stream that
// breaks off in the middle of an event can resume after the last complete one at
// another backend server. The ids show whether events are missing or come twice.
type Events struct {
	// Reservation reserves memory for the buffer of an incomplete event. If it is nil,
	// only the limit on a single event applies.
	Reservation *Reservation

	position position
	// buf holds the bytes returned by the last call to Feed, followed by the
	// incomplete event.
	buf      []byte
	returned int
	// reserved is the part of buf's capacity for which memory has been reserved.
	reserved int
}

// _maxEventBytes limits the size of one event. It equals the longest line that
// bufio.Scanner accepts by default.
const _maxEventBytes = bufio.MaxScanTokenSize

// StartAfter declares that the stream was requested after the event with the id given,
// before any call to Feed. Its first event must follow that id. An id that isn't a number
// is compared with nothing.
func (e *Events) StartAfter(id string) {
	if _, err := strconv.ParseUint(id, 10, 63); err != nil {
		return
	}
	e.position = position{
		lastID:    id,
		confirmed: true,
	}
}

// LastID returns the id of the last event returned by Feed that has one, or that of the
// event after which the stream was requested, or "".
func (e *Events) LastID() string {
	return e.position.lastID
}

// IsResumable reports whether another run can continue the stream behind the events
// returned by Feed: from its beginning if LastID is "", otherwise after LastID.
func (e *Events) IsResumable() bool {
	return e.position.isResumable()
}

// Feed appends p to the stream and returns the events that are now complete. If the ids
// of two events contradict each other, it returns an error and the events before them
// behind which the stream can be resumed. Events must be forwarded even if there is an
// error, as LastID includes them. The result is valid until the next call.
func (e *Events) Feed(p []byte) ([]byte, error) {
	e.buf = e.buf[:copy(e.buf, e.buf[e.returned:])]
	e.returned = 0
	if len(e.buf) == 0 {
		end := lastEventEnd(p)
		valid, err := e.checkIDs(p[:end])
		if err != nil {
			return p[:valid], err
		}
		e.buf = append(e.buf, p[end:]...)

		return p[:end], e.checkPartial()
	}
	// The blank line that ends an event may be split between buf and p.
	from := max(len(e.buf)-len("\n\r"), 0)
	e.buf = append(e.buf, p...)
	if end := lastEventEnd(e.buf[from:]); end > 0 {
		e.returned = from + end
	}
	if valid, err := e.checkIDs(e.buf[:e.returned]); err != nil {
		return e.buf[:valid], err
	}

	return e.buf[:e.returned], e.checkPartial()
}

// checkPartial enforces the limits on the incomplete event.
func (e *Events) checkPartial() error {
	if len(e.Partial()) > _maxEventBytes {
		return eris.Wrap(ErrMalformed, "event too long")
	}
	grown := cap(e.buf) - e.reserved
	if grown <= 0 {
		return nil
	}
	if err := e.Reservation.reserve(grown); err != nil {
		return err
	}
	e.reserved += grown

	return nil
}

// Partial returns the incomplete event at the end of the stream received so far.
func (e *Events) Partial() []byte {
	return e.buf[e.returned:]
}

// DiscardPartial discards the incomplete event.
func (e *Events) DiscardPartial() {
	e.buf = e.buf[:0]
	e.returned = 0
}

// lastEventEnd returns the length of the complete events in p.
func lastEventEnd(p []byte) int {
	end := 0
	for _, blank := range []string{"\n\n", "\n\r\n"} {
		if i := bytes.LastIndex(p, []byte(blank)); i >= 0 {
			end = max(end, i+len(blank))
		}
	}

	return end
}

// checkIDs checks that the ids of the complete events in p follow each other, and moves
// the position behind them. If an id is wrong, it returns the length of the events before
// it that can be forwarded, and moves the position behind these: to the last place at
// which the stream can be resumed, if there is one.
func (e *Events) checkIDs(p []byte) (int, error) {
	end, resumeEnd := 0, 0
	at, resumeAt := e.position, e.position
	id, hasData := "", false
	for i := 0; i < len(p); {
		line := p[i : i+bytes.IndexByte(p[i:], '\n')]
		i += len(line) + 1
		line = bytes.TrimSuffix(line, []byte("\r"))
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
		if name, _, _ := bytes.Cut(line, []byte(":")); string(name) == "data" {
			hasData = true
		}
		if len(line) > 0 {
			continue
		}
		next, err := at.after(id, hasData)
		if err != nil {
			if resumeAt.isResumable() {
				end, at = resumeEnd, resumeAt
			}
			e.position = at

			return end, err
		}
		end, at = i, next
		id, hasData = "", false
		if at.isResumable() {
			resumeEnd, resumeAt = end, at
		}
	}
	e.position = at

	return end, nil
}
