package consensus

import (
	"hash/crc32"

	"pebbleloom/internal/wire"
)

// A snapshot is sent in pieces, one after another, each when the one before it is acknowledged. The
// leader asks first how much the follower holds, so a transfer goes on where it stopped after a loss,
// a cut or a change of leader. Pieces grow while they are acknowledged quickly and shrink when one
// is lost, so a slow link carries them within the driver's time for a message.
//
// A transfer under way keeps its snapshot when the leader compacts again: a stream of compactions
// can't start it anew for ever. The leader keeps at most maxOutgoingSnapshots of such snapshots beside its
// newest one.

const (
	initialChunkBytes      = 32 << 10
	minChunkBytes          = 4 << 10
	maxOutgoingSnapshots   = 2
	chunkTimeoutHeartbeats = 2 // heartbeats that a piece may take beside the time of its bytes
)

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

// outgoingTransfer is a snapshot on its way to one peer.
type outgoingTransfer struct {
	snapshot    *wire.Snapshot // without state
	state       []byte         // shared by all transfers of it
	checksum    uint32         // of state
	ackedOffset uint64         // what the peer holds
	chunkBytes  int
	sentAt      int // tick in which the piece in flight was sent
	retryAt     int // tick from which on it counts as lost
}

// beginTransfer asks a peer how much it holds of the snapshot that it is to get.
func (c *Core) beginTransfer(peer string, progress *peerProgress) {
	progress.transfer = c.newTransfer()
	progress.inFlight = false
	c.sendChunk(peer, progress.transfer, 0)
}

// newTransfer is of the newest snapshot; where as many older ones as may be are on their way, of the
// newest of these.
func (c *Core) newTransfer() *outgoingTransfer {
	active := c.activeTransfers()
	if len(active) >= maxOutgoingSnapshots {
		c.dropSilentTransfers()
		active = c.activeTransfers()
	}
	newest, current := (*outgoingTransfer)(nil), (*outgoingTransfer)(nil)
	for _, transfer := range active {
		if newest == nil || transfer.snapshot.Index > newest.snapshot.Index {
			newest = transfer
		}
		if transfer.snapshot.Index == c.snapshot.Index {
			current = transfer
		}
	}
	switch {
	case current != nil:
		newest = current
	case len(active) < maxOutgoingSnapshots:
		snapshot := c.snapshot
		header := &wire.Snapshot{Format: snapshot.Format, Index: snapshot.Index, Term: snapshot.Term, Members: snapshot.Members, MembersIndex: snapshot.MembersIndex, MembersTerm: snapshot.MembersTerm}
		newest = &outgoingTransfer{snapshot: header, state: snapshot.State, checksum: crc32.Checksum(snapshot.State, castagnoliTable)}
	}
	return &outgoingTransfer{snapshot: newest.snapshot, state: newest.state, checksum: newest.checksum, chunkBytes: min(initialChunkBytes, c.cfg.MaxBatchBytes)}
}

// activeTransfers returns a transfer of each snapshot that is on its way, by index.
func (c *Core) activeTransfers() map[uint64]*outgoingTransfer {
	found := map[uint64]*outgoingTransfer{}
	for _, progress := range c.peers {
		if progress.transfer != nil {
			found[progress.transfer.snapshot.Index] = progress.transfer
		}
	}
	return found
}

// dropSilentTransfers gives up those to peers that are silent; they begin anew once they respond.
func (c *Core) dropSilentTransfers() {
	for _, progress := range c.peers {
		if progress.transfer != nil && progress.ticksSinceResponse >= 2*c.cfg.ElectionTicks {
			progress.transfer, progress.inFlight, progress.responded = nil, false, false
		}
	}
}

// continueTransfer sends the piece in flight again where it wasn't acknowledged in time; otherwise, at
// a heartbeat, it asks how much the peer holds.
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

func (c *Core) sendNextChunk(peer string, progress *peerProgress) {
	transfer := progress.transfer
	progress.inFlight, transfer.sentAt = true, c.ticks
	transfer.retryAt = c.ticks + chunkTimeoutHeartbeats*c.cfg.HeartbeatTicks + transfer.chunkBytes/assumedLinkBytesPerTick
	c.sendChunk(peer, transfer, transfer.chunkBytes)
}

// sendChunk sends up to so many bytes from what the peer holds on; none: a question how much it holds.
func (c *Core) sendChunk(peer string, transfer *outgoingTransfer, size int) {
	end := min(transfer.ackedOffset+uint64(size), uint64(len(transfer.state)))
	data := transfer.state[transfer.ackedOffset:end:end]
	c.send(&wire.Message{To: peer, Kind: wire.MessageKind_SNAPSHOT_PIECE_REQUEST, Snapshot: transfer.snapshot, Commit: c.commit, Probe: c.readSequence, SentTick: c.sentTick(),
		Piece: &wire.SnapshotPiece{Offset: transfer.ackedOffset, Total: uint64(len(transfer.state)), Data: data, Checksum: crc32.Checksum(data, castagnoliTable), StateChecksum: transfer.checksum}})
}

// handleChunkResponse goes on behind what a follower says that it holds.
func (c *Core) handleChunkResponse(message *wire.Message) {
	progress := c.recordResponse(message)
	if progress == nil || progress.transfer == nil || message.Piece == nil {
		return
	}
	transfer := progress.transfer
	if message.Index != transfer.snapshot.Index || message.LogTerm != transfer.snapshot.Term || message.Piece.StateChecksum != transfer.checksum || message.Piece.Offset > uint64(len(transfer.state)) {
		return // of another snapshot
	}
	if progress.inFlight && message.Piece.Offset == transfer.ackedOffset {
		return // the piece is still on its way
	}
	if progress.inFlight && message.Piece.Offset > transfer.ackedOffset && c.ticks-transfer.sentAt <= c.cfg.HeartbeatTicks {
		transfer.chunkBytes = min(2*transfer.chunkBytes, c.cfg.MaxBatchBytes)
	}
	transfer.ackedOffset = message.Piece.Offset
	c.sendNextChunk(message.From, progress)
}
