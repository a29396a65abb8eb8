package consensus

import "pebbleloom/internal/wire"

// role is the part that a member plays in its term (paper, section 5.1).
type role int

const (
	follower     role = iota
	preCandidate      // asks whether it would win an election, in its old term (thesis, section 9.6)
	candidate         // asks for votes in a new term
	leader
)

// unknownVote is the vote of a member that may have voted in its term before it lost its disk. It
// equals no name, so the member grants no vote in that term.
const unknownVote = "-"

// startupElectionDivisor divides ElectionTicks to the longest pause between two pre-votes of a member
// that has just started. Smaller values elect a leader later after a full restart; larger ones make
// members campaign at the same time more often.
const startupElectionDivisor = 3

// justStarted reports whether a member of a group has just started and had no contact with a leader
// yet. It starts a pre-vote at once, and often: after a full restart no leader will contact it. A
// pre-vote changes nothing, and whoever has a leader rejects it.
func (c *Core) justStarted() bool {
	return c.cfg.DynamicMembership && c.lastLeaderContact == 0 && c.ticks < c.cfg.ElectionTicks
}

// resetElectionTimer restarts the election timer with a new random timeout (paper, section 5.2).
func (c *Core) resetElectionTimer() {
	c.electionElapsed, c.electionTimeout = 0, c.cfg.ElectionTicks+c.cfg.Rand.IntN(c.cfg.ElectionTicks)
	if c.justStarted() {
		c.electionTimeout = 1 + c.cfg.Rand.IntN(max(1, c.cfg.ElectionTicks/startupElectionDivisor))
	}
}

// becomeFollower makes this member a follower of a leader, or of none yet if the name is empty. A later
// term is persisted with its vote unused.
func (c *Core) becomeFollower(term uint64, leaderName string) {
	if term > c.hardState.Term {
		c.saveHardState(term, "")
	}
	if c.role == leader {
		c.abortReads()
		for _, progress := range c.peers {
			progress.transfer = nil // releases its snapshot
		}
	}
	if leaderName != "" {
		c.lastLeaderContact = c.ticks // before the timer is reset, which is shorter as long as there was no contact
	}
	if c.role != follower || leaderName != "" {
		c.resetElectionTimer()
	}
	c.role, c.leader = follower, leaderName
}

// campaign requests votes: as preCandidate whether the peers would vote, which changes no state (thesis,
// section 9.6), as candidate in a new term, with a vote for itself (paper, section 5.2).
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
	case as == preCandidate: // its own vote is a majority
		c.campaign(candidate)
	default:
		c.becomeLeader()
	}
}

// hasElectionQuorum reports whether a majority of the voters has granted its vote.
func (c *Core) hasElectionQuorum() bool {
	return c.hasQuorum(func(voter string) bool { return c.votes[voter] })
}

// becomeLeader starts the leadership of the current term with an entry of that term: entries of earlier
// terms are committed only along with it (paper, section 5.4.2). The entry also names the voters
// (see membership.go).
func (c *Core) becomeLeader() {
	c.role, c.leader, c.heartbeatElapsed, c.incoming = leader, c.cfg.Self, 0, nil
	clear(c.peers)
	c.forEachPeer(func(peer string) { c.peers[peer] = c.progressAtElection(peer) })
	c.proposeEntry(nil, c.voters.namesOnWire(c.cfg.DynamicMembership))
}

// isLogUpToDate reports whether the sender's log, as its request describes it, is at least as up to date
// as this one: its last entry has a later term, or the same term and no lower index (paper, section 5.4.1).
func (c *Core) isLogUpToDate(message *wire.Message) bool {
	lastTerm := c.lastTerm()
	return message.LogTerm > lastTerm || message.LogTerm == lastTerm && message.Index >= c.lastIndex()
}

// handlePreVoteRequest responds whether this member would vote for the sender. A member that has a
// leader, or leads, would not: a member that comes back from a partition can't disrupt the leader
// (thesis, sections 4.2.3 and 9.6). The request's term is the one that the sender would campaign in;
// it isn't adopted.
func (c *Core) handlePreVoteRequest(message *wire.Message) {
	ok := message.Term > c.hardState.Term && c.isLogUpToDate(message) &&
		(c.leader == "" || c.role != leader && c.electionElapsed >= c.cfg.ElectionTicks)
	if ok && c.cfg.DynamicMembership && c.role == preCandidate && c.yieldsTo(message) {
		c.role = follower
		c.resetElectionTimer()
	}
	c.send(&wire.Message{To: message.From, Kind: wire.MessageKind_PRE_VOTE_RESPONSE, Ok: ok, Probe: message.Term, AboutIncarnation: message.Incarnation})
}

// yieldsTo reports whether this pre-candidate leaves campaigning to another one: to one whose log is
// ahead, or whose name sorts first. Members that start together would otherwise split the vote.
func (c *Core) yieldsTo(message *wire.Message) bool {
	return message.From < c.cfg.Self || message.LogTerm > c.lastTerm() || message.Index > c.lastIndex()
}

// handlePreVoteResponse counts a pre-vote. Probe is the term that was asked about: late responses
// to earlier pre-votes don't count.
func (c *Core) handlePreVoteResponse(message *wire.Message) {
	if c.role != preCandidate || !message.Ok || message.Probe != c.hardState.Term+1 {
		return
	}
	if c.votes[message.From] = true; c.hasElectionQuorum() {
		c.campaign(candidate)
	}
}

// handleVoteRequest grants at most one vote in a term, to a candidate whose log is at least as up to date
// as this one (paper, sections 5.2 and 5.4.1). The vote is on disk before the response is sent.
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

// handleVoteResponse counts a vote of the current term.
func (c *Core) handleVoteResponse(message *wire.Message) {
	if c.role != candidate || !message.Ok || message.Term != c.hardState.Term {
		return
	}
	if c.votes[message.From] = true; c.hasElectionQuorum() {
		c.becomeLeader()
	}
}
