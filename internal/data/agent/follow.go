package agent

import (
	"context"
	"strings"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/wire"
)

// Timing of the requests to members of the consensus group, as fractions of the configuration bound (the
// longest time for which an outdated configuration may be in use).
const (
	// longPollRatio is how long a member may wait for an update before it responds, as a fraction of the configuration
	// bound. Updates are sent immediately, so this only determines how often members are polled while nothing changes.
	// Without failures, a freshness proof is never older than two such waits.
	longPollRatio = 1.0 / 2
	// responseGraceRatio is added to the wait of a long poll to get the timeout of the request, as a fraction of the
	// configuration bound.
	responseGraceRatio = 1.0 / 4
	// minRetryDelayRatio is the initial retry delay after an error or after an early response without an update, as a
	// fraction of the configuration bound. The delay doubles with each retry, up to maxRetryDelayRatio.
	minRetryDelayRatio = 1.0 / 40
	maxRetryDelayRatio = 1.0 / 5
	// startRetryDelayRatio replaces maxRetryDelayRatio for the time startPhaseRatio after the start of polling, as long
	// as there is no freshness proof, because the whole site may just have restarted.
	startRetryDelayRatio = 1.0 / 25
	startPhaseRatio      = 1.0 / 2
)

// address returns the network address of a member of the consensus group, whose name has the form
// "address/incarnation".
func address(member string) string {
	addr, _, _ := strings.Cut(member, "/")
	return addr
}

// follow polls the control node at addr until ctx is canceled, at the latest when the process stops. Each control node
// is polled by its own goroutine, so that an unresponsive one does not delay updates from the others.
func (a *Agent) follow(ctx context.Context, addr string) {
	bounds := a.process.Settings.Bounds
	longPollTime := bounds.Config(longPollRatio)
	client, startedAt := a.connect(addr), a.process.Clock.Now()
	delay := bounds.Config(minRetryDelayRatio)
	for ctx.Err() == nil {
		var request *wire.FollowRequest
		requestedAt := a.process.Clock.Now()
		if !a.actor.Ask(func(t *table) { request = t.newRequest(t.longPollTime(requestedAt)) }) {
			return // the actor was stopped because the process is stopping
		}
		callCtx, cancel := context.WithTimeout(ctx, time.Duration(request.MaxWaitNs)+bounds.Config(responseGraceRatio))
		response, err := client.Follow(callCtx, request)
		cancel()
		if err == nil && (a.handleResponse(response, requestedVersion(request), requestedAt) || a.process.Clock.Now()-requestedAt >= longPollTime/2) {
			delay = bounds.Config(minRetryDelayRatio)
			continue
		}
		clock.Sleep(ctx, delay)
		delay = min(2*delay, bounds.Config(maxRetryDelayRatio))
		if a.Snapshot().ProofAt == 0 && a.process.Clock.Now()-startedAt < bounds.Config(startPhaseRatio) {
			delay = min(delay, bounds.Config(startRetryDelayRatio))
		}
	}
}

// requestedVersion returns the plan version that a request reports as known to the agent; 0 if the agent knows none.
func requestedVersion(request *wire.FollowRequest) uint64 {
	for _, known := range request.Known {
		if known.Key == routingconfig.DocumentKey {
			return known.Version
		}
	}
	return 0
}
