package clustermembership

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/queue"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// beatPart is the time between two beats, as a ratio of the leave bound.
const beatPart = 0.1

// Member runs a Core: it beats, hears, and shows the view.
type Member struct {
	desk *queue.Actor[Core]
	clk  clock.Clock
	b    settings.Bounds
	log  hclog.Logger
	call func(addr string) wire.Roster
	view atomic.Pointer[View]
	hook func(View)
	gone bool // the desk's
}

// View is what a member knew at one moment.
type View struct {
	Epoch uint64
	Nodes []*wire.Node
}

// Addr finds the address of a living node, suspects included.
//
// Example: a, ok := v.Addr("core-1")
func (v View) Addr(name string) (string, bool) {
	for _, n := range v.Nodes {
		if n.Name == name && n.State != Gone {
			return n.Addr, true
		}
	}
	return "", false
}

// Role lists the nodes of a role that aren't gone.
//
// Example: v.Role("catalogue")
func (v View) Role(r string) []*wire.Node {
	var l []*wire.Node
	for _, n := range v.Nodes {
		if n.Role == r && n.State != Gone {
			l = append(l, n)
		}
	}
	return l
}

// pace is the place's bounds; a site that beats more slowly judges as much later.
func pace(p settings.Place) settings.Bounds {
	if p.Site != nil {
		p.Bounds.LeaveMs = max(p.Bounds.LeaveMs, int(float64(p.Site.BeatMs)/beatPart))
	}
	return p.Bounds
}

// Start makes a member of the place's site; hook is told of every change of the view.
//
// Example: m := roster.Start(ctx, place, "runner", clk, log, call, nil)
func Start(ctx context.Context, p settings.Place, role string, clk clock.Clock, log hclog.Logger,
	call func(string) wire.Roster, hook func(View)) *Member {
	self := &wire.Node{Name: role + "/" + p.Name, Incarnation: uint64(clk.Now()), Role: role, District: p.District,
		Addr: p.Told(), Operator: p.Operator}
	p.Bounds = pace(p)
	m := &Member{desk: queue.NewActor(New(p.Bounds, self, p.Seeds), 256), clk: clk, b: p.Bounds, log: log, call: call, hook: hook}
	m.desk.Ask(func(c *Core) { m.show(c) })
	go m.run(ctx)
	return m
}

// SetSeeds changes the seeds at run time, as the setup in force names them.
//
// Example: m.SetSeeds(setup.Seeds)
func (m *Member) SetSeeds(l []string) { m.desk.TrySend(func(c *Core) { c.SetSeeds(l) }) }

func (m *Member) show(c *Core) {
	if v := m.view.Load(); v != nil && v.Epoch == c.Epoch() {
		return
	}
	v := &View{c.Epoch(), c.Nodes()}
	m.view.Store(v)
	if m.hook != nil {
		m.hook(*v)
	}
}

// View gives what the member knows now.
//
// Example: m.View().Role("archive")
func (m *Member) View() View { return *m.view.Load() }

// Leave tells others that this node stops; it beats no more.
//
// Example: m.Leave()
func (m *Member) Leave() {
	m.desk.Ask(func(c *Core) {
		m.gone = true
		for _, x := range c.Leave() {
			go m.send(context.Background(), x)
		}
	})
}

func (m *Member) run(ctx context.Context) {
	beat := m.b.Leave(beatPart)
	next := time.NewTimer(0)
	defer next.Stop()
	for turn := 0; ; turn++ {
		select {
		case <-ctx.Done():
			m.desk.Stop()
			return
		case <-next.C:
		}
		if turn < young {
			next.Reset(beat / young)
		} else {
			next.Reset(beat)
		}
		m.desk.TrySend(func(c *Core) {
			if m.gone {
				return
			}
			if c.Replaced() {
				m.gone = true
				m.log.Error("another machine has taken this name: this one beats no more", "remedy", "stop it, or give it a name of its own")
				return
			}
			for _, x := range c.Step(m.clk.Now()) {
				go m.send(ctx, x)
			}
			m.show(c)
		})
	}
}

func (m *Member) send(ctx context.Context, x Call) {
	ctx, end := context.WithTimeout(ctx, m.b.Leave(0.2))
	defer end()
	t, err := m.call(x.To).Hear(ctx, x.Beat)
	if err != nil {
		return // silence is what the watchers judge by
	}
	m.desk.TrySend(func(c *Core) { c.Answer(x.To, t, m.clk.Now()); m.show(c) })
}

// Hear serves the beats of others.
//
// Example: srv := wire.NewRosterServer(m)
func (m *Member) Hear(_ context.Context, b *wire.Beat) (*wire.Beat, error) {
	var t *wire.Beat
	m.desk.Ask(func(c *Core) { t = c.Hear(b, m.clk.Now()); m.show(c) })
	if t == nil {
		t = &wire.Beat{Epoch: 1}
	}
	return t, nil
}
