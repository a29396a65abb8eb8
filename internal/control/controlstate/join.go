package controlstate

import (
	"context"
	"slices"
	"strings"

	"pebbleloom/internal/clock"
	"pebbleloom/internal/control/controlclient"
	"pebbleloom/internal/settings"
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

// leave waits, when the program is to stop, until the group does without this member: its
// leadership is handed over, a spare has its place if there is one, and the others hold what it holds.
func (n *Node) leave(ctx context.Context) {
	ctx, end := context.WithTimeout(ctx, settings.Fraction(n.process.Settings.Site.GraceMs, leaveTimeoutRatio))
	defer end()
	for ctx.Err() == nil && !n.tryLeave(ctx) {
		clock.Sleep(ctx, n.process.Settings.Bounds.Heal(groupTick/2))
	}
	n.membership.Leave()
}

// tryLeave does what there is to do before this member stops, and reports whether that was all.
func (n *Node) tryLeave(ctx context.Context) bool {
	p := n.shards[0]
	at := query(ctx, p, leaveProgress{done: true}, p.prepareToLeave)
	if at.done || at.isLeader || at.leader == "" {
		return at.done
	}
	ctx, end := context.WithTimeout(ctx, n.process.Settings.Bounds.Heal(joinTimeoutRatio))
	defer end()
	t, err := n.clients.ControlNode(controlclient.MemberAddr(at.leader)).Join(ctx, &wire.JoinRequest{Name: at.self, Leaving: true})
	return err == nil && t.Outcome == wire.OutcomeDone
}

// leaveProgress is how far a member is with leaving.
type leaveProgress struct {
	done, isLeader bool
	self, leader   string
}

// prepareToLeave hands the leadership over once the others hold all that this member holds. A member
// that is out, or a learner, has nothing that the group needs.
func (p *shard) prepareToLeave() leaveProgress {
	s, self := p.core.Status(), p.core.Self()
	p.stopping = true
	if p.failure != nil || !p.core.IsVoter(self) && s.Leader == "" {
		return leaveProgress{done: true}
	}
	if !s.IsLeader {
		return leaveProgress{self: self, leader: s.Leader}
	}
	p.leaving[self] = p.ticks
	if p.canLeave(self) && !p.core.TransferLeadershipExcept(p.isLeaving) {
		p.core.TransferLeadership() // all that are left are leaving
	}
	return leaveProgress{isLeader: true}
}

// canLeave reports whether the group has done what it can before a member stops: no change of the
// membership is left to make, and the other voters that are alive hold the whole log.
func (p *shard) canLeave(name string) bool {
	if !p.core.CanChangeMembership() {
		return false
	}
	if !p.core.IsVoter(name) {
		return true
	}
	return p.nextMembership() == nil && p.core.ReplicatedToLiveVoters(name, aliveTicks)
}

// isLeaving reports whether a process has said lately that it is to stop.
func (p *shard) isLeaving(name string) bool {
	at, ok := p.leaving[name]
	return ok && p.ticks-at < leaveNoticeTicks
}

// joinLoop has this node taken in, and keeps it known while it isn't a member.
func (n *Node) joinLoop() {
	b, turn := n.process.Settings.Bounds, 0
	for p := n.shards[0]; n.process.Ctx.Err() == nil; clock.Sleep(n.process.Ctx, b.Heal(joinIntervalRatio)) {
		ctx, end := context.WithTimeout(n.process.Ctx, b.Heal(1.0/24))
		alone := query(ctx, p, false, p.needsJoin)
		end()
		if g := p.published.current(); alone {
			n.controlClient.HintLeader(g.leader)
			turn += n.requestJoin(g.self, g.members, turn)
		}
	}
}

// needsJoin reports whether no leader sends this member entries, so that it asks to be taken in. A
// voter may just be without a leader, or was removed while it was away: to ask does no harm.
func (p *shard) needsJoin() bool {
	s, patience := p.core.Status(), learnerJoinTicks
	if p.core.IsVoter(p.core.Self()) {
		patience = voterJoinTicks
	} else if s.Leader == "" {
		patience = 0
	}
	return p.failure == nil && !p.stopping && !s.IsLeader && s.TicksSinceLeader >= patience
}

// silentTurnInterval is how often a silent address is asked before others: each so many turns.
const silentTurnInterval = 4

// joinCandidates are the two addresses that a turn asks: those that answered the last time in rotation,
// and a silent one where there are fewer, or it is its turn.
func joinCandidates(addresses []string, isSilent func(addr string) bool, turn int) []string {
	answering := slices.DeleteFunc(slices.Clone(addresses), isSilent)
	silent := slices.DeleteFunc(slices.Clone(addresses), func(a string) bool { return !isSilent(a) })
	ordered := append(rotate(answering, turn), rotate(silent, turn/silentTurnInterval)...)
	if turn%silentTurnInterval == silentTurnInterval-1 && len(silent) > 0 && len(answering) > 1 {
		ordered[1] = silent[turn/silentTurnInterval%len(silent)]
	}
	return ordered[:min(len(ordered), 2)]
}

// rotate is a list that begins at another element each turn.
func rotate(list []string, turn int) []string {
	if len(list) == 0 {
		return nil
	}
	at := turn % len(list)
	return slices.Concat(list[at:], list[:at])
}

// requestJoin asks a few of those that may know the leader, and whom they name right after them; it
// returns how many were of no help.
func (n *Node) requestJoin(self string, members []string, turn int) (vain int) {
	all := n.controlClient.Addresses()
	for _, m := range members {
		if a := controlclient.MemberAddr(m); !slices.Contains(all, a) {
			all = append(all, a)
		}
	}
	own := controlclient.MemberAddr(self)
	all = slices.DeleteFunc(all, func(a string) bool { return a == own })
	for _, addr := range joinCandidates(all, n.controlClient.IsUnresponsive, turn) {
		for hops := 0; hops < 2 && addr != "" && addr != own; hops++ {
			ctx, end := context.WithTimeout(n.process.Ctx, n.process.Settings.Bounds.Heal(joinTimeoutRatio))
			t, err := n.clients.ControlNode(addr).Join(ctx, &wire.JoinRequest{Name: self, Zone: n.process.Settings.Zone})
			end()
			n.controlClient.RecordResponse(addr, err == nil)
			if err != nil {
				break
			}
			if t.Outcome == wire.OutcomeDone {
				n.controlClient.HintLeader(addr)
				return vain
			}
			addr = controlclient.MemberAddr(t.Leader)
		}
		vain++
	}
	return vain
}

// Join has the leader replicate to a process that isn't a voter, or lets one go that is to stop; a
// site whose core machines are named in the settings takes nobody in.
//
// Example: t, err := a.Join(ctx, &wire.JoinRequest{Name: "10.1.0.17:7360/8f3a"})
func (n *Node) Join(ctx context.Context, a *wire.JoinRequest) (*wire.JoinResponse, error) {
	p, none := n.shards[0], &wire.JoinResponse{Outcome: wire.OutcomeUnknown}
	if addr, incarnation, ok := strings.Cut(a.Name, "/"); p == nil || p.group == nil || !ok || addr == "" || incarnation == "" {
		return none, nil
	}
	return query(ctx, p, none, func() *wire.JoinResponse { return p.handleJoin(a) }), nil
}

func (p *shard) handleJoin(a *wire.JoinRequest) *wire.JoinResponse {
	s := p.core.Status()
	if p.failure != nil || !s.IsLeader {
		return &wire.JoinResponse{Outcome: wire.OutcomeNotLeader, Leader: s.Leader}
	}
	ok := false
	if a.Leaving {
		ok = p.handleLeave(a.Name)
	} else {
		delete(p.leaving, a.Name)
		ok = p.core.AddLearner(a.Name)
	}
	if !ok {
		return &wire.JoinResponse{Outcome: wire.OutcomeOverloaded, Leader: s.Leader}
	}
	return &wire.JoinResponse{Outcome: wire.OutcomeDone, Leader: s.Leader}
}

// handleLeave notes that a process is to stop, and reports whether it may. A learner may at once. From then
// on it counts as any other that may fall silent: a group that counted on it while a successor is
// added would need that successor.
func (p *shard) handleLeave(name string) bool {
	for other, at := range p.leaving {
		if p.ticks-at >= leaveNoticeTicks {
			delete(p.leaving, other)
		}
	}
	p.leaving[name] = p.ticks
	p.core.RemoveLearner(name)
	if !p.canLeave(name) {
		return false
	}
	delete(p.leaving, name)
	return true
}
