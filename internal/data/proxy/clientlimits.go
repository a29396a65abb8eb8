package proxy

import "pebbleloom/internal/clientlimit"

// HTTP limits of the listeners for clients and for readiness checks if no routing plan is known or the plan sets none. The
// time-outs are fractions of Bounds.RecoveryMs, the time within which service must be restored after a fault.
const (
	defaultHeaderBytes   = 16 << 10
	headerTimeoutRatio   = 0.25
	idleConnTimeoutRatio = 1.25
)

// Limits of the listener for readiness checks, which the platform makes once a second.
const (
	readinessConnections = 32
	readinessMemoryBytes = 1 << 20
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
