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

// The deadline is converted to the worker's clock, which may be ahead or behind by any time. Whenever during a
// health check that clock was read, the worker refuses the attempt no later than the instant meant here, and
// earlier by the duration of the check at most.
func TestWorkerStartDeadlineHoldsOnAnyClock(t *testing.T) {
	const deadline = 100 * time.Second
	for _, clockOffset := range []time.Duration{-time.Hour, 0, 90 * time.Hour} {
		for _, probeDuration := range []time.Duration{0, time.Millisecond, 700 * time.Millisecond} {
			for _, readDelay := range []time.Duration{0, probeDuration / 2, probeDuration} {
				probeSentAt := 98 * time.Second
				worker := &wire.Worker{ClockNs: uint64(200*time.Hour + probeSentAt + readDelay + clockOffset), ClockReadAt: uint64(probeSentAt + probeDuration)}
				converted := time.Duration(workerStartDeadline(worker, deadline))*time.Microsecond - 200*time.Hour - clockOffset
				if converted > deadline || converted < deadline-probeDuration {
					t.Errorf("ahead %v, probe %v read after %v: converted deadline is %v here, %v is meant", clockOffset, probeDuration, readDelay, converted, deadline)
				}
			}
		}
	}
	if workerStartDeadline(&wire.Worker{}, deadline) != 0 {
		t.Error("a worker that reports no clock was given a deadline")
	}
}

// The deadline is the earliest of the configuration's and that of the worker's superseded weights.
func TestStartDeadline(t *testing.T) {
	fixture := newProxyFixture(t, "well")
	bounds, now := settings.DefaultBounds(), fixture.clock.Now()
	fixture.snapshot.Weights = map[string]updatestream.WeightsHistory{"m": {Version: 3, Past: []updatestream.WeightsHistory{{Version: 1, ProvenNewestUntil: now - bounds.Weights(0.9)}, {Version: 2, ProvenNewestUntil: now}}}}
	req := &request{proxy: fixture.proxy, snapshot: fixture.snapshot, body: &caller.Ask{Model: "m"}}
	for weights, want := range map[uint64]time.Duration{
		1: now + bounds.Weights(0.05),
		2: now + bounds.Config(0.95),
		3: now + bounds.Config(0.95),
	} {
		if got := req.startDeadline(&wire.Worker{Weights: weights}); got != want {
			t.Errorf("weights %d: until %v, %v is due", weights, got-now, want-now)
		}
	}
	// A queue that is longer than that is waited for here, where the configuration is checked again.
	fixture.proxy.traffic.Ask(func(table *trafficTable) { table.worker("w0").attempts, table.meanAttemptUs = 40, 200000 })
	fixture.onAttemptStarted = func() { t.Error("it was sent to a worker whose queue outlasts its proof") }
	fixture.snapshot.ProofAt = now - bounds.Config(0.7)
	fixture.snapshot.Workers[0].Weights = 3
	withoutWorkers, snapshotReads := *fixture.snapshot, 0
	withoutWorkers.Workers = nil
	fixture.proxy.follower = updatestream.NewFixedFollower(func() *updatestream.Snapshot {
		fixture.mu.Lock()
		defer fixture.mu.Unlock()
		if snapshotReads++; snapshotReads > 10 { // the worker leaves while the request waits
			return &withoutWorkers
		}
		return fixture.snapshot
	})
	if outcome := fixture.send("r", true); outcome.Rejected != "not-run" || snapshotReads <= 10 {
		t.Errorf("rejected as %s after %d looks", outcome.Rejected, snapshotReads)
	}
}

// The end of the caller's wait ends the request, whatever the clocks say: a clock that runs a little slower than
// the timer must not make a waiting request spin.
func TestExpiredWaitIsAnswered(t *testing.T) {
	fixture := newProxyFixture(t, "well") // its clock stands still
	fixture.proxy.traffic.Ask(func(table *trafficTable) { table.worker("w0").attempts, table.meanAttemptUs = 40, 1000 })
	fixture.snapshot.ProofAt = fixture.clock.Now() - settings.DefaultBounds().Config(0.799)
	fixture.proxy.bounds.ConfigMs = 1684 // the proof just holds, and no queue fits before its end
	request := loadgen.Request{ID: "r", Tenant: "t", Key: "key-of-t", Domain: "shared", Model: "m", Parts: []string{"o", "q"}, Chunks: 5, WaitMs: 60, Once: true}
	outcome := loadgen.NewClient([]string{fixture.server.Listener.Addr().String()}).Send(context.Background(), 0, request)
	if outcome.Rejected != "not-run" || fixture.attemptsStarted("r") > 0 {
		t.Errorf("%s %s", outcome.Rejected, outcome.Message)
	}
}
