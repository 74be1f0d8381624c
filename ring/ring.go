// Package ring provides the bounded queues that join the goroutines of a
// process. A ring never grows: a full ring refuses, and counts what it
// refused, so that overload shows instead of taking memory.
package ring

import (
	"context"
	"sync/atomic"
)

// Ring is a bounded first-in-first-out queue of items of type T. It is safe
// for concurrent use. Use New.
type Ring[T any] struct {
	items   chan T
	refused atomic.Int64
}

// New returns a ring that holds up to size items; size is at least 1.
func New[T any](size int) *Ring[T] {
	if size < 1 {
		size = 1
	}

	return &Ring[T]{items: make(chan T, size)}
}

// TryPush adds an item, or reports false when the ring is full.
func (r *Ring[T]) TryPush(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.refused.Add(1)

		return false
	}
}

// Push adds an item, waiting for room until ctx ends. It reports whether the
// item was added.
func (r *Ring[T]) Push(ctx context.Context, item T) bool {
	select {
	case r.items <- item:
		return true
	case <-ctx.Done():
		return false
	}
}

// Pop takes the oldest item, waiting for one until ctx ends. It reports
// whether there was one.
func (r *Ring[T]) Pop(ctx context.Context) (T, bool) {
	select {
	case item := <-r.items:
		return item, true
	case <-ctx.Done():
		var none T

		return none, false
	}
}

// Out is the receiving side, for use in a select with other channels.
func (r *Ring[T]) Out() <-chan T {
	return r.items
}

// Len is the number of items that wait.
func (r *Ring[T]) Len() int {
	return len(r.items)
}

// Refused is the number of items that TryPush didn't take.
func (r *Ring[T]) Refused() int64 {
	return r.refused.Load()
}
