package consensus

import (
	"slices"

	"pebbleloom/internal/wire"
)

// Membership as agreed data. The members of a group stand in its log: an entry that names
// members holds from the moment it is in a log, and no longer once it is truncated again. A
// member's name holds its incarnation; a lost disk comes back under another name, as another
// member, so no member ever forgets a vote or an acknowledgement that counts.
//
// Why no two leaders and no lost commit:
//   - A change adds or removes one member, so every majority of the old membership meets every
//     majority of the new one. It is added only when the one before it is committed and the
//     leader has committed an entry of its own term. So of two memberships in force in any logs
//     at once, neither is more than one change away from the last committed one, and a leader
//     of an older term can't commit a second line of changes beside a newer one's.
//   - Whoever commits an entry has it on a majority of the newest membership in its log. Whoever
//     wins later has the votes of a majority of the newest membership in its own log, which is
//     the same or a neighbour of it: one voter has the entry, and votes for no shorter log. By
//     induction over the terms between the two, every later leader has every committed entry.
//   - A member votes by its own log and vote alone, also where that log doesn't name it yet:
//     only those whose log names it count it. Otherwise a half-added member could leave the
//     rest without a majority.
//   - Learners are sent what is committed and nothing else, and a removed member isn't sent its
//     removal before that is committed: a log outside the group never denies its vote for
//     an entry that the group hasn't agreed on.
//   - Whoever wins names the members once more in the first entry of its term. So "the newest
//     membership" that a set of members reports (by term, then index) can't be that of a line of
//     changes that was given up: a majority of it holds nothing newer of a document, and says
//     so, only if nothing newer was committed before they were asked.

// voterSet is the set of voters, and the entry that named them.
type voterSet struct {
	names       []string
	index, term uint64
}

// namesOnWire is what an entry or a snapshot records of it.
func (m voterSet) namesOnWire(group bool) []string {
	if !group {
		return nil
	}
	return m.names
}

// learnerTimeoutElections is the silence, in spans of ElectionTicks, after which a learner is
// dropped; it is sent nothing more until it asks again.
const learnerTimeoutElections = 6

// caughtUpEntries is how many committed entries a learner may lack when it is made a voter.
const caughtUpEntries = 8

// learnerHeartbeats is the number of heartbeats between two messages to a learner that has caught up.
// One that hasn't may be waited for, so what is lost on its way is asked for again at each heartbeat.
const learnerHeartbeats = 3

const maxLearners = 64

// reloadMembership looks up the newest membership in snapshot and log.
func (c *Core) reloadMembership() { c.voters = c.membershipAt(c.lastIndex()) }

// membershipAt is the newest membership up to an entry.
func (c *Core) membershipAt(upto uint64) voterSet {
	if !c.cfg.DynamicMembership {
		return voterSet{names: c.cfg.Members}
	}
	for i := len(c.log) - 1; i >= 0; i-- {
		if entry := c.log[i]; entry.Index <= upto && len(entry.Members) > 0 {
			return voterSet{entry.Members, entry.Index, entry.Term}
		}
	}
	return voterSet{c.snapshot.Members, c.snapshot.MembersIndex, c.snapshot.MembersTerm}
}

// applyMembership takes over the membership of an entry that was added to the log.
func (c *Core) applyMembership(entry *wire.Entry) {
	if c.cfg.DynamicMembership && len(entry.Members) > 0 {
		c.voters = voterSet{entry.Members, entry.Index, entry.Term}
	}
}

// BootstrapSnapshot is the snapshot of one of the members that found a group together; each of them
// writes the same members.
//
// Example: consensus.BootstrapSnapshot("10.1.0.17:7360/0", []string{"10.1.0.17:7360/0", "10.2.0.24:7360/0", "10.3.0.38:7360/0"})
func BootstrapSnapshot(self string, members []string) *wire.Snapshot {
	l := slices.Sorted(slices.Values(members))
	return &wire.Snapshot{Format: 1, HardState: &wire.HardState{Incarnation: self, DiskState: wire.DiskState_DISK_FOUNDED}, Members: l}
}

// LearnerSnapshot is the snapshot of a disk that was empty: its process keeps what it is sent, and
// is no voter.
//
// Example: consensus.LearnerSnapshot("10.1.0.17:7360/8f3a")
func LearnerSnapshot(self string) *wire.Snapshot { return BootstrapSnapshot(self, nil) }

// Members returns the newest membership in the log, committed or not.
//
// Example: names, term, index := c.Members()
func (c *Core) Members() (names []string, term, index uint64) {
	return c.voters.names, c.voters.term, c.voters.index
}

func (c *Core) newProgress(peer string) *peerProgress {
	progress := &peerProgress{next: c.lastIndex() + 1}
	if c.cfg.DynamicMembership {
		progress.incarnation = peer // a name is one incarnation
	}
	return progress
}

// progressAtElection is what a new leader knows of a peer. One that gave it no vote has been silent
// for as long as there was no leader, as far as is known: a member that is gone isn't given its whole
// time again by each election.
func (c *Core) progressAtElection(peer string) *peerProgress {
	progress := c.newProgress(peer)
	if c.cfg.DynamicMembership && !c.votes[peer] {
		progress.ticksSinceResponse = min(c.ticks-c.lastLeaderContact, c.cfg.ElectionTicks)
		progress.contactAge = progress.ticksSinceResponse
	}
	return progress
}

// replicationLimit is the last entry that a peer may be sent.
func (c *Core) replicationLimit(peer string) uint64 {
	if c.cfg.DynamicMembership && !c.IsVoter(peer) {
		return c.commit
	}
	return c.lastIndex()
}

func (c *Core) replicateToLearners() {
	if !c.cfg.DynamicMembership {
		return
	}
	c.learnerHeartbeatCount++
	for _, peer := range c.learners() {
		if c.peers[peer].ticksSinceResponse > learnerTimeoutElections*c.cfg.ElectionTicks {
			delete(c.peers, peer)
		} else if c.learnerHeartbeatCount%learnerHeartbeats == 0 || !c.isNearCommit(c.peers[peer].match) {
			c.replicate(peer, true)
		}
	}
}

func (c *Core) learners() (l []string) {
	for peer := range c.peers {
		if !c.IsVoter(peer) {
			l = append(l, peer)
		}
	}
	slices.Sort(l)
	return l
}

// AddLearner has the leader replicate to a process that is no voter; false where this member isn't
// the leader or has as many learners as it may.
//
// Example: if c.AddLearner("10.1.0.17:7360/8f3a") { drive(c.Ready()) }
func (c *Core) AddLearner(name string) bool {
	if c.role != leader || name == c.cfg.Self {
		return false
	}
	if c.peers[name] == nil {
		if len(c.learners()) >= maxLearners {
			return false
		}
		progress := c.newProgress(name)
		progress.next = c.commit + 1
		c.peers[name] = progress
		c.replicate(name, true)
	}
	return true
}

// RemoveLearner has the leader replicate no more to a learner; a voter stays what it is.
//
// Example: c.RemoveLearner("10.1.0.17:7360/8f3a")
func (c *Core) RemoveLearner(name string) {
	if !c.IsVoter(name) {
		delete(c.peers, name)
	}
}

// CanChangeMembership reports whether the leader may change the members: it has committed an entry of
// its own term and the change before.
//
// Example: if c.CanChangeMembership() { c.ProposeMembership(members) }
func (c *Core) CanChangeMembership() bool {
	t, _ := c.termAt(c.commit)
	return c.role == leader && t == c.hardState.Term && c.voters.index <= c.commit
}

// ProposeMembership proposes members that differ from those now by one; false where that may not be.
//
// Example: index, term, ok := c.ProposeMembership(append(members, "10.4.0.9:7360/8f3a"))
func (c *Core) ProposeMembership(names []string) (index, term uint64, ok bool) {
	l := slices.Compact(slices.Sorted(slices.Values(names)))
	diff := 0
	for _, peer := range l {
		if !c.IsVoter(peer) {
			diff++
		}
	}
	for _, peer := range c.voters.names {
		if !slices.Contains(l, peer) {
			diff++
		}
	}
	if !c.cfg.DynamicMembership || !c.CanChangeMembership() || diff != 1 || len(l) == 0 {
		return 0, 0, false
	}
	for _, peer := range c.voters.names {
		if !slices.Contains(l, peer) {
			delete(c.peers, peer) // it doesn't hear of it before that is committed
		}
	}
	for _, peer := range l {
		if peer != c.cfg.Self && c.peers[peer] == nil {
			c.peers[peer] = c.newProgress(peer)
		}
	}
	return c.proposeEntry(nil, l), c.hardState.Term, true
}

// PeerStatus is how the leader sees a peer that it replicates to.
type PeerStatus struct {
	Name       string
	IsVoter    bool
	ContactAge int  // ticks since the newest request was sent that it has responded to
	Responded  bool // it has spoken to this leader at all
	CaughtUp   bool // it holds all that is committed, but for what fits into one message
}

// PeerStatuses lists the peers that the leader replicates to, voters and learners, by name.
//
// Example: for _, x := range c.PeerStatuses() { fmt.Println(x.Name, x.ContactAge) }
func (c *Core) PeerStatuses() (l []PeerStatus) {
	if c.role != leader {
		return nil
	}
	for peer, progress := range c.peers {
		l = append(l, PeerStatus{peer, c.IsVoter(peer), progress.contactAge, progress.responded, c.isNearCommit(progress.match)})
	}
	slices.SortFunc(l, func(a, b PeerStatus) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return l
}

// isNearCommit reports whether a log that matches up to an entry lacks no more of what is committed
// than one message brings: a few entries, not a snapshot, and no more bytes than a batch holds.
func (c *Core) isNearCommit(match uint64) bool {
	if match == 0 || match+caughtUpEntries < c.commit {
		return false
	}
	if match >= c.commit {
		return true
	}
	if _, ok := c.termAt(match); !ok {
		return false // only a snapshot goes on from there
	}
	missing := 0
	for index := match + 1; index <= c.commit; index++ {
		missing += entryBytes(c.entryAt(index))
	}
	return missing <= c.cfg.MaxBatchBytes
}

// ReplicatedToLiveVoters reports whether all that is committed is on the disk of each voter but one that has
// spoken within so many ticks, and of one such voter at least beside that one.
//
// Example: if c.ReplicatedToLiveVoters("10.1.0.17:7360/8f3a", 12) { stop() }
func (c *Core) ReplicatedToLiveVoters(except string, within int) bool {
	holders := 0
	for _, peer := range c.voters.names {
		if peer == except {
			continue
		}
		if peer == c.cfg.Self {
			holders++
			continue
		}
		progress := c.peers[peer]
		if progress == nil || progress.contactAge >= within {
			continue
		}
		if progress.match < c.commit {
			return false
		}
		holders++
	}
	return c.role == leader && holders > 0
}

// Self is this member's name.
//
// Example: c.IsVoter(c.Self())
func (c *Core) Self() string { return c.cfg.Self }
