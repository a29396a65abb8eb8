package proxy

import (
	"sync"
	"time"
)

// idleLimit learns for how long a connection may be idle and still be open at the workers. A worker may drop
// an idle connection silently and reset it at the next request. A request that isn't idempotent would be lost
// by that, so it is sent on a connection within the learnt limit only; idempotent requests try longer idle
// times, and their reuses raise the limit again.
type idleLimit struct {
	mu           sync.Mutex
	maxSafe      time.Duration // the limit; 0: no connection was ever dropped
	longerReuses int           // reuses in a row after an idle time above maxSafe
}

const (
	// safeIdleRatio of the idle time after which a connection was dropped is taken as the new limit.
	safeIdleRatio = 0.5
	// idleGrowthRatio is by how much the limit is raised after reusesToGrow longer reuses in a row.
	idleGrowthRatio = 1.25
	reusesToGrow    = 8
)

// allows reports whether a connection that was idle so long may carry a request that isn't idempotent.
func (l *idleLimit) allows(idleTime time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.maxSafe == 0 || idleTime <= l.maxSafe
}

// recordDropped lowers the limit after a connection turned out to have been dropped while idle.
func (l *idleLimit) recordDropped(idleTime time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	safe := max(time.Millisecond, time.Duration(float64(idleTime)*safeIdleRatio))
	if l.maxSafe == 0 || safe < l.maxSafe {
		l.maxSafe = safe
	}
	l.longerReuses = 0
}

// recordReuse counts a connection that was still open after it was idle so long.
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
