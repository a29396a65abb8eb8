package consensus

import "pebbleloom/internal/wire"

// TransferLeadership asks the most recently heard peer with a complete log to start an election at once
// (thesis, section 3.10). It returns false where this member isn't the leader or no peer has caught
// up. The peer still has to win its election: a transfer changes who campaigns, not who may win.
//
// Example: if c.TransferLeadership() { drive(c.Ready()) }
func (c *Core) TransferLeadership() bool {
	return c.TransferLeadershipExcept(func(string) bool { return false })
}

// TransferLeadershipExcept is TransferLeadership to a peer that isn't excluded.
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
