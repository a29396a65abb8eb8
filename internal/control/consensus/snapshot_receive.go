package consensus

import (
	"hash/crc32"

	"google.golang.org/protobuf/proto"

	"pebbleloom/internal/wire"
)

// maxSnapshotBytes bounds what a member gathers of a snapshot: the state's own bound, twice.
const maxSnapshotBytes = 16 << 20

// incomingSnapshot is what a member holds of a snapshot that it gets in pieces. There is at most one.
type incomingSnapshot struct {
	snapshot   *wire.Snapshot // without state
	totalBytes uint64
	checksum   uint32 // of the whole state
	received   []byte // its front
	leaderTerm uint64 // of the leader that sent a piece of it last
}

func (s *incomingSnapshot) matches(l *wire.Message) bool {
	return s != nil && s.snapshot.Index == l.Snapshot.Index && s.snapshot.Term == l.Snapshot.Term &&
		s.totalBytes == l.Chunk.Total && s.checksum == l.Chunk.StateChecksum
}

// handleChunkRequest adds a piece to what is held of its snapshot, and installs that once it is whole.
func (c *Core) handleChunkRequest(l *wire.Message) {
	if l.Snapshot == nil || l.Chunk == nil || l.Chunk.Total > maxSnapshotBytes {
		return
	}
	if l.Term < c.hardState.Term {
		c.sendAppendResponse(l, false, c.lastIndex(), 0) // a leader of the past: the response's term says so
		return
	}
	c.becomeFollower(l.Term, l.From)
	if l.Snapshot.Index <= c.commit { // its entries are held: nothing of it is lacking
		c.incoming = nil
		c.sendAppendResponse(l, true, l.Snapshot.Index, l.Probe)
		return
	}
	if !c.incoming.matches(l) {
		if c.incoming != nil && c.incoming.leaderTerm == l.Term && c.incoming.snapshot.Index >= l.Snapshot.Index {
			return // late, of a transfer that this leader has given up
		}
		c.incoming = &incomingSnapshot{snapshot: l.Snapshot, totalBytes: l.Chunk.Total, checksum: l.Chunk.StateChecksum}
	}
	c.incoming.leaderTerm = l.Term
	c.incoming.addChunk(l.Chunk)
	if c.incoming.isComplete() && c.installIncoming() {
		c.sendAppendResponse(l, true, l.Snapshot.Index, l.Probe)
		return
	}
	c.send(&wire.Message{To: l.From, Kind: wire.MessageKind_SNAPSHOT_CHUNK_RESPONSE, Index: l.Snapshot.Index, LogTerm: l.Snapshot.Term, Probe: l.Probe, AboutIncarnation: l.Incarnation, SentTick: l.SentTick,
		Chunk: &wire.SnapshotChunk{Offset: uint64(len(c.incoming.received)), Total: l.Chunk.Total, StateChecksum: l.Chunk.StateChecksum}})
}

// addChunk takes a piece that continues what is held. Any other is a duplicate, or one was lost before it.
func (s *incomingSnapshot) addChunk(piece *wire.SnapshotChunk) {
	held := uint64(len(s.received))
	if piece.Offset != held || held+uint64(len(piece.Data)) > s.totalBytes || crc32.Checksum(piece.Data, castagnoliTable) != piece.Checksum {
		return
	}
	s.received = append(s.received, piece.Data...)
}

func (s *incomingSnapshot) isComplete() bool { return uint64(len(s.received)) == s.totalBytes }

// installIncoming installs a whole snapshot; false if its checksum is wrong: it is gathered anew.
func (c *Core) installIncoming() bool {
	s := c.incoming
	if crc32.Checksum(s.received, castagnoliTable) != s.checksum {
		s.received = nil
		return false
	}
	whole := proto.Clone(s.snapshot).(*wire.Snapshot)
	whole.State = s.received
	c.installSnapshot(whole)
	return true
}

// installSnapshot replaces snapshot, state and log by those of a leader. One that holds no more than
// what is committed here is ignored: this member has all of it, and perhaps newer state.
func (c *Core) installSnapshot(s *wire.Snapshot) {
	if s.Index <= c.commit {
		return
	}
	var stay []*wire.Entry
	if t, ok := c.termAt(s.Index); ok && t == s.Term {
		stay = append(stay, c.entriesFrom(s.Index+1)...)
	}
	c.restoreSnapshot(s, stay)
}

// restoreSnapshot goes by a snapshot and the entries behind it; the member keeps its own hard state.
func (c *Core) restoreSnapshot(s *wire.Snapshot, stay []*wire.Entry) {
	own := &wire.Snapshot{Format: s.Format, Index: s.Index, Term: s.Term, State: s.State, HardState: c.hardState,
		Members: s.Members, MembersIndex: s.MembersIndex, MembersTerm: s.MembersTerm}
	c.snapshot, c.log, c.trailing, c.incoming = own, stay, nil, nil
	c.commit, c.applied = own.Index, own.Index
	c.reloadMembership()
	// What this step has persisted so far is in the snapshot's hard state and the log that stays.
	c.ready.Snapshot, c.ready.Records, c.ready.CommittedEntries = own, entryRecords(stay), nil
}
