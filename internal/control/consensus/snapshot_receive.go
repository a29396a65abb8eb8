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

func (s *incomingSnapshot) matches(message *wire.Message) bool {
	return s != nil && s.snapshot.Index == message.Snapshot.Index && s.snapshot.Term == message.Snapshot.Term &&
		s.totalBytes == message.Piece.Total && s.checksum == message.Piece.StateChecksum
}

// handleChunkRequest adds a piece to what is held of its snapshot, and installs that once it is whole.
func (c *Core) handleChunkRequest(message *wire.Message) {
	if message.Snapshot == nil || message.Piece == nil || message.Piece.Total > maxSnapshotBytes {
		return
	}
	if message.Term < c.hardState.Term {
		c.sendAppendResponse(message, false, c.lastIndex(), 0) // a leader of the past: the response's term says so
		return
	}
	c.becomeFollower(message.Term, message.From)
	if message.Snapshot.Index <= c.commit { // its entries are held: nothing of it is lacking
		c.incoming = nil
		c.sendAppendResponse(message, true, message.Snapshot.Index, message.Probe)
		return
	}
	if !c.incoming.matches(message) {
		if c.incoming != nil && c.incoming.leaderTerm == message.Term && c.incoming.snapshot.Index >= message.Snapshot.Index {
			return // late, of a transfer that this leader has given up
		}
		c.incoming = &incomingSnapshot{snapshot: message.Snapshot, totalBytes: message.Piece.Total, checksum: message.Piece.StateChecksum}
	}
	c.incoming.leaderTerm = message.Term
	c.incoming.addChunk(message.Piece)
	if c.incoming.isComplete() && c.installIncoming() {
		c.sendAppendResponse(message, true, message.Snapshot.Index, message.Probe)
		return
	}
	c.send(&wire.Message{To: message.From, Kind: wire.MessageKind_SNAPSHOT_PIECE_RESPONSE, Index: message.Snapshot.Index, LogTerm: message.Snapshot.Term, Probe: message.Probe, About: message.Incarnation, SentTick: message.SentTick,
		Piece: &wire.SnapshotPiece{Offset: uint64(len(c.incoming.received)), Total: message.Piece.Total, StateChecksum: message.Piece.StateChecksum}})
}

// addChunk takes a piece that continues what is held. Any other is a duplicate, or one was lost before it.
func (s *incomingSnapshot) addChunk(piece *wire.SnapshotPiece) {
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
func (c *Core) installSnapshot(snapshot *wire.Snapshot) {
	if snapshot.Index <= c.commit {
		return
	}
	var stay []*wire.Entry
	if t, ok := c.termAt(snapshot.Index); ok && t == snapshot.Term {
		stay = append(stay, c.entriesFrom(snapshot.Index+1)...)
	}
	c.restoreSnapshot(snapshot, stay)
}

// restoreSnapshot goes by a snapshot and the entries behind it; the member keeps its own hard state.
func (c *Core) restoreSnapshot(snapshot *wire.Snapshot, stay []*wire.Entry) {
	own := &wire.Snapshot{Format: snapshot.Format, Index: snapshot.Index, Term: snapshot.Term, State: snapshot.State, HardState: c.hardState,
		Members: snapshot.Members, MembersIndex: snapshot.MembersIndex, MembersTerm: snapshot.MembersTerm}
	c.snapshot, c.log, c.trailing, c.incoming = own, stay, nil, nil
	c.commit, c.applied = own.Index, own.Index
	c.reloadMembership()
	// What this step has persisted so far is in the snapshot's hard state and the log that stays.
	c.ready.Snapshot, c.ready.Records, c.ready.CommittedEntries = own, entryRecords(stay), nil
}
