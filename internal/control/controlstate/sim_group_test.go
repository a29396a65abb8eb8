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

// The simulator of a group drives the real members (consensus core, state, storage, membership
// planner, joins) on virtual time: a seeded network, seeded disks, clocks that drift. Machines are
// killed, isolated, frozen, lose power and disks, and are replaced by empty ones at other addresses.
// What operators and readers see is recorded and checked for linearizability.

// Virtual time passes in steps; a member ticks once a groupSimTick of its own clock.
const (
	groupSimStep = 5 * time.Millisecond
	groupSimTick = 100 * time.Millisecond
)

// defaultCompactAt is the size in bytes above which a log is compacted, where a run sets none.
const defaultCompactAt = 3000

// Events of a run by which faults are timed.
const (
	eventChangeSent     = "change sent"
	eventAcknowledged   = "acknowledged"
	eventJoined         = "joined"
	eventMembersChanged = "members changed"
	eventNewLeader      = "new leader"
)

// groupSimNode is one control machine.
type groupSimNode struct {
	addr         string
	disk         *cacheDisk
	shard        *shard // nil: it is down
	clock        *clock.Manual
	clockRate    float64
	frozenUntil  time.Duration
	nextTick     time.Duration
	nextJoin     time.Duration   // when it may next request to join
	knownAddrs   map[string]bool // addresses that it has heard of: the seeds, and by gossip
	generation   int             // counts its starts and kills
	maxWriteTime time.Duration   // up to which a write may take
	isRemoved    bool            // for good
	restartAt    time.Duration   // when it starts again
}

// simTimer is an action that is due at a time.
type simTimer struct {
	at  time.Duration
	run func()
}

// groupSim is one seeded run.
type groupSim struct {
	simBase             // its partitions last until some fault ends them
	founding            bool
	restoreGeneration   uint64 // of the group that operators use
	toleratedLosses     int
	seeds               []string
	nodes               []*groupSimNode
	longPartition       map[string]bool // links that carry nothing for the whole of a phase, by "from>to"
	isolatedAddr        string          // the machine that neither receives nor reaches anything; empty: none
	isolatedSince       time.Duration
	slowAddr            string // messages to this machine are delayed
	compactAt           int
	tailBytes           int
	bodyPadding         string // makes the content of every change longer
	changes             []*groupChange
	knownVersion        uint64 // the newest version that operators have heard of
	ackedCount          int
	timers              []simTimer
	eventHooks          map[string]func() // run once at the next event of a name
	secondFaultInjected bool
	lastLeader          string
	storm               *changeStorm
	history             history.History
	edge                *simEdge
	fencingTokenHolders map[uint64]string
	// With all faults operators race, send bursts and retry very old changes, nodes gossip, and
	// transports report what they lost; without them one operator after the other sends a change.
	allFaults bool
}

// newGroupSim starts a site of three to seven control machines; the seed says how many.
func newGroupSim(seed uint64, plantedFault string) *groupSim {
	s := emptyGroupSim(newSimBase(seed, 2, plantedFault))
	s.allFaults = true
	machines := 3 + s.random.IntN(3)
	if s.random.IntN(4) == 0 {
		s.toleratedLosses, machines = 2, 6+s.random.IntN(2)
	}
	s.compactAt = [...]int{1500, defaultCompactAt, 20000}[s.random.IntN(3)]
	s.tailBytes = [...]int{0, 2000}[s.random.IntN(2)]
	s.startSite(machines)
	s.addLeaseHolders(2)
	return s
}

// emptyGroupSim is a site without machines that tolerates one loss.
func emptyGroupSim(base simBase) *groupSim {
	return &groupSim{simBase: base, founding: true, toleratedLosses: 1, longPartition: map[string]bool{}, fencingTokenHolders: map[uint64]string{},
		edge: &simEdge{confirmedAt: map[string]time.Duration{}, abandoned: map[string]bool{}}, eventHooks: map[string]func(){}}
}

// startSite founds a site; the first three machines are the seeds.
func (s *groupSim) startSite(machines int) {
	for i := range machines {
		node := s.addNode()
		if i < 3 {
			s.seeds = append(s.seeds, node.addr)
		}
	}
	for _, node := range s.nodes {
		s.start(node)
	}
	s.founding = false
}

// addNode adds a machine with an empty disk, which isn't started yet.
func (s *groupSim) addNode() *groupSimNode {
	node := &groupSimNode{addr: fmt.Sprintf("m%d:1", len(s.nodes)+1), clock: &clock.Manual{}, clockRate: s.randomClockRate()}
	s.wipeDisk(node)
	s.nodes = append(s.nodes, node)
	return node
}

// wipeDisk gives a machine an empty disk.
func (s *groupSim) wipeDisk(node *groupSimNode) {
	disk := newCacheDisk(s.random)
	disk.beforeWrite = func() { // the shard's goroutine does nothing else meanwhile; the published view still answers
		if node.maxWriteTime > 0 && node.shard != nil {
			s.poll(node, 0)
			node.frozenUntil = max(node.frozenUntil, s.now+s.randomBelow(node.maxWriteTime))
		}
	}
	node.disk = disk
}

// loseDisk empties the disk of a machine that is down, or makes what it holds unreadable.
func (s *groupSim) loseDisk(node *groupSimNode) {
	if s.random.IntN(2) == 0 {
		s.wipeDisk(node)
		return
	}
	s.count("corrupted disk")
	s.tracef("the disk of %s is corrupted", node.addr)
	node.disk.corrupt()
}

// start starts a machine from its disk; its clock begins at any time.
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
		replica.compactThreshold = defaultCompactAt
	}
	node.shard = nil
	random := rand.New(rand.NewPCG(s.seed, uint64(generation)*1000+uint64(node.addr[1])))
	config := newTestGroup(node.disk, random, func(lost bool) *wire.Snapshot {
		if s.plantedFault == plantedSameIncarnation && !s.founding {
			return consensus.LearnerSnapshot(node.addr + "/0")
		}
		return initialGroupSnapshot(s.founding && !lost, node.addr, s.seeds, s.random.Uint64)
	})
	config.controlNodes = func() (addrs []string) {
		for _, peer := range s.nodes {
			addrs = append(addrs, peer.addr)
		}
		return addrs
	}
	config.targetSize = 2*s.toleratedLosses + 1
	config.reopenTicks = int(reopenIntervalRatio / groupTick)
	config.consensusConfig.TrailingLogBytes = s.tailBytes
	openGroupShard(replica, config)
	node.shard, node.nextTick, node.restartAt = replica, s.now, 0
}

// kill ends a machine's process, which starts again after a while; with power, what its disk hasn't
// synced is lost, too.
func (s *groupSim) kill(node *groupSimNode, power bool, downtime time.Duration) {
	if node.isRemoved {
		return
	}
	node.shard, node.generation, node.restartAt = nil, node.generation+1, s.now+downtime
	if power {
		node.disk.losePower()
	}
	if s.random.IntN(2) == 0 { // what it has just sent never left the machine
		s.inFlight = slices.DeleteFunc(s.inFlight, func(sent simMessage) bool { return controlclient.MemberAddr(sent.message.From) == node.addr })
	}
}

func (s *groupSim) node(addr string) *groupSimNode {
	for _, node := range s.nodes {
		if node.addr == addr {
			return node
		}
	}
	return nil
}

func (s *groupSim) randomNode() *groupSimNode { return s.nodes[s.random.IntN(len(s.nodes))] }

// isRunning reports whether a machine's process runs and isn't frozen.
func (s *groupSim) isRunning(node *groupSimNode) bool {
	return node != nil && node.shard != nil && s.now >= node.frozenUntil
}

// isHealthy reports whether a machine runs and its shard has not failed.
func (s *groupSim) isHealthy(node *groupSimNode) bool {
	return s.isRunning(node) && node.shard.failure == nil
}

// isPartitioned reports whether nothing gets from one address to another.
func (s *groupSim) isPartitioned(from, to string) bool {
	return s.partitioned[from+">"+to] || s.longPartition[from+">"+to]
}

// callFails draws whether a call between two addresses fails.
func (s *groupSim) callFails(a, b string) bool {
	return s.isPartitioned(a, b) || s.isPartitioned(b, a) || s.random.Float64() < s.lossRate
}

// leader is the member that leads in the highest term; nil: there is none.
func (s *groupSim) leader() *groupSimNode {
	var leader *groupSimNode
	for _, node := range s.nodes {
		if s.isHealthy(node) && !s.isAbandoned(node) && node.shard.core.Status().IsLeader && (leader == nil || node.shard.core.Status().Term > leader.shard.core.Status().Term) {
			leader = node
		}
	}
	return leader
}

// isComplete reports whether the group has as many members as it wants, and all have caught up.
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

// traceStatus traces the status of all machines.
func (s *groupSim) traceStatus() {
	for _, node := range s.nodes {
		if node.shard == nil {
			s.tracef("%s is down, removed %v", node.addr, node.isRemoved)
			continue
		}
		members, term, index := node.shard.core.Members()
		s.tracef("%s is %s, failure %v, %+v, members %v of %d/%d, sees %+v", node.addr, node.shard.core.Self(), node.shard.failure, node.shard.core.Status(), members, term, index, node.shard.core.PeerStatuses())
	}
}
