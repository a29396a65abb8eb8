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

const groupStep = 5 * time.Millisecond

// usualCompactAt is how long a log becomes before it is compacted, in bytes, where a run says nothing.
const usualCompactAt = 3000

// gsimNode is one control machine.
type gsimNode struct {
	addr        string
	disk        *cacheDisk
	p           *shard // nil: it is down
	clk         *clock.Manual
	rate        float64
	frozen      time.Duration // until
	nextTick    time.Duration
	ask         time.Duration   // when it may ask again to be taken in
	known       map[string]bool // addresses that it has heard of: the seeds, and what others told it
	incarnation int             // counts its starts and ends
	stall       time.Duration   // how long a write may take
	lost        bool            // for good
	down        time.Duration   // when it starts again
}

// timer is something that happens at a moment.
type timer struct {
	at time.Duration
	do func()
}

// gsim is one seeded run.
type gsim struct {
	seed       uint64
	r          *rand.Rand
	now        time.Duration
	first      bool
	tolerate   int
	seeds      []string
	nodes      []*gsimNode
	inFlight   []simMessage
	sent       int
	cut        map[string]bool // "a>b", until some trouble ends
	longCut    map[string]bool // the same, for the whole of a phase
	isolated   string          // the address that hears nobody and that nobody hears
	isolatedAt time.Duration
	loss       float64
	far        string // messages to this address take long
	compactAt  int
	tailBytes  int
	filler     string // makes every order's content longer
	writes     []*groupOrder
	known      uint64 // the newest version that operators have heard of
	ackedCount int
	reads      []*simRead
	open       []func() bool // questions under way; false when settled
	timers     []timer
	armed      map[string]func() // what strikes at the next event of a name
	struck     bool              // a second strike has come
	leaderWas  string
	storm      *groupStorm
	history    history.History
	edge       *gsimEdge
	leases     []*simHolder
	fences     map[uint64]string
	trace      []string
	bad        []string
	counts     map[string]int
	plant      string
	// Operators race, send bursts and very old orders, and transports report what they lost; without it,
	// one operator after the other sends an order.
	allTroubles bool
}

func (s *gsim) note(format string, a ...any) {
	s.trace = append(s.trace, fmt.Sprintf("%8.3f ", s.now.Seconds())+fmt.Sprintf(format, a...))
}

func (s *gsim) count(what string) { s.counts[what]++ }

func (s *gsim) fault(format string, a ...any) {
	s.note("FAULT "+format, a...)
	s.bad = append(s.bad, fmt.Sprintf(format, a...))
}

// newGroupSim is a site of a few control machines; which, the seed says.
func newGroupSim(seed uint64, plant string) *gsim {
	s := &gsim{seed: seed, r: rand.New(rand.NewPCG(seed, 2)), cut: map[string]bool{}, longCut: map[string]bool{}, counts: map[string]int{},
		plant: plant, first: true, tolerate: 1, fences: map[uint64]string{}, edge: &gsimEdge{vouch: map[string]time.Duration{}},
		armed: map[string]func(){}, allTroubles: true}
	many := 3 + s.r.IntN(3)
	if s.r.IntN(4) == 0 {
		s.tolerate, many = 2, 6+s.r.IntN(2)
	}
	s.compactAt = [...]int{1500, usualCompactAt, 20000}[s.r.IntN(3)]
	s.tailBytes = [...]int{0, 2000}[s.r.IntN(2)]
	for i := range many {
		n := s.machine()
		if i < 3 {
			s.seeds = append(s.seeds, n.addr)
		}
	}
	for _, n := range s.nodes {
		s.boot(n)
	}
	s.first = false
	for i := range 2 {
		h := &simHolder{clk: &clock.Manual{}, rate: 0.97 + 0.06*s.r.Float64()}
		h.l = controlclient.NewLease(nil, h.clk, "duty", 0, fmt.Sprintf("holder-%d", i+1), 3*time.Second)
		s.leases = append(s.leases, h)
	}
	return s
}

func (s *gsim) machine() *gsimNode {
	n := &gsimNode{addr: fmt.Sprintf("m%d:1", len(s.nodes)+1), clk: &clock.Manual{}, rate: 0.97 + 0.06*s.r.Float64()}
	s.empty(n)
	s.nodes = append(s.nodes, n)
	return n
}

// empty gives a machine an empty disk.
func (s *gsim) empty(n *gsimNode) {
	d := newCacheDisk(s.r)
	d.slow = func() { // the thread does nothing else meanwhile; questions are answered all the same
		if n.stall > 0 && n.p != nil {
			s.poll(n, 0)
			n.frozen = max(n.frozen, s.now+time.Duration(s.r.Int64N(int64(n.stall))))
		}
	}
	n.disk = d
}

func (s *gsim) boot(n *gsimNode) {
	n.incarnation++
	incarnation := n.incarnation
	n.disk.dieIn, n.disk.died = -1, false
	n.clk.Time = time.Duration(s.r.Int64N(int64(time.Hour)))
	n.known = map[string]bool{}
	for _, a := range s.seeds {
		n.known[a] = true
	}
	p := newShard(context.Background(), 0, n.clk, hclog.NewNullLogger(), func(m *wire.Message) {
		if n.incarnation == incarnation {
			s.send(m)
		}
	})
	if p.compactThreshold = s.compactAt; p.compactThreshold == 0 {
		p.compactThreshold = usualCompactAt
	}
	n.p = nil
	openGroup(p, &group{codec: versions{}, disk: n.disk, targetSize: 2*s.tolerate + 1, reopenTicks: int(reopenIntervalRatio / groupTick), zoneOf: func(string) string { return "" },
		consensusConfig: consensus.Config{HeartbeatTicks: heartbeatTicks, ElectionTicks: electionTicks, MaxBatchBytes: 4096, TrailingLogBytes: s.tailBytes, Rand: rand.New(rand.NewPCG(s.seed, uint64(incarnation)*1000+uint64(n.addr[1])))},
		initialSnapshot: func() *wire.Snapshot {
			if s.plant == "same-incarnation" && !s.first { // planted: a lost disk comes back as the member that it was
				return consensus.LearnerSnapshot(n.addr + "/0")
			}
			return initialGroupSnapshot(s.first, n.addr, s.seeds, s.r.Uint64)
		}})
	n.p, n.nextTick, n.down = p, s.now, 0
}

// kill ends a machine's process; power: the machine loses that, too.
func (s *gsim) kill(n *gsimNode, power bool, back time.Duration) {
	if n.lost {
		return
	}
	n.p, n.incarnation, n.down = nil, n.incarnation+1, s.now+back
	if power {
		n.disk.powerLost()
	}
	if s.r.IntN(2) == 0 { // what it had sent meanwhile never left the machine
		s.inFlight = slices.DeleteFunc(s.inFlight, func(m simMessage) bool { return controlclient.MemberAddr(m.l.From) == n.addr })
	}
}

func (s *gsim) node(addr string) *gsimNode {
	for _, n := range s.nodes {
		if n.addr == addr {
			return n
		}
	}
	return nil
}

func (s *gsim) anyone() *gsimNode { return s.nodes[s.r.IntN(len(s.nodes))] }

func (s *gsim) up(n *gsimNode) bool   { return n != nil && n.p != nil && s.now >= n.frozen }
func (s *gsim) well(n *gsimNode) bool { return s.up(n) && n.p.failure == nil }

// blocked tells whether nothing gets from one address to another.
func (s *gsim) blocked(from, to string) bool {
	return s.cut[from+">"+to] || s.longCut[from+">"+to]
}

// apart tells whether a call between two addresses fails.
func (s *gsim) apart(a, b string) bool {
	return s.blocked(a, b) || s.blocked(b, a) || s.r.Float64() < s.loss
}

// leader is the member that leads in the highest term; nil: none.
func (s *gsim) leader() *gsimNode {
	var l *gsimNode
	for _, n := range s.nodes {
		if s.well(n) && n.p.core.Status().IsLeader && (l == nil || n.p.core.Status().Term > l.p.core.Status().Term) {
			l = n
		}
	}
	return l
}

// whole tells whether the group has all the members it wants, and they hold all there is.
func (s *gsim) whole() bool {
	l := s.leader()
	if l == nil || !l.p.core.CanChangeMembership() {
		return false
	}
	ms, _, _ := l.p.core.Members()
	for _, m := range ms {
		n := s.node(controlclient.MemberAddr(m))
		if !s.well(n) || n.p.core.Self() != m || n.p.core.Status().Applied+2 < l.p.core.Status().Applied {
			return false
		}
	}
	alive := 0
	for _, n := range s.nodes {
		if !n.lost {
			alive++
		}
	}
	return len(ms) >= min(2*s.tolerate+1, alive)
}

// stands notes how all machines stand.
func (s *gsim) stands() {
	for _, n := range s.nodes {
		if n.p == nil {
			s.note("%s is down, gone %v", n.addr, n.lost)
			continue
		}
		ms, term, index := n.p.core.Members()
		s.note("%s is %s, bad %v, %+v, members %v of %d/%d, sees %+v", n.addr, n.p.core.Self(), n.p.failure, n.p.core.Status(), ms, term, index, n.p.core.PeerStatuses())
	}
}
