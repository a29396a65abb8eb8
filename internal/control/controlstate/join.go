package controlstate

import (
	"context"
	"slices"
	"strings"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/wire"
)

// How processes come to a group and leave it: as ratios of the heal bound and of the grace time, and
// in ticks.
const (
	joinIntervalRatio = 1.0 / 30       // of the heal bound: between two looks whether to ask to be taken in
	joinTimeoutRatio  = 1.0 / 30       // of the heal bound: the longest wait for an answer to that
	leaveTimeoutRatio = 0.4            // of the grace time: the longest wait until the others hold everything
	leaveNoticeTicks  = heartbeatTicks // after which a process that said that it is to stop counts as stopped

	learnerJoinTicks = aliveTicks    // the silence of the leader after which a learner asks again
	voterJoinTicks   = electionTicks // the same for a voter, which may have been removed meanwhile
)

// joinLoop has this node taken in, and keeps it known while it isn't a member.
func (n *Node) joinLoop() {
	bounds, turn := n.process.Settings.Bounds, 0
	for shard := n.shards[0]; n.process.Ctx.Err() == nil; clock.Sleep(n.process.Ctx, bounds.Heal(joinIntervalRatio)) {
		ctx, end := context.WithTimeout(n.process.Ctx, bounds.Heal(1.0/24))
		isAlone := query(ctx, shard, false, shard.needsJoin)
		end()
		if view := shard.published.current(); isAlone {
			n.controlClient.HintLeader(view.leader)
			turn += n.requestJoin(view.self, view.members, turn)
		}
	}
}

// needsJoin reports whether no leader sends this member entries, so that it asks to be taken in. A
// voter may just be without a leader, or was removed while it was away: to ask does no harm.
func (s *shard) needsJoin() bool {
	status, silenceLimit := s.core.Status(), learnerJoinTicks
	if s.core.IsVoter(s.core.Self()) {
		silenceLimit = voterJoinTicks
	} else if status.Leader == "" {
		silenceLimit = 0
	}
	return s.failure == nil && !s.stopping && !status.IsLeader && status.TicksSinceLeader >= silenceLimit
}

// silentTurnInterval is how often a silent address is asked before others: each so many turns.
const silentTurnInterval = 4

// joinCandidates are the two addresses that a turn asks: those that answered the last time in rotation,
// and a silent one where there are fewer, or it is its turn.
func joinCandidates(addresses []string, isSilent func(addr string) bool, turn int) []string {
	answering := slices.DeleteFunc(slices.Clone(addresses), isSilent)
	silent := slices.DeleteFunc(slices.Clone(addresses), func(address string) bool { return !isSilent(address) })
	ordered := append(rotate(answering, turn), rotate(silent, turn/silentTurnInterval)...)
	if turn%silentTurnInterval == silentTurnInterval-1 && len(silent) > 0 && len(answering) > 1 {
		ordered[1] = silent[turn/silentTurnInterval%len(silent)]
	}
	return ordered[:min(len(ordered), 2)]
}

// rotate is a list that begins at another element each turn.
func rotate(items []string, turn int) []string {
	if len(items) == 0 {
		return nil
	}
	start := turn % len(items)
	return slices.Concat(items[start:], items[:start])
}

// requestJoin asks a few of those that may know the leader, and whom they name right after them; it
// returns how many were of no help.
func (n *Node) requestJoin(self string, members []string, turn int) (unhelpful int) {
	addresses := n.controlClient.Addresses()
	for _, member := range members {
		if address := controlclient.MemberAddr(member); !slices.Contains(addresses, address) {
			addresses = append(addresses, address)
		}
	}
	own := controlclient.MemberAddr(self)
	addresses = slices.DeleteFunc(addresses, func(address string) bool { return address == own })
	for _, addr := range joinCandidates(addresses, n.controlClient.IsUnresponsive, turn) {
		for hops := 0; hops < 2 && addr != "" && addr != own; hops++ {
			ctx, end := context.WithTimeout(n.process.Ctx, n.process.Settings.Bounds.Heal(joinTimeoutRatio))
			response, err := n.clients.ControlNode(addr).Join(ctx, &wire.JoinRequest{Name: self, Zone: n.process.Settings.Zone})
			end()
			n.controlClient.RecordResponse(addr, err == nil)
			if err != nil {
				break
			}
			if response.Outcome == wire.OutcomeDone {
				n.controlClient.HintLeader(addr)
				return unhelpful
			}
			addr = controlclient.MemberAddr(response.Leader)
		}
		unhelpful++
	}
	return unhelpful
}

// Join has the leader replicate to a process that isn't a voter, or lets one go that is to stop; a
// site whose core machines are named in the settings takes nobody in.
//
// Example: t, err := a.Join(ctx, &wire.JoinRequest{Name: "10.1.0.17:7360/8f3a"})
func (n *Node) Join(ctx context.Context, request *wire.JoinRequest) (*wire.JoinResponse, error) {
	shard, failed := n.shards[0], &wire.JoinResponse{Outcome: wire.OutcomeUnknown}
	if addr, incarnation, ok := strings.Cut(request.Name, "/"); shard == nil || shard.group == nil || !ok || addr == "" || incarnation == "" {
		return failed, nil
	}
	return query(ctx, shard, failed, func() *wire.JoinResponse { return shard.handleJoin(request) }), nil
}

func (s *shard) handleJoin(request *wire.JoinRequest) *wire.JoinResponse {
	status := s.core.Status()
	if s.failure != nil || !status.IsLeader {
		return &wire.JoinResponse{Outcome: wire.OutcomeNotLeader, Leader: status.Leader}
	}
	accepted := false
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
