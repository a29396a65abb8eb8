package consensus

import "pebbleloom/internal/wire"

// Unlike small batches of entries, large ones aren't sent again at each heartbeat: on a slow link, duplicates
// would be queued faster than they are transmitted. A large batch is retried once the driver reports it as
// lost, or after batchTimeout without a response.
const (
	// largeBatchBytes is the size from which a batch counts as large. The transmission of a smaller one
	// takes less than a heartbeat interval even on a slow link.
	largeBatchBytes = 16 << 10

	// assumedLinkBytesPerTick is the throughput of the slowest link that timeouts allow for, in bytes per
	// tick. With larger values losses are detected earlier, but slower links carry duplicates.
	assumedLinkBytesPerTick = 8 << 10

	// maxBatchTimeoutElections is the upper bound of batchTimeout, in minimum election timeouts.
	maxBatchTimeoutElections = 8

	// batchLossesBeforeSnapshot is the number of consecutive losses of large batches after which a
	// snapshot, which is sent in chunks, replaces the entries.
	batchLossesBeforeSnapshot = 2
)

// batchTimeout returns how many ticks the response to a batch of size bytes may take. The timeout doubles with
// each consecutive loss, up to maxBatchTimeoutElections minimum election timeouts.
func (c *Core) batchTimeout(size, losses int) int {
	timeout := (c.cfg.ElectionTicks + size/assumedLinkBytesPerTick) << min(losses, maxBatchTimeoutElections)
	return min(timeout, maxBatchTimeoutElections*c.cfg.ElectionTicks)
}

// replicate sends a peer the entries that it lacks, or a snapshot if they are compacted. At a heartbeat it sends
// a request in any case, otherwise only if no entries or chunk are in flight to the peer.
func (c *Core) replicate(peer string, heartbeat bool) {
	progress := c.peers[peer]
	if progress.inFlight && !heartbeat {
		return
	}
	if progress.transfer != nil {
		c.continueTransfer(peer, progress, heartbeat)
		return
	}
	prev := progress.next - 1
	prevTerm, ok := c.termAt(prev)
	if !ok || c.tooLargeForLink(progress) {
		c.sendSnapshot(peer, progress)
		return
	}
	if progress.inFlight && c.ticks < progress.batchRetryAt {
		c.sendAppend(peer, prev, prevTerm, nil)
		return
	}
	entries, size := c.batchFor(peer, progress.next)
	progress.batchRetryAt = 0
	if size >= largeBatchBytes {
		if progress.inFlight {
			c.countBatchLoss(peer, progress)
		}
		progress.batchRetryAt = c.ticks + c.batchTimeout(size, progress.batchLosses)
	}
	progress.inFlight = len(entries) > 0
	c.sendAppend(peer, prev, prevTerm, entries)
}

// sendAppend sends an append request (paper, section 5.3); without entries it is a heartbeat.
func (c *Core) sendAppend(peer string, prev, prevTerm uint64, entries []*wire.Entry) {
	c.send(&wire.Message{To: peer, Kind: wire.MessageKind_APPEND_REQUEST, Index: prev, LogTerm: prevTerm, Entries: entries, Commit: c.commit, Probe: c.readSequence, SentTick: c.sentTick()})
}

// batchFor returns the entries to send to a peer from an index on, up to MaxBatchBytes but at least one if there
// is any, and the total size of the returned entries in bytes.
func (c *Core) batchFor(peer string, from uint64) (entries []*wire.Entry, size int) {
	for index := from; index <= c.replicationLimit(peer); index++ {
		entry := c.entryAt(index)
		if size+entryBytes(entry) > c.cfg.MaxBatchBytes && len(entries) > 0 {
			break
		}
		size += entryBytes(entry)
		entries = append(entries, entry)
	}
	return entries, size
}

// countBatchLoss counts the loss of a large batch if the peer is responding, so that its link must be too slow.
func (c *Core) countBatchLoss(peer string, progress *peerProgress) {
	if progress.ticksSinceResponse < max(c.responseTimeout(peer), c.cfg.ElectionTicks) {
		progress.batchLosses++
	}
}

// tooLargeForLink reports whether large batches to a peer were lost so often that its link can't carry them,
// and the snapshot, which is sent in chunks, includes the next entry to send.
func (c *Core) tooLargeForLink(progress *peerProgress) bool {
	return progress.batchLosses >= batchLossesBeforeSnapshot && progress.acceptsChunks && progress.next <= c.snapshot.Index
}

// ReportSendFailure informs the core that the driver has given up sending a message. The content of the message
// is sent again at the next heartbeat; a lost chunk of a snapshot is sent again in smaller chunks.
//
// Example: c.ReportSendFailure(message); drive(c.Ready())
func (c *Core) ReportSendFailure(message *wire.Message) {
	progress := c.peers[message.To]
	if c.role != leader || progress == nil || message.Term != c.hardState.Term || !progress.inFlight {
		return
	}
	switch {
	case progress.transfer != nil:
		if message.Chunk != nil && message.Chunk.Offset == progress.transfer.ackedOffset {
			progress.transfer.retryAt = c.ticks
		}
	case len(message.Entries) > 0 && message.Entries[0].Index == progress.next:
		progress.inFlight = false
		c.countBatchLoss(message.To, progress)
	}
}

// sendSnapshot sends the snapshot to a peer because the entries that the peer lacks are compacted, or are too large
// for its link. A peer that hasn't responded in this term is sent a heartbeat first: it may be down, and its
// response says whether its release can receive chunks. Older releases get the snapshot in one message.
func (c *Core) sendSnapshot(peer string, progress *peerProgress) {
	switch {
	case !progress.responded:
		c.sendAppend(peer, c.snapshot.Index, c.snapshot.Term, nil)
	case progress.acceptsChunks:
		c.beginTransfer(peer, progress)
	case progress.snapshotSentAt > 0 && c.ticks-progress.snapshotSentAt < c.cfg.ElectionTicks/2: // the snapshot sent last may still be in flight
	default:
		progress.snapshotSentAt, progress.inFlight = c.ticks, true
		c.send(&wire.Message{To: peer, Kind: wire.MessageKind_SNAPSHOT_REQUEST, Snapshot: c.snapshot, Commit: c.commit, Probe: c.readSequence, SentTick: c.sentTick()})
	}
}

// handleAppendResponse advances the progress of a peer that acknowledged entries, advances the commit index, and
// sends the peer the next entries.
func (c *Core) handleAppendResponse(message *wire.Message) {
	progress := c.recordResponse(message)
	if progress == nil {
		return
	}
	progress.acceptsChunks = message.AcceptsChunks
	if !message.Ok {
		c.handleRejection(message, progress)
		return
	}
	advanced := message.Index > progress.match
	progress.match = max(progress.match, message.Index)
	progress.next = max(progress.next, progress.match+1)
	if progress.transfer != nil && progress.match >= progress.transfer.snapshot.Index {
		progress.transfer, progress.inFlight, progress.batchLosses = nil, false, 0
	}
	if advanced || c.ticks >= progress.batchRetryAt {
		progress.inFlight, progress.batchLosses = false, 0
	}
	c.advanceCommit()
	if progress.next <= c.replicationLimit(message.From) {
		c.replicate(message.From, false)
	}
}

// handleRejection handles a rejected append request: it moves progress.next back to where the peer's log may
// match, and retries from there (paper, section 5.3).
func (c *Core) handleRejection(message *wire.Message, progress *peerProgress) {
	if progress.transfer != nil {
		return // the snapshot transfer in progress brings the peer's log up to the snapshot
	}
	progress.inFlight = false
	if c.cfg.DynamicMembership && message.Index < progress.match {
		return // the peer has lost acknowledged entries, which must not happen: retry at the next heartbeat, not at once in a loop
	}
	progress.next = max(progress.match+1, min(progress.next-1, message.Index+1))
	progress.batchRetryAt = 0
	c.replicate(message.From, true)
}

// advanceCommit commits the highest entry of the current term that a quorum has stored. Entries of earlier
// terms are committed only along with it (paper, section 5.4.2). A leader that has been removed from the
// voters steps down once its removal is committed (thesis, section 4.2.2).
func (c *Core) advanceCommit() {
	for index := c.lastIndex(); index > c.commit; index-- {
		if term, _ := c.termAt(index); term != c.hardState.Term {
			return
		}
		if c.hasQuorum(func(voter string) bool { return c.peers[voter].match >= index }) {
			c.commit = index
			c.forEachPeer(func(peer string) { c.replicate(peer, true) })
			if !c.IsVoter(c.cfg.Self) && c.voters.index <= c.commit {
				c.becomeFollower(c.hardState.Term, "")
			}
			return
		}
	}
}
