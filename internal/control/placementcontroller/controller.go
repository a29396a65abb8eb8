package placementcontroller

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"reflect"
	"slices"
	"sync"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/contract"
	"pebbleloom/internal/control/calendar"
	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/control/retire"
	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/data/placement"
	"pebbleloom/internal/data/promptindex"
	"pebbleloom/internal/data/updatestream"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// Controller runs on every core machine; each service's lease is held by one of them.
type Controller struct {
	process      *daemon.Process
	clock        clock.Clock
	members      *clustermembership.Member
	clients      *daemon.Clients
	store        *controlclient.Client
	backends     *contract.Backends
	holder       string
	services     map[string]*serviceController
	updates      *updatestream.Follower
	blockedNodes sync.Map // service -> how many nodes block its retirement
}

// serviceController is the work on one service under its lease.
type serviceController struct {
	name              string
	cancel            context.CancelFunc
	lease             *controlclient.Lease
	document          *wire.Document
	placement         *placement.Placement
	recomputedAt      time.Duration // the last full computation
	fencingToken      uint64
	rollout           Rollout
	calendarPacer     *calendar.Planner
	retirementPlanner *retire.Planner
	repairedAt        time.Duration // the last repair while nothing is being retired
}

// Start runs the controller.
//
// Example: daemon.Main("appraiser", "placement under a lease", need, placementcontroller.Start)
func Start(process *daemon.Process) error {
	c := &Controller{process: process, clock: process.Clock, clients: daemon.NewClients(process), backends: contract.NewBackends(process.Dial), services: map[string]*serviceController{}}
	process.OnStop(c.backends.Close)
	c.holder = fmt.Sprintf("%s/%x", process.Settings.Name, c.clock.Now())
	c.members = clustermembership.Start(process.Ctx, process.Settings, clustermembership.RolePlacementController, c.clock, process.Log, c.clients.Membership, nil)
	view := func() clustermembership.View { return c.members.View() }
	c.store = controlclient.New(process.Settings.Core, view, c.clients, process.Settings.Bounds)
	c.updates = updatestream.Follow(process.Ctx, c.clock, process.Log, c.nodeAgent, process.Settings.Bounds.Heal(1.0/12), nil, updatestream.OnSeedsChanged(c.members.SetSeeds))
	process.Meter.Gauge("pebbleloom_retirement_held", "nodes that block a retirement which this controller carries out", func() (v float64) {
		c.blockedNodes.Range(func(_, n any) bool { v += float64(n.(int)); return true })
		return v
	})
	mux := http.NewServeMux()
	mux.Handle(wire.MembershipPathPrefix, wire.NewMembershipServer(c.members))
	if err := process.Serve(process.Settings.Listen, mux); err != nil {
		return err
	}
	process.Every(process.Settings.Bounds.Heal(1.0/24), c.assignServices)
	process.Ready.Store(true)
	return nil
}

// nodeAgent returns any live node agent: workers are observed through it.
func (c *Controller) nodeAgent() wire.NodeAgent {
	for _, n := range c.members.View().WithRole(clustermembership.RoleNodeAgent) {
		if n.State == clustermembership.Alive {
			return c.clients.NodeAgent(n.Addr)
		}
	}
	return nil
}

// assignServices runs a service controller for every service that any worker serves. Each has two
// goroutines, one that renews its lease and one that works: if one of them blocks, it delays neither
// another service nor its own renewal.
func (c *Controller) assignServices() {
	s := c.updates.Snapshot()
	if s == nil || s.Config == nil {
		return
	}
	served := map[string]bool{}
	for _, w := range s.Workers {
		served[w.Service] = true
	}
	for name := range s.Config.Services {
		if c.services[name] == nil && served[name] {
			ctx, end := context.WithCancel(c.process.Ctx)
			b := c.process.Settings.Bounds
			svc := &serviceController{name: name, cancel: end, lease: controlclient.NewLease(c.store, c.clock, "appraise/"+name, controlclient.ShardOf(name), c.holder, b.Heal(settings.LeaseRatio)), calendarPacer: calendar.NewPlanner(), retirementPlanner: retire.NewPlanner()}
			c.services[name] = svc
			c.runPeriodically(ctx, func() {
				if err := svc.lease.Renew(ctx); err != nil {
					c.process.Log.Debug("no lease", "service", name, "error", err)
				}
			})
			c.runPeriodically(ctx, func() { c.reconcileService(svc) })
		}
	}
	for name, svc := range c.services {
		if _, ok := s.Config.Services[name]; !ok {
			svc.cancel() // the lease expires by itself
			delete(c.services, name)
		}
	}
}

// runPeriodically runs a step now and at every tick until ctx ends.
func (c *Controller) runPeriodically(ctx context.Context, step func()) {
	c.process.Go(func() {
		t := clock.NewTicker(c.process.Settings.Bounds.Heal(1.0 / 24))
		defer t.Stop()
		for ctx.Err() == nil {
			step()
			select {
			case <-ctx.Done():
			case <-t.C:
			}
		}
	})
}

// reconcileService is one step of a service's work.
func (c *Controller) reconcileService(svc *serviceController) {
	s := c.updates.Snapshot()
	config, ok := s.Config.Services[svc.name]
	fence, held := svc.lease.FencingToken()
	if !ok || !held {
		svc.document = nil
		return
	}
	if fence != svc.fencingToken {
		c.process.Log.Info("lease acquired", "service", svc.name, "fence", fence)
		svc.fencingToken, svc.document, svc.retirementPlanner = fence, nil, retire.NewPlanner()
	}
	var b errs.Batch
	b.Add("roll out weights", c.stepRollout(svc, s, svc.name, config))
	b.Add("place", c.updatePlacement(svc, s, svc.name, config))
	b.Add("calendar", c.stepCalendar(svc, s, svc.name))
	b.Add("retirement", c.stepRetirement(svc, s, svc.name))
	if err := b.Err(); err != nil {
		c.process.Log.Warn("service step failed", "service", svc.name, "error", errs.Text(err))
	}
}

func languageModelWorkers(s *updatestream.Snapshot, name string) []*wire.Worker {
	var l []*wire.Worker
	for _, w := range s.Workers {
		if w.Service == name && w.Kind == "lm" && w.State < updatestream.WorkerDraining {
			l = append(l, w)
		}
	}
	return l
}

// stepRollout advances the service to the named weights.
func (c *Controller) stepRollout(svc *serviceController, s *updatestream.Snapshot, name string, config serviceconfig.Service) error {
	ws := slices.DeleteFunc(languageModelWorkers(s, name), func(w *wire.Worker) bool { return w.Model != config.Model && w.Model != "" }) // others have another base model
	seen := s.Weights[config.Model]
	now := c.clock.Now()
	if svc.placement == nil {
		return nil // the stored placement isn't read yet
	}
	svc.rollout.AllAtOnce = config.Rollout == "at-once"
	since := func(w uint64) time.Duration { _, first, _ := seen.SupersededAt(w); return now - first }
	order, changed := svc.rollout.Step(ws, seen.Version, since, now, c.process.Settings.Bounds)
	var b errs.Batch
	b.Add("order", c.sendOrders(svc.lease, order, seen.Version))
	if changed {
		p := *svc.placement
		p.Cordoned, p.Reason = svc.rollout.Batch, "weights are being rolled out"
		b.Add("set aside", c.publishPlacement(svc, name, &p))
	}
	return b.Err()
}

// sendOrders orders workers to load weights, all at once: a silent worker delays no other. The lease
// is checked right before each order is sent, and none stays in flight for longer than from the
// lease's end on this machine until another may hold it.
func (c *Controller) sendOrders(lease *controlclient.Lease, ws []*wire.Worker, weights uint64) error {
	ctx, end := context.WithTimeout(c.process.Ctx, c.process.Settings.Bounds.Heal(settings.OrderTimeoutRatio))
	defer end()
	got := make(chan error, len(ws))
	for _, w := range ws {
		go func() {
			fence, ok := lease.FencingToken()
			if !ok {
				got <- nil // another may hold it soon
				return
			}
			got <- errs.Wrap(c.backends.Order(ctx, w.Addr, contract.Order{FencingToken: fence, Holder: lease.Holder, Kind: "weights", Weights: weights}), "order "+w.Name)
		}()
	}
	var b errs.Batch
	for range ws {
		b.Add("weights", <-got)
	}
	return b.Err()
}

func (c *Controller) updatePlacement(svc *serviceController, s *updatestream.Snapshot, name string, config serviceconfig.Service) error {
	now := c.clock.Now()
	b := c.process.Settings.Bounds
	if svc.document == nil { // a new holder: resume from the stored placement
		t, err := c.store.Read(c.process.Ctx, &wire.ReadRequest{Shard: controlclient.ShardOf(name), Key: "placement/" + name})
		if err != nil {
			return errs.Wrap(err, "read placement")
		}
		svc.document, svc.placement, svc.recomputedAt = &wire.Document{}, nil, 0
		if len(t.Documents) > 0 {
			svc.document = t.Documents[0]
			if svc.placement, err = placement.Read(svc.document.Body, svc.document.Version); err != nil {
				return errs.Wrap(err, "stored placement")
			}
			svc.rollout = Rollout{Batch: svc.placement.Cordoned, CordonedAt: now}
		}
	}
	ws := languageModelWorkers(s, name)
	if len(ws) == 0 {
		return nil
	}
	hot := c.hotEntries(name)
	var p *placement.Placement
	changed := true
	if names := workerNames(ws); svc.placement == nil || now-svc.recomputedAt > b.Heal(0.5) || !reflect.DeepEqual(names, svc.placement.Workers) || svc.placement.Mode != placementMode(config) {
		f := Inputs{Service: name, Mode: placementMode(config), FetchTolerance: config.FetchTolerance, Workers: names, HotEntries: hot, PrefillCurve: placement.Default(), Links: c.collectUsage().links}
		if f.FetchTolerance == 0 {
			f.FetchTolerance = 1
		}
		for _, w := range ws {
			if f.CapacityTokens == 0 || int(w.KvCapacity) < f.CapacityTokens {
				f.CapacityTokens = int(w.KvCapacity)
			}
		}
		p = Compute(f, svc.placement)
		p.Cordoned = svc.rollout.Batch
		svc.recomputedAt = now
		changed = svc.placement == nil || !reflect.DeepEqual(p.Replicated, svc.placement.Replicated) || !reflect.DeepEqual(p.Workers, svc.placement.Workers) || p.Mode != svc.placement.Mode || math.Abs(p.AdmissionFloor-svc.placement.AdmissionFloor) > 0.25*svc.placement.AdmissionFloor+0.05
	} else {
		p, changed = SwapInBurst(svc.placement, hot)
	}
	if !changed {
		return nil
	}
	return c.publishPlacement(svc, name, p)
}

func (c *Controller) publishPlacement(svc *serviceController, name string, p *placement.Placement) error {
	fence, ok := svc.lease.FencingToken()
	if !ok {
		return nil // the lease expired during the computation
	}
	p.FencingToken = fence
	body, err := json.Marshal(p)
	if err != nil {
		return errs.Wrap(err, "write placement")
	}
	put := &wire.Put{Key: "placement/" + name, Body: body, IfVersion: svc.document.Version, Lease: svc.lease.Name, Fence: fence, Holder: c.holder}
	t, err := c.store.Change(c.process.Ctx, &wire.ChangeRequest{Shard: controlclient.ShardOf(name), Command: &wire.Command{Kind: &wire.Command_Put{Put: put}}})
	if err != nil {
		svc.document = nil // read it again before the next attempt
		return errs.Wrap(err, "publish placement")
	}
	p.Version = t.Version
	svc.document, svc.placement = &wire.Document{Body: body, Version: t.Version}, p
	c.process.Log.Info("placement", "service", name, "epoch", t.Version, "fence", fence, "replicated", len(p.Replicated),
		"entries", p.Entries, "r_max", p.RMax, "b", p.FetchBandwidth, "why", p.Reason)
	return nil
}

func placementMode(s serviceconfig.Service) placement.Mode {
	if s.Placement == "" {
		return placement.ModeHRCS
	}
	return placement.Mode(s.Placement)
}

func workerNames(ws []*wire.Worker) []string {
	l := make([]string, 0, len(ws))
	for _, w := range ws {
		l = append(l, w.Name)
	}
	return l
}

// hotEntries gathers the hottest entries of all index nodes; two hold each, the higher count is used.
func (c *Controller) hotEntries(service string) []*wire.HotPrefix {
	var all []*wire.HottestResponse
	queryRole(c, clustermembership.RolePromptIndex, func(ctx context.Context, addr string) (*wire.HottestResponse, error) {
		return c.clients.PromptIndex(addr).Hottest(ctx, &wire.HottestRequest{Service: service, Limit: 1000})
	}, func(t *wire.HottestResponse) { all = append(all, t) })
	return promptindex.MergeHot(all)
}
