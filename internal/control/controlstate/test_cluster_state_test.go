package controlstate

import (
	"context"
	"slices"
	"strings"
	"time"
)

// members are those of the newest leader; nil: nobody leads.
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

// leader is the number of a machine that leads; 0: none does.
func (c *testCluster) leader() int {
	for i := 1; i < 9; i++ {
		if node := c.node(i); node != nil && node.shards[0].published.current().isLeader {
			return i
		}
	}
	return 0
}

// node is the node of a machine; nil: it doesn't run.
func (c *testCluster) node(i int) *Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[c.addr(i)]
}

// setUnreachable has a machine neither send nor receive, as one without power, or ends that.
func (c *testCluster) setUnreachable(i int, unreachable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unreachable[c.addr(i)] = unreachable
}

// startFounders starts a site, and waits until three of its machines are a group with a leader. It returns
// how long that took.
func (c *testCluster) startFounders(machines int) time.Duration {
	c.t.Helper()
	for i := range machines {
		c.start(i+1, true)
	}
	return c.waitUntil("a leader", 5*time.Second, func() bool { return len(c.members()) == 3 })
}

// startWithSpare starts a site of a group and a spare that has caught up; version 1 is in force.
func (c *testCluster) startWithSpare() {
	c.t.Helper()
	c.startFounders(4)
	c.putVersion(1)
	c.awaitSpare()
}

// awaitMembers waits until there are three members for which a condition holds.
func (c *testCluster) awaitMembers(what string, within time.Duration, holds func(members []string) bool) time.Duration {
	c.t.Helper()
	return c.waitUntil(what, within, func() bool {
		members := c.members()
		return len(members) == 3 && holds(members)
	})
}

// putVersion puts a version on the one before, at any node that accepts it.
func (c *testCluster) putVersion(version uint64) {
	c.t.Helper()
	c.waitUntil("a plan", 6*time.Second, func() bool {
		for _, node := range c.nodes {
			if _, err := node.PutRoutingConfig(context.Background(), version-1, body(version, "x"), false); err == nil {
				return true
			}
		}
		return false
	})
}

// awaitSpare waits until the leader replicates to a learner that it could add.
func (c *testCluster) awaitSpare() {
	c.t.Helper()
	c.waitUntil("a spare", 6*time.Second, func() bool {
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

// isMember reports whether the leader counts a machine among the members.
func (c *testCluster) isMember(i int) bool {
	return slices.ContainsFunc(c.members(), func(name string) bool { return strings.HasPrefix(name, c.addr(i)+"/") })
}

// membershipIndex is the log index of the newest membership that a node knows.
func (c *testCluster) membershipIndex() (index uint64) {
	for _, node := range c.nodes {
		index = max(index, node.shards[0].published.current().index)
	}
	return index
}
