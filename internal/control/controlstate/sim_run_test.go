package controlstate

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"pebbleloom/internal/wire"
)

// ask sends a command to a node and follows it up until it is answered; the answer may be
// lost on the way back, as may the question.
func (s *sim) ask(n *simNode, a *wire.ChangeRequest, done func(*wire.ChangeResponse)) {
	if !s.up(n) || s.r.Float64() < s.loss {
		return
	}
	w, response := n.p.propose(a, nil)
	n.p.handleReady()
	incarnation, begin := n.incarnation, s.now
	lost := s.r.Float64() < s.loss
	s.open = append(s.open, func() bool {
		if response == nil {
			select {
			case response = <-w.response:
			default:
				return n.incarnation == incarnation && s.now-begin < 10*time.Second
			}
		}
		if n.incarnation == incarnation && !lost && s.up(n) {
			done(response)
		}
		return false
	})
}

// write is an operator's compare-and-set on the epoch it last read.
func (s *sim) write() {
	n := s.anyone()
	var base uint64
	for _, w := range s.writes {
		if w.end > 0 {
			base = max(base, w.epoch)
		}
	}
	for _, x := range s.reads {
		base = max(base, x.epoch)
	}
	w := &simWrite{body: fmt.Sprintf("body-%d", len(s.writes)), begin: s.now}
	s.writes = append(s.writes, w)
	put := &wire.Put{Key: "doc", Body: []byte(w.body), IfVersion: base}
	if s.r.IntN(4) == 0 {
		put.AnyVersion = true
	}
	s.ask(n, &wire.ChangeRequest{Command: &wire.Command{Kind: &wire.Command_Put{Put: put}}}, func(t *wire.ChangeResponse) {
		if t.Outcome == wire.OutcomeDone {
			w.epoch, w.end = t.Version, s.now
			s.counts["acked"]++
			s.note("acked %s epoch %d by %s", w.body, w.epoch, n.name)
			if s.r.IntN(12) == 0 { // the leader dies right after it acknowledged; the others are asked for news
				s.note("kill %s right after", n.name)
				s.counts["kill after ack"]++
				n.p, n.incarnation = nil, n.incarnation+1
				if s.r.IntN(2) == 0 { // what it had sent meanwhile never left the machine
					s.inFlight = slices.DeleteFunc(s.inFlight, func(m simMessage) bool { return m.l.From == n.name })
				}
				for _, m := range s.nodes {
					s.poll(m)
				}
			}
		}
	})
}

func (s *sim) read() {
	n := s.anyone()
	if !s.up(n) {
		return
	}
	begin, incarnation := s.now, n.incarnation
	w := make(chan bool, 1)
	n.p.beginRead(w)
	n.p.handleReady()
	s.open = append(s.open, func() bool {
		select {
		case ok := <-w:
			if ok && n.incarnation == incarnation && s.up(n) {
				ds, _ := n.p.selectDocuments(&wire.ReadRequest{Key: "doc"})
				x := &simRead{begin: begin, end: s.now}
				if len(ds) > 0 {
					x.epoch, x.body = ds[0].Version, string(ds[0].Body)
				}
				s.reads = append(s.reads, x)
				s.counts["read"]++
				if s.dbg {
					s.note("read epoch %d by %s begun %v", x.epoch, n.name, begin)
				}
				s.checkRead(x)
			}
			return false
		default:
			return n.incarnation == incarnation && s.now-begin < 10*time.Second
		}
	})
}

// poll is the runner's long poll of one member, and the check of its proof.
func (s *sim) poll(n *simNode) {
	if !s.up(n) {
		return
	}
	f := s.fresh.f
	have, asked := f.LatestVersion(), s.now
	wait := s.now + 300*time.Millisecond
	incarnation := n.incarnation
	s.open = append(s.open, func() bool {
		if n.incarnation != incarnation || !s.up(n) {
			return n.incarnation == incarnation
		}
		t := n.p.watchResponse(&wire.WatchRequest{Key: "doc", KnownVersion: have}, n.name, s.now >= wait)
		if s.plant == "vouch-unsettled" && s.now >= wait && n.p.state.documents["doc"].GetVersion() == have {
			t = &wire.WatchResponse{Outcome: wire.OutcomeSame} // planted: what is in the log, not applied, is overlooked
		}
		if t == nil {
			return true
		}
		if s.plant == "vouch-unsettled" {
			t.NothingNewer = true
		}
		f.HandleResponse(n.name, have, asked, t)
		proof := f.FreshUntil()
		for _, w := range s.writes {
			if w.end > 0 && w.end <= proof && w.epoch > f.Document().GetVersion() {
				s.fault("the proof says nothing newer than %d was acknowledged up to %v, yet %d was, at %v", f.Document().GetVersion(), proof, w.epoch, w.end)
			}
		}
		if proof > 0 {
			s.counts["proof"]++
		}
		return false
	})
}

// claim asks for a once-only id, sometimes again under the same nonce, as after a lost answer.
func (s *sim) claim() {
	id := make([]byte, 16)
	id[0] = byte(s.r.IntN(40))
	nonce := uint64(s.r.IntN(3) + 1)
	c := &wire.Claims{Claims: []*wire.Claim{{Id: id, Nonce: nonce}}}
	s.ask(s.anyone(), &wire.ChangeRequest{Command: &wire.Command{Kind: &wire.Command_Claims{Claims: c}}}, func(t *wire.ChangeResponse) {
		if t.Outcome != wire.OutcomeDone || !t.Granted[0] {
			return
		}
		s.counts["claimed"]++
		if o := s.claimed[id[0]]; o != 0 && o != nonce {
			s.fault("id %d was granted to %d and to %d", id[0], o, nonce)
		}
		s.claimed[id[0]] = nonce
	})
}

func (s *sim) lease() {
	h := s.leases[s.r.IntN(len(s.leases))]
	if h.stop > s.now || h.busy {
		return
	}
	if s.r.IntN(40) == 0 {
		h.stop = s.now + time.Duration(s.r.Int64N(int64(8*time.Second))) // it freezes: asks no more for a while
	}
	asked := h.clk.Now()
	g := h.l.Ask()
	h.busy = true
	before := s.now
	s.open = append(s.open, func() bool { h.busy = s.now-before < 1500*time.Millisecond; return h.busy })
	s.ask(s.anyone(), &wire.ChangeRequest{Command: &wire.Command{Kind: &wire.Command_Grant{Grant: g}}}, func(t *wire.ChangeResponse) {
		if s.plant == "lease-late" {
			asked = h.clk.Now() + 2*time.Second // planted: counted from the answer, and more
		}
		h.l.Tell(asked, t)
		if t.Outcome == wire.OutcomeDone {
			s.counts["granted"]++
		}
	})
}

// trouble brings one failure about.
func (s *sim) trouble() {
	n := s.nodes[s.r.IntN(3)]
	switch s.r.IntN(12) {
	case 0:
		s.note("kill %s", n.name)
		s.counts["kill"]++
		n.p, n.incarnation = nil, n.incarnation+1
	case 1:
		n.frozen = s.now + time.Duration(s.r.Int64N(int64(4*time.Second)))
		s.note("freeze %s", n.name)
		s.counts["freeze"]++
	case 2:
		a, b := s.nodes[s.r.IntN(3)], s.nodes[s.r.IntN(3)]
		s.cut[a.name+">"+b.name] = true
		s.counts["cut"]++
	case 3:
		for _, m := range s.nodes {
			if m != n {
				s.cut[m.name+">"+n.name], s.cut[n.name+">"+m.name] = true, true
			}
		}
		s.note("cut off %s", n.name)
		s.counts["cut"]++
	case 4, 5:
		clear(s.cut)
	case 6:
		n.disk.power = s.r.IntN(3000)
		s.counts["power"]++
	case 7:
		n.disk.fail = true
		s.counts["full"]++
	case 11:
		if s.up(n) && n.p.failure == nil && !n.blank && s.othersHold(n) && len(s.ghosts) == 0 && s.counts["acked"] > 0 {
			s.replace(n)
		}
	case 10:
		n.stall = [...]time.Duration{0, 30 * time.Millisecond, 2 * time.Second}[s.r.IntN(3)]
		s.counts["stall"]++
	case 9:
		if s.up(n) && n.p.failure == nil && n.p.core.TransferLeadership() {
			n.p.handleReady()
			s.counts["hand over"]++
		}
	case 8:
		s.loss = [...]float64{0, 0, 0.05, 0.3}[s.r.IntN(4)]
	}
}

// mend restarts what is down. One member at a time may come back without its disk, and
// only when both others have a past that counts.
func (s *sim) mend(all bool) {
	if all || s.r.IntN(4) == 0 {
		s.ghosts = nil // somebody has stopped it
	}
	for _, n := range s.nodes {
		down := n.p == nil || n.p.failure != nil
		if !down || !all && s.r.IntN(3) > 0 {
			continue
		}
		if s.othersHold(n) && s.r.IntN(3) == 0 && s.counts["acked"] > 0 && !all {
			n.disk = newSimDisk()
			s.counts["lost disk"]++
			s.note("%s loses its disk", n.name)
		}
		s.note("boot %s", n.name)
		s.boot(n)
	}
}

// othersHold tells whether both others have a past that counts.
func (s *sim) othersHold(n *simNode) bool {
	for _, m := range s.nodes {
		if m != n && m.blank {
			return false
		}
	}
	return true
}

func (s *sim) checkRead(x *simRead) {
	for _, w := range s.writes {
		if w.end > 0 && w.end < x.begin && w.epoch > x.epoch {
			s.fault("read epoch %d after epoch %d was acknowledged", x.epoch, w.epoch)
		}
		if w.end > 0 && w.epoch == x.epoch && w.body != x.body {
			s.fault("read another body under epoch %d", x.epoch)
		}
	}
	for _, o := range s.reads {
		if o.end < x.begin && o.epoch > x.epoch || o.epoch == x.epoch && o.body != x.body {
			s.fault("read epoch %d %q after a read of epoch %d %q", x.epoch, x.body, o.epoch, o.body)
		}
	}
}

// run is one seeded run of a part: ten virtual seconds of trouble at a time, then peace,
// in which it must serve again within the bound.
func (s *sim) run(rounds int) {
	for range rounds {
		for end := s.now + 10*time.Second; s.now < end; {
			s.step()
			if s.r.IntN(20) == 0 {
				s.write()
			}
			if s.r.IntN(30) == 0 {
				s.read()
			}
			if s.r.IntN(20) == 0 {
				s.poll(s.anyone())
			}
			if s.r.IntN(40) == 0 {
				s.lease()
			}
			if s.r.IntN(40) == 0 {
				s.claim()
			}
			if s.r.IntN(120) == 0 {
				s.trouble()
			}
			if s.r.IntN(200) == 0 {
				s.mend(false)
			}
			if len(s.bad) > 0 {
				return
			}
		}
		clear(s.cut)
		s.loss = 0
		for _, n := range s.nodes {
			n.frozen, n.stall, n.disk.fail = 0, 0, false
		}
		s.mend(true)
		acked, healed := s.counts["acked"], false
		for end := s.now + 12*time.Second; s.now < end && !healed; {
			s.step()
			if s.r.IntN(20) == 0 {
				s.write()
				s.read()
			}
			for _, n := range s.nodes {
				if n.p == nil || n.p.failure != nil {
					s.mend(true) // a torn power setting may strike in peace, once
				}
			}
			healed = s.counts["acked"] > acked+2
		}
		if !healed {
			s.fault("no write is acknowledged within 12 s of the last trouble's end")
		}
		if len(s.bad) > 0 {
			return
		}
	}
	s.final()
}

// final checks the acknowledged history as a whole.
func (s *sim) final() {
	ack := []*simWrite{}
	for _, w := range s.writes {
		if w.end > 0 {
			ack = append(ack, w)
		}
	}
	sort.Slice(ack, func(i, j int) bool { return ack[i].epoch < ack[j].epoch })
	for i := 1; i < len(ack); i++ {
		if ack[i].epoch == ack[i-1].epoch {
			s.fault("two writes were acknowledged under epoch %d", ack[i].epoch)
		}
	}
	for i, w := range ack {
		for _, o := range ack[i+1:] {
			if o.end < w.begin {
				s.fault("epoch %d was acknowledged before epoch %d began", o.epoch, w.epoch)
			}
		}
	}
}
