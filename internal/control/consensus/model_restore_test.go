package consensus

import (
	"fmt"
	"slices"

	"pebbleloom/internal/wire"
)

// restoreGroup has the machine of this member go on alone under another name, with all that its log holds.
func (node *modelNode) restoreGroup(name string) *eventOutcome {
	if node.pending() || node.core.snapshot.Index == 0 && len(node.core.log) == 0 {
		return nil
	}
	state, survived := node.app, slices.Clone(node.core.UnappliedEntries())
	for _, entry := range survived {
		state += string(entry.Body)
	}
	generation := NextRestoreGeneration(node.core.hardState.RestoreGeneration, 0)
	snapshot := node.core.RestoredSnapshot(name, generation, []byte(state))
	cfg := node.core.cfg
	cfg.Self = name
	return &eventOutcome{
		node:     node.loseDisk(),
		restored: startNode(cfg, modelDisk{snapshot: snapshot}),
		survived: append(survived, &wire.Entry{Index: snapshot.Index, Term: snapshot.Term}),
	}
}

// isOutdated reports whether a member is of an earlier restore generation than the newest.
func (node *modelNode) isOutdated(newest uint64) bool {
	return !node.wiped && node.core.hardState.RestoreGeneration < newest
}

// restoredBy returns the history of the group that goes on with what one member held. All else is given up, and so
// is what an agent has asked.
func (history observedHistory) restoredBy(result *stepResult) observedHistory {
	restored := result.eventOutcome.restored
	committed := history.committed[:min(len(history.committed), int(result.survived[0].Index)-1)]
	for _, entry := range result.survived {
		committed = append(slices.Clip(committed), committedEntry{entry, entry.Term})
	}
	return observedHistory{committed: committed, votes: history.votes, generation: restored.core.hardState.RestoreGeneration}
}

// checkPeerGenerations checks that what a leader of the newest restore generation counts as held by a member is on
// the disk of one of that generation: an earlier one has another log.
func (s *space) checkPeerGenerations(state *groupState, history observedHistory) string {
	for _, id := range s.members(state) {
		node := s.nodes[id]
		if node.wiped || node.core.role != leader || node.isOutdated(history.generation) {
			continue
		}
		for name, progress := range node.core.peers {
			peer := s.nodes[state.nodes[slices.Index(slotNames[:], name)]]
			if progress.match > 0 && peer.isOutdated(history.generation) {
				return fmt.Sprintf("acknowledged by an earlier generation: %s counts entry %d as held by %s", node.name, progress.match, name)
			}
		}
	}
	return ""
}

// sameGeneration reports whether two members are of one restore generation.
func sameGeneration(a, b nodeEntry) bool {
	return a.core.hardState.RestoreGeneration == b.core.hardState.RestoreGeneration
}
