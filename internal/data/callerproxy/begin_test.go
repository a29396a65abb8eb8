package callerproxy

import (
	"context"
	"testing"
	"time"

	"pebbleloom/api/caller"
	"pebbleloom/internal/data/updatestream"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/sim/loadgen"
	"pebbleloom/internal/wire"
)

// Until when an attempt may begin is told in the worker's own clock, which may be ahead or behind by
// any time. Wherever between question and answer that clock was read, the worker stops no later
// than the instant meant here, and earlier by the probe's time at most.
func TestWorkerStartDeadlineHoldsOnAnyClock(t *testing.T) {
	const until = 100 * time.Second
	for _, ahead := range []time.Duration{-time.Hour, 0, 90 * time.Hour} {
		for _, probe := range []time.Duration{0, time.Millisecond, 700 * time.Millisecond} {
			for _, read := range []time.Duration{0, probe / 2, probe} {
				asked := 98 * time.Second
				w := &wire.Worker{ClockNs: uint64(200*time.Hour + asked + read + ahead), ClockReadAt: uint64(asked + probe)}
				here := time.Duration(workerStartDeadline(w, until))*time.Microsecond - 200*time.Hour - ahead
				if here > until || here < until-probe {
					t.Errorf("ahead %v, probe %v read after %v: it may begin until %v, %v is meant", ahead, probe, read, here, until)
				}
			}
		}
	}
	if workerStartDeadline(&wire.Worker{}, until) != 0 {
		t.Error("a worker that tells no clock was given a time")
	}
}

// The instant is the earliest of what the attempt depends on: the configuration's proof, and the bound of
// each superseded weights epoch.
func TestStartDeadline(t *testing.T) {
	b := newTestProxy(t, "well")
	bounds, now := settings.DefaultBounds(), b.clock.Now()
	b.snapshot.Weights = map[string]updatestream.WeightsHistory{"m": {Version: 3, Past: []updatestream.WeightsHistory{{Version: 1, ProvenNewestUntil: now - bounds.Weights(0.9)}, {Version: 2, ProvenNewestUntil: now}}}}
	q := &caller.Ask{Model: "m"}
	for weights, want := range map[uint64]time.Duration{
		1: now + bounds.Weights(0.05),
		2: now + bounds.Config(0.95),
		3: now + bounds.Config(0.95),
	} {
		if got := b.proxy.startDeadline(b.snapshot, q, &wire.Worker{Weights: weights}); got != want {
			t.Errorf("weights %d: until %v, %v is due", weights, got-now, want-now)
		}
	}
	// A queue that is longer than that is waited for here, and looked at again and again.
	b.proxy.traffic.Ask(func(g *trafficTable) { g.worker("w0").attempts, g.meanAttemptUs = 40, 200000 })
	b.started = func() { t.Error("it was sent off into a queue that outlasts its proof") }
	b.snapshot.ProofAt = now - bounds.Config(0.7)
	b.snapshot.Workers[0].Weights = 3
	none, looks := *b.snapshot, 0
	none.Workers = nil
	b.proxy.follower = updatestream.NewFixedFollower(func() *updatestream.Snapshot {
		b.mu.Lock()
		defer b.mu.Unlock()
		if looks++; looks > 10 { // the worker leaves while the request waits
			return &none
		}
		return b.snapshot
	})
	if o := b.ask("r", true); o.Rejected != "not-run" || looks <= 10 {
		t.Errorf("denied as %s after %d looks", o.Rejected, looks)
	}
}

// The end of the caller's wait is an answer whatever the clocks say: one that runs a little
// slower than the timer, as every machine's may, must not make a waiting request spin.
func TestExpiredWaitIsAnswered(t *testing.T) {
	b := newTestProxy(t, "well") // its clock stands still
	b.proxy.traffic.Ask(func(g *trafficTable) { g.worker("w0").attempts, g.meanAttemptUs = 40, 1000 })
	b.snapshot.ProofAt = b.clock.Now() - settings.DefaultBounds().Config(0.799)
	b.proxy.bounds.ConfigMs = 1684 // the proof just holds, and no queue fits before its end
	q := loadgen.Request{ID: "r", Tenant: "t", Key: "key-of-t", Domain: "shared", Model: "m", Parts: []string{"o", "q"}, Chunks: 5, WaitMs: 60, Once: true}
	o := loadgen.NewClient([]string{b.edge.Listener.Addr().String()}).Send(context.Background(), 0, q)
	if o.Rejected != "not-run" || b.attemptsStarted("r") > 0 {
		t.Errorf("%s %s", o.Rejected, o.Message)
	}
}
