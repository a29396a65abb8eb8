package controlstate

import (
	"slices"
	"testing"
	"time"

	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/sim/history"
)

// restoreSimRounds is the number of times that a simulation loses a majority and is restored.
const restoreSimRounds = 2

// restoreEvents are the events that each have to occur at least minOccurrences times in a test run.
var restoreEvents = []string{"group restored", "disk lost with the majority", "member returns with its old disk", "acked", "freshness proof", "lease granted"}

// isSuperseded reports whether the member of a node belongs to a group that a restore has superseded. The clients of the
// simulation do not use such a node, since the changes that it acknowledges are lost.
func (s *groupSim) isSuperseded(node *groupSimNode) bool {
	return node != nil && node.shard != nil && node.shard.core.Status().RestoreGeneration < s.restoreGeneration
}

// loseMajority kills all nodes and destroys disks so that the group has to be restored. It returns the node of the member
// to restore it from, and the nodes of other members whose disks are intact but which return only after the restore.
func (s *groupSim) loseMajority() (survivor *groupSimNode, returning []*groupSimNode) {
	members, _, _ := s.leader().shard.core.Members()
	survivor = s.node(controlclient.MemberAddr(members[s.random.IntN(len(members))]))
	powerLoss := s.random.IntN(2) == 0
	for _, node := range s.nodes {
		if node.isRemoved {
			continue
		}
		s.kill(node, powerLoss, time.Hour)
		isMember := slices.ContainsFunc(members, func(member string) bool { return controlclient.MemberAddr(member) == node.addr })
		switch {
		case node == survivor:
		case isMember && s.random.IntN(2) == 0:
			returning = append(returning, node)
		default:
			s.count("disk lost with the majority")
			s.wipeDisk(node)
		}
	}
	return survivor, returning
}

// restoreFrom restores the group from one node alone, and resets the record of the simulation to the restored document,
// since changes that only the lost members held may be gone.
func (s *groupSim) restoreFrom(survivor *groupSimNode) {
	s.start(survivor)
	name := newIncarnation(survivor.addr, s.random.Uint64)
	if err := survivor.shard.restore(name, s.random.Uint64()); err != nil {
		s.violationf("restoring the group from node %s: %v", survivor.addr, err)
		return
	}
	s.runStep(survivor)
	s.restoreGeneration = survivor.shard.core.Status().RestoreGeneration
	s.count("group restored")
	s.tracef("group restored from node %s as member %s, restore generation %d", survivor.addr, name, s.restoreGeneration)
	document := survivor.shard.state.documents[routingconfig.DocumentKey]
	s.inProgress, s.changes, s.reads, s.history, s.knownVersion = nil, nil, nil, history.History{}, document.GetVersion()
	restored := history.Change{Key: routingconfig.DocumentKey, Token: "restored", NewVersion: document.GetVersion(), Body: string(document.GetBody())}
	if document != nil {
		s.history.BeginAttempt(restored).Complete(history.Acknowledged, document.Version)
	}
}

// restorePhase loses a majority and restores the group. The other nodes return at random times, either with empty disks or
// with the disks of superseded members.
func (s *groupSim) restorePhase() {
	s.checkHistory()
	survivor, returning := s.loseMajority()
	s.restoreFrom(survivor)
	for _, node := range s.nodes {
		if node == survivor || node.isRemoved {
			continue
		}
		delay := s.randomDuration(8 * time.Second)
		if slices.Contains(returning, node) {
			s.count("member returns with its old disk")
			delay = s.randomDuration(20 * time.Second)
		}
		node.restartAt = s.now + delay
	}
	if s.random.IntN(2) == 0 {
		s.runFor(s.randomDuration(10 * time.Second))
	} else {
		s.runWithFaults(10 * time.Second)
	}
	s.awaitRecovery("after a restore")
	s.awaitAllInRestoredGroup()
}

// awaitAllInRestoredGroup checks that all nodes join the restored group within the bound.
func (s *groupSim) awaitAllInRestoredGroup() {
	const joinsWithin = 30 * time.Second
	for end := s.now + joinsWithin; s.now < end && len(s.violations) == 0; s.stepWithClients(nil) {
		if !slices.ContainsFunc(s.nodes, func(node *groupSimNode) bool { return !node.isRemoved && (!s.isHealthy(node) || s.isSuperseded(node)) }) {
			return
		}
	}
	if len(s.violations) == 0 {
		s.traceStatus()
		s.violationf("a node has not joined the restored group within %v", joinsWithin)
	}
}

// runRestores simulates the rounds: each consists of faults, the loss of a majority and a restore. It then checks the
// history.
func (s *groupSim) runRestores() {
	s.awaitRecovery("after the first start")
	for range restoreSimRounds {
		s.runWithFaults(5 * time.Second)
		s.awaitRecovery("after random faults")
		if len(s.violations) > 0 {
			return
		}
		s.restorePhase()
	}
	s.checkHistory()
}

// In simulations in which a group repeatedly loses a majority of its disks and is restored from one of them, the history
// of the restored group must be linearizable, its fencing tokens and proofs of freshness must be correct, and every node
// must join it, with whatever disk the node returns.
// `SIM_SEEDS=1000 go test ./internal/control/controlstate -run TestSimGroupRestore` runs more seeds.
func TestSimGroupRestore(t *testing.T) {
	from, count := seedsFromEnv(t, groupSeeds/4+1)
	sum := map[string]int{}
	for seed := from; seed < from+count; seed++ {
		s := newGroupSim(seed, "")
		s.runRestores()
		for event, occurrences := range s.counts {
			sum[event] += occurrences
		}
		if len(s.violations) > 0 {
			t.Fatalf("simulation with seed %d failed: %s\n%s", seed, s.violations[0], s.lastTrace(40))
		}
	}
	t.Logf("%d seeds; occurrences of each event: %v", count, sum)
	for _, event := range restoreEvents {
		if sum[event] < minOccurrences {
			t.Errorf("event %q occurred %d times in %d seeds, want at least %d", event, sum[event], count, minOccurrences)
		}
	}
}
