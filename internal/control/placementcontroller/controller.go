// Package placementcontroller reconciles each service's workers under the service's lease: it computes
// the placement of prompt prefixes, rolls out new weights, carries out calendar entries and retires base
// models.
//
// The Controller runs on every core machine. Each service has its own lease, and the machine that holds it
// reconciles that service. Orders carry the lease's fencing token; documents are written under the token and
// only onto the version that was read. A previous lease holder can therefore change nothing.
//
// Durations are ratios of two fields of settings.Bounds: WeightsMs, the time after which no request may start
// on superseded weights, and RecoveryMs, the time within which service is restored after a fault.
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

// Timing of the controller, as ratios of the recovery time bound (settings.Bounds.RecoveryMs).
const (
	reconcileRatio    = 1.0 / 24 // interval between two reconcile steps of a service, and between two lease renewals
	updateWaitRatio   = 1.0 / 12 // how long a node agent may hold a long poll for updates
	queryTimeoutRatio = 1.0 / 48 // timeout of one round of queries to other nodes or to the platform
)

// leasePrefix begins the name of each service's lease; the service name follows.
const leasePrefix = "appraise/"

// languageModelKind is the wire.Worker.Kind of workers that load weights and cache prompt prefixes.
const languageModelKind = "lm"

// Controller runs a serviceController for each service.
type Controller struct {
	process      *daemon.Process
	clock        clock.Clock
	members      *clustermembership.Member
	clients      *daemon.Clients
	store        *controlclient.Client
	backends     *contract.Backends
	holder       string // identity under which this process holds leases: MACHINE/INCARNATION
	services     map[string]*serviceController
	updates      *updatestream.Follower
	blockedNodes sync.Map // service name -> number of nodes that block the retirement of its base model
}

// serviceController reconciles one service while this process holds the service's lease. The fields below
// the lease are used only by the goroutine that runs reconcileService.
type serviceController struct {
	name   string
	cancel context.CancelFunc
	lease  *controlclient.Lease

	fencingToken      uint64               // fencing token of the lease at the last step
	document          *wire.Document       // document that stores the placement; nil if it must be read again
	placement         *placement.Placement // decoded content of document; nil if no placement is stored
	recomputedAt      time.Duration        // time of the last full computation of the placement
	rollout           Rollout
	calendarPlanner   *calendar.Planner
	retirementPlanner *retire.Planner
	repairedAt        time.Duration // time of the last repair of workers without an active retirement
}

// Start starts the placement controller in a process.
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
		LongPollTime: bounds.Recovery(updateWaitRatio),
		OnSnapshot:   updatestream.OnSeedsChanged(controller.members.SetSeeds),
	})
	process.Meter.Gauge("pebbleloom_retirement_held", "nodes that block a retirement which this controller carries out", controller.countBlockedNodes)
	mux := http.NewServeMux()
	mux.Handle(wire.MembershipPathPrefix, wire.NewMembershipServer(controller.members))
	if err := process.Serve(process.Settings.Listen, mux); err != nil {
		return err
	}
	process.Every(bounds.Recovery(reconcileRatio), controller.assignServices)
	process.Ready.Store(true)
	return nil
}

// countBlockedNodes returns how many nodes block the base model retirements that this controller carries out.
func (c *Controller) countBlockedNodes() (total float64) {
	c.blockedNodes.Range(func(_, nodes any) bool { total += float64(nodes.(int)); return true })
	return total
}

// nodeAgent returns a client of some live node agent, which streams the state of all workers, or nil if there
// is none.
func (c *Controller) nodeAgent() wire.NodeAgent {
	for _, node := range c.members.View().WithRole(clustermembership.RoleNodeAgent) {
		if node.State == clustermembership.Alive {
			return c.clients.NodeAgent(node.Addr)
		}
	}
	return nil
}

// assignServices starts a serviceController for each configured service that has a worker, and stops those of
// services that are no longer configured.
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
			svc.cancel() // this ends the renewal of the service's lease, which then expires
			delete(c.services, name)
		}
	}
}

// startService tries to acquire and renew a service's lease, and reconciles the service while the lease is
// held. The lease and the reconciliation have separate goroutines, so that a reconcile step that blocks
// delays neither the renewal of its lease nor other services.
func (c *Controller) startService(name string) *serviceController {
	ctx, cancel := context.WithCancel(c.process.Ctx)
	ttl := c.process.Settings.Bounds.Recovery(settings.LeaseRatio)
	svc := &serviceController{
		name:              name,
		cancel:            cancel,
		lease:             controlclient.NewLease(c.store, c.clock, leasePrefix+name, controlclient.ShardOf(name), c.holder, ttl),
		calendarPlanner:   calendar.NewPlanner(),
		retirementPlanner: retire.NewPlanner(),
	}
	c.runPeriodically(ctx, func() {
		if err := svc.lease.Renew(ctx); err != nil {
			c.process.Log.Debug("lease not acquired or renewed", "service", name, "error", err)
		}
	})
	c.runPeriodically(ctx, func() { c.reconcileService(svc) })
	return svc
}

// runPeriodically runs a step in a new goroutine, immediately and then at every reconcile interval, until ctx
// is done.
func (c *Controller) runPeriodically(ctx context.Context, step func()) {
	c.process.Go(func() {
		ticker := clock.NewTicker(c.process.Settings.Bounds.Recovery(reconcileRatio))
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

// reconcileService performs one reconcile step of a service if the service's lease is held.
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
		c.process.Log.Warn("reconcile step of service failed", "service", svc.name, "error", errs.Text(err))
	}
}

// writeDocument writes a document of the service's shard under the lease's fencing token. The write fails if
// the stored document no longer has the given version.
func (c *Controller) writeDocument(svc *serviceController, token uint64, key string, body []byte, version uint64) (*wire.ChangeResponse, error) {
	put := &wire.Put{Key: key, Body: body, IfVersion: version, Lease: svc.lease.Name, Fence: token, Holder: c.holder}
	return c.store.Change(c.process.Ctx, &wire.ChangeRequest{
		Shard:   controlclient.ShardOf(svc.name),
		Command: &wire.Command{Kind: &wire.Command_Put{Put: put}},
	})
}

// patchConfig merges a patch into the service configuration. It fails if the configuration no longer has the
// given version. The control state applies the changes of one idempotency token only once; an empty token
// means none.
func (c *Controller) patchConfig(ctx context.Context, patch []byte, version uint64, token string) error {
	put := &wire.Put{Key: controlclient.ConfigKey, Body: patch, IfVersion: version, Token: token}
	_, err := c.store.Change(ctx, &wire.ChangeRequest{Patch: true, Command: &wire.Command{Kind: &wire.Command_Put{Put: put}}})
	return err
}

// languageModelWorkers returns the service's language model workers that are neither draining nor gone.
func languageModelWorkers(snapshot *updatestream.Snapshot, service string) []*wire.Worker {
	var workers []*wire.Worker
	for _, worker := range snapshot.Workers {
		if worker.Service == service && worker.Kind == languageModelKind && worker.State < updatestream.WorkerDraining {
			workers = append(workers, worker)
		}
	}
	return workers
}
