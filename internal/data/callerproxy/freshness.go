package callerproxy

import (
	"time"

	"pebbleloom/internal/data/updatestream"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// Ratios of the bound on following an old configuration (Bounds.Config): the sum of the time until a request
// is checked and until a worker begins it stays below the bound.
const (
	maxProofAgeRatio        = 0.8  // age of the proof under which a request is admitted or an attempt started
	startDeadlineRatio      = 0.95 // age of the proof at which a worker may begin an attempt at the latest
	drainingRetryAfterRatio = 0.1  // Retry-After of a draining node
	noProofRetryAfterRatio  = 0.25 // Retry-After without a fresh proof
)

// Ratios of the bound on superseded weights (Bounds.Weights).
const (
	supersededSendRatio  = 0.85 // for how long an attempt on superseded weights may still be sent
	supersededStartRatio = 0.95 // for how long a worker may still begin it
)

// isFresh reports whether a snapshot's configuration was proven newest recently enough to serve under it.
func (p *Proxy) isFresh(snapshot *updatestream.Snapshot) bool {
	return snapshot.IsFresh(p.clock.Now(), p.bounds.Config(maxProofAgeRatio))
}

// freshSnapshot returns the newest snapshot if a request may be served under it.
func (p *Proxy) freshSnapshot(requestID string) (*updatestream.Snapshot, error) {
	snapshot := p.follower.Snapshot()
	if p.isDraining() {
		return nil, reject(errs.NotExecuted, requestID, p.bounds.Config(drainingRetryAfterRatio), "this proxy is draining: ask another")
	}
	if !p.isFresh(snapshot) {
		return nil, reject(errs.NotExecuted, requestID, p.bounds.Config(noProofRetryAfterRatio), "no proof that the configuration is the newest")
	}
	return snapshot, nil
}

// isCurrent reports whether a request's configuration is still the newest, with a fresh proof.
func (p *Proxy) isCurrent(snapshot *updatestream.Snapshot) bool {
	latest := p.follower.Snapshot()
	return latest.ConfigVersion == snapshot.ConfigVersion && p.isFresh(latest)
}

// startDeadline is the instant until which a worker may begin an attempt: by then the configuration may have
// been replaced for as long as the bound allows, or the worker's weights. A worker that reports no clock is
// held to it only by the wait that it is given; the ratios leave time for that.
func (req *request) startDeadline(worker *wire.Worker) time.Duration {
	p := req.proxy
	deadline := req.snapshot.ProofAt + p.bounds.Config(startDeadlineRatio)
	history := req.snapshot.Weights[targetFor(req.snapshot, req.body).Model]
	if supersededAt, _, ok := history.SupersededAt(worker.Weights); ok {
		deadline = min(deadline, supersededAt+p.bounds.Weights(supersededStartRatio))
	}
	return deadline
}

// workerStartDeadline converts an instant of this process's clock to the worker's clock, in microseconds; 0
// if the worker reports no clock. The worker's clock was read before its report came here, so it shows the
// converted value no later than the instant, however long the attempt takes to reach the worker.
func workerStartDeadline(worker *wire.Worker, deadline time.Duration) int64 {
	if worker.ClockNs == 0 {
		return 0
	}
	return int64(worker.ClockNs/1000) + (deadline - time.Duration(worker.ClockReadAt)).Microseconds()
}

// supersededTimeLeft is for how long attempts on superseded weights may still be sent; 0: no longer, or the
// weights were never the newest.
func (p *Proxy) supersededTimeLeft(history updatestream.WeightsHistory, weights uint64) time.Duration {
	supersededAt, _, ok := history.SupersededAt(weights)
	if !ok || weights == 0 {
		return 0
	}
	return max(0, supersededAt+p.bounds.Weights(supersededSendRatio)-p.clock.Now())
}
