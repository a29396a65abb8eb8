package controlclient

import (
	"context"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/settings"
)

// Timing of the attempts of a client made by NewGroupClient.
const (
	attemptRatio         = 1.0 / 24  // timeout of an attempt whose request has no body, as a fraction of the recovery time bound Bounds.Recovery
	attemptDoublingBytes = 256 << 10 // size in bytes of a request body with which an attempt gets twice the timeout of one without a body
	retryPauseRatio      = 1.0 / 80  // pause after all addresses were tried without success, as a fraction of the recovery time bound Bounds.Recovery
	shortAttemptRatio    = 1.0 / 4   // timeout of an attempt at an unresponsive address while the leader seems unreachable, as a fraction of the usual timeout
)

// NewGroupClient returns a client for a site where a single Raft group replicates the whole control state and where
// the settings do not list the control nodes. The client finds the group's members through the seeds, the cluster
// membership and the responses of members.
//
// Example: c := controlclient.NewGroupClient(process.Settings.Seeds, member.View, clients, process.Settings.Bounds)
func NewGroupClient(seeds []string, view func() clustermembership.View, clients *daemon.Clients, bounds settings.Bounds) *Client {
	c := &Client{view: view, clients: clients, bounds: bounds, group: &groupAddresses{unresponsive: map[string]bool{}}}
	c.SetSeeds(seeds)
	return c
}

// tryGroup tries all addresses repeatedly until an attempt returns done or the time limit is reached, and reports
// whether one returned done. It stops early if the group's leader still seems unreachable from this process after all
// addresses have been tried, so that the caller has time left to send its request elsewhere.
func (c *Client) tryGroup(caller context.Context, bodySize int, attempt attemptFunc) bool {
	ctx, cancel := context.WithTimeout(caller, c.bounds.Recovery(requestRatio))
	defer cancel()
	for ctx.Err() == nil {
		if c.tryEachAddress(ctx, caller, bodySize, attempt) {
			return true
		}
		if c.group.leaderUnreachable(c.Addresses()) {
			return false
		}
		clock.Sleep(ctx, c.bounds.Recovery(retryPauseRatio))
	}
	return false
}

// tryEachAddress tries each address once, until an attempt returns done. When a member names another one as the
// leader, that one is tried next, unless it is unresponsive. If a majority of the members is unresponsive, this process
// is probably the one that is cut off from the network, and attempts at unresponsive addresses have a shorter timeout.
// No attempt is started after ctx is done; attempts that have started are bounded by the context caller.
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
		if result.responded || stopExpired(minWait) { // an attempt that fails within shortTimeout, as on a refused connection, does not show that the address is unresponsive
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
			pending = append(pending, leader) // try the other members first: the one named as the leader may be cut off from the network
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

// attemptTimeout returns the timeout of an attempt whose request body has the given size in bytes.
func (c *Client) attemptTimeout(bodySize int) time.Duration {
	return c.bounds.Recovery(attemptRatio * (1 + float64(bodySize)/attemptDoublingBytes))
}
