package controlstate

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"google.golang.org/protobuf/proto"

	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/queue"
	"pebbleloom/internal/wire"
)

// send puts a message on its way: it may be lost, late, doubled, out of order.
func (s *groupSim) send(l *wire.Message) {
	from, to := controlclient.MemberAddr(l.From), controlclient.MemberAddr(l.To)
	if s.isPartitioned(from, to) || s.random.Float64() < s.lossRate {
		s.reportLost(s.node(from), l)
		return
	}
	d := time.Duration(s.random.Int64N(int64(4 * time.Millisecond)))
	if s.random.IntN(50) == 0 {
		d = time.Duration(s.random.Int64N(int64(time.Second)))
	}
	if to == s.slowAddr {
		d += 100 * time.Millisecond
	}
	if n := s.node(from); n.frozenUntil > s.now {
		d += n.frozenUntil - s.now
	}
	for range 1 + s.random.IntN(50)/49 {
		s.sentMessages++
		s.inFlight = append(s.inFlight, simMessage{s.now + time.Millisecond + d, s.sentMessages, proto.Clone(l).(*wire.Message)})
		d *= 2
	}
}

// reportLost has the sender's transport give up a message after its time, most often.
func (s *groupSim) reportLost(n *groupSimNode, l *wire.Message) {
	const sendTime = 500 * time.Millisecond
	incarnation, m := n.generation, proto.Clone(l).(*wire.Message)
	if !s.allFaults || s.random.IntN(4) == 0 {
		return
	}
	s.schedule(sendTime, func() {
		if n.generation == incarnation && s.isHealthy(n) {
			s.count("message reported lost")
			n.shard.core.ReportSendFailure(m)
			s.runStep(n)
		}
	})
}

// runStep lets a node act on what it was given, and dies with it where its disk says so.
func (s *groupSim) runStep(n *groupSimNode) {
	if n.shard.handleReady(); n.disk.crashed {
		s.tracef("%s dies in a write", n.addr)
		s.count("died in a write")
		s.kill(n, s.random.IntN(2) == 0, time.Duration(s.random.Int64N(int64(2*time.Second))))
	}
}

// schedule has something done after a while.
func (s *groupSim) schedule(d time.Duration, do func()) {
	s.timers = append(s.timers, simTimer{s.now + d, do})
}

// fireEvent strikes with what is armed for an event of that name.
func (s *groupSim) fireEvent(name string) {
	if do := s.eventHooks[name]; do != nil {
		delete(s.eventHooks, name)
		do()
	}
}

// step moves the whole world on.
func (s *groupSim) step() {
	s.now += groupSimStep
	for _, n := range s.nodes {
		n.clock.Time += time.Duration(float64(groupSimStep) * n.clockRate)
	}
	s.checkLeaseHolders()
	s.runTimers()
	s.deliver()
	for _, n := range s.nodes {
		s.tick(n)
	}
	open := s.inProgress
	s.inProgress = nil
	for _, f := range open {
		if f() {
			s.inProgress = append(s.inProgress, f)
		}
	}
	if l := s.leader(); l != nil {
		if is := fmt.Sprint(l.addr, l.shard.core.Status().Term); is != s.lastLeader {
			s.lastLeader = is
			s.fireEvent("new leader")
		}
	}
}

func (s *groupSim) checkLeaseHolders() {
	held := 0
	for _, h := range s.leaseHolders {
		h.clock.Time += time.Duration(float64(groupSimStep) * h.clockRate)
		if _, ok := h.lease.FencingToken(); ok {
			held++
		}
	}
	if held > 1 {
		s.violationf("%d hold the duty at once", held)
	}
}

func (s *groupSim) runTimers() {
	due := s.timers
	s.timers = nil
	for _, t := range due {
		if t.at > s.now {
			s.timers = append(s.timers, t)
		} else {
			t.run()
		}
	}
}

func (s *groupSim) deliver() {
	sort.SliceStable(s.inFlight, func(i, j int) bool {
		return s.inFlight[i].deliverAt < s.inFlight[j].deliverAt || s.inFlight[i].deliverAt == s.inFlight[j].deliverAt && s.inFlight[i].sequence < s.inFlight[j].sequence
	})
	due := s.inFlight
	s.inFlight = nil
	var stay []simMessage
	for _, m := range due {
		n := s.node(controlclient.MemberAddr(m.message.To))
		if m.deliverAt > s.now || n.shard != nil && !s.isRunning(n) { // a frozen machine's messages wait
			stay = append(stay, m)
		} else if s.isHealthy(n) {
			n.shard.core.Step(m.message)
			s.runStep(n)
		}
	}
	s.inFlight = append(stay, s.inFlight...)
}

// tick is what a node does ten times a second, and its start once it is due.
func (s *groupSim) tick(n *groupSimNode) {
	if n.shard == nil && !n.isRemoved && n.restartAt > 0 && s.now >= n.restartAt {
		s.tracef("boot %s", n.addr)
		s.start(n)
	}
	if !s.isRunning(n) || s.now < n.nextTick {
		return
	}
	n.nextTick = s.now + time.Duration(float64(100*time.Millisecond)/n.clockRate)
	if n.shard.failure == nil {
		n.shard.core.Tick()
	}
	was, _, _ := n.shard.core.Members()
	n.shard.tickGroup()
	now, _, _ := n.shard.core.Members()
	changed := !slices.Equal(was, now)
	if changed {
		s.count("members change")
		s.tracef("%s changes members %v to %v", n.addr, was, now)
	}
	s.runStep(n)
	if changed {
		s.fireEvent("members change")
	}
	if s.allFaults && s.isRunning(n) && s.random.IntN(10) == 0 {
		s.gossip(n)
	}
	if s.isRunning(n) && s.now >= n.nextJoin && n.shard.needsJoin() {
		n.nextJoin = s.now + 800*time.Millisecond
		s.join(n)
	}
}

// gossip has a node and one that it knows exchange whom they know.
func (s *groupSim) gossip(n *groupSimNode) {
	l := queue.Keys(n.knownAddrs)
	m := s.node(l[s.random.IntN(len(l))])
	if m == n || !s.isRunning(m) || s.callFails(n.addr, m.addr) {
		return
	}
	n.knownAddrs[m.addr], m.knownAddrs[n.addr] = true, true
	for a := range n.knownAddrs {
		m.knownAddrs[a] = true
	}
	for a := range m.knownAddrs {
		n.knownAddrs[a] = true
	}
}

// join asks somebody that the node knows of, and the leader that is named, to be taken in.
func (s *groupSim) join(n *groupSimNode) {
	all := queue.Keys(n.knownAddrs)
	members, _, _ := n.shard.core.Members()
	for _, m := range members {
		all = append(all, controlclient.MemberAddr(m))
	}
	m := s.node(all[s.random.IntN(len(all))])
	for range 2 {
		if m == nil || m == n || !s.isHealthy(m) || s.callFails(n.addr, m.addr) {
			return
		}
		n.knownAddrs[m.addr], m.knownAddrs[n.addr] = true, true
		t := m.shard.handleJoin(&wire.JoinRequest{Name: n.shard.core.Self()})
		if s.runStep(m); t.Outcome == wire.OutcomeDone {
			s.count("taken in")
			s.fireEvent("taken in")
			return
		}
		m = s.node(controlclient.MemberAddr(t.Leader))
	}
}
