// Package operatorapi serves the operator's API. Every node runs it, and every node gives the same
// response: control state is read by majority, and a view is reported by one node, which the response
// names.
package operatorapi

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"time"

	"github.com/go-faster/jx"

	"pebbleloom/api/operator"
	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/control/serviceconfig"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/data/promptindex"
	"pebbleloom/internal/data/updatestream"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// Server handles operators' requests.
type Server struct {
	control   *controlclient.Client
	view      func() clustermembership.View
	clients   *daemon.Clients
	bounds    settings.Bounds
	configKey string // of the document that holds the site's configuration
}

// Serve serves the operator's API at the process's operator address.
//
// Example: err := operatorapi.Serve(process, control, member.View, clients)
func Serve(process *daemon.Process, ctl *controlclient.Client, view func() clustermembership.View, calls *daemon.Clients) error {
	s := &Server{ctl, view, calls, process.Settings.Bounds, controlclient.ConfigKey}
	api, err := operator.NewServer(s)
	if err != nil {
		return errs.Wrap(err, "operator API")
	}
	return process.Serve(process.Settings.Operator, requireKey(process.Settings.OperatorKey, http.MaxBytesHandler(api, 2*serviceconfig.MaxBytes)))
}

// KeyHeader is the header that carries the operators' key.
const KeyHeader = "X-Operator-Key"

// requireKey rejects requests without the operators' key, if the settings name one.
func requireKey(key string, h http.Handler) http.Handler {
	if key == "" {
		return h
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(r.Header.Get(KeyHeader)), []byte(key)) == 1 {
			h.ServeHTTP(w, r)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(errs.BadOperatorKey.HTTPStatus)
		_ = json.NewEncoder(w).Encode(operator.Denial{Kind: errs.BadOperatorKey.Name, Message: "the operators' key is missing or another", Remedy: errs.BadOperatorKey.Remedy}) // the client may have disconnected
	})
}

// NewError maps an error to its typed response.
//
// Example: d.NewError(ctx, errs.New(errs.NotFound, "tenant"))
func (s *Server) NewError(_ context.Context, err error) *operator.DeniedStatusCode {
	k := errs.KindOf(err)
	return &operator.DeniedStatusCode{StatusCode: k.HTTPStatus, Response: operator.Denial{Kind: k.Name, Message: err.Error(), Remedy: k.Remedy}}
}

func (s *Server) readConfigDocument(ctx context.Context) (*wire.Document, error) {
	t, err := s.control.Read(ctx, &wire.ReadRequest{Key: s.configKey})
	if err != nil {
		return nil, errs.Wrap(err, "read service configuration")
	}
	if len(t.Documents) == 0 {
		return nil, errs.New(errs.NotFound, "no service configuration has been applied yet")
	}
	return t.Documents[0], nil
}

// readConfig reads the service configuration in force, with its document.
func (s *Server) readConfig(ctx context.Context) (*wire.Document, *serviceconfig.Config, error) {
	doc, err := s.readConfigDocument(ctx)
	if err != nil {
		return nil, nil, err
	}
	config, err := serviceconfig.Decode(doc.Body)
	return doc, config, errs.Wrap(err, "read service configuration")
}

func (s *Server) putConfig(ctx context.Context, body []byte, ifEpoch *uint64, token string, patch, dry bool) (*operator.Changed, error) {
	p := &wire.Put{Key: s.configKey, Body: body, Token: token, AnyVersion: ifEpoch == nil}
	if ifEpoch != nil {
		p.IfVersion = *ifEpoch
	}
	t, err := s.control.Change(ctx, &wire.ChangeRequest{Command: &wire.Command{Kind: &wire.Command_Put{Put: p}}, Patch: patch, DryRun: dry})
	if err != nil {
		return nil, errs.Wrap(err, "change service configuration")
	}
	c := &operator.Changed{Epoch: int64(t.Version), Outcome: t.Outcome}
	if t.TokenReuse != "" {
		c.Note = operator.NewOptString(t.TokenReuse)
	}
	return c, nil
}

// GetSetup reads the service configuration in force.
//
// Example: GET /v1/setup
func (s *Server) GetSetup(ctx context.Context) (*operator.SetupInForce, error) {
	doc, err := s.readConfigDocument(ctx)
	if err != nil {
		return nil, err
	}
	return &operator.SetupInForce{Epoch: int64(doc.Version), Setup: jx.Raw(doc.Body)}, nil
}

// ChangeSetup applies a whole or partial service configuration.
//
// Example: POST /v1/setup {"setup": {"models": {"lector": {"weights": 4}}}, "partial": true}
func (s *Server) ChangeSetup(ctx context.Context, q *operator.SetupChange) (*operator.Changed, error) {
	var e *uint64
	if v, ok := q.IfEpoch.Get(); ok {
		u := uint64(v)
		e = &u
	}
	return s.putConfig(ctx, q.Setup, e, q.Token.Or(""), q.Partial.Or(false), q.Dry.Or(false))
}

// NameWeights names new weights for a model.
//
// Example: POST /v1/weights {"model": "lector", "weights": 4}
func (s *Server) NameWeights(ctx context.Context, q *operator.Weights) (*operator.Changed, error) {
	doc, config, err := s.readConfig(ctx)
	if err != nil {
		return nil, err
	}
	m, ok := config.Models[q.Model]
	if !ok {
		return nil, errs.New(errs.NoSuchModel, "model %q", q.Model)
	}
	if m.Weights == uint64(q.Weights) {
		return &operator.Changed{Epoch: int64(doc.Version), Outcome: wire.OutcomeDone, Note: operator.NewOptString("these weights are in force already")}, nil
	}
	if uint64(q.Weights) < m.Weights {
		return nil, errs.New(errs.BadInput, "weights %d are older than %d in force: name a later version", q.Weights, m.Weights)
	}
	return s.patchConfig(ctx, doc, map[string]any{"models": map[string]any{q.Model: map[string]any{"weights": q.Weights}}}, q.Token.Or(""))
}

func (s *Server) patchConfig(ctx context.Context, doc *wire.Document, p any, token string) (*operator.Changed, error) {
	raw, err := json.Marshal(p)
	if err != nil {
		return nil, errs.Wrap(err, "write patch")
	}
	return s.putConfig(ctx, raw, &doc.Version, token, true, false)
}

// RevokeKey removes a tenant's key.
//
// Example: POST /v1/keys/revoke {"tenant": "hotline", "key": "…"}
func (s *Server) RevokeKey(ctx context.Context, q *operator.Revoke) (*operator.Changed, error) {
	doc, config, err := s.readConfig(ctx)
	if err != nil {
		return nil, err
	}
	t, ok := config.Tenants[q.Tenant]
	if !ok {
		return nil, errs.New(errs.NotFound, "tenant %q", q.Tenant)
	}
	left := []string{}
	for _, k := range t.Keys {
		if k != q.Key {
			left = append(left, k)
		}
	}
	if len(left) == len(t.Keys) {
		return nil, errs.New(errs.NotFound, "tenant %q has no such key", q.Tenant)
	}
	return s.patchConfig(ctx, doc, map[string]any{"tenants": map[string]any{q.Tenant: map[string]any{"keys": left}}}, "")
}

// Drain takes a worker out of service, or back in.
//
// Example: POST /v1/drain {"worker": "worker-3", "drain": true}
func (s *Server) Drain(ctx context.Context, q *operator.Drain) (*operator.Changed, error) {
	doc, err := s.readConfigDocument(ctx)
	if err != nil {
		return nil, err
	}
	var v any
	if q.Drain {
		v = true
	}
	return s.patchConfig(ctx, doc, map[string]any{"drains": map[string]any{q.Worker: v}}, "")
}

// firstResponding returns the first node of a role, by name, that answers.
func (s *Server) firstResponding(role string, ask func(addr string) error) (string, error) {
	for _, n := range s.view().WithRole(role) {
		if n.State == clustermembership.Alive && ask(n.Addr) == nil {
			return n.Name, nil
		}
	}
	return "", errs.New(errs.OutcomeUnknown, "no %s answers", role)
}

// ListNodes lists the nodes as one core machine sees them.
//
// Example: GET /v1/nodes
func (s *Server) ListNodes(ctx context.Context) (*operator.NodeList, error) {
	var b *wire.Heartbeat
	who, err := s.firstResponding(clustermembership.RoleControlNode, func(addr string) (err error) {
		one, end := context.WithTimeout(ctx, s.bounds.Heal(1.0/12))
		defer end()
		b, err = s.clients.Membership(addr).Exchange(one, &wire.Heartbeat{Format: 1, FullView: true})
		return err
	})
	if err != nil {
		return nil, err
	}
	l := &operator.NodeList{SeenBy: who, Nodes: []operator.NodeListNodesItem{}}
	all := append([]*wire.Node{b.From}, b.Updates...)
	sort.Slice(all, func(i, j int) bool { return all[i].Name < all[j].Name })
	for _, n := range all {
		l.Nodes = append(l.Nodes, operator.NodeListNodesItem{Name: n.Name, Role: n.Role, District: n.Zone, Addr: n.Addr,
			State: [...]string{"alive", "suspect", "gone", "left"}[min(n.State, 3)], Incarnation: fmt.Sprint(n.Incarnation), Operator: operator.NewOptString(n.Operator)})
	}
	return l, nil
}

func (s *Server) readUpdates(ctx context.Context) (string, *updatestream.Snapshot, error) {
	var t *wire.FeedResponse
	who, err := s.firstResponding(clustermembership.RoleNodeAgent, func(addr string) (err error) {
		one, end := context.WithTimeout(ctx, s.bounds.Heal(1.0/12))
		defer end()
		t, err = s.clients.NodeAgent(addr).Feed(one, &wire.FeedRequest{})
		return err
	})
	if err != nil {
		return "", nil, err
	}
	snapshot, err := updatestream.ReadSnapshot(t, nil, 0)
	return who, snapshot, err
}

// ListWorkers lists the workers as one node agent sees them.
//
// Example: GET /v1/workers
func (s *Server) ListWorkers(ctx context.Context) (*operator.WorkerList, error) {
	who, snapshot, err := s.readUpdates(ctx)
	if err != nil {
		return nil, err
	}
	l := &operator.WorkerList{SeenBy: who, Workers: []operator.WorkerListWorkersItem{}}
	for _, w := range snapshot.Workers {
		l.Workers = append(l.Workers, operator.WorkerListWorkersItem{Name: w.Name, Addr: w.Addr, Service: w.Service, District: w.Zone,
			State: [...]string{"up", "unsure", "draining", "gone"}[min(w.State, 3)], Incarnation: operator.NewOptString(w.Incarnation),
			Weights: int64(w.Weights), Busy: operator.NewOptInt(int(w.Busy)), Queued: operator.NewOptInt(int(w.Queued)), Slots: int(w.Slots)})
	}
	return l, nil
}

// GetPlacement reads a service's placement from the control state.
//
// Example: GET /v1/placements/appraisals
func (s *Server) GetPlacement(ctx context.Context, q operator.GetPlacementParams) (*operator.PlacementInForce, error) {
	t, err := s.control.Read(ctx, &wire.ReadRequest{Shard: controlclient.ShardOf(q.Service), Key: "placement/" + q.Service})
	if err != nil {
		return nil, errs.Wrap(err, "read placement")
	}
	if len(t.Documents) == 0 {
		return nil, errs.New(errs.NotFound, "no placement for service %q yet", q.Service)
	}
	return &operator.PlacementInForce{Epoch: int64(t.Documents[0].Version), Placement: jx.Raw(t.Documents[0].Body)}, nil
}

// Explain asks all edge machines how a request was routed.
//
// Example: GET /v1/explain/r1
func (s *Server) Explain(ctx context.Context, q operator.ExplainParams) (*operator.Explained, error) {
	l := &operator.Explained{Goes: []jx.Raw{}}
	silent := 0
	for range 2 { // a proxy reports to its node agent a moment later: query once more
		silent = s.addExplanations(ctx, q.Request, l)
		if len(l.Goes) > 0 {
			break
		}
		select {
		case <-ctx.Done():
		case <-time.After(s.bounds.Config(0.2)):
		}
	}
	if len(l.Goes) == 0 && silent > 0 {
		return nil, errs.New(errs.OutcomeUnknown, "%d edge machines don't answer, and no other knows request %q", silent, q.Request)
	}
	if len(l.Goes) == 0 {
		return nil, errs.New(errs.NotFound, "no edge machine remembers request %q: they keep the latest %d each", q.Request, 1024)
	}
	return l, nil
}

// addExplanations adds what each edge machine knows of a request, and counts the silent ones.
func (s *Server) addExplanations(ctx context.Context, request string, l *operator.Explained) (silent int) {
	for _, n := range s.view().WithRole(clustermembership.RoleNodeAgent) {
		one, end := context.WithTimeout(ctx, s.bounds.Heal(1.0/24))
		t, err := s.clients.NodeAgent(n.Addr).Explain(one, &wire.ExplainRequest{RequestId: request})
		end()
		if err != nil {
			silent++
			continue
		}
		for _, x := range t.Decisions {
			l.Goes = append(l.Goes, jx.Raw(x.Body))
		}
	}
	return silent
}

// LookUp asks the prompt index for the holders of each prefix of a prompt.
//
// Example: POST /v1/index {"model": "lector", "tenant": "biblioteca", "parts": ["…"]}
func (s *Server) LookUp(ctx context.Context, q *operator.Lookup) (*operator.Found, error) {
	_, config, err := s.readConfig(ctx)
	if err != nil {
		return nil, err
	}
	t, ok := config.Resolve(config.Routes[q.Model].DefaultTarget(q.Model))
	if !ok {
		return nil, errs.New(errs.NoSuchModel, "model %q", q.Model)
	}
	es := prefix.Chain(config.CacheDomain(q.Tenant), prefix.QualifiedModel(t.Model, t.Adapter, t.Build), t.Weights, q.Parts)
	var ks []prefix.Key
	for _, e := range es {
		ks = append(ks, e.Key)
	}
	got := promptindex.NewShards(s.view().Nodes).Lookup(ctx, ks, s.clients.PromptIndex, s.bounds.Heal(1.0/24))
	f := &operator.Found{Prefixes: []operator.FoundPrefixesItem{}}
	for _, e := range es {
		x := operator.FoundPrefixesItem{Key: e.Key.String(), Tokens: operator.NewOptInt(e.Tokens), Holders: []string{}}
		if g := got[e.Key]; g != nil {
			x.Hotness = g.Hotness
			for _, h := range g.Holders {
				x.Holders = append(x.Holders, fmt.Sprintf("%s:%s", h.Worker, [...]string{"", "presumed", "confirmed"}[min(h.State, 2)]))
			}
		}
		f.Prefixes = append(f.Prefixes, x)
	}
	return f, nil
}
