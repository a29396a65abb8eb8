package controlstate

import "time"

// judgeTime is how long the checker may take over one history.
const judgeTime = 20 * time.Second

// act lets operators, readers, edges and holders do what they do.
func (s *gsim) act(acked func(*gsimNode)) {
	s.step()
	s.stormNext()
	switch s.r.IntN(100) {
	case 0, 1, 2, 3, 4:
		s.write(acked)
	case 5, 6, 7:
		s.read(s.anyone())
	case 8, 9, 10, 11, 12, 13, 14, 15:
		s.poll(s.anyone(), 300*time.Millisecond)
	case 16, 17, 18:
		s.lease()
	}
}

// peace ends all troubles; the group must be whole and acknowledge again within the bound.
func (s *gsim) peace(why string) {
	clear(s.cut)
	clear(s.longCut)
	clear(s.armed)
	s.loss, s.isolated, s.timers = 0, "", nil
	for _, n := range s.nodes { // a process that was told to stop does, also where its end was still to come
		if n.p != nil && n.p.stopping {
			s.kill(n, false, 0)
		}
	}
	s.turnSeeds()
	for _, n := range s.nodes {
		n.frozen, n.stall, n.disk.fail, n.disk.dieIn = 0, 0, false, -1
		if n.p == nil && !n.lost {
			n.down = min(n.down, s.now+time.Second)
		}
	}
	acked, served, begin := s.counts["acked"], time.Duration(0), s.now
	for s.now-begin < 20*time.Second && len(s.bad) == 0 {
		s.act(nil)
		if served == 0 && s.counts["acked"] > acked+2 {
			served = s.now - begin
		}
		if served == 0 && s.now-begin > 12*time.Second {
			s.stands()
			s.fault("%s: no change is acknowledged within 12 s", why)
		}
		if served > 0 && s.whole() {
			return
		}
	}
	if len(s.bad) == 0 {
		s.stands()
		s.fault("%s: the group isn't whole within 20 s", why)
	}
}

// calm lets time pass without new trouble.
func (s *gsim) calm(d time.Duration) {
	for end := s.now + d; s.now < end && len(s.bad) == 0; {
		s.act(nil)
	}
}

// troubled lets time pass with common troubles.
func (s *gsim) troubled(d time.Duration) {
	for end := s.now + d; s.now < end && len(s.bad) == 0; {
		s.act(nil)
		if s.r.IntN(150) == 0 {
			s.trouble()
		}
	}
}

// run is one seeded run of a group: common troubles, one of the worst days, losses of disks.
func (s *gsim) run(rounds int) {
	s.peace("at the start")
	for range rounds {
		s.troubled(10 * time.Second)
		s.peace("after troubles")
		x := phases[s.r.IntN(len(phases))]
		s.count(x.name)
		s.note("phase: %s", x.name)
		x.play(s)
		s.peace("after " + x.name)
		s.calm(4 * time.Second) // what returned counts as lost until it has caught up
		for range 2 {
			if len(s.bad) == 0 && s.whole() {
				s.lose()
				s.peace("after a loss") // the next one may come as soon as the group is whole
			}
		}
		s.calm(time.Second)
		if len(s.bad) > 0 {
			return
		}
	}
	s.final()
}

// final checks the acknowledged history as a whole.
func (s *gsim) final() {
	base, version := map[uint64]string{}, map[uint64]string{}
	for _, o := range s.writes {
		if o.end == 0 {
			continue
		}
		if b := base[o.base]; b != "" && b != o.name {
			s.fault("%s and %s were both acknowledged on version %d", b, o.name, o.base)
		}
		if b := version[o.version]; b != "" && b != o.name {
			s.fault("%s and %s were both acknowledged as version %d", b, o.name, o.version)
		}
		base[o.base], version[o.version] = o.name, o.name
	}
	v := s.history.Judge(judgeTime)
	s.counts["operations judged"], s.counts["without a clear answer"] = v.Operations, v.Unclear
	for _, f := range v.Faults {
		s.fault("%s", f)
	}
}
