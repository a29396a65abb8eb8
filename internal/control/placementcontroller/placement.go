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

// recomputeRatio is the interval of full computations of a placement, as a ratio of the heal bound.
const recomputeRatio = 0.5

// defaultFetchTolerance is the fetch tolerance of a service that sets none.
const defaultFetchTolerance = 1

// updatePlacement computes the service's placement and publishes it if it changed.
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

// resumePlacement reads the stored placement: a new holder of the lease resumes its rollout.
func (c *Controller) resumePlacement(svc *serviceController, now time.Duration) error {
	stored, err := c.store.Read(c.process.Ctx, &wire.ReadRequest{Shard: controlclient.ShardOf(svc.name), Key: placementKey(svc.name)})
	if err != nil {
		return errs.Wrap(err, "read placement")
	}
	svc.document, svc.placement, svc.recomputedAt = &wire.Document{}, nil, 0
	if len(stored.Documents) == 0 {
		return nil
	}
	svc.document = stored.Documents[0]
	if svc.placement, err = placement.Read(svc.document.Body, svc.document.Version); err != nil {
		return errs.Wrap(err, "stored placement")
	}
	svc.rollout = Rollout{Batch: svc.placement.Cordoned, CordonedAt: now}
	return nil
}

// nextPlacement computes the next placement, and whether the change is worth publishing. In between full
// computations it only swaps entries in.
func (c *Controller) nextPlacement(svc *serviceController, workers []*wire.Worker, config serviceconfig.Service,
	now time.Duration) (*placement.Placement, bool) {
	hot := c.hotEntries(svc.name)
	names, mode, old := workerNames(workers), placementMode(config), svc.placement
	if old != nil && now-svc.recomputedAt <= c.process.Settings.Bounds.Heal(recomputeRatio) && slices.Equal(names, old.Workers) && old.Mode == mode {
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

// publishPlacement writes a placement under the lease, if that is still held.
func (c *Controller) publishPlacement(svc *serviceController, next *placement.Placement) error {
	token, ok := svc.lease.FencingToken()
	if !ok {
		return nil // the lease expired during the computation
	}
	next.FencingToken = token
	body, err := json.Marshal(next)
	if err != nil {
		return errs.Wrap(err, "write placement")
	}
	response, err := c.writeDocument(svc, token, placementKey(svc.name), body, svc.document.Version)
	if err != nil {
		svc.document = nil // read it again before the next attempt
		return errs.Wrap(err, "publish placement")
	}
	next.Version = response.Version
	svc.document, svc.placement = &wire.Document{Body: body, Version: response.Version}, next
	c.process.Log.Info("placement", "service", svc.name, "version", response.Version, "fencing_token", token, "replicated", len(next.Replicated),
		"entries", next.Entries, "r_max", next.RMax, "fetch_bandwidth", next.FetchBandwidth, "reason", next.Reason)
	return nil
}

// placementKey is the key of the document that holds a service's placement.
func placementKey(service string) string { return "placement/" + service }

func placementMode(config serviceconfig.Service) placement.Mode {
	if config.Placement == "" {
		return placement.ModeHRCS
	}
	return placement.Mode(config.Placement)
}

func workerNames(workers []*wire.Worker) []string {
	names := make([]string, 0, len(workers))
	for _, worker := range workers {
		names = append(names, worker.Name)
	}
	return names
}

// smallestCapacity is the cache capacity of the smallest worker, in tokens.
func smallestCapacity(workers []*wire.Worker) int {
	smallest := 0
	for _, worker := range workers {
		if smallest == 0 || int(worker.KvCapacity) < smallest {
			smallest = int(worker.KvCapacity)
		}
	}
	return smallest
}
