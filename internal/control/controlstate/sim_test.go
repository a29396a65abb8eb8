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
	f     map[string][]byte
	fail  bool   // every write fails: full, or a failed sync
	power int    // bytes until the power goes; below zero: never
	slow  func() // called at every write: it may take its time
}

func newSimDisk() *simDisk { return &simDisk{f: map[string][]byte{}, power: -1} }

var errPower, errFull = errors.New("power lost"), errors.New("disk full")

func (d *simDisk) Read(n string) ([]byte, bool, error) {
	b, ok := d.f[n]
	return bytes.Clone(b), ok, nil
}

func (d *simDisk) put(n string, b []byte) error {
	if d.slow != nil {
		d.slow()
	}
	if d.fail {
		d.f[n] = append(d.f[n], b[:len(b)/2]...)
		return errFull
	}
	if d.power >= 0 && len(b) > d.power {
		d.f[n] = append(d.f[n], b[:d.power]...)
		d.power = 0
		return errPower
	}
	d.f[n] = append(d.f[n], b...)
	if d.power >= 0 {
		d.power -= len(b)
	}
	return nil
}

func (d *simDisk) Write(n string, b []byte) error {
	if d.power == 0 {
		return errPower
	}
	if d.fail {
		return errFull
	}
	d.f[n] = nil
	return d.put(n, b)
}
func (d *simDisk) Append(n string, b []byte) error { return d.put(n, b) }
func (d *simDisk) Truncate(n string, s int) error  { d.f[n] = d.f[n][:s]; return nil }

type simNode struct {
	name        string
	disk        *simDisk
	p           *shard
	clk         *clock.Manual
	rate        float64
	frozen      time.Duration // until
	next        time.Duration // its next tick
	incarnation int
	inc         string
	stall       time.Duration // how long a write may take
	blank       bool          // its disk isn't caught up yet
}

type simMessage struct {
	at time.Duration
	n  int
	l  *wire.Message
}

type simWrite struct {
	epoch      uint64
	body       string
	begin, end time.Duration // end zero: never answered
}

type simRead struct {
	epoch      uint64
	body       string
	begin, end time.Duration
}

type sim struct {
	seed     uint64
	r        *rand.Rand
	now      time.Duration
	nodes    []*simNode
	ghosts   []*simNode // machines whose name another one has taken; they live on for a while
	inFlight []simMessage
	sent     int
	cut      map[string]bool // "a>b"
	loss     float64
	writes   []*simWrite
	reads    []*simRead
	open     []func() bool // questions under way; false when settled
	trace    []string
	fresh    *simRunner
	leases   []*simHolder
	claimed  map[byte]uint64
	bad      []string
	counts   map[string]int
	seen     map[string]string
	dbg      bool
	plant    string // a fault planted on purpose, to see that the checks catch it
}

// simRunner polls all members with the real Fresh.
type simRunner struct {
	f   *nodeagent.FreshnessProof
	clk *clock.Manual
}

// simHolder wants the duty with the real Lease.
type simHolder struct {
	l    *controlclient.Lease
	clk  *clock.Manual
	rate float64
	busy bool
	stop time.Duration
}

const simStep = 5 * time.Millisecond

func newSim(seed uint64, plant string) *sim {
	s := &sim{seed: seed, r: rand.New(rand.NewPCG(seed, 1)), cut: map[string]bool{}, counts: map[string]int{}, claimed: map[byte]uint64{}, plant: plant}
	for i := range 3 {
		n := &simNode{name: fmt.Sprintf("core-%d", i+1), disk: newSimDisk(), clk: &clock.Manual{}, rate: 0.97 + 0.06*s.r.Float64()}
		s.nodes = append(s.nodes, n)
	}
	for _, n := range s.nodes {
		s.boot(n)
	}
	s.fresh = &simRunner{f: nodeagent.NewFreshnessProof(), clk: &clock.Manual{}}
	for i := range 3 {
		h := &simHolder{clk: &clock.Manual{}, rate: 0.97 + 0.06*s.r.Float64()}
		h.l = controlclient.NewLease(nil, h.clk, "duty", 0, fmt.Sprintf("holder-%d", i+1), 3*time.Second)
		s.leases = append(s.leases, h)
	}
	return s
}

func (s *sim) note(format string, a ...any) {
	s.trace = append(s.trace, fmt.Sprintf("%8.3f ", s.now.Seconds())+fmt.Sprintf(format, a...))
}

func (s *sim) fault(format string, a ...any) {
	s.note("FAULT "+format, a...)
	s.bad = append(s.bad, fmt.Sprintf(format, a...))
}

// boot starts a member from its disk; its clock goes on from anywhere.
func (s *sim) boot(n *simNode) {
	n.incarnation++
	if len(n.disk.f) == 0 {
		n.inc = fmt.Sprintf("%s/%d", n.name, n.incarnation)
	}
	n.disk.power, n.disk.fail = -1, false
	n.disk.slow = func() { // the member does nothing else while a write takes its time
		if n.stall > 0 {
			n.frozen = max(n.frozen, s.now+time.Duration(s.r.Int64N(int64(n.stall))))
		}
	}
	n.clk.Time = time.Duration(s.r.Int64N(int64(time.Hour)))
	var ms []string
	for _, m := range s.nodes {
		ms = append(ms, m.name)
	}
	cfg := consensus.Config{Self: n.name, Members: ms, HeartbeatTicks: 2, ElectionTicks: 12, MaxBatchBytes: 4096, Rand: rand.New(rand.NewPCG(s.seed, uint64(n.incarnation*10)))}
	incarnation := n.incarnation
	p, err := openShard(context.Background(), cfg, n.disk, func() string { return n.inc }, n.clk, hclog.NewNullLogger(), func(l *wire.Message) {
		if n.incarnation == incarnation {
			s.post(l)
		}
	})
	if err != nil {
		s.fault("%s doesn't open: %v", n.name, err)
		return
	}
	p.compactThreshold = 2000 // turn slots often
	n.p, n.next = p, s.now
	n.blank = p.core.Status().Blank
	if s.plant == "vote-blank" && p.core.Status().Blank {
		// Planted: a lost disk is taken for a first start, and votes at once.
		slot := consensus.BlankSnapshot(n.inc)
		slot.HardState.DiskState = wire.DiskState_DISK_FOUNDED
		p.core = consensus.New(cfg, slot, nil)
	}
}

func (s *sim) post(l *wire.Message) {
	if s.cut[l.From+">"+l.To] || s.r.Float64() < s.loss {
		return
	}
	d := time.Duration(s.r.Int64N(int64(8 * time.Millisecond)))
	if s.r.Float64() < 0.02 {
		d += time.Duration(s.r.Int64N(int64(time.Second)))
	}
	if n := s.node(l.From); n.frozen > s.now {
		d += n.frozen - s.now // it is sent once the write is through
	}
	s.sent++
	s.inFlight = append(s.inFlight, simMessage{s.now + time.Millisecond + d, s.sent, l})
	if s.r.Float64() < 0.02 {
		s.sent++
		s.inFlight = append(s.inFlight, simMessage{s.now + 2*d + time.Millisecond, s.sent, l})
	}
}

func (s *sim) up(n *simNode) bool { return n.p != nil && s.now >= n.frozen }

// step moves virtual time on, delivers what is due and lets everyone act.
func (s *sim) step() {
	s.now += simStep
	for _, n := range s.all() {
		n.clk.Time += time.Duration(float64(simStep) * n.rate)
	}
	for _, h := range s.leases {
		h.clk.Time += time.Duration(float64(simStep) * h.rate)
	}
	s.fresh.clk.Time = s.now
	sort.SliceStable(s.inFlight, func(i, j int) bool {
		return s.inFlight[i].at < s.inFlight[j].at || s.inFlight[i].at == s.inFlight[j].at && s.inFlight[i].n < s.inFlight[j].n
	})
	var stay []simMessage
	due := s.inFlight
	s.inFlight = nil
	for _, m := range due {
		if n := s.node(m.l.To); m.at > s.now || n.p != nil && !s.up(n) { // a frozen machine's letters wait
			stay = append(stay, m)
			continue
		}
		for _, n := range s.all() { // a name that two have reaches both
			if n.name == m.l.To && s.up(n) && n.p.failure == nil {
				n.p.core.Step(proto.Clone(m.l).(*wire.Message))
				n.p.handleReady()
			}
		}
	}
	s.inFlight = append(stay, s.inFlight...)
	for _, n := range s.all() {
		if s.up(n) && s.now >= n.next {
			n.next = s.now + time.Duration(float64(50*time.Millisecond)/n.rate)
			if n.p.failure == nil {
				n.p.core.Tick()
				n.p.handleReady()
				n.blank = n.blank && n.p.core.Status().Blank
			}
		}
	}
	if s.dbg {
		for _, n := range s.nodes {
			if n.p != nil && n.p.failure == nil {
				x := n.p.core.Status()
				k := fmt.Sprintf("%s owns %v term %d leader %s applied %d last %d blank %v", n.name, x.IsLeader, x.Term, x.Leader, x.Applied, x.LastIndex, x.Blank)
				if s.seen == nil {
					s.seen = map[string]string{}
				}
				if s.seen[n.name] != k {
					s.seen[n.name] = k
					s.note("%s", k)
				}
			}
		}
	}
	var open []func() bool
	for _, f := range s.open {
		if f() {
			open = append(open, f)
		}
	}
	s.open = open
	held := 0
	for _, h := range s.leases {
		if _, ok := h.l.FencingToken(); ok {
			held++
		}
	}
	if held > 1 {
		s.fault("%d hold the duty at once", held)
	}
}

func (s *sim) all() []*simNode { return append(append([]*simNode(nil), s.nodes...), s.ghosts...) }

// anyone picks a machine to ask: one whose name was taken, too.
func (s *sim) anyone() *simNode {
	l := s.all()
	return l[s.r.IntN(len(l))]
}

// replace starts an empty machine under a name whose machine froze, and will wake.
func (s *sim) replace(n *simNode) {
	g := *n
	g.incarnation = 1 << 20
	g.frozen = s.now + time.Duration(s.r.Int64N(int64(4*time.Second)))
	disk := *n.disk
	g.disk = &disk
	g.disk.slow = nil
	clk := *n.clk
	g.clk = &clk
	g.p.clock = g.clk
	g.p.send = s.post
	s.ghosts = append(s.ghosts, &g)
	n.disk = newSimDisk()
	s.note("%s is replaced by an empty machine while it is frozen", n.name)
	s.counts["replaced"]++
	s.boot(n)
}

func (s *sim) node(name string) *simNode {
	for _, n := range s.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}
