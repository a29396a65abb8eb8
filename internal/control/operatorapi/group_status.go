package operatorapi

import (
	"context"
	"fmt"
	"strings"

	"pebbleloom/api/operator"
	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/data/promptindex"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/maputil"
	"pebbleloom/internal/wire"
)

// GetStatus checks nodes, consensus group, leases and workers of the site, and reports problems with remedies.
//
// Example: GET /v1/status
func (s *groupServer) GetStatus(ctx context.Context) (*operator.Status, error) {
	report := newStatusReport()
	report.status.Facts = []operator.StatusFactsItem{}
	view := s.view()
	checkDeadNodes(view, report)
	hasLeader := s.checkGroup(ctx, view, report)
	checkIndexNodes(view, report)
	if hasLeader { // without a leader, a read would block until its timeout
		s.checkDocuments(ctx, view, report)
	}
	return report.finish(), nil
}

func checkDeadNodes(view clustermembership.View, report *statusReport) {
	for _, node := range view.Nodes {
		if node.State != clustermembership.Dead {
			continue
		}
		help := runbookEdgeDown
		if node.Role != clustermembership.RoleNodeAgent {
			help = runbookCoreDown
		}
		report.addProblem("node-gone", node.Name, "the nodes that monitor this node receive no heartbeats from it", "start the node again, or decommission its machine", help)
	}
}

// checkIndexNodes adds the prompt-index nodes to the report, and a problem if none of them is reachable.
func checkIndexNodes(view clustermembership.View, report *statusReport) {
	var serving []string
	for _, node := range promptindex.ServingNodes(view.Nodes) {
		serving = append(serving, node.Name)
	}
	report.addFact("index nodes", "%d, serving: %s", len(view.WithRole(clustermembership.RolePromptIndex)), strings.Join(serving, " "))
	if len(serving) == 0 {
		report.addProblem("index-none", entireSite, "no prompt-index node is reachable: requests are routed without knowledge of cached prompts", "start the prompt index on the core machines", runbookCoreDown)
	}
}

// checkDocuments adds the routing plan, the leases and the workers in the control state to the report.
func (s *groupServer) checkDocuments(ctx context.Context, view clustermembership.View, report *statusReport) {
	plan, err := s.readDocument(ctx, s.configKey)
	if err != nil { // the other documents are in the same group and can't be read either
		report.addProblem("plan-unknown", entireSite, err.Error(), errs.KindOf(err).Remedy, runbookCorePartitioned)
		return
	}
	if plan == nil {
		report.addProblem("no-setup", entireSite, "no routing plan is in force", "apply one: pebblectl config apply --file FILE", runbookConfigWrong)
	} else {
		report.addFact("plan", "version %d, %d bytes", plan.Version, len(plan.Body))
	}
	workers, err := s.readWorkers(ctx)
	if err != nil {
		report.addProblem("workers-unknown", entireSite, err.Error(), errs.KindOf(err).Remedy, runbookCorePartitioned)
		return
	}
	checkLeases(workers.leases, view, report)
	workers.check(report)
}

// checkLeases adds the holder of each lease to the report, and a problem if no holder is alive.
func checkLeases(leases []*wire.Lease, view clustermembership.View, report *statusReport) {
	held := false
	for _, lease := range leases {
		machine, _, _ := strings.Cut(lease.Holder, "/")
		report.addFact("duties of the "+lease.Name, "%s, fencing token %d", lease.Holder, lease.Fence)
		for _, node := range view.WithRole(clustermembership.RolePromptIndex) {
			held = held || machine != "" && node.Name == clustermembership.RolePromptIndex+"/"+machine && node.State == clustermembership.Alive
		}
	}
	if !held {
		report.addProblem("duties-unheld", entireSite, "no live machine holds the lease for the site's controller", "check that an index process runs and reaches the members of the consensus group", runbookCoreDown)
	}
}

// check adds the number of workers by state and by version of weights to the report.
func (s *workerDocuments) check(report *statusReport) {
	if s.version == 0 {
		report.addProblem("workers-unknown", entireSite, "the worker list hasn't been read from the platform yet", "check that the platform's worker list answers", runbookCoreDown)
	}
	states, outdated := map[string]int{}, map[string]int{} // numbers of workers by state, and of outdated workers by model
	for _, worker := range s.workers {
		states[s.state(worker)]++
		if model := s.outdatedModel(worker); model != "" && !worker.Draining {
			outdated[model]++
		}
	}
	report.addFact("workers", "%d: %d up, %d draining, %d cordoned for a rollout, %d on outdated weights", len(s.workers),
		states[workerUp], states[workerDraining], states[workerRolling], states[workerOutdated])
	for _, model := range maputil.SortedKeys(s.targetWeights) {
		report.addFact("weights of "+model, "target version %d, %d workers on outdated weights", s.targetWeights[model], outdated[model])
	}
	for _, model := range maputil.SortedKeys(outdated) {
		report.addProblem("older-weights", model, fmt.Sprintf("%d of %d workers don't serve the target version %d of the weights yet", outdated[model], len(s.workers), s.targetWeights[model]),
			"wait for the rollout; if it doesn't finish, check the log of the machine that holds the lease", runbookOutdatedWeights)
	}
}
