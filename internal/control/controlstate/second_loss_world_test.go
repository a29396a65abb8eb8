package controlstate

import (
	"fmt"
	"slices"
	"time"

	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/wire"
)

// What a loss is, in the words of the table in docs/control.md, section 3.
const (
	lossCrash          = "crash"           // power loss; back with its disk
	lossWipe           = "wipe"            // back with an empty disk
	lossPartition      = "cut off"         // both ways; joined again later
	lossShutdown       = "SIGTERM"         // planned; back with its disk
	lossReplace        = "replaced"        // gone for good, a new machine starts
	lossPlannedReplace = "planned replace" // SIGTERM, gone for good, a new machine starts
)

var losses = []string{lossCrash, lossWipe, lossPartition, lossShutdown, lossReplace, lossPlannedReplace}

// lossCompactAt is the size in bytes above which a member compacts its log here.
const lossCompactAt = 3000

// Whom the second loss hits.
const (
	targetLeader    = "leader"
	targetSuccessor = "successor" // the machine that was hit first, or its replacement
	targetFollower  = "follower"
)

var targets = []string{targetLeader, targetSuccessor, targetFollower}

// Times of the users' pages for the small sites, and the bounds that follow from them.
const (
	catchUpTime    = 4 * time.Second
	awayTime       = 1500 * time.Millisecond // from a loss to the return
	graceTime      = 8 * time.Second
	quorumWithin   = 4 * time.Second // a change is acknowledged again
	completeWithin = catchUpTime     // the group has all its members again
)

// lossScenario is one run: a whole group, one loss, and another so much later.
type lossScenario struct {
	machines, toleratedLosses int
	first, second             string
	firstTarget               string // leader or follower; where two are tolerated, a follower beside it
	secondTarget              string
	delay                     time.Duration
	seed                      uint64
}

func (scenario lossScenario) String() string {
	return fmt.Sprintf("%d machines, %d tolerated, seed %d: %s of the %s, after %v %s of the %s", scenario.machines, scenario.toleratedLosses, scenario.seed,
		scenario.first, scenario.firstTarget, scenario.delay, scenario.second, scenario.secondTarget)
}

// lossRun is the state of one run.
type lossRun struct {
	*groupSim
	scenario         lossScenario
	lostUntil        map[string]time.Duration // by the address that it had at the start
	originalAddrs    map[string]string        // of a replacement: the address at the start
	destroyedVotes   int                      // votes that can never be given again and were counted when they went
	checkMargins     bool
	initialTolerance int // losses that the group tolerated when the repair began
	lastReturn       time.Duration
	joins            map[*groupSimNode]*joinState

	bytesPerSecond float64 // of each machine's link; 0: no limit
	throttled      map[*groupSimNode]int
}

// joinState is where a machine's joinLoop stands.
type joinState struct {
	generation  int
	nextAttempt time.Duration
	turn        int
	silent      map[string]bool // addresses that gave no answer the last time
}

func newLossRun(scenario lossScenario) *lossRun {
	s := emptyGroupSim(newSimBase(scenario.seed, 7, ""))
	s.toleratedLosses, s.compactAt = scenario.toleratedLosses, lossCompactAt
	s.startSite(scenario.machines)
	for _, node := range s.nodes {
		node.nextJoin = farFuture // runJoinLoops joins in its place
	}
	return &lossRun{groupSim: s, scenario: scenario, lostUntil: map[string]time.Duration{}, originalAddrs: map[string]string{}, joins: map[*groupSimNode]*joinState{}, throttled: map[*groupSimNode]int{}}
}

// scheduleAt runs f once at a time; a run's own events go through s.open.
func (r *lossRun) scheduleAt(when time.Duration, f func()) {
	r.inProgress = append(r.inProgress, func() bool {
		if r.now < when {
			return true
		}
		f()
		return false
	})
}

// advance lets time pass under load: an operator, readers and an edge.
func (r *lossRun) advance() {
	for _, node := range r.nodes {
		r.throttle(node)
	}
	r.step()
	r.runJoinLoops()
	switch r.groupSim.random.IntN(60) {
	case 0, 1, 2:
		r.writeChange(nil)
	case 3:
		r.read(r.nodes[r.groupSim.random.IntN(len(r.nodes))])
	case 4, 5:
		if node := r.leader(); node != nil {
			r.read(node) // what an operator builds on
		}
	case 6, 7:
		r.poll(r.nodes[r.groupSim.random.IntN(len(r.nodes))], 300*time.Millisecond)
	}
	if r.checkMargins {
		if m := r.toleratedNow(); m < r.initialTolerance {
			r.violationf("tolerance-never-lower: %d losses are tolerated in the midst of the repair, %d were before it", m, r.initialTolerance)
		}
	}
}

// toleratedNow is how many machines more may be lost at once, whichever they are, so that the newest
// membership has a quorum. Votes of machines that are down count as lost.
func (r *lossRun) toleratedNow() int {
	members := r.newestMembership()
	alive := 0
	for _, m := range members {
		if node := r.node(controlclient.MemberAddr(m)); r.isHealthy(node) && node.shard.core.Self() == m && !r.isIsolated(node) {
			alive++
		}
	}
	return alive - (len(members)/2 + 1)
}

func (r *lossRun) isIsolated(node *groupSimNode) bool {
	return slices.ContainsFunc(r.nodes, func(peer *groupSimNode) bool {
		return peer != node && r.partitioned[node.addr+">"+peer.addr] && r.partitioned[peer.addr+">"+node.addr]
	}) &&
		r.lostUntil[r.originOf(node)] > r.now
}

// newestMembership is the newest in any log that is there, as the members count it.
func (r *lossRun) newestMembership() (members []string) {
	var term, index uint64
	for _, node := range r.nodes {
		if node.shard == nil {
			continue
		}
		if ms, t, i := node.shard.core.Members(); members == nil || t > term || t == term && i > index {
			members, term, index = ms, t, i
		}
	}
	return members
}

func (r *lossRun) originOf(node *groupSimNode) string {
	if o := r.originalAddrs[node.addr]; o != "" {
		return o
	}
	return node.addr
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
	for _, peer := range leader.shard.core.PeerStatuses() {
		if !peer.IsVoter && peer.CaughtUp {
			ready++
		}
	}
	return ready >= len(r.nodes)-r.memberCount()
}

func (r *lossRun) isMember(node *groupSimNode) bool {
	return node.shard != nil && slices.Contains(r.newestMembership(), node.shard.core.Self())
}

// injectLoss brings a loss about. away ends at the return.
func (r *lossRun) injectLoss(kind string, node *groupSimNode) {
	back := r.now + awayTime
	r.tracef("STRIKE %s of %s", kind, node.addr)
	r.counts["struck "+kind]++
	switch kind {
	case lossCrash:
		r.kill(node, true, awayTime)
	case lossWipe:
		if r.isMember(node) {
			r.destroyedVotes++
		}
		r.kill(node, true, awayTime)
		r.wipeDisk(node)
	case lossPartition:
		r.isolateUntil(node, back)
	case lossShutdown:
		r.shutDown(node, func() { r.kill(node, false, awayTime) })
		back += graceTime
	case lossReplace:
		r.replace(node)
		back = r.now
	case lossPlannedReplace:
		r.shutDown(node, func() { r.replace(node) })
		back += graceTime
	}
	r.lostUntil[r.originOf(node)] = back + catchUpTime
	r.lastReturn = max(r.lastReturn, back)
}

func (r *lossRun) replace(node *groupSimNode) {
	if r.isMember(node) {
		r.destroyedVotes++
	}
	r.kill(node, true, 0)
	node.isRemoved = true
	peer := r.addNode()
	r.originalAddrs[peer.addr] = r.originOf(node)
	r.start(peer)
}

func (r *lossRun) isolateUntil(node *groupSimNode, until time.Duration) {
	join := func(cut bool) {
		for _, peer := range r.nodes {
			if peer != node {
				r.partitioned[peer.addr+">"+node.addr], r.partitioned[node.addr+">"+peer.addr] = cut, cut
			}
		}
	}
	join(true)
	r.scheduleAt(until, func() { join(false) })
}

// shutDown is what Node.leave does: it asks until it may stop, for so much of the grace time at most.
func (r *lossRun) shutDown(node *groupSimNode, stop func()) {
	incarnation, end, next := node.generation, r.now+time.Duration(leaveTimeoutRatio*float64(graceTime)), r.now
	r.inProgress = append(r.inProgress, func() bool {
		if node.shard == nil || node.generation != incarnation {
			return false
		}
		if r.now < next {
			return true
		}
		next = r.now + leavePollInterval
		if r.now < end && !r.mayStop(node) {
			return true
		}
		if node.shard == nil || node.generation != incarnation {
			return false // it died in a write
		}
		r.tracef("%s stops", node.addr)
		// What was a planned end until now counts as lost from here on.
		r.lostUntil[r.originOf(node)] = r.now + awayTime + catchUpTime
		r.lastReturn = r.now + awayTime
		stop()
		return false
	})
}

// leavePollInterval is the pause of Node.leave between two looks.
const leavePollInterval = 50 * time.Millisecond

// mayStop is Node.tryLeave over the simulated net.
func (r *lossRun) mayStop(node *groupSimNode) bool {
	at := node.shard.prepareToLeave()
	r.runStep(node)
	if at.done || at.isLeader || at.leader == "" {
		return at.done
	}
	peer := r.node(controlclient.MemberAddr(at.leader))
	if !r.isHealthy(peer) || r.callFails(node.addr, peer.addr) {
		return false
	}
	response := peer.shard.handleJoin(&wire.JoinRequest{Name: at.self, Leaving: true})
	r.runStep(peer)
	return response.Outcome == wire.OutcomeDone
}

// waitUntil lets time pass until something holds, for so long at most.
func (r *lossRun) waitUntil(within time.Duration, holds func() bool) (time.Duration, bool) {
	begin := r.now
	for r.now-begin < within && len(r.violations) == 0 {
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
		for i := len(r.changes) - 1; i >= 0 && i >= len(r.changes)-40; i-- {
			if change := r.changes[i]; change.createdAt >= when && change.ackedAt > 0 {
				return true
			}
		}
		return false
	}
}

func (r *lossRun) follower() *groupSimNode {
	leader := r.leader()
	for _, m := range r.newestMembership() {
		node := r.node(controlclient.MemberAddr(m))
		if node != leader && r.isHealthy(node) && node.shard.core.Self() == m && r.lostUntil[r.originOf(node)] <= r.now {
			return node
		}
	}
	return nil
}
