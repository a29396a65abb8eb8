package controlstate

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"

	"google.golang.org/protobuf/proto"

	"pebbleloom/internal/control/consensus"
	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/control/operatorapi"
	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// If a majority of a group's disks is lost permanently, an operator can restore the group from one surviving member
// (consensus/restore.go describes the effect on the other members). This file decides whether that is allowed, and
// performs the restore on the surviving member.

// memberReportTimeoutRatio is the time-out for querying other control nodes before a group is restored or before
// the disk of a member outside a restored group is replaced, as a fraction of settings.Bounds.Recovery, the configured
// time to restore service after a fault.
const memberReportTimeoutRatio = 1.0 / 12

// restoreNoticeIntervalRatio is the interval at which the leader of a restored group sends notices to control
// nodes outside the group, as a fraction of settings.Bounds.Recovery, the configured time to restore service after a
// fault.
const restoreNoticeIntervalRatio = 1.0 / 12

// restoredTokenStep is added to the fencing token of every lease when a group is restored from one member. It
// exceeds the number of grants that the lost members can have made without the knowledge of the surviving member.
const restoredTokenStep = 1 << 32

// memberReport is what a control node reports about its group member and its disk when a restore is considered.
type memberReport struct {
	member     string      // incarnation of the reporting node's member
	generation uint64      // identifies the last restore of the member's group; higher after each restore, 0: never restored
	logEnd     logPosition // position of the last entry in the member's log
	newest     membership  // newest set of voters that the member knows
	failure    string      // why the member takes no part in the group; empty if it does
}

// logPosition identifies an entry of a group's log by its term and index.
type logPosition struct{ term, index uint64 }

// isAfter reports whether a log that ends at p is more up to date than one that ends at other.
func (p logPosition) isAfter(other logPosition) bool {
	return p.term > other.term || p.term == other.term && p.index > other.index
}

// membership is a set of voters and the log position of the entry that established it.
type membership struct {
	members []string
	at      logPosition
}

// newestMembership returns the newest membership in the reports of members whose group has the given restore
// generation.
func newestMembership(reports []memberReport, generation uint64) (newest membership) {
	for _, other := range reports {
		if other.generation == generation && (newest.members == nil || other.newest.at.isAfter(newest.at)) {
			newest = other.newest
		}
	}
	return newest
}

// objectionsToRestore lists the reasons why the group must not be restored from this member, given the reports of all
// control nodes that responded, including this one. It returns none if the restore is allowed.
func objectionsToRestore(self memberReport, answered []memberReport) (objections []string) {
	if self.failure != "" {
		objections = append(objections, "this member's disk can't be used: "+self.failure)
	}
	if self.logEnd == (logPosition{}) {
		objections = append(objections, "this member's disk is empty: restore the group from a member whose disk holds data")
	}
	for _, other := range answered {
		switch {
		case other.generation > self.generation:
			objections = append(objections, fmt.Sprintf("member %s belongs to a group that was restored after this member's group: let this member join the newer group", other.member))
		case other.generation == self.generation && other.failure == "" && other.logEnd.isAfter(self.logEnd):
			objections = append(objections, fmt.Sprintf("the log of %s is newer than this member's: restore the group from that member", other.member))
		}
	}
	members := newestMembership(answered, self.generation).members
	usable := slices.DeleteFunc(slices.Clone(members), func(member string) bool {
		return !slices.ContainsFunc(answered, func(other memberReport) bool { return other.member == member && other.failure == "" })
	})
	if 2*len(usable) > len(members) {
		objections = append(objections, fmt.Sprintf("a majority of the members answers: %s: the group does not need a restore: check the network between these members", strings.Join(usable, ", ")))
	}
	return objections
}

// RestoreGroup restores the group from this member alone, provided that confirmed is the member name that the dry run
// reported and that there are no objections. If confirmed is empty, it only performs a dry run: it reports the
// objections and what would be restored. Kinds of errors are errs.Conflict if there are objections or if confirmed is
// the name of another member, errs.DiskFailure, and errs.OutcomeUnknown.
//
// Example: report, err := n.RestoreGroup(ctx, "10.1.0.17:7360/8f3a")
func (n *Node) RestoreGroup(ctx context.Context, confirmed string) (operatorapi.RestoreReport, error) {
	shard := n.shards[0]
	status := query(ctx, shard, consensus.Status{}, func() consensus.Status { return shard.core.Status() })
	self, answered, silent := n.queryMemberReports(ctx)
	report := operatorapi.RestoreReport{
		Member:        self.member,
		LogTerm:       self.logEnd.term,
		LogIndex:      self.logEnd.index,
		PlanVersion:   shard.published.current().documents[routingconfig.DocumentKey].GetVersion(),
		Members:       newestMembership(answered, self.generation).members,
		Silent:        silent,
		TimesRestored: consensus.RestoreCount(self.generation),
	}
	if confirmed != "" && confirmed == status.RestoredFrom {
		report.Restored = true
		return report, nil // this call is a retry of the one that restored the group
	}
	report.Objections = objectionsToRestore(self, answered)
	switch {
	case confirmed == "":
		return report, nil
	case len(report.Objections) > 0:
		return report, errs.New(errs.Conflict, "the group can't be restored from member %s: %s", self.member, strings.Join(report.Objections, "; "))
	case confirmed != self.member:
		return report, errs.New(errs.Conflict, "restore of the group was confirmed for member %s, but this member is %s", confirmed, self.member)
	}
	restored, err := n.restoreFrom(ctx, confirmed)
	report.Member, report.Restored = restored, err == nil
	report.Members = []string{restored}
	report.TimesRestored++
	return report, err
}

// restoreFrom restores the group from this member, on the shard's goroutine, provided that the member still has
// the confirmed name. It returns the new name of the member.
func (n *Node) restoreFrom(ctx context.Context, confirmed string) (restored string, err error) {
	shard := n.shards[0]
	name := newIncarnation(controlclient.MemberAddr(confirmed), n.process.Seed)
	outcome := query(ctx, shard, errs.New(errs.OutcomeUnknown, "restore of the group timed out and may still be carried out: check the group status, then retry with the same confirmation"), func() error {
		if shard.failure != nil || shard.core.Self() != confirmed {
			return errs.New(errs.Conflict, "member %s has failed or been replaced since the restore was confirmed: repeat the dry run of the restore", confirmed)
		}
		return shard.restore(name, n.process.Seed())
	})
	return name, outcome
}

// restore makes this member, under a new name, the only member of a restored group. It applies all entries of the
// log, including those not known to be committed, since each of them may have been acknowledged before the
// restore.
func (s *shard) restore(name string, random uint64) error {
	s.endPendingRequests() // the pending requests were made to the group before the restore
	for _, entry := range s.core.UnappliedEntries() {
		if _, err := s.applyToState(entry); err != nil {
			s.halt(err)
			return err
		}
	}
	s.state.raiseFencingTokens()
	body, err := s.state.save()
	if err != nil {
		s.halt(err)
		return errs.Wrap(err, "encode shard state for the restored group")
	}
	from, generation := s.core.Self(), consensus.NextRestoreGeneration(s.core.Status().RestoreGeneration, random)
	err = s.store.SaveSnapshot(s.core.RestoredSnapshot(name, generation, body), nil)
	if err == nil {
		err = s.reopen()
	}
	if err != nil {
		s.halt(err) // the member stays failed until retryReopen has reopened the disk
		return errs.Wrap(err, "restore")
	}
	s.publishRecovered()
	s.log.Warn("restored the control group from this member alone", "from", from, "member", name, "generation", generation)
	return nil
}

// raiseFencingTokens raises the fencing tokens of all leases by restoredTokenStep, above any that the members lost
// before a restore may have granted.
func (s *state) raiseFencingTokens() {
	for name, lease := range s.leases {
		raised := proto.Clone(lease).(*wire.Lease)
		raised.Fence += restoredTokenStep
		s.leases[name] = raised
	}
}

// queryMemberReports requests a memberReport from all control nodes that this one knows. answered includes the
// report of this node; silent contains the addresses of the nodes that did not respond.
func (n *Node) queryMemberReports(ctx context.Context) (self memberReport, answered []memberReport, silent []string) {
	ctx, cancel := context.WithTimeout(ctx, n.process.Settings.Bounds.Recovery(memberReportTimeoutRatio))
	defer cancel()
	self, _ = queryMemberReport(ctx, n)
	answered = []memberReport{self}
	selfAddr := controlclient.MemberAddr(self.member)
	n.leaderView() // adds the members in the newest published view to the addresses of the control client
	addresses := slices.DeleteFunc(n.controlClient.Addresses(), func(addr string) bool { return addr == selfAddr })
	responses := make([]*memberReport, len(addresses))
	var queries sync.WaitGroup
	for i, addr := range addresses {
		queries.Go(func() {
			if other, err := queryMemberReport(ctx, n.clients.ControlNode(addr)); err == nil {
				responses[i] = &other
			}
		})
	}
	queries.Wait()
	for i, response := range responses {
		if response == nil {
			silent = append(silent, addresses[i])
		} else {
			answered = append(answered, *response)
		}
	}
	return self, answered, silent
}

// statusReader is the part of the control node API that queryMemberReport uses.
type statusReader interface {
	Status(context.Context, *wire.StatusRequest) (*wire.StatusResponse, error)
	Follow(context.Context, *wire.FollowRequest) (*wire.FollowResponse, error)
}

// queryMemberReport requests the data for a memberReport from one control node.
func queryMemberReport(ctx context.Context, node statusReader) (memberReport, error) {
	follow, err := node.Follow(ctx, &wire.FollowRequest{})
	if err != nil {
		return memberReport{}, err
	}
	response, err := node.Status(ctx, &wire.StatusRequest{})
	if err != nil {
		return memberReport{}, err
	}
	if len(response.Shards) == 0 {
		return memberReport{}, errs.New(errs.NotFound, "control node's status response lists no member of the control group")
	}
	status := response.Shards[0]
	return memberReport{
		member:     follow.Member,
		generation: follow.RestoreGeneration,
		logEnd:     logPosition{status.LastLogTerm, status.LastIndex},
		newest:     membership{follow.Members, logPosition{follow.MembersTerm, follow.MembersIndex}},
		failure:    status.Failure,
	}, nil
}

// sendRestoreNotices, on the leader of a restored group, informs control nodes outside the group of the restore at
// intervals. Their disks may hold members of the group as it was before, which could otherwise continue as a
// second group.
func (s *shard) sendRestoreNotices() {
	if s.ticks%s.restoreNoticeTicks != 0 {
		return
	}
	if status := s.core.Status(); !status.IsLeader || status.RestoreGeneration == 0 {
		return
	}
	inGroup := map[string]bool{controlclient.MemberAddr(s.core.Self()): true}
	for _, peer := range s.core.PeerStatuses() {
		inGroup[controlclient.MemberAddr(peer.Name)] = true
	}
	for _, addr := range s.controlNodes() {
		if !inGroup[addr] {
			s.send(s.core.RestoreNotice(addr))
		}
	}
}

// errSuperseded is the failure of a member that the group was restored without.
var errSuperseded = errs.New(errs.Conflict, "the group was restored without this member: its disk will be replaced once the restored group is serving")

// haltIfSuperseded halts this member once it has learned that the group was restored without it. Its disk then
// counts as lost, and the machine joins the restored group as a new member, but only once that group is known to
// serve (replaceSupersededDisk): an erroneous restore generation in a message must not make a group replace all of
// its disks.
func (s *shard) haltIfSuperseded() {
	if s.supersededBy = s.core.SupersededBy(); s.supersededBy != 0 {
		s.halt(errSuperseded)
	}
}

// replaceSupersededDisk permits the disk of this member, which the group was restored without, to be replaced. It
// requires that a leader of the restored group, or of one restored later, serves a read that a quorum has
// confirmed.
func (n *Node) replaceSupersededDisk() {
	shard := n.shards[0]
	ctx, cancel := context.WithTimeout(n.process.Ctx, n.process.Settings.Bounds.Recovery(memberReportTimeoutRatio))
	defer cancel()
	generation := query(ctx, shard, 0, func() uint64 { return shard.supersededBy })
	for _, addr := range n.controlClient.Addresses() {
		if generation != 0 && n.servesGeneration(ctx, addr, generation) {
			shard.commands.Offer(shard.allowReplacement)
			return
		}
	}
}

// servesGeneration reports whether the control node at an address leads a group of the given restore generation or
// a later one, as confirmed by a quorum.
func (n *Node) servesGeneration(ctx context.Context, addr string, generation uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, n.process.Settings.Bounds.Recovery(joinTimeoutRatio))
	defer cancel()
	client := n.clients.ControlNode(addr)
	follow, err := client.Follow(ctx, &wire.FollowRequest{})
	if err != nil || follow.RestoreGeneration < generation {
		return false
	}
	read, err := client.Read(ctx, &wire.ReadRequest{})
	return err == nil && read.Outcome == wire.OutcomeDone
}
