package placementcontroller

import (
	"context"
	"slices"
	"time"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/data/updatestream"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// loadWeightsOrder is the contract.Order.Kind of an order to load another version of the base model's weights.
const loadWeightsOrder = "weights"

// stepRollout advances the rollout of the configured weights to the service's workers by one step.
func (c *Controller) stepRollout(svc *serviceController, snapshot *updatestream.Snapshot, config serviceconfig.Service) error {
	if svc.document == nil || svc.placement == nil {
		return nil // the stored placement must be read first, for example after the lease was acquired or a write failed
	}
	workers := slices.DeleteFunc(languageModelWorkers(snapshot, svc.name), func(worker *wire.Worker) bool {
		return worker.Model != config.Model && worker.Model != "" // the worker reports another base model than the service configures
	})
	history := snapshot.Weights[config.Model]
	now := c.clock.Now()
	since := func(weights uint64) time.Duration {
		_, superseded, _ := history.SupersededAt(weights)
		return now - superseded
	}
	svc.rollout.AllAtOnce = config.Rollout == serviceconfig.RolloutAtOnce
	due, changed := svc.rollout.Step(workers, history.Version, since, now, c.process.Settings.Bounds)
	var failures errs.Batch
	failures.Add("order", c.sendOrders(svc.lease, due, history.Version))
	if changed {
		next := *svc.placement
		next.Cordoned, next.Reason = svc.rollout.Batch, "weights are being rolled out"
		failures.Add("cordon", c.publishPlacement(svc, &next))
	}
	return failures.Err()
}

// sendOrders orders workers to load weights, all concurrently, so that a worker that does not respond delays
// no other. The lease is checked immediately before each order is sent. The timeout of an order is shorter
// than the time between the lease's end on this machine and its earliest acquisition by another one.
func (c *Controller) sendOrders(lease *controlclient.Lease, workers []*wire.Worker, weights uint64) error {
	ctx, cancel := context.WithTimeout(c.process.Ctx, c.process.Settings.Bounds.Recovery(settings.OrderTimeoutRatio))
	defer cancel()
	results := make(chan error, len(workers))
	for _, worker := range workers {
		go func() { results <- c.sendOrder(ctx, lease, worker, weights) }()
	}
	var failures errs.Batch
	for range workers {
		failures.Add("weights", <-results)
	}
	return failures.Err()
}

// sendOrder sends an order to load weights if the lease is still held. Otherwise it sends nothing and returns
// nil, because another machine may acquire the lease.
func (c *Controller) sendOrder(ctx context.Context, lease *controlclient.Lease, worker *wire.Worker, weights uint64) error {
	token, ok := lease.FencingToken()
	if !ok {
		return nil
	}
	order := contract.Order{FencingToken: token, Lease: lease.Name, Holder: lease.Holder, Kind: loadWeightsOrder, Weights: weights}
	return errs.Wrap(c.backends.Order(ctx, worker.Addr, order), "order "+worker.Name)
}
