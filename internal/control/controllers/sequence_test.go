package controllers

import (
	"fmt"
	"testing"
	"time"

	"pebbleloom/internal/data/backend"
)

// sequencedWorker is a simulated worker that accepts an order only if Order.Sequence is nil or the number of
// orders that it has accepted so far.
type sequencedWorker struct {
	t                 *testing.T
	sequence, version uint64 // number of orders that the worker has accepted, and version that it loaded last
	loads             int    // number of orders that made the worker load weights
}

// receive handles an order that arrives at the worker.
func (w *sequencedWorker) receive(order Order) {
	if order.Sequence != nil && *order.Sequence != w.sequence {
		return
	}
	switch {
	case order.Version > w.version:
		w.loads++
	case order.Version < w.version:
		w.t.Errorf("worker that had loaded version %d accepted an order to load the older version %d, want it rejected", w.version, order.Version)
	}
	w.sequence, w.version = w.sequence+1, order.Version
}

// retryOrder makes steps until the rollout requests another order, and returns it; nil if there is none within 10
// s. Until then, the worker's reports show that it serves version 1 and has accepted the given number of orders.
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

// An order that got no response may still arrive at the worker much later. Its retry, for the same or a newer version,
// carries the number of orders that the worker had accepted according to a report which showed that the first order was
// not among them. Therefore the worker accepts only one of the two orders, whichever arrives first.
func TestWorkerAcceptsOneOfAnUnknownOrderAndItsRetry(t *testing.T) {
	const sequence = 4
	for _, newer := range []bool{false, true} {
		for _, firstArrives := range []bool{false, true} {
			t.Run(fmt.Sprintf("retry for a newer version=%v, first order arrives too=%v", newer, firstArrives), func(t *testing.T) {
				single := newSingleWorker(t)
				first := single.stepUntilAction(time.Second).Orders[0]
				if first.Sequence != nil {
					t.Errorf("first order to a worker that has not reported how many orders it accepted: Sequence %d, want nil", *first.Sequence)
				}
				single.rollout.HandleOrderOutcome(first, backend.OutcomeUnknown, single.now)
				if newer {
					single.target = 3
				}
				second := single.retryOrder(sequence)
				if second == nil || second.Sequence == nil || *second.Sequence != sequence {
					t.Fatalf("retry of an order without a response: %+v, want an order with Sequence %d, the number of accepted orders in the worker's reports", second, sequence)
				}
				worker := sequencedWorker{t: t, sequence: sequence}
				if firstArrives {
					worker.receive(first)
				}
				worker.receive(*second)
				if worker.loads != 1 {
					t.Errorf("worker loaded weights for %d orders out of an order without a response and its retry, want 1", worker.loads)
				}
			})
		}
	}
}
