package consensus

import "pebbleloom/internal/wire"

// Large batches aren't sent again at each heartbeat, as small ones are: on a slow link duplicates would
// be queued faster than they are transmitted. A large batch is retried once the driver reports it as
// lost, or after batchTimeout without a response.
const (
	// largeBatchBytes is the size from which a batch counts as large. A smaller one takes less than
	// a heartbeat even on a slow link.
	largeBatchBytes = 16 << 10

	// assumedLinkBytesPerTick is the throughput of the slowest link that time-outs are made for, in bytes
	// per tick. Larger values detect losses earlier, and send duplicates on slower links.
	assumedLinkBytesPerTick = 8 << 10

	// maxBatchTimeoutElections bounds batchTimeout, in election timeouts.
	maxBatchTimeoutElections = 8

	// batchLossesBeforeSnapshot is the number of consecutive losses after which the entries are
	// replaced by a snapshot, which is sent in chunks.
	batchLossesBeforeSnapshot = 2
)

// batchTimeout returns how many ticks a response to a batch of size bytes may take. It doubles with
// each consecutive loss.
func (c *Core) batchTimeout(size, losses int) int {
	timeout := (c.cfg.ElectionTicks + size/assumedLinkBytesPerTick) << min(losses, maxBatchTimeoutElections)
	return min(timeout, maxBatchTimeoutElections*c.cfg.ElectionTicks)
}

// replicate sends a peer the entries that it lacks, or a snapshot where they are compacted. At a heartbeat
// it sends a request in any case, otherwise only if nothing is in flight.
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

// batchFor returns the entries to send from an index on, at least one if there is any, and their size in
// bytes.
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

// countBatchLoss counts a large batch that was lost although the peer responds: its link is too slow.
func (c *Core) countBatchLoss(peer string, progress *peerProgress) {
	if progress.ticksSinceResponse < max(c.responseTimeout(peer), c.cfg.ElectionTicks) {
		progress.batchLosses++
	}
}

// tooLargeForLink reports whether large batches to a peer were lost so often that its link can't carry
// them, and the snapshot, which is sent in chunks, has their entries.
func (c *Core) tooLargeForLink(progress *peerProgress) bool {
	return progress.batchLosses >= batchLossesBeforeSnapshot && progress.acceptsChunks && progress.next <= c.snapshot.Index
}

// ReportSendFailure reports that the driver has given up sending a message. Its content is sent
// again at the next heartbeat, a snapshot in smaller chunks.
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

// sendSnapshot brings a peer up to the snapshot, because the entries that it lacks are compacted. A peer
// that hasn't responded is sent a heartbeat first: it may be down, and its response says whether its
// release receives chunks. Older releases get the snapshot in one message.
func (c *Core) sendSnapshot(peer string, progress *peerProgress) {
	switch {
	case !progress.responded:
		c.sendAppend(peer, c.snapshot.Index, c.snapshot.Term, nil)
	case progress.acceptsChunks:
		c.beginTransfer(peer, progress)
	case progress.snapshotSentAt > 0 && c.ticks-progress.snapshotSentAt < c.cfg.ElectionTicks/2: // still in flight
	default:
		progress.snapshotSentAt, progress.inFlight = c.ticks, true
		c.send(&wire.Message{To: peer, Kind: wire.MessageKind_SNAPSHOT_REQUEST, Snapshot: c.snapshot, Commit: c.commit, Probe: c.readSequence, SentTick: c.sentTick()})
	}
}

// handleAppendResponse advances a peer's progress and the commit index, and sends what follows.
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

// handleRejection moves next back to where the peer's log may match, and retries from there (paper,
// section 5.3).
func (c *Core) handleRejection(message *wire.Message, progress *peerProgress) {
	if progress.transfer != nil {
		return // the transfer will bring it up to the snapshot
	}
	progress.inFlight = false
	if c.cfg.DynamicMembership && message.Index < progress.match {
		return // it has lost entries that it had acknowledged, which must not happen: retried at the next heartbeat, not in a loop
	}
	progress.next = max(progress.match+1, min(progress.next-1, message.Index+1))
	progress.batchRetryAt = 0
	c.replicate(message.From, true)
}

// advanceCommit commits the highest entry of the current term that a quorum has. Entries of earlier
// terms are only committed along with it (paper, section 5.4.2). A leader that isn't a voter any more
// steps down once its removal is committed (thesis, section 4.2.2).
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
