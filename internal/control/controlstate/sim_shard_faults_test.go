package controlstate

import "time"

// shardSimFault is a fault, or the end of earlier faults, that may occur at any time.
type shardSimFault struct {
	name   string
	inject func(*shardSim, *shardSimNode)
}

// shardSimFaults are the faults that the shard simulator injects, each with the same probability.
var shardSimFaults = []shardSimFault{
	{"node killed", (*shardSim).kill},
	{"node frozen", (*shardSim).freeze},
	{"one-way partition", func(s *shardSim, _ *shardSimNode) { s.partitionLink() }},
	{"node isolated", (*shardSim).isolate},
	{"partitions end", func(s *shardSim, _ *shardSimNode) { clear(s.partitioned) }},
	{"partitions end", func(s *shardSim, _ *shardSimNode) { clear(s.partitioned) }},
	{"power loss", func(s *shardSim, node *shardSimNode) {
		node.disk.bytesUntilPowerLoss = s.random.IntN(3000)
		s.count("scheduled power loss")
	}},
	{"full disk", func(s *shardSim, node *shardSimNode) {
		node.disk.failWrites = true
		s.count("full disk")
	}},
	{"message loss rate changed", func(s *shardSim, _ *shardSimNode) { s.lossRate = [...]float64{0, 0, 0.05, 0.3}[s.random.IntN(4)] }},
	{"leadership transfer", (*shardSim).transferLeadership},
	{"slow disk", func(s *shardSim, node *shardSimNode) {
		node.maxWriteTime = [...]time.Duration{0, 30 * time.Millisecond, 2 * time.Second}[s.random.IntN(3)]
		s.count("slow disk changed")
	}},
	{"replaced node", (*shardSim).replaceIfSafe},
}

// injectFault injects a random fault into a random node.
func (s *shardSim) injectFault() {
	node := s.nodes[s.random.IntN(len(s.nodes))]
	fault := shardSimFaults[s.random.IntN(len(shardSimFaults))]
	fault.inject(s, node)
}

// kill ends the process of a simulated node without a shutdown.
func (s *shardSim) kill(node *shardSimNode) {
	s.tracef("kill node %s", node.name)
	s.count("node killed")
	node.shard, node.generation = nil, node.generation+1
}

// freeze stops the process of a node for up to 4 s.
func (s *shardSim) freeze(node *shardSimNode) {
	node.frozenUntil = s.now + s.randomBelow(4*time.Second)
	s.tracef("freeze node %s", node.name)
	s.count("node frozen")
}

// partitionLink partitions a random link in one direction.
func (s *shardSim) partitionLink() {
	from, to := s.nodes[s.random.IntN(len(s.nodes))], s.nodes[s.random.IntN(len(s.nodes))]
	s.partitioned[from.name+">"+to.name] = true
	s.count("link partitioned")
}

// isolate partitions a node from both other nodes, in both directions.
func (s *shardSim) isolate(node *shardSimNode) {
	for _, peer := range s.nodes {
		if peer != node {
			s.partitioned[peer.name+">"+node.name], s.partitioned[node.name+">"+peer.name] = true, true
		}
	}
	s.tracef("isolate node %s", node.name)
	s.count("link partitioned")
}

// transferLeadership makes a node transfer the leadership if it is the leader.
func (s *shardSim) transferLeadership(node *shardSimNode) {
	if s.isRunning(node) && node.shard.failure == nil && node.shard.core.TransferLeadership() {
		node.shard.handleReady()
		s.count("leadership transfer")
	}
}

// replaceIfSafe replaces a node by one with an empty disk, provided that all members have caught up and that no other
// replaced node is still running.
func (s *shardSim) replaceIfSafe(node *shardSimNode) {
	if s.isRunning(node) && node.shard.failure == nil && !node.isBlank && s.othersCaughtUp(node) && len(s.staleNodes) == 0 && s.counts["acked"] > 0 {
		s.replace(node)
	}
}

// restartNodes restarts all nodes that are down or have failed, or a random part of them. Unless all are restarted, a
// node may come back with an empty disk, but only if both other members have caught up since they last lost a disk.
func (s *shardSim) restartNodes(all bool) {
	if all || s.random.IntN(4) == 0 {
		s.staleNodes = nil // an operator stops the replaced node
	}
	for _, node := range s.nodes {
		isDown := node.shard == nil || node.shard.failure != nil
		if !isDown || !all && s.random.IntN(3) > 0 {
			continue
		}
		if s.othersCaughtUp(node) && s.random.IntN(3) == 0 && s.counts["acked"] > 0 && !all {
			node.disk = newSimDisk()
			s.count("lost disk")
			s.tracef("disk of node %s is lost", node.name)
		}
		s.tracef("start node %s", node.name)
		s.start(node)
	}
}

// othersCaughtUp reports whether both other members have caught up since they last lost a disk, if they ever did.
func (s *shardSim) othersCaughtUp(node *shardSimNode) bool {
	for _, peer := range s.nodes {
		if peer != node && peer.isBlank {
			return false
		}
	}
	return true
}
