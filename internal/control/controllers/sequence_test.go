package controllers

import (
	"fmt"
	"testing"
	"time"

	"pebbleloom/internal/data/backend"
)

// sequencedWorker accepts an order only if the order's sequence is the number of orders accepted so far, or nil.
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
		w.t.Errorf("worker accepted an order that replaces version %d with version %d", w.version, order.Version)
	}
	w.sequence, w.version = w.sequence+1, order.Version
}

// retryOrder runs steps until the rollout sends another order. Until then, the worker's reports show the given
// number of accepted orders and version 1.
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

// An order without a response may arrive much later. Its retry, for the same or a newer version, carries the
// number of orders that the worker had accepted when a report showed that the first one was not among them.
// Therefore the worker accepts only one of the two orders, regardless of which one arrives first.
func TestWorkerAcceptsOneOfAnUnknownOrderAndItsRetry(t *testing.T) {
	const sequence = 4
	for _, newer := range []bool{false, true} {
		for _, firstArrives := range []bool{false, true} {
			t.Run(fmt.Sprintf("newer version %v, first arrives %v", newer, firstArrives), func(t *testing.T) {
				single := newSingleWorker(t)
				first := single.stepUntilAction(time.Second).Orders[0]
				if first.Sequence != nil {
					t.Error("the first order has a sequence although the worker has not reported one")
				}
				single.rollout.HandleOrderOutcome(first, backend.OutcomeUnknown, single.now)
				if newer {
					single.named = 3
				}
				second := single.retryOrder(sequence)
				if second == nil || second.Sequence == nil || *second.Sequence != sequence {
					t.Fatalf("retry of the order: %+v, want sequence 4", second)
				}
				worker := sequencedWorker{t: t, sequence: sequence}
				if firstArrives {
					worker.receive(first)
				}
				worker.receive(*second)
				if worker.loads != 1 {
					t.Errorf("%d of the two orders loaded weights, want 1", worker.loads)
				}
			})
		}
	}
}
