package controlclient

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"pebbleloom/internal/control/clustermembership"
)

// maxUnresponsive is the maximum number of unresponsive addresses that a client tracks. When it is reached, the
// client forgets all of them.
const maxUnresponsive = 256

// groupAddresses tracks the addresses at which a client may reach the members of the Raft group that replicates the
// control state. The group's membership is stored in its replicated log and may change.
type groupAddresses struct {
	seeds   atomic.Pointer[[]string] // configured addresses at which to look for group members
	members atomic.Pointer[[]string] // addresses of the members in the newest group membership that this process knows
	leader  atomic.Pointer[string]   // address of the last known leader of the group
	self    atomic.Pointer[string]   // this process's own address if it is a member of the group, else nil

	mu           sync.Mutex
	unresponsive map[string]bool // addresses that did not respond to the last request sent to them
}

// SetSeeds replaces the seed addresses, at which the client looks for group members.
//
// Example: c.SetSeeds(process.Settings.Seeds)
func (c *Client) SetSeeds(seeds []string) { c.group.seeds.Store(&seeds) }

// SetMembers sets the member name of this process and the names of all members in the newest group membership that
// it knows. A restarted member takes them from its replicated log, so that it finds its peers even if no seed can be
// reached.
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

// MemberAddr returns the address part of a member name, which has the form IP:PORT/INCARNATION.
//
// Example: controlclient.MemberAddr("10.1.0.17:7360/8f3a") == "10.1.0.17:7360"
func MemberAddr(member string) string {
	addr, _, _ := strings.Cut(member, "/")
	return addr
}

// HintLeader records the member name of the current or last known leader, so that the next request is sent to its
// address first. An empty name has no effect.
//
// Example: c.HintLeader("10.1.0.17:7360/8f3a")
func (c *Client) HintLeader(leader string) {
	if addr := MemberAddr(leader); addr != "" {
		c.group.leader.Store(&addr)
	}
}

// Addresses returns the addresses at which to try group members, in this order: the last known leader, the
// control nodes of the cluster membership, the members of the newest known group membership, and the seeds.
// Addresses that did not respond to the last request sent to them come after all others. This process's own address
// comes last, since a member checks its own state without a network call before it uses the client.
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

// unresponsiveLast moves the addresses that did not respond to the last request sent to them behind the others,
// and this process's own address to the end.
func (g *groupAddresses) unresponsiveLast(addresses []string) []string {
	others := slices.DeleteFunc(slices.Clone(addresses), g.isSelf)
	self := slices.DeleteFunc(addresses, func(addr string) bool { return !g.isSelf(addr) })
	responsive, unresponsive := SplitByResponsiveness(others, g.isUnresponsive)
	return slices.Concat(responsive, unresponsive, self)
}

// SplitByResponsiveness separates the addresses for which isUnresponsive returns true from the others. Both results
// keep the given order.
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

// RecordResponse records whether an address responded to a call that the caller made without this client.
//
// Example: c.RecordResponse(addr, err == nil)
func (c *Client) RecordResponse(addr string, responded bool) { c.group.record(addr, responded) }

// IsUnresponsive reports whether an address did not respond to the last request that was sent to it.
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
		clear(g.unresponsive) // bounds the memory; losing the entries only affects the order in which addresses are tried
	}
	g.unresponsive[addr] = true
}

func (g *groupAddresses) isUnresponsive(addr string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.unresponsive[addr]
}

// leaderUnreachable reports whether the group's leader is probably unreachable from this process: a majority of the
// known members did not respond to the last request sent to them or, if no members are known, none of the given
// addresses did.
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
