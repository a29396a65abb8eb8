package consensus

import (
	"hash/crc32"

	"pebbleloom/internal/wire"
)

// A snapshot is sent in chunks, each after the previous one was acknowledged. The leader first asks how
// much of the snapshot the follower has, so a transfer resumes where it stopped after a loss, a partition
// or a change of leader.
//
// A transfer keeps its snapshot when the leader compacts again; otherwise frequent compactions could
// restart it for ever. On the wire a chunk is called a piece.

const (
	// initialChunkBytes is the size of the first chunk. Chunks double while they are acknowledged
	// within one heartbeat, up to Config.MaxBatchBytes.
	initialChunkBytes = 32 << 10

	// minChunkBytes is the size that chunks are not halved below when they are lost.
	minChunkBytes = 4 << 10

	// maxOutgoingSnapshots bounds the snapshots that are kept for transfers beside the newest one, and
	// so the leader's memory: a further peer is sent a snapshot that is kept already.
	maxOutgoingSnapshots = 2

	// chunkTimeoutHeartbeats is the time in heartbeats that a chunk may take in addition to the time
	// of its bytes at assumedLinkBytesPerTick.
	chunkTimeoutHeartbeats = 2
)

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

// outgoingTransfer is the transfer of a snapshot to one peer.
type outgoingTransfer struct {
	snapshot    *wire.Snapshot // without its state
	state       []byte         // shared by all transfers of the snapshot; never changed
	checksum    uint32         // CRC-32C of state
	ackedOffset uint64         // how many bytes the peer has acknowledged
	chunkBytes  int            // size of the next chunk
	sentAt      int            // tick in which the chunk in flight was sent
	retryAt     int            // tick from which the chunk in flight counts as lost
}

// beginTransfer asks a peer how much it has of the snapshot that it is to receive.
func (c *Core) beginTransfer(peer string, progress *peerProgress) {
	progress.transfer = c.newTransfer()
	progress.inFlight = false
	c.sendChunk(peer, progress.transfer, 0)
}

// newTransfer returns a transfer of the newest snapshot. Where maxOutgoingSnapshots older ones are
// being transferred, it is of the newest of these instead.
func (c *Core) newTransfer() *outgoingTransfer {
	active := c.activeTransfers()
	if len(active) >= maxOutgoingSnapshots {
		c.dropSilentTransfers()
		active = c.activeTransfers()
	}
	source := active[c.snapshot.Index]
	switch {
	case source != nil:
	case len(active) < maxOutgoingSnapshots:
		source = transferOf(c.snapshot)
	default:
		source = newestTransfer(active)
	}
	return &outgoingTransfer{snapshot: source.snapshot, state: source.state, checksum: source.checksum, chunkBytes: min(initialChunkBytes, c.cfg.MaxBatchBytes)}
}

// transferOf returns a transfer with the header, state and checksum of a snapshot.
func transferOf(snapshot *wire.Snapshot) *outgoingTransfer {
	header := &wire.Snapshot{Format: snapshot.Format, Index: snapshot.Index, Term: snapshot.Term, Members: snapshot.Members, MembersIndex: snapshot.MembersIndex, MembersTerm: snapshot.MembersTerm}
	return &outgoingTransfer{snapshot: header, state: snapshot.State, checksum: crc32.Checksum(snapshot.State, castagnoliTable)}
}

// newestTransfer returns the transfer of the snapshot with the highest index.
func newestTransfer(active map[uint64]*outgoingTransfer) *outgoingTransfer {
	var newest *outgoingTransfer
	for _, transfer := range active {
		if newest == nil || transfer.snapshot.Index > newest.snapshot.Index {
			newest = transfer
		}
	}
	return newest
}

// activeTransfers returns one transfer of each snapshot that is being transferred, by the snapshot's index.
func (c *Core) activeTransfers() map[uint64]*outgoingTransfer {
	active := map[uint64]*outgoingTransfer{}
	for _, progress := range c.peers {
		if progress.transfer != nil {
			active[progress.transfer.snapshot.Index] = progress.transfer
		}
	}
	return active
}

// dropSilentTransfers gives up the transfers to peers that have stopped responding. They begin again
// once the peer responds.
func (c *Core) dropSilentTransfers() {
	for _, progress := range c.peers {
		if progress.transfer != nil && progress.ticksSinceResponse >= 2*c.cfg.ElectionTicks {
			progress.transfer, progress.inFlight, progress.responded = nil, false, false
		}
	}
}

// continueTransfer retries a chunk that wasn't acknowledged in time, with half the size: a slow link
// then carries it within the driver's time limit for a message. Otherwise, at a heartbeat, it asks how much
// the peer has.
func (c *Core) continueTransfer(peer string, progress *peerProgress, heartbeat bool) {
	transfer := progress.transfer
	switch {
	case progress.inFlight && c.ticks >= transfer.retryAt:
		transfer.chunkBytes = max(transfer.chunkBytes/2, min(minChunkBytes, c.cfg.MaxBatchBytes))
		c.sendNextChunk(peer, progress)
	case heartbeat:
		c.sendChunk(peer, transfer, 0)
	}
}

// sendNextChunk sends the bytes after those that the peer has acknowledged.
func (c *Core) sendNextChunk(peer string, progress *peerProgress) {
	transfer := progress.transfer
	progress.inFlight, transfer.sentAt = true, c.ticks
	transfer.retryAt = c.ticks + chunkTimeoutHeartbeats*c.cfg.HeartbeatTicks + transfer.chunkBytes/assumedLinkBytesPerTick
	c.sendChunk(peer, transfer, transfer.chunkBytes)
}

// sendChunk sends at most size bytes from the acknowledged offset on. Without bytes the request asks how
// much the peer has.
func (c *Core) sendChunk(peer string, transfer *outgoingTransfer, size int) {
	end := min(transfer.ackedOffset+uint64(size), uint64(len(transfer.state)))
	data := transfer.state[transfer.ackedOffset:end:end]
	c.send(&wire.Message{To: peer, Kind: wire.MessageKind_SNAPSHOT_CHUNK_REQUEST, Snapshot: transfer.snapshot, Commit: c.commit, Probe: c.readSequence, SentTick: c.sentTick(),
		Chunk: &wire.SnapshotChunk{Offset: transfer.ackedOffset, Total: uint64(len(transfer.state)), Data: data, Checksum: crc32.Checksum(data, castagnoliTable), StateChecksum: transfer.checksum}})
}

// handleChunkResponse sends the chunk after what a peer says that it has received.
func (c *Core) handleChunkResponse(message *wire.Message) {
	progress := c.recordResponse(message)
	if progress == nil || progress.transfer == nil || !progress.transfer.isResponse(message) {
		return
	}
	transfer, offset := progress.transfer, message.Chunk.Offset
	if progress.inFlight && offset == transfer.ackedOffset {
		return // the chunk in flight hasn't arrived yet
	}
	if progress.inFlight && offset > transfer.ackedOffset && c.ticks-transfer.sentAt <= c.cfg.HeartbeatTicks {
		transfer.chunkBytes = min(2*transfer.chunkBytes, c.cfg.MaxBatchBytes)
	}
	transfer.ackedOffset = offset
	c.sendNextChunk(message.From, progress)
}

// isResponse reports whether a response is about the snapshot of this transfer, and its offset is valid.
func (t *outgoingTransfer) isResponse(message *wire.Message) bool {
	return message.Chunk != nil && message.Index == t.snapshot.Index && message.LogTerm == t.snapshot.Term &&
		message.Chunk.StateChecksum == t.checksum && message.Chunk.Offset <= uint64(len(t.state))
}
