package queue

import (
	"sync"
	"sync/atomic"
)

// Actor guards a table: commands run on it one at a time, on the actor's own goroutine, so the table needs no lock.
type Actor[T any] struct {
	commands *Ring[func(*T)]
	stopped  chan struct{}
	once     sync.Once
}

// NewActor starts an actor that guards a table and queues at most capacity commands. The caller must Stop it.
//
// Example: actor := queue.NewActor(&table{}, 256)
func NewActor[T any](table *T, capacity int) *Actor[T] {
	a := &Actor[T]{commands: NewRing[func(*T)](capacity), stopped: make(chan struct{})}
	go a.run(table)
	return a
}

func (a *Actor[T]) run(table *T) {
	for {
		select {
		case command := <-a.commands.Out():
			command(table)
		case <-a.stopped:
			return
		}
	}
}

// TrySend queues a command without blocking. It returns false if the queue is full.
//
// Example: actor.TrySend(func(t *table) { t.count++ })
func (a *Actor[T]) TrySend(command func(*T)) bool { return a.commands.Offer(command) }

// Send queues a command, and waits for room if the queue is full. It returns false if the actor is stopped before
// that. It must not be called from a command of the same actor.
//
// Example: actor.Send(func(t *table) { t.inFlight-- })
func (a *Actor[T]) Send(command func(*T)) bool {
	select {
	case a.commands.items <- command:
		return true
	case <-a.stopped:
		return false
	}
}

// Ask queues a command and waits until it has run. It returns false if the actor is stopped before the command
// begins; the command then never runs. Either way the caller may read what the command writes. It must not be
// called from a command of the same actor.
//
// Example: actor.Ask(func(t *table) { count = t.count })
func (a *Actor[T]) Ask(command func(*T)) bool {
	var claimed atomic.Bool // by the actor, which then runs the command, or by this call, which then gives it up
	done := make(chan struct{})
	runIfClaimed := func(table *T) {
		if claimed.CompareAndSwap(false, true) {
			command(table)
			close(done)
		}
	}
	if !a.Send(runIfClaimed) {
		return false
	}
	select {
	case <-done:
		return true
	case <-a.stopped:
	}
	if claimed.CompareAndSwap(false, true) {
		return false
	}
	<-done
	return true
}

// Stop ends the actor's goroutine after the command that is running. Queued commands aren't run any more. It
// doesn't wait, and may be called repeatedly.
//
// Example: defer actor.Stop()
func (a *Actor[T]) Stop() { a.once.Do(func() { close(a.stopped) }) }
