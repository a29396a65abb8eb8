package controlstate

import (
	"strings"
	"time"
)

// longPartitionTime is how long a member stays cut off in the phase that is about that.
const longPartitionTime = 20 * time.Second

// groupSimPhases are the worst days of a group; each run has two of them, between its common troubles. The
// first stands twice, so that all its forms come often enough.
var groupSimPhases = []struct {
	name string
	play func(*groupSim)
}{
	{"cut off for 20 s", (*groupSim).longPartitionPhase},
	{"cut off for 20 s", (*groupSim).longPartitionPhase},
	{"storm of changes", (*groupSim).stormPhase},
	{"planned replacements", (*groupSim).plannedReplacementPhase},
	{"SIGTERM in turn", (*groupSim).rollingRestartPhase},
}

// longPartitionPhase cuts one member, the leader more often than not, off for twenty seconds, in one way
// or both, with operators and readers on both sides. Members of either side may be restarted, with
// seeds that name only those cut off; other troubles may come on top.
func (s *groupSim) longPartitionPhase() {
	node := s.leader()
	if s.random.IntN(3) > 0 && node != nil {
		s.count("long cut: the leader")
	} else {
		node = s.randomNode()
	}
	way := s.random.IntN(4)
	s.isolate(s.longPartition, node, way != 1, way != 2)
	s.tracef("%s is cut off for long, way %d", node.addr, way)
	switch way {
	case 1:
		s.count("long cut: not heard")
	case 2:
		s.count("long cut: hears nothing")
	default:
		s.count("long cut: both ways")
		s.isolatedAddr, s.isolatedSince = node.addr, s.now
	}
	calm := s.random.IntN(3) == 0
	if !calm {
		s.scheduleRestarts(node)
	}
	begin, acked, served := s.now, s.ackedCount, time.Duration(0)
	for s.now-begin < longPartitionTime && len(s.violations) == 0 {
		s.actOnce(nil)
		if served == 0 && s.ackedCount > acked+2 {
			served = s.now - begin
		}
		if !calm && s.random.IntN(500) == 0 {
			s.injectFault()
		}
	}
	const bound = 8 * time.Second
	if calm && (served == 0 || served > bound) {
		s.traceStatus()
		s.violationf("with %s cut off the others acknowledged after %v (0: never)", node.addr, served)
	}
	clear(s.longPartition)
	s.isolatedAddr = ""
}

// scheduleRestarts restarts those cut off, or some of the others, at moments of the cut.
func (s *groupSim) scheduleRestarts(node *groupSimNode) {
	if s.random.IntN(2) == 0 {
		s.count("seeds name only those cut off")
		s.seeds = []string{node.addr}
	}
	if s.random.IntN(2) == 0 {
		s.schedule(s.randomDuration(longPartitionTime), func() {
			s.count("restarted on the cut side")
			s.kill(node, s.random.IntN(2) == 0, s.randomDuration(time.Second))
		})
	}
	if s.random.IntN(2) == 0 {
		s.schedule(s.randomDuration(longPartitionTime), func() {
			s.count("restarted on the other side")
			for _, peer := range s.nodes {
				if peer != node && s.random.IntN(2) == 0 {
					s.kill(peer, s.random.IntN(2) == 0, s.randomDuration(time.Second))
				}
			}
		})
	}
}

// changeStorm is a run of changes, each sent as soon as the one before is acknowledged.
type changeStorm struct {
	remaining int
	change    *groupChange
	sentAt    time.Duration
}

// next sends the storm's next change; one that isn't acknowledged is sent again for a while.
func (s *groupSim) continueStorm() {
	const again, enough = 300 * time.Millisecond, 3
	storm := s.storm
	leader := s.leader()
	if storm == nil || leader == nil || storm.change != nil && storm.change.ackedAt == 0 && s.now-storm.sentAt < again {
		return
	}
	if storm.change == nil || storm.change.ackedAt > 0 || storm.change.baseVersion != s.knownVersion || storm.change.attempts > enough {
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
// then one loses its disk, and must catch up.
func (s *groupSim) stormPhase() {
	const least, most, longest = 100, 160, 25 * time.Second
	s.bodyPadding = strings.Repeat("x", s.random.IntN(200))
	s.storm = &changeStorm{remaining: least + s.random.IntN(most-least)}
	for end := s.now + longest; s.storm != nil && s.now < end && len(s.violations) == 0; {
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
		s.wipeDisk(node)
	}
}

// plannedReplacementPhase replaces a machine as planned: a new one starts first, then the old one is told to
// end, and is gone for good. The next one follows as soon as the group is whole again.
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
		if old.shard != nil { // it is still handing over, or frozen: the platform's patience ends
			s.kill(old, true, time.Hour)
		}
		if old.isRemoved = !s.secondFaultInjected; s.secondFaultInjected { // with another loss at once it isn't taken away yet: a site bears one
			s.count("planned replacement called off")
		}
		s.updateSeeds()
		s.awaitRecovery("after a planned replacement")
	}
}

// rollingRestartPhase tells all to end, one after the other, and starts each again.
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

// updateSeeds has the seeds name machines that there are.
func (s *groupSim) updateSeeds() {
	s.seeds = nil
	for _, i := range s.random.Perm(len(s.nodes)) {
		if node := s.nodes[i]; !node.isRemoved && len(s.seeds) < 3 {
			s.seeds = append(s.seeds, node.addr)
		}
	}
}

// loseMachines takes as many machines or disks as a site bears at once, out of a whole group: wiped as
// soon as a change is acknowledged, or a moment after one was sent; or replaced by empty machines
// at other addresses. A second strike, which takes no disk, comes at some step of the repair.
func (s *groupSim) loseMachines() {
	struck := false
	s.slowAddr = s.randomNode().addr // it holds the newest a little later than a majority
	defer func() { s.slowAddr = "" }()
	strike := func(struckNode *groupSimNode) {
		if struck {
			return
		}
		struck = true
		s.destroyDisks(struckNode)
		if s.random.IntN(3) > 0 {
			s.armSecondFault()
		}
	}
	acked := strike
	if s.random.IntN(3) == 0 {
		s.count("loss timed by an order's sending")
		acked = nil
		s.eventHooks["order sent"] = func() { s.schedule(s.eventDelay(), func() { strike(s.randomNode()) }) }
	}
	for end := s.now + 5*time.Second; !struck && s.now < end && len(s.violations) == 0; {
		s.actOnce(acked)
	}
	s.runFor(s.randomDuration(6 * time.Second))
}

func (s *groupSim) destroyDisks(struckNode *groupSimNode) {
	power, replace := s.random.IntN(2) == 0, s.random.IntN(3) == 0
	var hit []*groupSimNode
	for range s.toleratedLosses {
		node := s.randomNode()
		if s.random.IntN(2) == 0 && len(hit) == 0 {
			node = struckNode
		}
		hit = append(hit, node)
	}
	for _, node := range s.nodes {
		if power {
			s.kill(node, true, s.randomDuration(time.Second))
		}
	}
	for _, node := range hit {
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
		s.wipeDisk(node)
	}
}
