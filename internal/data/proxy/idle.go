package proxy

import (
	"sync"
	"time"
)

// idleLimit learns for how long a connection may have lain idle and surely still stand at its worker:
// a worker may forget one without a word, and resets whatever comes on it next. A request that may
// not be repeated would be lost to that; one that may be is what tries longer ages.
type idleLimit struct {
	mu           sync.Mutex
	maxSafe      time.Duration // at most so long; 0: nothing was ever forgotten
	longerReuses int           // ages beyond it that stood, in a row
}

// Ratios, and how many must stand in a row before a longer age counts as safe.
const (
	safeIdleRatio   = 0.5 // of the age at which a connection was forgotten
	idleGrowthRatio = 1.25
	reusesToGrow    = 8
)

// allows reports whether a connection of that idle age may carry a request that can't be repeated.
func (l *idleLimit) allows(age time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.maxSafe == 0 || age <= l.maxSafe
}

// recordDropped notes that a connection of that age turned out to be forgotten.
func (l *idleLimit) recordDropped(age time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := max(time.Millisecond, time.Duration(float64(age)*safeIdleRatio)); l.maxSafe == 0 || s < l.maxSafe {
		l.maxSafe = s
	}
	l.longerReuses = 0
}

// recordReuse notes that one of that age still stood.
func (l *idleLimit) recordReuse(age time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.maxSafe == 0 || age <= l.maxSafe {
		return
	}
	if l.longerReuses++; l.longerReuses >= reusesToGrow {
		l.maxSafe, l.longerReuses = time.Duration(float64(l.maxSafe)*idleGrowthRatio), 0
	}
}
