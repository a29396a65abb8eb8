package controlstate

import "time"

// shardSimFault is a fault, or the end of faults, that may come at any time.
type shardSimFault struct {
	name   string
	inject func(*shardSim, *shardSimNode)
}

// shardSimFaults are drawn with equal odds.
var shardSimFaults = []shardSimFault{
	{"kill", (*shardSim).kill},
	{"freeze", (*shardSim).freeze},
	{"one-way partition", func(s *shardSim, _ *shardSimNode) { s.partitionLink() }},
	{"isolation", (*shardSim).isolate},
	{"partitions end", func(s *shardSim, _ *shardSimNode) { clear(s.partitioned) }},
	{"partitions end", func(s *shardSim, _ *shardSimNode) { clear(s.partitioned) }},
	{"loss of power", func(s *shardSim, node *shardSimNode) {
		node.disk.powerBudget = s.random.IntN(3000)
		s.count("power")
	}},
	{"full disk", func(s *shardSim, node *shardSimNode) {
		node.disk.failWrites = true
		s.count("full")
	}},
	{"message loss", func(s *shardSim, _ *shardSimNode) { s.lossRate = [...]float64{0, 0, 0.05, 0.3}[s.random.IntN(4)] }},
	{"leadership transfer", (*shardSim).transferLeadership},
	{"stalled disk", func(s *shardSim, node *shardSimNode) {
		node.maxWriteTime = [...]time.Duration{0, 30 * time.Millisecond, 2 * time.Second}[s.random.IntN(3)]
		s.count("stall")
	}},
	{"replaced machine", (*shardSim).replaceIfSafe},
}

// injectFault draws a node and a fault.
func (s *shardSim) injectFault() {
	node := s.nodes[s.random.IntN(len(s.nodes))]
	fault := shardSimFaults[s.random.IntN(len(shardSimFaults))]
	fault.inject(s, node)
}

func (s *shardSim) kill(node *shardSimNode) {
	s.tracef("kill %s", node.name)
	s.count("kill")
	node.shard, node.generation = nil, node.generation+1
}

func (s *shardSim) freeze(node *shardSimNode) {
	node.frozenUntil = s.now + s.randomBelow(4*time.Second)
	s.tracef("freeze %s", node.name)
	s.count("freeze")
}

func (s *shardSim) partitionLink() {
	from, to := s.nodes[s.random.IntN(len(s.nodes))], s.nodes[s.random.IntN(len(s.nodes))]
	s.partitioned[from.name+">"+to.name] = true
	s.count("partition")
}

// isolate partitions a node from both others, in both directions.
func (s *shardSim) isolate(node *shardSimNode) {
	for _, peer := range s.nodes {
		if peer != node {
			s.partitioned[peer.name+">"+node.name], s.partitioned[node.name+">"+peer.name] = true, true
		}
	}
	s.tracef("isolate %s", node.name)
	s.count("partition")
}

func (s *shardSim) transferLeadership(node *shardSimNode) {
	if s.isRunning(node) && node.shard.failure == nil && node.shard.core.TransferLeadership() {
		node.shard.handleReady()
		s.count("leadership transfer")
	}
}

// replaceIfSafe replaces a machine that has caught up, unless the others haven't or one is replaced already.
func (s *shardSim) replaceIfSafe(node *shardSimNode) {
	if s.isRunning(node) && node.shard.failure == nil && !node.isBlank && s.othersCaughtUp(node) && len(s.zombies) == 0 && s.counts["acked"] > 0 {
		s.replace(node)
	}
}

// restartNodes restarts all machines that are down, or some of them. One at a time may come back with
// an empty disk, and only when both others have caught up.
func (s *shardSim) restartNodes(all bool) {
	if all || s.random.IntN(4) == 0 {
		s.zombies = nil // an operator has stopped it
	}
	for _, node := range s.nodes {
		isDown := node.shard == nil || node.shard.failure != nil
		if !isDown || !all && s.random.IntN(3) > 0 {
			continue
		}
		if s.othersCaughtUp(node) && s.random.IntN(3) == 0 && s.counts["acked"] > 0 && !all {
			node.disk = newSimDisk()
			s.count("lost disk")
			s.tracef("%s loses its disk", node.name)
		}
		s.tracef("start %s", node.name)
		s.start(node)
	}
}

// othersCaughtUp reports whether both others have caught up since they lost a disk, if they did.
func (s *shardSim) othersCaughtUp(node *shardSimNode) bool {
	for _, peer := range s.nodes {
		if peer != node && peer.isBlank {
			return false
		}
	}
	return true
}
