package controlstate

import (
	"slices"
	"strings"
	"time"

	"pebbleloom/internal/control/controlclient"
)

// longPartitionTime is how long a member stays isolated in longPartitionPhase.
const longPartitionTime = 20 * time.Second

// groupSimPhases are long sequences of faults; a run has one in each round, between single faults. The
// first is listed twice, so that all its forms come often enough.
var groupSimPhases = []struct {
	name string
	play func(*groupSim)
}{
	{"isolated for 20 s", (*groupSim).longPartitionPhase},
	{"isolated for 20 s", (*groupSim).longPartitionPhase},
	{"split in halves", (*groupSim).halvesPhase},
	{"storm of changes", (*groupSim).stormPhase},
	{"planned replacements", (*groupSim).plannedReplacementPhase},
	{"SIGTERM in turn", (*groupSim).rollingRestartPhase},
}

// longPartitionPhase isolates one member, most often the leader, in one direction or both, with
// operators and readers on both sides. Members of either side may be restarted, with seeds that name
// only the isolated one, and other faults may come.
func (s *groupSim) longPartitionPhase() {
	node := s.leader()
	if s.random.IntN(3) > 0 && node != nil {
		s.count("long isolation: the leader")
	} else {
		node = s.randomNode()
	}
	direction := s.random.IntN(4)
	s.isolate(s.longPartition, node, direction != 1, direction != 2)
	s.tracef("%s is isolated for long, direction %d", node.addr, direction)
	switch direction {
	case 1: // it can't send
		s.count("long isolation: can't send")
	case 2: // it can't receive
		s.count("long isolation: can't receive")
	default:
		s.count("long isolation: both directions")
		s.isolatedAddr, s.isolatedSince = node.addr, s.now
	}
	noOtherFaults := s.random.IntN(3) == 0
	if !noOtherFaults {
		s.scheduleRestarts(node)
	}
	served := s.timeToServe(longPartitionTime, !noOtherFaults)
	const bound = 8 * time.Second
	if noOtherFaults && (served == 0 || served > bound) {
		s.traceStatus()
		s.violationf("with %s isolated the others acknowledged after %v (0: never)", node.addr, served)
	}
	clear(s.longPartition)
	s.isolatedAddr = ""
}

// halvesPhase splits the core into halves for some seconds, whatever the site tolerates, with operators, readers and
// lease holders on both sides. If no other fault comes, a half that holds a majority of the members serves.
func (s *groupSim) halvesPhase() {
	const splitTime, servesWithin = 10 * time.Second, 8 * time.Second
	var members []string
	if leader := s.leader(); leader != nil {
		members, _, _ = leader.shard.core.Members()
	}
	half := s.splitInHalves(s.longPartition)
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
		s.violationf("split in halves, the one with a majority acknowledged after %v (0: never)", served)
	}
	if !hasMajority && noOtherFaults {
		s.count("halves without a majority")
	}
	clear(s.longPartition)
}

// timeToServe lets time pass, perhaps with single faults, and returns after how long changes were acknowledged; 0: never.
func (s *groupSim) timeToServe(duration time.Duration, withFaults bool) (served time.Duration) {
	begun, acked := s.now, s.ackedCount
	for s.now-begun < duration && len(s.violations) == 0 {
		s.actOnce(nil)
		if served == 0 && s.ackedCount > acked+2 {
			served = s.now - begun
		}
		if withFaults && s.random.IntN(500) == 0 {
			s.injectFault()
		}
	}
	return served
}

// scheduleRestarts has the isolated node, or some of the others, restart during the partition.
func (s *groupSim) scheduleRestarts(node *groupSimNode) {
	if s.random.IntN(2) == 0 {
		s.count("seeds name only the isolated")
		s.seeds = []string{node.addr}
	}
	if s.random.IntN(2) == 0 {
		s.schedule(s.randomDuration(longPartitionTime), func() {
			s.count("isolated node restarted")
			s.kill(node, s.random.IntN(2) == 0, s.randomDuration(time.Second))
		})
	}
	if s.random.IntN(2) == 0 {
		s.schedule(s.randomDuration(longPartitionTime), func() {
			s.count("other nodes restarted")
			for _, peer := range s.nodes {
				if peer != node && s.random.IntN(2) == 0 {
					s.kill(peer, s.random.IntN(2) == 0, s.randomDuration(time.Second))
				}
			}
		})
	}
}

// changeStorm is a sequence of changes, each sent as soon as the one before is acknowledged.
type changeStorm struct {
	remaining int
	change    *groupChange
	sentAt    time.Duration
}

// continueStorm sends the storm's next change; one that isn't acknowledged is retried a few times.
func (s *groupSim) continueStorm() {
	const retryAfter, maxAttempts = 300 * time.Millisecond, 3
	storm := s.storm
	leader := s.leader()
	if storm == nil || leader == nil || storm.change != nil && storm.change.ackedAt == 0 && s.now-storm.sentAt < retryAfter {
		return
	}
	if storm.change == nil || storm.change.ackedAt > 0 || storm.change.baseVersion != s.knownVersion || storm.change.attempts > maxAttempts {
		if storm.remaining--; storm.remaining < 0 {
			s.storm = nil
			return
		}
		s.count("changes of storms")
		storm.change = s.newChange(s.knownVersion + 1)
	}
	storm.sentAt = s.now
	s.sendChange(storm.change, leader, nil)
}

// stormPhase makes some hundred changes, with logs that are compacted often, while members restart;
// then one loses its disk and must catch up.
func (s *groupSim) stormPhase() {
	const minChanges, maxChanges, timeout = 100, 160, 25 * time.Second
	s.bodyPadding = strings.Repeat("x", s.random.IntN(200))
	s.storm = &changeStorm{remaining: minChanges + s.random.IntN(maxChanges-minChanges)}
	for end := s.now + timeout; s.storm != nil && s.now < end && len(s.violations) == 0; {
		s.actOnce(nil)
		switch s.random.IntN(400) {
		case 0:
			s.count("restart in a storm")
			s.kill(s.randomNode(), s.random.IntN(2) == 0, s.randomDuration(time.Second))
		case 1:
			s.count("stall in a storm")
			s.randomNode().maxWriteTime = [...]time.Duration{0, 30 * time.Millisecond}[s.random.IntN(2)]
		}
	}
	s.storm, s.bodyPadding = nil, ""
	s.awaitRecovery("after a storm")
	if len(s.violations) == 0 && s.isComplete() {
		node := s.randomNode()
		s.count("wiped after a storm")
		s.kill(node, false, s.randomDuration(time.Second))
		s.loseDisk(node)
	}
}

// plannedReplacementPhase replaces a machine as planned: a new one starts first, then the old one is
// shut down for good. The next one follows as soon as the group is complete again.
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
		s.tracef("%s is to be replaced", old.addr)
		s.runFor(s.randomDuration(2 * time.Second))
		s.secondFaultInjected = false
		if s.random.IntN(2) == 0 {
			s.armSecondFault()
		}
		s.terminate(old, time.Hour)
		s.runFor(3 * time.Second)
		if old.shard != nil { // it is still leaving, or frozen: the platform kills it after its grace time
			s.kill(old, true, time.Hour)
		}
		old.isRemoved = !s.secondFaultInjected
		if s.secondFaultInjected { // with both it would be two losses at once, and a site tolerates one
			s.count("planned replacement called off")
		}
		s.updateSeeds()
		s.awaitRecovery("after a planned replacement")
	}
}

// rollingRestartPhase shuts all machines down, one after the other, and starts each again.
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

// updateSeeds draws new seeds among the machines that aren't removed. Running processes learn of them, too
// (daemon.Process.OnSettingsChanged): otherwise machines that start with seeds among themselves would never hear of the rest.
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

// loseMachines destroys as many machines or disks of a complete group as a site tolerates at once: as
// soon as a change is acknowledged, or a moment after one was sent. The machines come back empty, or are
// replaced by others. A second fault, which destroys no disk, may come at some event of the repair.
func (s *groupSim) loseMachines() {
	lost := false
	s.slowAddr = s.randomNode().addr // it gets the newest change a little later than a majority
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
	acked := lose
	if s.random.IntN(3) == 0 {
		s.count("loss timed by a change")
		acked = nil
		s.eventHooks[eventChangeSent] = func() { s.schedule(s.eventDelay(), func() { lose(s.randomNode()) }) }
	}
	for end := s.now + 5*time.Second; !lost && s.now < end && len(s.violations) == 0; {
		s.actOnce(acked)
	}
	s.runFor(s.randomDuration(6 * time.Second))
}

// destroyDisks destroys the disks of as many machines as a site tolerates, preferred perhaps among
// them. At times all machines lose power at the same moment.
func (s *groupSim) destroyDisks(preferred *groupSimNode) {
	power, replace := s.random.IntN(2) == 0, s.random.IntN(3) == 0
	var victims []*groupSimNode
	for range s.toleratedLosses {
		node := s.randomNode()
		if s.random.IntN(2) == 0 && len(victims) == 0 {
			node = preferred
		}
		victims = append(victims, node)
	}
	for _, node := range s.nodes {
		if power {
			s.kill(node, true, s.randomDuration(time.Second))
		}
	}
	for _, node := range victims {
		if node.isRemoved {
			continue
		}
		s.kill(node, true, s.randomDuration(3*time.Second))
		if replace {
			s.tracef("%s is lost for good, power %v", node.addr, power)
			s.count("replaced")
			node.isRemoved = true
			s.updateSeeds()
			s.start(s.addNode())
			continue
		}
		s.tracef("%s loses its disk, power %v", node.addr, power)
		s.count("lost disk")
		s.loseDisk(node)
	}
}
