// Package ledger is pebbleloom's own majority agreement: three colleagues keep one log of
// a part's commands. Core is a pure state machine; whoever drives it persists first, then
// sends, then applies.
package ledger

import (
	"math/rand/v2"

	"pebbleloom/internal/wire"
)

// Config is what one member knows of its part.
type Config struct {
	Part       uint32
	Self       string
	Members    []string // all three, Self among them; of a group none: its log tells
	Group      bool     // membership is agreed data (group.go)
	BeatTicks  int      // an owner speaks this often
	ElectTicks int      // silence that makes a colleague stand, at least; at most twice as long
	MaxBytes   int      // of entries in one letter
	Rand       *rand.Rand
}

// Out is what a step asks of the driver, in this order: persist, send, apply.
type Out struct {
	Install *wire.Slot // replaces slot, state and log; Records then holds the log that stays
	Records []*wire.Record
	Letters []*wire.Letter
	Commits []*wire.Entry
	Reads   []uint64 // reads that may now be answered from the applied state
	Lost    []uint64 // reads that can't be answered here any more
}

type role int

const (
	follower role = iota
	sounding      // asks whether it could win, before it takes a new term
	candidate
	owner
)

// usedVote marks a term in which this member may have voted before it lost its disk.
const usedVote = "-"

type colleague struct {
	next, match uint64
	inc         string // incarnation that match was told under
	probe       uint64 // highest probe it has echoed
	heard       int    // ticks since it spoke
	busy        bool
	slotAt      int // the tick in which it was sent a slot; 0: it wasn't
}

type waitRead struct{ id, probe, index uint64 }

// Core is one member of one part.
type Core struct {
	cfg     Config
	hard    *wire.Hard
	slot    *wire.Slot
	log     []*wire.Entry // what follows the slot
	commit  uint64
	applied uint64
	role    role
	owner   string
	silent  int // ticks since an owner spoke
	limit   int
	beat    int
	ticks   int // of this core, all in all
	heardAt int // the tick in which an owner spoke last
	yes     map[string]bool
	col     map[string]*colleague
	told    map[string]*wire.Letter // states heard while blank
	gens    map[string]uint64       // generations of its name that the others have known, heard while blank
	gen     uint64                  // the generation that it asks to be known under; 0: not picked yet
	probe   uint64
	reads   []waitRead
	readID  uint64
	stuck   string
	members membership // the newest in the log; of fixed members always the same
	slow    int        // beats since learners were fed
	out     Out
}

// New makes a member from what its shelf held. The slot must be there: a first start
// writes one with a blank standing and a new incarnation.
//
// Example: c := ledger.New(cfg, slot, records)
func New(cfg Config, slot *wire.Slot, rs []*wire.Record) *Core {
	c := &Core{cfg: cfg, slot: slot, hard: slot.Hard, commit: slot.Index, applied: slot.Index,
		col: map[string]*colleague{}, told: map[string]*wire.Letter{}, gens: map[string]uint64{}}
	c.regroup()
	for _, r := range rs {
		switch k := r.Kind.(type) {
		case *wire.Record_Hard:
			c.hard = k.Hard
		case *wire.Record_Entry:
			c.keep(k.Entry)
		case *wire.Record_Cut:
			c.cut(k.Cut)
		}
	}
	c.rest()
	if c.young() {
		c.limit = 1
	}
	return c
}

// First is the slot of a disk that was empty.
//
// Example: shelf.Turn(ledger.First("core-1/9f3a"), nil)
func First(inc string) *wire.Slot { return &wire.Slot{Epoch: 1, Hard: &wire.Hard{Incarnation: inc}} }

func (c *Core) last() uint64 {
	if n := len(c.log); n > 0 {
		return c.log[n-1].Index
	}
	return c.slot.Index
}

// termAt tells the term of an entry; false when the slot has swallowed it or it isn't there.
func (c *Core) termAt(i uint64) (uint64, bool) {
	if i == c.slot.Index {
		return c.slot.Term, true
	}
	if i < c.slot.Index || i > c.last() {
		return 0, false
	}
	return c.log[i-c.slot.Index-1].Term, true
}

func (c *Core) lastTerm() uint64 { t, _ := c.termAt(c.last()); return t }

func (c *Core) from(i uint64) []*wire.Entry {
	if i > c.last() {
		return nil
	}
	return c.log[i-c.slot.Index-1:]
}

func (c *Core) keep(e *wire.Entry) {
	if e.Index == c.last()+1 {
		c.log = append(c.log, e)
		c.heed(e)
	}
}

func (c *Core) cut(i uint64) {
	if i > c.slot.Index && i <= c.last() {
		c.log = c.log[: i-c.slot.Index-1 : i-c.slot.Index-1]
		c.regroup()
	}
}

func (c *Core) saveHard(term uint64, vote string) {
	c.hard = &wire.Hard{Term: term, Vote: vote, Incarnation: c.hard.Incarnation, Standing: c.hard.Standing, Known: c.hard.Known}
	c.out.Records = append(c.out.Records, &wire.Record{Kind: &wire.Record_Hard{Hard: c.hard}})
}

func (c *Core) send(l *wire.Letter) {
	l.Part, l.From, l.Incarnation, l.Standing = c.cfg.Part, c.cfg.Self, c.hard.Incarnation, c.hard.Standing
	if l.Term == 0 {
		l.Term = c.hard.Term
	}
	c.out.Letters = append(c.out.Letters, l)
}

func (c *Core) others(f func(string)) {
	for _, m := range c.members.names {
		if m != c.cfg.Self {
			f(m)
		}
	}
}

// most tells whether a majority of the members passes, this one counted where it is a member.
func (c *Core) most(pass func(m string) bool) bool {
	n := 0
	for _, m := range c.members.names {
		if m == c.cfg.Self || pass(m) {
			n++
		}
	}
	return 2*n > len(c.members.names)
}

func (c *Core) elected() bool { return c.most(func(m string) bool { return c.yes[m] }) }

// Tick moves the member's time on by one.
//
// Example: c.Tick(); drive(c.Flush())
func (c *Core) Tick() {
	c.beat++
	c.ticks++
	if c.hard.Standing == wire.Standing_BLANK {
		if c.beat%(2*c.cfg.BeatTicks) == 1 {
			c.askState()
		}
		return
	}
	if c.role == owner {
		for _, p := range c.col {
			p.heard++
		}
		if !c.most(func(m string) bool { return c.col[m].heard < 2*c.cfg.ElectTicks }) {
			c.follow(c.hard.Term, "")
			return
		}
		if c.beat >= c.cfg.BeatTicks {
			c.beat = 0
			c.others(func(m string) { c.feed(m, true) })
			c.feedLearners()
		}
		return
	}
	if c.silent++; c.silent >= c.limit && c.Sits(c.cfg.Self) {
		c.stand(sounding)
	}
}

// follow falls back to following; a later term is persisted with its vote unused.
func (c *Core) follow(term uint64, who string) {
	if term > c.hard.Term {
		c.saveHard(term, "")
	}
	if c.role == owner {
		for _, r := range c.reads {
			c.out.Lost = append(c.out.Lost, r.id)
		}
		c.reads = nil
	}
	if c.role != follower || who != "" {
		c.rest()
	}
	c.role, c.owner = follower, who
	if who != "" {
		c.heardAt = c.ticks
	}
}

// stand asks the colleagues for their votes: first whether it would win (sounding, which
// changes nothing), then for real in a new term.
func (c *Core) stand(as role) {
	c.rest()
	c.role, c.owner, c.yes = as, "", map[string]bool{c.cfg.Self: true}
	k, term := wire.LetterKind_ASK_SOUND, c.hard.Term+1
	if as == candidate {
		k = wire.LetterKind_ASK_VOTE
		c.saveHard(term, c.cfg.Self)
	}
	c.others(func(m string) {
		c.send(&wire.Letter{To: m, Kind: k, Term: term, Index: c.last(), LogTerm: c.lastTerm()})
	})
	switch {
	case !c.elected(): // more votes are needed than its own
	case as == sounding:
		c.stand(candidate)
	default:
		c.win()
	}
}

func (c *Core) win() {
	c.role, c.owner, c.beat = owner, c.cfg.Self, 0
	clear(c.col)
	c.others(func(m string) { c.col[m] = c.colleague(m) })
	c.add(nil, c.members.tell(c.cfg.Group)) // an entry of its own term, so that earlier ones commit
}

func (c *Core) add(body []byte, members []string) uint64 {
	e := &wire.Entry{Index: c.last() + 1, Term: c.hard.Term, Body: body, Members: members}
	c.keep(e)
	c.out.Records = append(c.out.Records, &wire.Record{Kind: &wire.Record_Entry{Entry: e}})
	c.others(func(m string) { c.feed(m, false) })
	if len(c.members.names) == 1 {
		c.advance() // nobody else is asked
	}
	return e.Index
}

// feed sends a colleague what it lacks; at a beat also when nothing is lacking.
func (c *Core) feed(m string, beat bool) {
	p := c.col[m]
	if p.busy && !beat {
		return
	}
	prev := p.next - 1
	t, ok := c.termAt(prev)
	if !ok {
		if c.cfg.Group && p.slotAt > 0 && c.ticks-p.slotAt < c.cfg.ElectTicks/2 {
			return // it is under way, and large
		}
		p.slotAt = c.ticks
		c.send(&wire.Letter{To: m, Kind: wire.LetterKind_ASK_SLOT, Slot: c.slot, Commit: c.commit, Probe: c.probe})
		p.busy = true
		return
	}
	var es []*wire.Entry
	n := 0
	for _, e := range c.from(p.next) {
		if e.Index > c.ceiling(m) {
			break
		}
		if n += len(e.Body) + 16; n > c.cfg.MaxBytes && len(es) > 0 {
			break
		}
		es = append(es, e)
	}
	p.busy = len(es) > 0
	c.send(&wire.Letter{To: m, Kind: wire.LetterKind_ASK_APPEND, Index: prev, LogTerm: t, Entries: es, Commit: c.commit, Probe: c.probe})
}

// Propose adds a command where this member owns the part; false elsewhere.
//
// Example: i, ok := c.Propose(body)
func (c *Core) Propose(body []byte) (index, term uint64, ok bool) {
	if c.role != owner {
		return 0, 0, false
	}
	return c.add(body, nil), c.hard.Term, true
}

// Read begins a read that sees all that was acknowledged before it; its id comes back in
// Out.Reads once a majority has confirmed that this member still owns the part.
//
// Example: id, ok := c.Read()
func (c *Core) Read() (uint64, bool) {
	if t, _ := c.termAt(c.commit); c.role != owner || t != c.hard.Term {
		return 0, false
	}
	c.readID++
	c.probe++
	c.reads = append(c.reads, waitRead{c.readID, c.probe, c.commit})
	c.others(func(m string) { c.feed(m, true) })
	return c.readID, true
}

// Flush hands over what the steps since the last Flush ask for.
//
// Example: o := c.Flush()
func (c *Core) Flush() Out {
	if c.commit > c.applied {
		for _, e := range c.from(c.applied + 1) {
			if e.Index > c.commit {
				break
			}
			c.out.Commits = append(c.out.Commits, e)
		}
		c.applied = c.commit
	}
	c.settleReads()
	o := c.out
	c.out = Out{}
	return o
}

func (c *Core) settleReads() {
	var stay []waitRead
	for _, r := range c.reads {
		if c.applied >= r.index && c.most(func(m string) bool { return c.col[m].probe >= r.probe }) {
			c.out.Reads = append(c.out.Reads, r.id)
		} else {
			stay = append(stay, r)
		}
	}
	c.reads = stay
}

// Compact lets the slot swallow the log up to what is applied; the driver turns the shelf
// to the slot with the records that stay.
//
// Example: slot, rest := c.Compact(state)
func (c *Core) Compact(state []byte) (*wire.Slot, []*wire.Record) {
	t, _ := c.termAt(c.applied)
	stay := append([]*wire.Entry(nil), c.from(c.applied+1)...)
	at := c.memberships(c.applied)
	c.slot = &wire.Slot{Epoch: 1, Index: c.applied, Term: t, Hard: c.hard, State: state,
		Members: at.tell(c.cfg.Group), MembersIndex: at.index, MembersTerm: at.term}
	c.log = stay
	return c.slot, entryRecords(stay)
}

func entryRecords(es []*wire.Entry) []*wire.Record {
	rs := make([]*wire.Record, 0, len(es))
	for _, e := range es {
		rs = append(rs, &wire.Record{Kind: &wire.Record_Entry{Entry: e}})
	}
	return rs
}
