package mutation

// A second loss right after a repair or a replacement must find a quorum, and all that was acknowledged.
var _ = register(
	mutant{point: 3, name: "the members are changed before the last change is committed",
		file:        "internal/control/consensus/membership.go",
		original:    "return c.role == leader && term == c.hardState.Term && c.voters.index <= c.commit",
		replacement: "return c.role == leader && term == c.hardState.Term",
		pkg:         "internal/control/consensus", run: "Member|Change|Group"},
	mutant{point: 3, name: "a silent member is removed before its replacement has caught up",
		file:        "internal/control/controlstate/membership.go",
		original:    "if peer.IsVoter || !peer.CaughtUp || peer.ContactAge >= spareReadyTicks {",
		replacement: "if peer.IsVoter || peer.ContactAge >= spareReadyTicks {",
		pkg:         "internal/control/controlstate", run: "TestMembershipPlannerDecisions"},
	mutant{point: 3, name: "a learner that lacks large entries is made a voter",
		file:        "internal/control/consensus/peer_status.go",
		original:    "return missing <= c.cfg.MaxBatchBytes",
		replacement: "return true",
		pkg:         "internal/control/consensus", run: "TestLearnerLackingLargeEntriesIsNotCaughtUp"},
	mutant{point: 3, name: "a member that is gone is replaced by adding first",
		file: "internal/control/controlstate/membership.go",
		original: `	if silent := p.firstMember(p.isSilent); silent != "" {
		return p.without(silent)
	}
	if slices`,
		replacement: `	if silent := p.firstMember(p.isSilent); silent != "" {
		return p.with(spare)
	}
	if slices`,
		pkg: "internal/control/controlstate", run: "TestPlannerTakesTheChosenSteps"},
	mutant{point: 3, name: "a leaver doesn't wait for its successor",
		file: "internal/control/controlstate/leave.go",
		original: `	if !s.canLeave(name) {
		return false
	}`,
		replacement: "",
		pkg:         "internal/control/controlstate", run: "TestLeaverIsReplacedBeforeItStops"},
	mutant{point: 3, name: "a leaver doesn't wait until the others hold what was acknowledged",
		file:        "internal/control/controlstate/leave.go",
		original:    "return s.nextMembership() == nil && s.core.ReplicatedToLiveVoters(name, aliveTicks)",
		replacement: "return s.nextMembership() == nil",
		pkg:         "internal/control/controlstate", run: "TestLeaverWaitsForALaggingVoter"},
	mutant{point: 3, name: "a leaver that has gone still counts as one that votes",
		file: "internal/control/controlstate/leave.go",
		original: `	delete(s.leaving, name)
	return true`,
		replacement: "	return true",
		pkg:         "internal/control/controlstate", run: "TestDepartedLeaverIsNotCountedForTheQuorum"},
	mutant{point: 3, name: "a late ask of an earlier incarnation has the live member removed",
		file:        "internal/control/controlstate/membership.go",
		original:    "sameAddress(peer.Name, name) && peer.Responded && peer.ContactAge < contactAge",
		replacement: "sameAddress(peer.Name, name) && contactAge >= 0",
		pkg:         "internal/control/controlstate", run: "TestMembershipPlannerDecisions"},
	mutant{point: 3, name: "each election gives a member that is gone its whole time again",
		file:        "internal/control/consensus/progress.go",
		original:    "if c.cfg.DynamicMembership && !c.votes[peer] {",
		replacement: "if false {",
		pkg:         "internal/control/consensus", run: "TestNewLeaderCountsSilenceBeforeElection"},
	mutant{point: 3, name: "a member that was removed while it was away waits long before it asks",
		file:        "internal/control/controlstate/join.go",
		original:    "voterJoinTicks   = electionTicks",
		replacement: "voterJoinTicks   = 4 * electionTicks",
		pkg:         "internal/control/controlstate", run: "TestRemovedMemberRejoinsAsSpare"},
	mutant{point: 3, name: "a machine with an empty disk asks in long pauses to be taken in",
		file:        "internal/control/controlstate/join.go",
		original:    "joinIntervalRatio = 1.0 / 30",
		replacement: "joinIntervalRatio = 1.0 / 5",
		pkg:         "internal/control/controlstate", run: "TestRepairEndsBeforeTheLossDoes"},
	mutant{point: 3, name: "addresses that are silent are asked as the others are",
		file:        "internal/control/controlstate/join.go",
		original:    "responsive, unresponsive := controlclient.SplitByResponsiveness(addresses, isUnresponsive)",
		replacement: "_, unresponsive := controlclient.SplitByResponsiveness(addresses, isUnresponsive)\n\tresponsive := slices.Clone(addresses)",
		pkg:         "internal/control/controlstate", run: "TestJoinCandidates"},
)
