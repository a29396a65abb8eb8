package mutation

// manySeeds bound the search, which ends soon after the first seed that fails.
var manySeeds = []string{"SIM_SEED=0", "SIM_SEEDS=120"}

// Faults that only a history, or a seed of the group's simulator, finds. The number of seeds that each
// took is logged, and stands in docs/control.md.
var _ = register(
	mutant{point: 2, name: "an order is acknowledged before it is committed",
		file: "internal/control/controlstate/change.go",
		original: `	p.pendingProposals[index] = pending
	return pending, nil`,
		replacement: `	if u := command.GetPut(); u != nil {
		pendingProposals.response <- &wire.ChangeResponse{Outcome: wire.OutcomeDone, Version: u.NewVersion}
	} else {
		p.pendingProposals[index] = pendingProposals
	}
	return pendingProposals, nil`,
		pkg: "internal/control/controlstate", run: "TestSimGroup$", env: manySeeds},
	mutant{point: 1, name: "a read is answered from the applied state without a quorum",
		file: "internal/control/controlstate/shard.go",
		original: `			p.pendingReads[i] = w
`,
		replacement: "			w <- true\n",
		pkg:         "internal/control/controlstate", run: "TestSimGroup$", env: manySeeds},
	mutant{point: 2, name: "a snapshot forgets the orders that were taken",
		file:        "internal/control/controlstate/state.go",
		original:    "Tokens: s.recentTokens, Claims: s.claims.save(), AgeNs: s.claims.age, Accepted: s.saveIdempotency()}",
		replacement: "Claims: s.claims.save(), AgeNs: s.claims.age}",
		pkg:         "internal/control/controlstate", run: "TestSimGroup$", env: manySeeds},
	mutant{point: 1, name: "a lease is granted before the last one has run out",
		file:        "internal/control/controlstate/state.go",
		original:    "> ttl+time.Duration(float64(ttl)*settings.LeaseMarginRatio)",
		replacement: "> time.Duration(float64(ttl)*settings.LeaseMarginRatio)",
		pkg:         "internal/control/controlstate", run: "TestSimGroup$", env: manySeeds},
	mutant{point: 2, name: "an order under way is refused when its leader stops leading",
		file:        "internal/control/controlstate/contact.go",
		original:    "w.response <- &wire.ChangeResponse{Outcome: wire.OutcomeUnknown}",
		replacement: "w.response <- &wire.ChangeResponse{Outcome: wire.OutcomeConflict, Version: p.state.docs[p.configKey()].GetVersion()}",
		pkg:         "internal/control/controlstate", run: "TestSimGroup$", env: manySeeds},
	mutant{point: 4, name: "a vote isn't synced",
		file:        "internal/control/consensus/core.go",
		original:    "	c.ready.Records = append(c.ready.Records, &wire.Record{Kind: &wire.Record_HardState{HardState: c.hardState}})",
		replacement: "	_ = &wire.Record{}",
		pkg:         "internal/control/controlstate", run: "TestSimGroup$", env: manySeeds},
)
