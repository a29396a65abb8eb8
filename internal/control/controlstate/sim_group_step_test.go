package controlstate

import (
	"fmt"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/maputil"
	"pebbleloom/internal/wire"
)

// send puts a message on its way: it may be lost, late, doubled or overtaken.
func (s *groupSim) send(message *wire.Message) {
	from, to := controlclient.MemberAddr(message.From), controlclient.MemberAddr(message.To)
	if s.isPartitioned(from, to) || s.random.Float64() < s.lossRate {
		s.reportLost(s.node(from), message)
		return
	}
	delay := s.randomBelow(4 * time.Millisecond)
	if s.random.IntN(50) == 0 {
		delay = s.randomBelow(time.Second)
	}
	if to == s.slowAddr {
		delay += 100 * time.Millisecond
	}
	if node := s.node(from); node.frozenUntil > s.now {
		delay += node.frozenUntil - s.now
	}
	for range 1 + s.random.IntN(50)/49 {
		s.sentMessages++
		s.inFlight = append(s.inFlight, simMessage{s.now + time.Millisecond + delay, s.sentMessages, proto.Clone(message).(*wire.Message)})
		delay *= 2
	}
}

// reportLost has the sender's transport give a message up after its time-out, most often.
func (s *groupSim) reportLost(node *groupSimNode, message *wire.Message) {
	const sendTimeout = 500 * time.Millisecond
	generation, lost := node.generation, proto.Clone(message).(*wire.Message)
	if !s.allFaults || s.random.IntN(4) == 0 {
		return
	}
	s.schedule(sendTimeout, func() {
		if node.generation == generation && s.isHealthy(node) {
			s.count("message reported lost")
			node.shard.core.ReportSendFailure(lost)
			s.runStep(node)
		}
	})
}

// runStep lets a node act on its input; the process dies where its disk crashes in a write.
func (s *groupSim) runStep(node *groupSimNode) {
	if node.shard.handleReady(); node.disk.crashed {
		s.tracef("%s crashes in a write", node.addr)
		s.count("crashed in a write")
		s.kill(node, s.random.IntN(2) == 0, s.randomBelow(2*time.Second))
	}
}

// schedule runs an action after a delay.
func (s *groupSim) schedule(delay time.Duration, run func()) {
	s.timers = append(s.timers, simTimer{s.now + delay, run})
}

// fireEvent runs what waits for the next event of that name.
func (s *groupSim) fireEvent(name string) {
	if hook := s.eventHooks[name]; hook != nil {
		delete(s.eventHooks, name)
		hook()
	}
}

// step moves virtual time on and lets timers, messages, nodes and calls act.
func (s *groupSim) step() {
	s.now += groupSimStep
	for _, node := range s.nodes {
		node.clock.Time += time.Duration(float64(groupSimStep) * node.clockRate)
	}
	s.advanceLeaseHolders(groupSimStep)
	s.checkLeaseHolders()
	s.runTimers()
	s.deliver()
	for _, node := range s.nodes {
		s.tick(node)
	}
	s.continueCalls()
	if leader := s.leader(); leader != nil {
		if leadership := fmt.Sprint(leader.addr, leader.shard.core.Status().Term); leadership != s.lastLeader {
			s.lastLeader = leadership
			s.fireEvent(eventNewLeader)
		}
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

// deliver hands over the messages that are due. Those to a frozen machine wait.
func (s *groupSim) deliver() {
	var waiting []simMessage
	for _, sent := range s.takeInFlight() {
		node := s.node(controlclient.MemberAddr(sent.message.To))
		if sent.deliverAt > s.now || node.shard != nil && !s.isRunning(node) {
			waiting = append(waiting, sent)
		} else if s.isHealthy(node) {
			node.shard.core.Step(sent.message)
			s.runStep(node)
		}
	}
	s.inFlight = append(waiting, s.inFlight...)
}

// tick starts a node when that is due, and ticks it once a groupSimTick.
func (s *groupSim) tick(node *groupSimNode) {
	if node.shard == nil && !node.isRemoved && node.restartAt > 0 && s.now >= node.restartAt {
		s.tracef("start %s", node.addr)
		s.start(node)
	}
	if !s.isRunning(node) || s.now < node.nextTick {
		return
	}
	node.nextTick = s.now + time.Duration(float64(groupSimTick)/node.clockRate)
	if node.shard.failure == nil && !s.hasDeadTimer(node) {
		node.shard.core.Tick()
	}
	before, _, _ := node.shard.core.Members()
	node.shard.maintainGroup()
	after, _, _ := node.shard.core.Members()
	changed := !slices.Equal(before, after)
	if changed {
		s.count(eventMembersChanged)
		s.tracef("%s changes members %v to %v", node.addr, before, after)
	}
	s.runStep(node)
	if changed {
		s.fireEvent(eventMembersChanged)
	}
	if s.allFaults && s.isRunning(node) && s.random.IntN(10) == 0 {
		s.gossip(node)
	}
	if s.isRunning(node) && s.now >= node.nextJoin && node.shard.needsJoin() {
		node.nextJoin = s.now + 800*time.Millisecond
		s.join(node)
	}
	if s.isRunning(node) && s.now >= node.nextJoin && (node.shard.hasCorruptedDisk() || node.shard.supersededBy != 0) {
		node.nextJoin = s.now + time.Second
		s.confirmReplacement(node)
	}
}

// hasDeadTimer reports whether a node's timer is one that never fires again (plantedDeadTimer).
func (s *groupSim) hasDeadTimer(node *groupSimNode) bool {
	status := node.shard.core.Status()
	return s.plantedFault == plantedDeadTimer && status.Leader != "" && !status.IsLeader
}

// gossip has a node and one that it knows exchange the addresses that they know.
func (s *groupSim) gossip(node *groupSimNode) {
	addrs := maputil.SortedKeys(node.knownAddrs)
	peer := s.node(addrs[s.random.IntN(len(addrs))])
	if peer == node || !s.isRunning(peer) || s.callFails(node.addr, peer.addr) {
		return
	}
	node.knownAddrs[peer.addr], peer.knownAddrs[node.addr] = true, true
	for addr := range node.knownAddrs {
		peer.knownAddrs[addr] = true
	}
	for addr := range peer.knownAddrs {
		node.knownAddrs[addr] = true
	}
}

// confirmReplacement has a node replace its disk, if that is corrupted or of a group that was given up, once a read is
// confirmed at the leader that another node names.
func (s *groupSim) confirmReplacement(node *groupSimNode) {
	generation := node.generation
	peer := s.randomNode()
	if peer == node || !s.isHealthy(peer) || s.callFails(node.addr, peer.addr) {
		return
	}
	leader := s.node(controlclient.MemberAddr(peer.shard.core.Status().Leader))
	if leader == nil || !s.isHealthy(leader) || s.callFails(node.addr, leader.addr) {
		return
	}
	s.readAt(leader, func(uint64, string) {
		if node.generation == generation && s.isRunning(node) {
			node.shard.allowReplacement()
		}
	})
}

// join requests to join from a node that this one knows of, then from the leader that it names.
func (s *groupSim) join(node *groupSimNode) {
	addrs := maputil.SortedKeys(node.knownAddrs)
	members, _, _ := node.shard.core.Members()
	for _, member := range members {
		addrs = append(addrs, controlclient.MemberAddr(member))
	}
	peer := s.node(addrs[s.random.IntN(len(addrs))])
	for range 2 {
		if peer == nil || peer == node || !s.isHealthy(peer) || s.callFails(node.addr, peer.addr) {
			return
		}
		node.knownAddrs[peer.addr], peer.knownAddrs[node.addr] = true, true
		response := peer.shard.handleJoin(&wire.JoinRequest{Name: node.shard.core.Self()})
		if s.runStep(peer); response.Outcome == wire.OutcomeDone {
			s.count(eventJoined)
			s.fireEvent(eventJoined)
			return
		}
		peer = s.node(controlclient.MemberAddr(response.Leader))
	}
}
