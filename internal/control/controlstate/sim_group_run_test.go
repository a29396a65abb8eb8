package controlstate

import (
	"fmt"
	"time"

	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/wire"
)

// readAt begins a read at a node; then is told what it gave.
func (s *gsim) readAt(n *gsimNode, then func(epoch uint64, body string)) {
	if !s.well(n) {
		return
	}
	begin, life, w := s.now, n.life, make(chan bool, 1)
	n.p.beginRead(w)
	s.after(n)
	s.open = append(s.open, func() bool {
		select {
		case ok := <-w:
			if ok && n.life == life && s.well(n) {
				ds, _ := n.p.selectDocuments(&wire.ReadRequest{Key: routingconfig.Key})
				if len(ds) == 0 {
					then(0, "")
				} else {
					then(ds[0].Version, string(ds[0].Body))
				}
			}
			return false
		default:
			return n.life == life && s.now-begin < 10*time.Second
		}
	})
}

func (s *gsim) read(n *gsimNode) {
	begin := s.now
	s.readAt(n, func(epoch uint64, body string) {
		x := &simRead{begin: begin, end: s.now, epoch: epoch, body: body}
		s.reads = append(s.reads, x)
		s.counts["read"]++
		for _, w := range s.writes {
			if w.end > 0 && w.end < x.begin && w.version > epoch {
				s.fault("read version %d after %d was acknowledged", epoch, w.version)
			}
			if w.end > 0 && w.version == epoch && w.body != body {
				s.fault("read another body under version %d", epoch)
			}
		}
		for _, o := range s.reads {
			if o.end < x.begin && o.epoch > epoch || o.epoch == epoch && o.body != body {
				s.fault("read version %d %q after %d %q", epoch, body, o.epoch, o.body)
			}
		}
	})
}

// ask sends a command to a node and follows it up; question or answer may be lost.
func (s *gsim) ask(n *gsimNode, a *wire.ChangeRequest, done func(*wire.ChangeResponse)) {
	if !s.up(n) || s.r.Float64() < s.loss {
		return
	}
	w, tell := n.p.propose(a, nil)
	life, begin, lost := n.life, s.now, s.r.Float64() < s.loss
	s.after(n)
	s.open = append(s.open, func() bool {
		if tell == nil {
			select {
			case tell = <-w.answer:
			default:
				return n.life == life && s.now-begin < 10*time.Second
			}
		}
		if n.life == life && !lost && s.up(n) {
			done(tell)
		}
		return false
	})
}

// write is an operator's change on the version that it last heard of; or one that was sent
// before again, unchanged, whatever became of it.
func (s *gsim) write(acked func(*gsimNode)) {
	n := s.nodes[s.r.IntN(len(s.nodes))]
	if o := s.owner(); o != nil && s.r.IntN(3) > 0 {
		n = o
	}
	var w *gsimWrite
	if l := len(s.writes); l > 0 && s.r.IntN(3) == 0 {
		w = s.writes[max(0, l-1-s.r.IntN(8))]
	} else {
		w = &gsimWrite{begin: s.now}
		for _, o := range s.writes {
			if o.end > 0 {
				w.base = max(w.base, o.version)
			}
		}
		for _, x := range s.reads {
			w.base = max(w.base, x.epoch)
		}
		w.version = w.base + 1 + s.r.Uint64N(3)
		w.body = string(body(w.version, fmt.Sprintf("w%d", len(s.writes))))
		s.writes = append(s.writes, w)
	}
	w.tried++
	before := w.end
	a := &wire.ChangeRequest{Command: &wire.Command{Kind: &wire.Command_Put{Put: &wire.Put{Key: routingconfig.Key, Body: []byte(w.body), IfVersion: w.base, Token: w.body}}}}
	s.readAt(n, func(uint64, string) { // as confirm does
		s.ask(n, a, func(t *wire.ChangeResponse) {
			switch {
			case t.Outcome == wire.OutcomeDone:
				if t.Version != w.version {
					s.fault("version %d is acknowledged as %d", w.version, t.Version)
				}
				if w.end == 0 {
					w.end = s.now
					s.counts["acked"]++
				} else {
					s.counts["done again"]++
				}
				s.note("acked %s on %d by %s", w.body, w.base, n.addr)
				if acked != nil {
					acked(n)
				}
			case before > 0 && (t.Outcome == wire.OutcomeConflict || t.Outcome == wire.OutcomeBadInput):
				s.fault("%s was acknowledged, and is %s when it is sent again", w.body, t.Outcome)
			}
		})
	})
}

func (s *gsim) lease() {
	h := s.leases[s.r.IntN(len(s.leases))]
	if h.stop > s.now || h.busy {
		return
	}
	if s.r.IntN(40) == 0 {
		h.stop = s.now + time.Duration(s.r.Int64N(int64(8*time.Second)))
	}
	asked, before := h.clk.Now(), s.now
	g := h.l.Ask()
	h.busy = true
	s.open = append(s.open, func() bool { h.busy = s.now-before < 1500*time.Millisecond; return h.busy })
	n := s.owner()
	if n == nil {
		n = s.nodes[s.r.IntN(len(s.nodes))]
	}
	s.ask(n, &wire.ChangeRequest{Command: &wire.Command{Kind: &wire.Command_Grant{Grant: g}}}, func(t *wire.ChangeResponse) {
		if s.plant == "lease-late" {
			asked = h.clk.Now() + 2*time.Second // planted: counted from the answer, and more
		}
		if h.l.Tell(asked, t); t.Outcome != wire.OutcomeDone {
			return
		}
		s.counts["granted"]++
		if o := s.fences[t.Fence]; o != "" && o != g.Holder {
			s.fault("fence %d is of %s and of %s", t.Fence, o, g.Holder)
		}
		s.fences[t.Fence] = g.Holder
	})
}

func (s *gsim) between(d time.Duration) time.Duration {
	return time.Duration(s.r.Int64N(int64(d))) + time.Millisecond
}

// trouble brings about what may come at any moment, to any number of machines: nothing that was
// acknowledged may be lost by it.
func (s *gsim) trouble() {
	n := s.nodes[s.r.IntN(len(s.nodes))]
	switch k := s.r.IntN(13); k {
	case 0, 1:
		s.note("kill %s", n.addr)
		s.counts["kill"]++
		s.kill(n, k == 1, s.between(4*time.Second))
	case 2:
		s.note("all are killed")
		s.counts["all killed"]++
		power := s.r.IntN(2) == 0
		for _, m := range s.nodes {
			s.kill(m, power, s.between(time.Second))
		}
	case 3:
		n.frozen = s.now + s.between(5*time.Second)
		s.note("freeze %s until %v", n.addr, n.frozen)
		s.counts["freeze"]++
	case 4:
		s.cut[n.addr+">"+s.nodes[s.r.IntN(len(s.nodes))].addr] = true
		s.counts["cut"]++
	case 5:
		s.note("cut off %s", n.addr)
		for _, m := range s.nodes {
			if m != n {
				s.cut[m.addr+">"+n.addr], s.cut[n.addr+">"+m.addr] = true, true
			}
		}
		s.counts["cut"]++
	case 6, 7:
		clear(s.cut)
	case 8:
		n.disk.dieIn = s.r.IntN(6)
	case 9:
		s.note("the disk of %s is full", n.addr)
		n.disk.fail = !n.disk.fail
		s.counts["full"]++
	case 10:
		n.stall = [...]time.Duration{0, 30 * time.Millisecond, 2 * time.Second}[s.r.IntN(3)]
		s.counts["stall"]++
	case 11:
		for _, n := range s.nodes { // whoever owns the group, so that it happens each time
			if s.well(n) && n.p.core.TransferLeadership() {
				s.after(n)
				s.counts["hand over"]++
			}
		}
	case 12:
		s.loss = [...]float64{0, 0, 0.05, 0.3}[s.r.IntN(4)]
	}
}

// act lets operators, readers, edges and holders do what they do.
func (s *gsim) act(acked func(*gsimNode)) {
	s.step()
	switch s.r.IntN(100) {
	case 0, 1, 2, 3, 4:
		s.write(acked)
	case 5, 6, 7:
		s.read(s.nodes[s.r.IntN(len(s.nodes))])
	case 8, 9, 10, 11, 12, 13, 14, 15:
		s.poll(s.nodes[s.r.IntN(len(s.nodes))], 300*time.Millisecond)
	case 16, 17, 18:
		s.lease()
	}
}

// peace ends all troubles; the group must be whole and acknowledge again within the bound.
func (s *gsim) peace(why string) {
	clear(s.cut)
	s.loss = 0
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

// stands notes how all machines stand.
func (s *gsim) stands() {
	for _, n := range s.nodes {
		if n.p == nil {
			s.note("%s is down, lost %v", n.addr, n.lost)
			continue
		}
		ms, term, index := n.p.core.Members()
		s.note("%s is %s, bad %v, %+v, members %v of %d/%d, sees %+v", n.addr, n.p.core.Self(), n.p.failure, n.p.core.Status(), ms, term, index, n.p.core.PeerStatuses())
	}
}

// calm lets time pass without trouble.
func (s *gsim) calm(d time.Duration) {
	for end := s.now + d; s.now < end && len(s.bad) == 0; {
		s.act(nil)
	}
}

// lose takes as many machines or disks as a site bears at once, out of a whole group: wiped as
// soon as a change is acknowledged, or replaced by empty machines at other addresses.
func (s *gsim) lose() {
	struck := false
	s.far = s.nodes[s.r.IntN(len(s.nodes))].addr // it holds the newest a little later than a majority
	defer func() { s.far = "" }()
	strike := func(by *gsimNode) {
		if struck {
			return
		}
		struck = true
		power, replace := s.r.IntN(2) == 0, s.r.IntN(3) == 0
		var hit []*gsimNode
		for range s.tolerate {
			n := s.nodes[s.r.IntN(len(s.nodes))]
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
				s.counts["replaced"]++
				n.lost = true
				s.boot(s.machine())
				continue
			}
			s.note("%s loses its disk, power %v", n.addr, power)
			s.counts["lost disk"]++
			s.empty(n)
		}
	}
	for end := s.now + 5*time.Second; !struck && s.now < end && len(s.bad) == 0; {
		s.act(strike)
	}
}

// run is one seeded life of a group.
func (s *gsim) run(rounds int) {
	s.peace("at the start")
	for range rounds {
		for end := s.now + 10*time.Second; s.now < end && len(s.bad) == 0; {
			s.act(nil)
			if s.r.IntN(150) == 0 {
				s.trouble()
			}
		}
		s.peace("after troubles")
		s.calm(4 * time.Second) // what returned counts as lost until it has caught up
		if len(s.bad) == 0 && s.whole() {
			s.lose()
			s.peace("after a loss")
			s.calm(time.Second)
		}
		if len(s.bad) > 0 {
			return
		}
	}
	s.final()
}

// final checks the acknowledged history as a whole.
func (s *gsim) final() {
	base, version := map[uint64]string{}, map[uint64]string{}
	for _, w := range s.writes {
		if w.end == 0 {
			continue
		}
		if b := base[w.base]; b != "" && b != w.body {
			s.fault("%s and %s were both acknowledged on version %d", b, w.body, w.base)
		}
		if b := version[w.version]; b != "" && b != w.body {
			s.fault("%s and %s were both acknowledged as version %d", b, w.body, w.version)
		}
		base[w.base], version[w.version] = w.body, w.body
	}
}
