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
	affinityRatio = 0.75
	// sharedUseRatio of the accesses to a prompt's first part makes a later part shared as well.
	sharedUseRatio = 0.25
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
func (q *Query) affinityOf(entries []prefix.Entry, view *siteView) affinity {
	key, index, _ := q.decidingEntry(entries)
	if index < 0 || q.Placement.IsReplicated(key) || !q.usesIndex() {
		return affinity{}
	}
	for _, worker := range placement.RankShardWorkers(key, view.up) {
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
func (q *Query) decidingEntry(entries []prefix.Entry) (key prefix.Key, index int, session bool) {
	if len(entries) == 0 {
		return key, -1, false
	}
	index = q.sharedPrefix(entries)
	shared := entries[index]
	ownIndex := len(entries) - 2 // the last entry holds the request's own question
	if ownIndex <= index || q.Placement == nil {
		return shared.Key, index, false
	}
	own := entries[ownIndex]
	isLongEnough := own.CumulativeTokens-shared.CumulativeTokens >= shared.CumulativeTokens
	if isLongEnough && q.hotness(own) > q.Placement.AdmissionFloor {
		return own.Key, ownIndex, true
	}
	return shared.Key, index, false
}

// sharedPrefix returns the index of the longest entry that other requests use, too: it was accessed more than
// once lately, and not much less than the prompt's first part. The last entry is the request's own.
func (q *Query) sharedPrefix(entries []prefix.Entry) (index int) {
	for i := 1; i < len(entries)-1; i++ {
		hotness := q.hotness(entries[i])
		if hotness >= sharedMinAccesses && hotness >= sharedUseRatio*q.hotness(entries[0]) {
			index = i
		}
	}
	return index
}

// hotness is how often an entry was accessed in the index's window.
func (q *Query) hotness(entry prefix.Entry) float64 { return q.Found[entry.Key].GetHotness() }
