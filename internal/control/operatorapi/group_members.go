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

// controlNode holds the status and membership responses of one control node; a response that didn't arrive
// is nil.
type controlNode struct {
	node       *wire.Node
	status     *wire.ShardStatus
	membership *wire.FollowResponse // the node's member name and the newest group membership that it knows
}

// groupView is the consensus group as its control nodes report it.
type groupView struct {
	nodes        []controlNode     // sorted by node name
	members      []string          // member names in the newest membership that any control node reported
	memberByAddr map[string]string // names of the responding members, by address
	nodeByAddr   map[string]string // names of the control nodes in the cluster membership, by address
}

// queryControlNodes asks all control nodes concurrently for their status and membership, under one short
// timeout.
func (s *groupServer) queryControlNodes(ctx context.Context, view clustermembership.View) []controlNode {
	ctx, cancel := context.WithTimeout(ctx, s.bounds.Recovery(statusTimeoutRatio))
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
		if group.nodeByAddr[node.Addr] == "" || node.State != clustermembership.Dead { // a dead node's address may have been reused by a new node
			group.nodeByAddr[node.Addr] = node.Name
		}
	}
	var term, index uint64 // log position of the newest membership reported so far
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

// nodeName returns the name of the node on which a group member runs, or the member's own name if no node
// has its address.
func (g *groupView) nodeName(member string) string {
	if name := g.nodeByAddr[controlclient.MemberAddr(member)]; name != "" {
		return name
	}
	return member
}

// hasNodeAt reports whether the cluster membership has a control node at the address that isn't dead.
func (g *groupView) hasNodeAt(addr string) bool {
	return slices.ContainsFunc(g.nodes, func(n controlNode) bool { return n.node.Addr == addr })
}

// checkGroup adds the state and problems of the consensus group to the report, and returns whether a
// responding member is the leader.
func (s *groupServer) checkGroup(ctx context.Context, view clustermembership.View, report *statusReport) (hasLeader bool) {
	group := s.readGroup(ctx, view)
	for _, queried := range group.nodes {
		hasLeader = group.checkNode(queried, report) || hasLeader
	}
	group.checkMembers(report)
	if needed := 2*s.site.ToleratedFailures + 1; len(group.members) < needed {
		report.addProblem("members-few", entireSite, fmt.Sprintf("the consensus group has %d members, fewer than the %d needed to tolerate %d failures", len(group.members), needed, s.site.ToleratedFailures),
			fmt.Sprintf("check that at least %d core machines run and reach each other", needed), runbookCoreDown)
	}
	if !hasLeader {
		report.addProblem("part-unowned", entireSite, "no responding core machine leads the consensus group: control state can't be read or changed",
			"check that a majority of the members run and reach each other; if most of their disks are lost for good, see runbook group-lost", runbookCorePartitioned)
	}
	return hasLeader
}

// checkNode adds the state and problems of one control node to the report, and returns whether it leads the
// consensus group.
func (g *groupView) checkNode(queried controlNode, report *statusReport) (isLeader bool) {
	name, status := queried.node.Name, queried.status
	if status == nil || queried.membership == nil {
		report.addProblem("core-silent", name, "the control node doesn't answer status requests", "check whether its machine is partitioned, frozen or stopped", runbookMachinePartition)
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

// checkMembers reports group members that no longer run or that restarted without their data.
func (g *groupView) checkMembers(report *statusReport) {
	var names []string
	for _, member := range g.members {
		addr := controlclient.MemberAddr(member)
		responding, ok := g.memberByAddr[addr]
		name := g.nodeName(member)
		names = append(names, name)
		switch {
		case ok && responding != member:
			report.addProblem("member-blank", name, "the member restarted without its data", "wait until it rejoins the group; if it doesn't, check that the other members can reach it", runbookDiskLost)
		case !ok && !g.hasNodeAt(addr):
			report.addProblem("member-gone", name, "no running control node is known at the member's address "+addr, "start its control node again, or wait until a spare core machine replaces it", runbookCoreDown)
		}
	}
	report.addFact("members", "%s", strings.Join(names, " "))
}
