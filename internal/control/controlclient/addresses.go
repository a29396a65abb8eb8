package controlclient

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"pebbleloom/internal/control/clustermembership"
)

// maxUnresponsive is the maximum number of unresponsive addresses that are tracked.
const maxUnresponsive = 256

// groupAddresses tracks the addresses of a Raft group whose membership is stored in its replicated log.
type groupAddresses struct {
	seeds   atomic.Pointer[[]string]
	members atomic.Pointer[[]string] // member addresses in the newest membership known to this process
	leader  atomic.Pointer[string]   // address of the last known leader
	self    atomic.Pointer[string]   // this process's own address, if it is a member

	mu           sync.Mutex
	unresponsive map[string]bool // addresses that did not respond to the last attempt
}

// SetSeeds replaces the seed addresses, which are used to find members.
//
// Example: c.SetSeeds(process.Settings.Seeds)
func (c *Client) SetSeeds(seeds []string) { c.group.seeds.Store(&seeds) }

// SetMembers sets the newest group membership known to this process, and its own member name. After a
// restart, a member knows its peers from its log even if the seeds cannot be reached.
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

// HintLeader records the member name of the current or last known leader, whose address is then tried first.
// An empty name has no effect.
//
// Example: c.HintLeader("10.1.0.17:7360/8f3a")
func (c *Client) HintLeader(leader string) {
	if addr := MemberAddr(leader); addr != "" {
		c.group.leader.Store(&addr)
	}
}

// Addresses returns the addresses at which to try group members, in this order: the last known leader, the
// control nodes of the cluster membership, the members of the newest known group membership, and the seeds.
// Addresses that did not respond to the last attempt come after all others. This process's own address comes
// last, since a member checks its own state without a network call before it uses the client.
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

// unresponsiveLast moves unresponsive addresses behind the others, and this process's own address to the end.
func (g *groupAddresses) unresponsiveLast(addresses []string) []string {
	others := slices.DeleteFunc(slices.Clone(addresses), g.isSelf)
	self := slices.DeleteFunc(addresses, func(addr string) bool { return !g.isSelf(addr) })
	responsive, unresponsive := SplitByResponsiveness(others, g.isUnresponsive)
	return slices.Concat(responsive, unresponsive, self)
}

// SplitByResponsiveness separates the addresses that did not respond to the last attempt from the others. Both
// results keep the given order.
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

// RecordResponse records whether an address responded to a call that was not made through this client.
//
// Example: c.RecordResponse(addr, err == nil)
func (c *Client) RecordResponse(addr string, responded bool) { c.group.record(addr, responded) }

// IsUnresponsive reports whether an address did not respond to the last attempt.
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
		clear(g.unresponsive) // only affects the order of attempts
	}
	g.unresponsive[addr] = true
}

func (g *groupAddresses) isUnresponsive(addr string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.unresponsive[addr]
}

// leaderUnreachable reports whether the leader is probably unreachable from this process: a majority of the
// known members did not respond to the last attempt or, if no members are known, none of the addresses did.
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
