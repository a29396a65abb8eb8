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

// Timing of the heartbeats, as ratios of the leave bound.
const (
	heartbeatRatio        = 0.1 // between two heartbeats
	heartbeatTimeoutRatio = 0.2 // of one heartbeat
)

// maxPendingCommands bounds the member's queue; heartbeats beyond it are dropped.
const maxPendingCommands = 256

// Member runs a Core: it sends and receives heartbeats and publishes the view.
type Member struct {
	actor    *queue.Actor[Core]
	clock    clock.Clock
	bounds   settings.Bounds
	log      hclog.Logger
	client   func(addr string) wire.Membership
	view     atomic.Pointer[View]
	onChange func(View)
	left     bool // no heartbeats are sent any more; owned by the actor
}

// View is what a member knew at one instant.
type View struct {
	Version uint64 // grows with every change
	Nodes   []*wire.Node
}

// Addr returns the address of a node by its name, unless it is dead; a suspect counts as alive.
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

// WithRole lists the nodes of a role that aren't dead.
//
// Example: v.WithRole("catalogue")
func (v View) WithRole(role string) []*wire.Node {
	var nodes []*wire.Node
	for _, n := range v.Nodes {
		if n.Role == role && n.State != Dead {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// siteBounds returns the process's bounds; a site with a slower heartbeat has a proportionally longer
// leave bound.
func siteBounds(p settings.Process) settings.Bounds {
	if p.Site != nil {
		p.Bounds.LeaveMs = max(p.Bounds.LeaveMs, int(float64(p.Site.HeartbeatMs)/heartbeatRatio))
	}
	return p.Bounds
}

// Config is what a member needs to join its site.
type Config struct {
	Process  settings.Process // names the node, its addresses, seeds and bounds
	Role     string
	Clock    clock.Clock // monotonic, and counts sleep
	Log      hclog.Logger
	Client   func(addr string) wire.Membership // of the member at an address
	OnChange func(View)                        // called with every changed view, must not block; nil: not called
}

// Start makes this process a member of its site until ctx ends. The time of the start is the node's
// incarnation.
//
// Example: m := clustermembership.Start(ctx, clustermembership.Config{Process: process.Settings, Role: clustermembership.RoleNodeAgent, Clock: clk, Log: log, Client: clients.Membership})
func Start(ctx context.Context, config Config) *Member {
	process := config.Process
	self := &wire.Node{
		Name:        config.Role + "/" + process.Name,
		Incarnation: uint64(config.Clock.Now()),
		Role:        config.Role,
		Zone:        process.Zone,
		Addr:        process.AdvertisedAddr(),
		Operator:    process.Operator,
	}
	bounds := siteBounds(process)
	m := &Member{
		actor:    queue.NewActor(New(bounds, self, process.Seeds), maxPendingCommands),
		clock:    config.Clock,
		bounds:   bounds,
		log:      config.Log,
		client:   config.Client,
		onChange: config.OnChange,
	}
	m.actor.Ask(func(c *Core) { m.publish(c) })
	go m.run(ctx)
	return m
}

// SetSeeds changes the seeds at run time.
//
// Example: m.SetSeeds(config.Seeds)
func (m *Member) SetSeeds(seeds []string) { m.actor.TrySend(func(c *Core) { c.SetSeeds(seeds) }) }

// publish makes the view visible to readers if it has changed.
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
// Example: m.View().WithRole("archive")
func (m *Member) View() View { return *m.view.Load() }

// Leave announces that this node stops; it sends no more heartbeats.
//
// Example: m.Leave()
func (m *Member) Leave() {
	m.actor.Ask(func(c *Core) {
		m.left = true
		for _, outgoing := range c.Leave() {
			go m.send(context.Background(), outgoing)
		}
	})
}

// run ticks the core once per heartbeat period, and faster while the node joins.
func (m *Member) run(ctx context.Context) {
	period := m.bounds.Leave(heartbeatRatio)
	next := time.NewTimer(0)
	defer next.Stop()
	for ticks := 0; ; ticks++ {
		select {
		case <-ctx.Done():
			m.actor.Stop()
			return
		case <-next.C:
		}
		if ticks < joiningHeartbeats {
			next.Reset(period / joiningHeartbeats)
		} else {
			next.Reset(period)
		}
		m.actor.TrySend(func(c *Core) { m.tick(ctx, c) })
	}
}

// tick sends the heartbeats of one period. A node whose name was reused sends none.
func (m *Member) tick(ctx context.Context, c *Core) {
	if m.left {
		return
	}
	if c.Replaced() {
		m.left = true
		m.log.Error("another machine has taken this name: this one stops its heartbeats", "remedy", "stop it, or give it a name of its own")
		return
	}
	for _, outgoing := range c.Tick(m.clock.Now()) {
		go m.send(ctx, outgoing)
	}
	m.publish(c)
}

func (m *Member) send(ctx context.Context, outgoing OutgoingHeartbeat) {
	ctx, cancel := context.WithTimeout(ctx, m.bounds.Leave(heartbeatTimeoutRatio))
	defer cancel()
	response, err := m.client(outgoing.Address).Exchange(ctx, outgoing.Heartbeat)
	if err != nil {
		return // the observers detect the failure by their timeouts
	}
	m.actor.TrySend(func(c *Core) {
		c.HandleResponse(outgoing.Address, response, m.clock.Now())
		m.publish(c)
	})
}

// Exchange serves the heartbeats of other nodes.
//
// Example: srv := wire.NewRosterServer(m)
func (m *Member) Exchange(_ context.Context, heartbeat *wire.Heartbeat) (*wire.Heartbeat, error) {
	var response *wire.Heartbeat
	m.actor.Ask(func(c *Core) {
		response = c.HandleHeartbeat(heartbeat, m.clock.Now())
		m.publish(c)
	})
	if response == nil { // the member has stopped
		response = &wire.Heartbeat{Format: FormatVersion}
	}
	return response, nil
}
