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

// The simulator of a shard drives the real code (consensus core, state, storage) on virtual time: a
// seeded network, seeded disks, clocks that drift, freezes, kills and lost disks.

// shardSimNode is one machine with a member of the shard.
type shardSimNode struct {
	name         string
	disk         *simDisk
	shard        *shard // nil: it is down
	clock        *clock.Manual
	clockRate    float64
	frozenUntil  time.Duration
	nextTick     time.Duration
	generation   int           // counts its starts and kills
	incarnation  string        // of its disk
	maxWriteTime time.Duration // up to which a write may take
	isBlank      bool          // it has lost its disk and hasn't caught up yet
}

// simWrite is an operator's change of the document.
type simWrite struct {
	version         uint64
	body            string
	sentAt, ackedAt time.Duration // ackedAt zero: it was never acknowledged
}

// shardSim is one seeded run of a shard with three fixed members.
type shardSim struct {
	simBase
	nodes         []*shardSimNode
	zombies       []*shardSimNode // machines whose name another one has taken; they run on for a while
	writes        []*simWrite
	watcher       *simWatcher
	grantedNonces map[byte]uint64
	lastStatus    map[string]string // by member, with debug
	debug         bool              // trace each change of a member's status, and each read
}

// simWatcher polls all members for a newer document, as a node agent does.
type simWatcher struct {
	freshness *nodeagent.FreshnessProof
	clock     *clock.Manual
}

// Virtual time passes in steps; a member ticks once a shardSimTick of its own clock.
const (
	shardSimStep = 5 * time.Millisecond
	shardSimTick = 50 * time.Millisecond
)

// newShardSim starts three members.
func newShardSim(seed uint64, plantedFault string) *shardSim {
	s := &shardSim{simBase: newSimBase(seed, 1, plantedFault), grantedNonces: map[byte]uint64{}}
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

// start starts a member from its disk; its clock begins at any time.
func (s *shardSim) start(node *shardSimNode) {
	node.generation++
	if len(node.disk.files) == 0 {
		node.incarnation = fmt.Sprintf("%s/%d", node.name, node.generation)
	}
	node.disk.powerBudget, node.disk.failWrites = -1, false
	node.disk.beforeWrite = func() { // the member does nothing else while a write takes its time
		if node.maxWriteTime > 0 {
			node.frozenUntil = max(node.frozenUntil, s.now+s.randomBelow(node.maxWriteTime))
		}
	}
	node.clock.Time = s.randomBelow(time.Hour)
	var members []string
	for _, peer := range s.nodes {
		members = append(members, peer.name)
	}
	cfg := consensus.Config{Self: node.name, Members: members, HeartbeatTicks: 2, ElectionTicks: 12, MaxBatchBytes: 4096, Rand: rand.New(rand.NewPCG(s.seed, uint64(node.generation*10)))}
	generation := node.generation
	replica, err := openShard(context.Background(), cfg, node.disk, func() string { return node.incarnation }, node.clock, hclog.NewNullLogger(), func(message *wire.Message) {
		if node.generation == generation {
			s.send(message)
		}
	})
	if err != nil {
		s.violationf("%s doesn't open: %v", node.name, err)
		return
	}
	replica.compactThreshold = 2000 // bytes: snapshots are written often
	node.shard, node.nextTick = replica, s.now
	node.isBlank = replica.core.Status().Blank
	if s.plantedFault == plantedBlankVote && replica.core.Status().Blank {
		// A lost disk is taken for a first start.
		snapshot := consensus.BlankSnapshot(node.incarnation)
		snapshot.HardState.DiskState = wire.DiskState_DISK_FOUNDED
		replica.core = consensus.New(cfg, snapshot, nil)
	}
}

// send puts a message on its way: it may be lost, late, doubled or overtaken.
func (s *shardSim) send(message *wire.Message) {
	if s.partitioned[message.From+">"+message.To] || s.random.Float64() < s.lossRate {
		return
	}
	delay := s.randomBelow(8 * time.Millisecond)
	if s.random.Float64() < 0.02 {
		delay += s.randomBelow(time.Second)
	}
	if node := s.node(message.From); node.frozenUntil > s.now {
		delay += node.frozenUntil - s.now // it is sent once the write has ended
	}
	s.sentMessages++
	s.inFlight = append(s.inFlight, simMessage{s.now + time.Millisecond + delay, s.sentMessages, message})
	if s.random.Float64() < 0.02 {
		s.sentMessages++
		s.inFlight = append(s.inFlight, simMessage{s.now + 2*delay + time.Millisecond, s.sentMessages, message})
	}
}

// isRunning reports whether a machine's process runs and isn't frozen.
func (s *shardSim) isRunning(node *shardSimNode) bool {
	return node.shard != nil && s.now >= node.frozenUntil
}

// step moves virtual time on, delivers what is due and lets every member and call act.
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
	s.continueCalls()
	s.checkLeaseHolders()
}

// deliver hands over the messages that are due. Those to a frozen machine wait.
func (s *shardSim) deliver() {
	var waiting []simMessage
	for _, sent := range s.takeInFlight() {
		if node := s.node(sent.message.To); sent.deliverAt > s.now || node.shard != nil && !s.isRunning(node) {
			waiting = append(waiting, sent)
			continue
		}
		for _, node := range s.allNodes() { // a name that two machines have reaches both
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

// traceStatus traces each member's status where it has changed.
func (s *shardSim) traceStatus() {
	if s.lastStatus == nil {
		s.lastStatus = map[string]string{}
	}
	for _, node := range s.nodes {
		if node.shard == nil || node.shard.failure != nil {
			continue
		}
		status := node.shard.core.Status()
		text := fmt.Sprintf("%s leads %v term %d leader %s applied %d last %d blank %v", node.name, status.IsLeader, status.Term, status.Leader, status.Applied, status.LastIndex, status.Blank)
		if s.lastStatus[node.name] != text {
			s.lastStatus[node.name] = text
			s.tracef("%s", text)
		}
	}
}

// allNodes are the nodes and the zombies.
func (s *shardSim) allNodes() []*shardSimNode {
	return append(append([]*shardSimNode(nil), s.nodes...), s.zombies...)
}

// randomNode draws a machine to send to, the replaced ones among them.
func (s *shardSim) randomNode() *shardSimNode {
	nodes := s.allNodes()
	return nodes[s.random.IntN(len(nodes))]
}

// replace starts an empty machine under the name of a frozen one, which will wake as a zombie.
func (s *shardSim) replace(node *shardSimNode) {
	zombie := *node
	zombie.generation = 1 << 20
	zombie.frozenUntil = s.now + s.randomBelow(4*time.Second)
	disk := *node.disk
	zombie.disk = &disk
	zombie.disk.beforeWrite = nil
	zombieClock := *node.clock
	zombie.clock = &zombieClock
	zombie.shard.clock = zombie.clock
	zombie.shard.send = s.send
	s.zombies = append(s.zombies, &zombie)
	node.disk = newSimDisk()
	s.tracef("%s is replaced by an empty machine while it is frozen", node.name)
	s.counts["replaced"]++
	s.start(node)
}

func (s *shardSim) node(name string) *shardSimNode {
	for _, node := range s.nodes {
		if node.name == name {
			return node
		}
	}
	return nil
}
