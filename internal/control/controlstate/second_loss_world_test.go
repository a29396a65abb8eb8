package controlstate

import (
	"fmt"
	"slices"
	"time"

	"pebbleloom/internal/control/controlclient"
)

// lossKind is how a machine is lost; docs/control.md, section 3, has a table of them.
type lossKind string

// Kinds of losses.
const (
	lossCrash          lossKind = "crash"           // power loss; back with its disk
	lossWipe           lossKind = "wipe"            // back with an empty disk
	lossPartition      lossKind = "isolated"        // in both directions; healed later
	lossShutdown       lossKind = "SIGTERM"         // planned; back with its disk
	lossReplace        lossKind = "replaced"        // removed for good, a new machine starts
	lossPlannedReplace lossKind = "planned replace" // SIGTERM, removed for good, a new machine starts
)

var losses = []lossKind{lossCrash, lossWipe, lossPartition, lossShutdown, lossReplace, lossPlannedReplace}

// lossCompactAt is the size in bytes above which a member compacts its log here.
const lossCompactAt = 3000

// lossTarget is which machine is lost.
type lossTarget string

// Targets of a loss.
const (
	targetLeader    lossTarget = "leader"
	targetSuccessor lossTarget = "successor" // the machine that was lost first, or its replacement
	targetFollower  lossTarget = "follower"
)

var targets = []lossTarget{targetLeader, targetSuccessor, targetFollower}

// Times that the contract gives for small sites, and the bounds that follow from them.
const (
	catchUpTime    = 4 * time.Second         // for which a machine that returned still counts as lost
	awayTime       = 1500 * time.Millisecond // from a loss to the return
	graceTime      = 8 * time.Second         // from SIGTERM to the end of the process
	quorumWithin   = 4 * time.Second         // until a change is acknowledged again
	completeWithin = catchUpTime             // until the group has all its members again
	startWithin    = 12 * time.Second        // until a site that starts is complete and serves
)

// lossScenario is a complete group, a first loss, and a second one after a delay.
type lossScenario struct {
	machines, toleratedLosses int
	first, second             lossKind
	firstTarget               lossTarget // leader or follower; where two are tolerated, a follower beside it
	secondTarget              lossTarget
	delay                     time.Duration
	seed                      uint64
}

func (s lossScenario) String() string {
	return fmt.Sprintf("%d machines, %d tolerated, seed %d: %s of the %s, after %v %s of the %s", s.machines, s.toleratedLosses, s.seed,
		s.first, s.firstTarget, s.delay, s.second, s.secondTarget)
}

// lossRun plays a scenario in the simulator of a group.
type lossRun struct {
	*groupSim
	scenario         lossScenario
	lostUntil        map[string]time.Duration // by the original address of the machine
	originalAddrs    map[string]string        // by the address of a replacement: that of the machine it replaces
	destroyedVotes   int                      // members that were destroyed with their disk
	checksTolerance  bool                     // check in each step that no fewer losses are tolerated than initialTolerance
	initialTolerance int                      // losses that the group tolerated when the repair began
	lastReturn       time.Duration
	joins            map[*groupSimNode]*joinState

	bytesPerSecond float64 // of each machine's link; 0: no limit
	throttled      map[*groupSimNode]int
}

// joinState is the progress of a machine's Node.joinLoop.
type joinState struct {
	generation  int
	nextAttempt time.Duration
	turn        int
	silent      map[string]bool // addresses that didn't answer the last request
}

// newLossRun starts the site of a scenario.
func newLossRun(scenario lossScenario) *lossRun {
	s := emptyGroupSim(newSimBase(scenario.seed, 7, ""))
	s.toleratedLosses, s.compactAt = scenario.toleratedLosses, lossCompactAt
	s.startSite(scenario.machines)
	for _, node := range s.nodes {
		node.nextJoin = farFuture // runJoinLoops joins in its place
	}
	return &lossRun{groupSim: s, scenario: scenario, lostUntil: map[string]time.Duration{}, originalAddrs: map[string]string{}, joins: map[*groupSimNode]*joinState{}, throttled: map[*groupSimNode]int{}}
}

// scheduleAt runs an action at a time.
func (r *lossRun) scheduleAt(when time.Duration, run func()) {
	r.inProgress = append(r.inProgress, func() bool {
		if r.now < when {
			return true
		}
		run()
		return false
	})
}

// advance moves virtual time on by a step under load: an operator, readers and an edge.
func (r *lossRun) advance() {
	for _, node := range r.nodes {
		r.throttle(node)
	}
	r.step()
	r.runJoinLoops()
	switch r.random.IntN(60) {
	case 0, 1, 2:
		r.writeChange(nil)
	case 3:
		r.read(r.randomNode())
	case 4, 5:
		if node := r.leader(); node != nil {
			r.read(node) // operators build on what it returns
		}
	case 6, 7:
		r.poll(r.randomNode(), pollTime)
	}
	if r.checksTolerance {
		if tolerated := r.toleratedNow(); tolerated < r.initialTolerance {
			r.violationf("tolerance-never-lower: %d losses are tolerated in the midst of the repair, %d were before it", tolerated, r.initialTolerance)
		}
	}
}

// toleratedNow is how many more machines may be lost at once, whichever they are, so that the newest
// membership still has a quorum. Machines that are down count as lost.
func (r *lossRun) toleratedNow() int {
	members := r.newestMembership()
	alive := 0
	for _, member := range members {
		if node := r.node(controlclient.MemberAddr(member)); r.isHealthy(node) && node.shard.core.Self() == member && !r.isIsolated(node) {
			alive++
		}
	}
	return alive - (len(members)/2 + 1)
}

// isIsolated reports whether a machine is lost by a partition.
func (r *lossRun) isIsolated(node *groupSimNode) bool {
	isPartitionedFrom := func(peer *groupSimNode) bool {
		return peer != node && r.partitioned[node.addr+">"+peer.addr] && r.partitioned[peer.addr+">"+node.addr]
	}
	return slices.ContainsFunc(r.nodes, isPartitionedFrom) && r.lostUntil[r.originOf(node)] > r.now
}

// newestMembership is the newest one in the log of any machine that is up.
func (r *lossRun) newestMembership() (members []string) {
	var term, index uint64
	for _, node := range r.nodes {
		if node.shard == nil {
			continue
		}
		if itsMembers, itsTerm, itsIndex := node.shard.core.Members(); members == nil || itsTerm > term || itsTerm == term && itsIndex > index {
			members, term, index = itsMembers, itsTerm, itsIndex
		}
	}
	return members
}

// originOf is the address of the machine that a node replaces, directly or not; its own where none.
func (r *lossRun) originOf(node *groupSimNode) string {
	if addr := r.originalAddrs[node.addr]; addr != "" {
		return addr
	}
	return node.addr
}

// lostNow is how many machines count as lost by the contract.
func (r *lossRun) lostNow() (count int) {
	for _, until := range r.lostUntil {
		if until > r.now {
			count++
		}
	}
	return count
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

// injectLoss has a machine be lost.
func (r *lossRun) injectLoss(kind lossKind, node *groupSimNode) {
	returnsAt := r.now + awayTime
	r.tracef("LOSS %s of %s", kind, node.addr)
	r.count("lost: " + string(kind))
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
		r.isolateUntil(node, returnsAt)
	case lossShutdown:
		r.shutDown(node, func() { r.kill(node, false, awayTime) })
		returnsAt += graceTime
	case lossReplace:
		r.replace(node)
		returnsAt = r.now
	case lossPlannedReplace:
		r.shutDown(node, func() { r.replace(node) })
		returnsAt += graceTime
	}
	r.lostUntil[r.originOf(node)] = returnsAt + catchUpTime
	r.lastReturn = max(r.lastReturn, returnsAt)
}

// replace removes a machine for good and starts another one in its place.
func (r *lossRun) replace(node *groupSimNode) {
	if r.isMember(node) {
		r.destroyedVotes++
	}
	r.kill(node, true, 0)
	node.isRemoved = true
	replacement := r.addNode()
	r.originalAddrs[replacement.addr] = r.originOf(node)
	r.start(replacement)
}

// isolateUntil isolates a machine in both directions until a time.
func (r *lossRun) isolateUntil(node *groupSimNode, until time.Duration) {
	setPartitioned := func(partitioned bool) {
		for _, peer := range r.nodes {
			if peer != node {
				r.partitioned[peer.addr+">"+node.addr], r.partitioned[node.addr+">"+peer.addr] = partitioned, partitioned
			}
		}
	}
	setPartitioned(true)
	r.scheduleAt(until, func() { setPartitioned(false) })
}

// shutDown does what Node.leave does: it stops the machine as soon as it may, or after leaveTimeoutRatio
// of the grace time.
func (r *lossRun) shutDown(node *groupSimNode, stop func()) {
	generation, end, nextAttempt := node.generation, r.now+time.Duration(leaveTimeoutRatio*float64(graceTime)), r.now
	r.inProgress = append(r.inProgress, func() bool {
		if node.shard == nil || node.generation != generation {
			return false
		}
		if r.now < nextAttempt {
			return true
		}
		nextAttempt = r.now + leavePollInterval
		if r.now < end && !r.mayLeave(node) {
			return true
		}
		if node.shard == nil || node.generation != generation {
			return false // it crashed in a write
		}
		r.tracef("%s stops", node.addr)
		// A planned end counts as a loss from here on.
		r.lostUntil[r.originOf(node)] = r.now + awayTime + catchUpTime
		r.lastReturn = r.now + awayTime
		stop()
		return false
	})
}

// waitUntil lets time pass until a condition holds, up to a bound. It returns the time that passed, and
// whether the condition holds.
func (r *lossRun) waitUntil(within time.Duration, holds func() bool) (time.Duration, bool) {
	begun := r.now
	for r.now-begun < within && len(r.violations) == 0 {
		if holds() {
			return r.now - begun, true
		}
		r.advance()
	}
	return r.now - begun, holds()
}

// advanceFor lets time pass.
func (r *lossRun) advanceFor(duration time.Duration) {
	r.waitUntil(duration, func() bool { return false })
}

// awaitReturn lets time pass until the last machine that was lost for a while has returned.
func (r *lossRun) awaitReturn() { r.advanceFor(max(0, r.lastReturn-r.now)) }

// awaitStart lets a site start, and reports whether it is complete and serves.
func (r *lossRun) awaitStart() bool {
	_, ok := r.waitUntil(startWithin, func() bool { return r.isComplete() && r.counts["acked"] > 2 })
	return ok
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

// follower is a healthy member that doesn't lead and doesn't count as lost; nil: there is none.
func (r *lossRun) follower() *groupSimNode {
	leader := r.leader()
	for _, member := range r.newestMembership() {
		node := r.node(controlclient.MemberAddr(member))
		if node != leader && r.isHealthy(node) && node.shard.core.Self() == member && r.lostUntil[r.originOf(node)] <= r.now {
			return node
		}
	}
	return nil
}
