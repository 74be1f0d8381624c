// Package ring provides bounded queues between the goroutines of a process. A
// full ring rejects and counts new items instead of growing, so that overload
// becomes visible and doesn't exhaust memory.
package ring

import (
	"context"
	"sync/atomic"
)

// Ring is a bounded FIFO queue. It is safe for concurrent use. Use New.
type Ring[T any] struct {
	items    chan T
	rejected atomic.Int64
}

// New returns a ring with capacity size, or 1 if size is less.
func New[T any](size int) *Ring[T] {
	if size < 1 {
		size = 1
	}

	return &Ring[T]{items: make(chan T, size)}
}

// TryPush adds an item without blocking. It reports false if the ring is full.
func (r *Ring[T]) TryPush(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		r.rejected.Add(1)

		return false
	}
}

// Push adds an item, blocking while the ring is full until ctx ends. It
// reports whether the item was added.
func (r *Ring[T]) Push(ctx context.Context, item T) bool {
	select {
	case r.items <- item:
		return true
	case <-ctx.Done():
		return false
	}
}

// Pop removes and returns the oldest item, blocking while the ring is empty
// until ctx ends. It reports whether an item was returned.
func (r *Ring[T]) Pop(ctx context.Context) (T, bool) {
	select {
	case item := <-r.items:
		return item, true
	case <-ctx.Done():
		var none T

		return none, false
	}
}

// Out returns the receiving channel, for use in a select statement.
func (r *Ring[T]) Out() <-chan T {
	return r.items
}

// Len returns the number of queued items.
func (r *Ring[T]) Len() int {
	return len(r.items)
}

// Rejected returns the number of items that TryPush rejected.
func (r *Ring[T]) Rejected() int64 {
	return r.rejected.Load()
}
