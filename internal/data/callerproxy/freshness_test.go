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

// A start deadline is converted to the worker's clock, whose offset is arbitrary and which was read at some moment
// during a health check. The worker must never accept an attempt after the original deadline, and may reject it early
// by at most the duration of the health check.
func TestWorkerStartDeadlineHoldsOnAnyClock(t *testing.T) {
	const deadline = 100 * time.Second
	for _, clockOffset := range []time.Duration{-time.Hour, 0, 90 * time.Hour} {
		for _, probeDuration := range []time.Duration{0, time.Millisecond, 700 * time.Millisecond} {
			for _, readDelay := range []time.Duration{0, probeDuration / 2, probeDuration} {
				probeSentAt := 98 * time.Second
				worker := &wire.Worker{ClockNs: uint64(200*time.Hour + probeSentAt + readDelay + clockOffset), ClockReadAt: uint64(probeSentAt + probeDuration)}
				converted := time.Duration(workerStartDeadline(worker, deadline))*time.Microsecond - 200*time.Hour - clockOffset
				if converted > deadline || converted < deadline-probeDuration {
					t.Errorf("worker clock offset %v, health check of %v, clock read after %v: converted deadline equals %v on the proxy's clock, want at most %v and not earlier by more than the health check", clockOffset, probeDuration, readDelay, converted, deadline)
				}
			}
		}
	}
	if got := workerStartDeadline(&wire.Worker{}, deadline); got != 0 {
		t.Errorf("worker that reports no clock: start deadline is %d, want 0", got)
	}
}

// The start deadline of an attempt is the earlier of two: that of the configuration and that of the worker's superseded
// weights. A request whose queueing time at the worker exceeds the deadline waits in the proxy and is not sent.
func TestStartDeadline(t *testing.T) {
	fixture := newProxyFixture(t, "healthy")
	bounds, now := settings.DefaultBounds(), fixture.clock.Now()
	fixture.snapshot.Weights = map[string]updatestream.WeightsHistory{"m": {Version: 3, Past: []updatestream.WeightsHistory{{Version: 1, ProvenNewestUntil: now - bounds.Weights(0.9)}, {Version: 2, ProvenNewestUntil: now}}}}
	req := &request{proxy: fixture.proxy, snapshot: fixture.snapshot, body: &caller.Ask{Model: "m"}}
	for weights, want := range map[uint64]time.Duration{
		1: now + bounds.Weights(0.05),
		2: now + bounds.Config(0.95),
		3: now + bounds.Config(0.95),
	} {
		if got := req.startDeadline(&wire.Worker{Weights: weights}); got != want {
			t.Errorf("weights version %d: start deadline is %v from now, want %v from now", weights, got-now, want-now)
		}
	}
	// The worker's queueing time exceeds the start deadline, so the request has to wait in the proxy.
	fixture.proxy.traffic.Ask(func(table *trafficTable) { table.worker("w0").attempts, table.meanAttemptUs = 40, 200000 })
	fixture.onAttemptStarted = func() { t.Error("request was sent to a worker whose queueing time exceeds the start deadline") }
	fixture.snapshot.ProofAt = now - bounds.Config(0.7)
	fixture.snapshot.Workers[0].Weights = 3
	withoutWorkers, snapshotReads := *fixture.snapshot, 0
	withoutWorkers.Workers = nil
	fixture.proxy.follower = updatestream.NewFixedFollower(func() *updatestream.Snapshot {
		fixture.mu.Lock()
		defer fixture.mu.Unlock()
		if snapshotReads++; snapshotReads > 10 { // from the 11th snapshot on, the worker is no longer listed
			return &withoutWorkers
		}
		return fixture.snapshot
	})
	if outcome := fixture.send("r", true); outcome.Rejected != "not-run" || snapshotReads <= 10 {
		t.Errorf("request that cannot start before its deadline: rejection %q after the proxy read its cluster snapshot %d times, want not-run after more than 10 reads, since the first 10 snapshots still list the worker", outcome.Rejected, snapshotReads)
	}
}

// A waiting request ends when its context's timer expires, even if the proxy's clock has not reached the time limit yet.
// Otherwise a clock that is slightly slower than the timer would make the request loop without pause.
func TestExpiredWaitIsAnswered(t *testing.T) {
	fixture := newProxyFixture(t, "healthy") // the proxy's clock does not advance
	fixture.proxy.traffic.Ask(func(table *trafficTable) { table.worker("w0").attempts, table.meanAttemptUs = 40, 1000 })
	fixture.snapshot.ProofAt = fixture.clock.Now() - settings.DefaultBounds().Config(0.799)
	fixture.proxy.bounds.ConfigMs = 1684 // the proof is still fresh, but the worker's queueing time exceeds the start deadline
	request := loadgen.Request{ID: "r", Tenant: "t", Key: "key-of-t", Domain: "shared", Model: "m", Parts: []string{"o", "q"}, Chunks: 5, WaitMs: 60, Once: true}
	outcome := loadgen.NewClient([]string{fixture.server.Listener.Addr().String()}).Send(context.Background(), 0, request)
	if outcome.Rejected != "not-run" || fixture.attemptsStarted("r") > 0 {
		t.Errorf("request past its time limit: rejection %q (%s), want not-run and no started attempt", outcome.Rejected, outcome.Message)
	}
}
