package controlstate

import (
	"context"
	"slices"
	"strings"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/wire"
)

// joinIntervalRatio is the time between two checks whether this member has to ask to join, as a ratio of
// the heal bound.
const joinIntervalRatio = 1.0 / 30

// joinTimeoutRatio is the longest wait for the response to a join or leave request, as a ratio of the
// heal bound.
const joinTimeoutRatio = 1.0 / 30

// Ticks without a message of the leader after which a member asks to join. A voter may have been removed
// meanwhile: it asks after the time-out of an election, which it then can't win.
const (
	learnerJoinTicks = aliveTicks
	voterJoinTicks   = electionTicks
)

// Bounds of the join requests of one turn.
const (
	joinCandidatesPerTurn = 2
	maxJoinRequests       = 2 // to a candidate, and to the leader that it names
)

// rejoinNeed is what keeps a member out of its group.
type rejoinNeed int

const (
	nothingNeeded         rejoinNeed = iota // a leader replicates to it, or it waits for its disk or an election
	joinNeeded                              // no leader replicates to it
	diskReplacement                         // its disk is corrupted
	supersededReplacement                   // the group was restored without it
)

// joinLoop asks the group to replicate to this member whenever no leader does, and replaces a corrupted disk.
func (n *Node) joinLoop() {
	bounds := n.process.Settings.Bounds
	shard := n.shards[0]
	for turn := 0; n.process.Ctx.Err() == nil; clock.Sleep(n.process.Ctx, bounds.Heal(joinIntervalRatio)) {
		ctx, cancel := context.WithTimeout(n.process.Ctx, bounds.Heal(queryTimeoutRatio))
		need := query(ctx, shard, nothingNeeded, shard.rejoinNeed)
		cancel()
		switch need {
		case diskReplacement:
			n.replaceCorruptedDisk()
		case supersededReplacement:
			n.replaceSupersededDisk()
		case joinNeeded:
			view := shard.published.current()
			n.controlClient.HintLeader(view.leader)
			turn += n.requestJoin(view.self, view.members, turn)
		}
	}
}

func (s *shard) rejoinNeed() rejoinNeed {
	switch {
	case s.hasCorruptedDisk():
		return diskReplacement
	case s.supersededBy != 0:
		return supersededReplacement
	case s.needsJoin():
		return joinNeeded
	}
	return nothingNeeded
}

// needsJoin reports whether no leader sends this member entries. A voter that only waits for an
// election may ask as well: it does no harm.
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

// unresponsiveTurnInterval is how often an unresponsive address is asked before responsive ones: in one
// of so many turns.
const unresponsiveTurnInterval = 4

// joinCandidates returns the addresses to ask in a turn: those that responded the last time, in
// rotation, and an unresponsive one if there are too few of them or it is its turn.
func joinCandidates(addresses []string, isUnresponsive func(addr string) bool, turn int) []string {
	responsive, unresponsive := controlclient.SplitByResponsiveness(addresses, isUnresponsive)
	unresponsiveTurn := turn / unresponsiveTurnInterval
	candidates := append(rotate(responsive, turn), rotate(unresponsive, unresponsiveTurn)...)
	if turn%unresponsiveTurnInterval == unresponsiveTurnInterval-1 && len(unresponsive) > 0 && len(responsive) > 1 {
		candidates[1] = unresponsive[unresponsiveTurn%len(unresponsive)]
	}
	return candidates[:min(len(candidates), joinCandidatesPerTurn)]
}

// rotate returns the items starting from another one each turn.
func rotate(items []string, turn int) []string {
	if len(items) == 0 {
		return nil
	}
	start := turn % len(items)
	return slices.Concat(items[start:], items[:start])
}

// requestJoin asks the candidates of this turn until one accepts. It returns how many were of no help.
func (n *Node) requestJoin(self string, members []string, turn int) (unhelpful int) {
	addresses := n.controlClient.Addresses()
	for _, member := range members {
		if addr := controlclient.MemberAddr(member); !slices.Contains(addresses, addr) {
			addresses = append(addresses, addr)
		}
	}
	selfAddr := controlclient.MemberAddr(self)
	addresses = slices.DeleteFunc(addresses, func(addr string) bool { return addr == selfAddr })
	for _, addr := range joinCandidates(addresses, n.controlClient.IsUnresponsive, turn) {
		if n.joinThrough(addr, self) {
			return unhelpful
		}
		unhelpful++
	}
	return unhelpful
}

// joinThrough asks a candidate, and then the leader that it names, to have this member replicated to.
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

func (n *Node) sendJoin(addr, self string) (*wire.JoinResponse, error) {
	ctx, cancel := context.WithTimeout(n.process.Ctx, n.process.Settings.Bounds.Heal(joinTimeoutRatio))
	defer cancel()
	return n.clients.ControlNode(addr).Join(ctx, &wire.JoinRequest{Name: self, Zone: n.process.Settings.Zone})
}

// Join has the leader replicate to a member that isn't a voter, or lets a member leave. On another
// member the response names the leader. A node with fixed members responds with OutcomeUnknown, as does
// a request whose name isn't an address and an incarnation.
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
