package consensus

import "pebbleloom/internal/wire"

// handleAppendRequest appends the entries of a leader's request if this member's log has the entry that precedes them
// in the leader's log, and advances the commit index (paper, section 5.3).
func (c *Core) handleAppendRequest(message *wire.Message) {
	if !c.followSender(message) {
		return
	}
	prev, prevTerm, entries := message.Index, message.LogTerm, message.Entries
	if prev < c.snapshot.Index { // this member has already compacted the first entries of the request
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
		c.incoming = nil // the snapshot being received is no longer needed: the log has all of its entries
	}
	c.sendAppendResponse(message, true, last, message.Probe)
}

// handleSnapshotRequest installs a snapshot that came in one message, as older releases send it.
func (c *Core) handleSnapshotRequest(message *wire.Message) {
	if !c.followSender(message) {
		return
	}
	c.installSnapshot(message.Snapshot)
	c.sendAppendResponse(message, true, message.Snapshot.Index, message.Probe)
}

// followSender makes this member a follower of the leader that sent a request. It returns false if the request
// is of an earlier term, and rejects the request, so that its sender learns the newer term. The rejection
// doesn't echo the read sequence number (Probe) of the request: it may reach a later incarnation of the sender, whose
// reads it must not confirm.
func (c *Core) followSender(message *wire.Message) bool {
	if message.Term < c.hardState.Term {
		c.sendAppendResponse(message, false, c.lastIndex(), 0)
		return false
	}
	c.becomeFollower(message.Term, message.From)
	return true
}

// appendFromLeader appends a leader's entries. It truncates this member's log from the first entry on that conflicts
// with them. Entries that match are kept, also after the leader's last one, since the request may be a delayed one
// (paper, section 5.3).
func (c *Core) appendFromLeader(entries []*wire.Entry) {
	for _, entry := range entries {
		term, exists := c.termAt(entry.Index)
		if exists && term == entry.Term {
			continue
		}
		if exists {
			c.truncate(entry.Index)
			c.ready.Records = append(c.ready.Records, &wire.Record{Kind: &wire.Record_TruncateFrom{TruncateFrom: entry.Index}})
		}
		c.appendEntry(entry)
		c.persistEntry(entry)
	}
}

// sendAppendResponse responds to a leader. If ok is true, this member's log matches the leader's up to index; otherwise
// index is the last entry that may match, after which the leader retries. probe is the read sequence number of the
// request, and confirms the leader's reads up to it; 0 confirms none.
func (c *Core) sendAppendResponse(request *wire.Message, ok bool, index, probe uint64) {
	c.send(&wire.Message{To: request.From, Kind: wire.MessageKind_APPEND_RESPONSE, Ok: ok, Index: index, Probe: probe, AboutIncarnation: request.Incarnation, AcceptsChunks: true, SentTick: request.SentTick})
}
