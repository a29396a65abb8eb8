// Package placementcontroller reconciles each service's workers under the service's lease: it computes
// the placement of prompt prefixes, rolls out named weights, carries out the calendar's planned moves
// and retires base models.
//
// The Controller runs on every core machine. Each service has a lease of its own; the machine that
// holds it works on that service. Documents are written, and orders sent, under the lease's fencing
// token and onto the version that was read, so that a past holder can't change anything.
//
// Durations are ratios of the bounds (settings.Bounds): the weights bound, within which older weights are
// out of use, and the heal bound, within which service is restored after a fault.
package placementcontroller

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/contract"
	"pebbleloom/internal/control/calendar"
	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/control/retire"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/data/placement"
	"pebbleloom/internal/data/updatestream"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// Timing of the controller, as ratios of the heal bound.
const (
	reconcileRatio    = 1.0 / 24 // between two steps of a service, and between two lease renewals
	updateWaitRatio   = 1.0 / 12 // how long a node agent may hold a request for updates
	queryTimeoutRatio = 1.0 / 48 // timeout of one query of other nodes or of the platform's list
)

// leasePrefix is the first part of the name of each service's lease.
const leasePrefix = "appraise/"

// languageModelKind is the kind of the workers that hold weights and prompt prefixes.
const languageModelKind = "lm"

// Controller assigns a serviceController to each service.
type Controller struct {
	process      *daemon.Process
	clock        clock.Clock
	members      *clustermembership.Member
	clients      *daemon.Clients
	store        *controlclient.Client
	backends     *contract.Backends
	holder       string // under which this process holds leases: MACHINE/INCARNATION
	services     map[string]*serviceController
	updates      *updatestream.Follower
	blockedNodes sync.Map // service -> how many nodes block its retirement
}

// serviceController is the work on one service under its lease. Only the goroutine that reconciles it
// uses the fields below the lease.
type serviceController struct {
	name   string
	cancel context.CancelFunc
	lease  *controlclient.Lease

	fencingToken      uint64               // of the lease at the last step
	document          *wire.Document       // the stored placement; nil: to be read again
	placement         *placement.Placement // that it holds; nil: none yet
	recomputedAt      time.Duration        // the last full computation of the placement
	rollout           Rollout
	calendarPlanner   *calendar.Planner
	retirementPlanner *retire.Planner
	repairedAt        time.Duration // the last repair while nothing is being retired
}

// Start runs the controller.
//
// Example: daemon.Main("appraiser", "placement under a lease", need, placementcontroller.Start)
func Start(process *daemon.Process) error {
	bounds := process.Settings.Bounds
	controller := &Controller{
		process:  process,
		clock:    process.Clock,
		clients:  daemon.NewClients(process),
		backends: contract.NewBackends(process.Dial),
		services: map[string]*serviceController{},
	}
	process.OnStop(controller.backends.Close)
	controller.holder = fmt.Sprintf("%s/%x", process.Settings.Name, controller.clock.Now())
	controller.members = clustermembership.Start(process.Ctx, clustermembership.Config{
		Process: process.Settings,
		Role:    clustermembership.RolePlacementController,
		Clock:   controller.clock,
		Log:     process.Log,
		Client:  controller.clients.Membership,
	})
	view := func() clustermembership.View { return controller.members.View() }
	controller.store = controlclient.New(process.Settings.Core, view, controller.clients, bounds)
	controller.updates = updatestream.Follow(process.Ctx, updatestream.Config{
		Clock:        controller.clock,
		Log:          process.Log,
		NodeAgent:    controller.nodeAgent,
		LongPollTime: bounds.Heal(updateWaitRatio),
		OnSnapshot:   updatestream.OnSeedsChanged(controller.members.SetSeeds),
	})
	process.Meter.Gauge("pebbleloom_retirement_held", "nodes that block a retirement which this controller carries out", controller.countBlockedNodes)
	mux := http.NewServeMux()
	mux.Handle(wire.MembershipPathPrefix, wire.NewMembershipServer(controller.members))
	if err := process.Serve(process.Settings.Listen, mux); err != nil {
		return err
	}
	process.Every(bounds.Heal(reconcileRatio), controller.assignServices)
	process.Ready.Store(true)
	return nil
}

func (c *Controller) countBlockedNodes() (total float64) {
	c.blockedNodes.Range(func(_, nodes any) bool { total += float64(nodes.(int)); return true })
	return total
}

// nodeAgent returns any live node agent: workers are observed through it.
func (c *Controller) nodeAgent() wire.NodeAgent {
	for _, node := range c.members.View().WithRole(clustermembership.RoleNodeAgent) {
		if node.State == clustermembership.Alive {
			return c.clients.NodeAgent(node.Addr)
		}
	}
	return nil
}

// assignServices runs a service controller for every service that any worker serves, and ends those of
// services that the configuration no longer names.
func (c *Controller) assignServices() {
	snapshot := c.updates.Snapshot()
	if snapshot == nil || snapshot.Config == nil {
		return
	}
	served := map[string]bool{}
	for _, worker := range snapshot.Workers {
		served[worker.Service] = true
	}
	for name := range snapshot.Config.Services {
		if c.services[name] == nil && served[name] {
			c.services[name] = c.startService(name)
		}
	}
	for name, svc := range c.services {
		if _, ok := snapshot.Config.Services[name]; !ok {
			svc.cancel() // the lease expires by itself
			delete(c.services, name)
		}
	}
}

// startService campaigns for a service's lease and works on the service while it is held. One goroutine
// renews the lease and another one reconciles: if one of them blocks, it delays neither another service
// nor its own renewal.
func (c *Controller) startService(name string) *serviceController {
	ctx, cancel := context.WithCancel(c.process.Ctx)
	ttl := c.process.Settings.Bounds.Heal(settings.LeaseRatio)
	svc := &serviceController{
		name:              name,
		cancel:            cancel,
		lease:             controlclient.NewLease(c.store, c.clock, leasePrefix+name, controlclient.ShardOf(name), c.holder, ttl),
		calendarPlanner:   calendar.NewPlanner(),
		retirementPlanner: retire.NewPlanner(),
	}
	c.runPeriodically(ctx, func() {
		if err := svc.lease.Renew(ctx); err != nil {
			c.process.Log.Debug("no lease", "service", name, "error", err)
		}
	})
	c.runPeriodically(ctx, func() { c.reconcileService(svc) })
	return svc
}

// runPeriodically runs a step now and at every tick until ctx ends.
func (c *Controller) runPeriodically(ctx context.Context, step func()) {
	c.process.Go(func() {
		ticker := clock.NewTicker(c.process.Settings.Bounds.Heal(reconcileRatio))
		defer ticker.Stop()
		for ctx.Err() == nil {
			step()
			select {
			case <-ctx.Done():
			case <-ticker.C:
			}
		}
	})
}

// reconcileService makes one step of a service's work if its lease is held.
func (c *Controller) reconcileService(svc *serviceController) {
	snapshot := c.updates.Snapshot()
	config, ok := snapshot.Config.Services[svc.name]
	token, isHolder := svc.lease.FencingToken()
	if !ok || !isHolder {
		svc.document = nil
		return
	}
	if token != svc.fencingToken {
		c.process.Log.Info("lease acquired", "service", svc.name, "fencing_token", token)
		svc.fencingToken, svc.document, svc.retirementPlanner = token, nil, retire.NewPlanner()
	}
	var failures errs.Batch
	failures.Add("roll out weights", c.stepRollout(svc, snapshot, config))
	failures.Add("update placement", c.updatePlacement(svc, snapshot, config))
	failures.Add("calendar", c.stepCalendar(svc, snapshot))
	failures.Add("retirement", c.stepRetirement(svc, snapshot))
	if err := failures.Err(); err != nil {
		c.process.Log.Warn("service step failed", "service", svc.name, "error", errs.Text(err))
	}
}

// writeDocument writes a document of the service's shard under the lease's fencing token, onto the
// version at which it was read.
func (c *Controller) writeDocument(svc *serviceController, token uint64, key string, body []byte, version uint64) (*wire.ChangeResponse, error) {
	put := &wire.Put{Key: key, Body: body, IfVersion: version, Lease: svc.lease.Name, Fence: token, Holder: c.holder}
	return c.store.Change(c.process.Ctx, &wire.ChangeRequest{
		Shard:   controlclient.ShardOf(svc.name),
		Command: &wire.Command{Kind: &wire.Command_Put{Put: put}},
	})
}

// patchConfig merges a partial service configuration into the one in force, if that has the version.
// The control state applies a change once for each token; "" stands for none.
func (c *Controller) patchConfig(ctx context.Context, patch []byte, version uint64, token string) error {
	put := &wire.Put{Key: controlclient.ConfigKey, Body: patch, IfVersion: version, Token: token}
	_, err := c.store.Change(ctx, &wire.ChangeRequest{Patch: true, Command: &wire.Command{Kind: &wire.Command_Put{Put: put}}})
	return err
}

// languageModelWorkers returns the service's workers that hold weights and aren't draining.
func languageModelWorkers(snapshot *updatestream.Snapshot, service string) []*wire.Worker {
	var workers []*wire.Worker
	for _, worker := range snapshot.Workers {
		if worker.Service == service && worker.Kind == languageModelKind && worker.State < updatestream.WorkerDraining {
			workers = append(workers, worker)
		}
	}
	return workers
}
