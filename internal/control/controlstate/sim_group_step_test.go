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
func (s *groupSim) send(message *wire.Message) {
	from, to := controlclient.MemberAddr(message.From), controlclient.MemberAddr(message.To)
	if s.isPartitioned(from, to) || s.random.Float64() < s.lossRate {
		s.reportLost(s.node(from), message)
		return
	}
	d := time.Duration(s.random.Int64N(int64(4 * time.Millisecond)))
	if s.random.IntN(50) == 0 {
		d = time.Duration(s.random.Int64N(int64(time.Second)))
	}
	if to == s.slowAddr {
		d += 100 * time.Millisecond
	}
	if node := s.node(from); node.frozenUntil > s.now {
		d += node.frozenUntil - s.now
	}
	for range 1 + s.random.IntN(50)/49 {
		s.sentMessages++
		s.inFlight = append(s.inFlight, simMessage{s.now + time.Millisecond + d, s.sentMessages, proto.Clone(message).(*wire.Message)})
		d *= 2
	}
}

// reportLost has the sender's transport give up a message after its time, most often.
func (s *groupSim) reportLost(node *groupSimNode, message *wire.Message) {
	const sendTime = 500 * time.Millisecond
	generation, lost := node.generation, proto.Clone(message).(*wire.Message)
	if !s.allFaults || s.random.IntN(4) == 0 {
		return
	}
	s.schedule(sendTime, func() {
		if node.generation == generation && s.isHealthy(node) {
			s.count("message reported lost")
			node.shard.core.ReportSendFailure(lost)
			s.runStep(node)
		}
	})
}

// runStep lets a node act on what it was given, and dies with it where its disk says so.
func (s *groupSim) runStep(node *groupSimNode) {
	if node.shard.handleReady(); node.disk.crashed {
		s.tracef("%s dies in a write", node.addr)
		s.count("died in a write")
		s.kill(node, s.random.IntN(2) == 0, time.Duration(s.random.Int64N(int64(2*time.Second))))
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
	for _, node := range s.nodes {
		node.clock.Time += time.Duration(float64(groupSimStep) * node.clockRate)
	}
	s.checkLeaseHolders()
	s.runTimers()
	s.deliver()
	for _, node := range s.nodes {
		s.tick(node)
	}
	open := s.inProgress
	s.inProgress = nil
	for _, f := range open {
		if f() {
			s.inProgress = append(s.inProgress, f)
		}
	}
	if leader := s.leader(); leader != nil {
		if is := fmt.Sprint(leader.addr, leader.shard.core.Status().Term); is != s.lastLeader {
			s.lastLeader = is
			s.fireEvent("new leader")
		}
	}
}

func (s *groupSim) checkLeaseHolders() {
	held := 0
	for _, holder := range s.leaseHolders {
		holder.clock.Time += time.Duration(float64(groupSimStep) * holder.clockRate)
		if _, ok := holder.lease.FencingToken(); ok {
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
	for _, timer := range due {
		if timer.at > s.now {
			s.timers = append(s.timers, timer)
		} else {
			timer.run()
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
	for _, sent := range due {
		node := s.node(controlclient.MemberAddr(sent.message.To))
		if sent.deliverAt > s.now || node.shard != nil && !s.isRunning(node) { // a frozen machine's messages wait
			stay = append(stay, sent)
		} else if s.isHealthy(node) {
			node.shard.core.Step(sent.message)
			s.runStep(node)
		}
	}
	s.inFlight = append(stay, s.inFlight...)
}

// tick is what a node does ten times a second, and its start once it is due.
func (s *groupSim) tick(node *groupSimNode) {
	if node.shard == nil && !node.isRemoved && node.restartAt > 0 && s.now >= node.restartAt {
		s.tracef("boot %s", node.addr)
		s.start(node)
	}
	if !s.isRunning(node) || s.now < node.nextTick {
		return
	}
	node.nextTick = s.now + time.Duration(float64(100*time.Millisecond)/node.clockRate)
	if node.shard.failure == nil {
		node.shard.core.Tick()
	}
	was, _, _ := node.shard.core.Members()
	node.shard.maintainGroup()
	now, _, _ := node.shard.core.Members()
	changed := !slices.Equal(was, now)
	if changed {
		s.count("members change")
		s.tracef("%s changes members %v to %v", node.addr, was, now)
	}
	s.runStep(node)
	if changed {
		s.fireEvent("members change")
	}
	if s.allFaults && s.isRunning(node) && s.random.IntN(10) == 0 {
		s.gossip(node)
	}
	if s.isRunning(node) && s.now >= node.nextJoin && node.shard.needsJoin() {
		node.nextJoin = s.now + 800*time.Millisecond
		s.join(node)
	}
}

// gossip has a node and one that it knows exchange whom they know.
func (s *groupSim) gossip(node *groupSimNode) {
	l := queue.Keys(node.knownAddrs)
	peer := s.node(l[s.random.IntN(len(l))])
	if peer == node || !s.isRunning(peer) || s.callFails(node.addr, peer.addr) {
		return
	}
	node.knownAddrs[peer.addr], peer.knownAddrs[node.addr] = true, true
	for a := range node.knownAddrs {
		peer.knownAddrs[a] = true
	}
	for a := range peer.knownAddrs {
		node.knownAddrs[a] = true
	}
}

// join asks somebody that the node knows of, and the leader that is named, to be taken in.
func (s *groupSim) join(node *groupSimNode) {
	all := queue.Keys(node.knownAddrs)
	members, _, _ := node.shard.core.Members()
	for _, m := range members {
		all = append(all, controlclient.MemberAddr(m))
	}
	peer := s.node(all[s.random.IntN(len(all))])
	for range 2 {
		if peer == nil || peer == node || !s.isHealthy(peer) || s.callFails(node.addr, peer.addr) {
			return
		}
		node.knownAddrs[peer.addr], peer.knownAddrs[node.addr] = true, true
		response := peer.shard.handleJoin(&wire.JoinRequest{Name: node.shard.core.Self()})
		if s.runStep(peer); response.Outcome == wire.OutcomeDone {
			s.count("taken in")
			s.fireEvent("taken in")
			return
		}
		peer = s.node(controlclient.MemberAddr(response.Leader))
	}
}
