package placementcontroller

import (
	"context"
	"sync"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/control/retire"
	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/data/updatestream"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// repairIntervalRatio is the minimum interval between repairs of a service's workers while no retirement is
// active, as a ratio of the recovery time bound.
const repairIntervalRatio = 1.0 / 6

// storedRetirements holds what readRetirements found of a service's retirements.
type storedRetirements struct {
	active   *retire.Retirement // started retirement that has not ended; nil if there is none
	document *wire.Document     // document that stores the active retirement
	retired  []string           // base models that were retired earlier; set only if no retirement is active
}

// readRetirements reads a service's retirements from the control state.
func (c *Controller) readRetirements(service string) (storedRetirements, error) {
	response, err := c.store.Read(c.process.Ctx, &wire.ReadRequest{Shard: controlclient.ShardOf(service), Key: retire.Key(service, ""), Prefix: true})
	if err != nil {
		return storedRetirements{}, errs.Wrap(err, "read retirements of the service")
	}
	var stored storedRetirements
	for _, document := range response.Documents {
		retirement, err := retire.Read(document.Body)
		if err != nil {
			return storedRetirements{}, errs.Wrap(err, document.Key)
		}
		if retirement.Active() && retirement.State != retire.StatePlanned {
			return storedRetirements{active: retirement, document: document}, nil
		}
		if retirement.State == retire.StateDone {
			stored.retired = append(stored.retired, retirement.OldBase)
		}
	}
	return stored, nil
}

// stepRetirement advances the service's active retirement by one step. Without one it repairs the service's
// workers.
func (c *Controller) stepRetirement(svc *serviceController, snapshot *updatestream.Snapshot) error {
	stored, err := c.readRetirements(svc.name)
	if err != nil {
		return err
	}
	if stored.active == nil {
		c.blockedNodes.Delete(svc.name)
		return c.repairWorkers(svc, snapshot, stored.retired)
	}
	c.blockedNodes.Store(svc.name, stored.active.Nodes-stored.active.Ready)
	if stored.active.State == retire.StatePaused {
		return nil
	}
	return c.advanceRetirement(svc)
}

// advanceRetirement computes the next step of the active retirement, performs its actions and writes its
// document. The service configuration is read first, then the retirement, then the nodes. With this order, an
// action that a previous lease holder performs late meets a newer version and is rejected.
func (c *Controller) advanceRetirement(svc *serviceController) error {
	configs, err := c.store.Read(c.process.Ctx, &wire.ReadRequest{Key: controlclient.ConfigKey})
	if err != nil || len(configs.Documents) == 0 {
		return errs.Wrap(err, "read service configuration for a retirement step")
	}
	config, err := serviceconfig.Decode(configs.Documents[0].Body)
	if err != nil {
		return errs.Wrap(err, "decode stored service configuration")
	}
	stored, err := c.readRetirements(svc.name)
	if err != nil || stored.active == nil {
		return err
	}
	observation, addrs := c.observeRetirement(svc.name, config, stored.document.Version)
	next, actions, changed := svc.retirementPlanner.Next(stored.active, observation)
	batch := &actionBatch{
		Controller:    c,
		svc:           svc,
		retirement:    next,
		configVersion: configs.Documents[0].Version,
		addrs:         addrs,
	}
	recorded, err := batch.execute(actions)
	var failures errs.Batch
	failures.Add("execute retirement actions", err)
	if changed || recorded {
		failures.Add("retirement "+stored.active.Name, c.writeRetirement(svc, stored.document, stored.active, next))
	}
	return failures.Err()
}

// observeRetirement gathers the input of the next step of a retirement. It also returns the workers' addresses
// by name.
func (c *Controller) observeRetirement(service string, config *serviceconfig.Config, version uint64) (retire.Observation, map[string]string) {
	observation := retire.Observation{Version: version, Config: config, MaxConfigAge: c.process.Settings.Bounds.Config(1)}
	var addrs map[string]string
	observation.Nodes, addrs, observation.WorkersListed = c.observeWorkers(service)
	observation.Now = c.clock.Now()
	recent := c.collectUsage()
	for name := range addrs {
		observation.Succeeded += recent.succeeded[name]
		observation.Failed += recent.failed[name]
	}
	return observation, addrs
}

// repairWorkers orders the service's workers to load configured weights that they lack and to unload retired
// base models. It runs while no retirement is active.
func (c *Controller) repairWorkers(svc *serviceController, snapshot *updatestream.Snapshot, retired []string) error {
	now := c.clock.Now()
	interval := c.process.Settings.Bounds.Recovery(repairIntervalRatio)
	if len(snapshot.Config.Adapters) == 0 || svc.repairedAt != 0 && now-svc.repairedAt < interval {
		return nil
	}
	svc.repairedAt = now
	nodes, addrs, listed := c.observeWorkers(svc.name)
	if !listed {
		return nil
	}
	batch := &actionBatch{Controller: c, svc: svc, addrs: addrs}
	_, err := batch.execute(retire.Repair(snapshot.Config, svc.name, nodes, retired))
	return err
}

// observeWorkers reads the list of the service's workers from the platform and queries all of them
// concurrently for their state. It also returns their addresses by name; listed is false if the platform's
// list cannot be read.
func (c *Controller) observeWorkers(service string) (nodes []retire.Node, addrs map[string]string, listed bool) {
	ctx, cancel := context.WithTimeout(c.process.Ctx, c.process.Settings.Bounds.Recovery(queryTimeoutRatio))
	defer cancel()
	workers, err := c.backends.List(ctx, c.process.Settings.WorkerList)
	if err != nil {
		return nil, nil, false
	}
	addrs = map[string]string{}
	var wg sync.WaitGroup
	var mu sync.Mutex
	for _, worker := range workers {
		if worker.Service != service || worker.Kind != languageModelKind {
			continue
		}
		addrs[worker.Name] = worker.Addr
		wg.Go(func() {
			node := c.observeWorker(ctx, worker)
			mu.Lock()
			defer mu.Unlock()
			nodes = append(nodes, node)
		})
	}
	wg.Wait()
	return nodes, addrs, true
}

// observeWorker queries a worker for its state. The worker counts as unreachable if it does not respond, or if
// another worker responds at its address.
func (c *Controller) observeWorker(ctx context.Context, worker contract.ListedWorker) retire.Node {
	state, err := c.backends.State(ctx, worker.Addr)
	if err != nil || state.Name != worker.Name {
		return retire.Node{Name: worker.Name}
	}
	return retire.Node{
		Name:        worker.Name,
		Incarnation: state.Incarnation,
		Reachable:   true,
		Draining:    state.Draining || worker.Draining,
		Loaded:      state.LoadedModels(),
		Loading:     state.Loading,
		MemoryMB:    state.WeightMemoryMB,
		FreeMB:      state.FreeWeightMemoryMB,
	}
}

// writeRetirement writes a retirement if the lease is still held, and logs a change of its state, phase or
// traffic step.
func (c *Controller) writeRetirement(svc *serviceController, document *wire.Document, old, next *retire.Retirement) error {
	token, ok := svc.lease.FencingToken()
	if !ok {
		return nil
	}
	body, err := next.Write()
	if err != nil {
		return err
	}
	if _, err := c.writeDocument(svc, token, document.Key, body, document.Version); err != nil {
		return errs.Wrap(err, "write retirement")
	}
	if old.State != next.State || old.Phase != next.Phase || old.TrafficStep != next.TrafficStep {
		blocker := ""
		if len(next.Blockers) > 0 {
			blocker = next.Blockers[0].Node + ": " + next.Blockers[0].Reason
		}
		c.process.Log.Info("retirement", "name", next.Name, "service", next.Service, "state", next.State, "phase", next.Phase,
			"ready", next.Ready, "nodes", next.Nodes, "reason", next.Reason, "blocked_by", blocker)
	}
	return nil
}
