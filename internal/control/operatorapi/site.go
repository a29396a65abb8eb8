package operatorapi

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"

	"github.com/go-faster/jx"

	"pebbleloom/api/operator"
	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/data/placement"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/queue"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// siteDesk answers operators of a site whose membership is agreed data. All control state lives
// in part 0 there, and the plan is the site's setup, in the form in which it was sent.
type siteDesk struct {
	*Desk
	site *settings.Site
	name string // of this node
	plan func(body []byte) (*routingconfig.Plan, error)
}

// ServeSite serves the operator's API of a site whose membership is agreed data. It costs a
// listener until the first question.
//
// Example: err := frontdesk.ServeSite(life, control, member.View, calls, codec.Read)
func ServeSite(l *daemon.Process, ctl *controlclient.Client, view func() clustermembership.View, calls *daemon.Clients, read func([]byte) (*routingconfig.Plan, error)) error {
	d := &siteDesk{&Desk{ctl, view, calls, l.Place.Bounds, routingconfig.Key}, l.Place.Site, "archive/" + l.Place.Name, read}
	api := sync.OnceValues(func() (http.Handler, error) {
		s, err := operator.NewServer(d)
		return http.MaxBytesHandler(s, 2*serviceconfig.MaxBytes), err
	})
	return l.Serve(l.Place.Operator, keyed(l.Place.OpKey, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h, err := api()
		if err != nil {
			l.Log.Error("operator API", "error", err)
			http.Error(w, err.Error(), errs.Inside.HTTP)
			return
		}
		h.ServeHTTP(w, r)
	})))
}

// notHere is the answer to what such a site doesn't have.
func notHere(what, instead string) error {
	return errs.New(errs.NotHere, "a site whose membership is agreed has no %s: %s", what, instead)
}

// doc reads one document by majority; nil: there is none. The leases are those in force with it.
func (d *siteDesk) doc(ctx context.Context, key string) (*wire.Document, []*wire.Lease, error) {
	t, err := d.ctl.Read(ctx, &wire.ReadRequest{Key: key})
	if err != nil {
		return nil, nil, errs.Wrap(err, "read "+key)
	}
	for _, x := range t.Documents {
		if x.Key == key {
			return x, t.Leases, nil
		}
	}
	return nil, t.Leases, nil
}

// read fills v with one document, and gives its version; 0: there is none.
func (d *siteDesk) read(ctx context.Context, key string, v any) (uint64, error) {
	x, _, err := d.doc(ctx, key)
	if err == nil && x != nil {
		err = errs.Wrap(json.Unmarshal(x.Body, v), "read "+key)
	}
	return x.GetVersion(), err
}

// NameWeights names a version of a model's weights.
//
// Example: POST /v1/weights {"model": "lector", "weights": 4}
func (d *siteDesk) NameWeights(ctx context.Context, q *operator.Weights) (*operator.Changed, error) {
	var w fleet.Weights
	version, err := d.read(ctx, fleet.WeightsKey, &w)
	if err != nil {
		return nil, err
	}
	switch have, v := w.Named[q.Model], uint64(q.Weights); {
	case have == v:
		return &operator.Changed{Epoch: int64(version), Outcome: wire.OutcomeDone, Note: operator.NewOptString("these weights are named already")}, nil
	case have > v:
		return nil, errs.New(errs.BadInput, "weights %d are older than %d, which are named: name a later version", v, have)
	}
	if w.Named == nil {
		w.Named = map[string]uint64{}
	}
	w.Named[q.Model] = uint64(q.Weights)
	body, err := json.Marshal(w)
	if err != nil {
		return nil, errs.Wrap(err, "write the weights that are named")
	}
	t, err := d.ctl.Change(ctx, &wire.ChangeRequest{Command: &wire.Command{Kind: &wire.Command_Put{Put: &wire.Put{
		Key: fleet.WeightsKey, Body: body, IfVersion: version, Token: q.Token.Or("")}}}})
	if err != nil {
		return nil, errs.Wrap(err, "name weights")
	}
	return &operator.Changed{Epoch: int64(t.Version), Outcome: t.Outcome}, nil
}

// ListNodes lists the nodes as this one sees them.
//
// Example: GET /v1/nodes
func (d *siteDesk) ListNodes(context.Context) (*operator.NodeList, error) {
	l := &operator.NodeList{SeenBy: d.name, Nodes: []operator.NodeListNodesItem{}}
	for _, n := range d.view().Nodes {
		x := operator.NodeListNodesItem{Name: n.Name, Role: n.Role, District: n.District, Addr: n.Addr,
			State: [...]string{"alive", "suspect", "gone", "left"}[min(n.State, 3)], Incarnation: fmt.Sprint(n.Incarnation)}
		if n.Operator != "" {
			x.Operator = operator.NewOptString(n.Operator)
		}
		l.Nodes = append(l.Nodes, x)
	}
	slices.SortFunc(l.Nodes, func(a, b operator.NodeListNodesItem) int { return strings.Compare(a.Name, b.Name) })
	return l, nil
}

// staff is what the documents tell of the workers.
type staff struct {
	workers []fleet.Worker
	version uint64            // of the list; 0: it was never read
	named   map[string]uint64 // weights
	aside   map[string]bool   // whom a placement sets aside while weights are rolled out
	leases  []*wire.Lease
}

func (d *siteDesk) staff(ctx context.Context) (*staff, error) {
	s := &staff{aside: map[string]bool{}}
	var t fleet.Table
	var w fleet.Weights
	var err error
	if s.version, err = d.read(ctx, fleet.WorkersKey, &t); err != nil {
		return nil, err
	}
	if _, err := d.read(ctx, fleet.WeightsKey, &w); err != nil {
		return nil, err
	}
	ps, err := d.ctl.Read(ctx, &wire.ReadRequest{Key: fleet.PlacementKey, Prefix: true})
	if err != nil {
		return nil, errs.Wrap(err, "read placements")
	}
	for _, x := range ps.Documents {
		p, err := placement.Read(x.Body, x.Version)
		if err != nil {
			return nil, errs.Wrap(err, x.Key)
		}
		for _, id := range p.Rolling {
			s.aside[id] = true
		}
	}
	s.workers, s.named, s.leases = t.Workers, w.Named, ps.Leases
	return s, nil
}

// behind names a model of which a worker serves older weights than are named; "": none.
func (s *staff) behind(w fleet.Worker) string {
	for _, m := range queue.Keys(w.Weights) {
		if w.Weights[m] < s.named[m] {
			return m
		}
	}
	return ""
}

func (s *staff) state(w fleet.Worker) string {
	switch {
	case w.Draining:
		return "draining"
	case s.aside[w.ID]:
		return "rolling"
	case s.behind(w) != "":
		return "behind"
	}
	return "up"
}

// ListWorkers lists the workers that the control state holds, by majority. A worker's weights are
// those of the model that is furthest behind what is named.
//
// Example: GET /v1/workers
func (d *siteDesk) ListWorkers(ctx context.Context) (*operator.WorkerList, error) {
	s, err := d.staff(ctx)
	if err != nil {
		return nil, err
	}
	l := &operator.WorkerList{SeenBy: "the control state", Workers: []operator.WorkerListWorkersItem{}}
	for _, w := range s.workers {
		x := operator.WorkerListWorkersItem{Name: w.ID, Addr: w.Addr, Service: w.Service, District: w.District,
			State: s.state(w), Incarnation: operator.NewOptString(w.ID), Slots: w.Slots}
		m := s.behind(w)
		if ms := queue.Keys(w.Weights); m == "" && len(ms) > 0 {
			m = ms[0]
		}
		x.Weights = int64(w.Weights[m])
		l.Workers = append(l.Workers, x)
	}
	if len(s.named) > 0 {
		m := operator.WorkerListNamed{}
		for k, v := range s.named {
			m[k] = int64(v)
		}
		l.Named = operator.NewOptWorkerListNamed(m)
	}
	return l, nil
}

// GetPlacement reads a service's placement by majority.
//
// Example: GET /v1/placements/appraisals
func (d *siteDesk) GetPlacement(ctx context.Context, q operator.GetPlacementParams) (*operator.PlacementInForce, error) {
	x, _, err := d.doc(ctx, fleet.PlacementKey+q.Service)
	if err != nil {
		return nil, err
	}
	if x == nil {
		return nil, errs.New(errs.NotFound, "no placement for service %q yet", q.Service)
	}
	return &operator.PlacementInForce{Epoch: int64(x.Version), Placement: jx.Raw(x.Body)}, nil
}

// RevokeKey isn't done by itself here.
//
// Example: POST /v1/keys/revoke answers not-here
func (d *siteDesk) RevokeKey(context.Context, *operator.Revoke) (*operator.Changed, error) {
	return nil, notHere("command for one key", "send the tenant without the key: desk setup patch --file PART --if-epoch N")
}

// Drain isn't decided here.
//
// Example: POST /v1/drain answers not-here
func (d *siteDesk) Drain(context.Context, *operator.Drain) (*operator.Changed, error) {
	return nil, notHere("drain of its own", "have the platform's list of workers mark the worker, and see desk workers")
}

const noMoves = "name weights with desk weights name, change the plan with desk setup patch"

// ListMoves has nothing to list here.
//
// Example: GET /v1/calendar answers not-here
func (d *siteDesk) ListMoves(context.Context) (*operator.Moves, error) {
	return nil, notHere("calendar", noMoves)
}

// WriteMove has no calendar to write to here.
//
// Example: POST /v1/calendar answers not-here
func (d *siteDesk) WriteMove(context.Context, *operator.NewMove) (*operator.Changed, error) {
	return nil, notHere("calendar", noMoves)
}

// AskMove has no move to ask for here.
//
// Example: POST /v1/calendar/lector-main/spring/pause answers not-here
func (d *siteDesk) AskMove(context.Context, operator.AskMoveParams) (*operator.Changed, error) {
	return nil, notHere("calendar", noMoves)
}

const noRetirements = "name the new model's weights with desk weights name, and move its routes with desk setup patch"

// ListRetirements has nothing to list here.
//
// Example: GET /v1/retirements answers not-here
func (d *siteDesk) ListRetirements(context.Context) (*operator.Retirements, error) {
	return nil, notHere("retirement of base models", noRetirements)
}

// PlanRetirement has nothing to plan here.
//
// Example: POST /v1/retirements answers not-here
func (d *siteDesk) PlanRetirement(context.Context, *operator.NewRetirement) (*operator.Changed, error) {
	return nil, notHere("retirement of base models", noRetirements)
}

// AskRetirement has no retirement to ask for here.
//
// Example: POST /v1/retirements/lector-main/spring/start answers not-here
func (d *siteDesk) AskRetirement(context.Context, operator.AskRetirementParams) (*operator.Changed, error) {
	return nil, notHere("retirement of base models", noRetirements)
}

// Explain has nobody to ask here: edges remember no requests.
//
// Example: GET /v1/explain/r1 answers not-here
func (d *siteDesk) Explain(context.Context, operator.ExplainParams) (*operator.Explained, error) {
	return nil, notHere("memory of single requests", "see the edges' logs and /metrics at their internal address (desk nodes)")
}
