package controlstate

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"pebbleloom/internal/wire"
)

// sendCommand sends a command to a node and waits for its answer. The request or the answer may be
// lost.
func (s *shardSim) sendCommand(node *shardSimNode, request *wire.ChangeRequest, done func(*wire.ChangeResponse)) {
	if !s.isRunning(node) || s.random.Float64() < s.lossRate {
		return
	}
	pending, response := node.shard.propose(request, nil)
	node.shard.handleReady()
	generation := node.generation
	isLost := s.random.Float64() < s.lossRate
	isSameProcess := func() bool { return node.generation == generation }
	s.awaitResponse(response, pending.response, isSameProcess, func(response *wire.ChangeResponse) {
		if !isLost && s.isRunning(node) {
			done(response)
		}
	})
}

// write is an operator's compare-and-set on the newest version that operators know of.
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
	s.sendCommand(node, putRequest(put), func(response *wire.ChangeResponse) {
		if response.Outcome == wire.OutcomeDone {
			write.version, write.ackedAt = response.Version, s.now
			s.count("acked")
			s.tracef("acked %s version %d by %s", write.body, write.version, node.name)
			if s.random.IntN(12) == 0 {
				s.killAfterAck(node)
			}
		}
	})
}

// killAfterAck kills a leader right after it acknowledged a change, and polls the others.
func (s *shardSim) killAfterAck(node *shardSimNode) {
	s.tracef("kill %s right after", node.name)
	s.count("kill after ack")
	node.shard, node.generation = nil, node.generation+1
	if s.random.IntN(2) == 0 { // what it has just sent never left the machine
		s.inFlight = slices.DeleteFunc(s.inFlight, func(sent simMessage) bool { return sent.message.From == node.name })
	}
	for _, peer := range s.nodes {
		s.poll(peer, s.plantedFault == plantedStaleConfirm || s.plantedFault == plantedKillConfirm)
	}
}

// read is a reader's request to any node, and the check of what it returns.
func (s *shardSim) read() {
	node := s.randomNode()
	if !s.isRunning(node) {
		return
	}
	begun, generation := s.now, node.generation
	confirmed := make(chan bool, 1)
	node.shard.beginRead(confirmed)
	node.shard.handleReady()
	s.inProgress = append(s.inProgress, func() bool {
		select {
		case ok := <-confirmed:
			if ok && node.generation == generation && s.isRunning(node) {
				documents, _ := node.shard.selectDocuments(&wire.ReadRequest{Key: "doc"})
				read := &simRead{sentAt: begun, answeredAt: s.now}
				if len(documents) > 0 {
					read.version, read.body = documents[0].Version, string(documents[0].Body)
				}
				s.reads = append(s.reads, read)
				s.count("read")
				if s.debug {
					s.tracef("read version %d by %s begun %v", read.version, node.name, begun)
				}
				s.checkRead(read)
			}
			return false
		default:
			return node.generation == generation && s.now-begun < answerTimeout
		}
	})
}

// poll is the watcher's long poll of one member, and the check of its proof of freshness. With overlooksLog the
// member overlooks what its log holds and it hasn't applied.
func (s *shardSim) poll(node *shardSimNode, overlooksLog bool) {
	if !s.isRunning(node) {
		return
	}
	proof := s.watcher.freshness
	have, polledAt := proof.LatestVersion(), s.now
	pollUntil := s.now + pollTime
	generation := node.generation
	s.inProgress = append(s.inProgress, func() bool {
		if node.generation != generation || !s.isRunning(node) {
			return node.generation == generation
		}
		response := node.shard.watchResponse(&wire.WatchRequest{Key: "doc", KnownVersion: have}, node.name, s.now >= pollUntil)
		if overlooksLog && s.now >= pollUntil && node.shard.state.documents["doc"].GetVersion() == have {
			response = &wire.WatchResponse{Outcome: wire.OutcomeUnchanged}
		}
		if response == nil {
			return true
		}
		if overlooksLog {
			response.NothingNewer = true
		}
		proof.HandleResponse(node.name, have, polledAt, response)
		freshUntil := proof.FreshUntil()
		for _, write := range s.writes {
			if write.ackedAt > 0 && write.ackedAt <= freshUntil && write.version > proof.Document().GetVersion() {
				s.violationf("the proof says nothing newer than %d was acknowledged up to %v, yet %d was, at %v", proof.Document().GetVersion(), freshUntil, write.version, write.ackedAt)
			}
		}
		if freshUntil > 0 {
			s.count("proof")
		}
		return false
	})
}

// claim claims a request id, sometimes again under the same nonce, as after a lost answer.
func (s *shardSim) claim() {
	id := make([]byte, 16)
	id[0] = byte(s.random.IntN(40))
	nonce := uint64(s.random.IntN(3) + 1)
	claims := &wire.Claims{Claims: []*wire.Claim{{Id: id, Nonce: nonce}}}
	s.sendCommand(s.randomNode(), &wire.ChangeRequest{Command: &wire.Command{Kind: &wire.Command_Claims{Claims: claims}}}, func(response *wire.ChangeResponse) {
		if response.Outcome != wire.OutcomeDone || !response.Granted[0] {
			return
		}
		s.count("claimed")
		if earlier := s.grantedNonces[id[0]]; earlier != 0 && earlier != nonce {
			s.violationf("id %d was granted to %d and to %d", id[0], earlier, nonce)
		}
		s.grantedNonces[id[0]] = nonce
	})
}

// requestLease has a holder request the lease from any member.
func (s *shardSim) requestLease() {
	holder := s.nextLeaseRequest()
	if holder == nil {
		return
	}
	requestedAt, grant := holder.clock.Now(), holder.lease.GrantRequest()
	s.awaitLeaseAnswer(holder)
	s.sendCommand(s.randomNode(), grantRequest(grant), func(response *wire.ChangeResponse) {
		s.handleLeaseAnswer(holder, requestedAt, response)
	})
}

// checkRead checks that a read is linearizable with the writes and reads before it.
func (s *shardSim) checkRead(read *simRead) {
	for _, write := range s.writes {
		if write.ackedAt > 0 && write.ackedAt < read.sentAt && write.version > read.version {
			s.violationf("read version %d after version %d was acknowledged", read.version, write.version)
		}
		if write.ackedAt > 0 && write.version == read.version && write.body != read.body {
			s.violationf("read another body under version %d", read.version)
		}
	}
	for _, earlier := range s.reads {
		if earlier.answeredAt < read.sentAt && earlier.version > read.version || earlier.version == read.version && earlier.body != read.body {
			s.violationf("read version %d %q after a read of version %d %q", read.version, read.body, earlier.version, earlier.body)
		}
	}
}

// run plays some rounds: ten virtual seconds with faults, then none until the shard serves again,
// which it must within the bound.
func (s *shardSim) run(rounds int) {
	for range rounds {
		s.runWithFaults(10 * time.Second)
		if len(s.violations) > 0 {
			return
		}
		s.awaitRecovery(12 * time.Second)
		if len(s.violations) > 0 {
			return
		}
	}
	s.checkHistory()
}

// runWithFaults lets clients act and faults happen for a while, or until a check fails.
func (s *shardSim) runWithFaults(duration time.Duration) {
	for end := s.now + duration; s.now < end && len(s.violations) == 0; {
		s.step()
		for _, action := range shardSimActions {
			if s.random.IntN(action.odds) == 0 {
				action.do(s)
			}
		}
	}
}

// shardSimActions are what may happen in each step, once in so many steps.
var shardSimActions = []struct {
	odds int
	do   func(*shardSim)
}{
	{20, (*shardSim).write},
	{30, (*shardSim).read},
	{20, func(s *shardSim) { s.poll(s.randomNode(), s.plantedFault == plantedStaleConfirm) }},
	{40, (*shardSim).requestLease},
	{40, (*shardSim).claim},
	{120, (*shardSim).injectFault},
	{200, func(s *shardSim) { s.restartNodes(false) }},
}

// awaitRecovery ends all faults; then changes must be acknowledged again within the bound.
func (s *shardSim) awaitRecovery(bound time.Duration) {
	clear(s.partitioned)
	s.lossRate = 0
	for _, node := range s.nodes {
		node.frozenUntil, node.maxWriteTime, node.disk.failWrites = 0, 0, false
	}
	s.restartNodes(true)
	acked, recovered := s.counts["acked"], false
	for end := s.now + bound; s.now < end && !recovered; {
		s.step()
		if s.random.IntN(20) == 0 {
			s.write()
			s.read()
		}
		for _, node := range s.nodes {
			if node.shard == nil || node.shard.failure != nil {
				s.restartNodes(true) // a loss of power that was set before may come once more
			}
		}
		recovered = s.counts["acked"] > acked+2
	}
	if !recovered {
		s.violationf("no write is acknowledged within %v of the last fault's end", bound)
	}
}

// checkHistory checks that no two acknowledged writes have one version, and that versions follow the
// order of the writes.
func (s *shardSim) checkHistory() {
	acked := []*simWrite{}
	for _, write := range s.writes {
		if write.ackedAt > 0 {
			acked = append(acked, write)
		}
	}
	sort.Slice(acked, func(i, j int) bool { return acked[i].version < acked[j].version })
	for i := 1; i < len(acked); i++ {
		if acked[i].version == acked[i-1].version {
			s.violationf("two writes were acknowledged under version %d", acked[i].version)
		}
	}
	for i, write := range acked {
		for _, later := range acked[i+1:] {
			if later.ackedAt < write.sentAt {
				s.violationf("version %d was acknowledged before version %d began", later.version, write.version)
			}
		}
	}
}
