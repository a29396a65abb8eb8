package operatorapi

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"

	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// controlNode holds the responses of one control node; nil where it didn't respond.
type controlNode struct {
	node       *wire.Node
	status     *wire.ShardStatus
	membership *wire.FollowResponse // its member name, and the newest membership that it knows
}

// groupView is the consensus group as its control nodes report it.
type groupView struct {
	nodes        []controlNode     // by name
	members      []string          // of the newest membership that any node reported
	memberByAddr map[string]string // names of the members that responded
	nodeByAddr   map[string]string // names of the nodes in the cluster membership
}

// queryControlNodes asks all control nodes at once for their status, each with a short timeout.
func (s *groupServer) queryControlNodes(ctx context.Context, view clustermembership.View) []controlNode {
	ctx, cancel := context.WithTimeout(ctx, s.bounds.Heal(statusTimeoutRatio))
	defer cancel()
	var nodes []controlNode
	for _, node := range view.WithRole(clustermembership.RoleControlNode) {
		nodes = append(nodes, controlNode{node: node})
	}
	var queries sync.WaitGroup
	for i := range nodes {
		queried := &nodes[i]
		client := s.clients.ControlNode(queried.node.Addr)
		queries.Go(func() {
			if response, err := client.Status(ctx, &wire.StatusRequest{}); err == nil && len(response.Shards) > 0 {
				queried.status = response.Shards[0]
			}
		})
		queries.Go(func() {
			if response, err := client.Follow(ctx, &wire.FollowRequest{}); err == nil {
				queried.membership = response
			}
		})
	}
	queries.Wait()
	slices.SortFunc(nodes, func(a, b controlNode) int { return strings.Compare(a.node.Name, b.node.Name) })
	return nodes
}

func (s *groupServer) readGroup(ctx context.Context, view clustermembership.View) *groupView {
	group := &groupView{nodes: s.queryControlNodes(ctx, view), memberByAddr: map[string]string{}, nodeByAddr: map[string]string{}}
	for _, node := range view.Nodes {
		if node.Role != clustermembership.RoleControlNode {
			continue
		}
		if group.nodeByAddr[node.Addr] == "" || node.State != clustermembership.Dead { // the address may have been reused
			group.nodeByAddr[node.Addr] = node.Name
		}
	}
	var term, index uint64 // of the newest membership
	for _, queried := range group.nodes {
		reported := queried.membership
		if reported == nil {
			continue
		}
		group.memberByAddr[queried.node.Addr] = reported.Member
		if group.members == nil || reported.MembersTerm > term || reported.MembersTerm == term && reported.MembersIndex > index {
			group.members, term, index = reported.Members, reported.MembersTerm, reported.MembersIndex
		}
	}
	return group
}

// nodeName is the name of a member's node; the member's own if that isn't known.
func (g *groupView) nodeName(member string) string {
	if name := g.nodeByAddr[controlclient.MemberAddr(member)]; name != "" {
		return name
	}
	return member
}

// hasNodeAt reports whether a running node at an address is in the cluster membership.
func (g *groupView) hasNodeAt(addr string) bool {
	return slices.ContainsFunc(g.nodes, func(n controlNode) bool { return n.node.Addr == addr })
}

// checkGroup reports the state of the consensus group, and returns whether a responding member is its
// leader.
func (s *groupServer) checkGroup(ctx context.Context, view clustermembership.View, report *statusReport) (hasLeader bool) {
	group := s.readGroup(ctx, view)
	for _, queried := range group.nodes {
		hasLeader = group.checkNode(queried, report) || hasLeader
	}
	group.checkMembers(report)
	if needed := 2*s.site.ToleratedFailures + 1; len(group.members) < needed {
		report.addProblem("members-few", entireSite, fmt.Sprintf("%d members: %d are needed for the losses that the site tolerates", len(group.members), needed),
			"see that as many core machines run and reach each other", runbookCoreDown)
	}
	if !hasLeader {
		report.addProblem("part-unowned", entireSite, "no responding core machine leads the control state: nothing can be read or changed",
			"see that a majority of the members run and reach each other; if most of their disks are lost for good, see runbook group-lost", runbookCorePartitioned)
	}
	return hasLeader
}

// checkNode reports the state of one control node, and returns whether it is the leader.
func (g *groupView) checkNode(queried controlNode, report *statusReport) (isLeader bool) {
	name, status := queried.node.Name, queried.status
	if status == nil || queried.membership == nil {
		report.addProblem("core-silent", name, "it doesn't answer", "see whether it is cut off, frozen or stopped", runbookMachinePartition)
		return false
	}
	state := replicaFollows
	switch {
	case status.Failure != "":
		state = replicaFailed
		report.addProblem("member-out", name, status.Failure, errs.DiskFailure.Remedy, runbookDiskFull)
	case !slices.Contains(g.members, queried.membership.Member):
		state = replicaLearner
	case status.IsLeader:
		state = replicaLeads
	}
	report.addReplica(newReplicaItem(0, name, g.nodeName(status.Leader), state, status))
	return state == replicaLeads
}

// checkMembers reports members that are gone or have lost their disk.
func (g *groupView) checkMembers(report *statusReport) {
	var names []string
	for _, member := range g.members {
		addr := controlclient.MemberAddr(member)
		responding, ok := g.memberByAddr[addr]
		name := g.nodeName(member)
		names = append(names, name)
		switch {
		case ok && responding != member:
			report.addProblem("member-blank", name, "it came back without its disk", "wait until it is added again; else see that the others reach it", runbookDiskLost)
		case !ok && !g.hasNodeAt(addr):
			report.addProblem("member-gone", name, "a member whose machine isn't there", "start it again; else wait until a spare takes its place", runbookCoreDown)
		}
	}
	report.addFact("members", "%s", strings.Join(names, " "))
}
