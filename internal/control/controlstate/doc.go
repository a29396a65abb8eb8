// Package controlstate is the control node: the server that replicates the control state (the
// configuration, leases, calendar entries, retirements and the claims of at-most-once requests) to a
// quorum of disks.
//
// A node holds members of replicated shards. Each member is a shard: one goroutine that drives a pure
// consensus core (package consensus), applies committed entries to a state machine (state) and keeps
// log and snapshots on disk (package storage). Everything that touches the core, the state or the
// store runs on that goroutine; other goroutines hand it commands through runOnLoop and query.
//
// There are two kinds of node:
//   - Start runs a node of a cluster whose members are fixed by the settings, with several shards.
//   - StartGroup runs a node of one shard, the group, whose membership is itself replicated data:
//     nodes join as learners and the leader proposes changes of the membership (membershipPlanner).
//
// Terms: an incarnation names a member between two losses of its disk, by an address or name and a
// number; a member that lost its disk comes back under another one, so that peers don't take it for the
// one that held the log. A spare is a learner that is ready to become a voter. A member is out after its
// disk failed.
//
// Invariants that all files rely on:
//   - A change is acknowledged only after its entry is committed, which means that it is synced to the
//     disks of a quorum.
//   - A change of a document is rejected only with a response that no other leader can contradict:
//     either from the log, or from the applied state after a quorum confirmed this leader (ReadIndex).
//   - Every member makes the same state of the same log: state.apply depends on nothing else, but for
//     the local time at which a lease was seen granted.
//   - Nothing is sent that claims durability before the disk has synced it (handleReady).
package controlstate
