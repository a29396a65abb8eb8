package operatorapi

import (
	"context"

	"pebbleloom/api/operator"
	"pebbleloom/internal/errs"
)

// RestoreGroup returns a not-supported error: the shards of a site with fixed members have no group to restore.
//
// Example: POST /v1/group/restore responds with not-here
func (s *Server) RestoreGroup(context.Context, *operator.GroupRestore) (*operator.GroupRestored, error) {
	return nil, errs.New(errs.NotSupported, "restore group: not available on a site with fixed members, where a lost disk is rebuilt from its peers: use pebblectl runbook run --name disk-lost")
}

// RestoreReport describes the result of restoring the consensus group from a single member, or of a dry run.
type RestoreReport struct {
	Restored      bool     // the group was restored from this member, by this call or an earlier identical one
	Member        string   // name of the member on this node; after a restore, its new name
	Members       []string // member names in the newest membership that any control node knows
	Silent        []string // addresses of the control nodes that didn't answer
	Objections    []string // reasons against restoring the group from this member; empty if there are none
	LogTerm       uint64   // term of the last log entry that this member holds
	LogIndex      uint64   // index of the last log entry that this member holds
	PlanVersion   uint64   // version of the routing plan that this member holds; 0 if it has none
	TimesRestored uint64   // number of times that the group has been restored
}

// GroupRestorer restores the consensus group from the member that runs on this node.
type GroupRestorer interface {
	RestoreGroup(ctx context.Context, confirmed string) (RestoreReport, error)
}

// RestoreGroup restores the consensus group from this node's member if the request confirms the member's name;
// otherwise it only reports what a restore would keep.
//
// Example: POST /v1/group/restore {"confirm": "10.1.0.17:7360/8f3a"}
func (s *groupServer) RestoreGroup(ctx context.Context, request *operator.GroupRestore) (*operator.GroupRestored, error) {
	report, err := s.restorer.RestoreGroup(ctx, request.Confirm.Or(""))
	if err != nil {
		return nil, err
	}
	return &operator.GroupRestored{
		Restored:      report.Restored,
		Member:        report.Member,
		Members:       nonNil(report.Members),
		Silent:        nonNil(report.Silent),
		Objections:    nonNil(report.Objections),
		LogTerm:       int64(report.LogTerm),
		LogIndex:      int64(report.LogIndex),
		PlanVersion:   int64(report.PlanVersion),
		TimesRestored: int64(report.TimesRestored),
	}, nil
}

// nonNil replaces a nil list by an empty one, since the lists in API responses are never null.
func nonNil(items []string) []string {
	if items == nil {
		return []string{}
	}
	return items
}
