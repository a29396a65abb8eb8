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
	{"kill", 2, func(s *groupSim, n *groupSimNode) {
		s.tracef("kill %s", n.addr)
		s.kill(n, s.random.IntN(2) == 0, s.randomDuration(4*time.Second))
	}},
	{"all killed", 1, func(s *groupSim, _ *groupSimNode) { s.killAll(s.random.IntN(2) == 0) }},
	{"leader first, then all", 1, func(s *groupSim, _ *groupSimNode) { s.powerOffInTurn() }},
	{"killed soon after an order", 1, func(s *groupSim, n *groupSimNode) {
		s.eventHooks["order sent"] = func() { s.schedule(s.eventDelay(), func() { s.killLeader(s.random.IntN(2) == 0) }) }
	}},
	{"all lose power soon after an order", 1, func(s *groupSim, _ *groupSimNode) {
		s.eventHooks["order sent"] = func() { s.schedule(s.eventDelay(), func() { s.killAll(true) }) }
	}},
	{"cut off as an order is under way", 2, func(s *groupSim, _ *groupSimNode) {
		s.eventHooks["order sent"] = func() { s.schedule(s.randomDuration(20*time.Millisecond), s.isolateLeader) }
	}},
	{"freeze", 1, func(s *groupSim, n *groupSimNode) { s.freeze(n, s.randomDuration(5*time.Second)) }},
	{"cut one way", 1, func(s *groupSim, n *groupSimNode) { s.partitioned[n.addr+">"+s.randomNode().addr] = true }},
	{"cut off", 1, func(s *groupSim, n *groupSimNode) {
		s.tracef("cut off %s", n.addr)
		s.isolate(s.partitioned, n, true, true)
	}},
	{"cuts end", 2, func(s *groupSim, _ *groupSimNode) { clear(s.partitioned) }},
	{"dies in a write", 1, func(s *groupSim, n *groupSimNode) { n.disk.writesUntilCrash = s.random.IntN(6) }},
	{"full disk", 1, func(s *groupSim, n *groupSimNode) {
		s.tracef("the disk of %s is full, or is no longer", n.addr)
		n.disk.failWrites = !n.disk.failWrites
	}},
	{"slow disk", 1, func(s *groupSim, n *groupSimNode) { n.maxWriteTime = 30 * time.Millisecond }},
	{"stalled disk", 1, func(s *groupSim, n *groupSimNode) { n.maxWriteTime = 2 * time.Second }},
	{"disks are well", 1, func(s *groupSim, n *groupSimNode) { n.maxWriteTime = 0 }},
	{"hand over", 1, func(s *groupSim, _ *groupSimNode) { s.transferLeadership() }},
	{"SIGTERM", 1, func(s *groupSim, n *groupSimNode) { s.terminate(n, s.randomDuration(time.Second)) }},
	{"messages lost", 1, func(s *groupSim, _ *groupSimNode) { s.lossRate = [...]float64{0, 0.05, 0.3}[s.random.IntN(3)] }},
}

// injectFault brings one failure about.
func (s *groupSim) injectFault() {
	sum := 0
	for _, t := range simFaults {
		sum += t.weight
	}
	k := s.random.IntN(sum)
	for _, t := range simFaults {
		if k -= t.weight; k < 0 {
			s.count(t.name)
			t.inject(s, s.randomNode())
			return
		}
	}
}

func (s *groupSim) killAll(power bool) {
	s.tracef("all are killed, power %v", power)
	for _, n := range s.nodes {
		s.kill(n, power, s.randomDuration(time.Second))
	}
}

func (s *groupSim) killLeader(power bool) {
	if l := s.leader(); l != nil {
		s.tracef("kill the leader %s, power %v", l.addr, power)
		s.kill(l, power, s.randomDuration(3*time.Second))
	}
}

// powerOffInTurn takes the power of all machines, one right after another, the leader's first.
func (s *groupSim) powerOffInTurn() {
	s.killLeader(true)
	at := time.Duration(0)
	for _, n := range s.nodes {
		at += s.randomDuration(100 * time.Millisecond)
		s.schedule(at, func() { s.kill(n, true, s.randomDuration(time.Second)) })
	}
}

func (s *groupSim) freeze(n *groupSimNode, d time.Duration) {
	n.frozenUntil = s.now + d
	s.tracef("freeze %s until %v", n.addr, n.frozenUntil)
}

// isolate cuts a machine off from all others, in one way or both.
func (s *groupSim) isolate(cut map[string]bool, n *groupSimNode, hears, isHeard bool) {
	for _, m := range s.nodes {
		if m == n {
			continue
		}
		if hears {
			cut[m.addr+">"+n.addr] = true
		}
		if isHeard {
			cut[n.addr+">"+m.addr] = true
		}
	}
}

// isolateLeader cuts the leader off for a few seconds: it is heard or not, but hears nobody.
func (s *groupSim) isolateLeader() {
	if l := s.leader(); l != nil {
		s.tracef("cut the leader %s off", l.addr)
		s.isolate(s.partitioned, l, true, s.random.IntN(2) == 0)
		s.schedule(s.randomDuration(4*time.Second), func() { clear(s.partitioned) })
	}
}

// transferLeadership has whoever leads hand the group over.
func (s *groupSim) transferLeadership() {
	for _, n := range s.nodes {
		if s.isHealthy(n) && n.shard.core.TransferLeadership() {
			s.runStep(n)
			s.count("handed over")
		}
	}
}

// terminate ends a process in order, as Node.leave does: it asks until it may stop, for a while.
func (s *groupSim) terminate(n *groupSimNode, back time.Duration) {
	const wait, pause = 3 * time.Second, 50 * time.Millisecond
	end, incarnation := s.now+wait, n.generation
	s.tracef("SIGTERM to %s", n.addr)
	var leave func()
	leave = func() {
		if n.shard == nil || n.generation != incarnation {
			return
		}
		stops := s.isRunning(n) && (s.now >= end || s.mayLeave(n))
		if n.shard == nil || n.generation != incarnation {
			return // it died in a write
		}
		if stops {
			s.kill(n, false, back)
			return
		}
		s.schedule(pause, leave)
	}
	leave()
}

// mayLeave asks the member, and the leader that it knows, whether it may stop.
func (s *groupSim) mayLeave(n *groupSimNode) bool {
	at := n.shard.prepareToLeave()
	s.runStep(n)
	if at.done || at.isLeader || at.leader == "" {
		return at.done
	}
	l := s.node(controlclient.MemberAddr(at.leader))
	if !s.isHealthy(l) || s.callFails(n.addr, l.addr) {
		return false
	}
	t := l.shard.handleJoin(&wire.JoinRequest{Name: at.self, Leaving: true})
	s.runStep(l)
	return t.Outcome == wire.OutcomeDone
}

// secondFaults are what may hit while a repair or a replacement is under way. None takes a disk.
var secondFaults = []simFault{
	{"kill the leader", 1, func(s *groupSim, _ *groupSimNode) { s.killLeader(false) }},
	{"the leader loses power", 1, func(s *groupSim, _ *groupSimNode) { s.killLeader(true) }},
	{"all lose power", 1, func(s *groupSim, _ *groupSimNode) { s.killAll(true) }},
	{"all lose power in turn", 1, func(s *groupSim, _ *groupSimNode) { s.powerOffInTurn() }},
	{"SIGTERM to the leader", 1, func(s *groupSim, _ *groupSimNode) {
		if l := s.leader(); l != nil {
			s.terminate(l, s.randomDuration(time.Second))
		}
	}},
	{"freeze the leader", 1, func(s *groupSim, _ *groupSimNode) {
		if l := s.leader(); l != nil {
			s.freeze(l, s.randomDuration(4*time.Second))
		}
	}},
	{"cut the leader off", 1, func(s *groupSim, _ *groupSimNode) { s.isolateLeader() }},
	{"the leader's disk stalls", 1, func(s *groupSim, _ *groupSimNode) {
		if l := s.leader(); l != nil {
			l.maxWriteTime = 2 * time.Second
		}
	}},
	{"kill another", 1, func(s *groupSim, n *groupSimNode) { s.kill(n, false, s.randomDuration(3*time.Second)) }},
}

// secondFaultEvents are the steps of a repair at which a second strike may come.
var secondFaultEvents = []string{"order sent", "acknowledged", "taken in", "members change", "new leader"}

// armSecondFault has a failure come at a step of what goes on, or a moment after it.
func (s *groupSim) armSecondFault() {
	at, x := secondFaultEvents[s.random.IntN(len(secondFaultEvents))], secondFaults[s.random.IntN(len(secondFaults))]
	delay := time.Duration(0)
	if s.random.IntN(2) == 0 {
		delay = s.eventDelay()
	}
	s.eventHooks[at] = func() {
		s.secondFaultInjected = true
		s.count("second strike: " + at)
		s.tracef("second strike at %q: %s, after %v", at, x.name, delay)
		s.schedule(delay, func() { x.inject(s, s.randomNode()) })
	}
}
