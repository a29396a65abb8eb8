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
	mu           sync.Mutex
	maxSafe      time.Duration // the limit; 0: no dropped connection was seen yet
	longerReuses int           // consecutive successful reuses after an idle time above maxSafe
}

const (
	// safeIdleRatio, of the idle time after which a connection was found dropped, is the new limit.
	safeIdleRatio = 0.5
	// idleGrowthRatio is the factor by which the limit grows after reusesToGrow consecutive longer reuses.
	idleGrowthRatio = 1.25
	reusesToGrow    = 8
)

// allows reports whether a connection with this idle time may carry a request that isn't idempotent.
func (l *idleLimit) allows(idleTime time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.maxSafe == 0 || idleTime <= l.maxSafe
}

// recordDropped lowers the limit after a connection with this idle time was found to have been dropped.
func (l *idleLimit) recordDropped(idleTime time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	safe := max(time.Millisecond, time.Duration(float64(idleTime)*safeIdleRatio))
	if l.maxSafe == 0 || safe < l.maxSafe {
		l.maxSafe = safe
	}
	l.longerReuses = 0
}

// recordReuse counts a successful reuse of a connection after this idle time.
func (l *idleLimit) recordReuse(idleTime time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.maxSafe == 0 || idleTime <= l.maxSafe {
		return
	}
	if l.longerReuses++; l.longerReuses >= reusesToGrow {
		l.maxSafe, l.longerReuses = time.Duration(float64(l.maxSafe)*idleGrowthRatio), 0
	}
}
