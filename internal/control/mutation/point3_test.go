package mutation

// Faults against point 3 of docs/control.md: when a second member is lost right after the first was repaired or
// replaced, the group still has a quorum and every acknowledged change.
var _ = register(
	mutant{point: 3, name: "a membership change is proposed before the previous one is committed (unit tests)",
		file:        "internal/control/consensus/membership.go",
		original:    "return c.role == leader && term == c.hardState.Term && c.voters.index <= c.commit",
		replacement: "return c.role == leader && term == c.hardState.Term",
		pkg:         consensusPackage, run: "Member|Change|Group"},
	mutant{point: 3, name: "an unresponsive member is removed before its replacement has caught up",
		file:        "internal/control/controlstate/membership.go",
		original:    "if peer.IsVoter || !peer.CaughtUp || peer.ContactAge >= spareReadyTicks {",
		replacement: "if peer.IsVoter || peer.ContactAge >= spareReadyTicks {",
		pkg:         statePackage, run: "TestMembershipPlannerDecisions"},
	mutant{point: 3, name: "a learner that lacks large log entries counts as caught up",
		file:        "internal/control/consensus/peer_status.go",
		original:    "return missing <= c.cfg.MaxBatchBytes",
		replacement: "return true",
		pkg:         consensusPackage, run: "TestLearnerLackingLargeEntriesIsNotCaughtUp"},
	mutant{point: 3, name: "the replacement of a lost member is added before the lost member is removed",
		file: "internal/control/controlstate/membership.go",
		original: `	if silent := p.firstMember(p.isSilent); silent != "" {
		return p.without(silent)
	}
	if slices`,
		replacement: `	if silent := p.firstMember(p.isSilent); silent != "" {
		return p.with(spare)
	}
	if slices`,
		pkg: statePackage, run: "TestPlannerTakesTheChosenSteps"},
	mutant{point: 3, name: "a member that leaves the group doesn't wait for its replacement",
		file: "internal/control/controlstate/leave.go",
		original: `	if !s.canLeave(name) {
		return false
	}`,
		replacement: "",
		pkg:         statePackage, run: "TestLeaverIsReplacedBeforeItStops"},
	mutant{point: 3, name: "a member that leaves the group doesn't wait until lagging voters have its entries",
		file:        "internal/control/controlstate/leave.go",
		original:    "return s.nextMembership() == nil && s.core.ReplicatedToLiveVoters(name, aliveTicks)",
		replacement: "return s.nextMembership() == nil",
		pkg:         statePackage, run: "TestLeaverWaitsForALaggingVoter"},
	mutant{point: 3, name: "a member that has left the group and stopped still counts as leaving",
		file: "internal/control/controlstate/leave.go",
		original: `	delete(s.leaving, name)
	return true`,
		replacement: "	return true",
		pkg:         statePackage, run: "TestDepartedLeaverIsNotCountedForTheQuorum"},
	mutant{point: 3, name: "a late join request from an earlier incarnation of a member replaces the running one",
		file:        "internal/control/controlstate/membership.go",
		original:    "sameAddress(peer.Name, name) && peer.Responded && peer.ContactAge < contactAge",
		replacement: "sameAddress(peer.Name, name) && contactAge >= 0",
		pkg:         statePackage, run: "TestMembershipPlannerDecisions"},
	mutant{point: 3, name: "each election resets how long a lost member has been unresponsive",
		file:        "internal/control/consensus/progress.go",
		original:    "if c.cfg.DynamicMembership && !c.votes[peer] {",
		replacement: "if false {",
		pkg:         consensusPackage, run: "TestNewLeaderCountsSilenceBeforeElection"},
	mutant{point: 3, name: "a member that was removed while it was unreachable waits too long before it rejoins",
		file:        "internal/control/controlstate/join.go",
		original:    "voterJoinTicks   = electionTicks",
		replacement: "voterJoinTicks   = 4 * electionTicks",
		pkg:         statePackage, run: "TestRemovedMemberRejoinsAsSpare"},
	mutant{point: 3, name: "a machine with an empty disk waits too long between join requests",
		file:        "internal/control/controlstate/join.go",
		original:    "joinIntervalRatio = 1.0 / 30",
		replacement: "joinIntervalRatio = 1.0 / 5",
		pkg:         statePackage, run: "TestRepairEndsBeforeTheLossDoes"},
	mutant{point: 3, name: "join requests are sent to unresponsive addresses as often as to responsive ones",
		file:        "internal/control/controlstate/join.go",
		original:    "responsive, unresponsive := controlclient.SplitByResponsiveness(addresses, isUnresponsive)",
		replacement: "_, unresponsive := controlclient.SplitByResponsiveness(addresses, isUnresponsive)\n\tresponsive := slices.Clone(addresses)",
		pkg:         statePackage, run: "TestJoinCandidates"},
)
