package updatestream

import (
	"slices"
	"time"
)

// WeightsHistory is the weights version that the configuration names for a model, and those it named
// before.
type WeightsHistory struct {
	Version           uint64
	FirstSeen         time.Duration    // when this process first saw it named
	ProvenNewestUntil time.Duration    // it was proved to be the newest until then; zero: no proof
	Past              []WeightsHistory // earlier versions, oldest first, without their Past
}

const maxPastVersions = 8 // requests may not start on forgotten versions

// next extends the history with the version of a newer configuration; proved is the latest instant at
// which the previous configuration was still the newest.
func (s WeightsHistory) next(weights uint64, proved, now time.Duration) WeightsHistory {
	s.ProvenNewestUntil = max(s.ProvenNewestUntil, proved)
	switch {
	case s.Version == weights:
		return s
	case s.Version == 0 || s.Version > weights: // a new model, or one that was put back
		return WeightsHistory{Version: weights, FirstSeen: now}
	}
	p := append(slices.Clone(s.Past), WeightsHistory{Version: s.Version, FirstSeen: s.FirstSeen, ProvenNewestUntil: s.ProvenNewestUntil})
	return WeightsHistory{Version: weights, FirstSeen: now, Past: p[max(0, len(p)-maxPastVersions):]}
}

// SupersededAt returns when a weights version was superseded: nothing newer was acknowledged before the first
// instant, and this process saw something newer at the second. False: it is the newest, or the time is
// unknown.
//
// Example: not, seen, ok := s.Weights["lector"].Since(3)
func (s WeightsHistory) SupersededAt(weights uint64) (not, seen time.Duration, ok bool) {
	if weights >= s.Version { // the usual case, on the path of every request
		return 0, 0, false
	}
	l := append(slices.Clone(s.Past), s)
	for i, x := range l {
		if x.Version <= weights {
			continue
		}
		if i == 0 || l[i-1].ProvenNewestUntil == 0 {
			return 0, x.FirstSeen, false
		}
		return l[i-1].ProvenNewestUntil, x.FirstSeen, true
	}
	return 0, 0, false
}
