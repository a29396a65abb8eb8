package proxy

import "pebbleloom/internal/clientlimit"

// HTTP limits of the client listener if no routing plan is known or the plan sets none, and of the readiness listener
// (readyHeaderTimeoutRatio). The time-outs are fractions of Bounds.RecoveryMs, the time within which service must be
// restored after a fault.
const (
	defaultHeaderBytes      = 16 << 10
	headerTimeoutRatio      = 0.25
	idleConnTimeoutRatio    = 1.25
	readyHeaderTimeoutRatio = 0.25
)

// Parts of the process's descriptors. The rest is for connections to other pebbleloom processes, and for files.
const (
	clientDescriptorRatio = 0.4 // connections of clients
	workerDescriptorRatio = 0.4 // connections to workers
)

// headerLimits returns the limits on request headers in force: those of the newest routing plan, or the defaults before the
// first one.
func (s *server) headerLimits() clientlimit.HeaderLimits {
	if plan := s.currentPlan(); plan != nil {
		limits := plan.Limits
		if limits.HeaderBytes > 0 && limits.HeaderTimeout > 0 && limits.IdleTimeout > 0 {
			return clientlimit.HeaderLimits{Bytes: limits.HeaderBytes, Timeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout}
		}
	}
	bounds := s.process.Settings.Bounds
	return clientlimit.HeaderLimits{
		Bytes:       defaultHeaderBytes,
		Timeout:     bounds.Recovery(headerTimeoutRatio),
		IdleTimeout: bounds.Recovery(idleConnTimeoutRatio),
	}
}
