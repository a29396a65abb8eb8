package archive

import (
	"context"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"

	"pebbleloom/internal/calendar"
	"pebbleloom/internal/clock"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/ledger"
	"pebbleloom/internal/queue"
	"pebbleloom/internal/retire"
	"pebbleloom/internal/shelf"
	"pebbleloom/internal/wire"
)

type pend struct {
	term uint64
	tell chan *wire.ChangeTell
}

// part runs one member of one part: one thread owns core, state and shelf.
type part struct {
	n        uint32
	core     *ledger.Core
	st       *state
	sh       *shelf.Shelf
	clk      clock.Clock
	log      hclog.Logger
	post     func(*wire.Letter)
	in       *queue.Ring[func()]
	pending  map[uint64]pend
	reads    map[uint64]chan bool
	news     map[chan struct{}]bool
	heavy    chan struct{} // held by the change that merges and checks a setup
	keep     time.Duration // how long once-only ids are remembered
	agedAt   time.Duration // when the part's age was last told, and in which term
	agedTerm uint64
	turnAt   int // the log is turned into a slot when it is longer than this
	bad      error
	ctx      context.Context
	*group   // nil where the members are fixed
}

// openPart reads the shelf and makes the member; an empty disk begins blank under a new
// incarnation.
func openPart(ctx context.Context, cfg ledger.Config, d shelf.Disk, inc func() string, clk clock.Clock, log hclog.Logger, post func(*wire.Letter)) (*part, error) {
	p := newPart(ctx, cfg.Part, clk, log, post)
	l, err := p.load(d, func() *wire.Slot { return ledger.First(inc()) }) // whatever was here before counts no more, under any name
	if err != nil {
		return nil, err
	}
	p.core = ledger.New(cfg, l.Slot, l.Records)
	return p, nil
}

func newPart(ctx context.Context, n uint32, clk clock.Clock, log hclog.Logger, post func(*wire.Letter)) *part {
	return &part{n: n, st: newState(), clk: clk, log: log.With("part", n), post: post, ctx: ctx,
		in: queue.NewRing[func()](512), pending: map[uint64]pend{}, reads: map[uint64]chan bool{},
		news: map[chan struct{}]bool{}, turnAt: 1 << 20, keep: keepIds, heavy: make(chan struct{}, 1)}
}

// load reads the shelf, state included; an empty disk gets a first slot.
func (p *part) load(d shelf.Disk, first func() *wire.Slot) (l shelf.Loaded, err error) {
	if p.sh, l, err = shelf.Open(d); err != nil {
		return l, errs.Wrap(err, "open part")
	}
	if l.Slot == nil {
		l.Slot = first()
		if err := p.sh.Turn(l.Slot, nil); err != nil {
			return l, errs.Wrap(err, "first slot")
		}
		p.log.Info("empty disk: it begins anew", "incarnation", l.Slot.Hard.Incarnation, "members", l.Slot.Members)
	}
	if l.Torn > 0 {
		p.log.Warn("torn tail cut off", "bytes", l.Torn)
	}
	if l.Slot.Epoch != 1 {
		return l, errs.New(errs.DiskBad, "slot of epoch %d: this program reads epoch 1: start the newer program", l.Slot.Epoch)
	}
	return l, errs.As(p.st.load(l.Slot.State, p.clk.Now()), errs.DiskBad, "read slot state")
}

func (p *part) run(tick time.Duration) {
	t := clock.Every(tick)
	defer t.Stop()
	at := func() {
		if p.bad == nil {
			p.core.Tick()
		}
		p.watch()
	}
	at() // what begins anew doesn't wait for the first tick
	p.step()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-t.C:
			at()
		case f := <-p.in.Out():
			f()
			for _, g := range p.in.Drain(63) {
				g()
			}
		}
		p.step()
	}
}

// step persists, then sends, then applies what the core asks for. A failed sync takes the
// member out: it acknowledges and sends nothing more.
func (p *part) step() {
	if p.bad != nil {
		return
	}
	o := p.core.Flush()
	var b errs.Batch
	if o.Install != nil {
		b.Note("install", p.sh.Turn(o.Install, o.Records))
		if b.Look() == nil {
			b.Note("load", p.st.load(o.Install.State, p.clk.Now()))
			p.wake()
		}
	} else {
		b.Note("persist", p.sh.Append(o.Records))
	}
	if err := b.Look(); err != nil {
		p.fail(err)
		return
	}
	p.show(ledger.Out{Install: o.Install, Records: o.Records}) // before anybody hears that it is on this disk
	for _, l := range o.Letters {
		p.post(l)
	}
	for _, e := range o.Commits {
		p.commit(e)
	}
	for _, id := range o.Reads {
		p.answer(id, true)
	}
	for _, id := range o.Lost {
		p.answer(id, false)
	}
	if p.sh.Size() > p.turnAt && len(o.Commits) > 0 {
		body, err := p.st.save()
		if err == nil {
			err = p.sh.Turn(p.core.Compact(body))
		}
		if err != nil {
			p.fail(err)
		}
	}
	p.show(ledger.Out{Commits: o.Commits})
}

func (p *part) answer(id uint64, ok bool) {
	if c := p.reads[id]; c != nil {
		c <- ok
		delete(p.reads, id)
	}
}

func (p *part) fail(err error) {
	p.bad = err
	p.log.Error("member is out", "error", errs.Text(err))
	for id := range p.reads {
		p.answer(id, false)
	}
	p.wake()
	p.show(ledger.Out{})
}

func (p *part) wake() {
	for c := range p.news {
		close(c)
	}
	clear(p.news)
}

func (p *part) commit(e *wire.Entry) {
	tell := &wire.ChangeTell{Outcome: "done"}
	if len(e.Body) > 0 {
		c := &wire.Command{}
		if err := proto.Unmarshal(e.Body, c); err != nil {
			p.fail(errs.As(err, errs.DiskBad, "read committed entry"))
			return
		}
		tell = p.st.apply(c, p.clk.Now())
	}
	p.wake()
	if w, ok := p.pending[e.Index]; ok {
		delete(p.pending, e.Index)
		if w.term != e.Term {
			tell = &wire.ChangeTell{Outcome: "not-owner"} // another entry took its place: it never ran
		}
		w.tell <- tell
	}
}

// handOver gives the part to a colleague that has caught up, before this node stops.
func (p *part) handOver() {
	p.in.Offer(func() {
		if p.bad == nil && p.core.HandOver() {
			p.log.Info("part handed over")
		}
	})
}

// ask runs f on the part's thread; false when the part is too busy or ending.
func (p *part) ask(ctx context.Context, f func()) bool {
	done := make(chan struct{})
	if !p.in.Offer(func() { f(); close(done) }) {
		return false
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	case <-p.ctx.Done():
		return false
	}
}

// told asks for a value on the part's thread; or is what holds where no answer comes in time.
func told[T any](ctx context.Context, p *part, or T, f func() T) T {
	c := make(chan T, 1) // an answer that comes late is nobody's
	if p.ask(ctx, func() { c <- f() }) {
		return <-c
	}
	return or
}

// entry checks a calendar entry against the others of its service.
func (p *part) entry(u *wire.Put) error {
	e, err := calendar.Read(u.Body)
	if err != nil {
		return err
	}
	var b errs.Batch
	if e.Check(&b); calendar.Key(e.Service, e.Name) != u.Key {
		b.Fault(errs.BadInput, "entry %q of service %q doesn't belong under %s", e.Name, e.Service, u.Key)
	}
	if len(p.core.Unsettled()) > 0 {
		return errs.New(errs.Overloaded, "another change is under way: ask again")
	}
	var others []*calendar.Entry
	for k, d := range p.st.docs {
		if strings.HasPrefix(k, "calendar/") {
			o, err := calendar.Read(d.Body)
			if b.Note(k, err); err == nil {
				others = append(others, o)
			}
		}
	}
	b.Note("calendar", e.Clash(others))
	if e.Active() {
		for _, r := range p.retirements(&b) {
			if r.Service == e.Service && r.Active() && r.State != retire.Planned {
				b.Fault(errs.Conflict, "entry %q clashes with retirement %q (%s): both move service %s", e.Name, r.Name, r.State, e.Service)
			}
		}
	}
	return b.Look()
}

func (p *part) retirements(b *errs.Batch) (l []*retire.Retirement) {
	for k, d := range p.st.docs {
		if strings.HasPrefix(k, "retire/") {
			r, err := retire.Read(d.Body)
			if b.Note(k, err); err == nil {
				l = append(l, r)
			}
		}
	}
	return l
}

// retirement checks a retirement against the others and the calendar of its service.
func (p *part) retirement(u *wire.Put) error {
	r, err := retire.Read(u.Body)
	if err != nil {
		return err
	}
	var b errs.Batch
	if r.Check(&b); retire.Key(r.Service, r.Name) != u.Key {
		b.Fault(errs.BadInput, "retirement %q of service %q doesn't belong under %s", r.Name, r.Service, u.Key)
	}
	if len(p.core.Unsettled()) > 0 {
		return errs.New(errs.Overloaded, "another change is under way: ask again")
	}
	b.Note("retirement", r.Clash(p.retirements(&b)))
	if r.Active() && r.State != retire.Planned {
		for k, d := range p.st.docs {
			if !strings.HasPrefix(k, "calendar/") {
				continue
			}
			if e, err := calendar.Read(d.Body); err == nil && e.Active() && e.Service == r.Service {
				b.Fault(errs.Conflict, "retirement %q clashes with calendar entry %q (%s): both move service %s: let it end, cancel or undo it first", r.Name, e.Name, e.State, e.Service)
			}
		}
	}
	return b.Look()
}

// read answers from the applied state, once a majority confirms that this member owns the part.
func (p *part) read(ctx context.Context, a *wire.ReadAsk) *wire.ReadTell {
	w := make(chan bool, 1)
	t := &wire.ReadTell{Outcome: "not-owner"}
	var id uint64
	if !p.ask(ctx, func() { id, t.Owner = p.beginRead(w) }) {
		return &wire.ReadTell{Outcome: "cant-say"}
	}
	ok := false
	select {
	case ok = <-w:
	case <-ctx.Done():
		p.in.Offer(func() { delete(p.reads, id) })
		return &wire.ReadTell{Outcome: "cant-say"}
	}
	if !ok {
		return t
	}
	if !p.ask(ctx, func() { t.Outcome = "done"; t.Docs, t.Leases = p.pick(a) }) {
		return &wire.ReadTell{Outcome: "cant-say"}
	}
	return t
}

// beginRead begins a read; w is told whether it may be answered from here.
func (p *part) beginRead(w chan bool) (id uint64, owner string) {
	s := p.core.Stands()
	if p.bad == nil && s.Owns && len(p.reads) < 1024 {
		if i, ok := p.core.Read(); ok {
			p.reads[i] = w
			return i, s.Owner
		}
	}
	w <- false
	return 0, s.Owner
}

func (p *part) pick(a *wire.ReadAsk) ([]*wire.Doc, []*wire.Lease) {
	var ds []*wire.Doc
	var ls []*wire.Lease
	for _, k := range queue.Keys(p.st.docs) {
		if k == a.Key || a.Prefix && len(k) >= len(a.Key) && k[:len(a.Key)] == a.Key {
			ds = append(ds, p.st.docs[k])
		}
	}
	for _, k := range queue.Keys(p.st.leases) {
		ls = append(ls, p.st.leases[k])
	}
	return ds, ls
}
