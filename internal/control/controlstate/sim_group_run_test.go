package controlstate

import "time"

// historyCheckTimeout is how long the checker may take over one history.
const historyCheckTimeout = 20 * time.Second

// actOnce lets operators, readers, edges and holders do what they do.
func (s *groupSim) actOnce(acked func(*groupSimNode)) {
	s.step()
	s.continueStorm()
	switch s.random.IntN(100) {
	case 0, 1, 2, 3, 4:
		s.writeChange(acked)
	case 5, 6, 7:
		s.read(s.randomNode())
	case 8, 9, 10, 11, 12, 13, 14, 15:
		s.poll(s.randomNode(), 300*time.Millisecond)
	case 16, 17, 18:
		s.requestLease()
	}
}

// awaitRecovery ends all troubles; the group must be whole and acknowledge again within the bound.
func (s *groupSim) awaitRecovery(why string) {
	clear(s.partitioned)
	clear(s.longPartition)
	clear(s.eventHooks)
	s.lossRate, s.isolatedAddr, s.timers = 0, "", nil
	for _, node := range s.nodes { // a process that was told to stop does, also where its end was still to come
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
	acked, served, begin := s.counts["acked"], time.Duration(0), s.now
	for s.now-begin < 20*time.Second && len(s.violations) == 0 {
		s.actOnce(nil)
		if served == 0 && s.counts["acked"] > acked+2 {
			served = s.now - begin
		}
		if served == 0 && s.now-begin > 12*time.Second {
			s.traceStatus()
			s.violationf("%s: no change is acknowledged within 12 s", why)
		}
		if served > 0 && s.isComplete() {
			return
		}
	}
	if len(s.violations) == 0 {
		s.traceStatus()
		s.violationf("%s: the group isn't whole within 20 s", why)
	}
}

// runFor lets time pass without new trouble.
func (s *groupSim) runFor(d time.Duration) {
	for end := s.now + d; s.now < end && len(s.violations) == 0; {
		s.actOnce(nil)
	}
}

// runWithFaults lets time pass with common troubles.
func (s *groupSim) runWithFaults(d time.Duration) {
	for end := s.now + d; s.now < end && len(s.violations) == 0; {
		s.actOnce(nil)
		if s.random.IntN(150) == 0 {
			s.injectFault()
		}
	}
}

// run is one seeded run of a group: common troubles, one of the worst days, losses of disks.
func (s *groupSim) run(rounds int) {
	s.awaitRecovery("at the start")
	for range rounds {
		s.runWithFaults(10 * time.Second)
		s.awaitRecovery("after troubles")
		x := groupSimPhases[s.random.IntN(len(groupSimPhases))]
		s.count(x.name)
		s.tracef("phase: %s", x.name)
		x.play(s)
		s.awaitRecovery("after " + x.name)
		s.runFor(4 * time.Second) // what returned counts as lost until it has caught up
		for range 2 {
			if len(s.violations) == 0 && s.isComplete() {
				s.loseMachines()
				s.awaitRecovery("after a loss") // the next one may come as soon as the group is whole
			}
		}
		s.runFor(time.Second)
		if len(s.violations) > 0 {
			return
		}
	}
	s.checkHistory()
}

// checkHistory checks the acknowledged history as a whole.
func (s *groupSim) checkHistory() {
	base, version := map[uint64]string{}, map[uint64]string{}
	for _, change := range s.changes {
		if change.ackedAt == 0 {
			continue
		}
		if b := base[change.baseVersion]; b != "" && b != change.name {
			s.violationf("%s and %s were both acknowledged on version %d", b, change.name, change.baseVersion)
		}
		if b := version[change.newVersion]; b != "" && b != change.name {
			s.violationf("%s and %s were both acknowledged as version %d", b, change.name, change.newVersion)
		}
		base[change.baseVersion], version[change.newVersion] = change.name, change.name
	}
	result := s.history.Check(historyCheckTimeout)
	s.counts["operations judged"], s.counts["without a clear answer"] = result.Operations, result.Indeterminate
	for _, f := range result.Violations {
		s.violationf("%s", f)
	}
}
