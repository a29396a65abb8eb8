package controlstate

import "time"

// historyCheckTimeout limits the time that the linearizability checker spends on one history.
const historyCheckTimeout = 20 * time.Second

// stepWithClients advances virtual time by one step, in which at random an operator, a reader, the agent or a lease holder
// sends a request. onAcked, unless it is nil, is called with the leader that acknowledged the operator's change.
func (s *groupSim) stepWithClients(onAcked func(*groupSimNode)) {
	s.step()
	s.continueWriteLoad()
	switch s.random.IntN(100) {
	case 0, 1, 2, 3, 4:
		s.writeChange(onAcked)
	case 5, 6, 7:
		s.read(s.randomNode())
	case 8, 9, 10, 11, 12, 13, 14, 15:
		s.poll(s.randomNode(), pollTime)
	case 16, 17, 18:
		s.requestLease()
	}
}

// awaitRecovery ends all faults and checks that within the bounds the group acknowledges changes and is complete, and that
// the agent is up to date. when describes the preceding part of the simulation.
func (s *groupSim) awaitRecovery(when string) {
	clear(s.partitioned)
	clear(s.phasePartitions)
	clear(s.eventHooks)
	s.lossRate, s.isolatedAddr, s.timers = 0, "", nil
	for _, node := range s.nodes { // shutdowns in progress are ended here, since the timers that would end them were dropped above
		if node.shard != nil && node.shard.stopping {
			s.kill(node, false, 0)
		}
	}
	s.updateSeeds()
	for _, node := range s.nodes {
		node.frozenUntil, node.maxWriteTime, node.disk.failWrites, node.disk.writesUntilCrash = 0, 0, false, -1
		if node.shard == nil && !node.isRemoved {
			node.restartAt = min(node.restartAt, s.now+time.Second)
		}
	}
	const servesWithin, repairedWithin = 12 * time.Second, 20 * time.Second
	acked, served, startedAt, version := s.counts["acked"], time.Duration(0), s.now, s.newestAcknowledged()
	for s.now-startedAt < repairedWithin && len(s.violations) == 0 {
		s.stepWithClients(nil)
		if served == 0 && s.counts["acked"] > acked+2 {
			served = s.now - startedAt
		}
		if served == 0 && s.now-startedAt > servesWithin {
			s.traceStatus()
			s.violationf("%s: no change was acknowledged within %v", when, servesWithin)
		}
		if served > 0 && s.isComplete() && s.agentIsUpToDate(startedAt, version) {
			return
		}
	}
	if len(s.violations) > 0 {
		return
	}
	s.traceStatus()
	if s.isComplete() {
		s.violationf("%s: the agent has version %d, want at least %d, and a freshness proof up to %v, want later than %v", when, s.agent.version, version, s.agent.freshUntil(), startedAt)
		return
	}
	s.violationf("%s: the group did not have all of its voters healthy and caught up within %v", when, repairedWithin)
}

// runFor simulates clients for a duration without new faults, or until a check fails.
func (s *groupSim) runFor(duration time.Duration) {
	for end := s.now + duration; s.now < end && len(s.violations) == 0; {
		s.stepWithClients(nil)
	}
}

// runWithFaults simulates clients and random faults for a duration, or until a check fails.
func (s *groupSim) runWithFaults(duration time.Duration) {
	for end := s.now + duration; s.now < end && len(s.violations) == 0; {
		s.stepWithClients(nil)
		if s.random.IntN(150) == 0 {
			s.injectFault()
		}
	}
}

// run simulates a number of rounds, each with random faults, one of groupSimPhases and the loss of nodes or disks. It then
// checks the history.
func (s *groupSim) run(rounds int) {
	s.awaitRecovery("after the first start")
	for range rounds {
		s.runWithFaults(10 * time.Second)
		s.awaitRecovery("after random faults")
		phase := groupSimPhases[s.random.IntN(len(groupSimPhases))]
		s.count(phase.name)
		s.tracef("start phase %q", phase.name)
		phase.simulate(s)
		s.awaitRecovery("after " + phase.name)
		s.runFor(4 * time.Second) // a node that has returned still counts as lost until it has caught up
		for range 2 {
			if len(s.violations) == 0 && s.isComplete() {
				s.loseMachines()
				s.awaitRecovery("after a loss") // the next loss may occur as soon as the group is complete
			}
		}
		s.runFor(time.Second)
		if len(s.violations) > 0 {
			return
		}
	}
	s.checkHistory()
}

// checkHistory checks that no two changes were acknowledged on the same base version or as the same version, and that the
// responses to operators and readers are linearizable.
func (s *groupSim) checkHistory() {
	byBase, byVersion := map[uint64]string{}, map[uint64]string{}
	for _, change := range s.changes {
		if change.ackedAt == 0 {
			continue
		}
		if other := byBase[change.baseVersion]; other != "" && other != change.name {
			s.violationf("changes %s and %s were both acknowledged on base version %d", other, change.name, change.baseVersion)
		}
		if other := byVersion[change.newVersion]; other != "" && other != change.name {
			s.violationf("changes %s and %s were both acknowledged as version %d", other, change.name, change.newVersion)
		}
		byBase[change.baseVersion], byVersion[change.newVersion] = change.name, change.name
	}
	result := s.history.Check(historyCheckTimeout)
	s.counts["operations checked"], s.counts["indeterminate"] = result.Operations, result.Indeterminate
	for _, violation := range result.Violations {
		s.violationf("%s", violation)
	}
}
