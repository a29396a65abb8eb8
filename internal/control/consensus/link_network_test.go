package consensus

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"

	"pebbleloom/internal/wire"
)

// linkNetwork connects the cores of a group. The incoming link of one member can be slow: small messages
// overtake large ones on it, and a message that would take longer than sendTimeout is lost and reported to its
// sender, as by a driver that gives up sending it.
type linkNetwork struct {
	t      testing.TB
	random *rand.Rand
	tick   int // number of ticks since the start of the network

	cores            map[string]*Core
	disks            map[string]*memoryDisk
	applied          map[string]uint64 // by member: index of the last applied entry
	states           map[string][]byte // by member: the applied state, which is the body of the last applied entry
	acknowledged     []byte            // body of the newest entry that propose has seen committed
	trailingLogBytes int

	slowPeer             string // the member whose incoming link is slow; empty: none
	bytesPerTick         int    // throughput of the slow link
	busyUntil            int    // tick until which the slow link is busy with queued messages
	sendTimeout          int    // ticks that a message may take on the slow link; a message that would take longer is lost
	lossProbability      float64
	duplicateProbability float64
	queued               []queuedMessage // messages on the way, in no particular order

	bytesSent          map[wire.MessageKind]int // payload bytes sent over the slow link
	olderReleaseMember string                   // the member that runs the previous release; empty: none
	unsupportedChunks  int                      // number of snapshot chunks sent to the member of the previous release, which can't receive them
	snapshotMessages   []*wire.Message          // all messages sent with a snapshot or a snapshot chunk, also those that were lost on the slow link
}

// queuedMessage is a message that arrives in arrivalTick or, if lost is true, is reported as lost to its sender then.
type queuedMessage struct {
	arrivalTick int
	message     *wire.Message
	lost        bool
}

// memoryDisk holds the persisted snapshot and records of a member.
type memoryDisk struct {
	snapshot *wire.Snapshot
	records  []*wire.Record
}

const (
	testHeartbeatTicks = 3
	testElectionTicks  = 9
	testMaxBatchBytes  = 256 << 10
)

func newLinkNetwork(t testing.TB, seed uint64, trailingLogBytes int) *linkNetwork {
	network := &linkNetwork{t: t, random: rand.New(rand.NewPCG(seed, 4)), cores: map[string]*Core{}, disks: map[string]*memoryDisk{}, states: map[string][]byte{},
		applied: map[string]uint64{}, bytesPerTick: 1 << 30, sendTimeout: 5, bytesSent: map[wire.MessageKind]int{}, trailingLogBytes: trailingLogBytes}
	for _, name := range []string{"a", "b", "c"} {
		network.disks[name] = &memoryDisk{snapshot: BootstrapSnapshot(name, []string{"a", "b", "c"})}
		network.start(name)
	}
	return network
}

// start starts a member from its disk.
func (n *linkNetwork) start(name string) {
	disk := n.disks[name]
	cfg := Config{Self: name, DynamicMembership: true, HeartbeatTicks: testHeartbeatTicks, ElectionTicks: testElectionTicks, MaxBatchBytes: testMaxBatchBytes, TrailingLogBytes: n.trailingLogBytes,
		Rand: rand.New(rand.NewPCG(n.random.Uint64(), 5))}
	n.cores[name] = New(cfg, proto.Clone(disk.snapshot).(*wire.Snapshot), disk.records)
	n.states[name], n.applied[name] = disk.snapshot.State, disk.snapshot.Index
}

// payloadBytes returns the size of the entry bodies, the state and the chunk in a message.
func payloadBytes(message *wire.Message) int {
	size := len(message.GetSnapshot().GetState()) + len(message.GetChunk().GetData())
	for _, entry := range message.Entries {
		size += len(entry.Body)
	}
	return size
}

// drive carries out the output of a core, as the driver does: persist, send, apply.
func (n *linkNetwork) drive(name string) {
	core, disk := n.cores[name], n.disks[name]
	if core == nil {
		return
	}
	ready := core.Ready()
	if ready.Snapshot != nil {
		if ready.Snapshot.Index < n.applied[name] {
			n.t.Fatalf("member %s installs a snapshot up to entry %[3]d, but has already applied entry %[2]d", name, n.applied[name], ready.Snapshot.Index)
		}
		disk.snapshot, disk.records = ready.Snapshot, nil
		n.states[name], n.applied[name] = ready.Snapshot.State, ready.Snapshot.Index
	}
	disk.records = append(disk.records, ready.Records...)
	for _, message := range ready.Messages {
		n.enqueue(message)
	}
	for _, entry := range ready.CommittedEntries {
		if entry.Index != n.applied[name]+1 {
			n.t.Fatalf("member %s applies entry %d directly after entry %d, want the entries in order without a gap", name, entry.Index, n.applied[name])
		}
		n.applied[name] = entry.Index
		if len(entry.Body) > 0 {
			n.states[name] = entry.Body
		}
	}
}

// compact replaces the applied entries in a member's log by a snapshot.
func (n *linkNetwork) compact(name string) {
	disk := n.disks[name]
	disk.snapshot, disk.records = n.cores[name].Compact(n.states[name])
}

// enqueue sends a message, which may be lost, delayed or duplicated according to the settings of the network.
func (n *linkNetwork) enqueue(message *wire.Message) {
	if n.random.Float64() < n.lossProbability {
		return
	}
	if message.To == n.olderReleaseMember && message.Chunk != nil {
		n.unsupportedChunks++
	}
	if message.Snapshot != nil {
		n.snapshotMessages = append(n.snapshotMessages, message)
	}
	if message.From == n.olderReleaseMember {
		message.AcceptsChunks = false
	}
	arrivalTick, size := n.tick, payloadBytes(message)
	if message.To == n.slowPeer {
		n.bytesSent[message.Kind] += size
		if duration := size / n.bytesPerTick; duration > 0 {
			n.busyUntil = max(n.busyUntil, n.tick) + duration
			arrivalTick = n.busyUntil
		}
		if arrivalTick-n.tick > n.sendTimeout {
			n.queued = append(n.queued, queuedMessage{arrivalTick: n.tick + n.sendTimeout, message: message, lost: true})
			return
		}
	}
	n.queued = append(n.queued, queuedMessage{arrivalTick: arrivalTick + 1, message: proto.Clone(message).(*wire.Message)})
	if n.random.Float64() < n.duplicateProbability {
		n.queued = append(n.queued, queuedMessage{arrivalTick: arrivalTick + 2 + n.random.IntN(10), message: proto.Clone(message).(*wire.Message)})
	}
}

// advance begins the next tick: it delivers the messages that are due, and then ticks all members.
func (n *linkNetwork) advance() {
	n.tick++
	due, later := []queuedMessage(nil), []queuedMessage(nil)
	for _, queued := range n.queued {
		if queued.arrivalTick <= n.tick {
			due = append(due, queued)
		} else {
			later = append(later, queued)
		}
	}
	n.queued = later
	for _, queued := range due {
		if c := n.cores[queued.message.From]; queued.lost && c != nil {
			c.ReportSendFailure(queued.message)
			n.drive(queued.message.From)
		} else if c := n.cores[queued.message.To]; !queued.lost && c != nil {
			c.Step(queued.message)
			n.drive(queued.message.To)
		}
	}
	for _, name := range []string{"a", "b", "c", "d"} {
		if c := n.cores[name]; c != nil {
			c.Tick()
			n.drive(name)
		}
	}
}

// leader returns the leader of the highest term; nil: there is none.
func (n *linkNetwork) leader() *Core {
	var found *Core
	for _, c := range n.cores {
		if c != nil && c.role == leader && (found == nil || c.hardState.Term > found.hardState.Term) {
			found = c
		}
	}
	return found
}

// propose proposes an entry with a body to the current leader, again after a change of leader, until a leader has
// committed and applied it. It fails the test after 400 attempts.
func (n *linkNetwork) propose(body []byte) {
	n.t.Helper()
	for range 400 {
		leaderCore := n.leader()
		if leaderCore == nil {
			n.advance()
			continue
		}
		index, term, _ := leaderCore.Propose(body)
		n.drive(leaderCore.cfg.Self)
		for range 100 {
			if n.advance(); n.applied[leaderCore.cfg.Self] >= index || leaderCore.hardState.Term != term {
				break
			}
		}
		if leaderCore.role == leader && leaderCore.hardState.Term == term && n.applied[leaderCore.cfg.Self] >= index {
			n.acknowledged = body
			return
		}
	}
	n.t.Fatal("no leader committed the proposed entry in 400 attempts")
}

// runUntil advances the network until done returns true, and returns the number of ticks that this took. It fails the
// test, with the description of the condition, if it takes more than the given number of ticks.
func (n *linkNetwork) runUntil(condition string, ticks int, done func() bool) int {
	n.t.Helper()
	from := n.tick
	for !done() {
		if n.advance(); n.tick-from > ticks {
			n.t.Fatalf("condition %[1]q doesn't hold after %[2]d ticks of the simulated network", condition, ticks)
		}
	}
	return n.tick - from
}

// hasCaughtUp reports whether the last entry that a member has applied is the newest one that was acknowledged.
func (n *linkNetwork) hasCaughtUp(name string) bool {
	return bytes.Equal(n.states[name], n.acknowledged)
}

func randomBody(random *rand.Rand, size int) []byte {
	body := make([]byte, size)
	for i := range body {
		body[i] = byte(random.Uint32())
	}
	return body
}

// otherMember returns the first of the voters a, b and c that isn't among the excluded ones; empty: all are excluded.
func otherMember(excluded ...string) string {
	for _, name := range []string{"a", "b", "c"} {
		if !slices.Contains(excluded, name) {
			return name
		}
	}
	return ""
}

// newLaggingNetwork returns a group in which one follower is down and lacks entries that the leader has compacted,
// and the name of that follower.
func newLaggingNetwork(t testing.TB, seed uint64, stateBytes, trailingLogBytes int) (network *linkNetwork, lagging string) {
	network = newLinkNetwork(t, seed, trailingLogBytes)
	network.propose(randomBody(network.random, stateBytes))
	lagging = otherMember(network.leader().cfg.Self)
	network.cores[lagging] = nil
	network.propose(randomBody(network.random, stateBytes))
	network.propose(randomBody(network.random, stateBytes))
	network.compact(network.leader().cfg.Self)
	return network, lagging
}
