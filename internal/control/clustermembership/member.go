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

// heartbeatRatio is the time between two heartbeats, as a ratio of the leave bound.
const heartbeatRatio = 0.1

// Member runs a Core: it sends and receives heartbeats and publishes the view.
type Member struct {
	actor    *queue.Actor[Core]
	clock    clock.Clock
	bounds   settings.Bounds
	log      hclog.Logger
	client   func(addr string) wire.Membership
	view     atomic.Pointer[View]
	onChange func(View)
	left     bool // owned by the actor
}

// View is what a member knew at one moment.
type View struct {
	Version uint64
	Nodes   []*wire.Node
}

// Addr returns the address of a live node, suspects included.
//
// Example: a, ok := v.Addr("core-1")
func (v View) Addr(name string) (string, bool) {
	for _, n := range v.Nodes {
		if n.Name == name && n.State != Dead {
			return n.Addr, true
		}
	}
	return "", false
}

// WithRole lists the nodes of a role that aren't gone.
//
// Example: v.Role("catalogue")
func (v View) WithRole(r string) []*wire.Node {
	var l []*wire.Node
	for _, n := range v.Nodes {
		if n.Role == r && n.State != Dead {
			l = append(l, n)
		}
	}
	return l
}

// siteBounds are the process's bounds; a site with a slower heartbeat has a proportionally longer
// timeout.
func siteBounds(p settings.Process) settings.Bounds {
	if p.Site != nil {
		p.Bounds.LeaveMs = max(p.Bounds.LeaveMs, int(float64(p.Site.HeartbeatMs)/heartbeatRatio))
	}
	return p.Bounds
}

// Start makes a member of the process's site; onChange is called with every changed view.
//
// Example: m := clustermembership.Start(ctx, place, "runner", clock, log, client, nil)
func Start(ctx context.Context, p settings.Process, role string, clk clock.Clock, log hclog.Logger,
	call func(string) wire.Membership, hook func(View)) *Member {
	self := &wire.Node{Name: role + "/" + p.Name, Incarnation: uint64(clk.Now()), Role: role, Zone: p.Zone,
		Addr: p.AdvertisedAddr(), Operator: p.Operator}
	p.Bounds = siteBounds(p)
	m := &Member{actor: queue.NewActor(New(p.Bounds, self, p.Seeds), 256), clock: clk, bounds: p.Bounds, log: log, client: call, onChange: hook}
	m.actor.Ask(func(c *Core) { m.publish(c) })
	go m.run(ctx)
	return m
}

// SetSeeds changes the seeds at run time.
//
// Example: m.SetSeeds(config.Seeds)
func (m *Member) SetSeeds(l []string) { m.actor.TrySend(func(c *Core) { c.SetSeeds(l) }) }

func (m *Member) publish(c *Core) {
	if v := m.view.Load(); v != nil && v.Version == c.Version() {
		return
	}
	v := &View{c.Version(), c.Nodes()}
	m.view.Store(v)
	if m.onChange != nil {
		m.onChange(*v)
	}
}

// View returns the current view.
//
// Example: m.View().Role("archive")
func (m *Member) View() View { return *m.view.Load() }

// Leave announces that this node stops; it sends no more heartbeats.
//
// Example: m.Leave()
func (m *Member) Leave() {
	m.actor.Ask(func(c *Core) {
		m.left = true
		for _, x := range c.Leave() {
			go m.send(context.Background(), x)
		}
	})
}

func (m *Member) run(ctx context.Context) {
	beat := m.bounds.Leave(heartbeatRatio)
	next := time.NewTimer(0)
	defer next.Stop()
	for turn := 0; ; turn++ {
		select {
		case <-ctx.Done():
			m.actor.Stop()
			return
		case <-next.C:
		}
		if turn < joiningHeartbeats {
			next.Reset(beat / joiningHeartbeats)
		} else {
			next.Reset(beat)
		}
		m.actor.TrySend(func(c *Core) {
			if m.left {
				return
			}
			if c.Replaced() {
				m.left = true
				m.log.Error("another machine has taken this name: this one stops its heartbeats", "remedy", "stop it, or give it a name of its own")
				return
			}
			for _, x := range c.Tick(m.clock.Now()) {
				go m.send(ctx, x)
			}
			m.publish(c)
		})
	}
}

func (m *Member) send(ctx context.Context, x OutgoingHeartbeat) {
	ctx, end := context.WithTimeout(ctx, m.bounds.Leave(0.2))
	defer end()
	t, err := m.client(x.Address).Exchange(ctx, x.Heartbeat)
	if err != nil {
		return // the observers judge by silence
	}
	m.actor.TrySend(func(c *Core) { c.HandleResponse(x.Address, t, m.clock.Now()); m.publish(c) })
}

// Exchange serves the heartbeats of other nodes.
//
// Example: srv := wire.NewRosterServer(m)
func (m *Member) Exchange(_ context.Context, b *wire.Heartbeat) (*wire.Heartbeat, error) {
	var t *wire.Heartbeat
	m.actor.Ask(func(c *Core) { t = c.HandleHeartbeat(b, m.clock.Now()); m.publish(c) })
	if t == nil {
		t = &wire.Heartbeat{Format: 1}
	}
	return t, nil
}
