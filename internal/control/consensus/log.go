package consensus

import "pebbleloom/internal/wire"

// The log in memory consists of trailing entries, which the snapshot already includes, and the entries
// after the snapshot. The trailing entries serve followers that lag a little: without them, the leader would
// have to send a snapshot to every such follower after each compaction. They are kept in memory only, so there
// are none after a restart.

// lastIndex returns the index of the last entry, or of the snapshot if no entry follows it.
func (c *Core) lastIndex() uint64 {
	if n := len(c.log); n > 0 {
		return c.log[n-1].Index
	}
	return c.snapshot.Index
}

// lastTerm returns the term of the last entry, or of the snapshot if no entry follows it.
func (c *Core) lastTerm() uint64 {
	term, _ := c.termAt(c.lastIndex())
	return term
}

// termAt returns the term of the entry at an index. The second result is false if the entry is compacted or not in the
// log yet.
func (c *Core) termAt(index uint64) (uint64, bool) {
	if index == c.snapshot.Index {
		return c.snapshot.Term, true
	}
	if entry := c.entryAt(index); entry != nil {
		return entry.Term, true
	}
	return 0, false
}

// entryAt returns the entry at an index from the log or the trailing entries; nil if neither has it.
func (c *Core) entryAt(index uint64) *wire.Entry {
	switch {
	case index > c.lastIndex():
		return nil
	case index > c.snapshot.Index:
		return c.log[index-c.snapshot.Index-1]
	case len(c.trailing) > 0 && index >= c.trailing[0].Index:
		return c.trailing[index-c.trailing[0].Index]
	}
	return nil
}

// entriesFrom returns the entries from an index on. The index must be after the snapshot.
func (c *Core) entriesFrom(index uint64) []*wire.Entry {
	if index > c.lastIndex() {
		return nil
	}
	return c.log[index-c.snapshot.Index-1:]
}

// appendEntry appends an entry to the log in memory; an entry that doesn't continue the log is ignored. A voter
// set that the entry names takes effect immediately (thesis, section 4.1).
func (c *Core) appendEntry(entry *wire.Entry) {
	if entry.Index == c.lastIndex()+1 {
		c.log = append(c.log, entry)
		c.applyVoters(entry)
	}
}

// truncate removes the entries from an index on, and reverts to the newest voter set named before them.
func (c *Core) truncate(index uint64) {
	if index > c.snapshot.Index && index <= c.lastIndex() {
		end := index - c.snapshot.Index - 1
		c.log = c.log[:end:end] // capacity is cut too: an append must not overwrite entries shared with queued messages
		c.reloadVoters()
	}
}

// Compact replaces the applied entries by a snapshot of the state that results from them (paper, section
// 7). The driver must store the snapshot together with the returned records of the remaining entries.
//
// Example: snapshot, records := c.Compact(state)
func (c *Core) Compact(state []byte) (*wire.Snapshot, []*wire.Record) {
	term, _ := c.termAt(c.applied)
	compacted := c.log[:c.applied-c.snapshot.Index]
	remaining := append([]*wire.Entry(nil), c.entriesFrom(c.applied+1)...)
	voters := c.votersAt(c.applied)
	c.retainTrailing(compacted, len(state))
	c.snapshot = &wire.Snapshot{Format: 1, Index: c.applied, Term: term, HardState: c.hardState, State: state,
		Members: voters.storedNames(c.cfg.DynamicMembership), MembersIndex: voters.index, MembersTerm: voters.term}
	c.log = remaining
	return c.snapshot, entryRecords(remaining)
}

// retainTrailing keeps the newest compacted entries, up to TrailingLogBytes or the size of the state,
// whichever is more: a follower that has just received a snapshot can then continue with these entries instead
// of needing the next snapshot.
func (c *Core) retainTrailing(compacted []*wire.Entry, stateBytes int) {
	if c.cfg.TrailingLogBytes == 0 {
		return
	}
	all := append(append([]*wire.Entry(nil), c.trailing...), compacted...)
	limit, size, first := max(c.cfg.TrailingLogBytes, stateBytes), 0, len(all)
	for first > 0 {
		size += entryBytes(all[first-1])
		if size > limit {
			break
		}
		first--
	}
	c.trailing = append([]*wire.Entry(nil), all[first:]...) // the retained entries are copied, so that the dropped ones can be garbage-collected
}

// entryOverheadBytes is the approximate size of an entry in addition to its body.
const entryOverheadBytes = 16

// entryBytes returns the approximate size of an entry on the wire.
func entryBytes(entry *wire.Entry) int { return len(entry.Body) + entryOverheadBytes }

// entryRecords returns the log records that store entries, one record for each entry.
func entryRecords(entries []*wire.Entry) []*wire.Record {
	records := make([]*wire.Record, 0, len(entries))
	for _, entry := range entries {
		records = append(records, &wire.Record{Kind: &wire.Record_Entry{Entry: entry}})
	}
	return records
}
