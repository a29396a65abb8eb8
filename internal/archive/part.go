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
	"pebbleloom/internal/link"
	"pebbleloom/internal/queue"
	"pebbleloom/internal/setup"
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
	keep     time.Duration // how long once-only ids are remembered
	agedAt   time.Duration // when the part's age was last told, and in which term
	agedTerm uint64
	turnAt   int // the log is turned into a slot when it is longer than this
	bad      error
	ctx      context.Context
}

// openPart reads the shelf and makes the member; an empty disk begins blank under a new
// incarnation.
func openPart(ctx context.Context, cfg ledger.Config, d shelf.Disk, inc func() string, clk clock.Clock, log hclog.Logger, post func(*wire.Letter)) (*part, error) {
	sh, l, err := shelf.Open(d)
	if err != nil {
		return nil, errs.Wrap(err, "open part")
	}
	p := &part{n: cfg.Part, st: newState(), sh: sh, clk: clk, log: log.With("part", cfg.Part), post: post, ctx: ctx,
		in: queue.NewRing[func()](512), pending: map[uint64]pend{}, reads: map[uint64]chan bool{},
		news: map[chan struct{}]bool{}, turnAt: 1 << 20, keep: keepIds}
	if l.Slot == nil {
		l.Slot = ledger.First(inc()) // whatever was here before counts no more, under any name
		if err := sh.Turn(l.Slot, nil); err != nil {
			return nil, errs.Wrap(err, "first slot")
		}
		p.log.Info("empty disk: blank until caught up from both others", "incarnation", l.Slot.Hard.Incarnation)
	}
	if l.Torn > 0 {
		p.log.Warn("torn tail cut off", "bytes", l.Torn)
	}
	if l.Slot.Epoch != 1 {
		return nil, errs.New(errs.DiskBad, "slot of epoch %d: this program reads epoch 1: start the newer program", l.Slot.Epoch)
	}
	if err := p.st.load(l.Slot.State, clk.Now()); err != nil {
		return nil, errs.As(err, errs.DiskBad, "read slot state")
	}
	p.core = ledger.New(cfg, l.Slot, l.Records)
	return p, nil
}

func (p *part) run(tick time.Duration) {
	t := clock.Every(tick)
	defer t.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-t.C:
			if p.bad == nil {
				p.core.Tick()
			}
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

// change proposes a command where this member owns the part, and waits for its outcome.
func (p *part) change(ctx context.Context, a *wire.ChangeAsk) *wire.ChangeTell {
	var tell *wire.ChangeTell
	var w pend
	if !p.ask(ctx, func() { w, tell = p.propose(a) }) {
		return &wire.ChangeTell{Outcome: "cant-say"}
	}
	if tell != nil {
		return tell
	}
	select {
	case tell = <-w.tell:
		return tell
	case <-ctx.Done():
		return &wire.ChangeTell{Outcome: "cant-say"}
	case <-p.ctx.Done():
		return &wire.ChangeTell{Outcome: "cant-say"}
	}
}

// propose puts a command into the log, where this member owns the part; otherwise, or
// where it needs no log, it gives the answer at once.
func (p *part) propose(a *wire.ChangeAsk) (pend, *wire.ChangeTell) {
	s := p.core.Stands()
	if p.bad != nil || !s.Owns {
		return pend{}, &wire.ChangeTell{Outcome: "not-owner", Owner: s.Owner}
	}
	cmd := proto.Clone(a.Command).(*wire.Command)
	if tell := p.prepare(cmd, a); tell != nil {
		return pend{}, tell
	}
	body, err := proto.Marshal(cmd)
	if err != nil || len(body) > setup.MaxBytes*2 {
		return pend{}, &wire.ChangeTell{Outcome: "too-big", Faults: []string{"command can't be written"}}
	}
	if len(p.pending) >= 256 {
		return pend{}, &wire.ChangeTell{Outcome: "overloaded"}
	}
	i, term, _ := p.core.Propose(body) // it owns the part, so it takes it
	w := pend{term, make(chan *wire.ChangeTell, 1)}
	p.pending[i] = w
	return w, nil
}

// prepare checks a command against the applied state, and merges and validates setups.
// Nil means: propose it.
func (p *part) prepare(cmd *wire.Command, a *wire.ChangeAsk) *wire.ChangeTell {
	if g := cmd.GetGrant(); g != nil {
		// While a grant may be under way nobody else gets the duty.
		if h := p.st.leases[g.Duty]; h != nil && h.Holder != g.Holder && len(p.core.Unsettled()) > 0 {
			return &wire.ChangeTell{Outcome: "overloaded"}
		}
		if !p.st.free(g, p.clk.Now()) {
			l := p.st.leases[g.Duty]
			return &wire.ChangeTell{Outcome: "epoch-conflict", Fence: l.GetFence(), Owner: l.GetHolder()}
		}
		return nil
	}
	if c := cmd.GetClaims(); c != nil && len(c.List) > 0 && len(c.List) <= 1024 {
		c.PassedNs, c.KeepNs = uint64(p.passed(p.core.Stands().Term)), uint64(p.keep)
		return nil
	}
	u := cmd.GetPut()
	if u == nil || u.Key == "" || len(u.Key) > 256 {
		return &wire.ChangeTell{Outcome: "bad-input", Faults: []string{"no command: give a put or a grant"}}
	}
	u.Sum = sumOf(u, a.Patch)
	if t := p.st.again(u); t != nil {
		return t
	}
	old := p.st.docs[u.Key]
	if u.Key == link.SetupKey {
		var err error
		if a.Patch {
			u.Body, err = setup.Merge(old.GetBody(), u.Body)
			if u.AnyEpoch { // it was merged onto this epoch, so it holds for this epoch alone
				u.AnyEpoch, u.IfEpoch = false, old.GetEpoch()
			}
		} else {
			u.Body, err = setup.Merge(nil, u.Body)
		}
		if err == nil {
			err = setup.Follows(old.GetBody(), u.Body)
		}
		if err != nil {
			return &wire.ChangeTell{Outcome: errs.KindOf(err).Name, Epoch: old.GetEpoch(), Faults: []string{err.Error()}}
		}
		if u.AnyEpoch && len(p.core.Unsettled()) > 0 { // it was checked against what another change may replace
			return &wire.ChangeTell{Outcome: "overloaded"}
		}
	}
	if !u.AnyEpoch && u.IfEpoch != old.GetEpoch() {
		return &wire.ChangeTell{Outcome: "epoch-conflict", Epoch: old.GetEpoch()}
	}
	if strings.HasPrefix(u.Key, "calendar/") {
		if err := p.entry(u); err != nil {
			return &wire.ChangeTell{Outcome: errs.KindOf(err).Name, Epoch: old.GetEpoch(), Faults: []string{err.Error()}}
		}
	}
	if a.Dry {
		return &wire.ChangeTell{Outcome: "valid", Epoch: old.GetEpoch()}
	}
	return nil
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
