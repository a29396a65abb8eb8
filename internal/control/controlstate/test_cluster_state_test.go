package controlstate

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"time"
)

// members returns the voters that the newest leader knows; nil if there is no leader. The newest leader is the one whose
// membership entry has the highest term.
func (c *testCluster) members() []string {
	var newest *publishedView
	for _, node := range c.nodes {
		if view := node.shards[0].published.current(); view.isLeader && (newest == nil || view.term > newest.term) {
			newest = view
		}
	}
	if newest == nil {
		return nil
	}
	return newest.members
}

// leader returns the number of a machine whose member is the leader; 0 if there is none.
func (c *testCluster) leader() int {
	for i := 1; i < 9; i++ {
		if node := c.node(i); node != nil && node.shards[0].published.current().isLeader {
			return i
		}
	}
	return 0
}

// node returns the node of a machine; nil if the machine is not running.
func (c *testCluster) node(i int) *Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[c.addr(i)]
}

// setUnreachable makes a machine unable to send and receive, like one without power, or reachable again.
func (c *testCluster) setUnreachable(i int, unreachable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unreachable[c.addr(i)] = unreachable
}

// startInitialGroup performs the first start of a site with the given number of machines, and waits until three of them form
// a group with a leader. It returns the time that this took.
func (c *testCluster) startInitialGroup(machines int) time.Duration {
	c.t.Helper()
	for i := range machines {
		c.start(i+1, true)
	}
	return c.waitUntil("a leader of three voters", 5*time.Second, func() bool { return len(c.members()) == 3 })
}

// startWithSpare starts a site of four machines, sends version 1 of the routing configuration, and waits until the fourth
// machine is a caught-up spare.
func (c *testCluster) startWithSpare() {
	c.t.Helper()
	c.startInitialGroup(4)
	c.putVersion(1)
	c.awaitSpare()
}

// awaitMembers waits until the group has three voters for which holds returns true.
func (c *testCluster) awaitMembers(condition string, within time.Duration, holds func(members []string) bool) time.Duration {
	c.t.Helper()
	return c.waitUntil(condition, within, func() bool {
		members := c.members()
		return len(members) == 3 && holds(members)
	})
}

// putVersion sends a version of the routing configuration, based on the version before it, to all nodes in turn until one
// of them acknowledges it.
func (c *testCluster) putVersion(version uint64) {
	c.t.Helper()
	c.waitUntil(fmt.Sprintf("routing configuration version %d to be acknowledged", version), 6*time.Second, func() bool {
		for _, node := range c.nodes {
			if _, err := node.PutRoutingConfig(context.Background(), version-1, body(version, "x"), false); err == nil {
				return true
			}
		}
		return false
	})
}

// awaitSpare waits until the leader replicates to a caught-up learner.
func (c *testCluster) awaitSpare() {
	c.t.Helper()
	c.waitUntil("a caught-up spare", 6*time.Second, func() bool {
		leader := c.leader()
		if leader == 0 {
			return false
		}
		replica := c.node(leader).shards[0]
		return query(context.Background(), replica, false, func() bool {
			for _, peer := range replica.core.PeerStatuses() {
				if !peer.IsVoter && peer.CaughtUp {
					return true
				}
			}
			return false
		})
	})
}

// isMember reports whether a machine is a voter according to the newest leader.
func (c *testCluster) isMember(i int) bool {
	return slices.ContainsFunc(c.members(), func(name string) bool { return strings.HasPrefix(name, c.addr(i)+"/") })
}

// membershipIndex returns the log index of the newest membership that any node knows.
func (c *testCluster) membershipIndex() (index uint64) {
	for _, node := range c.nodes {
		index = max(index, node.shards[0].published.current().index)
	}
	return index
}
