package mutation

const (
	coreFile     = consensusPackage + "/core.go"
	stepFile     = consensusPackage + "/step.go"
	electionFile = consensusPackage + "/election.go"
	appendFile   = consensusPackage + "/append.go"
	readFile     = consensusPackage + "/read_index.go"
	memberFile   = consensusPackage + "/membership.go"
	logFile      = consensusPackage + "/log.go"
	leaderFile   = consensusPackage + "/replication.go"
	installFile  = consensusPackage + "/snapshot_receive.go"
	statusFile   = consensusPackage + "/status.go"
	modelChecker = "TestModelChecker/"
)

// wideModelChecker has the model checker search within wider bounds.
var wideModelChecker = []string{"CONSENSUS_MODEL=wide"}

// Faults of the consensus core that the model checker finds; they belong to no point (0). The failing test
// prints the trace of messages, and how many states the search took.
var _ = register(
	mutant{name: "a vote isn't persisted", file: electionFile,
		original:    "c.saveHardState(c.hardState.Term, message.From)",
		replacement: "c.hardState = &wire.HardState{Term: c.hardState.Term, Vote: message.From, Incarnation: c.hardState.Incarnation, DiskState: c.hardState.DiskState}",
		pkg:         consensusPackage, run: modelChecker + "elections$"},
	mutant{name: "a vote is given to a shorter log", file: electionFile,
		original:    "message.LogTerm == lastTerm && message.Index >= c.lastIndex()",
		replacement: "message.LogTerm == lastTerm",
		pkg:         consensusPackage, run: modelChecker + "elections_and_log"},
	mutant{name: "a second vote is given in a term", file: electionFile,
		original:    `(c.hardState.Vote == "" || c.hardState.Vote == message.From) && `,
		replacement: "",
		pkg:         consensusPackage, run: modelChecker + "elections$"},
	mutant{name: "an entry of an older term is committed by counting", file: leaderFile,
		original:    "if term, _ := c.termAt(index); term != c.hardState.Term {",
		replacement: "if term, _ := c.termAt(index); term > c.hardState.Term {",
		pkg:         consensusPackage, run: modelChecker + "entries_of_older_terms"},
	mutant{name: "a candidate doesn't persist its term", file: electionFile,
		original:    "c.saveHardState(term, c.cfg.Self)",
		replacement: "c.hardState = &wire.HardState{Term: term, Vote: c.cfg.Self, Incarnation: c.hardState.Incarnation, DiskState: c.hardState.DiskState}",
		pkg:         consensusPackage, run: modelChecker + "elections$"},
	mutant{name: "the truncation of a log isn't persisted", file: appendFile,
		original:    "c.ready.Records = append(c.ready.Records, &wire.Record{Kind: &wire.Record_TruncateFrom{TruncateFrom: entry.Index}})",
		replacement: "_ = exists",
		pkg:         consensusPackage, run: modelChecker + "elections_and_log"},
	mutant{name: "an answer to another incarnation is counted", file: stepFile,
		original:    "if handler.isResponse && message.AboutIncarnation != c.hardState.Incarnation {",
		replacement: `if handler.isResponse && message.AboutIncarnation == "" {`,
		pkg:         consensusPackage, run: modelChecker + "fixed_members_and_a_lost_disk"},
	mutant{name: "members change before the last change is committed", file: memberFile,
		original:    "return c.role == leader && term == c.hardState.Term && c.voters.index <= c.commit",
		replacement: "return c.role == leader && term == c.hardState.Term",
		pkg:         consensusPackage, run: modelChecker + "membership_changes_and_disk_loss"},
	mutant{name: "members change before the leader has committed in its term", file: memberFile,
		original: "	return c.role == leader && term == c.hardState.Term && c.voters.index <= c.commit",
		replacement: `	_, lastChange := term, uint64(0) // the rule of the thesis without its correction: the last change is committed
	for _, entry := range c.log {
		if len(entry.Members) > 0 && !slices.Equal(entry.Members, c.votersAt(entry.Index-1).names) {
			lastChange = entry.Index
		}
	}
	return c.role == leader && lastChange <= c.commit`,
		pkg: consensusPackage, run: modelChecker + "changes_by_leaders_of_two_terms", env: wideModelChecker},
	mutant{name: "two members are added or removed at once", file: memberFile,
		original:    "len(added)+len(removed) != 1 || len(proposed) == 0",
		replacement: "len(added)+len(removed) > 2 || len(proposed) == 0",
		pkg:         consensusPackage, run: modelChecker + "membership_changes_and_disk_loss"},
	mutant{name: "a read is confirmed without asking a quorum", file: readFile,
		original:    "return c.peers[voter].ackedReadSequence >= read.sequence",
		replacement: "return true",
		pkg:         consensusPackage, run: modelChecker + "reads_and_leader_transfer"},
	mutant{name: "a read is accepted before the leader has committed in its term", file: readFile,
		original:    "c.role != leader || term != c.hardState.Term {\n\t\treturn 0, false",
		replacement: "c.role != leader || term > c.hardState.Term {\n\t\treturn 0, false",
		pkg:         consensusPackage, run: modelChecker + "reads_and_leader_transfer", env: wideModelChecker},
	mutant{name: "a compaction forgets entries that aren't applied", file: logFile,
		original:    "remaining := append([]*wire.Entry(nil), c.entriesFrom(c.applied+1)...)",
		replacement: "var remaining []*wire.Entry",
		pkg:         consensusPackage, run: modelChecker + "compaction_and_conflicting_logs"},
	mutant{name: "a compaction forgets the vote", file: logFile,
		original:    "Index: c.applied, Term: term, HardState: c.hardState, State: state,",
		replacement: "Index: c.applied, Term: term, HardState: &wire.HardState{Incarnation: c.hardState.Incarnation, DiskState: c.hardState.DiskState, Term: c.hardState.Term}, State: state,",
		pkg:         consensusPackage, run: modelChecker + "compaction_and_restart"},
	mutant{name: "a newer term isn't persisted", file: electionFile,
		original:    "c.saveHardState(term, \"\")",
		replacement: "c.hardState = &wire.HardState{Term: term, Incarnation: c.hardState.Incarnation, DiskState: c.hardState.DiskState}",
		pkg:         consensusPackage, run: modelChecker + "elections_and_log"},
	mutant{name: "a leader continues in a newer term that it received", file: stepFile,
		original: `if message.Term > c.hardState.Term && !handler.keepsTerm {
		c.becomeFollower(message.Term, "")`,
		replacement: `if message.Term > c.hardState.Term && !handler.keepsTerm {
		c.saveHardState(message.Term, "")`,
		pkg: consensusPackage, run: modelChecker + "elections$"},
	mutant{name: "a snapshot is installed over newer state", file: installFile,
		original: "if message.Snapshot.Index <= c.commit {",
		replacement: `if message.Snapshot.Index < c.commit && uint64(len(message.Chunk.Data)) == message.Chunk.Total {
		older := proto.Clone(message.Snapshot).(*wire.Snapshot)
		older.State = message.Chunk.Data
		c.restoreSnapshot(older, nil)
	}
	if message.Snapshot.Index <= c.commit {`,
		pkg: consensusPackage, run: modelChecker + "snapshot_to_a_learner"},
	mutant{name: "a removed leader counts itself", file: coreFile,
		original: `func (c *Core) hasQuorum(satisfies func(voter string) bool) bool {
	count := 0`,
		replacement: `func (c *Core) hasQuorum(satisfies func(voter string) bool) bool {
	count := 0
	if !c.IsVoter(c.cfg.Self) {
		count = 1
	}`,
		pkg: consensusPackage, run: modelChecker + "membership_changes_and_disk_loss"},
	mutant{name: "unapplied entries are left out of a proof of freshness", file: statusFile,
		original:    "return c.entriesFrom(c.applied + 1) }",
		replacement: "return nil }",
		pkg:         consensusPackage, run: modelChecker + "proof_to_a_client_that_its_copy_of_the_replicated_state_is_the_newest"},
)
