package controlstate

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/wire"
)

// What a loss is, in the words of the table in docs/control.md, section 3.
const (
	lossCrash   = "crash"           // power loss; back with its disk
	lossWipe    = "wipe"            // back with an empty disk
	lossCut     = "cut off"         // both ways; joined again later
	lossLeave   = "SIGTERM"         // planned; back with its disk
	lossReplace = "replaced"        // gone for good, a new machine starts
	lossPlanned = "planned replace" // SIGTERM, gone for good, a new machine starts
)

var losses = []string{lossCrash, lossWipe, lossCut, lossLeave, lossReplace, lossPlanned}

// lossCompactAt is the size in bytes above which a member compacts its log here.
const lossCompactAt = 3000

// Whom the second loss hits.
const (
	hitLeader    = "leader"
	hitSuccessor = "successor" // the machine that was hit first, or its replacement
	hitFollower  = "follower"
)

var targets = []string{hitLeader, hitSuccessor, hitFollower}

// Times of the users' pages for the small sites, and the bounds that follow from them.
const (
	catchUp      = 4 * time.Second
	awayTime     = 1500 * time.Millisecond // from a loss to the return
	graceTime    = 8 * time.Second
	quorumWithin = 4 * time.Second // a change is acknowledged again
	wholeWithin  = catchUp         // the group has all its members again
)

// secondLoss is one run: a whole group, one loss, and another so much later.
type secondLoss struct {
	machines, tolerate int
	first, second      string
	firstAt            string // leader or follower; where two are tolerated, a follower beside it
	target             string
	after              time.Duration
	seed               uint64
}

func (x secondLoss) String() string {
	return fmt.Sprintf("%d machines, %d tolerated, seed %d: %s of the %s, after %v %s of the %s", x.machines, x.tolerate, x.seed,
		x.first, x.firstAt, x.after, x.second, x.target)
}

// lossRun is the state of one run.
type lossRun struct {
	*gsim
	x            secondLoss
	lostUntil    map[string]time.Duration // by the address that it had at the start
	origin       map[string]string        // of a replacement: the address at the start
	destroyed    int                      // votes that can never be given again and were counted when they went
	checkMargins bool
	margin       int // losses that the group tolerated when the repair began
	lastReturn   time.Duration
	joining      map[*gsimNode]*joinState

	bytesPerSecond float64 // of each machine's link; 0: no limit
	throttled      map[*gsimNode]int
}

// joinState is where a machine's joinLoop stands.
type joinState struct {
	incarnation int
	next        time.Duration
	turn        int
	silent      map[string]bool // addresses that gave no answer the last time
}

func newLossRun(x secondLoss) *lossRun {
	s := &gsim{seed: x.seed, r: rand.New(rand.NewPCG(x.seed, 7)), cut: map[string]bool{}, counts: map[string]int{}, first: true, tolerate: x.tolerate,
		fences: map[uint64]string{}, edge: &gsimEdge{vouch: map[string]time.Duration{}},
		longCut: map[string]bool{}, armed: map[string]func(){}, compactAt: lossCompactAt}
	for i := range x.machines {
		n := s.machine()
		if i < 3 {
			s.seeds = append(s.seeds, n.addr)
		}
	}
	for _, n := range s.nodes {
		s.boot(n)
		n.ask = never
	}
	s.first = false
	return &lossRun{gsim: s, x: x, lostUntil: map[string]time.Duration{}, origin: map[string]string{}, joining: map[*gsimNode]*joinState{}, throttled: map[*gsimNode]int{}}
}

// at runs f once at a time; a run's own events go through s.open.
func (r *lossRun) at(when time.Duration, f func()) {
	r.open = append(r.open, func() bool {
		if r.now < when {
			return true
		}
		f()
		return false
	})
}

// advance lets time pass under load: an operator, readers and an edge.
func (r *lossRun) advance() {
	for _, n := range r.nodes {
		r.throttle(n)
	}
	r.step()
	r.join()
	switch r.gsim.r.IntN(60) {
	case 0, 1, 2:
		r.write(nil)
	case 3:
		r.read(r.nodes[r.gsim.r.IntN(len(r.nodes))])
	case 4, 5:
		if n := r.leader(); n != nil {
			r.read(n) // what an operator builds on
		}
	case 6, 7:
		r.poll(r.nodes[r.gsim.r.IntN(len(r.nodes))], 300*time.Millisecond)
	}
	if r.checkMargins {
		if m := r.toleratedNow(); m < r.margin {
			r.fault("tolerance-never-lower: %d losses are tolerated in the midst of the repair, %d were before it", m, r.margin)
		}
	}
}

// toleratedNow is how many machines more may be lost at once, whichever they are, so that the newest
// membership has a quorum. Votes of machines that are down count as lost.
func (r *lossRun) toleratedNow() int {
	members := r.newestMembership()
	alive := 0
	for _, m := range members {
		if n := r.node(controlclient.MemberAddr(m)); r.well(n) && n.p.core.Self() == m && !r.isCutOff(n) {
			alive++
		}
	}
	return alive - (len(members)/2 + 1)
}

func (r *lossRun) isCutOff(n *gsimNode) bool {
	return slices.ContainsFunc(r.nodes, func(o *gsimNode) bool { return o != n && r.cut[n.addr+">"+o.addr] && r.cut[o.addr+">"+n.addr] }) &&
		r.lostUntil[r.originOf(n)] > r.now
}

// newestMembership is the newest in any log that is there, as the members count it.
func (r *lossRun) newestMembership() (members []string) {
	var term, index uint64
	for _, n := range r.nodes {
		if n.p == nil {
			continue
		}
		if ms, t, i := n.p.core.Members(); members == nil || t > term || t == term && i > index {
			members, term, index = ms, t, i
		}
	}
	return members
}

func (r *lossRun) originOf(n *gsimNode) string {
	if o := r.origin[n.addr]; o != "" {
		return o
	}
	return n.addr
}

// lostNow is how many machines count as lost, by the users' pages.
func (r *lossRun) lostNow() (k int) {
	for _, until := range r.lostUntil {
		if until > r.now {
			k++
		}
	}
	return k
}

// sparesReady reports whether each machine that isn't a member is a learner that has caught up.
func (r *lossRun) sparesReady() bool {
	leader := r.leader()
	if leader == nil {
		return false
	}
	ready := 0
	for _, p := range leader.p.core.PeerStatuses() {
		if !p.IsVoter && p.CaughtUp {
			ready++
		}
	}
	return ready >= len(r.nodes)-r.memberCount()
}

func (r *lossRun) isMember(n *gsimNode) bool {
	return n.p != nil && slices.Contains(r.newestMembership(), n.p.core.Self())
}

// strike brings a loss about. away ends at the return.
func (r *lossRun) strike(kind string, n *gsimNode) {
	back := r.now + awayTime
	r.note("STRIKE %s of %s", kind, n.addr)
	r.counts["struck "+kind]++
	switch kind {
	case lossCrash:
		r.kill(n, true, awayTime)
	case lossWipe:
		if r.isMember(n) {
			r.destroyed++
		}
		r.kill(n, true, awayTime)
		r.empty(n)
	case lossCut:
		r.cutOff(n, back)
	case lossLeave:
		r.leave(n, func() { r.kill(n, false, awayTime) })
		back += graceTime
	case lossReplace:
		r.replace(n)
		back = r.now
	case lossPlanned:
		r.leave(n, func() { r.replace(n) })
		back += graceTime
	}
	r.lostUntil[r.originOf(n)] = back + catchUp
	r.lastReturn = max(r.lastReturn, back)
}

func (r *lossRun) replace(n *gsimNode) {
	if r.isMember(n) {
		r.destroyed++
	}
	r.kill(n, true, 0)
	n.lost = true
	m := r.machine()
	r.origin[m.addr] = r.originOf(n)
	r.boot(m)
}

func (r *lossRun) cutOff(n *gsimNode, until time.Duration) {
	join := func(cut bool) {
		for _, m := range r.nodes {
			if m != n {
				r.cut[m.addr+">"+n.addr], r.cut[n.addr+">"+m.addr] = cut, cut
			}
		}
	}
	join(true)
	r.at(until, func() { join(false) })
}

// leave is what Node.leave does: it asks until it may stop, for so much of the grace time at most.
func (r *lossRun) leave(n *gsimNode, stop func()) {
	incarnation, end, next := n.incarnation, r.now+time.Duration(leaveTimeoutRatio*float64(graceTime)), r.now
	r.open = append(r.open, func() bool {
		if n.p == nil || n.incarnation != incarnation {
			return false
		}
		if r.now < next {
			return true
		}
		next = r.now + groupStepOfLeave
		if r.now < end && !r.mayStop(n) {
			return true
		}
		if n.p == nil || n.incarnation != incarnation {
			return false // it died in a write
		}
		r.note("%s stops", n.addr)
		// What was a planned end until now counts as lost from here on.
		r.lostUntil[r.originOf(n)] = r.now + awayTime + catchUp
		r.lastReturn = r.now + awayTime
		stop()
		return false
	})
}

// groupStepOfLeave is the pause of Node.leave between two looks.
const groupStepOfLeave = 50 * time.Millisecond

// mayStop is Node.tryLeave over the simulated net.
func (r *lossRun) mayStop(n *gsimNode) bool {
	at := n.p.prepareToLeave()
	r.after(n)
	if at.done || at.isLeader || at.leader == "" {
		return at.done
	}
	m := r.node(controlclient.MemberAddr(at.leader))
	if !r.well(m) || r.apart(n.addr, m.addr) {
		return false
	}
	t := m.p.handleJoin(&wire.JoinRequest{Name: at.self, Leaving: true})
	r.after(m)
	return t.Outcome == wire.OutcomeDone
}

// until lets time pass until something holds, for so long at most.
func (r *lossRun) until(within time.Duration, holds func() bool) (time.Duration, bool) {
	begin := r.now
	for r.now-begin < within && len(r.bad) == 0 {
		if holds() {
			return r.now - begin, true
		}
		r.advance()
	}
	return r.now - begin, holds()
}

// acknowledgedSince reports whether a change that began after a time was acknowledged.
func (r *lossRun) acknowledgedSince(when time.Duration) func() bool {
	return func() bool {
		for i := len(r.writes) - 1; i >= 0 && i >= len(r.writes)-40; i-- {
			if w := r.writes[i]; w.begin >= when && w.end > 0 {
				return true
			}
		}
		return false
	}
}

func (r *lossRun) follower() *gsimNode {
	leader := r.leader()
	for _, m := range r.newestMembership() {
		n := r.node(controlclient.MemberAddr(m))
		if n != leader && r.well(n) && n.p.core.Self() == m && r.lostUntil[r.originOf(n)] <= r.now {
			return n
		}
	}
	return nil
}
