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
func (c *Core) beginTransfer(m string, p *progress) {
	p.transfer = c.newTransfer()
	p.inFlight = false
	c.sendChunk(m, p.transfer, 0)
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
	for _, t := range active {
		if newest == nil || t.snapshot.Index > newest.snapshot.Index {
			newest = t
		}
		if t.snapshot.Index == c.snapshot.Index {
			current = t
		}
	}
	switch {
	case current != nil:
		newest = current
	case len(active) < maxOutgoingSnapshots:
		s := c.snapshot
		header := &wire.Snapshot{Format: s.Format, Index: s.Index, Term: s.Term, Members: s.Members, MembersIndex: s.MembersIndex, MembersTerm: s.MembersTerm}
		newest = &outgoingTransfer{snapshot: header, state: s.State, checksum: crc32.Checksum(s.State, castagnoliTable)}
	}
	return &outgoingTransfer{snapshot: newest.snapshot, state: newest.state, checksum: newest.checksum, chunkBytes: min(initialChunkBytes, c.cfg.MaxBatchBytes)}
}

// activeTransfers returns a transfer of each snapshot that is on its way, by index.
func (c *Core) activeTransfers() map[uint64]*outgoingTransfer {
	found := map[uint64]*outgoingTransfer{}
	for _, p := range c.peers {
		if p.transfer != nil {
			found[p.transfer.snapshot.Index] = p.transfer
		}
	}
	return found
}

// dropSilentTransfers gives up those to peers that are silent; they begin anew once they respond.
func (c *Core) dropSilentTransfers() {
	for _, p := range c.peers {
		if p.transfer != nil && p.ticksSinceResponse >= 2*c.cfg.ElectionTicks {
			p.transfer, p.inFlight, p.responded = nil, false, false
		}
	}
}

// continueTransfer sends the piece in flight again where it wasn't acknowledged in time; otherwise, at
// a heartbeat, it asks how much the peer holds.
func (c *Core) continueTransfer(m string, p *progress, heartbeat bool) {
	t := p.transfer
	switch {
	case p.inFlight && c.ticks >= t.retryAt:
		t.chunkBytes = max(t.chunkBytes/2, min(minChunkBytes, c.cfg.MaxBatchBytes))
		c.sendNextChunk(m, p)
	case heartbeat:
		c.sendChunk(m, t, 0)
	}
}

func (c *Core) sendNextChunk(m string, p *progress) {
	t := p.transfer
	p.inFlight, t.sentAt = true, c.ticks
	t.retryAt = c.ticks + chunkTimeoutHeartbeats*c.cfg.HeartbeatTicks + t.chunkBytes/assumedLinkBytesPerTick
	c.sendChunk(m, t, t.chunkBytes)
}

// sendChunk sends up to so many bytes from what the peer holds on; none: a question how much it holds.
func (c *Core) sendChunk(m string, t *outgoingTransfer, size int) {
	end := min(t.ackedOffset+uint64(size), uint64(len(t.state)))
	data := t.state[t.ackedOffset:end:end]
	c.send(&wire.Message{To: m, Kind: wire.MessageKind_SNAPSHOT_CHUNK_REQUEST, Snapshot: t.snapshot, Commit: c.commit, Probe: c.readSequence, SentTick: c.sentTick(),
		Chunk: &wire.SnapshotChunk{Offset: t.ackedOffset, Total: uint64(len(t.state)), Data: data, Checksum: crc32.Checksum(data, castagnoliTable), StateChecksum: t.checksum}})
}

// handleChunkResponse goes on behind what a follower says that it holds.
func (c *Core) handleChunkResponse(l *wire.Message) {
	p := c.recordResponse(l)
	if p == nil || p.transfer == nil || l.Chunk == nil {
		return
	}
	t := p.transfer
	if l.Index != t.snapshot.Index || l.LogTerm != t.snapshot.Term || l.Chunk.StateChecksum != t.checksum || l.Chunk.Offset > uint64(len(t.state)) {
		return // of another snapshot
	}
	if p.inFlight && l.Chunk.Offset == t.ackedOffset {
		return // the piece is still on its way
	}
	if p.inFlight && l.Chunk.Offset > t.ackedOffset && c.ticks-t.sentAt <= c.cfg.HeartbeatTicks {
		t.chunkBytes = min(2*t.chunkBytes, c.cfg.MaxBatchBytes)
	}
	t.ackedOffset = l.Chunk.Offset
	c.sendNextChunk(l.From, p)
}
