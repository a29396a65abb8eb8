package controlstate

import (
	"context"
	"slices"
	"strings"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/wire"
)

// joinIntervalRatio is the interval between checks whether this member has to request to join its group, as a
// fraction of settings.Bounds.Recovery, the configured time to restore service after a fault.
const joinIntervalRatio = 1.0 / 30

// joinTimeoutRatio is the time-out of a request to join or leave the group, as a fraction of settings.Bounds.Recovery,
// the configured time to restore service after a fault.
const joinTimeoutRatio = 1.0 / 30

// Numbers of ticks without a message from the leader after which a learner or a voter requests to join its group. A voter
// that hears from no leader may have been removed from the group, in which case it cannot win an election. It
// therefore requests to join after the election time-out.
const (
	learnerJoinTicks = aliveTicks
	voterJoinTicks   = electionTicks
)

// Limits of the join requests that one iteration of joinLoop sends.
const (
	maxJoinCandidates = 2 // maximum number of candidates that are sent join requests in one iteration
	maxJoinRequests   = 2 // maximum number of join requests per candidate: one to it, one to the leader that it names
)

// rejoinAction is what a node has to do next so that its member takes part in the group.
type rejoinAction int

const (
	noRejoinAction    rejoinAction = iota // nothing to do: a leader replicates to the member, or the member waits for its disk or an election
	sendJoinRequest                       // request to join the group, since no leader replicates to the member
	replaceCorrupted                      // replace the corrupted disk once the group serves without it
	replaceSuperseded                     // replace the disk of a member that the group was restored without
)

// joinLoop runs until the process ends. It requests to join the group whenever no leader replicates to this member, and
// permits the replacement of a disk that is corrupted or superseded by a restored group.
func (n *Node) joinLoop() {
	bounds := n.process.Settings.Bounds
	shard := n.shards[0]
	for failures := 0; n.process.Ctx.Err() == nil; clock.Sleep(n.process.Ctx, bounds.Recovery(joinIntervalRatio)) {
		ctx, cancel := context.WithTimeout(n.process.Ctx, bounds.Recovery(queryTimeoutRatio))
		action := query(ctx, shard, noRejoinAction, shard.rejoinAction)
		cancel()
		switch action {
		case replaceCorrupted:
			n.replaceCorruptedDisk()
		case replaceSuperseded:
			n.replaceSupersededDisk()
		case sendJoinRequest:
			view := shard.published.current()
			n.controlClient.HintLeader(view.leader)
			failures += n.requestJoin(view.self, view.members, failures)
		}
	}
}

// rejoinAction returns what this node has to do so that its member takes part in the group.
func (s *shard) rejoinAction() rejoinAction {
	switch {
	case s.hasCorruptedDisk():
		return replaceCorrupted
	case s.supersededBy != 0:
		return replaceSuperseded
	case s.needsJoin():
		return sendJoinRequest
	}
	return noRejoinAction
}

// needsJoin reports whether this member has heard from no leader for long enough that it should request to join
// its group. For a voter that is only waiting for an election the request has no effect.
func (s *shard) needsJoin() bool {
	status := s.core.Status()
	timeoutTicks := learnerJoinTicks
	if s.core.IsVoter(s.core.Self()) {
		timeoutTicks = voterJoinTicks
	} else if status.Leader == "" {
		timeoutTicks = 0
	}
	return s.failure == nil && !s.stopping && !status.IsLeader && status.TicksSinceLeader >= timeoutTicks
}

// unresponsiveRetryInterval is the number of failed join requests after which an unresponsive address is tried
// even though enough responsive ones are known.
const unresponsiveRetryInterval = 4

// joinCandidates returns the addresses of control nodes to send join requests to next, given how many requests
// have failed so far. It rotates through the addresses that responded to their last request. It adds unresponsive
// ones if there are too few responsive ones, and once in every unresponsiveRetryInterval failures.
func joinCandidates(addresses []string, isUnresponsive func(addr string) bool, failures int) []string {
	responsive, unresponsive := controlclient.SplitByResponsiveness(addresses, isUnresponsive)
	unresponsiveOffset := failures / unresponsiveRetryInterval
	candidates := append(rotate(responsive, failures), rotate(unresponsive, unresponsiveOffset)...)
	if failures%unresponsiveRetryInterval == unresponsiveRetryInterval-1 && len(unresponsive) > 0 && len(responsive) > 1 {
		candidates[1] = unresponsive[unresponsiveOffset%len(unresponsive)]
	}
	return candidates[:min(len(candidates), maxJoinCandidates)]
}

// rotate returns the items in rotated order, starting with the one at the offset (modulo their number).
func rotate(items []string, offset int) []string {
	if len(items) == 0 {
		return nil
	}
	start := offset % len(items)
	return slices.Concat(items[start:], items[:start])
}

// requestJoin sends join requests for the member self to the next candidates until one accepts. It returns how
// many candidates failed; previousFailures counts those of earlier calls.
func (n *Node) requestJoin(self string, members []string, previousFailures int) (failed int) {
	addresses := n.controlClient.Addresses()
	for _, member := range members {
		if addr := controlclient.MemberAddr(member); !slices.Contains(addresses, addr) {
			addresses = append(addresses, addr)
		}
	}
	selfAddr := controlclient.MemberAddr(self)
	addresses = slices.DeleteFunc(addresses, func(addr string) bool { return addr == selfAddr })
	for _, addr := range joinCandidates(addresses, n.controlClient.IsUnresponsive, previousFailures) {
		if n.joinThrough(addr, self) {
			return failed
		}
		failed++
	}
	return failed
}

// joinThrough sends a join request for the member self to a candidate and, if that is not the leader, to the
// leader that it names.
func (n *Node) joinThrough(addr, self string) (accepted bool) {
	selfAddr := controlclient.MemberAddr(self)
	for range maxJoinRequests {
		if addr == "" || addr == selfAddr {
			return false
		}
		response, err := n.sendJoin(addr, self)
		n.controlClient.RecordResponse(addr, err == nil)
		if err != nil {
			return false
		}
		if response.Outcome == wire.OutcomeDone {
			n.controlClient.HintLeader(addr)
			return true
		}
		addr = controlclient.MemberAddr(response.Leader)
	}
	return false
}

// sendJoin sends one join request for the member self to the control node at an address.
func (n *Node) sendJoin(addr, self string) (*wire.JoinResponse, error) {
	ctx, cancel := context.WithTimeout(n.process.Ctx, n.process.Settings.Bounds.Recovery(joinTimeoutRatio))
	defer cancel()
	return n.clients.ControlNode(addr).Join(ctx, &wire.JoinRequest{Name: self, Zone: n.process.Settings.Zone})
}

// Join makes the leader replicate to a new learner or, if the request is from a member that is shutting down, asks
// whether that member may stop. If this node is not the leader, the response names the leader. The response is
// OutcomeUnknown if this node has fixed members, or if the name in the request does not consist of an address and
// an incarnation number.
//
// Example: response, err := n.Join(ctx, &wire.JoinRequest{Name: "10.1.0.17:7360/8f3a"})
func (n *Node) Join(ctx context.Context, request *wire.JoinRequest) (*wire.JoinResponse, error) {
	shard, unknown := n.shards[0], &wire.JoinResponse{Outcome: wire.OutcomeUnknown}
	addr, incarnation, ok := strings.Cut(request.Name, "/")
	if shard == nil || shard.group == nil || !ok || addr == "" || incarnation == "" {
		return unknown, nil
	}
	return query(ctx, shard, unknown, func() *wire.JoinResponse { return shard.handleJoin(request) }), nil
}

// handleJoin handles a request of a member to join or leave the group. It runs on the shard's goroutine.
func (s *shard) handleJoin(request *wire.JoinRequest) *wire.JoinResponse {
	status := s.core.Status()
	if s.failure != nil || !status.IsLeader {
		return &wire.JoinResponse{Outcome: wire.OutcomeNotLeader, Leader: status.Leader}
	}
	var accepted bool
	if request.Leaving {
		accepted = s.handleLeave(request.Name)
	} else {
		delete(s.leaving, request.Name)
		accepted = s.core.AddLearner(request.Name)
	}
	if !accepted {
		return &wire.JoinResponse{Outcome: wire.OutcomeOverloaded, Leader: status.Leader}
	}
	return &wire.JoinResponse{Outcome: wire.OutcomeDone, Leader: status.Leader}
}
