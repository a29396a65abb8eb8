package consensus

import "pebbleloom/internal/wire"

// Rejoining after the loss of a disk, with fixed members only. In a group, a machine that lost its disk joins
// under another name as a learner (see membership.go).
//
// Each start with an empty disk makes a new incarnation of the member, identified by a string. The incarnations of a
// name that the other members have admitted are numbered; the number of an incarnation is its generation, which is
// unrelated to the restore generation of a group (restore.go).
//
// A member that has lost its disk starts blank, that is without log, term and vote, and so does a second machine
// that is started under a name already in use. Both other members have to admit a blank member: it asks them for the
// latest generation that they have recorded for its name, chooses the next one, and asks to be recorded with it. Each
// of them persists the new incarnation and its generation before it sends its state, and ignores all earlier
// incarnations of the name from then on. So of two machines with the same name at most one takes part, whichever was started later.

// knownIncarnation returns the incarnation that this member has recorded for a peer; nil: none.
func (c *Core) knownIncarnation(name string) *wire.KnownIncarnation {
	for _, known := range c.hardState.KnownIncarnations {
		if known.Name == name {
			return known
		}
	}
	return nil
}

// recordIncarnation persists the latest incarnation of a peer and the number (generation) of that incarnation. From
// then on, this member ignores messages of every other incarnation of the peer.
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

// Incarnations returns this member's own incarnation, and those of its peers that it has recorded.
//
// Example: own, others := c.Incarnations()
func (c *Core) Incarnations() (own string, others []*wire.KnownIncarnation) {
	return c.hardState.Incarnation, c.hardState.KnownIncarnations
}

// tickBlank asks the peers for their states once in every two heartbeat intervals, while this member is blank: it has
// neither log, term nor vote.
func (c *Core) tickBlank() {
	if c.heartbeatElapsed%(2*c.cfg.HeartbeatTicks) == 1 {
		c.requestState()
	}
}

// requestState asks the peers for the number (generation) of the latest incarnation that they have recorded under this
// member's name or, once this member has chosen the number of its own incarnation, for their states: snapshot, log and
// recorded incarnations.
func (c *Core) requestState() {
	c.forEachPeer(func(peer string) {
		c.send(&wire.Message{To: peer, Kind: wire.MessageKind_STATE_REQUEST, AboutIncarnation: c.hardState.Incarnation, Generation: c.generation})
	})
}

// handleStateRequest responds to a blank member, which has neither log, term nor vote: first with the number
// (generation) of the latest incarnation that this member has recorded under the sender's name; then, once the sender's
// own incarnation is recorded with the number that the sender chose, with the complete state.
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

// resetProgress discards what earlier incarnations of a peer acknowledged to this leader, since a new incarnation has
// none of these entries on its disk.
func (c *Core) resetProgress(peer, incarnation string) {
	progress := c.peers[peer]
	*progress = peerProgress{next: c.lastIndex() + 1, incarnation: incarnation, ticksSinceResponse: progress.ticksSinceResponse, contactAge: progress.contactAge}
}

// handleStateResponse collects the responses of both peers to this blank member, which has neither log, term nor
// vote: first the numbers (generations) of the latest incarnation that they have recorded under its name, by which it
// chooses the number of its own incarnation, then their states.
func (c *Core) handleStateResponse(message *wire.Message) {
	if !c.isBlank() || message.AboutIncarnation != c.hardState.Incarnation {
		return
	}
	switch {
	case c.generation == 0:
		c.collectGeneration(message)
	case !message.Ok:
		if message.Generation >= c.generation { // the peer has recorded another incarnation of this member's name with the number that this member chose for its own, or a higher one: choose again
			c.restartRejoin()
		}
	case message.Generation == c.generation:
		if c.peerStates[message.From] = message; len(c.peerStates) >= len(c.cfg.Members)-1 {
			c.rejoin()
		}
	}
}

// collectGeneration records the number (generation) of the latest incarnation that a peer knows under this member's
// name. Once both peers have responded, this member chooses the number after the higher of theirs for its own
// incarnation, and requests the peers' states.
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

// restartRejoin makes this member ask the peers again for the number of the latest incarnation that they have recorded
// under its name, so that it chooses a new number for its own incarnation.
func (c *Core) restartRejoin() {
	c.generation = 0
	clear(c.peerGenerations)
	clear(c.peerStates)
}

// rejoin takes over the more up-to-date of the peers' states, or an empty one if both are blank (see isBlank), as in a
// new shard. The protocol starts over if a peer has recorded another incarnation of the other peer than the one that
// sent its state. If one peer is blank although the other has log entries, two disks are lost, and possibly committed
// entries with them: this member stays blank, without a vote.
func (c *Core) rejoin() {
	if !c.peersRecognizeEachOther() {
		c.restartRejoin()
		return
	}
	best, term, hasBlank := c.bestPeerState()
	if hasBlank && best != nil && best.Index > 0 {
		c.rejoinFailure = "cannot rejoin: another member has an empty disk too, but the log of the third has entries, so two of three disks are lost"
		clear(c.peerStates)
		return
	}
	c.rejoinFailure = ""
	vote := ""
	if term > 0 {
		vote = unknownVote // this member may have voted in that term before it lost its disk
	}
	c.hardState = &wire.HardState{Term: term, Vote: vote, Incarnation: c.hardState.Incarnation, DiskState: wire.DiskState_DISK_FOUNDED, KnownIncarnations: c.mergeIncarnations()}
	if best == nil {
		best = &wire.Message{Snapshot: BlankSnapshot(c.hardState.Incarnation)}
	}
	c.restoreSnapshot(best.Snapshot, best.Entries)
	clear(c.peerStates)
	c.resetElectionTimer()
}

// peersRecognizeEachOther reports whether each peer's state was sent by the incarnation that the other peer has
// recorded for it, if it has recorded one.
func (c *Core) peersRecognizeEachOther() bool {
	recognized := true
	c.forEachPeer(func(peer string) {
		c.forEachPeer(func(reporter string) {
			for _, known := range c.peerStates[reporter].KnownIncarnations {
				if known.Name == peer && known.Incarnation != c.peerStates[peer].Incarnation {
					recognized = false
				}
			}
		})
	})
	return recognized
}

// bestPeerState returns the most up-to-date of the states received, as compared in elections (paper, section
// 5.4.1); nil if all peers started with empty disks and have not rejoined. term is the highest term of the other
// peers.
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

// mergeIncarnations returns the incarnation of each peer that this member records when it rejoins: the incarnation that
// sent its state, with the number (generation) that the other peer has recorded for it. If this member itself recorded
// an incarnation of the peer before it rejoined, with the same or a higher number, it keeps that one.
func (c *Core) mergeIncarnations() (merged []*wire.KnownIncarnation) {
	c.forEachPeer(func(peer string) {
		incarnation := &wire.KnownIncarnation{Name: peer, Incarnation: c.peerStates[peer].Incarnation}
		c.forEachPeer(func(reporter string) {
			for _, known := range c.peerStates[reporter].KnownIncarnations {
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
