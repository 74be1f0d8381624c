package hop

import (
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

	part []byte
}

// _maxEvent bounds one event.
const _maxEvent = 1 << 20

// Feed takes a piece of the stream and returns the whole events that it
// completes. The result is valid until the next call.
func (e *Events) Feed(p []byte) ([]byte, error) {
	data := p
	if len(e.part) > 0 {
		e.part = append(e.part, p...)
		data = e.part
	}
	end := lastEventEnd(data)
	whole := data[:end]
	if err := e.takeIDs(whole); err != nil {
		return nil, err
	}
	rest := data[end:]
	if len(rest) > _maxEvent {
		return nil, eris.Wrap(ErrMalformed, "event too long")
	}
	if len(rest) == 0 {
		e.part = e.part[:0]

		return whole, nil
	}
	e.part = append([]byte(nil), rest...)

	return whole, nil
}

// Rest is what came of an event that isn't whole.
func (e *Events) Rest() []byte {
	return e.part
}

// Drop forgets the part of an event that broke off.
func (e *Events) Drop() {
	e.part = nil
}

// lastEventEnd is the length of the whole events in p.
func lastEventEnd(p []byte) int {
	end := 0
	for _, blank := range []string{"\n\n", "\r\n\r\n"} {
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
