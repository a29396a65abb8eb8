package consensus

import (
	"google.golang.org/protobuf/proto"

	"pebbleloom/internal/wire"
)

// Take reads one letter. Letters may be lost, late, doubled or out of order.
//
// Example: c.Take(l); drive(c.Flush())
func (c *Core) Step(l *wire.Message) {
	if l.To != c.cfg.Self || l.Shard != c.cfg.Shard || l.From == c.cfg.Self || !c.cfg.Group && !c.IsVoter(l.From) {
		return
	}
	switch l.Kind {
	case wire.MessageKind_STATE_REQUEST:
		if c.cfg.Group {
			return // a group's lost disk comes back as another member
		}
		c.handleStateRequest(l)
		return
	case wire.MessageKind_STATE_RESPONSE:
		c.handleStateResponse(l)
		return
	}
	if k := c.knownIncarnation(l.From); k != nil && k.Incarnation != l.Incarnation {
		return // another life has taken that name: this one counts no more
	}
	switch l.Kind {
	case wire.MessageKind_VOTE_RESPONSE, wire.MessageKind_PRE_VOTE_RESPONSE, wire.MessageKind_APPEND_RESPONSE:
		if l.About != c.hardState.Incarnation {
			return // an answer to another life of this name
		}
	}
	if c.hardState.DiskState == wire.DiskState_DISK_BLANK {
		return // no vote and no acknowledgement until caught up from both others
	}
	if l.Kind == wire.MessageKind_PRE_VOTE_REQUEST {
		ok := l.Term > c.hardState.Term && c.upToDate(l) && (c.leader == "" || c.role != leader && c.electionElapsed >= c.cfg.ElectionTicks)
		if ok && c.cfg.Group && c.role == preCandidate && c.yieldsTo(l) {
			c.role = follower
			c.resetElectionTimer()
		}
		c.send(&wire.Message{To: l.From, Kind: wire.MessageKind_PRE_VOTE_RESPONSE, Ok: ok, Probe: l.Term, About: l.Incarnation})
		return
	}
	if l.Term > c.hardState.Term {
		c.becomeFollower(l.Term, "")
	}
	switch l.Kind {
	case wire.MessageKind_PRE_VOTE_RESPONSE:
		if c.role == preCandidate && l.Ok && l.Probe == c.hardState.Term+1 {
			if c.votes[l.From] = true; c.hasElectionQuorum() {
				c.campaign(candidate)
			}
		}
	case wire.MessageKind_VOTE_REQUEST:
		c.handleVote(l)
	case wire.MessageKind_VOTE_RESPONSE:
		if c.role == candidate && l.Ok && l.Term == c.hardState.Term {
			if c.votes[l.From] = true; c.hasElectionQuorum() {
				c.becomeLeader()
			}
		}
	case wire.MessageKind_APPEND_REQUEST, wire.MessageKind_SNAPSHOT_REQUEST:
		c.handleAppend(l)
	case wire.MessageKind_APPEND_RESPONSE:
		c.handleAppendResponse(l)
	case wire.MessageKind_TRANSFER_LEADERSHIP:
		if l.Term == c.hardState.Term && l.From == c.leader && c.role == follower && c.IsVoter(c.cfg.Self) {
			c.campaign(candidate)
		}
	}
}

func (c *Core) upToDate(l *wire.Message) bool {
	t := c.lastTerm()
	return l.LogTerm > t || l.LogTerm == t && l.Index >= c.lastIndex()
}

// yields tells whether this member leaves standing to a colleague that asks at the same time: to
// one whose log is ahead, or that comes first by name. Members that begin together would all stand.
func (c *Core) yieldsTo(l *wire.Message) bool {
	return l.From < c.cfg.Self || l.LogTerm > c.lastTerm() || l.Index > c.lastIndex()
}

func (c *Core) handleVote(l *wire.Message) {
	ok := l.Term == c.hardState.Term && (c.hardState.Vote == "" || c.hardState.Vote == l.From) && c.upToDate(l)
	if ok {
		if c.hardState.Vote == "" {
			c.saveHardState(c.hardState.Term, l.From)
		}
		c.resetElectionTimer()
	}
	c.send(&wire.Message{To: l.From, Kind: wire.MessageKind_VOTE_RESPONSE, Ok: ok, About: l.Incarnation})
}

func (c *Core) handleAppend(l *wire.Message) {
	r := &wire.Message{To: l.From, Kind: wire.MessageKind_APPEND_RESPONSE, Index: c.lastIndex(), Probe: l.Probe, About: l.Incarnation}
	defer func() { c.send(r) }()
	if l.Term < c.hardState.Term {
		r.Probe = 0 // it may come to a later life of the asker, whose reads it must not confirm
		return      // an owner of the past: the answer's term tells it so
	}
	c.becomeFollower(l.Term, l.From)
	if l.Kind == wire.MessageKind_SNAPSHOT_REQUEST {
		c.installSnapshot(l.Snapshot)
		r.Ok, r.Index = true, l.Snapshot.Index
		return
	}
	if l.Index < c.snapshot.Index { // the front of it is swallowed already: skip that
		skip := c.snapshot.Index - l.Index
		if skip > uint64(len(l.Entries)) {
			r.Ok, r.Index = true, c.snapshot.Index
			return
		}
		l = &wire.Message{Incarnation: l.Incarnation, Index: c.snapshot.Index, LogTerm: c.snapshot.Term, Entries: l.Entries[skip:], Commit: l.Commit}
	}
	if t, ok := c.termAt(l.Index); !ok || t != l.LogTerm {
		r.Index = min(c.lastIndex(), l.Index-1)
		return
	}
	for _, e := range l.Entries {
		if t, ok := c.termAt(e.Index); ok && t == e.Term {
			continue
		} else if ok {
			c.truncate(e.Index)
			c.ready.Records = append(c.ready.Records, &wire.Record{Kind: &wire.Record_Cut{Cut: e.Index}})
		}
		c.appendEntry(e)
		c.ready.Records = append(c.ready.Records, &wire.Record{Kind: &wire.Record_Entry{Entry: e}})
	}
	r.Ok, r.Index = true, l.Index+uint64(len(l.Entries))
	c.commit = max(c.commit, min(l.Commit, r.Index))
}

// install replaces slot, state and log by an owner's slot, where that is ahead.
func (c *Core) installSnapshot(s *wire.Snapshot) {
	if s.Index <= c.commit {
		return
	}
	var stay []*wire.Entry
	if t, ok := c.termAt(s.Index); ok && t == s.Term {
		stay = append(stay, c.entriesFrom(s.Index+1)...)
	}
	c.adoptSnapshot(s, stay)
}

func (c *Core) adoptSnapshot(s *wire.Snapshot, stay []*wire.Entry) {
	s = proto.Clone(s).(*wire.Snapshot)
	s.HardState = c.hardState
	c.snapshot, c.log, c.commit, c.applied = s, stay, s.Index, s.Index
	c.reloadMembership()
	// What this step has persisted so far is in the slot's hard state and the log that stays.
	c.ready.Install, c.ready.Records, c.ready.Committed = s, entryRecords(stay), nil
}

func (c *Core) handleAppendResponse(l *wire.Message) {
	if c.role != leader || l.Term != c.hardState.Term {
		return
	}
	p := c.peers[l.From]
	if p == nil {
		return // removed, or a learner that isn't known any more: it asks again
	}
	p.sinceHeard = 0
	if p.incarnation != l.Incarnation { // another disk: what the old one had acknowledged counts no more
		p.incarnation, p.match, p.probe, p.inFlight, p.next = l.Incarnation, 0, 0, false, c.lastIndex()+1
		c.replicate(l.From, true)
		return
	}
	p.inFlight = false
	p.probe = max(p.probe, l.Probe)
	if !l.Ok && c.cfg.Group && l.Index < p.match {
		return // it has lost what it had acknowledged, which nobody may: asked again at the next beat, not at once
	}
	if !l.Ok {
		p.next = max(p.match+1, min(p.next-1, l.Index+1))
		c.replicate(l.From, true)
		return
	}
	p.match = max(p.match, l.Index)
	p.next = max(p.next, p.match+1)
	c.advanceCommit()
	if p.next <= c.replicationLimit(l.From) {
		c.replicate(l.From, false)
	}
}

// advance commits what a majority holds, if it is of this term.
func (c *Core) advanceCommit() {
	for i := c.lastIndex(); i > c.commit; i-- {
		if t, _ := c.termAt(i); t != c.hardState.Term {
			return
		}
		if c.hasQuorum(func(m string) bool { return c.peers[m].match >= i }) {
			c.commit = i
			c.eachPeer(func(m string) { c.replicate(m, true) })
			if !c.IsVoter(c.cfg.Self) && c.members.index <= c.commit {
				c.becomeFollower(c.hardState.Term, "") // its own removal is done
			}
			return
		}
	}
}
