package hop

import (
	"errors"
	"sync/atomic"
)

// ErrNoMemory is returned when the responses being read have used up the memory
// that they share.
var ErrNoMemory = errors.New("response memory limit reached")

// _unchargedBytes is the memory that each request may use without being charged
// for it, so that large responses never keep small ones out.
const _unchargedBytes = 16 << 10

// Memory limits the total memory of the responses being read. The zero value
// allows only the uncharged bytes of each request.
type Memory struct {
	available atomic.Int64
}

// NewMemory returns a limit of the given number of bytes.
func NewMemory(bytes int) *Memory {
	m := &Memory{}
	m.available.Store(int64(bytes))

	return m
}

// Share is the memory reserved for one request. It must not be used by several
// goroutines at once.
type Share struct {
	// Memory is the limit to reserve from. If it is nil, there is no limit.
	Memory *Memory

	reserved int
}

// reserve reserves n more bytes. It returns ErrNoMemory and reserves nothing if
// they are not available.
func (s *Share) reserve(n int) error {
	if s == nil || s.Memory == nil {
		return nil
	}
	over := max(s.reserved+n-_unchargedBytes, 0) - max(s.reserved-_unchargedBytes, 0)
	if over > 0 && s.Memory.available.Add(-int64(over)) < 0 {
		s.Memory.available.Add(int64(over))

		return ErrNoMemory
	}
	s.reserved += n

	return nil
}

// Free releases all reserved bytes.
func (s *Share) Free() {
	if s.Memory != nil {
		s.Memory.available.Add(int64(max(s.reserved-_unchargedBytes, 0)))
	}
	s.reserved = 0
}
