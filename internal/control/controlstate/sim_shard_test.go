package controlstate

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/consensus"
	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/data/nodeagent"
	"pebbleloom/internal/wire"
)

// The simulator drives the real parts (core, state, shelf) on virtual time: a seeded
// network, seeded disks, clocks that drift, freezes, kills and lost disks.

// simDisk fails, stalls or loses power on demand. Whatever a call returned from is synced.
type simDisk struct {
	files       map[string][]byte
	failWrites  bool   // every write fails: full, or a failed sync
	powerBudget int    // bytes until the power goes; below zero: never
	beforeWrite func() // called at every write: it may take its time
}

func newSimDisk() *simDisk { return &simDisk{files: map[string][]byte{}, powerBudget: -1} }

var errPowerLost, errDiskFull = errors.New("power lost"), errors.New("disk full")

func (d *simDisk) Read(n string) ([]byte, bool, error) {
	b, ok := d.files[n]
	return bytes.Clone(b), ok, nil
}

func (d *simDisk) appendBytes(n string, b []byte) error {
	if d.beforeWrite != nil {
		d.beforeWrite()
	}
	if d.failWrites {
		d.files[n] = append(d.files[n], b[:len(b)/2]...)
		return errDiskFull
	}
	if d.powerBudget >= 0 && len(b) > d.powerBudget {
		d.files[n] = append(d.files[n], b[:d.powerBudget]...)
		d.powerBudget = 0
		return errPowerLost
	}
	d.files[n] = append(d.files[n], b...)
	if d.powerBudget >= 0 {
		d.powerBudget -= len(b)
	}
	return nil
}

func (d *simDisk) Write(n string, b []byte) error {
	if d.powerBudget == 0 {
		return errPowerLost
	}
	if d.failWrites {
		return errDiskFull
	}
	d.files[n] = nil
	return d.appendBytes(n, b)
}
func (d *simDisk) Append(n string, b []byte) error { return d.appendBytes(n, b) }
func (d *simDisk) Truncate(n string, s int) error  { d.files[n] = d.files[n][:s]; return nil }

type shardSimNode struct {
	name         string
	disk         *simDisk
	shard        *shard
	clock        *clock.Manual
	clockRate    float64
	frozenUntil  time.Duration // until
	nextTick     time.Duration // its next tick
	generation   int
	incarnation  string
	maxWriteTime time.Duration // how long a write may take
	isBlank      bool          // its disk isn't caught up yet
}

type simMessage struct {
	deliverAt time.Duration
	sequence  int
	message   *wire.Message
}

type simWrite struct {
	version         uint64
	body            string
	sentAt, ackedAt time.Duration // end zero: never answered
}

type simRead struct {
	version            uint64
	body               string
	sentAt, answeredAt time.Duration
}

type shardSim struct {
	seed          uint64
	random        *rand.Rand
	now           time.Duration
	nodes         []*shardSimNode
	zombies       []*shardSimNode // machines whose name another one has taken; they live on for a while
	inFlight      []simMessage
	sentMessages  int
	partitioned   map[string]bool // "a>b"
	lossRate      float64
	writes        []*simWrite
	reads         []*simRead
	inProgress    []func() bool // questions under way; false when settled
	trace         []string
	watcher       *simWatcher
	leaseHolders  []*simLeaseHolder
	grantedNonces map[byte]uint64
	violations    []string
	counts        map[string]int
	lastStatus    map[string]string
	debug         bool
	plantedFault  string // a fault planted on purpose, to see that the checks catch it
}

// simWatcher polls all members with the real Fresh.
type simWatcher struct {
	freshness *nodeagent.FreshnessProof
	clock     *clock.Manual
}

// simLeaseHolder wants the duty with the real Lease.
type simLeaseHolder struct {
	lease          *controlclient.Lease
	clock          *clock.Manual
	clockRate      float64
	requestPending bool
	pausedUntil    time.Duration
}

const shardSimStep = 5 * time.Millisecond

func newShardSim(seed uint64, plant string) *shardSim {
	s := &shardSim{seed: seed, random: rand.New(rand.NewPCG(seed, 1)), partitioned: map[string]bool{}, counts: map[string]int{}, grantedNonces: map[byte]uint64{}, plantedFault: plant}
	for i := range 3 {
		node := &shardSimNode{name: fmt.Sprintf("core-%d", i+1), disk: newSimDisk(), clock: &clock.Manual{}, clockRate: 0.97 + 0.06*s.random.Float64()}
		s.nodes = append(s.nodes, node)
	}
	for _, node := range s.nodes {
		s.start(node)
	}
	s.watcher = &simWatcher{freshness: nodeagent.NewFreshnessProof(), clock: &clock.Manual{}}
	for i := range 3 {
		holder := &simLeaseHolder{clock: &clock.Manual{}, clockRate: 0.97 + 0.06*s.random.Float64()}
		holder.lease = controlclient.NewLease(nil, holder.clock, "duty", 0, fmt.Sprintf("holder-%d", i+1), 3*time.Second)
		s.leaseHolders = append(s.leaseHolders, holder)
	}
	return s
}

func (s *shardSim) tracef(format string, a ...any) {
	s.trace = append(s.trace, fmt.Sprintf("%8.3f ", s.now.Seconds())+fmt.Sprintf(format, a...))
}

func (s *shardSim) violationf(format string, a ...any) {
	s.tracef("FAULT "+format, a...)
	s.violations = append(s.violations, fmt.Sprintf(format, a...))
}

// start starts a member from its disk; its clock goes on from anywhere.
func (s *shardSim) start(node *shardSimNode) {
	node.generation++
	if len(node.disk.files) == 0 {
		node.incarnation = fmt.Sprintf("%s/%d", node.name, node.generation)
	}
	node.disk.powerBudget, node.disk.failWrites = -1, false
	node.disk.beforeWrite = func() { // the member does nothing else while a write takes its time
		if node.maxWriteTime > 0 {
			node.frozenUntil = max(node.frozenUntil, s.now+time.Duration(s.random.Int64N(int64(node.maxWriteTime))))
		}
	}
	node.clock.Time = time.Duration(s.random.Int64N(int64(time.Hour)))
	var members []string
	for _, peer := range s.nodes {
		members = append(members, peer.name)
	}
	cfg := consensus.Config{Self: node.name, Members: members, HeartbeatTicks: 2, ElectionTicks: 12, MaxBatchBytes: 4096, Rand: rand.New(rand.NewPCG(s.seed, uint64(node.generation*10)))}
	incarnation := node.generation
	replica, err := openShard(context.Background(), cfg, node.disk, func() string { return node.incarnation }, node.clock, hclog.NewNullLogger(), func(message *wire.Message) {
		if node.generation == incarnation {
			s.send(message)
		}
	})
	if err != nil {
		s.violationf("%s doesn't open: %v", node.name, err)
		return
	}
	replica.compactThreshold = 2000 // turn slots often
	node.shard, node.nextTick = replica, s.now
	node.isBlank = replica.core.Status().Blank
	if s.plantedFault == "vote-blank" && replica.core.Status().Blank {
		// Planted: a lost disk is taken for a first start, and votes at once.
		slot := consensus.BlankSnapshot(node.incarnation)
		slot.HardState.DiskState = wire.DiskState_DISK_FOUNDED
		replica.core = consensus.New(cfg, slot, nil)
	}
}

func (s *shardSim) send(message *wire.Message) {
	if s.partitioned[message.From+">"+message.To] || s.random.Float64() < s.lossRate {
		return
	}
	d := time.Duration(s.random.Int64N(int64(8 * time.Millisecond)))
	if s.random.Float64() < 0.02 {
		d += time.Duration(s.random.Int64N(int64(time.Second)))
	}
	if node := s.node(message.From); node.frozenUntil > s.now {
		d += node.frozenUntil - s.now // it is sent once the write is through
	}
	s.sentMessages++
	s.inFlight = append(s.inFlight, simMessage{s.now + time.Millisecond + d, s.sentMessages, message})
	if s.random.Float64() < 0.02 {
		s.sentMessages++
		s.inFlight = append(s.inFlight, simMessage{s.now + 2*d + time.Millisecond, s.sentMessages, message})
	}
}

func (s *shardSim) isRunning(node *shardSimNode) bool {
	return node.shard != nil && s.now >= node.frozenUntil
}

// step moves virtual time on, delivers what is due and lets everyone act.
func (s *shardSim) step() {
	s.now += shardSimStep
	for _, node := range s.allNodes() {
		node.clock.Time += time.Duration(float64(shardSimStep) * node.clockRate)
	}
	for _, holder := range s.leaseHolders {
		holder.clock.Time += time.Duration(float64(shardSimStep) * holder.clockRate)
	}
	s.watcher.clock.Time = s.now
	sort.SliceStable(s.inFlight, func(i, j int) bool {
		return s.inFlight[i].deliverAt < s.inFlight[j].deliverAt || s.inFlight[i].deliverAt == s.inFlight[j].deliverAt && s.inFlight[i].sequence < s.inFlight[j].sequence
	})
	var stay []simMessage
	due := s.inFlight
	s.inFlight = nil
	for _, sent := range due {
		if node := s.node(sent.message.To); sent.deliverAt > s.now || node.shard != nil && !s.isRunning(node) { // a frozen machine's letters wait
			stay = append(stay, sent)
			continue
		}
		for _, node := range s.allNodes() { // a name that two have reaches both
			if node.name == sent.message.To && s.isRunning(node) && node.shard.failure == nil {
				node.shard.core.Step(proto.Clone(sent.message).(*wire.Message))
				node.shard.handleReady()
			}
		}
	}
	s.inFlight = append(stay, s.inFlight...)
	for _, node := range s.allNodes() {
		if s.isRunning(node) && s.now >= node.nextTick {
			node.nextTick = s.now + time.Duration(float64(50*time.Millisecond)/node.clockRate)
			if node.shard.failure == nil {
				node.shard.core.Tick()
				node.shard.handleReady()
				node.isBlank = node.isBlank && node.shard.core.Status().Blank
			}
		}
	}
	if s.debug {
		for _, node := range s.nodes {
			if node.shard != nil && node.shard.failure == nil {
				status := node.shard.core.Status()
				k := fmt.Sprintf("%s owns %v term %d leader %s applied %d last %d blank %v", node.name, status.IsLeader, status.Term, status.Leader, status.Applied, status.LastIndex, status.Blank)
				if s.lastStatus == nil {
					s.lastStatus = map[string]string{}
				}
				if s.lastStatus[node.name] != k {
					s.lastStatus[node.name] = k
					s.tracef("%s", k)
				}
			}
		}
	}
	var open []func() bool
	for _, f := range s.inProgress {
		if f() {
			open = append(open, f)
		}
	}
	s.inProgress = open
	held := 0
	for _, holder := range s.leaseHolders {
		if _, ok := holder.lease.FencingToken(); ok {
			held++
		}
	}
	if held > 1 {
		s.violationf("%d hold the duty at once", held)
	}
}

func (s *shardSim) allNodes() []*shardSimNode {
	return append(append([]*shardSimNode(nil), s.nodes...), s.zombies...)
}

// randomNode picks a machine to ask: one whose name was taken, too.
func (s *shardSim) randomNode() *shardSimNode {
	nodes := s.allNodes()
	return nodes[s.random.IntN(len(nodes))]
}

// replace starts an empty machine under a name whose machine froze, and will wake.
func (s *shardSim) replace(node *shardSimNode) {
	zombie := *node
	zombie.generation = 1 << 20
	zombie.frozenUntil = s.now + time.Duration(s.random.Int64N(int64(4*time.Second)))
	disk := *node.disk
	zombie.disk = &disk
	zombie.disk.beforeWrite = nil
	clk := *node.clock
	zombie.clock = &clk
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
