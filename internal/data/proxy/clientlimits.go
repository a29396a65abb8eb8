package proxy

import (
	"pebbleloom/internal/clientlimit"
	"pebbleloom/internal/daemon"
)

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

// registerClientMetrics registers the metrics of what clients take, and of what was refused to them.
func registerClientMetrics(meter *daemon.Meter, listener *clientlimit.Listener, memory *clientlimit.Budget) {
	meter.Gauge("pebbleloom_client_connections", "open connections of clients", func() float64 { return float64(listener.Connections()) })
	meter.Gauge("pebbleloom_request_bytes", "memory that requests in flight have reserved", func() float64 { return float64(memory.Reserved()) })
	meter.Counter("pebbleloom_client_refused_total", "connections and headers of clients that were refused at a limit", func() float64 { return float64(listener.Refused()) })
	meter.Counter("pebbleloom_client_evicted_total", "connections that waited for their client and were closed for new ones", func() float64 { return float64(listener.Evicted()) })
	meter.Counter("pebbleloom_request_memory_refused_total", "reservations of memory for requests that were refused", func() float64 { return float64(memory.Refused()) })
	meter.Counter("pebbleloom_request_stalled_total", "requests that were ended because their clients stalled while memory was short", func() float64 { return float64(memory.Aborted()) })
}
