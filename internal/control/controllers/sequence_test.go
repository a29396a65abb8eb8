package controllers

import (
	"fmt"
	"testing"
	"time"

	"pebbleloom/internal/data/backend"
)

// sequencedWorker accepts an order only if it names the number of orders accepted so far, or none.
type sequencedWorker struct {
	t                 *testing.T
	sequence, version uint64
	loads             int
}

func (w *sequencedWorker) receive(order Order) {
	if order.Sequence != nil && *order.Sequence != w.sequence {
		return
	}
	switch {
	case order.Version > w.version:
		w.loads++
	case order.Version < w.version:
		w.t.Errorf("went back from version %d to %d", w.version, order.Version)
	}
	w.sequence, w.version = w.sequence+1, order.Version
}

// retryOrder steps until the rollout sends another order. The worker reports all the while that it has
// accepted a number of orders and serves version 1.
func (s *singleWorker) retryOrder(sequence uint64) *Order {
	for end := s.now + 10*time.Second; s.now < end; s.now += 50 * time.Millisecond {
		actions := s.stepUntilAction(time.Second)
		if len(actions.Orders) > 0 {
			return &actions.Orders[0]
		}
		for range actions.Reports {
			s.rollout.HandleReport("1", backend.Report{Sequence: sequence, Weights: oldWeights}, true, s.now)
		}
	}
	return nil
}

// An order without a response may be in flight for long. Whatever is ordered in its place, the same
// version or a newer one, names the number of orders that the worker had accepted when it reported that
// this one wasn't among them: it accepts one of the two, in whichever order they arrive.
func TestWorkerAcceptsOneOfAnUnknownOrderAndItsRetry(t *testing.T) {
	const sequence = 4
	for _, newer := range []bool{false, true} {
		for _, firstArrives := range []bool{false, true} {
			t.Run(fmt.Sprintf("newer version %v, first arrives %v", newer, firstArrives), func(t *testing.T) {
				single := newSingleWorker(t)
				first := single.stepUntilAction(time.Second).Orders[0]
				if first.Sequence != nil {
					t.Error("the first order names a number that nobody reported")
				}
				single.rollout.HandleOrderOutcome(first, backend.OutcomeUnknown, single.now)
				if newer {
					single.named = 3
				}
				second := single.retryOrder(sequence)
				if second == nil || second.Sequence == nil || *second.Sequence != sequence {
					t.Fatalf("retried as %+v", second)
				}
				worker := sequencedWorker{t: t, sequence: sequence}
				if firstArrives {
					worker.receive(first)
				}
				worker.receive(*second)
				if worker.loads != 1 {
					t.Errorf("%d orders loaded weights", worker.loads)
				}
			})
		}
	}
}
