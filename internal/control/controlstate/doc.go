// Package controlstate implements the control node: the server that replicates the control state (the
// configuration, leases, calendar entries, retirements and the claims of at-most-once requests) to the
// disks of a quorum.
//
// A node hosts members (replicas) of replicated shards. Each member is a shard: one goroutine that drives
// the deterministic consensus core (package consensus), applies committed entries to a state machine
// (state) and persists the log and snapshots (package storage). Only that goroutine accesses the core, the
// state and the store; other goroutines submit commands to it through runOnLoop and query.
//
// There are two kinds of node:
//   - Start runs a node of a cluster with several shards, whose members are fixed by the settings.
//   - StartGroup runs a node of one shard, the group, whose membership is itself replicated data:
//     nodes join as learners, and the leader proposes membership changes (membershipPlanner).
//
// Terms:
//   - An incarnation identifies a member from one loss of its disk to the next. It consists of an address or
//     name and a number. A member that lost its disk returns under a new incarnation, so that its peers do
//     not mistake it for the member that held the log.
//   - A spare is a learner that is ready to become a voter.
//   - A restore generation identifies the last restore of a group from one surviving member (RestoreGroup). It is 0
//     for a group that was never restored, and higher after each restore.
//   - A member has failed while its failure field is set, after a disk error for example: it neither votes
//     nor acknowledges anything.
//   - The recovery time bound (settings.Bounds.Recovery) is the configured time within which service has to be restored
//     after a fault. Most time-outs are fractions of it.
//
// Invariants that all files rely on:
//   - A change is acknowledged only after its entry is committed, that is, synced to the disks of a quorum.
//   - A change of a document is rejected only with a response that no other leader can contradict: one that
//     comes either from the log, or from the applied state after a quorum confirmed this leader (ReadIndex).
//   - All members compute the same state from the same log: state.apply depends on nothing else, except for
//     the local time at which a lease was seen granted.
//   - No message that claims durability is sent before the disk has synced the data (handleReady).
package controlstate
