package promptindex

import (
	"crypto/sha256"
	"strconv"
	"time"

	"pebbleloom/internal/data/backend"
	"pebbleloom/internal/data/prefix"
	"pebbleloom/internal/wire"
)

const (
	enough  = 0.9 // of a part's tokens, kept: fewer don't count as holding it
	block   = 16  // tokens that a worker's room may go by: it keeps whole blocks
	faint   = 0.05
	longest = 256 // bytes of a text and part that are hashed without a buffer of their own
)

// KeyOf names one part as it is kept under a cache text. A part's ID stands for its whole
// opening; the text for wall, model and version.
//
// Example: k := catalogue.KeyOf("1.2.m0", "5c1e07a2")
func KeyOf(salt, part string) (k prefix.Key) {
	var a [longest]byte
	b := strconv.AppendInt(a[:0], int64(len(salt)), 10)
	b = append(append(append(b, ' '), salt...), part...)
	sum := sha256.Sum256(b)
	copy(k[:], sum[:])
	return k
}

// UpKey is held by a store for as long as it answers.
//
// Example: up := len(found[catalogue.UpKey("cartons")].GetHolders()) > 0
func UpKey(store string) prefix.Key { return KeyOf("\x00up", store) }

// partial tells whether too little of an entry is held for it to count.
func (h hold) partial(e *entry) bool {
	return h.tokens > 0 && h.tokens+block <= e.tokens && float64(h.tokens) < enough*float64(e.tokens)
}

// Next tells what to ask a worker or store of a site for next. One that never answered is asked
// from its beginning: mostly that is all.
//
// Example: q := c.Next(w.ID, w.Service); e, err := calls.Events(ctx, w.Addr, q.After, wait)
func (c *Core) Next(name, service string) Question {
	q := c.Want(name, service)
	q.Whole = q.Whole && c.worker(name).inc != ""
	return q
}

// Changes takes a worker's answer: changes since q.After, or all that it keeps where q.Whole.
// After a gap what is known stays, and all is asked for at leisure; another boot has dropped
// whatever was kept.
//
// Example: c.Changes(q, events, now)
func (c *Core) Changes(q Question, e backend.Events, now time.Duration) {
	w := c.worker(q.Name)
	if q.turn != w.turn || e.Full {
		return
	}
	w.heard = now
	w.turn++ // each question is answered once
	if boot := strconv.FormatUint(e.Boot, 10); boot != w.inc {
		old := w.inc
		w.inc, w.whole = boot, false
		if old != "" {
			w.gen++ // whatever the old boot kept is gone
		}
		if !q.Whole && q.After > 0 && old != "" {
			w.number, w.told = 0, false
			return // asked with another boot's number: ask again from the start
		}
	}
	if q.Whole {
		w.gen++
		c.Stats.Wholes++
	} else if e.Lost {
		w.whole = true
		c.Stats.Gaps++
	}
	for _, x := range e.List {
		c.change(q, w, x, now)
	}
	w.number = e.Next
	if q.Whole {
		w.whole = false
	}
	w.told = w.told || !e.Lost || q.Whole
}

func (c *Core) change(q Question, w *worker, x backend.Change, now time.Duration) {
	k := KeyOf(x.Salt, x.Part)
	if !c.mine(k) {
		return
	}
	if x.Tokens <= 0 {
		if e := c.all[k]; e != nil {
			delete(e.holders, q.Name)
			c.drop(k, e, now)
		}
		return
	}
	e := c.entry(k, now)
	e.tokens = max(e.tokens, uint32(x.Tokens))
	if e.service == "" {
		e.service = q.Service
	}
	e.holders[q.Name] = hold{Confirmed, now, w.gen, uint32(x.Tokens)}
}

// Up notes that a store answers.
//
// Example: c.Up("cartons", now)
func (c *Core) Up(store string, now time.Duration) {
	c.entry(UpKey(store), now).holders[store] = hold{state: Presumed, at: now, gen: c.worker(store).gen}
}

// Down notes that a store doesn't answer. What it holds stays known: it may be the way to it.
//
// Example: c.Down("cartons")
func (c *Core) Down(store string) { delete(c.all, UpKey(store)) }

// drop removes an entry that nobody holds and nobody asks for.
func (c *Core) drop(k prefix.Key, e *entry, now time.Duration) bool {
	c.decay(e, now)
	if len(e.holders) > 0 || e.hot >= faint {
		return false
	}
	delete(c.all, k)
	return true
}

// Sweep forgets holdings that no longer count, entries without any, and workers that left.
//
// Example: c.Sweep(listed, now)
func (c *Core) Sweep(listed map[string]bool, now time.Duration) {
	for k, e := range c.all {
		for n, h := range e.holders {
			if !c.holds(n, h, now) {
				delete(e.holders, n)
				c.Stats.Lapsed++
			}
		}
		c.drop(k, e, now)
	}
	for n, w := range c.workers {
		if !listed[n] && now-w.heard > c.b.Heal(2.5) {
			delete(c.workers, n)
		}
	}
}

// Cool makes the index unsure of all workers: it hasn't followed them.
//
// Example: c.Cool()
func (c *Core) Cool() {
	for _, w := range c.workers {
		w.told = false
	}
}

// Join makes one finding of two index nodes' findings; either may be nil.
//
// Example: got[k] = catalogue.Join(got[k], t.Found[i])
func Join(a, b *wire.Found) *wire.Found { return join(a, b) }
