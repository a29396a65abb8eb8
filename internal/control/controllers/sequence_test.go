package controllers

import (
	"testing"
	"time"

	"pebbleloom/internal/data/backend"
)

// An order without an answer may lie on its way for long. Whatever is ordered in its place, the same
// version or a newer one, names the number of orders that the worker had taken when it said that
// this one wasn't among them: of the two the worker takes one, in whichever order they come.
func TestOfAnOrderInDoubtAndItsSuccessorOneIsTaken(t *testing.T) {
	for _, newer := range []bool{false, true} {
		for _, lateFirst := range []bool{false, true} {
			x := newSingleWorker(t)
			first := x.until(time.Second).Orders[0]
			if first.Sequence != nil {
				t.Error("the first names a number that nobody reported")
			}
			x.rollout.HandleOrderOutcome(first, backend.OutcomeUnknown, x.now)
			if newer {
				x.named = 3
			}
			var second *Order
			for end := x.now + 10*time.Second; second == nil && x.now < end; {
				a := x.until(time.Second)
				if len(a.Orders) > 0 {
					second = &a.Orders[0]
				}
				for range a.Reports {
					x.rollout.HandleReport("1", backend.Report{Sequence: 4, Weights: map[string]uint64{"daka": 1}}, true, x.now)
				}
				x.now += 50 * time.Millisecond
			}
			if second == nil || second.Sequence == nil || *second.Sequence != 4 {
				t.Fatalf("newer %v: ordered again as %+v", newer, second)
			}
			sequence, taken, version := uint64(4), 0, uint64(0)
			take := func(o Order) {
				if o.Sequence == nil || *o.Sequence == sequence {
					if o.Version > version { // what it has already, it only confirms
						taken++
					} else if o.Version < version {
						t.Errorf("set back from %d to %d", version, o.Version)
					}
					sequence, version = sequence+1, o.Version
				}
			}
			if lateFirst {
				take(first)
				take(*second)
				if taken != 1 {
					t.Errorf("newer %v: %d taken", newer, taken)
				}
			} else if take(*second); taken != 1 {
				t.Errorf("newer %v: not taken", newer)
			}
		}
	}
}
