package callerproxy

import (
	"pebbleloom/internal/data/placement"
)

// planSaves decides where the selected worker saves the prefix up to the deciding entry. A replicated entry is
// saved to one more worker that lacks it; any other to its preferred worker, if it is computed elsewhere.
// Both are saved to the stores, the latter once it is accessed again: its one worker may evict it, and
// fetching it from a store is faster than prefilling.
func (q *Query) planSaves(choice *Choice, view *siteView) {
	key, index, session := q.decidingEntry(choice.Entries)
	if index < 0 || !q.usesIndex() {
		return
	}
	choice.Session = session
	choice.Hot = q.Placement.IsReplicated(key)
	holders := view.holders[key]
	isReused := session || q.Found[key].GetHotness() >= sharedMinAccesses
	preferred := choice.PreferredWorker
	if choice.Hot {
		q.saveToNextReplica(choice, holders, view)
	} else if preferred != "" && preferred != choice.Worker.Name && !holders[preferred] && isReused {
		choice.saveTo(preferred, view)
	}
	for store := range q.Stores {
		if (choice.Hot || isReused) && !holders[store] {
			choice.saveTo(store, view)
		}
	}
	if len(choice.SaveNames) > 0 {
		choice.SaveEntries = index + 1
	}
}

// saveToNextReplica saves to one worker that lacks the entry, a different one for each request.
func (q *Query) saveToNextReplica(choice *Choice, holders map[string]bool, view *siteView) {
	for _, worker := range placement.RankShardWorkers(q.tieKey(), view.up) {
		if !holders[worker] && worker != choice.Worker.Name {
			choice.saveTo(worker, view)
			return
		}
	}
}

// saveTo adds a worker or store to those that are saved to.
func (c *Choice) saveTo(name string, view *siteView) {
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
