package consensus

import "pebbleloom/internal/wire"

// role is the Raft role of a member in its current term (paper, section 5.1).
type role int

const (
	follower     role = iota
	preCandidate      // asks the voters whether they would vote for it, before it begins a new term (thesis, section 9.6)
	candidate         // asks for votes in a new term
	leader
)

// unknownVote is stored as the vote of a member that may have voted in its term before it lost its disk. It
// equals no member's name, so the member grants no vote in that term.
const unknownVote = "-"

// startupElectionDivisor divides ElectionTicks; the quotient is the longest interval between two pre-votes of a
// member that has just started. With smaller divisors the election after a restart of all members takes longer;
// with larger ones members campaign at the same time more often.
const startupElectionDivisor = 3

// justStarted reports whether this member belongs to a group, has just started and has had no contact with a
// leader yet. Such a member starts pre-votes at once and at short intervals, because no leader contacts it
// after a restart of all members. This is harmless: a pre-vote changes no state, and members that have a
// leader reject it.
func (c *Core) justStarted() bool {
	return c.cfg.DynamicMembership && c.lastLeaderContact == 0 && c.ticks < c.cfg.ElectionTicks
}

// resetElectionTimer restarts the election timer with a new random timeout of ElectionTicks to twice as many (paper,
// section 5.2), or a shorter one if this member has just started.
func (c *Core) resetElectionTimer() {
	c.electionElapsed, c.electionTimeout = 0, c.cfg.ElectionTicks+c.cfg.Rand.IntN(c.cfg.ElectionTicks)
	if c.justStarted() {
		c.electionTimeout = 1 + c.cfg.Rand.IntN(max(1, c.cfg.ElectionTicks/startupElectionDivisor))
	}
}

// becomeFollower makes this member a follower in a term. The leader's name is empty while the leader of the term
// is unknown. A term later than the current one is persisted without a vote.
func (c *Core) becomeFollower(term uint64, leaderName string) {
	if term > c.hardState.Term {
		c.saveHardState(term, "")
	}
	if c.role == leader {
		c.abortReads()
		for _, progress := range c.peers {
			progress.transfer = nil // so that the snapshot being sent can be garbage-collected
		}
	}
	if leaderName != "" {
		c.lastLeaderContact = c.ticks // set before the election timer is reset, since a member that hasn't had contact with a leader gets shorter timeouts
	}
	if c.role != follower || leaderName != "" {
		c.resetElectionTimer()
	}
	c.role, c.leader = follower, leaderName
}

// campaign requests votes. As preCandidate, this member only asks whether the peers would vote for it, which
// changes no persistent state (thesis, section 9.6). As candidate, it begins a new term and votes for itself
// (paper, section 5.2).
func (c *Core) campaign(as role) {
	c.resetElectionTimer()
	c.role, c.leader, c.votes = as, "", map[string]bool{c.cfg.Self: true}
	kind, term := wire.MessageKind_PRE_VOTE_REQUEST, c.hardState.Term+1
	if as == candidate {
		kind = wire.MessageKind_VOTE_REQUEST
		c.saveHardState(term, c.cfg.Self)
	}
	c.forEachPeer(func(peer string) {
		c.send(&wire.Message{To: peer, Kind: kind, Term: term, Index: c.lastIndex(), LogTerm: c.lastTerm()})
	})
	switch {
	case !c.hasElectionQuorum():
	case as == preCandidate: // this member is the only voter: its own vote is a majority
		c.campaign(candidate)
	default:
		c.becomeLeader()
	}
}

// hasElectionQuorum reports whether a majority of the voters has granted its vote.
func (c *Core) hasElectionQuorum() bool {
	return c.hasQuorum(func(voter string) bool { return c.votes[voter] })
}

// becomeLeader makes this member the leader of the current term, and proposes an entry of that term: entries of
// earlier terms are committed only along with it (paper, section 5.4.2). In a group the entry also names the
// voters (see membership.go).
func (c *Core) becomeLeader() {
	c.role, c.leader, c.heartbeatElapsed, c.incoming = leader, c.cfg.Self, 0, nil
	clear(c.peers)
	c.forEachPeer(func(peer string) { c.peers[peer] = c.progressAtElection(peer) })
	c.proposeEntry(nil, c.voters.storedNames(c.cfg.DynamicMembership))
}

// isLogUpToDate reports whether the sender's log, as described by a vote request, is at least as up to date as this
// member's: its last entry has a later term, or the same term and no lower index (paper, section 5.4.1).
func (c *Core) isLogUpToDate(message *wire.Message) bool {
	lastTerm := c.lastTerm()
	return message.LogTerm > lastTerm || message.LogTerm == lastTerm && message.Index >= c.lastIndex()
}

// handlePreVoteRequest responds whether this member would vote for the sender. It wouldn't while it leads or
// has had contact with a leader in the last ElectionTicks ticks, so that a member returning from a partition can't disrupt the leader
// (thesis, sections 4.2.3 and 9.6). The request's term is the one that the sender would campaign in; it
// isn't adopted.
func (c *Core) handlePreVoteRequest(message *wire.Message) {
	ok := message.Term > c.hardState.Term && c.isLogUpToDate(message) &&
		(c.leader == "" || c.role != leader && c.electionElapsed >= c.cfg.ElectionTicks)
	if ok && c.cfg.DynamicMembership && c.role == preCandidate && c.yieldsTo(message) {
		c.role = follower
		c.resetElectionTimer()
	}
	c.send(&wire.Message{To: message.From, Kind: wire.MessageKind_PRE_VOTE_RESPONSE, Ok: ok, Probe: message.Term, AboutIncarnation: message.Incarnation})
}

// yieldsTo reports whether this pre-candidate stops campaigning in favour of the sender of a pre-vote request: it
// does if the sender's log is ahead or the sender's name sorts first. Members that start together would otherwise
// split the vote.
func (c *Core) yieldsTo(message *wire.Message) bool {
	return message.From < c.cfg.Self || message.LogTerm > c.lastTerm() || message.Index > c.lastIndex()
}

// handlePreVoteResponse counts a granted pre-vote. Probe is the term that the pre-vote was requested for: a late
// response to an earlier pre-vote request has an earlier term there and is ignored.
func (c *Core) handlePreVoteResponse(message *wire.Message) {
	if c.role != preCandidate || !message.Ok || message.Probe != c.hardState.Term+1 {
		return
	}
	if c.votes[message.From] = true; c.hasElectionQuorum() {
		c.campaign(candidate)
	}
}

// handleVoteRequest grants at most one vote in a term, to a candidate whose log is at least as up to date
// as this member's (paper, sections 5.2 and 5.4.1). The vote is on disk before the response is sent.
func (c *Core) handleVoteRequest(message *wire.Message) {
	ok := message.Term == c.hardState.Term && (c.hardState.Vote == "" || c.hardState.Vote == message.From) && c.isLogUpToDate(message)
	if ok {
		if c.hardState.Vote == "" {
			c.saveHardState(c.hardState.Term, message.From)
		}
		c.resetElectionTimer()
	}
	c.send(&wire.Message{To: message.From, Kind: wire.MessageKind_VOTE_RESPONSE, Ok: ok, AboutIncarnation: message.Incarnation})
}

// handleVoteResponse counts a vote granted in the current term, and makes a candidate with a majority the leader.
func (c *Core) handleVoteResponse(message *wire.Message) {
	if c.role != candidate || !message.Ok || message.Term != c.hardState.Term {
		return
	}
	if c.votes[message.From] = true; c.hasElectionQuorum() {
		c.becomeLeader()
	}
}
