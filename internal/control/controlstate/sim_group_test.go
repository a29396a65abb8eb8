package controlstate

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hashicorp/go-hclog"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/consensus"
	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/sim/history"
	"pebbleloom/internal/wire"
)

// The group simulator runs the production code of a group's members (consensus core, state, storage, membership planner,
// join requests) on virtual time. A seed determines the network, the disks, the drift of the clocks and all faults: nodes
// are killed, frozen and isolated, lose power or their disks, and are replaced by nodes with empty disks at other
// addresses. The responses to operators and readers are recorded and checked for linearizability.

// Timing of the group simulator.
const (
	groupSimStep = 5 * time.Millisecond   // virtual time by which each step of the group simulator advances
	groupSimTick = 100 * time.Millisecond // tick interval of a member, by its node's own clock
)

// defaultCompactThreshold is the log size in bytes above which a log is compacted, unless a simulation sets another.
const defaultCompactThreshold = 3000

// Events at which a simulation can inject a fault (groupSim.eventHooks).
const (
	eventChangeSent     = "change sent"
	eventAcknowledged   = "change acknowledged"
	eventJoined         = "member joined"
	eventMembersChanged = "membership changed"
	eventNewLeader      = "new leader"
)

// groupSimNode is a control node in the group simulator.
type groupSimNode struct {
	addr         string
	disk         *cacheDisk
	shard        *shard // member of the group; nil while the node is down
	clock        *clock.Manual
	clockRate    float64
	frozenUntil  time.Duration
	nextTick     time.Duration
	nextJoin     time.Duration   // earliest time of the next join request or attempt to replace the disk
	knownAddrs   map[string]bool // addresses of other control nodes that the node knows: the seeds and those learned by gossip
	generation   int             // incremented at each start and kill, to recognize a later process
	maxWriteTime time.Duration   // maximum duration of a simulated disk write
	isRemoved    bool            // whether the node was removed permanently
	restartAt    time.Duration   // time at which the process is started again; 0: not scheduled
}

// simTimer is an action that the group simulator runs at a given virtual time.
type simTimer struct {
	at  time.Duration
	run func()
}

// groupSim is a simulation of a site with one group.
type groupSim struct {
	simBase                             // links in simBase.partitioned drop messages until an injected event that ends all partitions, or awaitRecovery, clears this map
	bootstrapping       bool            // whether the site is in its first start, in which the seeds bootstrap the group
	restoreGeneration   uint64          // restore generation of the group that clients use
	toleratedLosses     int             // number of simultaneous node losses that the site has to tolerate
	seeds               []string        // addresses of the seeds in the settings
	nodes               []*groupSimNode // all nodes, including those that are down or permanently removed
	phasePartitions     map[string]bool // links that drop all messages for the duration of a phase, by "from>to"
	isolatedAddr        string          // node whose links are partitioned in both directions by isolationPhase; empty: none
	isolatedSince       time.Duration   // virtual time at which the isolation of the node isolatedAddr began
	slowAddr            string          // node whose incoming messages are delayed; empty: none
	compactAt           int             // log size in bytes above which logs are compacted; 0: defaultCompactThreshold
	trailingLogBytes    int             // compacted entries that members keep for lagging peers, in bytes
	bodyPadding         string          // text that is appended to the body of every new change
	changes             []*groupChange  // all changes that operators made
	knownVersion        uint64          // newest version of the routing configuration that operators know of
	ackedCount          int             // number of acknowledged changes
	timers              []simTimer
	eventHooks          map[string]func() // functions to be called at the next occurrence of an event
	secondFaultInjected bool              // whether a fault armed by armSecondFault has been injected
	lastLeader          string            // address and term of the newest leader
	writeLoad           *simWriteLoad     // sustained write load in progress; nil: none
	history             history.History   // requests of operators and readers, with their responses, for the linearizability check
	agent               *simAgent
	fencingTokenHolders map[uint64]string // clients that were granted the lease, by fencing token
	// With allFaults, operators make concurrent changes, send bursts and retry very old changes, nodes exchange
	// addresses by gossip and forward changes to the leader, and transports report messages that they could not
	// deliver. Without it, each change is sent separately.
	allFaults bool
}

// newGroupSim starts a site of three to seven control nodes, as determined by the seed. defect is one of the defect
// constants; empty: none.
func newGroupSim(seed uint64, defect string) *groupSim {
	s := emptyGroupSim(newSimBase(seed, 2, defect))
	s.allFaults = true
	nodeCount := 3 + s.random.IntN(3)
	if s.random.IntN(4) == 0 {
		s.toleratedLosses, nodeCount = 2, 6+s.random.IntN(2)
	}
	s.compactAt = [...]int{1500, defaultCompactThreshold, 20000}[s.random.IntN(3)]
	s.trailingLogBytes = [...]int{0, 2000}[s.random.IntN(2)]
	s.startSite(nodeCount)
	s.addLeaseHolders(2)
	return s
}

// emptyGroupSim returns a site without nodes, which is to tolerate the loss of one node.
func emptyGroupSim(base simBase) *groupSim {
	return &groupSim{simBase: base, bootstrapping: true, toleratedLosses: 1, phasePartitions: map[string]bool{}, fencingTokenHolders: map[uint64]string{},
		agent: &simAgent{confirmedAt: map[string]time.Duration{}, notPolled: map[string]bool{}}, eventHooks: map[string]func(){}}
}

// startSite starts a site of control nodes for the first time. The first three nodes are the seeds.
func (s *groupSim) startSite(nodeCount int) {
	for i := range nodeCount {
		node := s.addNode()
		if i < 3 {
			s.seeds = append(s.seeds, node.addr)
		}
	}
	for _, node := range s.nodes {
		s.start(node)
	}
	s.bootstrapping = false
}

// addNode adds a node with an empty disk, without starting it.
func (s *groupSim) addNode() *groupSimNode {
	node := &groupSimNode{addr: fmt.Sprintf("m%d:1", len(s.nodes)+1), clock: &clock.Manual{}, clockRate: s.randomClockRate()}
	s.wipeDisk(node)
	s.nodes = append(s.nodes, node)
	return node
}

// wipeDisk replaces the disk of a node by an empty one.
func (s *groupSim) wipeDisk(node *groupSimNode) {
	disk := newCacheDisk(s.random)
	disk.beforeWrite = func() { // the write blocks the shard's goroutine, but the published view still serves long polls
		if node.maxWriteTime > 0 && node.shard != nil {
			s.poll(node, 0)
			node.frozenUntil = max(node.frozenUntil, s.now+s.randomBelow(node.maxWriteTime))
		}
	}
	node.disk = disk
}

// loseDisk empties or corrupts the disk of a node that is down.
func (s *groupSim) loseDisk(node *groupSimNode) {
	if s.random.IntN(2) == 0 {
		s.wipeDisk(node)
		return
	}
	s.count("corrupted disk")
	s.tracef("disk of node %s is corrupted", node.addr)
	node.disk.corrupt()
}

// start starts the process of a node, which recovers the member from the disk. The local clock starts at a random time.
func (s *groupSim) start(node *groupSimNode) {
	node.generation++
	generation := node.generation
	node.disk.writesUntilCrash, node.disk.crashed = -1, false
	node.clock.Time = s.randomBelow(time.Hour)
	node.knownAddrs = map[string]bool{}
	for _, addr := range s.seeds {
		node.knownAddrs[addr] = true
	}
	replica := newShard(context.Background(), 0, node.clock, hclog.NewNullLogger(), func(message *wire.Message) {
		if node.generation == generation {
			s.send(message)
		}
	})
	if replica.compactThreshold = s.compactAt; replica.compactThreshold == 0 {
		replica.compactThreshold = defaultCompactThreshold
	}
	node.shard = nil
	random := rand.New(rand.NewPCG(s.seed, uint64(generation)*1000+uint64(node.addr[1])))
	config := newTestGroup(node.disk, random, func(lost bool) *wire.Snapshot {
		if s.defect == defectSameIncarnation && !s.bootstrapping {
			return consensus.LearnerSnapshot(node.addr + "/0")
		}
		return initialGroupSnapshot(s.bootstrapping && !lost, node.addr, s.seeds, s.random.Uint64)
	})
	config.controlNodes = func() (addrs []string) {
		for _, peer := range s.nodes {
			addrs = append(addrs, peer.addr)
		}
		return addrs
	}
	config.targetSize = 2*s.toleratedLosses + 1
	config.reopenTicks = int(reopenIntervalRatio / groupTick)
	config.consensusConfig.TrailingLogBytes = s.trailingLogBytes
	openGroupShard(replica, config)
	node.shard, node.nextTick, node.restartAt = replica, s.now, 0
}

// kill ends the process of a node, to be started again after the downtime. With powerLoss the disk also loses data that
// was not synced.
func (s *groupSim) kill(node *groupSimNode, powerLoss bool, downtime time.Duration) {
	if node.isRemoved {
		return
	}
	node.shard, node.generation, node.restartAt = nil, node.generation+1, s.now+downtime
	if powerLoss {
		node.disk.losePower()
	}
	if s.random.IntN(2) == 0 { // messages that the node has just sent are lost with it
		s.inFlight = slices.DeleteFunc(s.inFlight, func(sent simMessage) bool { return controlclient.MemberAddr(sent.message.From) == node.addr })
	}
}

// node returns the node at an address, or nil.
func (s *groupSim) node(addr string) *groupSimNode {
	for _, node := range s.nodes {
		if node.addr == addr {
			return node
		}
	}
	return nil
}

// randomNode draws a node, which may be down.
func (s *groupSim) randomNode() *groupSimNode { return s.nodes[s.random.IntN(len(s.nodes))] }

// isRunning reports whether the process of a node is running and not frozen.
func (s *groupSim) isRunning(node *groupSimNode) bool {
	return node != nil && node.shard != nil && s.now >= node.frozenUntil
}

// isHealthy reports whether a node is running and its member has not failed.
func (s *groupSim) isHealthy(node *groupSimNode) bool {
	return s.isRunning(node) && node.shard.failure == nil
}

// isPartitioned reports whether the link from one address to another drops all messages.
func (s *groupSim) isPartitioned(from, to string) bool {
	return s.partitioned[from+">"+to] || s.phasePartitions[from+">"+to]
}

// callFails reports whether a remote call between two addresses fails, because of a partition or of random loss.
func (s *groupSim) callFails(a, b string) bool {
	return s.isPartitioned(a, b) || s.isPartitioned(b, a) || s.random.Float64() < s.lossRate
}

// leader returns the healthy node that leads in the highest term, or nil.
func (s *groupSim) leader() *groupSimNode {
	var leader *groupSimNode
	for _, node := range s.nodes {
		if s.isHealthy(node) && !s.isSuperseded(node) && node.shard.core.Status().IsLeader && (leader == nil || node.shard.core.Status().Term > leader.shard.core.Status().Term) {
			leader = node
		}
	}
	return leader
}

// isComplete reports whether the group has the desired number of voters, and all of them are healthy and have caught up.
func (s *groupSim) isComplete() bool {
	leader := s.leader()
	if leader == nil || !leader.shard.core.CanChangeMembership() {
		return false
	}
	members, _, _ := leader.shard.core.Members()
	for _, m := range members {
		node := s.node(controlclient.MemberAddr(m))
		if !s.isHealthy(node) || node.shard.core.Self() != m || node.shard.core.Status().Applied+2 < leader.shard.core.Status().Applied {
			return false
		}
	}
	alive := 0
	for _, node := range s.nodes {
		if !node.isRemoved {
			alive++
		}
	}
	return len(members) >= min(2*s.toleratedLosses+1, alive)
}

// traceStatus traces the status of all nodes.
func (s *groupSim) traceStatus() {
	for _, node := range s.nodes {
		if node.shard == nil {
			s.tracef("status of node %s: down, permanently removed %v", node.addr, node.isRemoved)
			continue
		}
		members, term, index := node.shard.core.Members()
		s.tracef("status of node %s: member %s, failure %v, core %+v, voters %v as of term %d index %d, peers %+v", node.addr, node.shard.core.Self(), node.shard.failure, node.shard.core.Status(), members, term, index, node.shard.core.PeerStatuses())
	}
}
