package consensus

import "pebbleloom/internal/wire"

// TransferLeadership asks another voter that has every entry of this leader's log to start an election at once
// (thesis, section 3.10). Of several such voters it selects the one with the most recent contact. It returns false if this
// member isn't the leader, or no other voter has every entry and has responded to a request of the last
// ElectionTicks ticks. The selected voter still has to win the election by the usual rules.
//
// Example: if c.TransferLeadership() { drive(c.Ready()) }
func (c *Core) TransferLeadership() bool {
	return c.TransferLeadershipExcept(func(string) bool { return false })
}

// TransferLeadershipExcept is like TransferLeadership, but skips the excluded voters.
//
// Example: ok := c.TransferLeadershipExcept(isLeaving)
func (c *Core) TransferLeadershipExcept(excluded func(name string) bool) bool {
	if c.role != leader {
		return false
	}
	target := ""
	for _, voter := range c.voters.names {
		progress := c.peers[voter]
		if progress == nil || excluded(voter) || progress.match != c.lastIndex() || progress.contactAge >= c.cfg.ElectionTicks {
			continue
		}
		if target == "" || progress.contactAge < c.peers[target].contactAge {
			target = voter
		}
	}
	if target == "" {
		return false
	}
	c.send(&wire.Message{To: target, Kind: wire.MessageKind_TRANSFER_LEADERSHIP, Index: c.lastIndex(), Commit: c.commit})
	return true
}

// handleTransferLeadership starts an election without a pre-vote, which the peers would reject as long
// as they have a leader.
func (c *Core) handleTransferLeadership(message *wire.Message) {
	if message.Term == c.hardState.Term && message.From == c.leader && c.role == follower && c.IsVoter(c.cfg.Self) {
		c.campaign(candidate)
	}
}
