package consensus

import "pebbleloom/internal/wire"

// Fixed members only. A member that lost its disk, or a machine that was started under a name that
// another still has, begins blank. Both others let it in together: it asks which generation of its
// name they know, takes the next one, and asks to be known under it. Each of them persists that before
// it sends its state, and from then on ignores every older incarnation of that name. So of two machines
// under one name at most one counts, whichever wakes up later.

func (c *Core) knownIncarnation(name string) *wire.KnownIncarnation {
	for _, known := range c.hardState.KnownIncarnations {
		if known.Name == name {
			return known
		}
	}
	return nil
}

// recordIncarnation persists which incarnation of a peer counts.
func (c *Core) recordIncarnation(name, incarnation string, generation uint64) {
	l := []*wire.KnownIncarnation{{Name: name, Incarnation: incarnation, Generation: generation}}
	for _, known := range c.hardState.KnownIncarnations {
		if known.Name != name {
			l = append(l, known)
		}
	}
	c.hardState = &wire.HardState{Term: c.hardState.Term, Vote: c.hardState.Vote, Incarnation: c.hardState.Incarnation, DiskState: c.hardState.DiskState, KnownIncarnations: l}
	c.ready.Records = append(c.ready.Records, &wire.Record{Kind: &wire.Record_HardState{HardState: c.hardState}})
}

// Incarnations returns this member's own incarnation and, of each peer, the one that counts here.
//
// Example: own, others := c.Incarnations()
func (c *Core) Incarnations() (string, []*wire.KnownIncarnation) {
	return c.hardState.Incarnation, c.hardState.KnownIncarnations
}

func (c *Core) requestState() {
	c.forEachPeer(func(peer string) {
		c.send(&wire.Message{To: peer, Kind: wire.MessageKind_STATE_REQUEST, About: c.hardState.Incarnation, Generation: c.generation})
	})
}

// handleStateRequest answers a blank member: first which generation of its name is known here; then,
// once that member is known under the generation that it took, the whole state.
func (c *Core) handleStateRequest(message *wire.Message) {
	known := c.knownIncarnation(message.From)
	r := &wire.Message{To: message.From, Kind: wire.MessageKind_STATE_RESPONSE, About: message.About, Generation: known.GetGeneration()}
	if message.Generation > 0 && message.Generation > known.GetGeneration() {
		c.recordIncarnation(message.From, message.Incarnation, message.Generation)
		if c.role == leader {
			progress := c.peers[message.From]
			*progress = peerProgress{next: c.lastIndex() + 1, incarnation: message.Incarnation, ticksSinceResponse: progress.ticksSinceResponse, contactAge: progress.contactAge}
		}
		known = c.knownIncarnation(message.From)
	}
	if message.Generation > 0 && known.Generation == message.Generation && known.Incarnation == message.Incarnation {
		r.Ok, r.Generation, r.Index, r.LogTerm, r.KnownIncarnations = true, message.Generation, c.lastIndex(), c.lastTerm(), c.hardState.KnownIncarnations
		r.Snapshot, r.Entries = c.snapshot, append([]*wire.Entry(nil), c.log...)
	}
	c.send(r)
}

// handleStateResponse brings a blank member in. The others show whether its disk was lost or the shard
// is new: founded peers with a log mean that there was a past.
func (c *Core) handleStateResponse(message *wire.Message) {
	if c.hardState.DiskState != wire.DiskState_DISK_BLANK || message.About != c.hardState.Incarnation {
		return
	}
	if c.generation == 0 {
		if c.peerGenerations[message.From] = message.Generation; len(c.peerGenerations) < len(c.cfg.Members)-1 {
			return
		}
		for _, g := range c.peerGenerations {
			c.generation = max(c.generation, g+1)
		}
		clear(c.peerStates)
		c.requestState()
		return
	}
	if !message.Ok {
		if message.Generation >= c.generation { // another incarnation was quicker
			c.restartRejoin()
		}
		return
	}
	if message.Generation != c.generation {
		return
	}
	if c.peerStates[message.From] = message; len(c.peerStates) < len(c.cfg.Members)-1 {
		return
	}
	c.rejoin()
}

func (c *Core) restartRejoin() {
	c.generation = 0
	clear(c.peerGenerations)
	clear(c.peerStates)
}

// rejoin takes the more advanced of the two states that it received, once they are of incarnations
// that count for each other.
func (c *Core) rejoin() {
	var best *wire.Message
	var term uint64
	var knownIncarnations []*wire.KnownIncarnation
	blanks, strangers := 0, false
	c.forEachPeer(func(peer string) {
		t := c.peerStates[peer]
		known := &wire.KnownIncarnation{Name: peer, Incarnation: t.Incarnation}
		c.forEachPeer(func(o string) {
			for _, x := range c.peerStates[o].KnownIncarnations {
				if x.Name == peer {
					strangers = strangers || x.Incarnation != t.Incarnation
					known.Generation = x.Generation
				}
			}
		})
		knownIncarnations = append(knownIncarnations, known)
		if t.DiskState == wire.DiskState_DISK_BLANK {
			blanks++
			return
		}
		term = max(term, t.Term)
		if best == nil || t.LogTerm > best.LogTerm || t.LogTerm == best.LogTerm && t.Index > best.Index {
			best = t
		}
	})
	if strangers {
		c.restartRejoin()
		return
	}
	if blanks > 0 && best != nil && best.Index > 0 {
		c.rejoinFailure = "a peer is blank too, yet the shard has a past: two disks are lost"
		clear(c.peerStates)
		return
	}
	c.rejoinFailure = ""
	vote := ""
	if term > 0 {
		vote = unknownVote // it may have voted in that term before it lost its disk
	}
	for _, known := range c.hardState.KnownIncarnations { // incarnations that were let in here meanwhile
		for _, x := range knownIncarnations {
			if x.Name == known.Name && known.Generation >= x.Generation {
				x.Incarnation, x.Generation = known.Incarnation, known.Generation
			}
		}
	}
	c.hardState = &wire.HardState{Term: term, Vote: vote, Incarnation: c.hardState.Incarnation, DiskState: wire.DiskState_DISK_FOUNDED, KnownIncarnations: knownIncarnations}
	if best == nil {
		best = &wire.Message{Snapshot: BlankSnapshot(c.hardState.Incarnation)}
	}
	c.restoreSnapshot(best.Snapshot, best.Entries)
	clear(c.peerStates)
	c.resetElectionTimer()
}
