package controlstate

import (
	"time"

	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/wire"
)

// randomDuration draws a duration of at least 1 ms and less than the limit plus 1 ms.
func (s *groupSim) randomDuration(limit time.Duration) time.Duration {
	return s.randomBelow(limit) + time.Millisecond
}

// eventDelay draws the delay between an event and the fault that it triggers, about 5 to 400 ms.
func (s *groupSim) eventDelay() time.Duration {
	return 5*time.Millisecond + s.randomBelow(396*time.Millisecond)
}

// simFault is a fault that may occur at any time and affect any number of nodes without losing acknowledged changes.
type simFault struct {
	name   string
	weight int
	inject func(*groupSim, *groupSimNode)
}

// simFaults are the faults that the group simulator injects, each with a probability proportional to its weight.
var simFaults = []simFault{
	{"node killed", 2, func(s *groupSim, node *groupSimNode) {
		s.tracef("kill node %s", node.addr)
		s.kill(node, s.random.IntN(2) == 0, s.randomDuration(4*time.Second))
	}},
	{"all nodes killed", 1, func(s *groupSim, _ *groupSimNode) { s.killAll(s.random.IntN(2) == 0) }},
	{"power loss of the leader, then of all", 1, func(s *groupSim, _ *groupSimNode) { s.powerOffInTurn() }},
	{"leader killed after a change", 1, func(s *groupSim, node *groupSimNode) {
		s.eventHooks[eventChangeSent] = func() { s.schedule(s.eventDelay(), func() { s.killLeader(s.random.IntN(2) == 0) }) }
	}},
	{"power loss of all after a change", 1, func(s *groupSim, _ *groupSimNode) {
		s.eventHooks[eventChangeSent] = func() { s.schedule(s.eventDelay(), func() { s.killAll(true) }) }
	}},
	{"leader isolated during a change", 2, func(s *groupSim, _ *groupSimNode) {
		s.eventHooks[eventChangeSent] = func() { s.schedule(s.randomDuration(20*time.Millisecond), s.isolateLeader) }
	}},
	{"node frozen", 1, func(s *groupSim, node *groupSimNode) { s.freeze(node, s.randomDuration(5*time.Second)) }},
	{"one-way partition", 1, func(s *groupSim, node *groupSimNode) { s.partitioned[node.addr+">"+s.randomNode().addr] = true }},
	{"node isolated", 1, func(s *groupSim, node *groupSimNode) {
		s.tracef("isolate node %s", node.addr)
		s.isolate(s.partitioned, node, true, true)
	}},
	{"split in halves for seconds", 1, func(s *groupSim, _ *groupSimNode) {
		s.splitInHalves(s.partitioned)
		s.schedule(2*time.Second+s.randomDuration(6*time.Second), func() { clear(s.partitioned) })
	}},
	{"several nodes fail at once", 1, func(s *groupSim, _ *groupSimNode) { s.failSeveral() }},
	{"partitions end", 2, func(s *groupSim, _ *groupSimNode) { clear(s.partitioned) }},
	{"scheduled crash during a write", 1, func(s *groupSim, node *groupSimNode) { node.disk.writesUntilCrash = s.random.IntN(6) }},
	{"full disk", 1, func(s *groupSim, node *groupSimNode) {
		s.tracef("disk of node %s becomes full, or writable again if it was full", node.addr)
		node.disk.failWrites = !node.disk.failWrites
	}},
	{"slow disk", 1, func(s *groupSim, node *groupSimNode) { node.maxWriteTime = 30 * time.Millisecond }},
	{"stalled disk", 1, func(s *groupSim, node *groupSimNode) { node.maxWriteTime = 2 * time.Second }},
	{"slow or stalled disk recovers", 1, func(s *groupSim, node *groupSimNode) { node.maxWriteTime = 0 }},
	{"leadership transfer", 1, func(s *groupSim, _ *groupSimNode) { s.transferLeadership() }},
	{"SIGTERM", 1, func(s *groupSim, node *groupSimNode) { s.terminate(node, s.randomDuration(time.Second)) }},
	{"message loss rate changed", 1, func(s *groupSim, _ *groupSimNode) { s.lossRate = [...]float64{0, 0.05, 0.3}[s.random.IntN(3)] }},
}

// injectFault injects a fault that is drawn by weight into a random node.
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

// killAll kills all nodes. With powerLoss their disks also lose data that was not synced.
func (s *groupSim) killAll(powerLoss bool) {
	s.tracef("kill all nodes, power loss %v", powerLoss)
	for _, node := range s.nodes {
		s.kill(node, powerLoss, s.randomDuration(time.Second))
	}
}

// killLeader kills the process of the leader's node, if there is a leader.
func (s *groupSim) killLeader(powerLoss bool) {
	if leader := s.leader(); leader != nil {
		s.tracef("kill leader %s, power loss %v", leader.addr, powerLoss)
		s.kill(leader, powerLoss, s.randomDuration(3*time.Second))
	}
}

// powerOffInTurn makes all nodes lose power in close succession, the leader first.
func (s *groupSim) powerOffInTurn() {
	s.killLeader(true)
	delay := time.Duration(0)
	for _, node := range s.nodes {
		delay += s.randomDuration(100 * time.Millisecond)
		s.schedule(delay, func() { s.kill(node, true, s.randomDuration(time.Second)) })
	}
}

// freeze stops the process of a node for a duration.
func (s *groupSim) freeze(node *groupSimNode, duration time.Duration) {
	node.frozenUntil = s.now + duration
	s.tracef("freeze node %s until %v", node.addr, node.frozenUntil)
}

// isolate partitions the links of a node from all other nodes (inbound), to them (outbound), or both.
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

// splitInHalves partitions the links between a random half of the nodes, which it returns, and the other half.
func (s *groupSim) splitInHalves(links map[string]bool) (half []*groupSimNode) {
	var nodes []*groupSimNode
	for _, index := range s.random.Perm(len(s.nodes)) {
		if node := s.nodes[index]; !node.isRemoved {
			nodes = append(nodes, node)
		}
	}
	half, others := nodes[:len(nodes)/2], nodes[len(nodes)/2:]
	s.tracef("partition between two halves of the site, of %d and %d nodes", len(half), len(others))
	for _, node := range half {
		for _, peer := range others {
			links[node.addr+">"+peer.addr], links[peer.addr+">"+node.addr] = true, true
		}
	}
	return half
}

// failSeveral kills, freezes or isolates several nodes at once, possibly more than the site tolerates. No disk is lost.
func (s *groupSim) failSeveral() {
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

// isolateLeader partitions the links to the leader for a few seconds, and in half of the cases also those from it.
func (s *groupSim) isolateLeader() {
	if leader := s.leader(); leader != nil {
		s.tracef("isolate leader %s", leader.addr)
		s.isolate(s.partitioned, leader, true, s.random.IntN(2) == 0)
		s.schedule(s.randomDuration(4*time.Second), func() { clear(s.partitioned) })
	}
}

// transferLeadership makes each node that considers itself the leader transfer the leadership.
func (s *groupSim) transferLeadership() {
	for _, node := range s.nodes {
		if s.isHealthy(node) && node.shard.core.TransferLeadership() {
			s.runStep(node)
			s.count("leadership transferred")
		}
	}
}

// terminate shuts a process down like Node.leave: the process stops as soon as mayLeave permits it, or after a time-out.
// It is started again after the downtime.
func (s *groupSim) terminate(node *groupSimNode, downtime time.Duration) {
	const timeout = 3 * time.Second
	end, generation := s.now+timeout, node.generation
	s.tracef("send SIGTERM to node %s", node.addr)
	var leave func()
	leave = func() {
		if node.shard == nil || node.generation != generation {
			return
		}
		mayStop := s.isRunning(node) && (s.now >= end || s.mayLeave(node))
		if node.shard == nil || node.generation != generation {
			return // the process crashed during a write
		}
		if mayStop {
			s.kill(node, false, downtime)
			return
		}
		s.schedule(leavePollInterval, leave)
	}
	leave()
}

// leavePollInterval is the interval between attempts of Node.leave.
const leavePollInterval = 50 * time.Millisecond

// mayLeave performs Node.tryLeave over the simulated network: it asks the member, and then the leader that the member
// knows of, whether the member may stop.
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

// secondFaults are the faults that may occur while a lost group member is repaired or replaced. None of them destroys a disk.
var secondFaults = []simFault{
	{"kill the leader", 1, func(s *groupSim, _ *groupSimNode) { s.killLeader(false) }},
	{"power loss of the leader", 1, func(s *groupSim, _ *groupSimNode) { s.killLeader(true) }},
	{"power loss of all nodes", 1, func(s *groupSim, _ *groupSimNode) { s.killAll(true) }},
	{"power loss of all nodes in turn", 1, func(s *groupSim, _ *groupSimNode) { s.powerOffInTurn() }},
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
	{"stalled disk of the leader", 1, func(s *groupSim, _ *groupSimNode) {
		if leader := s.leader(); leader != nil {
			leader.maxWriteTime = 2 * time.Second
		}
	}},
	{"kill a random node", 1, func(s *groupSim, node *groupSimNode) { s.kill(node, false, s.randomDuration(3*time.Second)) }},
}

// secondFaultEvents are the events of a repair that may trigger a second fault.
var secondFaultEvents = []string{eventChangeSent, eventAcknowledged, eventJoined, eventMembersChanged, eventNewLeader}

// armSecondFault makes the next occurrence of a random event of the repair trigger a second fault, immediately or after
// a short delay.
func (s *groupSim) armSecondFault() {
	event, fault := secondFaultEvents[s.random.IntN(len(secondFaultEvents))], secondFaults[s.random.IntN(len(secondFaults))]
	delay := time.Duration(0)
	if s.random.IntN(2) == 0 {
		delay = s.eventDelay()
	}
	s.eventHooks[event] = func() {
		s.secondFaultInjected = true
		s.count("second fault: " + event)
		s.tracef("second fault, triggered by event %q: %s, in %v", event, fault.name, delay)
		s.schedule(delay, func() { fault.inject(s, s.randomNode()) })
	}
}
