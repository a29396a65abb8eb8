package controlclient

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"pebbleloom/internal/control/clustermembership"
)

// maxUnresponsive bounds how many unresponsive addresses are remembered.
const maxUnresponsive = 256

// groupAddresses finds the members of a group whose membership is part of its replicated log.
type groupAddresses struct {
	seeds   atomic.Pointer[[]string]
	members atomic.Pointer[[]string] // addresses of the newest membership that this process knows
	leader  atomic.Pointer[string]   // address of the last known leader
	self    atomic.Pointer[string]   // this process's own address, where it is a member itself

	mu           sync.Mutex
	unresponsive map[string]bool // addresses whose last attempt got no response
}

// SetSeeds replaces the seed addresses at run time.
//
// Example: c.SetSeeds(process.Settings.Seeds)
func (c *Client) SetSeeds(seeds []string) { c.group.seeds.Store(&seeds) }

// SetMembers gives the newest membership that this process knows, and its own name in the group. A
// member that was restarted knows its peers from its log, also where its seeds can't be reached.
//
// Example: c.SetMembers("10.1.0.17:7360/8f3a", []string{"10.1.0.17:7360/8f3a", "10.2.0.24:7360/0"})
func (c *Client) SetMembers(self string, members []string) {
	addresses := make([]string, 0, len(members))
	for _, member := range members {
		addresses = append(addresses, MemberAddr(member))
	}
	selfAddr := MemberAddr(self)
	c.group.members.Store(&addresses)
	c.group.self.Store(&selfAddr)
}

// MemberAddr returns the address inside a member's name, "IP:PORT/INCARNATION".
//
// Example: controlclient.MemberAddr("10.1.0.17:7360/8f3a") == "10.1.0.17:7360"
func MemberAddr(member string) string {
	addr, _, _ := strings.Cut(member, "/")
	return addr
}

// HintLeader sets the address to try first from the name of a member that leads, or led, the group;
// an empty name changes nothing.
//
// Example: c.HintLeader("10.1.0.17:7360/8f3a")
func (c *Client) HintLeader(leader string) {
	if addr := MemberAddr(leader); addr != "" {
		c.group.leader.Store(&addr)
	}
}

// Addresses lists where members may be, the likeliest first: the last known leader, the control nodes
// of the cluster membership, the members of the newest known membership, the seeds. Those that didn't
// respond the last time come after all others, and last this process's own address, which it has
// asked without the network.
//
// Example: for _, addr := range c.Addresses() { ask(addr) }
func (c *Client) Addresses() []string {
	var addresses []string
	add := func(addr string) {
		if addr != "" && !slices.Contains(addresses, addr) {
			addresses = append(addresses, addr)
		}
	}
	if leader := c.group.leader.Load(); leader != nil {
		add(*leader)
	}
	for _, node := range c.view().WithRole(clustermembership.RoleControlNode) {
		add(node.Addr)
	}
	if members := c.group.members.Load(); members != nil {
		for _, member := range *members {
			add(member)
		}
	}
	for _, seed := range *c.group.seeds.Load() {
		add(seed)
	}
	return c.group.unresponsiveLast(addresses)
}

// unresponsiveLast orders addresses by how likely they are to respond.
func (g *groupAddresses) unresponsiveLast(addresses []string) []string {
	others := slices.DeleteFunc(slices.Clone(addresses), g.isSelf)
	self := slices.DeleteFunc(addresses, func(addr string) bool { return !g.isSelf(addr) })
	responsive, unresponsive := SplitByResponsiveness(others, g.isUnresponsive)
	return slices.Concat(responsive, unresponsive, self)
}

// SplitByResponsiveness separates the addresses that didn't respond the last time from the others,
// each in the order given.
//
// Example: responsive, unresponsive := controlclient.SplitByResponsiveness(addresses, c.IsUnresponsive)
func SplitByResponsiveness(addresses []string, isUnresponsive func(addr string) bool) (responsive, unresponsive []string) {
	for _, addr := range addresses {
		if isUnresponsive(addr) {
			unresponsive = append(unresponsive, addr)
		} else {
			responsive = append(responsive, addr)
		}
	}
	return responsive, unresponsive
}

func (g *groupAddresses) isSelf(addr string) bool {
	self := g.self.Load()
	return self != nil && *self == addr
}

// RecordResponse records whether an address has responded to a call that this client didn't make.
//
// Example: c.RecordResponse(addr, err == nil)
func (c *Client) RecordResponse(addr string, responded bool) { c.group.record(addr, responded) }

// IsUnresponsive reports whether the last attempt at an address got no response.
//
// Example: if !c.IsUnresponsive(addr) { ask(addr) }
func (c *Client) IsUnresponsive(addr string) bool { return c.group.isUnresponsive(addr) }

func (g *groupAddresses) record(addr string, responded bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if responded {
		delete(g.unresponsive, addr)
		return
	}
	if len(g.unresponsive) >= maxUnresponsive {
		clear(g.unresponsive) // only the order of the attempts depends on it
	}
	g.unresponsive[addr] = true
}

func (g *groupAddresses) isUnresponsive(addr string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.unresponsive[addr]
}

// leaderUnreachable reports whether the leader probably can't be reached from here: a majority of the
// known members didn't respond the last time, or none of the addresses where no members are known.
func (g *groupAddresses) leaderUnreachable(addresses []string) bool {
	needed := len(addresses)
	if members := g.members.Load(); members != nil && len(*members) > 0 {
		addresses, needed = *members, len(*members)/2+1
	}
	unresponsive := 0
	for _, addr := range addresses {
		if !g.isSelf(addr) && g.isUnresponsive(addr) {
			unresponsive++
		}
	}
	return unresponsive > 0 && unresponsive >= needed
}
