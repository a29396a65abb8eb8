package consensus

import (
	"bytes"
	"hash/crc32"
	"testing"

	"google.golang.org/protobuf/proto"

	"pebbleloom/internal/wire"
)

// newChunkRequest returns a leader's request with a chunk of the snapshot that ends at an index and holds a state: the
// bytes of the state between two offsets.
func newChunkRequest(state []byte, index uint64, from, to int) *wire.Message {
	return &wire.Message{From: "b", To: "a", Incarnation: "b", Kind: wire.MessageKind_SNAPSHOT_CHUNK_REQUEST, Term: 7,
		Snapshot: &wire.Snapshot{Format: 1, Index: index, Term: 6, Members: []string{"a", "b", "c"}},
		Chunk: &wire.SnapshotChunk{Offset: uint64(from), Total: uint64(len(state)), Data: state[from:to], Checksum: crc32.Checksum(state[from:to], castagnoliTable),
			StateChecksum: crc32.Checksum(state, castagnoliTable)}}
}

// receivedAfter delivers a chunk request to a follower. It returns the number of bytes of the snapshot that the follower
// reports as received, 0 if it reports none, and the snapshot that it installs; nil: none.
func receivedAfter(t *testing.T, c *Core, message *wire.Message) (offset uint64, installed *wire.Snapshot) {
	t.Helper()
	c.Step(message)
	ready := c.Ready()
	for _, response := range ready.Messages {
		if response.Kind == wire.MessageKind_SNAPSHOT_CHUNK_RESPONSE {
			offset = response.Chunk.Offset
		}
	}
	return offset, ready.Snapshot
}

// A chunk is appended only if it continues the received bytes. A chunk that is out of order, duplicated or
// corrupt changes nothing.
func TestNonContiguousChunkIsIgnored(t *testing.T) {
	network := newLinkNetwork(t, 1, 0)
	core, state := network.cores["a"], randomBody(network.random, 3000)
	damaged := newChunkRequest(state, 9, 0, 1000)
	damaged.Chunk.Data = append([]byte{^state[0]}, state[1:1000]...)
	for _, step := range []struct {
		name     string
		chunk    *wire.Message
		received uint64 // bytes received in total after the step
	}{
		{"request without data, which asks for the received size", newChunkRequest(state, 9, 0, 0), 0},
		{"second chunk before the first", newChunkRequest(state, 9, 1000, 2000), 0},
		{"first chunk, corrupted in transit", damaged, 0},
		{"first chunk", newChunkRequest(state, 9, 0, 1000), 1000},
		{"duplicate of the first chunk", newChunkRequest(state, 9, 0, 1000), 1000},
		{"chunk that overlaps the first", newChunkRequest(state, 9, 500, 1500), 1000},
		{"third chunk before the second", newChunkRequest(state, 9, 2000, 3000), 1000},
		{"second chunk", newChunkRequest(state, 9, 1000, 2000), 2000},
	} {
		if received, installed := receivedAfter(t, core, step.chunk); received != step.received || installed != nil {
			t.Fatalf("after %s: the follower reports %d received bytes, want %d, and installs snapshot %v, want none", step.name, received, step.received, installed)
		}
	}
	if _, installed := receivedAfter(t, core, newChunkRequest(state, 9, 2000, 3000)); installed == nil || !bytes.Equal(installed.State, state) || installed.Index != 9 {
		t.Fatal("the completely received snapshot isn't installed, or its state or index differs from what was sent")
	}
	if installedTerm := core.snapshot.Term; installedTerm != 6 || core.commit != 9 || core.hardState.Term != 7 {
		t.Fatalf("after the installation of a snapshot: snapshot term %d, commit index %d, member's term %d; want 6, 9 and 7", installedTerm, core.commit, core.hardState.Term)
	}
}

// A snapshot is never installed if the received state doesn't match its checksum, even if each chunk matches its own.
// The state is then received again from its beginning.
func TestCorruptSnapshotIsNotInstalled(t *testing.T) {
	network := newLinkNetwork(t, 1, 0)
	core, state := network.cores["a"], randomBody(network.random, 2000)
	corrupt := bytes.Clone(state)
	clear(corrupt[1000:])
	receivedAfter(t, core, newChunkRequest(state, 9, 0, 1000))
	last := newChunkRequest(corrupt, 9, 1000, 2000)
	last.Chunk.StateChecksum = crc32.Checksum(state, castagnoliTable)
	if received, installed := receivedAfter(t, core, last); received != 0 || installed != nil {
		t.Fatalf("after a state with a wrong checksum: the follower reports %d received bytes and installs snapshot %v, want 0 and none", received, installed)
	}
	receivedAfter(t, core, newChunkRequest(state, 9, 0, 1000))
	if _, installed := receivedAfter(t, core, newChunkRequest(state, 9, 1000, 2000)); installed == nil {
		t.Fatal("the snapshot isn't installed after its state was received again with a matching checksum")
	}
}

// A chunk of a newer snapshot replaces a partially received older one. A delayed chunk of the older snapshot from
// the same leader doesn't replace the newer one.
func TestNewerSnapshotReplacesPartialOne(t *testing.T) {
	network := newLinkNetwork(t, 1, 0)
	core, first, second := network.cores["a"], randomBody(network.random, 2000), randomBody(network.random, 2000)
	receivedAfter(t, core, newChunkRequest(first, 9, 0, 1000))
	if received, _ := receivedAfter(t, core, newChunkRequest(second, 12, 0, 500)); received != 500 {
		t.Fatalf("the follower reports %d received bytes of the newer snapshot, want 500", received)
	}
	receivedAfter(t, core, newChunkRequest(first, 9, 0, 1000))
	if received, _ := receivedAfter(t, core, newChunkRequest(second, 12, 500, 1000)); received != 1000 {
		t.Fatalf("the follower reports %d received bytes of the newer snapshot after a delayed chunk of the older one, want 1000", received)
	}
	if _, installed := receivedAfter(t, core, newChunkRequest(second, 12, 1000, 2000)); installed == nil || installed.Index != 12 {
		t.Fatal("the newer snapshot, up to entry 12, isn't installed after its last chunk")
	}
}

// Delayed duplicates of all messages with a snapshot, in chunks or in one message, don't install an older state.
func TestDelayedSnapshotMessagesChangeNothing(t *testing.T) {
	network, lagging := newLaggingNetwork(t, 11, 100<<10, 0)
	network.start(lagging)
	network.runUntil("the lagging member applies the snapshot", 100, func() bool { return network.hasCaughtUp(lagging) })
	complete := proto.Clone(network.leader().snapshot).(*wire.Snapshot)
	network.propose(randomBody(network.random, 100))
	network.runUntil("the lagging member applies the entry after the snapshot", 100, func() bool { return network.hasCaughtUp(lagging) })
	delayed := append(network.snapshotMessages, &wire.Message{From: network.leader().cfg.Self, To: lagging, Incarnation: network.leader().cfg.Self, Kind: wire.MessageKind_SNAPSHOT_REQUEST,
		Term: network.leader().hardState.Term, Snapshot: complete})
	for _, message := range delayed {
		if message.To == lagging {
			network.cores[lagging].Step(proto.Clone(message).(*wire.Message))
			network.drive(lagging) // drive fails the test if the core installs a snapshot older than the applied state
		}
	}
	if !network.hasCaughtUp(lagging) {
		t.Fatal("after delayed snapshot messages, the state of the lagging member isn't that of the newest acknowledged entry")
	}
}

// A follower that lacks only compacted entries that the leader still keeps in memory, its trailing entries, is sent
// these entries instead of a snapshot.
func TestLaggingFollowerCatchesUpFromTrailingLog(t *testing.T) {
	network, lagging := newLaggingNetwork(t, 12, 100<<10, 1<<20)
	network.start(lagging)
	network.runUntil("the lagging follower catches up", 100, func() bool { return network.hasCaughtUp(lagging) })
	if len(network.snapshotMessages) > 0 {
		t.Errorf("%d messages with a snapshot were sent to a follower that can catch up from the leader's log, want 0", len(network.snapshotMessages))
	}
	if len(network.leader().trailing) == 0 {
		t.Error("the leader keeps no compacted entries for lagging followers, want some: TrailingLogBytes isn't 0")
	}
}

// The size of the trailing entries, which are the compacted entries that a leader keeps for lagging followers, is bounded
// by TrailingLogBytes, or by the size of the state if that is more.
func TestTrailingLogIsBounded(t *testing.T) {
	network := newLinkNetwork(t, 13, 64<<10)
	for range 20 {
		network.propose(randomBody(network.random, 20<<10))
		network.compact(network.leader().cfg.Self)
		size := 0
		for _, entry := range network.leader().trailing {
			size += entryBytes(entry)
		}
		if size > 64<<10 {
			t.Fatalf("the leader keeps %d bytes of compacted entries for lagging followers, want at most 65536", size)
		}
	}
	if len(network.leader().trailing) < 3 {
		t.Errorf("the leader keeps %d compacted entries for lagging followers, want at least 3", len(network.leader().trailing))
	}
}

// The number of snapshots that a leader keeps for transfers is bounded, however many transfers are active.
func TestOutgoingSnapshotsAreBounded(t *testing.T) {
	network := newLinkNetwork(t, 14, 0)
	network.propose(randomBody(network.random, 100<<10))
	leader := network.leader()
	for i := range 12 {
		name := string(rune('k' + i))
		if !leader.AddLearner(name) {
			t.Fatalf("AddLearner returned false on the leader for learner %s, want true", name)
		}
		progress := leader.peers[name]
		progress.next, progress.responded, progress.acceptsChunks = 1, true, true
		network.propose(randomBody(network.random, 100<<10))
		network.compact(leader.cfg.Self)
		leader.replicate(name, true)
		if progress.transfer == nil {
			t.Fatalf("no snapshot transfer to learner %s has begun", name)
		}
		if active := len(leader.activeTransfers()); active > maxOutgoingSnapshots {
			t.Fatalf("the leader keeps %d different snapshots for transfers to learners, want at most %d", active, maxOutgoingSnapshots)
		}
	}
}
