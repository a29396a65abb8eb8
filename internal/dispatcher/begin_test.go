package dispatcher

import (
	"runtime"
	"testing"
	"time"

	"pebbleloom/api/caller"
	"pebbleloom/internal/feed"
	"pebbleloom/internal/settings"
	"pebbleloom/internal/wire"
)

// Until when a go may begin is told in the worker's own clock, which may be ahead or behind by
// any time. Wherever between question and answer that clock was read, the worker stops no later
// than the instant meant here, and earlier by the probe's time at most.
func TestBeginByHoldsOnAnyClock(t *testing.T) {
	const until = 100 * time.Second
	for _, ahead := range []time.Duration{-time.Hour, 0, 90 * time.Hour} {
		for _, probe := range []time.Duration{0, time.Millisecond, 700 * time.Millisecond} {
			for _, read := range []time.Duration{0, probe / 2, probe} {
				asked := 98 * time.Second
				w := &wire.Worker{ClockNs: uint64(200*time.Hour + asked + read + ahead), ClockAt: uint64(asked + probe)}
				here := time.Duration(beginBy(w, until))*time.Microsecond - 200*time.Hour - ahead
				if here > until || here < until-probe {
					t.Errorf("ahead %v, probe %v read after %v: it may begin until %v, %v is meant", ahead, probe, read, here, until)
				}
			}
		}
	}
	if beginBy(&wire.Worker{}, until) != 0 {
		t.Error("a worker that tells no clock was given a time")
	}
}

// The instant is the earliest of what the go depends on: the setup's proof, and the bound of
// each superseded weights epoch.
func TestUntilWhenAGoMayBegin(t *testing.T) {
	b := newBench(t, "well")
	bounds, now := settings.Default(), b.clk.Now()
	b.snap.WeightsAt = map[string]feed.Seen{"m": {Weights: 3, Past: []feed.Seen{{Weights: 1, Until: now - bounds.Weights(0.9)}, {Weights: 2, Until: now}}}}
	q := &caller.Ask{Model: "m"}
	for weights, want := range map[uint64]time.Duration{
		1: now + bounds.Weights(0.05),
		2: now + bounds.Setup(0.95),
		3: now + bounds.Setup(0.95),
	} {
		if got := b.d.until(b.snap, q, &wire.Worker{Weights: weights}); got != want {
			t.Errorf("weights %d: until %v, %v is due", weights, got-now, want-now)
		}
	}
	// A queue that is longer than that is waited for here, and the end of the caller's wait is
	// a denial that says nothing ran.
	b.d.gate.Ask(func(g *gate) { g.worker("w0").goes, g.meanUs = 40, 200000 })
	b.started = func() { t.Error("it was sent off into a queue that outlasts its proof") }
	b.snap.ProofAt = now - bounds.Setup(0.7)
	done := make(chan string)
	go func() { done <- b.ask("r", true).Denied }()
	for in := 0; in == 0; runtime.Gosched() { // until it has come in
		b.d.gate.Ask(func(g *gate) { in = g.inflight })
	}
	b.mu.Lock()
	s := *b.snap
	s.Workers = nil
	b.snap = &s
	b.mu.Unlock()
	if kind := <-done; kind != "not-run" {
		t.Errorf("denied as %s", kind)
	}
}
