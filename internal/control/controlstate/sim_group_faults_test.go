package controlstate

import (
	"time"

	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/wire"
)

func (s *groupSim) randomDuration(d time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(d))) + time.Millisecond
}

// eventDelay is when a strike comes that is timed by an order: 5 to 400 ms after it was sent.
func (s *groupSim) eventDelay() time.Duration {
	return 5*time.Millisecond + time.Duration(s.random.Int64N(int64(396*time.Millisecond)))
}

// injectFault is a failure that may come at any moment, to any number of machines: nothing that was
// acknowledged may be lost by it.
type simFault struct {
	name   string
	weight int
	inject func(*groupSim, *groupSimNode)
}

var simFaults = []simFault{
	{"kill", 2, func(s *groupSim, node *groupSimNode) {
		s.tracef("kill %s", node.addr)
		s.kill(node, s.random.IntN(2) == 0, s.randomDuration(4*time.Second))
	}},
	{"all killed", 1, func(s *groupSim, _ *groupSimNode) { s.killAll(s.random.IntN(2) == 0) }},
	{"leader first, then all", 1, func(s *groupSim, _ *groupSimNode) { s.powerOffInTurn() }},
	{"killed soon after an order", 1, func(s *groupSim, node *groupSimNode) {
		s.eventHooks["order sent"] = func() { s.schedule(s.eventDelay(), func() { s.killLeader(s.random.IntN(2) == 0) }) }
	}},
	{"all lose power soon after an order", 1, func(s *groupSim, _ *groupSimNode) {
		s.eventHooks["order sent"] = func() { s.schedule(s.eventDelay(), func() { s.killAll(true) }) }
	}},
	{"cut off as an order is under way", 2, func(s *groupSim, _ *groupSimNode) {
		s.eventHooks["order sent"] = func() { s.schedule(s.randomDuration(20*time.Millisecond), s.isolateLeader) }
	}},
	{"freeze", 1, func(s *groupSim, node *groupSimNode) { s.freeze(node, s.randomDuration(5*time.Second)) }},
	{"cut one way", 1, func(s *groupSim, node *groupSimNode) { s.partitioned[node.addr+">"+s.randomNode().addr] = true }},
	{"cut off", 1, func(s *groupSim, node *groupSimNode) {
		s.tracef("cut off %s", node.addr)
		s.isolate(s.partitioned, node, true, true)
	}},
	{"cuts end", 2, func(s *groupSim, _ *groupSimNode) { clear(s.partitioned) }},
	{"dies in a write", 1, func(s *groupSim, node *groupSimNode) { node.disk.writesUntilCrash = s.random.IntN(6) }},
	{"full disk", 1, func(s *groupSim, node *groupSimNode) {
		s.tracef("the disk of %s is full, or is no longer", node.addr)
		node.disk.failWrites = !node.disk.failWrites
	}},
	{"slow disk", 1, func(s *groupSim, node *groupSimNode) { node.maxWriteTime = 30 * time.Millisecond }},
	{"stalled disk", 1, func(s *groupSim, node *groupSimNode) { node.maxWriteTime = 2 * time.Second }},
	{"disks are well", 1, func(s *groupSim, node *groupSimNode) { node.maxWriteTime = 0 }},
	{"hand over", 1, func(s *groupSim, _ *groupSimNode) { s.transferLeadership() }},
	{"SIGTERM", 1, func(s *groupSim, node *groupSimNode) { s.terminate(node, s.randomDuration(time.Second)) }},
	{"messages lost", 1, func(s *groupSim, _ *groupSimNode) { s.lossRate = [...]float64{0, 0.05, 0.3}[s.random.IntN(3)] }},
}

// injectFault brings one failure about.
func (s *groupSim) injectFault() {
	sum := 0
	for _, fault := range simFaults {
		sum += fault.weight
	}
	k := s.random.IntN(sum)
	for _, fault := range simFaults {
		if k -= fault.weight; k < 0 {
			s.count(fault.name)
			fault.inject(s, s.randomNode())
			return
		}
	}
}

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

// powerOffInTurn takes the power of all machines, one right after another, the leader's first.
func (s *groupSim) powerOffInTurn() {
	s.killLeader(true)
	at := time.Duration(0)
	for _, node := range s.nodes {
		at += s.randomDuration(100 * time.Millisecond)
		s.schedule(at, func() { s.kill(node, true, s.randomDuration(time.Second)) })
	}
}

func (s *groupSim) freeze(node *groupSimNode, d time.Duration) {
	node.frozenUntil = s.now + d
	s.tracef("freeze %s until %v", node.addr, node.frozenUntil)
}

// isolate cuts a machine off from all others, in one way or both.
func (s *groupSim) isolate(cut map[string]bool, node *groupSimNode, hears, isHeard bool) {
	for _, peer := range s.nodes {
		if peer == node {
			continue
		}
		if hears {
			cut[peer.addr+">"+node.addr] = true
		}
		if isHeard {
			cut[node.addr+">"+peer.addr] = true
		}
	}
}

// isolateLeader cuts the leader off for a few seconds: it is heard or not, but hears nobody.
func (s *groupSim) isolateLeader() {
	if leader := s.leader(); leader != nil {
		s.tracef("cut the leader %s off", leader.addr)
		s.isolate(s.partitioned, leader, true, s.random.IntN(2) == 0)
		s.schedule(s.randomDuration(4*time.Second), func() { clear(s.partitioned) })
	}
}

// transferLeadership has whoever leads hand the group over.
func (s *groupSim) transferLeadership() {
	for _, node := range s.nodes {
		if s.isHealthy(node) && node.shard.core.TransferLeadership() {
			s.runStep(node)
			s.count("handed over")
		}
	}
}

// terminate ends a process in order, as Node.leave does: it asks until it may stop, for a while.
func (s *groupSim) terminate(node *groupSimNode, back time.Duration) {
	const wait, pause = 3 * time.Second, 50 * time.Millisecond
	end, incarnation := s.now+wait, node.generation
	s.tracef("SIGTERM to %s", node.addr)
	var leave func()
	leave = func() {
		if node.shard == nil || node.generation != incarnation {
			return
		}
		stops := s.isRunning(node) && (s.now >= end || s.mayLeave(node))
		if node.shard == nil || node.generation != incarnation {
			return // it died in a write
		}
		if stops {
			s.kill(node, false, back)
			return
		}
		s.schedule(pause, leave)
	}
	leave()
}

// mayLeave asks the member, and the leader that it knows, whether it may stop.
func (s *groupSim) mayLeave(node *groupSimNode) bool {
	at := node.shard.prepareToLeave()
	s.runStep(node)
	if at.done || at.isLeader || at.leader == "" {
		return at.done
	}
	leader := s.node(controlclient.MemberAddr(at.leader))
	if !s.isHealthy(leader) || s.callFails(node.addr, leader.addr) {
		return false
	}
	response := leader.shard.handleJoin(&wire.JoinRequest{Name: at.self, Leaving: true})
	s.runStep(leader)
	return response.Outcome == wire.OutcomeDone
}

// secondFaults are what may hit while a repair or a replacement is under way. None takes a disk.
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
	{"cut the leader off", 1, func(s *groupSim, _ *groupSimNode) { s.isolateLeader() }},
	{"the leader's disk stalls", 1, func(s *groupSim, _ *groupSimNode) {
		if leader := s.leader(); leader != nil {
			leader.maxWriteTime = 2 * time.Second
		}
	}},
	{"kill another", 1, func(s *groupSim, node *groupSimNode) { s.kill(node, false, s.randomDuration(3*time.Second)) }},
}

// secondFaultEvents are the steps of a repair at which a second strike may come.
var secondFaultEvents = []string{"order sent", "acknowledged", "taken in", "members change", "new leader"}

// armSecondFault has a failure come at a step of what goes on, or a moment after it.
func (s *groupSim) armSecondFault() {
	at, fault := secondFaultEvents[s.random.IntN(len(secondFaultEvents))], secondFaults[s.random.IntN(len(secondFaults))]
	delay := time.Duration(0)
	if s.random.IntN(2) == 0 {
		delay = s.eventDelay()
	}
	s.eventHooks[at] = func() {
		s.secondFaultInjected = true
		s.count("second strike: " + at)
		s.tracef("second strike at %q: %s, after %v", at, fault.name, delay)
		s.schedule(delay, func() { fault.inject(s, s.randomNode()) })
	}
}
