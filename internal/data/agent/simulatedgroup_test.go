package agent

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pebbleloom/internal/wire"
)

// logEntry is an entry of a simulated Raft log: a plan, a membership, or the empty entry that starts a term.
type logEntry struct {
	term    int
	version uint64   // plan version; 0: the entry contains no plan
	members []string // members of the group from this entry on; nil: the entry contains no membership
}

// simulatedMember is the state of one member; commit is the length of the log that it knows to be committed.
type simulatedMember struct {
	term, commit int
	log          []logEntry
}

// hasUpToDateLog reports whether m's log is at least as up to date as the voter's, which Raft requires for the
// voter to grant m its vote.
func (m *simulatedMember) hasUpToDateLog(voter *simulatedMember) bool {
	if len(voter.log) == 0 {
		return true
	}
	last, votersLast := m.log[len(m.log)-1], voter.log[len(voter.log)-1]
	return votersLast.term < last.term || votersLast.term == last.term && len(voter.log) <= len(m.log)
}

// simulatedLeader is the state of a member as the leader of one term.
type simulatedLeader struct {
	name         string
	term, commit int
	match        map[string]int // by member: length of the prefix of the leader's log that the member is known to have
}

// pendingRequest is a request of the agent that a member has not received yet.
type pendingRequest struct {
	name    string
	version uint64
	sentAt  int
}

// simulatedGroup is a small consensus group with changing membership and an agent that requests proofs from
// it. Its steps are chosen at random.
type simulatedGroup struct {
	random            *rand.Rand
	now               int
	hosts             map[string]*simulatedMember
	names             []string
	leaders           []*simulatedLeader
	committed         map[uint64]int // step at which a plan was committed, by plan version
	addedMembers      int
	proof             *FreshnessProof
	pendingRequests   []pendingRequest
	version           uint64 // version of the plan that the agent uses
	ignoresMembership bool   // injected fault: each response counts as if it reported the newest membership
	isRefuted         bool   // whether a plan newer than the agent's was committed before the instant of its freshness proof
	proofs            int    // number of responses after which the agent had a proof
}

// newestMembership returns the last membership in a log and the index of its entry.
func newestMembership(log []logEntry) (index int, members []string) {
	for i, entry := range log {
		if entry.members != nil {
			index, members = i, entry.members
		}
	}
	return index, members
}

func newestPlan(log []logEntry) (version uint64) {
	for _, entry := range log {
		version = max(version, entry.version)
	}
	return version
}

// elect lets a member run for leader; each voter is unreachable with probability 1/3.
func (g *simulatedGroup) elect(name string) {
	candidate := g.hosts[name]
	_, members := newestMembership(candidate.log)
	if !slices.Contains(members, name) {
		return
	}
	term := candidate.term + 1
	var granted []*simulatedMember
	for _, member := range members {
		voter := g.hosts[member]
		if voter.term < term && candidate.hasUpToDateLog(voter) && (member == name || g.random.IntN(3) > 0) {
			granted = append(granted, voter)
		}
	}
	for _, voter := range granted {
		voter.term = term
	}
	if len(granted) >= len(members)/2+1 {
		candidate.log = append(slices.Clone(candidate.log), logEntry{term: term})
		g.leaders = append(g.leaders, &simulatedLeader{name: name, term: term, commit: candidate.commit, match: map[string]int{name: len(candidate.log)}})
	}
}

// lead executes one step of a leader: it proposes a plan or a membership, or replicates its log to a member,
// and then commits the entries that a quorum has.
func (g *simulatedGroup) lead(leader *simulatedLeader) {
	member := g.hosts[leader.name]
	if member.term != leader.term {
		return
	}
	membershipIndex, members := newestMembership(member.log)
	switch step := g.random.IntN(8); {
	case step == 0:
		leader.propose(member, logEntry{version: newestPlan(member.log) + 1})
	case step == 1 && leader.commit > membershipIndex && member.log[leader.commit-1].term == leader.term:
		g.changeMembers(leader, member, slices.Clone(members))
	default:
		g.replicate(leader, member, members[g.random.IntN(len(members))])
	}
	g.commit(leader, member)
}

func (l *simulatedLeader) propose(member *simulatedMember, entry logEntry) {
	entry.term = l.term
	member.log = append(slices.Clone(member.log), entry)
	l.match[l.name] = len(member.log)
}

// changeMembers proposes a membership with one member removed or added.
func (g *simulatedGroup) changeMembers(leader *simulatedLeader, member *simulatedMember, members []string) {
	if len(members) > 2 && g.random.IntN(2) == 0 {
		i := g.random.IntN(len(members))
		leader.propose(member, logEntry{members: slices.Delete(members, i, i+1)})
	} else if len(members) < 6 {
		g.addedMembers++
		name := string(rune('f' + g.addedMembers))
		g.hosts[name] = &simulatedMember{}
		g.names = append(g.names, name)
		leader.propose(member, logEntry{members: append(members, name)})
	}
}

// replicate copies a random-length prefix of a leader's log to a member.
func (g *simulatedGroup) replicate(leader *simulatedLeader, member *simulatedMember, name string) {
	follower := g.hosts[name]
	if name == leader.name || follower.term > leader.term {
		return
	}
	follower.term = leader.term
	length := 1 + g.random.IntN(len(member.log))
	for i := range length {
		if i >= len(follower.log) || follower.log[i].term != member.log[i].term {
			follower.log = slices.Clone(member.log[:length])
			break
		}
	}
	leader.match[name] = max(leader.match[name], length)
	follower.commit = max(follower.commit, min(leader.commit, length))
}

// commit commits the longest prefix of a leader's log that ends with an entry of its term and that a quorum has.
func (g *simulatedGroup) commit(leader *simulatedLeader, member *simulatedMember) {
	_, members := newestMembership(member.log)
	for length := len(member.log); length > leader.commit && member.log[length-1].term == leader.term; length-- {
		replicated := 0
		for _, name := range members {
			if leader.match[name] >= length {
				replicated++
			}
		}
		if replicated < len(members)/2+1 {
			continue
		}
		for _, entry := range member.log[:length] {
			if _, ok := g.committed[entry.version]; !ok && entry.version > 0 {
				g.committed[entry.version] = g.now
			}
		}
		leader.commit, member.commit = length, max(member.commit, length)
		return
	}
}

// respond lets a member respond to a request, and checks the agent's resulting proof against the plans that
// have been committed.
func (g *simulatedGroup) respond(request pendingRequest) {
	member := g.hosts[request.name]
	reported := newestPlan(member.log[:min(member.commit, len(member.log))])
	index, members := newestMembership(member.log)
	if members == nil {
		return
	}
	version := max(request.version, reported)
	response := &wire.FollowResponse{Member: request.name, NothingNewer: newestPlan(member.log) <= version,
		Members: members, MembersIndex: uint64(index), MembersTerm: uint64(member.log[index].term)}
	if proof := g.proof; g.ignoresMembership && (proof.term > response.MembersTerm || proof.term == response.MembersTerm && proof.index > response.MembersIndex) {
		response.Members, response.MembersTerm, response.MembersIndex = proof.members, proof.term, proof.index
	}
	g.version = max(g.version, reported)
	g.proof.AddResponse(response, version, time.Duration(request.sentAt))
	freshUntil := g.proof.FreshUntil(g.version)
	if freshUntil > 0 {
		g.proofs++
	}
	for plan, committedAt := range g.committed {
		g.isRefuted = g.isRefuted || plan > g.version && time.Duration(committedAt) < freshUntil
	}
}

// randomWalk simulates up to 150 random steps of a group; it stops early if the proof is refuted.
func randomWalk(seed uint64, ignoresMembership bool) *simulatedGroup {
	group := &simulatedGroup{random: rand.New(rand.NewPCG(seed, 1)), hosts: map[string]*simulatedMember{}, committed: map[uint64]int{},
		proof: NewFreshnessProof(), ignoresMembership: ignoresMembership}
	first := []logEntry{{term: 1, members: []string{"a", "b", "c", "d"}[:3+group.random.IntN(2)]}}
	group.names = slices.Clone(first[0].members)
	for _, name := range first[0].members {
		group.hosts[name] = &simulatedMember{term: 1, commit: 1, log: first}
	}
	for group.now = 1; group.now < 150 && !group.isRefuted; group.now++ {
		name := group.names[group.random.IntN(len(group.names))]
		switch step := group.random.IntN(20); {
		case step == 0 && len(group.hosts[name].log) > 0:
			group.elect(name)
		case step < 3:
			group.pendingRequests = append(group.pendingRequests, pendingRequest{name, group.version, group.now})
		case step < 7 && len(group.pendingRequests) > 0:
			i := group.random.IntN(len(group.pendingRequests))
			request := group.pendingRequests[i]
			group.pendingRequests = slices.Delete(group.pendingRequests, i, i+1)
			group.respond(request)
		case len(group.leaders) > 0:
			group.lead(group.leaders[max(0, len(group.leaders)-1-group.random.IntN(2))])
		}
	}
	return group
}

// In random simulations of a consensus group with leader elections and membership changes, no plan newer than the
// agent's may have been committed before the instant of its freshness proof, whatever the order of steps and responses.
func TestNoFalseProofInAChangingGroup(t *testing.T) {
	proofs, changed := 0, 0
	for seed := range uint64(40000) {
		group := randomWalk(seed, false)
		if group.isRefuted {
			t.Fatalf("simulation with seed %d: a plan newer than the agent's version %d was committed before the instant of its freshness proof; commit steps by plan version: %v", seed, group.version, group.committed)
		}
		proofs += group.proofs
		if group.proof.index > 0 {
			changed++
		}
	}
	if proofs < 100000 || changed < 10000 {
		t.Fatalf("simulated consensus groups: got %d freshness proofs, and a membership change in %d simulations; want at least 100000 proofs and 10000 simulations for a meaningful test", proofs, changed)
	}
}

// The simulations of TestNoFalseProofInAChangingGroup must detect an agent that ignores which membership a response
// reports. Otherwise that test could pass without checking anything.
func TestRandomWalksFindThePlantedFault(t *testing.T) {
	for seed := range uint64(40000) {
		if randomWalk(seed, true).isRefuted {
			return
		}
	}
	t.Fatal("none of 40000 simulations refuted the freshness proof of an agent that ignores which membership a response reports, want at least one")
}
