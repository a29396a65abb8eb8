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
func receivedAfter(t *testing.T, c *Core, m *wire.Message) (offset uint64, installed *wire.Snapshot) {
	t.Helper()
	c.Step(m)
	o := c.Ready()
	for _, r := range o.Messages {
		if r.Kind == wire.MessageKind_SNAPSHOT_CHUNK_RESPONSE {
			offset = r.Chunk.Offset
		}
	}
	return offset, o.Snapshot
}

// Pieces out of order, doubled and damaged change nothing; the piece that continues what is held does.
func TestNonContiguousChunkIsIgnored(t *testing.T) {
	n := newLinkNetwork(t, 1, 0)
	c, state := n.cores["a"], randomBody(n.random, 3000)
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
		if held, installed := receivedAfter(t, c, step.m); held != step.held || installed != nil {
			t.Fatalf("step %d: holds %d, must %d; installed %v", i, held, step.held, installed)
		}
	}
	if _, installed := receivedAfter(t, c, newChunkRequest(state, 9, 2000, 3000)); installed == nil || !bytes.Equal(installed.State, state) || installed.Index != 9 {
		t.Fatal("the whole snapshot isn't installed as it was sent")
	}
	if installedTerm := c.snapshot.Term; installedTerm != 6 || c.commit != 9 || c.hardState.Term != 7 {
		t.Fatalf("snapshot of term %d, commit %d, own term %d", installedTerm, c.commit, c.hardState.Term)
	}
}

// A snapshot whose pieces are each whole, but that isn't the one whose checksum was given, is gathered
// anew and never installed.
func TestCorruptSnapshotIsNotInstalled(t *testing.T) {
	n := newLinkNetwork(t, 1, 0)
	c, state := n.cores["a"], randomBody(n.random, 2000)
	torn := bytes.Clone(state)
	clear(torn[1000:])
	receivedAfter(t, c, newChunkRequest(state, 9, 0, 1000))
	last := newChunkRequest(torn, 9, 1000, 2000)
	last.Chunk.StateChecksum = crc32.Checksum(state, castagnoliTable)
	if held, installed := receivedAfter(t, c, last); held != 0 || installed != nil {
		t.Fatalf("holds %d, installed %v", held, installed)
	}
	receivedAfter(t, c, newChunkRequest(state, 9, 0, 1000))
	if _, installed := receivedAfter(t, c, newChunkRequest(state, 9, 1000, 2000)); installed == nil {
		t.Fatal("the whole snapshot isn't installed")
	}
}

// A newer snapshot begins anew; a late piece of the one before it, from the same leader, doesn't.
func TestNewerSnapshotReplacesPartialOne(t *testing.T) {
	n := newLinkNetwork(t, 1, 0)
	c, first, second := n.cores["a"], randomBody(n.random, 2000), randomBody(n.random, 2000)
	receivedAfter(t, c, newChunkRequest(first, 9, 0, 1000))
	if held, _ := receivedAfter(t, c, newChunkRequest(second, 12, 0, 500)); held != 500 {
		t.Fatalf("holds %d of the newer one", held)
	}
	receivedAfter(t, c, newChunkRequest(first, 9, 0, 1000))
	if held, _ := receivedAfter(t, c, newChunkRequest(second, 12, 500, 1000)); held != 1000 {
		t.Fatalf("holds %d of the newer one after a late piece", held)
	}
	if _, installed := receivedAfter(t, c, newChunkRequest(second, 12, 1000, 2000)); installed == nil || installed.Index != 12 {
		t.Fatal("the newer one isn't installed")
	}
}

// All messages of a snapshot come once more, late, whole ones too: nothing older is installed.
func TestDelayedSnapshotMessagesChangeNothing(t *testing.T) {
	n, lagging := newLaggingNetwork(t, 11, 100<<10, 0)
	n.start(lagging)
	n.runUntil("the snapshot arrives", 100, func() bool { return bytes.Equal(n.states[lagging], n.acknowledged) })
	whole := proto.Clone(n.leader().snapshot).(*wire.Snapshot)
	n.propose(randomBody(n.random, 100))
	n.runUntil("the change arrives", 100, func() bool { return bytes.Equal(n.states[lagging], n.acknowledged) })
	late := append(n.recorded, &wire.Message{From: n.leader().cfg.Self, To: lagging, Incarnation: n.leader().cfg.Self, Kind: wire.MessageKind_SNAPSHOT_REQUEST,
		Term: n.leader().hardState.Term, Snapshot: whole})
	for _, m := range late {
		if m.To == lagging {
			n.cores[lagging].Step(proto.Clone(m).(*wire.Message))
			n.drive(lagging) // fails where an old snapshot is installed
		}
	}
	if !bytes.Equal(n.states[lagging], n.acknowledged) {
		t.Fatal("it holds an older state than before")
	}
}

// A follower that lags by less than the tail is served from it: a compaction costs it no snapshot.
func TestLaggingFollowerCatchesUpFromTrailingLog(t *testing.T) {
	n, lagging := newLaggingNetwork(t, 12, 100<<10, 1<<20)
	n.start(lagging)
	n.runUntil("it catches up", 100, func() bool { return bytes.Equal(n.states[lagging], n.acknowledged) })
	if len(n.recorded) > 0 {
		t.Errorf("%d messages with a snapshot were sent", len(n.recorded))
	}
	if kept := len(n.leader().trailing); kept == 0 {
		t.Error("no tail is kept")
	}
}

// The tail is bounded by TrailingLogBytes, or by the state's size where that is more.
func TestTrailingLogIsBounded(t *testing.T) {
	n := newLinkNetwork(t, 13, 64<<10)
	for range 20 {
		n.propose(randomBody(n.random, 20<<10))
		n.compact(n.leader().cfg.Self)
		size := 0
		for _, e := range n.leader().trailing {
			size += entryBytes(e)
		}
		if size > 64<<10 {
			t.Fatalf("a tail of %d bytes", size)
		}
	}
	if len(n.leader().trailing) < 3 {
		t.Errorf("%d entries in the tail", len(n.leader().trailing))
	}
}

// Whatever is on its way, a leader holds few snapshots beside its newest.
func TestOutgoingSnapshotsAreBounded(t *testing.T) {
	n := newLinkNetwork(t, 14, 0)
	n.propose(randomBody(n.random, 100<<10))
	l := n.leader()
	for i := range 12 {
		name := string(rune('k' + i))
		if !l.AddLearner(name) {
			t.Fatal("no learner is taken")
		}
		l.peers[name].next, l.peers[name].responded, l.peers[name].acceptsChunks = 1, true, true
		n.propose(randomBody(n.random, 100<<10))
		n.compact(l.cfg.Self)
		l.replicate(name, true)
		if l.peers[name].transfer == nil {
			t.Fatal("no transfer begins")
		}
		if held := len(l.activeTransfers()); held > maxOutgoingSnapshots {
			t.Fatalf("%d snapshots are on their way", held)
		}
	}
}
