package archive

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"pebbleloom/internal/backend"
	"pebbleloom/internal/clock"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/frontdesk"
	"pebbleloom/internal/ledger"
	"pebbleloom/internal/link"
	"pebbleloom/internal/queue"
	"pebbleloom/internal/roster"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/shelf"
	"pebbleloom/internal/wire"
)

// A group's time, as ratios of the heal bound and in ticks.
const (
	groupTick  = 1.0 / 120
	joinPart   = 1.0 / 15 // between two asks to be taken in
	leavePart  = 0.4      // of the grace time: the longest wait for another owner
	mendPart   = 1.0 / 12 // between two tries to open a disk that was bad
	beatTicks  = 3
	electTicks = 9

	learnPatience = 2 * electTicks // that one waits to be fed before it asks again
)

// group is what a part has beside, where its membership is agreed data.
type group struct {
	codec     backend.Codec
	cfg       ledger.Config
	disk      shelf.Disk
	first     func() *wire.Slot
	want      int // members
	district  func(addr string) string
	seen      glimpses
	ticks     int
	mendTicks int
}

// openGroup makes the one part of a group. A disk that can't be opened leaves the part out
// until it can.
func openGroup(p *part, g *group) *part {
	p.group, g.cfg.Group = g, true
	p.core = ledger.New(g.cfg, ledger.Learner(""), nil)
	p.bad = p.reopen()
	p.show(ledger.Out{Install: &wire.Slot{}})
	return p
}

// reopen reads the disk as a new start does. What was read may have been written by a process
// that died before its sync, or behind a sync that failed: all of it is written anew before this
// member goes by it.
func (p *part) reopen() error {
	for _, f := range []string{"slot-0", "slot-1", "log-0", "log-1"} {
		if _, there, err := p.disk.Read(f); err != nil {
			return errs.As(err, errs.DiskBad, "read")
		} else if there {
			if err := p.disk.Append(f, nil); err != nil {
				return errs.As(err, errs.DiskBad, "sync what was read")
			}
		}
	}
	p.st = newState()
	l, err := p.load(p.disk, p.first)
	if err != nil {
		return err
	}
	if err := p.sh.Turn(l.Slot, l.Records); err != nil {
		return errs.Wrap(err, "write what was read anew")
	}
	cfg := p.cfg
	cfg.Self = l.Slot.Hard.Incarnation
	p.core = ledger.New(cfg, l.Slot, l.Records)
	return nil
}

// mend opens a disk that was bad again; its member goes on as after a restart.
func (p *part) mend() {
	if p.ticks%p.mendTicks != 0 {
		return
	}
	if err := p.reopen(); err != nil {
		p.log.Debug("the disk is still bad", "error", errs.Text(err))
		return
	}
	for i, w := range p.pending {
		w.tell <- &wire.ChangeTell{Outcome: "cant-say"}
		delete(p.pending, i)
	}
	p.bad = nil
	p.log.Info("the disk is well again")
	p.show(ledger.Out{Install: &wire.Slot{}})
}

// watch is what a member of a group does at each tick.
func (p *part) watch() {
	if p.group == nil {
		return
	}
	p.ticks++
	if p.bad != nil {
		p.mend()
		return
	}
	if p.ticks%beatTicks == 0 && p.core.Settled() {
		ms, _, _ := p.core.Members()
		if next := regroup(p.core.Stands().Owner, ms, p.core.Sees(), p.want, p.district); next != nil {
			if _, _, ok := p.core.Regroup(next); ok {
				p.log.Info("members change", "from", ms, "to", next)
			}
		}
	}
}

// confirm sees to it that a plan is judged by all that was acknowledged before, and not by
// what an owner of the past still holds. Nil: go on.
func (p *part) confirm(ctx context.Context, a *wire.ChangeAsk) *wire.ChangeTell {
	if p.group == nil || a.Command.GetPut().GetKey() != p.checked() {
		return nil
	}
	switch t := p.read(ctx, &wire.ReadAsk{}); t.Outcome {
	case "done":
		return nil
	case "not-owner":
		return &wire.ChangeTell{Outcome: "not-owner", Owner: t.Owner}
	}
	return &wire.ChangeTell{Outcome: "overloaded"} // it never began
}

// lay merges a plan, or named items of one, onto the one in force.
func (p *part) lay(m *merged, old *wire.Doc, u *wire.Put, part bool) {
	m.body, m.version, m.err = p.codec.Merge(old.GetBody(), u.Body, part)
	if m.err != nil && errs.KindOf(m.err) == errs.Inside {
		m.err = errs.As(m.err, errs.BadInput, "plan")
	}
	if m.err == nil && m.version <= old.GetEpoch() {
		m.err = errs.New(errs.BadInput, "version %d isn't above %d, which is in force", m.version, old.GetEpoch())
	}
}

// StartGroup runs a control node whose membership is agreed data. The door serves operators.
//
// Example: err := archive.StartGroup(life, codec, func(n *archive.Node) http.Handler { return desk(n) })
func StartGroup(l *daemon.Life, codec backend.Codec, door func(*Node) http.Handler) error {
	s, own := l.Place.Site, l.Place.Told()
	n := &Node{life: l, parts: map[uint32]*part{}, calls: daemon.NewCalls(l)}
	n.ros = roster.Start(l.Ctx, l.Place, "archive", l.Clock, l.Log, n.calls.Roster, nil)
	n.ctl = link.NewGroup(l.Place.Seeds, n.ros.View, n.calls, l.Place.Bounds)
	l.Told(func(p settings.Place) { n.ctl.SetSeeds(p.Seeds); n.ros.SetSeeds(p.Seeds) })
	n.mail = newMail(l.Ctx, n)
	tick := l.Place.Bounds.Heal(groupTick)
	p := newPart(l.Ctx, 0, l.Clock, l.Log, n.mail.post)
	p.keep = l.Place.Bounds.Once(1)
	openGroup(p, &group{codec: codec, disk: disk(l, "part-0"), district: n.district, want: 2*s.Tolerate + 1, mendTicks: int(mendPart / groupTick),
		cfg: ledger.Config{BeatTicks: beatTicks, ElectTicks: electTicks, MaxBytes: 256 << 10,
			Rand: rand.New(rand.NewPCG(l.Seed(), queue.Hash(l.Place.Name)))},
		first: func() *wire.Slot { return begin(s.First, own, l.Place.Seeds, l.Seed) }})
	n.parts[0], n.inc = p, p.seen.now().self
	l.Go(func() { p.run(tick) })
	mux := http.NewServeMux()
	mux.Handle(wire.ArchivePathPrefix, wire.NewArchiveServer(n))
	mux.Handle(wire.RosterPathPrefix, wire.NewRosterServer(n.ros))
	// The door is closed first: what came in by it is finished while colleagues still get through.
	for _, x := range []struct {
		addr string
		h    func() http.Handler
	}{{s.Control, func() http.Handler { return door(n) }}, {l.Place.Listen, func() http.Handler { return mux }}} {
		if x.addr == "" {
			continue
		}
		if err := l.Serve(x.addr, x.h()); err != nil {
			return err
		}
	}
	if l.Place.Operator != "" {
		if err := frontdesk.ServeSite(l, n.ctl, n.ros.View, n.calls, codec.Read); err != nil {
			return err
		}
	}
	n.meters()
	n.groupMeters(p)
	l.Go(func() { n.join() })
	l.Leaving(n.leave)
	l.Ready.Store(true)
	l.Log.Info("serving", "life", n.inc)
	return nil
}

// district is where a core machine stands, as the roster tells it.
func (n *Node) district(addr string) string {
	for _, x := range n.ros.View().Role("archive") {
		if x.Addr == addr {
			return x.District
		}
	}
	return ""
}

// begin is the first slot of an empty disk. At the first start of the whole system the seeds
// found the group, each under a life that all know; any other empty disk has lost what it had,
// or is new, and is taken in by those that hold the log.
func begin(first bool, own string, seeds []string, random func() uint64) *wire.Slot {
	if first && slices.Contains(seeds, own) {
		var ms []string
		for _, s := range seeds {
			ms = append(ms, s+"/0")
		}
		return ledger.Founder(own+"/0", slices.Compact(slices.Sorted(slices.Values(ms))))
	}
	return ledger.Learner(fmt.Sprintf("%s/%016x", own, random()))
}

// leave hands the group over when the program was told to end, and waits until another owns it.
func (n *Node) leave(ctx context.Context) {
	p := n.parts[0]
	ctx, end := context.WithTimeout(ctx, settings.Of(n.life.Place.Site.GraceMs, leavePart))
	defer end()
	for begun := false; ctx.Err() == nil; clock.Pause(ctx, n.life.Place.Bounds.Heal(groupTick/2)) {
		at := told(ctx, p, handing{gone: true}, p.handOn)
		if begun = begun || at.begun; at.gone || !begun && !at.owns {
			break
		}
	}
	n.ros.Leave()
}

// handing is how far a group is handed over.
type handing struct{ owns, begun, gone bool }

// handOn asks a colleague to take the group; gone: another has it, or this member is out.
func (p *part) handOn() handing {
	s := p.core.Stands()
	return handing{owns: s.Owns, begun: p.bad == nil && s.Owns && p.core.HandOver(), gone: p.bad != nil || !s.Owns && s.Owner != ""}
}

// join has this node taken in, and keeps it known while it isn't a member.
func (n *Node) join() {
	b, turn := n.life.Place.Bounds, 0
	for p := n.parts[0]; n.life.Ctx.Err() == nil; clock.Pause(n.life.Ctx, b.Heal(joinPart)) {
		ctx, end := context.WithTimeout(n.life.Ctx, b.Heal(1.0/24))
		alone := told(ctx, p, false, p.alone)
		end()
		if g := p.seen.now(); alone {
			n.ctl.Hint(g.owner)
			turn += n.askIn(g.self, g.members, turn)
		}
	}
}

// alone tells whether no owner feeds this one: it asks to be taken in. A member may just be
// without an owner, or was removed while it was away.
func (p *part) alone() bool {
	s, patience := p.core.Stands(), learnPatience
	if p.core.Sits(p.core.Self()) {
		patience *= 2
	} else if s.Owner == "" {
		patience = 0
	}
	return p.bad == nil && !s.Owns && s.Silent >= patience
}

// askIn asks a few of those that may know, whom they name right after them; it tells how many
// were of no help.
func (n *Node) askIn(self string, members []string, turn int) (vain int) {
	all := n.ctl.Seats()
	for _, m := range members {
		if a := link.Addr(m); !slices.Contains(all, a) {
			all = append(all, a)
		}
	}
	own := link.Addr(self)
	all = slices.DeleteFunc(all, func(a string) bool { return a == own })
	for i := 0; i < 2 && len(all) > 0; i++ {
		addr := all[(turn+i)%len(all)]
		for hops := 0; hops < 2 && addr != "" && addr != own; hops++ {
			ctx, end := context.WithTimeout(n.life.Ctx, n.life.Place.Bounds.Heal(1.0/30))
			t, err := n.calls.Archive(addr).Join(ctx, &wire.JoinAsk{Name: self, District: n.life.Place.District})
			end()
			if err != nil {
				break
			}
			if t.Outcome == "done" {
				n.ctl.Hint(addr)
				return vain
			}
			addr = link.Addr(t.Owner)
		}
		vain++
	}
	return vain
}

// Join takes one that isn't a member among those that are fed; a site whose core machines are
// named in the settings takes nobody in.
//
// Example: t, err := a.Join(ctx, &wire.JoinAsk{Name: "10.1.0.17:7360/8f3a"})
func (n *Node) Join(ctx context.Context, a *wire.JoinAsk) (*wire.JoinTell, error) {
	p, none := n.parts[0], &wire.JoinTell{Outcome: "cant-say"}
	if addr, life, ok := strings.Cut(a.Name, "/"); p == nil || p.group == nil || !ok || addr == "" || life == "" {
		return none, nil
	}
	return told(ctx, p, none, func() *wire.JoinTell { return p.takeIn(a) }), nil
}

func (p *part) takeIn(a *wire.JoinAsk) *wire.JoinTell {
	s := p.core.Stands()
	switch {
	case p.bad != nil || !s.Owns:
		return &wire.JoinTell{Outcome: "not-owner", Owner: s.Owner}
	case !p.core.Learn(a.Name):
		return &wire.JoinTell{Outcome: "overloaded", Owner: s.Owner}
	}
	return &wire.JoinTell{Outcome: "done", Owner: s.Owner}
}

// puts adds up what the entries that aren't applied yet may bring: by key the highest version,
// the greatest number where that isn't told.
func puts(es []*wire.Entry) map[string]uint64 {
	var l map[string]uint64
	for _, e := range es {
		c := &wire.Command{}
		if len(e.Body) == 0 {
			continue
		}
		k, v := "", ^uint64(0) // can't be read: it may be anything
		if proto.Unmarshal(e.Body, c) == nil {
			u := c.GetPut()
			if u == nil {
				continue
			}
			if k = u.Key; u.Version > 0 {
				v = u.Version
			}
		}
		if l == nil {
			l = map[string]uint64{}
		}
		l[k] = max(l[k], v)
	}
	return l
}
