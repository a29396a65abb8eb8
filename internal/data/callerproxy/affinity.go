package callerproxy

import (
	"pebbleloom/internal/data/placement"
	"pebbleloom/internal/data/prefix"
)

const (
	// affinityLoadRatio of the mean load, and one attempt more, is the load up to which a worker is
	// preferred (consistent hashing with bounded loads).
	affinityLoadRatio = 1.25
	// affinityRatio of the prefill of an entry is what a request costs more at another worker than the
	// preferred one: the entry would have to be computed there again, and cached twice.
	affinityPenaltyRatio = 0.75
	// sharedUseRatio of the accesses to a prompt's first part makes a later part shared as well.
	sharedAccessRatio = 0.25
	// sharedMinAccesses in the index's window make an entry shared: one access is the request's own.
	sharedMinAccesses = 1.5
)

// affinity is the worker that a prompt prefers, and the tokens of the entry that decides it.
type affinity struct {
	worker string // "": none
	tokens int
}

// affinityOf returns the first shard worker of the deciding entry that isn't overloaded. A replicated entry
// prefers none.
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

// decidingEntry returns the entry that decides where a request is sent: its shared prefix, or its session's
// prefix if that is admitted; index -1 if there is none. Admission follows BAT's rule for user prefixes: at
// least as long as the shared prefix, and accessed more often than the coldest cached entry. A worker evicts
// on its own, so an admitted prefix is one that its shard worker is preferred for, and that is saved there.
func (q *Query) affinityEntry(entries []prefix.Entry) (key prefix.Key, index int, isSession bool) {
	if len(entries) == 0 {
		return key, -1, false
	}
	index = q.sharedPrefixIndex(entries)
	sharedEntry := entries[index]
	sessionIndex := len(entries) - 2 // the last entry holds the request's own question
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

// sharedPrefix returns the index of the longest entry that other requests use, too: it was accessed more than
// once lately, and not much less than the prompt's first part. The last entry is the request's own.
func (q *Query) sharedPrefixIndex(entries []prefix.Entry) (index int) {
	for i := 1; i < len(entries)-1; i++ {
		hotness := q.hotness(entries[i])
		if hotness >= sharedMinAccesses && hotness >= sharedAccessRatio*q.hotness(entries[0]) {
			index = i
		}
	}
	return index
}

// hotness is how often an entry was accessed in the index's window.
func (q *Query) hotness(entry prefix.Entry) float64 { return q.LookupResults[entry.Key].GetHotness() }
