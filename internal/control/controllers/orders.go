package controllers

import (
	"context"
	"slices"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/data/backend"
	"pebbleloom/internal/data/placement"
	"pebbleloom/internal/fleet"
)

// Timing of the steps of a Rollout and of its calls to workers.
const (
	rolloutStepRatio = 1.0 / 40 // interval between rollout steps while workers are cordoned or load weights, as a fraction of the worker removal bound Bounds.Leave
	rolloutIdleRatio = 1.0 / 12 // interval between rollout steps while no worker is cordoned or loads weights, as a fraction of the worker removal bound Bounds.Leave
	callTimeoutRatio = 1.0 / 6  // timeout of a call that sends an order to a worker or requests its report, as a fraction of the worker removal bound Bounds.Leave
)

// runRollout advances the rollout step by step until the session ends, more often while workers are cordoned or load
// weights.
func (s *session) runRollout() {
	bounds := s.process.Settings.Bounds
	for s.ctx.Err() == nil {
		idle := true
		s.actor.Ask(func(*session) { s.stepRollout(); idle = s.rollout.Idle() })
		pause := bounds.Leave(rolloutStepRatio)
		if idle {
			pause = bounds.Leave(rolloutIdleRatio)
		}
		clock.Sleep(s.ctx, pause)
	}
}

// stepRollout advances the rollout by one step, starts the calls to workers that it requests, and queues placements
// that cordon workers. It runs on the session's actor goroutine.
func (s *session) stepRollout() {
	snapshot := s.latestSnapshot()
	if _, ok := s.currentToken(); !ok || snapshot == nil || snapshot.Plan == nil || s.ordersStopped {
		return
	}
	inputs := s.rolloutInputs(snapshot)
	actions := s.rollout.Step(inputs)
	for _, order := range actions.Orders {
		s.ordersInFlight.Add(1)
		go s.sendOrder(order)
	}
	for _, worker := range actions.Reports {
		go s.requestReport(worker)
	}
	for service := range inputs.UpdatedServices {
		s.cordonWorkers(service, actions.Cordoned[service], inputs.Workers, inputs.Now)
	}
}

func (s *session) rolloutInputs(snapshot *fleet.Snapshot) RolloutInputs {
	now := s.process.Clock.Now()
	workers := s.workers.Document().Workers
	s.targets.update(snapshot, workers)
	inputs := RolloutInputs{
		Now:             now,
		Workers:         workers,
		TargetVersions:  s.targets.versions,
		RolloutStart:    s.targets.rolloutStart,
		UpdatedServices: map[string]bool{},
		EarliestOrder:   s.lease.earliestOrder(),
	}
	for _, service := range snapshot.Plan.Services {
		if service.Engine != nil {
			inputs.UpdatedServices[service.Name] = true
		}
	}
	return inputs
}

// cordonWorkers queues a placement of the service that cordons exactly the given workers, unless the desired placement
// already does so. It confirms to the rollout the workers that the last written placement cordons.
func (s *session) cordonWorkers(service string, cordoned []string, workers []fleet.Worker, now time.Duration) {
	current := s.placements[service]
	if current == nil {
		if len(cordoned) == 0 {
			return
		}
		current = &servicePlacement{}
		s.placements[service] = current
	}
	if current.desired == nil {
		current.desired = &placement.Placement{
			Service:      service,
			Mode:         placement.ModeHRCS,
			Workers:      serviceWorkerIDs(workers, service),
			PrefillCurve: placement.Default(),
			Replicated:   []string{},
		}
	}
	var published []string
	for _, id := range cordoned {
		if slices.Contains(current.publishedCordoned, id) {
			published = append(published, id)
		}
	}
	s.rollout.ConfirmCordoned(published, now)
	if !slices.Equal(cordoned, current.desired.Cordoned) {
		desired := *current.desired
		desired.Cordoned, desired.Reason = cordoned, "weights are being rolled out"
		s.queuePlacement(current, &desired)
	}
}

// sendOrder sends one order to a worker and passes the outcome to the rollout. The order is sent only while this
// process holds the site's lease, and the call times out before the lease ends on this machine.
func (s *session) sendOrder(order Order) {
	defer s.ordersInFlight.Done()
	token, leaseTime, ok := s.lease.remaining()
	if !ok || token != s.fencingToken {
		s.actor.Ask(func(*session) { s.rollout.HandleUnsentOrder(order) })
		return
	}
	outcome := s.callOrder(order, min(leaseTime, s.process.Settings.Bounds.Leave(callTimeoutRatio)))
	s.process.Log.Info("order", "worker", order.Worker.ID, "model", order.Model, "version", order.Version,
		"fencing_token", token, "outcome", int(outcome))
	s.actor.Ask(func(*session) {
		version := s.rollout.HandleOrderOutcome(order, outcome, s.process.Clock.Now())
		s.recordVersion(order.Worker.ID, order.Model, version)
		s.stepRollout()
	})
}

// callOrder makes the call that sends an order to its worker. It returns backend.OutcomeUnknown if the call fails,
// since the worker may have accepted the order. The call is not canceled when the session ends; stopOrders waits
// for it.
func (s *session) callOrder(order Order, timeout time.Duration) backend.Outcome {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(s.ctx), timeout)
	defer cancel()
	deadline := s.process.Clock.Now() + timeout
	// The client calls the guard immediately before it writes the first byte of the order. The lease may have ended
	// since sendOrder checked it, for example while the machine was suspended.
	ctx = backend.WithGuard(ctx, func() bool {
		token, _, ok := s.lease.remaining()
		return ok && token == s.fencingToken && s.process.Clock.Now() < deadline
	})
	outcome, err := s.workerClient.Order(ctx, order.Worker.Addr, backend.Order{
		Model:        order.Model,
		Version:      order.Version,
		Mode:         backend.ModeAwait,
		LeaseHolder:  s.lease.holderID(),
		FencingToken: s.fencingToken,
		Instance:     order.Worker.ID,
		Sequence:     order.Sequence,
	})
	if err != nil {
		return backend.OutcomeUnknown
	}
	return outcome
}

// requestReport requests a report of a worker's state and passes the result to the rollout.
func (s *session) requestReport(worker fleet.Worker) {
	ctx, cancel := context.WithTimeout(s.ctx, s.process.Settings.Bounds.Leave(callTimeoutRatio))
	defer cancel()
	report, err := s.workerClient.Report(ctx, worker.Addr)
	s.actor.Ask(func(*session) {
		model, version := s.rollout.HandleReport(worker.ID, report, err == nil, s.process.Clock.Now())
		s.recordVersion(worker.ID, model, version)
		if version > 0 {
			s.stepRollout()
		}
	})
}

// recordVersion records in the worker list that a worker serves a version of a model's weights, and publishes the list
// if it changed. Version zero means unknown and is ignored. It runs on the session's actor goroutine.
func (s *session) recordVersion(worker, model string, version uint64) {
	if version > 0 && s.workers.SetWeights(worker, model, version) {
		s.queueWorkerList()
	}
}

// stopOrders prevents further orders to workers and waits for the responses to those in flight.
func (s *session) stopOrders() {
	s.actor.Ask(func(*session) { s.ordersStopped = true })
	s.ordersInFlight.Wait()
}
