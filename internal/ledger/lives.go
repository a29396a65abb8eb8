package ledger

import "pebbleloom/internal/wire"

// A member that lost its disk, or a machine that was started under a name that another
// still has, begins blank. It is let in by both others together: it asks which generation
// of its name they know, picks the next one, and asks to be known under it. Each of them
// writes that down before it tells its state, and from then on hears no older life of that
// name. So of two machines under one name at most one counts, whatever wakes up later.

func (c *Core) known(name string) *wire.Known {
	for _, k := range c.hard.Known {
		if k.Name == name {
			return k
		}
	}
	return nil
}

// know writes down which life of a colleague counts.
func (c *Core) know(name, inc string, gen uint64) {
	l := []*wire.Known{{Name: name, Incarnation: inc, Gen: gen}}
	for _, k := range c.hard.Known {
		if k.Name != name {
			l = append(l, k)
		}
	}
	c.hard = &wire.Hard{Term: c.hard.Term, Vote: c.hard.Vote, Incarnation: c.hard.Incarnation, Standing: c.hard.Standing, Known: l}
	c.out.Records = append(c.out.Records, &wire.Record{Kind: &wire.Record_Hard{Hard: c.hard}})
}

// Lives tells which life of each colleague counts here, and this member's own.
//
// Example: own, others := c.Lives()
func (c *Core) Lives() (string, []*wire.Known) { return c.hard.Incarnation, c.hard.Known }

func (c *Core) askState() {
	c.others(func(m string) {
		c.send(&wire.Letter{To: m, Kind: wire.LetterKind_ASK_STATE, About: c.hard.Incarnation, Gen: c.gen})
	})
}

// tellState answers a blank member: first which generation of its name is known here; then,
// once that member is known under the generation it picked, the whole state.
func (c *Core) tellState(l *wire.Letter) {
	k := c.known(l.From)
	r := &wire.Letter{To: l.From, Kind: wire.LetterKind_TELL_STATE, About: l.About, Gen: k.GetGen()}
	if l.Gen > 0 && l.Gen > k.GetGen() {
		c.know(l.From, l.Incarnation, l.Gen)
		if c.role == owner {
			p := c.col[l.From]
			*p = colleague{next: c.last() + 1, inc: l.Incarnation, heard: p.heard}
		}
		k = c.known(l.From)
	}
	if l.Gen > 0 && k.Gen == l.Gen && k.Incarnation == l.Incarnation {
		r.Ok, r.Gen, r.Index, r.LogTerm, r.Known = true, l.Gen, c.last(), c.lastTerm(), c.hard.Known
		r.Slot, r.Entries = c.slot, append([]*wire.Entry(nil), c.log...)
	}
	c.send(r)
}

// hearState leads a blank member in. A first founding is told from a lost disk by the
// others: founded colleagues with a log mean that there was a past.
func (c *Core) hearState(l *wire.Letter) {
	if c.hard.Standing != wire.Standing_BLANK || l.About != c.hard.Incarnation {
		return
	}
	if c.gen == 0 {
		if c.gens[l.From] = l.Gen; len(c.gens) < len(c.cfg.Members)-1 {
			return
		}
		for _, g := range c.gens {
			c.gen = max(c.gen, g+1)
		}
		clear(c.told)
		c.askState()
		return
	}
	if !l.Ok {
		if l.Gen >= c.gen { // another life was quicker
			c.anew()
		}
		return
	}
	if l.Gen != c.gen {
		return
	}
	if c.told[l.From] = l; len(c.told) < len(c.cfg.Members)-1 {
		return
	}
	c.enter()
}

func (c *Core) anew() {
	c.gen = 0
	clear(c.gens)
	clear(c.told)
}

// enter takes the more advanced of the two states it was told, once they are of lives that
// count for each other.
func (c *Core) enter() {
	var best *wire.Letter
	var term uint64
	var known []*wire.Known
	blanks, strangers := 0, false
	c.others(func(m string) {
		t := c.told[m]
		k := &wire.Known{Name: m, Incarnation: t.Incarnation}
		c.others(func(o string) {
			for _, x := range c.told[o].Known {
				if x.Name == m {
					strangers = strangers || x.Incarnation != t.Incarnation
					k.Gen = x.Gen
				}
			}
		})
		known = append(known, k)
		if t.Standing == wire.Standing_BLANK {
			blanks++
			return
		}
		term = max(term, t.Term)
		if best == nil || t.LogTerm > best.LogTerm || t.LogTerm == best.LogTerm && t.Index > best.Index {
			best = t
		}
	})
	if strangers {
		c.anew()
		return
	}
	if blanks > 0 && best != nil && best.Index > 0 {
		c.stuck = "a colleague is blank too, yet the part has a past: two disks are lost"
		clear(c.told)
		return
	}
	c.stuck = ""
	vote := ""
	if term > 0 {
		vote = usedVote // it may have voted in that term before it lost its disk
	}
	for _, k := range c.hard.Known { // lives that were let in here meanwhile
		for _, x := range known {
			if x.Name == k.Name && k.Gen >= x.Gen {
				x.Incarnation, x.Gen = k.Incarnation, k.Gen
			}
		}
	}
	c.hard = &wire.Hard{Term: term, Vote: vote, Incarnation: c.hard.Incarnation, Standing: wire.Standing_FOUNDED, Known: known}
	if best == nil {
		best = &wire.Letter{Slot: First(c.hard.Incarnation)}
	}
	c.adopt(best.Slot, best.Entries)
	clear(c.told)
	c.rest()
}
