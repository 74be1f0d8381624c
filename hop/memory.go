package hop

import (
	"errors"
	"sync/atomic"
)

// ErrNoMemory is returned when the messages being read have used up the memory
// that they share.
var ErrNoMemory = errors.New("memory limit of messages reached")

// _unchargedBytes is the memory that each request may use without being charged
// for it, so that large messages never keep small ones out.
const _unchargedBytes = 16 << 10

// MemoryLimit limits the total memory of the messages being read. The zero value
// allows only the uncharged bytes of each request.
type MemoryLimit struct {
	available atomic.Int64
}

// NewMemoryLimit returns a limit of the given number of bytes.
func NewMemoryLimit(bytes int) *MemoryLimit {
	m := &MemoryLimit{}
	m.available.Store(int64(bytes))

	return m
}

// Reservation is the memory reserved for one request. It must not be used by several
// goroutines at once.
type Reservation struct {
	// Limit is the limit to reserve from. If it is nil, there is no limit.
	Limit *MemoryLimit

	reserved int
}

// reserve reserves n more bytes. It returns ErrNoMemory and reserves nothing if
// they are not available.
func (s *Reservation) reserve(n int) error {
	if s == nil || s.Limit == nil {
		return nil
	}
	over := max(s.reserved+n-_unchargedBytes, 0) - max(s.reserved-_unchargedBytes, 0)
	if over > 0 && s.Limit.available.Add(-int64(over)) < 0 {
		s.Limit.available.Add(int64(over))

		return ErrNoMemory
	}
	s.reserved += n

	return nil
}

// Release releases all reserved bytes.
func (s *Reservation) Release() {
	if s.Limit != nil {
		s.Limit.available.Add(int64(max(s.reserved-_unchargedBytes, 0)))
	}
	s.reserved = 0
}
