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
		n := &shardSimNode{name: fmt.Sprintf("core-%d", i+1), disk: newSimDisk(), clock: &clock.Manual{}, clockRate: 0.97 + 0.06*s.random.Float64()}
		s.nodes = append(s.nodes, n)
	}
	for _, n := range s.nodes {
		s.start(n)
	}
	s.watcher = &simWatcher{freshness: nodeagent.NewFreshnessProof(), clock: &clock.Manual{}}
	for i := range 3 {
		h := &simLeaseHolder{clock: &clock.Manual{}, clockRate: 0.97 + 0.06*s.random.Float64()}
		h.lease = controlclient.NewLease(nil, h.clock, "duty", 0, fmt.Sprintf("holder-%d", i+1), 3*time.Second)
		s.leaseHolders = append(s.leaseHolders, h)
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
func (s *shardSim) start(n *shardSimNode) {
	n.generation++
	if len(n.disk.files) == 0 {
		n.incarnation = fmt.Sprintf("%s/%d", n.name, n.generation)
	}
	n.disk.powerBudget, n.disk.failWrites = -1, false
	n.disk.beforeWrite = func() { // the member does nothing else while a write takes its time
		if n.maxWriteTime > 0 {
			n.frozenUntil = max(n.frozenUntil, s.now+time.Duration(s.random.Int64N(int64(n.maxWriteTime))))
		}
	}
	n.clock.Time = time.Duration(s.random.Int64N(int64(time.Hour)))
	var ms []string
	for _, m := range s.nodes {
		ms = append(ms, m.name)
	}
	cfg := consensus.Config{Self: n.name, Members: ms, HeartbeatTicks: 2, ElectionTicks: 12, MaxBatchBytes: 4096, Rand: rand.New(rand.NewPCG(s.seed, uint64(n.generation*10)))}
	incarnation := n.generation
	p, err := openShard(context.Background(), cfg, n.disk, func() string { return n.incarnation }, n.clock, hclog.NewNullLogger(), func(l *wire.Message) {
		if n.generation == incarnation {
			s.send(l)
		}
	})
	if err != nil {
		s.violationf("%s doesn't open: %v", n.name, err)
		return
	}
	p.compactThreshold = 2000 // turn slots often
	n.shard, n.nextTick = p, s.now
	n.isBlank = p.core.Status().Blank
	if s.plantedFault == "vote-blank" && p.core.Status().Blank {
		// Planted: a lost disk is taken for a first start, and votes at once.
		slot := consensus.BlankSnapshot(n.incarnation)
		slot.HardState.DiskState = wire.DiskState_DISK_FOUNDED
		p.core = consensus.New(cfg, slot, nil)
	}
}

func (s *shardSim) send(l *wire.Message) {
	if s.partitioned[l.From+">"+l.To] || s.random.Float64() < s.lossRate {
		return
	}
	d := time.Duration(s.random.Int64N(int64(8 * time.Millisecond)))
	if s.random.Float64() < 0.02 {
		d += time.Duration(s.random.Int64N(int64(time.Second)))
	}
	if n := s.node(l.From); n.frozenUntil > s.now {
		d += n.frozenUntil - s.now // it is sent once the write is through
	}
	s.sentMessages++
	s.inFlight = append(s.inFlight, simMessage{s.now + time.Millisecond + d, s.sentMessages, l})
	if s.random.Float64() < 0.02 {
		s.sentMessages++
		s.inFlight = append(s.inFlight, simMessage{s.now + 2*d + time.Millisecond, s.sentMessages, l})
	}
}

func (s *shardSim) isRunning(n *shardSimNode) bool { return n.shard != nil && s.now >= n.frozenUntil }

// step moves virtual time on, delivers what is due and lets everyone act.
func (s *shardSim) step() {
	s.now += shardSimStep
	for _, n := range s.allNodes() {
		n.clock.Time += time.Duration(float64(shardSimStep) * n.clockRate)
	}
	for _, h := range s.leaseHolders {
		h.clock.Time += time.Duration(float64(shardSimStep) * h.clockRate)
	}
	s.watcher.clock.Time = s.now
	sort.SliceStable(s.inFlight, func(i, j int) bool {
		return s.inFlight[i].deliverAt < s.inFlight[j].deliverAt || s.inFlight[i].deliverAt == s.inFlight[j].deliverAt && s.inFlight[i].sequence < s.inFlight[j].sequence
	})
	var stay []simMessage
	due := s.inFlight
	s.inFlight = nil
	for _, m := range due {
		if n := s.node(m.message.To); m.deliverAt > s.now || n.shard != nil && !s.isRunning(n) { // a frozen machine's letters wait
			stay = append(stay, m)
			continue
		}
		for _, n := range s.allNodes() { // a name that two have reaches both
			if n.name == m.message.To && s.isRunning(n) && n.shard.failure == nil {
				n.shard.core.Step(proto.Clone(m.message).(*wire.Message))
				n.shard.handleReady()
			}
		}
	}
	s.inFlight = append(stay, s.inFlight...)
	for _, n := range s.allNodes() {
		if s.isRunning(n) && s.now >= n.nextTick {
			n.nextTick = s.now + time.Duration(float64(50*time.Millisecond)/n.clockRate)
			if n.shard.failure == nil {
				n.shard.core.Tick()
				n.shard.handleReady()
				n.isBlank = n.isBlank && n.shard.core.Status().Blank
			}
		}
	}
	if s.debug {
		for _, n := range s.nodes {
			if n.shard != nil && n.shard.failure == nil {
				x := n.shard.core.Status()
				k := fmt.Sprintf("%s owns %v term %d leader %s applied %d last %d blank %v", n.name, x.IsLeader, x.Term, x.Leader, x.Applied, x.LastIndex, x.Blank)
				if s.lastStatus == nil {
					s.lastStatus = map[string]string{}
				}
				if s.lastStatus[n.name] != k {
					s.lastStatus[n.name] = k
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
	for _, h := range s.leaseHolders {
		if _, ok := h.lease.FencingToken(); ok {
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
	l := s.allNodes()
	return l[s.random.IntN(len(l))]
}

// replace starts an empty machine under a name whose machine froze, and will wake.
func (s *shardSim) replace(n *shardSimNode) {
	g := *n
	g.generation = 1 << 20
	g.frozenUntil = s.now + time.Duration(s.random.Int64N(int64(4*time.Second)))
	disk := *n.disk
	g.disk = &disk
	g.disk.beforeWrite = nil
	clk := *n.clock
	g.clock = &clk
	g.shard.clock = g.clock
	g.shard.send = s.send
	s.zombies = append(s.zombies, &g)
	n.disk = newSimDisk()
	s.tracef("%s is replaced by an empty machine while it is frozen", n.name)
	s.counts["replaced"]++
	s.start(n)
}

func (s *shardSim) node(name string) *shardSimNode {
	for _, n := range s.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}
