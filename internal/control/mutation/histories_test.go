package mutation

// manySeeds has the simulation of a consensus group try up to 120 seeds; it stops soon after the first that fails.
var manySeeds = []string{"SIM_SEED=0", "SIM_SEEDS=120"}

// manyHistories has the test with real control nodes record and check up to 60 histories of operations.
var manyHistories = []string{"HISTORY_SEED=0", "HISTORY_SEEDS=60"}

// Faults that are only detected by checking histories of operations, or by simulating a consensus group with many
// seeds. The test logs how many seeds each fault takes to detect; docs/control.md lists the numbers.
var _ = register(
	mutant{point: 2, name: "a change is acknowledged before it is committed",
		file: "internal/control/controlstate/propose.go",
		original: `	s.pendingProposals[index] = proposal
	return proposal, nil`,
		replacement: `	if u := command.GetPut(); u != nil {
		proposal.response <- &wire.ChangeResponse{Outcome: wire.OutcomeDone, Version: u.NewVersion}
	} else {
		s.pendingProposals[index] = proposal
	}
	return proposal, nil`,
		pkg: statePackage, run: "TestSimGroup$", env: manySeeds},
	mutant{point: 1, name: "a read is answered from the applied state without confirmation by a quorum",
		file:        "internal/control/controlstate/read.go",
		original:    "			s.pendingReads[readID] = confirmation\n",
		replacement: "			confirmation <- true\n",
		pkg:         statePackage, run: "TestSimGroup$", env: manySeeds},
	mutant{point: 1, name: "half of the members count as a quorum",
		file:        "internal/control/consensus/core.go",
		original:    "	return 2*count > len(c.voters.names)\n",
		replacement: "	return 2*count >= len(c.voters.names)\n",
		pkg:         statePackage, run: "TestSimGroup$", env: manySeeds},
	mutant{point: 1, name: "a read is answered although its confirmation by a quorum failed",
		file:        "internal/control/controlstate/read.go",
		original:    "	if !confirmed {\n",
		replacement: "	if !confirmed && response.Leader != \"\" {\n",
		pkg:         statePackage, run: "TestHistoriesOfRealNodes$", env: manyHistories},
	mutant{point: 1, name: "a client counts its lease from the response instead of the request",
		file:        "internal/control/controlclient/lease.go",
		original:    "l.deadline = max(l.deadline, requestedAt+l.TTL-margin)",
		replacement: "l.deadline = max(l.deadline, l.clock.Now()+2*l.TTL-margin)",
		pkg:         statePackage, run: "TestHistoriesOfRealNodes$", env: manyHistories},
	mutant{point: 2, name: "a snapshot omits the idempotency records",
		file:        "internal/control/controlstate/state.go",
		original:    "Tokens: s.recentTokens, Claims: s.claims.save(), AgeNs: s.claims.age, Accepted: s.saveIdempotency()}",
		replacement: "Claims: s.claims.save(), AgeNs: s.claims.age}",
		pkg:         statePackage, run: "TestSimGroup$", env: manySeeds},
	mutant{point: 1, name: "a lease is granted before the previous holder's lease has ended",
		file:        "internal/control/controlstate/state.go",
		original:    "> ttl+time.Duration(float64(ttl)*settings.LeaseMarginRatio)",
		replacement: "> time.Duration(float64(ttl)*settings.LeaseMarginRatio)",
		pkg:         statePackage, run: "TestSimGroup$", env: manySeeds},
	mutant{point: 2, name: "a leader rejects pending changes when it steps down, though they may still be committed",
		file:     "internal/control/controlstate/propose.go",
		original: "	s.abandonProposals()",
		replacement: `	for index, proposal := range s.pendingProposals {
		proposal.response <- &wire.ChangeResponse{Outcome: wire.OutcomeConflict, Version: s.state.documents[s.configKey()].GetVersion()}
		delete(s.pendingProposals, index)
	}`,
		pkg: statePackage, run: "TestSimGroup$", env: manySeeds},
	mutant{point: 4, name: "a vote isn't written to the disk",
		file:        "internal/control/consensus/core.go",
		original:    "hardState.Term, hardState.Vote = term, vote\n	c.persistHardState(hardState)",
		replacement: "hardState.Term, hardState.Vote = term, vote\n	c.hardState = hardState",
		pkg:         statePackage, run: "TestSimGroup$", env: manySeeds},
)
