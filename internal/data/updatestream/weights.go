package updatestream

import (
	"slices"
	"time"
)

// WeightsHistory is the version of the weights that the configuration names for a model, and those that it
// named before.
type WeightsHistory struct {
	Version           uint64
	FirstSeen         time.Duration    // when this process first saw it named
	ProvenNewestUntil time.Duration    // it was proved to be the newest until then; 0: no proof
	Past              []WeightsHistory // earlier versions, oldest first, without their Past
}

// maxPastVersions bounds the earlier versions of a model that are remembered: requests may not start on
// forgotten ones.
const maxPastVersions = 8

// next extends the history with the version of a newer configuration; provenUntil is the latest instant at
// which the previous configuration was still the newest. A new model, or one whose version decreased, has a
// new history.
func (h WeightsHistory) next(version uint64, provenUntil, now time.Duration) WeightsHistory {
	h.ProvenNewestUntil = max(h.ProvenNewestUntil, provenUntil)
	switch {
	case h.Version == version:
		return h
	case h.Version == 0 || h.Version > version:
		return WeightsHistory{Version: version, FirstSeen: now}
	}
	past := append(slices.Clone(h.Past), WeightsHistory{Version: h.Version, FirstSeen: h.FirstSeen, ProvenNewestUntil: h.ProvenNewestUntil})
	return WeightsHistory{Version: version, FirstSeen: now, Past: past[max(0, len(past)-maxPastVersions):]}
}

// SupersededAt returns when a version was superseded: nothing newer was acknowledged before notBefore, and
// this process saw something newer at seen. False: it is the newest, or the time is unknown.
//
// Example: notBefore, seen, ok := snapshot.Weights["lector"].SupersededAt(3)
func (h WeightsHistory) SupersededAt(version uint64) (notBefore, seen time.Duration, ok bool) {
	if version >= h.Version { // the usual case, on the path of every request
		return 0, 0, false
	}
	named := append(slices.Clone(h.Past), h)
	for i, newer := range named {
		if newer.Version <= version {
			continue
		}
		if i == 0 || named[i-1].ProvenNewestUntil == 0 {
			return 0, newer.FirstSeen, false
		}
		return named[i-1].ProvenNewestUntil, newer.FirstSeen, true
	}
	return 0, 0, false
}
