package operatorapi

import (
	"context"
	"fmt"

	"pebbleloom/api/operator"
	"pebbleloom/internal/control/calendar"
	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/data/updatestream"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/maputil"
	"pebbleloom/internal/wire"
)

// GetStatus checks nodes, shards, workers, calendar and retirements of the site, and reports problems with
// remedies.
//
// Example: GET /v1/status
func (s *Server) GetStatus(ctx context.Context) (*operator.Status, error) {
	report := newStatusReport()
	s.checkNodes(ctx, report)
	s.checkShards(ctx, report)
	if _, snapshot, err := s.readUpdates(ctx); err != nil {
		report.addProblem("workers-unknown", entireSite, err.Error(), "check that at least one edge machine runs", runbookEdgeDown)
	} else {
		checkWorkers(snapshot, report)
	}
	s.checkCalendar(ctx, report)
	s.checkRetirements(ctx, report)
	return report.finish(), nil
}

// checkNodes reports the nodes that the cluster membership lists as dead.
func (s *Server) checkNodes(ctx context.Context, report *statusReport) {
	list, err := s.ListNodes(ctx)
	if err != nil {
		report.addProblem("nodes-unknown", entireSite, err.Error(), "check that at least one core machine runs", runbookCoreDown)
		return
	}
	for _, node := range list.Nodes {
		if node.State != nodeStateDead {
			continue
		}
		help := runbookEdgeDown
		if node.Role == clustermembership.RoleControlNode || node.Role == clustermembership.RolePlacementController {
			help = runbookCoreDown
		}
		report.addProblem("node-gone", node.Name, "the nodes that monitor this node receive no heartbeats from it", "start the node again under the same name", help)
	}
}

// checkShards adds the state of every shard replica to the report, and a problem for each shard without a
// leader.
func (s *Server) checkShards(ctx context.Context, report *statusReport) {
	hasLeader := map[uint32]bool{}
	for _, node := range s.view().WithRole(clustermembership.RoleControlNode) {
		replicas, err := s.readReplicas(ctx, node.Addr)
		if err != nil {
			report.addProblem("core-silent", node.Name, "the control node doesn't answer status requests", "check whether its machine is partitioned, frozen or stopped", runbookMachinePartition)
			continue
		}
		for _, replica := range replicas {
			state := checkReplica(replica, report)
			if state == replicaLeads {
				hasLeader[replica.Shard] = true
			}
			report.addReplica(newReplicaItem(int(replica.Shard), replica.Member, replica.Leader, state, replica))
		}
	}
	for shard := range uint32(controlclient.ShardCount) {
		if !hasLeader[shard] {
			report.addProblem("part-unowned", fmt.Sprintf("shard %d", shard), "no responding core machine leads this shard",
				"check that two of the shard's three members run and reach each other", runbookCorePartitioned)
		}
	}
}

// readReplicas asks a control node for the status of its shard replicas.
func (s *Server) readReplicas(ctx context.Context, addr string) ([]*wire.ShardStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, s.bounds.Recovery(statusTimeoutRatio))
	defer cancel()
	response, err := s.clients.ControlNode(addr).Status(ctx, &wire.StatusRequest{})
	if err != nil {
		return nil, err
	}
	return response.Shards, nil
}

// checkReplica reports the problems of a shard replica and returns its state.
func checkReplica(replica *wire.ShardStatus, report *statusReport) (state string) {
	where := fmt.Sprintf("%s shard %d", replica.Member, replica.Shard)
	switch {
	case replica.Failure != "":
		report.addProblem("member-out", where, replica.Failure, errs.DiskFailure.Remedy, runbookDiskFull)
		return replicaFailed
	case replica.Stuck != "":
		report.addProblem("member-stuck", where, replica.Stuck, "restore the data folder of one of the two members that lost it", runbookDiskLost)
		return replicaStuck
	case replica.Blank:
		report.addProblem("member-blank", where, "the replica lost its data and hasn't caught up from both other members yet", "check that both other members run", runbookDiskLost)
		return replicaBlank
	case replica.IsLeader:
		return replicaLeads
	}
	return replicaFollows
}

func newReplicaItem(shard int, member, leader, state string, status *wire.ShardStatus) operator.StatusPartsItem {
	return operator.StatusPartsItem{Part: shard, Member: member, Owner: leader, State: state, Applied: int64(status.AppliedIndex),
		Last: int64(status.LastIndex), StateBytes: int64(status.StateBytes), LogBytes: int64(status.LogBytes)}
}

// checkWorkers reports workers and prompt stores that fail health checks, and workers on outdated weights.
func checkWorkers(snapshot *updatestream.Snapshot, report *statusReport) {
	if snapshot.Config == nil {
		report.addProblem("no-setup", entireSite, "no service configuration is in force", "apply one: pebblectl config apply --file FILE", runbookConfigWrong)
	}
	stores, modelWorkers := 0, 0
	outdated := map[string]int{} // numbers of workers on outdated weights, by model
	for _, worker := range snapshot.Workers {
		switch {
		case worker.State == updatestream.WorkerGone:
			help := runbookWorkerDown
			if worker.Kind == "store" {
				help = runbookStoreEmpty
			}
			report.addProblem("worker-gone", worker.Name, "the platform lists this worker, but it fails health checks", "have the platform replace the worker or remove it from its worker list", help)
		case worker.Kind == "store":
			stores++
		case snapshot.Config != nil && worker.Kind == "lm":
			if modelWorkers++; worker.Weights > 0 && worker.Weights < snapshot.Weights[worker.Model].Version {
				outdated[worker.Model]++
			}
		}
	}
	for _, model := range maputil.SortedKeys(outdated) {
		target := snapshot.Weights[model].Version
		report.addProblem("older-weights", model, fmt.Sprintf("%d of %d workers don't serve the target version %d of the weights yet", outdated[model], modelWorkers, target),
			"wait for the rollout; if it doesn't finish, check the placement controllers' logs", runbookOutdatedWeights)
	}
	if stores == 0 {
		report.addProblem("no-store", entireSite, "no prompt store answers health checks", "start the prompt store again; requests are served without it meanwhile", runbookStoreEmpty)
	}
}

// checkCalendar reports the calendar entries that are paused.
func (s *Server) checkCalendar(ctx context.Context, report *statusReport) {
	documents, err := s.readCalendar(ctx)
	if err != nil {
		report.addProblem("calendar-unknown", entireSite, err.Error(), errs.KindOf(err).Remedy, runbookCoreDown)
		return
	}
	for _, document := range documents {
		if entry, err := calendar.Decode(document.Body); err == nil && entry.State == calendar.StatePaused {
			report.addProblem("move-paused", entry.Service+"/"+entry.Name, entry.Reason, "remove the cause of the pause, then resume or undo the calendar entry", runbookEntryPaused)
		}
	}
}
