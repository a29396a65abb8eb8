package consensus

import (
	"hash/crc32"

	"google.golang.org/protobuf/proto"

	"pebbleloom/internal/wire"
)

// maxSnapshotBytes is the maximum size of the state in a snapshot that is received, and bounds the memory for it. It is
// twice the limit that the driver sets on the size of its state.
const maxSnapshotBytes = 16 << 20

// incomingSnapshot is a snapshot that is being received in chunks (paper, section 7). A member receives at
// most one at a time.
type incomingSnapshot struct {
	snapshot   *wire.Snapshot // header of the snapshot, without the state
	totalBytes uint64         // size of the state in bytes
	checksum   uint32         // CRC-32C of the state
	received   []byte         // bytes of the state received so far, from its beginning
	leaderTerm uint64         // term of the leader that sent the last chunk
}

// matches reports whether a request carries a chunk of this snapshot.
func (s *incomingSnapshot) matches(request *wire.Message) bool {
	return s != nil && s.snapshot.Index == request.Snapshot.Index && s.snapshot.Term == request.Snapshot.Term &&
		s.totalBytes == request.Chunk.Total && s.checksum == request.Chunk.StateChecksum
}

// addChunk appends a chunk that continues the received bytes. Any other chunk is ignored: it is corrupt or a
// duplicate, or a chunk before it was lost.
func (s *incomingSnapshot) addChunk(chunk *wire.SnapshotChunk) {
	offset := uint64(len(s.received))
	if chunk.Offset != offset || offset+uint64(len(chunk.Data)) > s.totalBytes || crc32.Checksum(chunk.Data, castagnoliTable) != chunk.Checksum {
		return
	}
	s.received = append(s.received, chunk.Data...)
}

func (s *incomingSnapshot) isComplete() bool { return uint64(len(s.received)) == s.totalBytes }

// handleChunkRequest receives a chunk of a snapshot, installs the snapshot once it is complete, and
// responds with the number of bytes received.
func (c *Core) handleChunkRequest(message *wire.Message) {
	if message.Snapshot == nil || message.Chunk == nil || message.Chunk.Total > maxSnapshotBytes {
		return
	}
	if !c.followSender(message) {
		return
	}
	if message.Snapshot.Index <= c.commit { // this member already has everything in the snapshot
		c.incoming = nil
		c.sendAppendResponse(message, true, message.Snapshot.Index, message.Probe)
		return
	}
	if !c.incoming.matches(message) {
		if c.incoming != nil && c.incoming.leaderTerm == message.Term && c.incoming.snapshot.Index >= message.Snapshot.Index {
			return // a delayed chunk of an older snapshot, whose transfer the leader has abandoned
		}
		c.incoming = &incomingSnapshot{snapshot: message.Snapshot, totalBytes: message.Chunk.Total, checksum: message.Chunk.StateChecksum}
	}
	c.incoming.leaderTerm = message.Term
	c.incoming.addChunk(message.Chunk)
	if c.incoming.isComplete() && c.installIncoming() {
		c.sendAppendResponse(message, true, message.Snapshot.Index, message.Probe)
		return
	}
	c.sendChunkResponse(message)
}

// sendChunkResponse responds with the number of bytes of a snapshot that have been received, which is the offset
// of the next chunk.
func (c *Core) sendChunkResponse(request *wire.Message) {
	c.send(&wire.Message{To: request.From, Kind: wire.MessageKind_SNAPSHOT_CHUNK_RESPONSE, Index: request.Snapshot.Index, LogTerm: request.Snapshot.Term,
		Probe: request.Probe, AboutIncarnation: request.Incarnation, SentTick: request.SentTick,
		Chunk: &wire.SnapshotChunk{Offset: uint64(len(c.incoming.received)), Total: request.Chunk.Total, StateChecksum: request.Chunk.StateChecksum}})
}

// installIncoming installs the completely received snapshot. If the checksum of the state is wrong, it returns
// false and discards the received bytes, so that the state is received again from its beginning.
func (c *Core) installIncoming() bool {
	s := c.incoming
	if crc32.Checksum(s.received, castagnoliTable) != s.checksum {
		s.received = nil
		return false
	}
	complete := proto.Clone(s.snapshot).(*wire.Snapshot)
	complete.State = s.received
	c.installSnapshot(complete)
	return true
}

// installSnapshot replaces this member's snapshot, state and log by the snapshot of a leader. A snapshot that ends
// at or before the commit index is ignored: this member already has all of its entries, and may have applied later ones.
// Entries after the snapshot are retained if the log matches it (paper, section 7).
func (c *Core) installSnapshot(snapshot *wire.Snapshot) {
	if snapshot.Index <= c.commit {
		return
	}
	var remaining []*wire.Entry
	if term, ok := c.termAt(snapshot.Index); ok && term == snapshot.Term {
		remaining = append(remaining, c.entriesFrom(snapshot.Index+1)...)
	}
	c.restoreSnapshot(snapshot, remaining)
}

// restoreSnapshot replaces this member's snapshot and log by a snapshot and the entries after it, and keeps its
// hard state. Records queued in the current step are dropped: the new snapshot contains the hard state, and new
// records contain the log.
func (c *Core) restoreSnapshot(snapshot *wire.Snapshot, entries []*wire.Entry) {
	restored := &wire.Snapshot{Format: snapshot.Format, Index: snapshot.Index, Term: snapshot.Term, State: snapshot.State, HardState: c.hardState,
		Members: snapshot.Members, MembersIndex: snapshot.MembersIndex, MembersTerm: snapshot.MembersTerm}
	c.snapshot, c.log, c.trailing, c.incoming = restored, entries, nil, nil
	c.commit, c.applied = restored.Index, restored.Index
	c.reloadVoters()
	c.ready.Snapshot, c.ready.Records, c.ready.CommittedEntries = restored, entryRecords(entries), nil
}
