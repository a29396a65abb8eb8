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
	"pebbleloom/internal/queue"
	"pebbleloom/internal/wire"
)

// problemList collects what is wrong.
type problemList struct{ items []operator.StatusProblemsItem }

func (f *problemList) add(kind, where, text, remedy, book string) {
	f.items = append(f.items, operator.StatusProblemsItem{Kind: kind, Where: where, Text: text, Remedy: remedy, Runbook: book})
}

// GetStatus checks everything and reports what is wrong, with remedies.
//
// Example: GET /v1/status
func (s *Server) GetStatus(ctx context.Context) (*operator.Status, error) {
	f := &problemList{items: []operator.StatusProblemsItem{}}
	status := &operator.Status{Parts: []operator.StatusPartsItem{}}
	if l, err := s.ListNodes(ctx); err != nil {
		f.add("nodes-unknown", "site", err.Error(), "see whether any core machine runs", "core-gone")
	} else {
		for _, n := range l.Nodes {
			if n.State == "gone" {
				book := map[string]string{clustermembership.RoleControlNode: "core-gone", clustermembership.RolePlacementController: "core-gone"}[n.Role]
				if book == "" {
					book = "edge-gone"
				}
				f.add("node-gone", n.Name, "no heartbeat reaches its observers", "start it again, under the same name", book)
			}
		}
	}
	s.checkShards(ctx, status, f)
	if _, snap, err := s.readUpdates(ctx); err != nil {
		f.add("workers-unknown", "site", err.Error(), "see whether any edge machine runs", "edge-gone")
	} else {
		checkWorkers(snap, f)
	}
	if ds, err := s.readCalendar(ctx); err != nil {
		f.add("calendar-unknown", "site", err.Error(), errs.KindOf(err).Remedy, "core-gone")
	} else {
		for _, x := range ds {
			if e, err := calendar.Decode(x.Body); err == nil && e.State == calendar.StatePaused {
				f.add("move-paused", e.Service+"/"+e.Name, e.Reason, "find out why, then resume or undo it", "move-paused")
			}
		}
	}
	s.checkRetirements(ctx, f)
	status.Problems, status.Ok = f.items, len(f.items) == 0
	return status, nil
}

// checkShards asks every control node for its status.
func (s *Server) checkShards(ctx context.Context, report *operator.Status, f *problemList) {
	hasLeader := map[uint32]bool{}
	for _, n := range s.view().WithRole(clustermembership.RoleControlNode) {
		one, end := context.WithTimeout(ctx, s.bounds.Heal(1.0/12))
		t, err := s.clients.ControlNode(n.Addr).Status(one, &wire.StatusRequest{})
		end()
		if err != nil {
			f.add("core-silent", n.Name, "it doesn't answer", "see whether it is cut off, frozen or stopped", "machine-cut")
			continue
		}
		for _, p := range t.Shards {
			st := "follows"
			switch {
			case p.Failure != "":
				st = "out"
				f.add("member-out", fmt.Sprintf("%s shard %d", p.Member, p.Shard), p.Failure, errs.DiskFailure.Remedy, "disk-full")
			case p.Stuck != "":
				st = "stuck"
				f.add("member-stuck", fmt.Sprintf("%s shard %d", p.Member, p.Shard), p.Stuck, "bring one of the two data folders back", "disk-lost")
			case p.Blank:
				st = "blank"
				f.add("member-blank", fmt.Sprintf("%s shard %d", p.Member, p.Shard), "it hasn't caught up from both others", "see that both other members run", "disk-lost")
			case p.IsLeader:
				st, hasLeader[p.Shard] = "owns", true
			}
			report.Parts = append(report.Parts, operator.StatusPartsItem{Part: int(p.Shard), Member: p.Member, Owner: p.Leader, State: st, Applied: int64(p.AppliedIndex),
				Last: int64(p.LastIndex), StateBytes: int64(p.StateBytes), LogBytes: int64(p.LogBytes)})
		}
	}
	for p := range uint32(controlclient.ShardCount) {
		if !hasLeader[p] {
			f.add("part-unowned", fmt.Sprintf("shard %d", p), "no responding core machine is its leader", "see that two of its three members run and reach each other", "core-split")
		}
	}
}

func checkWorkers(snap *updatestream.Snapshot, f *problemList) {
	if snap.Config == nil {
		f.add("no-setup", "site", "no service configuration is in force", "apply one: pebblectl config apply --file …", "setup-wrong")
	}
	stores, all := 0, 0
	old := map[string]int{}
	for _, w := range snap.Workers {
		switch {
		case w.State == updatestream.WorkerGone:
			book := "worker-gone"
			if w.Kind == "store" {
				book = "store-empty"
			}
			f.add("worker-gone", w.Name, "it is listed, yet doesn't answer probes", "have the platform replace it, or take it out of its list", book)
		case w.Kind == "store":
			stores++
		case snap.Config != nil && w.Kind == "lm":
			if all++; w.Weights > 0 && w.Weights < snap.Weights[w.Model].Version {
				old[w.Model]++
			}
		}
	}
	for _, m := range queue.Keys(old) {
		f.add("older-weights", m, fmt.Sprintf("%d of %d workers aren't on the named weights %d yet", old[m], all, snap.Weights[m].Version),
			"wait for the rollout; else see the placement controllers' logs", "weights-midday")
	}
	if stores == 0 {
		f.add("no-store", "site", "no prompt store answers", "service goes on without it; start it again", "store-empty")
	}
}
