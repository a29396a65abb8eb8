package consensus

import (
	"bytes"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"pebbleloom/internal/wire"
)

// A snapshot far larger than what a slow link carries within the time-out of one message is transferred
// without a change of leader.
func TestSnapshotTransferOverSlowLink(t *testing.T) {
	for _, size := range []int{100 << 10, 700 << 10, 4 << 20} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			network, lagging := newLaggingNetwork(t, 1, size, 0)
			network.slowPeer, network.bytesPerTick = lagging, 10<<10 // 100 KB/s at ten ticks a second; a message may take 5 ticks
			term := network.leader().hardState.Term
			network.start(lagging)
			ticks := network.runUntil("the snapshot arrives", 100+4*size/network.bytesPerTick, func() bool { return network.hasCaughtUp(lagging) })
			if now := network.leader().hardState.Term; now != term {
				t.Errorf("the term changed from %d to %d", term, now)
			}
			t.Logf("state of %d bytes, link of %d bytes a tick: %d ticks, %v bytes sent", size, network.bytesPerTick, ticks, network.bytesSent)
		})
	}
}

// A transfer completes although messages are lost, delayed and duplicated.
func TestSnapshotTransferWithLostAndDuplicatedChunks(t *testing.T) {
	for seed := range uint64(40) {
		network, lagging := newLaggingNetwork(t, seed, 600<<10, 0)
		network.slowPeer, network.bytesPerTick, network.lossProbability, network.duplicateProbability = lagging, 20<<10, 0.2, 0.2
		network.start(lagging)
		network.runUntil("the snapshot arrives", 2000, func() bool { return network.hasCaughtUp(lagging) })
	}
}

// A follower catches up although the leader commits and compacts all the while.
func TestSnapshotTransferCompletesDuringCompactions(t *testing.T) {
	const size = 600 << 10
	network, lagging := newLaggingNetwork(t, 3, size, 1<<20)
	network.slowPeer, network.bytesPerTick = lagging, 40<<10 // 15 ticks a snapshot
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
		t.Errorf("it advanced in %d of 20 changes", installed)
	}
	ticks := network.runUntil("it catches up", 200, func() bool { return network.hasCaughtUp(lagging) })
	t.Logf("advanced in %d of 20 changes; caught up %d ticks after the last one", installed, ticks)
}

// Compactions that are more frequent than a transfer is long don't restart it for ever.
func TestSnapshotTransferIsNotRestartedByCompactions(t *testing.T) {
	const size = 600 << 10
	network, lagging := newLaggingNetwork(t, 3, size, 0)
	network.slowPeer, network.bytesPerTick = lagging, 4<<10 // 150 ticks a snapshot
	network.start(lagging)
	installed := func() bool { return network.disks[lagging].snapshot.Index > 0 }
	for network.tick < 600 && !installed() {
		network.propose(bytes.Repeat([]byte{byte(network.tick)}, size))
		network.compact(network.leader().cfg.Self)
		network.advance()
	}
	if !installed() {
		t.Fatalf("nothing was installed in %d ticks: %v bytes sent", network.tick, network.bytesSent)
	}
	t.Logf("installed at tick %d: %v bytes sent", network.tick, network.bytesSent)
}

// A transfer resumes where it stopped when another leader has the same snapshot.
func TestSnapshotTransferResumesUnderNewLeader(t *testing.T) {
	const size = 1 << 20
	network, lagging := newLaggingNetwork(t, 5, size, 0)
	first := network.leader().cfg.Self
	second := otherMember(first, lagging)
	network.runUntil("both have the state", 50, func() bool { return network.applied[second] == network.applied[first] })
	network.compact(second)
	network.slowPeer, network.bytesPerTick = lagging, 10<<10
	network.start(lagging)
	network.runUntil("half has arrived", 300, func() bool {
		incoming := network.cores[lagging].incoming
		return incoming != nil && len(incoming.received) > size/2
	})
	before := network.bytesSent[wire.MessageKind_SNAPSHOT_CHUNK_REQUEST]
	network.cores[first].TransferLeadership()
	network.drive(first)
	network.runUntil("it catches up", 300, func() bool { return network.hasCaughtUp(lagging) })
	if now := network.leader().cfg.Self; now != second {
		t.Fatalf("the leader is %s, not %s", now, second)
	}
	if again := network.bytesSent[wire.MessageKind_SNAPSHOT_CHUNK_REQUEST] - before; again > size*3/4 {
		t.Errorf("%d bytes were sent after the change of leader: the transfer was restarted", again)
	}
}

// An entry larger than what the link carries within the time-out of one message is replaced by a snapshot.
func TestEntryTooLargeForLinkIsSentAsSnapshot(t *testing.T) {
	const size = 600 << 10
	network := newLinkNetwork(t, 7, 8<<20)
	network.propose([]byte("first"))
	network.slowPeer, network.bytesPerTick = otherMember(network.leader().cfg.Self), 20<<10
	for range 4 {
		network.propose(randomBody(network.random, size))
	}
	network.compact(network.leader().cfg.Self)
	ticks := network.runUntil("the entries arrive", 400, func() bool { return network.hasCaughtUp(network.slowPeer) })
	t.Logf("%d ticks, %v bytes sent", ticks, network.bytesSent)
}

// A member of the previous release is sent a snapshot in one message, and this release also installs one
// that comes so: leader and follower may be of either release.
func TestSnapshotTransferBetweenReleases(t *testing.T) {
	network, lagging := newLaggingNetwork(t, 9, 100<<10, 0)
	network.start(lagging)
	network.olderRelease = lagging // its responses don't say that it accepts chunks
	network.runUntil("the older release catches up", 100, func() bool { return network.hasCaughtUp(lagging) })
	if network.unknownChunks > 0 {
		t.Errorf("%d chunks were sent to a release that doesn't know them", network.unknownChunks)
	}

	network, lagging = newLaggingNetwork(t, 10, 100<<10, 0)
	network.start(lagging)
	network.cores[lagging].Step(&wire.Message{From: "x", To: lagging, Incarnation: "x", Kind: wire.MessageKind_SNAPSHOT_REQUEST, Term: 99,
		Snapshot: proto.Clone(network.leader().snapshot).(*wire.Snapshot)})
	if network.drive(lagging); !network.hasCaughtUp(lagging) {
		t.Error("a snapshot in one message of an older leader isn't installed")
	}
}

// A learner receives a snapshot as a voter does, each byte once, even if a chunk takes longer than the
// interval between two heartbeats to learners.
func TestLearnerReceivesSnapshotOverSlowLink(t *testing.T) {
	const size = 600 << 10
	network, _ := newLaggingNetwork(t, 15, size, 0)
	network.disks["d"] = &memoryDisk{snapshot: LearnerSnapshot("d")}
	network.start("d")
	network.slowPeer, network.bytesPerTick, network.sendTimeout = "d", 2<<10, 100
	if !network.leader().AddLearner("d") {
		t.Fatal("the learner isn't added")
	}
	network.drive(network.leader().cfg.Self)
	ticks := network.runUntil("the snapshot arrives", 3*size/network.bytesPerTick, func() bool { return network.hasCaughtUp("d") })
	if sent := network.bytesSent[wire.MessageKind_SNAPSHOT_CHUNK_REQUEST]; sent > size+size/10 {
		t.Errorf("%d bytes were sent of a state of %d", sent, size)
	}
	t.Logf("%d ticks, %v bytes sent", ticks, network.bytesSent)
}
