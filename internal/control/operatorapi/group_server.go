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
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/fleet"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// groupServer handles operators' requests on a platform site. There, one consensus group holds all control
// state, the group's membership is part of its replicated log, and the site's configuration is the routing
// plan, stored in the format in which it was sent.
type groupServer struct {
	*Server
	site       *settings.Site
	restorer   GroupRestorer
	name       string // this node's name in the cluster membership
	decodePlan func(body []byte) (*routingconfig.Plan, error)
}

// ServeGroup serves the operators' API of a platform site. The API's handler is built at the first request;
// until then it costs only a listener.
//
// Example: err := operatorapi.ServeGroup(process, control, member.View, clients, codec.Read, node)
func ServeGroup(process *daemon.Process, control *controlclient.Client, view func() clustermembership.View, clients *daemon.Clients,
	decodePlan func([]byte) (*routingconfig.Plan, error), restorer GroupRestorer) error {
	s := &groupServer{
		Server:     newServer(process, control, view, clients, routingconfig.DocumentKey),
		site:       process.Settings.Site,
		restorer:   restorer,
		name:       clustermembership.RoleControlNode + "/" + process.Settings.Name,
		decodePlan: decodePlan,
	}
	api := sync.OnceValues(func() (http.Handler, error) {
		handler, err := operator.NewServer(s)
		return http.MaxBytesHandler(handler, maxBodyBytes), err
	})
	return process.ServeClients("operators", process.Settings.Operator, requireKey(process.Settings.OperatorKey, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler, err := api()
		if err != nil {
			process.Log.Error("operator API: build handler", "error", err)
			http.Error(w, err.Error(), errs.Internal.HTTPStatus)
			return
		}
		handler.ServeHTTP(w, r)
	})))
}

// readDocument reads one document of the control state from a majority of the members; it returns nil if
// there is none.
func (s *groupServer) readDocument(ctx context.Context, key string) (*wire.Document, error) {
	response, err := s.control.Read(ctx, &wire.ReadRequest{Key: key})
	if err != nil {
		return nil, errs.Wrap(err, "read "+key)
	}
	for _, document := range response.Documents {
		if document.Key == key {
			return document, nil
		}
	}
	return nil, nil
}

// readJSON decodes the document with a key into value and returns the document's version; 0 if there is
// no such document.
func (s *groupServer) readJSON(ctx context.Context, key string, value any) (uint64, error) {
	document, err := s.readDocument(ctx, key)
	if err == nil && document != nil {
		err = errs.Wrap(json.Unmarshal(document.Body, value), "read "+key)
	}
	return document.GetVersion(), err
}

// NameWeights sets the target version of a model's weights, which its workers are to serve.
//
// Example: POST /v1/weights {"model": "lector", "weights": 4}
func (s *groupServer) NameWeights(ctx context.Context, request *operator.Weights) (*operator.Changed, error) {
	var weights fleet.Weights
	version, err := s.readJSON(ctx, fleet.WeightsKey, &weights)
	if err != nil {
		return nil, err
	}
	switch target, requested := weights.Versions[request.Model], uint64(request.Weights); {
	case target == requested:
		return &operator.Changed{Epoch: int64(version), Outcome: wire.OutcomeDone, Note: operator.NewOptString(fmt.Sprintf("weights %d of %s are the target already", requested, request.Model))}, nil
	case target > requested:
		return nil, errs.New(errs.BadInput, "weights %d of %s are older than %d, the target: give a later version", requested, request.Model, target)
	}
	if weights.Versions == nil {
		weights.Versions = map[string]uint64{}
	}
	weights.Versions[request.Model] = uint64(request.Weights)
	body, err := json.Marshal(weights)
	if err != nil {
		return nil, errs.Wrap(err, "encode target weights")
	}
	put := &wire.Put{Key: fleet.WeightsKey, Body: body, IfVersion: version, Token: request.Token.Or("")}
	response, err := s.control.Change(ctx, &wire.ChangeRequest{Command: &wire.Command{Kind: &wire.Command_Put{Put: put}}})
	if err != nil {
		return nil, errs.Wrap(err, "set target weights")
	}
	return &operator.Changed{Epoch: int64(response.Version), Outcome: response.Outcome}, nil
}

// ListNodes lists the nodes in this node's view of the cluster membership.
//
// Example: GET /v1/nodes
func (s *groupServer) ListNodes(context.Context) (*operator.NodeList, error) {
	list := &operator.NodeList{SeenBy: s.name, Nodes: []operator.NodeListNodesItem{}}
	for _, node := range s.view().Nodes {
		item := newNodeItem(node)
		if node.Operator != "" {
			item.Operator = operator.NewOptString(node.Operator)
		}
		list.Nodes = append(list.Nodes, item)
	}
	slices.SortFunc(list.Nodes, func(a, b operator.NodeListNodesItem) int { return strings.Compare(a.Name, b.Name) })
	return list, nil
}

// GetPlacement reads the placement of a service from a majority of the group's members.
//
// Example: GET /v1/placements/appraisals
func (s *groupServer) GetPlacement(ctx context.Context, params operator.GetPlacementParams) (*operator.PlacementInForce, error) {
	document, err := s.readDocument(ctx, fleet.PlacementKey+params.Service)
	if err != nil {
		return nil, err
	}
	if document == nil {
		return nil, errs.New(errs.NotFound, "no placement for service %q yet", params.Service)
	}
	return &operator.PlacementInForce{Epoch: int64(document.Version), Placement: jx.Raw(document.Body)}, nil
}
