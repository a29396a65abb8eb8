package operatorapi

import (
	"context"

	"pebbleloom/api/operator"
	"pebbleloom/internal/errs"
)

// RestoreGroup isn't supported with fixed members.
//
// Example: POST /v1/group/restore responds with not-here
func (s *Server) RestoreGroup(context.Context, *operator.GroupRestore) (*operator.GroupRestored, error) {
	return nil, errs.New(errs.NotSupported, "a site whose members are fixed has no group to restore: a lost disk comes back from its peers (pebblectl runbook run --name disk-lost)")
}

// RestoreReport says what a restore of the group from a member would do, or has done.
type RestoreReport struct {
	Restored      bool     // the group was restored from this member, now or by the same call before
	Member        string   // this member: its new name once the group is restored
	Members       []string // the newest membership that any control node knows
	Silent        []string // addresses of control nodes that didn't answer
	Objections    []string // why the group must not be restored from here; empty: it may
	LogTerm       uint64   // of the last entry that this member holds
	LogIndex      uint64   // of the last entry that this member holds
	PlanVersion   uint64   // of the plan that this member holds; 0: none
	TimesRestored uint64   // how often the group has been restored
}

// GroupRestorer restores the consensus group from the member of this node.
type GroupRestorer interface {
	RestoreGroup(ctx context.Context, confirmed string) (RestoreReport, error)
}

// RestoreGroup restores the group from this node's member if the request confirms its name, and otherwise reports
// what that would do.
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

// nonNil returns an empty list in place of none: the response's lists are never null.
func nonNil(items []string) []string {
	if items == nil {
		return []string{}
	}
	return items
}
