package consensus

import (
	"fmt"
	"slices"

	"pebbleloom/internal/wire"
)

// restoreGroup restores the group from this member alone, under another name and with every entry of its log. It
// returns nil if the log is empty, or the member has output that isn't flushed yet.
func (node *modelNode) restoreGroup(name string) *eventOutcome {
	if node.pending() || node.core.snapshot.Index == 0 && len(node.core.log) == 0 {
		return nil
	}
	state, carriedOver := node.appliedState, slices.Clone(node.core.UnappliedEntries())
	for _, entry := range carriedOver {
		state += string(entry.Body)
	}
	generation := NextRestoreGeneration(node.core.hardState.RestoreGeneration, 0)
	snapshot := node.core.RestoredSnapshot(name, generation, []byte(state))
	cfg := node.core.cfg
	cfg.Self = name
	return &eventOutcome{
		node:        node.loseDisk(),
		restored:    startNode(cfg, modelDisk{snapshot: snapshot}),
		carriedOver: append(carriedOver, &wire.Entry{Index: snapshot.Index, Term: snapshot.Term}),
	}
}

// hasEarlierGeneration reports whether a member isn't absent, and its restore generation is earlier than the newest one
// of the group.
func (node *modelNode) hasEarlierGeneration(newest uint64) bool {
	return !node.absent && node.core.hardState.RestoreGeneration < newest
}

// afterRestore returns the history of a group after its restore from one member: the entries of that member count
// as committed, later ones are lost, and a client's query whether its copy of the replicated state is the newest is
// discarded.
func (history observedHistory) afterRestore(result *stepResult) observedHistory {
	restored := result.eventOutcome.restored
	committed := history.committed[:min(len(history.committed), int(result.carriedOver[0].Index)-1)]
	for _, entry := range result.carriedOver {
		committed = append(slices.Clip(committed), committedEntry{entry, entry.Term})
	}
	return observedHistory{committed: committed, votes: history.votes, generation: restored.core.hardState.RestoreGeneration}
}

// checkPeerGenerations checks that a leader of the newest restore generation counts entries as replicated only to
// members of that generation. The log of a member of an earlier restore generation may differ.
func (s *stateSpace) checkPeerGenerations(state *groupState, history observedHistory) string {
	for _, id := range s.members(state) {
		node := s.nodes[id]
		if node.absent || node.core.role != leader || node.hasEarlierGeneration(history.generation) {
			continue
		}
		for name, progress := range node.core.peers {
			peer := s.nodes[state.nodes[slices.Index(slotNames[:], name)]]
			if progress.match > 0 && peer.hasEarlierGeneration(history.generation) {
				return fmt.Sprintf("acknowledgement of an earlier restore generation: leader %s counts entry %d as replicated to %s", node.name, progress.match, name)
			}
		}
	}
	return ""
}

// sameGeneration reports whether two members have the same restore generation. This number rises whenever an operator
// lets a group continue from one surviving member after the majority of its disks was lost.
func sameGeneration(a, b nodeEntry) bool {
	return a.core.hardState.RestoreGeneration == b.core.hardState.RestoreGeneration
}
