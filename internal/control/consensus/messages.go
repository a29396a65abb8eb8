package consensus

import "pebbleloom/internal/wire"

// Step reads one message. Messages may be lost, late, doubled or out of order.
//
// Example: c.Step(m); drive(c.Ready())
func (c *Core) Step(l *wire.Message) {
	if l.To != c.cfg.Self || l.Shard != c.cfg.Shard || l.From == c.cfg.Self || !c.cfg.DynamicMembership && !c.IsVoter(l.From) {
		return
	}
	switch l.Kind {
	case wire.MessageKind_STATE_REQUEST:
		if c.cfg.DynamicMembership {
			return // a disk that a group has lost comes back as another member
		}
		c.handleStateRequest(l)
		return
	case wire.MessageKind_STATE_RESPONSE:
		c.handleStateResponse(l)
		return
	}
	if k := c.knownIncarnation(l.From); k != nil && k.Incarnation != l.Incarnation {
		return // another incarnation has taken that name: this one counts no more
	}
	switch l.Kind {
	case wire.MessageKind_VOTE_RESPONSE, wire.MessageKind_PRE_VOTE_RESPONSE, wire.MessageKind_APPEND_RESPONSE, wire.MessageKind_SNAPSHOT_CHUNK_RESPONSE:
		if l.AboutIncarnation != c.hardState.Incarnation {
			return // a response to another incarnation of this name
		}
	}
	if c.hardState.DiskState == wire.DiskState_DISK_BLANK {
		return // no vote and no acknowledgement until both others have sent their states
	}
	if l.Kind == wire.MessageKind_PRE_VOTE_REQUEST {
		ok := l.Term > c.hardState.Term && c.isLogUpToDate(l) && (c.leader == "" || c.role != leader && c.electionElapsed >= c.cfg.ElectionTicks)
		if ok && c.cfg.DynamicMembership && c.role == preCandidate && c.yieldsTo(l) {
			c.role = follower
			c.resetElectionTimer()
		}
		c.send(&wire.Message{To: l.From, Kind: wire.MessageKind_PRE_VOTE_RESPONSE, Ok: ok, Probe: l.Term, AboutIncarnation: l.Incarnation})
		return
	}
	if l.Term > c.hardState.Term {
		c.becomeFollower(l.Term, "")
	}
	switch l.Kind {
	case wire.MessageKind_PRE_VOTE_RESPONSE:
		if c.role == preCandidate && l.Ok && l.Probe == c.hardState.Term+1 {
			if c.votes[l.From] = true; c.hasElectionQuorum() {
				c.campaign(candidate)
			}
		}
	case wire.MessageKind_VOTE_REQUEST:
		c.handleVoteRequest(l)
	case wire.MessageKind_VOTE_RESPONSE:
		if c.role == candidate && l.Ok && l.Term == c.hardState.Term {
			if c.votes[l.From] = true; c.hasElectionQuorum() {
				c.becomeLeader()
			}
		}
	case wire.MessageKind_APPEND_REQUEST, wire.MessageKind_SNAPSHOT_REQUEST:
		c.handleAppendRequest(l)
	case wire.MessageKind_SNAPSHOT_CHUNK_REQUEST:
		c.handleChunkRequest(l)
	case wire.MessageKind_APPEND_RESPONSE:
		c.handleAppendResponse(l)
	case wire.MessageKind_SNAPSHOT_CHUNK_RESPONSE:
		c.handleChunkResponse(l)
	case wire.MessageKind_TRANSFER_LEADERSHIP:
		if l.Term == c.hardState.Term && l.From == c.leader && c.role == follower && c.IsVoter(c.cfg.Self) {
			c.campaign(candidate)
		}
	}
}

func (c *Core) isLogUpToDate(l *wire.Message) bool {
	t := c.lastTerm()
	return l.LogTerm > t || l.LogTerm == t && l.Index >= c.lastIndex()
}

// yieldsTo reports whether this member leaves campaigning to a peer that asks at the same time: to one
// whose log is ahead, or that comes first by name. Members that start together would all campaign.
func (c *Core) yieldsTo(l *wire.Message) bool {
	return l.From < c.cfg.Self || l.LogTerm > c.lastTerm() || l.Index > c.lastIndex()
}

func (c *Core) handleVoteRequest(l *wire.Message) {
	ok := l.Term == c.hardState.Term && (c.hardState.Vote == "" || c.hardState.Vote == l.From) && c.isLogUpToDate(l)
	if ok {
		if c.hardState.Vote == "" {
			c.saveHardState(c.hardState.Term, l.From)
		}
		c.resetElectionTimer()
	}
	c.send(&wire.Message{To: l.From, Kind: wire.MessageKind_VOTE_RESPONSE, Ok: ok, AboutIncarnation: l.Incarnation})
}

// sendAppendResponse answers a leader: ok says that this member holds the log up to index as it does.
func (c *Core) sendAppendResponse(l *wire.Message, ok bool, index, probe uint64) {
	c.send(&wire.Message{To: l.From, Kind: wire.MessageKind_APPEND_RESPONSE, Ok: ok, Index: index, Probe: probe, AboutIncarnation: l.Incarnation, AcceptsChunks: true, SentTick: l.SentTick})
}

func (c *Core) handleAppendRequest(l *wire.Message) {
	if l.Term < c.hardState.Term {
		// A leader of the past: the response's term says so. It may reach a later incarnation of that
		// leader, whose reads it must not confirm.
		c.sendAppendResponse(l, false, c.lastIndex(), 0)
		return
	}
	c.becomeFollower(l.Term, l.From)
	if l.Kind == wire.MessageKind_SNAPSHOT_REQUEST {
		c.installSnapshot(l.Snapshot)
		c.sendAppendResponse(l, true, l.Snapshot.Index, l.Probe)
		return
	}
	prev, prevTerm, entries := l.Index, l.LogTerm, l.Entries
	if prev < c.snapshot.Index { // its front is compacted here already
		skip := c.snapshot.Index - prev
		if skip > uint64(len(entries)) {
			c.sendAppendResponse(l, true, c.snapshot.Index, l.Probe)
			return
		}
		prev, prevTerm, entries = c.snapshot.Index, c.snapshot.Term, entries[skip:]
	}
	if term, ok := c.termAt(prev); !ok || term != prevTerm {
		c.sendAppendResponse(l, false, min(c.lastIndex(), prev-1), l.Probe)
		return
	}
	c.appendFromLeader(entries)
	last := prev + uint64(len(entries))
	c.commit = max(c.commit, min(l.Commit, last))
	if c.incoming != nil && c.incoming.snapshot.Index <= c.commit {
		c.incoming = nil // the log has brought what it was to bring
	}
	c.sendAppendResponse(l, true, last, l.Probe)
}

// appendFromLeader adds a leader's entries to the log; those that differ from them are cut off.
func (c *Core) appendFromLeader(entries []*wire.Entry) {
	for _, e := range entries {
		term, ok := c.termAt(e.Index)
		if ok && term == e.Term {
			continue
		}
		if ok {
			c.truncate(e.Index)
			c.ready.Records = append(c.ready.Records, &wire.Record{Kind: &wire.Record_TruncateFrom{TruncateFrom: e.Index}})
		}
		c.appendEntry(e)
		c.ready.Records = append(c.ready.Records, &wire.Record{Kind: &wire.Record_Entry{Entry: e}})
	}
}
