package controlstate

import (
	"strings"
	"time"
)

// longCutTime is how long a member stays cut off in the phase that is about that.
const longCutTime = 20 * time.Second

// phases are the worst days of a group; each run has two of them, between its common troubles. The
// first stands twice, so that all its forms come often enough.
var phases = []struct {
	name string
	play func(*gsim)
}{
	{"cut off for 20 s", (*gsim).longCutPhase},
	{"cut off for 20 s", (*gsim).longCutPhase},
	{"storm of changes", (*gsim).stormPhase},
	{"planned replacements", (*gsim).replacePhase},
	{"SIGTERM in turn", (*gsim).rollPhase},
}

// longCutPhase cuts one member, the leader more often than not, off for twenty seconds, in one way
// or both, with operators and readers on both sides. Members of either side may be restarted, with
// seeds that name only those cut off; other troubles may come on top.
func (s *gsim) longCutPhase() {
	n := s.leader()
	if s.r.IntN(3) > 0 && n != nil {
		s.count("long cut: the leader")
	} else {
		n = s.anyone()
	}
	way := s.r.IntN(4)
	s.cutOff(s.longCut, n, way != 1, way != 2)
	s.note("%s is cut off for long, way %d", n.addr, way)
	switch way {
	case 1:
		s.count("long cut: not heard")
	case 2:
		s.count("long cut: hears nothing")
	default:
		s.count("long cut: both ways")
		s.isolated, s.isolatedAt = n.addr, s.now
	}
	calm := s.r.IntN(3) == 0
	if !calm {
		s.restartsBesideCut(n)
	}
	begin, acked, served := s.now, s.ackedCount, time.Duration(0)
	for s.now-begin < longCutTime && len(s.bad) == 0 {
		s.act(nil)
		if served == 0 && s.ackedCount > acked+2 {
			served = s.now - begin
		}
		if !calm && s.r.IntN(500) == 0 {
			s.trouble()
		}
	}
	const bound = 8 * time.Second
	if calm && (served == 0 || served > bound) {
		s.stands()
		s.fault("with %s cut off the others acknowledged after %v (0: never)", n.addr, served)
	}
	clear(s.longCut)
	s.isolated = ""
}

// restartsBesideCut restarts those cut off, or some of the others, at moments of the cut.
func (s *gsim) restartsBesideCut(n *gsimNode) {
	if s.r.IntN(2) == 0 {
		s.count("seeds name only those cut off")
		s.seeds = []string{n.addr}
	}
	if s.r.IntN(2) == 0 {
		s.later(s.between(longCutTime), func() {
			s.count("restarted on the cut side")
			s.kill(n, s.r.IntN(2) == 0, s.between(time.Second))
		})
	}
	if s.r.IntN(2) == 0 {
		s.later(s.between(longCutTime), func() {
			s.count("restarted on the other side")
			for _, m := range s.nodes {
				if m != n && s.r.IntN(2) == 0 {
					s.kill(m, s.r.IntN(2) == 0, s.between(time.Second))
				}
			}
		})
	}
}

// groupStorm is a run of changes, each sent as soon as the one before is acknowledged.
type groupStorm struct {
	left  int
	order *groupOrder
	sent  time.Duration
}

// next sends the storm's next change; one that isn't acknowledged is sent again for a while.
func (s *gsim) stormNext() {
	const again, enough = 300 * time.Millisecond, 3
	x := s.storm
	l := s.leader()
	if x == nil || l == nil || x.order != nil && x.order.end == 0 && s.now-x.sent < again {
		return
	}
	if x.order == nil || x.order.end > 0 || x.order.base != s.known || x.order.attempts > enough {
		if x.left--; x.left < 0 {
			s.storm = nil
			return
		}
		s.count("changes of storms")
		x.order = s.newOrder(s.known + 1)
	}
	x.sent = s.now
	s.sendOrder(x.order, l, nil)
}

// stormPhase makes some hundred changes, with logs that are compacted often, while members restart;
// then one loses its disk, and must catch up.
func (s *gsim) stormPhase() {
	const least, most, longest = 100, 160, 25 * time.Second
	s.filler = strings.Repeat("x", s.r.IntN(200))
	s.storm = &groupStorm{left: least + s.r.IntN(most-least)}
	for end := s.now + longest; s.storm != nil && s.now < end && len(s.bad) == 0; {
		s.act(nil)
		switch s.r.IntN(400) {
		case 0:
			s.count("restart in a storm")
			s.kill(s.anyone(), s.r.IntN(2) == 0, s.between(time.Second))
		case 1:
			s.count("stall in a storm")
			s.anyone().stall = [...]time.Duration{0, 30 * time.Millisecond}[s.r.IntN(2)]
		}
	}
	s.storm, s.filler = nil, ""
	s.peace("after a storm")
	if len(s.bad) == 0 && s.whole() {
		n := s.anyone()
		s.count("wiped after a storm")
		s.kill(n, false, s.between(time.Second))
		s.empty(n)
	}
}

// replacePhase replaces a machine as planned: a new one starts first, then the old one is told to
// end, and is gone for good. The next one follows as soon as the group is whole again.
func (s *gsim) replacePhase() {
	for range 1 + s.r.IntN(2) {
		if len(s.bad) > 0 || !s.whole() {
			return
		}
		old := s.leader()
		if s.r.IntN(3) == 0 {
			old = s.anyone()
		}
		if old.lost || old.p == nil {
			return
		}
		s.boot(s.machine())
		s.count("planned replacement")
		s.note("%s is to be replaced", old.addr)
		s.calm(s.between(2 * time.Second))
		s.struck = false
		if s.r.IntN(2) == 0 {
			s.armSecondStrike()
		}
		s.terminate(old, time.Hour)
		s.calm(3 * time.Second)
		if old.p != nil { // it is still handing over, or frozen: the platform's patience ends
			s.kill(old, true, time.Hour)
		}
		if old.lost = !s.struck; s.struck { // with another loss at once it isn't taken away yet: a site bears one
			s.count("planned replacement called off")
		}
		s.turnSeeds()
		s.peace("after a planned replacement")
	}
}

// rollPhase tells all to end, one after the other, and starts each again.
func (s *gsim) rollPhase() {
	for _, n := range s.nodes {
		if n.lost || n.p == nil {
			continue
		}
		s.count("SIGTERM in turn")
		s.terminate(n, s.between(time.Second))
		s.calm(s.between(1500 * time.Millisecond))
		if s.r.IntN(6) == 0 {
			s.trouble()
		}
	}
}

// turnSeeds has the seeds name machines that there are.
func (s *gsim) turnSeeds() {
	s.seeds = nil
	for _, i := range s.r.Perm(len(s.nodes)) {
		if n := s.nodes[i]; !n.lost && len(s.seeds) < 3 {
			s.seeds = append(s.seeds, n.addr)
		}
	}
}

// lose takes as many machines or disks as a site bears at once, out of a whole group: wiped as
// soon as a change is acknowledged, or a moment after one was sent; or replaced by empty machines
// at other addresses. A second strike, which takes no disk, comes at some step of the repair.
func (s *gsim) lose() {
	struck := false
	s.far = s.anyone().addr // it holds the newest a little later than a majority
	defer func() { s.far = "" }()
	strike := func(by *gsimNode) {
		if struck {
			return
		}
		struck = true
		s.loseDisks(by)
		if s.r.IntN(3) > 0 {
			s.armSecondStrike()
		}
	}
	acked := strike
	if s.r.IntN(3) == 0 {
		s.count("loss timed by an order's sending")
		acked = nil
		s.armed["order sent"] = func() { s.later(s.soon(), func() { strike(s.anyone()) }) }
	}
	for end := s.now + 5*time.Second; !struck && s.now < end && len(s.bad) == 0; {
		s.act(acked)
	}
	s.calm(s.between(6 * time.Second))
}

func (s *gsim) loseDisks(by *gsimNode) {
	power, replace := s.r.IntN(2) == 0, s.r.IntN(3) == 0
	var hit []*gsimNode
	for range s.tolerate {
		n := s.anyone()
		if s.r.IntN(2) == 0 && len(hit) == 0 {
			n = by
		}
		hit = append(hit, n)
	}
	for _, n := range s.nodes {
		if power {
			s.kill(n, true, s.between(time.Second))
		}
	}
	for _, n := range hit {
		if n.lost {
			continue
		}
		s.kill(n, true, s.between(3*time.Second))
		if replace {
			s.note("%s is lost for good, power %v", n.addr, power)
			s.count("replaced")
			n.lost = true
			s.turnSeeds()
			s.boot(s.machine())
			continue
		}
		s.note("%s loses its disk, power %v", n.addr, power)
		s.count("lost disk")
		s.empty(n)
	}
}
