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

// An operator restores a group of which a majority of disks is lost for good from one member that survived
// (consensus/restore.go says what that means for the others). This file decides whether that is allowed, and
// carries it out on the member that goes on.

// memberReportTimeoutRatio is how long the other control nodes may take to answer before a restore, as a ratio of the
// heal bound.
const memberReportTimeoutRatio = 1.0 / 12

// restoreNoticeIntervalRatio is the time between two notices of a restored group to control nodes that aren't part of it,
// as a ratio of the heal bound.
const restoreNoticeIntervalRatio = 1.0 / 12

// restoredTokenStep is added to the fencing token of every lease when a group is restored: it is more than the
// lost members can have granted beyond what the surviving one knows.
const restoredTokenStep = 1 << 32

// memberReport is what a control node says of its disk before a restore.
type memberReport struct {
	member     string // its name in the group
	generation uint64 // the restore generation of its group
	logEnd     logPosition
	newest     membership
	failure    string // why its disk can't be used; empty: it can
}

// logPosition is a position in a group's log.
type logPosition struct{ term, index uint64 }

// isAfter reports whether a log that ends at p has more of what was agreed than one that ends at other.
func (p logPosition) isAfter(other logPosition) bool {
	return p.term > other.term || p.term == other.term && p.index > other.index
}

// membership is a set of voters and the position of the entry that names it.
type membership struct {
	members []string
	at      logPosition
}

// newestMembership returns the newest membership that any of the survivors knows, among those of one restore
// generation.
func newestMembership(survivors []memberReport, generation uint64) (newest membership) {
	for _, other := range survivors {
		if other.generation == generation && (newest.members == nil || other.newest.at.isAfter(newest.at)) {
			newest = other.newest
		}
	}
	return newest
}

// objectionsToRestore lists why the group must not be restored from a survivor, given all that answered, itself
// included. It returns none if it may.
func objectionsToRestore(self memberReport, answered []memberReport) (objections []string) {
	if self.failure != "" {
		objections = append(objections, "this member's disk can't be used: "+self.failure)
	}
	if self.logEnd == (logPosition{}) {
		objections = append(objections, "this member's disk is empty: restore the group from one that isn't")
	}
	for _, other := range answered {
		switch {
		case other.generation > self.generation:
			objections = append(objections, fmt.Sprintf("%s belongs to a group that was restored after this member's: have this one join that", other.member))
		case other.generation == self.generation && other.failure == "" && other.logEnd.isAfter(self.logEnd):
			objections = append(objections, fmt.Sprintf("the log of %s is newer: restore the group from there", other.member))
		}
	}
	members := newestMembership(answered, self.generation).members
	usable := slices.DeleteFunc(slices.Clone(members), func(member string) bool {
		return !slices.ContainsFunc(answered, func(other memberReport) bool { return other.member == member && other.failure == "" })
	})
	if 2*len(usable) > len(members) {
		objections = append(objections, fmt.Sprintf("a majority of the members answers: %s: the group needs no restore, see that they reach each other", strings.Join(usable, ", ")))
	}
	return objections
}

// RestoreGroup restores the group from this member alone if confirmed names it as the dry run did, and nothing is
// to be said against it. Without a confirmation it reports what it would do. Kinds of errors are errs.Conflict for
// a group that must not be restored from here, or for the confirmation of another member, and errs.DiskFailure.
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
		return report, nil // the same call again
	}
	report.Objections = objectionsToRestore(self, answered)
	switch {
	case confirmed == "":
		return report, nil
	case len(report.Objections) > 0:
		return report, errs.New(errs.Conflict, "the group can't be restored from %s: %s", self.member, strings.Join(report.Objections, "; "))
	case confirmed != self.member:
		return report, errs.New(errs.Conflict, "%s is confirmed, but this member is %s", confirmed, self.member)
	}
	restored, err := n.restoreFrom(ctx, confirmed)
	report.Member, report.Restored = restored, err == nil
	report.Members = []string{restored}
	report.TimesRestored++
	return report, err
}

// restoreFrom restores the group on the shard's goroutine, if this member still has the name that was confirmed.
func (n *Node) restoreFrom(ctx context.Context, confirmed string) (restored string, err error) {
	shard := n.shards[0]
	name := newIncarnation(controlclient.MemberAddr(confirmed), n.process.Seed)
	outcome := query(ctx, shard, errs.New(errs.OutcomeUnknown, "the member's thread doesn't answer: ask for the status, then send the same again"), func() error {
		if shard.failure != nil || shard.core.Self() != confirmed {
			return errs.New(errs.Conflict, "the member has changed meanwhile: begin again")
		}
		return shard.restore(name, n.process.Seed())
	})
	return name, outcome
}

// restore makes this member the only one of a restored group, under a new name. All entries of its log count, the
// uncommitted ones too: each of them may have been acknowledged.
func (s *shard) restore(name string, random uint64) error {
	s.endPendingRequests() // for the old group
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
		return errs.Wrap(err, "save state")
	}
	from, generation := s.core.Self(), consensus.NextRestoreGeneration(s.core.Status().RestoreGeneration, random)
	err = s.store.SaveSnapshot(s.core.RestoredSnapshot(name, generation, body), nil)
	if err == nil {
		err = s.reopen()
	}
	if err != nil {
		s.halt(err) // the disk is opened again later
		return errs.Wrap(err, "restore")
	}
	s.publishRecovered()
	s.log.Warn("the group was restored from this member alone", "from", from, "member", name, "generation", generation)
	return nil
}

// raiseFencingTokens makes the fencing tokens of all leases higher than any that members granted whose disks are lost.
func (s *state) raiseFencingTokens() {
	for name, lease := range s.leases {
		raised := proto.Clone(lease).(*wire.Lease)
		raised.Fence += restoredTokenStep
		s.leases[name] = raised
	}
}

// queryMemberReports asks all control nodes that this one knows what their disks hold. answered includes this one;
// silent are the addresses of those that didn't answer.
func (n *Node) queryMemberReports(ctx context.Context) (self memberReport, answered []memberReport, silent []string) {
	ctx, cancel := context.WithTimeout(ctx, n.process.Settings.Bounds.Heal(memberReportTimeoutRatio))
	defer cancel()
	self, _ = queryMemberReport(ctx, n)
	answered = []memberReport{self}
	selfAddr := controlclient.MemberAddr(self.member)
	n.leaderView() // whose members are among the addresses
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

// statusReader is the part of a control node that a survey reads.
type statusReader interface {
	Status(context.Context, *wire.StatusRequest) (*wire.StatusResponse, error)
	Follow(context.Context, *wire.FollowRequest) (*wire.FollowResponse, error)
}

// queryMemberReport asks one control node what its disk holds.
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
		return memberReport{}, errs.New(errs.NotFound, "the node has no member of the group")
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

// sendRestoreNotices has the leader of a restored group inform control nodes outside it, at intervals: on their
// disks may be members of an earlier generation, which would go on without it.
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

// errSuperseded takes a member out that the group was restored without.
var errSuperseded = errs.New(errs.Conflict, "the group was restored without this member: its disk counts as lost once the restored group serves")

// haltIfSuperseded takes this member out once it has learned that the group was restored without it. Its disk
// counts as lost, and the machine joins the restored group as a new member, but only once that is known to serve
// (replaceSupersededDisk): a wrong number in a message must not have a group set all of its disks aside.
func (s *shard) haltIfSuperseded() {
	if s.supersededBy = s.core.SupersededBy(); s.supersededBy != 0 {
		s.halt(errSuperseded)
	}
}

// replaceSupersededDisk allows the disk of a member which the group was restored without to be replaced, if a leader
// of that restore generation, or a later one, serves a read that a quorum has confirmed.
func (n *Node) replaceSupersededDisk() {
	shard := n.shards[0]
	ctx, cancel := context.WithTimeout(n.process.Ctx, n.process.Settings.Bounds.Heal(memberReportTimeoutRatio))
	defer cancel()
	generation := query(ctx, shard, 0, func() uint64 { return shard.supersededBy })
	for _, addr := range n.controlClient.Addresses() {
		if generation != 0 && n.servesGeneration(ctx, addr, generation) {
			shard.commands.Offer(shard.allowReplacement)
			return
		}
	}
}

// servesGeneration reports whether the node at an address leads a group of a restore generation, or a later one, and a
// quorum confirms that.
func (n *Node) servesGeneration(ctx context.Context, addr string, generation uint64) bool {
	ctx, cancel := context.WithTimeout(ctx, n.process.Settings.Bounds.Heal(joinTimeoutRatio))
	defer cancel()
	client := n.clients.ControlNode(addr)
	follow, err := client.Follow(ctx, &wire.FollowRequest{})
	if err != nil || follow.RestoreGeneration < generation {
		return false
	}
	read, err := client.Read(ctx, &wire.ReadRequest{})
	return err == nil && read.Outcome == wire.OutcomeDone
}
