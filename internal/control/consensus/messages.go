package consensus

import "pebbleloom/internal/wire"

// Step reads one message. Messages may be lost, late, doubled or out of order.
//
// Example: c.Step(m); drive(c.Ready())
func (c *Core) Step(message *wire.Message) {
	if message.To != c.cfg.Self || message.Shard != c.cfg.Shard || message.From == c.cfg.Self || !c.cfg.DynamicMembership && !c.IsVoter(message.From) {
		return
	}
	switch message.Kind {
	case wire.MessageKind_STATE_REQUEST:
		if c.cfg.DynamicMembership {
			return // a disk that a group has lost comes back as another member
		}
		c.handleStateRequest(message)
		return
	case wire.MessageKind_STATE_RESPONSE:
		c.handleStateResponse(message)
		return
	}
	if known := c.knownIncarnation(message.From); known != nil && known.Incarnation != message.Incarnation {
		return // another incarnation has taken that name: this one counts no more
	}
	switch message.Kind {
	case wire.MessageKind_VOTE_RESPONSE, wire.MessageKind_PRE_VOTE_RESPONSE, wire.MessageKind_APPEND_RESPONSE, wire.MessageKind_SNAPSHOT_PIECE_RESPONSE:
		if message.About != c.hardState.Incarnation {
			return // a response to another incarnation of this name
		}
	}
	if c.hardState.DiskState == wire.DiskState_DISK_BLANK {
		return // no vote and no acknowledgement until both others have sent their states
	}
	if message.Kind == wire.MessageKind_PRE_VOTE_REQUEST {
		ok := message.Term > c.hardState.Term && c.isLogUpToDate(message) && (c.leader == "" || c.role != leader && c.electionElapsed >= c.cfg.ElectionTicks)
		if ok && c.cfg.DynamicMembership && c.role == preCandidate && c.yieldsTo(message) {
			c.role = follower
			c.resetElectionTimer()
		}
		c.send(&wire.Message{To: message.From, Kind: wire.MessageKind_PRE_VOTE_RESPONSE, Ok: ok, Probe: message.Term, About: message.Incarnation})
		return
	}
	if message.Term > c.hardState.Term {
		c.becomeFollower(message.Term, "")
	}
	switch message.Kind {
	case wire.MessageKind_PRE_VOTE_RESPONSE:
		if c.role == preCandidate && message.Ok && message.Probe == c.hardState.Term+1 {
			if c.votes[message.From] = true; c.hasElectionQuorum() {
				c.campaign(candidate)
			}
		}
	case wire.MessageKind_VOTE_REQUEST:
		c.handleVoteRequest(message)
	case wire.MessageKind_VOTE_RESPONSE:
		if c.role == candidate && message.Ok && message.Term == c.hardState.Term {
			if c.votes[message.From] = true; c.hasElectionQuorum() {
				c.becomeLeader()
			}
		}
	case wire.MessageKind_APPEND_REQUEST, wire.MessageKind_SNAPSHOT_REQUEST:
		c.handleAppendRequest(message)
	case wire.MessageKind_SNAPSHOT_PIECE_REQUEST:
		c.handleChunkRequest(message)
	case wire.MessageKind_APPEND_RESPONSE:
		c.handleAppendResponse(message)
	case wire.MessageKind_SNAPSHOT_PIECE_RESPONSE:
		c.handleChunkResponse(message)
	case wire.MessageKind_TRANSFER_LEADERSHIP:
		if message.Term == c.hardState.Term && message.From == c.leader && c.role == follower && c.IsVoter(c.cfg.Self) {
			c.campaign(candidate)
		}
	}
}

func (c *Core) isLogUpToDate(message *wire.Message) bool {
	t := c.lastTerm()
	return message.LogTerm > t || message.LogTerm == t && message.Index >= c.lastIndex()
}

// yieldsTo reports whether this member leaves campaigning to a peer that asks at the same time: to one
// whose log is ahead, or that comes first by name. Members that start together would all campaign.
func (c *Core) yieldsTo(message *wire.Message) bool {
	return message.From < c.cfg.Self || message.LogTerm > c.lastTerm() || message.Index > c.lastIndex()
}

func (c *Core) handleVoteRequest(message *wire.Message) {
	ok := message.Term == c.hardState.Term && (c.hardState.Vote == "" || c.hardState.Vote == message.From) && c.isLogUpToDate(message)
	if ok {
		if c.hardState.Vote == "" {
			c.saveHardState(c.hardState.Term, message.From)
		}
		c.resetElectionTimer()
	}
	c.send(&wire.Message{To: message.From, Kind: wire.MessageKind_VOTE_RESPONSE, Ok: ok, About: message.Incarnation})
}

// sendAppendResponse answers a leader: ok says that this member holds the log up to index as it does.
func (c *Core) sendAppendResponse(message *wire.Message, ok bool, index, probe uint64) {
	c.send(&wire.Message{To: message.From, Kind: wire.MessageKind_APPEND_RESPONSE, Ok: ok, Index: index, Probe: probe, About: message.Incarnation, AcceptsPieces: true, SentTick: message.SentTick})
}

func (c *Core) handleAppendRequest(message *wire.Message) {
	if message.Term < c.hardState.Term {
		// A leader of the past: the response's term says so. It may reach a later incarnation of that
		// leader, whose reads it must not confirm.
		c.sendAppendResponse(message, false, c.lastIndex(), 0)
		return
	}
	c.becomeFollower(message.Term, message.From)
	if message.Kind == wire.MessageKind_SNAPSHOT_REQUEST {
		c.installSnapshot(message.Snapshot)
		c.sendAppendResponse(message, true, message.Snapshot.Index, message.Probe)
		return
	}
	prev, prevTerm, entries := message.Index, message.LogTerm, message.Entries
	if prev < c.snapshot.Index { // its front is compacted here already
		skip := c.snapshot.Index - prev
		if skip > uint64(len(entries)) {
			c.sendAppendResponse(message, true, c.snapshot.Index, message.Probe)
			return
		}
		prev, prevTerm, entries = c.snapshot.Index, c.snapshot.Term, entries[skip:]
	}
	if term, ok := c.termAt(prev); !ok || term != prevTerm {
		c.sendAppendResponse(message, false, min(c.lastIndex(), prev-1), message.Probe)
		return
	}
	c.appendFromLeader(entries)
	last := prev + uint64(len(entries))
	c.commit = max(c.commit, min(message.Commit, last))
	if c.incoming != nil && c.incoming.snapshot.Index <= c.commit {
		c.incoming = nil // the log has brought what it was to bring
	}
	c.sendAppendResponse(message, true, last, message.Probe)
}

// appendFromLeader adds a leader's entries to the log; those that differ from them are cut off.
func (c *Core) appendFromLeader(entries []*wire.Entry) {
	for _, entry := range entries {
		term, ok := c.termAt(entry.Index)
		if ok && term == entry.Term {
			continue
		}
		if ok {
			c.truncate(entry.Index)
			c.ready.Records = append(c.ready.Records, &wire.Record{Kind: &wire.Record_Cut{Cut: entry.Index}})
		}
		c.appendEntry(entry)
		c.ready.Records = append(c.ready.Records, &wire.Record{Kind: &wire.Record_Entry{Entry: entry}})
	}
}
