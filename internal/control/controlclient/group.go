package controlclient

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// groupAddresses is how the members of a group are found whose membership is agreed data.
type groupAddresses struct {
	seeds   atomic.Pointer[[]string]
	members atomic.Pointer[[]string] // addresses of the newest membership that this process knows
	leader  atomic.Pointer[string]   // the address that led the group the last time
	self    atomic.Pointer[string]   // this process's own address, where it is a member itself

	mu           sync.Mutex
	unresponsive map[string]bool // addresses that gave no answer the last time
}

// How long one attempt may last, and the pause between two rounds, as ratios of the heal bound. A
// body of attemptDoublingBytes makes an attempt as long again. Where a majority hasn't answered lately, this
// process is probably the one that is cut off, and asking a silent one gets shortAttemptRatio of that time.
const (
	attemptRatio         = 1.0 / 24
	attemptDoublingBytes = 256 << 10
	shortAttemptRatio    = 1.0 / 4
	retryPauseRatio      = 1.0 / 80
)

// maxUnresponsive bounds how many silent addresses are remembered.
const maxUnresponsive = 256

// NewGroupClient makes a client of the one group of a site whose core machines nobody names.
//
// Example: c := controlclient.NewGroupClient(place.Seeds, member.View, calls, place.Bounds)
func NewGroupClient(seeds []string, view func() clustermembership.View, calls *daemon.Clients, b settings.Bounds) *Client {
	c := &Client{view: view, clients: calls, bounds: b, group: &groupAddresses{unresponsive: map[string]bool{}}}
	c.SetSeeds(seeds)
	return c
}

// SetSeeds replaces the seed addresses at run time.
//
// Example: c.SetSeeds(place.Seeds)
func (c *Client) SetSeeds(l []string) { c.group.seeds.Store(&l) }

// SetMembers gives the newest membership that this process knows, and its own name in the group. A
// member that was restarted knows its peers from its log, also where its seeds can't be reached.
//
// Example: c.SetMembers("10.1.0.17:7360/8f3a", []string{"10.1.0.17:7360/8f3a", "10.2.0.24:7360/0"})
func (c *Client) SetMembers(self string, members []string) {
	addresses := make([]string, 0, len(members))
	for _, m := range members {
		addresses = append(addresses, MemberAddr(m))
	}
	own := MemberAddr(self)
	c.group.members.Store(&addresses)
	c.group.self.Store(&own)
}

// MemberAddr is the address inside a member's name, "IP:PORT/INCARNATION".
//
// Example: controlclient.Addr("10.1.0.17:7360/8f3a") == "10.1.0.17:7360"
func MemberAddr(member string) string {
	a, _, _ := strings.Cut(member, "/")
	return a
}

// HintLeader names the leader as somebody else has heard it; an empty name says nothing.
//
// Example: c.HintLeader("10.1.0.17:7360/8f3a")
func (c *Client) HintLeader(leader string) {
	if a := MemberAddr(leader); a != "" {
		c.group.leader.Store(&a)
	}
}

// Addresses lists where members may be, the likeliest first: the leader as last heard of, the nodes
// of the cluster membership, the members of the newest membership, the seeds. Those that gave no
// answer the last time come after all others, and this process's own address, which it has asked
// without the network, at the end.
//
// Example: for _, addr := range c.Addresses() { ask(addr) }
func (c *Client) Addresses() []string {
	var l []string
	add := func(a string) {
		if a != "" && !slices.Contains(l, a) {
			l = append(l, a)
		}
	}
	if o := c.group.leader.Load(); o != nil {
		add(*o)
	}
	for _, n := range c.view().WithRole("archive") {
		add(n.Addr)
	}
	if ms := c.group.members.Load(); ms != nil {
		for _, m := range *ms {
			add(m)
		}
	}
	for _, s := range *c.group.seeds.Load() {
		add(s)
	}
	return c.group.unresponsiveLast(l)
}

// unresponsiveLast orders the addresses by how likely they are to answer.
func (g *groupAddresses) unresponsiveLast(l []string) []string {
	rank := func(a string) int {
		switch {
		case g.isSelf(a):
			return 2
		case g.isUnresponsive(a):
			return 1
		}
		return 0
	}
	slices.SortStableFunc(l, func(a, b string) int { return rank(a) - rank(b) })
	return l
}

func (g *groupAddresses) isSelf(addr string) bool {
	own := g.self.Load()
	return own != nil && *own == addr
}

// RecordResponse remembers whether an address has answered a call that this client didn't make.
//
// Example: c.RecordResponse(addr, err == nil)
func (c *Client) RecordResponse(addr string, answered bool) { c.group.record(addr, answered) }

// IsUnresponsive reports whether an address gave no answer the last time it was asked.
//
// Example: if !c.IsUnresponsive(addr) { ask(addr) }
func (c *Client) IsUnresponsive(addr string) bool { return c.group.isUnresponsive(addr) }

// record remembers whether an address has answered.
func (g *groupAddresses) record(addr string, answered bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if answered {
		delete(g.unresponsive, addr)
		return
	}
	if len(g.unresponsive) >= maxUnresponsive {
		clear(g.unresponsive) // it is only an order to ask in
	}
	g.unresponsive[addr] = true
}

func (g *groupAddresses) isUnresponsive(addr string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.unresponsive[addr]
}

// leaderUnreachable tells whether the leader probably can't be reached from here: a majority of the
// members that this process knows was silent the last time, or all addresses where it knows none.
func (g *groupAddresses) leaderUnreachable(addresses []string) bool {
	needed := len(addresses)
	if members := g.members.Load(); members != nil && len(*members) > 0 {
		addresses, needed = *members, len(*members)/2+1
	}
	silent := 0
	for _, a := range addresses {
		if !g.isSelf(a) && g.isUnresponsive(a) {
			silent++
		}
	}
	return silent > 0 && silent >= needed
}

// tryGroup asks the addresses in turn, whom one names as the leader right after it, until done
// says so, the time is over, or a whole round shows that the leader can't be reached from here: then
// the caller hears so while it can still ask elsewhere. size is that of the request's body.
func (c *Client) tryGroup(caller context.Context, size int, try func(context.Context, wire.ControlNode) attemptResult) bool {
	ctx, end := context.WithTimeout(caller, c.bounds.Heal(0.5))
	defer end()
	for ctx.Err() == nil {
		if c.tryEachAddress(ctx, caller, size, try) {
			return true
		}
		if c.group.leaderUnreachable(c.Addresses()) {
			return false
		}
		clock.Sleep(ctx, c.bounds.Heal(retryPauseRatio))
	}
	return false
}

// tryEachAddress asks each address once.
func (c *Client) tryEachAddress(ctx, caller context.Context, size int, try func(context.Context, wire.ControlNode) attemptResult) bool {
	todo, asked := c.Addresses(), map[string]bool{}
	whole, unreachable := c.attemptTimeout(size), c.group.leaderUnreachable(todo)
	least := time.Duration(float64(whole) * shortAttemptRatio)
	for len(todo) > 0 && ctx.Err() == nil {
		addr := todo[0]
		if todo = todo[1:]; asked[addr] {
			continue
		}
		asked[addr] = true
		limit := whole
		if unreachable && c.group.isUnresponsive(addr) {
			limit = least
		}
		waited := time.NewTimer(least)
		attempt, stop := context.WithTimeout(caller, limit)
		got := try(attempt, c.clients.ControlNode(addr))
		stop()
		if got.responded || stopExpired(waited) { // a refused connection or the caller's own end proves nothing
			c.group.record(addr, got.responded)
		}
		if got.done {
			c.HintLeader(addr)
			return true
		}
		if got.leader == "" {
			continue
		}
		c.HintLeader(got.leader)
		if named := MemberAddr(got.leader); c.group.isUnresponsive(named) {
			todo = append(todo, named) // others first: it may be the one that is cut off
		} else {
			todo = append([]string{named}, todo...)
		}
	}
	return false
}

// stopExpired stops a timer and tells whether its time is over.
func stopExpired(t *time.Timer) bool {
	defer t.Stop()
	select {
	case <-t.C:
		return true
	default:
		return false
	}
}

// attemptTimeout is how long one attempt may last for a body of a size.
func (c *Client) attemptTimeout(size int) time.Duration {
	return c.bounds.Heal(attemptRatio * (1 + float64(size)/attemptDoublingBytes))
}
