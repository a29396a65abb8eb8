package archive

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"path/filepath"
	"sort"
	"time"

	"github.com/twitchtv/twirp"

	"pebbleloom/internal/daemon"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/frontdesk"
	"pebbleloom/internal/ledger"
	"pebbleloom/internal/link"
	"pebbleloom/internal/queue"
	"pebbleloom/internal/roster"
	"pebbleloom/internal/setup"
	"pebbleloom/internal/shelf"
	"pebbleloom/internal/wire"
)

// Node is a control node: its parts, and the letters between it and its colleagues.
type Node struct {
	life  *daemon.Life
	parts map[uint32]*part
	out   map[string]*queue.Ring[*wire.Letter]
	ros   *roster.Member
	calls *daemon.Calls
	core  []string
	inc   string
	ctl   *link.Control // of a group
	mail  *mail
}

// Start runs a control node.
//
// Example: daemon.Main("archive", "control node", need, archive.Start)
func Start(l *daemon.Life) error {
	n := &Node{life: l, parts: map[uint32]*part{}, out: map[string]*queue.Ring[*wire.Letter]{}, calls: daemon.NewCalls(l)}
	clk := l.Clock
	core := append([]string(nil), l.Place.Core...)
	sort.Strings(core)
	fresh := func() string { return fmt.Sprintf("%s/%016x", l.Place.Name, l.Seed()) }
	n.core, n.inc = core, fresh()
	n.ros = roster.Start(l.Ctx, l.Place, "archive", clk, l.Log, n.calls.Roster, nil)
	for _, m := range core {
		if m != l.Place.Name {
			r := queue.NewRing[*wire.Letter](1024)
			n.out[m] = r
			l.Go(func() { n.carry(m, r) })
		}
	}
	tick := l.Place.Bounds.Heal(1.0 / 240)
	for i := range uint32(link.Parts) {
		ms := link.Members(i, core)
		cfg := ledger.Config{Part: i, Self: l.Place.Name, Members: ms, BeatTicks: 2, ElectTicks: 12, MaxBytes: 256 << 10,
			Rand: rand.New(rand.NewPCG(l.Seed(), uint64(i)+queue.Hash(l.Place.Name)))}
		if !contains(ms, l.Place.Name) {
			continue
		}
		p, err := openPart(l.Ctx, cfg, disk(l, fmt.Sprintf("part-%d", i)), fresh, clk, l.Log, n.post)
		if err != nil {
			// One part's bad disk doesn't take the others out.
			l.Log.Error("part stays closed", "part", i, "error", errs.Text(err))
			continue
		}
		p.keep = l.Place.Bounds.Once(1)
		n.parts[i] = p
		l.Go(func() { p.run(tick) })
	}
	mux := http.NewServeMux()
	mux.Handle(wire.ArchivePathPrefix, wire.NewArchiveServer(n))
	mux.Handle(wire.RosterPathPrefix, wire.NewRosterServer(n.ros))
	if err := l.Serve(l.Place.Listen, mux); err != nil {
		return err
	}
	ctl := link.New(core, func() roster.View { return n.ros.View() }, n.calls, l.Place.Bounds)
	if err := frontdesk.Serve(l, ctl, func() roster.View { return n.ros.View() }, n.calls); err != nil {
		return err
	}
	l.Go(func() {
		<-l.Draining
		for _, p := range n.parts {
			p.handOver()
		}
	})
	n.meters()
	l.Every(l.Place.Bounds.Heal(0.25), func() { n.followSeeds(ctl) })
	l.Ready.Store(true)
	l.Log.Info("serving", "parts", len(n.parts), "life", n.inc)
	return nil
}

// followSeeds takes the seeds that the setup in force names.
func (n *Node) followSeeds(ctl *link.Control) {
	t, err := ctl.Read(n.life.Ctx, &wire.ReadAsk{Key: link.SetupKey})
	if err != nil || len(t.Docs) == 0 {
		return // the seeds that are known stay
	}
	if s, err := setup.Read(t.Docs[0].Body); err == nil && len(s.Seeds) == 3 {
		n.ros.SetSeeds(s.Seeds)
	}
}

func contains(l []string, s string) bool {
	for _, x := range l {
		if x == s {
			return true
		}
	}
	return false
}

// disk is a part's folder; where the place names a switch, faults can be brought about.
func disk(l *daemon.Life, part string) shelf.Disk {
	d := l.Disk(filepath.Join(l.Place.Data, part))
	if f := l.Place.Word("faults", ""); f != "" {
		return shelf.Faulty(d, f)
	}
	return d
}

// post hands a letter to the thread that carries letters to its colleague. A full ring
// drops it: letters may be lost.
func (n *Node) post(l *wire.Letter) {
	if r := n.out[l.To]; r != nil {
		r.Offer(l)
	}
}

func (n *Node) carry(to string, r *queue.Ring[*wire.Letter]) {
	for {
		select {
		case <-n.life.Ctx.Done():
			return
		case l := <-r.Out():
			ls := append([]*wire.Letter{l}, r.Drain(127)...)
			addr, ok := n.ros.View().Addr("archive/" + to)
			if !ok {
				continue
			}
			ctx, end := context.WithTimeout(n.life.Ctx, n.life.Place.Bounds.Heal(1.0/24))
			_, err := n.calls.Archive(addr).Post(ctx, &wire.Parcel{Epoch: 1, Letters: ls})
			end()
			if err != nil {
				n.life.Log.Debug("letters lost", "to", to, "letters", len(ls), "error", err)
			}
		}
	}
}

// Post takes letters from a colleague.
//
// Example: wire.NewArchiveProtobufClient(url, h).Post(ctx, parcel)
func (n *Node) Post(_ context.Context, p *wire.Parcel) (*wire.Receipt, error) {
	if p.Epoch != 1 {
		return nil, twirp.InvalidArgumentError("epoch", "this node reads epoch 1: bring both programs to one release")
	}
	for _, l := range p.Letters {
		if pt := n.parts[l.Part]; pt != nil {
			pt.in.Offer(func() {
				if pt.bad == nil {
					pt.core.Take(l)
				}
			})
		}
	}
	return &wire.Receipt{Epoch: 1}, nil
}

// Change carries out a change where this node owns the part; elsewhere it names the owner.
//
// Example: t, err := a.Change(ctx, &wire.ChangeAsk{Part: 0, Command: cmd})
func (n *Node) Change(ctx context.Context, a *wire.ChangeAsk) (*wire.ChangeTell, error) {
	if p := n.parts[a.Part]; p != nil {
		return p.change(ctx, a), nil
	}
	return &wire.ChangeTell{Outcome: "not-owner"}, nil
}

// Read reads what was acknowledged, where this node owns the part.
//
// Example: t, err := a.Read(ctx, &wire.ReadAsk{Part: 0, Key: "setup"})
func (n *Node) Read(ctx context.Context, a *wire.ReadAsk) (*wire.ReadTell, error) {
	if p := n.parts[a.Part]; p != nil {
		return p.read(ctx, a), nil
	}
	return &wire.ReadTell{Outcome: "not-owner"}, nil
}

// Time tells this machine's wall clock.
//
// Example: t, err := a.Time(ctx, &wire.TimeAsk{})
func (n *Node) Time(context.Context, *wire.TimeAsk) (*wire.TimeTell, error) {
	return &wire.TimeTell{WallNs: n.life.Wall().UnixNano()}, nil
}

// Stand tells how this node stands in each of its parts.
//
// Example: t, err := a.Stand(ctx, &wire.StandAsk{})
func (n *Node) Stand(ctx context.Context, _ *wire.StandAsk) (*wire.StandTell, error) {
	t := &wire.StandTell{Incarnation: n.inc}
	for i := range uint32(link.Parts) {
		p := n.parts[i]
		if p == nil {
			if contains(link.Members(i, n.core), n.life.Place.Name) {
				t.Parts = append(t.Parts, &wire.PartStand{Part: i, Member: n.life.Place.Name, Bad: "its folder can't be read: see the log at the start"})
			}
			continue
		}
		x := &wire.PartStand{Part: i, Member: n.life.Place.Name, Bad: "its thread doesn't answer: the disk may be stalled"}
		t.Parts = append(t.Parts, told(ctx, p, x, func() *wire.PartStand {
			s := p.core.Stands()
			y := &wire.PartStand{Part: i, Member: n.life.Place.Name, Owner: s.Owner, Owns: s.Owns, Blank: s.Blank, Stuck: s.Stuck, Applied: s.Applied,
				Last: s.Last, Term: s.Term, StateBytes: uint64(p.st.bytes), LogBytes: uint64(p.sh.Size())}
			if p.bad != nil {
				y.Bad = errs.Text(p.bad)
			}
			return y
		}))
	}
	return t, nil
}

// News answers a long poll: news, or the vouch that there was none.
//
// Example: t, err := a.News(ctx, &wire.NewsAsk{Key: "setup", Have: 7, HoldNs: 3e8})
func (n *Node) News(ctx context.Context, a *wire.NewsAsk) (*wire.NewsTell, error) {
	if p := n.parts[a.Part]; p != nil {
		a.HoldNs = min(a.HoldNs, uint64(time.Minute))
		return p.tellNews(ctx, a, n.life.Place.Name), nil
	}
	return &wire.NewsTell{Outcome: "cant-say", Member: n.life.Place.Name}, nil
}
