package consensus

import "pebbleloom/internal/wire"

// peerProgress is what the leader knows of a member or learner that it replicates to.
type peerProgress struct {
	next, match        uint64
	incarnation        string // the incarnation that match was acknowledged by
	ackedReadSequence  uint64 // highest probe it has echoed
	ticksSinceResponse int    // ticks since it responded
	contactAge         int    // ticks since the newest request was sent that it has responded to
	responded          bool   // it has responded in this term
	inFlight           bool
	batchRetryAt       int  // tick up to which a large batch in flight isn't sent again
	batchLosses        int  // large batches that got no response in time, one after another
	acceptsChunks      bool // its release takes snapshots in pieces
	transfer           *outgoingTransfer
	snapshotSentAt     int // tick in which a whole snapshot was sent last, to an older release; 0: never
}

// A batch of entries of largeBatchBytes or more isn't sent again at each heartbeat, but once the driver says
// that it was lost or no response has come in the time that a link of assumedLinkBytesPerTick takes, longer
// after each loss: on a slow link copies would queue up faster than they leave.
const (
	largeBatchBytes           = 16 << 10
	assumedLinkBytesPerTick   = 8 << 10
	maxBatchTimeoutElections  = 8 // times ElectionTicks
	batchLossesBeforeSnapshot = 2
)

// batchTimeout is how many ticks a response to so many bytes may take.
func (c *Core) batchTimeout(size, losses int) int {
	pause := (c.cfg.ElectionTicks + size/assumedLinkBytesPerTick) << min(losses, maxBatchTimeoutElections)
	return min(pause, maxBatchTimeoutElections*c.cfg.ElectionTicks)
}

// replicate sends a peer what it lacks; at a heartbeat also when it lacks nothing.
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

func (c *Core) sendAppend(peer string, prev, prevTerm uint64, entries []*wire.Entry) {
	c.send(&wire.Message{To: peer, Kind: wire.MessageKind_APPEND_REQUEST, Index: prev, LogTerm: prevTerm, Entries: entries, Commit: c.commit, Probe: c.readSequence, SentTick: c.sentTick()})
}

// batchFor returns the entries to send from an index on, one at least if there is one, and their size.
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

// responseTimeout is how many ticks go by without a response from a peer that is gone, and not from one
// that responds to every heartbeat.
func (c *Core) responseTimeout(peer string) int {
	if c.IsVoter(peer) {
		return 2 * c.cfg.HeartbeatTicks
	}
	return 2 * learnerHeartbeats * c.cfg.HeartbeatTicks
}

// countBatchLoss counts a large batch that was lost while the peer could be heard: its link is too slow.
func (c *Core) countBatchLoss(peer string, progress *peerProgress) {
	if progress.ticksSinceResponse < max(c.responseTimeout(peer), c.cfg.ElectionTicks) {
		progress.batchLosses++
	}
}

// ReportSendFailure says that the driver gave up sending a message. What it carried is sent again at the
// next heartbeat, a snapshot in smaller pieces.
//
// Example: c.ReportSendFailure(m); drive(c.Ready())
func (c *Core) ReportSendFailure(message *wire.Message) {
	progress := c.peers[message.To]
	if c.role != leader || progress == nil || message.Term != c.hardState.Term || !progress.inFlight {
		return
	}
	switch {
	case progress.transfer != nil:
		if message.Piece != nil && message.Piece.Offset == progress.transfer.ackedOffset {
			progress.transfer.retryAt = c.ticks
		}
	case len(message.Entries) > 0 && message.Entries[0].Index == progress.next:
		progress.inFlight = false
		c.countBatchLoss(message.To, progress)
	}
}

// tooLargeForLink tells whether a batch was lost so often that the link can't carry it whole; the
// snapshot holds it already, and is sent in pieces.
func (c *Core) tooLargeForLink(progress *peerProgress) bool {
	return progress.batchLosses >= batchLossesBeforeSnapshot && progress.acceptsChunks && progress.next <= c.snapshot.Index
}

// sendSnapshot begins to bring a peer up to the snapshot, because the entries that it lacks
// are in the log no more.
func (c *Core) sendSnapshot(peer string, progress *peerProgress) {
	switch {
	case !progress.responded: // it may be dead, or of an older release: its response says
		c.sendAppend(peer, c.snapshot.Index, c.snapshot.Term, nil)
	case progress.acceptsChunks:
		c.beginTransfer(peer, progress)
	case progress.snapshotSentAt > 0 && c.ticks-progress.snapshotSentAt < c.cfg.ElectionTicks/2: // it is on its way
	default:
		progress.snapshotSentAt, progress.inFlight = c.ticks, true
		c.send(&wire.Message{To: peer, Kind: wire.MessageKind_SNAPSHOT_REQUEST, Snapshot: c.snapshot, Commit: c.commit, Probe: c.readSequence, SentTick: c.sentTick()})
	}
}

// recordResponse notes a response of this term; nil if it doesn't count.
func (c *Core) recordResponse(message *wire.Message) *peerProgress {
	if c.role != leader || message.Term != c.hardState.Term {
		return nil
	}
	progress := c.peers[message.From]
	if progress == nil {
		return nil // removed, or a learner that isn't known any more: it asks again
	}
	if progress.incarnation != message.Incarnation { // another disk: what the old one had acknowledged counts no more
		*progress = peerProgress{next: c.lastIndex() + 1, incarnation: message.Incarnation, contactAge: c.requestAge(message), responded: true, acceptsChunks: message.AcceptsPieces}
		c.replicate(message.From, true)
		return nil
	}
	if progress.ticksSinceResponse >= c.responseTimeout(message.From) { // it is back: what was in flight is lost
		progress.inFlight, progress.batchRetryAt = false, 0
	}
	if progress.ticksSinceResponse >= max(c.responseTimeout(message.From), c.cfg.ElectionTicks) {
		progress.batchLosses = 0 // they were the peer's, not the link's
	}
	progress.ticksSinceResponse, progress.contactAge, progress.responded = 0, min(progress.contactAge, c.requestAge(message)), true
	progress.ackedReadSequence = max(progress.ackedReadSequence, message.Probe)
	return progress
}

func (c *Core) handleAppendResponse(message *wire.Message) {
	progress := c.recordResponse(message)
	if progress == nil {
		return
	}
	progress.acceptsChunks = message.AcceptsPieces
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

// handleRejection steps back to an entry that the peer may hold.
func (c *Core) handleRejection(message *wire.Message, progress *peerProgress) {
	if progress.transfer != nil {
		return // the transfer brings it up
	}
	progress.inFlight = false
	if c.cfg.DynamicMembership && message.Index < progress.match {
		return // it has lost what it had acknowledged, which nobody may: asked again at the next heartbeat, not at once
	}
	progress.next = max(progress.match+1, min(progress.next-1, message.Index+1))
	progress.batchRetryAt = 0
	c.replicate(message.From, true)
}

// advanceCommit commits what a quorum holds, if it is of this term.
func (c *Core) advanceCommit() {
	for i := c.lastIndex(); i > c.commit; i-- {
		if t, _ := c.termAt(i); t != c.hardState.Term {
			return
		}
		if c.hasQuorum(func(peer string) bool { return c.peers[peer].match >= i }) {
			c.commit = i
			c.forEachPeer(func(peer string) { c.replicate(peer, true) })
			if !c.IsVoter(c.cfg.Self) && c.voters.index <= c.commit {
				c.becomeFollower(c.hardState.Term, "") // its own removal is done
			}
			return
		}
	}
}
