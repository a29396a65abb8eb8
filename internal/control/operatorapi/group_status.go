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

// GetStatus checks the whole site from here and reports problems, with remedies.
//
// Example: GET /v1/status
func (s *groupServer) GetStatus(ctx context.Context) (*operator.Status, error) {
	report := newStatusReport()
	report.status.Facts = []operator.StatusFactsItem{}
	view := s.view()
	checkDeadNodes(view, report)
	hasLeader := s.checkGroup(ctx, view, report)
	checkIndexNodes(view, report)
	if hasLeader { // otherwise a read would wait for its timeout
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
		report.addProblem("node-gone", node.Name, "no heartbeat reaches its observers", "start it again, or take its machine out for good", help)
	}
}

// checkIndexNodes reports the prompt index's nodes.
func checkIndexNodes(view clustermembership.View, report *statusReport) {
	var serving []string
	for _, node := range promptindex.ServingNodes(view.Nodes) {
		serving = append(serving, node.Name)
	}
	report.addFact("index nodes", "%d, serving: %s", len(view.WithRole(clustermembership.RolePromptIndex)), strings.Join(serving, " "))
	if len(serving) == 0 {
		report.addProblem("index-none", entireSite, "no index node is reachable: requests are routed without it", "start the index on the core machines", runbookCoreDown)
	}
}

// checkDocuments reports the documents in force.
func (s *groupServer) checkDocuments(ctx context.Context, view clustermembership.View, report *statusReport) {
	plan, err := s.readDocument(ctx, s.configKey)
	if err != nil { // then nothing else can be read either
		report.addProblem("plan-unknown", entireSite, err.Error(), errs.KindOf(err).Remedy, runbookCorePartitioned)
		return
	}
	if plan == nil {
		report.addProblem("no-setup", entireSite, "no plan is in force", "send one: pebblectl config apply --file …", runbookConfigWrong)
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

// checkLeases reports who holds the site's leases, and if no holder is alive.
func checkLeases(leases []*wire.Lease, view clustermembership.View, report *statusReport) {
	held := false
	for _, lease := range leases {
		machine, _, _ := strings.Cut(lease.Holder, "/")
		report.addFact("duties of the "+lease.Name, "%s, fence %d", lease.Holder, lease.Fence)
		for _, node := range view.WithRole(clustermembership.RolePromptIndex) {
			held = held || machine != "" && node.Name == clustermembership.RolePromptIndex+"/"+machine && node.State == clustermembership.Alive
		}
	}
	if !held {
		report.addProblem("duties-unheld", entireSite, "no reachable machine holds the site's lease", "see that an index process runs and reaches the members", runbookCoreDown)
	}
}

// check reports the workers' states and weights.
func (s *workerDocuments) check(report *statusReport) {
	if s.version == 0 {
		report.addProblem("workers-unknown", entireSite, "the list of workers hasn't been read yet", "see whether the platform's list answers", runbookCoreDown)
	}
	states, outdated := map[string]int{}, map[string]int{} // workers by state, and by model
	for _, worker := range s.workers {
		states[s.state(worker)]++
		if model := s.outdatedModel(worker); model != "" && !worker.Draining {
			outdated[model]++
		}
	}
	report.addFact("workers", "%d: %d up, %d draining, %d set aside for new weights, %d behind the named weights", len(s.workers),
		states[workerUp], states[workerDraining], states[workerRolling], states[workerOutdated])
	for _, model := range maputil.SortedKeys(s.named) {
		report.addFact("weights of "+model, "version %d named, %d workers behind", s.named[model], outdated[model])
	}
	for _, model := range maputil.SortedKeys(outdated) {
		report.addProblem("older-weights", model, fmt.Sprintf("%d of %d workers aren't on the named weights %d yet", outdated[model], len(s.workers), s.named[model]),
			"wait for the rollout; else see the log of the machine that holds the lease", runbookOutdatedWeights)
	}
}
