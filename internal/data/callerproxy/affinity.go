package callerproxy

import (
	"pebbleloom/internal/data/placement"
	"pebbleloom/internal/data/prefix"
)

const (
	// affinityLoadRatio bounds the load of a preferred worker: at most this multiple of the mean load, plus one
	// attempt (consistent hashing with bounded loads).
	affinityLoadRatio = 1.25
	// affinityPenaltyRatio is the cost added at workers other than the preferred one, as a fraction of the prefill
	// time of the prefix: they would compute the prefix again, and it would be cached twice.
	affinityPenaltyRatio = 0.75
	// sharedAccessRatio is the minimum hotness (number of recent accesses) of a prefix entry that counts as shared
	// between requests, as a fraction of the hotness of the prompt's first entry.
	sharedAccessRatio = 0.25
	// sharedMinAccesses is the minimum hotness (number of recent accesses) of a prefix entry that counts as shared
	// between requests. It is above 1, because one access may be the request's own.
	sharedMinAccesses = 1.5
)

// affinity is the worker preferred for a prompt, and the prefix length that the preference is based on.
type affinity struct {
	worker string // name of the preferred worker; empty if there is none
	tokens int    // length in tokens of the prefix that determines the preference
}

// affinityFor returns the worker preferred for a prompt: in the hash ranking for the prompt's affinity entry (see
// affinityEntry), the first worker that is not overloaded. No worker is preferred if the entry is replicated on all
// workers or the placement mode does not use the prompt index.
func (q *Query) affinityFor(entries []prefix.Entry, view *selectionView) affinity {
	key, index, _ := q.affinityEntry(entries)
	if index < 0 || q.Placement.IsReplicated(key) || !q.usesIndex() {
		return affinity{}
	}
	for _, worker := range placement.RankShardWorkers(key, view.upWorkers) {
		if q.Load(worker) <= affinityLoadRatio*view.meanLoad+1 {
			return affinity{worker, entries[index].CumulativeTokens}
		}
	}
	return affinity{}
}

// affinityEntry returns the prefix entry that determines the preferred worker of a request: the prefix shared with
// other requests, or the session's prefix if that is admitted. The returned index is -1 if entries is empty.
// Admission follows the rule for user prefixes in the BAT paper (docs/design.md names the source): the session's
// part must be at least as long as the shared prefix, and be accessed more often than the coldest cached entry.
// Workers evict on their own, so admission only means that the worker the prefix is assigned to is preferred and
// gets a copy of the prefix.
func (q *Query) affinityEntry(entries []prefix.Entry) (key prefix.Key, index int, isSession bool) {
	if len(entries) == 0 {
		return key, -1, false
	}
	index = q.sharedPrefixIndex(entries)
	sharedEntry := entries[index]
	sessionIndex := len(entries) - 2 // the session's prefix is the second to last entry: the last one also contains the request's own question
	if sessionIndex <= index || q.Placement == nil {
		return sharedEntry.Key, index, false
	}
	sessionEntry := entries[sessionIndex]
	isLongEnough := sessionEntry.CumulativeTokens-sharedEntry.CumulativeTokens >= sharedEntry.CumulativeTokens
	if isLongEnough && q.hotness(sessionEntry) > q.Placement.AdmissionFloor {
		return sessionEntry.Key, sessionIndex, true
	}
	return sharedEntry.Key, index, false
}

// sharedPrefixIndex returns the index of the longest entry that other requests also use. Such an entry was accessed
// more than once recently, and not much less often than the prompt's first entry. The last entry is never shared,
// because it contains the request's own question.
func (q *Query) sharedPrefixIndex(entries []prefix.Entry) (index int) {
	for i := 1; i < len(entries)-1; i++ {
		hotness := q.hotness(entries[i])
		if hotness >= sharedMinAccesses && hotness >= sharedAccessRatio*q.hotness(entries[0]) {
			index = i
		}
	}
	return index
}

// hotness returns how often a prefix entry was accessed within the time window over which the prompt index counts
// accesses.
func (q *Query) hotness(entry prefix.Entry) float64 { return q.LookupResults[entry.Key].GetHotness() }
