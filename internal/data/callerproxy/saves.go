package callerproxy

import (
	"pebbleloom/internal/data/placement"
)

// planSaveTargets decides where the selected worker copies the prefix that determines affinity. A replicated prefix is
// copied to one more worker that does not hold it. Any other prefix is copied to its preferred worker, if another
// worker was selected and the prefix is reused; a session's prefix always counts as reused. In addition, replicated
// prefixes and reused prefixes are copied to the cache stores, because the only worker that holds a prefix may evict
// it, and a fetch from a store is faster than prefill.
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

// saveToOneWorker adds one worker that does not hold the prefix yet to the save targets. The choice depends on the
// request ID, so that copies are spread over the workers.
func (q *Query) saveToOneWorker(choice *Choice, holders map[string]bool, view *selectionView) {
	for _, worker := range placement.RankShardWorkers(q.tieBreakKey(), view.upWorkers) {
		if !holders[worker] && worker != choice.Worker.Name {
			choice.addSaveTarget(worker, view)
			return
		}
	}
}

// addSaveTarget adds a worker or store to the save targets. The selected worker itself, and names without a known
// address, are skipped.
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
