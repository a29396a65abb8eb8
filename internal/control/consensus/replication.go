package consensus

import "pebbleloom/internal/wire"

// progress is what the leader knows of a member or learner that it replicates to.
type progress struct {
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
func (c *Core) replicate(m string, heartbeat bool) {
	p := c.peers[m]
	if p.inFlight && !heartbeat {
		return
	}
	if p.transfer != nil {
		c.continueTransfer(m, p, heartbeat)
		return
	}
	prev := p.next - 1
	prevTerm, ok := c.termAt(prev)
	if !ok || c.tooLargeForLink(p) {
		c.sendSnapshot(m, p)
		return
	}
	if p.inFlight && c.ticks < p.batchRetryAt {
		c.sendAppend(m, prev, prevTerm, nil)
		return
	}
	entries, size := c.batchFor(m, p.next)
	p.batchRetryAt = 0
	if size >= largeBatchBytes {
		if p.inFlight {
			c.countBatchLoss(m, p)
		}
		p.batchRetryAt = c.ticks + c.batchTimeout(size, p.batchLosses)
	}
	p.inFlight = len(entries) > 0
	c.sendAppend(m, prev, prevTerm, entries)
}

func (c *Core) sendAppend(m string, prev, prevTerm uint64, entries []*wire.Entry) {
	c.send(&wire.Message{To: m, Kind: wire.MessageKind_APPEND_REQUEST, Index: prev, LogTerm: prevTerm, Entries: entries, Commit: c.commit, Probe: c.readSequence, SentTick: c.sentTick()})
}

// batchFor returns the entries to send from an index on, one at least if there is one, and their size.
func (c *Core) batchFor(m string, from uint64) (entries []*wire.Entry, size int) {
	for index := from; index <= c.replicationLimit(m); index++ {
		e := c.entryAt(index)
		if size+entryBytes(e) > c.cfg.MaxBatchBytes && len(entries) > 0 {
			break
		}
		size += entryBytes(e)
		entries = append(entries, e)
	}
	return entries, size
}

// responseTimeout is how many ticks go by without a response from a peer that is gone, and not from one
// that responds to every heartbeat.
func (c *Core) responseTimeout(m string) int {
	if c.IsVoter(m) {
		return 2 * c.cfg.HeartbeatTicks
	}
	return 2 * learnerHeartbeats * c.cfg.HeartbeatTicks
}

// countBatchLoss counts a large batch that was lost while the peer could be heard: its link is too slow.
func (c *Core) countBatchLoss(m string, p *progress) {
	if p.ticksSinceResponse < max(c.responseTimeout(m), c.cfg.ElectionTicks) {
		p.batchLosses++
	}
}

// ReportSendFailure says that the driver gave up sending a message. What it carried is sent again at the
// next heartbeat, a snapshot in smaller pieces.
//
// Example: c.ReportSendFailure(m); drive(c.Ready())
func (c *Core) ReportSendFailure(m *wire.Message) {
	p := c.peers[m.To]
	if c.role != leader || p == nil || m.Term != c.hardState.Term || !p.inFlight {
		return
	}
	switch {
	case p.transfer != nil:
		if m.Chunk != nil && m.Chunk.Offset == p.transfer.ackedOffset {
			p.transfer.retryAt = c.ticks
		}
	case len(m.Entries) > 0 && m.Entries[0].Index == p.next:
		p.inFlight = false
		c.countBatchLoss(m.To, p)
	}
}

// tooLargeForLink tells whether a batch was lost so often that the link can't carry it whole; the
// snapshot holds it already, and is sent in pieces.
func (c *Core) tooLargeForLink(p *progress) bool {
	return p.batchLosses >= batchLossesBeforeSnapshot && p.acceptsChunks && p.next <= c.snapshot.Index
}

// sendSnapshot begins to bring a peer up to the snapshot, because the entries that it lacks
// are in the log no more.
func (c *Core) sendSnapshot(m string, p *progress) {
	switch {
	case !p.responded: // it may be dead, or of an older release: its response says
		c.sendAppend(m, c.snapshot.Index, c.snapshot.Term, nil)
	case p.acceptsChunks:
		c.beginTransfer(m, p)
	case p.snapshotSentAt > 0 && c.ticks-p.snapshotSentAt < c.cfg.ElectionTicks/2: // it is on its way
	default:
		p.snapshotSentAt, p.inFlight = c.ticks, true
		c.send(&wire.Message{To: m, Kind: wire.MessageKind_SNAPSHOT_REQUEST, Snapshot: c.snapshot, Commit: c.commit, Probe: c.readSequence, SentTick: c.sentTick()})
	}
}

// recordResponse notes a response of this term; nil if it doesn't count.
func (c *Core) recordResponse(l *wire.Message) *progress {
	if c.role != leader || l.Term != c.hardState.Term {
		return nil
	}
	p := c.peers[l.From]
	if p == nil {
		return nil // removed, or a learner that isn't known any more: it asks again
	}
	if p.incarnation != l.Incarnation { // another disk: what the old one had acknowledged counts no more
		*p = progress{next: c.lastIndex() + 1, incarnation: l.Incarnation, contactAge: c.requestAge(l), responded: true, acceptsChunks: l.AcceptsChunks}
		c.replicate(l.From, true)
		return nil
	}
	if p.ticksSinceResponse >= c.responseTimeout(l.From) { // it is back: what was in flight is lost
		p.inFlight, p.batchRetryAt = false, 0
	}
	if p.ticksSinceResponse >= max(c.responseTimeout(l.From), c.cfg.ElectionTicks) {
		p.batchLosses = 0 // they were the peer's, not the link's
	}
	p.ticksSinceResponse, p.contactAge, p.responded = 0, min(p.contactAge, c.requestAge(l)), true
	p.ackedReadSequence = max(p.ackedReadSequence, l.Probe)
	return p
}

func (c *Core) handleAppendResponse(l *wire.Message) {
	p := c.recordResponse(l)
	if p == nil {
		return
	}
	p.acceptsChunks = l.AcceptsChunks
	if !l.Ok {
		c.handleRejection(l, p)
		return
	}
	advanced := l.Index > p.match
	p.match = max(p.match, l.Index)
	p.next = max(p.next, p.match+1)
	if p.transfer != nil && p.match >= p.transfer.snapshot.Index {
		p.transfer, p.inFlight, p.batchLosses = nil, false, 0
	}
	if advanced || c.ticks >= p.batchRetryAt {
		p.inFlight, p.batchLosses = false, 0
	}
	c.advanceCommit()
	if p.next <= c.replicationLimit(l.From) {
		c.replicate(l.From, false)
	}
}

// handleRejection steps back to an entry that the peer may hold.
func (c *Core) handleRejection(l *wire.Message, p *progress) {
	if p.transfer != nil {
		return // the transfer brings it up
	}
	p.inFlight = false
	if c.cfg.DynamicMembership && l.Index < p.match {
		return // it has lost what it had acknowledged, which nobody may: asked again at the next heartbeat, not at once
	}
	p.next = max(p.match+1, min(p.next-1, l.Index+1))
	p.batchRetryAt = 0
	c.replicate(l.From, true)
}

// advanceCommit commits what a quorum holds, if it is of this term.
func (c *Core) advanceCommit() {
	for i := c.lastIndex(); i > c.commit; i-- {
		if t, _ := c.termAt(i); t != c.hardState.Term {
			return
		}
		if c.hasQuorum(func(m string) bool { return c.peers[m].match >= i }) {
			c.commit = i
			c.forEachPeer(func(m string) { c.replicate(m, true) })
			if !c.IsVoter(c.cfg.Self) && c.members.index <= c.commit {
				c.becomeFollower(c.hardState.Term, "") // its own removal is done
			}
			return
		}
	}
}
