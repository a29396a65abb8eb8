// Package queue provides primitives for passing work between goroutines: Ring, a bounded queue, and Actor, which
// serializes access to a value by running commands on it one at a time.
package queue

// Ring is a bounded FIFO queue that is safe for concurrent use. A full ring rejects items instead of growing.
type Ring[T any] struct{ items chan T }

// NewRing returns an empty ring that holds at most capacity items.
//
// Example: ring := queue.NewRing[int](16)
func NewRing[T any](capacity int) *Ring[T] { return &Ring[T]{items: make(chan T, capacity)} }

// Offer appends an item without blocking. It returns false if the ring is full.
//
// Example: if !ring.Offer(item) { rejected++ }
func (r *Ring[T]) Offer(item T) bool {
	select {
	case r.items <- item:
		return true
	default:
		return false
	}
}

// Out returns the channel from which queued items are received. The channel is never closed.
//
// Example: for item := range ring.Out() { use(item) }
func (r *Ring[T]) Out() <-chan T { return r.items }

// Len returns the number of queued items.
//
// Example: if ring.Len() > half { slow() }
func (r *Ring[T]) Len() int { return len(r.items) }

// Drain removes and returns at most limit queued items without blocking.
//
// Example: batch := append([]T{first}, ring.Drain(63)...)
func (r *Ring[T]) Drain(limit int) []T {
	var drained []T
	for len(drained) < limit {
		select {
		case item := <-r.items:
			drained = append(drained, item)
		default:
			return drained
		}
	}
	return drained
}
