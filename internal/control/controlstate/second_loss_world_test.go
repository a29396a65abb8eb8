package controlstate

import (
	"fmt"
	"slices"
	"time"

	"pebbleloom/internal/control/controlclient"
)

// lossKind is the way in which a machine is lost. The table in docs/control.md, section 3, lists the kinds.
type lossKind string

// Ways in which a test makes a control machine fail or disappear.
const (
	lossCrash          lossKind = "crash"               // the machine loses power, and restarts with its disk
	lossWipe           lossKind = "disk loss"           // the machine loses power, and restarts with an empty disk
	lossPartition      lossKind = "partition"           // the machine is partitioned from all others in both directions for a while
	lossShutdown       lossKind = "shutdown"            // the machine is shut down by SIGTERM, and restarts with its disk
	lossReplace        lossKind = "replacement"         // the machine is removed permanently, and a new one starts
	lossPlannedReplace lossKind = "planned replacement" // the machine is shut down by SIGTERM and removed permanently, and a new one starts
)

// lossKinds lists all ways in which a test makes a machine fail or disappear.
var lossKinds = []lossKind{lossCrash, lossWipe, lossPartition, lossShutdown, lossReplace, lossPlannedReplace}

// lossCompactAt is the size of the log in bytes above which members compact it in these tests.
const lossCompactAt = 3000

// lossTarget selects the machine that a simulated loss hits.
type lossTarget string

// Machines that a simulated loss can hit.
const (
	targetLeader    lossTarget = "leader"
	targetFirstLost lossTarget = "machine that was lost first" // the machine that was lost first or, if it was replaced, its replacement
	targetFollower  lossTarget = "follower"
)

// lossTargets lists all machines that a simulated second loss can hit.
var lossTargets = []lossTarget{targetLeader, targetFirstLost, targetFollower}

// Durations that the contract guarantees for small sites, and upper bounds that follow from them.
const (
	catchUpTime           = 4 * time.Second         // time for which a machine still counts as lost after it has returned
	lossDowntime          = 1500 * time.Millisecond // time from a loss to the return of the machine
	lossGracePeriod       = 8 * time.Second         // time from SIGTERM until the process is killed
	maxQuorumRecoveryTime = 4 * time.Second         // maximum time until a change is acknowledged again after a tolerated loss
	maxRepairTime         = catchUpTime             // maximum time until the group has all its members again after a machine has returned
	maxStartTime          = 12 * time.Second        // maximum time until a starting site is complete and acknowledges changes
)

// lossScenario describes two losses in a complete group, the second one after a delay.
type lossScenario struct {
	machines, toleratedLosses int
	first, second             lossKind
	firstTarget               lossTarget // targetLeader or targetFollower; if two losses are tolerated, the first loss also hits another follower
	secondTarget              lossTarget
	delay                     time.Duration
	seed                      uint64
}

func (s lossScenario) String() string {
	return fmt.Sprintf("%d machines, %d losses tolerated, seed %d: %s of the %s, after %v %s of the %s", s.machines, s.toleratedLosses, s.seed,
		s.first, s.firstTarget, s.delay, s.second, s.secondTarget)
}

// lossRun runs a lossScenario in the simulation of a group.
type lossRun struct {
	*groupSim
	scenario         lossScenario
	lostUntil        map[string]time.Duration     // time until which a machine counts as lost, by its original address
	originalAddrs    map[string]string            // original address of the machine that a replacement stands for, by the replacement's address
	destroyedVoters  int                          // number of voters whose disks were destroyed in this run
	checksTolerance  bool                         // check at each step that the group tolerates no fewer losses than initialTolerance
	initialTolerance int                          // number of losses that the group tolerated when the repair began
	lastReturnAt     time.Duration                // latest time at which a lost machine returns
	joins            map[*groupSimNode]*joinState // state of each machine's join requests

	bytesPerSecond float64               // bandwidth of each machine's link, in bytes per second; 0: no limit
	throttled      map[*groupSimNode]int // generation of the machine's process whose link is throttled
}

// joinState simulates the state of a machine's Node.joinLoop.
type joinState struct {
	generation   int             // generation of the machine's process to which this state belongs
	nextAttempt  time.Duration   // simulated time of the next join request
	failures     int             // number of this machine's join requests that failed
	unresponsive map[string]bool // addresses that did not respond to the last join request sent to them
}

// newLossRun starts the machines of a scenario.
func newLossRun(scenario lossScenario) *lossRun {
	s := emptyGroupSim(newSimBase(scenario.seed, 7, ""))
	s.toleratedLosses, s.compactAt = scenario.toleratedLosses, lossCompactAt
	s.startSite(scenario.machines)
	for _, node := range s.nodes {
		node.nextJoin = farFuture // disables the simulator's own join requests; runJoinLoops sends them
	}
	return &lossRun{groupSim: s, scenario: scenario, lostUntil: map[string]time.Duration{}, originalAddrs: map[string]string{}, joins: map[*groupSimNode]*joinState{}, throttled: map[*groupSimNode]int{}}
}

// scheduleAt runs an action when the simulated time has reached the given one.
func (r *lossRun) scheduleAt(when time.Duration, run func()) {
	r.inProgress = append(r.inProgress, func() bool {
		if r.now < when {
			return true
		}
		run()
		return false
	})
}

// advance moves simulated time on by one step, in which an operator, a reader or an edge may send a request.
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
			r.read(node) // operators base their changes on the version that the leader returns
		}
	case 6, 7:
		r.poll(r.randomNode(), pollTime)
	}
	if r.checksTolerance {
		if tolerated := r.toleratedNow(); tolerated < r.initialTolerance {
			r.violationf("tolerance-never-lower: group tolerates %d more losses during the repair, want at least the %d from its beginning", tolerated, r.initialTolerance)
		}
	}
}

// toleratedNow returns how many more machines, whichever they are, may be lost at once without the newest membership
// losing its quorum. Machines that are down count as lost.
func (r *lossRun) toleratedNow() int {
	members := r.newestMembership()
	alive := 0
	for _, member := range members {
		if node := r.node(controlclient.MemberAddr(member)); r.isHealthy(node) && node.shard.core.Self() == member && !r.isLostToPartition(node) {
			alive++
		}
	}
	return alive - (len(members)/2 + 1)
}

// isLostToPartition reports whether a machine is currently lost because of a partition.
func (r *lossRun) isLostToPartition(node *groupSimNode) bool {
	isPartitionedFrom := func(peer *groupSimNode) bool {
		return peer != node && r.partitioned[node.addr+">"+peer.addr] && r.partitioned[peer.addr+">"+node.addr]
	}
	return slices.ContainsFunc(r.nodes, isPartitionedFrom) && r.lostUntil[r.originOf(node)] > r.now
}

// newestMembership returns the members of the newest membership in the logs of all running machines.
func (r *lossRun) newestMembership() (members []string) {
	var term, index uint64
	for _, node := range r.nodes {
		if node.shard == nil {
			continue
		}
		if logMembers, logTerm, logIndex := node.shard.core.Members(); members == nil || logTerm > term || logTerm == term && logIndex > index {
			members, term, index = logMembers, logTerm, logIndex
		}
	}
	return members
}

// originOf returns the address of the machine that a node replaces, directly or through other replacements. It returns
// the node's own address if it replaces none.
func (r *lossRun) originOf(node *groupSimNode) string {
	if addr := r.originalAddrs[node.addr]; addr != "" {
		return addr
	}
	return node.addr
}

// lostNow returns the number of machines that currently count as lost according to the contract.
func (r *lossRun) lostNow() (count int) {
	for _, until := range r.lostUntil {
		if until > r.now {
			count++
		}
	}
	return count
}

// sparesReady reports whether all machines that are not members are learners that have caught up.
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

// isMember reports whether a machine runs and its incarnation belongs to the newest membership.
func (r *lossRun) isMember(node *groupSimNode) bool {
	return node.shard != nil && slices.Contains(r.newestMembership(), node.shard.core.Self())
}

// injectLoss makes a machine fail in the given way, and schedules its return or the start of its replacement.
func (r *lossRun) injectLoss(kind lossKind, node *groupSimNode) {
	returnsAt := r.now + lossDowntime
	r.tracef("inject loss: %s of %s", kind, node.addr)
	r.count("lost: " + string(kind))
	switch kind {
	case lossCrash:
		r.kill(node, true, lossDowntime)
	case lossWipe:
		if r.isMember(node) {
			r.destroyedVoters++
		}
		r.kill(node, true, lossDowntime)
		r.wipeDisk(node)
	case lossPartition:
		r.isolateUntil(node, returnsAt)
	case lossShutdown:
		r.shutDown(node, func() { r.kill(node, false, lossDowntime) })
		returnsAt += lossGracePeriod
	case lossReplace:
		r.replace(node)
		returnsAt = r.now
	case lossPlannedReplace:
		r.shutDown(node, func() { r.replace(node) })
		returnsAt += lossGracePeriod
	}
	r.lostUntil[r.originOf(node)] = returnsAt + catchUpTime
	r.lastReturnAt = max(r.lastReturnAt, returnsAt)
}

// replace removes a machine permanently and starts a new one in its place.
func (r *lossRun) replace(node *groupSimNode) {
	if r.isMember(node) {
		r.destroyedVoters++
	}
	r.kill(node, true, 0)
	node.isRemoved = true
	replacement := r.addNode()
	r.originalAddrs[replacement.addr] = r.originOf(node)
	r.start(replacement)
}

// isolateUntil partitions a machine from all others in both directions until the given time.
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

// shutDown simulates Node.leave: it stops the machine as soon as the group can continue without it, or after
// leaveTimeoutRatio of the grace period.
func (r *lossRun) shutDown(node *groupSimNode, stop func()) {
	generation, deadline, nextAttempt := node.generation, r.now+time.Duration(leaveTimeoutRatio*float64(lossGracePeriod)), r.now
	r.inProgress = append(r.inProgress, func() bool {
		if node.shard == nil || node.generation != generation {
			return false
		}
		if r.now < nextAttempt {
			return true
		}
		nextAttempt = r.now + leavePollInterval
		if r.now < deadline && !r.mayLeave(node) {
			return true
		}
		if node.shard == nil || node.generation != generation {
			return false // the process crashed during a write to its disk
		}
		r.tracef("%s stops after its shutdown", node.addr)
		// A machine that is shut down as planned counts as lost from its stop on.
		r.lostUntil[r.originOf(node)] = r.now + lossDowntime + catchUpTime
		r.lastReturnAt = r.now + lossDowntime
		stop()
		return false
	})
}

// waitUntil advances simulated time until a condition holds, but at most by the given duration. It returns the time
// that passed, and whether the condition holds. It stops early if a check has failed.
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

// advanceFor advances simulated time by a duration.
func (r *lossRun) advanceFor(duration time.Duration) {
	r.waitUntil(duration, func() bool { return false })
}

// awaitReturn advances simulated time until all lost machines have returned.
func (r *lossRun) awaitReturn() { r.advanceFor(max(0, r.lastReturnAt-r.now)) }

// awaitStart waits until a starting site is complete and acknowledges changes, and reports whether it does in time.
func (r *lossRun) awaitStart() bool {
	_, ok := r.waitUntil(maxStartTime, func() bool { return r.isComplete() && r.counts["acked"] > 2 })
	return ok
}

// acknowledgedSince returns a condition that holds once a change that was created at or after the given time is
// acknowledged.
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

// follower returns a healthy member that is not the leader and does not count as lost; nil if there is none.
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
