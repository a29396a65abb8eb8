package placementcontroller

import (
	"encoding/json"
	"slices"
	"time"

	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/data/placement"
	"pebbleloom/internal/data/updatestream"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// recomputeRatio is the interval between full computations of a placement, as a ratio of the recovery time bound.
const recomputeRatio = 0.5

// defaultFetchTolerance is the value of Inputs.FetchTolerance for a service that configures none.
const defaultFetchTolerance = 1

// updatePlacement computes the service's placement and publishes it if it has changed.
func (c *Controller) updatePlacement(svc *serviceController, snapshot *updatestream.Snapshot, config serviceconfig.Service) error {
	now := c.clock.Now()
	if svc.document == nil {
		if err := c.resumePlacement(svc, now); err != nil {
			return err
		}
	}
	workers := languageModelWorkers(snapshot, svc.name)
	if len(workers) == 0 {
		return nil
	}
	next, changed := c.nextPlacement(svc, workers, config, now)
	if !changed {
		return nil
	}
	return c.publishPlacement(svc, next)
}

// resumePlacement reads the stored placement and resumes the rollout whose current batch of workers the
// placement cordons, so that a new lease holder continues where the previous one stopped.
func (c *Controller) resumePlacement(svc *serviceController, now time.Duration) error {
	stored, err := c.store.Read(c.process.Ctx, &wire.ReadRequest{Shard: controlclient.ShardOf(svc.name), Key: placementKey(svc.name)})
	if err != nil {
		return errs.Wrap(err, "read stored placement")
	}
	svc.document, svc.placement, svc.recomputedAt = &wire.Document{}, nil, 0
	if len(stored.Documents) == 0 {
		return nil
	}
	svc.document = stored.Documents[0]
	if svc.placement, err = placement.Read(svc.document.Body, svc.document.Version); err != nil {
		return errs.Wrap(err, "decode stored placement")
	}
	svc.rollout = Rollout{Batch: svc.placement.Cordoned, CordonedAt: now}
	return nil
}

// nextPlacement computes the next placement and reports whether it differs enough from the current one to be
// published. Between full computations it only swaps in entries that have become hot.
func (c *Controller) nextPlacement(svc *serviceController, workers []*wire.Worker, config serviceconfig.Service,
	now time.Duration) (*placement.Placement, bool) {
	hot := c.hotEntries(svc.name)
	names, mode, old := workerNames(workers), placementMode(config), svc.placement
	if old != nil && now-svc.recomputedAt <= c.process.Settings.Bounds.Recovery(recomputeRatio) && slices.Equal(names, old.Workers) && old.Mode == mode {
		return SwapInBurst(old, hot)
	}
	inputs := Inputs{
		Service:        svc.name,
		Mode:           mode,
		FetchTolerance: config.FetchTolerance,
		Workers:        names,
		CapacityTokens: smallestCapacity(workers),
		HotEntries:     hot,
		Links:          c.collectUsage().links,
		PrefillCurve:   placement.Default(),
	}
	if inputs.FetchTolerance == 0 {
		inputs.FetchTolerance = defaultFetchTolerance
	}
	next := Compute(inputs, old)
	next.Cordoned = svc.rollout.Batch
	svc.recomputedAt = now
	return next, placement.Changed(old, next)
}

// publishPlacement writes a placement if the lease is still held.
func (c *Controller) publishPlacement(svc *serviceController, next *placement.Placement) error {
	token, ok := svc.lease.FencingToken()
	if !ok {
		return nil // the lease has expired since the step began
	}
	next.FencingToken = token
	body, err := json.Marshal(next)
	if err != nil {
		return errs.Wrap(err, "encode placement as JSON")
	}
	response, err := c.writeDocument(svc, token, placementKey(svc.name), body, svc.document.Version)
	if err != nil {
		svc.document = nil // the document must be read again before the next attempt to write it
		return errs.Wrap(err, "publish placement")
	}
	next.Version = response.Version
	svc.document, svc.placement = &wire.Document{Body: body, Version: response.Version}, next
	c.process.Log.Info("placement", "service", svc.name, "version", response.Version, "fencing_token", token, "replicated", len(next.Replicated),
		"entries", next.Entries, "r_max", next.RMax, "fetch_bandwidth", next.FetchBandwidth, "reason", next.Reason)
	return nil
}

// placementKey returns the key of the document that stores a service's placement.
func placementKey(service string) string { return "placement/" + service }

// placementMode returns the placement mode that a service configures, by default placement.ModeHRCS.
func placementMode(config serviceconfig.Service) placement.Mode {
	if config.Placement == "" {
		return placement.ModeHRCS
	}
	return placement.Mode(config.Placement)
}

// workerNames returns the names of the given workers, in the same order.
func workerNames(workers []*wire.Worker) []string {
	names := make([]string, 0, len(workers))
	for _, worker := range workers {
		names = append(names, worker.Name)
	}
	return names
}

// smallestCapacity returns the smallest cache capacity of any worker, in tokens.
func smallestCapacity(workers []*wire.Worker) int {
	smallest := 0
	for _, worker := range workers {
		if smallest == 0 || int(worker.KvCapacity) < smallest {
			smallest = int(worker.KvCapacity)
		}
	}
	return smallest
}
