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

// wideModelChecker is the environment with which the model checker searches more states than by default.
var wideModelChecker = []string{"CONSENSUS_MODEL=wide"}

// Faults in the Raft implementation that the model checker must detect. They belong to no point of docs/control.md.
// The failing test prints the sequence of messages that leads to the violation, and how many states it searched.
var _ = register(
	mutant{name: "a voter doesn't persist its vote before it responds", file: electionFile,
		original:    "c.saveHardState(c.hardState.Term, message.From)",
		replacement: "c.hardState = &wire.HardState{Term: c.hardState.Term, Vote: message.From, Incarnation: c.hardState.Incarnation, DiskState: c.hardState.DiskState}",
		pkg:         consensusPackage, run: modelChecker + "elections$"},
	mutant{name: "a voter grants its vote to a candidate with a shorter log", file: electionFile,
		original:    "message.LogTerm == lastTerm && message.Index >= c.lastIndex()",
		replacement: "message.LogTerm == lastTerm",
		pkg:         consensusPackage, run: modelChecker + "elections_and_log"},
	mutant{name: "a voter grants a second vote in the same term", file: electionFile,
		original:    `(c.hardState.Vote == "" || c.hardState.Vote == message.From) && `,
		replacement: "",
		pkg:         consensusPackage, run: modelChecker + "elections$"},
	mutant{name: "a leader commits an entry of an earlier term by counting replicas", file: leaderFile,
		original:    "if term, _ := c.termAt(index); term != c.hardState.Term {",
		replacement: "if term, _ := c.termAt(index); term > c.hardState.Term {",
		pkg:         consensusPackage, run: modelChecker + "entries_of_older_terms"},
	mutant{name: "a candidate doesn't persist its term", file: electionFile,
		original:    "c.saveHardState(term, c.cfg.Self)",
		replacement: "c.hardState = &wire.HardState{Term: term, Vote: c.cfg.Self, Incarnation: c.hardState.Incarnation, DiskState: c.hardState.DiskState}",
		pkg:         consensusPackage, run: modelChecker + "elections$"},
	mutant{name: "a follower doesn't persist that it truncated its log", file: appendFile,
		original:    "c.ready.Records = append(c.ready.Records, &wire.Record{Kind: &wire.Record_TruncateFrom{TruncateFrom: entry.Index}})",
		replacement: "_ = exists",
		pkg:         consensusPackage, run: modelChecker + "elections_and_log"},
	mutant{name: "a member counts a response that was meant for its earlier incarnation", file: stepFile,
		original:    "if handler.isResponse && message.AboutIncarnation != c.hardState.Incarnation {",
		replacement: `if handler.isResponse && message.AboutIncarnation == "" {`,
		pkg:         consensusPackage, run: modelChecker + "fixed_members_and_a_lost_disk"},
	mutant{name: "a membership change is proposed before the previous one is committed", file: memberFile,
		original:    "return c.role == leader && term == c.hardState.Term && c.voters.index <= c.commit",
		replacement: "return c.role == leader && term == c.hardState.Term",
		pkg:         consensusPackage, run: modelChecker + "membership_changes_and_disk_loss"},
	mutant{name: "a leader proposes a membership change before it has committed an entry in its term", file: memberFile,
		original: "	return c.role == leader && term == c.hardState.Term && c.voters.index <= c.commit",
		replacement: `	_, lastChange := term, uint64(0) // the rule of the thesis without its correction: the last change is committed
	for _, entry := range c.log {
		if len(entry.Members) > 0 && !slices.Equal(entry.Members, c.votersAt(entry.Index-1).names) {
			lastChange = entry.Index
		}
	}
	return c.role == leader && lastChange <= c.commit`,
		pkg: consensusPackage, run: modelChecker + "changes_by_leaders_of_two_terms", env: wideModelChecker},
	mutant{name: "a membership change adds or removes two members at once", file: memberFile,
		original:    "len(added)+len(removed) != 1 || len(proposed) == 0",
		replacement: "len(added)+len(removed) > 2 || len(proposed) == 0",
		pkg:         consensusPackage, run: modelChecker + "membership_changes_and_disk_loss"},
	mutant{name: "a leader confirms a read without responses from a quorum", file: readFile,
		original:    "return c.peers[voter].ackedReadSequence >= read.sequence",
		replacement: "return true",
		pkg:         consensusPackage, run: modelChecker + "reads_and_leader_transfer"},
	mutant{name: "a leader accepts a read before it has committed an entry in its term", file: readFile,
		original:    "c.role != leader || term != c.hardState.Term {\n\t\treturn 0, false",
		replacement: "c.role != leader || term > c.hardState.Term {\n\t\treturn 0, false",
		pkg:         consensusPackage, run: modelChecker + "reads_and_leader_transfer", env: wideModelChecker},
	mutant{name: "log compaction drops entries that aren't applied yet", file: logFile,
		original:    "remaining := append([]*wire.Entry(nil), c.entriesFrom(c.applied+1)...)",
		replacement: "var remaining []*wire.Entry",
		pkg:         consensusPackage, run: modelChecker + "compaction_and_conflicting_logs"},
	mutant{name: "log compaction drops the persisted vote", file: logFile,
		original:    "Index: c.applied, Term: term, HardState: c.hardState, State: state,",
		replacement: "Index: c.applied, Term: term, HardState: &wire.HardState{Incarnation: c.hardState.Incarnation, DiskState: c.hardState.DiskState, Term: c.hardState.Term}, State: state,",
		pkg:         consensusPackage, run: modelChecker + "compaction_and_restart"},
	mutant{name: "a member doesn't persist a newer term that it received", file: electionFile,
		original:    "c.saveHardState(term, \"\")",
		replacement: "c.hardState = &wire.HardState{Term: term, Incarnation: c.hardState.Incarnation, DiskState: c.hardState.DiskState}",
		pkg:         consensusPackage, run: modelChecker + "elections_and_log"},
	mutant{name: "a leader doesn't step down when it receives a newer term", file: stepFile,
		original: `if message.Term > c.hardState.Term && !handler.keepsTerm {
		c.becomeFollower(message.Term, "")`,
		replacement: `if message.Term > c.hardState.Term && !handler.keepsTerm {
		c.saveHardState(message.Term, "")`,
		pkg: consensusPackage, run: modelChecker + "elections$"},
	mutant{name: "a received snapshot replaces newer state", file: installFile,
		original: "if message.Snapshot.Index <= c.commit {",
		replacement: `if message.Snapshot.Index < c.commit && uint64(len(message.Chunk.Data)) == message.Chunk.Total {
		older := proto.Clone(message.Snapshot).(*wire.Snapshot)
		older.State = message.Chunk.Data
		c.restoreSnapshot(older, nil)
	}
	if message.Snapshot.Index <= c.commit {`,
		pkg: consensusPackage, run: modelChecker + "snapshot_to_a_learner"},
	mutant{name: "a leader that was removed from the membership still counts itself for a quorum", file: coreFile,
		original: `func (c *Core) hasQuorum(satisfies func(voter string) bool) bool {
	count := 0`,
		replacement: `func (c *Core) hasQuorum(satisfies func(voter string) bool) bool {
	count := 0
	if !c.IsVoter(c.cfg.Self) {
		count = 1
	}`,
		pkg: consensusPackage, run: modelChecker + "membership_changes_and_disk_loss"},
	mutant{name: "a member omits unapplied entries when it confirms that it has nothing newer", file: statusFile,
		original:    "return c.entriesFrom(c.applied + 1) }",
		replacement: "return nil }",
		pkg:         consensusPackage, run: modelChecker + "proof_to_a_client_that_its_copy_of_the_replicated_state_is_the_newest"},
)
