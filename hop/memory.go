package hop

import (
	"errors"
	"sync/atomic"
)

// ErrNoMemory means that the answers that are read now hold all the memory that
// they may.
var ErrNoMemory = errors.New("no memory left for answers")

// _freeMemory is what each request may hold in any case, so that large answers
// never keep small ones out.
const _freeMemory = 16 << 10

// Memory is what the answers that are being read may hold together. Use
// NewMemory.
type Memory struct {
	left atomic.Int64
}

// NewMemory returns a memory of so many bytes.
func NewMemory(bytes int) *Memory {
	m := &Memory{}
	m.left.Store(int64(bytes))

	return m
}

// Share is one request's part of a memory, used by one goroutine at a time. With
// no memory it is without bound.
type Share struct {
	Memory *Memory

	taken int
}

// take takes n bytes more, if there are as many.
func (s *Share) take(n int) error {
	if s == nil || s.Memory == nil {
		return nil
	}
	over := max(s.taken+n-_freeMemory, 0) - max(s.taken-_freeMemory, 0)
	if over > 0 && s.Memory.left.Add(-int64(over)) < 0 {
		s.Memory.left.Add(int64(over))

		return ErrNoMemory
	}
	s.taken += n

	return nil
}

// Free gives all back.
func (s *Share) Free() {
	if s.Memory != nil {
		s.Memory.left.Add(int64(max(s.taken-_freeMemory, 0)))
	}
	s.taken = 0
}
