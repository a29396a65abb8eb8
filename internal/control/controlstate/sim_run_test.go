package controlstate

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"pebbleloom/internal/wire"
)

// sendCommand sends a command to a node and follows it up until it is answered; the answer may be
// lost on the way back, as may the question.
func (s *shardSim) sendCommand(n *shardSimNode, a *wire.ChangeRequest, done func(*wire.ChangeResponse)) {
	if !s.isRunning(n) || s.random.Float64() < s.lossRate {
		return
	}
	w, response := n.shard.propose(a, nil)
	n.shard.handleReady()
	incarnation, begin := n.generation, s.now
	lost := s.random.Float64() < s.lossRate
	s.inProgress = append(s.inProgress, func() bool {
		if response == nil {
			select {
			case response = <-w.response:
			default:
				return n.generation == incarnation && s.now-begin < 10*time.Second
			}
		}
		if n.generation == incarnation && !lost && s.isRunning(n) {
			done(response)
		}
		return false
	})
}

// write is an operator's compare-and-set on the epoch it last read.
func (s *shardSim) write() {
	n := s.randomNode()
	var base uint64
	for _, w := range s.writes {
		if w.ackedAt > 0 {
			base = max(base, w.version)
		}
	}
	for _, x := range s.reads {
		base = max(base, x.version)
	}
	w := &simWrite{body: fmt.Sprintf("body-%d", len(s.writes)), sentAt: s.now}
	s.writes = append(s.writes, w)
	put := &wire.Put{Key: "doc", Body: []byte(w.body), IfVersion: base}
	if s.random.IntN(4) == 0 {
		put.AnyVersion = true
	}
	s.sendCommand(n, &wire.ChangeRequest{Command: &wire.Command{Kind: &wire.Command_Put{Put: put}}}, func(t *wire.ChangeResponse) {
		if t.Outcome == wire.OutcomeDone {
			w.version, w.ackedAt = t.Version, s.now
			s.counts["acked"]++
			s.tracef("acked %s epoch %d by %s", w.body, w.version, n.name)
			if s.random.IntN(12) == 0 { // the leader dies right after it acknowledged; the others are asked for news
				s.tracef("kill %s right after", n.name)
				s.counts["kill after ack"]++
				n.shard, n.generation = nil, n.generation+1
				if s.random.IntN(2) == 0 { // what it had sent meanwhile never left the machine
					s.inFlight = slices.DeleteFunc(s.inFlight, func(m simMessage) bool { return m.message.From == n.name })
				}
				for _, m := range s.nodes {
					s.poll(m)
				}
			}
		}
	})
}

func (s *shardSim) read() {
	n := s.randomNode()
	if !s.isRunning(n) {
		return
	}
	begin, incarnation := s.now, n.generation
	w := make(chan bool, 1)
	n.shard.beginRead(w)
	n.shard.handleReady()
	s.inProgress = append(s.inProgress, func() bool {
		select {
		case ok := <-w:
			if ok && n.generation == incarnation && s.isRunning(n) {
				ds, _ := n.shard.selectDocuments(&wire.ReadRequest{Key: "doc"})
				x := &simRead{sentAt: begin, answeredAt: s.now}
				if len(ds) > 0 {
					x.version, x.body = ds[0].Version, string(ds[0].Body)
				}
				s.reads = append(s.reads, x)
				s.counts["read"]++
				if s.debug {
					s.tracef("read epoch %d by %s begun %v", x.version, n.name, begin)
				}
				s.checkRead(x)
			}
			return false
		default:
			return n.generation == incarnation && s.now-begin < 10*time.Second
		}
	})
}

// poll is the runner's long poll of one member, and the check of its proof.
func (s *shardSim) poll(n *shardSimNode) {
	if !s.isRunning(n) {
		return
	}
	f := s.watcher.freshness
	have, asked := f.LatestVersion(), s.now
	wait := s.now + 300*time.Millisecond
	incarnation := n.generation
	s.inProgress = append(s.inProgress, func() bool {
		if n.generation != incarnation || !s.isRunning(n) {
			return n.generation == incarnation
		}
		t := n.shard.watchResponse(&wire.WatchRequest{Key: "doc", KnownVersion: have}, n.name, s.now >= wait)
		if s.plantedFault == "vouch-unsettled" && s.now >= wait && n.shard.state.documents["doc"].GetVersion() == have {
			t = &wire.WatchResponse{Outcome: wire.OutcomeUnchanged} // planted: what is in the log, not applied, is overlooked
		}
		if t == nil {
			return true
		}
		if s.plantedFault == "vouch-unsettled" {
			t.NothingNewer = true
		}
		f.HandleResponse(n.name, have, asked, t)
		proof := f.FreshUntil()
		for _, w := range s.writes {
			if w.ackedAt > 0 && w.ackedAt <= proof && w.version > f.Document().GetVersion() {
				s.violationf("the proof says nothing newer than %d was acknowledged up to %v, yet %d was, at %v", f.Document().GetVersion(), proof, w.version, w.ackedAt)
			}
		}
		if proof > 0 {
			s.counts["proof"]++
		}
		return false
	})
}

// claim asks for a once-only id, sometimes again under the same nonce, as after a lost answer.
func (s *shardSim) claim() {
	id := make([]byte, 16)
	id[0] = byte(s.random.IntN(40))
	nonce := uint64(s.random.IntN(3) + 1)
	c := &wire.Claims{Claims: []*wire.Claim{{Id: id, Nonce: nonce}}}
	s.sendCommand(s.randomNode(), &wire.ChangeRequest{Command: &wire.Command{Kind: &wire.Command_Claims{Claims: c}}}, func(t *wire.ChangeResponse) {
		if t.Outcome != wire.OutcomeDone || !t.Granted[0] {
			return
		}
		s.counts["claimed"]++
		if o := s.grantedNonces[id[0]]; o != 0 && o != nonce {
			s.violationf("id %d was granted to %d and to %d", id[0], o, nonce)
		}
		s.grantedNonces[id[0]] = nonce
	})
}

func (s *shardSim) requestLease() {
	h := s.leaseHolders[s.random.IntN(len(s.leaseHolders))]
	if h.pausedUntil > s.now || h.requestPending {
		return
	}
	if s.random.IntN(40) == 0 {
		h.pausedUntil = s.now + time.Duration(s.random.Int64N(int64(8*time.Second))) // it freezes: asks no more for a while
	}
	asked := h.clock.Now()
	g := h.lease.GrantRequest()
	h.requestPending = true
	before := s.now
	s.inProgress = append(s.inProgress, func() bool { h.requestPending = s.now-before < 1500*time.Millisecond; return h.requestPending })
	s.sendCommand(s.randomNode(), &wire.ChangeRequest{Command: &wire.Command{Kind: &wire.Command_Grant{Grant: g}}}, func(t *wire.ChangeResponse) {
		if s.plantedFault == "lease-late" {
			asked = h.clock.Now() + 2*time.Second // planted: counted from the answer, and more
		}
		h.lease.HandleResponse(asked, t)
		if t.Outcome == wire.OutcomeDone {
			s.counts["granted"]++
		}
	})
}

// injectFault brings one failure about.
func (s *shardSim) injectFault() {
	n := s.nodes[s.random.IntN(3)]
	switch s.random.IntN(12) {
	case 0:
		s.tracef("kill %s", n.name)
		s.counts["kill"]++
		n.shard, n.generation = nil, n.generation+1
	case 1:
		n.frozenUntil = s.now + time.Duration(s.random.Int64N(int64(4*time.Second)))
		s.tracef("freeze %s", n.name)
		s.counts["freeze"]++
	case 2:
		a, b := s.nodes[s.random.IntN(3)], s.nodes[s.random.IntN(3)]
		s.partitioned[a.name+">"+b.name] = true
		s.counts["cut"]++
	case 3:
		for _, m := range s.nodes {
			if m != n {
				s.partitioned[m.name+">"+n.name], s.partitioned[n.name+">"+m.name] = true, true
			}
		}
		s.tracef("cut off %s", n.name)
		s.counts["cut"]++
	case 4, 5:
		clear(s.partitioned)
	case 6:
		n.disk.powerBudget = s.random.IntN(3000)
		s.counts["power"]++
	case 7:
		n.disk.failWrites = true
		s.counts["full"]++
	case 11:
		if s.isRunning(n) && n.shard.failure == nil && !n.isBlank && s.othersCaughtUp(n) && len(s.zombies) == 0 && s.counts["acked"] > 0 {
			s.replace(n)
		}
	case 10:
		n.maxWriteTime = [...]time.Duration{0, 30 * time.Millisecond, 2 * time.Second}[s.random.IntN(3)]
		s.counts["stall"]++
	case 9:
		if s.isRunning(n) && n.shard.failure == nil && n.shard.core.TransferLeadership() {
			n.shard.handleReady()
			s.counts["hand over"]++
		}
	case 8:
		s.lossRate = [...]float64{0, 0, 0.05, 0.3}[s.random.IntN(4)]
	}
}

// restartNodes restarts what is down. One member at a time may come back without its disk, and
// only when both others have a past that counts.
func (s *shardSim) restartNodes(all bool) {
	if all || s.random.IntN(4) == 0 {
		s.zombies = nil // somebody has stopped it
	}
	for _, n := range s.nodes {
		down := n.shard == nil || n.shard.failure != nil
		if !down || !all && s.random.IntN(3) > 0 {
			continue
		}
		if s.othersCaughtUp(n) && s.random.IntN(3) == 0 && s.counts["acked"] > 0 && !all {
			n.disk = newSimDisk()
			s.counts["lost disk"]++
			s.tracef("%s loses its disk", n.name)
		}
		s.tracef("boot %s", n.name)
		s.start(n)
	}
}

// othersCaughtUp tells whether both others have a past that counts.
func (s *shardSim) othersCaughtUp(n *shardSimNode) bool {
	for _, m := range s.nodes {
		if m != n && m.isBlank {
			return false
		}
	}
	return true
}

func (s *shardSim) checkRead(x *simRead) {
	for _, w := range s.writes {
		if w.ackedAt > 0 && w.ackedAt < x.sentAt && w.version > x.version {
			s.violationf("read epoch %d after epoch %d was acknowledged", x.version, w.version)
		}
		if w.ackedAt > 0 && w.version == x.version && w.body != x.body {
			s.violationf("read another body under epoch %d", x.version)
		}
	}
	for _, o := range s.reads {
		if o.answeredAt < x.sentAt && o.version > x.version || o.version == x.version && o.body != x.body {
			s.violationf("read epoch %d %q after a read of epoch %d %q", x.version, x.body, o.version, o.body)
		}
	}
}

// run is one seeded run of a part: ten virtual seconds of trouble at a time, then peace,
// in which it must serve again within the bound.
func (s *shardSim) run(rounds int) {
	for range rounds {
		for end := s.now + 10*time.Second; s.now < end; {
			s.step()
			if s.random.IntN(20) == 0 {
				s.write()
			}
			if s.random.IntN(30) == 0 {
				s.read()
			}
			if s.random.IntN(20) == 0 {
				s.poll(s.randomNode())
			}
			if s.random.IntN(40) == 0 {
				s.requestLease()
			}
			if s.random.IntN(40) == 0 {
				s.claim()
			}
			if s.random.IntN(120) == 0 {
				s.injectFault()
			}
			if s.random.IntN(200) == 0 {
				s.restartNodes(false)
			}
			if len(s.violations) > 0 {
				return
			}
		}
		clear(s.partitioned)
		s.lossRate = 0
		for _, n := range s.nodes {
			n.frozenUntil, n.maxWriteTime, n.disk.failWrites = 0, 0, false
		}
		s.restartNodes(true)
		acked, healed := s.counts["acked"], false
		for end := s.now + 12*time.Second; s.now < end && !healed; {
			s.step()
			if s.random.IntN(20) == 0 {
				s.write()
				s.read()
			}
			for _, n := range s.nodes {
				if n.shard == nil || n.shard.failure != nil {
					s.restartNodes(true) // a torn power setting may strike in peace, once
				}
			}
			healed = s.counts["acked"] > acked+2
		}
		if !healed {
			s.violationf("no write is acknowledged within 12 s of the last trouble's end")
		}
		if len(s.violations) > 0 {
			return
		}
	}
	s.checkHistory()
}

// checkHistory checks the acknowledged history as a whole.
func (s *shardSim) checkHistory() {
	ack := []*simWrite{}
	for _, w := range s.writes {
		if w.ackedAt > 0 {
			ack = append(ack, w)
		}
	}
	sort.Slice(ack, func(i, j int) bool { return ack[i].version < ack[j].version })
	for i := 1; i < len(ack); i++ {
		if ack[i].version == ack[i-1].version {
			s.violationf("two writes were acknowledged under epoch %d", ack[i].version)
		}
	}
	for i, w := range ack {
		for _, o := range ack[i+1:] {
			if o.ackedAt < w.sentAt {
				s.violationf("epoch %d was acknowledged before epoch %d began", o.version, w.version)
			}
		}
	}
}
