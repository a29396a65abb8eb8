package consensus

import (
	"cmp"
	"slices"
)

// caughtUpEntries is the number of committed entries that a peer may lack and still count as caught up.
// A larger one makes a group wait longer for a new voter; 0 would never be met under load.
const caughtUpEntries = 8

// PeerStatus is the leader's view of a peer that it replicates to.
type PeerStatus struct {
	Name       string
	IsVoter    bool // false: a learner
	ContactAge int  // ticks since the newest request was sent that the peer has responded to
	Responded  bool // whether it has responded to this leader at all
	CaughtUp   bool // whether it has all committed entries, but for what fits into one request
}

// PeerStatuses returns the peers that the leader replicates to, voters and learners, sorted by name; nil
// where this member isn't the leader.
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

// isNearCommit reports whether a log that matches up to an index lacks no more committed entries than one
// request carries: at most caughtUpEntries and MaxBatchBytes, and no snapshot.
func (c *Core) isNearCommit(match uint64) bool {
	if match == 0 || match+caughtUpEntries < c.commit {
		return false
	}
	if match >= c.commit {
		return true
	}
	if _, ok := c.termAt(match); !ok {
		return false // the entries after it are compacted
	}
	missing := 0
	for index := match + 1; index <= c.commit; index++ {
		missing += entryBytes(c.entryAt(index))
	}
	return missing <= c.cfg.MaxBatchBytes
}

// ReplicatedToLiveVoters reports whether every committed entry is on the disk of all live voters except
// one, and there is at least one of these: the excepted voter may then stop without making others wait. A
// voter is live if its contact age is less than maxContactAge ticks. It returns false where this
// member isn't the leader.
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
