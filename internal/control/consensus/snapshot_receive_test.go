package consensus

import (
	"bytes"
	"hash/crc32"
	"testing"

	"google.golang.org/protobuf/proto"

	"pebbleloom/internal/wire"
)

// newChunkRequest is a leader's message with a range of a state.
func newChunkRequest(state []byte, index uint64, from, to int) *wire.Message {
	return &wire.Message{From: "b", To: "a", Incarnation: "b", Kind: wire.MessageKind_SNAPSHOT_CHUNK_REQUEST, Term: 7,
		Snapshot: &wire.Snapshot{Format: 1, Index: index, Term: 6, Members: []string{"a", "b", "c"}},
		Chunk: &wire.SnapshotChunk{Offset: uint64(from), Total: uint64(len(state)), Data: state[from:to], Checksum: crc32.Checksum(state[from:to], castagnoliTable),
			StateChecksum: crc32.Checksum(state, castagnoliTable)}}
}

// receivedAfter steps a follower and returns how much it says that it holds, and what it installed.
func receivedAfter(t *testing.T, c *Core, message *wire.Message) (offset uint64, installed *wire.Snapshot) {
	t.Helper()
	c.Step(message)
	ready := c.Ready()
	for _, r := range ready.Messages {
		if r.Kind == wire.MessageKind_SNAPSHOT_CHUNK_RESPONSE {
			offset = r.Chunk.Offset
		}
	}
	return offset, ready.Snapshot
}

// Pieces out of order, doubled and damaged change nothing; the piece that continues what is held does.
func TestNonContiguousChunkIsIgnored(t *testing.T) {
	network := newLinkNetwork(t, 1, 0)
	core, state := network.cores["a"], randomBody(network.random, 3000)
	damaged := newChunkRequest(state, 9, 0, 1000)
	damaged.Chunk.Data = append([]byte{^state[0]}, state[1:1000]...)
	for i, step := range []struct {
		m    *wire.Message
		held uint64
	}{
		{newChunkRequest(state, 9, 0, 0), 0},
		{newChunkRequest(state, 9, 1000, 2000), 0}, // out of order
		{damaged, 0},
		{newChunkRequest(state, 9, 0, 1000), 1000},
		{newChunkRequest(state, 9, 0, 1000), 1000}, // doubled
		{newChunkRequest(state, 9, 500, 1500), 1000},
		{newChunkRequest(state, 9, 2000, 3000), 1000},
		{newChunkRequest(state, 9, 1000, 2000), 2000},
	} {
		if held, installed := receivedAfter(t, core, step.m); held != step.held || installed != nil {
			t.Fatalf("step %d: holds %d, must %d; installed %v", i, held, step.held, installed)
		}
	}
	if _, installed := receivedAfter(t, core, newChunkRequest(state, 9, 2000, 3000)); installed == nil || !bytes.Equal(installed.State, state) || installed.Index != 9 {
		t.Fatal("the whole snapshot isn't installed as it was sent")
	}
	if installedTerm := core.snapshot.Term; installedTerm != 6 || core.commit != 9 || core.hardState.Term != 7 {
		t.Fatalf("snapshot of term %d, commit %d, own term %d", installedTerm, core.commit, core.hardState.Term)
	}
}

// A snapshot whose pieces are each whole, but that isn't the one whose checksum was given, is gathered
// anew and never installed.
func TestCorruptSnapshotIsNotInstalled(t *testing.T) {
	network := newLinkNetwork(t, 1, 0)
	core, state := network.cores["a"], randomBody(network.random, 2000)
	torn := bytes.Clone(state)
	clear(torn[1000:])
	receivedAfter(t, core, newChunkRequest(state, 9, 0, 1000))
	last := newChunkRequest(torn, 9, 1000, 2000)
	last.Chunk.StateChecksum = crc32.Checksum(state, castagnoliTable)
	if held, installed := receivedAfter(t, core, last); held != 0 || installed != nil {
		t.Fatalf("holds %d, installed %v", held, installed)
	}
	receivedAfter(t, core, newChunkRequest(state, 9, 0, 1000))
	if _, installed := receivedAfter(t, core, newChunkRequest(state, 9, 1000, 2000)); installed == nil {
		t.Fatal("the whole snapshot isn't installed")
	}
}

// A newer snapshot begins anew; a late piece of the one before it, from the same leader, doesn't.
func TestNewerSnapshotReplacesPartialOne(t *testing.T) {
	network := newLinkNetwork(t, 1, 0)
	core, first, second := network.cores["a"], randomBody(network.random, 2000), randomBody(network.random, 2000)
	receivedAfter(t, core, newChunkRequest(first, 9, 0, 1000))
	if held, _ := receivedAfter(t, core, newChunkRequest(second, 12, 0, 500)); held != 500 {
		t.Fatalf("holds %d of the newer one", held)
	}
	receivedAfter(t, core, newChunkRequest(first, 9, 0, 1000))
	if held, _ := receivedAfter(t, core, newChunkRequest(second, 12, 500, 1000)); held != 1000 {
		t.Fatalf("holds %d of the newer one after a late piece", held)
	}
	if _, installed := receivedAfter(t, core, newChunkRequest(second, 12, 1000, 2000)); installed == nil || installed.Index != 12 {
		t.Fatal("the newer one isn't installed")
	}
}

// All messages of a snapshot come once more, late, whole ones too: nothing older is installed.
func TestDelayedSnapshotMessagesChangeNothing(t *testing.T) {
	network, lagging := newLaggingNetwork(t, 11, 100<<10, 0)
	network.start(lagging)
	network.runUntil("the snapshot arrives", 100, func() bool { return bytes.Equal(network.states[lagging], network.acknowledged) })
	whole := proto.Clone(network.leader().snapshot).(*wire.Snapshot)
	network.propose(randomBody(network.random, 100))
	network.runUntil("the change arrives", 100, func() bool { return bytes.Equal(network.states[lagging], network.acknowledged) })
	late := append(network.recorded, &wire.Message{From: network.leader().cfg.Self, To: lagging, Incarnation: network.leader().cfg.Self, Kind: wire.MessageKind_SNAPSHOT_REQUEST,
		Term: network.leader().hardState.Term, Snapshot: whole})
	for _, message := range late {
		if message.To == lagging {
			network.cores[lagging].Step(proto.Clone(message).(*wire.Message))
			network.drive(lagging) // fails where an old snapshot is installed
		}
	}
	if !bytes.Equal(network.states[lagging], network.acknowledged) {
		t.Fatal("it holds an older state than before")
	}
}

// A follower that lags by less than the tail is served from it: a compaction costs it no snapshot.
func TestLaggingFollowerCatchesUpFromTrailingLog(t *testing.T) {
	network, lagging := newLaggingNetwork(t, 12, 100<<10, 1<<20)
	network.start(lagging)
	network.runUntil("it catches up", 100, func() bool { return bytes.Equal(network.states[lagging], network.acknowledged) })
	if len(network.recorded) > 0 {
		t.Errorf("%d messages with a snapshot were sent", len(network.recorded))
	}
	if kept := len(network.leader().trailing); kept == 0 {
		t.Error("no tail is kept")
	}
}

// The tail is bounded by TrailingLogBytes, or by the state's size where that is more.
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
			t.Fatalf("a tail of %d bytes", size)
		}
	}
	if len(network.leader().trailing) < 3 {
		t.Errorf("%d entries in the tail", len(network.leader().trailing))
	}
}

// Whatever is on its way, a leader holds few snapshots beside its newest.
func TestOutgoingSnapshotsAreBounded(t *testing.T) {
	network := newLinkNetwork(t, 14, 0)
	network.propose(randomBody(network.random, 100<<10))
	l := network.leader()
	for i := range 12 {
		name := string(rune('k' + i))
		if !l.AddLearner(name) {
			t.Fatal("no learner is taken")
		}
		l.peers[name].next, l.peers[name].responded, l.peers[name].acceptsChunks = 1, true, true
		network.propose(randomBody(network.random, 100<<10))
		network.compact(l.cfg.Self)
		l.replicate(name, true)
		if l.peers[name].transfer == nil {
			t.Fatal("no transfer begins")
		}
		if held := len(l.activeTransfers()); held > maxOutgoingSnapshots {
			t.Fatalf("%d snapshots are on their way", held)
		}
	}
}
