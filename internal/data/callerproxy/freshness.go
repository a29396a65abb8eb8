package callerproxy

import (
	"time"

	"pebbleloom/internal/data/updatestream"
	"pebbleloom/internal/errs"
	"pebbleloom/internal/wire"
)

// Limits on the age of the proof that a configuration is the latest, and Retry-After times, as fractions of
// Bounds.Config, the bound on using an outdated configuration. Both age limits are below 1, so that the time until a
// request is checked plus the time until a worker begins it stays below that bound.
const (
	maxProofAgeRatio        = 0.8  // maximum age of a configuration's proof when a request is admitted or an attempt is sent
	startDeadlineRatio      = 0.95 // maximum age of a configuration's proof when a worker begins an attempt
	drainingRetryAfterRatio = 0.1  // Retry-After while this node is draining
	noProofRetryAfterRatio  = 0.25 // Retry-After while there is no recent proof that the configuration is the latest
)

// Time limits for requests on superseded weights, as fractions of Bounds.Weights, the bound on their use.
const (
	supersededSendRatio  = 0.85 // how long after weights were superseded the proxy may send attempts on them
	supersededStartRatio = 0.95 // how long after weights were superseded a worker may begin an attempt on them
)

// isFresh reports whether a snapshot's configuration was proven to be the latest recently enough to serve requests
// under it.
func (p *Proxy) isFresh(snapshot *updatestream.Snapshot) bool {
	return snapshot.IsFresh(p.clock.Now(), p.bounds.Config(maxProofAgeRatio))
}

// freshSnapshot returns the latest snapshot, or a rejection if no request may be served: the proxy is draining, or the
// snapshot is not fresh.
func (p *Proxy) freshSnapshot(requestID string) (*updatestream.Snapshot, error) {
	snapshot := p.follower.Snapshot()
	if p.isDraining() {
		return nil, reject(errs.NotExecuted, requestID, p.bounds.Config(drainingRetryAfterRatio), "proxy is draining: send the request to another edge node")
	}
	if !p.isFresh(snapshot) {
		return nil, reject(errs.NotExecuted, requestID, p.bounds.Config(noProofRetryAfterRatio), "proxy has no recent proof that its configuration is the latest")
	}
	return snapshot, nil
}

// isCurrent reports whether a request's configuration is still the latest and fresh.
func (p *Proxy) isCurrent(snapshot *updatestream.Snapshot) bool {
	latest := p.follower.Snapshot()
	return latest.ConfigVersion == snapshot.ConfigVersion && p.isFresh(latest)
}

// startDeadline returns the latest time at which a worker may begin an attempt. After that, the configuration or the
// worker's weights might have been superseded for longer than their bounds allow. A worker that does not report its
// clock cannot enforce the deadline itself and is limited only by the wait time in the start request;
// startDeadlineRatio and supersededStartRatio are below 1 to leave a margin for that.
func (req *request) startDeadline(worker *wire.Worker) time.Duration {
	p := req.proxy
	deadline := req.snapshot.ProofAt + p.bounds.Config(startDeadlineRatio)
	history := req.snapshot.Weights[targetFor(req.snapshot, req.body).Model]
	if supersededAt, _, ok := history.SupersededAt(worker.Weights); ok {
		deadline = min(deadline, supersededAt+p.bounds.Weights(supersededStartRatio))
	}
	return deadline
}

// workerStartDeadline converts a deadline from this process's clock to the worker's clock, in microseconds. It
// returns 0 if the worker does not report its clock. The worker read its clock before its report arrived here, so
// the converted deadline is never later than the original, no matter how long the attempt takes to reach the worker.
func workerStartDeadline(worker *wire.Worker, deadline time.Duration) int64 {
	if worker.ClockNs == 0 {
		return 0
	}
	return int64(worker.ClockNs/1000) + (deadline - time.Duration(worker.ClockReadAt)).Microseconds()
}

// supersededTimeLeft returns how much longer attempts on superseded weights may be sent. It returns 0 if the time is
// over, or if it is not known when the weights were superseded.
func (p *Proxy) supersededTimeLeft(history updatestream.WeightsHistory, weights uint64) time.Duration {
	supersededAt, _, ok := history.SupersededAt(weights)
	if !ok || weights == 0 {
		return 0
	}
	return max(0, supersededAt+p.bounds.Weights(supersededSendRatio)-p.clock.Now())
}
