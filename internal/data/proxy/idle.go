package proxy

import (
	"sync"
	"time"
)

// idles learns for how long a connection may have lain idle and surely still stand at its worker:
// a worker may forget one without a word, and resets whatever comes on it next. A request that may
// not be repeated would be lost to that; one that may be is what tries longer ages.
type idles struct {
	mu     sync.Mutex
	safe   time.Duration // at most so long; 0: nothing was ever forgotten
	longer int           // ages beyond it that stood, in a row
}

// Ratios, and how many must stand in a row before a longer age counts as safe.
const (
	safePart = 0.5 // of the age at which a connection was forgotten
	regain   = 1.25
	stood    = 8
)

// fit reports whether a connection of that idle age may carry a request that can't be repeated.
func (x *idles) fit(age time.Duration) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.safe == 0 || age <= x.safe
}

// forgot notes that a connection of that age turned out to be forgotten.
func (x *idles) forgot(age time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if s := max(time.Millisecond, time.Duration(float64(age)*safePart)); x.safe == 0 || s < x.safe {
		x.safe = s
	}
	x.longer = 0
}

// stands notes that one of that age still stood.
func (x *idles) stands(age time.Duration) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.safe == 0 || age <= x.safe {
		return
	}
	if x.longer++; x.longer >= stood {
		x.safe, x.longer = time.Duration(float64(x.safe)*regain), 0
	}
}
