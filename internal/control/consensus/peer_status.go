package consensus

import (
	"cmp"
	"slices"
)

// caughtUpEntries is the number of committed entries that a peer may lack and still count as caught up.
// With a larger number a group waits longer for a new voter; a limit of 0 would never be met under load.
const caughtUpEntries = 8

// PeerStatus describes a peer as seen by the leader that replicates to it.
type PeerStatus struct {
	Name       string
	IsVoter    bool // whether the peer is a voter in the leader's log; otherwise it is a learner
	ContactAge int  // age in ticks of the newest request that the peer has responded to
	Responded  bool // whether the peer has responded to this leader in the current term
	CaughtUp   bool // whether the committed entries that the peer lacks, if any, fit into one append request
}

// PeerStatuses returns the status of each peer that the leader replicates to, voters and learners, sorted by
// name; nil if this member isn't the leader.
//
// Example: for _, peer := range c.PeerStatuses() { fmt.Println(peer.Name, peer.ContactAge) }
func (c *Core) PeerStatuses() (statuses []PeerStatus) {
	if c.role != leader {
		return nil
	}
	for peer, progress := range c.peers {
		statuses = append(statuses, PeerStatus{
			Name:       peer,
			IsVoter:    c.IsVoter(peer),
			ContactAge: progress.contactAge,
			Responded:  progress.responded,
			CaughtUp:   c.isNearCommit(progress.match),
		})
	}
	slices.SortFunc(statuses, func(a, b PeerStatus) int { return cmp.Compare(a.Name, b.Name) })
	return statuses
}

// isNearCommit reports whether the committed entries that a peer lacks, whose log matches up to index match, fit into
// one append request: they are neither more than caughtUpEntries, nor larger than MaxBatchBytes, nor compacted.
func (c *Core) isNearCommit(match uint64) bool {
	if match == 0 || match+caughtUpEntries < c.commit {
		return false
	}
	if match >= c.commit {
		return true
	}
	if _, ok := c.termAt(match); !ok {
		return false // the entries after index match are compacted
	}
	missing := 0
	for index := match + 1; index <= c.commit; index++ {
		missing += entryBytes(c.entryAt(index))
	}
	return missing <= c.cfg.MaxBatchBytes
}

// ReplicatedToLiveVoters reports whether there is a live voter other than the excepted one, and all such voters
// have every committed entry on disk: the excepted voter can then stop without delaying the others. A voter is
// live if its contact age is less than maxContactAge ticks. The result is false if this member isn't the leader.
//
// Example: if c.ReplicatedToLiveVoters("10.1.0.17:7360/8f3a", 12) { stop() }
func (c *Core) ReplicatedToLiveVoters(except string, maxContactAge int) bool {
	replicas := 0
	for _, voter := range c.voters.names {
		if voter == except {
			continue
		}
		if voter == c.cfg.Self {
			replicas++
			continue
		}
		progress := c.peers[voter]
		if progress == nil || progress.contactAge >= maxContactAge {
			continue
		}
		if progress.match < c.commit {
			return false
		}
		replicas++
	}
	return c.role == leader && replicas > 0
}
