package operatorapi

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"

	"pebbleloom/api/operator"
	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/data/promptindex"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/queue"
	"pebbleloom/internal/wire"
)

// controlNode holds the responses of one core machine's control node.
type controlNode struct {
	node       *wire.Node
	status     *wire.ShardStatus
	membership *wire.FollowResponse // its member name, and the newest membership that it knows
}

// GetStatus checks the whole site from here and reports what is wrong, with remedies.
//
// Example: GET /v1/status
func (s *siteServer) GetStatus(ctx context.Context) (*operator.Status, error) {
	f := &problemList{items: []operator.StatusProblemsItem{}}
	status := &operator.Status{Parts: []operator.StatusPartsItem{}, Facts: []operator.StatusFactsItem{}}
	fact := func(name, format string, a ...any) {
		status.Facts = append(status.Facts, operator.StatusFactsItem{Name: name, Value: fmt.Sprintf(format, a...)})
	}
	view := s.view()
	for _, n := range view.Nodes {
		if n.State == clustermembership.Dead {
			book := "edge-gone"
			if n.Role != clustermembership.RoleNodeAgent {
				book = "core-gone"
			}
			f.add("node-gone", n.Name, "no heartbeat reaches its observers", "start it again, or take its machine out for good", book)
		}
	}
	hasLeader := s.checkGroup(ctx, view, status, f, fact)
	s.checkIndex(view, f, fact)
	if hasLeader { // without a leader a read would wait in vain
		s.checkDocuments(ctx, view, f, fact)
	}
	status.Problems, status.Ok = f.items, len(f.items) == 0
	return status, nil
}

// queryControlNodes asks all control nodes at once for their status, each with a short timeout.
func (s *siteServer) queryControlNodes(ctx context.Context, view clustermembership.View) []controlNode {
	ctx, end := context.WithTimeout(ctx, s.bounds.Heal(1.0/12))
	defer end()
	var l []controlNode
	var all sync.WaitGroup
	for _, n := range view.WithRole(clustermembership.RoleControlNode) {
		l = append(l, controlNode{node: n})
	}
	for i := range l {
		x := &l[i]
		all.Go(func() {
			if t, err := s.clients.ControlNode(x.node.Addr).Status(ctx, &wire.StatusRequest{}); err == nil && len(t.Shards) > 0 {
				x.status = t.Shards[0]
			}
		})
		all.Go(func() {
			if t, err := s.clients.ControlNode(x.node.Addr).Follow(ctx, &wire.FollowRequest{}); err == nil {
				x.membership = t
			}
		})
	}
	all.Wait()
	slices.SortFunc(l, func(a, b controlNode) int { return strings.Compare(a.node.Name, b.node.Name) })
	return l
}

// groupView is the consensus group as its control nodes report it.
type groupView struct {
	nodes        []controlNode
	members      []string          // of the newest membership that any node reported
	incarnations map[string]string // member names by address
	nodeNames    map[string]string // by address
}

func (s *siteServer) readGroup(ctx context.Context, view clustermembership.View) *groupView {
	g := &groupView{nodes: s.queryControlNodes(ctx, view), incarnations: map[string]string{}, nodeNames: map[string]string{}}
	for _, n := range view.Nodes {
		if n.Role == clustermembership.RoleControlNode && (g.nodeNames[n.Addr] == "" || n.State != clustermembership.Dead) { // the address may have been reused
			g.nodeNames[n.Addr] = n.Name
		}
	}
	var term, index uint64
	for _, x := range g.nodes {
		t := x.membership
		if t == nil {
			continue
		}
		g.incarnations[x.node.Addr] = t.Member
		if g.members == nil || t.MembersTerm > term || t.MembersTerm == term && t.MembersIndex > index {
			g.members, term, index = t.Members, t.MembersTerm, t.MembersIndex
		}
	}
	return g
}

// nameOf is the name of a member's node; the member itself if that isn't known.
func (g *groupView) nameOf(member string) string {
	if n := g.nodeNames[controlclient.MemberAddr(member)]; n != "" {
		return n
	}
	return member
}

// hasNodeAt reports whether a node at an address is in the cluster membership.
func (g *groupView) hasNodeAt(addr string) bool {
	return slices.ContainsFunc(g.nodes, func(x controlNode) bool { return x.node.Addr == addr })
}

// checkGroup reports the state of the consensus group, and whether one of the responding members leads it.
func (s *siteServer) checkGroup(ctx context.Context, view clustermembership.View, report *operator.Status, f *problemList, fact func(string, string, ...any)) (hasLeader bool) {
	g := s.readGroup(ctx, view)
	for _, x := range g.nodes {
		hasLeader = g.checkNode(x, report, f) || hasLeader
	}
	g.checkMembers(f, fact)
	if want := 2*s.site.ToleratedFailures + 1; len(g.members) < want {
		f.add("members-few", "site", fmt.Sprintf("%d members: %d are needed for the losses that the site tolerates", len(g.members), want), "see that as many core machines run and reach each other", "core-gone")
	}
	if !hasLeader {
		f.add("part-unowned", "site", "no responding core machine leads the control state: nothing can be read or changed", "see that a majority of the members run and reach each other", "core-split")
	}
	return hasLeader
}

// checkNode reports the state of one control node, and whether it leads.
func (g *groupView) checkNode(x controlNode, report *operator.Status, f *problemList) (leads bool) {
	name := x.node.Name
	if x.status == nil || x.membership == nil {
		f.add("core-silent", name, "it doesn't answer", "see whether it is cut off, frozen or stopped", "machine-cut")
		return false
	}
	p, state := x.status, "follows"
	switch {
	case p.Failure != "":
		state = "out"
		f.add("member-out", name, p.Failure, errs.DiskFailure.Remedy, "disk-full")
	case !slices.Contains(g.members, x.membership.Member):
		state = "learner"
	case p.IsLeader:
		state, leads = "owns", true
	}
	report.Parts = append(report.Parts, operator.StatusPartsItem{Member: name, Owner: g.nameOf(p.Leader), State: state, Applied: int64(p.AppliedIndex),
		Last: int64(p.LastIndex), StateBytes: int64(p.StateBytes), LogBytes: int64(p.LogBytes)})
	return leads
}

// checkMembers reports members that are gone or lost their disk.
func (g *groupView) checkMembers(f *problemList, fact func(string, string, ...any)) {
	var names []string
	for _, m := range g.members {
		addr := controlclient.MemberAddr(m)
		incarnation, answers := g.incarnations[addr]
		names = append(names, g.nameOf(m))
		switch {
		case answers && incarnation != m:
			f.add("member-blank", g.nameOf(m), "it came back without its disk", "wait until it is added again; else see that the others reach it", "disk-lost")
		case !answers && !g.hasNodeAt(addr):
			f.add("member-gone", g.nameOf(m), "a member whose machine isn't there", "start it again; else wait until a spare takes its place", "core-gone")
		}
	}
	fact("members", "%s", strings.Join(names, " "))
}

// checkIndex reports the index nodes.
func (s *siteServer) checkIndex(view clustermembership.View, f *problemList, fact func(string, string, ...any)) {
	var serving []string
	for _, n := range promptindex.ServingNodes(view.Nodes) {
		serving = append(serving, n.Name)
	}
	fact("index nodes", "%d, serving: %s", len(view.WithRole(clustermembership.RolePromptIndex)), strings.Join(serving, " "))
	if len(serving) == 0 {
		f.add("index-none", "site", "no index node is reachable: requests are routed without it", "start the index on the core machines", "core-gone")
	}
}

// checkDocuments reports the documents in force.
func (s *siteServer) checkDocuments(ctx context.Context, view clustermembership.View, f *problemList, fact func(string, string, ...any)) {
	x, _, err := s.readDocument(ctx, s.configKey)
	if err != nil { // then nothing else can be read either
		f.add("plan-unknown", "site", err.Error(), errs.KindOf(err).Remedy, "core-split")
		return
	}
	if x == nil {
		f.add("no-setup", "site", "no plan is in force", "send one: pebblectl config apply --file …", "setup-wrong")
	} else {
		fact("plan", "version %d, %d bytes", x.Version, len(x.Body))
	}
	s.checkControllers(ctx, view, f, fact)
}

// checkControllers reports who holds the site's leases, and the state of the workers.
func (s *siteServer) checkControllers(ctx context.Context, view clustermembership.View, f *problemList, fact func(string, string, ...any)) {
	w, err := s.readWorkers(ctx)
	if err != nil {
		f.add("workers-unknown", "site", err.Error(), errs.KindOf(err).Remedy, "core-split")
		return
	}
	held := false
	for _, l := range w.leases {
		m, _, _ := strings.Cut(l.Holder, "/")
		fact("duties of the "+l.Name, "%s, fence %d", l.Holder, l.Fence)
		for _, n := range view.WithRole(clustermembership.RolePromptIndex) {
			held = held || m != "" && n.Name == clustermembership.RolePromptIndex+"/"+m && n.State == clustermembership.Alive
		}
	}
	if !held {
		f.add("duties-unheld", "site", "no reachable machine holds the site's lease", "see that an index process runs and reaches the members", "core-gone")
	}
	if w.version == 0 {
		f.add("workers-unknown", "site", "the list of workers hasn't been read yet", "see whether the platform's list answers", "core-gone")
	}
	states, old := map[string]int{}, map[string]int{}
	for _, x := range w.workers {
		states[w.state(x)]++
		if m := w.outdatedModel(x); m != "" && !x.Draining {
			old[m]++
		}
	}
	fact("workers", "%d: %d up, %d draining, %d set aside for new weights, %d behind the named weights", len(w.workers),
		states["up"], states["draining"], states["rolling"], states["behind"])
	for _, m := range queue.Keys(w.named) {
		fact("weights of "+m, "version %d named, %d workers behind", w.named[m], old[m])
	}
	for _, m := range queue.Keys(old) {
		f.add("older-weights", m, fmt.Sprintf("%d of %d workers aren't on the named weights %d yet", old[m], len(w.workers), w.named[m]),
			"wait for the rollout; else see the log of the machine that holds the lease", "weights-midday")
	}
}
