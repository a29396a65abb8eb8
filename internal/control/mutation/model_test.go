package mutation

const (
	consensusPkg  = "internal/control/consensus"
	coreFile      = consensusPkg + "/core.go"
	messagesFile  = consensusPkg + "/messages.go"
	memberFile    = consensusPkg + "/membership.go"
	lostDiskFile  = consensusPkg + "/incarnations.go"
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
	mutant{name: "a vote isn't persisted", file: messagesFile,
		original:    "c.saveHardState(c.hardState.Term, l.From)",
		replacement: "c.hardState = &wire.HardState{Term: c.hardState.Term, Vote: l.From, Incarnation: c.hardState.Incarnation, DiskState: c.hardState.DiskState}",
		pkg:         consensusPkg, run: modelSearches + "elections$"},
	mutant{name: "a vote is given to a shorter log", file: messagesFile,
		original:    "l.LogTerm == t && l.Index >= c.lastIndex()",
		replacement: "l.LogTerm == t",
		pkg:         consensusPkg, run: modelSearches + "elections_and_log"},
	mutant{name: "a second vote is given in a term", file: messagesFile,
		original:    `(c.hardState.Vote == "" || c.hardState.Vote == l.From) && `,
		replacement: "",
		pkg:         consensusPkg, run: modelSearches + "elections$"},
	mutant{name: "an entry of an older term is committed by counting", file: leaderFile,
		original:    "if t, _ := c.termAt(i); t != c.hardState.Term {",
		replacement: "if t, _ := c.termAt(i); t > c.hardState.Term {",
		pkg:         consensusPkg, run: modelSearches + "entries_of_older_terms"},
	mutant{name: "a candidate forgets the term it stands in", file: coreFile,
		original:    "c.saveHardState(term, c.cfg.Self)",
		replacement: "c.hardState = &wire.HardState{Term: term, Vote: c.cfg.Self, Incarnation: c.hardState.Incarnation, DiskState: c.hardState.DiskState}",
		pkg:         consensusPkg, run: modelSearches + "elections$"},
	mutant{name: "a record of a cut log is forgotten", file: messagesFile,
		original:    "c.ready.Records = append(c.ready.Records, &wire.Record{Kind: &wire.Record_TruncateFrom{TruncateFrom: e.Index}})",
		replacement: "_ = ok",
		pkg:         consensusPkg, run: modelSearches + "elections_and_log"},
	mutant{name: "an answer to another incarnation is counted", file: messagesFile,
		original:    "if l.AboutIncarnation != c.hardState.Incarnation {",
		replacement: `if l.AboutIncarnation == "" {`,
		pkg:         consensusPkg, run: modelSearches + "fixed_members_and_a_lost_disk"},
	mutant{name: "members change before the last change is committed", file: memberFile,
		original:    "return c.role == leader && t == c.hardState.Term && c.members.index <= c.commit",
		replacement: "return c.role == leader && t == c.hardState.Term",
		pkg:         consensusPkg, run: modelSearches + "membership_changes_and_wipe"},
	mutant{name: "two members are added or removed at once", file: memberFile,
		original:    "diff != 1 || len(l) == 0",
		replacement: "diff > 2 || len(l) == 0",
		pkg:         consensusPkg, run: modelSearches + "membership_changes_and_wipe"},
	mutant{name: "a read is confirmed without asking a quorum", file: coreFile,
		original:    "return c.peers[m].ackedReadSequence >= r.sequence",
		replacement: "return true",
		pkg:         consensusPkg, run: modelSearches + "reads_and_leader_transfer"},
	mutant{name: "a read is taken before the leader has committed in its term", file: coreFile,
		original:    "c.role != leader || t != c.hardState.Term {\n\t\treturn 0, false",
		replacement: "c.role != leader || t > c.hardState.Term {\n\t\treturn 0, false",
		pkg:         consensusPkg, run: modelSearches + "reads_and_leader_transfer", env: wideSearches},
	mutant{name: "a compaction forgets entries that aren't applied", file: logFile,
		original:    "stay := append([]*wire.Entry(nil), c.entriesFrom(c.applied+1)...)",
		replacement: "var stay []*wire.Entry",
		pkg:         consensusPkg, run: modelSearches + "compaction_and_conflicting_logs"},
	mutant{name: "a compaction forgets the vote", file: logFile,
		original:    "Index: c.applied, Term: t, HardState: c.hardState, State: state,",
		replacement: "Index: c.applied, Term: t, HardState: &wire.HardState{Incarnation: c.hardState.Incarnation, DiskState: c.hardState.DiskState, Term: c.hardState.Term}, State: state,",
		pkg:         consensusPkg, run: modelSearches + "compaction_and_restart"},
	mutant{name: "a newer term isn't persisted", file: coreFile,
		original:    "c.saveHardState(term, \"\")",
		replacement: "c.hardState = &wire.HardState{Term: term, Incarnation: c.hardState.Incarnation, DiskState: c.hardState.DiskState}",
		pkg:         consensusPkg, run: modelSearches + "elections_and_log"},
	mutant{name: "a leader goes on in a term that it only heard of", file: messagesFile,
		original:    "if l.Term > c.hardState.Term {\n\t\tc.becomeFollower(l.Term, \"\")",
		replacement: "if l.Term > c.hardState.Term {\n\t\tc.saveHardState(l.Term, \"\")",
		pkg:         consensusPkg, run: modelSearches + "elections$"},
	mutant{name: "a snapshot is installed over newer state", file: installFile,
		original: "if l.Snapshot.Index <= c.commit {",
		replacement: `if l.Snapshot.Index < c.commit && uint64(len(l.Chunk.Data)) == l.Chunk.Total {
		older := proto.Clone(l.Snapshot).(*wire.Snapshot)
		older.State = l.Chunk.Data
		c.restoreSnapshot(older, nil)
	}
	if l.Snapshot.Index <= c.commit {`,
		pkg: consensusPkg, run: modelSearches + "snapshot_to_a_learner"},
	mutant{name: "a removed leader counts itself", file: coreFile,
		original:    "func (c *Core) hasQuorum(pass func(m string) bool) bool {\n\tn := 0",
		replacement: "func (c *Core) hasQuorum(pass func(m string) bool) bool {\n\tn := 0\n\tif !c.IsVoter(c.cfg.Self) {\n\t\tn = 1\n\t}",
		pkg:         consensusPkg, run: modelSearches + "membership_changes_and_wipe"},
	mutant{name: "what isn't applied is left out of a vouch", file: statusFile,
		original:    "return c.entriesFrom(c.applied + 1) }",
		replacement: "return nil }",
		pkg:         consensusPkg, run: modelSearches + "proofs_of_freshness"},
)
