// Package ring implements a bounded queue between goroutines that never blocks
// its writers: if it is full, the oldest item is dropped and counted.
package ring

import (
	"context"
	"sync"
)

// Ring is a bounded queue for any number of writers and readers.
type Ring[T any] struct {
	mu      sync.Mutex
	items   []T
	head    int
	count   int
	dropped uint64
	ready   chan struct{}
}

// New returns a ring with a capacity of size items, at least 1.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{items: make([]T, max(size, 1)), ready: make(chan struct{}, 1)}
}

// Push adds an item. If the ring is full, the oldest item is dropped.
func (r *Ring[T]) Push(item T) {
	r.mu.Lock()
	if r.count == len(r.items) {
		r.head = (r.head + 1) % len(r.items)
		r.count--
		r.dropped++
	}
	r.items[(r.head+r.count)%len(r.items)] = item
	r.count++
	r.mu.Unlock()
	select {
	case r.ready <- struct{}{}:
	default:
	}
}

// Take removes and returns all items, oldest first. It waits for at least one
// item, and returns the error of ctx if ctx ends first.
func (r *Ring[T]) Take(ctx context.Context) ([]T, error) {
	for {
		if items := r.drain(); len(items) > 0 {
			return items, nil
		}
		select {
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-r.ready:
		}
	}
}

func (r *Ring[T]) drain() []T {
	r.mu.Lock()
	defer r.mu.Unlock()
	items := make([]T, 0, r.count)
	var zero T
	for ; r.count > 0; r.count-- {
		items = append(items, r.items[r.head])
		r.items[r.head] = zero
		r.head = (r.head + 1) % len(r.items)
	}
	return items
}

// Dropped is the number of items dropped because the ring was full.
func (r *Ring[T]) Dropped() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}
