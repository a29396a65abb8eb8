package agent

import (
	"context"
	"strings"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/wire"
)

// How long a member holds a request, and how much longer its response may take before the member
// counts as silent: ratios of the configuration bound. News comes at once; the hold only bounds how often
// a quiet site is polled. A proof is at most two holds old while nothing fails.
const (
	longPollRatio        = 1.0 / 2
	responseGraceRatio   = 1.0 / 4
	minRetryDelayRatio   = 1.0 / 40 // after an error, or an early response without news
	maxRetryDelayRatio   = 1.0 / 5
	startRetryDelayRatio = 1.0 / 25 // the maximum just after the start
	startPhaseRatio      = 1.0 / 2
)

// address is where a member listens: its name without its incarnation.
func address(member string) string {
	addr, _, _ := strings.Cut(member, "/")
	return addr
}

// follow polls one member. Each has its own goroutine, so that one that hangs delays nobody else's
// news.
func (a *Agent) follow(ctx context.Context, addr string) {
	bounds := a.process.Settings.Bounds
	hold := bounds.Config(longPollRatio)
	client, startedAt := a.controlNode(addr), a.process.Clock.Now()
	for pause := bounds.Config(minRetryDelayRatio); ctx.Err() == nil; {
		var request *wire.FollowRequest
		asked := a.process.Clock.Now()
		if !a.actor.Ask(func(t *table) { request = t.newRequest(t.longPollTime(asked)) }) {
			return
		}
		call, end := context.WithTimeout(ctx, time.Duration(request.MaxWaitNs)+bounds.Config(responseGraceRatio))
		response, err := client.Follow(call, request)
		end()
		if err == nil && (a.handleResponse(response, requestedVersion(request), asked) || a.process.Clock.Now()-asked >= hold/2) {
			pause = bounds.Config(minRetryDelayRatio)
			continue
		}
		clock.Sleep(ctx, pause)
		pause = min(2*pause, bounds.Config(maxRetryDelayRatio))
		if a.Snapshot().ProofAt == 0 && a.process.Clock.Now()-startedAt < bounds.Config(startPhaseRatio) { // the whole site may have restarted: retry soon
			pause = min(pause, bounds.Config(startRetryDelayRatio))
		}
	}
}

// requestedVersion is the version of the plan that a request was sent with.
func requestedVersion(a *wire.FollowRequest) uint64 {
	for _, h := range a.Known {
		if h.Key == routingconfig.DocumentKey {
			return h.Version
		}
	}
	return 0
}
