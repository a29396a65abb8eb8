package consensus

import "pebbleloom/internal/wire"

// Fixed members only. A member that lost its disk, or a machine that was started under a name that
// another still has, begins blank. Both others let it in together: it asks which generation of its
// name they know, takes the next one, and asks to be known under it. Each of them persists that before
// it sends its state, and from then on ignores every older incarnation of that name. So of two machines
// under one name at most one counts, whichever wakes up later.

func (c *Core) knownIncarnation(name string) *wire.KnownIncarnation {
	for _, k := range c.hardState.KnownIncarnations {
		if k.Name == name {
			return k
		}
	}
	return nil
}

// recordIncarnation persists which incarnation of a peer counts.
func (c *Core) recordIncarnation(name, inc string, gen uint64) {
	l := []*wire.KnownIncarnation{{Name: name, Incarnation: inc, Generation: gen}}
	for _, k := range c.hardState.KnownIncarnations {
		if k.Name != name {
			l = append(l, k)
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
	c.forEachPeer(func(m string) {
		c.send(&wire.Message{To: m, Kind: wire.MessageKind_STATE_REQUEST, AboutIncarnation: c.hardState.Incarnation, Generation: c.generation})
	})
}

// handleStateRequest answers a blank member: first which generation of its name is known here; then,
// once that member is known under the generation that it took, the whole state.
func (c *Core) handleStateRequest(l *wire.Message) {
	k := c.knownIncarnation(l.From)
	r := &wire.Message{To: l.From, Kind: wire.MessageKind_STATE_RESPONSE, AboutIncarnation: l.AboutIncarnation, Generation: k.GetGeneration()}
	if l.Generation > 0 && l.Generation > k.GetGeneration() {
		c.recordIncarnation(l.From, l.Incarnation, l.Generation)
		if c.role == leader {
			p := c.peers[l.From]
			*p = progress{next: c.lastIndex() + 1, incarnation: l.Incarnation, ticksSinceResponse: p.ticksSinceResponse, contactAge: p.contactAge}
		}
		k = c.knownIncarnation(l.From)
	}
	if l.Generation > 0 && k.Generation == l.Generation && k.Incarnation == l.Incarnation {
		r.Ok, r.Generation, r.Index, r.LogTerm, r.KnownIncarnations = true, l.Generation, c.lastIndex(), c.lastTerm(), c.hardState.KnownIncarnations
		r.Snapshot, r.Entries = c.snapshot, append([]*wire.Entry(nil), c.log...)
	}
	c.send(r)
}

// handleStateResponse brings a blank member in. The others show whether its disk was lost or the shard
// is new: founded peers with a log mean that there was a past.
func (c *Core) handleStateResponse(l *wire.Message) {
	if c.hardState.DiskState != wire.DiskState_DISK_BLANK || l.AboutIncarnation != c.hardState.Incarnation {
		return
	}
	if c.generation == 0 {
		if c.peerGenerations[l.From] = l.Generation; len(c.peerGenerations) < len(c.cfg.Members)-1 {
			return
		}
		for _, g := range c.peerGenerations {
			c.generation = max(c.generation, g+1)
		}
		clear(c.peerStates)
		c.requestState()
		return
	}
	if !l.Ok {
		if l.Generation >= c.generation { // another incarnation was quicker
			c.restartRejoin()
		}
		return
	}
	if l.Generation != c.generation {
		return
	}
	if c.peerStates[l.From] = l; len(c.peerStates) < len(c.cfg.Members)-1 {
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
	var known []*wire.KnownIncarnation
	blanks, strangers := 0, false
	c.forEachPeer(func(m string) {
		t := c.peerStates[m]
		k := &wire.KnownIncarnation{Name: m, Incarnation: t.Incarnation}
		c.forEachPeer(func(o string) {
			for _, x := range c.peerStates[o].KnownIncarnations {
				if x.Name == m {
					strangers = strangers || x.Incarnation != t.Incarnation
					k.Generation = x.Generation
				}
			}
		})
		known = append(known, k)
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
	for _, k := range c.hardState.KnownIncarnations { // incarnations that were let in here meanwhile
		for _, x := range known {
			if x.Name == k.Name && k.Generation >= x.Generation {
				x.Incarnation, x.Generation = k.Incarnation, k.Generation
			}
		}
	}
	c.hardState = &wire.HardState{Term: term, Vote: vote, Incarnation: c.hardState.Incarnation, DiskState: wire.DiskState_DISK_FOUNDED, KnownIncarnations: known}
	if best == nil {
		best = &wire.Message{Snapshot: BlankSnapshot(c.hardState.Incarnation)}
	}
	c.restoreSnapshot(best.Snapshot, best.Entries)
	clear(c.peerStates)
	c.resetElectionTimer()
}
