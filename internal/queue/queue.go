// Package queue has the bounded ring between goroutines, the actor that guards a table, and rendezvous
// hashing.
package queue

import (
	"hash/fnv"
	"maps"
	"slices"
	"sort"
	"sync"
)

// Ring is a bounded queue between goroutines. A full ring rejects; it never grows.
type Ring[T any] struct{ c chan T }

// NewRing makes a ring with room for n.
//
// Example: r := queue.NewRing[int](16)
func NewRing[T any](n int) *Ring[T] { return &Ring[T]{c: make(chan T, n)} }

// Offer appends v, or returns false at once if the ring is full.
//
// Example: if !r.Offer(v) { rejected++ }
func (r *Ring[T]) Offer(v T) bool {
	select {
	case r.c <- v:
		return true
	default:
		return false
	}
}

// Out is the receiving end.
//
// Example: for v := range r.Out() { use(v) }
func (r *Ring[T]) Out() <-chan T { return r.c }

// Len is the number of queued items.
//
// Example: if r.Len() > half { slow() }
func (r *Ring[T]) Len() int { return len(r.c) }

// Drain removes up to n queued items without blocking.
//
// Example: batch := append([]T{first}, r.Drain(63)...)
func (r *Ring[T]) Drain(n int) []T {
	var l []T
	for len(l) < n {
		select {
		case v := <-r.c:
			l = append(l, v)
		default:
			return l
		}
	}
	return l
}

// Actor guards a table: commands run one by one on its own goroutine.
type Actor[T any] struct {
	commands *Ring[func(*T)]
	quit     chan struct{}
	once     sync.Once
}

// NewActor starts an actor for table t with a queue of n commands.
//
// Example: actor := queue.NewActor(&table{}, 256)
func NewActor[T any](t *T, n int) *Actor[T] {
	d := &Actor[T]{commands: NewRing[func(*T)](n), quit: make(chan struct{})}
	go func() {
		for {
			select {
			case f := <-d.commands.c:
				f(t)
			case <-d.quit:
				return
			}
		}
	}()
	return d
}

// TrySend queues a command without waiting; false if the queue is full.
//
// Example: actor.TrySend(func(t *table) { t.n++ })
func (d *Actor[T]) TrySend(f func(*T)) bool { return d.commands.Offer(f) }

// Ask queues a command and waits until it has run; false if the actor has stopped.
//
// Example: actor.Ask(func(t *table) { n = t.n })
func (d *Actor[T]) Ask(f func(*T)) bool {
	done := make(chan struct{})
	select {
	case d.commands.c <- func(t *T) { f(t); close(done) }:
	case <-d.quit:
		return false
	}
	select {
	case <-done:
		return true
	case <-d.quit:
		return false
	}
}

// Stop ends the actor's goroutine.
//
// Example: defer actor.Stop()
func (d *Actor[T]) Stop() { d.once.Do(func() { close(d.quit) }) }

// Hash spreads a string evenly over 64 bits.
//
// Example: queue.Hash("edge-1")
func Hash(s string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(s))
	x := h.Sum64() // FNV alone leaves short names close together: apply a finalizer
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Rendezvous orders names by their weight for a key (highest random weight hashing): a name that
// leaves moves only its own keys.
//
// Example: queue.Rendezvous("k", []string{"a", "b"})[0]
func Rendezvous(key string, names []string) []string {
	l := append([]string(nil), names...)
	w := make(map[string]uint64, len(l))
	for _, n := range l {
		w[n] = Hash(n + "\x00" + key)
	}
	sort.Slice(l, func(i, j int) bool {
		if w[l[i]] != w[l[j]] {
			return w[l[i]] > w[l[j]]
		}
		return l[i] < l[j]
	})
	return l
}

// Keys returns a map's keys, sorted.
//
// Example: for _, k := range queue.Keys(m) { use(k, m[k]) }
func Keys[V any](m map[string]V) []string { return slices.Sorted(maps.Keys(m)) }
