package placementcontroller

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"pebbleloom/internal/contract"
	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/control/retire"
	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/data/updatestream"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// proofDomain is the cache domain of proofs: no other request reads what they leave in a cache.
const proofDomain = "retire"

// repairIntervalRatio is the interval of repairs while nothing is being retired, as a ratio of the heal bound.
const repairIntervalRatio = 1.0 / 6

// activeRetirement reads the service's retirements and returns the active one with its document, or
// else the base models that were retired before.
func (c *Controller) activeRetirement(name string) (r *retire.Retirement, doc *wire.Document, gone []string, err error) {
	t, err := c.store.Read(c.process.Ctx, &wire.ReadRequest{Shard: controlclient.ShardOf(name), Key: retire.Key(name, ""), Prefix: true})
	if err != nil {
		return nil, nil, nil, errs.Wrap(err, "read retirements")
	}
	for _, svc := range t.Documents {
		x, err := retire.Read(svc.Body)
		if err != nil {
			return nil, nil, nil, errs.Wrap(err, svc.Key)
		}
		if x.Active() && x.State != retire.StatePlanned {
			return x, svc, nil, nil
		}
		if x.State == retire.StateDone {
			gone = append(gone, x.OldBase)
		}
	}
	return nil, nil, gone, nil
}

// stepRetirement advances the service's retirement by one step. The service configuration is read
// first, then the retirement, then the nodes: whatever a past holder still does meets a later version
// of one of them.
func (c *Controller) stepRetirement(svc *serviceController, s *updatestream.Snapshot, name string) error {
	r, _, gone, err := c.activeRetirement(name)
	if err != nil {
		return err
	}
	if r == nil {
		c.blockedNodes.Delete(name)
		return c.repairWorkers(svc, s, name, gone)
	}
	c.blockedNodes.Store(name, r.Nodes-r.Ready)
	if r.State == retire.StatePaused {
		return nil
	}
	t, err := c.store.Read(c.process.Ctx, &wire.ReadRequest{Key: controlclient.ConfigKey})
	if err != nil || len(t.Documents) == 0 {
		return errs.Wrap(err, "read service configuration")
	}
	now, err := serviceconfig.Decode(t.Documents[0].Body)
	if err != nil {
		return errs.Wrap(err, "service configuration in force")
	}
	r, doc, _, err := c.activeRetirement(name)
	if err != nil || r == nil {
		return err
	}
	w := retire.Observation{Version: doc.Version, Config: now, MaxConfigAge: c.process.Settings.Bounds.Config(1)}
	var addr map[string]string
	w.Nodes, addr, w.WorkersListed = c.observeWorkers(name)
	w.Now = c.clock.Now()
	all := c.collectUsage()
	for n := range addr {
		w.Succeeded, w.Failed = w.Succeeded+all.succeeded[n], w.Failed+all.failed[n]
	}
	next, acts, changed := svc.retirementPlanner.Next(r, w)
	done, err := c.executeActions(svc, next, acts, t.Documents[0].Version, addr)
	var b errs.Batch
	b.Add("act", err)
	if changed || done {
		b.Add("write "+r.Name, c.writeRetirement(svc, doc, r, next))
	}
	return b.Err()
}

// repairWorkers loads what the service's workers lack of the service configuration while nothing is
// being retired, and unloads what was retired.
func (c *Controller) repairWorkers(svc *serviceController, s *updatestream.Snapshot, name string, gone []string) error {
	now := c.clock.Now()
	if len(s.Config.Adapters) == 0 || svc.repairedAt != 0 && now-svc.repairedAt < c.process.Settings.Bounds.Heal(repairIntervalRatio) {
		return nil
	}
	svc.repairedAt = now
	nodes, addr, listed := c.observeWorkers(name)
	if !listed {
		return nil
	}
	_, err := c.executeActions(svc, nil, retire.Repair(s.Config, name, nodes, gone), 0, addr)
	return err
}

// observeWorkers asks the platform for the service's workers, and each of them for its state, all at
// once.
func (c *Controller) observeWorkers(name string) (l []retire.Node, addr map[string]string, listed bool) {
	ctx, end := context.WithTimeout(c.process.Ctx, c.process.Settings.Bounds.Heal(1.0/48))
	defer end()
	all, err := c.backends.List(ctx, c.process.Settings.WorkerList)
	if err != nil {
		return nil, nil, false
	}
	addr = map[string]string{}
	var wg sync.WaitGroup
	var mu sync.Mutex
	for _, x := range all {
		if x.Service != name || x.Kind != "lm" {
			continue
		}
		addr[x.Name] = x.Addr
		wg.Go(func() {
			st, err := c.backends.State(ctx, x.Addr)
			n := retire.Node{Name: x.Name}
			if err == nil && st.Name == x.Name {
				n = retire.Node{Name: x.Name, Incarnation: st.Incarnation, Reachable: true, Draining: st.Draining || x.Draining, Loaded: st.LoadedModels(),
					Loading: st.Loading, MemoryMB: st.WeightMemoryMB, FreeMB: st.FreeWeightMemoryMB}
			}
			mu.Lock()
			defer mu.Unlock()
			l = append(l, n)
		})
	}
	wg.Wait()
	return l, addr, true
}

// executeActions performs the actions, those on nodes all at once, and records in the retirement what was
// acknowledged; done reports whether there was any. The lease is checked right before each action, and
// none may take longer than an order.
func (c *Controller) executeActions(svc *serviceController, r *retire.Retirement, acts []retire.Action, version uint64, addr map[string]string) (done bool, err error) {
	ctx, end := context.WithTimeout(c.process.Ctx, c.process.Settings.Bounds.Heal(settings.OrderTimeoutRatio))
	defer end()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var b errs.Batch
	for _, x := range acts {
		wg.Go(func() {
			fence, ok := svc.lease.FencingToken()
			if !ok {
				return // another machine may hold it soon
			}
			var err error
			switch {
			case x.Patch != nil:
				put := &wire.Put{Key: controlclient.ConfigKey, Body: x.Patch, IfVersion: version}
				_, err = c.store.Change(ctx, &wire.ChangeRequest{Patch: true, Command: &wire.Command{Kind: &wire.Command_Put{Put: put}}})
			case x.Order != nil:
				x.Order.FencingToken, x.Order.Holder = fence, svc.lease.Holder
				err = c.backends.Order(ctx, addr[x.Node], *x.Order)
			default:
				err = c.proveNode(ctx, r, x, addr[x.Node])
			}
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil && x.ProofSet != nil:
				svc.retirementPlanner.RecordFailedProof(x.Node, err.Error())
			case err != nil:
				b.Add("retire "+x.Node, err)
			case x.Patch != nil:
				r.RecordPatch()
				done = true
			case x.ProofSet != nil:
				r.RecordProof(x.Node, x.Incarnation, *x.ProofSet)
				done = true
			case r != nil && x.Order.Kind == "unload":
				r.RecordUnload(x.Node, x.Order.Incarnation)
				done = true
			}
		})
	}
	wg.Wait()
	return done, b.Err()
}

// proveNode sends a node one real request under its base and each adapter, and checks every answer to its
// seal, which names the weights that answered.
func (c *Controller) proveNode(ctx context.Context, r *retire.Retirement, x retire.Action, addr string) error {
	for i, l := range append([]retire.AdapterBuild{{}}, x.ProofSet.Adapters...) {
		s := contract.StartRequest{RequestID: fmt.Sprintf("retire/%s/%s/%x/%d", r.Name, x.Node, c.clock.Now(), i), CacheDomain: proofDomain, Model: x.ProofSet.Base, Weights: x.ProofSet.Weights,
			Adapter: l.Name, Build: l.Build, Parts: []string{"proof"}, Chunks: 1, WaitMs: int(c.process.Settings.Bounds.Heal(settings.OrderTimeoutRatio) / time.Millisecond), Incarnation: x.Incarnation}
		if err := c.verifyAnswer(ctx, addr, x.Node, s); err != nil {
			return errs.Wrap(err, strings.TrimSpace("base model "+x.ProofSet.Base+" "+l.Name))
		}
	}
	return nil
}

// verifyAnswer sends one request and checks the answer to its seal.
func (c *Controller) verifyAnswer(ctx context.Context, addr, node string, s contract.StartRequest) error {
	g := c.backends.Start(ctx, addr, s, nil)
	if g.Err != nil {
		return g.Err
	}
	defer g.Body.Close()
	check, b := contract.NewStreamVerifier(s.RequestID, node), bufio.NewReaderSize(g.Body, contract.MaxLineBytes)
	for {
		line, err := b.ReadSlice('\n')
		if errors.Is(err, io.EOF) && len(line) == 0 {
			break
		}
		if err != nil {
			return errs.WrapAs(err, errs.Internal, "read answer")
		}
		if why := check.Verify(line); why != "" {
			return errs.New(errs.Internal, "%s", why)
		}
	}
	if l := check.Sealed; l == nil || l.Number != s.Chunks || l.Model != s.Model || l.Weights != s.Weights || l.Adapter != s.Adapter || l.Build != s.Build {
		return errs.New(errs.Internal, "its answer isn't sealed under what was asked for")
	}
	return nil
}

func (c *Controller) writeRetirement(svc *serviceController, doc *wire.Document, was, r *retire.Retirement) error {
	fence, ok := svc.lease.FencingToken()
	if !ok {
		return nil
	}
	body, err := r.Write()
	if err != nil {
		return err
	}
	put := &wire.Put{Key: doc.Key, Body: body, IfVersion: doc.Version, Lease: svc.lease.Name, Fence: fence, Holder: c.holder}
	_, err = c.store.Change(c.process.Ctx, &wire.ChangeRequest{Shard: controlclient.ShardOf(r.Service), Command: &wire.Command{Kind: &wire.Command_Put{Put: put}}})
	if err == nil && (was.State != r.State || was.Phase != r.Phase || was.TrafficStep != r.TrafficStep) {
		held := ""
		for _, h := range r.Blockers[:min(1, len(r.Blockers))] {
			held = h.Node + ": " + h.Reason
		}
		c.process.Log.Info("retirement", "name", r.Name, "service", r.Service, "state", r.State, "phase", r.Phase, "ready", r.Ready, "nodes", r.Nodes, "why", r.Reason, "held_by", held)
	}
	return errs.Wrap(err, "write retirement")
}
