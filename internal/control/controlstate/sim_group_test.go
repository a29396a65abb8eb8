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

// The simulator of a group drives the real members (core, state, storage, membership policy, joins)
// on virtual time: a seeded network, seeded disks, clocks that drift. Machines are killed, cut off,
// frozen, lose power and disks, and are replaced by empty ones at other addresses. What operators
// and readers see is recorded and judged for linearizability.

const groupSimStep = 5 * time.Millisecond

// defaultCompactAt is how long a log becomes before it is compacted, in bytes, where a run says nothing.
const defaultCompactAt = 3000

// groupSimNode is one control machine.
type groupSimNode struct {
	addr         string
	disk         *cacheDisk
	shard        *shard // nil: it is down
	clock        *clock.Manual
	clockRate    float64
	frozenUntil  time.Duration // until
	nextTick     time.Duration
	nextJoin     time.Duration   // when it may ask again to be taken in
	knownAddrs   map[string]bool // addresses that it has heard of: the seeds, and what others told it
	generation   int             // counts its starts and ends
	maxWriteTime time.Duration   // how long a write may take
	isRemoved    bool            // for good
	restartAt    time.Duration   // when it starts again
}

// simTimer is something that happens at a moment.
type simTimer struct {
	at  time.Duration
	run func()
}

// groupSim is one seeded run.
type groupSim struct {
	seed                uint64
	random              *rand.Rand
	now                 time.Duration
	founding            bool
	toleratedLosses     int
	seeds               []string
	nodes               []*groupSimNode
	inFlight            []simMessage
	sentMessages        int
	partitioned         map[string]bool // "a>b", until some trouble ends
	longPartition       map[string]bool // the same, for the whole of a phase
	isolatedAddr        string          // the address that hears nobody and that nobody hears
	isolatedSince       time.Duration
	lossRate            float64
	slowAddr            string // messages to this address take long
	compactAt           int
	tailBytes           int
	bodyPadding         string // makes every order's content longer
	changes             []*groupChange
	knownVersion        uint64 // the newest version that operators have heard of
	ackedCount          int
	reads               []*simRead
	inProgress          []func() bool // questions under way; false when settled
	timers              []simTimer
	eventHooks          map[string]func() // what strikes at the next event of a name
	secondFaultInjected bool              // a second strike has come
	lastLeader          string
	storm               *changeStorm
	history             history.History
	edge                *simEdge
	leaseHolders        []*simLeaseHolder
	fencingTokenHolders map[uint64]string
	trace               []string
	violations          []string
	counts              map[string]int
	plantedFault        string
	// Operators race, send bursts and very old orders, and transports report what they lost; without it,
	// one operator after the other sends an order.
	allFaults bool
}

func (s *groupSim) tracef(format string, a ...any) {
	s.trace = append(s.trace, fmt.Sprintf("%8.3f ", s.now.Seconds())+fmt.Sprintf(format, a...))
}

func (s *groupSim) count(what string) { s.counts[what]++ }

func (s *groupSim) violationf(format string, a ...any) {
	s.tracef("FAULT "+format, a...)
	s.violations = append(s.violations, fmt.Sprintf(format, a...))
}

// newGroupSim is a site of a few control machines; which, the seed says.
func newGroupSim(seed uint64, plant string) *groupSim {
	s := &groupSim{seed: seed, random: rand.New(rand.NewPCG(seed, 2)), partitioned: map[string]bool{}, longPartition: map[string]bool{}, counts: map[string]int{},
		plantedFault: plant, founding: true, toleratedLosses: 1, fencingTokenHolders: map[uint64]string{}, edge: &simEdge{confirmedAt: map[string]time.Duration{}},
		eventHooks: map[string]func(){}, allFaults: true}
	many := 3 + s.random.IntN(3)
	if s.random.IntN(4) == 0 {
		s.toleratedLosses, many = 2, 6+s.random.IntN(2)
	}
	s.compactAt = [...]int{1500, defaultCompactAt, 20000}[s.random.IntN(3)]
	s.tailBytes = [...]int{0, 2000}[s.random.IntN(2)]
	for i := range many {
		node := s.addNode()
		if i < 3 {
			s.seeds = append(s.seeds, node.addr)
		}
	}
	for _, node := range s.nodes {
		s.start(node)
	}
	s.founding = false
	for i := range 2 {
		holder := &simLeaseHolder{clock: &clock.Manual{}, clockRate: 0.97 + 0.06*s.random.Float64()}
		holder.lease = controlclient.NewLease(nil, holder.clock, "duty", 0, fmt.Sprintf("holder-%d", i+1), 3*time.Second)
		s.leaseHolders = append(s.leaseHolders, holder)
	}
	return s
}

func (s *groupSim) addNode() *groupSimNode {
	node := &groupSimNode{addr: fmt.Sprintf("m%d:1", len(s.nodes)+1), clock: &clock.Manual{}, clockRate: 0.97 + 0.06*s.random.Float64()}
	s.wipeDisk(node)
	s.nodes = append(s.nodes, node)
	return node
}

// wipeDisk gives a machine an empty disk.
func (s *groupSim) wipeDisk(node *groupSimNode) {
	d := newCacheDisk(s.random)
	d.beforeWrite = func() { // the thread does nothing else meanwhile; questions are answered all the same
		if node.maxWriteTime > 0 && node.shard != nil {
			s.poll(node, 0)
			node.frozenUntil = max(node.frozenUntil, s.now+time.Duration(s.random.Int64N(int64(node.maxWriteTime))))
		}
	}
	node.disk = d
}

func (s *groupSim) start(node *groupSimNode) {
	node.generation++
	incarnation := node.generation
	node.disk.writesUntilCrash, node.disk.crashed = -1, false
	node.clock.Time = time.Duration(s.random.Int64N(int64(time.Hour)))
	node.knownAddrs = map[string]bool{}
	for _, a := range s.seeds {
		node.knownAddrs[a] = true
	}
	replica := newShard(context.Background(), 0, node.clock, hclog.NewNullLogger(), func(message *wire.Message) {
		if node.generation == incarnation {
			s.send(message)
		}
	})
	if replica.compactThreshold = s.compactAt; replica.compactThreshold == 0 {
		replica.compactThreshold = defaultCompactAt
	}
	node.shard = nil
	openGroupShard(replica, &group{codec: versionCodec{}, disk: node.disk, targetSize: 2*s.toleratedLosses + 1, reopenTicks: int(reopenIntervalRatio / groupTick), zoneOf: func(string) string { return "" },
		consensusConfig: consensus.Config{HeartbeatTicks: heartbeatTicks, ElectionTicks: electionTicks, MaxBatchBytes: 4096, TrailingLogBytes: s.tailBytes, Rand: rand.New(rand.NewPCG(s.seed, uint64(incarnation)*1000+uint64(node.addr[1])))},
		initialSnapshot: func() *wire.Snapshot {
			if s.plantedFault == "same-incarnation" && !s.founding { // planted: a lost disk comes back as the member that it was
				return consensus.LearnerSnapshot(node.addr + "/0")
			}
			return initialGroupSnapshot(s.founding, node.addr, s.seeds, s.random.Uint64)
		}})
	node.shard, node.nextTick, node.restartAt = replica, s.now, 0
}

// kill ends a machine's process; power: the machine loses that, too.
func (s *groupSim) kill(node *groupSimNode, power bool, back time.Duration) {
	if node.isRemoved {
		return
	}
	node.shard, node.generation, node.restartAt = nil, node.generation+1, s.now+back
	if power {
		node.disk.losePower()
	}
	if s.random.IntN(2) == 0 { // what it had sent meanwhile never left the machine
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

func (s *groupSim) isRunning(node *groupSimNode) bool {
	return node != nil && node.shard != nil && s.now >= node.frozenUntil
}
func (s *groupSim) isHealthy(node *groupSimNode) bool {
	return s.isRunning(node) && node.shard.failure == nil
}

// isPartitioned tells whether nothing gets from one address to another.
func (s *groupSim) isPartitioned(from, to string) bool {
	return s.partitioned[from+">"+to] || s.longPartition[from+">"+to]
}

// callFails tells whether a call between two addresses fails.
func (s *groupSim) callFails(a, b string) bool {
	return s.isPartitioned(a, b) || s.isPartitioned(b, a) || s.random.Float64() < s.lossRate
}

// leader is the member that leads in the highest term; nil: none.
func (s *groupSim) leader() *groupSimNode {
	var leader *groupSimNode
	for _, node := range s.nodes {
		if s.isHealthy(node) && node.shard.core.Status().IsLeader && (leader == nil || node.shard.core.Status().Term > leader.shard.core.Status().Term) {
			leader = node
		}
	}
	return leader
}

// isComplete tells whether the group has all the members it wants, and they hold all there is.
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

// traceStatus notes how all machines stand.
func (s *groupSim) traceStatus() {
	for _, node := range s.nodes {
		if node.shard == nil {
			s.tracef("%s is down, gone %v", node.addr, node.isRemoved)
			continue
		}
		members, term, index := node.shard.core.Members()
		s.tracef("%s is %s, bad %v, %+v, members %v of %d/%d, sees %+v", node.addr, node.shard.core.Self(), node.shard.failure, node.shard.core.Status(), members, term, index, node.shard.core.PeerStatuses())
	}
}
