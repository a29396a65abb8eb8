package updatestream

import (
	"slices"
	"time"
)

// WeightsHistory records which version of a model's weights the configuration specifies, and the versions that
// it specified before.
type WeightsHistory struct {
	Version           uint64
	FirstSeen         time.Duration    // when this process first received a configuration with Version
	ProvenNewestUntil time.Duration    // latest instant at which Version was proved to be the newest; 0: no proof
	Past              []WeightsHistory // earlier versions, oldest first, each with an empty Past
}

// maxPastVersions is the maximum number of earlier versions of a model's weights that are kept. Requests may not start
// on versions that are no longer kept.
const maxPastVersions = 8

// next returns the history extended by the weights version in a newer configuration. provenUntil is the latest instant
// at which the previous configuration was proved to be the newest. A new history starts for a new model, and for one
// whose weights version decreased.
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

// SupersededAt returns when a version of the weights was superseded by a newer one: not before notBefore, as shown by a
// proof, and at the latest at seen, when this process received the newer version. ok is false if no version is newer or
// if there was no such proof.
//
// Example: notBefore, seen, ok := snapshot.Weights["lector"].SupersededAt(3)
func (h WeightsHistory) SupersededAt(version uint64) (notBefore, seen time.Duration, ok bool) {
	if version >= h.Version { // common case, checked first because every request makes this call
		return 0, 0, false
	}
	versions := append(slices.Clone(h.Past), h)
	for i, newer := range versions {
		if newer.Version <= version {
			continue
		}
		if i == 0 || versions[i-1].ProvenNewestUntil == 0 {
			return 0, newer.FirstSeen, false
		}
		return versions[i-1].ProvenNewestUntil, newer.FirstSeen, true
	}
	return 0, 0, false
}
