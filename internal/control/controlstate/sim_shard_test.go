package controlstate

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/consensus"
	"pebbleloom/internal/data/nodeagent"
	"pebbleloom/internal/wire"
)

// The shard simulator runs the production consensus core, state and storage of a shard with three fixed members, on
// virtual time. A seed determines the message delays and losses, the drift of the clocks and all faults: frozen and
// killed processes, partitions, and failing, slow and lost disks.

// shardSimNode is a simulated control node with a member of the shard.
type shardSimNode struct {
	name         string
	disk         *simDisk
	shard        *shard // member of the shard; nil while the node is down
	clock        *clock.Manual
	clockRate    float64
	frozenUntil  time.Duration
	nextTick     time.Duration
	generation   int           // incremented at each start and kill, to recognize a later process
	incarnation  string        // incarnation under which the member uses the current disk
	maxWriteTime time.Duration // maximum duration of a simulated disk write
	isBlank      bool          // whether the member lost its disk and has not caught up yet
}

// simWrite is a change of the document by an operator.
type simWrite struct {
	version         uint64
	body            string
	sentAt, ackedAt time.Duration // times at which the write was sent and acknowledged; ackedAt is 0 until the acknowledgement
}

// shardSim is a simulation of a shard with three fixed members.
type shardSim struct {
	simBase
	nodes         []*shardSimNode
	staleNodes    []*shardSimNode // nodes that were replaced by another node of the same name but still run for a while
	writes        []*simWrite
	watcher       *simWatcher
	grantedNonces map[byte]uint64   // nonces of granted claims, by first byte of the request ID
	lastStatus    map[string]string // newest traced status by node; used only if debug is set
	debug         bool              // whether each read and each change of a member's status is traced
}

// simWatcher polls all members for newer versions of the document and derives proofs of freshness, as a node agent does.
type simWatcher struct {
	freshness *nodeagent.FreshnessProof
	clock     *clock.Manual
}

// Timing of the shard simulator.
const (
	shardSimStep = 5 * time.Millisecond  // virtual time by which each step of the shard simulator advances
	shardSimTick = 50 * time.Millisecond // tick interval of the consensus core, by each node's own clock
)

// newShardSim starts a simulation with a seed. defect is one of the defect constants; empty: none.
func newShardSim(seed uint64, defect string) *shardSim {
	s := &shardSim{simBase: newSimBase(seed, 1, defect), grantedNonces: map[byte]uint64{}}
	for i := range 3 {
		node := &shardSimNode{name: fmt.Sprintf("core-%d", i+1), disk: newSimDisk(), clock: &clock.Manual{}, clockRate: s.randomClockRate()}
		s.nodes = append(s.nodes, node)
	}
	for _, node := range s.nodes {
		s.start(node)
	}
	s.watcher = &simWatcher{freshness: nodeagent.NewFreshnessProof(), clock: &clock.Manual{}}
	s.addLeaseHolders(3)
	return s
}

// start starts the process of a node, which recovers the member from the disk. The local clock starts at a random time.
func (s *shardSim) start(node *shardSimNode) {
	node.generation++
	if len(node.disk.files) == 0 {
		node.incarnation = fmt.Sprintf("%s/%d", node.name, node.generation)
	}
	node.disk.bytesUntilPowerLoss, node.disk.failWrites = -1, false
	node.disk.beforeWrite = func() { // the shard's goroutine is blocked during a write
		if node.maxWriteTime > 0 {
			node.frozenUntil = max(node.frozenUntil, s.now+s.randomBelow(node.maxWriteTime))
		}
	}
	node.clock.Time = s.randomBelow(time.Hour)
	var members []string
	for _, peer := range s.nodes {
		members = append(members, peer.name)
	}
	config := consensus.Config{Self: node.name, Members: members, HeartbeatTicks: 2, ElectionTicks: 12, MaxBatchBytes: 4096, Rand: rand.New(rand.NewPCG(s.seed, uint64(node.generation*10)))}
	generation := node.generation
	replica, err := openShard(context.Background(), config, node.disk, func() string { return node.incarnation }, node.clock, hclog.NewNullLogger(), func(message *wire.Message) {
		if node.generation == generation {
			s.send(message)
		}
	})
	if err != nil {
		s.violationf("opening the shard on the disk of node %s: %v", node.name, err)
		return
	}
	replica.compactThreshold = 2000 // a small log size in bytes, so that snapshots are written often
	node.shard, node.nextTick = replica, s.now
	node.isBlank = replica.core.Status().Blank
	if s.defect == defectBlankVote && replica.core.Status().Blank {
		// Treat the lost disk as a first start.
		snapshot := consensus.BlankSnapshot(node.incarnation)
		snapshot.HardState.DiskState = wire.DiskState_DISK_FOUNDED
		replica.core = consensus.New(config, snapshot, nil)
	}
}

// send puts a message in flight. The message may be lost, delayed, duplicated or reordered.
func (s *shardSim) send(message *wire.Message) {
	if s.partitioned[message.From+">"+message.To] || s.random.Float64() < s.lossRate {
		return
	}
	delay := s.randomBelow(8 * time.Millisecond)
	if s.random.Float64() < 0.02 {
		delay += s.randomBelow(time.Second)
	}
	if node := s.node(message.From); node.frozenUntil > s.now {
		delay += node.frozenUntil - s.now // the message is sent once the write has finished
	}
	s.sentMessages++
	s.inFlight = append(s.inFlight, simMessage{s.now + time.Millisecond + delay, s.sentMessages, message})
	if s.random.Float64() < 0.02 {
		s.sentMessages++
		s.inFlight = append(s.inFlight, simMessage{s.now + 2*delay + time.Millisecond, s.sentMessages, message})
	}
}

// isRunning reports whether the process of a node is running and not frozen.
func (s *shardSim) isRunning(node *shardSimNode) bool {
	return node.shard != nil && s.now >= node.frozenUntil
}

// step advances virtual time by one step, delivers the messages that are due, ticks the members and runs pending calls.
func (s *shardSim) step() {
	s.now += shardSimStep
	for _, node := range s.allNodes() {
		node.clock.Time += time.Duration(float64(shardSimStep) * node.clockRate)
	}
	s.advanceLeaseHolders(shardSimStep)
	s.watcher.clock.Time = s.now
	s.deliver()
	s.tickNodes()
	if s.debug {
		s.traceStatus()
	}
	s.runPendingCalls()
	s.checkLeaseHolders()
}

// deliver delivers the messages that are due. Messages to a frozen node wait until it runs again.
func (s *shardSim) deliver() {
	var waiting []simMessage
	for _, sent := range s.takeInFlight() {
		if node := s.node(sent.message.To); sent.deliverAt > s.now || node.shard != nil && !s.isRunning(node) {
			waiting = append(waiting, sent)
			continue
		}
		for _, node := range s.allNodes() { // a replaced node may still run under the same name; then both get the message
			if node.name == sent.message.To && s.isRunning(node) && node.shard.failure == nil {
				node.shard.core.Step(proto.Clone(sent.message).(*wire.Message))
				node.shard.handleReady()
			}
		}
	}
	s.inFlight = append(waiting, s.inFlight...)
}

// tickNodes ticks the members whose next tick is due.
func (s *shardSim) tickNodes() {
	for _, node := range s.allNodes() {
		if !s.isRunning(node) || s.now < node.nextTick {
			continue
		}
		node.nextTick = s.now + time.Duration(float64(shardSimTick)/node.clockRate)
		if node.shard.failure == nil {
			node.shard.core.Tick()
			node.shard.handleReady()
			node.isBlank = node.isBlank && node.shard.core.Status().Blank
		}
	}
}

// traceStatus traces the status of each member if it has changed.
func (s *shardSim) traceStatus() {
	if s.lastStatus == nil {
		s.lastStatus = map[string]string{}
	}
	for _, node := range s.nodes {
		if node.shard == nil || node.shard.failure != nil {
			continue
		}
		status := node.shard.core.Status()
		text := fmt.Sprintf("status of node %s: is leader %v, term %d, leader %q, applied index %d, last index %d, blank %v", node.name, status.IsLeader, status.Term, status.Leader, status.Applied, status.LastIndex, status.Blank)
		if s.lastStatus[node.name] != text {
			s.lastStatus[node.name] = text
			s.tracef("%s", text)
		}
	}
}

// allNodes returns the current nodes and the replaced nodes that still run.
func (s *shardSim) allNodes() []*shardSimNode {
	return append(append([]*shardSimNode(nil), s.nodes...), s.staleNodes...)
}

// randomNode draws a node to send a request to, including replaced nodes that still run.
func (s *shardSim) randomNode() *shardSimNode {
	nodes := s.allNodes()
	return nodes[s.random.IntN(len(nodes))]
}

// replace freezes a node and starts another one with an empty disk under the same name. The replaced node later resumes
// with its old disk.
func (s *shardSim) replace(node *shardSimNode) {
	stale := *node
	stale.generation = 1 << 20
	stale.frozenUntil = s.now + s.randomBelow(4*time.Second)
	disk := *node.disk
	stale.disk = &disk
	stale.disk.beforeWrite = nil
	staleClock := *node.clock
	stale.clock = &staleClock
	stale.shard.clock = stale.clock
	stale.shard.send = s.send
	s.staleNodes = append(s.staleNodes, &stale)
	node.disk = newSimDisk()
	s.tracef("replace node %s by a node with an empty disk; the replaced node is frozen for a while and then resumes", node.name)
	s.counts["node replaced"]++
	s.start(node)
}

// node returns the current node with a name, or nil.
func (s *shardSim) node(name string) *shardSimNode {
	for _, node := range s.nodes {
		if node.name == name {
			return node
		}
	}
	return nil
}
