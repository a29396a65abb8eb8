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

// send puts a message in flight. The message may be lost, delayed, duplicated or reordered.
func (s *groupSim) send(message *wire.Message) {
	from, to := controlclient.MemberAddr(message.From), controlclient.MemberAddr(message.To)
	if s.isPartitioned(from, to) || s.random.Float64() < s.lossRate {
		s.scheduleSendFailure(s.node(from), message)
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

// scheduleSendFailure makes the transport of the sender report, in three of four cases and after its time-out, that a
// message could not be delivered.
func (s *groupSim) scheduleSendFailure(node *groupSimNode, message *wire.Message) {
	const sendTimeout = 500 * time.Millisecond
	generation, lost := node.generation, proto.Clone(message).(*wire.Message)
	if !s.allFaults || s.random.IntN(4) == 0 {
		return
	}
	s.schedule(sendTimeout, func() {
		if node.generation == generation && s.isHealthy(node) {
			s.count("send failure reported")
			node.shard.core.ReportSendFailure(lost)
			s.runStep(node)
		}
	})
}

// runStep processes the output of a node's member. If a simulated crash occurs during a write, it kills the process.
func (s *groupSim) runStep(node *groupSimNode) {
	if node.shard.handleReady(); node.disk.crashed {
		s.tracef("node %s crashes during a disk write", node.addr)
		s.count("crashed during a write")
		s.kill(node, s.random.IntN(2) == 0, s.randomBelow(2*time.Second))
	}
}

// schedule makes an action run after a delay.
func (s *groupSim) schedule(delay time.Duration, run func()) {
	s.timers = append(s.timers, simTimer{s.now + delay, run})
}

// fireEvent runs and removes the function that the simulation has registered for an event in eventHooks, if any.
func (s *groupSim) fireEvent(name string) {
	if hook := s.eventHooks[name]; hook != nil {
		delete(s.eventHooks, name)
		hook()
	}
}

// step advances virtual time by one step, runs the timers that are due, delivers messages, ticks the nodes and runs
// pending calls.
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
	s.runPendingCalls()
	if leader := s.leader(); leader != nil {
		if leadership := fmt.Sprint(leader.addr, leader.shard.core.Status().Term); leadership != s.lastLeader {
			s.lastLeader = leadership
			s.fireEvent(eventNewLeader)
		}
	}
}

// runTimers runs and removes the timers that are due.
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

// deliver delivers the messages that are due. Messages to a frozen node wait until it runs again.
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

// tick starts a node whose restart is due, and runs the periodic work of a running node when its next tick is due.
func (s *groupSim) tick(node *groupSimNode) {
	if node.shard == nil && !node.isRemoved && node.restartAt > 0 && s.now >= node.restartAt {
		s.tracef("start node %s", node.addr)
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
		s.tracef("node %s changes its newest membership from %v to %v", node.addr, before, after)
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

// hasDeadTimer reports whether a node's election timer has stopped because of defectDeadTimer.
func (s *groupSim) hasDeadTimer(node *groupSimNode) bool {
	status := node.shard.core.Status()
	return s.defect == defectDeadTimer && status.Leader != "" && !status.IsLeader
}

// gossip makes a node and a random one of the nodes that it knows exchange the addresses that they know.
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

// confirmReplacement lets a node replace its corrupted or superseded disk once the leader that another node names has
// served a read, which proves that the group serves without this disk.
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

// join sends a join request to a random node that this one knows, and then to the leader that the response names.
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
