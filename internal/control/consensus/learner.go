package consensus

import (
	"slices"

	"pebbleloom/internal/wire"
)

// Learners receive the committed entries without being voters (thesis, section 4.2.1). A process joins a
// group as a learner, and remains one, as a spare member, until the driver proposes it as a voter.

const (
	// learnerTimeoutElections is the time without a response after which the leader drops a learner,
	// in election timeouts. A dropped learner has to join again.
	learnerTimeoutElections = 6

	// learnerHeartbeats is the number of heartbeats between two requests to a learner that has caught
	// up. A learner that hasn't caught up is sent a request at each heartbeat: a membership change may wait for it.
	learnerHeartbeats = 3

	// maxLearners is the maximum number of learners that a leader replicates to. It bounds the replication traffic.
	maxLearners = 64
)

// LearnerSnapshot returns the initial snapshot of a process that joins a group with an empty disk.
//
// Example: consensus.LearnerSnapshot("10.1.0.17:7360/8f3a")
func LearnerSnapshot(self string) *wire.Snapshot { return BootstrapSnapshot(self, nil) }

// AddLearner makes the leader replicate to a process that isn't a voter. It returns false if this member isn't
// the leader, or already has the maximum number of learners.
//
// Example: if c.AddLearner("10.1.0.17:7360/8f3a") { drive(c.Ready()) }
func (c *Core) AddLearner(name string) bool {
	if c.role != leader || name == c.cfg.Self {
		return false
	}
	if c.peers[name] != nil {
		return true
	}
	if len(c.learners()) >= maxLearners {
		return false
	}
	progress := c.newProgress(name)
	progress.next = c.commit + 1
	c.peers[name] = progress
	c.replicate(name, true)
	return true
}

// RemoveLearner stops replication to a learner. It has no effect on voters.
//
// Example: c.RemoveLearner("10.1.0.17:7360/8f3a")
func (c *Core) RemoveLearner(name string) {
	if !c.IsVoter(name) {
		delete(c.peers, name)
	}
}

// replicationLimit returns the index of the last entry that a peer may be sent: learners are sent only committed
// entries.
func (c *Core) replicationLimit(peer string) uint64 {
	if c.cfg.DynamicMembership && !c.IsVoter(peer) {
		return c.commit
	}
	return c.lastIndex()
}

// replicateToLearners sends, at a heartbeat of a group's leader, requests to the learners that are due for one, and
// drops learners that have stopped responding (learnerTimeoutElections).
func (c *Core) replicateToLearners() {
	if !c.cfg.DynamicMembership {
		return
	}
	c.learnerHeartbeatCount++
	for _, learner := range c.learners() {
		if c.peers[learner].ticksSinceResponse > learnerTimeoutElections*c.cfg.ElectionTicks {
			delete(c.peers, learner)
		} else if c.learnerHeartbeatCount%learnerHeartbeats == 0 || !c.isNearCommit(c.peers[learner].match) {
			c.replicate(learner, true)
		}
	}
}

// learners returns the names of the learners, sorted.
func (c *Core) learners() (names []string) {
	for peer := range c.peers {
		if !c.IsVoter(peer) {
			names = append(names, peer)
		}
	}
	slices.Sort(names)
	return names
}
