package controlstate

import (
	"slices"
	"time"

	"pebbleloom/internal/wire"
)

// claims remembers who took which once-only id. Ids are forgotten by age, never by count: a
// flood can't make an id runnable again whose caller may still repeat it. The age is the
// part's own: each owner adds the time that it saw pass, so between owners it stands still,
// and ids are kept a little longer. It is in the log, so every member forgets the same.
type claims struct {
	by    map[[16]byte]taken
	order []token
	age   uint64
}

type taken struct{ nonce, at uint64 }

type token struct {
	id [16]byte
	at uint64
}

func newClaims() claims { return claims{by: map[[16]byte]taken{}} }

// pass lets time pass, and forgets what is older than keep.
func (c *claims) pass(passed, keep uint64) {
	c.age += passed
	n := 0
	for n < len(c.order) && c.order[n].at+keep <= c.age {
		if o := c.order[n]; c.by[o.id].at == o.at {
			delete(c.by, o.id)
		}
		n++
	}
	c.order = c.order[n:]
	if len(c.order) > 2*maxClaims { // places of ids that were given back
		c.order = slices.DeleteFunc(c.order, func(o token) bool { t, ok := c.by[o.id]; return !ok || t.at != o.at })
	}
}

// take gives an id to the first that claims it; a claim asked for again by the same is
// granted again, since its answer may have been lost. Whoever holds an id may give it back.
// A table full of young ids takes no more: full is true, and nothing was claimed.
func (c *claims) take(x *wire.Claim) (granted, full bool) {
	if len(x.Id) != 16 {
		return false, false
	}
	id := [16]byte(x.Id)
	t, held := c.by[id]
	switch {
	case x.Release:
		if held && t.nonce == x.Nonce {
			delete(c.by, id) // its place in the order is passed over when it comes up
		}
		return held && t.nonce == x.Nonce, false
	case held:
		return t.nonce == x.Nonce, false
	case len(c.by) >= maxClaims:
		return false, true
	}
	c.put(id, taken{x.Nonce, c.age})
	return true, false
}

func (c *claims) put(id [16]byte, t taken) {
	c.by[id] = t
	c.order = append(c.order, token{id, t.at})
}

func (c *claims) save() (l []*wire.Claim) {
	for _, o := range c.order {
		if t, ok := c.by[o.id]; ok && t.at == o.at {
			l = append(l, &wire.Claim{Id: o.id[:], Nonce: t.nonce, AtNs: t.at})
		}
	}
	return l
}

// load takes what was kept. What was kept without an age counts as young: its release knew none.
func (c *claims) load(l []*wire.Claim, age uint64) {
	c.age = age
	for _, x := range l {
		if len(x.Id) == 16 {
			c.put([16]byte(x.Id), taken{x.Nonce, x.AtNs})
		}
	}
}

// passed is how long the owner has seen pass since its last claims of this term. Time that is
// lost, with a command or between owners, only makes the part seem younger.
func (p *shard) passed(term uint64) (d time.Duration) {
	now := p.clock.Now()
	if p.agedTerm == term {
		d = max(0, now-p.agedAt)
	}
	p.agedTerm, p.agedAt = term, now
	return d
}
