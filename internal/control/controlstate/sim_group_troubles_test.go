package controlstate

import (
	"time"

	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/wire"
)

func (s *gsim) between(d time.Duration) time.Duration {
	return time.Duration(s.r.Int64N(int64(d))) + time.Millisecond
}

// soon is when a strike comes that is timed by an order: 5 to 400 ms after it was sent.
func (s *gsim) soon() time.Duration {
	return 5*time.Millisecond + time.Duration(s.r.Int64N(int64(396*time.Millisecond)))
}

// trouble is a failure that may come at any moment, to any number of machines: nothing that was
// acknowledged may be lost by it.
type trouble struct {
	name   string
	weight int
	strike func(*gsim, *gsimNode)
}

var troubles = []trouble{
	{"kill", 2, func(s *gsim, n *gsimNode) {
		s.note("kill %s", n.addr)
		s.kill(n, s.r.IntN(2) == 0, s.between(4*time.Second))
	}},
	{"all killed", 1, func(s *gsim, _ *gsimNode) { s.killAll(s.r.IntN(2) == 0) }},
	{"leader first, then all", 1, func(s *gsim, _ *gsimNode) { s.powerInTurn() }},
	{"killed soon after an order", 1, func(s *gsim, n *gsimNode) {
		s.armed["order sent"] = func() { s.later(s.soon(), func() { s.killLeader(s.r.IntN(2) == 0) }) }
	}},
	{"all lose power soon after an order", 1, func(s *gsim, _ *gsimNode) {
		s.armed["order sent"] = func() { s.later(s.soon(), func() { s.killAll(true) }) }
	}},
	{"cut off as an order is under way", 2, func(s *gsim, _ *gsimNode) {
		s.armed["order sent"] = func() { s.later(s.between(20*time.Millisecond), s.cutLeaderOff) }
	}},
	{"freeze", 1, func(s *gsim, n *gsimNode) { s.freeze(n, s.between(5*time.Second)) }},
	{"cut one way", 1, func(s *gsim, n *gsimNode) { s.cut[n.addr+">"+s.anyone().addr] = true }},
	{"cut off", 1, func(s *gsim, n *gsimNode) {
		s.note("cut off %s", n.addr)
		s.cutOff(s.cut, n, true, true)
	}},
	{"cuts end", 2, func(s *gsim, _ *gsimNode) { clear(s.cut) }},
	{"dies in a write", 1, func(s *gsim, n *gsimNode) { n.disk.dieIn = s.r.IntN(6) }},
	{"full disk", 1, func(s *gsim, n *gsimNode) {
		s.note("the disk of %s is full, or is no longer", n.addr)
		n.disk.fail = !n.disk.fail
	}},
	{"slow disk", 1, func(s *gsim, n *gsimNode) { n.stall = 30 * time.Millisecond }},
	{"stalled disk", 1, func(s *gsim, n *gsimNode) { n.stall = 2 * time.Second }},
	{"disks are well", 1, func(s *gsim, n *gsimNode) { n.stall = 0 }},
	{"hand over", 1, func(s *gsim, _ *gsimNode) { s.handOver() }},
	{"SIGTERM", 1, func(s *gsim, n *gsimNode) { s.terminate(n, s.between(time.Second)) }},
	{"messages lost", 1, func(s *gsim, _ *gsimNode) { s.loss = [...]float64{0, 0.05, 0.3}[s.r.IntN(3)] }},
}

// trouble brings one failure about.
func (s *gsim) trouble() {
	sum := 0
	for _, t := range troubles {
		sum += t.weight
	}
	k := s.r.IntN(sum)
	for _, t := range troubles {
		if k -= t.weight; k < 0 {
			s.count(t.name)
			t.strike(s, s.anyone())
			return
		}
	}
}

func (s *gsim) killAll(power bool) {
	s.note("all are killed, power %v", power)
	for _, n := range s.nodes {
		s.kill(n, power, s.between(time.Second))
	}
}

func (s *gsim) killLeader(power bool) {
	if l := s.leader(); l != nil {
		s.note("kill the leader %s, power %v", l.addr, power)
		s.kill(l, power, s.between(3*time.Second))
	}
}

// powerInTurn takes the power of all machines, one right after another, the leader's first.
func (s *gsim) powerInTurn() {
	s.killLeader(true)
	at := time.Duration(0)
	for _, n := range s.nodes {
		at += s.between(100 * time.Millisecond)
		s.later(at, func() { s.kill(n, true, s.between(time.Second)) })
	}
}

func (s *gsim) freeze(n *gsimNode, d time.Duration) {
	n.frozen = s.now + d
	s.note("freeze %s until %v", n.addr, n.frozen)
}

// cutOff cuts a machine off from all others, in one way or both.
func (s *gsim) cutOff(cut map[string]bool, n *gsimNode, hears, isHeard bool) {
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

// cutLeaderOff cuts the leader off for a few seconds: it is heard or not, but hears nobody.
func (s *gsim) cutLeaderOff() {
	if l := s.leader(); l != nil {
		s.note("cut the leader %s off", l.addr)
		s.cutOff(s.cut, l, true, s.r.IntN(2) == 0)
		s.later(s.between(4*time.Second), func() { clear(s.cut) })
	}
}

// handOver has whoever leads hand the group over.
func (s *gsim) handOver() {
	for _, n := range s.nodes {
		if s.well(n) && n.p.core.TransferLeadership() {
			s.after(n)
			s.count("handed over")
		}
	}
}

// terminate ends a process in order, as Node.leave does: it asks until it may stop, for a while.
func (s *gsim) terminate(n *gsimNode, back time.Duration) {
	const wait, pause = 3 * time.Second, 50 * time.Millisecond
	end, incarnation := s.now+wait, n.incarnation
	s.note("SIGTERM to %s", n.addr)
	var leave func()
	leave = func() {
		if n.p == nil || n.incarnation != incarnation {
			return
		}
		stops := s.up(n) && (s.now >= end || s.mayLeave(n))
		if n.p == nil || n.incarnation != incarnation {
			return // it died in a write
		}
		if stops {
			s.kill(n, false, back)
			return
		}
		s.later(pause, leave)
	}
	leave()
}

// mayLeave asks the member, and the leader that it knows, whether it may stop.
func (s *gsim) mayLeave(n *gsimNode) bool {
	at := n.p.prepareToLeave()
	s.after(n)
	if at.done || at.isLeader || at.leader == "" {
		return at.done
	}
	l := s.node(controlclient.MemberAddr(at.leader))
	if !s.well(l) || s.apart(n.addr, l.addr) {
		return false
	}
	t := l.p.handleJoin(&wire.JoinRequest{Name: at.self, Leaving: true})
	s.after(l)
	return t.Outcome == wire.OutcomeDone
}

// secondStrikes are what may hit while a repair or a replacement is under way. None takes a disk.
var secondStrikes = []trouble{
	{"kill the leader", 1, func(s *gsim, _ *gsimNode) { s.killLeader(false) }},
	{"the leader loses power", 1, func(s *gsim, _ *gsimNode) { s.killLeader(true) }},
	{"all lose power", 1, func(s *gsim, _ *gsimNode) { s.killAll(true) }},
	{"all lose power in turn", 1, func(s *gsim, _ *gsimNode) { s.powerInTurn() }},
	{"SIGTERM to the leader", 1, func(s *gsim, _ *gsimNode) {
		if l := s.leader(); l != nil {
			s.terminate(l, s.between(time.Second))
		}
	}},
	{"freeze the leader", 1, func(s *gsim, _ *gsimNode) {
		if l := s.leader(); l != nil {
			s.freeze(l, s.between(4*time.Second))
		}
	}},
	{"cut the leader off", 1, func(s *gsim, _ *gsimNode) { s.cutLeaderOff() }},
	{"the leader's disk stalls", 1, func(s *gsim, _ *gsimNode) {
		if l := s.leader(); l != nil {
			l.stall = 2 * time.Second
		}
	}},
	{"kill another", 1, func(s *gsim, n *gsimNode) { s.kill(n, false, s.between(3*time.Second)) }},
}

// events are the steps of a repair at which a second strike may come.
var events = []string{"order sent", "acknowledged", "taken in", "members change", "new leader"}

// armSecondStrike has a failure come at a step of what goes on, or a moment after it.
func (s *gsim) armSecondStrike() {
	at, x := events[s.r.IntN(len(events))], secondStrikes[s.r.IntN(len(secondStrikes))]
	delay := time.Duration(0)
	if s.r.IntN(2) == 0 {
		delay = s.soon()
	}
	s.armed[at] = func() {
		s.struck = true
		s.count("second strike: " + at)
		s.note("second strike at %q: %s, after %v", at, x.name, delay)
		s.later(delay, func() { x.strike(s, s.anyone()) })
	}
}
