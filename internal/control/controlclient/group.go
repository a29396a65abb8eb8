package controlclient

import (
	"context"
	"slices"
	"strings"
	"sync/atomic"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// seats is how a group whose membership is agreed data is found.
type groupAddresses struct {
	seeds  atomic.Pointer[[]string]
	leader atomic.Pointer[string] // the address that owned it the last time
}

// How long one try may last, and the pause between two rounds, as ratios of the heal bound.
const (
	tryPart   = 1.0 / 24
	pausePart = 1.0 / 80
)

// NewGroup makes the way to the one group of a site whose core machines nobody names.
//
// Example: c := link.NewGroup(place.Seeds, member.View, calls, place.Bounds)
func NewGroup(seeds []string, view func() clustermembership.View, calls *daemon.Clients, b settings.Bounds) *Client {
	c := &Client{view: view, calls: calls, bounds: b, group: &groupAddresses{}}
	c.SetSeeds(seeds)
	return c
}

// SetSeeds changes the seeds at run time.
//
// Example: c.SetSeeds(place.Seeds)
func (c *Client) SetSeeds(l []string) { c.group.seeds.Store(&l) }

// Addr is the address inside a member's name, "IP:PORT/LIFE".
//
// Example: link.Addr("10.1.0.17:7360/8f3a") == "10.1.0.17:7360"
func Addr(member string) string {
	a, _, _ := strings.Cut(member, "/")
	return a
}

// Hint names the owner as somebody else has heard it.
//
// Example: c.Hint("10.1.0.17:7360/8f3a")
func (c *Client) HintLeader(owner string) {
	if a := Addr(owner); a != "" {
		c.group.leader.Store(&a)
	}
}

// Seats lists where members may be, the likeliest first.
//
// Example: for _, addr := range c.Seats() { ask(addr) }
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
	for _, n := range c.view().Role("archive") {
		add(n.Addr)
	}
	for _, s := range *c.group.seeds.Load() {
		add(s)
	}
	return l
}

// eachSeat tries the seats in turn, whom one names as owner right after it, until done says so
// or the time is over.
func (c *Client) eachAddress(asker context.Context, try func(context.Context, wire.Archive) (done bool, owner string)) bool {
	ctx, end := context.WithTimeout(asker, c.bounds.Heal(0.5))
	defer end()
	for ctx.Err() == nil {
		todo, tried := c.Addresses(), map[string]bool{}
		for len(todo) > 0 && ctx.Err() == nil {
			addr := todo[0]
			if todo = todo[1:]; tried[addr] {
				continue
			}
			tried[addr] = true
			one, stop := context.WithTimeout(asker, c.bounds.Heal(tryPart))
			done, owner := try(one, c.calls.ControlNode(addr))
			stop()
			if done {
				c.HintLeader(addr)
				return true
			}
			if owner != "" {
				c.HintLeader(owner)
				todo = append([]string{Addr(owner)}, todo...)
			}
		}
		clock.Pause(ctx, c.bounds.Heal(pausePart))
	}
	return false
}
