package consensus

import (
	"hash/crc32"

	"pebbleloom/internal/wire"
)

// A snapshot is sent in chunks, each after the previous one was acknowledged. The leader first asks how
// much of the snapshot the follower has, so a transfer resumes where it stopped after a message loss, a
// partition or a change of leader.
//
// A transfer keeps its snapshot when the leader compacts again; otherwise frequent compactions could
// restart it indefinitely.

const (
	// initialChunkBytes is the size of the first chunk. The size doubles, up to Config.MaxBatchBytes,
	// with each chunk that is acknowledged within one heartbeat interval.
	initialChunkBytes = 32 << 10

	// minChunkBytes is the size below which chunks aren't halved further. After a loss, the next chunk is half as large.
	minChunkBytes = 4 << 10

	// maxOutgoingSnapshots is the maximum number of different snapshots in transfer at a time. It bounds the
	// memory of the leader, which otherwise holds only its newest snapshot. Further transfers send the newest of the
	// snapshots in transfer.
	maxOutgoingSnapshots = 2

	// chunkTimeoutHeartbeats is the time, in heartbeat intervals, after which a chunk counts as lost, in
	// addition to its transmission time at assumedLinkBytesPerTick.
	chunkTimeoutHeartbeats = 2
)

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

// outgoingTransfer is the transfer of a snapshot to one peer.
type outgoingTransfer struct {
	snapshot    *wire.Snapshot // header of the snapshot, without the state
	state       []byte         // state in the snapshot, shared by all transfers of the snapshot and never changed
	checksum    uint32         // CRC-32C of state
	ackedOffset uint64         // number of bytes of the state that the peer has acknowledged
	chunkBytes  int            // size of the next chunk
	sentAt      int            // tick in which the chunk in flight was sent
	retryAt     int            // tick from which the chunk in flight counts as lost
}

// beginTransfer begins a snapshot transfer by asking the peer how much of the snapshot it already has.
func (c *Core) beginTransfer(peer string, progress *peerProgress) {
	progress.transfer = c.newTransfer()
	progress.inFlight = false
	c.sendChunk(peer, progress.transfer, 0)
}

// newTransfer returns a transfer of the newest snapshot. If maxOutgoingSnapshots other snapshots are already
// being transferred, it returns a transfer of the newest of these instead.
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

// transferOf returns a transfer of a snapshot in which only the header, the state and its checksum are set.
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

// dropSilentTransfers abandons the snapshot transfers to peers that haven't responded for two election timeouts. A
// transfer begins again once its peer responds.
func (c *Core) dropSilentTransfers() {
	for _, progress := range c.peers {
		if progress.transfer != nil && progress.ticksSinceResponse >= 2*c.cfg.ElectionTicks {
			progress.transfer, progress.inFlight, progress.responded = nil, false, false
		}
	}
}

// continueTransfer retries a chunk that wasn't acknowledged in time with half its size, so that a slow link
// can carry it within the driver's time limit for a message. Otherwise, at a heartbeat, it asks the peer how
// many bytes it has received.
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

// sendNextChunk sends the chunk after the bytes that the peer has acknowledged.
func (c *Core) sendNextChunk(peer string, progress *peerProgress) {
	transfer := progress.transfer
	progress.inFlight, transfer.sentAt = true, c.ticks
	transfer.retryAt = c.ticks + chunkTimeoutHeartbeats*c.cfg.HeartbeatTicks + transfer.chunkBytes/assumedLinkBytesPerTick
	c.sendChunk(peer, transfer, transfer.chunkBytes)
}

// sendChunk sends at most size bytes of the state from the acknowledged offset on. With size 0, the request only
// asks how many bytes the peer has received.
func (c *Core) sendChunk(peer string, transfer *outgoingTransfer, size int) {
	end := min(transfer.ackedOffset+uint64(size), uint64(len(transfer.state)))
	data := transfer.state[transfer.ackedOffset:end:end]
	c.send(&wire.Message{To: peer, Kind: wire.MessageKind_SNAPSHOT_CHUNK_REQUEST, Snapshot: transfer.snapshot, Commit: c.commit, Probe: c.readSequence, SentTick: c.sentTick(),
		Chunk: &wire.SnapshotChunk{Offset: transfer.ackedOffset, Total: uint64(len(transfer.state)), Data: data, Checksum: crc32.Checksum(data, castagnoliTable), StateChecksum: transfer.checksum}})
}

// handleChunkResponse sends the next chunk, from the offset that a peer reports as received.
func (c *Core) handleChunkResponse(message *wire.Message) {
	progress := c.recordResponse(message)
	if progress == nil || progress.transfer == nil || !progress.transfer.isResponse(message) {
		return
	}
	transfer, offset := progress.transfer, message.Chunk.Offset
	if progress.inFlight && offset == transfer.ackedOffset {
		return // the peer sent this response before it received the chunk in flight
	}
	if progress.inFlight && offset > transfer.ackedOffset && c.ticks-transfer.sentAt <= c.cfg.HeartbeatTicks {
		transfer.chunkBytes = min(2*transfer.chunkBytes, c.cfg.MaxBatchBytes)
	}
	transfer.ackedOffset = offset
	c.sendNextChunk(message.From, progress)
}

// isResponse reports whether a response belongs to the snapshot of this transfer and has a valid offset.
func (t *outgoingTransfer) isResponse(message *wire.Message) bool {
	return message.Chunk != nil && message.Index == t.snapshot.Index && message.LogTerm == t.snapshot.Term &&
		message.Chunk.StateChecksum == t.checksum && message.Chunk.Offset <= uint64(len(t.state))
}
