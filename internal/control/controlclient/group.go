package controlclient

import (
	"context"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/settings"
)

// Timing of attempts at the members of a group.
const (
	attemptRatio         = 1.0 / 24  // timeout of an attempt with an empty body, as a fraction of Bounds.Heal
	attemptDoublingBytes = 256 << 10 // body size in bytes that doubles this timeout
	retryPauseRatio      = 1.0 / 80  // pause after all addresses have been tried, as a fraction of Bounds.Heal
	shortAttemptRatio    = 1.0 / 4   // timeout of a short attempt, as a fraction of the usual one; see tryEachAddress
)

// NewGroupClient returns a client for a site whose settings do not list the control nodes, and where a single
// group replicates the control state. It finds the group's members through the seeds, the cluster membership
// and the responses of members.
//
// Example: c := controlclient.NewGroupClient(process.Settings.Seeds, member.View, clients, process.Settings.Bounds)
func NewGroupClient(seeds []string, view func() clustermembership.View, clients *daemon.Clients, bounds settings.Bounds) *Client {
	c := &Client{view: view, clients: clients, bounds: bounds, group: &groupAddresses{unresponsive: map[string]bool{}}}
	c.SetSeeds(seeds)
	return c
}

// tryGroup tries all addresses repeatedly until an attempt is done or the time limit is reached. It stops
// early if the leader is unreachable from this process after all addresses have been tried, so that the
// caller has time left to send its request elsewhere.
func (c *Client) tryGroup(caller context.Context, bodySize int, attempt attemptFunc) bool {
	ctx, cancel := context.WithTimeout(caller, c.bounds.Heal(requestRatio))
	defer cancel()
	for ctx.Err() == nil {
		if c.tryEachAddress(ctx, caller, bodySize, attempt) {
			return true
		}
		if c.group.leaderUnreachable(c.Addresses()) {
			return false
		}
		clock.Sleep(ctx, c.bounds.Heal(retryPauseRatio))
	}
	return false
}

// tryEachAddress tries each address once. When a member names another one as the leader, that one is tried
// next, unless it is unresponsive. If a majority is unresponsive, it is probably this process that is
// partitioned, and attempts at unresponsive addresses have a short timeout. No attempt is started after ctx
// is done; the attempts themselves are bounded by the context caller.
func (c *Client) tryEachAddress(ctx, caller context.Context, bodySize int, attempt attemptFunc) bool {
	pending, tried := c.Addresses(), map[string]bool{}
	timeout, unreachable := c.attemptTimeout(bodySize), c.group.leaderUnreachable(pending)
	shortTimeout := time.Duration(float64(timeout) * shortAttemptRatio)
	for len(pending) > 0 && ctx.Err() == nil {
		addr := pending[0]
		if pending = pending[1:]; tried[addr] {
			continue
		}
		tried[addr] = true
		limit := timeout
		if unreachable && c.group.isUnresponsive(addr) {
			limit = shortTimeout
		}
		minWait := time.NewTimer(shortTimeout)
		result := c.tryOne(caller, limit, addr, attempt)
		if result.responded || stopExpired(minWait) { // a refused connection or a canceled call does not show that the address is unresponsive
			c.group.record(addr, result.responded)
		}
		if result.done {
			c.HintLeader(addr)
			return true
		}
		if result.leader == "" {
			continue
		}
		c.HintLeader(result.leader)
		if leader := MemberAddr(result.leader); c.group.isUnresponsive(leader) {
			pending = append(pending, leader) // try the others first: the named leader may be partitioned
		} else {
			pending = append([]string{leader}, pending...)
		}
	}
	return false
}

// stopExpired stops a timer and reports whether it had already expired.
func stopExpired(timer *time.Timer) bool {
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	default:
		return false
	}
}

// attemptTimeout returns the timeout of an attempt with a body of the given size in bytes.
func (c *Client) attemptTimeout(bodySize int) time.Duration {
	return c.bounds.Heal(attemptRatio * (1 + float64(bodySize)/attemptDoublingBytes))
}
