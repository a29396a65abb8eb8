package mutation

// A member that was restarted, wiped or replaced after hundreds of changes has to catch up, and must
// never go by old or torn state.
var _ = register(
	mutant{point: 4, name: "an old snapshot is installed over newer state",
		file:        "internal/control/consensus/snapshot_receive.go",
		original:    "if snapshot.Index <= c.commit {",
		replacement: "if snapshot.Index == 0 {",
		pkg:         "internal/control/consensus", run: "TestDelayedSnapshotMessagesChangeNothing"},
	mutant{point: 4, name: "a piece is taken out of order",
		file:        "internal/control/consensus/snapshot_receive.go",
		original:    "if chunk.Offset != offset || ",
		replacement: "if ",
		pkg:         "internal/control/consensus", run: "TestNonContiguousChunkIsIgnored"},
	mutant{point: 4, name: "a torn snapshot is accepted",
		file:        "internal/control/consensus/snapshot_receive.go",
		original:    "if crc32.Checksum(s.received, castagnoliTable) != s.checksum {",
		replacement: "if s.received == nil {",
		pkg:         "internal/control/consensus", run: "TestCorruptSnapshotIsNotInstalled"},
	mutant{point: 4, name: "a late piece of an older snapshot replaces a newer partial one",
		file:        "internal/control/consensus/snapshot_receive.go",
		original:    "c.incoming.snapshot.Index >= message.Snapshot.Index {",
		replacement: "c.incoming.snapshot.Index == message.Snapshot.Index {",
		pkg:         "internal/control/consensus", run: "TestNewerSnapshotReplacesPartialOne"},
	mutant{point: 4, name: "each compaction starts a transfer anew",
		file:     "internal/control/consensus/snapshot_send.go",
		original: "	case heartbeat:\n",
		replacement: `	case heartbeat && transfer.snapshot.Index < c.snapshot.Index:
		c.beginTransfer(peer, progress)
	case heartbeat:
`,
		pkg: "internal/control/consensus", run: "TestSnapshotTransferIsNotRestartedByCompactions"},
	mutant{point: 4, name: "a whole snapshot is sent in one message",
		file: "internal/control/consensus/replication.go",
		original: `	case progress.acceptsChunks:
`,
		replacement: `	case progress.acceptsChunks && len(c.snapshot.State) == 0:
`,
		pkg: "internal/control/consensus", run: "TestSnapshotTransferOverSlowLink"},
	mutant{point: 4, name: "the log's tail is dropped at a compaction",
		file:        "internal/control/consensus/log.go",
		original:    "c.trailing = append([]*wire.Entry(nil), all[first:]...)",
		replacement: "c.trailing = nil",
		pkg:         "internal/control/consensus", run: "TestLaggingFollowerCatchesUpFromTrailingLog"},
	mutant{point: 4, name: "commit is taken beyond what is held",
		file:        "internal/control/consensus/append.go",
		original:    "min(message.Commit, last)",
		replacement: "message.Commit",
		pkg:         "internal/control/consensus", run: "TestEntryTooLargeForLinkIsSentAsSnapshot"},
	mutant{point: 4, name: "a snapshot that can't be read is stored",
		file: "internal/control/controlstate/persistence.go",
		original: `	if err := checkFormat(snapshot); err != nil {
		return err
	}
	installed`,
		replacement: "	installed",
		pkg:         "internal/control/controlstate", run: "TestUnreadableSnapshotIsNotStored"},
	mutant{point: 4, name: "a snapshot is acknowledged that the disk doesn't hold",
		file: "internal/control/controlstate/persistence.go",
		original: `	if err := s.store.SaveSnapshot(snapshot, records); err != nil {
		return err
	}
	*s.state`,
		replacement: `	*s.state`,
		pkg:         "internal/control/controlstate", run: "TestSnapshotIsStoredBeforeItIsAcknowledged"},
	mutant{point: 4, name: "heartbeats wait behind a large message",
		file:        "internal/control/controlstate/transport.go",
		original:    "if len(message.GetChunk().GetData()) > 0 || payloadBytes(message) >= largeMessageBytes {",
		replacement: "if false {",
		pkg:         "internal/control/controlstate", run: "TestHeartbeatsBypassLargeMessages"},
	mutant{point: 4, name: "a message that hangs outlives the silence of its address",
		file:        "internal/control/controlstate/transport.go",
		original:    "if p.lastSmallFailed && !failed && p.abortLarge != nil {",
		replacement: "if false {",
		pkg:         "internal/control/controlstate", run: "TestLargeMessageAbortsWhenThePeerAnswersAgain"},
)
