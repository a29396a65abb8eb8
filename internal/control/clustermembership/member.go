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

// Timing of heartbeats, as fractions of the time limit settings.Bounds.LeaveMs.
const (
	heartbeatRatio        = 0.1 // heartbeat period of a node, as a fraction of Bounds.LeaveMs
	heartbeatTimeoutRatio = 0.2 // timeout of one heartbeat request, as a fraction of Bounds.LeaveMs
)

// maxPendingCommands is the capacity of a member's command queue; ticks and responses are dropped while
// it is full.
const maxPendingCommands = 256

// Member runs a Core over the network: it sends and receives heartbeats and publishes the node's view of the site.
type Member struct {
	actor    *queue.Actor[Core]
	clock    clock.Clock
	bounds   settings.Bounds
	log      hclog.Logger
	client   func(addr string) wire.Membership
	view     atomic.Pointer[View]
	onChange func(View)
	left     bool // whether the node has left and sends no more heartbeats; accessed only by the actor's goroutine
}

// View is a snapshot of the nodes of a site as one member sees them.
type View struct {
	Version uint64 // number that increases with every change of the member's view
	Nodes   []*wire.Node
}

// Addr returns the address of the node with a name. It returns false if that node is unknown or dead; a suspect node
// still counts as running.
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

// WithRole returns the nodes of the view that have a role and are not dead.
//
// Example: v.WithRole(clustermembership.RolePromptIndex)
func (v View) WithRole(role string) []*wire.Node {
	var nodes []*wire.Node
	for _, n := range v.Nodes {
		if n.Role == role && n.State != Dead {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// siteBounds returns the time limits of a process's site. If the site configures a heartbeat period that is too long
// for the limit LeaveMs, that limit is raised to the period divided by heartbeatRatio; the other limits stay.
func siteBounds(p settings.Process) settings.Bounds {
	if p.Site != nil {
		p.Bounds.LeaveMs = max(p.Bounds.LeaveMs, int(float64(p.Site.HeartbeatMs)/heartbeatRatio))
	}
	return p.Bounds
}

// Config holds the parameters of Start.
type Config struct {
	Process  settings.Process // settings of the process, with the node's name, addresses, seeds and time limits
	Role     string
	Clock    clock.Clock // monotonic clock for heartbeats and timeouts; must keep running while the machine is suspended
	Log      hclog.Logger
	Client   func(addr string) wire.Membership // function that returns a client for the member at an address
	OnChange func(View)                        // function called with the new view after every change; must not block; may be nil
}

// Start makes this process a member of its site until ctx is done. The node's incarnation is the clock reading at
// the time of the call.
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

// SetSeeds replaces the addresses of the nodes through which the running member joins its site.
//
// Example: m.SetSeeds(config.Seeds)
func (m *Member) SetSeeds(seeds []string) { m.actor.TrySend(func(c *Core) { c.SetSeeds(seeds) }) }

// publish makes the core's view available through Member.View and passes it to onChange, if the view has changed
// since it was last published.
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

// View returns the member's view of the site as last published.
//
// Example: m.View().WithRole(clustermembership.RoleControlNode)
func (m *Member) View() View { return *m.view.Load() }

// Leave announces to other nodes that this node stops, and stops its heartbeats.
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

// run ticks the core once per heartbeat period until ctx is done. The first joinTicks ticks all run within one
// period.
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
		if ticks < joinTicks {
			next.Reset(period / joinTicks)
		} else {
			next.Reset(period)
		}
		m.actor.TrySend(func(c *Core) { m.tick(ctx, c) })
	}
}

// tick sends the heartbeats of one heartbeat period. It sends none if the node has left, or if another machine has
// joined under the node's name.
func (m *Member) tick(ctx context.Context, c *Core) {
	if m.left {
		return
	}
	if c.Replaced() {
		m.left = true
		m.log.Error("another machine has joined the cluster under this node's name; this node stops sending heartbeats", "remedy", "stop this process, or configure a unique node name for it")
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
		return // a failed heartbeat is not retried: if the receiver is down, its own observers detect that by a timeout
	}
	m.actor.TrySend(func(c *Core) {
		c.HandleResponse(outgoing.Address, response, m.clock.Now())
		m.publish(c)
	})
}

// Exchange handles a heartbeat from another node and returns the response to it.
//
// Example: srv := wire.NewRosterServer(m)
func (m *Member) Exchange(_ context.Context, heartbeat *wire.Heartbeat) (*wire.Heartbeat, error) {
	var response *wire.Heartbeat
	m.actor.Ask(func(c *Core) {
		response = c.HandleHeartbeat(heartbeat, m.clock.Now())
		m.publish(c)
	})
	if response == nil { // the actor has stopped, so HandleHeartbeat did not run
		response = &wire.Heartbeat{Format: FormatVersion}
	}
	return response, nil
}
