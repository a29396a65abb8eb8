package ledger

import (
	"google.golang.org/protobuf/proto"

	"pebbleloom/internal/wire"
)

// Take reads one letter. Letters may be lost, late, doubled or out of order.
//
// Example: c.Take(l); drive(c.Flush())
func (c *Core) Take(l *wire.Letter) {
	if l.To != c.cfg.Self || l.Part != c.cfg.Part || l.From == c.cfg.Self || !c.cfg.Group && !c.Sits(l.From) {
		return
	}
	switch l.Kind {
	case wire.LetterKind_ASK_STATE:
		if c.cfg.Group {
			return // a group's lost disk comes back as another member
		}
		c.tellState(l)
		return
	case wire.LetterKind_TELL_STATE:
		c.hearState(l)
		return
	}
	if k := c.known(l.From); k != nil && k.Incarnation != l.Incarnation {
		return // another life has taken that name: this one counts no more
	}
	switch l.Kind {
	case wire.LetterKind_TELL_VOTE, wire.LetterKind_TELL_SOUND, wire.LetterKind_TELL_APPEND:
		if l.About != c.hard.Incarnation {
			return // an answer to another life of this name
		}
	}
	if c.hard.Standing == wire.Standing_BLANK {
		return // no vote and no acknowledgement until caught up from both others
	}
	if l.Kind == wire.LetterKind_ASK_SOUND {
		ok := l.Term > c.hard.Term && c.upToDate(l) && (c.owner == "" || c.role != owner && c.silent >= c.cfg.ElectTicks)
		if ok && c.cfg.Group && c.role == sounding && c.yields(l) {
			c.role = follower
			c.rest()
		}
		c.send(&wire.Letter{To: l.From, Kind: wire.LetterKind_TELL_SOUND, Ok: ok, Probe: l.Term, About: l.Incarnation})
		return
	}
	if l.Term > c.hard.Term {
		c.follow(l.Term, "")
	}
	switch l.Kind {
	case wire.LetterKind_TELL_SOUND:
		if c.role == sounding && l.Ok && l.Probe == c.hard.Term+1 {
			if c.yes[l.From] = true; c.elected() {
				c.stand(candidate)
			}
		}
	case wire.LetterKind_ASK_VOTE:
		c.tellVote(l)
	case wire.LetterKind_TELL_VOTE:
		if c.role == candidate && l.Ok && l.Term == c.hard.Term {
			if c.yes[l.From] = true; c.elected() {
				c.win()
			}
		}
	case wire.LetterKind_ASK_APPEND, wire.LetterKind_ASK_SLOT:
		c.tellAppend(l)
	case wire.LetterKind_TELL_APPEND:
		c.hearAppend(l)
	case wire.LetterKind_HAND_OVER:
		if l.Term == c.hard.Term && l.From == c.owner && c.role == follower && c.Sits(c.cfg.Self) {
			c.stand(candidate)
		}
	}
}

func (c *Core) upToDate(l *wire.Letter) bool {
	t := c.lastTerm()
	return l.LogTerm > t || l.LogTerm == t && l.Index >= c.last()
}

// yields tells whether this member leaves standing to a colleague that asks at the same time: to
// one whose log is ahead, or that comes first by name. Members that begin together would all stand.
func (c *Core) yields(l *wire.Letter) bool {
	return l.From < c.cfg.Self || l.LogTerm > c.lastTerm() || l.Index > c.last()
}

func (c *Core) tellVote(l *wire.Letter) {
	ok := l.Term == c.hard.Term && (c.hard.Vote == "" || c.hard.Vote == l.From) && c.upToDate(l)
	if ok {
		if c.hard.Vote == "" {
			c.saveHard(c.hard.Term, l.From)
		}
		c.rest()
	}
	c.send(&wire.Letter{To: l.From, Kind: wire.LetterKind_TELL_VOTE, Ok: ok, About: l.Incarnation})
}

func (c *Core) tellAppend(l *wire.Letter) {
	r := &wire.Letter{To: l.From, Kind: wire.LetterKind_TELL_APPEND, Index: c.last(), Probe: l.Probe, About: l.Incarnation}
	defer func() { c.send(r) }()
	if l.Term < c.hard.Term {
		r.Probe = 0 // it may come to a later life of the asker, whose reads it must not confirm
		return      // an owner of the past: the answer's term tells it so
	}
	c.follow(l.Term, l.From)
	if l.Kind == wire.LetterKind_ASK_SLOT {
		c.install(l.Slot)
		r.Ok, r.Index = true, l.Slot.Index
		return
	}
	if l.Index < c.slot.Index { // the front of it is swallowed already: skip that
		skip := c.slot.Index - l.Index
		if skip > uint64(len(l.Entries)) {
			r.Ok, r.Index = true, c.slot.Index
			return
		}
		l = &wire.Letter{Incarnation: l.Incarnation, Index: c.slot.Index, LogTerm: c.slot.Term, Entries: l.Entries[skip:], Commit: l.Commit}
	}
	if t, ok := c.termAt(l.Index); !ok || t != l.LogTerm {
		r.Index = min(c.last(), l.Index-1)
		return
	}
	for _, e := range l.Entries {
		if t, ok := c.termAt(e.Index); ok && t == e.Term {
			continue
		} else if ok {
			c.cut(e.Index)
			c.out.Records = append(c.out.Records, &wire.Record{Kind: &wire.Record_Cut{Cut: e.Index}})
		}
		c.keep(e)
		c.out.Records = append(c.out.Records, &wire.Record{Kind: &wire.Record_Entry{Entry: e}})
	}
	r.Ok, r.Index = true, l.Index+uint64(len(l.Entries))
	c.commit = max(c.commit, min(l.Commit, r.Index))
}

// install replaces slot, state and log by an owner's slot, where that is ahead.
func (c *Core) install(s *wire.Slot) {
	if s.Index <= c.commit {
		return
	}
	var stay []*wire.Entry
	if t, ok := c.termAt(s.Index); ok && t == s.Term {
		stay = append(stay, c.from(s.Index+1)...)
	}
	c.adopt(s, stay)
}

func (c *Core) adopt(s *wire.Slot, stay []*wire.Entry) {
	s = proto.Clone(s).(*wire.Slot)
	s.Hard = c.hard
	c.slot, c.log, c.commit, c.applied = s, stay, s.Index, s.Index
	c.regroup()
	// What this step has persisted so far is in the slot's hard state and the log that stays.
	c.out.Install, c.out.Records, c.out.Commits = s, entryRecords(stay), nil
}

func (c *Core) hearAppend(l *wire.Letter) {
	if c.role != owner || l.Term != c.hard.Term {
		return
	}
	p := c.col[l.From]
	if p == nil {
		return // removed, or a learner that isn't known any more: it asks again
	}
	p.heard = 0
	if p.inc != l.Incarnation { // another disk: what the old one had acknowledged counts no more
		p.inc, p.match, p.probe, p.busy, p.next = l.Incarnation, 0, 0, false, c.last()+1
		c.feed(l.From, true)
		return
	}
	p.busy = false
	p.probe = max(p.probe, l.Probe)
	if !l.Ok && c.cfg.Group && l.Index < p.match {
		return // it has lost what it had acknowledged, which nobody may: asked again at the next beat, not at once
	}
	if !l.Ok {
		p.next = max(p.match+1, min(p.next-1, l.Index+1))
		c.feed(l.From, true)
		return
	}
	p.match = max(p.match, l.Index)
	p.next = max(p.next, p.match+1)
	c.advance()
	if p.next <= c.ceiling(l.From) {
		c.feed(l.From, false)
	}
}

// advance commits what a majority holds, if it is of this term.
func (c *Core) advance() {
	for i := c.last(); i > c.commit; i-- {
		if t, _ := c.termAt(i); t != c.hard.Term {
			return
		}
		if c.most(func(m string) bool { return c.col[m].match >= i }) {
			c.commit = i
			c.others(func(m string) { c.feed(m, true) })
			if !c.Sits(c.cfg.Self) && c.members.index <= c.commit {
				c.follow(c.hard.Term, "") // its own removal is done
			}
			return
		}
	}
}
