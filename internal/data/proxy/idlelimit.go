package proxy

import (
	"sync"
	"time"
)

// idleLimit estimates how long a connection may be idle before a worker drops it. A worker may drop an idle
// connection silently and reset it at the next request. A request that isn't idempotent can't be retried then, so
// it is sent only on connections whose idle time is within the estimated limit. Idempotent requests may use
// connections with longer idle times, and if these succeed, the limit is raised again.
type idleLimit struct {
	mu               sync.Mutex
	maxSafe          time.Duration // the estimated limit; 0: none, because no dropped connection was seen yet
	reusesAboveLimit int           // consecutive successful reuses of connections that had been idle for longer than maxSafe
}

const (
	// safeIdleRatio is the ratio of the new idle limit to the idle time after which a connection was found dropped.
	safeIdleRatio = 0.5
	// idleGrowthRatio is the factor by which the idle limit grows after reusesToGrow consecutive successful reuses of
	// connections that had been idle for longer than the limit.
	idleGrowthRatio = 1.25
	reusesToGrow    = 8
)

// allows reports whether a connection with this idle time may carry a request that isn't idempotent.
func (l *idleLimit) allows(idleTime time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.maxSafe == 0 || idleTime <= l.maxSafe
}

// recordDropped lowers the idle limit after a worker was found to have dropped a connection with this idle time.
func (l *idleLimit) recordDropped(idleTime time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	safe := max(time.Millisecond, time.Duration(float64(idleTime)*safeIdleRatio))
	if l.maxSafe == 0 || safe < l.maxSafe {
		l.maxSafe = safe
	}
	l.reusesAboveLimit = 0
}

// recordReuse records that a connection was reused successfully after this idle time.
func (l *idleLimit) recordReuse(idleTime time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.maxSafe == 0 || idleTime <= l.maxSafe {
		return
	}
	if l.reusesAboveLimit++; l.reusesAboveLimit >= reusesToGrow {
		l.maxSafe, l.reusesAboveLimit = time.Duration(float64(l.maxSafe)*idleGrowthRatio), 0
	}
}
