package mutation

// Point 4: a member that was restarted, wiped or replaced after hundreds of changes catches up, and never
// uses old or torn state.
var _ = register(
	mutant{point: 4, name: "an old snapshot is installed over newer state",
		file:        "internal/control/consensus/snapshot_receive.go",
		original:    "if snapshot.Index <= c.commit {",
		replacement: "if snapshot.Index == 0 {",
		pkg:         consensusPackage, run: "TestDelayedSnapshotMessagesChangeNothing"},
	mutant{point: 4, name: "a snapshot chunk is accepted out of order",
		file:        "internal/control/consensus/snapshot_receive.go",
		original:    "if chunk.Offset != offset || ",
		replacement: "if ",
		pkg:         consensusPackage, run: "TestNonContiguousChunkIsIgnored"},
	mutant{point: 4, name: "a torn snapshot is accepted",
		file:        "internal/control/consensus/snapshot_receive.go",
		original:    "if crc32.Checksum(s.received, castagnoliTable) != s.checksum {",
		replacement: "if s.received == nil {",
		pkg:         consensusPackage, run: "TestCorruptSnapshotIsNotInstalled"},
	mutant{point: 4, name: "a late chunk of an older snapshot replaces a newer partial one",
		file:        "internal/control/consensus/snapshot_receive.go",
		original:    "c.incoming.snapshot.Index >= message.Snapshot.Index {",
		replacement: "c.incoming.snapshot.Index == message.Snapshot.Index {",
		pkg:         consensusPackage, run: "TestNewerSnapshotReplacesPartialOne"},
	mutant{point: 4, name: "each compaction restarts a snapshot transfer",
		file:     "internal/control/consensus/snapshot_send.go",
		original: "	case heartbeat:\n",
		replacement: `	case heartbeat && transfer.snapshot.Index < c.snapshot.Index:
		c.beginTransfer(peer, progress)
	case heartbeat:
`,
		pkg: consensusPackage, run: "TestSnapshotTransferIsNotRestartedByCompactions"},
	mutant{point: 4, name: "a snapshot is sent in one message",
		file: "internal/control/consensus/replication.go",
		original: `	case progress.acceptsChunks:
`,
		replacement: `	case progress.acceptsChunks && len(c.snapshot.State) == 0:
`,
		pkg: consensusPackage, run: "TestSnapshotTransferOverSlowLink"},
	mutant{point: 4, name: "the log's tail is dropped at a compaction",
		file:        "internal/control/consensus/log.go",
		original:    "c.trailing = append([]*wire.Entry(nil), all[first:]...)",
		replacement: "c.trailing = nil",
		pkg:         consensusPackage, run: "TestLaggingFollowerCatchesUpFromTrailingLog"},
	mutant{point: 4, name: "the commit index passes the last entry",
		file:        "internal/control/consensus/append.go",
		original:    "min(message.Commit, last)",
		replacement: "message.Commit",
		pkg:         consensusPackage, run: "TestEntryTooLargeForLinkIsSentAsSnapshot"},
	mutant{point: 4, name: "an unreadable snapshot is stored",
		file: "internal/control/controlstate/persistence.go",
		original: `	if err := checkFormat(snapshot); err != nil {
		return err
	}
	installed`,
		replacement: "	installed",
		pkg:         statePackage, run: "TestUnreadableSnapshotIsNotStored"},
	mutant{point: 4, name: "a snapshot is acknowledged before it is stored",
		file: "internal/control/controlstate/persistence.go",
		original: `	if err := s.store.SaveSnapshot(snapshot, records); err != nil {
		return err
	}
	*s.state`,
		replacement: `	*s.state`,
		pkg:         statePackage, run: "TestSnapshotIsStoredBeforeItIsAcknowledged"},
	mutant{point: 4, name: "heartbeats wait behind a large message",
		file:        "internal/control/controlstate/transport.go",
		original:    "if len(message.GetChunk().GetData()) > 0 || payloadBytes(message) >= largeMessageBytes {",
		replacement: "if false {",
		pkg:         statePackage, run: "TestHeartbeatsBypassLargeMessages"},
	mutant{point: 4, name: "a stalled message isn't aborted when its peer answers again",
		file:        "internal/control/controlstate/transport.go",
		original:    "if p.lastSmallFailed && !failed && p.abortLarge != nil {",
		replacement: "if false {",
		pkg:         statePackage, run: "TestLargeMessageAbortsWhenThePeerAnswersAgain"},
)
