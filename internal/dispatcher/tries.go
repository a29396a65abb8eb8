// Package dispatcher is the edge proxy: one function carries a request from its caller to
// a worker and the sealed stream back.
package dispatcher

import "time"

// Tries is the exact sliding window over which extra tries of one service are counted.
// Every first go and every extra go is kept with its instant, so the share is exact.
type Tries struct {
	Span      time.Duration
	Share     float64 // extra goes over first goes
	Allowance int     // this dispatcher's share of the small allowance
	first     []time.Duration
	extra     []time.Duration
}

func (t *Tries) trim(now time.Duration) {
	for len(t.first) > 0 && now-t.first[0] >= t.Span {
		t.first = t.first[1:]
	}
	for len(t.extra) > 0 && now-t.extra[0] >= t.Span {
		t.extra = t.extra[1:]
	}
}

// First counts a request's first go.
//
// Example: t.First(clk.Now())
func (t *Tries) First(now time.Duration) {
	t.trim(now)
	t.first = append(t.first, now)
}

// Extra tells whether one more go fits, and counts it if so. The allowance is whole goes:
// the share alone may round down to none.
//
// Example: if !t.Extra(clk.Now()) { deny() }
func (t *Tries) Extra(now time.Duration) bool {
	t.trim(now)
	if float64(len(t.extra)+1) > t.Share*float64(len(t.first))+float64(t.Allowance) {
		return false
	}
	t.extra = append(t.extra, now)
	return true
}
