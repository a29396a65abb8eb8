package consensus

import (
	"bytes"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"pebbleloom/internal/wire"
)

// A snapshot far larger than a slow link can carry within the timeout of one message is transferred without a
// change of leader.
func TestSnapshotTransferOverSlowLink(t *testing.T) {
	for _, size := range []int{100 << 10, 700 << 10, 4 << 20} {
		t.Run(fmt.Sprintf("state of %d bytes", size), func(t *testing.T) {
			network, lagging := newLaggingNetwork(t, 1, size, 0)
			network.slowPeer, network.bytesPerTick = lagging, 10<<10 // a link of 100 KB/s at ten ticks a second; a message is lost if it takes longer than 5 ticks
			term := network.leader().hardState.Term
			network.start(lagging)
			ticks := network.runUntil("the lagging member applies the snapshot", 100+4*size/network.bytesPerTick, func() bool { return network.hasCaughtUp(lagging) })
			if now := network.leader().hardState.Term; now != term {
				t.Errorf("the term changed from %d to %d during the snapshot transfer, want no change of leader", term, now)
			}
			t.Logf("snapshot of %d bytes over a link of %d bytes a tick: transferred in %d ticks, bytes sent by message kind: %v", size, network.bytesPerTick, ticks, network.bytesSent)
		})
	}
}

// A snapshot transfer completes although 20% of all messages are lost, and 20% are duplicated and arrive late.
func TestSnapshotTransferWithLostAndDuplicatedChunks(t *testing.T) {
	for seed := range uint64(40) {
		network, lagging := newLaggingNetwork(t, seed, 600<<10, 0)
		network.slowPeer, network.bytesPerTick, network.lossProbability, network.duplicateProbability = lagging, 20<<10, 0.2, 0.2
		network.start(lagging)
		network.runUntil("the lagging member applies the snapshot", 2000, func() bool { return network.hasCaughtUp(lagging) })
	}
}

// A lagging follower receives snapshots and catches up while the leader keeps committing entries and compacting its log.
func TestSnapshotTransferCompletesDuringCompactions(t *testing.T) {
	const size = 600 << 10
	network, lagging := newLaggingNetwork(t, 3, size, 1<<20)
	network.slowPeer, network.bytesPerTick = lagging, 40<<10 // the slow link takes 15 ticks for each snapshot
	network.start(lagging)
	installed := 0
	for range 20 {
		before := network.applied[lagging]
		network.propose(randomBody(network.random, size))
		network.compact(network.leader().cfg.Self)
		for range 20 {
			network.advance()
		}
		if network.applied[lagging] > before {
			installed++
		}
	}
	if installed < 10 {
		t.Errorf("the lagging follower applied entries after %d of 20 commits, want at least 10", installed)
	}
	ticks := network.runUntil("the lagging follower catches up", 200, func() bool { return network.hasCaughtUp(lagging) })
	t.Logf("the lagging follower applied entries after %d of 20 commits (at least 10 required) and caught up %d ticks after the last commit (at most 200 allowed)", installed, ticks)
}

// A snapshot transfer that takes longer than the interval between two compactions completes. Guards against
// each compaction restarting the transfer with the newest snapshot.
func TestSnapshotTransferIsNotRestartedByCompactions(t *testing.T) {
	const size = 600 << 10
	network, lagging := newLaggingNetwork(t, 3, size, 0)
	network.slowPeer, network.bytesPerTick = lagging, 4<<10 // the slow link takes 150 ticks for each snapshot
	network.start(lagging)
	installed := func() bool { return network.disks[lagging].snapshot.Index > 0 }
	for network.tick < 600 && !installed() {
		network.propose(bytes.Repeat([]byte{byte(network.tick)}, size))
		network.compact(network.leader().cfg.Self)
		network.advance()
	}
	if !installed() {
		t.Fatalf("the lagging member installed no snapshot in %d ticks; bytes sent to it by message kind: %v", network.tick, network.bytesSent)
	}
	t.Logf("the lagging member installed a snapshot at tick %d; bytes sent to it by message kind: %v", network.tick, network.bytesSent)
}

// A snapshot transfer resumes where it stopped after a change of leader, if the new leader has the same snapshot.
func TestSnapshotTransferResumesUnderNewLeader(t *testing.T) {
	const size = 1 << 20
	network, lagging := newLaggingNetwork(t, 5, size, 0)
	first := network.leader().cfg.Self
	second := otherMember(first, lagging)
	network.runUntil("the follower that leads next has applied every entry that the leader has applied", 50, func() bool { return network.applied[second] == network.applied[first] })
	network.compact(second)
	network.slowPeer, network.bytesPerTick = lagging, 10<<10
	network.start(lagging)
	network.runUntil("the lagging member has received half of the snapshot", 300, func() bool {
		incoming := network.cores[lagging].incoming
		return incoming != nil && len(incoming.received) > size/2
	})
	before := network.bytesSent[wire.MessageKind_SNAPSHOT_CHUNK_REQUEST]
	network.cores[first].TransferLeadership()
	network.drive(first)
	network.runUntil("the lagging member catches up", 300, func() bool { return network.hasCaughtUp(lagging) })
	if now := network.leader().cfg.Self; now != second {
		t.Fatalf("the leader after the leadership transfer is %s, want %s", now, second)
	}
	if again := network.bytesSent[wire.MessageKind_SNAPSHOT_CHUNK_REQUEST] - before; again > size*3/4 {
		t.Errorf("%d bytes of chunks were sent after the change of leader, want at most %d: the snapshot transfer was restarted, not resumed", again, size*3/4)
	}
}

// Entries too large for the link to carry within the timeout of one message are replaced by a snapshot.
func TestEntryTooLargeForLinkIsSentAsSnapshot(t *testing.T) {
	const size = 600 << 10
	network := newLinkNetwork(t, 7, 8<<20)
	network.propose([]byte("first"))
	network.slowPeer, network.bytesPerTick = otherMember(network.leader().cfg.Self), 20<<10
	for range 4 {
		network.propose(randomBody(network.random, size))
	}
	network.compact(network.leader().cfg.Self)
	ticks := network.runUntil("the member behind the slow link catches up", 400, func() bool { return network.hasCaughtUp(network.slowPeer) })
	t.Logf("the member behind the slow link caught up with large entries in %d ticks; bytes sent to it by message kind: %v", ticks, network.bytesSent)
}

// A member of the previous release is sent a snapshot in one message, and a member of this release also installs
// a snapshot that arrives in one message. So leader and follower may run either release.
func TestSnapshotTransferBetweenReleases(t *testing.T) {
	network, lagging := newLaggingNetwork(t, 9, 100<<10, 0)
	network.start(lagging)
	network.olderReleaseMember = lagging // the network clears AcceptsChunks in the responses of this member, as if an older release sent them
	network.runUntil("the member of the older release catches up", 100, func() bool { return network.hasCaughtUp(lagging) })
	if network.unsupportedChunks > 0 {
		t.Errorf("%d snapshot chunks were sent to a member of a release that doesn't support them, want 0", network.unsupportedChunks)
	}

	network, lagging = newLaggingNetwork(t, 10, 100<<10, 0)
	network.start(lagging)
	network.cores[lagging].Step(&wire.Message{From: "x", To: lagging, Incarnation: "x", Kind: wire.MessageKind_SNAPSHOT_REQUEST, Term: 99,
		Snapshot: proto.Clone(network.leader().snapshot).(*wire.Snapshot)})
	if network.drive(lagging); !network.hasCaughtUp(lagging) {
		t.Error("a snapshot sent in one message by a leader of an older release isn't installed")
	}
}

// A learner receives a snapshot in the same way as a voter, with each byte sent about once, even if a chunk takes
// longer than the interval between two heartbeats to learners.
func TestLearnerReceivesSnapshotOverSlowLink(t *testing.T) {
	const size = 600 << 10
	network, _ := newLaggingNetwork(t, 15, size, 0)
	network.disks["d"] = &memoryDisk{snapshot: LearnerSnapshot("d")}
	network.start("d")
	network.slowPeer, network.bytesPerTick, network.sendTimeout = "d", 2<<10, 100
	if !network.leader().AddLearner("d") {
		t.Fatal("AddLearner returned false on the leader for learner d, want true")
	}
	network.drive(network.leader().cfg.Self)
	ticks := network.runUntil("the learner applies the snapshot", 3*size/network.bytesPerTick, func() bool { return network.hasCaughtUp("d") })
	if sent := network.bytesSent[wire.MessageKind_SNAPSHOT_CHUNK_REQUEST]; sent > size+size/10 {
		t.Errorf("%d bytes of chunks were sent for a snapshot of %d bytes, want at most a tenth more", sent, size)
	}
	t.Logf("snapshot transferred to a learner in %d ticks; bytes sent to it by message kind: %v", ticks, network.bytesSent)
}
