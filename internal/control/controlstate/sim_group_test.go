package controlstate

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"time"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/consensus"
	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/wire"
)

// The simulator of a group drives the real parts (core, state, shelf, the owner's duty, the
// asks to be taken in) on virtual time, as that of a part does; beside its troubles machines lose
// power and disks, and are replaced by empty ones at other addresses.

const groupStep = 5 * time.Millisecond

type gsimNode struct {
	addr   string
	disk   *cacheDisk
	p      *shard
	clk    *clock.Hand
	rate   float64
	frozen time.Duration
	next   time.Duration // its next tick
	ask    time.Duration // when it may ask again to be taken in
	life   int
	stall  time.Duration
	lost   bool // for good
	down   time.Duration
}

type gsimWrite struct {
	base, version uint64
	body          string
	begin, end    time.Duration // end zero: never acknowledged
	tried         int
}

type gsim struct {
	seed     uint64
	r        *rand.Rand
	now      time.Duration
	first    bool
	tolerate int
	seeds    []string
	nodes    []*gsimNode
	mail     []simLetter
	sent     int
	cut      map[string]bool
	loss     float64
	far      string // letters to this address take long
	writes   []*gsimWrite
	reads    []*simRead
	open     []func() bool
	edge     *gsimEdge
	leases   []*simHolder
	fences   map[uint64]string
	trace    []string
	bad      []string
	counts   map[string]int
	plant    string
}

func (s *gsim) note(format string, a ...any) {
	s.trace = append(s.trace, fmt.Sprintf("%8.3f ", s.now.Seconds())+fmt.Sprintf(format, a...))
}

func (s *gsim) fault(format string, a ...any) {
	s.note("FAULT "+format, a...)
	s.bad = append(s.bad, fmt.Sprintf(format, a...))
}

// newGroupSim is a site of a few core machines; which, the seed says.
func newGroupSim(seed uint64, plant string) *gsim {
	s := &gsim{seed: seed, r: rand.New(rand.NewPCG(seed, 2)), cut: map[string]bool{}, counts: map[string]int{}, plant: plant, first: true,
		tolerate: 1, fences: map[uint64]string{}, edge: &gsimEdge{vouch: map[string]time.Duration{}}}
	many := 3 + s.r.IntN(3)
	if s.r.IntN(4) == 0 {
		s.tolerate, many = 2, 6+s.r.IntN(2)
	}
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
		h := &simHolder{clk: &clock.Hand{}, rate: 0.97 + 0.06*s.r.Float64()}
		h.l = controlclient.NewLease(nil, h.clk, "duty", 0, fmt.Sprintf("holder-%d", i+1), 3*time.Second)
		s.leases = append(s.leases, h)
	}
	return s
}

func (s *gsim) machine() *gsimNode {
	n := &gsimNode{addr: fmt.Sprintf("m%d:1", len(s.nodes)+1), clk: &clock.Hand{}, rate: 0.97 + 0.06*s.r.Float64()}
	s.empty(n)
	s.nodes = append(s.nodes, n)
	return n
}

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
	n.life++
	life := n.life
	n.disk.dieIn, n.disk.died = -1, false
	n.clk.T = time.Duration(s.r.Int64N(int64(time.Hour)))
	p := newShard(context.Background(), 0, n.clk, hclog.NewNullLogger(), func(l *wire.Message) {
		if n.life == life {
			s.post(l)
		}
	})
	p.compactAt = 3000
	n.p = nil
	openGroup(p, &group{codec: versions{}, disk: n.disk, targetSize: 2*s.tolerate + 1, retryOpenTicks: int(retryOpenPart / groupTick), zoneOf: func(string) string { return "" },
		cfg: consensus.Config{HeartbeatTicks: heartbeatTicks, ElectionTicks: electionTicks, MaxBatchBytes: 4096, Rand: rand.New(rand.NewPCG(s.seed, uint64(life)*1000+uint64(n.addr[1])))},
		first: func() *wire.Snapshot {
			if s.plant == "same-life" && !s.first { // planted: a lost disk comes back as the member that it was
				return consensus.LearnerSnapshot(n.addr + "/0")
			}
			return firstSnapshot(s.first, n.addr, s.seeds, s.r.Uint64)
		}})
	n.p, n.next, n.down = p, s.now, 0
}

// kill ends a machine's process; power: the machine loses that, too.
func (s *gsim) kill(n *gsimNode, power bool, back time.Duration) {
	if n.lost {
		return
	}
	n.p, n.life, n.down = nil, n.life+1, s.now+back
	if power {
		n.disk.powerLost()
	}
	if s.r.IntN(2) == 0 { // what it had sent meanwhile never left the machine
		s.mail = slices.DeleteFunc(s.mail, func(m simLetter) bool { return controlclient.Addr(m.l.From) == n.addr })
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

func (s *gsim) up(n *gsimNode) bool   { return n != nil && n.p != nil && s.now >= n.frozen }
func (s *gsim) well(n *gsimNode) bool { return s.up(n) && n.p.failure == nil }
func (s *gsim) apart(a, b string) bool {
	return s.cut[a+">"+b] || s.cut[b+">"+a] || s.r.Float64() < s.loss
}

func (s *gsim) post(l *wire.Message) {
	from, to := controlclient.Addr(l.From), controlclient.Addr(l.To)
	if s.cut[from+">"+to] || s.r.Float64() < s.loss {
		return
	}
	d := time.Duration(s.r.Int64N(int64(4 * time.Millisecond)))
	if s.r.IntN(50) == 0 {
		d = time.Duration(s.r.Int64N(int64(time.Second)))
	}
	if to == s.far {
		d += 100 * time.Millisecond
	}
	if n := s.node(from); n.frozen > s.now {
		d += n.frozen - s.now
	}
	for range 1 + s.r.IntN(50)/49 {
		s.sent++
		s.mail = append(s.mail, simLetter{s.now + time.Millisecond + d, s.sent, proto.Clone(l).(*wire.Message)})
		d *= 2
	}
}

// after lets a node act on what it was given, and dies with it where its disk says so.
func (s *gsim) after(n *gsimNode) {
	if n.p.step(); n.disk.died {
		s.note("%s dies in a write", n.addr)
		s.counts["died in a write"]++
		s.kill(n, s.r.IntN(2) == 0, time.Duration(s.r.Int64N(int64(2*time.Second))))
	}
}

func (s *gsim) step() {
	s.now += groupStep
	for _, n := range s.nodes {
		n.clk.T += time.Duration(float64(groupStep) * n.rate)
	}
	held := 0
	for _, h := range s.leases {
		h.clk.T += time.Duration(float64(groupStep) * h.rate)
		if _, ok := h.l.Held(); ok {
			held++
		}
	}
	if held > 1 {
		s.fault("%d hold the duty at once", held)
	}
	sort.SliceStable(s.mail, func(i, j int) bool {
		return s.mail[i].at < s.mail[j].at || s.mail[i].at == s.mail[j].at && s.mail[i].n < s.mail[j].n
	})
	due := s.mail
	s.mail = nil
	var stay []simLetter
	for _, m := range due {
		n := s.node(controlclient.Addr(m.l.To))
		if m.at > s.now || n.p != nil && !s.up(n) { // a frozen machine's letters wait
			stay = append(stay, m)
		} else if s.well(n) {
			n.p.core.Step(m.l)
			s.after(n)
		}
	}
	s.mail = append(stay, s.mail...)
	for _, n := range s.nodes {
		if n.p == nil && !n.lost && n.down > 0 && s.now >= n.down {
			s.note("boot %s", n.addr)
			s.boot(n)
		}
		if !s.up(n) || s.now < n.next {
			continue
		}
		n.next = s.now + time.Duration(float64(100*time.Millisecond)/n.rate)
		if n.p.failure == nil {
			n.p.core.Tick()
		}
		was, _, _ := n.p.core.Members()
		n.p.tick()
		if now, _, _ := n.p.core.Members(); !slices.Equal(was, now) {
			s.counts["members change"]++
			s.note("%s changes members %v to %v", n.addr, was, now)
		}
		s.after(n)
		if s.up(n) && s.now >= n.ask && n.p.needsToJoin() {
			n.ask = s.now + 800*time.Millisecond
			s.takeIn(n)
		}
	}
	open := s.open
	s.open = nil
	for _, f := range open {
		if f() {
			s.open = append(s.open, f)
		}
	}
}

// takeIn asks somebody, and whom it names, to be taken in.
func (s *gsim) takeIn(n *gsimNode) {
	m := s.nodes[s.r.IntN(len(s.nodes))]
	for range 2 {
		if m == nil || m == n || !s.well(m) || s.apart(n.addr, m.addr) {
			return
		}
		t := m.p.handleJoin(&wire.JoinRequest{Name: n.p.core.Self()})
		if s.after(m); t.Outcome == wire.OutcomeDone {
			s.counts["taken in"]++
			return
		}
		m = s.node(controlclient.Addr(t.Leader))
	}
}

func (s *gsim) owner() *gsimNode {
	var o *gsimNode
	for _, n := range s.nodes {
		if s.well(n) && n.p.core.Status().IsLeader && (o == nil || n.p.core.Status().Term > o.p.core.Status().Term) {
			o = n
		}
	}
	return o
}

// whole tells whether the group has all the members it wants, and they hold all there is.
func (s *gsim) whole() bool {
	o := s.owner()
	if o == nil || !o.p.core.MembershipSettled() {
		return false
	}
	ms, _, _ := o.p.core.Members()
	for _, m := range ms {
		n := s.node(controlclient.Addr(m))
		if !s.well(n) || n.p.core.Self() != m || n.p.core.Status().Applied+2 < o.p.core.Status().Applied {
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

// gsimEdge follows all members by the real answers, and counts its proof as an edge does.
type gsimEdge struct {
	version, index, term uint64
	members              []string
	vouch                map[string]time.Duration // when a member was asked that held nothing newer
}

func (e *gsimEdge) hear(asked time.Duration, t *wire.FollowResponse) {
	if len(t.Members) > 0 && (t.MembersTerm > e.term || t.MembersTerm == e.term && t.MembersIndex > e.index) {
		e.members, e.term, e.index = t.Members, t.MembersTerm, t.MembersIndex
	}
	for _, d := range t.Documents {
		if d.Key == routingconfig.Key {
			e.version = max(e.version, d.Version)
		}
	}
	if t.NothingNewer {
		e.vouch[t.Member] = max(e.vouch[t.Member], asked)
	}
}

// proof is up to when nothing newer can have been acknowledged; zero: none.
func (e *gsimEdge) proof() time.Duration {
	var l []time.Duration
	for _, m := range e.members {
		l = append(l, e.vouch[m])
	}
	if len(l) == 0 {
		return 0
	}
	slices.Sort(l)
	return l[len(l)-len(l)/2-1] // a majority was asked then, or later
}

// poll is an edge's long poll of one member, and the check of its proof.
func (s *gsim) poll(n *gsimNode, hold time.Duration) {
	e, asked, end, life := s.edge, s.now, s.now+hold, n.life
	ask := &wire.FollowRequest{Have: []*wire.KnownVersion{{Key: routingconfig.Key, Version: e.version}}, Proof: routingconfig.Key}
	f := func() bool {
		if n.p == nil || n.life != life || hold > 0 && s.now < n.frozen {
			return n.life == life && n.p != nil
		}
		g := n.p.published.current()
		if s.plant == "vouch-open" { // planted: what is in the log and not applied is overlooked
			x := *g
			x.unapplied, g = nil, &x
		}
		t := g.followResponse(ask)
		if len(t.Documents) == 0 && s.now < end {
			return true
		}
		if s.r.Float64() < s.loss {
			return false
		}
		e.hear(asked, t)
		p := e.proof()
		for _, w := range s.writes {
			if w.end > 0 && w.end <= p && w.version > e.version {
				s.fault("the proof says that nothing newer than %d was acknowledged up to %v, yet %d was, at %v", e.version, p, w.version, w.end)
			}
		}
		if p > 0 {
			s.counts["proof"]++
		}
		return false
	}
	if f() {
		s.open = append(s.open, f)
	}
}
