package updatestream

import (
	"slices"
	"time"
)

// Seen is the weights epoch that a model's setup names, and those it named before.
type Seen struct {
	Weights uint64
	First   time.Duration // this process first saw it named then
	Until   time.Duration // it was still the newest then; zero: not proved
	Past    []Seen        // what was named before, oldest first, Past left out
}

const maxPast = 8 // what is forgotten may not start any more

// next goes on to what a newer setup names; proved is the latest instant at which the
// setup before was still the newest.
func (s Seen) next(weights uint64, proved, now time.Duration) Seen {
	s.Until = max(s.Until, proved)
	switch {
	case s.Weights == weights:
		return s
	case s.Weights == 0 || s.Weights > weights: // a model that is new here, or was put back
		return Seen{Weights: weights, First: now}
	}
	p := append(slices.Clone(s.Past), Seen{Weights: s.Weights, First: s.First, Until: s.Until})
	return Seen{Weights: weights, First: now, Past: p[max(0, len(p)-maxPast):]}
}

// Since tells when a weights epoch was superseded: nothing newer was acknowledged before
// the first instant, and this process saw something newer at the second. Each epoch has its
// own, however many were named after it. False: it is the newest, or nobody here knows.
//
// Example: not, seen, ok := s.WeightsAt["lector"].Since(3)
func (s Seen) Since(weights uint64) (not, seen time.Duration, ok bool) {
	if weights >= s.Weights { // the usual case, on every request's way
		return 0, 0, false
	}
	l := append(slices.Clone(s.Past), s)
	for i, x := range l {
		if x.Weights <= weights {
			continue
		}
		if i == 0 || l[i-1].Until == 0 {
			return 0, x.First, false
		}
		return l[i-1].Until, x.First, true
	}
	return 0, 0, false
}
