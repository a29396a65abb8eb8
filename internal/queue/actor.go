package queue

import (
	"sync"
	"sync/atomic"
)

// Actor serializes access to a value of type T, called its table. Commands (functions that get a pointer to the
// table) run one at a time on the actor's goroutine, so the table needs no lock.
type Actor[T any] struct {
	commands *Ring[func(*T)]
	stopped  chan struct{}
	once     sync.Once
}

// NewActor starts an actor for a table, with a queue of at most capacity commands. The caller must call Stop to end
// its goroutine.
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

// Send queues a command, and blocks while the queue is full. It returns false if the actor is stopped before the
// command could be queued. A command queued after Stop may never run. It must not be called from a command of the same
// actor, which could deadlock.
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
// starts; the command then never runs. In both cases the caller may read variables that the command writes without
// further synchronization. It must not be called from a command of the same actor, which would deadlock.
//
// Example: actor.Ask(func(t *table) { count = t.count })
func (a *Actor[T]) Ask(command func(*T)) bool {
	var claimed atomic.Bool // set by the actor when it starts the command, or by this call of Ask when it cancels the command
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

// Stop makes the actor's goroutine end after the command that is currently running, without waiting for it. Commands
// still in the queue may be dropped without running. Stop may be called more than once.
//
// Example: defer actor.Stop()
func (a *Actor[T]) Stop() { a.once.Do(func() { close(a.stopped) }) }
