package controlstate

import (
	"time"

	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/wire"
)

// randomDuration draws a duration of at least a millisecond.
func (s *groupSim) randomDuration(limit time.Duration) time.Duration {
	return s.randomBelow(limit) + time.Millisecond
}

// eventDelay draws how long after its event a fault comes: 5 to 400 ms.
func (s *groupSim) eventDelay() time.Duration {
	return 5*time.Millisecond + s.randomBelow(396*time.Millisecond)
}

// simFault is a failure that may come at any moment, to any number of machines: nothing that was
// acknowledged may be lost by it.
type simFault struct {
	name   string
	weight int
	inject func(*groupSim, *groupSimNode)
}

// simFaults are drawn by weight.
var simFaults = []simFault{
	{"kill", 2, func(s *groupSim, node *groupSimNode) {
		s.tracef("kill %s", node.addr)
		s.kill(node, s.random.IntN(2) == 0, s.randomDuration(4*time.Second))
	}},
	{"all killed", 1, func(s *groupSim, _ *groupSimNode) { s.killAll(s.random.IntN(2) == 0) }},
	{"leader first, then all", 1, func(s *groupSim, _ *groupSimNode) { s.powerOffInTurn() }},
	{"leader killed after a change", 1, func(s *groupSim, node *groupSimNode) {
		s.eventHooks[eventChangeSent] = func() { s.schedule(s.eventDelay(), func() { s.killLeader(s.random.IntN(2) == 0) }) }
	}},
	{"all lose power after a change", 1, func(s *groupSim, _ *groupSimNode) {
		s.eventHooks[eventChangeSent] = func() { s.schedule(s.eventDelay(), func() { s.killAll(true) }) }
	}},
	{"leader isolated during a change", 2, func(s *groupSim, _ *groupSimNode) {
		s.eventHooks[eventChangeSent] = func() { s.schedule(s.randomDuration(20*time.Millisecond), s.isolateLeader) }
	}},
	{"freeze", 1, func(s *groupSim, node *groupSimNode) { s.freeze(node, s.randomDuration(5*time.Second)) }},
	{"one-way partition", 1, func(s *groupSim, node *groupSimNode) { s.partitioned[node.addr+">"+s.randomNode().addr] = true }},
	{"isolated", 1, func(s *groupSim, node *groupSimNode) {
		s.tracef("isolate %s", node.addr)
		s.isolate(s.partitioned, node, true, true)
	}},
	{"core in halves", 1, func(s *groupSim, _ *groupSimNode) {
		s.splitInHalves(s.partitioned)
		s.schedule(2*time.Second+s.randomDuration(6*time.Second), func() { clear(s.partitioned) })
	}},
	{"several out at once", 1, func(s *groupSim, _ *groupSimNode) { s.takeSeveralOut() }},
	{"partitions end", 2, func(s *groupSim, _ *groupSimNode) { clear(s.partitioned) }},
	{"crash in a write", 1, func(s *groupSim, node *groupSimNode) { node.disk.writesUntilCrash = s.random.IntN(6) }},
	{"full disk", 1, func(s *groupSim, node *groupSimNode) {
		s.tracef("the disk of %s is full, or is no longer", node.addr)
		node.disk.failWrites = !node.disk.failWrites
	}},
	{"slow disk", 1, func(s *groupSim, node *groupSimNode) { node.maxWriteTime = 30 * time.Millisecond }},
	{"stalled disk", 1, func(s *groupSim, node *groupSimNode) { node.maxWriteTime = 2 * time.Second }},
	{"disks are healthy", 1, func(s *groupSim, node *groupSimNode) { node.maxWriteTime = 0 }},
	{"leadership transfer", 1, func(s *groupSim, _ *groupSimNode) { s.transferLeadership() }},
	{"SIGTERM", 1, func(s *groupSim, node *groupSimNode) { s.terminate(node, s.randomDuration(time.Second)) }},
	{"messages lost", 1, func(s *groupSim, _ *groupSimNode) { s.lossRate = [...]float64{0, 0.05, 0.3}[s.random.IntN(3)] }},
}

// injectFault draws a fault by weight, and a node for it.
func (s *groupSim) injectFault() {
	total := 0
	for _, fault := range simFaults {
		total += fault.weight
	}
	drawn := s.random.IntN(total)
	for _, fault := range simFaults {
		if drawn -= fault.weight; drawn < 0 {
			s.count(fault.name)
			fault.inject(s, s.randomNode())
			return
		}
	}
}

// killAll kills all machines; with power, each loses what its disk hasn't synced.
func (s *groupSim) killAll(power bool) {
	s.tracef("all are killed, power %v", power)
	for _, node := range s.nodes {
		s.kill(node, power, s.randomDuration(time.Second))
	}
}

func (s *groupSim) killLeader(power bool) {
	if leader := s.leader(); leader != nil {
		s.tracef("kill the leader %s, power %v", leader.addr, power)
		s.kill(leader, power, s.randomDuration(3*time.Second))
	}
}

// powerOffInTurn cuts the power of all machines, one right after another, the leader's first.
func (s *groupSim) powerOffInTurn() {
	s.killLeader(true)
	delay := time.Duration(0)
	for _, node := range s.nodes {
		delay += s.randomDuration(100 * time.Millisecond)
		s.schedule(delay, func() { s.kill(node, true, s.randomDuration(time.Second)) })
	}
}

func (s *groupSim) freeze(node *groupSimNode, duration time.Duration) {
	node.frozenUntil = s.now + duration
	s.tracef("freeze %s until %v", node.addr, node.frozenUntil)
}

// isolate partitions the links from all others to a machine (inbound), from it to them, or both.
func (s *groupSim) isolate(links map[string]bool, node *groupSimNode, inbound, outbound bool) {
	for _, peer := range s.nodes {
		if peer == node {
			continue
		}
		if inbound {
			links[peer.addr+">"+node.addr] = true
		}
		if outbound {
			links[node.addr+">"+peer.addr] = true
		}
	}
}

// splitInHalves partitions the links between one half of the machines, drawn at random, and the other.
func (s *groupSim) splitInHalves(links map[string]bool) (half []*groupSimNode) {
	var nodes []*groupSimNode
	for _, index := range s.random.Perm(len(s.nodes)) {
		if node := s.nodes[index]; !node.isRemoved {
			nodes = append(nodes, node)
		}
	}
	half, others := nodes[:len(nodes)/2], nodes[len(nodes)/2:]
	s.tracef("the core is split: %d machines and %d", len(half), len(others))
	for _, node := range half {
		for _, peer := range others {
			links[node.addr+">"+peer.addr], links[peer.addr+">"+node.addr] = true, true
		}
	}
	return half
}

// takeSeveralOut kills, freezes or isolates more machines at once than the site tolerates. No disk is lost.
func (s *groupSim) takeSeveralOut() {
	for _, node := range s.nodes {
		switch s.random.IntN(5) {
		case 0, 1:
			s.kill(node, s.random.IntN(2) == 0, s.randomDuration(4*time.Second))
		case 2:
			s.freeze(node, s.randomDuration(4*time.Second))
		case 3:
			s.isolate(s.partitioned, node, true, s.random.IntN(2) == 0)
		}
	}
	s.schedule(s.randomDuration(4*time.Second), func() { clear(s.partitioned) })
}

// isolateLeader has the leader receive nothing for a few seconds; at times it can send.
func (s *groupSim) isolateLeader() {
	if leader := s.leader(); leader != nil {
		s.tracef("isolate the leader %s", leader.addr)
		s.isolate(s.partitioned, leader, true, s.random.IntN(2) == 0)
		s.schedule(s.randomDuration(4*time.Second), func() { clear(s.partitioned) })
	}
}

// transferLeadership has each node that leads transfer its leadership.
func (s *groupSim) transferLeadership() {
	for _, node := range s.nodes {
		if s.isHealthy(node) && node.shard.core.TransferLeadership() {
			s.runStep(node)
			s.count("leadership transferred")
		}
	}
}

// terminate shuts a process down as Node.leave does: it stops as soon as it may, or after a time-out.
func (s *groupSim) terminate(node *groupSimNode, downtime time.Duration) {
	const timeout = 3 * time.Second
	end, generation := s.now+timeout, node.generation
	s.tracef("SIGTERM to %s", node.addr)
	var leave func()
	leave = func() {
		if node.shard == nil || node.generation != generation {
			return
		}
		mayStop := s.isRunning(node) && (s.now >= end || s.mayLeave(node))
		if node.shard == nil || node.generation != generation {
			return // it crashed in a write
		}
		if mayStop {
			s.kill(node, false, downtime)
			return
		}
		s.schedule(leavePollInterval, leave)
	}
	leave()
}

// leavePollInterval is the pause of Node.leave between two attempts.
const leavePollInterval = 50 * time.Millisecond

// mayLeave is Node.tryLeave over the simulated network: it asks the member, and the leader that this
// one knows, whether it may stop.
func (s *groupSim) mayLeave(node *groupSimNode) bool {
	progress := node.shard.prepareToLeave()
	s.runStep(node)
	if progress.done || progress.isLeader || progress.leader == "" {
		return progress.done
	}
	leader := s.node(controlclient.MemberAddr(progress.leader))
	if !s.isHealthy(leader) || s.callFails(node.addr, leader.addr) {
		return false
	}
	response := leader.shard.handleJoin(&wire.JoinRequest{Name: progress.self, Leaving: true})
	s.runStep(leader)
	return response.Outcome == wire.OutcomeDone
}

// secondFaults are those that may come during a repair or a replacement. None destroys a disk.
var secondFaults = []simFault{
	{"kill the leader", 1, func(s *groupSim, _ *groupSimNode) { s.killLeader(false) }},
	{"the leader loses power", 1, func(s *groupSim, _ *groupSimNode) { s.killLeader(true) }},
	{"all lose power", 1, func(s *groupSim, _ *groupSimNode) { s.killAll(true) }},
	{"all lose power in turn", 1, func(s *groupSim, _ *groupSimNode) { s.powerOffInTurn() }},
	{"SIGTERM to the leader", 1, func(s *groupSim, _ *groupSimNode) {
		if leader := s.leader(); leader != nil {
			s.terminate(leader, s.randomDuration(time.Second))
		}
	}},
	{"freeze the leader", 1, func(s *groupSim, _ *groupSimNode) {
		if leader := s.leader(); leader != nil {
			s.freeze(leader, s.randomDuration(4*time.Second))
		}
	}},
	{"isolate the leader", 1, func(s *groupSim, _ *groupSimNode) { s.isolateLeader() }},
	{"the leader's disk stalls", 1, func(s *groupSim, _ *groupSimNode) {
		if leader := s.leader(); leader != nil {
			leader.maxWriteTime = 2 * time.Second
		}
	}},
	{"kill another", 1, func(s *groupSim, node *groupSimNode) { s.kill(node, false, s.randomDuration(3*time.Second)) }},
}

// secondFaultEvents are the events of a repair at which a second fault may come.
var secondFaultEvents = []string{eventChangeSent, eventAcknowledged, eventJoined, eventMembersChanged, eventNewLeader}

// armSecondFault has a second fault come at an event of the repair, or a moment after it.
func (s *groupSim) armSecondFault() {
	event, fault := secondFaultEvents[s.random.IntN(len(secondFaultEvents))], secondFaults[s.random.IntN(len(secondFaults))]
	delay := time.Duration(0)
	if s.random.IntN(2) == 0 {
		delay = s.eventDelay()
	}
	s.eventHooks[event] = func() {
		s.secondFaultInjected = true
		s.count("second fault: " + event)
		s.tracef("second fault at %q: %s, after %v", event, fault.name, delay)
		s.schedule(delay, func() { fault.inject(s, s.randomNode()) })
	}
}
