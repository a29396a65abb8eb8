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

// proofDomain is the wall of proofs: what they leave in a cache is nobody else's.
const proofDomain = "retire"

// keepPart is how often, of the bound on healing, workers are looked over while nothing is retired.
const keepPart = 1.0 / 6

// active reads the service's retirements and gives the one under way, with its document; or else what
// was retired before.
func (a *Appraiser) active(name string) (r *retire.Retirement, doc *wire.Document, gone []string, err error) {
	t, err := a.ctl.Read(a.life.Ctx, &wire.ReadRequest{Shard: controlclient.ShardOf(name), Key: retire.Key(name, ""), Prefix: true})
	if err != nil {
		return nil, nil, nil, errs.Wrap(err, "read retirements")
	}
	for _, d := range t.Documents {
		x, err := retire.Read(d.Body)
		if err != nil {
			return nil, nil, nil, errs.Wrap(err, d.Key)
		}
		if x.Active() && x.State != retire.Planned {
			return x, d, nil, nil
		}
		if x.State == retire.Done {
			gone = append(gone, x.From)
		}
	}
	return nil, nil, gone, nil
}

// retire carries the service's retirement on by one look. The setup is read first, then the
// retirement, then the nodes: whatever a late holder still does meets a later version of one of them.
func (a *Appraiser) retire(d *duty, s *updatestream.Snapshot, name string) error {
	r, _, gone, err := a.active(name)
	if err != nil {
		return err
	}
	if r == nil {
		a.held.Delete(name)
		return a.keep(d, s, name, gone)
	}
	a.held.Store(name, r.Nodes-r.Ready)
	if r.State == retire.Paused {
		return nil
	}
	t, err := a.ctl.Read(a.life.Ctx, &wire.ReadRequest{Key: controlclient.SetupKey})
	if err != nil || len(t.Documents) == 0 {
		return errs.Wrap(err, "read setup")
	}
	now, err := serviceconfig.Read(t.Documents[0].Body)
	if err != nil {
		return errs.Wrap(err, "setup in force")
	}
	r, doc, _, err := a.active(name)
	if err != nil || r == nil {
		return err
	}
	w := retire.World{Version: doc.Version, Setup: now, Follow: a.life.Place.Bounds.Setup(1)}
	var addr map[string]string
	w.Nodes, addr, w.Listed = a.nodes(name)
	w.Clock = a.clk.Now()
	all := a.seen()
	for n := range addr {
		w.Ok, w.Bad = w.Ok+all.ok[n], w.Bad+all.bad[n]
	}
	next, acts, changed := d.aging.Next(r, w)
	done, err := a.carry(d, next, acts, t.Documents[0].Version, addr)
	var b errs.Batch
	b.Note("act", err)
	if changed || done {
		b.Note("write "+r.Name, a.writeRetirement(d, doc, r, next))
	}
	return b.Look()
}

// keep loads what the service's workers lack of what the setup says, while nothing is retired, and lets
// go of what was.
func (a *Appraiser) keep(d *duty, s *updatestream.Snapshot, name string, gone []string) error {
	now := a.clk.Now()
	if len(s.Setup.Adapters) == 0 || d.kept != 0 && now-d.kept < a.life.Place.Bounds.Heal(keepPart) {
		return nil
	}
	d.kept = now
	nodes, addr, listed := a.nodes(name)
	if !listed {
		return nil
	}
	_, err := a.carry(d, nil, retire.Keep(s.Setup, name, nodes, gone), 0, addr)
	return err
}

// nodes asks the platform for the service's workers, and each of them for its state, all at once.
func (a *Appraiser) nodes(name string) (l []retire.Node, addr map[string]string, listed bool) {
	ctx, end := context.WithTimeout(a.life.Ctx, a.life.Place.Bounds.Heal(1.0/48))
	defer end()
	all, err := a.be.List(ctx, a.life.Place.Rank)
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
			st, err := a.be.State(ctx, x.Addr)
			n := retire.Node{Name: x.Name}
			if err == nil && st.Name == x.Name {
				n = retire.Node{Name: x.Name, Life: st.Incarnation, Answers: true, Draining: st.Draining || x.Draining, Holds: st.Holds(),
					Loading: st.Loading, Room: st.Room, Free: st.Free}
			}
			mu.Lock()
			defer mu.Unlock()
			l = append(l, n)
		})
	}
	wg.Wait()
	return l, addr, true
}

// carry makes the acts, those to nodes all at once, and writes into the retirement what was
// acknowledged; done tells whether there was any. The lease is looked at right before each act, and none
// is waited for longer than an order is.
func (a *Appraiser) carry(d *duty, r *retire.Retirement, acts []retire.Act, version uint64, addr map[string]string) (done bool, err error) {
	ctx, end := context.WithTimeout(a.life.Ctx, a.life.Place.Bounds.Heal(settings.OrderPart))
	defer end()
	var wg sync.WaitGroup
	var mu sync.Mutex
	var b errs.Batch
	for _, x := range acts {
		wg.Go(func() {
			fence, ok := d.lease.Held()
			if !ok {
				return // another may hold it soon
			}
			var err error
			switch {
			case x.Patch != nil:
				put := &wire.Put{Key: controlclient.SetupKey, Body: x.Patch, IfVersion: version}
				_, err = a.ctl.Change(ctx, &wire.ChangeRequest{Patch: true, Command: &wire.Command{Kind: &wire.Command_Put{Put: put}}})
			case x.Order != nil:
				x.Order.Fence, x.Order.Holder = fence, d.lease.Holder
				err = a.be.Order(ctx, addr[x.Node], *x.Order)
			default:
				err = a.prove(ctx, r, x, addr[x.Node])
			}
			mu.Lock()
			defer mu.Unlock()
			switch {
			case err != nil && x.Prove != nil:
				d.aging.Unproved(x.Node, err.Error())
			case err != nil:
				b.Note("retire "+x.Node, err)
			case x.Patch != nil:
				r.Patched()
				done = true
			case x.Prove != nil:
				r.Proved(x.Node, x.Life, *x.Prove)
				done = true
			case r != nil && x.Order.Kind == "unload":
				r.Told(x.Node, x.Order.Incarnation)
				done = true
			}
		})
	}
	wg.Wait()
	return done, b.Look()
}

// prove sends a node one real request under its base and each adapter, and checks every answer to
// its seal, which names what answered.
func (a *Appraiser) prove(ctx context.Context, r *retire.Retirement, x retire.Act, addr string) error {
	for i, l := range append([]retire.Load{{}}, x.Prove.Adapters...) {
		s := contract.Start{RequestID: fmt.Sprintf("retire/%s/%s/%x/%d", r.Name, x.Node, a.clk.Now(), i), Domain: proofDomain, Model: x.Prove.Base, Weights: x.Prove.Weights,
			Adapter: l.Name, Build: l.Build, Parts: []string{"proof"}, Pieces: 1, WaitMs: int(a.life.Place.Bounds.Heal(settings.OrderPart) / time.Millisecond), Incarnation: x.Life}
		if err := a.answers(ctx, addr, x.Node, s); err != nil {
			return errs.Wrap(err, strings.TrimSpace("base model "+x.Prove.Base+" "+l.Name))
		}
	}
	return nil
}

func (a *Appraiser) answers(ctx context.Context, addr, node string, s contract.Start) error {
	g := a.be.Begin(ctx, addr, s, nil)
	if g.Err != nil {
		return g.Err
	}
	defer g.Body.Close()
	c, b := contract.NewCheck(s.RequestID, node), bufio.NewReaderSize(g.Body, contract.MaxLine)
	for {
		line, err := b.ReadSlice('\n')
		if errors.Is(err, io.EOF) && len(line) == 0 {
			break
		}
		if err != nil {
			return errs.As(err, errs.Inside, "read answer")
		}
		if why := c.Line(line); why != "" {
			return errs.New(errs.Inside, "%s", why)
		}
	}
	if l := c.Last; l == nil || l.N != s.Pieces || l.Model != s.Model || l.Weights != s.Weights || l.Adapter != s.Adapter || l.Build != s.Build {
		return errs.New(errs.Inside, "its answer isn't sealed under what was asked for")
	}
	return nil
}

func (a *Appraiser) writeRetirement(d *duty, doc *wire.Document, was, r *retire.Retirement) error {
	fence, ok := d.lease.Held()
	if !ok {
		return nil
	}
	body, err := r.Write()
	if err != nil {
		return err
	}
	put := &wire.Put{Key: doc.Key, Body: body, IfVersion: doc.Version, Lease: d.lease.Duty, Fence: fence, Holder: a.holder}
	_, err = a.ctl.Change(a.life.Ctx, &wire.ChangeRequest{Shard: controlclient.ShardOf(r.Service), Command: &wire.Command{Kind: &wire.Command_Put{Put: put}}})
	if err == nil && (was.State != r.State || was.Phase != r.Phase || was.Share != r.Share) {
		held := ""
		for _, h := range r.Holds[:min(1, len(r.Holds))] {
			held = h.Node + ": " + h.Why
		}
		a.life.Log.Info("retirement", "name", r.Name, "service", r.Service, "state", r.State, "phase", r.Phase, "ready", r.Ready, "nodes", r.Nodes, "why", r.Why, "held_by", held)
	}
	return errs.Wrap(err, "write retirement")
}
