package consensus

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	"google.golang.org/protobuf/proto"

	"pebbleloom/internal/wire"
)

// linkNetwork joins cores of a group by links that carry so many bytes a tick. Small messages pass beside
// large ones; a large one that takes longer than patience ticks is lost, as the driver gives it up.
type linkNetwork struct {
	t                    testing.TB
	random               *rand.Rand
	cores                map[string]*Core
	disks                map[string]*memoryDisk
	states               map[string][]byte // applied state of each: the body applied last
	applied              map[string]uint64
	slowPeer             string // whose incoming link is slow
	bytesPerTick         int
	sendTimeout          int
	busyUntil            int
	queued               []queuedMessage
	tick                 int
	bytesSent            map[wire.MessageKind]int // bytes on the slow link
	lossProbability      float64
	duplicateProbability float64
	trailingLogBytes     int
	olderRelease         string          // a member of the release before
	unknownChunks        int             // messages to it that it doesn't know
	recorded             []*wire.Message // with a snapshot, or a piece of one
	acknowledged         []byte          // body of the newest acknowledged entry
}

type queuedMessage struct {
	at      int
	message *wire.Message
	lost    bool // its sender hears that it didn't arrive
}

// memoryDisk is what a member has persisted.
type memoryDisk struct {
	snapshot *wire.Snapshot
	records  []*wire.Record
}

const (
	testHeartbeat = 3
	testElection  = 9
	testBatch     = 256 << 10
)

func newLinkNetwork(t testing.TB, seed uint64, tail int) *linkNetwork {
	network := &linkNetwork{t: t, random: rand.New(rand.NewPCG(seed, 4)), cores: map[string]*Core{}, disks: map[string]*memoryDisk{}, states: map[string][]byte{},
		applied: map[string]uint64{}, bytesPerTick: 1 << 30, sendTimeout: 5, bytesSent: map[wire.MessageKind]int{}, trailingLogBytes: tail}
	for _, name := range []string{"a", "b", "c"} {
		network.disks[name] = &memoryDisk{snapshot: BootstrapSnapshot(name, []string{"a", "b", "c"})}
		network.start(name)
	}
	return network
}

// start runs a member by what its disk holds.
func (network *linkNetwork) start(name string) {
	disk := network.disks[name]
	cfg := Config{Self: name, DynamicMembership: true, HeartbeatTicks: testHeartbeat, ElectionTicks: testElection, MaxBatchBytes: testBatch, TrailingLogBytes: network.trailingLogBytes,
		Rand: rand.New(rand.NewPCG(network.random.Uint64(), 5))}
	network.cores[name] = New(cfg, proto.Clone(disk.snapshot).(*wire.Snapshot), disk.records)
	network.states[name], network.applied[name] = disk.snapshot.State, disk.snapshot.Index
}

func payloadBytes(message *wire.Message) int {
	size := len(message.GetSnapshot().GetState()) + len(message.GetChunk().GetData())
	for _, entry := range message.Entries {
		size += len(entry.Body)
	}
	return size
}

// drive does for a core what the driver does: persist, send, apply.
func (network *linkNetwork) drive(name string) {
	c, disk := network.cores[name], network.disks[name]
	if c == nil {
		return
	}
	ready := c.Ready()
	if ready.Snapshot != nil {
		if ready.Snapshot.Index < network.applied[name] {
			network.t.Fatalf("old snapshot never installed over newer state: %s had applied %d and installs %d", name, network.applied[name], ready.Snapshot.Index)
		}
		disk.snapshot, disk.records = ready.Snapshot, nil
		network.states[name], network.applied[name] = ready.Snapshot.State, ready.Snapshot.Index
	}
	disk.records = append(disk.records, ready.Records...)
	for _, message := range ready.Messages {
		network.enqueue(message)
	}
	for _, entry := range ready.CommittedEntries {
		if entry.Index != network.applied[name]+1 {
			network.t.Fatalf("%s applies %d after %d", name, entry.Index, network.applied[name])
		}
		network.applied[name] = entry.Index
		if len(entry.Body) > 0 {
			network.states[name] = entry.Body
		}
	}
}

func (network *linkNetwork) compact(name string) {
	disk := network.disks[name]
	disk.snapshot, disk.records = network.cores[name].Compact(network.states[name])
}

func (network *linkNetwork) enqueue(message *wire.Message) {
	if network.random.Float64() < network.lossProbability {
		return
	}
	if message.To == network.olderRelease && message.Chunk != nil {
		network.unknownChunks++
	}
	if message.Snapshot != nil {
		network.recorded = append(network.recorded, message)
	}
	if message.From == network.olderRelease {
		message.AcceptsChunks = false
	}
	at, size := network.tick, payloadBytes(message)
	if message.To == network.slowPeer {
		network.bytesSent[message.Kind] += size
		if takes := size / network.bytesPerTick; takes > 0 {
			network.busyUntil = max(network.busyUntil, network.tick) + takes
			at = network.busyUntil
		}
		if at-network.tick > network.sendTimeout {
			network.queued = append(network.queued, queuedMessage{at: network.tick + network.sendTimeout, message: message, lost: true})
			return
		}
	}
	network.queued = append(network.queued, queuedMessage{at: at + 1, message: proto.Clone(message).(*wire.Message)})
	if network.random.Float64() < network.duplicateProbability {
		network.queued = append(network.queued, queuedMessage{at: at + 2 + network.random.IntN(10), message: proto.Clone(message).(*wire.Message)})
	}
}

// advance lets a tick go by.
func (network *linkNetwork) advance() {
	network.tick++
	due, later := []queuedMessage(nil), []queuedMessage(nil)
	for _, queued := range network.queued {
		if queued.at <= network.tick {
			due = append(due, queued)
		} else {
			later = append(later, queued)
		}
	}
	network.queued = later
	for _, queued := range due {
		if c := network.cores[queued.message.From]; queued.lost && c != nil {
			c.ReportSendFailure(queued.message)
			network.drive(queued.message.From)
		} else if c := network.cores[queued.message.To]; !queued.lost && c != nil {
			c.Step(queued.message)
			network.drive(queued.message.To)
		}
	}
	for _, name := range []string{"a", "b", "c", "d"} {
		if c := network.cores[name]; c != nil {
			c.Tick()
			network.drive(name)
		}
	}
}

func (network *linkNetwork) leader() *Core {
	var found *Core
	for _, c := range network.cores {
		if c != nil && c.role == leader && (found == nil || c.hardState.Term > found.hardState.Term) {
			found = c
		}
	}
	return found
}

// propose has the leader take a body; it counts as acknowledged once the leader has applied it.
func (network *linkNetwork) propose(body []byte) {
	network.t.Helper()
	for range 400 {
		c := network.leader()
		if c == nil {
			network.advance()
			continue
		}
		index, term, _ := c.Propose(body)
		network.drive(c.cfg.Self)
		for range 100 {
			if network.advance(); network.applied[c.cfg.Self] >= index || c.hardState.Term != term {
				break
			}
		}
		if c.role == leader && c.hardState.Term == term && network.applied[c.cfg.Self] >= index {
			network.acknowledged = body
			return
		}
	}
	network.t.Fatal("no change is taken")
}

func (network *linkNetwork) runUntil(what string, ticks int, done func() bool) int {
	network.t.Helper()
	from := network.tick
	for !done() {
		if network.advance(); network.tick-from > ticks {
			network.t.Fatalf("%s: not within %d ticks", what, ticks)
		}
	}
	return network.tick - from
}

func randomBody(random *rand.Rand, size int) []byte {
	b := make([]byte, size)
	for i := range b {
		b[i] = byte(random.Uint32())
	}
	return b
}

func otherMember(names ...string) string {
	for _, x := range []string{"a", "b", "c"} {
		if x != names[0] && (len(names) < 2 || x != names[1]) {
			return x
		}
	}
	return ""
}

// newLaggingNetwork is a group in which one follower was down while the others have compacted what it lacks.
func newLaggingNetwork(t testing.TB, seed uint64, stateBytes, tail int) (network *linkNetwork, lagging string) {
	network = newLinkNetwork(t, seed, tail)
	network.propose(randomBody(network.random, stateBytes))
	lagging = otherMember(network.leader().cfg.Self)
	network.cores[lagging] = nil
	network.propose(randomBody(network.random, stateBytes))
	network.propose(randomBody(network.random, stateBytes))
	network.compact(network.leader().cfg.Self)
	return network, lagging
}

// A snapshot far larger than what a slow link carries in one message's time arrives, and meanwhile
// the lead stays where it is.
func TestSnapshotTransferOverSlowLink(t *testing.T) {
	for _, size := range []int{100 << 10, 700 << 10, 4 << 20} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			network, lagging := newLaggingNetwork(t, 1, size, 0)
			network.slowPeer, network.bytesPerTick = lagging, 10<<10 // 100 KB/s at ten ticks a second; a message may take 5 ticks
			term := network.leader().hardState.Term
			network.start(lagging)
			took := network.runUntil("the snapshot arrives", 100+4*size/network.bytesPerTick, func() bool { return bytes.Equal(network.states[lagging], network.acknowledged) })
			if now := network.leader().hardState.Term; now != term {
				t.Errorf("the term went from %d to %d", term, now)
			}
			t.Logf("state of %d bytes, link of %d bytes a tick: %d ticks, %v bytes sent", size, network.bytesPerTick, took, network.bytesSent)
		})
	}
}

// Pieces are lost, late and doubled: what is installed is whole, and it ends.
func TestSnapshotTransferWithLostAndDuplicatedChunks(t *testing.T) {
	for seed := range uint64(40) {
		network, lagging := newLaggingNetwork(t, seed, 600<<10, 0)
		network.slowPeer, network.bytesPerTick, network.lossProbability, network.duplicateProbability = lagging, 20<<10, 0.2, 0.2
		network.start(lagging)
		network.runUntil("the snapshot arrives", 2000, func() bool { return bytes.Equal(network.states[lagging], network.acknowledged) })
	}
}

// A follower catches up while changes go on and the leader compacts after each of them.
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
		t.Errorf("it got on in %d of 20 changes", installed)
	}
	took := network.runUntil("it catches up", 200, func() bool { return bytes.Equal(network.states[lagging], network.acknowledged) })
	t.Logf("got on in %d of 20 changes; caught up %d ticks after the last one", installed, took)
}

// A stream of compactions faster than a transfer doesn't start it anew for ever.
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

// A transfer goes on where it stopped when its leader is gone and the next one has the same snapshot.
func TestSnapshotTransferResumesUnderNewLeader(t *testing.T) {
	const size = 1 << 20
	network, lagging := newLaggingNetwork(t, 5, size, 0)
	first := network.leader().cfg.Self
	second := otherMember(first, lagging)
	network.runUntil("both hold it", 50, func() bool { return network.applied[second] == network.applied[first] })
	network.compact(second)
	network.slowPeer, network.bytesPerTick = lagging, 10<<10
	network.start(lagging)
	network.runUntil("half has arrived", 300, func() bool {
		in := network.cores[lagging].incoming
		return in != nil && len(in.received) > size/2
	})
	before := network.bytesSent[wire.MessageKind_SNAPSHOT_CHUNK_REQUEST]
	network.cores[first].TransferLeadership()
	network.drive(first)
	network.runUntil("it catches up", 300, func() bool { return bytes.Equal(network.states[lagging], network.acknowledged) })
	if now := network.leader().cfg.Self; now != second {
		t.Fatalf("%s leads, not %s", now, second)
	}
	if again := network.bytesSent[wire.MessageKind_SNAPSHOT_CHUNK_REQUEST] - before; again > size*3/4 {
		t.Errorf("%d bytes were sent after the change of leader: it began anew", again)
	}
}

// An entry that is larger than what the link carries in one message's time arrives within a snapshot.
func TestEntryTooLargeForLinkIsSentAsSnapshot(t *testing.T) {
	const size = 600 << 10
	network := newLinkNetwork(t, 7, 8<<20)
	network.propose([]byte("first"))
	network.slowPeer, network.bytesPerTick = otherMember(network.leader().cfg.Self), 20<<10
	for range 4 {
		network.propose(randomBody(network.random, size))
	}
	network.compact(network.leader().cfg.Self)
	took := network.runUntil("the entries arrive", 400, func() bool { return bytes.Equal(network.states[network.slowPeer], network.acknowledged) })
	t.Logf("%d ticks, %v bytes sent", took, network.bytesSent)
}

// A member of a release that takes a snapshot whole only gets it whole, and one that takes pieces
// installs a whole one, too: leader and follower may be of either release.
func TestSnapshotTransferBetweenReleases(t *testing.T) {
	network, lagging := newLaggingNetwork(t, 9, 100<<10, 0)
	network.start(lagging)
	network.olderRelease = lagging // what an older release doesn't know is lost on its way in, and not set on its way out
	network.runUntil("the older release catches up", 100, func() bool { return bytes.Equal(network.states[lagging], network.acknowledged) })
	if network.unknownChunks > 0 {
		t.Errorf("%d pieces were sent to a release that doesn't know them", network.unknownChunks)
	}

	network, lagging = newLaggingNetwork(t, 10, 100<<10, 0)
	network.start(lagging)
	network.cores[lagging].Step(&wire.Message{From: "x", To: lagging, Incarnation: "x", Kind: wire.MessageKind_SNAPSHOT_REQUEST, Term: 99,
		Snapshot: proto.Clone(network.leader().snapshot).(*wire.Snapshot)})
	if network.drive(lagging); !bytes.Equal(network.states[lagging], network.acknowledged) {
		t.Error("a whole snapshot of an older leader isn't installed")
	}
}

// A learner gets a snapshot as a member does, each byte once, also over a link on which a piece takes
// longer than the pause between two heartbeats to a learner.
func TestLearnerReceivesSnapshotOverSlowLink(t *testing.T) {
	const size = 600 << 10
	network, _ := newLaggingNetwork(t, 15, size, 0)
	network.disks["d"] = &memoryDisk{snapshot: LearnerSnapshot("d")}
	network.start("d")
	network.slowPeer, network.bytesPerTick, network.sendTimeout = "d", 2<<10, 100
	if !network.leader().AddLearner("d") {
		t.Fatal("no learner is taken")
	}
	network.drive(network.leader().cfg.Self)
	took := network.runUntil("the snapshot arrives", 3*size/network.bytesPerTick, func() bool { return bytes.Equal(network.states["d"], network.acknowledged) })
	if sent := network.bytesSent[wire.MessageKind_SNAPSHOT_CHUNK_REQUEST]; sent > size+size/10 {
		t.Errorf("%d bytes were sent of a state of %d", sent, size)
	}
	t.Logf("%d ticks, %v bytes sent", took, network.bytesSent)
}
