package controlstate

import (
	"slices"
	"strings"
	"time"

	"pebbleloom/internal/control/controlclient"
)

// longIsolationTime is the duration of the isolation in isolationPhase.
const longIsolationTime = 20 * time.Second

// groupSimPhases are longer scenarios, one of which is drawn for each round of a simulation. The first is listed twice, so
// that each of its variants occurs often enough.
var groupSimPhases = []struct {
	name     string
	simulate func(*groupSim)
}{
	{"isolated for 20 s", (*groupSim).isolationPhase},
	{"isolated for 20 s", (*groupSim).isolationPhase},
	{"split in halves", (*groupSim).splitPhase},
	{"sustained write load", (*groupSim).writeLoadPhase},
	{"planned replacements", (*groupSim).plannedReplacementPhase},
	{"SIGTERM in turn", (*groupSim).rollingRestartPhase},
}

// isolationPhase isolates one node, usually the leader, in one direction or both, while clients use the nodes on both
// sides. In two of three cases other faults occur as well, and nodes on either side may be restarted, possibly with the
// isolated node as the only seed. In the other case the remaining nodes have to serve within the bound.
func (s *groupSim) isolationPhase() {
	node := s.leader()
	if s.random.IntN(3) > 0 && node != nil {
		s.count("long isolation: leader")
	} else {
		node = s.randomNode()
	}
	direction := s.random.IntN(4)
	s.isolate(s.phasePartitions, node, direction != 1, direction != 2)
	s.tracef("isolate node %s for %v, inbound %v, outbound %v", node.addr, longIsolationTime, direction != 1, direction != 2)
	switch direction {
	case 1:
		s.count("long isolation: outbound")
	case 2:
		s.count("long isolation: inbound")
	default:
		s.count("long isolation: both directions")
		s.isolatedAddr, s.isolatedSince = node.addr, s.now
	}
	noOtherFaults := s.random.IntN(3) == 0
	if !noOtherFaults {
		s.scheduleRestarts(node)
	}
	served := s.timeToServe(longIsolationTime, !noOtherFaults)
	const bound = 8 * time.Second
	if noOtherFaults && (served == 0 || served > bound) {
		s.traceStatus()
		s.violationf("while node %s was isolated, the other nodes acknowledged changes after %v (0: never), want within %v", node.addr, served, bound)
	}
	clear(s.phasePartitions)
	s.isolatedAddr = ""
}

// splitPhase splits the site into two halves for some seconds, with clients on both sides, even if the site does not
// tolerate that. If no other fault occurs, a half with a majority of the members has to serve within the bound.
func (s *groupSim) splitPhase() {
	const splitTime, servesWithin = 10 * time.Second, 8 * time.Second
	var members []string
	if leader := s.leader(); leader != nil {
		members, _, _ = leader.shard.core.Members()
	}
	half := s.splitInHalves(s.phasePartitions)
	inHalf := 0
	for _, node := range half {
		if slices.ContainsFunc(members, func(member string) bool { return controlclient.MemberAddr(member) == node.addr }) {
			inHalf++
		}
	}
	hasMajority := 2*inHalf > len(members) || 2*(len(members)-inHalf) > len(members)
	noOtherFaults := s.random.IntN(2) == 0
	served := s.timeToServe(splitTime, !noOtherFaults)
	if hasMajority && noOtherFaults && (served == 0 || served > servesWithin) {
		s.traceStatus()
		s.violationf("while the site was split in halves, the half with a majority acknowledged changes after %v (0: never), want within %v", served, servesWithin)
	}
	if !hasMajority && noOtherFaults {
		s.count("split in halves without a majority")
	}
	clear(s.phasePartitions)
}

// timeToServe simulates clients for a duration, optionally with random faults. It returns the time after which three
// changes had been acknowledged; 0 if they were not.
func (s *groupSim) timeToServe(duration time.Duration, withFaults bool) (served time.Duration) {
	startedAt, acked := s.now, s.ackedCount
	for s.now-startedAt < duration && len(s.violations) == 0 {
		s.stepWithClients(nil)
		if served == 0 && s.ackedCount > acked+2 {
			served = s.now - startedAt
		}
		if withFaults && s.random.IntN(500) == 0 {
			s.injectFault()
		}
	}
	return served
}

// scheduleRestarts makes the isolated node or some of the others restart during the isolation, possibly with the isolated
// node as the only seed.
func (s *groupSim) scheduleRestarts(node *groupSimNode) {
	if s.random.IntN(2) == 0 {
		s.count("only seed is the isolated node")
		s.seeds = []string{node.addr}
	}
	if s.random.IntN(2) == 0 {
		s.schedule(s.randomDuration(longIsolationTime), func() {
			s.count("isolated node restarted")
			s.kill(node, s.random.IntN(2) == 0, s.randomDuration(time.Second))
		})
	}
	if s.random.IntN(2) == 0 {
		s.schedule(s.randomDuration(longIsolationTime), func() {
			s.count("other nodes restarted")
			for _, peer := range s.nodes {
				if peer != node && s.random.IntN(2) == 0 {
					s.kill(peer, s.random.IntN(2) == 0, s.randomDuration(time.Second))
				}
			}
		})
	}
}

// simWriteLoad is a sequence of changes, each of which is sent as soon as the previous one is acknowledged.
type simWriteLoad struct {
	remaining int // number of new changes that are still to be created
	change    *groupChange
	sentAt    time.Duration
}

// continueWriteLoad sends the next change of the write load, or retries the current one a few times until it is
// acknowledged.
func (s *groupSim) continueWriteLoad() {
	const retryAfter, maxAttempts = 300 * time.Millisecond, 3
	writeLoad := s.writeLoad
	leader := s.leader()
	if writeLoad == nil || leader == nil || writeLoad.change != nil && writeLoad.change.ackedAt == 0 && s.now-writeLoad.sentAt < retryAfter {
		return
	}
	if writeLoad.change == nil || writeLoad.change.ackedAt > 0 || writeLoad.change.baseVersion != s.knownVersion || writeLoad.change.attempts > maxAttempts {
		if writeLoad.remaining--; writeLoad.remaining < 0 {
			s.writeLoad = nil
			return
		}
		s.count("changes of a write load")
		writeLoad.change = s.newChange(s.knownVersion + 1)
	}
	writeLoad.sentAt = s.now
	s.sendChange(writeLoad.change, leader, nil)
}

// writeLoadPhase makes more than a hundred changes, during which logs are compacted and nodes restart. Then a node loses
// its disk and has to catch up.
func (s *groupSim) writeLoadPhase() {
	const minChanges, maxChanges, timeout = 100, 160, 25 * time.Second
	s.bodyPadding = strings.Repeat("x", s.random.IntN(200))
	s.writeLoad = &simWriteLoad{remaining: minChanges + s.random.IntN(maxChanges-minChanges)}
	for end := s.now + timeout; s.writeLoad != nil && s.now < end && len(s.violations) == 0; {
		s.stepWithClients(nil)
		switch s.random.IntN(400) {
		case 0:
			s.count("restart during a write load")
			s.kill(s.randomNode(), s.random.IntN(2) == 0, s.randomDuration(time.Second))
		case 1:
			s.count("slow disk during a write load")
			s.randomNode().maxWriteTime = [...]time.Duration{0, 30 * time.Millisecond}[s.random.IntN(2)]
		}
	}
	s.writeLoad, s.bodyPadding = nil, ""
	s.awaitRecovery("after a write load")
	if len(s.violations) == 0 && s.isComplete() {
		node := s.randomNode()
		s.count("disk lost after a write load")
		s.kill(node, false, s.randomDuration(time.Second))
		s.loseDisk(node)
	}
}

// plannedReplacementPhase performs one or two planned replacements of a node: a new node starts, then the old one is shut
// down permanently. The second replacement starts as soon as the group is complete again.
func (s *groupSim) plannedReplacementPhase() {
	for range 1 + s.random.IntN(2) {
		if len(s.violations) > 0 || !s.isComplete() {
			return
		}
		old := s.leader()
		if s.random.IntN(3) == 0 {
			old = s.randomNode()
		}
		if old.isRemoved || old.shard == nil {
			return
		}
		s.start(s.addNode())
		s.count("planned replacement")
		s.tracef("start planned replacement of node %s", old.addr)
		s.runFor(s.randomDuration(2 * time.Second))
		s.secondFaultInjected = false
		if s.random.IntN(2) == 0 {
			s.armSecondFault()
		}
		s.terminate(old, time.Hour)
		s.runFor(3 * time.Second)
		if old.shard != nil { // the shutdown is not finished: the platform kills the process at the end of its grace period
			s.kill(old, true, time.Hour)
		}
		old.isRemoved = !s.secondFaultInjected
		if s.secondFaultInjected { // the fault and the removal together could be one loss more than the site tolerates
			s.count("planned replacement canceled")
		}
		s.updateSeeds()
		s.awaitRecovery("after a planned replacement")
	}
}

// rollingRestartPhase restarts all nodes gracefully, one after the other.
func (s *groupSim) rollingRestartPhase() {
	for _, node := range s.nodes {
		if node.isRemoved || node.shard == nil {
			continue
		}
		s.count("SIGTERM in turn")
		s.terminate(node, s.randomDuration(time.Second))
		s.runFor(s.randomDuration(1500 * time.Millisecond))
		if s.random.IntN(6) == 0 {
			s.injectFault()
		}
	}
}

// updateSeeds draws new seeds among the nodes that are not permanently removed. Running processes get them as well, by
// daemon.Process.OnSettingsChanged. Otherwise nodes that start with only each other as seeds would never learn the
// addresses of the others.
func (s *groupSim) updateSeeds() {
	s.seeds = nil
	for _, index := range s.random.Perm(len(s.nodes)) {
		if node := s.nodes[index]; !node.isRemoved && len(s.seeds) < 3 {
			s.seeds = append(s.seeds, node.addr)
		}
	}
	for _, node := range s.nodes {
		for _, seed := range s.seeds {
			if node.knownAddrs != nil {
				node.knownAddrs[seed] = true
			}
		}
	}
}

// loseMachines destroys as many nodes or disks of a complete group as the site tolerates at once, either as soon as a
// change is acknowledged or shortly after one was sent. The nodes return with empty or corrupted disks, or are replaced by
// others. A second fault, which destroys no disk, may be triggered by an event of the repair.
func (s *groupSim) loseMachines() {
	lost := false
	s.slowAddr = s.randomNode().addr // this node gets the newest change later than a majority
	defer func() { s.slowAddr = "" }()
	lose := func(node *groupSimNode) {
		if lost {
			return
		}
		lost = true
		s.destroyDisks(node)
		if s.random.IntN(3) > 0 {
			s.armSecondFault()
		}
	}
	onAcked := lose
	if s.random.IntN(3) == 0 {
		s.count("loss triggered by a change")
		onAcked = nil
		s.eventHooks[eventChangeSent] = func() { s.schedule(s.eventDelay(), func() { lose(s.randomNode()) }) }
	}
	for end := s.now + 5*time.Second; !lost && s.now < end && len(s.violations) == 0; {
		s.stepWithClients(onAcked)
	}
	s.runFor(s.randomDuration(6 * time.Second))
}

// destroyDisks destroys the disks of as many nodes as the site tolerates to lose. The preferred node is the first of them
// in half of the cases. In half of the cases all nodes lose power at the same time.
func (s *groupSim) destroyDisks(preferred *groupSimNode) {
	powerLoss, replace := s.random.IntN(2) == 0, s.random.IntN(3) == 0
	var victims []*groupSimNode
	for range s.toleratedLosses {
		node := s.randomNode()
		if s.random.IntN(2) == 0 && len(victims) == 0 {
			node = preferred
		}
		victims = append(victims, node)
	}
	for _, node := range s.nodes {
		if powerLoss {
			s.kill(node, true, s.randomDuration(time.Second))
		}
	}
	for _, node := range victims {
		if node.isRemoved {
			continue
		}
		s.kill(node, true, s.randomDuration(3*time.Second))
		if replace {
			s.tracef("node %s is permanently lost, power loss of all nodes %v", node.addr, powerLoss)
			s.count("node replaced")
			node.isRemoved = true
			s.updateSeeds()
			s.start(s.addNode())
			continue
		}
		s.tracef("disk of node %s is lost, power loss of all nodes %v", node.addr, powerLoss)
		s.count("lost disk")
		s.loseDisk(node)
	}
}
