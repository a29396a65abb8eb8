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
func (s *shardSim) sendCommand(node *shardSimNode, request *wire.ChangeRequest, done func(*wire.ChangeResponse)) {
	if !s.isRunning(node) || s.random.Float64() < s.lossRate {
		return
	}
	pending, response := node.shard.propose(request, nil)
	node.shard.handleReady()
	incarnation, begin := node.generation, s.now
	lost := s.random.Float64() < s.lossRate
	s.inProgress = append(s.inProgress, func() bool {
		if response == nil {
			select {
			case response = <-pending.response:
			default:
				return node.generation == incarnation && s.now-begin < 10*time.Second
			}
		}
		if node.generation == incarnation && !lost && s.isRunning(node) {
			done(response)
		}
		return false
	})
}

// write is an operator's compare-and-set on the epoch it last read.
func (s *shardSim) write() {
	node := s.randomNode()
	var base uint64
	for _, write := range s.writes {
		if write.ackedAt > 0 {
			base = max(base, write.version)
		}
	}
	for _, read := range s.reads {
		base = max(base, read.version)
	}
	write := &simWrite{body: fmt.Sprintf("body-%d", len(s.writes)), sentAt: s.now}
	s.writes = append(s.writes, write)
	put := &wire.Put{Key: "doc", Body: []byte(write.body), IfVersion: base}
	if s.random.IntN(4) == 0 {
		put.AnyVersion = true
	}
	s.sendCommand(node, &wire.ChangeRequest{Command: &wire.Command{Kind: &wire.Command_Put{Put: put}}}, func(response *wire.ChangeResponse) {
		if response.Outcome == wire.OutcomeDone {
			write.version, write.ackedAt = response.Version, s.now
			s.counts["acked"]++
			s.tracef("acked %s epoch %d by %s", write.body, write.version, node.name)
			if s.random.IntN(12) == 0 { // the leader dies right after it acknowledged; the others are asked for news
				s.tracef("kill %s right after", node.name)
				s.counts["kill after ack"]++
				node.shard, node.generation = nil, node.generation+1
				if s.random.IntN(2) == 0 { // what it had sent meanwhile never left the machine
					s.inFlight = slices.DeleteFunc(s.inFlight, func(sent simMessage) bool { return sent.message.From == node.name })
				}
				for _, peer := range s.nodes {
					s.poll(peer)
				}
			}
		}
	})
}

func (s *shardSim) read() {
	node := s.randomNode()
	if !s.isRunning(node) {
		return
	}
	begin, incarnation := s.now, node.generation
	confirmed := make(chan bool, 1)
	node.shard.beginRead(confirmed)
	node.shard.handleReady()
	s.inProgress = append(s.inProgress, func() bool {
		select {
		case ok := <-confirmed:
			if ok && node.generation == incarnation && s.isRunning(node) {
				documents, _ := node.shard.selectDocuments(&wire.ReadRequest{Key: "doc"})
				read := &simRead{sentAt: begin, answeredAt: s.now}
				if len(documents) > 0 {
					read.version, read.body = documents[0].Version, string(documents[0].Body)
				}
				s.reads = append(s.reads, read)
				s.counts["read"]++
				if s.debug {
					s.tracef("read epoch %d by %s begun %v", read.version, node.name, begin)
				}
				s.checkRead(read)
			}
			return false
		default:
			return node.generation == incarnation && s.now-begin < 10*time.Second
		}
	})
}

// poll is the runner's long poll of one member, and the check of its proof.
func (s *shardSim) poll(node *shardSimNode) {
	if !s.isRunning(node) {
		return
	}
	f := s.watcher.freshness
	have, asked := f.LatestVersion(), s.now
	wait := s.now + 300*time.Millisecond
	incarnation := node.generation
	s.inProgress = append(s.inProgress, func() bool {
		if node.generation != incarnation || !s.isRunning(node) {
			return node.generation == incarnation
		}
		response := node.shard.watchResponse(&wire.WatchRequest{Key: "doc", KnownVersion: have}, node.name, s.now >= wait)
		if s.plantedFault == "vouch-unsettled" && s.now >= wait && node.shard.state.documents["doc"].GetVersion() == have {
			response = &wire.WatchResponse{Outcome: wire.OutcomeUnchanged} // planted: what is in the log, not applied, is overlooked
		}
		if response == nil {
			return true
		}
		if s.plantedFault == "vouch-unsettled" {
			response.NothingNewer = true
		}
		f.HandleResponse(node.name, have, asked, response)
		proof := f.FreshUntil()
		for _, write := range s.writes {
			if write.ackedAt > 0 && write.ackedAt <= proof && write.version > f.Document().GetVersion() {
				s.violationf("the proof says nothing newer than %d was acknowledged up to %v, yet %d was, at %v", f.Document().GetVersion(), proof, write.version, write.ackedAt)
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
	claims := &wire.Claims{Claims: []*wire.Claim{{Id: id, Nonce: nonce}}}
	s.sendCommand(s.randomNode(), &wire.ChangeRequest{Command: &wire.Command{Kind: &wire.Command_Claims{Claims: claims}}}, func(response *wire.ChangeResponse) {
		if response.Outcome != wire.OutcomeDone || !response.Granted[0] {
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
	holder := s.leaseHolders[s.random.IntN(len(s.leaseHolders))]
	if holder.pausedUntil > s.now || holder.requestPending {
		return
	}
	if s.random.IntN(40) == 0 {
		holder.pausedUntil = s.now + time.Duration(s.random.Int64N(int64(8*time.Second))) // it freezes: asks no more for a while
	}
	asked := holder.clock.Now()
	grant := holder.lease.GrantRequest()
	holder.requestPending = true
	before := s.now
	s.inProgress = append(s.inProgress, func() bool {
		holder.requestPending = s.now-before < 1500*time.Millisecond
		return holder.requestPending
	})
	s.sendCommand(s.randomNode(), &wire.ChangeRequest{Command: &wire.Command{Kind: &wire.Command_Grant{Grant: grant}}}, func(response *wire.ChangeResponse) {
		if s.plantedFault == "lease-late" {
			asked = holder.clock.Now() + 2*time.Second // planted: counted from the answer, and more
		}
		holder.lease.HandleResponse(asked, response)
		if response.Outcome == wire.OutcomeDone {
			s.counts["granted"]++
		}
	})
}

// injectFault brings one failure about.
func (s *shardSim) injectFault() {
	node := s.nodes[s.random.IntN(3)]
	switch s.random.IntN(12) {
	case 0:
		s.tracef("kill %s", node.name)
		s.counts["kill"]++
		node.shard, node.generation = nil, node.generation+1
	case 1:
		node.frozenUntil = s.now + time.Duration(s.random.Int64N(int64(4*time.Second)))
		s.tracef("freeze %s", node.name)
		s.counts["freeze"]++
	case 2:
		a, b := s.nodes[s.random.IntN(3)], s.nodes[s.random.IntN(3)]
		s.partitioned[a.name+">"+b.name] = true
		s.counts["cut"]++
	case 3:
		for _, peer := range s.nodes {
			if peer != node {
				s.partitioned[peer.name+">"+node.name], s.partitioned[node.name+">"+peer.name] = true, true
			}
		}
		s.tracef("cut off %s", node.name)
		s.counts["cut"]++
	case 4, 5:
		clear(s.partitioned)
	case 6:
		node.disk.powerBudget = s.random.IntN(3000)
		s.counts["power"]++
	case 7:
		node.disk.failWrites = true
		s.counts["full"]++
	case 11:
		if s.isRunning(node) && node.shard.failure == nil && !node.isBlank && s.othersCaughtUp(node) && len(s.zombies) == 0 && s.counts["acked"] > 0 {
			s.replace(node)
		}
	case 10:
		node.maxWriteTime = [...]time.Duration{0, 30 * time.Millisecond, 2 * time.Second}[s.random.IntN(3)]
		s.counts["stall"]++
	case 9:
		if s.isRunning(node) && node.shard.failure == nil && node.shard.core.TransferLeadership() {
			node.shard.handleReady()
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
	for _, node := range s.nodes {
		down := node.shard == nil || node.shard.failure != nil
		if !down || !all && s.random.IntN(3) > 0 {
			continue
		}
		if s.othersCaughtUp(node) && s.random.IntN(3) == 0 && s.counts["acked"] > 0 && !all {
			node.disk = newSimDisk()
			s.counts["lost disk"]++
			s.tracef("%s loses its disk", node.name)
		}
		s.tracef("boot %s", node.name)
		s.start(node)
	}
}

// othersCaughtUp tells whether both others have a past that counts.
func (s *shardSim) othersCaughtUp(node *shardSimNode) bool {
	for _, peer := range s.nodes {
		if peer != node && peer.isBlank {
			return false
		}
	}
	return true
}

func (s *shardSim) checkRead(read *simRead) {
	for _, write := range s.writes {
		if write.ackedAt > 0 && write.ackedAt < read.sentAt && write.version > read.version {
			s.violationf("read epoch %d after epoch %d was acknowledged", read.version, write.version)
		}
		if write.ackedAt > 0 && write.version == read.version && write.body != read.body {
			s.violationf("read another body under epoch %d", read.version)
		}
	}
	for _, earlier := range s.reads {
		if earlier.answeredAt < read.sentAt && earlier.version > read.version || earlier.version == read.version && earlier.body != read.body {
			s.violationf("read epoch %d %q after a read of epoch %d %q", read.version, read.body, earlier.version, earlier.body)
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
		for _, node := range s.nodes {
			node.frozenUntil, node.maxWriteTime, node.disk.failWrites = 0, 0, false
		}
		s.restartNodes(true)
		acked, healed := s.counts["acked"], false
		for end := s.now + 12*time.Second; s.now < end && !healed; {
			s.step()
			if s.random.IntN(20) == 0 {
				s.write()
				s.read()
			}
			for _, node := range s.nodes {
				if node.shard == nil || node.shard.failure != nil {
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
	for _, write := range s.writes {
		if write.ackedAt > 0 {
			ack = append(ack, write)
		}
	}
	sort.Slice(ack, func(i, j int) bool { return ack[i].version < ack[j].version })
	for i := 1; i < len(ack); i++ {
		if ack[i].version == ack[i-1].version {
			s.violationf("two writes were acknowledged under epoch %d", ack[i].version)
		}
	}
	for i, write := range ack {
		for _, later := range ack[i+1:] {
			if later.ackedAt < write.sentAt {
				s.violationf("epoch %d was acknowledged before epoch %d began", later.version, write.version)
			}
		}
	}
}
