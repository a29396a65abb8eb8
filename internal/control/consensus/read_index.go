package consensus

// pendingRead is a linearizable read that isn't confirmed yet (thesis, section 6.4): it may be served once
// a quorum has responded to a request sent after it began, and the entries up to index are applied.
type pendingRead struct {
	id       uint64
	sequence uint64 // sequence number of the read; requests carry the newest one, and responses of peers echo it
	index    uint64 // commit index when the read began
}

// ReadIndex begins a linearizable read: one that sees every change acknowledged before it. The id of the read
// is returned in Ready.ConfirmedReads once a quorum has confirmed that this member still leads, or in
// Ready.AbortedReads when it stops leading. ok is false if this member isn't the leader, or has not
// committed an entry of its own term: until then its commit index may lag behind that of an earlier leader.
//
// Example: id, ok := c.ReadIndex()
func (c *Core) ReadIndex() (id uint64, ok bool) {
	if term, _ := c.termAt(c.commit); c.role != leader || term != c.hardState.Term {
		return 0, false
	}
	c.lastReadID++
	c.readSequence++
	c.pendingReads = append(c.pendingReads, pendingRead{c.lastReadID, c.readSequence, c.commit})
	c.forEachPeer(func(peer string) { c.replicate(peer, true) })
	return c.lastReadID, true
}

// confirmReads moves to Ready.ConfirmedReads the pending reads that a quorum has confirmed and whose index is applied.
func (c *Core) confirmReads() {
	var pending []pendingRead
	for _, read := range c.pendingReads {
		if c.applied >= read.index && c.hasQuorum(func(voter string) bool { return c.peers[voter].ackedReadSequence >= read.sequence }) {
			c.ready.ConfirmedReads = append(c.ready.ConfirmedReads, read.id)
		} else {
			pending = append(pending, read)
		}
	}
	c.pendingReads = pending
}

// abortReads aborts all pending reads, since this member no longer leads and can't confirm them.
func (c *Core) abortReads() {
	for _, read := range c.pendingReads {
		c.ready.AbortedReads = append(c.ready.AbortedReads, read.id)
	}
	c.pendingReads = nil
}
