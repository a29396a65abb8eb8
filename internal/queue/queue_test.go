package queue

import (
	"slices"
	"sync"
	"testing"
	"testing/synctest"
)

func TestFullRingRejects(t *testing.T) {
	ring := NewRing[int](2)
	if !ring.Offer(1) || !ring.Offer(2) || ring.Offer(3) {
		t.Fatal("ring of capacity 2: want the first two items to be accepted and the third to be rejected")
	}
	if drained := ring.Drain(5); !slices.Equal(drained, []int{1, 2}) || ring.Len() != 0 {
		t.Fatalf("Drain(5) of two items: got %v with %d left, want [1 2] with none left", drained, ring.Len())
	}
}

func TestDrainLeavesWhatExceedsItsLimit(t *testing.T) {
	ring := NewRing[int](3)
	for item := range 3 {
		ring.Offer(item)
	}
	if drained := ring.Drain(2); !slices.Equal(drained, []int{0, 1}) || ring.Len() != 1 {
		t.Fatalf("Drain(2) of three items: got %v with %d left, want [0 1] with one left", drained, ring.Len())
	}
}

func TestActorRunsCommandsInOrder(t *testing.T) {
	var table []int
	actor := NewActor(&table, 4)
	defer actor.Stop()
	for item := range 3 {
		if !actor.TrySend(func(table *[]int) { *table = append(*table, item) }) {
			t.Fatalf("TrySend of command %d of 3 to a queue of capacity 4: got false, want true", item+1)
		}
	}
	var seen []int
	if !actor.Ask(func(table *[]int) { seen = slices.Clone(*table) }) || !slices.Equal(seen, []int{0, 1, 2}) {
		t.Fatalf("actor's table after three commands: got %v, want [0 1 2] and Ask to return true", seen)
	}
}

// While the actor's queue is full, Send blocks and TrySend rejects the command.
func TestSendWaitsForCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		count, blocked := 0, make(chan struct{})
		actor := NewActor(&count, 1)
		actor.Send(func(*int) { <-blocked })
		synctest.Wait() // waits until the command runs and blocks the actor
		increment := func(count *int) { *count++ }
		actor.Send(increment)
		if actor.TrySend(increment) {
			t.Error("TrySend to a full queue: got true, want false")
		}
		sent := make(chan bool)
		go func() { sent <- actor.Send(increment) }()
		synctest.Wait()
		close(blocked)
		if !<-sent {
			t.Error("Send that waited for a full queue: got false, want true")
		}
		seen := 0
		actor.Ask(func(count *int) { seen = *count })
		if seen != 2 {
			t.Errorf("increment commands executed by the actor: got %d, want 2", seen)
		}
		actor.Stop()
		synctest.Wait()
		actor.TrySend(increment) // fills the queue, from which the stopped actor takes no more commands
		if actor.Send(increment) {
			t.Error("Send to a stopped actor with a full queue: got true, want false")
		}
	})
}

func TestAskFailsOnAStoppedActor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		actor := NewActor(new(int), 1)
		actor.Stop()
		actor.Stop()
		synctest.Wait() // waits until the actor's goroutine has ended
		if actor.Ask(func(*int) {}) {
			t.Fatal("Ask on a stopped actor: got true, want false")
		}
	})
}

// When Stop is called during Ask, either Ask waits for its command to finish, or the command never runs. Variables
// that the command writes may therefore be read after Ask, whatever it returns.
func TestAskAndItsCommandEndTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		actor := NewActor(new(int), 4)
		release := make(chan struct{})
		type result struct{ ran, returned bool }
		results := [2]result{}
		var calls sync.WaitGroup
		for call := range results {
			calls.Go(func() {
				results[call].returned = actor.Ask(func(*int) {
					<-release
					results[call].ran = true
				})
			})
			synctest.Wait() // now the command of the first call is running, and that of the second one, if already made, is queued
		}
		actor.Stop()
		synctest.Wait()
		close(release)
		calls.Wait()
		synctest.Wait()
		for call, outcome := range results {
			if outcome.ran != outcome.returned {
				t.Errorf("Ask call %d during Stop: command has run: %v, Ask returned %v; want equal values", call, outcome.ran, outcome.returned)
			}
		}
		if !results[0].ran {
			t.Error("the command that was running when Stop was called did not finish, want it to finish")
		}
	})
}

// Calls of Ask race with Stop. Under the race detector, this finds a command that writes a variable while the caller
// of Ask already reads it.
func TestAskRacesWithStop(t *testing.T) {
	const rounds, callers = 2000, 4
	for range rounds {
		actor := NewActor(new(int), callers)
		var calls sync.WaitGroup
		for range callers {
			calls.Go(func() {
				seen := 0
				ok := actor.Ask(func(*int) { seen = 1 })
				if ok != (seen == 1) {
					t.Errorf("Ask that races with Stop returned %v, but the command ran %d times; want true with 1 or false with 0", ok, seen)
				}
			})
		}
		actor.Stop()
		calls.Wait()
	}
}
