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
		t.Fatal("a ring of two accepts two items")
	}
	if drained := ring.Drain(5); !slices.Equal(drained, []int{1, 2}) || ring.Len() != 0 {
		t.Fatalf("drained %v, %d left", drained, ring.Len())
	}
}

func TestDrainLeavesWhatExceedsItsLimit(t *testing.T) {
	ring := NewRing[int](3)
	for item := range 3 {
		ring.Offer(item)
	}
	if drained := ring.Drain(2); !slices.Equal(drained, []int{0, 1}) || ring.Len() != 1 {
		t.Fatalf("drained %v, %d left", drained, ring.Len())
	}
}

func TestActorRunsCommandsInOrder(t *testing.T) {
	var table []int
	actor := NewActor(&table, 4)
	defer actor.Stop()
	for item := range 3 {
		if !actor.TrySend(func(table *[]int) { *table = append(*table, item) }) {
			t.Fatal("a command is rejected although the queue has room")
		}
	}
	var seen []int
	if !actor.Ask(func(table *[]int) { seen = slices.Clone(*table) }) || !slices.Equal(seen, []int{0, 1, 2}) {
		t.Fatalf("the table is %v", seen)
	}
}

// A full queue delays a command that is sent, and rejects one that is only tried.
func TestSendWaitsForCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		count, blocked := 0, make(chan struct{})
		actor := NewActor(&count, 1)
		actor.Send(func(*int) { <-blocked })
		synctest.Wait() // until it runs
		increment := func(count *int) { *count++ }
		actor.Send(increment)
		if actor.TrySend(increment) {
			t.Error("a command is accepted although the queue is full")
		}
		sent := make(chan bool)
		go func() { sent <- actor.Send(increment) }()
		synctest.Wait()
		close(blocked)
		if !<-sent {
			t.Error("a command that waited for room is rejected")
		}
		seen := 0
		actor.Ask(func(count *int) { seen = *count })
		if seen != 2 {
			t.Errorf("%d commands have run, want 2", seen)
		}
		actor.Stop()
		synctest.Wait()
		actor.TrySend(increment) // fills the queue, which nobody empties any more
		if actor.Send(increment) {
			t.Error("a command is accepted by a stopped actor")
		}
	})
}

func TestAskFailsOnAStoppedActor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		actor := NewActor(new(int), 1)
		actor.Stop()
		actor.Stop()
		synctest.Wait() // for the end of its goroutine
		if actor.Ask(func(*int) {}) {
			t.Fatal("a command has run after Stop")
		}
	})
}

// A call that the actor's end overtakes either waits for its command, or the command never runs: so what the command
// writes may be read after the call, whatever it returns.
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
			synctest.Wait() // the first command runs, the second is queued
		}
		actor.Stop()
		synctest.Wait()
		close(release)
		calls.Wait()
		synctest.Wait()
		for call, outcome := range results {
			if outcome.ran != outcome.returned {
				t.Errorf("call %d: %+v", call, outcome)
			}
		}
		if !results[0].ran {
			t.Error("the command that was running was given up")
		}
	})
}

// Calls that race with the actor's end: the race detector finds a command that still writes what its caller reads.
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
					t.Errorf("returned %v, the command has run: %d", ok, seen)
				}
			})
		}
		actor.Stop()
		calls.Wait()
	}
}
