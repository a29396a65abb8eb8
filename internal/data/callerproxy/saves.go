package callerproxy

import (
	"pebbleloom/internal/data/placement"
)

// planSaves decides where the selected worker saves the prefix up to the deciding entry. A replicated entry is
// saved to one more worker that lacks it; any other to its preferred worker, if it is computed elsewhere.
// Both are saved to the stores, the latter once it is accessed again: its one worker may evict it, and
// fetching it from a store is faster than prefilling.
func (q *Query) planSaveTargets(choice *Choice, view *selectionView) {
	key, index, isSession := q.affinityEntry(choice.Entries)
	if index < 0 || !q.usesIndex() {
		return
	}
	choice.SessionPrefix = isSession
	choice.Replicated = q.Placement.IsReplicated(key)
	holders := view.holders[key]
	isReused := isSession || q.LookupResults[key].GetHotness() >= sharedMinAccesses
	preferred := choice.PreferredWorker
	if choice.Replicated {
		q.saveToOneWorker(choice, holders, view)
	} else if preferred != "" && preferred != choice.Worker.Name && !holders[preferred] && isReused {
		choice.addSaveTarget(preferred, view)
	}
	for store := range q.StoreAddrs {
		if (choice.Replicated || isReused) && !holders[store] {
			choice.addSaveTarget(store, view)
		}
	}
	if len(choice.SaveNames) > 0 {
		choice.SaveEntries = index + 1
	}
}

// saveToNextReplica saves to one worker that lacks the entry, a different one for each request.
func (q *Query) saveToOneWorker(choice *Choice, holders map[string]bool, view *selectionView) {
	for _, worker := range placement.RankShardWorkers(q.tieBreakKey(), view.upWorkers) {
		if !holders[worker] && worker != choice.Worker.Name {
			choice.addSaveTarget(worker, view)
			return
		}
	}
}

// saveTo adds a worker or store to those that are saved to.
func (c *Choice) addSaveTarget(name string, view *selectionView) {
	addr := view.addr[name]
	if addr == "" || name == c.Worker.Name {
		return
	}
	c.SaveNames = append(c.SaveNames, name)
	if c.SaveAddrs != "" {
		c.SaveAddrs += ","
	}
	c.SaveAddrs += addr
}
