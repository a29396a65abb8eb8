package agent

import (
	"context"
	"strings"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/wire"
)

// Timing of the requests to members, as ratios of the configuration bound. Chosen, not measured.
const (
	// longPollRatio is how long a member may wait for an update before it responds. Updates come at once;
	// this only bounds how often a quiet site is polled. While nothing fails a proof is at most two of these
	// old.
	longPollRatio = 1.0 / 2
	// responseGraceRatio is how much longer a response may take before the request times out.
	responseGraceRatio = 1.0 / 4
	// minRetryDelayRatio is the first delay after an error, or after an early response without an update;
	// it doubles up to maxRetryDelayRatio.
	minRetryDelayRatio = 1.0 / 40
	maxRetryDelayRatio = 1.0 / 5
	// startRetryDelayRatio is the greatest delay during startPhaseRatio after the start, while there is no
	// proof: the whole site may have restarted.
	startRetryDelayRatio = 1.0 / 25
	startPhaseRatio      = 1.0 / 2
)

// address is where a member listens: its name without its incarnation.
func address(member string) string {
	addr, _, _ := strings.Cut(member, "/")
	return addr
}

// follow polls one member until ctx is canceled, at the latest when the process stops. Each member has
// its own goroutine, so that one that hangs delays the updates of none of the others.
func (a *Agent) follow(ctx context.Context, addr string) {
	bounds := a.process.Settings.Bounds
	longPollTime := bounds.Config(longPollRatio)
	client, startedAt := a.connect(addr), a.process.Clock.Now()
	delay := bounds.Config(minRetryDelayRatio)
	for ctx.Err() == nil {
		var request *wire.FollowRequest
		requestedAt := a.process.Clock.Now()
		if !a.actor.Ask(func(t *table) { request = t.newRequest(t.longPollTime(requestedAt)) }) {
			return // the process stops
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

// requestedVersion is the version of the plan that a request was sent with.
func requestedVersion(request *wire.FollowRequest) uint64 {
	for _, known := range request.Known {
		if known.Key == routingconfig.DocumentKey {
			return known.Version
		}
	}
	return 0
}
