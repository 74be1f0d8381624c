package hop

import (
	"bufio"
	"bytes"
	"strconv"

	"github.com/rotisserie/eris"
)

// Events splits a stream of server-sent events into whole events and keeps
// the id of the last. Events are passed on whole, so that a stream that broke
// off in the middle of one can go on with the next at another backend server.
type Events struct {
	// LastID is the id of the last whole event, empty before the first with
	// one.
	LastID string
	// Memory is where the part of an event that isn't whole is kept; nil is
	// without bound.
	Memory *Share

	// part is what came of an event that isn't whole, behind the given bytes
	// that the last call returned.
	part  []byte
	given int
	// held is the memory that part has.
	held int
}

// _maxEvent bounds one event: the longest line that bufio.Scanner takes by
// default.
const _maxEvent = bufio.MaxScanTokenSize

// Feed takes a piece of the stream and returns the whole events that it
// completes. The result is valid until the next call.
func (e *Events) Feed(p []byte) ([]byte, error) {
	e.part = e.part[:copy(e.part, e.part[e.given:])]
	e.given = 0
	if len(e.part) == 0 {
		end := lastEventEnd(p)
		if err := e.takeIDs(p[:end]); err != nil {
			return nil, err
		}
		e.part = append(e.part, p[end:]...)

		return p[:end], e.checkRest()
	}
	// The end of an event may lie on both sides.
	from := max(len(e.part)-len("\n\r"), 0)
	e.part = append(e.part, p...)
	if end := lastEventEnd(e.part[from:]); end > 0 {
		e.given = from + end
	}
	if err := e.takeIDs(e.part[:e.given]); err != nil {
		return nil, err
	}

	return e.part[:e.given], e.checkRest()
}

// checkRest bounds what is kept.
func (e *Events) checkRest() error {
	if len(e.Rest()) > _maxEvent {
		return eris.Wrap(ErrMalformed, "event too long")
	}
	grown := cap(e.part) - e.held
	if grown <= 0 {
		return nil
	}
	if err := e.Memory.take(grown); err != nil {
		return err
	}
	e.held += grown

	return nil
}

// Rest is what came of an event that isn't whole.
func (e *Events) Rest() []byte {
	return e.part[e.given:]
}

// Drop forgets the part of an event that broke off.
func (e *Events) Drop() {
	e.part = e.part[:0]
	e.given = 0
}

// lastEventEnd is the length of the whole events in p.
func lastEventEnd(p []byte) int {
	end := 0
	for _, blank := range []string{"\n\n", "\n\r\n"} {
		if i := bytes.LastIndex(p, []byte(blank)); i >= 0 {
			end = max(end, i+len(blank))
		}
	}

	return end
}

// takeIDs checks that the ids of whole events increase by one, where they are
// numbers, and keeps the last.
func (e *Events) takeIDs(p []byte) error {
	for len(p) > 0 {
		line := p
		if i := bytes.IndexByte(p, '\n'); i >= 0 {
			line, p = p[:i], p[i+1:]
		} else {
			p = nil
		}
		id, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		text := string(bytes.TrimSpace(id))
		before, errBefore := strconv.Atoi(e.LastID)
		now, errNow := strconv.Atoi(text)
		if errBefore == nil && errNow == nil && now != before+1 {
			return eris.Wrapf(ErrMalformed, "event %d after %d", now, before)
		}
		e.LastID = text
	}

	return nil
}
