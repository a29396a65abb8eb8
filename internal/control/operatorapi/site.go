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

// siteServer handles operators' requests on a site with consensus-managed membership. All control
// state is in shard 0 there, and the plan is the site's configuration, in the form in which it was
// sent.
type siteServer struct {
	*Server
	site       *settings.Site
	name       string // of this node
	decodePlan func(body []byte) (*routingconfig.Plan, error)
}

// ServeSite serves the operator's API of such a site. Until the first request it costs one listener.
//
// Example: err := operatorapi.ServeSite(process, control, member.View, clients, codec.Read)
func ServeSite(process *daemon.Process, ctl *controlclient.Client, view func() clustermembership.View, calls *daemon.Clients, read func([]byte) (*routingconfig.Plan, error)) error {
	s := &siteServer{&Server{ctl, view, calls, process.Settings.Bounds, routingconfig.DocumentKey}, process.Settings.Site, clustermembership.RoleControlNode + "/" + process.Settings.Name, read}
	api := sync.OnceValues(func() (http.Handler, error) {
		handler, err := operator.NewServer(s)
		return http.MaxBytesHandler(handler, 2*serviceconfig.MaxBytes), err
	})
	return process.Serve(process.Settings.Operator, requireKey(process.Settings.OperatorKey, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h, err := api()
		if err != nil {
			process.Log.Error("operator API", "error", err)
			http.Error(w, err.Error(), errs.Internal.HTTPStatus)
			return
		}
		h.ServeHTTP(w, r)
	})))
}

// unsupported is the error for what such a site doesn't have.
func unsupported(what, instead string) error {
	return errs.New(errs.NotSupported, "a site whose membership is agreed has no %s: %s", what, instead)
}

// readDocument reads one document by majority; nil if there is none. The leases are those in force
// with it.
func (s *siteServer) readDocument(ctx context.Context, key string) (*wire.Document, []*wire.Lease, error) {
	t, err := s.control.Read(ctx, &wire.ReadRequest{Key: key})
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

// readJSON decodes one document into v and returns its version; 0 if there is none.
func (s *siteServer) readJSON(ctx context.Context, key string, v any) (uint64, error) {
	x, _, err := s.readDocument(ctx, key)
	if err == nil && x != nil {
		err = errs.Wrap(json.Unmarshal(x.Body, v), "read "+key)
	}
	return x.GetVersion(), err
}

// NameWeights names a version of a model's weights.
//
// Example: POST /v1/weights {"model": "lector", "weights": 4}
func (s *siteServer) NameWeights(ctx context.Context, q *operator.Weights) (*operator.Changed, error) {
	var w fleet.Weights
	version, err := s.readJSON(ctx, fleet.WeightsKey, &w)
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
		return nil, errs.Wrap(err, "encode named weights")
	}
	t, err := s.control.Change(ctx, &wire.ChangeRequest{Command: &wire.Command{Kind: &wire.Command_Put{Put: &wire.Put{
		Key: fleet.WeightsKey, Body: body, IfVersion: version, Token: q.Token.Or("")}}}})
	if err != nil {
		return nil, errs.Wrap(err, "name weights")
	}
	return &operator.Changed{Epoch: int64(t.Version), Outcome: t.Outcome}, nil
}

// ListNodes lists the nodes as this one sees them.
//
// Example: GET /v1/nodes
func (s *siteServer) ListNodes(context.Context) (*operator.NodeList, error) {
	l := &operator.NodeList{SeenBy: s.name, Nodes: []operator.NodeListNodesItem{}}
	for _, n := range s.view().Nodes {
		x := operator.NodeListNodesItem{Name: n.Name, Role: n.Role, District: n.Zone, Addr: n.Addr,
			State: [...]string{"alive", "suspect", "gone", "left"}[min(n.State, 3)], Incarnation: fmt.Sprint(n.Incarnation)}
		if n.Operator != "" {
			x.Operator = operator.NewOptString(n.Operator)
		}
		l.Nodes = append(l.Nodes, x)
	}
	slices.SortFunc(l.Nodes, func(a, b operator.NodeListNodesItem) int { return strings.Compare(a.Name, b.Name) })
	return l, nil
}

// workerState is what the documents hold about the workers.
type workerState struct {
	workers  []fleet.Worker
	version  uint64            // of the list; 0: it was never read
	named    map[string]uint64 // weights
	setAside map[string]bool   // workers that a placement sets aside during a rollout
	leases   []*wire.Lease
}

func (s *siteServer) readWorkers(ctx context.Context) (*workerState, error) {
	state := &workerState{setAside: map[string]bool{}}
	var t fleet.WorkerList
	var w fleet.Weights
	var err error
	if state.version, err = s.readJSON(ctx, fleet.WorkersKey, &t); err != nil {
		return nil, err
	}
	if _, err := s.readJSON(ctx, fleet.WeightsKey, &w); err != nil {
		return nil, err
	}
	ps, err := s.control.Read(ctx, &wire.ReadRequest{Key: fleet.PlacementKey, Prefix: true})
	if err != nil {
		return nil, errs.Wrap(err, "read placements")
	}
	for _, x := range ps.Documents {
		p, err := placement.Read(x.Body, x.Version)
		if err != nil {
			return nil, errs.Wrap(err, x.Key)
		}
		for _, id := range p.Cordoned {
			state.setAside[id] = true
		}
	}
	state.workers, state.named, state.leases = t.Workers, w.Named, ps.Leases
	return state, nil
}

// outdatedModel returns a model of which a worker serves older weights than are named; "" if none.
func (s *workerState) outdatedModel(w fleet.Worker) string {
	for _, m := range queue.Keys(w.Weights) {
		if w.Weights[m] < s.named[m] {
			return m
		}
	}
	return ""
}

func (s *workerState) state(w fleet.Worker) string {
	switch {
	case w.Draining:
		return "draining"
	case s.setAside[w.ID]:
		return "rolling"
	case s.outdatedModel(w) != "":
		return "behind"
	}
	return "up"
}

// ListWorkers lists the workers that the control state holds, by majority. A worker's weights are
// those of the model that lags most behind the named ones.
//
// Example: GET /v1/workers
func (s *siteServer) ListWorkers(ctx context.Context) (*operator.WorkerList, error) {
	workers, err := s.readWorkers(ctx)
	if err != nil {
		return nil, err
	}
	l := &operator.WorkerList{SeenBy: "the control state", Workers: []operator.WorkerListWorkersItem{}}
	for _, w := range workers.workers {
		x := operator.WorkerListWorkersItem{Name: w.ID, Addr: w.Addr, Service: w.Service, District: w.Zone,
			State: workers.state(w), Incarnation: operator.NewOptString(w.ID), Slots: w.Slots}
		m := workers.outdatedModel(w)
		if ms := queue.Keys(w.Weights); m == "" && len(ms) > 0 {
			m = ms[0]
		}
		x.Weights = int64(w.Weights[m])
		l.Workers = append(l.Workers, x)
	}
	if len(workers.named) > 0 {
		m := operator.WorkerListNamed{}
		for k, v := range workers.named {
			m[k] = int64(v)
		}
		l.Named = operator.NewOptWorkerListNamed(m)
	}
	return l, nil
}

// GetPlacement reads a service's placement by majority.
//
// Example: GET /v1/placements/appraisals
func (s *siteServer) GetPlacement(ctx context.Context, q operator.GetPlacementParams) (*operator.PlacementInForce, error) {
	x, _, err := s.readDocument(ctx, fleet.PlacementKey+q.Service)
	if err != nil {
		return nil, err
	}
	if x == nil {
		return nil, errs.New(errs.NotFound, "no placement for service %q yet", q.Service)
	}
	return &operator.PlacementInForce{Epoch: int64(x.Version), Placement: jx.Raw(x.Body)}, nil
}

// RevokeKey isn't supported here.
//
// Example: POST /v1/keys/revoke answers not-here
func (s *siteServer) RevokeKey(context.Context, *operator.Revoke) (*operator.Changed, error) {
	return nil, unsupported("command for one key", "send the tenant without the key: pebblectl config patch --file PART --if-epoch N")
}

// Drain isn't supported here.
//
// Example: POST /v1/drain answers not-here
func (s *siteServer) Drain(context.Context, *operator.Drain) (*operator.Changed, error) {
	return nil, unsupported("drain of its own", "have the platform's list of workers mark the worker, and see pebblectl workers")
}

const insteadOfMoves = "name weights with pebblectl weights name, change the plan with pebblectl config patch"

// ListMoves isn't supported here.
//
// Example: GET /v1/calendar answers not-here
func (s *siteServer) ListMoves(context.Context) (*operator.Moves, error) {
	return nil, unsupported("calendar", insteadOfMoves)
}

// WriteMove isn't supported here.
//
// Example: POST /v1/calendar answers not-here
func (s *siteServer) WriteMove(context.Context, *operator.NewMove) (*operator.Changed, error) {
	return nil, unsupported("calendar", insteadOfMoves)
}

// AskMove isn't supported here.
//
// Example: POST /v1/calendar/lector-main/spring/pause answers not-here
func (s *siteServer) AskMove(context.Context, operator.AskMoveParams) (*operator.Changed, error) {
	return nil, unsupported("calendar", insteadOfMoves)
}

const insteadOfRetirements = "name the new model's weights with pebblectl weights name, and move its routes with pebblectl config patch"

// ListRetirements isn't supported here.
//
// Example: GET /v1/retirements answers not-here
func (s *siteServer) ListRetirements(context.Context) (*operator.Retirements, error) {
	return nil, unsupported("retirement of base models", insteadOfRetirements)
}

// PlanRetirement isn't supported here.
//
// Example: POST /v1/retirements answers not-here
func (s *siteServer) PlanRetirement(context.Context, *operator.NewRetirement) (*operator.Changed, error) {
	return nil, unsupported("retirement of base models", insteadOfRetirements)
}

// AskRetirement isn't supported here.
//
// Example: POST /v1/retirements/lector-main/spring/start answers not-here
func (s *siteServer) AskRetirement(context.Context, operator.AskRetirementParams) (*operator.Changed, error) {
	return nil, unsupported("retirement of base models", insteadOfRetirements)
}

// Explain isn't supported here: edge machines remember no requests.
//
// Example: GET /v1/explain/r1 answers not-here
func (s *siteServer) Explain(context.Context, operator.ExplainParams) (*operator.Explained, error) {
	return nil, unsupported("memory of single requests", "see the edges' logs and /metrics at their internal address (pebblectl nodes)")
}
