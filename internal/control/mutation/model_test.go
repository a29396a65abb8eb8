package mutation

const (
	consensusPkg  = "internal/control/consensus"
	coreFile      = consensusPkg + "/core.go"
	stepFile      = consensusPkg + "/step.go"
	electionFile  = consensusPkg + "/election.go"
	appendFile    = consensusPkg + "/append.go"
	readFile      = consensusPkg + "/read_index.go"
	memberFile    = consensusPkg + "/membership.go"
	logFile       = consensusPkg + "/log.go"
	leaderFile    = consensusPkg + "/replication.go"
	installFile   = consensusPkg + "/snapshot_receive.go"
	statusFile    = consensusPkg + "/status.go"
	modelSearches = "TestModelChecker/"
)

// wideSearches has the model checker search within its wider bounds.
var wideSearches = []string{"CONSENSUS_MODEL=wide"}

// Faults of the consensus core, found by the model checker; point 0 is that of the searches. The
// failing test prints the trace and how many states it took.
var _ = register(
	mutant{name: "a vote isn't persisted", file: electionFile,
		original:    "c.saveHardState(c.hardState.Term, message.From)",
		replacement: "c.hardState = &wire.HardState{Term: c.hardState.Term, Vote: message.From, Incarnation: c.hardState.Incarnation, DiskState: c.hardState.DiskState}",
		pkg:         consensusPkg, run: modelSearches + "elections$"},
	mutant{name: "a vote is given to a shorter log", file: electionFile,
		original:    "message.LogTerm == lastTerm && message.Index >= c.lastIndex()",
		replacement: "message.LogTerm == lastTerm",
		pkg:         consensusPkg, run: modelSearches + "elections_and_log"},
	mutant{name: "a second vote is given in a term", file: electionFile,
		original:    `(c.hardState.Vote == "" || c.hardState.Vote == message.From) && `,
		replacement: "",
		pkg:         consensusPkg, run: modelSearches + "elections$"},
	mutant{name: "an entry of an older term is committed by counting", file: leaderFile,
		original:    "if term, _ := c.termAt(index); term != c.hardState.Term {",
		replacement: "if term, _ := c.termAt(index); term > c.hardState.Term {",
		pkg:         consensusPkg, run: modelSearches + "entries_of_older_terms"},
	mutant{name: "a candidate forgets the term it stands in", file: electionFile,
		original:    "c.saveHardState(term, c.cfg.Self)",
		replacement: "c.hardState = &wire.HardState{Term: term, Vote: c.cfg.Self, Incarnation: c.hardState.Incarnation, DiskState: c.hardState.DiskState}",
		pkg:         consensusPkg, run: modelSearches + "elections$"},
	mutant{name: "a record of a cut log is forgotten", file: appendFile,
		original:    "c.ready.Records = append(c.ready.Records, &wire.Record{Kind: &wire.Record_TruncateFrom{TruncateFrom: entry.Index}})",
		replacement: "_ = exists",
		pkg:         consensusPkg, run: modelSearches + "elections_and_log"},
	mutant{name: "an answer to another incarnation is counted", file: stepFile,
		original:    "if handler.isResponse && message.AboutIncarnation != c.hardState.Incarnation {",
		replacement: `if handler.isResponse && message.AboutIncarnation == "" {`,
		pkg:         consensusPkg, run: modelSearches + "fixed_members_and_a_lost_disk"},
	mutant{name: "members change before the last change is committed", file: memberFile,
		original:    "return c.role == leader && term == c.hardState.Term && c.voters.index <= c.commit",
		replacement: "return c.role == leader && term == c.hardState.Term",
		pkg:         consensusPkg, run: modelSearches + "membership_changes_and_wipe"},
	mutant{name: "two members are added or removed at once", file: memberFile,
		original:    "len(added)+len(removed) != 1 || len(proposed) == 0",
		replacement: "len(added)+len(removed) > 2 || len(proposed) == 0",
		pkg:         consensusPkg, run: modelSearches + "membership_changes_and_wipe"},
	mutant{name: "a read is confirmed without asking a quorum", file: readFile,
		original:    "return c.peers[voter].ackedReadSequence >= read.sequence",
		replacement: "return true",
		pkg:         consensusPkg, run: modelSearches + "reads_and_leader_transfer"},
	mutant{name: "a read is taken before the leader has committed in its term", file: readFile,
		original:    "c.role != leader || term != c.hardState.Term {\n\t\treturn 0, false",
		replacement: "c.role != leader || term > c.hardState.Term {\n\t\treturn 0, false",
		pkg:         consensusPkg, run: modelSearches + "reads_and_leader_transfer", env: wideSearches},
	mutant{name: "a compaction forgets entries that aren't applied", file: logFile,
		original:    "remaining := append([]*wire.Entry(nil), c.entriesFrom(c.applied+1)...)",
		replacement: "var remaining []*wire.Entry",
		pkg:         consensusPkg, run: modelSearches + "compaction_and_conflicting_logs"},
	mutant{name: "a compaction forgets the vote", file: logFile,
		original:    "Index: c.applied, Term: term, HardState: c.hardState, State: state,",
		replacement: "Index: c.applied, Term: term, HardState: &wire.HardState{Incarnation: c.hardState.Incarnation, DiskState: c.hardState.DiskState, Term: c.hardState.Term}, State: state,",
		pkg:         consensusPkg, run: modelSearches + "compaction_and_restart"},
	mutant{name: "a newer term isn't persisted", file: electionFile,
		original:    "c.saveHardState(term, \"\")",
		replacement: "c.hardState = &wire.HardState{Term: term, Incarnation: c.hardState.Incarnation, DiskState: c.hardState.DiskState}",
		pkg:         consensusPkg, run: modelSearches + "elections_and_log"},
	mutant{name: "a leader goes on in a term that it only heard of", file: stepFile,
		original: `if message.Term > c.hardState.Term && !handler.keepsTerm {
		c.becomeFollower(message.Term, "")`,
		replacement: `if message.Term > c.hardState.Term && !handler.keepsTerm {
		c.saveHardState(message.Term, "")`,
		pkg: consensusPkg, run: modelSearches + "elections$"},
	mutant{name: "a snapshot is installed over newer state", file: installFile,
		original: "if message.Snapshot.Index <= c.commit {",
		replacement: `if message.Snapshot.Index < c.commit && uint64(len(message.Chunk.Data)) == message.Chunk.Total {
		older := proto.Clone(message.Snapshot).(*wire.Snapshot)
		older.State = message.Chunk.Data
		c.restoreSnapshot(older, nil)
	}
	if message.Snapshot.Index <= c.commit {`,
		pkg: consensusPkg, run: modelSearches + "snapshot_to_a_learner"},
	mutant{name: "a removed leader counts itself", file: coreFile,
		original: `func (c *Core) hasQuorum(satisfies func(voter string) bool) bool {
	count := 0`,
		replacement: `func (c *Core) hasQuorum(satisfies func(voter string) bool) bool {
	count := 0
	if !c.IsVoter(c.cfg.Self) {
		count = 1
	}`,
		pkg: consensusPkg, run: modelSearches + "membership_changes_and_wipe"},
	mutant{name: "what isn't applied is left out of a vouch", file: statusFile,
		original:    "return c.entriesFrom(c.applied + 1) }",
		replacement: "return nil }",
		pkg:         consensusPkg, run: modelSearches + "proofs_of_freshness"},
)
