package operatorapi

import (
	"context"
	"fmt"
	"sort"
	"time"

	"github.com/go-faster/jx"

	"pebbleloom/api/operator"
	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/data/updatestream"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// Parameters for looking up the routing decisions of a request.
const (
	explainQueries    = 2    // number of queries sent to each node agent; more than one, because a proxy reports its decisions to the agent with a delay
	explainPauseRatio = 0.2  // pause between two queries, as a fraction of the longest time for which an outdated configuration may be in use
	explainedRequests = 1024 // number of recent requests whose decisions a node agent keeps
)

// nodeStateDead is the API's name for the state of a dead node.
const nodeStateDead = "gone"

// nodeStateName returns the API's name for a node's state in the cluster membership.
func nodeStateName(state uint32) string {
	return [...]string{"alive", "suspect", nodeStateDead, "left"}[min(state, 3)]
}

// workerStateName returns the API's name for a worker's state in the update stream.
func workerStateName(state uint32) string {
	return [...]string{"up", "unsure", "draining", "gone"}[min(state, 3)]
}

// firstResponding runs query on the live nodes of a role in turn until one succeeds, and returns that node's name.
func (s *Server) firstResponding(role string, query func(addr string) error) (string, error) {
	for _, node := range s.view().WithRole(role) {
		if node.State == clustermembership.Alive && query(node.Addr) == nil {
			return node.Name, nil
		}
	}
	return "", errs.New(errs.OutcomeUnknown, "no live node with role %s answers", role)
}

// ListNodes lists the nodes in one control node's view of the cluster membership.
//
// Example: GET /v1/nodes
func (s *Server) ListNodes(ctx context.Context) (*operator.NodeList, error) {
	var view *wire.Heartbeat
	seenBy, err := s.firstResponding(clustermembership.RoleControlNode, func(addr string) (err error) {
		ctx, cancel := context.WithTimeout(ctx, s.bounds.Recovery(statusTimeoutRatio))
		defer cancel()
		view, err = s.clients.Membership(addr).Exchange(ctx, &wire.Heartbeat{Format: clustermembership.FormatVersion, FullView: true})
		return err
	})
	if err != nil {
		return nil, err
	}
	list := &operator.NodeList{SeenBy: seenBy, Nodes: []operator.NodeListNodesItem{}}
	nodes := append([]*wire.Node{view.From}, view.Updates...)
	sort.Slice(nodes, func(i, j int) bool { return nodes[i].Name < nodes[j].Name })
	for _, node := range nodes {
		item := newNodeItem(node)
		item.Operator = operator.NewOptString(node.Operator)
		list.Nodes = append(list.Nodes, item)
	}
	return list, nil
}

// newNodeItem converts a node to its API form, without the operator address.
func newNodeItem(node *wire.Node) operator.NodeListNodesItem {
	return operator.NodeListNodesItem{Name: node.Name, Role: node.Role, District: node.Zone, Addr: node.Addr,
		State: nodeStateName(node.State), Incarnation: fmt.Sprint(node.Incarnation)}
}

// readUpdates reads a snapshot of the update stream from one node agent, and returns that node's name as seenBy.
func (s *Server) readUpdates(ctx context.Context) (seenBy string, snapshot *updatestream.Snapshot, err error) {
	var feed *wire.FeedResponse
	seenBy, err = s.firstResponding(clustermembership.RoleNodeAgent, func(addr string) (err error) {
		ctx, cancel := context.WithTimeout(ctx, s.bounds.Recovery(statusTimeoutRatio))
		defer cancel()
		feed, err = s.clients.NodeAgent(addr).Feed(ctx, &wire.FeedRequest{})
		return err
	})
	if err != nil {
		return "", nil, err
	}
	snapshot, err = updatestream.ReadSnapshot(feed, nil, 0)
	return seenBy, snapshot, err
}

// ListWorkers lists the workers in one node agent's snapshot of the update stream.
//
// Example: GET /v1/workers
func (s *Server) ListWorkers(ctx context.Context) (*operator.WorkerList, error) {
	seenBy, snapshot, err := s.readUpdates(ctx)
	if err != nil {
		return nil, err
	}
	list := &operator.WorkerList{SeenBy: seenBy, Workers: []operator.WorkerListWorkersItem{}}
	for _, w := range snapshot.Workers {
		list.Workers = append(list.Workers, operator.WorkerListWorkersItem{Name: w.Name, Addr: w.Addr, Service: w.Service, District: w.Zone,
			State: workerStateName(w.State), Incarnation: operator.NewOptString(w.Incarnation),
			Weights: int64(w.Weights), Busy: operator.NewOptInt(int(w.Busy)), Queued: operator.NewOptInt(int(w.Queued)), Slots: int(w.Slots)})
	}
	return list, nil
}

// GetPlacement reads the placement of a service from a majority of its shard's replicas.
//
// Example: GET /v1/placements/appraisals
func (s *Server) GetPlacement(ctx context.Context, params operator.GetPlacementParams) (*operator.PlacementInForce, error) {
	response, err := s.control.Read(ctx, &wire.ReadRequest{Shard: controlclient.ShardOf(params.Service), Key: "placement/" + params.Service})
	if err != nil {
		return nil, errs.Wrap(err, "read placement")
	}
	if len(response.Documents) == 0 {
		return nil, errs.New(errs.NotFound, "no placement for service %q yet", params.Service)
	}
	document := response.Documents[0]
	return &operator.PlacementInForce{Epoch: int64(document.Version), Placement: jx.Raw(document.Body)}, nil
}

// Explain asks all node agents for the routing decisions of a request.
//
// Example: GET /v1/explain/r1
func (s *Server) Explain(ctx context.Context, params operator.ExplainParams) (*operator.Explained, error) {
	explained := &operator.Explained{Goes: []jx.Raw{}}
	unresponsive := 0
	for range explainQueries {
		unresponsive = s.addExplanations(ctx, params.Request, explained)
		if len(explained.Goes) > 0 {
			break
		}
		select {
		case <-ctx.Done():
		case <-time.After(s.bounds.Config(explainPauseRatio)):
		}
	}
	if len(explained.Goes) == 0 && unresponsive > 0 {
		return nil, errs.New(errs.OutcomeUnknown, "explain request %q: %d edge machines don't answer, and no other has a record of it", params.Request, unresponsive)
	}
	if len(explained.Goes) == 0 {
		return nil, errs.New(errs.NotFound, "explain request %q: no edge machine has a record of it; each keeps its latest %d requests", params.Request, explainedRequests)
	}
	return explained, nil
}

// addExplanations adds every node agent's routing decisions for a request to explained, and returns the number
// of agents that don't respond.
func (s *Server) addExplanations(ctx context.Context, requestID string, explained *operator.Explained) (unresponsive int) {
	for _, node := range s.view().WithRole(clustermembership.RoleNodeAgent) {
		decisions, err := s.explainAt(ctx, node.Addr, requestID)
		if err != nil {
			unresponsive++
			continue
		}
		for _, decision := range decisions {
			explained.Goes = append(explained.Goes, jx.Raw(decision.Body))
		}
	}
	return unresponsive
}

func (s *Server) explainAt(ctx context.Context, addr, requestID string) ([]*wire.Decision, error) {
	ctx, cancel := context.WithTimeout(ctx, s.bounds.Recovery(lookupTimeoutRatio))
	defer cancel()
	response, err := s.clients.NodeAgent(addr).Explain(ctx, &wire.ExplainRequest{RequestId: requestID})
	if err != nil {
		return nil, err
	}
	return response.Decisions, nil
}
