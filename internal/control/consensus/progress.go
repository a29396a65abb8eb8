package consensus

import "pebbleloom/internal/wire"

// peerProgress is the leader's view of a voter or learner that it replicates to.
//
// Invariant: match < next.
type peerProgress struct {
	next  uint64 // index of the next entry to send
	match uint64 // highest index up to which the peer's log is known to match the leader's

	incarnation       string // incarnation of the peer that acknowledged the entries up to match
	ackedReadSequence uint64 // highest read sequence number that the peer has echoed
	acceptsChunks     bool   // the peer's release can receive snapshots in chunks

	responded          bool // the peer has responded in this term
	ticksSinceResponse int  // ticks since the peer's last response arrived
	contactAge         int  // age in ticks of the newest request that the peer has responded to

	inFlight       bool              // entries or a snapshot chunk were sent and are not acknowledged yet
	batchRetryAt   int               // tick from which a large batch of entries in flight may be sent again
	batchLosses    int               // consecutive large batches of entries that weren't acknowledged in time
	transfer       *outgoingTransfer // snapshot transfer to the peer; nil: none
	snapshotSentAt int               // tick in which a snapshot was last sent in one message; 0: never
}

// newProgress returns the progress of a peer that hasn't responded yet.
func (c *Core) newProgress(peer string) *peerProgress {
	progress := &peerProgress{next: c.lastIndex() + 1}
	if c.cfg.DynamicMembership {
		progress.incarnation = peer // in a group, whose members can change, each incarnation of a machine has a member name of its own
	}
	return progress
}

// progressAtElection returns the initial progress of a peer for this newly elected leader. In a group, a peer that
// didn't vote for it counts as silent since this member's last contact with a leader, up to ElectionTicks. Otherwise
// each election would postpone the replacement of a member that is down.
func (c *Core) progressAtElection(peer string) *peerProgress {
	progress := c.newProgress(peer)
	if c.cfg.DynamicMembership && !c.votes[peer] {
		progress.ticksSinceResponse = min(c.ticks-c.lastLeaderContact, c.cfg.ElectionTicks)
		progress.contactAge = progress.ticksSinceResponse
	}
	return progress
}

// recordResponse updates the progress of the peer that sent a response, and returns it. It returns nil if the rest of
// the response is to be ignored.
func (c *Core) recordResponse(message *wire.Message) *peerProgress {
	if c.role != leader || message.Term != c.hardState.Term {
		return nil
	}
	progress := c.peers[message.From]
	if progress == nil {
		return nil // the sender is a removed voter, or a dropped learner that has to join again
	}
	if progress.incarnation != message.Incarnation { // the peer has a new disk: acknowledgements for the old one are invalid
		*progress = peerProgress{next: c.lastIndex() + 1, incarnation: message.Incarnation, contactAge: c.requestAge(message), responded: true, acceptsChunks: message.AcceptsChunks}
		c.replicate(message.From, true)
		return nil
	}
	if progress.ticksSinceResponse >= c.responseTimeout(message.From) { // the peer was down: requests in flight are lost
		progress.inFlight, progress.batchRetryAt = false, 0
	}
	if progress.ticksSinceResponse >= max(c.responseTimeout(message.From), c.cfg.ElectionTicks) {
		progress.batchLosses = 0 // the losses were caused by the peer being down, not by its link
	}
	progress.ticksSinceResponse, progress.contactAge, progress.responded = 0, min(progress.contactAge, c.requestAge(message)), true
	progress.ackedReadSequence = max(progress.ackedReadSequence, message.Probe)
	return progress
}

// responseTimeout returns the ticks without a response after which a peer counts as down. A peer that
// responds to every heartbeat never reaches it.
func (c *Core) responseTimeout(peer string) int {
	if c.IsVoter(peer) {
		return 2 * c.cfg.HeartbeatTicks
	}
	return 2 * learnerHeartbeats * c.cfg.HeartbeatTicks
}
