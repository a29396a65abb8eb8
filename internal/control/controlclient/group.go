package controlclient

import (
	"context"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/clustermembership"
	"pebbleloom/internal/daemon"
	"pebbleloom/internal/settings"
)

// Attempts at the members of a group.
const (
	attemptRatio         = 1.0 / 24  // of the heal bound: timeout of an attempt without a body
	attemptDoublingBytes = 256 << 10 // size of a body that doubles that timeout
	retryPauseRatio      = 1.0 / 80  // of the heal bound: pause once all addresses were tried
	shortAttemptRatio    = 1.0 / 4   // of an attempt's timeout: see tryEachAddress
)

// NewGroupClient makes a client of the one group of a site whose settings name no members: it finds
// them by the seeds, the cluster membership and what members say.
//
// Example: c := controlclient.NewGroupClient(process.Settings.Seeds, member.View, clients, process.Settings.Bounds)
func NewGroupClient(seeds []string, view func() clustermembership.View, clients *daemon.Clients, bounds settings.Bounds) *Client {
	c := &Client{view: view, clients: clients, bounds: bounds, group: &groupAddresses{unresponsive: map[string]bool{}}}
	c.SetSeeds(seeds)
	return c
}

// tryGroup tries all addresses, again and again, until an attempt is done, the time is over, or all
// were tried and the leader can't be reached from here: then the caller learns that while it can still
// ask elsewhere.
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

// tryEachAddress tries each address once; one that is named as the leader comes right after the one
// that named it, unless it is unresponsive. Where a majority is unresponsive, this process is probably
// the one that is partitioned, and an unresponsive address gets only a short attempt. ctx bounds when
// an attempt may start, caller bounds the attempts.
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
		if result.responded || stopExpired(minWait) { // a refused connection or a canceled caller proves nothing
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
			pending = append(pending, leader) // others first: it may be the one that is partitioned
		} else {
			pending = append([]string{leader}, pending...)
		}
	}
	return false
}

// stopExpired stops a timer and reports whether it has expired.
func stopExpired(timer *time.Timer) bool {
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	default:
		return false
	}
}

// attemptTimeout is the timeout of an attempt with a body of a size in bytes.
func (c *Client) attemptTimeout(bodySize int) time.Duration {
	return c.bounds.Heal(attemptRatio * (1 + float64(bodySize)/attemptDoublingBytes))
}
