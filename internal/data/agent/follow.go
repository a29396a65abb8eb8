package agent

import (
	"context"
	"strings"
	"time"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/routingconfig"
	"pebbleloom/internal/wire"
)

// How long a member holds a question, and how much longer its answer may take before the member
// counts as silent: ratios of the setup bound. News comes at once; the hold only says how often
// a calm site is asked. A proof is two holds old at the most while all is calm.
const (
	holdPart   = 1.0 / 2
	graceWait  = 1.0 / 4
	pauseLeft  = 1.0 / 40 // after an error, or an answer that came early with nothing in it
	pauseMost  = 1.0 / 5
	pauseEager = 1.0 / 25 // the most just after the start
	eagerPart  = 1.0 / 2
)

// address is where a member listens: its name without its life.
func address(member string) string {
	addr, _, _ := strings.Cut(member, "/")
	return addr
}

// follow asks one member again and again. Each has a thread of its own, so that one that hangs
// delays nobody else's news.
func (a *Agent) follow(ctx context.Context, addr string) {
	b := a.life.Place.Bounds
	hold := b.Config(holdPart)
	member, born := a.archive(addr), a.life.Clock.Now()
	for pause := b.Config(pauseLeft); ctx.Err() == nil; {
		var ask *wire.FollowRequest
		asked := a.life.Clock.Now()
		if !a.desk.Ask(func(t *table) { ask = t.ask(t.hold(asked)) }) {
			return
		}
		call, end := context.WithTimeout(ctx, time.Duration(ask.HoldNs)+b.Config(graceWait))
		tell, err := member.Follow(call, ask)
		end()
		if err == nil && (a.heard(tell, had(ask), asked) || a.life.Clock.Now()-asked >= hold/2) {
			pause = b.Config(pauseLeft)
			continue
		}
		clock.Pause(ctx, pause)
		pause = min(2*pause, b.Config(pauseMost))
		if a.Now().ProofAt == 0 && a.life.Clock.Now()-born < b.Config(eagerPart) { // all may have begun anew: whoever is next to is heard soon
			pause = min(pause, b.Config(pauseEager))
		}
	}
}

// had is the version of the plan that a question was asked with.
func had(a *wire.FollowRequest) uint64 {
	for _, h := range a.Have {
		if h.Key == routingconfig.Key {
			return h.Version
		}
	}
	return 0
}
