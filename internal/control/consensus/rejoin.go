package consensus

import "pebbleloom/internal/wire"

// Rejoining after a lost disk, with fixed members only. In a group a lost disk comes back under another
// name, as a learner (see membership.go).
//
// A member that has lost its disk begins blank, and so does a machine that was started under a name that
// another machine has. Both other members have to admit it: it asks them which generation of its name
// they know, chooses the next one, and asks to be recorded under it. Each of them persists that before it
// sends its state, and ignores all earlier incarnations of the name from then on. So of two machines
// under one name at most one takes part, whichever starts later.

// knownIncarnation returns the recorded incarnation of a peer; nil: none.
func (c *Core) knownIncarnation(name string) *wire.KnownIncarnation {
	for _, known := range c.hardState.KnownIncarnations {
		if known.Name == name {
			return known
		}
	}
	return nil
}

// recordIncarnation persists which incarnation of a peer counts from now on.
func (c *Core) recordIncarnation(name, incarnation string, generation uint64) {
	incarnations := []*wire.KnownIncarnation{{Name: name, Incarnation: incarnation, Generation: generation}}
	for _, known := range c.hardState.KnownIncarnations {
		if known.Name != name {
			incarnations = append(incarnations, known)
		}
	}
	hardState := c.nextHardState()
	hardState.KnownIncarnations = incarnations
	c.persistHardState(hardState)
}

// Incarnations returns this member's own incarnation and the recorded ones of its peers.
//
// Example: own, others := c.Incarnations()
func (c *Core) Incarnations() (own string, others []*wire.KnownIncarnation) {
	return c.hardState.Incarnation, c.hardState.KnownIncarnations
}

// tickBlank asks the peers for their states at every second heartbeat interval.
func (c *Core) tickBlank() {
	if c.heartbeatElapsed%(2*c.cfg.HeartbeatTicks) == 1 {
		c.requestState()
	}
}

// requestState asks the peers for the generations that they know, or for their states once one is chosen.
func (c *Core) requestState() {
	c.forEachPeer(func(peer string) {
		c.send(&wire.Message{To: peer, Kind: wire.MessageKind_STATE_REQUEST, AboutIncarnation: c.hardState.Incarnation, Generation: c.generation})
	})
}

// handleStateRequest responds to a blank member: first with the generation of its name that is recorded
// here; then, once the sender is recorded under the generation that it chose, with the complete state.
func (c *Core) handleStateRequest(message *wire.Message) {
	if c.cfg.DynamicMembership {
		return
	}
	known := c.knownIncarnation(message.From)
	response := &wire.Message{To: message.From, Kind: wire.MessageKind_STATE_RESPONSE, AboutIncarnation: message.AboutIncarnation, Generation: known.GetGeneration()}
	if message.Generation > 0 && message.Generation > known.GetGeneration() {
		c.recordIncarnation(message.From, message.Incarnation, message.Generation)
		if c.role == leader {
			c.resetProgress(message.From, message.Incarnation)
		}
		known = c.knownIncarnation(message.From)
	}
	if message.Generation > 0 && known.Generation == message.Generation && known.Incarnation == message.Incarnation {
		response.Ok, response.Generation = true, message.Generation
		response.Index, response.LogTerm, response.KnownIncarnations = c.lastIndex(), c.lastTerm(), c.hardState.KnownIncarnations
		response.Snapshot, response.Entries = c.snapshot, append([]*wire.Entry(nil), c.log...)
	}
	c.send(response)
}

// resetProgress forgets what earlier incarnations of a peer have acknowledged.
func (c *Core) resetProgress(peer, incarnation string) {
	progress := c.peers[peer]
	*progress = peerProgress{next: c.lastIndex() + 1, incarnation: incarnation, ticksSinceResponse: progress.ticksSinceResponse, contactAge: progress.contactAge}
}

// handleStateResponse collects the responses of both peers: first the generations that they know, from
// which it chooses its own, then their states.
func (c *Core) handleStateResponse(message *wire.Message) {
	if !c.isBlank() || message.AboutIncarnation != c.hardState.Incarnation {
		return
	}
	switch {
	case c.generation == 0:
		c.collectGeneration(message)
	case !message.Ok:
		if message.Generation >= c.generation { // another incarnation was recorded first
			c.restartRejoin()
		}
	case message.Generation == c.generation:
		if c.peerStates[message.From] = message; len(c.peerStates) >= len(c.cfg.Members)-1 {
			c.rejoin()
		}
	}
}

// collectGeneration chooses the generation after all that the peers know, once both have responded.
func (c *Core) collectGeneration(message *wire.Message) {
	if c.peerGenerations[message.From] = message.Generation; len(c.peerGenerations) < len(c.cfg.Members)-1 {
		return
	}
	for _, generation := range c.peerGenerations {
		c.generation = max(c.generation, generation+1)
	}
	clear(c.peerStates)
	c.requestState()
}

// restartRejoin makes this member choose another generation.
func (c *Core) restartRejoin() {
	c.generation = 0
	clear(c.peerGenerations)
	clear(c.peerStates)
}

// rejoin restores the more advanced of the peers' states, or an empty one if both are blank: the shard is new then.
// It starts over where the peers don't recognize each other's incarnations. Where one peer is blank although
// the other has a log, two disks are lost, and committed entries may be lost with them: this member stays blank.
func (c *Core) rejoin() {
	if !c.peersRecognizeEachOther() {
		c.restartRejoin()
		return
	}
	best, term, hasBlank := c.bestPeerState()
	if hasBlank && best != nil && best.Index > 0 {
		c.rejoinFailure = "a peer is blank too, yet the shard has a past: two disks are lost"
		clear(c.peerStates)
		return
	}
	c.rejoinFailure = ""
	vote := ""
	if term > 0 {
		vote = unknownVote // it may have voted in that term before it lost its disk
	}
	c.hardState = &wire.HardState{Term: term, Vote: vote, Incarnation: c.hardState.Incarnation, DiskState: wire.DiskState_DISK_FOUNDED, KnownIncarnations: c.mergeIncarnations()}
	if best == nil {
		best = &wire.Message{Snapshot: BlankSnapshot(c.hardState.Incarnation)}
	}
	c.restoreSnapshot(best.Snapshot, best.Entries)
	clear(c.peerStates)
	c.resetElectionTimer()
}

// peersRecognizeEachOther reports whether the states received are of the incarnations that the peers have
// recorded of each other.
func (c *Core) peersRecognizeEachOther() bool {
	recognized := true
	c.forEachPeer(func(peer string) {
		c.forEachPeer(func(witness string) {
			for _, known := range c.peerStates[witness].KnownIncarnations {
				if known.Name == peer && known.Incarnation != c.peerStates[peer].Incarnation {
					recognized = false
				}
			}
		})
	})
	return recognized
}

// bestPeerState returns the most up-to-date of the states received, by the rule of elections (paper,
// section 5.4.1); nil if all peers are blank. term is the highest term of the others.
func (c *Core) bestPeerState() (best *wire.Message, term uint64, hasBlank bool) {
	c.forEachPeer(func(peer string) {
		state := c.peerStates[peer]
		if state.DiskState == wire.DiskState_DISK_BLANK {
			hasBlank = true
			return
		}
		term = max(term, state.Term)
		if best == nil || state.LogTerm > best.LogTerm || state.LogTerm == best.LogTerm && state.Index > best.Index {
			best = state
		}
	})
	return best, term, hasBlank
}

// mergeIncarnations returns the peers' incarnations as they know each other. Those that this member has
// recorded itself while it was blank prevail unless theirs are of a later generation.
func (c *Core) mergeIncarnations() (merged []*wire.KnownIncarnation) {
	c.forEachPeer(func(peer string) {
		incarnation := &wire.KnownIncarnation{Name: peer, Incarnation: c.peerStates[peer].Incarnation}
		c.forEachPeer(func(witness string) {
			for _, known := range c.peerStates[witness].KnownIncarnations {
				if known.Name == peer {
					incarnation.Generation = known.Generation
				}
			}
		})
		if own := c.knownIncarnation(peer); own != nil && own.Generation >= incarnation.Generation {
			incarnation.Incarnation, incarnation.Generation = own.Incarnation, own.Generation
		}
		merged = append(merged, incarnation)
	})
	return merged
}
