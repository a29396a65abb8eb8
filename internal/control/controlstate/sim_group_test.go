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
		n := s.addNode()
		if i < 3 {
			s.seeds = append(s.seeds, n.addr)
		}
	}
	for _, n := range s.nodes {
		s.start(n)
	}
	s.founding = false
	for i := range 2 {
		h := &simLeaseHolder{clock: &clock.Manual{}, clockRate: 0.97 + 0.06*s.random.Float64()}
		h.lease = controlclient.NewLease(nil, h.clock, "duty", 0, fmt.Sprintf("holder-%d", i+1), 3*time.Second)
		s.leaseHolders = append(s.leaseHolders, h)
	}
	return s
}

func (s *groupSim) addNode() *groupSimNode {
	n := &groupSimNode{addr: fmt.Sprintf("m%d:1", len(s.nodes)+1), clock: &clock.Manual{}, clockRate: 0.97 + 0.06*s.random.Float64()}
	s.wipeDisk(n)
	s.nodes = append(s.nodes, n)
	return n
}

// wipeDisk gives a machine an empty disk.
func (s *groupSim) wipeDisk(n *groupSimNode) {
	d := newCacheDisk(s.random)
	d.beforeWrite = func() { // the thread does nothing else meanwhile; questions are answered all the same
		if n.maxWriteTime > 0 && n.shard != nil {
			s.poll(n, 0)
			n.frozenUntil = max(n.frozenUntil, s.now+time.Duration(s.random.Int64N(int64(n.maxWriteTime))))
		}
	}
	n.disk = d
}

func (s *groupSim) start(n *groupSimNode) {
	n.generation++
	incarnation := n.generation
	n.disk.writesUntilCrash, n.disk.crashed = -1, false
	n.clock.Time = time.Duration(s.random.Int64N(int64(time.Hour)))
	n.knownAddrs = map[string]bool{}
	for _, a := range s.seeds {
		n.knownAddrs[a] = true
	}
	p := newShard(context.Background(), 0, n.clock, hclog.NewNullLogger(), func(m *wire.Message) {
		if n.generation == incarnation {
			s.send(m)
		}
	})
	if p.compactThreshold = s.compactAt; p.compactThreshold == 0 {
		p.compactThreshold = defaultCompactAt
	}
	n.shard = nil
	openGroup(p, &group{codec: versionCodec{}, disk: n.disk, targetSize: 2*s.toleratedLosses + 1, reopenTicks: int(reopenIntervalRatio / groupTick), zoneOf: func(string) string { return "" },
		consensusConfig: consensus.Config{HeartbeatTicks: heartbeatTicks, ElectionTicks: electionTicks, MaxBatchBytes: 4096, TrailingLogBytes: s.tailBytes, Rand: rand.New(rand.NewPCG(s.seed, uint64(incarnation)*1000+uint64(n.addr[1])))},
		initialSnapshot: func() *wire.Snapshot {
			if s.plantedFault == "same-incarnation" && !s.founding { // planted: a lost disk comes back as the member that it was
				return consensus.LearnerSnapshot(n.addr + "/0")
			}
			return initialGroupSnapshot(s.founding, n.addr, s.seeds, s.random.Uint64)
		}})
	n.shard, n.nextTick, n.restartAt = p, s.now, 0
}

// kill ends a machine's process; power: the machine loses that, too.
func (s *groupSim) kill(n *groupSimNode, power bool, back time.Duration) {
	if n.isRemoved {
		return
	}
	n.shard, n.generation, n.restartAt = nil, n.generation+1, s.now+back
	if power {
		n.disk.losePower()
	}
	if s.random.IntN(2) == 0 { // what it had sent meanwhile never left the machine
		s.inFlight = slices.DeleteFunc(s.inFlight, func(m simMessage) bool { return controlclient.MemberAddr(m.message.From) == n.addr })
	}
}

func (s *groupSim) node(addr string) *groupSimNode {
	for _, n := range s.nodes {
		if n.addr == addr {
			return n
		}
	}
	return nil
}

func (s *groupSim) randomNode() *groupSimNode { return s.nodes[s.random.IntN(len(s.nodes))] }

func (s *groupSim) isRunning(n *groupSimNode) bool {
	return n != nil && n.shard != nil && s.now >= n.frozenUntil
}
func (s *groupSim) isHealthy(n *groupSimNode) bool { return s.isRunning(n) && n.shard.failure == nil }

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
	var l *groupSimNode
	for _, n := range s.nodes {
		if s.isHealthy(n) && n.shard.core.Status().IsLeader && (l == nil || n.shard.core.Status().Term > l.shard.core.Status().Term) {
			l = n
		}
	}
	return l
}

// isComplete tells whether the group has all the members it wants, and they hold all there is.
func (s *groupSim) isComplete() bool {
	l := s.leader()
	if l == nil || !l.shard.core.CanChangeMembership() {
		return false
	}
	ms, _, _ := l.shard.core.Members()
	for _, m := range ms {
		n := s.node(controlclient.MemberAddr(m))
		if !s.isHealthy(n) || n.shard.core.Self() != m || n.shard.core.Status().Applied+2 < l.shard.core.Status().Applied {
			return false
		}
	}
	alive := 0
	for _, n := range s.nodes {
		if !n.isRemoved {
			alive++
		}
	}
	return len(ms) >= min(2*s.toleratedLosses+1, alive)
}

// traceStatus notes how all machines stand.
func (s *groupSim) traceStatus() {
	for _, n := range s.nodes {
		if n.shard == nil {
			s.tracef("%s is down, gone %v", n.addr, n.isRemoved)
			continue
		}
		ms, term, index := n.shard.core.Members()
		s.tracef("%s is %s, bad %v, %+v, members %v of %d/%d, sees %+v", n.addr, n.shard.core.Self(), n.shard.failure, n.shard.core.Status(), ms, term, index, n.shard.core.PeerStatuses())
	}
}
