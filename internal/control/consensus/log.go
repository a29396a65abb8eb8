package consensus

import "pebbleloom/internal/wire"

// The log in memory is a tail of entries that the snapshot already holds, then the entries behind
// the snapshot. The tail serves followers that lag a little: without it every compaction would send
// each of them a whole snapshot. It is not stored; a member begins without one after a restart.

func (c *Core) lastIndex() uint64 {
	if n := len(c.log); n > 0 {
		return c.log[n-1].Index
	}
	return c.snapshot.Index
}

// termAt returns the term of the entry at an index; false if it is neither in the log nor in the tail.
func (c *Core) termAt(index uint64) (uint64, bool) {
	switch {
	case index == c.snapshot.Index:
		return c.snapshot.Term, true
	case index > c.lastIndex():
		return 0, false
	case index > c.snapshot.Index:
		return c.log[index-c.snapshot.Index-1].Term, true
	case len(c.trailing) > 0 && index >= c.trailing[0].Index:
		return c.trailing[index-c.trailing[0].Index].Term, true
	}
	return 0, false
}

func (c *Core) lastTerm() uint64 { term, _ := c.termAt(c.lastIndex()); return term }

// entriesFrom returns the entries from an index on that follow the snapshot.
func (c *Core) entriesFrom(index uint64) []*wire.Entry {
	if index > c.lastIndex() {
		return nil
	}
	return c.log[index-c.snapshot.Index-1:]
}

// entryAt returns an entry of the tail or the log; nil if neither holds it.
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

func (c *Core) appendEntry(entry *wire.Entry) {
	if entry.Index == c.lastIndex()+1 {
		c.log = append(c.log, entry)
		c.applyMembership(entry)
	}
}

func (c *Core) truncate(index uint64) {
	if index > c.snapshot.Index && index <= c.lastIndex() {
		end := index - c.snapshot.Index - 1
		c.log = c.log[:end:end]
		c.reloadMembership()
	}
}

// Compact replaces the log up to what is applied by a snapshot of the state; the driver stores the
// snapshot with the records that stay.
//
// Example: snapshot, rest := c.Compact(state)
func (c *Core) Compact(state []byte) (*wire.Snapshot, []*wire.Record) {
	t, _ := c.termAt(c.applied)
	compacted := c.log[:c.applied-c.snapshot.Index]
	stay := append([]*wire.Entry(nil), c.entriesFrom(c.applied+1)...)
	at := c.membershipAt(c.applied)
	c.retainTrailingLog(compacted, len(state))
	c.snapshot = &wire.Snapshot{Format: 1, Index: c.applied, Term: t, HardState: c.hardState, State: state,
		Members: at.namesOnWire(c.cfg.DynamicMembership), MembersIndex: at.index, MembersTerm: at.term}
	c.log = stay
	return c.snapshot, entryRecords(stay)
}

// retainTrailingLog keeps the newest compacted entries, up to TrailingLogBytes or the size of the state, whichever
// is more: what a link carries while it carries the state then still has its entries here.
func (c *Core) retainTrailingLog(compacted []*wire.Entry, stateBytes int) {
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
	c.trailing = append([]*wire.Entry(nil), all[first:]...) // a copy, so that the others are freed
}

// entryOverhead is about what an entry takes beside its body.
const entryOverhead = 16

func entryBytes(entry *wire.Entry) int { return len(entry.Body) + entryOverhead }

func entryRecords(entries []*wire.Entry) []*wire.Record {
	records := make([]*wire.Record, 0, len(entries))
	for _, entry := range entries {
		records = append(records, &wire.Record{Kind: &wire.Record_Entry{Entry: entry}})
	}
	return records
}
