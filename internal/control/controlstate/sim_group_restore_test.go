package controlstate

import (
	"slices"
	"testing"
	"time"

	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/sim/history"
)

// restoreSimRounds is how often a run loses a majority and is restored.
const restoreSimRounds = 2

// restoreEvents must each happen in the runs of CI.
var restoreEvents = []string{"group restored", "disk lost with the majority", "old member returns", "acked", "proof", "granted"}

// isAbandoned reports whether a machine's member belongs to a group that was given up by a restore. Operators don't use
// it: what it acknowledges is lost.
func (s *groupSim) isAbandoned(node *groupSimNode) bool {
	return node != nil && node.shard != nil && node.shard.core.Status().RestoreGeneration < s.restoreGeneration
}

// loseMajority takes all machines down and destroys disks, so that no majority of the members comes back with what they
// held. It returns the member that survives, and the machines that come back later with their disks.
func (s *groupSim) loseMajority() (survivor *groupSimNode, returning []*groupSimNode) {
	members, _, _ := s.leader().shard.core.Members()
	survivor = s.node(controlclient.MemberAddr(members[s.random.IntN(len(members))]))
	power := s.random.IntN(2) == 0
	for _, node := range s.nodes {
		if node.isRemoved {
			continue
		}
		s.kill(node, power, time.Hour)
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

// restoreFrom has the group go on from one machine alone, and forgets what operators, readers and the edge's check
// expect of the group before.
func (s *groupSim) restoreFrom(survivor *groupSimNode) {
	s.start(survivor)
	name := newIncarnation(survivor.addr, s.random.Uint64)
	if err := survivor.shard.restore(name, s.random.Uint64()); err != nil {
		s.violationf("restore from %s: %v", survivor.addr, err)
		return
	}
	s.runStep(survivor)
	s.restoreGeneration = survivor.shard.core.Status().RestoreGeneration
	s.count("group restored")
	s.tracef("the group is restored from %s as %s, generation %d", survivor.addr, name, s.restoreGeneration)
	document := survivor.shard.state.documents[routingconfig.DocumentKey]
	s.inProgress, s.changes, s.reads, s.history, s.knownVersion = nil, nil, nil, history.History{}, document.GetVersion()
	restored := history.Change{Key: routingconfig.DocumentKey, Token: "restored", NewVersion: document.GetVersion(), Body: string(document.GetBody())}
	if document != nil {
		s.history.BeginAttempt(restored).Complete(history.Acknowledged, document.Version)
	}
}

// restorePhase loses a majority, restores the group, and has the other machines come back at any time: with new disks, or
// with those of members that were given up.
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
			s.count("old member returns")
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
	s.awaitOneGeneration()
}

// awaitOneGeneration checks that every machine joins the restored group in time.
func (s *groupSim) awaitOneGeneration() {
	const joinsWithin = 30 * time.Second
	for end := s.now + joinsWithin; s.now < end && len(s.violations) == 0; s.actOnce(nil) {
		if !slices.ContainsFunc(s.nodes, func(node *groupSimNode) bool { return !node.isRemoved && (!s.isHealthy(node) || s.isAbandoned(node)) }) {
			return
		}
	}
	if len(s.violations) == 0 {
		s.traceStatus()
		s.violationf("a machine isn't part of the restored group after %v", joinsWithin)
	}
}

// playRestores plays a run: faults, then a lost majority and a restore, twice.
func (s *groupSim) playRestores() {
	s.awaitRecovery("at the start")
	for range restoreSimRounds {
		s.runWithFaults(5 * time.Second)
		s.awaitRecovery("after faults")
		if len(s.violations) > 0 {
			return
		}
		s.restorePhase()
	}
	s.checkHistory()
}

// A group loses a majority of its disks and is restored from one, twice, in many seeded runs: what the restored group
// acknowledges is linearizable, its fencing tokens and proofs of freshness hold, and every machine becomes part of it, whatever
// disk it comes back with. `SIM_SEEDS=1000 go test ./internal/control/controlstate -run TestSimGroupRestore` runs wide.
func TestSimGroupRestore(t *testing.T) {
	from, count := seedsFromEnv(t, groupSeeds/4+1)
	sum := map[string]int{}
	for seed := from; seed < from+count; seed++ {
		s := newGroupSim(seed, "")
		s.playRestores()
		for event, occurrences := range s.counts {
			sum[event] += occurrences
		}
		if len(s.violations) > 0 {
			t.Fatalf("seed %d: %s\n%s", seed, s.violations[0], s.lastTrace(40))
		}
	}
	t.Logf("%d seeds: %v", count, sum)
	for _, event := range restoreEvents {
		if sum[event] < minOccurrences {
			t.Errorf("%s happened only %d times", event, sum[event])
		}
	}
}
