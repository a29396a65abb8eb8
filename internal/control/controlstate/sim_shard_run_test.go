package controlstate

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"pebbleloom/internal/wire"
)

// sendCommand sends a command to a node and calls done with the response. The request or the response may be lost, in
// which case done is not called.
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

// write changes the document, based on the newest version that operators know from acknowledgements and reads, or in one
// of four cases on whatever version is current.
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
			s.tracef("node %s acknowledged write %s as version %d", node.name, write.body, write.version)
			if s.random.IntN(12) == 0 {
				s.killAfterAck(node)
			}
		}
	})
}

// killAfterAck kills the leader right after it has acknowledged a change, and then polls the other members.
func (s *shardSim) killAfterAck(node *shardSimNode) {
	s.tracef("kill node %s right after it acknowledged a write", node.name)
	s.count("leader killed after an acknowledgement")
	node.shard, node.generation = nil, node.generation+1
	if s.random.IntN(2) == 0 { // messages that the node has just sent are lost with it
		s.inFlight = slices.DeleteFunc(s.inFlight, func(sent simMessage) bool { return sent.message.From == node.name })
	}
	for _, peer := range s.nodes {
		s.poll(peer, s.defect == defectStaleWatchResponse || s.defect == defectStaleWatchAfterKill)
	}
}

// read sends a read of the document to a random node and checks the result against all earlier writes and reads.
func (s *shardSim) read() {
	node := s.randomNode()
	if !s.isRunning(node) {
		return
	}
	startedAt, generation := s.now, node.generation
	confirmed := make(chan bool, 1)
	node.shard.beginRead(confirmed)
	node.shard.handleReady()
	s.inProgress = append(s.inProgress, func() bool {
		select {
		case ok := <-confirmed:
			if ok && node.generation == generation && s.isRunning(node) {
				documents, _ := node.shard.selectDocuments(&wire.ReadRequest{Key: "doc"})
				read := &simRead{sentAt: startedAt, answeredAt: s.now}
				if len(documents) > 0 {
					read.version, read.body = documents[0].Version, string(documents[0].Body)
				}
				s.reads = append(s.reads, read)
				s.count("read")
				if s.debug {
					s.tracef("read of version %d from node %s, started at %v", read.version, node.name, startedAt)
				}
				s.checkRead(read)
			}
			return false
		default:
			return node.generation == generation && s.now-startedAt < responseTimeout
		}
	})
}

// poll starts a long poll of one member by the watcher and checks the proof of freshness that results. With
// ignoreUnapplied the member responds as if its log contained no unapplied entries, which is a deliberate defect.
func (s *shardSim) poll(node *shardSimNode, ignoreUnapplied bool) {
	if !s.isRunning(node) {
		return
	}
	proof := s.watcher.freshness
	knownVersion, polledAt := proof.LatestVersion(), s.now
	pollUntil := s.now + pollTime
	generation := node.generation
	s.inProgress = append(s.inProgress, func() bool {
		if node.generation != generation || !s.isRunning(node) {
			return node.generation == generation
		}
		response := node.shard.watchResponse(&wire.WatchRequest{Key: "doc", KnownVersion: knownVersion}, node.name, s.now >= pollUntil)
		if ignoreUnapplied && s.now >= pollUntil && node.shard.state.documents["doc"].GetVersion() == knownVersion {
			response = &wire.WatchResponse{Outcome: wire.OutcomeUnchanged}
		}
		if response == nil {
			return true
		}
		if ignoreUnapplied {
			response.NothingNewer = true
		}
		proof.HandleResponse(node.name, knownVersion, polledAt, response)
		freshUntil := proof.FreshUntil()
		for _, write := range s.writes {
			if write.ackedAt > 0 && write.ackedAt <= freshUntil && write.version > proof.Document().GetVersion() {
				s.violationf("freshness proof is wrong: it states that no version above %d was acknowledged up to %v, but version %d was acknowledged at %v", proof.Document().GetVersion(), freshUntil, write.version, write.ackedAt)
			}
		}
		if freshUntil > 0 {
			s.count("freshness proof")
		}
		return false
	})
}

// claim claims one of 40 request IDs under one of 3 nonces, so that claims are repeated and compete.
func (s *shardSim) claim() {
	id := make([]byte, 16)
	id[0] = byte(s.random.IntN(40))
	nonce := uint64(s.random.IntN(3) + 1)
	claims := &wire.Claims{Claims: []*wire.Claim{{Id: id, Nonce: nonce}}}
	s.sendCommand(s.randomNode(), &wire.ChangeRequest{Command: &wire.Command{Kind: &wire.Command_Claims{Claims: claims}}}, func(response *wire.ChangeResponse) {
		if response.Outcome != wire.OutcomeDone || !response.Granted[0] {
			return
		}
		s.count("claim granted")
		if earlier := s.grantedNonces[id[0]]; earlier != 0 && earlier != nonce {
			s.violationf("claim of request ID %d was granted to two callers, with nonces %d and %d", id[0], earlier, nonce)
		}
		s.grantedNonces[id[0]] = nonce
	})
}

// requestLease sends a random client's request for the lease to a random node.
func (s *shardSim) requestLease() {
	holder := s.drawLeaseHolder()
	if holder == nil {
		return
	}
	requestedAt, grant := holder.clock.Now(), holder.lease.GrantRequest()
	s.setRequestPending(holder)
	s.sendCommand(s.randomNode(), grantRequest(grant), func(response *wire.ChangeResponse) {
		s.handleLeaseResponse(holder, requestedAt, response)
	})
}

// checkRead checks that a read is linearizable with the earlier writes and reads.
func (s *shardSim) checkRead(read *simRead) {
	for _, write := range s.writes {
		if write.ackedAt > 0 && write.ackedAt < read.sentAt && write.version > read.version {
			s.violationf("read returned version %d, although version %d had been acknowledged before the read started", read.version, write.version)
		}
		if write.ackedAt > 0 && write.version == read.version && write.body != read.body {
			s.violationf("read of version %d returned body %q, want the acknowledged body %q", read.version, read.body, write.body)
		}
	}
	for _, earlier := range s.reads {
		if earlier.answeredAt < read.sentAt && earlier.version > read.version || earlier.version == read.version && earlier.body != read.body {
			s.violationf("read returned version %d with body %q after an earlier read returned version %d with body %q", read.version, read.body, earlier.version, earlier.body)
		}
	}
}

// run simulates a number of rounds. Each consists of 10 s of virtual time with faults and of a recovery without faults,
// within which the shard has to serve again. It then checks the history.
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

// runWithFaults simulates clients and faults for a duration, or until a check fails.
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

// shardSimActions are the client requests and faults of which each step of the shard simulator may start some.
var shardSimActions = []struct {
	odds int // average number of steps between two runs of the action
	do   func(*shardSim)
}{
	{20, (*shardSim).write},
	{30, (*shardSim).read},
	{20, func(s *shardSim) { s.poll(s.randomNode(), s.defect == defectStaleWatchResponse) }},
	{40, (*shardSim).requestLease},
	{40, (*shardSim).claim},
	{120, (*shardSim).injectFault},
	{200, func(s *shardSim) { s.restartNodes(false) }},
}

// awaitRecovery ends all faults and checks that writes are acknowledged again within the bound.
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
				s.restartNodes(true) // an earlier scheduled power loss may have stopped a node during the recovery
			}
		}
		recovered = s.counts["acked"] > acked+2
	}
	if !recovered {
		s.violationf("no write was acknowledged within %v after the end of all faults", bound)
	}
}

// checkHistory checks that no two writes were acknowledged under the same version, and that a write that started after
// another one was acknowledged has a higher version.
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
			s.violationf("writes %s and %s were both acknowledged as version %d", acked[i-1].body, acked[i].body, acked[i].version)
		}
	}
	for i, write := range acked {
		for _, later := range acked[i+1:] {
			if later.ackedAt < write.sentAt {
				s.violationf("version %d was acknowledged before the write of the lower version %d started", later.version, write.version)
			}
		}
	}
}
